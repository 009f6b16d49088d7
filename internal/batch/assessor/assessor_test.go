package assessor_test

import (
	"testing"
	"time"

	"bamboohook/internal/batch/assessor"
)

// Guards against an order of work that changes with each short burst of starts, and against one that never reacts to a lasting overload.
func TestShortage(t *testing.T) {
	const step = 250 * time.Millisecond
	type phase struct {
		length            time.Duration
		requested, usable float64
		want              bool
	}
	for name, phases := range map[string][]phase{
		"no best-effort work":                   {{5 * time.Second, 0, 0, false}},
		"a burst that is throttled for 0.75 s":  {{750 * time.Millisecond, 100, 50, false}, {3 * time.Second, 100, 95, false}},
		"half of the processors for seconds":    {{3 * time.Second, 1700, 850, true}},
		"waves of the load of the victims":      {{3 * time.Second, 100, 60, true}, {3 * time.Second, 100, 95, true}, {3 * time.Second, 100, 60, true}},
		"enough again for a longer time":        {{3 * time.Second, 100, 60, true}, {5 * time.Second, 100, 95, false}},
		"between the bounds nothing changes":    {{5 * time.Second, 100, 85, false}},
		"between the bounds it stays short":     {{3 * time.Second, 100, 60, true}, {8 * time.Second, 100, 85, true}},
		"the end of all best-effort work":       {{3 * time.Second, 100, 60, true}, {5 * time.Second, 0, 0, false}},
		"a short gap in a lasting overload":     {{900 * time.Millisecond, 100, 60, false}, {step, 100, 90, false}, {900 * time.Millisecond, 100, 60, false}},
		"more usable than requested is no lack": {{3 * time.Second, 100, 120, false}},
	} {
		t.Run(name, func(t *testing.T) {
			var a assessor.Assessor
			now := time.UnixMilli(1_000_000)
			for n, p := range phases {
				for end := now.Add(p.length); now.Before(end); now = now.Add(step) {
					a.Observe(now, p.requested, p.usable)
				}
				if a.Short() != p.want {
					t.Errorf("after phase %d: short is %v, want %v (missing %.2f)", n, a.Short(), p.want, a.MissingShare())
				}
			}
		})
	}
}
