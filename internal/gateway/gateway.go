// Package gateway is the HTTP server on which an agent receives the requests of entries. It forwards each request
// to the endpoint, the user's server process on the same VM, and never exceeds the endpoint's limits. A request
// with an idempotency key is sent to the endpoint at most once; the journal of the agent keeps its response.
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
	// announcementTTL is how long an announcement is valid. Endpoints repeat theirs every few hundred milliseconds.
	announcementTTL = 2 * time.Second
	// maxServices is the maximum number of services that one endpoint may announce.
	maxServices = 256
)

type (
	// Clock returns the current time and channels that act as timers.
	Clock interface {
		Now() time.Time
		After(d time.Duration) <-chan time.Time
	}

	// Gateway forwards requests to the endpoint on its VM. It is an http.Handler. Set the exported fields before
	// the first request. A Gateway is safe for concurrent use.
	Gateway struct {
		// VM is the VM name in response headers.
		VM string
		// Journal holds the idempotency keys and their responses.
		Journal *journaler.Journaler
		// Clock defaults to the system clock.
		Clock Clock
		// DefaultSlots is the maximum number of concurrent requests, and DefaultConnections the maximum number of
		// connections, of an endpoint that announces no limit of its own; defaults 8 and 64.
		DefaultSlots       int
		DefaultConnections int
		// MaxQueueDelay is the maximum time that a request waits for a slot; default 20 ms.
		MaxQueueDelay time.Duration
		// MaxBodyBytes is the maximum size of a request body; default 64 MiB.
		MaxBodyBytes int64

		once    sync.Once
		limiter *limiter.Limiter
		// transport sends the requests to the endpoint. It is replaced when the limit of connections changes.
		transport atomic.Pointer[http.Transport]
		// mutex guards the fields below, except for latencies, which has its own mutex.
		mutex sync.Mutex
		// services maps the names of the announced services to their state. loads has in addition the services that
		// are no longer announced but still have requests.
		services  map[string]*service
		loads     map[string]*serviceLoad
		latencies latencyTracker
		// slots and connections are the limits in effect for the endpoint. declaredSlots and declaredConnections
		// are the upper limits that SetLimits has set; 0 means no limit.
		slots, connections                 int
		declaredSlots, declaredConnections int
		// announcement is the last announcement. endpointStopping is true if it says that the endpoint is about to
		// stop, and draining once Drain has been called.
		announcement     message.Announcement
		endpointStopping bool
		draining         bool
		// inFlight is the number of requests that are queued or sent to the endpoint. drained is closed when it
		// falls to 0 during Drain.
		requestCount int
		drained      chan struct{}
	}

	// service is one announced service; address is that of the endpoint. A service is immutable, because requests read
	// it without holding the mutex.
	service struct {
		load        *serviceLoad
		address     string
		announcedAt time.Time
	}

	// serviceLoad counts the requests of one service that hold a slot and those that wait for one.
	serviceLoad struct{ running, queued atomic.Int64 }
)

var counters = expvar.NewMap("gateway")

// Announce replaces the services of the endpoint. They expire 2 s after the last announcement. If the announcement
// has no address or too many services, Announce returns an error and changes nothing.
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
		// The load of a service with requests is kept, so that they still count if the service is announced again.
		if loads[name] == nil && l.running.Load()+l.queued.Load() > 0 {
			loads[name] = l
		}
	}
	g.loads = loads
	g.applyLimits()
	return nil
}

// SetLimits sets the upper limits that are declared for the slots and connections of the endpoint on this VM; 0
// means no limit. A lower limit doesn't abort requests, but takes effect as they finish.
func (g *Gateway) SetLimits(slots, connections int) {
	g.init()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.declaredSlots, g.declaredConnections = slots, connections
	g.applyLimits()
}

// applyLimits computes the limits of the endpoint, which all its services share, and applies them. If the services
// announce different limits, the lowest applies, because a higher one could overload the endpoint. The caller must
// hold the mutex.
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
	// A queued request needs no slot yet, but it counts towards the connections.
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

// ServiceLoads returns the announced services with their load, sorted by name. Slots and Connections are the limits
// of the whole endpoint, which all services share.
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
			InFlight: int(s.load.running.Load()), Queued: int(s.load.queued.Load()), Latency: median, LatencyAge: age,
		})
	}
	slices.SortFunc(services, func(a, b message.Service) int { return strings.Compare(a.Name, b.Name) })
	return services
}

// Draining reports whether new requests are rejected because the agent is draining or the endpoint is about to stop.
func (g *Gateway) Draining() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.draining || g.endpointStopping
}

// Drain makes the gateway reject new requests, and waits until no request is in flight. If ctx ends first, it
// returns an error, and new requests are still rejected.
func (g *Gateway) Drain(ctx context.Context) error {
	g.mutex.Lock()
	g.draining = true
	if g.requestCount == 0 {
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

// ServeHTTP forwards one request to the endpoint. If the gateway rejects the request, or gets no response from the
// endpoint, the body of its own response is a message.ErrorResponse.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.init()
	x, f := g.parse(w, r)
	if f != nil {
		// Unless its key is revoked, a request with the same key could still run if another entry sends it. The
		// outcome is unknown then.
		if x.key != "" && !g.Journal.Revoke(x.key) {
			f.Outcome = message.OutcomeUnknown
		}
		x.writeFailure(*f)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), x.remaining)
	defer cancel()
	if x.key != "" {
		g.serveKeyedRequest(ctx, x)
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

// admit waits for a slot of the endpoint and returns the function that releases it. If admit returns a failure, the
// request must not be sent to the endpoint.
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
			return nil, notRunFailure(message.ReasonPastDeadline, 0, "the time of the request ran out in the queue")
		}
		return nil, notRunFailure(message.ReasonBusy, rejection.RetryAfter,
			"all slots of %s are in use (%s)", g.VM, rejection.Reason)
	}
	x.targetService = s
	s.load.running.Add(1)
	release := func() {
		s.load.running.Add(-1)
		ticket.Release()
		g.endRequest()
	}
	if ctx.Err() != nil {
		release()
		return nil, notRunFailure(message.ReasonPastDeadline, 0, "the time of the request ran out before the call")
	}
	return release, nil
}

// beginRequest counts a request as in flight and returns its service. It returns a failure if the gateway is
// draining or the service isn't announced.
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
	g.requestCount++
	return s, nil
}

// endRequest removes a request from the count, and ends a Drain that waits for the last one.
func (g *Gateway) endRequest() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.requestCount--
	if g.requestCount == 0 && g.drained != nil {
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

// notRunFailure returns the failure of a request that has not run and will not run.
func notRunFailure(reason string, retryAfter time.Duration, format string, values ...any) *message.ErrorResponse {
	return &message.ErrorResponse{
		Outcome: message.OutcomeNotRun, Reason: reason, RetryAfterMS: retryAfter.Milliseconds(),
		Message: "gateway: " + fmt.Sprintf(format, values...),
	}
}

type systemClock struct{}

func (systemClock) Now() time.Time                         { return time.Now() }
func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
