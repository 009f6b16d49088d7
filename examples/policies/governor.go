package main

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"bamboohook/governor"
)

type (
	// controlPolicy is a response to latency violations that batch tasks cause. With options, a governor decides, and
	// withoutAge makes it treat every report as new. With evictOnViolation, each report above the target evicts the task
	// that contributes most. With withoutBatch, no batch tasks run. The zero value never acts.
	controlPolicy struct {
		options          *governor.Options
		evictOnViolation bool
		withoutBatch     bool
		withoutAge       bool
	}

	// governorRun holds the measurements of one run. Latencies are multiples of the target.
	governorRun struct {
		latencies []float64
		// minuteP99s holds the p99 of the latencies of each minute.
		minuteP99s []float64
		// evictionTimes holds the times of the evictions in minutes since the start.
		evictionTimes []float64
		// taskHours is the total run time of the tasks. workHours is the same time multiplied by their shares, less
		// checkpointCost for each eviction.
		taskHours float64
		workHours float64
	}

	// delayedLatencyReport is a latency report that the control policy receives when it is due.
	delayedLatencyReport struct {
		due        time.Time
		vm         *simulatedVM
		report     governor.LatencyReport
		measuredAt time.Time
	}
)

const (
	runTicks = 2 * 3600
	// With these values, the latency violates its target if the slowdown is above 2.
	latencyTarget = 100 * time.Millisecond
	baseLatency   = 50 * time.Millisecond
	// checkpointCost is the run time that an evicted task spends on saving its state and on repeating work.
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
				for _, at := range r.evictionTimes {
					// Reports are up to 30 s late, so a wave can cause evictions until 30 s after its end.
					if seconds := int(math.Round(at * 60)); inWave(seconds) || inWave(seconds-30) {
						inWaves++
					}
				}
				return result{
					float64(len(r.evictionTimes)) / math.Max(r.taskHours, 1e-9), inWaves, quantile(r.latencies, 0.99), quantile(r.latencies, 0.95),
					100 * above / float64(len(r.latencies)), r.workHours,
				}
			}})
		}
		scenarios = append(scenarios, s)
	}
	return scenarios
}

// runGovernor places tasks on random VMs with enough free capacity. One in 20 tasks has a burst in its first 4 minutes.
// The latency of all VMs rises in waves, and that of the last VM for the whole second hour. Batch tasks do not cause
// these rises, so that evictions in response to them are mistakes.
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
		r                    governorRun
		waiting              []*batchTask
		reports              []delayedLatencyReport
		minuteLatencies      []float64
		arrivals             int
		meanProcessorSeconds = 120 * math.Exp(0.5) * (float64(w.processors)/32 + 0.5 + float64(w.processors)/50)
		arrivalRate          = 0.5 * 11 * float64(w.processors) / meanProcessorSeconds
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
		waveRise := 0.0
		if inWave(t) {
			waveRise = 0.6
		}
		for i, v := range vms {
			maxSlowdown, vmRise := 0.0, 0.0
			if i == len(vms)-1 && t >= runTicks/2 {
				vmRise = 1
			}
			for _, criticalKind := range v.criticalKinds {
				slowdown := w.slowdown(v, criticalKind, waveRise+vmRise+0.15*noise.NormFloat64())
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
				r.evictionTimes = append(r.evictionTimes, now.Sub(startTime).Minutes())
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

// inWave reports whether the latency of all VMs is raised at the tick t, which is also the number of seconds since the
// start. This is the case for 3 minutes out of every 15.
func inWave(t int) bool { return t%900 >= 600 && t%900 < 780 }

// latencyReport returns the report of a VM with the given slowdown. The contributions of its tasks are computed from the
// true interference, because another scenario measures the estimator.
func (w workload) latencyReport(v *simulatedVM, slowdown float64) governor.LatencyReport {
	report := governor.LatencyReport{VM: v.name, Latency: time.Duration(slowdown * float64(baseLatency)), Target: latencyTarget}
	for _, bt := range v.running {
		maxInterference := 0.0
		for _, criticalKind := range v.criticalKinds {
			maxInterference = max(maxInterference, w.interference[[2]string{criticalKind, bt.kind}])
		}
		report.Tasks = append(report.Tasks, governor.Task{ID: bt.id, Contribution: maxInterference * bt.processorShare() / bt.share, Share: bt.share})
	}
	return report
}

// apply sets the shares of the tasks that the policy throttles or restores and returns the tasks to evict. It only
// affects tasks that still run on the VM.
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
		// The latency in the report is old, but the entry that owns the tasks knows which of them run now and their
		// current shares. The report is updated accordingly.
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
