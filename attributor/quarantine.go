package attributor

import (
	"slices"
	"time"
)

// quarantine is the state of a quarantined VM: the present interval between two probes, the time from which
// on the next probe is due, and the number of successful probes since the last failed one.
type quarantine struct {
	probeInterval        time.Duration
	nextProbeAt          time.Time
	consecutiveSuccesses int
}

// DueProbes returns the names of the quarantined VMs to which the caller should send a probe now, sorted.
// It returns the same VM again when the probe interval of the VM has passed. A failed probe makes that
// interval longer and starts it anew.
func (a *Attributor) DueProbes() []string {
	now := a.options.Clock.Now()
	var due []string
	for name, q := range a.quarantined {
		if !now.Before(q.nextProbeAt) {
			due = append(due, name)
			q.nextProbeAt = now.Add(q.probeInterval)
		}
	}
	slices.Sort(due)
	return due
}

// RecordProbe records whether a probe, a task that is known to succeed on a healthy VM, succeeded on the
// VM. After Options.ProbesToRelease successful probes in a row, it ends the quarantine and returns a
// Release verdict. For a VM that is not quarantined it does nothing.
func (a *Attributor) RecordProbe(vm string, succeeded bool) []Verdict {
	q := a.quarantined[vm]
	if q == nil {
		return nil
	}
	if !succeeded {
		q.consecutiveSuccesses = 0
		q.probeInterval = min(2*q.probeInterval, a.options.MaxProbeInterval)
		q.nextProbeAt = a.options.Clock.Now().Add(q.probeInterval)
		return nil
	}
	if q.consecutiveSuccesses++; q.consecutiveSuccesses < a.options.ProbesToRelease {
		return nil
	}
	delete(a.quarantined, vm)
	return []Verdict{{Kind: Release, VM: vm, Reason: "probes-succeeded"}}
}
