package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bamboohook/resource"
)

// tickInterval is the time between two steps of the simulations of the placer and the governor.
const tickInterval = time.Second

type (
	// workload describes the VMs and tasks of one user of the scheduler, and the true interference between its kinds of
	// work. The policies do not know the true interference.
	workload struct {
		name          string
		processors    int64
		memoryGiB     int64
		accelerators  func(vm int) int64
		criticalKinds func(vm int) []string
		batchKinds    []string
		// interference maps a critical kind and a batch kind to the increase of the logarithm of the critical kind's
		// latency that the batch kind causes if it uses all processors of the VM. The increase is proportional to the
		// share that it uses.
		interference map[[2]string]float64
	}

	simulatedVM struct {
		name          string
		capacity      resource.Amount
		free          resource.Amount
		criticalKinds []string
		running       []*batchTask
	}

	// batchTask is a batch task with its declared size and its actual use and run time, which the policies do not know.
	// The share is the part of its processors that throttling leaves to the task. During a burst, the task uses
	// burstFactor times its usual processors.
	batchTask struct {
		id                  string
		kind                string
		declared            resource.Amount
		usedMilliProcessors int64
		remaining           time.Duration
		submitted           time.Time
		share               float64
		vm                  *simulatedVM
		burstFactor         float64
		burstRemaining      time.Duration
	}
)

var workloads = []workload{
	{
		name: "Bureau", processors: 64, memoryGiB: 250, batchKinds: []string{"face-build", "indexing"},
		accelerators: func(vm int) int64 {
			if vm < 3 {
				return 2
			}
			return 0
		},
		criticalKinds: func(vm int) []string {
			return [][]string{{"preview", "emergency-alert"}, {"preview", "download"}, {"download"}}[vm%3]
		},
		interference: map[[2]string]float64{
			{"preview", "face-build"}: 1.6, {"preview", "indexing"}: 0.3, {"download", "face-build"}: 0.4,
			{"download", "indexing"}: 1.2, {"emergency-alert", "face-build"}: 0.8, {"emergency-alert", "indexing"}: 0.2,
		},
	},
	{
		name: "Caroni", processors: 32, memoryGiB: 125, batchKinds: []string{"full-plan"},
		accelerators: func(int) int64 { return 0 },
		criticalKinds: func(vm int) []string {
			return [][]string{{"road-check"}, {"road-check", "river-watch"}, {"river-watch"}}[vm%3]
		},
		interference: map[[2]string]float64{{"road-check", "full-plan"}: 1.4, {"river-watch", "full-plan"}: 0.5},
	},
}

// newVMs returns the 11 VMs of the workload without batch tasks.
func (w workload) newVMs() []*simulatedVM {
	vms := make([]*simulatedVM, 11)
	for i := range vms {
		capacity := resource.Amount{MilliProcessors: w.processors * 1000, MemoryBytes: w.memoryGiB << 30, Accelerators: w.accelerators(i)}
		vms[i] = &simulatedVM{name: fmt.Sprintf("%s-%d", w.name, i), capacity: capacity, free: capacity, criticalKinds: w.criticalKinds(i)}
	}
	return vms
}

// newTask returns a random task. Its need for processors is 0.2 to 5 times the declared number, and its use is limited
// to that number. Run times have a heavy tail.
func (w workload) newTask(random *rand.Rand, n int, now time.Time) *batchTask {
	processors := 1 + random.Int64N(w.processors/16)
	bt := &batchTask{id: fmt.Sprint(n), kind: w.batchKinds[random.IntN(len(w.batchKinds))], submitted: now, share: 1, burstFactor: 1}
	if random.IntN(25) == 0 {
		processors = w.processors / 2
	}
	if w.accelerators(0) > 0 && random.IntN(25) == 0 {
		bt.declared.Accelerators = 1
	}
	bt.declared.MilliProcessors = processors * 1000
	bt.declared.MemoryBytes = processors * 3 << 30
	usageFactor := min(5, max(0.2, math.Exp(0.5*random.NormFloat64())))
	bt.usedMilliProcessors = int64(float64(bt.declared.MilliProcessors) * min(1, usageFactor))
	bt.remaining = time.Duration(min(7200, 120*math.Exp(random.NormFloat64())) * float64(time.Second))
	return bt
}

func (v *simulatedVM) start(bt *batchTask) {
	v.free = v.free.Sub(bt.declared)
	v.running = append(v.running, bt)
	bt.vm = v
}

// advance runs the VM for one tick and returns the tasks that finished.
func (v *simulatedVM) advance() []*batchTask {
	var finished []*batchTask
	kept := v.running[:0]
	for _, bt := range v.running {
		if bt.remaining -= time.Duration(float64(tickInterval) * bt.share); bt.remaining > 0 {
			kept = append(kept, bt)
			continue
		}
		v.free = v.free.Add(bt.declared)
		finished = append(finished, bt)
	}
	v.running = kept
	return finished
}

func (v *simulatedVM) stop(bt *batchTask) {
	for i, r := range v.running {
		if r == bt {
			v.running = append(v.running[:i], v.running[i+1:]...)
			v.free = v.free.Add(bt.declared)
			return
		}
	}
}

// sharesByKind returns the processors that the batch tasks of each kind use, as shares of the processors of the VM.
func (v *simulatedVM) sharesByKind() map[string]float64 {
	shares := map[string]float64{}
	for _, bt := range v.running {
		shares[bt.kind] += bt.processorShare()
	}
	return shares
}

// processorShare returns the processors that the task uses, as a share of the processors of its VM.
func (bt *batchTask) processorShare() float64 {
	return float64(bt.usedMilliProcessors) * bt.share * bt.burstFactor / float64(bt.vm.capacity.MilliProcessors)
}

// slowdown returns the factor by which the batch tasks on the VM slow down the critical kind. The noise is added to the
// logarithm of the factor.
func (w workload) slowdown(v *simulatedVM, criticalKind string, noise float64) float64 {
	logSlowdown := noise
	for _, bt := range v.running {
		logSlowdown += w.interference[[2]string{criticalKind, bt.kind}] * bt.processorShare()
	}
	return math.Exp(logSlowdown)
}
