package attributor

import (
	"slices"
	"time"
)

// priorWeight is the number of assumed pairs with the prior failure rate that are added to the pairs of a job
// or VM in the estimate of its failure rate.
const priorWeight = 1

type (
	// entity is a job or a VM. pairs are the pairs of which it is one side. failingPairCount is the number of
	// those with more failures than successes.
	entity struct {
		name             string
		pairs            []*pair
		failingPairCount int
	}

	// pair holds the numbers of failures and successes of one job on one VM. A pair counts as a single
	// observation, however large these numbers are, because repeated failures of a job on one VM do not
	// show whether the job or the VM causes them.
	pair struct {
		job, vm       *entity
		failures      int
		successes     int
		lastOutcomeAt time.Time
	}
)

// findOrAddEntity returns the job or VM with the name from entities. If there is none, it adds one.
func findOrAddEntity(entities map[string]*entity, name string) *entity {
	e, ok := entities[name]
	if !ok {
		e = &entity{name: name}
		entities[name] = e
	}
	return e
}

// causeProbability estimates the probability that e, a job or a VM, causes a failure. It is the
// fraction of the pairs of e that are failing, which means that they have more failures than successes.
// The higher the failingPairShare of the other side of a failing pair, without this pair, the less the pair counts. The excluded
// pair does not count, and priorWeight more pairs are assumed, of which the fraction priorRate is
// failing.
func (e *entity) causeProbability(excluded *pair, priorRate float64) float64 {
	failingWeight, totalWeight := priorRate*priorWeight, float64(priorWeight)
	for _, p := range e.pairs {
		if p == excluded {
			continue
		}
		totalWeight++
		if p.failing() {
			failingWeight += 1 - p.counterpart(e).failingPairShare(p, priorRate)
		}
	}
	return failingWeight / totalWeight
}

// failingPairShare returns the fraction of the pairs of e, a job or a VM, that are failing, which means that
// they have more failures than successes. The excluded pair, which must be a pair of e, does not count,
// and priorWeight more pairs are assumed, of which the fraction priorRate is failing.
func (e *entity) failingPairShare(excluded *pair, priorRate float64) float64 {
	failingCount, otherPairCount := float64(e.failingPairCount), float64(len(e.pairs)-1)
	if excluded.failing() {
		failingCount--
	}
	return (failingCount + priorRate*priorWeight) / (otherPairCount + priorWeight)
}

// failingCounterparts returns the names of the VMs on which the job e failed more often than it succeeded,
// or, if e is a VM, of the jobs that did so on it.
func (e *entity) failingCounterparts() []string {
	var names []string
	for _, p := range e.pairs {
		if p.failing() {
			names = append(names, p.counterpart(e).name)
		}
	}
	return names
}

// removePair removes the pair from the pairs of e and reports whether e has no pair left.
func (e *entity) removePair(p *pair) bool {
	if i := slices.Index(e.pairs, p); i >= 0 {
		e.pairs = slices.Delete(e.pairs, i, i+1)
		if p.failing() {
			e.failingPairCount--
		}
	}
	return len(e.pairs) == 0
}

// failing reports whether the job has failed more often than it has succeeded on the VM.
func (p *pair) failing() bool { return p.failures > p.successes }

// counterpart returns the VM of the pair if e is its job, and the job if e is its VM.
func (p *pair) counterpart(e *entity) *entity {
	if p.job == e {
		return p.vm
	}
	return p.job
}

// recordOutcome counts an outcome in the pair. It returns the change of the number of failing pairs, which
// have more failures than successes: 1 if the pair has become one, -1 if it is one no longer, and 0
// otherwise.
func (p *pair) recordOutcome(succeeded bool, now time.Time) int {
	wasFailing := p.failing()
	if succeeded {
		p.successes++
	} else {
		p.failures++
	}
	p.lastOutcomeAt = now
	failingChange := 0
	switch isFailing := p.failing(); {
	case isFailing && !wasFailing:
		failingChange = 1
	case wasFailing && !isFailing:
		failingChange = -1
	}
	p.job.failingPairCount += failingChange
	p.vm.failingPairCount += failingChange
	return failingChange
}
