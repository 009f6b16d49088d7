package main

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"bamboohook/governor"
)

type (
	// control is one way of responding to harm. Exactly one field is set, or none to never act.
	control struct {
		options  *governor.Options
		evictAll bool
		noBatch  bool
		noAge    bool
	}

	// harmRun is the course of one run.
	harmRun struct {
		latencies []float64
		// perMinute holds the p99 of each minute in multiples of the target.
		perMinute []float64
		evictions []float64
		hours     float64
		work      float64
	}

	harmReport struct {
		due    time.Time
		host   *host
		report governor.LatencyReport
		at     time.Time
	}
)

const (
	harmTicks = 2 * 3600
	// serviceTarget and serviceBase make latency violate its target above a slowdown of 2.
	serviceTarget = 100 * time.Millisecond
	serviceBase   = 50 * time.Millisecond
	// checkpointCost is the work that an evicted task repeats or spends on saving its state.
	checkpointCost = 30 * time.Second
)

func harmPolicies() []struct {
	name string
	control
} {
	huge := 1e9
	with := func(change func(*governor.Options)) *governor.Options {
		o := &governor.Options{}
		change(o)
		return o
	}
	return []struct {
		name string
		control
	}{
		{"no batch at all", control{noBatch: true}},
		{"never act", control{}},
		{"evict at once on any violation", control{evictAll: true}},
		{"governor", control{options: &governor.Options{}}},
		{"– without age of the report", control{options: &governor.Options{}, noAge: true}},
		{"– without calm period", control{options: with(func(o *governor.Options) { o.RestoreDelay = time.Nanosecond })}},
		{"– without throttling", control{options: with(func(o *governor.Options) { o.MinShare = 1 })}},
		{"– without VM budget", control{options: with(func(o *governor.Options) { o.VMEvictionInterval = time.Nanosecond })}},
		{"– without fleet budget", control{options: with(func(o *governor.Options) { o.FleetEvictionsPerMinute, o.FleetEvictionBurst = huge, huge })}},
		{"– without both budgets", control{options: with(func(o *governor.Options) {
			o.VMEvictionInterval, o.FleetEvictionsPerMinute, o.FleetEvictionBurst = time.Nanosecond, huge, huge
		})}},
		{"– without wave rule", control{options: with(func(o *governor.Options) { o.MaxViolatingShare = 1 })}},
		{"– without wave rule and budgets", control{options: with(func(o *governor.Options) {
			o.MaxViolatingShare, o.VMEvictionInterval, o.FleetEvictionsPerMinute, o.FleetEvictionBurst = 1, time.Nanosecond, huge, huge
		})}},
	}
}

func governorScenarios() []scenario {
	var scenarios []scenario
	for _, w := range workloads {
		c := scenario{
			name: w.name + ", 11 VMs, 2 h, batch bursts, waves of noise, one slow VM, reports 5–30 s late",
			columns: []string{
				"evictions per batch task hour", "evictions in waves of noise", "urgent p99 / target", "urgent p95 / target", "samples above target %", "batch work task-h",
			},
		}
		for _, p := range harmPolicies() {
			c.policies = append(c.policies, policy{p.name, func(seed uint64) result {
				r := runHarm(w, seed, p.control)
				above := 0.0
				for _, l := range r.latencies {
					if l > 1 {
						above++
					}
				}
				inWaves := 0.0
				for _, at := range r.evictions {
					// Reports are up to 30 s late, so a wave is answered until 30 s after its end.
					if seconds := int(math.Round(at * 60)); inWave(seconds) || inWave(seconds-30) {
						inWaves++
					}
				}
				return result{
					float64(len(r.evictions)) / math.Max(r.hours, 1e-9), inWaves, quantile(r.latencies, 0.99), quantile(r.latencies, 0.95),
					100 * above / float64(len(r.latencies)), r.work,
				}
			}})
		}
		scenarios = append(scenarios, c)
	}
	return scenarios
}

// runHarm places tasks on random VMs with room, lets some of them turn noisy for 4 minutes, and
// raises the latency of all VMs in
// waves, and of the last VM for the second hour, which batch tasks do not cause.
func runHarm(w workload, seed uint64, c control) harmRun {
	random, noise := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	clock := clockwork.NewFakeClock()
	begin := clock.Now()
	hosts := w.hosts()
	var g *governor.Governor
	if c.options != nil {
		o := *c.options
		o.Clock = clock
		g = governor.New(o)
	}
	var (
		r        harmRun
		waiting  []*job
		reports  []harmReport
		minute   []float64
		arrivals int
		work     = 120 * math.Exp(0.5) * (float64(w.processors)/32 + 0.5 + float64(w.processors)/50)
		rate     = 0.5 * 11 * float64(w.processors) / work
	)
	for t := range harmTicks {
		clock.Advance(tick)
		now := clock.Now()
		for n := poisson(random, rate); n > 0 && !c.noBatch; n-- {
			arrivals++
			j := w.arrival(random, arrivals, now)
			if random.IntN(20) == 0 {
				j.burst, j.noisy = 3, 4*time.Minute
			}
			waiting = append(waiting, j)
		}
		kept := waiting[:0]
		for _, j := range waiting {
			if h := hosts[random.IntN(len(hosts))]; j.declared.Fits(h.free) {
				h.start(j)
			} else {
				kept = append(kept, j)
			}
		}
		waiting = kept
		wave := 0.0
		if inWave(t) {
			wave = 0.6
		}
		for i, h := range hosts {
			worst, own := 0.0, 0.0
			if i == len(hosts)-1 && t >= harmTicks/2 {
				own = 1
			}
			for _, critical := range h.critical {
				slowdown := w.slowdown(h, critical, wave+own+0.15*noise.NormFloat64())
				worst = max(worst, slowdown)
				ratio := slowdown * float64(serviceBase) / float64(serviceTarget)
				r.latencies = append(r.latencies, ratio)
				minute = append(minute, ratio)
			}
			if (t+i)%5 == 0 {
				lag := time.Duration(5+noise.IntN(26)) * time.Second
				reports = append(reports, harmReport{now.Add(lag), h, w.governed(h, worst), now})
			}
			for _, j := range h.running {
				r.hours += tick.Hours()
				r.work += tick.Hours() * j.share
				if j.noisy -= tick; j.noisy <= 0 {
					j.burst = 1
				}
			}
			h.advance()
		}
		pending := reports[:0]
		for _, d := range reports {
			if d.due.After(now) {
				pending = append(pending, d)
				continue
			}
			d.report.Age = now.Sub(d.at)
			if c.noAge {
				d.report.Age = 0
			}
			for _, j := range c.act(g, d) {
				d.host.stop(j)
				j.remaining += checkpointCost
				r.work -= checkpointCost.Hours()
				j.share = 1
				waiting = append(waiting, j)
				r.evictions = append(r.evictions, now.Sub(begin).Minutes())
			}
		}
		reports = pending
		if t%60 == 59 {
			r.perMinute = append(r.perMinute, quantile(minute, 0.99))
			minute = minute[:0]
		}
	}
	return r
}

// inWave reports whether noise raises the latency of all VMs at the tick: 3 minutes out of every 15.
func inWave(t int) bool { return t%900 >= 600 && t%900 < 780 }

// governed returns the report of a host. Contributions are the true effects with an error, since
// the estimator is measured by itself.
func (w workload) governed(h *host, slowdown float64) governor.LatencyReport {
	report := governor.LatencyReport{VM: h.name, Latency: time.Duration(slowdown * float64(serviceBase)), Target: serviceTarget}
	for _, j := range h.running {
		worst := 0.0
		for _, critical := range h.critical {
			worst = max(worst, w.effects[[2]string{critical, j.kind}])
		}
		report.Tasks = append(report.Tasks, governor.Task{ID: j.id, Contribution: worst * j.load() / j.share, Share: j.share})
	}
	return report
}

// act applies throttling and returns the tasks to evict. Only tasks that still run are affected.
func (c control) act(g *governor.Governor, d harmReport) []*job {
	running := map[string]*job{}
	for _, j := range d.host.running {
		running[j.id] = j
	}
	var evicted []*job
	switch {
	case c.evictAll && d.report.Latency > d.report.Target:
		var worst *governor.Task
		for i, t := range d.report.Tasks {
			if running[t.ID] != nil && (worst == nil || t.Contribution > worst.Contribution) {
				worst = &d.report.Tasks[i]
			}
		}
		if worst != nil {
			evicted = append(evicted, running[worst.ID])
		}
	case g != nil:
		// The report shows the latency of the past, but the owner knows which tasks run now.
		tasks := d.report.Tasks[:0]
		for _, t := range d.report.Tasks {
			if j := running[t.ID]; j != nil {
				t.Share = j.share
				tasks = append(tasks, t)
			}
		}
		d.report.Tasks = tasks
		for _, o := range g.Observe(d.report) {
			if o.Action == governor.Evict {
				evicted = append(evicted, running[o.Task])
			} else {
				running[o.Task].share = o.Share
			}
		}
	}
	return evicted
}
