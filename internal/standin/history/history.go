// Package history checks what endpoints have seen of the runs of tasks.
package history

import (
	"fmt"

	"bamboohook/internal/standin/instance"
)

const (
	eventStart      = "start"
	eventDone       = "done"
	eventResultLost = "result-lost"
	eventNoted      = "noted"
)

// doneRun is a run that has completed its task.
type doneRun struct {
	instance string
	run      int
}

// Violations describes each start of a task that already runs, that is done, or whose job was not submitted. A task whose result was lost
// with its instance before the owner had recorded it is not done, because nobody can know that it was. The first 16 bytes of a task ID are
// the ID of its job.
func Violations(events []instance.Event, submitted map[string]bool) []string {
	var problems []string
	runningAt, doneAt := map[string]string{}, map[string]doneRun{}
	for _, e := range events {
		switch e.Kind {
		case eventStart:
			if !submitted[e.Task[:16]] {
				problems = append(problems, fmt.Sprintf("job was not submitted: %s", e))
			}
			if other, ok := runningAt[e.Task]; ok {
				problems = append(problems, fmt.Sprintf("concurrent runs: %s while the task runs at %s", e, other))
			}
			if _, ok := doneAt[e.Task]; ok {
				problems = append(problems, fmt.Sprintf("start after completion: %s", e))
			}
			runningAt[e.Task] = e.Instance
		case eventNoted:
		case eventResultLost:
			if doneAt[e.Task] == (doneRun{e.Instance, e.Run}) {
				delete(doneAt, e.Task)
			}
		default:
			if runningAt[e.Task] == e.Instance {
				delete(runningAt, e.Task)
			}
			if e.Kind == eventDone {
				doneAt[e.Task] = doneRun{e.Instance, e.Run}
			}
		}
	}
	return problems
}
