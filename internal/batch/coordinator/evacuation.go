package coordinator

import (
	"time"

	"bamboohook/internal/fleet/evacuation"
	"bamboohook/internal/fleet/messenger"
)

// evidenceEvacuation is what finishRun logs for a run whose start was never sent because the data centre is evacuated.
const evidenceEvacuation = "evacuation before the start was sent"

// Names of the meter's values about the evacuated data centres, which the name of a data centre follows.
const (
	meterEvacuatedVMs  = "evacuated-vms-"
	meterEvacuatedRuns = "evacuated-runs-"
)

// WakePlanner makes Run plan soon, because the set of evacuated data centres has changed.
func (c *Coordinator) WakePlanner() {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	c.wakePlanner()
}

// updateEvacuations reads the set of evacuated data centres. The caller holds the mutex.
func (c *Coordinator) updateEvacuations() {
	if c.Evacuations == nil {
		return
	}
	s := &c.state
	set, age := c.Evacuations()
	// While the store answers nobody, operators cannot request anything, and an owner that alone is cut off from it may not let agents renew leases.
	storeResponds := c.Clock.Now().Sub(c.OwnedAt()) <= c.Leases.Contact
	if unknown := c.MaxEvacuationAge > 0 && (set == nil || age > c.MaxEvacuationAge && storeResponds); unknown != s.evacuationsUnknown {
		s.evacuationsUnknown = unknown
		event := c.Log.Info()
		if unknown {
			event = c.Log.Warn()
			c.Meter.Count("evacuations-unknown")
		}
		event.Bool("unknown", unknown).Int64("version", set.VersionOrZero()).Dur("age", age).Dur("limit", c.MaxEvacuationAge).Uint64("epoch", s.epoch).
			Msg("nothing is placed on any VM while it is unknown which data centres are evacuated")
	}
	if set == s.evacuations {
		return
	}
	begun, ended := set.Compare(s.evacuations)
	s.evacuations = set
	for _, v := range s.vms {
		v.Evacuated = c.isEvacuated(v.dataCentre, v.agentDataCentre)
	}
	if len(begun)+len(ended) > 0 {
		c.clearEvacuationMeter(ended)
		c.Log.Info().Strs("begun", begun).Strs("ended", ended).Int64("version", set.VersionOrZero()).Dur("age", age).Uint64("epoch", s.epoch).
			Msg("the owner applies changed evacuations")
	}
}

// evacuatedIn reports whether the agent that has sent the report must refuse starts. If that is unknown, its present state goes on.
func (c *Coordinator) evacuatedIn(r messenger.Report) bool {
	s := &c.state
	dataCentre := r.DataCentre
	if v, ok := s.vms[r.VM]; ok && dataCentre == "" {
		dataCentre = v.dataCentre
	}
	if s.evacuations == nil || dataCentre == "" && r.AgentDataCentre == "" && r.EndpointID == "" {
		return r.Evacuated
	}
	return c.isEvacuated(dataCentre, r.AgentDataCentre)
}

// isEvacuated reports whether nothing may start on a VM that is in the data centre according to its endpoint, and in agentDataCentre, unless that is empty,
// according to the settings of its agent. One heartbeat with a wrong name must not permit starts, so either is enough.
func (c *Coordinator) isEvacuated(dataCentre, agentDataCentre string) bool {
	set := c.state.evacuations
	if dataCentre == "" {
		return set.Forbids(agentDataCentre)
	}
	return set.Forbids(dataCentre) || set.Contains(agentDataCentre)
}

// withdrawStarts withdraws the starts in evacuated data centres that the agents have not confirmed. A start that was never sent has certainly had no effect, so
// its task waits again. One that was sent is not repeated. If a later report neither lists the run nor its end, a copy may still be under way, and the run is
// stopped: only then is it known that it does not exist. Without a report it may run and must not be stopped.
func (c *Coordinator) withdrawStarts(now time.Time) {
	s := &c.state
	if s.evacuations == nil || len(s.evacuations.DataCentres) == 0 {
		return
	}
	for _, v := range s.vms {
		if !v.Evacuated {
			continue
		}
		for _, x := range v.runs {
			switch {
			case x.expectedInReports || x.stopping:
			case x.startsSent == 0:
				c.Meter.Count("starts-withdrawn")
				c.finishRun(x, messenger.RunResult{Outcome: messenger.RunLost, Task: x.taskName, Number: x.number}, evidenceEvacuation, now)
			case v.lastReportAt.Sub(x.startSentAt) >= orderTimeout:
				c.Meter.Count("starts-withdrawn")
				c.Log.Info().Str("task", x.taskName).Int("run", x.number).Str("vm", v.Name).Str("data-centre", v.dataCentre).Dur("sent", now.Sub(x.startSentAt)).
					Msg("start without a response is not repeated because the data centre is evacuated")
				x.stopping, x.settling, x.stopSentAt = true, true, now
				c.runsChanged(v)
			}
		}
	}
}

// meterEvacuations sets the numbers of VMs and of runs in the evacuated data centres, and returns them for all of these together.
func (c *Coordinator) meterEvacuations() (vms, runs int) {
	s := &c.state
	if s.evacuations == nil {
		return 0, 0
	}
	vmCounts, runCounts := map[string]int{}, map[string]int{}
	for _, v := range s.vms {
		if v.Evacuated {
			vmCounts[v.dataCentre]++
			runCounts[v.dataCentre] += len(v.runs)
			vms, runs = vms+1, runs+len(v.runs)
		}
	}
	for _, name := range s.evacuations.DataCentres {
		c.Meter.Set(meterEvacuatedVMs+name, int64(vmCounts[name]))
		c.Meter.Set(meterEvacuatedRuns+name, int64(runCounts[name]))
	}
	return vms, runs
}

// clearEvacuationMeter sets the numbers of VMs and of runs to 0 for data centres that are no longer evacuated, or of which this entry is no longer the owner.
func (c *Coordinator) clearEvacuationMeter(dataCentres []string) {
	for _, name := range dataCentres {
		c.Meter.Set(meterEvacuatedVMs+name, 0)
		c.Meter.Set(meterEvacuatedRuns+name, 0)
	}
}

// evacuatedDataCentres returns the names in the set, or nothing if it is nil.
func evacuatedDataCentres(set *evacuation.Set) []string {
	if set == nil {
		return nil
	}
	return set.DataCentres
}
