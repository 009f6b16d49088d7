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
	// delayedLoadReport is a load report that the estimator receives when it is due.
	delayedLoadReport struct {
		due    time.Time
		report estimator.LoadReport
		// slowdowns maps each critical kind to its slowdown at the time of the measurement.
		slowdowns map[string]float64
	}

	// trueModel is an interference model that knows the true interference. It shows the best result that learning can
	// reach.
	trueModel struct {
		workload workload
		vms      map[string]*simulatedVM
	}

	// placerSetup selects the parts of the placer that a policy uses. The field interference is "learned" for an
	// estimator, "true" for the true interference, or empty for none. If commitments is set, the estimator also counts
	// tasks that were placed since the last report.
	placerSetup struct {
		options      placer.Options
		interference string
		commitments  bool
	}
)

// Slowdown returns the highest true slowdown among the critical kinds on the VM if a task of the kind is added that
// uses the given share of the VM's processors.
func (m trueModel) Slowdown(vm, kind string, share float64) float64 {
	v := m.vms[vm]
	maxLogSlowdown := 0.0
	for _, criticalKind := range v.criticalKinds {
		maxLogSlowdown = max(maxLogSlowdown, math.Log(m.workload.slowdown(v, criticalKind, 0))+m.workload.interference[[2]string{criticalKind, kind}]*share)
	}
	return math.Exp(maxLogSlowdown)
}

func placerScenarios() []scenario {
	var scenarios []scenario
	for _, w := range workloads {
		run := func(p *placerSetup, selectVM func([]*simulatedVM, resource.Amount) *simulatedVM) func(uint64) result {
			return func(seed uint64) result { return runPlacement(w, seed, p, selectVM) }
		}
		scenarios = append(scenarios, scenario{
			name: w.name + ", 11 VMs, 3 h, batch near 60% of processors, reports 5–30 s late",
			columns: []string{
				"urgent p99 slowdown", "urgent p99.9 slowdown", "batch tasks/h", "mean wait s", "p99 wait of large tasks s", "p99 wait of accelerator tasks s",
			},
			policies: []policy{
				{"first fit by declared size", run(nil, firstFit)},
				{"best fit without interference", run(nil, bestFit)},
				{"placer with estimator", run(&placerSetup{interference: "learned", commitments: true}, nil)},
				{"– with true interference", run(&placerSetup{interference: "true", commitments: true}, nil)},
				{"– without harm", run(&placerSetup{commitments: true}, nil)},
				{"– without commitments since the report", run(&placerSetup{interference: "learned"}, nil)},
				{"– without harm and accelerator rule", run(&placerSetup{options: placer.Options{AcceleratorPenalty: -1}, commitments: true}, nil)},
				{"– without accelerator rule", run(&placerSetup{options: placer.Options{AcceleratorPenalty: -1}, interference: "learned", commitments: true}, nil)},
				{"– with harm step 0.5", run(&placerSetup{options: placer.Options{SlowdownStep: 0.5}, interference: "learned", commitments: true}, nil)},
				{"– with harm step 0.001", run(&placerSetup{options: placer.Options{SlowdownStep: 0.001}, interference: "learned", commitments: true}, nil)},
				{"– with 4 candidates", run(&placerSetup{options: placer.Options{MaxCandidates: 4}, interference: "learned", commitments: true}, nil)},
			},
		})
	}
	return append(scenarios, samplingScenario())
}

// firstFit returns the first VM with enough free capacity, or nil.
func firstFit(vms []*simulatedVM, size resource.Amount) *simulatedVM {
	for _, v := range vms {
		if size.Fits(v.free) {
			return v
		}
	}
	return nil
}

// bestFit returns the VM with the fewest free processors among those with enough free capacity, or nil.
func bestFit(vms []*simulatedVM, size resource.Amount) *simulatedVM {
	var best *simulatedVM
	for _, v := range vms {
		if size.Fits(v.free) && (best == nil || v.free.MilliProcessors < best.free.MilliProcessors) {
			best = v
		}
	}
	return best
}

// runPlacement runs the workload for 3 hours. A placer with the setup places the tasks, or selectVM does if the setup is
// nil. The slowdowns of the first 30 minutes are not counted.
func runPlacement(w workload, seed uint64, p *placerSetup, selectVM func([]*simulatedVM, resource.Amount) *simulatedVM) result {
	random := rand.New(rand.NewPCG(seed, 1))
	noise := rand.New(rand.NewPCG(seed, 2))
	clock := clockwork.NewFakeClock()
	vms := w.newVMs()
	byName := map[string]*simulatedVM{}
	for _, v := range vms {
		byName[v.name] = v
	}
	e := estimator.New(estimator.Options{Clock: clock})
	var taskPlacer *placer.Placer
	if p != nil {
		options := p.options
		options.Random = rand.New(rand.NewPCG(seed, 3))
		switch p.interference {
		case "learned":
			options.Interference = e
		case "true":
			options.Interference = trueModel{w, byName}
		}
		taskPlacer = placer.New(options)
		for _, v := range vms {
			taskPlacer.Set(placer.VM{Name: v.name, Capacity: v.capacity, Free: v.free})
		}
	}
	selectFor := func(bt *batchTask) *simulatedVM {
		if taskPlacer == nil {
			return selectVM(vms, bt.declared)
		}
		names, _ := taskPlacer.Place(placer.Task{Kind: bt.kind, Size: bt.declared})
		if len(names) == 0 {
			return nil
		}
		taskPlacer.Commit(names[0], bt.declared)
		if p.commitments {
			e.Commit(names[0], bt.kind, float64(bt.declared.MilliProcessors)/float64(byName[names[0]].capacity.MilliProcessors))
		}
		return byName[names[0]]
	}
	var (
		waiting, finished                              []*batchTask
		reports                                        []delayedLoadReport
		slowdowns, waits, largeWaits, acceleratorWaits []float64
		arrivals                                       int
		meanProcessorSeconds                           = 120 * math.Exp(0.5) * (float64(w.processors)/32 + 0.5 + float64(w.processors)/50)
		arrivalRate                                    = 0.6 * 11 * float64(w.processors) / meanProcessorSeconds
		warmUpTicks, ticks                             = 1800, 3 * 3600
	)
	for t := range ticks {
		clock.Advance(tickInterval)
		now := clock.Now()
		for n := poisson(random, arrivalRate); n > 0; n-- {
			arrivals++
			waiting = append(waiting, w.newTask(random, arrivals, now))
		}
		kept := waiting[:0]
		for _, bt := range waiting {
			v := selectFor(bt)
			if v == nil {
				kept = append(kept, bt)
				continue
			}
			v.start(bt)
			wait := now.Sub(bt.submitted).Seconds()
			waits = append(waits, wait)
			if bt.declared.Accelerators > 0 {
				acceleratorWaits = append(acceleratorWaits, wait)
			}
			if bt.declared.MilliProcessors >= w.processors*500 {
				largeWaits = append(largeWaits, wait)
			}
		}
		waiting = kept
		for i, v := range vms {
			measured := map[string]float64{}
			for _, criticalKind := range v.criticalKinds {
				measured[criticalKind] = w.slowdown(v, criticalKind, 0.15*noise.NormFloat64())
				if t >= warmUpTicks {
					slowdowns = append(slowdowns, measured[criticalKind])
				}
			}
			if (t+i)%5 == 0 {
				lag := time.Duration(5+noise.IntN(26)) * time.Second
				reports = append(reports, delayedLoadReport{now.Add(lag), estimator.LoadReport{VM: v.name, CriticalServices: v.criticalKinds, Shares: v.sharesByKind(), MeasuredAt: now}, measured})
			}
			for _, bt := range v.advance() {
				finished = append(finished, bt)
				if taskPlacer != nil {
					taskPlacer.Release(v.name, bt.declared)
				}
			}
		}
		reports = deliver(reports, now, func(d delayedLoadReport) {
			e.SetLoad(d.report)
			for _, criticalKind := range d.report.CriticalServices {
				e.Observe(criticalKind, d.report.Shares, d.slowdowns[criticalKind])
			}
		})
	}
	return result{quantile(slowdowns, 0.99), quantile(slowdowns, 0.999), float64(len(finished)) / 3, mean(waits), quantile(largeWaits, 0.99), quantile(acceleratorWaits, 0.99)}
}

// deliver calls handle for each report that is due and returns the other reports.
func deliver(reports []delayedLoadReport, now time.Time, handle func(delayedLoadReport)) []delayedLoadReport {
	kept := reports[:0]
	for _, d := range reports {
		if d.due.After(now) {
			kept = append(kept, d)
		} else {
			handle(d)
		}
	}
	return kept
}

// poisson returns a random number from the Poisson distribution with the mean rate.
func poisson(random *rand.Rand, rate float64) int {
	n := 0
	for p := random.Float64(); p > math.Exp(-rate); p *= random.Float64() {
		n++
	}
	return n
}
