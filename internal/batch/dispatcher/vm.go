package dispatcher

import (
	"maps"
	"math"
	"slices"

	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/job"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/resource"
)

// VM is the state of a VM as far as the owner of the jobs knows it. The caller sets the exported fields.
type VM struct {
	Name     string
	Service  string
	Rack     string
	Labels   []string
	Capacity resource.Amount
	// Schedulable reports whether tasks may start on the VM.
	Schedulable bool
	// Evacuated reports whether nothing may start on the VM because its data centre is evacuated. Schedulable and SchedulableSoon are then false.
	Evacuated bool
	// SchedulableSoon reports whether only a circuit breaker keeps tasks from starting on the VM, which allows a start within a bound. Such a VM may be held
	// for a starving step: a gang would not start while other tasks use the probes of its VMs one by one.
	SchedulableSoon bool
	// Probing reports whether only one task or gang may start on the VM in a plan, to test the VM.
	Probing bool
	// StartsRefused reports whether the last start on the VM was refused. Starving tasks then only start there if room on another VM cannot be kept for
	// them.
	StartsRefused bool
	// StartWindow is how many starts on the VM may be unconfirmed at a time, or 0 for any number. PendingStarts is how many are. Plans add the starts that they
	// place. Gangs start beyond the window, because their tasks only work together.
	StartWindow, PendingStarts int
	// TargetMissed reports whether a task on the VM misses its latency target.
	TargetMissed bool

	// reserved is the sum of the reservations: the processors of all tasks that are not best-effort, and the memory and accelerators of
	// all tasks.
	reserved resource.Amount
	// longRunningReserved is the part of reserved that long-running tasks reserve. bestEffortProcessors is the number of processors that best-effort
	// tasks would use at full pace, in thousandths.
	longRunningReserved  resource.Amount
	bestEffortProcessors int64
	// runCount is the number of runs on the VM.
	runCount int
	// startedStep is the step of which a task was last placed on the VM in the current plan, or nil.
	startedStep *bookkeeper.Step
	// runsByStep holds the number of runs of each step on the VM.
	runsByStep map[*bookkeeper.Step]int
	// victimsByProgram holds the number of victims on the VM that run each program, whether they were measured or not.
	// bestEffortProcessorsByProgram holds the processors that the best-effort tasks of each program would use at full pace, in thousandths.
	victimsByProgram              map[string]int64
	bestEffortProcessorsByProgram map[string]int64
	measuredVictims               []Victim
	// processorsUnusedByThrottled is the number of processors that best-effort tasks leave unused because they are throttled, in thousandths.
	processorsUnusedByThrottled int64
	// predictedUtilisation holds the utilisation of each measured victim when all best-effort tasks work at full pace. It is nil if it has
	// to be computed again.
	predictedUtilisation []float64
	// impacts holds the impacts of one more task, by program and processors, that were predicted in the plan with the number impactsOfPlan. It is
	// nil if all of them have to be predicted again.
	impacts       map[impactKey]impact
	impactsOfPlan uint64
}

// impactKey is what the impact of a task on the victims of a VM depends on.
type impactKey struct {
	program         string
	milliProcessors int64
}

// Victim is a long-running task with a latency target. Best-effort tasks on the VM may cause it to miss the target.
type Victim struct {
	// Program is the name of the program that the task runs.
	Program string
	// OwnLoad is the utilisation that the task causes itself, Limit the utilisation at which it misses its target.
	OwnLoad float64
	Limit   float64
}

// SetMeasuredVictims replaces the victims whose latency was measured. The caller must not change the slice afterwards.
func (v *VM) SetMeasuredVictims(victims []Victim) {
	v.measuredVictims = victims
	v.forgetPredictions()
}

// SetProcessorsUnusedByThrottled sets the processors that best-effort tasks leave unused because they are throttled, in thousandths.
func (v *VM) SetProcessorsUnusedByThrottled(processors int64) {
	v.processorsUnusedByThrottled = processors
}

// ProcessorsUnusedByThrottled returns the processors that best-effort tasks leave unused because they are throttled, in thousandths.
func (v *VM) ProcessorsUnusedByThrottled() int64 { return v.processorsUnusedByThrottled }

// Clone returns a copy of the VM, to which runs can be added without a change of the original.
func (v *VM) Clone() *VM {
	clone := *v
	clone.runsByStep, clone.victimsByProgram = maps.Clone(v.runsByStep), maps.Clone(v.victimsByProgram)
	clone.bestEffortProcessorsByProgram = maps.Clone(v.bestEffortProcessorsByProgram)
	clone.forgetPredictions()
	return &clone
}

// Add adds a run of the task to the VM.
func (v *VM) Add(t *bookkeeper.Task) { v.addRuns(t, 1) }

// Remove removes a run of the task from the VM.
func (v *VM) Remove(t *bookkeeper.Task) { v.addRuns(t, -1) }

// Reset removes all runs from the VM, so that nothing is reserved there.
func (v *VM) Reset() {
	v.reserved, v.longRunningReserved, v.bestEffortProcessors, v.runsByStep, v.victimsByProgram, v.bestEffortProcessorsByProgram = resource.Amount{}, resource.Amount{}, 0, nil, nil, nil
	v.runCount = 0
	v.forgetPredictions()
}

// LongRunningProcessors returns the processors that long-running tasks reserve, in thousandths.
func (v *VM) LongRunningProcessors() int64 { return v.longRunningReserved.MilliProcessors }

// BestEffortProcessors returns the processors that the best-effort tasks would use at full pace, in thousandths.
func (v *VM) BestEffortProcessors() int64 { return v.bestEffortProcessors }

// Reserved returns the sum of the reservations of all tasks on the VM.
func (v *VM) Reserved() resource.Amount { return v.reserved }

// CanHost reports whether the VM could run a task of the step if it were empty.
func (v *VM) CanHost(s job.Step) bool {
	if s.Label != "" && !slices.Contains(v.Labels, s.Label) {
		return false
	}
	return reservation(s).Fits(v.Capacity)
}

// canHostBesideLongRunning reports whether the VM could run a task of the step if only its long-running tasks were there, which do not end.
func (v *VM) canHostBesideLongRunning(s job.Step) bool {
	return v.CanHost(s) && reservation(s).Fits(v.Capacity.Sub(v.longRunningReserved))
}

// addRuns adds a run of the task to the VM if sign is 1, and removes one if sign is -1.
func (v *VM) addRuns(t *bookkeeper.Task, sign int64) {
	s := t.Step
	v.forgetPredictions()
	if v.runsByStep == nil {
		v.runsByStep = map[*bookkeeper.Step]int{}
	}
	v.runCount += int(sign)
	v.runsByStep[s] += int(sign)
	if v.runsByStep[s] == 0 {
		delete(v.runsByStep, s)
	}
	size := s.Size
	if s.LongRunning && s.TailTarget > 0 {
		v.victimsByProgram = addCount(v.victimsByProgram, s.Program, sign)
	}
	if s.BestEffort {
		v.bestEffortProcessorsByProgram = addCount(v.bestEffortProcessorsByProgram, s.Program, sign*max(size.MilliProcessors, 1))
		v.bestEffortProcessors += sign * size.MilliProcessors
		size.MilliProcessors = 0
	}
	change := resource.Amount{
		MilliProcessors: sign * size.MilliProcessors, MemoryBytes: sign * size.MemoryBytes, Accelerators: sign * size.Accelerators,
	}
	if s.LongRunning {
		v.longRunningReserved = v.longRunningReserved.Add(change)
	}
	v.reserved = v.reserved.Add(change)
}

// isStartWindowFull reports whether no further start on the VM may be unconfirmed.
func (v *VM) isStartWindowFull() bool { return v.StartWindow > 0 && v.PendingStarts >= v.StartWindow }

// forgetPredictions makes all predictions for the VM be computed again.
func (v *VM) forgetPredictions() { v.predictedUtilisation, v.impacts = nil, nil }

// addCount adds delta to the count of a name and removes the name when its count reaches 0. It creates the map if it is nil, and returns it.
func addCount(counts map[string]int64, name string, delta int64) map[string]int64 {
	if counts == nil {
		counts = map[string]int64{}
	}
	counts[name] += delta
	if counts[name] == 0 {
		delete(counts, name)
	}
	return counts
}

// hasRoomFor reports whether one more task of the step may start on the VM and fits beside the reservations there.
func (v *VM) hasRoomFor(s *bookkeeper.Step) bool {
	if v.Probing && v.startedStep != nil && !(s.Gang && s == v.startedStep) {
		return false
	}
	if !v.Schedulable || v.runCount >= messenger.MaxRunsPerVM || s.MaxPerVM > 0 && v.runsByStep[s] >= s.MaxPerVM {
		return false
	}
	return v.CanHost(s.Step) && reservation(s.Step).Fits(v.Capacity.Sub(v.reserved))
}

// RoomFor returns how many more tasks of the step may start on the VM and fit beside the reservations there, at most as many as the step has.
func (v *VM) RoomFor(s *bookkeeper.Step) int {
	if !v.hasRoomFor(s) {
		return 0
	}
	room := min(len(s.Tasks), messenger.MaxRunsPerVM-v.runCount)
	if s.MaxPerVM > 0 {
		room = min(room, s.MaxPerVM-v.runsByStep[s])
	}
	return min(room, fitting(reservation(s.Step), v.Capacity.Sub(v.reserved)))
}

// fitting returns how many times the needed resources fit into the free ones.
func fitting(needed, free resource.Amount) int {
	times := int64(math.MaxInt32)
	for _, r := range [][2]int64{
		{needed.MilliProcessors, free.MilliProcessors}, {needed.MemoryBytes, free.MemoryBytes}, {needed.Accelerators, free.Accelerators},
	} {
		if r[0] > 0 {
			times = min(times, r[1]/r[0])
		}
	}
	return int(times)
}

// reservation returns the resources that a task of the step reserves. Best-effort tasks reserve no processors.
func reservation(s job.Step) resource.Amount {
	size := s.Size
	if s.BestEffort {
		size.MilliProcessors = 0
	}
	return size
}
