package coordinator

import (
	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/pacer"
)

// logLoad logs the number of jobs, tasks and runs, and the total load of all VMs.
func (c *Coordinator) logLoad() {
	var capacity, reserved, longRunning, bestEffort, bestEffortUsed, throttledRuns int64
	vmsMissingTargets := 0
	for _, v := range c.state.vms {
		capacity += v.Capacity.MilliProcessors
		reserved += v.Reserved().MilliProcessors
		longRunning += v.LongRunningProcessors()
		bestEffort += v.BestEffortProcessors()
		if v.TargetMissed {
			vmsMissingTargets++
		}
		for _, x := range v.runs {
			if !x.isBestEffort() {
				continue
			}
			bestEffortUsed += int64(x.lastReport.LatencyOrUsage)
			if x.pace < pacer.FullPercent {
				throttledRuns++
			}
		}
	}
	waiting, waitingBestEffort := 0, 0
	c.state.jobs.VisitReady(func(s *bookkeeper.Step) {
		for _, t := range s.Tasks {
			if !t.IsWaiting() {
				continue
			}
			waiting++
			if s.BestEffort {
				waitingBestEffort++
			}
		}
	})
	known, live := c.state.jobs.Counts()
	c.Log.Info().Int("jobs", known).Int("live", live).Int("waiting", waiting).Int("waiting-filling", waitingBestEffort).Int("runs", len(c.state.runs)).
		Int("vms", len(c.state.vms)).Int("strained", vmsMissingTargets).Int64("slowed", throttledRuns).Int64("capacity", capacity).Int64("reserved", reserved).
		Int64("serving", longRunning).Int64("filling", bestEffort).Int64("filling-used", bestEffortUsed).Uint64("epoch", c.state.epoch).Msg("total load of all VMs")
}
