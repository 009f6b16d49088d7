package coordinator

import (
	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/fleet/messenger"
)

// effect is what the end of a run means for its task.
type effect int

const (
	// effectRestart means that the task needs another run.
	effectRestart effect = iota
	// effectFailure means that the task needs another run, unless it has reached the failure limit of its queue.
	effectFailure
	// effectCompletion means that the task is done, and so are the other tasks if it belongs to a gang.
	effectCompletion
)

// effectOf returns the effect of a run's outcome on a task of the step, whether the run is the current one of its task or an earlier one. A
// long-running task runs until its job is cancelled, however its runs end.
func effectOf(s *bookkeeper.Step, outcome string) effect {
	switch {
	case s.LongRunning:
		return effectRestart
	case outcome == messenger.RunDone:
		return effectCompletion
	case outcome == messenger.RunFailed:
		return effectFailure
	}
	return effectRestart
}
