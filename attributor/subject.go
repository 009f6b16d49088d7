package attributor

import (
	"slices"
	"time"
)

// priorWeight is the weight of the prior failure rate, in observations.
const priorWeight = 1

type (
	// entity is a job or a VM.
	entity struct {
		name         string
		pairs        []*pair
		failingPairs int
	}

	// pair holds the outcomes of one job on one VM. All failures of a job on one VM count as a single
	// observation, because they do not show which of the two causes them.
	pair struct {
		job, vm       *entity
		failures      int
		successes     int
		lastOutcomeAt time.Time
	}
)

func findOrAddEntity(entities map[string]*entity, name string) *entity {
	e, ok := entities[name]
	if !ok {
		e = &entity{name: name}
		entities[name] = e
	}
	return e
}

// failureProbability returns the probability that s causes a failure, estimated from its pairs except
// the excluded one. A failing pair counts less if its counterpart fails in other pairs too.
func (e *entity) failureProbability(excluded *pair, priorRate float64) float64 {
	failures, total := priorRate*priorWeight, float64(priorWeight)
	for _, p := range e.pairs {
		if p == excluded {
			continue
		}
		total++
		if p.failing() {
			failures += 1 - p.counterpart(e).failureRate(p, priorRate)
		}
	}
	return failures / total
}

// failureRate returns the share of pairs of s that fail, not counting the excluded one.
func (e *entity) failureRate(excluded *pair, priorRate float64) float64 {
	failing, total := float64(e.failingPairs), float64(len(e.pairs)-1)
	if excluded.failing() {
		failing--
	}
	return (failing + priorRate*priorWeight) / (total + priorWeight)
}

func (e *entity) failingCounterparts() []string {
	var names []string
	for _, p := range e.pairs {
		if p.failing() {
			names = append(names, p.counterpart(e).name)
		}
	}
	return names
}

// removePair removes the pair from s and reports whether s has none left.
func (e *entity) removePair(p *pair) bool {
	if i := slices.Index(e.pairs, p); i >= 0 {
		e.pairs = slices.Delete(e.pairs, i, i+1)
		if p.failing() {
			e.failingPairs--
		}
	}
	return len(e.pairs) == 0
}

func (p *pair) failing() bool { return p.failures > p.successes }

func (p *pair) counterpart(e *entity) *entity {
	if p.job == e {
		return p.vm
	}
	return p.job
}

// record adds an outcome and returns by how much the number of failing pairs changes.
func (p *pair) record(succeeded bool, now time.Time) int {
	before := p.failing()
	if succeeded {
		p.successes++
	} else {
		p.failures++
	}
	p.lastOutcomeAt = now
	change := 0
	switch after := p.failing(); {
	case after && !before:
		change = 1
	case before && !after:
		change = -1
	}
	p.job.failingPairs += change
	p.vm.failingPairs += change
	return change
}
