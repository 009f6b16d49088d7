package platform_test

import (
	"fmt"

	"bamboohook/internal/standin/instance"
)

const (
	howStart = "start"
	howDone  = "done"
)

// violations returns what the history of the endpoints shows that must never happen: two runs of one task at once, a start after the
// task was done, or a task of a job that nobody submitted.
func violations(events []instance.Event, submitted map[string]bool) []string {
	var found []string
	at, done := map[string]string{}, map[string]bool{}
	for _, e := range events {
		switch e.Kind {
		case howStart:
			if !submitted[e.Task[:16]] {
				found = append(found, fmt.Sprintf("unasked: %s", e))
			}
			if other, ok := at[e.Task]; ok {
				found = append(found, fmt.Sprintf("twice: %s while it runs at %s", e, other))
			}
			if done[e.Task] {
				found = append(found, fmt.Sprintf("again: %s", e))
			}
			at[e.Task] = e.Instance
		default:
			if at[e.Task] == e.Instance {
				delete(at, e.Task)
			}
			done[e.Task] = done[e.Task] || e.Kind == howDone
		}
	}
	return found
}
