package bookkeeper

import (
	"time"

	"bamboohook/internal/batch/job"
)

// Live reports whether the job has not ended.
func (j *Job) Live() bool {
	return j.state == StateQueued || j.state == StateRunning
}

// State returns the current state of the job, which may not be recorded in the store yet.
func (j *Job) State() string { return j.state }

// VisibleState returns the state that callers may see. The end of a job becomes visible once it is recorded.
func (j *Job) VisibleState() string { return j.visibleState }

// SetVisibleState sets the state that callers may see to a state that was recorded.
func (j *Job) SetVisibleState(state string) {
	if state != StateQueued {
		j.visibleState = state
	}
}

// HasStarted reports whether a task of the job was ever started.
func (j *Job) HasStarted() bool { return j.started }

// EndedAt returns when the job ended, or the zero time if it is live.
func (j *Job) EndedAt() time.Time { return j.endedAt }

// ID returns the identifier of the task.
func (t *Task) ID() job.Task {
	return job.Task{Job: t.Step.Job.ID, Occurrence: t.Step.Occurrence, Step: t.Step.Number, Index: t.Index}
}

// IsWaiting reports whether the task waits to be started.
func (t *Task) IsWaiting() bool { return t.waiting }

// IsDone reports whether the task is done.
func (t *Task) IsDone() bool { return t.done }

// WaitingSince returns when the task last became ready to start.
func (t *Task) WaitingSince() time.Time { return t.waitingSince }

// Failures returns how many runs of the task have failed. Runs that were stopped or lost with their VM don't count.
func (t *Task) Failures() int { return len(t.failedRuns) }

// Checkpoint returns the checkpoint from which the next run resumes. If it is empty, the run starts from the beginning.
func (t *Task) Checkpoint() string { return t.checkpoint }

// NextRun returns the number of the task's next run.
func (t *Task) NextRun() int { return t.lastRun + 1 }

// ObserveRun records that the run number is in use by a run that this owner did not start.
func (t *Task) ReserveRunNumber(number int) { t.lastRun = max(t.lastRun, number) }

// Remaining returns how many tasks of the step are not done.
func (s *Step) Remaining() int { return s.remaining }

// ReadySinceTakeover reports whether the step became ready under the current owner, so that no earlier owner can have started its
// tasks. This is the case if the current owner has observed a run of a task that the step depends on: the task was not done before.
func (s *Step) NotStartedByEarlierOwners() bool { return s.notStartedByEarlierOwners }

// RemainingWork returns the estimated work that is left in the occurrence of the step, in processor seconds.
func (s *Step) RemainingWork() float64 {
	work := 0.0
	for _, other := range s.Job.openedOccurrences[s.Occurrence].steps {
		work += float64(other.remaining) * other.Estimate.Seconds() * float64(other.Size.MilliProcessors) / 1000
	}
	return work
}

// ReadyAt returns when the step became ready.
func (s *Step) ReadyAt() time.Time { return s.readyAt }
