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

// VisibleState returns the state that callers may see. The start and the end of a job become visible once they are recorded in the store, so that no
// later owner shows an earlier state.
func (j *Job) VisibleState() string { return j.visibleState }

// HasUnrecordedStart reports whether the job is running, but callers see it as queued because its start is not recorded.
func (j *Job) HasUnrecordedStart() bool {
	return j.state == StateRunning && j.visibleState == StateQueued
}

// SetVisibleState makes a recorded state visible to callers. It ignores StateQueued, because the job may have started since the state was
// written.
func (j *Job) SetVisibleState(state string) {
	if state != StateQueued {
		j.visibleState = state
	}
}

// HasStarted reports whether a run of one of the job's tasks has started or was found.
func (j *Job) HasStarted() bool { return j.started }

// HasRun reports whether a task of the job that ends has a run, or may have one.
func (j *Job) HasRun() bool {
	for _, o := range j.openedOccurrences {
		for _, t := range o.tasks {
			if t.running && !t.done && !t.Step.LongRunning {
				return true
			}
		}
	}
	return false
}

// EndedAt returns when the job ended, or the zero time if it is live.
func (j *Job) EndedAt() time.Time { return j.endedAt }

// ID returns the identifier of the task.
func (t *Task) ID() job.Task {
	return job.Task{Job: t.Step.Job.ID, Occurrence: t.Step.Occurrence, Step: t.Step.Number, Index: t.Index}
}

// IsWaiting reports whether the task waits for its next start.
func (t *Task) IsWaiting() bool { return t.waiting }

// IsDone reports whether a run has completed the task. In a gang, a run of any of its tasks completes all of them.
func (t *Task) IsDone() bool { return t.done }

// WaitingSince returns when the task last began to wait for its start, less the time that it had lost before, by WaitingClock.
func (t *Task) WaitingSince() time.Time { return t.waitingSince }

// Failures returns how many runs of the task have failed. Runs that were stopped or were lost with their VM do not count as failed.
func (t *Task) Failures() int { return len(t.failedRuns) + t.earlierFailures }

// Checkpoint returns the checkpoint from which the next run resumes. If it is empty, the run starts from the beginning.
func (t *Task) Checkpoint() string { return t.checkpoint }

// NextRunNumber returns the number of the task's next run. The first run of a task has the number 1.
func (t *Task) NextRunNumber() int { return t.lastRunNumber + 1 }

// SkipRunNumbersTo makes later runs of the task get numbers above the given one.
func (t *Task) SkipRunNumbersTo(number int) {
	if number <= t.lastRunNumber {
		return
	}
	t.lastRunNumber = number
	if number > 1 {
		t.changed()
	}
}

// Remaining returns how many tasks of the step are not done.
func (s *Step) Remaining() int { return s.remaining }

// NotStartedByEarlierOwners reports whether the step certainly became ready under the current owner, so that no earlier owner can have
// started its tasks. This is the case if a task that the step depends on certainly was not done for any earlier owner, because the current owner
// has started the task or found its first run. Otherwise, it is unknown whether an earlier owner has started tasks of the step.
func (s *Step) NotStartedByEarlierOwners() bool { return s.notStartedByEarlierOwners }

// RemainingWork returns the estimated work of all tasks that are not done, in all steps of the step's occurrence, in processor seconds.
func (s *Step) RemainingWork() float64 {
	work := 0.0
	for _, other := range s.Job.openedOccurrences[s.Occurrence].steps {
		work += float64(other.remaining) * other.Estimate.Seconds() * float64(other.Size.MilliProcessors) / 1000
	}
	return work
}

// Work returns the estimated work of one occurrence of the job, in processor seconds. Tasks that do not end are left out.
func (j *Job) Work() float64 {
	work := 0.0
	for _, s := range j.Steps {
		if !s.LongRunning {
			work += float64(s.TaskCount) * s.Estimate.Seconds() * float64(s.Size.MilliProcessors) / 1000
		}
	}
	return work
}

// ReadyAt returns when the step became ready, that is, when all tasks of the steps that it depends on were done, by WaitingClock.
func (s *Step) ReadyAt() time.Time { return s.readyAt }
