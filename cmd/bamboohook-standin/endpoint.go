package main

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bamboohook/internal/standin/endpoint"
)

type endpointCommand struct {
	Address      string        `help:"IP address and port to listen on; it is announced, so it must be reachable from the agent." default:"127.0.0.1:7501"`
	Agent        string        `help:"IP address and port of the announce listener of the agent; empty for no announcements."`
	Service      []string      `help:"Service as name=median or name=median/sigma, such as preview=2ms/0.3; may be repeated. The default is all services of both users."`
	Slots        int           `help:"Requests processed at once." default:"8"`
	Connections  int           `help:"Connections that may carry requests." default:"64"`
	Seed         uint64        `help:"Seed of processing times and faults." default:"1"`
	LeaveTime    time.Duration `help:"How long to serve at least after SIGTERM." default:"3s"`
	SlowFactor   float64       `help:"Fault: factor of processing times." default:"1"`
	FailRate     float64       `help:"Fault: share of requests answered with status 500."`
	TruncateRate float64       `help:"Fault: share of requests whose answer ends in the middle."`
	HangRate     float64       `help:"Fault: share of requests without an answer."`
	CloseRate    float64       `help:"Fault: share of requests whose connection is closed after the start."`
}

// Run runs the stand-in for an endpoint. After ctx is done, it serves for LeaveTime, and longer until no request is in flight.
func (c *endpointCommand) Run(ctx context.Context, logger zerolog.Logger) error {
	services, err := parseServices(c.Service)
	if err != nil {
		return err
	}
	l, err := listen(logger, c.Address)
	if err != nil {
		return err
	}
	e := endpoint.New(endpoint.Options{
		Services: services, Slots: c.Slots, Connections: c.Connections, Seed: c.Seed, AgentAddress: c.Agent, LeaveTime: c.LeaveTime,
	})
	e.SetFaults(endpoint.Faults{
		SlowFactor: c.SlowFactor, FailRate: c.FailRate, TruncateRate: c.TruncateRate, HangRate: c.HangRate, CloseRate: c.CloseRate,
	})
	return e.Run(ctx, l)
}

// parseServices parses services of the form name=median or name=median/sigma, such as preview=2ms/0.3. median is the median of the
// processing time, and sigma how widely the processing times spread.
func parseServices(specs []string) ([]endpoint.Service, error) {
	var services []endpoint.Service
	for _, spec := range specs {
		name, distribution, ok := strings.Cut(spec, "=")
		median, sigma, hasSigma := strings.Cut(distribution, "/")
		d, err := time.ParseDuration(median)
		s := endpoint.Service{Name: name, Median: d}
		if hasSigma && err == nil {
			s.Sigma, err = strconv.ParseFloat(sigma, 64)
		}
		if !ok || name == "" || err != nil || d < 0 || !(s.Sigma >= 0 && s.Sigma <= 3) {
			return nil, eris.Errorf("standin: invalid service %q; expected name=median/sigma, such as preview=2ms/0.3, with sigma from 0 to 3", spec)
		}
		services = append(services, s)
	}
	return services, nil
}
