package coordinator

import (
	"time"

	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/pacer"
)

// logLoad logs the number of jobs, tasks and runs, and the total load of all VMs. The amounts of processors are in thousandths.
func (c *Coordinator) logLoad(now time.Time) {
	var totalProcessors, reservedProcessors, longRunningProcessors, bestEffortProcessors, bestEffortProcessorsUsed, throttledRuns int64
	vmsMissingTargets := 0
	for _, v := range c.state.vms {
		totalProcessors += v.Capacity.MilliProcessors
		reservedProcessors += v.Reserved().MilliProcessors
		longRunningProcessors += v.LongRunningProcessors()
		bestEffortProcessors += v.BestEffortProcessors()
		if v.TargetMissed {
			vmsMissingTargets++
		}
		for _, x := range v.runs {
			if !x.isBestEffort() {
				continue
			}
			// LatencyOrUsage of a best-effort task is the number of processors that it uses, in thousandths.
			bestEffortProcessorsUsed += int64(x.lastReport.LatencyOrUsage)
			if x.pace < pacer.FullPercent {
				throttledRuns++
			}
		}
	}
	waitingTasks, waitingBestEffortTasks := 0, 0
	c.state.jobs.VisitReadySteps(func(s *bookkeeper.Step) {
		for _, t := range s.Tasks {
			if !t.IsWaiting() {
				continue
			}
			waitingTasks++
			if s.BestEffort {
				waitingBestEffortTasks++
			}
		}
	})
	c.logLongestWaiting(now)
	evacuatedVMs, evacuatedRuns := c.meterEvacuations()
	knownJobs, liveJobs := c.state.jobs.CountJobs()
	c.Log.Info().Int("jobs", knownJobs).Int("live", liveJobs).Int("waiting", waitingTasks).Int("waiting-filling", waitingBestEffortTasks).Int("runs", len(c.state.runs)).
		Int("vms", len(c.state.vms)).Int("strained", vmsMissingTargets).Int64("slowed", throttledRuns).Int64("capacity", totalProcessors).Int64("reserved", reservedProcessors).
		Int64("serving", longRunningProcessors).Int64("filling", bestEffortProcessors).Int64("filling-used", bestEffortProcessorsUsed).Uint64("epoch", c.state.epoch).
		Int("evacuated-vms", evacuatedVMs).Int("evacuated-runs", evacuatedRuns).Msg("total load of all VMs")
}

// logLongestWaiting logs which task has waited longest and why it does not start: on how many VMs it must not start now, by reason.
func (c *Coordinator) logLongestWaiting(now time.Time) {
	var longest *bookkeeper.Task
	c.state.jobs.VisitReadySteps(func(s *bookkeeper.Step) {
		for _, t := range s.Tasks {
			if t.IsWaiting() && (longest == nil || t.WaitingSince().Before(longest.WaitingSince())) {
				longest = t
			}
		}
	})
	if longest == nil {
		return
	}
	vms, coordinatorVMs := c.dispatcherVMs(now)
	c.setExclusions(&c.state.dispatcher, coordinatorVMs, now)
	q := c.queueOf(longest.Step.Job)
	c.Log.Info().Str("task", longest.ID().String()).Dur("waited", now.Sub(longest.WaitingSince())).Bool("filling", longest.Step.BestEffort).
		Int("runs-before", longest.NextRunNumber()-1).Int("vms", len(vms)).Interface("refusals", c.state.dispatcher.Refusals(now, longest, q.Service, vms)).
		Bool("all-runs-known", c.state.runsKnown).Msg("the task that has waited longest")
}
