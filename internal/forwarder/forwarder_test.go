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
	// agent is a test server that stands for the agent of a VM. Its handler is a stub or a gateway. calls is the number
	// of requests that it has received.
	agent struct {
		handler http.Handler
		server  *httptest.Server
		calls   atomic.Int64
	}
	// keyRequester maps VM names to journals. RequestKey uses the address of an agent as the VM name and issues a key
	// from the journal of that VM.
	keyRequester map[string]*journaler.Journaler
)

// RequestKey implements forwarder.KeyRequester.
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

// heartbeat returns a heartbeat of the agent with the service "preview". The VM name also serves as PeerAddress, which
// keyRequester uses.
func (a *agent) heartbeat(vm, generation string, sequence uint64, slots int) message.Heartbeat {
	return message.Heartbeat{
		VM: vm, Generation: generation, Sequence: sequence, State: message.StateUp, PeerAddress: vm,
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

// setResponseHeaders sets the headers of a successful response to the request with the given ID. An entry rejects a
// response without them.
func setResponseHeaders(w http.ResponseWriter, r *http.Request, id string) {
	for name, value := range map[string]string{
		message.HeaderRequestID: id, message.HeaderAttempt: r.Header.Get(message.HeaderAttempt), message.HeaderOutcome: message.OutcomeDone,
	} {
		w.Header().Set(name, value)
	}
}

// succeed writes a successful response that contains the method and the body of the request.
func succeed(w http.ResponseWriter, r *http.Request) {
	text, _ := io.ReadAll(r.Body)
	setResponseHeaders(w, r, r.Header.Get(message.HeaderRequestID))
	_, _ = fmt.Fprintf(w, "%s %s", r.Header.Get(message.HeaderMethod), text)
}

// rejectDraining rejects the request as a draining agent does.
func rejectDraining(w http.ResponseWriter, r *http.Request) {
	setResponseHeaders(w, r, "")
	exchange.WriteErrorResponse(w, 503, message.ErrorResponse{
		Outcome: message.OutcomeNotRun, Reason: message.ReasonDraining, RequestID: r.Header.Get(message.HeaderRequestID),
	})
}

// respondToOther writes a successful response that has the ID of another request.
func respondToOther(w http.ResponseWriter, r *http.Request) {
	setResponseHeaders(w, r, "another")
	_, _ = w.Write([]byte("secret"))
}

func closeConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// truncate closes the connection in the middle of a response.
func truncate(w http.ResponseWriter, r *http.Request) {
	setResponseHeaders(w, r, r.Header.Get(message.HeaderRequestID))
	_, _ = w.Write([]byte("part"))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// sendPut sends a PUT request. It returns the status, the outcome header and the body of the response, and the error
// of sending the request or reading the response.
func sendPut(url, body string, header map[string]string) (int, string, string, error) {
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
	largeBody := strings.Repeat("x", 100<<10)

	// Guards against a response that is incomplete or belongs to another request, against a second run of a
	// non-idempotent request, and against the outcome not-run for a request that ran. One of two agents is faulty. A
	// case passes when a request is sent to the faulty agent first and has the expected outcome. calls is the number of
	// requests that both agents together must then have received.
	for name, c := range map[string]struct {
		fault   http.HandlerFunc
		header  map[string]string
		body    string
		outcome string
		calls   int64
	}{
		"connection closed after the request was sent, idempotent":                               {closeConnection, nil, "b", message.OutcomeDone, 2},
		"connection closed after the request was sent, non-idempotent":                           {closeConnection, nonIdempotent, "b", message.OutcomeUnknown, 1},
		"connection closed after the request was sent, idempotent, body too large to send again": {closeConnection, nil, largeBody, message.OutcomeUnknown, 1},
		"response to another request, idempotent":                                                {respondToOther, nil, "b", message.OutcomeDone, 2},
		"response to another request, non-idempotent":                                            {respondToOther, nonIdempotent, "b", message.OutcomeUnknown, 1},
		"draining agent, non-idempotent":                                                         {rejectDraining, nonIdempotent, "b", message.OutcomeDone, 2},
		"draining agent, non-idempotent, body too large to send again":                           {rejectDraining, nonIdempotent, largeBody, message.OutcomeDone, 2},
		"connection refused, non-idempotent":                                                     {nil, nonIdempotent, "b", message.OutcomeDone, 1},
		"connection refused, non-idempotent, body too large to send again":                       {nil, nonIdempotent, largeBody, message.OutcomeDone, 1},
	} {
		It("returns the expected outcome and sends the request no more often than allowed: "+name, func() {
			faulty, healthy := newAgent(c.fault), newAgent(succeed)
			f := &forwarder.Forwarder{HedgeDelay: -1}
			entry := newEntry(f)
			// The router prefers the faulty agent whenever it compares the two, because the healthy one reports a
			// higher load.
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
					// All of these requests must succeed, although most of them are first sent to the agent that has
					// stopped.
					for range 10 {
						_, outcome, _, _ := sendPut(entry.URL+"/v1/services/preview/p", c.body, c.header)
						Expect(outcome).To(Equal(message.OutcomeDone))
					}
					healthy.calls.Store(0)
				}
				_, outcome, text, err := sendPut(entry.URL+"/v1/services/preview/p", c.body, c.header)
				Expect(err).NotTo(HaveOccurred())
				Expect(text).NotTo(ContainSubstring("secret"))
				Expect(faulty.calls.Load()+healthy.calls.Load()).To(BeNumerically("<=", c.calls), "more attempts than allowed")
				// The router selects endpoints at random, so it may take several requests until one is sent to the
				// faulty agent first.
				g.Expect(outcome).To(Equal(c.outcome))
				g.Expect(faulty.calls.Load() + healthy.calls.Load()).To(Equal(c.calls))
				if c.outcome == message.OutcomeDone {
					Expect(text).To(Equal("PUT " + c.body))
				}
			}).WithTimeout(3 * time.Second).WithPolling(time.Millisecond).Should(Succeed())
		})
	}

	It("aborts the response to the caller if the agent truncates its response", func() {
		f := &forwarder.Forwarder{}
		entry := newEntry(f)
		f.Observe(newAgent(truncate).heartbeat("vm", "1", 1, 8))
		_, _, _, err := sendPut(entry.URL+"/v1/services/preview/p", "b", nil)
		Expect(err).To(HaveOccurred())
	})

	// Guards against a response to the caller that contains parts of the responses of two attempts.
	It("returns the response to the hedged request and discards the late one of the first attempt", func() {
		var firstReceived atomic.Bool
		finishFirst, firstFinished := make(chan struct{}), make(chan struct{})
		handler := func(w http.ResponseWriter, r *http.Request) {
			if firstReceived.CompareAndSwap(false, true) {
				defer close(firstFinished)
				<-finishFirst
				r.Header.Set(message.HeaderMethod, "LATE")
			}
			succeed(w, r)
		}
		a, b := newAgent(handler), newAgent(handler)
		f := &forwarder.Forwarder{HedgeDelay: 5 * time.Millisecond}
		entry := newEntry(f)
		f.Observe(a.heartbeat("a", "1", 1, 8))
		f.Observe(b.heartbeat("b", "1", 1, 8))
		_, outcome, text, err := sendPut(entry.URL+"/v1/services/preview/p", "b", nil)
		Expect([]any{outcome, text, err}).To(Equal([]any{message.OutcomeDone, "PUT b", nil}))
		close(finishFirst)
		<-firstFinished
		Expect([]int64{a.calls.Load(), b.calls.Load()}).To(Equal([]int64{1, 1}))
	})

	// Guards against a rejection whose text does not say what is allowed.
	for name, c := range map[string]struct {
		header map[string]string
		body   string
		status int
		text   string
	}{
		"body too large":                    {nil, strings.Repeat("x", 2001), 413, "allowed are 2000"},
		"headers too large":                 {map[string]string{"X-Large": strings.Repeat("x", 5000)}, "", 431, "allowed are 4000"},
		"timeout too long":                  {map[string]string{message.HeaderTimeout: "2m"}, "", 400, "up to 1m0s"},
		"key too long":                      {map[string]string{message.HeaderKey: strings.Repeat("x", 600)}, "", 400, "512 bytes"},
		"idempotent neither true nor false": {map[string]string{message.HeaderIdempotent: "no"}, "", 400, "true and false"},
	} {
		It("rejects an invalid request with a text that says what is allowed: "+name, func() {
			f := &forwarder.Forwarder{Limits: forwarder.Limits{MaxBodyBytes: 2000, MaxHeaderBytes: 4000, MaxTimeout: time.Minute}}
			entry := newEntry(f)
			f.Observe(newAgent(succeed).heartbeat("vm", "1", 1, 8))
			status, _, text, err := sendPut(entry.URL+"/v1/services/preview/p", c.body, c.header)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(c.status))
			Expect(text).To(ContainSubstring(c.text))
		})
	}

	It("rejects the requests of a flood that get no slot, and finishes the admitted ones during a drain", func() {
		finish := make(chan struct{})
		a := newAgent(func(w http.ResponseWriter, r *http.Request) {
			<-finish
			succeed(w, r)
		})
		f := &forwarder.Forwarder{HedgeDelay: -1, DrainGrace: time.Millisecond, Shares: map[string]float64{"flood": 1, "other": 1}}
		entry := newEntry(f)
		f.Observe(a.heartbeat("vm", "1", 1, 4))
		var waitGroup sync.WaitGroup
		var succeeded, rejected atomic.Int64
		sendAndCount := func() {
			_, outcome, text, err := sendPut(entry.URL+"/v1/services/preview/p", "b", map[string]string{message.HeaderKind: "flood"})
			if err == nil && outcome == message.OutcomeDone {
				succeeded.Add(1)
			} else if outcome == message.OutcomeNotRun && strings.Contains(text, message.ReasonOverload) {
				rejected.Add(1)
			}
		}
		for range 12 {
			waitGroup.Go(sendAndCount)
		}
		Eventually(rejected.Load).Should(Equal(int64(8)))
		drained := make(chan error)
		go func() { drained <- f.Drain(context.Background()) }()
		Eventually(f.Ready).Should(BeFalse())
		Consistently(drained, "30ms").ShouldNot(Receive())
		_, _, text, _ := sendPut(entry.URL+"/v1/services/preview/p", "b", nil)
		Expect(text).To(ContainSubstring(message.ReasonDraining))
		close(finish)
		Expect(<-drained).To(Succeed())
		waitGroup.Wait()
		Expect(succeeded.Load()).To(Equal(int64(4)))
	})
})

// Guards against a second run of a request with a key, and against the outcome not-run for a request that ran. Each key
// is used for several concurrent requests through two entries. Some responses are lost between the agent and the entry.
// At the end, the agent that issued the keys restarts.
var _ = Describe("keyed requests", func() {
	It("run at most once if several requests with the same key are sent concurrently", func() {
		// runCounts maps the X-Work header of each request to the number of times that the request has run.
		var runCounts sync.Map
		endpoint := newAgent(func(w http.ResponseWriter, r *http.Request) {
			n, _ := runCounts.LoadOrStore(r.Header.Get("X-Work"), new(atomic.Int64))
			n.(*atomic.Int64).Add(1)
			// The endpoint runs the request, but sends no response to one request in ten.
			if strings.HasSuffix(r.Header.Get("X-Work"), "3") {
				panic(http.ErrAbortHandler)
			}
			_, _ = w.Write([]byte("ran " + r.Header.Get("X-Work")))
		})
		announcement := message.Announcement{
			Address:  strings.TrimPrefix(endpoint.server.URL, "http://"),
			Services: []message.Service{{Name: "preview", Slots: 3, Connections: 4}},
		}
		startAgent := func(generation string) (*gateway.Gateway, *agent) {
			g := &gateway.Gateway{VM: "vm", Journal: journaler.New(journaler.Options{VM: "vm", Generation: generation})}
			Expect(g.Announce(announcement)).To(Succeed())
			var requestCount atomic.Int64
			return g, newAgent(func(w http.ResponseWriter, r *http.Request) {
				if requestCount.Add(1)%5 == 0 {
					// The gateway serves the request, but its response does not reach the entry.
					g.ServeHTTP(httptest.NewRecorder(), r)
					panic(http.ErrAbortHandler)
				}
				g.ServeHTTP(w, r)
			})
		}
		g, issuingAgent := startAgent("1")
		requester := keyRequester{"vm": g.Journal}
		forwarders := []*forwarder.Forwarder{{KeyRequester: requester}, {KeyRequester: requester}}
		var entries []*httptest.Server
		for _, f := range forwarders {
			entries = append(entries, newEntry(f))
			f.Observe(issuingAgent.heartbeat("vm", "1", 1, 50))
		}
		type result struct{ requestName, outcome, text string }
		var mutex sync.Mutex
		var results []result
		var waitGroup sync.WaitGroup
		var issuedKeys []string
		sendKeyed := func(entry *httptest.Server, requestName, key string) result {
			_, outcome, text, err := sendPut(entry.URL+"/v1/services/preview/p", "b", map[string]string{message.HeaderKey: key, "X-Work": requestName})
			if err != nil {
				outcome = message.OutcomeUnknown
			}
			return result{requestName, outcome, text}
		}
		for k := range 40 {
			response, err := http.Post(entries[k%2].URL+"/v1/services/preview/keys", "", nil)
			Expect(err).NotTo(HaveOccurred())
			text, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			key := strings.Split(string(text), `"`)[3]
			issuedKeys = append(issuedKeys, key)
			for i := range 4 {
				waitGroup.Go(func() {
					defer GinkgoRecover()
					e := sendKeyed(entries[i%2], fmt.Sprint("w", k), key)
					mutex.Lock()
					defer mutex.Unlock()
					results = append(results, e)
				})
			}
		}
		waitGroup.Wait()
		countByOutcome := map[string]int{}
		checkResult := func(e result) {
			n, _ := runCounts.LoadOrStore(e.requestName, new(atomic.Int64))
			runCount := n.(*atomic.Int64).Load()
			Expect(runCount).To(BeNumerically("<=", 1), "%+v", e)
			switch e.outcome {
			case message.OutcomeNotRun:
				Expect(runCount).To(BeZero(), "%+v", e)
			case message.OutcomeDone:
				Expect([]any{runCount, e.text}).To(Equal([]any{int64(1), "ran " + e.requestName}))
			}
			countByOutcome[e.outcome]++
		}
		for _, e := range results {
			checkResult(e)
		}
		Expect(countByOutcome[message.OutcomeDone]).To(BeNumerically(">", 0))
		Expect(countByOutcome[message.OutcomeUnknown]).To(BeNumerically(">", 0))
		_, restartedAgent := startAgent("2")
		for _, f := range forwarders {
			f.Observe(restartedAgent.heartbeat("vm", "2", 1, 50))
		}
		for k, key := range issuedKeys {
			e := sendKeyed(entries[k%2], fmt.Sprint("w", k), key)
			Expect(e.outcome).To(Equal(message.OutcomeUnknown))
			checkResult(e)
		}
	})
})
