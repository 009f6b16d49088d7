// Package load is an open-loop load generator. It sends requests at a fixed rate regardless of answers, checks that each
// answer belongs to its request and is complete, and compares groups of targets that it loads in the same run.
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
	// Service is one part of the mix of requests.
	Service struct {
		Name string `json:"name"`
		// Weight is the share of this service relative to the sum of weights; 0 means 1.
		Weight float64 `json:"weight"`
		// Size is the size of the answer in bytes; 0 means 1024.
		Size int `json:"size"`
		// Kind is sent as the kind of work; empty for none.
		Kind string `json:"kind,omitempty"`
	}

	// Group is a set of equivalent targets, used in turn.
	Group struct {
		Name string `json:"name"`
		// Addresses are IP addresses and ports of entries or of endpoints.
		Addresses []string `json:"addresses"`
	}

	// Options describe a run. Groups, Services, Rate and Duration are required.
	Options struct {
		// Groups are loaded at once, each at Rate. The first is the base of the comparison.
		Groups   []Group
		Services []Service
		// Rate is in requests per second and group.
		Rate     float64
		Duration time.Duration
		// Warmup is the time at the start of the run whose requests are checked and counted but not measured.
		Warmup time.Duration
		// Seed makes the order of services and of non-idempotent requests repeatable.
		Seed uint64
		// NonIdempotentShare of the requests, from 0 to 1, are marked as non-idempotent.
		NonIdempotentShare float64
		// BodyBytes is the size of the request body.
		BodyBytes int
		// Timeout bounds a request; 0 means 10 s.
		Timeout time.Duration
		// MaxPending bounds requests without an answer for each group; beyond it requests are counted as not
		// sent. 0 means 10000.
		MaxPending int
		// Prefix starts every request id; it should differ between runs.
		Prefix string
	}

	// Generator performs one run. Create it with New.
	Generator struct {
		options Options
		client  *http.Client
		body    []byte
	}
)

// New returns a generator, or an error that names the option that is not allowed.
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

// Run sends the load and returns the results after the last answer. When the context ends it stops sending.
func (g *Generator) Run(ctx context.Context) Report {
	start := time.Now()
	results := make([]*collector, len(g.options.Groups))
	var senders sync.WaitGroup
	for i, s := range g.options.Groups {
		results[i] = newCollector(s.Name, g.options.Services)
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
		return eris.New("load: duration must be at most 24h and longer than the warm-up")
	case !(o.NonIdempotentShare >= 0 && o.NonIdempotentShare <= 1):
		return eris.New("load: share of non-idempotent requests must be from 0 to 1")
	case o.BodyBytes < 0 || o.BodyBytes > 64<<20:
		return eris.New("load: request body must be from 0 to 64 MiB")
	}
	for _, s := range o.Services {
		if s.Name == "" || !(s.Weight > 0) || s.Size < 0 || s.Size > 64<<20 {
			return eris.Errorf("load: service %q needs a name, a weight above 0 and a size of at most 64 MiB", s.Name)
		}
	}
	for _, s := range o.Groups {
		if len(s.Addresses) == 0 {
			return eris.Errorf("load: group %s has no address", s.Name)
		}
		for _, a := range s.Addresses {
			if _, err := netip.ParseAddrPort(a); err != nil {
				return eris.Errorf("load: %q is not allowed; an address is an IP address and port, such as 127.0.0.1:7100", a)
			}
		}
	}
	return nil
}
