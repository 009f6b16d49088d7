package coordinator

import (
	"cmp"
	"slices"
	"time"

	"bamboohook/internal/batch/antagonist"
	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/dispatcher"
	"bamboohook/internal/batch/pacer"
)

const (
	// moveBelowPercent is the pace below which a best-effort task with checkpoints moves to another VM. At most one task moves with each
	// report, so that the capacity of the other VM is not assigned twice.
	moveBelowPercent = 50
	// minTimeOnVM is the shortest time that a run stays on the VM where it started before its task moves to another VM because of a low pace.
	// The first measurements of the run take that long.
	minTimeOnVM = 800 * time.Millisecond
	// scarceMoveBelowPercent and scarceMinTimeOnVM replace the two while best-effort work is short of processors. Other VMs are then full as well, so a task
	// only gains if it hardly works here, and a task that has just moved would be moved again.
	scarceMoveBelowPercent = 20
	scarceMinTimeOnVM      = 1600 * time.Millisecond
	// shortageCheckInterval is the time between two checks whether best-effort work is short of processors.
	shortageCheckInterval = 250 * time.Millisecond
	// maxPaceRisePercent is the most that a pace rises within paceRiseInterval, the time between two measurements.
	maxPaceRisePercent = 30
	paceRiseInterval   = 240 * time.Millisecond
	// stuckBelowPercent is the pace below which a best-effort task makes hardly any progress. Its run is stopped after stuckTime, which is
	// several times as long as it takes to resume the task elsewhere. The run of a task without checkpoints loses its progress, so it is only
	// stopped if less than maxLostProgressPercent of the task is done.
	stuckBelowPercent      = 10
	stuckTime              = 1500 * time.Millisecond
	maxLostProgressPercent = 20
)

// updatePaces updates the interference model from the measurements in the VM's last report, and sets the paces of the best-effort tasks on the
// VM so that latency targets are met. It also stops at most one run: one that makes hardly any progress, or else a slow one whose task can
// resume on another VM.
func (c *Coordinator) updatePaces(v *vm, now time.Time) {
	c.state.dispatcher.Model = &c.state.interferenceModel
	v.pacer.SetProcessorsScarce(c.state.assessor.Short())
	victims, programs := c.updateModel(v, now)
	missedBefore := v.TargetMissed
	paces := v.pacer.Paces(victims, c.bestEffortTasks(v, programs, now), now)
	v.TargetMissed = v.pacer.TargetMissed()
	if v.TargetMissed != missedBefore {
		c.Log.Info().Str("vm", v.Name).Bool("strained", v.TargetMissed).Float64("worst", v.worstLatencyRatio()).Interface("shares", v.bestEffortShares()).
			Uint64("report", v.reportSequence).Msg("compliance of the VM with its latency targets changed")
	}
	var slowest, longestStuck *run
	throttledProcessors := int64(0)
	for _, y := range v.runs {
		pace, ok := paces[y.taskName]
		if !ok {
			continue
		}
		if y.hasLostTooMuch() && v.pacer.Working(now) {
			y.pace = pace
		}
		y.approachPace(pace, now)
		throttledProcessors += y.task.Step.Size.MilliProcessors * int64(pacer.FullPercent-y.pace) / pacer.FullPercent
		if y.shouldMove(now, c.state.assessor.Short()) && (slowest == nil || y.pace < slowest.pace) {
			slowest = y
		}
		if y.isStuck(now) && (longestStuck == nil || y.paceLowSince.Before(longestStuck.paceLowSince)) {
			longestStuck = y
		}
	}
	v.SetProcessorsUnusedByThrottled(throttledProcessors)
	switch {
	case longestStuck != nil:
		c.stopToMove(longestStuck, "stuck")
	case slowest != nil:
		c.moveIfFits(slowest, now)
	}
}

// updateModel updates the interference model from the latencies in the VM's last report. It returns the long-running tasks whose latency is
// known, and the program of each of them.
func (c *Coordinator) updateModel(v *vm, now time.Time) (victims []pacer.Victim, programs []string) {
	var samples []antagonist.Sample
	for _, x := range v.runs {
		if ratio := x.latencyRatio(); ratio > 0 {
			samples = append(samples, antagonist.Sample{Task: x.taskName, Program: x.task.Step.Program, Group: stepName(x.task.Step), LatencyRatio: ratio})
		}
	}
	// Without sorting, the random order of the map would decide between equal samples.
	slices.SortFunc(samples, func(a, b antagonist.Sample) int { return cmp.Compare(a.Task, b.Task) })
	model := &c.state.interferenceModel
	measuredVictims := make([]dispatcher.Victim, len(samples))
	for n, ownLoad := range model.Update(v.Name, samples, v.bestEffortShares(), now) {
		s := samples[n]
		limit := model.Limit(s.Program)
		// A best-effort task runs for seconds, in which the own load of a victim changes. So its placement depends on the own load of the
		// victim's whole group, whereas the paces depend on the own load of the single victim.
		measuredVictims[n] = dispatcher.Victim{Program: s.Program, OwnLoad: model.OwnLoad(s.Group, s.Program, now), Limit: limit}
		victims = append(victims, pacer.Victim{OwnLoad: ownLoad, Limit: limit, TargetMissed: s.LatencyRatio > 1})
		programs = append(programs, s.Program)
	}
	v.SetMeasuredVictims(measuredVictims)
	return victims, programs
}

// bestEffortTasks returns the best-effort tasks on the VM, each with the utilisation that it adds to a task of each of the long-running
// programs.
func (c *Coordinator) bestEffortTasks(v *vm, victimPrograms []string, now time.Time) []pacer.BestEffortTask {
	var tasks []pacer.BestEffortTask
	for _, y := range v.runs {
		if !y.isBestEffort() {
			continue
		}
		share := float64(y.task.Step.Size.MilliProcessors) / float64(max(v.Capacity.MilliProcessors, 1))
		y.updateLostTime(now)
		f := pacer.BestEffortTask{
			Name: y.taskName, AddedUtilisation: make([]float64, len(victimPrograms)), Overdue: y.hasLostTooMuch(), Weight: share * c.valueOf(y.task.Step),
		}
		for n, program := range victimPrograms {
			interference, _ := c.state.interferenceModel.Interference(program, y.task.Step.Program)
			f.AddedUtilisation[n] = interference * share
		}
		tasks = append(tasks, f)
	}
	return tasks
}

// valueOf returns what a processor second of work on the step is worth while best-effort work is short of processors. Otherwise it returns 0, so that paces do not
// depend on it.
func (c *Coordinator) valueOf(step *bookkeeper.Step) float64 {
	j := step.Job
	if !c.state.assessor.Short() {
		return 0
	}
	prospect := dispatcher.Prospect(c.WallClock.Now(), step, c.queueOf(j).Queue)
	return c.state.appraiser.ValuePerProcessorSecond(j.Queue, j.Work(), step.RemainingWork(), prospect)
}

// checkShortage updates whether best-effort work is short of processors, from the paces of the running tasks.
func (c *Coordinator) checkShortage(now time.Time) {
	s := &c.state
	if now.Sub(s.shortageCheckedAt) < shortageCheckInterval {
		return
	}
	s.shortageCheckedAt = now
	var requested, usable int64
	for _, v := range s.vms {
		requested += v.BestEffortProcessors()
		usable += v.BestEffortProcessors() - v.ProcessorsUnusedByThrottled()
	}
	if !s.assessor.Observe(now, float64(requested), float64(usable)) {
		return
	}
	short := s.assessor.Short()
	if short {
		c.Meter.Count("best-effort-shortages")
	}
	c.Log.Info().Bool("short", short).Int64("requested", requested).Int64("usable", usable).Float64("missing-share", s.assessor.MissingShare()).
		Msg("availability of processors for best-effort work changed")
}

// moveIfFits stops the run if another VM has room for its task now.
func (c *Coordinator) moveIfFits(y *run, now time.Time) {
	vms, _ := c.dispatcherVMs(now)
	if !c.state.dispatcher.FitsElsewhere(y.task, c.queueOf(y.task.Step.Job).Service, vms, &y.vm.VM) {
		return
	}
	c.stopToMove(y, "fits elsewhere")
}

// stopToMove stops a run, so that its task waits again and then starts on a VM where it can make progress.
func (c *Coordinator) stopToMove(y *run, reason string) {
	y.stopping = true
	c.runsChanged(y.vm)
	c.Meter.Count("moves")
	c.Log.Info().Str("task", y.taskName).Int("run", y.number).Str("vm", y.vm.Name).Int("pace", y.pace).Str("reason", reason).
		Msg("stopping a run to start its task again")
}

// approachPace moves the pace that the run should have towards the given one. The pace falls at once but rises in steps, so
// that the effect of each step is measured before the next one.
func (x *run) approachPace(pace int, now time.Time) {
	if pace > x.pace {
		if now.Sub(x.raisedAt) < paceRiseInterval {
			return
		}
		pace = min(pace, x.pace+maxPaceRisePercent)
		x.raisedAt = now
	}
	x.pace = pace
	if pace >= stuckBelowPercent {
		x.paceLowSince = time.Time{}
	} else if x.paceLowSince.IsZero() {
		x.paceLowSince = now
	}
}

// updateLostTime adds the time since the last call to the time that the task has lost, as far as the pace kept the run from working.
func (x *run) updateLostTime(now time.Time) {
	x.lostTime += now.Sub(x.lostTimeAt) * time.Duration(pacer.FullPercent-x.pace) / pacer.FullPercent
	x.lostTimeAt = now
}

// hasLostTooMuch reports whether the task has lost as much time as it may lose because of its interference. The run then gets work periods and stays on its
// VM. Without that, low paces and stops could keep the task from completing forever.
func (x *run) hasLostTooMuch() bool { return x.lostTime >= dispatcher.MaxInterferenceWait }

// timeToMakeUp returns the time that counts as waited when the task waits again because the run has ended without a result. If the run is not known to
// have existed, the task has waited all the time. Otherwise, refused starts would keep it from becoming a starving task.
func (x *run) timeToMakeUp(now time.Time) time.Duration {
	if !x.confirmed {
		return x.waited + now.Sub(x.knownSince)
	}
	if !x.isBestEffort() {
		return 0
	}
	x.updateLostTime(now)
	return x.lostTime
}

// isStuck reports whether the pace of the run has been below stuckBelowPercent for stuckTime, and the run can be stopped without losing much
// work. Such a run only occupies memory. A run that started overdue is not stuck, because its task would start again at once and gain nothing.
func (x *run) isStuck(now time.Time) bool {
	return !x.startedOverdue && !x.hasLostTooMuch() && x.pace < stuckBelowPercent && !x.paceLowSince.IsZero() && now.Sub(x.paceLowSince) > stuckTime &&
		x.needed && !x.stopping && x.expectedInReports && (x.task.Step.Resumable || x.lastReport.Progress < maxLostProgressPercent)
}

// shouldMove reports whether the task of the run should continue on another VM, if one has room: the run is needed, its pace is low, it is old enough to
// have been measured, and its task has checkpoints, or has started overdue and not done much. A task that has lost too much time stays, because moving
// without a bound would keep it from completing.
func (x *run) shouldMove(now time.Time, processorsScarce bool) bool {
	belowPercent, timeOnVM := moveBelowPercent, minTimeOnVM
	if processorsScarce {
		belowPercent, timeOnVM = scarceMoveBelowPercent, scarceMinTimeOnVM
	}
	return !x.hasLostTooMuch() && x.pace < belowPercent && x.needed && !x.stopping && x.expectedInReports && now.Sub(x.knownSince) > timeOnVM &&
		(x.task.Step.Resumable || x.startedOverdue && x.lastReport.Progress < maxLostProgressPercent)
}

// worstLatencyRatio returns the highest ratio of a task's latency to its target on the VM, or 0 if none is known.
func (v *vm) worstLatencyRatio() float64 {
	highest := 0.0
	for _, x := range v.runs {
		highest = max(highest, x.latencyRatio())
	}
	return highest
}

// bestEffortShares returns the share of the VM's processors that each best-effort program used according to the last report.
// LatencyOrUsage of a best-effort task is the number of processors that it uses, in thousandths.
func (v *vm) bestEffortShares() map[string]float64 {
	shares := map[string]float64{}
	for _, y := range v.runs {
		if y.isBestEffort() && v.Capacity.MilliProcessors > 0 {
			shares[y.task.Step.Program] += float64(y.lastReport.LatencyOrUsage) / float64(v.Capacity.MilliProcessors)
		}
	}
	return shares
}

// isBestEffort reports whether the run is known to be one of a best-effort task.
func (x *run) isBestEffort() bool { return x.task != nil && x.task.Step.BestEffort }

// latencyRatio returns the ratio of the tail latency of a long-running task to its target. LatencyOrUsage of such a task is its tail latency
// in milliseconds. latencyRatio returns 0 for a run without a latency target, and for one whose progress is below 100 percent, because it has not
// finished its startup.
func (x *run) latencyRatio() float64 {
	if x.task == nil || !x.task.Step.LongRunning || x.task.Step.TailTarget == 0 || x.lastReport.Progress < pacer.FullPercent {
		return 0
	}
	return float64(x.lastReport.LatencyOrUsage) / (x.task.Step.TailTarget.Seconds() * 1000)
}
