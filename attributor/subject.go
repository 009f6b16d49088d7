package attributor

import (
	"slices"
	"time"
)

// priorWeight is the weight of the prior failure rate, as a number of pairs.
const priorWeight = 1

type (
	// entity is a job or a VM.
	entity struct {
		name             string
		pairs            []*pair
		failingPairCount int
	}

	// pair holds the numbers of failures and successes of one job on one VM. However many there are, a
	// pair counts as a single observation, because repeated failures of a job on one VM do not show
	// whether the job or the VM causes them.
	pair struct {
		job, vm       *entity
		failures      int
		successes     int
		lastOutcomeAt time.Time
	}
)

// findOrAddEntity returns the job or VM with the name, which it adds if necessary.
func findOrAddEntity(entities map[string]*entity, name string) *entity {
	e, ok := entities[name]
	if !ok {
		e = &entity{name: name}
		entities[name] = e
	}
	return e
}

// failureProbability returns the probability that e causes a failure, estimated from its pairs except
// the excluded one. A failing pair counts less if the other side of the pair fails in other pairs too.
func (e *entity) causeProbability(excluded *pair, priorRate float64) float64 {
	failingWeight, totalWeight := priorRate*priorWeight, float64(priorWeight)
	for _, p := range e.pairs {
		if p == excluded {
			continue
		}
		totalWeight++
		if p.failing() {
			failingWeight += 1 - p.counterpart(e).failureRate(p, priorRate)
		}
	}
	return failingWeight / totalWeight
}

// failureRate returns the fraction of the pairs of e that fail, without the excluded one and with the
// prior failure rate as priorWeight further pairs.
func (e *entity) failureRate(excluded *pair, priorRate float64) float64 {
	failingCount, otherPairCount := float64(e.failingPairCount), float64(len(e.pairs)-1)
	if excluded.failing() {
		failingCount--
	}
	return (failingCount + priorRate*priorWeight) / (otherPairCount + priorWeight)
}

// failingCounterparts returns the names of the VMs in the failing pairs of a job, or of the jobs in the
// failing pairs of a VM.
func (e *entity) failingCounterparts() []string {
	var names []string
	for _, p := range e.pairs {
		if p.failing() {
			names = append(names, p.counterpart(e).name)
		}
	}
	return names
}

// removePair removes the pair from e and reports whether e has none left.
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

// record adds an outcome. It returns 1 if the pair has become a failing one, -1 if it has ceased to be
// one, and 0 otherwise.
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
