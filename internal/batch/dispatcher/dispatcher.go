// Package dispatcher chooses which waiting tasks start, and where.
package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"bamboohook/internal/batch/bookkeeper"
)

const (
	// DefaultReclaimableShare is the part of the processors reserved by long-running tasks that filling tasks may use. Measured loads of
	// such tasks are under half of what they reserve.
	DefaultReclaimableShare = 0.5
	// lateFactor is the multiple of a job's objective after which its result has no value left.
	lateFactor = 3
)

type (
	// Queue holds what the configuration says of the jobs of one route.
	Queue struct {
		Service string
		// Priority 0 comes first.
		Priority int
		Attempts int
		// Stretch and Target form the objective of a job: Stretch times its longest chain of work, and Target more.
		Stretch float64
		Target  time.Duration
	}

	// Placement is the decision to start a task at a VM.
	Placement struct {
		Task *bookkeeper.Task
		VM   *VM
	}

	// InterferenceModel knows how much a program raises the utilisation that another one on the same VM feels, per share of the processors.
	InterferenceModel interface {
		Interference(victim, program string) (mean, deviation float64)
	}

	// Dispatcher plans starts. Set the exported fields before the first use. It is not safe for concurrent use.
	Dispatcher struct {
		// ReclaimableShare is a share from 0 to 1; 0 means DefaultLent.
		ReclaimableShare float64
		// Model may be nil, then programs do not press on others.
		Model InterferenceModel
		// Excludes tells that the task should not run at the VM again soon; nil avoids nothing.
		Excludes func(t *bookkeeper.Task, v *VM) bool

		// vms are those of the plan being made.
		vms []*VM
	}

	// candidate is a step with waiting tasks and its place in the order.
	candidate struct {
		step     *bookkeeper.Step
		priority int
		class    int
		// left is the work that is left of the job, in processor seconds.
		left float64
		at   time.Time
	}
)

// Classes of jobs, the most worthwhile first.
const (
	classInTime = iota
	classLate
	classWorthless
)

// Plan returns the starts to order now and counts them at their VMs. Steps of unknown queues stay where they are.
func (d *Dispatcher) Plan(now time.Time, steps []*bookkeeper.Step, queues map[string]Queue, vms []*VM) []Placement {
	d.vms = vms
	var placements []Placement
	for _, c := range order(now, steps, queues) {
		service := queues[c.step.Job.Queue].Service
		if c.step.Gang {
			placements = append(placements, d.placeGang(now, c.step, service, vms)...)
			continue
		}
		var refused time.Time
		for _, t := range c.step.Tasks {
			// The tasks of a step differ only in how long they wait, and more may be done for one that waits longer.
			if !t.IsWaiting() || !refused.IsZero() && !t.WaitingSince().Before(refused) {
				continue
			}
			v := d.choose(now, t, service, vms, "")
			if v == nil {
				refused = t.WaitingSince()
				continue
			}
			v.Add(t)
			placements = append(placements, Placement{t, v})
		}
	}
	return placements
}

// FitsElsewhere reports whether another VM than the given one would take the task now without a missed target.
func (d *Dispatcher) FitsElsewhere(t *bookkeeper.Task, service string, vms []*VM, except *VM) bool {
	return slices.ContainsFunc(vms, func(v *VM) bool {
		return v != except && v.Service == service && v.admits(t.Step) && d.spare(v) >= float64(t.Step.Size.MilliProcessors) &&
			d.pressure(t.Step, v).over <= 0
	})
}

// order sorts the steps: by priority, then by what finishing the job is still worth, then by age.
func order(now time.Time, steps []*bookkeeper.Step, queues map[string]Queue) []candidate {
	candidates := make([]candidate, 0, len(steps))
	for _, s := range steps {
		q, ok := queues[s.Job.Queue]
		if !ok {
			continue
		}
		candidates = append(candidates, candidate{s, q.Priority, class(now, s, q), s.RemainingWork(), s.Job.AcceptedAt})
	}
	slices.SortStableFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(x.class, y.class), cmp.Compare(x.left, y.left), x.at.Compare(y.at))
	})
	return candidates
}

// class estimates what the job is still worth from the longest chain of work that is left.
func class(now time.Time, s *bookkeeper.Step, q Queue) int {
	if s.LongRunning {
		return classInTime
	}
	begun := s.Job.AcceptedAt
	if due := s.Job.Due(s.Occurrence); due.After(begun) {
		begun = due
	}
	objective := time.Duration(q.Stretch*float64(chain(s, 0))) + q.Target
	left := chain(s, s.Number)
	switch {
	case !now.Add(left).After(begun.Add(objective)):
		return classInTime
	case !now.Add(left).After(begun.Add(lateFactor * objective)):
		return classLate
	}
	return classWorthless
}

// chain returns the longest chain of estimated work of the step's occurrence among the steps from the number on.
func chain(s *bookkeeper.Step, from int) time.Duration {
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

// placeGang places all tasks of the step or none.
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
			v := d.choose(now, t, service, vms, rack)
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

// racksOf returns the racks of the VMs, the preferred one first.
func racksOf(vms []*VM, preferred string) []string {
	var racks []string
	for _, v := range vms {
		if !slices.Contains(racks, v.Rack) {
			racks = append(racks, v.Rack)
		}
	}
	slices.Sort(racks)
	if at := slices.Index(racks, preferred); at > 0 {
		racks = slices.Insert(slices.Delete(racks, at, at+1), 0, preferred)
	}
	return racks
}

// choose returns the best VM for the task, or nil if none has room.
func (d *Dispatcher) choose(now time.Time, t *bookkeeper.Task, service string, vms []*VM, rack string) *VM {
	var best *VM
	var bestScore score
	for _, v := range vms {
		if v.Service != service || rack != "" && v.Rack != rack || !v.admits(t.Step) {
			continue
		}
		if d.Excludes != nil && d.Excludes(t, v) {
			continue
		}
		rated, ok := d.rate(now, t, v)
		if ok && (best == nil || rated.better(bestScore)) {
			best, bestScore = v, rated
		}
	}
	return best
}
