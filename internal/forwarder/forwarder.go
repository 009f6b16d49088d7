// Package forwarder serves the caller API of an entry: it admits requests, chooses an endpoint, retries and hedges
// within a budget, and passes on only complete responses to the caller's own request.
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
	// maxServices bounds the services that heartbeats may create.
	maxServices = 1024
	// maxConnectionsPerAgent allows every slot and queue place of one agent; 2,000 requests/s need far fewer.
	maxConnectionsPerAgent = 128
	// capacityInterval is how often the capacity is summed over the endpoints of a group.
	capacityInterval = 100 * time.Millisecond
	// maxHeartbeatAge is the age of a heartbeat beyond which its slots are not used.
	maxHeartbeatAge = 2 * time.Second
	// scheduleInterval is how often the shares are evaluated; rules begin and end at whole minutes.
	scheduleInterval = time.Second
)

type (
	// Clock tells the time and wakes waiters.
	Clock interface {
		Now() time.Time
		After(d time.Duration) <-chan time.Time
	}

	// KeyIssuer asks the agent at the peer address for a key by the peer call agent.key.
	KeyIssuer interface {
		IssueKey(ctx context.Context, address string, r message.KeyRequest) (message.KeyResponse, error)
	}

	// Limits limit a request. A zero field has the default given here.
	Limits struct {
		// MaxBodyBytes is in bytes; default 64 MiB.
		MaxBodyBytes int64 `json:"body"`
		// MaxHeaderBytes is the sum of the lengths of header names and values; default 64 KiB.
		MaxHeaderBytes int `json:"header"`
		// MaxTimeout is the longest allowed; default 5 min. DefaultTimeout applies without a header; default 30 s.
		MaxTimeout     time.Duration `json:"timeout"`
		DefaultTimeout time.Duration `json:"default-timeout"`
		// MaxAttempts is the most for one request, hedged ones included; default 3.
		MaxAttempts int `json:"attempts"`
		// RetryBufferBytes is the largest body that is kept for a retry; default 64 KiB.
		RetryBufferBytes int64 `json:"buffer"`
	}

	// Forwarder serves the caller API. Set the exported fields before use. Concurrent use is safe.
	Forwarder struct {
		// Detector keeps the VMs; Observe feeds it.
		Detector *detector.Detector[message.Heartbeat]
		// KeyIssuer issues keys for non-idempotent requests.
		KeyIssuer KeyIssuer
		// Clock defaults to the system clock.
		Clock Clock
		// Shares maps kinds of work to their guaranteed weights. The kind of a request is the name of its service unless the caller
		// names one of Shares. OtherShare is divided equally among the services that Shares does not name; without Shares its default
		// is 1. SetShares replaces both.
		Shares     map[string]float64
		OtherShare float64
		// EntryCount returns the number of live entries, which share the slots; default 1.
		EntryCount func() int
		Limits     Limits
		// HedgeDelay is the delay of a hedged request until latencies are known; default 50 ms. A negative value disables hedging.
		HedgeDelay time.Duration
		// DrainGrace is how long a drain accepts requests after readiness fails, for the load balancer to notice; default 5 s.
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

	// service is the state of one service. The mutex of the forwarder guards group.
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

// Observe takes a heartbeat of an agent. It returns false if the heartbeat is out of date.
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
	now := &vmState{slots: e.Slots, draining: draining, seenAt: f.Clock.Now()}
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
		now.services = append(now.services, s.Name)
		p.router.Report(e)
	}
	f.updateVM(h.VM, now)
	return true
}

// endpointReport returns the report of the VM over all its services, which share the slots. If their limits differ the lowest applies.
func endpointReport(h message.Heartbeat) router.Endpoint {
	e := router.Endpoint{VM: h.VM, Generation: h.Generation, Address: h.RequestAddress}
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

// RemoveLostVMs forgets VMs that are lost. Call it every few seconds; without it lost VMs only use memory.
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

// Ready reports whether the load balancer should send requests here.
func (f *Forwarder) Ready() bool {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	return !f.notReady
}

// Drain fails readiness, accepts requests for the grace period, then refuses new ones and waits for those in flight. It returns an error
// if ctx ends first.
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
	idle := f.drained
	f.mutex.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "forwarder: requests are still in flight")
	}
}

// beginRequest counts a request. It returns false when the entry is draining.
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

// lookUp returns the service, with its limiter and the kind that the limiter knows for a request of the given kind.
func (f *Forwarder) lookUp(name, kind string) (*service, *limiter.Limiter, string) {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	p := f.services[name]
	if p == nil {
		return nil, nil, ""
	}
	f.refreshCapacity(p.group)
	// An invented kind has no share of its own.
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
