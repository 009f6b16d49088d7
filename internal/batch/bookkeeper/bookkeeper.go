// Package bookkeeper tracks the state of batch jobs: which of their tasks are waiting, running and done. It does not choose VMs for tasks
// and does no I/O. The owner of the jobs is the entry that manages them. When another entry becomes the owner, it restores the state of the
// jobs from their stored records.
package bookkeeper

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bamboohook/internal/batch/job"
)

// States of a job. A job in one of the last three states has ended.
const (
	StateQueued    = "queued"
	StateRunning   = "running"
	StateCompleted = "completed"
	StateFailed    = "failed"
	StateCancelled = "cancelled"
)

type (
	// Clock returns the current time.
	Clock interface {
		Now() time.Time
	}

	// Bookkeeper tracks all jobs. Set the exported field before the first use. It is not safe for concurrent use.
	Bookkeeper struct {
		// WaitingClock is the clock by which the waits of tasks are measured. It must not follow changes of the time of day, which would make tasks
		// wait longer or shorter. If it is nil, the times that are passed to the calls are used.
		WaitingClock Clock
		// jobs holds all jobs by their IDs, liveJobs those that have not ended.
		jobs     map[string]*Job
		liveJobs map[string]*Job
	}

	// Job is a submitted job with its progress.
	Job struct {
		job.Job
		// openedOccurrences holds the occurrences whose tasks have been created, by their numbers.
		openedOccurrences map[int]*occurrence
		// nextOccurrence is the number of the next occurrence whose tasks must be created.
		nextOccurrence int
		// finishedOccurrences is the number of occurrences whose tasks are all done.
		finishedOccurrences int
		// started reports whether a run of one of the job's tasks has started or was found.
		started bool
		state   string
		endedAt time.Time
		// visibleState is the state that callers may see. The start and the end of a job become visible once they are recorded in the store.
		visibleState string
		recorded     recordedProgress
	}

	// occurrence is one execution of all steps of a job.
	occurrence struct {
		number int
		steps  []*Step
		// tasks holds the tasks of all steps, in the order of the steps.
		tasks           []*Task
		unfinishedSteps int
	}

	// Step is a step in one occurrence of a job.
	Step struct {
		job.Step
		Job *Job
		// Occurrence is the number of the occurrence, Number the number of the step in the job. Both count from 0.
		Occurrence int
		Number     int
		Tasks      []*Task
		// firstTask is the number of tasks in the earlier steps of the occurrence.
		firstTask int
		// remaining is the number of tasks that are not done.
		remaining int
		// ready reports whether all tasks of the steps that this step depends on are done.
		ready   bool
		readyAt time.Time
		// notStartedByEarlierOwners reports whether certainly no earlier owner has started a task of the step.
		notStartedByEarlierOwners bool
	}

	// Task is a task with the known state of its runs.
	Task struct {
		Step *Step
		// Index is the number of the task in its step, counted from 0.
		Index int
		// done reports whether a run has completed the task. In a gang, a run of any of its tasks completes all of them.
		done bool
		// failedRuns holds the failed runs. Runs that were stopped or were lost with their VM do not count as failed.
		// earlierFailures is the number of those beyond the last maxKeptFailures.
		failedRuns      []failedRun
		earlierFailures int
		// checkpoint is the checkpoint from which the next run resumes. If it is empty, the run starts from the beginning.
		checkpoint string
		// lastRunNumber is the highest number that a run of the task has or that was skipped.
		lastRunNumber int
		// waiting reports whether the task waits for its next start, running whether a run of the task was started or found and has not ended.
		waiting bool
		running bool
		// notDoneAtTakeover reports whether the task certainly was not done for any earlier owner.
		notDoneAtTakeover bool
		// waitingSince is when the task last began to wait for its start, less the time that it had lost before.
		waitingSince time.Time
	}

	// failedRun identifies a failed run of a task. Two owners may give two runs on different VMs the same number, but an endpoint accepts each
	// number once. vm is empty if the run was restored from a record without VMs.
	failedRun struct {
		number int
		vm     string
	}
)

// New returns a Bookkeeper without jobs.
func New() *Bookkeeper {
	return &Bookkeeper{jobs: map[string]*Job{}, liveJobs: map[string]*Job{}}
}

// waitingTime returns the current time of WaitingClock. now is the current time of day.
func (b *Bookkeeper) waitingTime(now time.Time) time.Time {
	if b.WaitingClock == nil {
		return now
	}
	return b.WaitingClock.Now()
}

// Job returns the job with the id, or nil if it is unknown.
func (b *Bookkeeper) Job(id string) *Job { return b.jobs[id] }

// LiveJobs returns the jobs that have not ended, in the order in which they were accepted.
func (b *Bookkeeper) LiveJobs() []*Job {
	return slices.SortedFunc(maps.Values(b.liveJobs), func(x, y *Job) int {
		return cmp.Or(x.AcceptedAt.Compare(y.AcceptedAt), cmp.Compare(x.ID, y.ID))
	})
}

// CountJobs returns the number of all known jobs, and of those that have not ended.
func (b *Bookkeeper) CountJobs() (known, live int) { return len(b.jobs), len(b.liveJobs) }

// Accept adds a job and returns it. A job that is already known is returned unchanged.
func (b *Bookkeeper) Accept(j job.Job) *Job {
	if known, ok := b.jobs[j.ID]; ok {
		return known
	}
	added := &Job{Job: j, openedOccurrences: map[int]*occurrence{}, state: StateQueued, visibleState: StateQueued}
	b.jobs[j.ID] = added
	b.liveJobs[j.ID] = added
	return added
}

// Remove removes the job with the id, whether it has ended or not.
func (b *Bookkeeper) Remove(id string) {
	delete(b.jobs, id)
	delete(b.liveJobs, id)
}

// RemoveEnded removes the jobs that ended before the given time and for which mayRemove returns true.
func (b *Bookkeeper) RemoveEnded(endedBefore time.Time, mayRemove func(*Job) bool) {
	for id, j := range b.jobs {
		if !j.Live() && j.endedAt.Before(endedBefore) && mayRemove(j) {
			b.Remove(id)
		}
	}
}

// OpenDueOccurrences creates the tasks of all occurrences of the job that are due. It returns when the next occurrence is due, or the zero
// time if there is none.
func (b *Bookkeeper) OpenDueOccurrences(j *Job, now time.Time) time.Time {
	for j.Live() && j.nextOccurrence < j.Occurrences {
		due := j.Due(j.nextOccurrence)
		if due.After(now) {
			return due
		}
		j.openOccurrence(j.nextOccurrence, b.waitingTime(now))
		j.nextOccurrence++
	}
	return time.Time{}
}

// openOccurrence creates the tasks of the occurrence, unless they were restored from the store, and marks its ready steps.
func (j *Job) openOccurrence(number int, now time.Time) *occurrence {
	o, ok := j.openedOccurrences[number]
	if !ok {
		o = &occurrence{number: number, unfinishedSteps: len(j.Steps)}
		for n, s := range j.Steps {
			step := &Step{Step: s, Job: j, Occurrence: number, Number: n, remaining: s.TaskCount, firstTask: len(o.tasks)}
			for i := range s.TaskCount {
				step.Tasks = append(step.Tasks, &Task{Step: step, Index: i})
			}
			o.tasks = append(o.tasks, step.Tasks...)
			o.steps = append(o.steps, step)
		}
		j.openedOccurrences[number] = o
	}
	o.markReadySteps(now)
	return o
}

// markReadySteps marks each step as ready once all tasks of the steps that it depends on are done. The tasks of the step then wait for their
// start.
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
			return o.steps[n].notStartedByEarlierOwners || slices.ContainsFunc(o.steps[n].Tasks, (*Task).wasNotDoneAtTakeover)
		})
		for _, t := range s.Tasks {
			// An earlier owner may have started the task. The current owner may have found that run before it learned that the step is ready.
			if !t.done && !t.running {
				t.waiting, t.waitingSince = true, now
			}
		}
	}
}

// Task returns the task, or nil if it does not exist or its occurrence has not been opened.
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

// VisitReadySteps calls visit for each ready step with tasks that are not done, in the order in which the jobs were accepted. Only steps of
// jobs that have not ended are visited.
func (b *Bookkeeper) VisitReadySteps(visit func(*Step)) {
	for _, j := range b.LiveJobs() {
		for _, number := range slices.Sorted(maps.Keys(j.openedOccurrences)) {
			for _, s := range j.openedOccurrences[number].steps {
				if s.ready && s.remaining > 0 {
					visit(s)
				}
			}
		}
	}
}

// RunOrdered records that the current owner has ordered the start of a run of the task. The run may not exist, so the job has not started yet.
func (*Bookkeeper) RunOrdered(t *Task, number int) {
	t.markRunning(number)
	t.notDoneAtTakeover = true
}

// RunFound records that a run of the task that the current owner did not start has been found on a VM and has not ended. identified reports whether
// the run certainly exists and no other run of the task can have its number. Only the first run of a task that is not in a gang shows that no earlier
// owner has seen the task done: a task with a later run may have been completed by a late result of an earlier one, and a gang by any of its members.
func (*Bookkeeper) RunFound(t *Task, number int, identified bool) {
	t.markRunning(number)
	t.notDoneAtTakeover = t.notDoneAtTakeover || identified && number == 1 && !t.Step.Gang
}

// markRunning records that a run of the task with the number may exist.
func (t *Task) markRunning(number int) {
	t.waiting, t.running = false, true
	t.SkipRunNumbersTo(number)
}

// RunStarted records that a run of the task has started.
func (b *Bookkeeper) RunStarted(t *Task, number int) {
	b.RunOrdered(t, number)
	b.JobStarted(t.Step.Job)
}

// JobStarted records that a run of one of the job's tasks exists or has existed. Callers see that once it is recorded.
func (*Bookkeeper) JobStarted(j *Job) {
	j.started = true
	if j.state == StateQueued {
		j.state = StateRunning
	}
}

// TaskDone records that the task is done. If the step is a gang, all tasks of the step are then done. TaskDone returns false if the task was
// done before. A long-running task is never done.
func (b *Bookkeeper) TaskDone(t *Task, now time.Time) bool {
	if t.done || t.Step.LongRunning {
		return false
	}
	s := t.Step
	if s.Gang {
		for _, member := range s.Tasks {
			member.done, member.waiting = true, false
			member.changed()
		}
		s.remaining = 0
	} else {
		t.done, t.waiting = true, false
		t.changed()
		s.remaining--
	}
	o := s.Job.openedOccurrences[s.Occurrence]
	if s.remaining > 0 {
		return true
	}
	o.unfinishedSteps--
	o.markReadySteps(b.waitingTime(now))
	if o.unfinishedSteps > 0 || !s.Job.Live() {
		return true
	}
	o.dropBlocks(&s.Job.recorded)
	s.Job.finishedOccurrences++
	if s.Job.finishedOccurrences == s.Job.Occurrences {
		b.endJob(s.Job, StateCompleted, now)
	}
	return true
}

// RunFailed records that the run of the task with the number failed on the VM. The job fails once the task, or the gang to which it belongs, has
// failureLimit failed runs, unless failureLimit is 0. The failures of a long-running task are not counted. A run counts once, even if its result is reported repeatedly or after that of a later run.
func (b *Bookkeeper) RunFailed(t *Task, number int, vm string, failureLimit int, now time.Time) {
	t.SkipRunNumbersTo(number)
	if t.Step.LongRunning {
		return
	}
	failed := failedRun{number, vm}
	if !slices.Contains(t.failedRuns, failed) {
		if n := slices.Index(t.failedRuns, failedRun{number: number}); n >= 0 {
			// The run on an unknown VM may be this one.
			t.failedRuns[n] = failed
		} else {
			t.failedRuns = append(t.failedRuns, failed)
		}
		if len(t.failedRuns) > maxKeptFailures {
			t.failedRuns = t.failedRuns[1:]
			t.earlierFailures++
		}
		t.changed()
	}
	failures := t.Failures()
	if t.Step.Gang {
		failures = max(failures, t.Step.gangFailures())
	}
	if failureLimit > 0 && failures >= failureLimit && t.Step.Job.Live() {
		b.endJob(t.Step.Job, StateFailed, now)
	}
}

// gangFailures returns how many runs of the gang have failed. The runs of its tasks that work together have the same number.
func (s *Step) gangFailures() int {
	numbers := map[int]struct{}{}
	earlier := 0
	for _, t := range s.Tasks {
		earlier = max(earlier, t.earlierFailures)
		for _, f := range t.failedRuns {
			numbers[f.number] = struct{}{}
		}
	}
	return earlier + len(numbers)
}

// WaitAgain makes the task wait for its next start after one of its runs has ended without completing it. If the step is not ready yet, the
// task waits from when the step becomes ready. lost is the time before now in which the task has waited or could not work. It counts as waited, so
// that runs without progress do not make the task wait from the beginning.
func (b *Bookkeeper) WaitAgain(t *Task, now time.Time, lost time.Duration) {
	t.running = false
	if t.done || !t.Step.Job.Live() || !t.Step.ready || t.waiting {
		return
	}
	t.waiting, t.waitingSince = true, b.waitingTime(now).Add(-lost)
}

// SetCheckpoint records the checkpoint from which the next run of the task resumes. The tasks of a gang share one checkpoint. SetCheckpoint
// ignores an empty checkpoint and steps without checkpoints.
func (b *Bookkeeper) SetCheckpoint(t *Task, checkpoint string) {
	if checkpoint == "" || !t.Step.Resumable {
		return
	}
	if t.Step.Gang {
		for _, member := range t.Step.Tasks {
			member.checkpoint = checkpoint
			member.changed()
		}
		return
	}
	t.checkpoint = checkpoint
	t.changed()
}

// Cancel ends the job in StateCancelled. It returns false if the job had already ended.
func (b *Bookkeeper) Cancel(j *Job, now time.Time) bool {
	if !j.Live() {
		return false
	}
	b.endJob(j, StateCancelled, now)
	return true
}

func (t *Task) wasNotDoneAtTakeover() bool { return t.notDoneAtTakeover }

// endJob ends the job in the state. Its tasks no longer wait.
func (b *Bookkeeper) endJob(j *Job, state string, now time.Time) {
	j.state, j.endedAt = state, now
	j.dropBlocks()
	delete(b.liveJobs, j.ID)
	for _, o := range j.openedOccurrences {
		for _, s := range o.steps {
			for _, t := range s.Tasks {
				t.waiting = false
			}
		}
	}
}
