package dispatcher

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bamboohook/internal/batch/bookkeeper"
)

// StarvationTime is how long a job may wait without any run until one of its tasks goes before all others. It is several times as long as a usual
// objective, so that the job has lost most of its value and only its completion is still owed.
const StarvationTime = 15 * time.Second

// longRunningWait is how long a long-running task may wait until it goes before all others, whether other tasks of its job run or not. Its users miss it
// from the beginning, and it gets no place of its own while shorter tasks fill all that becomes free.
const longRunningWait = 2 * time.Second

// longRunningStarvationTime is how long a task of a long-running step that has runs may wait while shorter tasks wait as well. It is several times StarvationTime,
// because its users are served by the others.
const longRunningStarvationTime = 3 * StarvationTime

// shortTaskWait is how long a task with a reservation that ends must have waited for room to count as waiting. Most find room in the first plans after they
// have become ready.
const shortTaskWait = 250 * time.Millisecond

// starvingTasks returns the tasks that are placed before all others: of each job that has no run, the task that has waited longest, if it is overdue or
// has waited for StarvationTime. A task of a gang stands for the whole gang. So does, for each long-running step, a task that has waited for
// longRunningWait. They come in the order of firstFrom, so that jobs whose runs fail again and again do not go before the others each time. Without
// starving tasks, large tasks would wait without a bound in a full fleet, because smaller ones with less remaining work go first and fill all that
// becomes free.
func (d *Dispatcher) starvingTasks(now time.Time, steps []sortedStep) []*bookkeeper.Task {
	longest := map[*bookkeeper.Job]*bookkeeper.Task{}
	var starving []*bookkeeper.Task
	for _, c := range steps {
		if c.step.LongRunning {
			if t := longestWaiting(c.step); t != nil && now.Sub(t.WaitingSince()) >= d.longRunningWait(c) {
				starving = append(starving, t)
			}
			continue
		}
		t, other := longestWaiting(c.step), longest[c.step.Job]
		if t != nil && (other == nil || t.WaitingSince().Before(other.WaitingSince())) {
			longest[c.step.Job] = t
		}
	}
	for j, t := range longest {
		waited := now.Sub(t.WaitingSince())
		if (waited >= StarvationTime || t.Step.BestEffort && d.isOverdue(t, waited)) && !d.jobHasRun(j) {
			starving = append(starving, t)
		}
	}
	slices.SortFunc(starving, func(x, y *bookkeeper.Task) int {
		return cmp.Or(
			firstFrom(x).Compare(firstFrom(y)), x.Step.Job.AcceptedAt.Compare(y.Step.Job.AcceptedAt), cmp.Compare(x.Step.Job.ID, y.Step.Job.ID),
			cmp.Compare(x.Step.Occurrence, y.Step.Occurrence), cmp.Compare(x.Step.Number, y.Step.Number),
		)
	})
	return starving
}

// longRunningWait returns how long a task of the long-running step waits until it goes before all others. While tasks with a reservation that end wait for
// room, it goes before them earlier only to begin a step: a long-running task takes the room that becomes free for ever, and each one that goes before shorter
// ones would leave these less.
func (d *Dispatcher) longRunningWait(c sortedStep) time.Duration {
	switch {
	case c.priority < d.shortTasksWaiting[c.service]:
		return longRunningWait
	case slices.ContainsFunc(c.step.Tasks, func(t *bookkeeper.Task) bool { return !t.IsWaiting() && !t.IsDone() }):
		return longRunningStarvationTime
	}
	return StarvationTime
}

// highestPrioritiesOfShortTasks returns for each service the highest priority, which is the lowest number, of the steps with tasks that have a reservation, end and
// wait for room that other tasks of the service may take. Without such steps it is below all priorities. Steps that no usable VM can host, and those that may
// wait for a rack, do not count.
func (d *Dispatcher) highestPrioritiesOfShortTasks(now time.Time, steps []sortedStep) map[string]int {
	highest := map[string]int{}
	for _, v := range d.vms {
		highest[v.Service] = math.MaxInt
	}
	for _, c := range steps {
		if c.step.LongRunning || c.step.BestEffort || c.step.PreferredRack != "" || c.step.SameRack || c.priority >= highest[c.service] {
			continue
		}
		if t := longestWaiting(c.step); t == nil || now.Sub(t.WaitingSince()) < shortTaskWait {
			continue
		}
		if slices.ContainsFunc(d.vms, func(v *VM) bool {
			return v.Service == c.service && v.Schedulable && !v.Evacuated && v.CanHost(c.step.Step)
		}) {
			highest[c.service] = c.priority
		}
	}
	return highest
}

// firstFrom returns since when the task goes before others because of its wait. By this order, a task that fails again and again goes behind the others.
func firstFrom(t *bookkeeper.Task) time.Time {
	if t.Step.LongRunning {
		return t.WaitingSince().Add(longRunningWait)
	}
	return t.WaitingSince().Add(StarvationTime)
}

// longestWaiting returns the task of the step that has waited longest, or nil if none waits.
func longestWaiting(s *bookkeeper.Step) *bookkeeper.Task {
	var longest *bookkeeper.Task
	for _, t := range s.Tasks {
		if t.IsWaiting() && (longest == nil || t.WaitingSince().Before(longest.WaitingSince())) {
			longest = t
		}
	}
	return longest
}

// placeStarving places the starving tasks. If one that is long-running or has waited for StarvationTime fits nowhere now, the first such task holds a VM,
// or a gang as many as it needs: in this plan, no task that could fill them starts there, so that the running ones leave room. Such a task does not start
// on a VM that refuses starts while room on others can be kept for it, since other tasks would fill that room until the refusal.
func (d *Dispatcher) placeStarving(now time.Time, steps []sortedStep, queues map[string]Queue, vms []*VM) []Placement {
	var placements []Placement
	accepting := slices.DeleteFunc(slices.Clone(vms), func(v *VM) bool { return v.StartsRefused })
	// What is placed on none of these VMs may still be placed on others.
	unplacedOnAccepting := map[shape]time.Time{}
	if len(accepting) == len(vms) {
		unplacedOnAccepting = d.unplaced
	}
	notHeld := map[shape]bool{}
	for _, t := range d.starvingTasks(now, steps) {
		service := queues[t.Step.Job.Queue].Service
		if d.heldFor != nil || !t.Step.LongRunning && now.Sub(t.WaitingSince()) < StarvationTime {
			placements = append(placements, d.placeStarvingTask(now, t, service, vms)...)
			continue
		}
		unplaced := d.unplaced
		d.unplaced = unplacedOnAccepting
		placed := d.placeStarvingTask(now, t, service, accepting)
		d.unplaced = unplaced
		if taskShape, mayCompare := (request{task: t}).shape(service); len(placed) == 0 && !(mayCompare && notHeld[taskShape]) {
			notHeld[taskShape] = !d.holdVMs(t.Step, service, accepting)
		}
		if len(placed) == 0 && d.heldFor == nil && len(accepting) < len(vms) {
			placed = d.placeStarvingTask(now, t, service, vms)
		}
		placements = append(placements, placed...)
	}
	return placements
}

// placeStarvingTask places the task, or its gang, on one of the VMs if it fits there now.
func (d *Dispatcher) placeStarvingTask(now time.Time, t *bookkeeper.Task, service string, vms []*VM) []Placement {
	if t.Step.Gang {
		return d.placeGang(now, t.Step, service, vms)
	}
	if v := d.bestVM(now, t, service, vms, ""); v != nil {
		return []Placement{d.place(now, t, v)}
	}
	return nil
}

// holdVMs holds VMs for the step, those on which most of what a task of the step needs is free: one, or for a gang as many as it needs. It holds none if
// the VMs cannot have room for the step while their long-running tasks stay there. It returns false if no VM has such room for a task of this shape.
func (d *Dispatcher) holdVMs(s *bookkeeper.Step, service string, vms []*VM) bool {
	var candidates []*VM
	anyRoom := false
	for _, v := range vms {
		if v.Service != service || !v.Schedulable && !v.SchedulableSoon || d.roomBesideLongRunning(s, v) <= 0 {
			continue
		}
		anyRoom = true
		if d.Forbids == nil || !d.Forbids(s, v) {
			candidates = append(candidates, v)
		}
	}
	if len(candidates) == 0 {
		return anyRoom
	}
	slices.SortStableFunc(candidates, func(x, y *VM) int {
		switch {
		case x.Schedulable && !y.Schedulable:
			return -1
		case y.Schedulable && !x.Schedulable:
			return 1
		}
		return cmp.Compare(d.freeShare(s, y), d.freeShare(s, x))
	})
	needed := 1
	if s.Gang {
		needed = len(s.Tasks)
	}
	held := map[*VM]bool{}
	for _, v := range candidates {
		if needed <= 0 {
			break
		}
		held[v] = true
		needed -= d.roomBesideLongRunning(s, v)
	}
	if needed <= 0 {
		d.held, d.heldFor = held, s
	}
	return true
}

// roomBesideLongRunning returns how many more tasks of the step would have room on the VM if only its long-running tasks and its runs of the step were
// there, at most as many as the step has.
func (d *Dispatcher) roomBesideLongRunning(s *bookkeeper.Step, v *VM) int {
	if !v.canHostBesideLongRunning(s.Step) {
		return 0
	}
	room := len(s.Tasks)
	if s.MaxPerVM > 0 {
		room = min(room, s.MaxPerVM-v.runsByStep[s])
	}
	if s.BestEffort {
		// A single task may start with fewer processors than it needs.
		room = min(room, max(int(d.processorsBesideLongRunning(v)/float64(max(s.Size.MilliProcessors, 1))), 1))
	}
	return min(room, fitting(reservation(s.Step), v.Capacity.Sub(v.longRunningReserved)))
}

// freeShare returns the part of what a task of the step needs that is free on the VM: that of the scarcer one of processors and memory.
func (d *Dispatcher) freeShare(s *bookkeeper.Step, v *VM) float64 {
	free := v.Capacity.Sub(v.reserved)
	processors := float64(free.MilliProcessors)
	if s.BestEffort {
		processors = d.spareProcessors(v)
	}
	return min(processors/float64(max(s.Size.MilliProcessors, 1)), float64(free.MemoryBytes)/float64(max(s.Size.MemoryBytes, 1)))
}

// isHeldAgainst reports whether the VM is held for the starving step and a task of s would fill it.
func (d *Dispatcher) isHeldAgainst(s *bookkeeper.Step, v *VM) bool {
	return d.held[v] && s != d.heldFor && !s.LongRunning
}
