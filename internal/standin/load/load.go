// Package load is an open-loop load generator. It sends requests at a fixed rate, whether or not earlier ones have completed,
// checks that each response belongs to its request and is complete, and compares groups of targets under the same load.
package load

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	maxRate              = 1e6
	defaultMaxPending    = 10_000
	defaultTimeout       = 10 * time.Second
	defaultResponseBytes = 1024
)

type (
	// Service is a service in the request mix.
	Service struct {
		Name string `json:"name"`
		// Weight divided by the sum of all weights is the share of requests for this service. 0 means 1.
		Weight float64 `json:"weight"`
		// Size is the size of the response body in bytes. 0 means 1024.
		Size int `json:"size"`
		// Kind is sent as the kind of work in a request header. If it is empty, the header is not sent.
		Kind string `json:"kind,omitempty"`
	}

	// Group is a set of equivalent targets. Requests are distributed round-robin.
	Group struct {
		Name string `json:"name"`
		// Addresses lists the IP addresses and ports of entries or endpoints.
		Addresses []string `json:"addresses"`
	}

	// Options configure a run. Groups, Services, Rate and Duration are required.
	Options struct {
		// Groups all receive requests concurrently, each at Rate. The others are compared with the first one.
		Groups   []Group
		Services []Service
		// Rate is the number of requests per second to each group.
		Rate     float64
		Duration time.Duration
		// Warmup is the duration at the start of the run in which responses are checked and counted but latencies are not recorded.
		Warmup time.Duration
		// Seed makes the random choice of the service and of non-idempotent requests repeatable.
		Seed uint64
		// NonIdempotentShare is the share of requests, from 0 to 1, that are marked as non-idempotent.
		NonIdempotentShare float64
		// BodyBytes is the size of each request body.
		BodyBytes int
		// Timeout is the timeout of a request. 0 means 10 s.
		Timeout time.Duration
		// MaxPending is the maximum number of pending requests of each group. Requests beyond it are not sent and are
		// counted as OutcomeNotSent. 0 means 10000.
		MaxPending int
		// Prefix is the prefix of all request IDs. Each run should use another one.
		Prefix string
	}

	// Generator sends the load of one run. Use New to create one.
	Generator struct {
		options Options
		client  *http.Client
		body    []byte
	}
)

// New returns a generator. The error names the invalid option.
func New(o Options) (*Generator, error) {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.MaxPending <= 0 {
		o.MaxPending = defaultMaxPending
	}
	o.Services = append([]Service{}, o.Services...)
	for i, s := range o.Services {
		if s.Weight == 0 {
			o.Services[i].Weight = 1
		}
		if s.Size == 0 {
			o.Services[i].Size = defaultResponseBytes
		}
	}
	if err := o.check(); err != nil {
		return nil, err
	}
	return &Generator{
		options: o,
		body:    make([]byte, o.BodyBytes),
		client: &http.Client{
			Timeout: o.Timeout,
			Transport: &http.Transport{
				Proxy:               nil,
				MaxIdleConns:        0,
				MaxIdleConnsPerHost: 256,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

// Run sends the load and returns the report when all requests have completed. If ctx is cancelled, it sends no further
// requests.
func (g *Generator) Run(ctx context.Context) Report {
	start := time.Now()
	results := make([]*collector, len(g.options.Groups))
	var senders sync.WaitGroup
	for i, group := range g.options.Groups {
		results[i] = newCollector(group.Name, g.options.Services)
		senders.Go(func() { g.runGroup(ctx, i, start, results[i]) })
	}
	senders.Wait()
	g.client.CloseIdleConnections()
	return newReport(g.options, results, time.Since(start))
}

func (o Options) check() error {
	switch {
	case len(o.Groups) == 0:
		return eris.New("load: at least one group of targets is required")
	case len(o.Services) == 0:
		return eris.New("load: at least one service is required")
	case !(o.Rate > 0 && o.Rate <= maxRate):
		return eris.Errorf("load: rate must be above 0 and at most %d requests per second", int(maxRate))
	case o.Duration <= 0 || o.Duration > 24*time.Hour || o.Warmup < 0 || o.Warmup >= o.Duration:
		return eris.New("load: duration must be above 0, at most 24h and longer than the warm-up; warm-up must not be negative")
	case !(o.NonIdempotentShare >= 0 && o.NonIdempotentShare <= 1):
		return eris.New("load: share of non-idempotent requests must be from 0 to 1")
	case o.BodyBytes < 0 || o.BodyBytes > 64<<20:
		return eris.New("load: size of the request body must be from 0 to 64 MiB")
	}
	for _, s := range o.Services {
		if s.Name == "" || !(s.Weight > 0) || s.Size < 0 || s.Size > 64<<20 {
			return eris.Errorf("load: service %q needs a name, a weight above 0 and a size from 0 to 64 MiB", s.Name)
		}
	}
	for _, g := range o.Groups {
		if len(g.Addresses) == 0 {
			return eris.Errorf("load: group %s has no address", g.Name)
		}
		for _, a := range g.Addresses {
			if _, err := netip.ParseAddrPort(a); err != nil {
				return eris.Errorf("load: invalid address %q; expected an IP address and port, such as 127.0.0.1:7100", a)
			}
		}
	}
	return nil
}
