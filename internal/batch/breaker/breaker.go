// Package breaker provides a circuit breaker for a VM. It stops new runs on the VM while runs of several jobs fail there.
package breaker

import "time"

const (
	// failureThreshold is the number of failed runs within failureWindow that open the breaker. The runs must belong to at least
	// minFailedJobs jobs, because a single job may fail through its own fault.
	failureThreshold = 3
	minFailedJobs    = 2
	// failureWindow is how long a failed run counts. On a healthy VM, some task usually succeeds within that time, which clears the
	// failures.
	failureWindow = 4 * time.Second
	// minOpenTime is how long the breaker is open before it allows the first probe, a single run that tests the VM. Each failed probe
	// opens the breaker again for twice as long as before, up to maxOpenTime.
	minOpenTime = time.Second
	maxOpenTime = 8 * time.Second
	// probeInterval is the time after which another probe may start while the previous one is still running. A probe may be a run of a
	// long-running task, which does not end, so waiting for its result would keep the VM out of use.
	probeInterval = 1500 * time.Millisecond
)

// Breaker is the circuit breaker of one VM. The zero value is closed, so that the VM is in use. It is not safe for concurrent use.
type Breaker struct {
	// failures holds the last failed run and the failed runs within failureWindow before it.
	failures []failure
	// probesFrom is when the first probe may start, or the zero time if the breaker is closed.
	probesFrom time.Time
	// openTime is the time from when the breaker last opened until probesFrom.
	openTime time.Duration
	// probedAt is when the last probe started, or the zero time if none has started since the breaker opened.
	probedAt time.Time
}

// failure is a failed run of a job.
type failure struct {
	job string
	at  time.Time
}

// Succeeded records a successful run and closes the breaker.
func (b *Breaker) Succeeded() { *b = Breaker{} }

// Failed records a failed run of the job and reports whether the breaker opened, or opened again after a failed probe.
func (b *Breaker) Failed(job string, now time.Time) bool {
	recent := b.failures[:0]
	for _, f := range b.failures {
		if now.Sub(f.at) < failureWindow {
			recent = append(recent, f)
		}
	}
	b.failures = append(recent, failure{job, now})
	if now.Before(b.probesFrom) {
		return false
	}
	probeFailed := !b.probesFrom.IsZero()
	if !probeFailed && (len(b.failures) < failureThreshold || b.countFailedJobs() < minFailedJobs) {
		return false
	}
	b.openTime = min(max(2*b.openTime, minOpenTime), maxOpenTime)
	b.probesFrom, b.probedAt = now.Add(b.openTime), time.Time{}
	return true
}

// Allows reports whether a run may start on the VM. While the breaker is open, one probe may start in each probeInterval, from probesFrom on.
func (b *Breaker) Allows(now time.Time) bool {
	return b.probesFrom.IsZero() || !now.Before(b.probesFrom) && now.Sub(b.probedAt) >= probeInterval
}

// Open reports whether the breaker is open, so that runs which it allows are probes.
func (b *Breaker) Open() bool { return !b.probesFrom.IsZero() }

// Started records that a run was started. If the breaker is open, the run is a probe.
func (b *Breaker) Started(now time.Time) {
	if !b.probesFrom.IsZero() {
		b.probedAt = now
	}
}

// countFailedJobs returns the number of jobs to which the failed runs belong.
func (b *Breaker) countFailedJobs() int {
	jobs := map[string]struct{}{}
	for _, f := range b.failures {
		jobs[f.job] = struct{}{}
	}
	return len(jobs)
}
