// Package bookkeeper tracks the state of batch jobs: which of their tasks wait, run and are done. It does not place tasks and does no
// I/O.
package bookkeeper

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bamboohook/internal/batch/job"
)

// States of a job.
const (
	StateQueued    = "queued"
	StateRunning   = "running"
	StateCompleted = "completed"
	StateFailed    = "failed"
	StateCancelled = "cancelled"
)

type (
	// Bookkeeper tracks all jobs of the owner. It is not safe for concurrent use.
	Bookkeeper struct {
		jobs map[string]*Job
		// live holds the jobs that have not ended.
		live map[string]*Job
	}

	// Job is a submitted job with its progress.
	Job struct {
		job.Job
		openedOccurrences map[int]*occurrence
		// openedOccurrences is the number of occurrences that have become due.
		nextOccurrence      int
		finishedOccurrences int
		started             bool
		state               string
		endedAt             time.Time
		// visibleState is the state that callers may see. The end of a job becomes visible once it is recorded.
		visibleState string
	}

	occurrence struct {
		number          int
		steps           []*Step
		unfinishedSteps int
	}

	// Step is a step in one occurrence of a job.
	Step struct {
		job.Step
		Job        *Job
		Occurrence int
		Number     int
		Tasks      []*Task
		remaining  int
		ready      bool
		readyAt    time.Time
		// readySinceTakeover reports whether no earlier owner can have started a task of the step.
		notStartedByEarlierOwners bool
	}

	// Task is a task with the known state of its runs.
	Task struct {
		Step  *Step
		Index int
		done  bool
		// failedRuns holds the numbers of the failed runs. Runs that were stopped or lost with their VM don't count.
		failedRuns []int
		checkpoint string
		lastRun    int
		waiting    bool
		running    bool
		// runObserved reports whether a run was ordered or found while the bookkeeper has known the job.
		runObserved  bool
		waitingSince time.Time
	}
)

// New returns a Bookkeeper without jobs.
func New() *Bookkeeper {
	return &Bookkeeper{jobs: map[string]*Job{}, live: map[string]*Job{}}
}

// Job returns the job with the id, or nil if it is unknown.
func (b *Bookkeeper) Job(id string) *Job { return b.jobs[id] }

// Live returns the jobs that have not ended, in the order of their acceptance.
func (b *Bookkeeper) Live() []*Job {
	return slices.SortedFunc(maps.Values(b.live), func(x, y *Job) int {
		return cmp.Or(x.AcceptedAt.Compare(y.AcceptedAt), cmp.Compare(x.ID, y.ID))
	})
}

// Counts returns the number of all known jobs, and of those that have not ended.
func (b *Bookkeeper) Counts() (known, live int) { return len(b.jobs), len(b.live) }

// Accept adds a job and returns it. A job that is already known is returned unchanged.
func (b *Bookkeeper) Accept(j job.Job) *Job {
	if known, ok := b.jobs[j.ID]; ok {
		return known
	}
	added := &Job{Job: j, openedOccurrences: map[int]*occurrence{}, state: StateQueued, visibleState: StateQueued}
	b.jobs[j.ID] = added
	b.live[j.ID] = added
	return added
}

// Remove removes the job.
func (b *Bookkeeper) Remove(id string) {
	delete(b.jobs, id)
	delete(b.live, id)
}

// RemoveEnded removes the jobs that ended before the given time, and calls dropped for each of them first.
func (b *Bookkeeper) RemoveEnded(endedBefore time.Time, beforeRemoval func(*Job)) {
	for id, j := range b.jobs {
		if !j.Live() && j.endedAt.Before(endedBefore) {
			beforeRemoval(j)
			b.Remove(id)
		}
	}
}

// OpenDueOccurrences creates the tasks of all occurrences that are due. It returns when the next occurrence is due, or the zero time if
// there is none.
func (b *Bookkeeper) OpenDueOccurrences(j *Job, now time.Time) time.Time {
	for j.Live() && j.nextOccurrence < j.Occurrences {
		due := j.Due(j.nextOccurrence)
		if due.After(now) {
			return due
		}
		j.openOccurrence(j.nextOccurrence, now)
		j.nextOccurrence++
	}
	return time.Time{}
}

// openOccurrence creates the tasks of the occurrence unless they were restored from a record, and marks its ready steps.
func (j *Job) openOccurrence(number int, now time.Time) *occurrence {
	o, ok := j.openedOccurrences[number]
	if !ok {
		o = &occurrence{number: number, unfinishedSteps: len(j.Steps)}
		for n, s := range j.Steps {
			step := &Step{Step: s, Job: j, Occurrence: number, Number: n, remaining: s.TaskCount}
			for i := range s.TaskCount {
				step.Tasks = append(step.Tasks, &Task{Step: step, Index: i})
			}
			o.steps = append(o.steps, step)
		}
		j.openedOccurrences[number] = o
	}
	o.markReadySteps(now)
	return o
}

// markReadySteps marks the steps as ready whose dependencies are done.
func (o *occurrence) markReadySteps(now time.Time) {
	for _, s := range o.steps {
		if s.ready || s.remaining == 0 {
			continue
		}
		if slices.ContainsFunc(s.After, func(n int) bool { return o.steps[n].remaining > 0 }) {
			continue
		}
		s.ready, s.readyAt = true, now
		s.notStartedByEarlierOwners = slices.ContainsFunc(s.After, func(n int) bool {
			return o.steps[n].notStartedByEarlierOwners || slices.ContainsFunc(o.steps[n].Tasks, (*Task).wasRunObserved)
		})
		for _, t := range s.Tasks {
			// The owner may have found a run of the task on a VM before it learned that the step is ready.
			if !t.done && !t.running {
				t.waiting, t.waitingSince = true, now
			}
		}
	}
}

// Task returns the task, or nil if it does not exist or its occurrence is not due.
func (b *Bookkeeper) Task(id job.Task) *Task {
	j, ok := b.jobs[id.Job]
	if !ok {
		return nil
	}
	o, ok := j.openedOccurrences[id.Occurrence]
	if !ok || id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].Tasks) {
		return nil
	}
	return o.steps[id.Step].Tasks[id.Index]
}

// VisitReady calls visit for each ready step with tasks that are not done, in the order in which the jobs were accepted.
func (b *Bookkeeper) VisitReady(visit func(*Step)) {
	for _, j := range b.Live() {
		for _, number := range slices.Sorted(maps.Keys(j.openedOccurrences)) {
			for _, s := range j.openedOccurrences[number].steps {
				if s.ready && s.remaining > 0 {
					visit(s)
				}
			}
		}
	}
}

// RunStarted records that a run of the task was ordered or found.
func (b *Bookkeeper) RunStarted(t *Task, run int) {
	t.waiting, t.running, t.runObserved = false, true, true
	t.lastRun = max(t.lastRun, run)
	j := t.Step.Job
	j.started = true
	if j.state == StateQueued {
		j.state = StateRunning
	}
	if j.visibleState == StateQueued {
		j.visibleState = StateRunning
	}
}

// TaskDone records that the task is done. If the step is a gang, all its tasks are done. It returns false if the task was done before.
func (b *Bookkeeper) TaskDone(t *Task, now time.Time) bool {
	if t.done {
		return false
	}
	s := t.Step
	if s.Gang {
		for _, member := range s.Tasks {
			member.done, member.waiting = true, false
		}
		s.remaining = 0
	} else {
		t.done, t.waiting = true, false
		s.remaining--
	}
	o := s.Job.openedOccurrences[s.Occurrence]
	if s.remaining > 0 {
		return true
	}
	o.unfinishedSteps--
	o.markReadySteps(now)
	if o.unfinishedSteps > 0 || !s.Job.Live() {
		return true
	}
	s.Job.finishedOccurrences++
	if s.Job.finishedOccurrences == s.Job.Occurrences {
		b.endJob(s.Job, StateCompleted, now)
	}
	return true
}

// RunFailed records that a run failed. The job fails once a task has limit failed runs; 0 means no limit, and long-running tasks have
// none. A run counts once, even if its result is reported repeatedly or after that of a later run.
func (b *Bookkeeper) RunFailed(t *Task, run, maxFailures int, now time.Time) {
	t.ReserveRunNumber(run)
	if !slices.Contains(t.failedRuns, run) {
		t.failedRuns = append(t.failedRuns, run)
	}
	if maxFailures > 0 && !t.Step.LongRunning && len(t.failedRuns) >= maxFailures && t.Step.Job.Live() {
		b.endJob(t.Step.Job, StateFailed, now)
	}
}

// Requeue makes a task wait for its next run after a run ended without completing it. If the step is not ready yet, the task waits
// from when it becomes ready.
func (b *Bookkeeper) Requeue(t *Task, now time.Time) {
	t.running = false
	if t.done || !t.Step.Job.Live() || !t.Step.ready || t.waiting {
		return
	}
	t.waiting, t.waitingSince = true, now
}

// SetCheckpoint records the checkpoint from which the next run of the task resumes. The tasks of a gang share it. An empty checkpoint
// changes nothing.
func (b *Bookkeeper) SetCheckpoint(t *Task, checkpoint string) {
	if checkpoint == "" || !t.Step.Checkpoints {
		return
	}
	if t.Step.Gang {
		for _, member := range t.Step.Tasks {
			member.checkpoint = checkpoint
		}
		return
	}
	t.checkpoint = checkpoint
}

// Cancel ends the job. It returns false if the job had already ended.
func (b *Bookkeeper) Cancel(j *Job, now time.Time) bool {
	if !j.Live() {
		return false
	}
	b.endJob(j, StateCancelled, now)
	return true
}

func (t *Task) wasRunObserved() bool { return t.runObserved }

func (b *Bookkeeper) endJob(j *Job, state string, now time.Time) {
	j.state, j.endedAt = state, now
	delete(b.live, j.ID)
	for _, o := range j.openedOccurrences {
		for _, s := range o.steps {
			for _, t := range s.Tasks {
				t.waiting = false
			}
		}
	}
}
