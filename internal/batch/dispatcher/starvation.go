package dispatcher

import (
	"slices"
	"time"

	"bamboohook/internal/batch/bookkeeper"
)

// starvationTime is how long a job may wait without any run until one of its tasks goes before all others. It is several times as long as a usual
// objective, so that the job has lost most of its value and only its completion is still owed.
const starvationTime = 15 * time.Second

// starvingStep returns the step that is placed before all others: that of the oldest job which has no run and whose tasks have waited for
// starvationTime. It returns nil if there is none. Without it, large tasks would wait without a bound in a full fleet, because smaller ones with
// less remaining work go first and fill all that becomes free.
func starvingStep(now time.Time, steps []sortedStep) *bookkeeper.Step {
	hasRun := map[*bookkeeper.Job]bool{}
	for _, c := range steps {
		if now.Sub(c.acceptedAt) >= starvationTime && slices.ContainsFunc(c.step.Tasks, isRunning) {
			hasRun[c.step.Job] = true
		}
	}
	var oldest *bookkeeper.Step
	for _, c := range steps {
		if c.step.Gang || now.Sub(c.acceptedAt) < starvationTime || hasRun[c.step.Job] || oldest != nil && !c.acceptedAt.Before(oldest.Job.AcceptedAt) {
			continue
		}
		if t := firstWaiting(c.step); t != nil && now.Sub(t.WaitingSince()) >= starvationTime {
			oldest = c.step
		}
	}
	return oldest
}

// isRunning reports whether the task has a run, or may have one.
func isRunning(t *bookkeeper.Task) bool { return !t.IsWaiting() && !t.IsDone() }

// firstWaiting returns the first waiting task of the step, or nil.
func firstWaiting(s *bookkeeper.Step) *bookkeeper.Task {
	for _, t := range s.Tasks {
		if t.IsWaiting() {
			return t
		}
	}
	return nil
}

// placeStarving places one task of the starving step. If it fits nowhere now, it holds a VM for it: in this plan, no task that could fill the VM
// starts there, so that the running ones leave room.
func (d *Dispatcher) placeStarving(now time.Time, s *bookkeeper.Step, service string, vms []*VM) []Placement {
	t := firstWaiting(s)
	if v := d.bestVM(now, t, service, vms, ""); v != nil {
		return []Placement{d.place(t, v)}
	}
	d.heldFor = s
	most := 0.0
	for _, v := range vms {
		if v.Service != service || !v.Schedulable || v.TargetMissed || !v.CanHost(s.Step) || s.MaxPerVM > 0 && v.runsByStep[s] >= s.MaxPerVM ||
			d.Forbids != nil && d.Forbids(s, v) {
			continue
		}
		if share := d.freeShare(s, v); d.held == nil || share > most {
			d.held, most = v, share
		}
	}
	return nil
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
	return v == d.held && s != d.heldFor && !s.LongRunning && (s.BestEffort || !d.heldFor.BestEffort)
}
