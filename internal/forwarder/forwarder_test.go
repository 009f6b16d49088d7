package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/exchange"
	"bamboohook/internal/forwarder"
	"bamboohook/internal/gateway"
	"bamboohook/internal/message"
	"bamboohook/journaler"
)

type (
	// agent is a test server at a request port: a stub or a gateway.
	agent struct {
		handler http.Handler
		server  *httptest.Server
		calls   atomic.Int64
	}
	keyRequester map[string]*journaler.Journaler
)

func (i keyRequester) RequestKey(_ context.Context, address string, _ message.KeyRequest) (message.KeyResponse, error) {
	return message.KeyResponse{Key: i[address].Issue()}, nil
}

func newAgent(h http.HandlerFunc) *agent {
	a := &agent{handler: h}
	a.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.calls.Add(1)
		a.handler.ServeHTTP(w, r)
	}))
	DeferCleanup(a.server.Close)
	return a
}

func (a *agent) heartbeat(name, generation string, sequence uint64, slots int) message.Heartbeat {
	return message.Heartbeat{
		VM: name, Generation: generation, Sequence: sequence, State: message.StateUp, PeerAddress: name,
		RequestAddress: strings.TrimPrefix(a.server.URL, "http://"),
		Services:       []message.Service{{Name: "preview", Slots: slots, Connections: 64}},
	}
}

func newEntry(f *forwarder.Forwarder) *httptest.Server {
	e := echo.New()
	f.Register(e)
	s := httptest.NewServer(e)
	DeferCleanup(s.Close)
	return s
}

func setResponseHeaders(w http.ResponseWriter, r *http.Request, id string) {
	for name, value := range map[string]string{
		message.HeaderRequestID: id, message.HeaderAttempt: r.Header.Get(message.HeaderAttempt), message.HeaderOutcome: message.OutcomeDone,
	} {
		w.Header().Set(name, value)
	}
}

func succeed(w http.ResponseWriter, r *http.Request) {
	text, _ := io.ReadAll(r.Body)
	setResponseHeaders(w, r, r.Header.Get(message.HeaderRequestID))
	_, _ = fmt.Fprintf(w, "%s %s", r.Header.Get(message.HeaderMethod), text)
}

func rejectDraining(w http.ResponseWriter, r *http.Request) {
	setResponseHeaders(w, r, "")
	exchange.WriteErrorResponse(w, 503, message.ErrorResponse{
		Outcome: message.OutcomeNotRun, Reason: message.ReasonDraining, RequestID: r.Header.Get(message.HeaderRequestID),
	})
}

func answerOtherRequest(w http.ResponseWriter, r *http.Request) {
	setResponseHeaders(w, r, "another")
	_, _ = w.Write([]byte("secret"))
}

func closeConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func truncate(w http.ResponseWriter, r *http.Request) {
	setResponseHeaders(w, r, r.Header.Get(message.HeaderRequestID))
	_, _ = w.Write([]byte("part"))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// do returns the status, the outcome header, the body, and the error of sending the request or reading the
// response.
func do(url, body string, header map[string]string) (int, string, string, error) {
	r, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for name, value := range header {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get(message.HeaderOutcome), string(text), err
}

var _ = Describe("Forwarder", func() {
	nonIdempotent := map[string]string{message.HeaderIdempotent: "false"}
	large := strings.Repeat("x", 100<<10)

	// Guards against a response that is incomplete or belongs to another request, a second run of a
	// non-idempotent request, and an outcome not-run for a request that ran. One of the two agents is faulty,
	// and most requests are sent to it first.
	for name, c := range map[string]struct {
		fault   http.HandlerFunc
		header  map[string]string
		body    string
		outcome string
		attempt int64
	}{
		"connection closed after sending, idempotent":     {closeConnection, nil, "b", message.OutcomeDone, 2},
		"connection closed after sending, non-idempotent": {closeConnection, nonIdempotent, "b", message.OutcomeUnknown, 1},
		"connection closed after sending, large":          {closeConnection, nil, large, message.OutcomeUnknown, 1},
		"response to another request, idempotent":         {answerOtherRequest, nil, "b", message.OutcomeDone, 2},
		"response to another request, non-idempotent":     {answerOtherRequest, nonIdempotent, "b", message.OutcomeUnknown, 1},
		"draining agent, non-idempotent":                  {rejectDraining, nonIdempotent, "b", message.OutcomeDone, 2},
		"draining agent, large, non-idempotent":           {rejectDraining, nonIdempotent, large, message.OutcomeDone, 2},
		"dial failure, non-idempotent":                    {nil, nonIdempotent, "b", message.OutcomeDone, 1},
		"dial failure, large, non-idempotent":             {nil, nonIdempotent, large, message.OutcomeDone, 1},
	} {
		It("handles a fault of an agent: "+name, func() {
			faulty, healthy := newAgent(c.fault), newAgent(succeed)
			f := &forwarder.Forwarder{HedgeDelay: -1}
			entry := newEntry(f)
			// The reported load of the healthy agent makes the router prefer the faulty one whenever it compares
			// the two.
			f.Observe(faulty.heartbeat("faulty", "1", 1, 1000))
			h := healthy.heartbeat("healthy", "1", 1, 8)
			h.Services[0].InFlight = 6
			if c.fault == nil {
				faulty.server.Close()
			}
			Eventually(func(g Gomega) {
				faulty.calls.Store(0)
				healthy.calls.Store(0)
				h.Sequence++
				f.Observe(h)
				if c.fault == nil {
					// Most of these requests are sent to the dead agent first.
					for range 10 {
						_, outcome, _, _ := do(entry.URL+"/v1/services/preview/p", c.body, c.header)
						Expect(outcome).To(Equal(message.OutcomeDone))
					}
					healthy.calls.Store(0)
				}
				_, outcome, text, err := do(entry.URL+"/v1/services/preview/p", c.body, c.header)
				Expect(err).NotTo(HaveOccurred())
				Expect(text).NotTo(ContainSubstring("secret"))
				Expect(faulty.calls.Load()+healthy.calls.Load()).To(BeNumerically("<=", c.attempt), "more attempts than allowed")
				// The random choice selects the faulty agent within a few tries.
				g.Expect(outcome).To(Equal(c.outcome))
				g.Expect(faulty.calls.Load() + healthy.calls.Load()).To(Equal(c.attempt))
				if c.outcome == message.OutcomeDone {
					Expect(text).To(Equal("PUT " + c.body))
				}
			}).WithTimeout(3 * time.Second).WithPolling(time.Millisecond).Should(Succeed())
		})
	}

	It("aborts a truncated response", func() {
		f := &forwarder.Forwarder{}
		entry := newEntry(f)
		f.Observe(newAgent(truncate).heartbeat("vm", "1", 1, 8))
		_, _, _, err := do(entry.URL+"/v1/services/preview/p", "b", nil)
		Expect(err).To(HaveOccurred())
	})

	// Guards against a response that mixes the responses of two attempts.
	It("returns the hedged response and discards the late one", func() {
		var first atomic.Bool
		late, finished := make(chan struct{}), make(chan struct{})
		slow := func(w http.ResponseWriter, r *http.Request) {
			if first.CompareAndSwap(false, true) {
				defer close(finished)
				<-late
				r.Header.Set(message.HeaderMethod, "LATE")
			}
			succeed(w, r)
		}
		a, b := newAgent(slow), newAgent(slow)
		f := &forwarder.Forwarder{HedgeDelay: 5 * time.Millisecond}
		entry := newEntry(f)
		f.Observe(a.heartbeat("a", "1", 1, 8))
		f.Observe(b.heartbeat("b", "1", 1, 8))
		_, outcome, text, err := do(entry.URL+"/v1/services/preview/p", "b", nil)
		Expect([]any{outcome, text, err}).To(Equal([]any{message.OutcomeDone, "PUT b", nil}))
		close(late)
		<-finished
		Expect([]int64{a.calls.Load(), b.calls.Load()}).To(Equal([]int64{1, 1}))
	})

	// Guards against a rejection for an exceeded limit that doesn't name the limit.
	for name, c := range map[string]struct {
		header map[string]string
		body   string
		status int
		text   string
	}{
		"body":       {nil, strings.Repeat("x", 2001), 413, "allowed are 2000"},
		"headers":    {map[string]string{"X-Large": strings.Repeat("x", 5000)}, "", 431, "allowed are 4000"},
		"timeout":    {map[string]string{message.HeaderTimeout: "2m"}, "", 400, "up to 1m0s"},
		"key":        {map[string]string{message.HeaderKey: strings.Repeat("x", 600)}, "", 400, "512 bytes"},
		"idempotent": {map[string]string{message.HeaderIdempotent: "no"}, "", 400, "true and false"},
	} {
		It("names the exceeded limit: "+name, func() {
			f := &forwarder.Forwarder{Limits: forwarder.Limits{MaxBodyBytes: 2000, MaxHeaderBytes: 4000, MaxTimeout: time.Minute}}
			entry := newEntry(f)
			f.Observe(newAgent(succeed).heartbeat("vm", "1", 1, 8))
			status, _, text, err := do(entry.URL+"/v1/services/preview/p", c.body, c.header)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(c.status))
			Expect(text).To(ContainSubstring(c.text))
		})
	}

	It("limits a flood of one kind and finishes requests during a drain", func() {
		hold := make(chan struct{})
		a := newAgent(func(w http.ResponseWriter, r *http.Request) {
			<-hold
			succeed(w, r)
		})
		f := &forwarder.Forwarder{HedgeDelay: -1, DrainGrace: time.Millisecond, Shares: map[string]float64{"flood": 1, "other": 1}}
		entry := newEntry(f)
		f.Observe(a.heartbeat("vm", "1", 1, 4))
		var group sync.WaitGroup
		var done, rejected atomic.Int64
		request := func() {
			_, outcome, text, err := do(entry.URL+"/v1/services/preview/p", "b", map[string]string{message.HeaderKind: "flood"})
			if err == nil && outcome == message.OutcomeDone {
				done.Add(1)
			} else if outcome == message.OutcomeNotRun && strings.Contains(text, message.ReasonOverload) {
				rejected.Add(1)
			}
		}
		for range 12 {
			group.Go(request)
		}
		Eventually(rejected.Load).Should(Equal(int64(8)))
		drained := make(chan error)
		go func() { drained <- f.Drain(context.Background()) }()
		Eventually(f.Ready).Should(BeFalse())
		Consistently(drained, "30ms").ShouldNot(Receive())
		_, _, text, _ := do(entry.URL+"/v1/services/preview/p", "b", nil)
		Expect(text).To(ContainSubstring(message.ReasonDraining))
		close(hold)
		Expect(<-drained).To(Succeed())
		group.Wait()
		Expect(done.Load()).To(Equal(int64(4)))
	})
})

// Guards against a second run of the request of a key, and against an outcome not-run for a request that ran.
// Responses are lost on the way, repeats arrive through two entries, and the agent that issued the keys
// restarts.
var _ = Describe("keyed requests", func() {
	It("run at most once under concurrent repeats", func() {
		var runs sync.Map
		endpoint := newAgent(func(w http.ResponseWriter, r *http.Request) {
			n, _ := runs.LoadOrStore(r.Header.Get("X-Work"), new(atomic.Int64))
			n.(*atomic.Int64).Add(1)
			if strings.HasSuffix(r.Header.Get("X-Work"), "3") {
				panic(http.ErrAbortHandler)
			}
			_, _ = w.Write([]byte("ran " + r.Header.Get("X-Work")))
		})
		announcement := message.Announcement{
			Address:  strings.TrimPrefix(endpoint.server.URL, "http://"),
			Services: []message.Service{{Name: "preview", Slots: 3, Connections: 4}},
		}
		start := func(generation string) (*gateway.Gateway, *agent) {
			g := &gateway.Gateway{VM: "vm", Journal: journaler.New(journaler.Options{VM: "vm", Generation: generation})}
			Expect(g.Announce(announcement)).To(Succeed())
			var count atomic.Int64
			return g, newAgent(func(w http.ResponseWriter, r *http.Request) {
				if count.Add(1)%5 == 0 {
					// The gateway handles the request, but its response is lost.
					g.ServeHTTP(httptest.NewRecorder(), r)
					panic(http.ErrAbortHandler)
				}
				g.ServeHTTP(w, r)
			})
		}
		g, issuingAgent := start("1")
		keys := keyRequester{"vm": g.Journal}
		forwarders := []*forwarder.Forwarder{{KeyRequester: keys}, {KeyRequester: keys}}
		var entries []*httptest.Server
		for _, f := range forwarders {
			entries = append(entries, newEntry(f))
			f.Observe(issuingAgent.heartbeat("vm", "1", 1, 50))
		}
		type event struct{ work, outcome, text string }
		var mutex sync.Mutex
		var history []event
		var group sync.WaitGroup
		var issued []string
		sendKeyed := func(entry *httptest.Server, work, key string) event {
			_, outcome, text, err := do(entry.URL+"/v1/services/preview/p", "b", map[string]string{message.HeaderKey: key, "X-Work": work})
			if err != nil {
				outcome = message.OutcomeUnknown
			}
			return event{work, outcome, text}
		}
		for k := range 40 {
			response, err := http.Post(entries[k%2].URL+"/v1/services/preview/keys", "", nil)
			Expect(err).NotTo(HaveOccurred())
			text, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			key := strings.Split(string(text), `"`)[3]
			issued = append(issued, key)
			for i := range 4 {
				group.Go(func() {
					defer GinkgoRecover()
					e := sendKeyed(entries[i%2], fmt.Sprint("w", k), key)
					mutex.Lock()
					defer mutex.Unlock()
					history = append(history, e)
				})
			}
		}
		group.Wait()
		counts := map[string]int{}
		check := func(e event) {
			n, _ := runs.LoadOrStore(e.work, new(atomic.Int64))
			ran := n.(*atomic.Int64).Load()
			Expect(ran).To(BeNumerically("<=", 1), "%+v", e)
			switch e.outcome {
			case message.OutcomeNotRun:
				Expect(ran).To(BeZero(), "%+v", e)
			case message.OutcomeDone:
				Expect([]any{ran, e.text}).To(Equal([]any{int64(1), "ran " + e.work}))
			}
			counts[e.outcome]++
		}
		for _, e := range history {
			check(e)
		}
		Expect(counts[message.OutcomeDone]).To(BeNumerically(">", 0))
		Expect(counts[message.OutcomeUnknown]).To(BeNumerically(">", 0))
		_, restarted := start("2")
		for _, f := range forwarders {
			f.Observe(restarted.heartbeat("vm", "2", 1, 50))
		}
		for k, key := range issued {
			e := sendKeyed(entries[k%2], fmt.Sprint("w", k), key)
			Expect(e.outcome).To(Equal(message.OutcomeUnknown))
			check(e)
		}
	})
})
