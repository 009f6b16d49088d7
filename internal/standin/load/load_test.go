package load_test

import (
	"bytes"
	"cmp"
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/message"
	"bamboohook/internal/standin/endpoint"
	"bamboohook/internal/standin/load"
)

var _ = Describe("Generator", func() {
	// Only the case that tests the timeout uses a short one, because requests on a busy machine may take longer.
	run := func(timeout time.Duration, groups ...load.Group) load.Report {
		g, err := load.New(load.Options{
			Groups: groups, Services: []load.Service{{Name: "preview"}, {Name: "download", Size: 20_000}},
			Rate: 200, Duration: 250 * time.Millisecond, Timeout: timeout, Prefix: "t",
		})
		Expect(err).NotTo(HaveOccurred())
		return g.Run(context.Background())
	}

	serve := func(h http.Handler) load.Group {
		s := httptest.NewServer(h)
		DeferCleanup(s.Close)
		return load.Group{Name: "direct", Addresses: []string{s.Listener.Addr().String()}}
	}

	It("sends the expected number of distinct requests and compares the groups", func() {
		e := endpoint.New(endpoint.Options{})
		direct := serve(e.Handler())
		viaEntry := direct
		viaEntry.Name = "entry"
		r := run(time.Minute, direct, viaEntry)
		for _, g := range r.Groups {
			Expect(g.Outcomes).To(Equal(map[string]int{message.OutcomeDone: 50}))
			Expect(g.Services[0].Latency.Count).To(Equal(g.Services[1].Latency.Count + g.Services[2].Latency.Count))
		}
		Expect(e.Counters().Starts).To(HaveLen(100))
		Expect(r.Differences).To(HaveLen(3))
		var output bytes.Buffer
		Expect(r.WriteText(&output)).To(Succeed())
		Expect(output.String()).To(ContainSubstring("entry - direct"))
	})

	respond := func(id string, body []byte) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(message.HeaderRequestID, cmp.Or(id, r.Header.Get(message.HeaderRequestID)))
			_, _ = w.Write(body)
		})
	}
	for name, c := range map[string]struct {
		handler http.Handler
		outcome string
	}{
		"response to another request": {respond("other", endpoint.Body("other", 1024)), load.OutcomeWrongResponse},
		"response with another body":  {respond("", []byte("x")), load.OutcomeWrongResponse},
		"response that hangs":         {http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }), load.OutcomeTimeout},
		"refusal without an outcome":  {http.NotFoundHandler(), "status-404"},
		"connection closed at once":   {http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), load.OutcomeConnectionFailed},
		"refusal with an outcome":     {refusing(), "not-run/busy"},
		"response without its end":    {truncating(), load.OutcomeTruncated},
	} {
		It("counts the request as failed after a "+name, func() {
			timeout := time.Minute
			if c.outcome == load.OutcomeTimeout {
				timeout = 100 * time.Millisecond
			}
			r := run(timeout, serve(c.handler))
			Expect(r.Groups[0].Outcomes).To(Equal(map[string]int{c.outcome: 50}))
			Expect(r.Failures()).To(Equal(50))
			Expect(r.Groups[0].Services[0].Latency.Count).To(BeZero())
		})
	}

	for name, o := range map[string]load.Options{
		"no groups":                 {},
		"a host name in an address": {Groups: []load.Group{{Addresses: []string{"host:1"}}}, Services: []load.Service{{Name: "a"}}, Rate: 1, Duration: 1},
		"a rate of 0":               {Groups: []load.Group{{Addresses: []string{"127.0.0.1:1"}}}, Services: []load.Service{{Name: "a"}}, Duration: 1},
	} {
		It("rejects options with "+name, func() {
			_, err := load.New(o)
			Expect(err).To(HaveOccurred())
		})
	}
})

func refusing() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"outcome":"not-run","reason":"busy"}`))
	})
}

// truncating sends the whole body in chunks and closes the connection without the terminating chunk, so that only the
// missing chunk shows that the response is incomplete.
func truncating() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(message.HeaderRequestID)
		size, _ := strconv.Atoi(r.URL.Query().Get("size"))
		w.Header().Set(message.HeaderRequestID, id)
		_, _ = w.Write(endpoint.Body(id, size))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
}
