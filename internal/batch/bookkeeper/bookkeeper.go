// Package bookkeeper keeps the state of batch jobs: which tasks wait, run and are done. It decides no placement and does no
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
	// Bookkeeper holds all jobs of one owner. It is not safe for concurrent use.
	Bookkeeper struct {
		jobs map[string]*Job
		// live are the jobs that have not ended, in the order of their acceptance.
		live map[string]*Job
	}

	// Job is a job with its progress.
	Job struct {
		job.Job
		occurrences map[int]*occurrence
		// opened is the number of occurrences that have become due.
		opened   int
		finished int
		started  bool
		state    string
		ended    time.Time
		// shown is the state that callers may see: ends count once they are recorded.
		shown string
	}

	occurrence struct {
		number int
		steps  []*Step
		open   int
	}

	// Step is a step of one occurrence.
	Step struct {
		job.Step
		Job        *Job
		Occurrence int
		Number     int
		Tasks      []*Task
		remaining  int
		ready      bool
		readyAt    time.Time
		// fresh tells that no earlier owner can have started a task of the step.
		fresh bool
	}

	// Task is one task with what is known of its runs.
	Task struct {
		Step  *Step
		Index int
		done  bool
		// failed holds the numbers of the runs that failed by themselves.
		failed     []int
		checkpoint string
		lastRun    int
		waiting    bool
		running    bool
		// seen tells that a run was ordered or found since the bookkeeper knows the job.
		seen       bool
		waitsSince time.Time
	}
)

// New returns a Bookkeeper without jobs.
func New() *Bookkeeper {
	return &Bookkeeper{jobs: map[string]*Job{}, live: map[string]*Job{}}
}

// Job returns the job, or nil if it is not known.
func (b *Bookkeeper) Job(id string) *Job { return b.jobs[id] }

// Live returns the jobs that have not ended, in the order of their acceptance.
func (b *Bookkeeper) Live() []*Job {
	return slices.SortedFunc(maps.Values(b.live), func(x, y *Job) int {
		return cmp.Or(x.AcceptedAt.Compare(y.AcceptedAt), cmp.Compare(x.ID, y.ID))
	})
}

// Counts returns the number of jobs known and of those that have not ended.
func (b *Bookkeeper) Counts() (known, live int) { return len(b.jobs), len(b.live) }

// Accept enters a job and returns it. A job that is known already is returned as it is.
func (b *Bookkeeper) Accept(j job.Job) *Job {
	if known, ok := b.jobs[j.ID]; ok {
		return known
	}
	entered := &Job{Job: j, occurrences: map[int]*occurrence{}, state: StateQueued, shown: StateQueued}
	b.jobs[j.ID] = entered
	b.live[j.ID] = entered
	return entered
}

// Drop forgets the job.
func (b *Bookkeeper) Drop(id string) {
	delete(b.jobs, id)
	delete(b.live, id)
}

// DropEnded forgets the jobs that ended before the time, after calling dropped for each.
func (b *Bookkeeper) DropEnded(before time.Time, dropped func(*Job)) {
	for id, j := range b.jobs {
		if !j.Live() && j.ended.Before(before) {
			dropped(j)
			b.Drop(id)
		}
	}
}

// OpenDueOccurrences makes the occurrences ready that are due, and returns when the next one is, or the zero time.
func (b *Bookkeeper) OpenDueOccurrences(j *Job, now time.Time) time.Time {
	for j.Live() && j.opened < j.Occurrences {
		due := j.Due(j.opened)
		if due.After(now) {
			return due
		}
		j.open(j.opened, now)
		j.opened++
	}
	return time.Time{}
}

// open creates the tasks of an occurrence unless they are known from a record.
func (j *Job) open(number int, now time.Time) *occurrence {
	o, ok := j.occurrences[number]
	if !ok {
		o = &occurrence{number: number, open: len(j.Steps)}
		for n, s := range j.Steps {
			step := &Step{Step: s, Job: j, Occurrence: number, Number: n, remaining: s.Tasks}
			for i := range s.Tasks {
				step.Tasks = append(step.Tasks, &Task{Step: step, Index: i})
			}
			o.steps = append(o.steps, step)
		}
		j.occurrences[number] = o
	}
	o.unlock(now)
	return o
}

// unlock makes the steps ready whose predecessors are done.
func (o *occurrence) unlock(now time.Time) {
	for _, s := range o.steps {
		if s.ready || s.remaining == 0 {
			continue
		}
		if slices.ContainsFunc(s.After, func(n int) bool { return o.steps[n].remaining > 0 }) {
			continue
		}
		s.ready, s.readyAt = true, now
		s.fresh = slices.ContainsFunc(s.After, func(n int) bool { return o.steps[n].fresh || slices.ContainsFunc(o.steps[n].Tasks, (*Task).wasSeen) })
		for _, t := range s.Tasks {
			// An owner may have found a run before it knew that the step is ready.
			if !t.done && !t.running {
				t.waiting, t.waitsSince = true, now
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
	o, ok := j.occurrences[id.Occurrence]
	if !ok || id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].Tasks) {
		return nil
	}
	return o.steps[id.Step].Tasks[id.Index]
}

// VisitReady calls visit for each step that has waiting tasks, in the order of acceptance of the jobs.
func (b *Bookkeeper) VisitReady(visit func(*Step)) {
	for _, j := range b.Live() {
		for _, number := range slices.Sorted(maps.Keys(j.occurrences)) {
			for _, s := range j.occurrences[number].steps {
				if s.ready && s.remaining > 0 {
					visit(s)
				}
			}
		}
	}
}

// RunStarted notes that a run of the task was ordered.
func (b *Bookkeeper) RunStarted(t *Task, run int) {
	t.waiting, t.running, t.seen = false, true, true
	t.lastRun = max(t.lastRun, run)
	j := t.Step.Job
	j.started = true
	if j.state == StateQueued {
		j.state = StateRunning
	}
	if j.shown == StateQueued {
		j.shown = StateRunning
	}
}

// TaskDone notes that the task is done; with a gang, all tasks of its step are. It reports whether anything changed.
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
	o := s.Job.occurrences[s.Occurrence]
	if s.remaining > 0 {
		return true
	}
	o.open--
	o.unlock(now)
	if o.open > 0 || !s.Job.Live() {
		return true
	}
	s.Job.finished++
	if s.Job.finished == s.Job.Occurrences {
		b.end(s.Job, StateCompleted, now)
	}
	return true
}

// RunFailed notes that a run failed by itself and fails the job after the given number of failures; 0 means no limit. A run counts once,
// however often and in whichever order ends are told.
func (b *Bookkeeper) RunFailed(t *Task, run, limit int, now time.Time) {
	t.ObserveRun(run)
	if !slices.Contains(t.failed, run) {
		t.failed = append(t.failed, run)
	}
	if limit > 0 && !t.Step.LongRunning && len(t.failed) >= limit && t.Step.Job.Live() {
		b.end(t.Step.Job, StateFailed, now)
	}
}

// Requeue makes a task wait again whose run ended without being done, as soon as its step is ready.
func (b *Bookkeeper) Requeue(t *Task, now time.Time) {
	t.running = false
	if t.done || !t.Step.Job.Live() || !t.Step.ready || t.waiting {
		return
	}
	t.waiting, t.waitsSince = true, now
}

// SetCheckpoint notes where the next run of the task resumes; an empty one changes nothing. A gang shares it.
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

// Cancel ends the job, and reports false if it had ended before.
func (b *Bookkeeper) Cancel(j *Job, now time.Time) bool {
	if !j.Live() {
		return false
	}
	b.end(j, StateCancelled, now)
	return true
}

func (t *Task) wasSeen() bool { return t.seen }

func (b *Bookkeeper) end(j *Job, state string, now time.Time) {
	j.state, j.ended = state, now
	delete(b.live, j.ID)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.Tasks {
				t.waiting = false
			}
		}
	}
}
