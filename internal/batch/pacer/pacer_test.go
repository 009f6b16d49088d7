package pacer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/pacer"
)

var _ = Describe("Pacer", func() {
	now := time.UnixMilli(1_000_000)
	bestEffortTasks := func(interference ...float64) []pacer.BestEffortTask {
		var tasks []pacer.BestEffortTask
		for n, p := range interference {
			tasks = append(tasks, pacer.BestEffortTask{Name: string(rune('a' + n)), AddedUtilisation: []float64{p}})
		}
		return tasks
	}

	for name, c := range map[string]struct {
		ownLoad      float64
		interference []float64
		want         map[string]int
	}{
		"returns no paces without best-effort tasks":                                  {0.9, nil, map[string]int{}},
		"throttles no task while the victim is far below its limit":                   {0.4, []float64{0.1, 0.1}, map[string]int{"a": 100, "b": 100}},
		"throttles the task that interferes most":                                     {0.4, []float64{0.1, 0.4}, map[string]int{"a": 100, "b": 65}},
		"throttles a second task once the first one is paused":                        {0.6, []float64{0.2, 0.4}, map[string]int{"a": 80, "b": 0}},
		"does not throttle a task with negligible interference":                       {0.9, []float64{0.001, 0.4}, map[string]int{"a": 100, "b": 0}},
		"pauses an interfering task if the own load of the victim is above its limit": {0.9, []float64{0.1}, map[string]int{"a": 0}},
	} {
		It("sets the paces for one victim: "+name, func() {
			p := &pacer.Pacer{MissTolerance: 4 * time.Second}
			Expect(p.Paces([]pacer.Victim{{OwnLoad: c.ownLoad, Limit: 0.8}}, bestEffortTasks(c.interference...), now)).To(Equal(c.want))
		})
	}

	It("throttles the tasks that interfere with any of several victims", func() {
		p := &pacer.Pacer{MissTolerance: 4 * time.Second}
		paces := p.Paces([]pacer.Victim{{OwnLoad: 0.4, Limit: 0.8}, {OwnLoad: 0.6, Limit: 0.8}}, []pacer.BestEffortTask{
			{Name: "first", AddedUtilisation: []float64{0.72, 0}}, {Name: "second", AddedUtilisation: []float64{0, 0.32}},
		}, now)
		Expect(paces).To(Equal(map[string]int{"first": 50, "second": 50}))
	})

	// Guards against targets that are missed for longer than MissTolerance because the interference of the tasks is higher than estimated.
	It("pauses all interfering tasks before a target has been missed for MissTolerance", func() {
		p := &pacer.Pacer{MissTolerance: 4 * time.Second}
		victims := []pacer.Victim{{OwnLoad: 0.3, Limit: 0.8, TargetMissed: true}}
		Expect(p.Paces(victims, bestEffortTasks(0.1), now)).To(Equal(map[string]int{"a": 100}))
		Expect(p.TargetMissed()).To(BeTrue())
		Expect(p.Paces(victims, bestEffortTasks(0.1), now.Add(2*time.Second))).To(Equal(map[string]int{"a": 100}))
		Expect(p.Paces(victims, bestEffortTasks(0.1, 0.001), now.Add(2300*time.Millisecond))).To(Equal(map[string]int{"a": 0, "b": 100}))
		Expect(p.Paces([]pacer.Victim{{OwnLoad: 0.3, Limit: 0.8}}, bestEffortTasks(0.1), now.Add(3*time.Second))).To(Equal(map[string]int{"a": 100}))
		Expect(p.TargetMissed()).To(BeFalse())
	})

	// simulate calls Paces every 200 ms for the given time. missed tells whether a target is missed. It returns the part of the time in which the overdue
	// task "a" works at full pace, and the longest time on end.
	simulate := func(p *pacer.Pacer, ownLoad float64, missed func(working bool, sinceWork time.Duration) bool, overdue bool, d time.Duration) (share float64, longest time.Duration) {
		const step = 200 * time.Millisecond
		var worked, onEnd time.Duration
		workedAt, working := now, false
		for at := now; at.Before(now.Add(d)); at = at.Add(step) {
			tasks := bestEffortTasks(0.5, 0.2)
			tasks[0].Overdue = overdue
			paces := p.Paces([]pacer.Victim{{OwnLoad: ownLoad, Limit: 0.8, TargetMissed: missed(working, at.Sub(workedAt))}}, tasks, at)
			working = paces["a"] == 100
			onEnd += step
			if !working {
				onEnd = 0
				continue
			}
			worked += step
			workedAt, longest = at, max(longest, onEnd)
		}
		return float64(worked) / float64(d), longest
	}
	never := func(bool, time.Duration) bool { return false }
	// Guards against an overdue task that never works because a victim is near its limit.
	for name, c := range map[string]struct {
		ownLoad float64
		missed  func(working bool, sinceWork time.Duration) bool
		overdue bool
		atLeast float64
	}{
		"near the limit":              {0.79, never, true, 0.2},
		"beyond the limit on its own": {0.9, func(bool, time.Duration) bool { return true }, true, 0.2},
		"beyond the limit by the task": {
			0.79, func(working bool, sinceWork time.Duration) bool { return working || sinceWork < time.Second }, true, 0.2,
		},
		"near the limit, for a task that is not overdue": {0.79, never, false, 0},
	} {
		It("lets an overdue task work for a share of the time, but not for long on end: victim "+name, func() {
			share, longest := simulate(&pacer.Pacer{MissTolerance: 4 * time.Second}, c.ownLoad, c.missed, c.overdue, time.Minute)
			Expect(share).To(BeNumerically(">=", c.atLeast))
			Expect(share).To(BeNumerically("<=", 0.27))
			Expect(longest).To(BeNumerically("<=", 1800*time.Millisecond))
			if !c.overdue {
				Expect(share).To(BeZero())
			}
		})
	}

	// Guards against a target that is missed for longer than MissTolerance because a work period begins while it is already missed.
	It("begins no work period while a target is missed, until the interfering tasks have been paused for long enough", func() {
		p := &pacer.Pacer{MissTolerance: 4 * time.Second}
		tasks := bestEffortTasks(0.5)
		tasks[0].Overdue = true
		victims := []pacer.Victim{{OwnLoad: 0.79, Limit: 0.8, TargetMissed: true}}
		for at := now; at.Before(now.Add(3200 * time.Millisecond)); at = at.Add(200 * time.Millisecond) {
			Expect(p.Paces(victims, tasks, at)["a"]).To(BeNumerically("<", 100))
		}
		Expect(p.Paces(victims, tasks, now.Add(3200*time.Millisecond))).To(Equal(map[string]int{"a": 100}))
	})
})
