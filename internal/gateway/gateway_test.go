package gateway_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/exchange"
	"bamboohook/internal/gateway"
	"bamboohook/internal/message"
	"bamboohook/journaler"
)

// writePartialResponse writes partial, which is not a complete response, to the connection of a request and closes the
// connection.
func writePartialResponse(w http.ResponseWriter, partial string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	Expect(err).NotTo(HaveOccurred())
	_, _ = buffer.WriteString(partial)
	_ = buffer.Flush()
	_ = conn.Close()
}

var _ = Describe("Gateway", func() {
	var (
		clock    *clockwork.FakeClock
		g        *gateway.Gateway
		server   *httptest.Server
		endpoint *httptest.Server
		// calls is the number of requests that the endpoint has received, and serve is the handler of the endpoint.
		calls atomic.Int64
		serve http.HandlerFunc
	)
	// announce announces the service "preview" with one slot and one connection. If change is not nil, it can modify
	// the announcement before the gateway gets it.
	announce := func(change func(*message.Announcement)) {
		a := message.Announcement{
			Address:  strings.TrimPrefix(endpoint.URL, "http://"),
			Services: []message.Service{{Name: "preview", Slots: 1, Connections: 1}},
		}
		if change != nil {
			change(&a)
		}
		Expect(g.Announce(a)).To(Succeed())
	}
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		calls.Store(0)
		serve = func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(w, io.MultiReader(strings.NewReader(r.Method+" "+r.URL.String()+" "), r.Body))
		}
		endpoint = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			serve(w, r)
		}))
		g = &gateway.Gateway{VM: "vm", Clock: clock, Journal: journaler.New(journaler.Options{VM: "vm", Generation: "1"})}
		server = httptest.NewServer(g)
		announce(nil)
		DeferCleanup(func() { server.Close(); endpoint.Close() })
	})
	// sendTo sends a request to the gateway, and returns the response, its body, and the error of sending the request or
	// reading the response.
	sendTo := func(service, method string, header map[string]string) (*http.Response, string, error) {
		r, err := http.NewRequest(http.MethodPost, server.URL+gateway.RequestPathPrefix+service+"/a%2Fb?c=d", strings.NewReader("body"))
		Expect(err).NotTo(HaveOccurred())
		for name, value := range map[string]string{
			message.HeaderMethod: method, message.HeaderRequestID: "id", message.HeaderAttempt: "2", message.HeaderTimeout: "5s",
		} {
			r.Header.Set(name, value)
		}
		for name, value := range header {
			r.Header.Set(name, value)
		}
		response, err := server.Client().Do(r)
		if err != nil {
			return nil, "", err
		}
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		return response, string(text), err
	}
	send := func(method string, header map[string]string) (*http.Response, string, error) {
		return sendTo("preview", method, header)
	}
	// sendFailing sends a request that is expected to fail, and returns the failure in the response.
	sendFailing := func(header map[string]string) message.ErrorResponse {
		_, text, err := send("PUT", header)
		Expect(err).NotTo(HaveOccurred())
		f, ok := exchange.ReadErrorResponse(strings.NewReader(text))
		Expect(ok).To(BeTrue(), text)
		return f
	}

	It("forwards the request and sets the response headers", func() {
		response, text, err := send("PUT", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("PUT /preview/a%2Fb?c=d body"))
		h := response.Header
		Expect([]string{
			h.Get(message.HeaderRequestID), h.Get(message.HeaderAttempt), h.Get(message.HeaderVM),
			h.Get(message.HeaderInFlight), h.Get(message.HeaderOutcome),
		}).To(Equal([]string{"id", "2", "vm", "1", "done"}))
	})

	It("keeps the slot of a cancelled request until the endpoint has noticed the cancellation", func() {
		var running, maxRunning atomic.Int64
		serve = func(_ http.ResponseWriter, r *http.Request) {
			n := running.Add(1)
			for oldMax := maxRunning.Load(); n > oldMax && !maxRunning.CompareAndSwap(oldMax, n); oldMax = maxRunning.Load() {
				continue
			}
			defer running.Add(-1)
			select {
			case <-r.Context().Done():
				// Simulates a busy endpoint that notices the closed connection late.
				time.Sleep(100 * time.Millisecond)
			case <-time.After(20 * time.Millisecond):
			}
		}
		for range 4 {
			_, _, err := send("PUT", map[string]string{message.HeaderTimeout: "5ms"})
			Expect(err).NotTo(HaveOccurred())
			_, _, err = send("PUT", nil)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(maxRunning.Load()).To(BeNumerically("==", 1))
	})

	// Guards against a failure with the outcome not-run for a request that has reached the endpoint, and against a
	// request that reaches the endpoint although the gateway must reject it.
	for name, c := range map[string]struct {
		prepare func()
		header  map[string]string
		reason  string
	}{
		"draining agent":                     {func() { Expect(g.Drain(context.Background())).To(Succeed()) }, nil, message.ReasonDraining},
		"endpoint about to stop":             {func() { announce(func(a *message.Announcement) { a.Leaving = true }) }, nil, message.ReasonDraining},
		"deadline in the past":               {func() {}, map[string]string{message.HeaderTimeout: "-1ms"}, message.ReasonPastDeadline},
		"expired announcement":               {func() { clock.Advance(2001 * time.Millisecond) }, nil, message.ReasonUnknownService},
		"failure to connect to the endpoint": {func() { announce(func(a *message.Announcement) { a.Address = "127.0.0.1:1" }) }, nil, message.ReasonConnectionLost},
		"no request ID":                      {func() {}, map[string]string{message.HeaderRequestID: ""}, message.ReasonBadRequest},
	} {
		It("returns the outcome not-run and revokes the key if the endpoint did not get the request: "+name, func() {
			c.prepare()
			f := sendFailing(c.header)
			Expect([]string{f.Outcome, f.Reason}).To(Equal([]string{message.OutcomeNotRun, c.reason}))
			keyedHeader := map[string]string{message.HeaderKey: g.Journal.Issue()}
			for k, v := range c.header {
				keyedHeader[k] = v
			}
			Expect(sendFailing(keyedHeader).Outcome).To(Equal(message.OutcomeNotRun))
			Expect(g.Journal.Begin(keyedHeader[message.HeaderKey]).State).To(Equal(journaler.Revoked))
			Expect(calls.Load()).To(BeZero())
		})
	}

	It("rejects requests beyond the slots and connections of the endpoint, and drains without aborting requests", func() {
		received, finish := make(chan struct{}), make(chan struct{})
		serve = func(w http.ResponseWriter, _ *http.Request) {
			close(received)
			<-finish
			_, _ = w.Write([]byte("complete"))
		}
		bodies, drained := make(chan string), make(chan error)
		go func() {
			_, text, _ := send("GET", nil)
			bodies <- text
		}()
		<-received
		Expect(sendFailing(nil).Reason).To(Equal(message.ReasonBusy))
		Expect(g.ServiceLoads()).To(Equal([]message.Service{{Name: "preview", Slots: 1, Connections: 1, InFlight: 1}}))
		go func() { drained <- g.Drain(context.Background()) }()
		Consistently(drained, "50ms").ShouldNot(Receive())
		close(finish)
		Expect(<-bodies).To(Equal("complete"))
		Expect(<-drained).To(Succeed())
	})

	// Guards against counting the slots for each service instead of for the whole endpoint. The endpoint would then get
	// more requests than it has slots.
	for name, limitedAnnouncement := range map[string]func() message.Announcement{
		"limits in the announcement": func() message.Announcement {
			return message.Announcement{Services: []message.Service{
				{Name: "preview", Slots: 2, Connections: 2}, {Name: "download", Slots: 2, Connections: 2},
			}}
		},
		"limits set by SetLimits": func() message.Announcement {
			g.SetLimits(2, 2)
			return message.Announcement{Services: []message.Service{{Name: "preview", Slots: 9}, {Name: "download", Slots: 9}}}
		},
	} {
		It("shares the slots and connections of the endpoint among all its services: "+name, func() {
			announce(func(a *message.Announcement) { a.Services = limitedAnnouncement().Services })
			received, finish := make(chan struct{}, 3), make(chan struct{})
			serve = func(_ http.ResponseWriter, r *http.Request) {
				received <- struct{}{}
				// The HTTP server notices a closed connection only after the handler has read the request body.
				_, _ = io.Copy(io.Discard, r.Body)
				select {
				case <-finish:
				case <-r.Context().Done():
				}
			}
			var waitGroup sync.WaitGroup
			for _, service := range []string{"preview", "download"} {
				waitGroup.Go(func() {
					defer GinkgoRecover()
					response, _, err := sendTo(service, "GET", nil)
					Expect(err).NotTo(HaveOccurred())
					Expect(response.StatusCode).To(Equal(200))
				})
				<-received
			}
			Expect(sendFailing(nil).Reason).To(Equal(message.ReasonBusy))
			Expect(g.ServiceLoads()).To(Equal([]message.Service{
				{Name: "download", Slots: 2, Connections: 2, InFlight: 1}, {Name: "preview", Slots: 2, Connections: 2, InFlight: 1},
			}))
			close(finish)
			waitGroup.Wait()
			g.SetLimits(0, 0)
			Expect(g.ServiceLoads()[0].InFlight).To(BeZero())
		})
	}

	// Guards against an entry that takes a truncated response body for a complete one.
	for name, partial := range map[string]string{
		"body with Content-Length": "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart",
		"chunked body":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	} {
		It("aborts the response if the body from the endpoint ends early: "+name, func() {
			serve = func(w http.ResponseWriter, _ *http.Request) { writePartialResponse(w, partial) }
			_, _, err := send("GET", nil)
			Expect(err).To(HaveOccurred())
			keyHeader := map[string]string{message.HeaderKey: g.Journal.Issue()}
			_, _, err = send("GET", keyHeader)
			Expect(err).To(HaveOccurred())
			Expect(sendFailing(keyHeader).Outcome).To(Equal(message.OutcomeUnknown))
			Expect(calls.Load()).To(Equal(int64(2)))
		})
	}

	// Guards against a request that runs twice. By default, net/http itself sends a GET request again if the endpoint
	// closes a reused connection.
	It("sends a request once even if the endpoint closes a reused connection", func() {
		_, _, err := send("GET", nil)
		Expect(err).NotTo(HaveOccurred())
		serve = func(w http.ResponseWriter, _ *http.Request) { writePartialResponse(w, "") }
		response, _, err := send("GET", map[string]string{"Idempotency-Key": "x"})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Header.Get(message.HeaderOutcome)).To(Equal(message.OutcomeUnknown))
		Expect(calls.Load()).To(Equal(int64(2)))
	})

	// Guards against a keyed request that reaches the endpoint twice. Run with -race.
	It("sends only one of the concurrent requests with a key, gives all of them its response, and rejects a key of another generation", func() {
		keyHeader := map[string]string{message.HeaderKey: g.Journal.Issue()}
		var waitGroup sync.WaitGroup
		for range 20 {
			waitGroup.Go(func() {
				defer GinkgoRecover()
				response, text, err := send("POST", keyHeader)
				Expect(err).NotTo(HaveOccurred())
				Expect([]string{text, response.Header.Get(message.HeaderOutcome)}).To(Equal([]string{"POST /preview/a%2Fb?c=d body", "done"}))
			})
		}
		waitGroup.Wait()
		Expect(calls.Load()).To(Equal(int64(1)))
		otherGeneration := journaler.New(journaler.Options{VM: "vm", Generation: "0"}).Issue()
		f := sendFailing(map[string]string{message.HeaderKey: otherGeneration})
		Expect([]string{f.Outcome, f.Reason}).To(Equal([]string{message.OutcomeUnknown, message.ReasonKeyUnknown}))
		Expect(calls.Load()).To(Equal(int64(1)))
	})

	It("finishes a keyed request and stores its response although the entry has disconnected", func() {
		received, finish := make(chan struct{}), make(chan struct{})
		serve = func(w http.ResponseWriter, _ *http.Request) {
			close(received)
			<-finish
			_, _ = w.Write([]byte("kept"))
		}
		key := g.Journal.Issue()
		r, _ := http.NewRequest(http.MethodPost, server.URL+gateway.RequestPathPrefix+"preview/", nil)
		for name, value := range map[string]string{
			message.HeaderMethod: "POST", message.HeaderRequestID: "id", message.HeaderAttempt: "1",
			message.HeaderTimeout: "5s", message.HeaderKey: key,
		} {
			r.Header.Set(name, value)
		}
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-received
			cancel()
			close(finish)
		}()
		_, _ = server.Client().Do(r.WithContext(ctx))
		Eventually(func() string { return string(g.Journal.Begin(key).Response.Body) }).Should(Equal("kept"))
	})
})
