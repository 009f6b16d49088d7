// Package endpoint is a fake of an endpoint on a VM that serves callers' requests over HTTP. It processes each request for a random time, enforces limits on slots
// and connections and counts violations of them, announces itself to the agent on the same VM, and injects faults.
package endpoint

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"bamboohook/internal/message"
)

// Paths that only the fake serves, for tests.
const (
	PathFaults   = "/v1/faults"
	PathCounters = "/v1/counters"
)

const (
	defaultSlots         = 8
	defaultConnections   = 64
	defaultResponseBytes = 1024
	maxResponseBytes     = 64 << 20
	announceInterval     = 300 * time.Millisecond
	announceTimeout      = time.Second
	leavePollInterval    = 20 * time.Millisecond
	shutdownTimeout      = 5 * time.Second
)

type (
	// Service is a service of the endpoint. Processing times have a log-normal distribution.
	Service struct {
		Name string `json:"name"`
		// Median is the median processing time, and Sigma is the standard deviation of its logarithm.
		Median time.Duration `json:"median"`
		Sigma  float64       `json:"sigma"`
	}

	// Options configure an Endpoint. The zero value serves the default services without announcing them.
	Options struct {
		// Services defaults to DefaultServices.
		Services []Service
		// Slots is the maximum number of requests of all services that are processed concurrently. 0 means 8.
		Slots int
		// Connections is the maximum number of connections with requests to services. 0 means 64.
		Connections int
		// Seed makes processing times and injected faults repeatable.
		Seed uint64
		// AgentAddress receives the announcements. If it is empty, none are sent.
		AgentAddress string
		// LeaveTime is the minimum time for which the endpoint keeps serving after the context of Run is done.
		LeaveTime time.Duration
		// Clock defaults to the real clock.
		Clock clockwork.Clock
	}

	// Endpoint is the fake endpoint. Use New to create one. It is safe for concurrent use.
	Endpoint struct {
		options  Options
		slots    chan struct{}
		random   *randomSource
		counters *counterStore
		faults   *faultHolder
		client   *http.Client
	}

	connectionKey struct{}
)

// DefaultServices returns typical services and their processing times.
func DefaultServices() []Service {
	return []Service{
		{Name: "preview", Median: 2 * time.Millisecond, Sigma: 0.3},
		{Name: "download", Median: 8 * time.Millisecond, Sigma: 0.5},
		{Name: "publish", Median: 5 * time.Millisecond, Sigma: 0.3},
		{Name: "road-check", Median: 3 * time.Millisecond, Sigma: 0.3},
		{Name: "full-plan", Median: 200 * time.Millisecond, Sigma: 0.5},
	}
}

// New returns an endpoint. Options that are not set have their defaults.
func New(o Options) *Endpoint {
	if len(o.Services) == 0 {
		o.Services = DefaultServices()
	}
	if o.Slots <= 0 {
		o.Slots = defaultSlots
	}
	if o.Connections <= 0 {
		o.Connections = defaultConnections
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	return &Endpoint{
		options:  o,
		slots:    make(chan struct{}, o.Slots),
		random:   newRandomSource(o.Seed),
		counters: newCounterStore(),
		faults:   &faultHolder{},
		client:   &http.Client{Timeout: announceTimeout, Transport: &http.Transport{Proxy: nil, MaxIdleConnsPerHost: 1}},
	}
}

// Run serves on the listener and announces the endpoint until ctx is done. It then announces that the endpoint is leaving, keeps
// serving until LeaveTime has passed and no request is in flight, closes the listener and returns.
func (e *Endpoint) Run(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           e.Handler(),
		ReadHeaderTimeout: 10 * time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if s == http.StateClosed || s == http.StateHijacked {
				e.counters.unregisterConnection(c)
			}
		},
	}
	serveError := make(chan error, 1)
	go func() { serveError <- server.Serve(listener) }()
	address := listener.Addr().String()
	ticker := e.options.Clock.NewTicker(announceInterval)
	defer ticker.Stop()
	e.announce(address, false)
	for {
		select {
		case err := <-serveError:
			return eris.Wrap(err, "endpoint: server failed")
		case <-ctx.Done():
			e.leave(address)
			// Shutdown is used instead of server.Close, which could truncate responses, because the server writes the end of a
			// response after its handler has returned.
			shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
			defer cancel()
			return eris.Wrap(server.Shutdown(shutdownCtx), "endpoint: connections are still active")
		case <-ticker.Chan():
			e.announce(address, false)
		}
	}
}

// Handler returns the HTTP API of the endpoint. The paths of a service are /<service> and /<service>/<path>, also with
// the prefix /v1/services.
func (e *Endpoint) Handler() http.Handler {
	mux := echo.New()
	mux.HideBanner = true
	mux.GET(PathCounters, func(c echo.Context) error { return c.JSON(http.StatusOK, e.Counters()) })
	mux.POST(PathFaults, func(c echo.Context) error {
		var f Faults
		if err := c.Bind(&f); err != nil {
			return err
		}
		if err := f.check(); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		e.SetFaults(f)
		return c.JSON(http.StatusOK, f)
	})
	mux.Any("/v1/services/:service", e.handleRequest)
	mux.Any("/v1/services/:service/*", e.handleRequest)
	mux.Any("/:service", e.handleRequest)
	mux.Any("/:service/*", e.handleRequest)
	return mux
}

// Counters returns a copy of the counters.
func (e *Endpoint) Counters() Counters { return e.counters.copyCounters() }

// SetFaults replaces the injected faults.
func (e *Endpoint) SetFaults(f Faults) { e.faults.set(f) }

// leave announces that the endpoint is leaving until LeaveTime has passed and no request is in flight.
func (e *Endpoint) leave(address string) {
	clock := e.options.Clock
	earliestEnd := clock.Now().Add(e.options.LeaveTime)
	nextAnnouncement := clock.Now()
	for clock.Now().Before(earliestEnd) || e.counters.inFlight() > 0 {
		if !clock.Now().Before(nextAnnouncement) {
			e.announce(address, true)
			nextAnnouncement = clock.Now().Add(announceInterval)
		}
		clock.Sleep(leavePollInterval)
	}
	e.announce(address, true)
}

func (e *Endpoint) announcement(address string, leaving bool) message.Announcement {
	a := message.Announcement{Address: address, Leaving: leaving}
	inFlight := e.counters.inFlightByService()
	for _, s := range e.options.Services {
		a.Services = append(a.Services, message.Service{
			Name: s.Name, Slots: e.options.Slots, Connections: e.options.Connections, InFlight: inFlight[s.Name],
		})
	}
	return a
}
