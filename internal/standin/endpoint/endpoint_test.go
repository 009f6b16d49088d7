package endpoint_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/message"
	"bamboohook/internal/standin/endpoint"
)

var _ = Describe("Endpoint", func() {
	var (
		e             *endpoint.Endpoint
		url           string
		cancel        context.CancelFunc
		runResult     chan error
		announcements chan message.Announcement
	)

	start := func(o endpoint.Options) {
		received := make(chan message.Announcement, 1000)
		announcements = received
		agent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			var a message.Announcement
			if r.URL.Path == message.PathAnnounce && json.NewDecoder(r.Body).Decode(&a) == nil {
				received <- a
			}
		}))
		DeferCleanup(agent.Close)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		o.AgentAddress = agent.Listener.Addr().String()
		e = endpoint.New(o)
		url = "http://" + listener.Addr().String()
		ctx, stop := context.WithCancel(context.Background())
		result, running := make(chan error, 1), e
		go func() { result <- running.Run(ctx, listener) }()
		DeferCleanup(stop)
		cancel, runResult = stop, result
	}

	send := func(path, id string) (int, []byte, error) {
		r, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader("body"))
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set(message.HeaderRequestID, id)
		r.Header.Set(message.HeaderKey, "key-of-"+id)
		response, err := (&http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
		if err != nil {
			return 0, nil, err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return response.StatusCode, body, err
	}

	It("responds with a body that depends on the request ID", func() {
		start(endpoint.Options{})
		status, body, err := send("/v1/services/preview/face/1?size=20000", "r-1")
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(And(HaveLen(20000), Equal(endpoint.Body("r-1", 20000)), Not(Equal(endpoint.Body("r-2", 20000)))))
		Expect(e.Counters().Starts).To(Equal(map[string]int{"r-1": 1}))
		Expect(e.Counters().KeyStarts).To(Equal(map[string]int{"key-of-r-1": 1}))
	})

	It("processes at most one request per slot at a time and counts requests beyond the slots", func() {
		clock := clockwork.NewFakeClock()
		start(endpoint.Options{Slots: 2, Clock: clock, Services: []endpoint.Service{{Name: "preview", Median: time.Second}}})
		statuses := make(chan int, 5)
		for range 5 {
			go func() { s, _, _ := send("/preview", "r"); statuses <- s }()
		}
		Eventually(func() int { return e.Counters().InFlight }).Should(Equal(5))
		Eventually(func() int { clock.Advance(time.Second); return len(statuses) }).Should(Equal(5))
		c := e.Counters()
		Expect([]int{c.MaxConcurrency, c.SlotViolations, c.Starts["r"]}).To(Equal([]int{2, 3, 5}))
	})

	It("rejects requests on connections beyond the limit and counts them", func() {
		clock := clockwork.NewFakeClock()
		start(endpoint.Options{Connections: 1, Clock: clock, Services: []endpoint.Service{{Name: "preview", Median: time.Second}}})
		first := make(chan int, 1)
		go func() { s, _, _ := send("/preview", "first"); first <- s }()
		Eventually(func() int { return e.Counters().Processing }).Should(Equal(1))
		status, _, err := send("/preview", "second")
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Eventually(func() int { clock.Advance(time.Second); return len(first) }).Should(Equal(1))
		Expect(<-first).To(Equal(http.StatusOK))
		c := e.Counters()
		Expect([]int{c.ConnectionViolations, c.Starts["second"], c.MaxConnections}).To(Equal([]int{1, 0, 1}))
	})

	It("makes requests hang if the fault is set over HTTP, and counts requests that callers abandon", func() {
		start(endpoint.Options{})
		response, err := http.Post(url+endpoint.PathFaults, "application/json", strings.NewReader(`{"service":"preview","hang-rate":1}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		_, err = (&http.Client{Timeout: 50 * time.Millisecond}).Get(url + "/preview")
		Expect(err).To(HaveOccurred())
		Eventually(func() int { return e.Counters().Abandoned }).Should(Equal(1))
		status, _, err := send("/download", "r")
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		response, err = http.Get(url + endpoint.PathCounters)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		var c endpoint.Counters
		Expect(json.NewDecoder(response.Body).Decode(&c)).To(Succeed())
		Expect([]int{c.Unrecorded, c.Starts["r"], c.InjectedFaults, c.InFlight}).To(Equal([]int{1, 1, 1, 0}))
	})

	It("announces its services, and after the stop announces that it is leaving until no request is in flight", func() {
		start(endpoint.Options{Services: []endpoint.Service{{Name: "preview", Median: 400 * time.Millisecond}}})
		Expect((<-announcements).Services).To(Equal([]message.Service{{Name: "preview", Slots: 8, Connections: 64}}))
		status := make(chan int, 1)
		go func() { s, _, _ := send("/preview", "r"); status <- s }()
		Eventually(func() int { return e.Counters().Processing }).Should(Equal(1))
		cancel()
		Eventually(announcements).Should(Receive(HaveField("Leaving", true)))
		Expect(<-status).To(Equal(http.StatusOK))
		Eventually(runResult).Should(Receive(BeNil()))
	})

	for name, c := range map[string]struct {
		faults endpoint.Faults
		check  func(status int, body []byte, err error)
	}{
		"fail": {endpoint.Faults{FailRate: 1}, func(status int, _ []byte, err error) {
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusInternalServerError))
		}},
		"truncate": {endpoint.Faults{TruncateRate: 1}, func(_ int, body []byte, err error) {
			Expect(err).To(MatchError(io.ErrUnexpectedEOF))
			Expect(body).To(HaveLen(512))
		}},
		"close": {endpoint.Faults{CloseRate: 1}, func(_ int, _ []byte, err error) { Expect(err).To(HaveOccurred()) }},
		"slow": {endpoint.Faults{SlowBy: 30 * time.Millisecond}, func(status int, _ []byte, _ error) {
			Expect(status).To(Equal(http.StatusOK))
		}},
	} {
		It("injects the fault "+name+" after counting the start", func() {
			start(endpoint.Options{})
			e.SetFaults(c.faults)
			startTime := time.Now()
			c.check(send("/road-check", "r"))
			Expect(time.Since(startTime)).To(BeNumerically(">=", c.faults.SlowBy))
			Expect(e.Counters().Starts["r"]).To(Equal(1))
		})
	}

	It("rejects rates outside the range 0 to 1", func() {
		start(endpoint.Options{})
		response, err := http.Post(url+endpoint.PathFaults, "application/json", strings.NewReader(`{"fail-rate":1.5}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
	})
})
