// Package gateway implements the HTTP server of an agent. An entry sends the request of a caller to the agent on a VM.
// The gateway there forwards the request to the endpoint, a server process on the same VM, and never exceeds the limits
// of the endpoint. A request with an idempotency key is sent to the endpoint at most once; the journal of the agent
// stores its response for later requests with the same key.
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
	// announcementTTL is how long an announcement is valid. An endpoint announces its address and services to the agent
	// every few hundred milliseconds.
	announcementTTL = 2 * time.Second
	// maxServices is the maximum number of services that an endpoint may announce.
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
		// Journal holds the idempotency keys and the responses to their requests.
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
		// transport sends the requests to the endpoint. It is replaced when the maximum number of connections changes.
		transport atomic.Pointer[http.Transport]
		// mutex guards the fields below, except for latencies, which has its own mutex.
		mutex sync.Mutex
		// services maps the names of the announced services to their state. loads maps these names, and those of
		// services that are no longer announced but still have requests, to the loads of the services.
		services  map[string]*service
		loads     map[string]*serviceLoad
		latencies latencyTracker
		// slots and connections are the limits in effect for the endpoint. declaredSlots and declaredConnections are
		// the upper limits that the inventory declares and SetLimits has set; 0 means no limit.
		slots, connections                 int
		declaredSlots, declaredConnections int
		// announcement is the last announcement. endpointStopping is true if it says that the endpoint is about to
		// stop. draining is true once Drain has been called.
		announcement     message.Announcement
		endpointStopping bool
		draining         bool
		// requestCount is the number of requests that are queued or hold a slot. drained is closed when requestCount
		// falls to 0 while Drain waits for that.
		requestCount int
		drained      chan struct{}
	}

	// service is one announced service. address is the address of the endpoint. A service is never changed, only
	// replaced, because requests read it without holding the mutex.
	service struct {
		load        *serviceLoad
		address     string
		announcedAt time.Time
	}

	// serviceLoad counts the requests of one service: running is the number of requests that hold a slot, and queued
	// that of requests that wait for one.
	serviceLoad struct{ running, queued atomic.Int64 }
)

var counters = expvar.NewMap("gateway")

// Announce replaces the services of the endpoint by those in the announcement, which expire after 2 s unless they are
// announced again. If the announcement has no address or too many services, Announce returns an error and changes
// nothing.
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
		// The load of a service that still has requests is kept, so that these requests count if the service is
		// announced again.
		if loads[name] == nil && l.running.Load()+l.queued.Load() > 0 {
			loads[name] = l
		}
	}
	g.loads = loads
	g.applyLimits()
	return nil
}

// SetLimits sets the upper limits that the inventory declares for the slots and connections of the endpoint; 0 means no
// limit. If a limit is lowered, running requests continue, and new ones are admitted when fewer requests than the new
// limit are running.
func (g *Gateway) SetLimits(slots, connections int) {
	g.init()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.declaredSlots, g.declaredConnections = slots, connections
	g.applyLimits()
}

// applyLimits computes the limits of the endpoint, which all its services share, and applies them to the limiter and
// the transport. If the services announce different limits, the lowest one applies, because a higher one could overload
// the endpoint. The caller must hold the mutex.
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
	// The queue is limited so that the number of running and queued requests together never exceeds the connections.
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

// ServiceLoads returns the announced services with their loads, sorted by name. Services whose announcement has expired
// are left out. Slots and Connections are the same in all of them: the limits of the whole endpoint.
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

// Drain makes the gateway reject new requests, and waits until no request is queued or running. If ctx ends first,
// Drain returns an error, and new requests are still rejected.
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
		return eris.Wrap(ctx.Err(), "gateway: requests are still queued or running")
	}
}

// ServeHTTP forwards one request to the endpoint and writes the response of the endpoint. If it rejects the request, or
// if the endpoint does not respond, it writes a message.ErrorResponse instead.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.init()
	x, f := g.parse(w, r)
	if f != nil {
		// The outcome not-run promises that the request will never run. If the request has a key, the key must be
		// revoked for that, because another entry may send a request with the same key. If the key can't be revoked,
		// the outcome is unknown.
		if x.key != "" && !g.Journal.Revoke(x.key) {
			f.Outcome = message.OutcomeUnknown
		}
		x.writeFailure(*f)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), x.timeout)
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

// admit waits for a slot of the endpoint and returns the function that releases the slot. If admit returns a failure
// instead, the request must not be sent to the endpoint.
func (g *Gateway) admit(ctx context.Context, x *proxyRequest) (func(), *message.ErrorResponse) {
	s, f := g.beginRequest(x.service)
	if f != nil {
		return nil, f
	}
	s.load.queued.Add(1)
	// All requests have the same kind, because all services share the slots of the endpoint.
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

// beginRequest increments requestCount and returns the service of the request. If the gateway is draining or the
// service is not announced, it returns a failure instead.
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

// endRequest decrements requestCount. When requestCount falls to 0, endRequest lets a waiting Drain return.
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

// notRunFailure returns the failure of a request that has not run and will not run. Its message is formatted like that
// of fmt.Sprintf.
func notRunFailure(reason string, retryAfter time.Duration, format string, values ...any) *message.ErrorResponse {
	return &message.ErrorResponse{
		Outcome: message.OutcomeNotRun, Reason: reason, RetryAfterMS: retryAfter.Milliseconds(),
		Message: "gateway: " + fmt.Sprintf(format, values...),
	}
}

type systemClock struct{}

func (systemClock) Now() time.Time                         { return time.Now() }
func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
