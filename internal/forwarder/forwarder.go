// Package forwarder implements the caller API of an entry. It admits requests, selects an endpoint for each,
// retries and hedges within a budget, and passes a response on only to the caller of its request and only if it
// is complete.
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
	// maxServices is the maximum number of services that heartbeats can create.
	maxServices = 1024
	// maxConnectionsPerAgent suffices for all slots and queued requests of one agent; 2,000 requests/s need far
	// fewer.
	maxConnectionsPerAgent = 128
	// capacityInterval is how often the capacity of a group is computed from its endpoints.
	capacityInterval = 100 * time.Millisecond
	// maxHeartbeatAge is the age above which the slots in a heartbeat aren't used.
	maxHeartbeatAge = 2 * time.Second
	// scheduleInterval is how often the share schedule is evaluated. Rules begin and end at whole minutes.
	scheduleInterval = time.Second
)

type (
	// Clock returns the current time and wakes waiting requests.
	Clock interface {
		Now() time.Time
		After(d time.Duration) <-chan time.Time
	}

	// KeyRequester requests an idempotency key from the agent at the peer address, by the peer call agent.key.
	KeyRequester interface {
		RequestKey(ctx context.Context, address string, r message.KeyRequest) (message.KeyResponse, error)
	}

	// Limits are the limits of a request. A zero field uses the default given here.
	Limits struct {
		// MaxBodyBytes is the maximum size of the body; default 64 MiB.
		MaxBodyBytes int64 `json:"body"`
		// MaxHeaderBytes is the maximum sum of the lengths of header names and values; default 64 KiB.
		MaxHeaderBytes int `json:"header"`
		// MaxTimeout is the longest timeout that a caller may set; default 5 min. DefaultTimeout applies if the
		// caller sets none; default 30 s.
		MaxTimeout     time.Duration `json:"timeout"`
		DefaultTimeout time.Duration `json:"default-timeout"`
		// MaxAttempts is the maximum number of attempts for a request, including a hedged one; default 3.
		MaxAttempts int `json:"attempts"`
		// RetryBufferBytes is the size up to which a body is buffered for a retry; default 64 KiB.
		RetryBufferBytes int64 `json:"buffer"`
	}

	// Forwarder serves the caller API. Set the exported fields before use. It is safe for concurrent use.
	Forwarder struct {
		// Detector holds the VMs and their status. Observe updates it.
		Detector *detector.Detector[message.Heartbeat]
		// KeyRequester requests idempotency keys for non-idempotent requests.
		KeyRequester KeyRequester
		// Clock defaults to the system clock.
		Clock Clock
		// Shares maps kinds of work to their guaranteed shares. The kind of a request is the name of its
		// service, unless the caller names a kind in Shares. OtherShare is divided equally among the services
		// that Shares doesn't name; if Shares is empty its default is 1. SetShares replaces both.
		Shares     map[string]float64
		OtherShare float64
		// EntryCount returns the number of live entries, which divide the slots equally; default 1.
		EntryCount func() int
		Limits     Limits
		// HedgeDelay is the delay of a hedged request until latencies are known; default 50 ms. A negative value
		// disables hedging.
		HedgeDelay time.Duration
		// DrainGrace is how long Drain still accepts requests after readiness has failed, so that the load
		// balancer can notice; default 5 s.
		DrainGrace time.Duration

		once        sync.Once
		transport   http.RoundTripper
		mutex       sync.RWMutex
		loadTracker router.LoadTracker
		services    map[string]*service
		vms         map[string]*vmState
		schedule    func(time.Time) map[string]float64
		evaluatedAt time.Time
		notReady    bool
		draining    bool
		inFlight    int
		drained     chan struct{}
	}

	// service is the state of one service. The mutex of Forwarder guards group.
	service struct {
		name    string
		router  *router.Router
		group   *group
		budget  *budgeter.Budgeter
		latency *latencyQuantile
	}
)

var counters = expvar.NewMap("forwarder")

// Register adds the routes of the caller API.
func (f *Forwarder) Register(e *echo.Echo) {
	f.init()
	e.POST("/v1/services/:service/keys", f.issueKey)
	e.Any("/v1/services/:service/*", f.serveRequest)
}

// Observe processes a heartbeat of an agent. It returns false if the heartbeat is out of date.
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
	state := &vmState{slots: e.Slots, draining: draining, seenAt: f.Clock.Now()}
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

// endpointReport returns the report of a VM over all its services, which share the slots. If their limits differ
// the lowest applies.
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

// RemoveLostVMs deletes the state of lost VMs. Call it every few seconds. Without it the state of lost VMs only
// uses memory.
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

// Ready reports whether the load balancer should send requests to this entry.
func (f *Forwarder) Ready() bool {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	return !f.notReady
}

// Drain makes Ready return false, accepts requests for the grace period, then rejects new ones and waits for
// those in flight. It returns an error if ctx ends first.
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
	if f.inFlight == 0 {
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
		return eris.Wrap(ctx.Err(), "forwarder: requests are still in flight")
	}
}

// beginRequest counts a request as in flight. It returns false if the entry is draining.
func (f *Forwarder) beginRequest() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.draining {
		return false
	}
	f.inFlight++
	return true
}

func (f *Forwarder) endRequest() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.inFlight--
	if f.inFlight == 0 && f.drained != nil {
		close(f.drained)
		f.drained = nil
	}
}

// lookUp returns the service, its limiter, and the kind under which the limiter counts a request of the given
// kind.
func (f *Forwarder) lookUp(name, kind string) (*service, *limiter.Limiter, string) {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	p := f.services[name]
	if p == nil {
		return nil, nil, ""
	}
	f.refreshCapacity(p.group)
	// A kind that the configured shares don't name has no share of its own, so the request counts for its
	// service.
	if _, named := p.group.weights[kind]; !named {
		kind = name
	}
	return p, p.group.limiter, kind
}

func (f *Forwarder) newService(name string) *service {
	return &service{
		name:    name,
		router:  router.New(router.Options{Clock: f.Clock, LoadTracker: &f.loadTracker, MaxReportAge: maxHeartbeatAge}),
		budget:  &budgeter.Budgeter{Clock: f.Clock},
		latency: &latencyQuantile{value: f.HedgeDelay},
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
