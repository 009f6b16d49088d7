package coordinator_test

import (
	"context"
	"time"

	"bamboohook/internal/fleet/sleeper"
)

const (
	// The first constants limit the time between two suspensions of an agent and how long a process is suspended.
	minSuspensionPeriod = 2 * time.Second
	maxSuspensionPeriod = 12 * time.Second
	minSuspensionTime   = time.Second
	maxSuspensionTime   = 9 * time.Second
	// suspendedOwnerShare is the share of the takeovers that begin with a suspension of the owner. minClaimDelay and maxClaimDelay limit the
	// time from there until another entry takes over.
	suspendedOwnerShare = 0.6
	minClaimDelay       = 700 * time.Millisecond
	maxClaimDelay       = 3 * time.Second
	// sentAfterTimeoutShare is the share of the calls that a suspended process still sends when it goes on, although they have timed out: the
	// suspension began after the last check of the timeout.
	sentAfterTimeoutShare = 0.5
	// minReturningVMs is the number of VMs whose agents are not suspended for good. They have to carry all jobs.
	minReturningVMs = 2
	// forGood is longer than any world lasts.
	forGood = 24 * time.Hour
)

// suspension makes a process stand still: it sends and receives nothing, while its clock goes on. The mutex of the world protects it.
type suspension struct{ until time.Time }

// begin suspends the process. The caller holds the mutex of the world.
func (s *suspension) begin(w *simWorld, name string) {
	duration := w.duration(minSuspensionTime, maxSuspensionTime)
	s.until = time.Now().Add(duration)
	w.log("", "%s: suspended for %v", name, duration)
}

// wait waits until the process is not suspended, or until ctx, the context of the process, is done. It reports whether it has waited.
func (s *suspension) wait(ctx context.Context, w *simWorld) bool {
	waited := false
	for {
		var left time.Duration
		w.locked(func(*simWorld) { left = time.Until(s.until) })
		if left <= 0 || !sleeper.Sleep(ctx, left) {
			return waited
		}
		waited = true
	}
}

// waitToSend waits until the process may send a call. It returns the error of the call's context, nil if the process sends the call anyway.
func (s *suspension) waitToSend(callCtx, processCtx context.Context, w *simWorld) error {
	if s.wait(processCtx, w) && processCtx.Err() == nil && w.chance(sentAfterTimeoutShare) {
		return nil
	}
	return callCtx.Err()
}

// suspendSometimes suspends the agent process of a VM from time to time.
func (w *simWorld) suspendSometimes(a *simAgent) {
	w.repeat(minSuspensionPeriod, maxSuspensionPeriod, func(w *simWorld) {
		if a.process != nil {
			a.process.suspension.begin(w, a.process.generation)
		}
	})
}

// suspendForGood suspends the agent process of a VM at some time and never resumes it, unless too few others would remain.
func (w *simWorld) suspendForGood(a *simAgent) {
	if !w.sleep(w.duration(minSuspensionPeriod, w.faults.time())) {
		return
	}
	w.locked(func(w *simWorld) {
		if a.process == nil || w.suspendedForGood+minReturningVMs >= len(w.agents) {
			return
		}
		w.suspendedForGood++
		a.process.suspension.until = time.Now().Add(forGood)
		w.log("", "%s: suspended for good", a.process.generation)
	})
}

// suspendOwner suspends the present owner before some takeovers, and waits until another entry takes over.
func (w *simWorld) suspendOwner() {
	if !w.faults.suspensions || !w.chance(suspendedOwnerShare) {
		return
	}
	w.locked(func(w *simWorld) { w.owner.suspension.begin(w, w.owner.name()) })
	w.sleep(w.duration(minClaimDelay, maxClaimDelay))
}

// nextAddress returns the address of an entry that can take over: neither the present owner nor a suspended one. The caller holds the mutex.
func (w *simWorld) nextAddress() string {
	for n := range uint64(len(ownerAddresses)) {
		address := ownerAddresses[(w.records.epoch+n)%uint64(len(ownerAddresses))]
		if o := w.entries[address]; o == nil || o != w.owner && !time.Now().Before(o.suspension.until) {
			return address
		}
	}
	panic("all entries are suspended")
}
