package dispatcher

import (
	"slices"

	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/job"
	"bamboohook/resource"
)

// VM is an owner's view of a VM. Set the exported fields when the VM describes itself.
type VM struct {
	Name     string
	Service  string
	Rack     string
	Labels   []string
	Capacity resource.Amount
	// Schedulable tells that tasks may start there.
	Schedulable bool
	// TargetMissed tells that one of them misses its target.
	TargetMissed bool

	// reserved is what admitted tasks take: processors of those that do not fill, memory and accelerators of all.
	reserved resource.Amount
	serving  int64
	filling  int64
	steps    map[*bookkeeper.Step]int
	// victims counts the tasks with a latency target by program, measured or not, programs the processors of filling tasks.
	victims  map[string]int64
	programs map[string]int64
	measured []Victim
	// idle are the processors that filling tasks leave unused because they are slowed down.
	idle int64
	// felt is what each of Victims feels of the programs; nil if it has to be computed.
	felt []float64
}

// Victim is a task whose latency others on the VM raise.
type Victim struct {
	Program string
	// OwnLoad is the utilisation that it causes itself, Limit the one at which it misses its target.
	OwnLoad float64
	Limit   float64
}

// SetVictims replaces the long-running tasks with a latency target, as they were measured. The VM keeps the slice.
func (v *VM) SetVictims(victims []Victim) { v.measured, v.felt = victims, nil }

// SetThrottled replaces what filling tasks leave unused because they are slowed down, in thousandths of a processor.
func (v *VM) SetThrottled(processors int64) { v.idle = processors }

// Add counts a run of the task at the VM.
func (v *VM) Add(t *bookkeeper.Task) { v.count(t, 1) }

// Remove takes back Add.
func (v *VM) Remove(t *bookkeeper.Task) { v.count(t, -1) }

// Reset forgets all runs, because the endpoint process was replaced.
func (v *VM) Reset() {
	v.reserved, v.serving, v.filling, v.steps, v.victims, v.programs = resource.Amount{}, 0, 0, nil, nil, nil
}

// LongRunningProcessors returns the processors reserved by long-running tasks, in thousandths.
func (v *VM) LongRunningProcessors() int64 { return v.serving }

// BestEffortProcessors returns the processors that filling tasks would use, in thousandths.
func (v *VM) BestEffortProcessors() int64 { return v.filling }

// Reserved returns what the tasks at the VM take.
func (v *VM) Reserved() resource.Amount { return v.reserved }

// CanHost reports whether the VM could run a task of the step if it were empty.
func (v *VM) CanHost(s job.Step) bool {
	if s.Label != "" && !slices.Contains(v.Labels, s.Label) {
		return false
	}
	return demand(s).Fits(v.Capacity)
}

func (v *VM) count(t *bookkeeper.Task, sign int64) {
	s := t.Step
	v.felt = nil
	if v.steps == nil {
		v.steps = map[*bookkeeper.Step]int{}
	}
	v.steps[s] += int(sign)
	if v.steps[s] == 0 {
		delete(v.steps, s)
	}
	size := s.Size
	if s.LongRunning && s.TailTarget > 0 {
		v.victims = tally(v.victims, s.Image, sign)
	}
	if s.BestEffort {
		v.programs = tally(v.programs, s.Image, sign*max(size.MilliProcessors, 1))
		v.filling += sign * size.MilliProcessors
		size.MilliProcessors = 0
	}
	if s.LongRunning {
		v.serving += sign * size.MilliProcessors
	}
	v.reserved = v.reserved.Add(resource.Amount{
		MilliProcessors: sign * size.MilliProcessors, MemoryBytes: sign * size.MemoryBytes, Accelerators: sign * size.Accelerators,
	})
}

// tally adds to the count of a name and drops it at 0.
func tally(counts map[string]int64, name string, by int64) map[string]int64 {
	if counts == nil {
		counts = map[string]int64{}
	}
	counts[name] += by
	if counts[name] == 0 {
		delete(counts, name)
	}
	return counts
}

// admits reports whether the VM may run one more task of the step.
func (v *VM) admits(s *bookkeeper.Step) bool {
	if !v.Schedulable || s.MaxPerVM > 0 && v.steps[s] >= s.MaxPerVM {
		return false
	}
	return v.CanHost(s.Step) && demand(s.Step).Fits(v.Capacity.Sub(v.reserved))
}

// demand is what a task of the step reserves.
func demand(s job.Step) resource.Amount {
	size := s.Size
	if s.BestEffort {
		size.MilliProcessors = 0
	}
	return size
}
