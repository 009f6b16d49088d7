package attributor

import (
	"slices"
	"time"
)

type quarantine struct {
	interval  time.Duration
	due       time.Time
	successes int
}

// DueProbes returns the quarantined VMs to be probed now, in order of name. A VM is returned again after its
// interval if no result is reported.
func (a *Attributor) DueProbes() []string {
	now := a.options.Clock.Now()
	var due []string
	for name, q := range a.quarantined {
		if !now.Before(q.due) {
			due = append(due, name)
			q.due = now.Add(q.interval)
		}
	}
	slices.Sort(due)
	return due
}

// RecordProbe takes the result of a probe, which is a task known to succeed on a healthy VM. It returns
// a Release verdict when the VM may receive tasks again.
func (a *Attributor) RecordProbe(vm string, succeeded bool) []Verdict {
	q := a.quarantined[vm]
	if q == nil {
		return nil
	}
	if !succeeded {
		q.successes = 0
		q.interval = min(2*q.interval, a.options.MaxProbeInterval)
		q.due = a.options.Clock.Now().Add(q.interval)
		return nil
	}
	if q.successes++; q.successes < a.options.ProbesToRelease {
		return nil
	}
	delete(a.quarantined, vm)
	return []Verdict{{Kind: Release, VM: vm, Reason: "probes-succeeded"}}
}
