package main

import (
	"context"
	"encoding/json"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/internal/standin/load"
)

type loadCommand struct {
	Direct        []string      `help:"IP addresses and ports of endpoints to load directly, separated by commas."`
	Entry         []string      `help:"IP addresses and ports of entries to load, separated by commas."`
	Service       []string      `help:"Service as name[:weight[:size[:kind]]], such as preview:4:2048:urgent; may be repeated." default:"preview"`
	Rate          float64       `help:"Requests per second, for direct and entry each." default:"200"`
	Duration      time.Duration `help:"How long to send." default:"10s"`
	Warmup        time.Duration `help:"Time at the start that is not measured." default:"1s"`
	Seed          uint64        `help:"Seed of the order of services." default:"1"`
	NonIdempotent float64       `help:"Share of requests marked as non-idempotent, from 0 to 1."`
	BodyBytes     int           `help:"Size of the request body in bytes."`
	Timeout       time.Duration `help:"Longest time for one request." default:"10s"`
	MaxPending    int           `help:"Bound of requests without an answer." default:"10000"`
	Prefix        string        `help:"Start of every request id; the default differs between runs."`
	JSON          bool          `help:"Write the report as JSON." name:"json"`
	Strict        bool          `help:"Exit with an error if any request has no complete and right answer."`
}

// Run sends requests at a fixed rate and writes a report of latencies and outcomes to standard output.
func (c *loadCommand) Run(ctx context.Context) error {
	services, err := parseServiceMix(c.Service)
	if err != nil {
		return err
	}
	prefix := c.Prefix
	if prefix == "" {
		prefix = strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	var groups []load.Group
	if len(c.Direct) > 0 {
		groups = append(groups, load.Group{Name: "direct", Addresses: c.Direct})
	}
	if len(c.Entry) > 0 {
		groups = append(groups, load.Group{Name: "entry", Addresses: c.Entry})
	}
	g, err := load.New(load.Options{
		Groups: groups, Services: services, Rate: c.Rate, Duration: c.Duration, Warmup: c.Warmup, Seed: c.Seed,
		NonIdempotentShare: c.NonIdempotent, BodyBytes: c.BodyBytes, Timeout: c.Timeout, MaxPending: c.MaxPending, Prefix: prefix,
	})
	if err != nil {
		return err
	}
	r := g.Run(ctx)
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(r)
	} else {
		err = r.WriteText(os.Stdout)
	}
	if err == nil && c.Strict && r.Failures() > 0 {
		err = eris.Errorf("load: %d requests have no complete and correct response", r.Failures())
	}
	return err
}

// parseServiceMix parses services of the form name[:weight[:size[:kind]]], such as preview:4:2048:urgent. The probability with which a
// request is for a service is proportional to the weight, which is 1 by default.
func parseServiceMix(specs []string) ([]load.Service, error) {
	var services []load.Service
	for _, spec := range specs {
		parts := strings.Split(spec, ":")
		s := load.Service{Name: parts[0], Weight: 1}
		var err error
		if len(parts) > 1 {
			s.Weight, err = strconv.ParseFloat(parts[1], 64)
		}
		if len(parts) > 2 && err == nil {
			s.Size, err = strconv.Atoi(parts[2])
		}
		if len(parts) > 3 {
			s.Kind = parts[3]
		}
		if err != nil || len(parts) > 4 || s.Weight <= 0 {
			return nil, eris.Errorf("load: invalid service %q; expected name[:weight[:size[:kind]]] with a weight above 0", spec)
		}
		services = append(services, s)
	}
	return services, nil
}
