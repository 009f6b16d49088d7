package main

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"bamboohook/estimator"
	"bamboohook/placer"
	"bamboohook/resource"
)

type (
	delayed struct {
		due    time.Time
		report estimator.LoadReport
		// slowdowns were measured at the time of the report, by critical kind.
		slowdowns map[string]float64
	}

	// oracle predicts with the true effects, as a bound on what learning can reach.
	oracle struct {
		workload workload
		hosts    map[string]*host
	}

	// placement says which parts of the placer are in use.
	placement struct {
		options     placer.Options
		harm        string
		commitments bool
	}
)

func (o oracle) Slowdown(vm, kind string, share float64) float64 {
	h := o.hosts[vm]
	worst := 0.0
	for _, critical := range h.critical {
		worst = max(worst, math.Log(o.workload.slowdown(h, critical, 0))+o.workload.effects[[2]string{critical, kind}]*share)
	}
	return math.Exp(worst)
}

func placerScenarios() []scenario {
	var scenarios []scenario
	for _, w := range workloads {
		run := func(p *placement, fit func([]*host, resource.Amount) *host) func(uint64) result {
			return func(seed uint64) result { return runPlacement(w, seed, p, fit) }
		}
		scenarios = append(scenarios, scenario{
			name: w.name + ", 11 VMs, 3 h, batch near 60% of processors, reports 5–30 s late",
			columns: []string{
				"urgent p99 slowdown", "urgent p99.9 slowdown", "batch tasks/h", "mean wait s", "p99 wait of large tasks s", "p99 wait of accelerator tasks s",
			},
			policies: []policy{
				{"first fit by declared size", run(nil, firstFit)},
				{"best fit without interference", run(nil, bestFit)},
				{"placer with estimator", run(&placement{harm: "learned", commitments: true}, nil)},
				{"– with true interference", run(&placement{harm: "true", commitments: true}, nil)},
				{"– without harm", run(&placement{commitments: true}, nil)},
				{"– without commitments since the report", run(&placement{harm: "learned"}, nil)},
				{"– without harm and accelerator rule", run(&placement{options: placer.Options{AcceleratorPenalty: -1}, commitments: true}, nil)},
				{"– without accelerator rule", run(&placement{options: placer.Options{AcceleratorPenalty: -1}, harm: "learned", commitments: true}, nil)},
				{"– with harm step 0.5", run(&placement{options: placer.Options{SlowdownStep: 0.5}, harm: "learned", commitments: true}, nil)},
				{"– with harm step 0.001", run(&placement{options: placer.Options{SlowdownStep: 0.001}, harm: "learned", commitments: true}, nil)},
				{"– with 4 candidates", run(&placement{options: placer.Options{MaxCandidates: 4}, harm: "learned", commitments: true}, nil)},
			},
		})
	}
	return append(scenarios, samplingScenario())
}

func firstFit(hosts []*host, size resource.Amount) *host {
	for _, h := range hosts {
		if size.Fits(h.free) {
			return h
		}
	}
	return nil
}

func bestFit(hosts []*host, size resource.Amount) *host {
	var best *host
	for _, h := range hosts {
		if size.Fits(h.free) && (best == nil || h.free.MilliProcessors < best.free.MilliProcessors) {
			best = h
		}
	}
	return best
}

func runPlacement(w workload, seed uint64, p *placement, fit func([]*host, resource.Amount) *host) result {
	random := rand.New(rand.NewPCG(seed, 1))
	noise := rand.New(rand.NewPCG(seed, 2))
	clock := clockwork.NewFakeClock()
	hosts := w.hosts()
	byName := map[string]*host{}
	for _, h := range hosts {
		byName[h.name] = h
	}
	e := estimator.New(estimator.Options{Clock: clock})
	var index *placer.Placer
	if p != nil {
		options := p.options
		options.Random = rand.New(rand.NewPCG(seed, 3))
		switch p.harm {
		case "learned":
			options.Interference = e
		case "true":
			options.Interference = oracle{w, byName}
		}
		index = placer.New(options)
		for _, h := range hosts {
			index.Set(placer.VM{Name: h.name, Capacity: h.capacity, Free: h.free})
		}
	}
	choose := func(j *job) *host {
		if index == nil {
			return fit(hosts, j.declared)
		}
		names, _ := index.Place(placer.Task{Kind: j.kind, Size: j.declared})
		if len(names) == 0 {
			return nil
		}
		index.Commit(names[0], j.declared)
		if p.commitments {
			e.Commit(names[0], j.kind, float64(j.declared.MilliProcessors)/float64(byName[names[0]].capacity.MilliProcessors))
		}
		return byName[names[0]]
	}
	var (
		waiting, finished                    []*job
		reports                              []delayed
		slowdowns, waits, large, accelerated []float64
		arrivals                             int
		meanWork                             = 120 * math.Exp(0.5) * (float64(w.processors)/32 + 0.5 + float64(w.processors)/50)
		rate                                 = 0.6 * 11 * float64(w.processors) / meanWork
		warmUp, ticks                        = 1800, 3 * 3600
	)
	for t := range ticks {
		clock.Advance(tick)
		now := clock.Now()
		for n := poisson(random, rate); n > 0; n-- {
			arrivals++
			waiting = append(waiting, w.arrival(random, arrivals, now))
		}
		kept := waiting[:0]
		for _, j := range waiting {
			h := choose(j)
			if h == nil {
				kept = append(kept, j)
				continue
			}
			h.start(j)
			wait := now.Sub(j.submitted).Seconds()
			waits = append(waits, wait)
			if j.declared.Accelerators > 0 {
				accelerated = append(accelerated, wait)
			}
			if j.declared.MilliProcessors >= w.processors*500 {
				large = append(large, wait)
			}
		}
		waiting = kept
		for i, h := range hosts {
			measured := map[string]float64{}
			for _, critical := range h.critical {
				measured[critical] = w.slowdown(h, critical, 0.15*noise.NormFloat64())
				if t >= warmUp {
					slowdowns = append(slowdowns, measured[critical])
				}
			}
			if (t+i)%5 == 0 {
				lag := time.Duration(5+noise.IntN(26)) * time.Second
				reports = append(reports, delayed{now.Add(lag), estimator.LoadReport{VM: h.name, Critical: h.critical, Shares: h.shares(), MeasuredAt: now}, measured})
			}
			for _, j := range h.advance() {
				finished = append(finished, j)
				if index != nil {
					index.Release(h.name, j.declared)
				}
			}
		}
		reports = deliver(reports, now, func(d delayed) {
			e.SetLoad(d.report)
			for _, critical := range d.report.Critical {
				e.Observe(critical, d.report.Shares, d.slowdowns[critical])
			}
		})
	}
	return result{quantile(slowdowns, 0.99), quantile(slowdowns, 0.999), float64(len(finished)) / 3, mean(waits), quantile(large, 0.99), quantile(accelerated, 0.99)}
}

// deliver hands over the reports that are due and returns the others.
func deliver(reports []delayed, now time.Time, take func(delayed)) []delayed {
	kept := reports[:0]
	for _, d := range reports {
		if d.due.After(now) {
			kept = append(kept, d)
		} else {
			take(d)
		}
	}
	return kept
}

func poisson(random *rand.Rand, rate float64) int {
	n := 0
	for p := random.Float64(); p > math.Exp(-rate); p *= random.Float64() {
		n++
	}
	return n
}
