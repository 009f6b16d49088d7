// Package forwarder implements the HTTP API that an entry offers to callers. For each request it selects an
// endpoint, which runs on a VM, and sends the request to the agent on that VM. It retries failed requests and hedges
// slow ones within a budget. A caller gets only the response to its own request; if a response is truncated, the
// connection to the caller is aborted.
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
	// maxConnectionsPerAgent is the maximum number of connections of this entry to one agent. It is meant to suffice
	// for all requests that an agent runs and queues; 2,000 requests/s need far fewer.
	maxConnectionsPerAgent = 128
	// capacityInterval is how often the capacity of the limiter of a group of services is computed from the slots in
	// the heartbeats.
	capacityInterval = 100 * time.Millisecond
	// maxHeartbeatAge is the age above which the slots in a heartbeat are ignored and no request is sent to the VM.
	maxHeartbeatAge = 2 * time.Second
	// scheduleInterval is how often the share schedule is evaluated. Shares change at whole minutes, because the rules
	// in the inventory do.
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

	// Limits are the limits of a caller's request. A zero field uses the default given here.
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
		// Detector holds the last heartbeat and the status of each VM. Observe updates it.
		Detector *detector.Detector[message.Heartbeat]
		// KeyRequester is used for callers that ask for an idempotency key. If it is nil, they get none.
		KeyRequester KeyRequester
		// Clock defaults to the system clock.
		Clock Clock
		// Shares maps kinds of requests to their guaranteed shares of the slots. The kind of a request is the name
		// of its service, unless the caller sets a kind that is in Shares. OtherShare is divided equally among the
		// services that are not in Shares; if Shares is empty, OtherShare defaults to 1. SetShares and
		// SetShareSchedule replace both.
		Shares     map[string]float64
		OtherShare float64
		// EntryCount returns the number of live entries, which divide the slots of all VMs equally; default 1.
		EntryCount func() int
		Limits     Limits
		// HedgeDelay is how long the forwarder at first waits for a response before it sends a hedged request;
		// default 50 ms. Each response moves this delay towards the 95th percentile of the latencies of the service.
		// A negative value disables hedging.
		HedgeDelay time.Duration
		// DrainGrace is how long the entry still accepts requests after Drain has made Ready return false, so that
		// the load balancer can notice; default 5 s.
		DrainGrace time.Duration

		once        sync.Once
		transport   http.RoundTripper
		mutex       sync.RWMutex
		loadTracker router.LoadTracker
		services    map[string]*service
		// vms holds the VMs whose last heartbeat names at least one service.
		vms map[string]*vmState
		// schedule is the function passed to SetShareSchedule, or nil.
		schedule            func(time.Time) map[string]float64
		scheduleEvaluatedAt time.Time
		// notReady is true once Drain has been called, and draining once the entry rejects new requests.
		notReady bool
		draining bool
		// inFlight is the number of requests in progress. drained is closed when it falls to 0 during Drain.
		requestCount int
		drained      chan struct{}
	}

	// service is the state of one service. group is the group to which it belongs; the mutex of Forwarder guards it.
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

// Observe processes a heartbeat of an agent. If it has already processed the same or a newer one, it ignores the
// heartbeat and returns false.
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

// endpointReport returns the report of a VM for its router: the limits and the total load of all its services. The
// services share the slots of the VM. If their limits differ, the lowest applies.
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

// RemoveLostVMs deletes the state of lost VMs. Call it every few seconds. If it isn't called, the state of lost VMs
// stays in memory, but no request is sent to them.
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

// Drain makes Ready return false and waits for DrainGrace, during which requests are still accepted. Then new ones
// are rejected, and Drain waits until no request is in flight. It returns an error if ctx ends first.
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
	f.requestCount++
	return true
}

// endRequest removes a request from the count, and ends a Drain that waits for the last one.
func (f *Forwarder) endRequest() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.requestCount--
	if f.requestCount == 0 && f.drained != nil {
		close(f.drained)
		f.drained = nil
	}
}

// lookUp returns the service with the given name, its limiter, and the kind under which the limiter counts a request
// for which the caller has set the given kind. The results are nil if the service is unknown.
func (f *Forwarder) lookUpService(serviceName, kind string) (*service, *limiter.Limiter, string) {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	p := f.services[serviceName]
	if p == nil {
		return nil, nil, ""
	}
	f.refreshCapacity(p.group)
	// A kind that is not in the shares has no share of its own, so the request counts as one of the kind that is
	// named after its service.
	if _, hasWeight := p.group.weights[kind]; !hasWeight {
		kind = serviceName
	}
	return p, p.group.limiter, kind
}

// newService returns the state of a service that has no endpoint yet.
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
