// Package breaker provides a circuit breaker for each VM, which stops new runs on a VM where runs of several jobs fail.
package breaker

import "time"

const (
	// failureThreshold is the number of failures within failureWindow that open the breaker. They must come from at least minFailedJobs
	// jobs, because a single job may fail through its own fault.
	failureThreshold = 3
	minFailedJobs    = 2
	// failureWindow is how long a failure counts. On a healthy VM, a task of a few seconds succeeds within that time and closes the
	// breaker.
	failureWindow = 4 * time.Second
	// minOpenTime is the time from opening until the first probe. It doubles with each failed probe, up to maxOpenTime.
	minOpenTime = time.Second
	maxOpenTime = 8 * time.Second
	// probeInterval is the time after which another probe may start while the last one still runs. A long-running task never ends, so
	// waiting for its result would keep the VM out of use.
	probeInterval = 1500 * time.Millisecond
)

// Breaker is the circuit breaker of one VM. The zero value is closed, so that the VM is in use. It is not safe for concurrent use.
type Breaker struct {
	failures  []failure
	openUntil time.Time
	openTime  time.Duration
	probedAt  time.Time
}

type failure struct {
	job string
	at  time.Time
}

// Succeeded records a successful run and closes the breaker.
func (b *Breaker) Succeeded() { *b = Breaker{} }

// Failed records a failed run of the job and reports whether the breaker opened, or opened again after a failed probe.
func (b *Breaker) Failed(job string, now time.Time) bool {
	kept := b.failures[:0]
	for _, f := range b.failures {
		if now.Sub(f.at) < failureWindow {
			kept = append(kept, f)
		}
	}
	b.failures = append(kept, failure{job, now})
	if now.Before(b.openUntil) {
		return false
	}
	probe := !b.openUntil.IsZero()
	if !probe && (len(b.failures) < failureThreshold || b.distinctJobs() < minFailedJobs) {
		return false
	}
	b.openTime = min(max(2*b.openTime, minOpenTime), maxOpenTime)
	b.openUntil, b.probedAt = now.Add(b.openTime), time.Time{}
	return true
}

// Allows reports whether a run may start on the VM. Once the open time is over, it allows one run at a time as a probe.
func (b *Breaker) Allows(now time.Time) bool {
	return b.openUntil.IsZero() || !now.Before(b.openUntil) && now.Sub(b.probedAt) >= probeInterval
}

// Started records that a run was started. If the breaker is open, the run is the probe.
func (b *Breaker) Started(now time.Time) {
	if !b.openUntil.IsZero() {
		b.probedAt = now
	}
}

func (b *Breaker) distinctJobs() int {
	jobs := map[string]struct{}{}
	for _, f := range b.failures {
		jobs[f.job] = struct{}{}
	}
	return len(jobs)
}
