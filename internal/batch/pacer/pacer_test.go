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
})
