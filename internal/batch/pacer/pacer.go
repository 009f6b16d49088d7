// Package pacer throttles best-effort tasks so that the long-running tasks on the same VM meet their latency targets. The pace of a
// best-effort task is the part of its processors that it may use, in percent. A task with a pace below 100 is throttled, one with the pace 0
// is paused.
package pacer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// FullPercent is the pace of a task that is not throttled, in percent.
	FullPercent = 100
	// utilisationMargin is the distance that is kept to the utilisation at which a victim misses its latency target. missedTargetMargin
	// replaces it while the victim misses its target.
	utilisationMargin  = 0.04
	missedTargetMargin = 0.06
	// scarceMargin and scarceMissedTargetMargin replace the two margins while best-effort work is short of processors. The distance then costs callers of
	// best-effort jobs more than the users of a victim lose while its latency is close to the target.
	scarceMargin             = 0.0
	scarceMissedTargetMargin = 0.03
	// pauseAfterShare is a share of MissTolerance. When some target has been missed without a break for longer than that, all best-effort
	// tasks that interfere with a victim that misses its target are paused.
	pauseAfterShare = 0.55
	// workShare is a share of MissTolerance, the length of a work period, in which an overdue task works at full pace although that may cause missed
	// targets. What is left of MissTolerance is for the measurements, the orders and the calls that end the period's effect. After a work period the task
	// rests, restPeriods times as long, so a victim misses its target because of work periods for less than a quarter of the time.
	workShare   = 0.4
	restPeriods = 3
	// recoveryShare is a share of MissTolerance, the time after which the measurements no longer contain the effect of tasks that were paused. A target
	// that is still missed then is missed whatever those tasks do.
	recoveryShare = 0.25
	// minInterference is the least utilisation that a best-effort task, at full pace, must add to a victim to be throttled because of it.
	minInterference = 0.01
)

type (
	// Victim is a long-running task with a latency target.
	Victim struct {
		// OwnLoad is the utilisation that the victim causes itself, Limit the utilisation at which it misses its target. TargetMissed
		// reports whether it misses its target now.
		OwnLoad      float64
		Limit        float64
		TargetMissed bool
	}

	// BestEffortTask is a task that may be throttled. AddedUtilisation holds the utilisation that the task, at full pace, adds to each victim, in
	// the order of the victims. An overdue task gets work periods.
	BestEffortTask struct {
		Name             string
		AddedUtilisation []float64
		Overdue          bool
		// Weight is what the work of the task at full pace is worth, compared with that of the other tasks. Of the tasks that interfere with a victim,
		// those whose work is worth least for the utilisation that they add are throttled first. Without weights, those that add most are.
		Weight float64
	}

	// Pacer sets the paces on one VM. Set the exported fields before the first use. It is not safe for concurrent use.
	Pacer struct {
		// MissTolerance is how long a victim may miss its target because of best-effort tasks. If it is 0, there are no work periods, so overdue tasks
		// may make no progress.
		MissTolerance time.Duration

		// processorsScarce reports that best-effort work is short of processors.
		processorsScarce bool
		// missedSince is the time since which some target has been missed without a break, or the zero time if none is missed now.
		missedSince time.Time
		// workUntil is the end of the last work period, or the zero time if there was none.
		workUntil time.Time
	}
)

// SetProcessorsScarce sets whether best-effort work is short of processors, so that less distance is kept to the limits of the victims.
func (p *Pacer) SetProcessorsScarce(scarce bool) { p.processorsScarce = scarce }

func share(s float64, d time.Duration) time.Duration { return time.Duration(s * float64(d)) }

// Paces returns the pace of each best-effort task in percent, by the names of the tasks. If a victim's utilisation would be too close to
// its limit with all tasks at full pace, Paces throttles the tasks first whose work is worth least for their interference with the victim. Overdue tasks work at full pace in
// work periods, so that they make progress whatever the victims' own loads are.
func (p *Pacer) Paces(victims []Victim, tasks []BestEffortTask, now time.Time) map[string]int {
	anyMissed := slices.ContainsFunc(victims, func(v Victim) bool { return v.TargetMissed })
	if !anyMissed {
		p.missedSince = time.Time{}
	} else if p.missedSince.IsZero() {
		p.missedSince = now
	}
	pausing := anyMissed && now.Sub(p.missedSince) > share(pauseAfterShare, p.MissTolerance)
	paceShares := make([]float64, len(tasks))
	for n := range paceShares {
		paceShares[n] = 1
	}
	for n, v := range victims {
		if pausing && v.TargetMissed {
			pauseInterfering(n, tasks, paceShares)
			continue
		}
		reducePaceShares(n, v, p.margin(v), tasks, paceShares)
	}
	if p.inWorkPeriod(tasks, paceShares, now) {
		for n, f := range tasks {
			if f.Overdue {
				paceShares[n] = 1
			}
		}
	}
	paces := map[string]int{}
	for n, f := range tasks {
		paces[f.Name] = int(paceShares[n]*FullPercent + 0.5)
	}
	return paces
}

// inWorkPeriod reports whether overdue tasks work at full pace now. It begins a work period if an overdue task has less than the share of its full pace
// that the periods give it, and no target has been missed on the VM for so short a time that the tasks may be the cause. While one target is missed
// anyway, a period may begin in the middle of another one's miss, of which the part before is not caused by the period.
func (p *Pacer) inWorkPeriod(tasks []BestEffortTask, paceShares []float64, now time.Time) bool {
	if now.Before(p.workUntil) {
		return true
	}
	length := share(workShare, p.MissTolerance)
	if length <= 0 {
		// No target may be missed at all.
		return false
	}
	if !p.workUntil.IsZero() && now.Sub(p.workUntil) < restPeriods*length {
		return false
	}
	if !p.missedSince.IsZero() && now.Sub(p.missedSince) < share(pauseAfterShare+recoveryShare, p.MissTolerance) {
		return false
	}
	for n, f := range tasks {
		if f.Overdue && paceShares[n] < 1.0/(1+restPeriods) {
			p.workUntil = now.Add(length)
			return true
		}
	}
	return false
}

// Working reports whether overdue tasks worked at full pace after the last call of Paces.
func (p *Pacer) Working(now time.Time) bool { return now.Before(p.workUntil) }

// TargetMissed reports whether a target was missed at the last call of Paces.
func (p *Pacer) TargetMissed() bool { return !p.missedSince.IsZero() }

// pauseInterfering pauses all tasks that interfere with the victim: it sets their shares of the full pace to 0. victimIndex is the position of
// the victim in the Interference of the tasks, and paceShares holds the share of each task.
func pauseInterfering(victimIndex int, tasks []BestEffortTask, paceShares []float64) {
	for n, f := range tasks {
		if f.AddedUtilisation[victimIndex] >= minInterference {
			paceShares[n] = 0
		}
	}
}

// margin returns the distance that is kept to the utilisation at which the victim misses its target.
func (p *Pacer) margin(v Victim) float64 {
	switch {
	case p.processorsScarce && v.TargetMissed:
		return scarceMissedTargetMargin
	case p.processorsScarce:
		return scarceMargin
	case v.TargetMissed:
		return missedTargetMargin
	}
	return utilisationMargin
}

// reducePaceShares reduces the tasks' shares of the full pace until the predicted utilisation of the victim is below its limit by the
// margin, or all tasks that interfere with the victim are paused.
func reducePaceShares(victimIndex int, v Victim, margin float64, tasks []BestEffortTask, paceShares []float64) {
	excess := v.OwnLoad + margin - v.Limit
	interferingIndexes := make([]int, 0, len(tasks))
	for n, f := range tasks {
		excess += f.AddedUtilisation[victimIndex] * paceShares[n]
		if f.AddedUtilisation[victimIndex] >= minInterference {
			interferingIndexes = append(interferingIndexes, n)
		}
	}
	slices.SortFunc(interferingIndexes, func(a, b int) int {
		x, y := tasks[a], tasks[b]
		return cmp.Or(
			cmp.Compare(x.Weight/x.AddedUtilisation[victimIndex], y.Weight/y.AddedUtilisation[victimIndex]),
			cmp.Compare(y.AddedUtilisation[victimIndex], x.AddedUtilisation[victimIndex]), cmp.Compare(x.Name, y.Name),
		)
	})
	for _, n := range interferingIndexes {
		if excess <= 0 {
			return
		}
		reduction := min(paceShares[n], excess/tasks[n].AddedUtilisation[victimIndex])
		paceShares[n] -= reduction
		excess -= reduction * tasks[n].AddedUtilisation[victimIndex]
	}
}
