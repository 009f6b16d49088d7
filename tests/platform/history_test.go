package platform_test

import (
	"fmt"

	"bamboohook/internal/standin/instance"
)

const (
	eventStart = "start"
	eventDone  = "done"
)

// violations describes each start of a task that already runs, that is done, or whose job was not submitted. The first 16 bytes
// of a task ID are the ID of its job.
func violations(events []instance.Event, submitted map[string]bool) []string {
	var problems []string
	runningAt, done := map[string]string{}, map[string]bool{}
	for _, e := range events {
		switch e.Kind {
		case eventStart:
			if !submitted[e.Task[:16]] {
				problems = append(problems, fmt.Sprintf("job was not submitted: %s", e))
			}
			if other, ok := runningAt[e.Task]; ok {
				problems = append(problems, fmt.Sprintf("concurrent runs: %s while the task runs at %s", e, other))
			}
			if done[e.Task] {
				problems = append(problems, fmt.Sprintf("start after completion: %s", e))
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
