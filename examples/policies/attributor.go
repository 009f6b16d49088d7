package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"bamboohook/attributor"
)

type (
	// judge is what the scenario needs of an attributor or baseline.
	judge interface {
		RecordOutcome(job, vm string, succeeded bool) []attributor.Verdict
		Parked(job string) bool
		Quarantined(vm string) bool
	}

	// threshold parks a job and quarantines a VM after a fixed number of failures.
	threshold struct {
		limit     int
		jobs, vms map[string]int
	}

	faults struct {
		vms, brokenVMs, jobs, badJobs int
	}
)

func (f threshold) RecordOutcome(job, vm string, succeeded bool) []attributor.Verdict {
	if !succeeded {
		f.jobs[job]++
		f.vms[vm]++
	}
	return nil
}

func (f threshold) Parked(job string) bool     { return f.jobs[job] >= f.limit }
func (f threshold) Quarantined(vm string) bool { return f.vms[vm] >= f.limit }

func attributorScenarios() []scenario {
	var scenarios []scenario
	for _, c := range []struct {
		name string
		faults
	}{
		{"Bureau or Caroni, 11 VMs (1 broken), 40 jobs (4 bad)", faults{11, 1, 40, 4}},
		{"11 VMs (none broken), 40 jobs (12 bad)", faults{11, 0, 40, 12}},
		{"300 VMs (9 broken), 600 jobs (30 bad)", faults{300, 9, 600, 30}},
	} {
		s := scenario{
			name: c.name + ", 2% random failures, both from the start, 1 h",
			columns: []string{
				"good jobs parked", "good VMs quarantined", "bad jobs not parked", "broken VMs not quarantined", "wasted starts",
			},
		}
		for _, p := range []struct {
			name string
			new  func(clock attributor.Clock) judge
		}{
			{"fixed threshold of 3", func(attributor.Clock) judge { return threshold{3, map[string]int{}, map[string]int{}} }},
			{"fixed threshold of 10", func(attributor.Clock) judge { return threshold{10, map[string]int{}, map[string]int{}} }},
			{"attributor", func(clock attributor.Clock) judge { return attributor.New(attributor.Options{Clock: clock}) }},
			{"– without shares of outcomes", func(clock attributor.Clock) judge {
				return attributor.New(attributor.Options{Clock: clock, MinJobShare: 1e-9, MinVMShare: 1e-9})
			}},
			{"– with 1.5 as evidence", func(clock attributor.Clock) judge {
				return attributor.New(attributor.Options{Clock: clock, MinEvidence: 1.5})
			}},
			{"– with a window of 1 h", func(clock attributor.Clock) judge {
				return attributor.New(attributor.Options{Clock: clock, Window: time.Hour})
			}},
		} {
			s.policies = append(s.policies, policy{p.name, func(seed uint64) result { return runFaults(seed, c.faults, p.new) }})
		}
		scenarios = append(scenarios, s)
	}
	return scenarios
}

// runFaults starts tasks of random jobs on random VMs with a free slot. Tasks fail after 2 s and
// succeed after 60 s, so that a broken VM takes far more than its part of the tasks.
func runFaults(seed uint64, f faults, build func(attributor.Clock) judge) result {
	random := rand.New(rand.NewPCG(seed, 1))
	clock := clockwork.NewFakeClock()
	j := build(clock)
	jobs, vms := make([]string, f.jobs), make([]string, f.vms)
	for i := range jobs {
		jobs[i] = fmt.Sprint("job-", i)
	}
	for i := range vms {
		vms[i] = fmt.Sprint("vm-", i)
	}
	type running struct {
		job, vm int
		failed  bool
		ends    int
	}
	var tasks []running
	free := make([]int, f.vms)
	for i := range free {
		free[i] = 8
	}
	wasted := 0.0
	for t := range 3600 {
		clock.Advance(time.Second)
		kept := tasks[:0]
		for _, r := range tasks {
			if r.ends > t {
				kept = append(kept, r)
				continue
			}
			free[r.vm]++
			if r.failed {
				wasted++
			}
			j.RecordOutcome(jobs[r.job], vms[r.vm], !r.failed)
		}
		tasks = kept
		for range f.vms {
			job, vm := random.IntN(f.jobs), random.IntN(f.vms)
			noise := random.Float64() < 0.02
			if free[vm] == 0 || j.Parked(jobs[job]) || j.Quarantined(vms[vm]) {
				continue
			}
			free[vm]--
			r := running{job, vm, noise || job < f.badJobs || vm < f.brokenVMs, t + 60}
			if r.failed {
				r.ends = t + 2
			}
			tasks = append(tasks, r)
		}
	}
	verdicts := make(result, 4, 5)
	for i, name := range jobs {
		switch {
		case i >= f.badJobs && j.Parked(name):
			verdicts[0]++
		case i < f.badJobs && !j.Parked(name):
			verdicts[2]++
		}
	}
	for i, name := range vms {
		switch {
		case i >= f.brokenVMs && j.Quarantined(name):
			verdicts[1]++
		case i < f.brokenVMs && !j.Quarantined(name):
			verdicts[3]++
		}
	}
	return append(verdicts, wasted)
}
