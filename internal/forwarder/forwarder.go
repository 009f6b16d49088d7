// Package forwarder implements the HTTP API that an entry offers to callers. For each request it selects an endpoint,
// which is a server process on a VM, and sends the request to the agent on that VM. If an attempt fails, the request is
// sent again; if the response is slow, a second copy of the request (a hedged request) is sent to another VM. A budget
// limits the number of both. A caller gets only the response to its own request. If that response is truncated, the
// connection to the caller is closed.
package forwarder

import (
	"context"
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"bamboohook/budgeter"
	"bamboohook/detector"
	"bamboohook/internal/exchange"
	"bamboohook/internal/message"
	"bamboohook/limiter"
	"bamboohook/router"
)

const (
	defaultMaxBodyBytes     = 64 << 20
	defaultMaxHeaderBytes   = 64 << 10
	defaultMaxTimeout       = 5 * time.Minute
	defaultTimeout          = 30 * time.Second
	defaultMaxAttempts      = 3
	defaultRetryBufferBytes = 64 << 10
	defaultHedgeDelay       = 50 * time.Millisecond
	// maxServices is the maximum number of services that the forwarder registers from heartbeats.
	maxServices = 1024
	// maxConnectionsPerAgent is the maximum number of connections from this entry to one agent. It should suffice for
	// all requests that run or wait at one agent; 2,000 requests/s through one entry need far fewer.
	maxConnectionsPerAgent = 128
	// capacityInterval is the minimum time between two updates of the capacity of a limiter from the slots in the
	// heartbeats.
	capacityInterval = 100 * time.Millisecond
	// maxHeartbeatAge is the age of the last heartbeat above which the slots of its VM don't count, and only requests
	// with a key are still sent to the VM.
	maxHeartbeatAge = 2 * time.Second
	// scheduleInterval is the minimum time between two calls of the function that is passed to SetShareSchedule. The
	// rules in the inventory change the shares at whole minutes only.
	scheduleInterval = time.Second
)

type (
	// Clock returns the current time and channels that act as timers.
	Clock interface {
		Now() time.Time
		After(d time.Duration) <-chan time.Time
	}

	// KeyRequester asks an agent to issue an idempotency key. The address is the one on which the agent accepts calls
	// of other processes (message.Heartbeat.PeerAddress).
	KeyRequester interface {
		RequestKey(ctx context.Context, address string, r message.KeyRequest) (message.KeyResponse, error)
	}

	// Limits are the limits of a caller's request. A field that is 0 means the default.
	Limits struct {
		// MaxBodyBytes is the maximum size of the body; default 64 MiB.
		MaxBodyBytes int64 `json:"body"`
		// MaxHeaderBytes is the maximum sum of the lengths of header names and values; default 64 KiB.
		MaxHeaderBytes int `json:"header"`
		// MaxTimeout is the longest timeout that a caller may set; default 5 min. DefaultTimeout applies if the
		// caller sets none; default 30 s.
		MaxTimeout     time.Duration `json:"timeout"`
		DefaultTimeout time.Duration `json:"default-timeout"`
		// MaxAttempts is the maximum number of times that a request is sent, including a hedged request; default 3.
		MaxAttempts int `json:"attempts"`
		// RetryBufferBytes is the maximum size of a body that is buffered, so that it can be sent again; default
		// 64 KiB.
		RetryBufferBytes int64 `json:"buffer"`
	}

	// Forwarder serves the HTTP API for callers. Set the exported fields before use. It is safe for concurrent use.
	Forwarder struct {
		// Detector stores the last heartbeat of each VM and derives the status of the VM from it. Observe passes
		// heartbeats to it.
		Detector *detector.Detector[message.Heartbeat]
		// KeyRequester requests the idempotency keys for callers. If it is nil, callers get no keys.
		KeyRequester KeyRequester
		// Clock defaults to the system clock.
		Clock Clock
		// Shares maps kinds of requests to their guaranteed shares of the slots. The kind of a request is the name of
		// its service, unless the caller sets a kind that is in Shares. OtherShare is divided equally among the
		// services that are not in Shares; if Shares is empty, OtherShare defaults to 1. SetShares and SetShareSchedule
		// change both fields.
		Shares     map[string]float64
		OtherShare float64
		// EntryCount returns the number of live entries, which divide the slots of all VMs equally. By default the
		// number is 1.
		EntryCount func() int
		Limits     Limits
		// HedgeDelay is the initial delay after which a hedged request is sent if there is no response yet; default 50
		// ms. Each response moves the delay of its service towards the 95th percentile of the latencies of the service.
		// A negative value disables hedged requests.
		HedgeDelay time.Duration
		// DrainGrace is how long the entry still accepts requests after Drain has made Ready return false; default 5 s.
		// In this time the load balancer can notice that it must send no more requests.
		DrainGrace time.Duration

		once        sync.Once
		transport   http.RoundTripper
		mutex       sync.RWMutex
		loadTracker router.LoadTracker
		services    map[string]*service
		// vms holds the state of each VM whose last heartbeat names at least one service.
		vms map[string]*vmState
		// schedule is the function passed to SetShareSchedule, or nil.
		schedule            func(time.Time) map[string]float64
		scheduleEvaluatedAt time.Time
		// notReady is true once Drain has been called. draining is true once DrainGrace has passed and new requests are
		// rejected.
		notReady bool
		draining bool
		// requestCount is the number of requests in progress. drained is closed when requestCount falls to 0 while
		// Drain waits for that.
		requestCount int
		drained      chan struct{}
	}

	// service is the state of one service. group is the group to which the service belongs; the mutex of Forwarder
	// guards it. hedgeDelay is the delay after which a hedged request is sent.
	service struct {
		name       string
		router     *router.Router
		group      *group
		budget     *budgeter.Budgeter
		hedgeDelay *latencyQuantile
	}
)

var counters = expvar.NewMap("forwarder")

// Register adds the routes of the HTTP API for callers.
func (f *Forwarder) Register(e *echo.Echo) {
	f.init()
	e.POST("/v1/services/:service/keys", f.serveKeyRequest)
	e.Any("/v1/services/:service/*", f.serveRequest)
}

// Observe processes a heartbeat of an agent: it updates the state of the VM and the groups of services. If the same or
// a newer heartbeat of the VM has already been processed, Observe ignores this one and returns false.
func (f *Forwarder) Observe(h message.Heartbeat) bool {
	f.init()
	draining := h.State != message.StateUp
	if !f.Detector.Observe(detector.Heartbeat[message.Heartbeat]{
		VM: h.VM, Generation: h.Generation, Sequence: h.Sequence, Draining: draining, Content: h,
	}) {
		return false
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.applySchedule()
	e := endpointReport(h)
	e.Draining = draining
	state := &vmState{slots: e.Slots, draining: draining, receivedAt: f.Clock.Now()}
	for _, s := range h.Services {
		p := f.services[s.Name]
		if p == nil {
			if len(f.services) >= maxServices {
				counters.Add("services-over-bound", 1)
				continue
			}
			p = f.newService(s.Name)
			f.services[s.Name] = p
		}
		state.services = append(state.services, s.Name)
		p.router.Report(e)
	}
	f.updateVM(h.VM, state)
	return true
}

// endpointReport returns the report about a VM that the routers of its services get: the limits, and the load of all
// services together. The services share the slots of the VM. If they state different limits, the lowest one applies.
func endpointReport(h message.Heartbeat) router.EndpointReport {
	e := router.EndpointReport{VM: h.VM, Generation: h.Generation, Address: h.RequestAddress}
	for i, s := range h.Services {
		if i == 0 {
			e.Slots, e.Connections = s.Slots, s.Connections
		}
		e.Slots, e.Connections = min(e.Slots, s.Slots), min(e.Connections, s.Connections)
		e.InFlight += s.InFlight
		e.Queued += s.Queued
	}
	return e
}

// RemoveLostVMs deletes the state of lost VMs, which have sent no heartbeat for a long time. Call it every few seconds.
// Otherwise the state stays in memory, and requests with a key are still sent to lost VMs.
func (f *Forwarder) RemoveLostVMs() {
	f.init()
	for _, m := range f.Detector.Members() {
		if f.Detector.RemoveLost(m.VM) {
			f.mutex.Lock()
			f.updateVM(m.VM, nil)
			f.mutex.Unlock()
		}
	}
}

// Ready reports whether the load balancer should send requests to this entry. It returns false once Drain has been
// called.
func (f *Forwarder) Ready() bool {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	return !f.notReady
}

// Drain makes Ready return false and still accepts requests for DrainGrace. Then it rejects new requests and waits
// until no request is in progress. If ctx ends first, Drain returns an error.
func (f *Forwarder) Drain(ctx context.Context) error {
	f.init()
	f.mutex.Lock()
	f.notReady = true
	f.mutex.Unlock()
	select {
	case <-f.Clock.After(f.DrainGrace):
	case <-ctx.Done():
	}
	f.mutex.Lock()
	f.draining = true
	if f.requestCount == 0 {
		f.mutex.Unlock()
		return nil
	}
	if f.drained == nil {
		f.drained = make(chan struct{})
	}
	drained := f.drained
	f.mutex.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "forwarder: requests are still in progress")
	}
}

// beginRequest increments requestCount. If the entry is draining, it returns false instead.
func (f *Forwarder) beginRequest() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.draining {
		return false
	}
	f.requestCount++
	return true
}

// endRequest decrements requestCount. When requestCount falls to 0, endRequest lets a waiting Drain return.
func (f *Forwarder) endRequest() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.requestCount--
	if f.requestCount == 0 && f.drained != nil {
		close(f.drained)
		f.drained = nil
	}
}

// lookUpService returns the service with the given name, the limiter of its group, and the kind under which the limiter
// counts a request. The argument kind is the kind that the caller has set, or empty. If the service is unknown, the
// results are nil.
func (f *Forwarder) lookUpService(serviceName, kind string) (*service, *limiter.Limiter, string) {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	p := f.services[serviceName]
	if p == nil {
		return nil, nil, ""
	}
	f.refreshCapacity(p.group)
	// A kind without a weight has no share of its own. The request then counts under the name of its service.
	if _, hasWeight := p.group.weights[kind]; !hasWeight {
		kind = serviceName
	}
	return p, p.group.limiter, kind
}

// newService returns the state of a service for which no endpoint is known yet.
func (f *Forwarder) newService(name string) *service {
	return &service{
		name:       name,
		router:     router.New(router.Options{Clock: f.Clock, LoadTracker: &f.loadTracker, MaxReportAge: maxHeartbeatAge}),
		budget:     &budgeter.Budgeter{Clock: f.Clock},
		hedgeDelay: &latencyQuantile{value: f.HedgeDelay},
	}
}

func (f *Forwarder) init() {
	f.once.Do(func() {
		if f.Clock == nil {
			f.Clock = systemClock{}
		}
		if f.Detector == nil {
			f.Detector = &detector.Detector[message.Heartbeat]{Clock: f.Clock}
		}
		if f.EntryCount == nil {
			f.EntryCount = func() int { return 1 }
		}
		if f.HedgeDelay == 0 {
			f.HedgeDelay = defaultHedgeDelay
		}
		if f.DrainGrace == 0 {
			f.DrainGrace = 5 * time.Second
		}
		f.Limits.setDefaults()
		if f.OtherShare == 0 && len(f.Shares) == 0 {
			f.OtherShare = 1
		}
		f.services = map[string]*service{}
		f.vms = map[string]*vmState{}
		f.transport = exchange.NewTransport(maxConnectionsPerAgent)
	})
}

func (b *Limits) setDefaults() {
	if b.MaxBodyBytes == 0 {
		b.MaxBodyBytes = defaultMaxBodyBytes
	}
	if b.MaxHeaderBytes == 0 {
		b.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if b.MaxTimeout == 0 {
		b.MaxTimeout = defaultMaxTimeout
	}
	if b.DefaultTimeout == 0 {
		b.DefaultTimeout = min(defaultTimeout, b.MaxTimeout)
	}
	if b.MaxAttempts == 0 {
		b.MaxAttempts = defaultMaxAttempts
	}
	if b.RetryBufferBytes == 0 {
		b.RetryBufferBytes = defaultRetryBufferBytes
	}
}

type systemClock struct{}

func (systemClock) Now() time.Time                         { return time.Now() }
func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
