package attributor

import (
	"slices"
	"time"
)

// quarantine holds the state of the probes of a quarantined VM: the interval between two of them, the
// time of the next one, and the number of successful ones since the last failure.
type quarantine struct {
	interval  time.Duration
	nextProbe time.Time
	successes int
}

// DueProbes returns the names of the quarantined VMs to probe now, sorted. It returns a VM again after
// the probe interval of the VM, which is longer if RecordProbe records a failure in the meantime.
func (a *Attributor) DueProbes() []string {
	now := a.options.Clock.Now()
	var due []string
	for name, q := range a.quarantined {
		if !now.Before(q.nextProbe) {
			due = append(due, name)
			q.nextProbe = now.Add(q.interval)
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
		q.successes = 0
		q.interval = min(2*q.interval, a.options.MaxProbeInterval)
		q.nextProbe = a.options.Clock.Now().Add(q.interval)
		return nil
	}
	if q.successes++; q.successes < a.options.ProbesToRelease {
		return nil
	}
	delete(a.quarantined, vm)
	return []Verdict{{Kind: Release, VM: vm, Reason: "probes-succeeded"}}
}
