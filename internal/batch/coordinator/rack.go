package coordinator

import (
	"time"

	"bamboohook/internal/batch/delayer"
	"bamboohook/internal/batch/dispatcher"
	"bamboohook/internal/fleet/messenger"
)

// learnFromEnd tells the Delayer of the end of a run. An end only counts if it makes room for other tasks, and a duration only if this owner has seen the
// whole run and the run has done its task from the beginning.
func (c *Coordinator) learnFromEnd(x *run, result messenger.RunResult, now time.Time) {
	d := c.state.dispatcher.Delayer
	if d == nil || !x.confirmed {
		return
	}
	s := x.task.Step
	if c.usable(x.vm, now) {
		d.RunEnded(now, delayer.Rack{Service: x.vm.Service, Name: x.vm.Rack}, s.Size, s.BestEffort)
	}
	if result.Outcome != messenger.RunDone || s.LongRunning || x.startsSent == 0 || x.task.Checkpoint() != "" {
		return
	}
	// The time until the start is confirmed is the same on all racks.
	took := now.Sub(x.confirmedAt)
	if x.isBestEffort() {
		x.updateLostTime(now)
		// lostTime contains the wait before the run.
		took -= x.lostTime - x.waited
	}
	d.TaskDone(now, delayer.KindOf(s.Job.Queue, s.Step), s.Estimate, took, x.offRack)
}

// startedForRack counts where a task with a preferred rack starts, and tells the Delayer of the start and of the outcome of the wait for the rack.
func (c *Coordinator) startedForRack(p dispatcher.Placement, v *vm, now time.Time) {
	s, d := p.Task.Step, c.state.dispatcher.Delayer
	rack := s.PreferredRack
	switch {
	case p.OffRack:
		c.Meter.Count("starts-off-preferred-rack")
	case rack != "" || s.Gang && s.SameRack:
		c.Meter.Count("starts-on-preferred-rack")
		rack = v.Rack
	}
	if rack != "" && !s.LongRunning {
		d.TaskStarted(now, delayer.Rack{Service: v.Service, Name: rack}, s.Size, s.BestEffort)
	}
	w := p.RackWait
	if w == nil {
		return
	}
	found := !p.OffRack && v.Rack == w.Rack
	if !found {
		c.Meter.Count("rack-waits-without-place")
	}
	d.WaitEnded(now, delayer.Rack{Service: v.Service, Name: w.Rack}, now.Sub(w.Since), w.Decision.Expected, found)
}

// logBegunRackWaits logs and counts the waits for racks that began in the last plan.
func (c *Coordinator) logBegunRackWaits() {
	for _, w := range c.state.dispatcher.BegunRackWaits() {
		c.Meter.Count("rack-waits")
		c.Log.Info().Str("task", w.Task.ID().String()).Str("rack", w.Rack).Dur("expected", w.Decision.Expected).Dur("limit", w.Decision.Limit).
			Dur("saved", w.Decision.Saved).Int("ahead", w.Ahead).Dur("rate-age", w.Decision.RateAge).Msg("task waits for its preferred rack")
	}
}
