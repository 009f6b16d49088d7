package attributor

import (
	"slices"
	"time"
)

type quarantine struct {
	interval  time.Duration
	nextProbe time.Time
	successes int
}

// DueProbes returns the names of the quarantined VMs to probe now, sorted. A VM is due again after its
// probe interval if RecordProbe is not called for it.
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

// RecordProbe records the result of a probe, a task that is known to succeed on a healthy VM. It
// returns a Release verdict when the VM may receive tasks again.
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
