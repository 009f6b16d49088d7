package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"bamboohook/attributor"
)

type (
	// faultAttributor is the part of an attributor that the scenario uses. The baseline also implements it.
	faultAttributor interface {
		RecordOutcome(job, vm string, succeeded bool) []attributor.Verdict
		Parked(job string) bool
		Quarantined(vm string) bool
	}

	// thresholdAttributor is a baseline that parks a job and quarantines a VM after a fixed number of failures.
	thresholdAttributor struct {
		threshold int
		jobs, vms map[string]int
	}

	// faultCounts holds the number of VMs and jobs and how many of them are broken or bad. Tasks on a broken VM and tasks
	// of a bad job always fail.
	faultCounts struct {
		vms, brokenVMs, jobs, badJobs int
	}
)

func (t thresholdAttributor) RecordOutcome(job, vm string, succeeded bool) []attributor.Verdict {
	if !succeeded {
		t.jobs[job]++
		t.vms[vm]++
	}
	return nil
}

func (t thresholdAttributor) Parked(job string) bool     { return t.jobs[job] >= t.threshold }
func (t thresholdAttributor) Quarantined(vm string) bool { return t.vms[vm] >= t.threshold }

func attributorScenarios() []scenario {
	var scenarios []scenario
	for _, c := range []struct {
		name string
		faultCounts
	}{
		{"Bureau or Caroni, 11 VMs (1 broken), 40 jobs (4 bad)", faultCounts{11, 1, 40, 4}},
		{"11 VMs (none broken), 40 jobs (12 bad)", faultCounts{11, 0, 40, 12}},
		{"300 VMs (9 broken), 600 jobs (30 bad)", faultCounts{300, 9, 600, 30}},
	} {
		s := scenario{
			name: c.name + ", 2% random failures, both from the start, 1 h",
			columns: []string{
				"good jobs parked", "good VMs quarantined", "bad jobs not parked", "broken VMs not quarantined", "wasted starts",
			},
		}
		for _, p := range []struct {
			name string
			new  func(clock attributor.Clock) faultAttributor
		}{
			{"fixed threshold of 3", func(attributor.Clock) faultAttributor {
				return thresholdAttributor{3, map[string]int{}, map[string]int{}}
			}},
			{"fixed threshold of 10", func(attributor.Clock) faultAttributor {
				return thresholdAttributor{10, map[string]int{}, map[string]int{}}
			}},
			{"attributor", func(clock attributor.Clock) faultAttributor { return attributor.New(attributor.Options{Clock: clock}) }},
			{"– without shares of outcomes", func(clock attributor.Clock) faultAttributor {
				return attributor.New(attributor.Options{Clock: clock, MinFailingShareOfJob: 1e-9, MinFailingShareOfVM: 1e-9})
			}},
			{"– with 1.5 as evidence", func(clock attributor.Clock) faultAttributor {
				return attributor.New(attributor.Options{Clock: clock, MinEvidence: 1.5})
			}},
			{"– with a window of 1 h", func(clock attributor.Clock) faultAttributor {
				return attributor.New(attributor.Options{Clock: clock, Window: time.Hour})
			}},
		} {
			s.policies = append(s.policies, policy{p.name, func(seed uint64) result { return runFaults(seed, c.faultCounts, p.new) }})
		}
		scenarios = append(scenarios, s)
	}
	return scenarios
}

// runFaults starts tasks of random jobs on random VMs with a free slot. A task that fails ends after 2 s, and one that
// succeeds ends after 60 s. The slots of a broken VM are therefore free more often, so that it receives far more tasks
// than a healthy VM.
func runFaults(seed uint64, f faultCounts, newAttributor func(attributor.Clock) faultAttributor) result {
	random := rand.New(rand.NewPCG(seed, 1))
	clock := clockwork.NewFakeClock()
	a := newAttributor(clock)
	jobs, vms := make([]string, f.jobs), make([]string, f.vms)
	for i := range jobs {
		jobs[i] = fmt.Sprint("job-", i)
	}
	for i := range vms {
		vms[i] = fmt.Sprint("vm-", i)
	}
	type runningTask struct {
		job, vm int
		failed  bool
		endTick int
	}
	var tasks []runningTask
	freeSlots := make([]int, f.vms)
	for i := range freeSlots {
		freeSlots[i] = 8
	}
	wastedStarts := 0.0
	for t := range 3600 {
		clock.Advance(time.Second)
		kept := tasks[:0]
		for _, r := range tasks {
			if r.endTick > t {
				kept = append(kept, r)
				continue
			}
			freeSlots[r.vm]++
			if r.failed {
				wastedStarts++
			}
			a.RecordOutcome(jobs[r.job], vms[r.vm], !r.failed)
		}
		tasks = kept
		for range f.vms {
			job, vm := random.IntN(f.jobs), random.IntN(f.vms)
			randomFailure := random.Float64() < 0.02
			if freeSlots[vm] == 0 || a.Parked(jobs[job]) || a.Quarantined(vms[vm]) {
				continue
			}
			freeSlots[vm]--
			r := runningTask{job, vm, randomFailure || job < f.badJobs || vm < f.brokenVMs, t + 60}
			if r.failed {
				r.endTick = t + 2
			}
			tasks = append(tasks, r)
		}
	}
	counts := make(result, 4, 5)
	for i, name := range jobs {
		switch {
		case i >= f.badJobs && a.Parked(name):
			counts[0]++
		case i < f.badJobs && !a.Parked(name):
			counts[2]++
		}
	}
	for i, name := range vms {
		switch {
		case i >= f.brokenVMs && a.Quarantined(name):
			counts[1]++
		case i < f.brokenVMs && !a.Quarantined(name):
			counts[3]++
		}
	}
	return append(counts, wastedStarts)
}
