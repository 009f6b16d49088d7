package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"bamboohook/internal/batch/bookkeeper"
)

// starvationTime is how long a job may wait without any run until one of its tasks goes before all others. It is several times as long as a usual
// objective, so that the job has lost most of its value and only its completion is still owed.
const starvationTime = 15 * time.Second

// starvingTasks returns the tasks that are placed before all others: of each job that has no run, the task that has waited longest, if it is overdue or
// has waited for starvationTime. The tasks of the oldest jobs come first. Without them, large tasks would wait without a bound in a full fleet, because
// smaller ones with less remaining work go first and fill all that becomes free.
func (d *Dispatcher) starvingTasks(now time.Time, steps []sortedStep) []*bookkeeper.Task {
	longest := map[*bookkeeper.Job]*bookkeeper.Task{}
	for _, c := range steps {
		if c.step.Gang {
			continue
		}
		for _, t := range c.step.Tasks {
			if other := longest[c.step.Job]; t.IsWaiting() && (other == nil || t.WaitingSince().Before(other.WaitingSince())) {
				longest[c.step.Job] = t
			}
		}
	}
	var starving []*bookkeeper.Task
	for j, t := range longest {
		waited := now.Sub(t.WaitingSince())
		if (waited >= starvationTime || t.Step.BestEffort && d.isOverdue(t, waited)) && !d.jobHasRun(j) {
			starving = append(starving, t)
		}
	}
	slices.SortFunc(starving, func(x, y *bookkeeper.Task) int {
		return cmp.Or(x.Step.Job.AcceptedAt.Compare(y.Step.Job.AcceptedAt), cmp.Compare(x.Step.Job.ID, y.Step.Job.ID))
	})
	return starving
}

// placeStarving places the starving tasks. If one that has waited for starvationTime fits nowhere now, the first such task holds a VM: in this plan, no
// task that could fill the VM starts there, so that the running ones leave room.
func (d *Dispatcher) placeStarving(now time.Time, steps []sortedStep, queues map[string]Queue, vms []*VM) []Placement {
	var placements []Placement
	for _, t := range d.starvingTasks(now, steps) {
		service := queues[t.Step.Job.Queue].Service
		if v := d.bestVM(now, t, service, vms, ""); v != nil {
			placements = append(placements, d.place(now, t, v))
		} else if d.held == nil && now.Sub(t.WaitingSince()) >= starvationTime {
			d.holdVM(t.Step, service, vms)
		}
	}
	return placements
}

// holdVM holds for the step the VM on which most of what a task of the step needs is free. It holds none if no VM can ever have room for the step while
// its long-running tasks stay there.
func (d *Dispatcher) holdVM(s *bookkeeper.Step, service string, vms []*VM) {
	most := 0.0
	for _, v := range vms {
		if v.Service != service || !v.Schedulable || !v.canHostBesideLongRunning(s.Step) || s.MaxPerVM > 0 && v.runsByStep[s] >= s.MaxPerVM ||
			d.Forbids != nil && d.Forbids(s, v) {
			continue
		}
		if share := d.freeShare(s, v); d.held == nil || share > most {
			d.held, d.heldFor, most = v, s, share
		}
	}
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
	return v == d.held && s != d.heldFor && !s.LongRunning
}
