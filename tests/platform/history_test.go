package platform_test

import (
	"fmt"

	"bamboohook/internal/standin/instance"
)

const (
	eventStart = "start"
	eventDone  = "done"
)

// violations returns what the history of the endpoints shows that must never happen: two runs of one task at once, a start after the
// task was done, or a task of a job that nobody submitted.
func violations(events []instance.Event, submitted map[string]bool) []string {
	var problems []string
	runningAt, done := map[string]string{}, map[string]bool{}
	for _, e := range events {
		switch e.Kind {
		case eventStart:
			if !submitted[e.Task[:16]] {
				problems = append(problems, fmt.Sprintf("unasked: %s", e))
			}
			if other, ok := runningAt[e.Task]; ok {
				problems = append(problems, fmt.Sprintf("twice: %s while it runs at %s", e, other))
			}
			if done[e.Task] {
				problems = append(problems, fmt.Sprintf("again: %s", e))
			}
			runningAt[e.Task] = e.Instance
		default:
			if runningAt[e.Task] == e.Instance {
				delete(runningAt, e.Task)
			}
			done[e.Task] = done[e.Task] || e.Kind == eventDone
		}
	}
	return problems
}
