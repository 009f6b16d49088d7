package dispatcher

import (
	"maps"
	"slices"
	"time"

	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/delayer"
)

// Reasons why a task or gang starts off its preferred rack at once, besides those of package delayer.
const (
	// RackNotAwaited means that the task must not wait for its rack: it is long-running, overdue or starving, or resumes from a checkpoint, so that its
	// remaining duration is unknown.
	RackNotAwaited = "not-awaited"
	// RackUnusable means that on no VM of the rack the end of a run would make room for the task.
	RackUnusable = "rack-unusable"
)

type (
	// RackWait is the wait of a task, or of a gang, for places on a rack while it could start elsewhere.
	RackWait struct {
		// Task is the waiting task. For a gang, it is the first one.
		Task  *bookkeeper.Task
		Rack  string
		Since time.Time
		// Ahead is the number of places on the rack for which others waited with precedence when the wait began.
		Ahead int
		// Decision is the decision with which the wait began.
		Decision delayer.Decision
	}

	// rackStep is what decides, apart from the time, whether the tasks of a step wait for their rack in the current plan.
	rackStep struct {
		awaitable       bool
		duration, chain time.Duration
	}

	// rackPlan is the state of the waits for racks in the current plan.
	rackPlan struct {
		wallTime time.Time
		// ahead holds the number of places for which tasks wait.
		ahead map[delayer.Rack]int
		steps map[*bookkeeper.Step]rackStep
		begun []RackWait
	}
)

// BegunRackWaits returns the waits for racks that began in the last plan.
func (d *Dispatcher) BegunRackWaits() []RackWait { return d.rackPlan.begun }

// Clone returns a copy whose plans leave the original unchanged, if they use copies of the VMs. Both share Model, Excludes and Forbids.
func (d *Dispatcher) Clone() *Dispatcher {
	clone := *d
	clone.rackWaits, clone.Delayer = maps.Clone(d.rackWaits), d.Delayer.Clone()
	return &clone
}

// beginRackPlan prepares the decisions of a plan and forgets the waits of tasks that no longer wait for their start.
func (d *Dispatcher) beginRackPlan(wallTime time.Time) {
	d.rackPlan = rackPlan{wallTime: wallTime, ahead: map[delayer.Rack]int{}, steps: map[*bookkeeper.Step]rackStep{}}
	for t := range d.rackWaits {
		if !t.IsWaiting() {
			delete(d.rackWaits, t)
		}
	}
}

// decideOnRack decides whether the task, for which v is the best VM, waits for a place on its preferred rack instead.
func (d *Dispatcher) decideOnRack(now time.Time, t *bookkeeper.Task, q Queue, v *VM) delayer.Decision {
	s := t.Step
	if d.Delayer == nil || s.PreferredRack == "" || v.Rack == s.PreferredRack {
		return delayer.Decision{}
	}
	if r := d.newRequest(now, t); s.LongRunning || r.overdue || t.Checkpoint() != "" {
		return delayer.Decision{Reason: RackNotAwaited}
	}
	known, ok := d.rackPlan.steps[s]
	if !ok {
		known = d.newRackStep(s)
		known.awaitable = d.isAwaitable(now, t, q.Service)
		d.rackPlan.steps[s] = known
	}
	if !known.awaitable {
		return delayer.Decision{Reason: RackUnusable}
	}
	decision := d.askDelayer(now, t, q, known, s.PreferredRack, 1)
	if decision.Wait {
		d.waitForRack(now, t, q.Service, s.PreferredRack, 1, decision)
	}
	return decision
}

// placeGangOrWait places the gang like placeGang, but leaves it waiting if places on one rack, or on its preferred one, are worth the wait.
func (d *Dispatcher) placeGangOrWait(now time.Time, s *bookkeeper.Step, q Queue, vms []*VM) []Placement {
	placed := d.placeGang(now, s, q.Service, vms)
	if len(placed) == 0 || d.Delayer == nil || !placed[0].OffRack {
		return placed
	}
	t := longestWaiting(s)
	if r := d.newRequest(now, t); s.LongRunning || r.overdue || t.Checkpoint() != "" {
		return placed
	}
	d.undo(placed)
	racks := []string{s.PreferredRack}
	if s.SameRack {
		racks = racksOf(vms, s.PreferredRack)
	}
	best, bestRack, missing := delayer.Decision{Reason: RackUnusable}, "", 0
	for _, rack := range racks {
		room, possible := d.gangRoom(s, q.Service, rack, vms)
		if possible < len(s.Tasks) || room >= len(s.Tasks) {
			// Where the gang has room but does not start, something else than the end of a run must change.
			continue
		}
		decision := d.askDelayer(now, t, q, d.newRackStep(s), rack, len(s.Tasks)-room)
		if bestRack == "" || decision.Wait && !best.Wait || decision.Wait == best.Wait && decision.Expected > 0 && (best.Expected == 0 || decision.Expected < best.Expected) {
			best, bestRack, missing = decision, rack, len(s.Tasks)-room
		}
	}
	if best.Wait {
		d.waitForRack(now, s.Tasks[0], q.Service, bestRack, missing, best)
		return nil
	}
	placed = d.placeGang(now, s, q.Service, vms)
	for n := range placed {
		placed[n].OffRackReason = best.Reason
	}
	return placed
}

// gangRoom returns how many tasks of the step have room on the rack now, and how many would have if only its long-running tasks were there.
func (d *Dispatcher) gangRoom(s *bookkeeper.Step, service, rack string, vms []*VM) (room, possible int) {
	for _, v := range vms {
		if v.Service != service || v.Rack != rack || !v.Schedulable || d.isHeldAgainst(s, v) || d.Excludes != nil && d.Excludes(s.Tasks[0], v) {
			continue
		}
		onVM := v.RoomFor(s)
		if s.BestEffort {
			onVM = min(onVM, max(int(d.spareProcessors(v)/float64(max(s.Size.MilliProcessors, 1))), 0))
		}
		room += onVM
		possible += max(d.roomBesideLongRunning(s, v), 0)
	}
	return room, possible
}

// isAwaitable reports whether on a VM of the preferred rack the end of a run would make room for the task: the VM is usable, and only lacks capacity that
// long-running tasks don't take.
func (d *Dispatcher) isAwaitable(now time.Time, t *bookkeeper.Task, service string) bool {
	r := d.newRequest(now, t)
	r.processors = d.neededProcessors(r, service)
	return slices.ContainsFunc(d.vms, func(v *VM) bool {
		if v.Service != service || v.Rack != t.Step.PreferredRack || d.Excludes != nil && d.Excludes(t, v) {
			return false
		}
		_, refusal := d.mayStart(r, v)
		return (refusal == RefusedRoom || refusal == RefusedProcessors) && d.roomBesideLongRunning(t.Step, v) > 0
	})
}

// newRackStep returns the durations of the step.
func (d *Dispatcher) newRackStep(s *bookkeeper.Step) rackStep {
	k := rackStep{duration: d.expectedDuration(s, s.Number)}
	chains := make([]time.Duration, len(s.Job.Steps))
	chains[s.Number] = k.duration
	for n := s.Number + 1; n < len(s.Job.Steps); n++ {
		for _, a := range s.Job.Steps[n].After {
			if a >= s.Number && chains[a] > 0 {
				chains[n] = max(chains[n], chains[a]+d.expectedDuration(s, n))
			}
		}
	}
	k.chain = slices.Max(chains)
	return k
}

// expectedDuration returns the expected duration of a task in the step with the number in the job of s.
func (d *Dispatcher) expectedDuration(s *bookkeeper.Step, number int) time.Duration {
	other := s.Job.Steps[number]
	return d.Delayer.Duration(delayer.KindOf(s.Job.Queue, other), other.Estimate)
}

// askDelayer asks whether the task waits until the number of places becomes free on the rack.
func (d *Dispatcher) askDelayer(now time.Time, t *bookkeeper.Task, q Queue, known rackStep, rack string, places int) delayer.Decision {
	s := t.Step
	onRack := delayer.Rack{Service: q.Service, Name: rack}
	d.countProcessors()
	return d.Delayer.Decide(now, delayer.Request{
		Rack: onRack, Size: s.Size, BestEffort: s.BestEffort, Places: places, Ahead: d.rackPlan.ahead[onRack], Group: s.Remaining(),
		Use:      float64(d.reservedProcessors+d.bestEffortProcessors) / float64(max(d.totalProcessors, 1)),
		Duration: known.duration, Chain: known.chain, Left: objectiveEnd(s, q).Sub(d.rackPlan.wallTime),
		Waited: now.Sub(t.WaitingSince()), JobRuns: d.jobHasRun(s.Job),
	})
}

// waitForRack records that the task waits in the current plan.
func (d *Dispatcher) waitForRack(now time.Time, t *bookkeeper.Task, service, rack string, places int, decision delayer.Decision) {
	onRack := delayer.Rack{Service: service, Name: rack}
	if _, ok := d.rackWaits[t]; !ok {
		if d.rackWaits == nil {
			d.rackWaits = map[*bookkeeper.Task]RackWait{}
		}
		begun := RackWait{Task: t, Rack: rack, Since: now, Ahead: d.rackPlan.ahead[onRack], Decision: decision}
		d.rackWaits[t] = begun
		d.rackPlan.begun = append(d.rackPlan.begun, begun)
	}
	d.rackPlan.ahead[onRack] += places
}

// objectiveEnd returns when the objective of the step's job ends.
func objectiveEnd(s *bookkeeper.Step, q Queue) time.Time {
	start := s.Job.AcceptedAt
	if due := s.Job.Due(s.Occurrence); due.After(start) {
		start = due
	}
	return start.Add(time.Duration(q.Stretch*float64(longestChainDuration(s, 0))) + q.Target)
}
