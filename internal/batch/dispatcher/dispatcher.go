// Package dispatcher decides which waiting tasks of batch jobs start, and on which VMs.
package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"bamboohook/internal/batch/appraiser"
	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/delayer"
	"bamboohook/resource"
)

const (
	// DefaultReclaimableShare is the share of the processors reserved by long-running tasks that best-effort tasks may use. Long-running
	// tasks use less than half of the processors that they reserve.
	DefaultReclaimableShare = 0.5
	// expiredObjectiveFactor is the multiple of a job's objective after which the result of the job has no value any more.
	expiredObjectiveFactor = 3
)

type (
	// Queue is the configuration of a queue. Jobs are submitted to a queue, which defines where they run, their priority and their
	// objective. The fields are stored under their names in the records of jobs.
	Queue struct {
		// Service is the service whose VMs run the tasks.
		Service string
		// Priority 0 is the highest priority.
		Priority int
		// Attempts is the failure limit: the number of failed runs of a task with which its job fails. 0 means no limit.
		Attempts int
		// Stretch and Target define the objective of a job, the time in which it should complete: Stretch times the estimated duration of
		// its longest chain of dependent steps, plus Target.
		Stretch float64
		Target  time.Duration
	}

	// Placement is the decision to start a run of the task on the VM.
	Placement struct {
		Task *bookkeeper.Task
		VM   *VM
		// PaceShare is the predicted share of its full pace at which a best-effort task can work on the VM without causing a missed target. It is 1
		// for other tasks.
		PaceShare float64
		// Overdue reports whether a best-effort task starts although it may cause missed targets on the VM, because it has waited too long. It must
		// get some work done there.
		Overdue bool
		// OffRack reports whether the task starts off its preferred rack, or with a gang on several racks that should be on one. OffRackReason says why
		// it does not wait for the rack. It is empty if Dispatcher.Delayer is nil, and for starving tasks.
		OffRack       bool
		OffRackReason string
		// RackWait is the wait for the rack that ends with this start, or nil. In a gang, only the first task has one.
		RackWait *RackWait
	}

	// InterferenceModel estimates how much a best-effort program raises the utilisation of a long-running program on the same VM.
	InterferenceModel interface {
		// Interference returns the estimated utilisation that the best-effort program would add to a task of the long-running program if it
		// used all processors of the VM, and the standard deviation of that estimate.
		Interference(longRunning, bestEffort string) (mean, deviation float64)
	}

	// Dispatcher plans the starts of tasks. Set the exported fields before the first use. It is not safe for concurrent use.
	Dispatcher struct {
		// ReclaimableShare is the share of the processors reserved by long-running tasks that best-effort tasks may use, from 0 to 1. 0 means
		// DefaultReclaimableShare.
		ReclaimableShare float64
		// Model may be nil. Programs are then assumed not to interfere with others.
		Model InterferenceModel
		// Excludes reports whether the task must not start on the VM. If it is nil, no VM is excluded.
		Excludes func(t *bookkeeper.Task, v *VM) bool
		// Forbids reports whether tasks of the step may never start on the VM, so that room there is of no use for them. If it is nil, they may
		// start on all VMs, perhaps later.
		Forbids func(s *bookkeeper.Step, v *VM) bool
		// Delayer decides which tasks wait for places on their preferred racks. If it is nil, none waits.
		Delayer *delayer.Delayer

		// rackWaits holds the waits for racks that have not ended. rackPlan belongs to the current plan.
		rackWaits map[*bookkeeper.Task]RackWait
		rackPlan  rackPlan
		// vms holds the VMs of the current plan. mostFree holds, by service, the most of each resource that was free on a VM when the plan
		// began.
		vms      []*VM
		mostFree map[string]resource.Amount
		// held contains the VMs on which the current plan keeps room for the step heldFor, or none if that is nil.
		held    map[*VM]bool
		heldFor *bookkeeper.Step
		// shortTasksWaiting holds, by service, the highest priority of the waiting tasks that have a reservation and end, as highestPrioritiesOfShortTasks
		// returns it.
		shortTasksWaiting map[string]int
		// planNumber is the number of the current plan.
		planNumber uint64
		// The next fields hold the processors of all VMs, in thousandths, if processorsCounted is set: those that are reserved, those that best-effort
		// tasks would use at full pace, and all.
		reservedProcessors, bestEffortProcessors, totalProcessors int64
		processorsCounted                                         bool
		// jobsWithRun holds the results of jobHasRun in the current plan.
		jobsWithRun map[*bookkeeper.Job]bool
		// unplaced holds, by shape, since when the task has waited that has waited longest of those for which the current plan found no VM.
		unplaced map[shape]time.Time
	}

	// shape is what decides, besides the time for which it has waited, where a task may start. VMs only fill up during a plan. So if there is no VM
	// for a task, there is none for tasks of the same shape that have not waited longer.
	shape struct {
		service, program, label string
		size                    resource.Amount
		bestEffort, longRunning bool
		overdue                 bool
	}

	// sortedStep is a step with waiting tasks and the criteria by which the steps are sorted.
	sortedStep struct {
		step       *bookkeeper.Step
		service    string
		priority   int
		valueClass int
		// remainingWork is the estimated work of the unfinished tasks in the step's occurrence, in processor seconds.
		remainingWork float64
		acceptedAt    time.Time
	}
)

// Reasons why a task must not start on a VM now.
const (
	// RefusedUnschedulable means that no task may start on the VM.
	RefusedUnschedulable = "unschedulable"
	// RefusedEvacuated means that nothing may start in the data centre of the VM.
	RefusedEvacuated = "evacuated"
	// RefusedHeld means that the VM is held for a starving step.
	RefusedHeld = "held"
	// RefusedStartsRefused means that the last start on the VM was refused, and that another VM is held for the step.
	RefusedStartsRefused = "starts-refused"
	// RefusedPendingStarts means that as many starts on the VM are unconfirmed as may be at a time.
	RefusedPendingStarts = "pending-starts"
	// RefusedRoom means that the task does not fit beside the reservations, or that the VM has enough runs of its step.
	RefusedRoom = "no-room"
	// RefusedExcluded means that Dispatcher.Excludes excludes the VM.
	RefusedExcluded = "excluded"
	// RefusedProcessors means that too few processors are spare for a best-effort task.
	RefusedProcessors = "processors"
	// RefusedTargetMissed and RefusedInterference mean that a best-effort task would disturb a victim on the VM which misses its target now, or which
	// would then miss it.
	RefusedTargetMissed = "target-missed"
	RefusedInterference = "interference"
	// RefusedTrial means that the interference of a best-effort task is unknown, and that the limits for trials are reached.
	RefusedTrial = "trial"
)

// Classes of steps by the value that the result of their job has if the job completes as estimated, the highest value first.
const (
	// classOnTime means that the job meets its objective, or that the step is long-running. Long-running steps have no objective.
	classOnTime = iota
	// classLate means that the job misses its objective, but that its result still has some value.
	classLate
	// classExpired means that the result of the job has no value any more.
	classExpired
)

// Plan chooses VMs for the waiting tasks of the steps. It returns the starts that can be ordered now and adds their tasks to the VMs. It
// skips steps whose queue is unknown. now is the time by which the tasks wait, wallTime the time of day.
func (d *Dispatcher) Plan(now, wallTime time.Time, steps []*bookkeeper.Step, queues map[string]Queue, vms []*VM) []Placement {
	d.vms = vms
	d.planNumber++
	d.updateMostFree()
	d.beginRackPlan(wallTime)
	d.held, d.heldFor, d.processorsCounted, d.unplaced, d.jobsWithRun = nil, nil, false, map[shape]time.Time{}, map[*bookkeeper.Job]bool{}
	for _, v := range vms {
		v.startedStep = nil
	}
	sorted := sortSteps(wallTime, steps, queues)
	d.shortTasksWaiting = d.highestPrioritiesOfShortTasks(now, sorted)
	placements := d.placeStarving(now, sorted, queues, vms)
	placedFirst := map[*bookkeeper.Task]bool{}
	for _, p := range placements {
		placedFirst[p.Task] = true
	}
	for _, c := range sorted {
		queue := queues[c.step.Job.Queue]
		if c.step.Gang {
			if !placedFirst[c.step.Tasks[0]] {
				placements = append(placements, d.placeGangOrWait(now, c.step, queue, vms)...)
			}
			continue
		}
		var unplacedWaitingSince time.Time
		// offRack is the best VM for the last task of the step, which waits for its rack instead and has waited since offRackWaitingSince.
		var offRack *VM
		var offRackWaitingSince time.Time
		for _, t := range c.step.Tasks {
			// The tasks of a step only differ in how long they have waited. The longer a task has waited, the more VMs are acceptable for it. So
			// after a task for which there is no VM, only tasks that have waited longer are tried.
			if placedFirst[t] || !t.IsWaiting() || !unplacedWaitingSince.IsZero() && !t.WaitingSince().Before(unplacedWaitingSince) {
				continue
			}
			v := offRack
			if v == nil || !t.WaitingSince().Equal(offRackWaitingSince) {
				v = d.bestVM(now, t, queue.Service, vms, "")
			}
			offRack = nil
			if v == nil {
				unplacedWaitingSince = t.WaitingSince()
				continue
			}
			decision := d.decideOnRack(now, t, queue, v)
			if decision.Wait {
				offRack, offRackWaitingSince = v, t.WaitingSince()
				continue
			}
			p := d.place(now, t, v)
			p.OffRackReason = decision.Reason
			placements = append(placements, p)
		}
	}
	for _, p := range placements {
		delete(d.rackWaits, p.Task)
	}
	return placements
}

// updateMostFree determines mostFree. A task that needs more of a resource has room on no VM, which need not be searched then.
func (d *Dispatcher) updateMostFree() {
	d.mostFree = map[string]resource.Amount{}
	for _, v := range d.vms {
		if !v.Schedulable {
			continue
		}
		free := v.Capacity.Sub(v.reserved)
		if most, ok := d.mostFree[v.Service]; ok {
			free = resource.Amount{
				MilliProcessors: max(free.MilliProcessors, most.MilliProcessors), MemoryBytes: max(free.MemoryBytes, most.MemoryBytes),
				Accelerators: max(free.Accelerators, most.Accelerators),
			}
		}
		d.mostFree[v.Service] = free
	}
}

// FitsElsewhere reports whether the task fits now on a VM of the service other than current, without causing a missed latency target there.
func (d *Dispatcher) FitsElsewhere(t *bookkeeper.Task, service string, vms []*VM, current *VM) bool {
	return slices.ContainsFunc(vms, func(v *VM) bool {
		return v != current && v.Service == service && v.hasRoomFor(t.Step) && d.spareProcessors(v) >= float64(t.Step.Size.MilliProcessors) &&
			d.predictImpact(t.Step, v).maxExcess <= 0
	})
}

// sortSteps sorts the steps by priority, the highest first, then by value class, the highest value first, then by the remaining work of their
// occurrence, the least first, and then by the age of their job, the oldest first. It leaves out steps whose queue is unknown.
func sortSteps(wallTime time.Time, steps []*bookkeeper.Step, queues map[string]Queue) []sortedStep {
	sorted := make([]sortedStep, 0, len(steps))
	for _, s := range steps {
		q, ok := queues[s.Job.Queue]
		if !ok {
			continue
		}
		sorted = append(sorted, sortedStep{s, q.Service, q.Priority, valueClass(wallTime, s, q), s.RemainingWork(), s.Job.AcceptedAt})
	}
	slices.SortStableFunc(sorted, func(x, y sortedStep) int {
		return cmp.Or(
			cmp.Compare(x.priority, y.priority), cmp.Compare(x.valueClass, y.valueClass), cmp.Compare(x.remainingWork, y.remainingWork),
			x.acceptedAt.Compare(y.acceptedAt),
		)
	})
	return sorted
}

// valueClass returns the value class of the step. It assumes that the job ends after the longest chain among the steps with this number or
// a higher one.
func valueClass(wallTime time.Time, s *bookkeeper.Step, q Queue) int {
	if s.LongRunning {
		return classOnTime
	}
	start := s.Job.AcceptedAt
	if due := s.Job.Due(s.Occurrence); due.After(start) {
		start = due
	}
	objective := time.Duration(q.Stretch*float64(longestChainDuration(s, 0))) + q.Target
	remaining := longestChainDuration(s, s.Number)
	switch {
	case !wallTime.Add(remaining).After(start.Add(objective)):
		return classOnTime
	case !wallTime.Add(remaining).After(start.Add(expiredObjectiveFactor * objective)):
		return classLate
	}
	return classExpired
}

// Prospect returns what the step's job is worth if it completes as estimated. It assumes the same as the order of the waiting steps.
func Prospect(wallTime time.Time, s *bookkeeper.Step, q Queue) appraiser.Prospect {
	switch valueClass(wallTime, s, q) {
	case classOnTime:
		return appraiser.OnTime
	case classLate:
		return appraiser.Late
	}
	return appraiser.Expired
}

// longestChainDuration returns the estimated duration of the longest chain of dependent steps in the step's job, without the steps whose number is
// below fromStep.
func longestChainDuration(s *bookkeeper.Step, fromStep int) time.Duration {
	chainDurations := make([]time.Duration, len(s.Job.Steps))
	var longest time.Duration
	for n, other := range s.Job.Steps {
		if n < fromStep {
			continue
		}
		for _, a := range other.After {
			chainDurations[n] = max(chainDurations[n], chainDurations[a])
		}
		chainDurations[n] += other.Estimate
		longest = max(longest, chainDurations[n])
	}
	return longest
}

// placeGang places all tasks of the step or none. If the tasks should be on the same rack, it tries each rack alone before all racks
// together.
func (d *Dispatcher) placeGang(now time.Time, s *bookkeeper.Step, service string, vms []*VM) []Placement {
	if slices.ContainsFunc(s.Tasks, func(t *bookkeeper.Task) bool { return !t.IsWaiting() }) {
		return nil
	}
	racks := []string{""}
	if s.SameRack {
		racks = append(racksOf(vms, s.PreferredRack), "")
	}
	for _, rack := range racks {
		var placed []Placement
		for _, t := range s.Tasks {
			v := d.bestVM(now, t, service, vms, rack)
			if v == nil {
				break
			}
			placed = append(placed, d.place(now, t, v))
		}
		if len(placed) == len(s.Tasks) {
			offRack := slices.ContainsFunc(placed, func(p Placement) bool {
				return s.SameRack && p.VM.Rack != placed[0].VM.Rack || !s.SameRack && p.OffRack
			})
			for n := range placed {
				placed[n].OffRack = offRack
			}
			return placed
		}
		d.undo(placed)
	}
	return nil
}

// undo takes back the placements of tasks in a gang.
func (d *Dispatcher) undo(placed []Placement) {
	for _, p := range placed {
		p.VM.Remove(p.Task)
		p.VM.PendingStarts--
		if p.VM.startedStep == p.Task.Step {
			p.VM.startedStep = nil
		}
		d.processorsCounted = false
	}
}

// racksOf returns the racks of the VMs in alphabetical order, but with the preferred rack first.
func racksOf(vms []*VM, preferred string) []string {
	var racks []string
	for _, v := range vms {
		if !slices.Contains(racks, v.Rack) {
			racks = append(racks, v.Rack)
		}
	}
	slices.Sort(racks)
	if position := slices.Index(racks, preferred); position > 0 {
		racks = slices.Insert(slices.Delete(racks, position, position+1), 0, preferred)
	}
	return racks
}

// bestVM returns the VM of the service with the highest score for the task, or nil if the task must not start on any of them now. An empty
// rack allows all racks.
func (d *Dispatcher) bestVM(now time.Time, t *bookkeeper.Task, service string, vms []*VM, rack string) *VM {
	if free, ok := d.mostFree[service]; !ok || !reservation(t.Step.Step).Fits(free) {
		return nil
	}
	r := d.newRequest(now, t)
	taskShape, mayCompare := r.shape(service)
	mayCompare = mayCompare && rack == "" && t.Step != d.heldFor
	if since, ok := d.unplaced[taskShape]; ok && mayCompare && (r.overdue || !t.WaitingSince().Before(since)) {
		// How long an overdue task has waited makes no difference.
		return nil
	}
	r.processors = d.neededProcessors(r, service)
	var best *VM
	var bestScore score
	for _, v := range vms {
		if v.Service != service || rack != "" && v.Rack != rack {
			continue
		}
		vmScore, refusal := d.mayStart(r, v)
		if refusal == RefusedExcluded {
			// Other steps may not be excluded there.
			mayCompare = false
		}
		if refusal == "" && (best == nil || vmScore.better(bestScore)) {
			best, bestScore = v, vmScore
		}
	}
	if best == nil && mayCompare {
		d.unplaced[taskShape] = t.WaitingSince()
	}
	return best
}

// mayStart returns the score of the VM for the requested start. If the task must not start there now, it returns the reason, which is empty otherwise.
func (d *Dispatcher) mayStart(r request, v *VM) (score, string) {
	t := r.task
	switch {
	case v.Evacuated:
		return score{}, RefusedEvacuated
	case !v.Schedulable:
		return score{}, RefusedUnschedulable
	case d.isHeldAgainst(t.Step, v):
		return score{}, RefusedHeld
	case v.StartsRefused && d.heldFor == t.Step:
		return score{}, RefusedStartsRefused
	case !t.Step.Gang && v.isStartWindowFull():
		return score{}, RefusedPendingStarts
	case !v.hasRoomFor(t.Step):
		return score{}, RefusedRoom
	case d.Excludes != nil && d.Excludes(t, v):
		return score{}, RefusedExcluded
	}
	return d.scoreVM(r, v)
}

// Refusals returns the reasons why the task must not start now on VMs of the service, each with the number of those VMs. It holds for the state in
// which the last plan has left the VMs.
func (d *Dispatcher) Refusals(now time.Time, t *bookkeeper.Task, service string, vms []*VM) map[string]int {
	r, counts := d.newRequest(now, t), map[string]int{}
	r.processors = d.neededProcessors(r, service)
	for _, v := range vms {
		if v.Service != service {
			continue
		}
		if _, refusal := d.mayStart(r, v); refusal != "" {
			counts[refusal]++
		}
	}
	return counts
}

// place adds a run of the task to the VM.
func (d *Dispatcher) place(now time.Time, t *bookkeeper.Task, v *VM) Placement {
	p := Placement{Task: t, VM: v, PaceShare: 1, OffRack: t.Step.PreferredRack != "" && v.Rack != t.Step.PreferredRack}
	if w, ok := d.rackWaits[t]; ok {
		p.RackWait = &w
	}
	if t.Step.BestEffort {
		p.PaceShare, p.Overdue = d.impactInPlan(t.Step, v).paceShare, d.isOverdue(t, now.Sub(t.WaitingSince()))
	}
	v.Add(t)
	v.PendingStarts++
	v.startedStep = t.Step
	d.processorsCounted = false
	if !t.Step.Gang {
		// The members of a gang start together, so the first one does not make the others wait longer.
		d.jobsWithRun[t.Step.Job] = true
	}
	return p
}

// shape returns the shape of the task, and false if it cannot be compared with that of other tasks.
func (r request) shape(service string) (shape, bool) {
	s := r.task.Step
	return shape{service, s.Program, s.Label, s.Size, s.BestEffort, s.LongRunning, r.overdue}, !s.Gang && s.MaxPerVM == 0
}
