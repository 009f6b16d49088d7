package bookkeeper

import (
	"time"

	"bamboohook/internal/batch/job"
)

// Live reports whether the job has not ended.
func (j *Job) Live() bool {
	return j.state == StateQueued || j.state == StateRunning
}

// State returns the state by all that is known, recorded or not.
func (j *Job) State() string { return j.state }

// VisibleState returns the state that callers may see.
func (j *Job) VisibleState() string { return j.shown }

// SetVisibleState makes the state of a record visible to callers.
func (j *Job) SetVisibleState(state string) {
	if state != StateQueued {
		j.shown = state
	}
}

// HasStarted reports whether a task of the job was ever started.
func (j *Job) HasStarted() bool { return j.started }

// EndedAt returns when the job ended; zero for one that is live.
func (j *Job) EndedAt() time.Time { return j.ended }

// ID returns the task's name.
func (t *Task) ID() job.Task {
	return job.Task{Job: t.Step.Job.ID, Occurrence: t.Step.Occurrence, Step: t.Step.Number, Index: t.Index}
}

// IsWaiting reports whether the task may be started.
func (t *Task) IsWaiting() bool { return t.waiting }

// IsDone reports whether the task is done.
func (t *Task) IsDone() bool { return t.done }

// WaitingSince returns when the task last became ready to start.
func (t *Task) WaitingSince() time.Time { return t.waitsSince }

// Failures returns how many runs of the task failed by themselves.
func (t *Task) Failures() int { return len(t.failed) }

// Checkpoint returns where the next run resumes; empty means at the start.
func (t *Task) Checkpoint() string { return t.checkpoint }

// NextRun returns the number for the next run of the task.
func (t *Task) NextRun() int { return t.lastRun + 1 }

// ObserveRun notes a number that was used by a run that this owner did not start.
func (t *Task) ObserveRun(number int) { t.lastRun = max(t.lastRun, number) }

// Remaining returns how many tasks of the step are not done.
func (s *Step) Remaining() int { return s.remaining }

// ReadySinceTakeover reports whether only the owner of this bookkeeper can have started tasks of the step: it became ready by tasks of which this
// owner has seen a run, so they were not done before.
func (s *Step) ReadySinceTakeover() bool { return s.fresh }

// RemainingWork returns the work that is left of the step's occurrence by its estimates, in processor seconds.
func (s *Step) RemainingWork() float64 {
	left := 0.0
	for _, other := range s.Job.occurrences[s.Occurrence].steps {
		left += float64(other.remaining) * other.Estimate.Seconds() * float64(other.Size.MilliProcessors) / 1000
	}
	return left
}

// ReadyAt returns when the step became ready.
func (s *Step) ReadyAt() time.Time { return s.readyAt }
