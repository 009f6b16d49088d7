// Package attributor tells failing jobs from failing VMs.
package attributor

import (
	"cmp"
	"slices"
	"time"
)

// Kinds of a Verdict.
const (
	Park       VerdictKind = "park"
	Quarantine VerdictKind = "quarantine"
	Release    VerdictKind = "release"
)

// A fleet without history is expected to have basePairs outcomes of which baseRate fail. The rate
// expected of an unknown job or VM stays below maxPrior: at the start of a large fleet nearly all
// outcomes are failures, and verdicts would be delayed until most tasks have had time to succeed.
const (
	baseRate  = 0.05
	basePairs = 20
	maxPrior  = 0.5
)

type (
	// Clock tells the time.
	Clock interface {
		Now() time.Time
	}

	// VerdictKind is what follows from a Verdict.
	VerdictKind string

	// Verdict names a job to park, or a VM to quarantine or to release. Evidence lists the VMs or
	// jobs on which it rests.
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
		// MinEvidence is the weight of independent failures that a verdict needs, by default 2.5: at
		// least three, since each weighs less than 1.
		MinEvidence float64
		// MinJobShare and VMShare are the parts of the outcomes that these failures must make up, by
		// default 0.6 for a job and 0.5 for a VM.
		MinJobShare float64
		MinVMShare  float64
		// Window is how long an outcome counts, by default 30 minutes.
		Window time.Duration
		// MaxPairs bounds the VMs remembered for a job and the jobs for a VM, by default 64.
		MaxPairs int
		// ProbeInterval is the time until the first probe of a quarantined VM, by default 1
		// minute. It doubles with each failed probe up to ProbeLimit, by default 1 hour.
		ProbeInterval    time.Duration
		MaxProbeInterval time.Duration
		// ProbesToRelease is the number of successful probes in sequence that release a VM, by default 2.
		ProbesToRelease int
	}

	// Attributor weighs each failure by how well the other party explains it. It is not safe for
	// concurrent use.
	Attributor struct {
		options     Options
		jobs        map[string]*subject
		vms         map[string]*subject
		parked      map[string]bool
		quarantined map[string]*quarantine
		// pairs and failing count the remembered pairs of job and VM, and those that fail.
		pairs, failing int
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
		options: options, jobs: map[string]*subject{}, vms: map[string]*subject{},
		parked: map[string]bool{}, quarantined: map[string]*quarantine{},
	}
}

// RecordOutcome records that a task of the job succeeded or failed on the VM and returns the verdicts that follow.
// Outcomes on quarantined VMs and of parked jobs are ignored: they are explained already.
func (a *Attributor) RecordOutcome(job, vm string, succeeded bool) []Verdict {
	if a.parked[job] || a.quarantined[vm] != nil {
		return nil
	}
	now := a.options.Clock.Now()
	j, v := find(a.jobs, job), find(a.vms, vm)
	a.expire(j, now)
	a.expire(v, now)
	a.failing += a.pair(j, v).count(succeeded, now)
	if succeeded {
		return nil
	}
	var verdicts []Verdict
	// Both parties are judged on the same state before either verdict takes effect.
	condemnedVM := a.condemned(v, a.options.MinVMShare)
	condemnedJob := a.condemned(j, a.options.MinJobShare)
	if condemnedVM {
		verdicts = append(verdicts, Verdict{Quarantine, "", vm, "unrelated-jobs-failed", v.failedWith()})
		a.quarantined[vm] = &quarantine{interval: a.options.ProbeInterval, due: now.Add(a.options.ProbeInterval)}
	}
	if condemnedJob {
		verdicts = append(verdicts, Verdict{Park, job, "", "failed-on-healthy-vms", j.failedWith()})
		a.parked[job] = true
	}
	// What a verdict explains must not count against anyone else, nor against the VM after its release.
	if condemnedVM {
		a.forget(a.vms, vm)
	}
	if condemnedJob {
		a.forget(a.jobs, job)
	}
	return verdicts
}

// Parked reports whether the job is parked.
func (a *Attributor) Parked(job string) bool { return a.parked[job] }

// Quarantined reports whether the VM is quarantined.
func (a *Attributor) Quarantined(vm string) bool { return a.quarantined[vm] != nil }

// ForgetJob drops the history of a job that has ended or that an operator resumes.
func (a *Attributor) ForgetJob(job string) {
	delete(a.parked, job)
	a.forget(a.jobs, job)
}

// ForgetVM drops the history of a VM that was removed or replaced.
func (a *Attributor) ForgetVM(vm string) {
	delete(a.quarantined, vm)
	a.forget(a.vms, vm)
}

// condemned weighs the failures of a job by the health of their VMs, or those of a VM by the
// health of their jobs.
func (a *Attributor) condemned(s *subject, share float64) bool {
	evidence, against, prior := 0.0, 0.0, a.prior()
	for _, p := range s.pairs {
		if p.failing() {
			evidence += 1 - p.other(s).blame(p, prior)
		} else {
			against++
		}
	}
	return evidence >= a.options.MinEvidence && evidence >= share*(evidence+against)
}

// prior returns the rate of failure expected of a job or VM about which nothing is known. It follows
// the fleet, because failures are reported sooner than successes: after a start with many failing
// jobs, a fixed low rate would condemn the VMs before any task has had time to succeed.
func (a *Attributor) prior() float64 {
	return min(maxPrior, (float64(a.failing)+baseRate*basePairs)/float64(a.pairs+basePairs))
}

func (a *Attributor) expire(s *subject, now time.Time) {
	for _, p := range slices.Clone(s.pairs) {
		if now.Sub(p.last) > a.options.Window {
			a.drop(p)
		}
	}
}

func (a *Attributor) pair(j, v *subject) *pair {
	for _, p := range j.pairs {
		if p.vm == v {
			return p
		}
	}
	for _, s := range []*subject{j, v} {
		if len(s.pairs) >= a.options.MaxPairs {
			a.drop(slices.MinFunc(s.pairs, func(p, q *pair) int { return p.last.Compare(q.last) }))
		}
	}
	// Dropping the last pair of a subject removes it, so both are entered again.
	a.jobs[j.name], a.vms[v.name] = j, v
	p := &pair{job: j, vm: v}
	a.pairs++
	j.pairs = append(j.pairs, p)
	v.pairs = append(v.pairs, p)
	return p
}

func (a *Attributor) forget(subjects map[string]*subject, name string) {
	if s, ok := subjects[name]; ok {
		for _, p := range slices.Clone(s.pairs) {
			a.drop(p)
		}
		delete(subjects, name)
	}
}

// drop removes the pair from both sides, and a side that has no pair left.
func (a *Attributor) drop(p *pair) {
	a.pairs--
	if p.failing() {
		a.failing--
	}
	if p.job.remove(p) {
		delete(a.jobs, p.job.name)
	}
	if p.vm.remove(p) {
		delete(a.vms, p.vm.name)
	}
}
