package main

import (
	"fmt"
	"math/rand/v2"

	"bamboohook/placer"
	"bamboohook/resource"
)

// fixedSlowdowns is an interference model in which each VM has a slowdown that does not depend on the task. It maps the
// name of the VM to the amount by which the slowdown exceeds 1.
type fixedSlowdowns map[string]float64

func (f fixedSlowdowns) Slowdown(vm, _ string, _ float64) float64 { return 1 + f[vm] }

// samplingScenario compares placements that consider a random sample of the VMs with placements that consider all VMs.
func samplingScenario() scenario {
	s := scenario{
		name:    "2,700 VMs, 40,000 tasks that stay, harm of each VM drawn from 0 to 0.5",
		columns: []string{"mean slowdown where the last 5,000 tasks were placed", "VMs left with half their processors free", "tasks without a VM"},
	}
	for _, candidates := range []int{1, 4, 8, 16, 32, 64, 128, 2700} {
		s.policies = append(s.policies, policy{fmt.Sprint(candidates, " candidates"), func(seed uint64) result {
			return runSampling(seed, candidates)
		}})
	}
	return s
}

// runSampling places 40,000 tasks that never end on 2,700 VMs.
func runSampling(seed uint64, candidates int) result {
	random := rand.New(rand.NewPCG(seed, 1))
	extraSlowdowns := fixedSlowdowns{}
	p := placer.New(placer.Options{Interference: extraSlowdowns, MaxCandidates: candidates, Random: rand.New(rand.NewPCG(seed, 2))})
	capacity := resource.Amount{MilliProcessors: 64000, MemoryBytes: 250 << 30}
	for i := range 2700 {
		name := fmt.Sprint("vm-", i)
		extraSlowdowns[name] = random.Float64() / 2
		p.Set(placer.VM{Name: name, Capacity: capacity, Free: capacity})
	}
	var slowdowns []float64
	unplaced := 0.0
	for i := range 40000 {
		size := resource.Amount{MilliProcessors: 1000 + random.Int64N(4000), MemoryBytes: (2 + random.Int64N(12)) << 30}
		names, _ := p.Place(placer.Task{Kind: "indexing", Size: size})
		if len(names) == 0 {
			unplaced++
			continue
		}
		p.Commit(names[0], size)
		if i >= 35000 {
			slowdowns = append(slowdowns, 1+extraSlowdowns[names[0]])
		}
	}
	halfFree := 0.0
	for name := range extraSlowdowns {
		if vm, _ := p.VM(name); vm.Free.MilliProcessors >= capacity.MilliProcessors/2 {
			halfFree++
		}
	}
	return result{mean(slowdowns), halfFree, unplaced}
}
