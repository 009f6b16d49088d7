// Package dispatcher decides which waiting tasks start, and on which VMs.
package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"bamboohook/internal/batch/bookkeeper"
)

const (
	// DefaultReclaimableShare is the share of the processors reserved by long-running tasks that best-effort tasks may use. The loads of
	// long-running tasks are below half of their reservations.
	DefaultReclaimableShare = 0.5
	// lateObjectiveFactor is the multiple of a job's objective after which its result has no value any more.
	lateObjectiveFactor = 3
)

type (
	// Queue is the configuration of a queue.
	Queue struct {
		Service string
		// Priority 0 is the highest priority.
		Priority int
		// Attempts is the number of failed runs of a task after which its job fails. 0 means no limit.
		Attempts int
		// Stretch and Target define the objective of a job, the time in which it should complete: Stretch times its longest chain of
		// dependent steps, plus Target.
		Stretch float64
		Target  time.Duration
	}

	// Placement is the decision to start a task on a VM.
	Placement struct {
		Task *bookkeeper.Task
		VM   *VM
	}

	// InterferenceModel estimates the utilisation that a program adds to another one on the same VM, per share of the processors.
	InterferenceModel interface {
		Interference(victim, program string) (mean, deviation float64)
	}

	// Dispatcher plans the starts of tasks. Set the exported fields before the first use. It is not safe for concurrent use.
	Dispatcher struct {
		// ReclaimableShare is a share from 0 to 1. 0 means DefaultReclaimableShare.
		ReclaimableShare float64
		// Model may be nil. Programs are then assumed not to interfere with others.
		Model InterferenceModel
		// Excludes reports whether the task must not start on the VM. If it is nil, no VM is excluded.
		Excludes func(t *bookkeeper.Task, v *VM) bool

		// vms holds the VMs of the current plan.
		vms []*VM
	}

	// candidate is a step with waiting tasks and the criteria of its position in the queue.
	queuedStep struct {
		step       *bookkeeper.Step
		priority   int
		valueClass int
		// remainingWork is the estimated work that is left in the job's occurrence, in processor seconds.
		remainingWork float64
		acceptedAt    time.Time
	}
)

// Classes of jobs by the value of their results, the highest value first.
const (
	classOnTime = iota
	classLate
	classExpired
)

// Plan returns the starts to order now and adds them to their VMs. It skips the steps of unknown queues.
func (d *Dispatcher) Plan(now time.Time, steps []*bookkeeper.Step, queues map[string]Queue, vms []*VM) []Placement {
	d.vms = vms
	var placements []Placement
	for _, c := range sortSteps(now, steps, queues) {
		service := queues[c.step.Job.Queue].Service
		if c.step.Gang {
			placements = append(placements, d.placeGang(now, c.step, service, vms)...)
			continue
		}
		var unplacedSince time.Time
		for _, t := range c.step.Tasks {
			// The tasks of a step only differ in how long they have waited. If a task finds no VM, only one that has waited longer may find one,
			// because more VMs become acceptable with time.
			if !t.IsWaiting() || !unplacedSince.IsZero() && !t.WaitingSince().Before(unplacedSince) {
				continue
			}
			v := d.bestVM(now, t, service, vms, "")
			if v == nil {
				unplacedSince = t.WaitingSince()
				continue
			}
			v.Add(t)
			placements = append(placements, Placement{t, v})
		}
	}
	return placements
}

// FitsElsewhere reports whether another VM than the given one has room for the task now without a missed target.
func (d *Dispatcher) FitsElsewhere(t *bookkeeper.Task, service string, vms []*VM, except *VM) bool {
	return slices.ContainsFunc(vms, func(v *VM) bool {
		return v != except && v.Service == service && v.hasRoomFor(t.Step) && d.spareProcessors(v) >= float64(t.Step.Size.MilliProcessors) &&
			d.predictImpact(t.Step, v).maxExcess <= 0
	})
}

// sortSteps sorts the steps by priority, then by the value that the job's result still has, then by the remaining work, then by age.
func sortSteps(now time.Time, steps []*bookkeeper.Step, queues map[string]Queue) []queuedStep {
	sorted := make([]queuedStep, 0, len(steps))
	for _, s := range steps {
		q, ok := queues[s.Job.Queue]
		if !ok {
			continue
		}
		sorted = append(sorted, queuedStep{s, q.Priority, valueClass(now, s, q), s.RemainingWork(), s.Job.AcceptedAt})
	}
	slices.SortStableFunc(sorted, func(x, y queuedStep) int {
		return cmp.Or(
			cmp.Compare(x.priority, y.priority), cmp.Compare(x.valueClass, y.valueClass), cmp.Compare(x.remainingWork, y.remainingWork),
			x.acceptedAt.Compare(y.acceptedAt),
		)
	})
	return sorted
}

// valueClass estimates the value of the job's result from the longest chain of dependent steps that is left.
func valueClass(now time.Time, s *bookkeeper.Step, q Queue) int {
	if s.LongRunning {
		return classOnTime
	}
	start := s.Job.AcceptedAt
	if due := s.Job.Due(s.Occurrence); due.After(start) {
		start = due
	}
	objective := time.Duration(q.Stretch*float64(longestChain(s, 0))) + q.Target
	remaining := longestChain(s, s.Number)
	switch {
	case !now.Add(remaining).After(start.Add(objective)):
		return classOnTime
	case !now.Add(remaining).After(start.Add(lateObjectiveFactor * objective)):
		return classLate
	}
	return classExpired
}

// longestChain returns the highest sum of estimates along a chain of dependent steps, among the steps from the given number on.
func longestChain(s *bookkeeper.Step, from int) time.Duration {
	ends := make([]time.Duration, len(s.Job.Steps))
	var longest time.Duration
	for n, other := range s.Job.Steps {
		if n < from {
			continue
		}
		for _, a := range other.After {
			ends[n] = max(ends[n], ends[a])
		}
		ends[n] += other.Estimate
		longest = max(longest, ends[n])
	}
	return longest
}

// placeGang places all tasks of the step, or none.
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
			v.Add(t)
			placed = append(placed, Placement{t, v})
		}
		if len(placed) == len(s.Tasks) {
			return placed
		}
		for _, p := range placed {
			p.VM.Remove(p.Task)
		}
	}
	return nil
}

// racksOf returns the racks of the VMs, with the preferred rack first.
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

// bestVM returns the VM with the highest score for the task, or nil if no VM has room for it.
func (d *Dispatcher) bestVM(now time.Time, t *bookkeeper.Task, service string, vms []*VM, rack string) *VM {
	var best *VM
	var bestScore score
	for _, v := range vms {
		if v.Service != service || rack != "" && v.Rack != rack || !v.hasRoomFor(t.Step) {
			continue
		}
		if d.Excludes != nil && d.Excludes(t, v) {
			continue
		}
		rating, ok := d.rate(now, t, v)
		if ok && (best == nil || rating.better(bestScore)) {
			best, bestScore = v, rating
		}
	}
	return best
}
