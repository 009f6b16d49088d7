// Package attributor determines whether failures of tasks are caused by their jobs or by their VMs.
package attributor

import (
	"cmp"
	"slices"
	"time"
)

// Kinds of a Verdict. No tasks of a parked job are started. A quarantined VM receives only probes, which
// are test tasks, until it is released.
const (
	Park       VerdictKind = "park"
	Quarantine VerdictKind = "quarantine"
	Release    VerdictKind = "release"
)

// The prior failure rate is the fraction of the pairs of a job and a VM that fail, calculated as if
// basePairCount more pairs had been observed, of which the fraction baseFailureRate fails. It is limited
// to maxPriorRate: right after a large fleet starts, nearly all outcomes are failures, because failures
// are reported sooner than successes. Without the limit, verdicts would be delayed until most tasks had
// time to succeed.
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

	// VerdictKind is the action that a Verdict calls for.
	VerdictKind string

	// Verdict names a job to park, or a VM to quarantine or to release. Evidence lists the VMs on which
	// the job mostly failed, or the jobs that mostly failed on the VM.
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
		// requires, by default 2.5. A pair is a job together with a VM on which its tasks ran. Each
		// failing pair weighs less than 1, so the default requires at least three.
		MinEvidence float64
		// MinJobShare and MinVMShare are the smallest fractions that the weight of the failing pairs
		// must have in the sum of that weight and the number of other pairs, by default 0.6 for a
		// verdict on a job and 0.5 for one on a VM.
		MinJobShare float64
		MinVMShare  float64
		// Window is how long the outcomes of a pair are kept after its last outcome, by default 30
		// minutes.
		Window time.Duration
		// MaxPairs is the maximum number of VMs for which outcomes of a job are kept, and of jobs for
		// which outcomes on a VM are kept, by default 64.
		MaxPairs int
		// ProbeInterval is the time until the first probe of a quarantined VM, by default 1
		// minute. It doubles with each failed probe up to MaxProbeInterval, by default 1 hour.
		ProbeInterval    time.Duration
		MaxProbeInterval time.Duration
		// ProbesToRelease is the number of consecutive successful probes that release a VM, by default 2.
		ProbesToRelease int
	}

	// Attributor keeps the outcomes of jobs on VMs. It weighs each failure of a job by the probability
	// that the VM did not cause it, and each failure on a VM by the probability that the job did not
	// cause it. It is not safe for concurrent use.
	Attributor struct {
		options     Options
		jobs        map[string]*entity
		vms         map[string]*entity
		parked      map[string]bool
		quarantined map[string]*quarantine
		// pairCount is the number of pairs of a job and a VM that are kept, failingPairCount the number
		// of those that fail.
		pairCount, failingPairCount int
	}

	systemClock struct{}
)

func (systemClock) Now() time.Time { return time.Now() }

// New returns an Attributor without history.
func New(options Options) *Attributor {
	if options.Clock == nil {
		options.Clock = systemClock{}
	}
	options.MinEvidence = cmp.Or(options.MinEvidence, 2.5)
	options.MinJobShare = cmp.Or(options.MinJobShare, 0.6)
	options.MinVMShare = cmp.Or(options.MinVMShare, 0.5)
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

// RecordOutcome records that a task of the job succeeded or failed on the VM and returns the resulting
// verdicts. Outcomes on quarantined VMs and of parked jobs are ignored, because their cause is known.
func (a *Attributor) RecordOutcome(job, vm string, succeeded bool) []Verdict {
	if a.parked[job] || a.quarantined[vm] != nil {
		return nil
	}
	now := a.options.Clock.Now()
	j, v := findOrAddEntity(a.jobs, job), findOrAddEntity(a.vms, vm)
	a.dropExpired(j, now)
	a.dropExpired(v, now)
	a.failingPairCount += a.findOrAddPair(j, v).recordOutcome(succeeded, now)
	if succeeded {
		return nil
	}
	var verdicts []Verdict
	// Evaluate both the VM and the job first, because a verdict on either removes its pairs.
	vmFaulty := a.faulty(v, a.options.MinVMShare)
	jobFaulty := a.faulty(j, a.options.MinJobShare)
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

// ForgetJob deletes the outcomes of a job and ends its parking. Call it for a job that has ended or that
// an operator resumes.
func (a *Attributor) ForgetJob(job string) {
	delete(a.parked, job)
	a.removeEntity(a.jobs, job)
}

// ForgetVM deletes the outcomes on a VM and ends its quarantine. Call it for a VM that was removed or
// replaced.
func (a *Attributor) ForgetVM(vm string) {
	delete(a.quarantined, vm)
	a.removeEntity(a.vms, vm)
}

// faulty reports whether the failing pairs of e show that e is the cause. Each failing pair of a job is
// weighed by the probability that the VM did not cause the failures, and each failing pair of a VM by
// the probability that the job did not cause them.
func (a *Attributor) faulty(e *entity, minShare float64) bool {
	failingWeight, otherPairCount, priorRate := 0.0, 0.0, a.priorRate()
	for _, p := range e.pairs {
		if p.failing() {
			failingWeight += 1 - p.counterpart(e).causeProbability(p, priorRate)
		} else {
			otherPairCount++
		}
	}
	return failingWeight >= a.options.MinEvidence && failingWeight >= minShare*(failingWeight+otherPairCount)
}

// priorRate returns the failure rate that is expected of a job or VM without outcomes. It follows the
// failure rate of the fleet, because failures are reported sooner than successes: after the start of a
// fleet with many failing jobs, a fixed low rate would quarantine VMs before any task had time to
// succeed.
func (a *Attributor) priorRate() float64 {
	return min(maxPriorRate, (float64(a.failingPairCount)+baseFailureRate*basePairCount)/float64(a.pairCount+basePairCount))
}

// dropExpired removes the pairs of e whose last outcome is older than Options.Window.
func (a *Attributor) dropExpired(e *entity, now time.Time) {
	for _, p := range slices.Clone(e.pairs) {
		if now.Sub(p.lastOutcomeAt) > a.options.Window {
			a.removePair(p)
		}
	}
}

// findOrAddPair returns the pair of the job and the VM, which it adds if necessary. If either has
// Options.MaxPairs pairs, the pair with the oldest last outcome is removed first.
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
	// Removing the last pair of a job or VM deletes it from the maps, so both are added again.
	a.jobs[j.name], a.vms[v.name] = j, v
	p := &pair{job: j, vm: v}
	a.pairCount++
	j.pairs = append(j.pairs, p)
	v.pairs = append(v.pairs, p)
	return p
}

// removeEntity removes a job or VM and all its pairs.
func (a *Attributor) removeEntity(entities map[string]*entity, name string) {
	if e, ok := entities[name]; ok {
		for _, p := range slices.Clone(e.pairs) {
			a.removePair(p)
		}
		delete(entities, name)
	}
}

// removePair removes the pair from its job and its VM, and deletes either if it has no pair left.
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
