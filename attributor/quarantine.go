package attributor

import (
	"slices"
	"time"
)

// quarantine holds the state of a quarantined VM: the interval between two probes, the time of the next
// probe, and the number of successful probes since the last failed one.
type quarantine struct {
	probeInterval        time.Duration
	nextProbeAt          time.Time
	consecutiveSuccesses int
}

// DueProbes returns the names of the quarantined VMs to probe now, sorted. It returns a VM again after
// the probe interval of the VM, which is longer if RecordProbe records a failure in the meantime.
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

// RecordProbe records whether a probe succeeded on the VM. A probe is a task that is known to succeed on
// a healthy VM. RecordProbe returns a Release verdict when the VM may receive tasks again.
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
