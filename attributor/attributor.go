// Package attributor determines whether failures of tasks are caused by their jobs or by their VMs.
package attributor

import (
	"cmp"
	"slices"
	"time"
)

// Kinds of a Verdict. Park means that no more tasks of a job should be started. Quarantine means that a
// VM should receive only probes, which are test tasks. Release means that the quarantine of a VM has
// ended.
const (
	Park       VerdictKind = "park"
	Quarantine VerdictKind = "quarantine"
	Release    VerdictKind = "release"
)

// A pair is a job and a VM on which its tasks ran. It is failing if it has more failures than successes.
// The prior failure rate is the fraction of all pairs that are failing, calculated as if there were
// basePairCount more pairs, of which the fraction baseFailureRate is failing. It is limited to
// maxPriorRate: right after a large fleet starts, nearly all outcomes are failures, because failures are
// reported sooner than successes. Without the limit, verdicts would be delayed until most tasks had time to
// succeed.
const (
	baseFailureRate = 0.05
	basePairCount   = 20
	maxPriorRate    = 0.5
)

type (
	// Clock returns the current time.
	Clock interface {
		Now() time.Time
	}

	// VerdictKind is the action that a Verdict asks the caller to perform.
	VerdictKind string

	// Verdict names a job to park, or a VM to quarantine or to release. Evidence lists the VMs on which the
	// job failed more often than it succeeded, or the jobs that did so on the VM.
	Verdict struct {
		Kind     VerdictKind `json:"kind"`
		Job      string      `json:"job,omitempty"`
		VM       string      `json:"vm,omitempty"`
		Reason   string      `json:"reason"`
		Evidence []string    `json:"evidence,omitempty"`
	}

	// Options configures an Attributor. Zero fields take their defaults.
	Options struct {
		// Clock is the system clock by default.
		Clock Clock
		// MinEvidence is the total weight of the failing pairs of a job or VM that a verdict on it
		// requires, by default 2.5. A pair is a job and a VM on which its tasks ran. It is failing if it
		// has more failures than successes. Its weight is the probability that its other side did not cause
		// the failures: the VM for a verdict on the job, and the job for one on the VM. That is less than
		// 1, so the default requires at least three failing pairs.
		MinEvidence float64
		// MinFailingShareOfJob, by default 0.6, and MinFailingShareOfVM, by default 0.5, prevent verdicts on a job or a
		// VM with few failures among many successes. A verdict on a job requires that w/(w+n) is at
		// least MinFailingShareOfJob, where w is the total weight of its failing pairs (see MinEvidence) and n
		// is the number of its other pairs. A verdict on a VM requires the same with MinFailingShareOfVM.
		MinFailingShareOfJob float64
		MinFailingShareOfVM  float64
		// Window is how long the outcomes of a job on a VM are kept after the last one of them, by default
		// 30 minutes.
		Window time.Duration
		// MaxPairs is the maximum number of VMs for which the outcomes of a job are kept, and the maximum
		// number of jobs for which the outcomes on a VM are kept, by default 64.
		MaxPairs int
		// ProbeInterval is the time from the quarantine of a VM to its first probe, and from each probe to
		// the next, by default 1 minute. For each VM, it doubles after every failed probe, up to
		// MaxProbeInterval, which is 1 hour by default.
		ProbeInterval    time.Duration
		MaxProbeInterval time.Duration
		// ProbesToRelease is the number of consecutive successful probes that release a VM, by default 2.
		ProbesToRelease int
	}

	// Attributor determines from the outcomes of tasks which jobs and which VMs cause failures. The
	// more likely it is that a VM caused the failures on it, the less they count against the job. The
	// more likely it is that a job caused its failures, the less they count against the VM. It is not safe for concurrent use.
	Attributor struct {
		options     Options
		jobs        map[string]*entity
		vms         map[string]*entity
		parked      map[string]bool
		quarantined map[string]*quarantine
		// pairCount is the number of pairs of a job and a VM for which outcomes are kept. failingPairCount
		// is the number of those with more failures than successes.
		pairCount, failingPairCount int
	}

	systemClock struct{}
)

func (systemClock) Now() time.Time { return time.Now() }

// New returns an Attributor without any outcome.
func New(options Options) *Attributor {
	if options.Clock == nil {
		options.Clock = systemClock{}
	}
	options.MinEvidence = cmp.Or(options.MinEvidence, 2.5)
	options.MinFailingShareOfJob = cmp.Or(options.MinFailingShareOfJob, 0.6)
	options.MinFailingShareOfVM = cmp.Or(options.MinFailingShareOfVM, 0.5)
	options.Window = cmp.Or(options.Window, 30*time.Minute)
	options.MaxPairs = cmp.Or(options.MaxPairs, 64)
	options.ProbeInterval = cmp.Or(options.ProbeInterval, time.Minute)
	options.MaxProbeInterval = cmp.Or(options.MaxProbeInterval, time.Hour)
	options.ProbesToRelease = cmp.Or(options.ProbesToRelease, 2)
	return &Attributor{
		options: options, jobs: map[string]*entity{}, vms: map[string]*entity{},
		parked: map[string]bool{}, quarantined: map[string]*quarantine{},
	}
}

// RecordOutcome records that a task of the job succeeded or failed on the VM and returns the verdicts that
// follow from it. It ignores outcomes on quarantined VMs and of parked jobs, because the cause of their
// failures is known.
func (a *Attributor) RecordOutcome(job, vm string, succeeded bool) []Verdict {
	if a.parked[job] || a.quarantined[vm] != nil {
		return nil
	}
	now := a.options.Clock.Now()
	j, v := findOrAddEntity(a.jobs, job), findOrAddEntity(a.vms, vm)
	a.dropExpiredPairs(j, now)
	a.dropExpiredPairs(v, now)
	a.failingPairCount += a.findOrAddPair(j, v).recordOutcome(succeeded, now)
	if succeeded {
		return nil
	}
	var verdicts []Verdict
	// Evaluate both the VM and the job before anything is removed, because the verdict on each of them removes
	// pairs that count for the other.
	vmFaulty := a.faulty(v, a.options.MinFailingShareOfVM)
	jobFaulty := a.faulty(j, a.options.MinFailingShareOfJob)
	if vmFaulty {
		verdicts = append(verdicts, Verdict{Quarantine, "", vm, "unrelated-jobs-failed", v.failingCounterparts()})
		a.quarantined[vm] = &quarantine{probeInterval: a.options.ProbeInterval, nextProbeAt: now.Add(a.options.ProbeInterval)}
	}
	if jobFaulty {
		verdicts = append(verdicts, Verdict{Park, job, "", "failed-on-healthy-vms", j.failingCounterparts()})
		a.parked[job] = true
	}
	// Failures with a known cause must not count against other jobs and VMs, nor against the VM after
	// its release.
	if vmFaulty {
		a.removeEntity(a.vms, vm)
	}
	if jobFaulty {
		a.removeEntity(a.jobs, job)
	}
	return verdicts
}

// Parked reports whether the job is parked.
func (a *Attributor) Parked(job string) bool { return a.parked[job] }

// Quarantined reports whether the VM is quarantined.
func (a *Attributor) Quarantined(vm string) bool { return a.quarantined[vm] != nil }

// ForgetJob deletes the outcomes of a job. If the job is parked, it is parked no longer. Call ForgetJob
// when a job has ended or when an operator resumes it.
func (a *Attributor) ForgetJob(job string) {
	delete(a.parked, job)
	a.removeEntity(a.jobs, job)
}

// ForgetVM deletes the outcomes on a VM and ends its quarantine, if any. Call ForgetVM when a VM was
// removed or replaced.
func (a *Attributor) ForgetVM(vm string) {
	delete(a.quarantined, vm)
	a.removeEntity(a.vms, vm)
}

// faulty reports whether the outcomes show that e, a job or a VM, causes failures: the total weight of its
// failing pairs is at least Options.MinEvidence, and at least the fraction minFailingShare of the sum of that
// weight and the number of its other pairs. A failing pair has more failures than successes. Its weight is
// the probability that its other side, the VM of a job or the job of a VM, did not cause the failures.
func (a *Attributor) faulty(e *entity, minFailingShare float64) bool {
	failingWeight, otherPairCount, priorRate := 0.0, 0.0, a.priorRate()
	for _, p := range e.pairs {
		if p.failing() {
			failingWeight += 1 - p.counterpart(e).causeProbability(p, priorRate)
		} else {
			otherPairCount++
		}
	}
	return failingWeight >= a.options.MinEvidence && failingWeight >= minFailingShare*(failingWeight+otherPairCount)
}

// priorRate returns the prior failure rate: the fraction of failing pairs that is expected of a job or VM
// without outcomes. It follows the fraction among all pairs, because failures are reported sooner than
// successes: after the start of a fleet with many failing jobs, a fixed low rate would quarantine VMs
// before any task had time to succeed.
func (a *Attributor) priorRate() float64 {
	return min(maxPriorRate, (float64(a.failingPairCount)+baseFailureRate*basePairCount)/float64(a.pairCount+basePairCount))
}

// dropExpiredPairs removes the pairs of the job or VM e whose last outcome is older than
// Options.Window.
func (a *Attributor) dropExpiredPairs(e *entity, now time.Time) {
	for _, p := range slices.Clone(e.pairs) {
		if now.Sub(p.lastOutcomeAt) > a.options.Window {
			a.removePair(p)
		}
	}
}

// findOrAddPair returns the pair of the job j and the VM v. If there is none, it adds one. If j or v
// already has Options.MaxPairs pairs, its pair with the oldest last outcome is removed first.
func (a *Attributor) findOrAddPair(j, v *entity) *pair {
	for _, p := range j.pairs {
		if p.vm == v {
			return p
		}
	}
	for _, e := range []*entity{j, v} {
		if len(e.pairs) >= a.options.MaxPairs {
			a.removePair(slices.MinFunc(e.pairs, func(p, q *pair) int { return p.lastOutcomeAt.Compare(q.lastOutcomeAt) }))
		}
	}
	// removePair deletes a job or VM without pairs from the maps, so both are added again.
	a.jobs[j.name], a.vms[v.name] = j, v
	p := &pair{job: j, vm: v}
	a.pairCount++
	j.pairs = append(j.pairs, p)
	v.pairs = append(v.pairs, p)
	return p
}

// removeEntity removes the job or VM with the name from entities, together with all its pairs.
func (a *Attributor) removeEntity(entities map[string]*entity, name string) {
	if e, ok := entities[name]; ok {
		for _, p := range slices.Clone(e.pairs) {
			a.removePair(p)
		}
		delete(entities, name)
	}
}

// removePair removes the pair from its job and its VM. A job or VM without another pair is deleted.
func (a *Attributor) removePair(p *pair) {
	a.pairCount--
	if p.failing() {
		a.failingPairCount--
	}
	if p.job.removePair(p) {
		delete(a.jobs, p.job.name)
	}
	if p.vm.removePair(p) {
		delete(a.vms, p.vm.name)
	}
}
