// Package pacer slows filling tasks down so that long-running tasks beside them meet their latency targets.
package pacer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// FullPercent is the pace of a task that is not slowed down.
	FullPercent = 100
	// margin is kept below the utilisation at which a target is missed, missedMargin while it is.
	margin       = 0.04
	missedMargin = 0.06
	// pauseAfter is the part of the tolerated time over the target after which all filling tasks that press pause.
	pauseAfter = 0.55
	// negligible is a pressure, as a utilisation, that is not worth slowing a task down.
	negligible = 0.01
)

type (
	// Victim is a long-running task with a target.
	Victim struct {
		// OwnLoad is the utilisation that it causes itself, Limit the one at which it misses its target. Missed tells that it does now.
		OwnLoad      float64
		Limit        float64
		TargetMissed bool
	}

	// BestEffortTask is a filling task. Pressures holds the utilisation that it adds to each victim at its full pace.
	BestEffortTask struct {
		Name         string
		Interference []float64
	}

	// Pacer watches one VM. Set the exported fields before the first use. It is not safe for concurrent use.
	Pacer struct {
		// MissTolerance is how long a task may be over its target.
		MissTolerance time.Duration

		over time.Time
	}
)

// Paces returns the pace of each filler in percent: the fillers that press most on a victim over its limit give way first.
func (p *Pacer) Paces(victims []Victim, fillers []BestEffortTask, now time.Time) map[string]int {
	missed := slices.ContainsFunc(victims, func(v Victim) bool { return v.TargetMissed })
	if !missed {
		p.over = time.Time{}
	} else if p.over.IsZero() {
		p.over = now
	}
	pausing := missed && now.Sub(p.over) > time.Duration(pauseAfter*float64(p.MissTolerance))
	shares := make([]float64, len(fillers))
	for n := range shares {
		shares[n] = 1
	}
	for n, v := range victims {
		if pausing && v.TargetMissed {
			pause(n, fillers, shares)
			continue
		}
		reduce(n, v, fillers, shares)
	}
	paces := map[string]int{}
	for n, f := range fillers {
		paces[f.Name] = int(shares[n]*FullPercent + 0.5)
	}
	return paces
}

// TargetMissed reports whether a target was missed at the last call of Paces.
func (p *Pacer) TargetMissed() bool { return !p.over.IsZero() }

// pause stops all fillers that press on the victim.
func pause(victim int, fillers []BestEffortTask, shares []float64) {
	for n, f := range fillers {
		if f.Interference[victim] >= negligible {
			shares[n] = 0
		}
	}
}

// reduce lowers the shares until the victim is below its limit or nothing presses on it any more.
func reduce(victim int, v Victim, fillers []BestEffortTask, shares []float64) {
	excess := v.OwnLoad + margin - v.Limit
	if v.TargetMissed {
		excess = v.OwnLoad + missedMargin - v.Limit
	}
	order := make([]int, 0, len(fillers))
	for n, f := range fillers {
		excess += f.Interference[victim] * shares[n]
		if f.Interference[victim] >= negligible {
			order = append(order, n)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(fillers[b].Interference[victim], fillers[a].Interference[victim]), cmp.Compare(fillers[a].Name, fillers[b].Name))
	})
	for _, n := range order {
		if excess <= 0 {
			return
		}
		cut := min(shares[n], excess/fillers[n].Interference[victim])
		shares[n] -= cut
		excess -= cut * fillers[n].Interference[victim]
	}
}
