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
	controlPolicy struct {
		options          *governor.Options
		evictOnViolation bool
		withoutBatch     bool
		withoutAge       bool
	}

	// harmRun is the course of one run.
	governorRun struct {
		latencies []float64
		// perMinute holds the p99 of each minute in multiples of the target.
		minuteP99s      []float64
		evictionMinutes []float64
		taskHours       float64
		workHours       float64
	}

	delayedLatencyReport struct {
		due        time.Time
		vm         *simulatedVM
		report     governor.LatencyReport
		measuredAt time.Time
	}
)

const (
	runTicks = 2 * 3600
	// serviceTarget and serviceBase make latency violate its target above a slowdown of 2.
	latencyTarget = 100 * time.Millisecond
	baseLatency   = 50 * time.Millisecond
	// checkpointCost is the work that an evicted task repeats or spends on saving its state.
	checkpointCost = 30 * time.Second
)

func governorPolicies() []struct {
	name string
	controlPolicy
} {
	unlimited := 1e9
	withChange := func(change func(*governor.Options)) *governor.Options {
		o := &governor.Options{}
		change(o)
		return o
	}
	return []struct {
		name string
		controlPolicy
	}{
		{"no batch at all", controlPolicy{withoutBatch: true}},
		{"never act", controlPolicy{}},
		{"evict at once on any violation", controlPolicy{evictOnViolation: true}},
		{"governor", controlPolicy{options: &governor.Options{}}},
		{"– without age of the report", controlPolicy{options: &governor.Options{}, withoutAge: true}},
		{"– without calm period", controlPolicy{options: withChange(func(o *governor.Options) { o.RestoreDelay = time.Nanosecond })}},
		{"– without throttling", controlPolicy{options: withChange(func(o *governor.Options) { o.MinShare = 1 })}},
		{"– without VM budget", controlPolicy{options: withChange(func(o *governor.Options) { o.VMEvictionInterval = time.Nanosecond })}},
		{"– without fleet budget", controlPolicy{options: withChange(func(o *governor.Options) { o.FleetEvictionsPerMinute, o.FleetEvictionBurst = unlimited, unlimited })}},
		{"– without both budgets", controlPolicy{options: withChange(func(o *governor.Options) {
			o.VMEvictionInterval, o.FleetEvictionsPerMinute, o.FleetEvictionBurst = time.Nanosecond, unlimited, unlimited
		})}},
		{"– without wave rule", controlPolicy{options: withChange(func(o *governor.Options) { o.MaxViolatingShare = 1 })}},
		{"– without wave rule and budgets", controlPolicy{options: withChange(func(o *governor.Options) {
			o.MaxViolatingShare, o.VMEvictionInterval, o.FleetEvictionsPerMinute, o.FleetEvictionBurst = 1, time.Nanosecond, unlimited, unlimited
		})}},
	}
}

func governorScenarios() []scenario {
	var scenarios []scenario
	for _, w := range workloads {
		s := scenario{
			name: w.name + ", 11 VMs, 2 h, batch bursts, waves of noise, one slow VM, reports 5–30 s late",
			columns: []string{
				"evictions per batch task hour", "evictions in waves of noise", "urgent p99 / target", "urgent p95 / target", "samples above target %", "batch work task-h",
			},
		}
		for _, p := range governorPolicies() {
			s.policies = append(s.policies, policy{p.name, func(seed uint64) result {
				r := runGovernor(w, seed, p.controlPolicy)
				above := 0.0
				for _, l := range r.latencies {
					if l > 1 {
						above++
					}
				}
				inWaves := 0.0
				for _, at := range r.evictionMinutes {
					// Reports are up to 30 s late, so a wave is answered until 30 s after its end.
					if seconds := int(math.Round(at * 60)); inWave(seconds) || inWave(seconds-30) {
						inWaves++
					}
				}
				return result{
					float64(len(r.evictionMinutes)) / math.Max(r.taskHours, 1e-9), inWaves, quantile(r.latencies, 0.99), quantile(r.latencies, 0.95),
					100 * above / float64(len(r.latencies)), r.workHours,
				}
			}})
		}
		scenarios = append(scenarios, s)
	}
	return scenarios
}

// runHarm places tasks on random VMs with room, lets some of them turn noisy for 4 minutes, and
// raises the latency of all VMs in
// waves, and of the last VM for the second hour, which batch tasks do not cause.
func runGovernor(w workload, seed uint64, c controlPolicy) governorRun {
	random, noise := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	clock := clockwork.NewFakeClock()
	startTime := clock.Now()
	vms := w.newVMs()
	var g *governor.Governor
	if c.options != nil {
		o := *c.options
		o.Clock = clock
		g = governor.New(o)
	}
	var (
		r               governorRun
		waiting         []*batchTask
		reports         []delayedLatencyReport
		minuteLatencies []float64
		arrivals        int
		meanWork        = 120 * math.Exp(0.5) * (float64(w.processors)/32 + 0.5 + float64(w.processors)/50)
		arrivalRate     = 0.5 * 11 * float64(w.processors) / meanWork
	)
	for t := range runTicks {
		clock.Advance(tickInterval)
		now := clock.Now()
		for n := poisson(random, arrivalRate); n > 0 && !c.withoutBatch; n-- {
			arrivals++
			bt := w.newTask(random, arrivals, now)
			if random.IntN(20) == 0 {
				bt.burstFactor, bt.burstRemaining = 3, 4*time.Minute
			}
			waiting = append(waiting, bt)
		}
		kept := waiting[:0]
		for _, bt := range waiting {
			if v := vms[random.IntN(len(vms))]; bt.declared.Fits(v.free) {
				v.start(bt)
			} else {
				kept = append(kept, bt)
			}
		}
		waiting = kept
		waveNoise := 0.0
		if inWave(t) {
			waveNoise = 0.6
		}
		for i, v := range vms {
			maxSlowdown, vmNoise := 0.0, 0.0
			if i == len(vms)-1 && t >= runTicks/2 {
				vmNoise = 1
			}
			for _, criticalKind := range v.criticalKinds {
				slowdown := w.slowdown(v, criticalKind, waveNoise+vmNoise+0.15*noise.NormFloat64())
				maxSlowdown = max(maxSlowdown, slowdown)
				ratio := slowdown * float64(baseLatency) / float64(latencyTarget)
				r.latencies = append(r.latencies, ratio)
				minuteLatencies = append(minuteLatencies, ratio)
			}
			if (t+i)%5 == 0 {
				lag := time.Duration(5+noise.IntN(26)) * time.Second
				reports = append(reports, delayedLatencyReport{now.Add(lag), v, w.latencyReport(v, maxSlowdown), now})
			}
			for _, bt := range v.running {
				r.taskHours += tickInterval.Hours()
				r.workHours += tickInterval.Hours() * bt.share
				if bt.burstRemaining -= tickInterval; bt.burstRemaining <= 0 {
					bt.burstFactor = 1
				}
			}
			v.advance()
		}
		pending := reports[:0]
		for _, d := range reports {
			if d.due.After(now) {
				pending = append(pending, d)
				continue
			}
			d.report.Age = now.Sub(d.measuredAt)
			if c.withoutAge {
				d.report.Age = 0
			}
			for _, bt := range c.apply(g, d) {
				d.vm.stop(bt)
				bt.remaining += checkpointCost
				r.workHours -= checkpointCost.Hours()
				bt.share = 1
				waiting = append(waiting, bt)
				r.evictionMinutes = append(r.evictionMinutes, now.Sub(startTime).Minutes())
			}
		}
		reports = pending
		if t%60 == 59 {
			r.minuteP99s = append(r.minuteP99s, quantile(minuteLatencies, 0.99))
			minuteLatencies = minuteLatencies[:0]
		}
	}
	return r
}

// inWave reports whether noise raises the latency of all VMs at the tick: 3 minutes out of every 15.
func inWave(t int) bool { return t%900 >= 600 && t%900 < 780 }

// governed returns the report of a host. Contributions are the true effects with an error, since
// the estimator is measured by itself.
func (w workload) latencyReport(v *simulatedVM, slowdown float64) governor.LatencyReport {
	report := governor.LatencyReport{VM: v.name, Latency: time.Duration(slowdown * float64(baseLatency)), Target: latencyTarget}
	for _, bt := range v.running {
		maxEffect := 0.0
		for _, criticalKind := range v.criticalKinds {
			maxEffect = max(maxEffect, w.interference[[2]string{criticalKind, bt.kind}])
		}
		report.Tasks = append(report.Tasks, governor.Task{ID: bt.id, Contribution: maxEffect * bt.load() / bt.share, Share: bt.share})
	}
	return report
}

// act applies throttling and returns the tasks to evict. Only tasks that still run are affected.
func (c controlPolicy) apply(g *governor.Governor, d delayedLatencyReport) []*batchTask {
	running := map[string]*batchTask{}
	for _, bt := range d.vm.running {
		running[bt.id] = bt
	}
	var evicted []*batchTask
	switch {
	case c.evictOnViolation && d.report.Latency > d.report.Target:
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
			if bt := running[t.ID]; bt != nil {
				t.Share = bt.share
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
