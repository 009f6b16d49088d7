package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bamboohook/internal/message"
)

const (
	maxLatencyNanoseconds = int64(10 * time.Minute)
	significantDigits     = 3
	allServices           = "all"
)

type (
	// Report is the result of a run.
	Report struct {
		Rate     float64       `json:"rate"`
		Duration time.Duration `json:"duration"`
		Seed     uint64        `json:"seed"`
		Groups   []GroupReport `json:"groups"`
		// Differences compare each later group with the first one.
		Differences []Difference `json:"differences,omitempty"`
	}

	// GroupReport is the result of a group.
	GroupReport struct {
		Name string `json:"name"`
		// Outcomes counts the requests by outcome, including those of the warm-up.
		Outcomes map[string]int `json:"outcomes"`
		// Services lists the services. The first element covers all services together.
		Services []ServiceReport `json:"services"`
		// ScheduleDelay is the time between the due time of a request and its sending. Large values mean that the
		// generator could not keep up with the rate.
		ScheduleDelay Percentiles `json:"schedule-delay"`
	}

	// ServiceReport holds the latencies of the requests with a complete and correct response.
	ServiceReport struct {
		Name string `json:"name"`
		// Latency is measured from the due time of the request.
		Latency Percentiles `json:"latency"`
		// LatencyFromSend is measured from the sending of the request.
		LatencyFromSend Percentiles `json:"exchange"`
	}

	// Percentiles summarises a histogram.
	Percentiles struct {
		Count int64         `json:"count"`
		P50   time.Duration `json:"p50"`
		P99   time.Duration `json:"p99"`
		P999  time.Duration `json:"p99.9"`
		Max   time.Duration `json:"max"`
	}

	// Difference holds the latency percentiles of a group minus the same percentiles of the first group. The values
	// may be negative, because the groups receive different requests.
	Difference struct {
		Group   string        `json:"group"`
		Base    string        `json:"base"`
		Service string        `json:"service"`
		P50     time.Duration `json:"p50"`
		P99     time.Duration `json:"p99"`
		P999    time.Duration `json:"p99.9"`
	}

	histograms struct{ latency, latencyFromSend *hdrhistogram.Histogram }

	// collector counts the outcomes and records the latencies of the requests to one group.
	collector struct {
		mutex         sync.Mutex
		name          string
		serviceNames  []string
		services      map[string]histograms
		scheduleDelay *hdrhistogram.Histogram
		outcomes      map[string]int
	}
)

// Failures returns the number of requests without a complete and correct response in all groups.
func (r Report) Failures() int {
	n := 0
	for _, g := range r.Groups {
		for o, c := range g.Outcomes {
			if o != message.OutcomeDone {
				n += c
			}
		}
	}
	return n
}

// WriteText writes the report as text tables.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%.0f requests/s for each group, %v, seed %d\n\n", r.Rate, r.Duration.Round(time.Millisecond), r.Seed)
	fmt.Fprintln(t, "group\tservice\tcount\tp50\tp99\tp99.9\tmax\t")
	for _, g := range r.Groups {
		for _, s := range g.Services {
			writeRow(t, g.Name, s.Name, s.Latency)
		}
		writeRow(t, g.Name, "(sent late by)", g.ScheduleDelay)
	}
	for _, d := range r.Differences {
		fmt.Fprintf(t, "%s - %s\t%s\t\t%v\t%v\t%v\t\t\n", d.Group, d.Base, d.Service, round(d.P50), round(d.P99), round(d.P999))
	}
	fmt.Fprintln(t)
	for _, g := range r.Groups {
		var parts []string
		for _, o := range slices.Sorted(maps.Keys(g.Outcomes)) {
			parts = append(parts, fmt.Sprintf("%s %d", o, g.Outcomes[o]))
		}
		fmt.Fprintf(t, "%s: %s\n", g.Name, strings.Join(parts, ", "))
	}
	return t.Flush()
}

func writeRow(w io.Writer, group, service string, p Percentiles) {
	fmt.Fprintf(w, "%s\t%s\t%d\t%v\t%v\t%v\t%v\t\n", group, service, p.Count, round(p.P50), round(p.P99), round(p.P999), round(p.Max))
}

func round(d time.Duration) time.Duration { return d.Round(time.Microsecond) }

func newCollector(name string, services []Service) *collector {
	c := &collector{name: name, services: map[string]histograms{}, scheduleDelay: newHistogram(), outcomes: map[string]int{}}
	names := []string{allServices}
	for _, s := range services {
		names = append(names, s.Name)
	}
	for _, n := range names {
		if _, ok := c.services[n]; !ok {
			c.services[n] = histograms{newHistogram(), newHistogram()}
			c.serviceNames = append(c.serviceNames, n)
		}
	}
	return c
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyNanoseconds, significantDigits)
}

// add counts the outcome of a request. It records the latencies only for successful requests after the warm-up.
func (c *collector) add(r request, outcome string, sent, received time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.outcomes[outcome]++
	if !r.measured || outcome != message.OutcomeDone {
		return
	}
	recordDuration(c.scheduleDelay, sent.Sub(r.dueTime))
	for _, n := range []string{allServices, r.service.Name} {
		recordDuration(c.services[n].latency, received.Sub(r.dueTime))
		recordDuration(c.services[n].latencyFromSend, received.Sub(sent))
	}
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d), 1), maxLatencyNanoseconds))
}

func summarise(h *hdrhistogram.Histogram) Percentiles {
	return Percentiles{
		Count: h.TotalCount(),
		P50:   time.Duration(h.ValueAtQuantile(50)),
		P99:   time.Duration(h.ValueAtQuantile(99)),
		P999:  time.Duration(h.ValueAtQuantile(99.9)),
		Max:   time.Duration(h.Max()),
	}
}

func newReport(o Options, results []*collector, duration time.Duration) Report {
	r := Report{Rate: o.Rate, Duration: duration, Seed: o.Seed}
	for _, c := range results {
		g := GroupReport{Name: c.name, Outcomes: c.outcomes, ScheduleDelay: summarise(c.scheduleDelay)}
		for _, n := range c.serviceNames {
			p := c.services[n]
			g.Services = append(g.Services, ServiceReport{Name: n, Latency: summarise(p.latency), LatencyFromSend: summarise(p.latencyFromSend)})
		}
		r.Groups = append(r.Groups, g)
	}
	base := r.Groups[0]
	for _, g := range r.Groups[1:] {
		for i, s := range g.Services {
			a, b := s.Latency, base.Services[i].Latency
			r.Differences = append(r.Differences, Difference{
				Group: g.Name, Base: base.Name, Service: s.Name, P50: a.P50 - b.P50, P99: a.P99 - b.P99, P999: a.P999 - b.P999,
			})
		}
	}
	return r
}
