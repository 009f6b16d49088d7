// Package gateway is the request server of an agent. It forwards requests to the endpoint on the same VM within
// the endpoint's limits, and keeps the journal of requests with an idempotency key.
package gateway

import (
	"context"
	"expvar"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/internal/exchange"
	"bamboohook/internal/message"
	"bamboohook/journaler"
	"bamboohook/limiter"
)

const (
	defaultSlots         = 8
	defaultConnections   = 64
	defaultMaxQueueDelay = 20 * time.Millisecond
	defaultMaxBodyBytes  = 64 << 20
	// announcementTTL is how long an announcement is valid. Endpoints announce every few hundred milliseconds.
	announcementTTL = 2 * time.Second
	// maxServices is the maximum number of services of one endpoint.
	maxServices = 256
)

type (
	// Clock returns the current time and wakes waiting requests.
	Clock interface {
		Now() time.Time
		After(d time.Duration) <-chan time.Time
	}

	// Gateway is an http.Handler. Set the exported fields before the first request. It is safe for concurrent
	// use.
	Gateway struct {
		// VM is the VM name in response headers.
		VM string
		// Journal holds the idempotency keys and their responses.
		Journal *journaler.Journaler
		// Clock defaults to the system clock.
		Clock Clock
		// DefaultSlots and DefaultConnections apply to an endpoint that announces none; defaults 8 and 64.
		DefaultSlots       int
		DefaultConnections int
		// MaxQueueDelay is the maximum time that a request waits for a slot; default 20 ms.
		MaxQueueDelay time.Duration
		// MaxBodyBytes is the maximum size of a request body; default 64 MiB.
		MaxBodyBytes int64

		once      sync.Once
		limiter   *limiter.Limiter
		transport atomic.Pointer[http.Transport]
		mutex     sync.Mutex
		services  map[string]*service
		loads     map[string]*serviceLoad
		latencies latencyTracker
		// slots and connections are the limits in effect for the endpoint. declaredSlots and declaredConnections
		// are upper limits of SetLimits; 0 means no limit.
		slots, connections                 int
		declaredSlots, declaredConnections int
		announcement                       message.Announcement
		endpointStopping                   bool
		draining                           bool
		inFlight                           int
		drained                            chan struct{}
	}

	// service is immutable, because requests read it without holding the mutex.
	service struct {
		load        *serviceLoad
		address     string
		announcedAt time.Time
	}

	// serviceLoad counts the requests of one service.
	serviceLoad struct{ inFlight, queued atomic.Int64 }
)

var counters = expvar.NewMap("gateway")

// Announce sets the services of the endpoint. They expire 2 s after the last announcement. If the announcement
// is out of bounds Announce returns an error and changes nothing.
func (g *Gateway) Announce(a message.Announcement) error {
	g.init()
	if a.Address == "" || len(a.Services) > maxServices {
		return eris.Errorf("gateway: announcement with address %q and %d services; allowed are an address and up to %d services",
			a.Address, len(a.Services), maxServices)
	}
	now := g.Clock.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.endpointStopping = a.Leaving
	g.announcement = a
	loads := make(map[string]*serviceLoad, len(a.Services))
	g.services = make(map[string]*service, len(a.Services))
	for _, s := range a.Services {
		l := g.loads[s.Name]
		if l == nil {
			l = &serviceLoad{}
		}
		loads[s.Name] = l
		g.services[s.Name] = &service{l, a.Address, now}
	}
	for name, l := range g.loads {
		// A service that is withdrawn and announced again must still count its running requests.
		if loads[name] == nil && l.inFlight.Load()+l.queued.Load() > 0 {
			loads[name] = l
		}
	}
	g.loads = loads
	g.applyLimits()
	return nil
}

// SetLimits sets upper limits for the slots and connections of the endpoint; 0 means no limit. A reduction takes
// effect as requests finish.
func (g *Gateway) SetLimits(slots, connections int) {
	g.init()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.declaredSlots, g.declaredConnections = slots, connections
	g.applyLimits()
}

// applyLimits computes the limits of the endpoint, which all its services share, and applies them. If the
// announced numbers differ the lowest applies, because a higher one would exceed the limit of the endpoint.
func (g *Gateway) applyLimits() {
	slots, connections := 0, 0
	for _, s := range g.announcement.Services {
		slots, connections = lowerLimit(slots, s.Slots), lowerLimit(connections, s.Connections)
	}
	if slots == 0 {
		slots = g.DefaultSlots
	}
	if connections == 0 {
		connections = g.DefaultConnections
	}
	connections = lowerLimit(connections, g.declaredConnections)
	slots = min(lowerLimit(slots, g.declaredSlots), connections)
	if slots == g.slots && connections == g.connections {
		return
	}
	g.limiter.SetCapacity(slots)
	// A queued request occupies a connection but no slot.
	g.limiter.SetMaxQueueLength(connections - slots)
	if connections != g.connections {
		oldTransport := g.transport.Swap(exchange.NewTransport(connections))
		oldTransport.CloseIdleConnections()
	}
	g.slots, g.connections = slots, connections
}

// lowerLimit returns the lower of two limits. A limit of 0 or less means no limit.
func lowerLimit(a, b int) int {
	if a <= 0 || b > 0 && b < a {
		return max(b, 0)
	}
	return a
}

// ServiceLoads returns the announced services with their load, in the order of their names. Slots and
// Connections are those of the endpoint, which all services share.
func (g *Gateway) ServiceLoads() []message.Service {
	g.init()
	now := g.Clock.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	services := make([]message.Service, 0, len(g.services))
	for name, s := range g.services {
		if now.Sub(s.announcedAt) > announcementTTL {
			continue
		}
		median, age := g.latencies.median(name, now)
		services = append(services, message.Service{
			Name: name, Slots: g.slots, Connections: g.connections,
			InFlight: int(s.load.inFlight.Load()), Queued: int(s.load.queued.Load()), Latency: median, LatencyAge: age,
		})
	}
	slices.SortFunc(services, func(a, b message.Service) int { return strings.Compare(a.Name, b.Name) })
	return services
}

// Draining reports whether new requests are rejected because the agent is draining or the endpoint is shutting
// down.
func (g *Gateway) Draining() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.draining || g.endpointStopping
}

// Drain rejects new requests and waits for those in flight. If ctx ends first it returns an error, and new
// requests are still rejected.
func (g *Gateway) Drain(ctx context.Context) error {
	g.mutex.Lock()
	g.draining = true
	if g.inFlight == 0 {
		g.mutex.Unlock()
		return nil
	}
	if g.drained == nil {
		g.drained = make(chan struct{})
	}
	drained := g.drained
	g.mutex.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "gateway: requests are still in flight")
	}
}

// ServeHTTP forwards one request to the endpoint. The response to a request that is rejected before the call has
// a message.ErrorResponse as its body.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.init()
	x, f := g.parse(w, r)
	if f != nil {
		// A key that is not revoked could still run through another entry, so its outcome is unknown then.
		if x.key != "" && !g.Journal.Revoke(x.key) {
			f.Outcome = message.OutcomeUnknown
		}
		x.writeFailure(*f)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), x.remaining)
	defer cancel()
	if x.key != "" {
		g.serveKeyed(ctx, x)
		return
	}
	release, f := g.admit(ctx, x)
	if f != nil {
		x.writeFailure(*f)
		return
	}
	defer x.releaseSlot(release)
	x.call(ctx, nil)
}

// admit takes a slot of the endpoint and returns the function that releases it. If it returns a failure the
// request must not run.
func (g *Gateway) admit(ctx context.Context, x *proxyRequest) (func(), *message.ErrorResponse) {
	s, f := g.beginRequest(x.service)
	if f != nil {
		return nil, f
	}
	s.load.queued.Add(1)
	ticket, rejection := g.limiter.Acquire(ctx, "")
	s.load.queued.Add(-1)
	if rejection != nil {
		g.endRequest()
		if ctx.Err() != nil {
			return nil, notRunFailure(message.ReasonPastDeadline, 0, "the request timed out in the queue")
		}
		return nil, notRunFailure(message.ReasonBusy, rejection.RetryAfter,
			"all slots of %s are in use (%s)", g.VM, rejection.Reason)
	}
	x.target = s
	s.load.inFlight.Add(1)
	release := func() {
		s.load.inFlight.Add(-1)
		ticket.Release()
		g.endRequest()
	}
	if ctx.Err() != nil {
		release()
		return nil, notRunFailure(message.ReasonPastDeadline, 0, "the request timed out before the call")
	}
	return release, nil
}

func (g *Gateway) beginRequest(serviceName string) (*service, *message.ErrorResponse) {
	now := g.Clock.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.draining || g.endpointStopping {
		return nil, notRunFailure(message.ReasonDraining, 0, "%s is draining", g.VM)
	}
	s := g.services[serviceName]
	if s == nil || now.Sub(s.announcedAt) > announcementTTL {
		return nil, notRunFailure(message.ReasonUnknownService, announcementTTL, "%s has no endpoint of service %q", g.VM, serviceName)
	}
	g.inFlight++
	return s, nil
}

func (g *Gateway) endRequest() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.inFlight--
	if g.inFlight == 0 && g.drained != nil {
		close(g.drained)
		g.drained = nil
	}
}

func (g *Gateway) init() {
	g.once.Do(func() {
		if g.Clock == nil {
			g.Clock = systemClock{}
		}
		if g.DefaultSlots == 0 {
			g.DefaultSlots = defaultSlots
		}
		if g.DefaultConnections == 0 {
			g.DefaultConnections = defaultConnections
		}
		if g.MaxQueueDelay == 0 {
			g.MaxQueueDelay = defaultMaxQueueDelay
		}
		if g.MaxBodyBytes == 0 {
			g.MaxBodyBytes = defaultMaxBodyBytes
		}
		g.limiter = limiter.New(limiter.Options{
			Clock: g.Clock, Capacity: g.DefaultSlots, MaxDelay: g.MaxQueueDelay, TargetDelay: min(g.MaxQueueDelay, 10*time.Millisecond),
		})
		g.transport.Store(exchange.NewTransport(g.DefaultConnections))
	})
}

func notRunFailure(reason string, retryAfter time.Duration, format string, values ...any) *message.ErrorResponse {
	return &message.ErrorResponse{
		Outcome: message.OutcomeNotRun, Reason: reason, RetryAfterMS: retryAfter.Milliseconds(),
		Message: "gateway: " + fmt.Sprintf(format, values...),
	}
}

type systemClock struct{}

func (systemClock) Now() time.Time                         { return time.Now() }
func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
