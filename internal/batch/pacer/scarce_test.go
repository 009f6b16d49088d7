package pacer_test

import (
	"maps"
	"testing"
	"time"

	"bamboohook/internal/batch/pacer"
)

// The load is that of a VM whose only victim leaves room for half of the interference of the best-effort tasks there, while the fleet is short of processors.

// Guards against a shortage in which each job gets a part of the room, so that none is in time, and against tasks that use the room least well.
func TestWorthlessWorkIsThrottledFirst(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	type task struct{ weight, interference float64 }
	for name, c := range map[string]struct {
		tasks map[string]task
		want  map[string]int
	}{
		"by value at the same interference": {
			map[string]task{"a": {1, 0.2}, "b": {3, 0.2}, "c": {2, 0.2}}, map[string]int{"a": 0, "b": 100, "c": 80},
		},
		"by interference at the same value": {
			map[string]task{"a": {1, 0.1}, "b": {1, 0.4}}, map[string]int{"a": 100, "b": 65},
		},
		"a valuable task goes before one that interferes less": {
			map[string]task{"a": {1, 0.2}, "b": {10, 0.4}}, map[string]int{"a": 0, "b": 90},
		},
		"without weights by interference": {
			map[string]task{"a": {0, 0.2}, "b": {0, 0.4}}, map[string]int{"a": 100, "b": 40},
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := &pacer.Pacer{MissTolerance: 4 * time.Second}
			var tasks []pacer.BestEffortTask
			for taskName, x := range c.tasks {
				tasks = append(tasks, pacer.BestEffortTask{Name: taskName, Weight: x.weight, AddedUtilisation: []float64{x.interference}})
			}
			if got := p.Paces([]pacer.Victim{{OwnLoad: 0.4, Limit: 0.8}}, tasks, now); !maps.Equal(got, c.want) {
				t.Errorf("paces %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a distance to the limits that costs callers of best-effort jobs a tenth of the processors while these are short, and against targets that
// are missed for longer than MissTolerance because that distance is smaller.
func TestDistanceToLimitsUnderShortage(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	p := &pacer.Pacer{MissTolerance: 4 * time.Second}
	p.SetProcessorsScarce(true)
	tasks := []pacer.BestEffortTask{{Name: "a", AddedUtilisation: []float64{0.4}}}
	if got := p.Paces([]pacer.Victim{{OwnLoad: 0.4, Limit: 0.8}}, tasks, now)["a"]; got != 100 {
		t.Errorf("pace %d up to the limit, want 100", got)
	}
	missed := []pacer.Victim{{OwnLoad: 0.4, Limit: 0.8, TargetMissed: true}}
	if got := p.Paces(missed, tasks, now)["a"]; got >= 100 {
		t.Errorf("pace %d while the target is missed, want less than 100", got)
	}
	if got := p.Paces(missed, tasks, now.Add(2300*time.Millisecond))["a"]; got != 0 {
		t.Errorf("pace %d after more than half of MissTolerance, want 0", got)
	}
	p.SetProcessorsScarce(false)
	if got := p.Paces([]pacer.Victim{{OwnLoad: 0.4, Limit: 0.8}}, tasks, now.Add(3*time.Second))["a"]; got != 90 {
		t.Errorf("pace %d without a shortage, want 90", got)
	}
}
