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
		name    string
		pairs   []*pair
		failing int
	}

	// pair holds the outcomes of one job on one VM. All failures of a job on one VM count as a single
	// observation, because they do not show which of the two causes them.
	pair struct {
		job, vm   *entity
		failures  int
		successes int
		last      time.Time
	}
)

func findOrCreate(entities map[string]*entity, name string) *entity {
	s, ok := entities[name]
	if !ok {
		s = &entity{name: name}
		entities[name] = s
	}
	return s
}

// failureProbability returns the probability that s causes a failure, estimated from its pairs except
// the excluded one. A failing pair counts less if its counterpart fails in other pairs too.
func (s *entity) failureProbability(excluded *pair, prior float64) float64 {
	failures, total := prior*priorWeight, float64(priorWeight)
	for _, p := range s.pairs {
		if p == excluded {
			continue
		}
		total++
		if p.failing() {
			failures += 1 - p.counterpart(s).failureRate(p, prior)
		}
	}
	return failures / total
}

// failureRate returns the share of pairs of s that fail, not counting the excluded one.
func (s *entity) failureRate(excluded *pair, prior float64) float64 {
	failing, total := float64(s.failing), float64(len(s.pairs)-1)
	if excluded.failing() {
		failing--
	}
	return (failing + prior*priorWeight) / (total + priorWeight)
}

func (s *entity) failingCounterparts() []string {
	var names []string
	for _, p := range s.pairs {
		if p.failing() {
			names = append(names, p.counterpart(s).name)
		}
	}
	return names
}

// removePair removes the pair from s and reports whether s has none left.
func (s *entity) removePair(p *pair) bool {
	if i := slices.Index(s.pairs, p); i >= 0 {
		s.pairs = slices.Delete(s.pairs, i, i+1)
		if p.failing() {
			s.failing--
		}
	}
	return len(s.pairs) == 0
}

func (p *pair) failing() bool { return p.failures > p.successes }

func (p *pair) counterpart(s *entity) *entity {
	if p.job == s {
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
	p.last = now
	change := 0
	switch after := p.failing(); {
	case after && !before:
		change = 1
	case before && !after:
		change = -1
	}
	p.job.failing += change
	p.vm.failing += change
	return change
}
