package scheduler

import (
	"iter"
	"sort"

	"bamboohook/resource"
	"bamboohook/task"
)

// WaitingTasks yields the waiting tasks of a shard job by job, beginning with the first job in the shard's queue.
// Parked jobs are left out. The scheduler must not be modified during the iteration.
func (s *Scheduler) WaitingTasks(shard int) iter.Seq[Task] {
	return func(yield func(Task) bool) {
		if shard < 0 || shard >= len(s.shards) {
			return
		}
		for e := s.shards[shard].waiting.Front(); e != nil; e = e.Next() {
			j := e.Value.(*job)
			for i := len(j.waiting) - 1; i >= 0; i-- {
				if !yield(j.describe(j.waiting[i])) {
					return
				}
			}
		}
	}
}

// RunningTasks yields the tasks of a shard that have a current attempt, which is one that was assigned and has not
// ended. The scheduler must not be modified during the iteration.
func (s *Scheduler) RunningTasks(shard int) iter.Seq[Task] {
	return func(yield func(Task) bool) {
		if shard < 0 || shard >= len(s.shards) {
			return
		}
		for e := s.shards[shard].running.Front(); e != nil; e = e.Next() {
			j := e.Value.(*job)
			for _, taskNumber := range j.running {
				if !yield(j.describe(taskNumber)) {
					return
				}
			}
		}
	}
}

// RunningTasksOfJob yields the tasks of a job that have a current attempt, which is one that was assigned and has not
// ended. The scheduler must not be modified during the iteration.
func (s *Scheduler) RunningTasksOfJob(id string) iter.Seq[Task] {
	return func(yield func(Task) bool) {
		j, ok := s.jobs[id]
		if !ok {
			return
		}
		for _, taskNumber := range j.running {
			if !yield(j.describe(taskNumber)) {
				return
			}
		}
	}
}

// WaitingTasksOfJob yields the waiting tasks of a job, or none if the job is parked. The scheduler must not be
// modified during the iteration.
func (s *Scheduler) WaitingTasksOfJob(id string) iter.Seq[Task] {
	return func(yield func(Task) bool) {
		j, ok := s.jobs[id]
		if !ok || j.parked {
			return
		}
		for i := len(j.waiting) - 1; i >= 0; i-- {
			if !yield(j.describe(j.waiting[i])) {
				return
			}
		}
	}
}

// WaitingTask returns the task with the given number if it waits and its job is neither parked nor cancelled.
func (s *Scheduler) WaitingTask(id string, taskNumber int) (Task, bool) {
	j, ok := s.jobs[id]
	if !ok || j.parked || taskNumber < 0 || taskNumber >= len(j.tasks) || j.tasks[taskNumber].phase != phaseWaiting || j.cancelled {
		return Task{}, false
	}
	return j.describe(taskNumber), true
}

// CurrentAttempt returns the running task whose current attempt is the one that id names. The shard and the epoch of
// id are ignored.
func (s *Scheduler) CurrentAttempt(id task.Identity) (Task, bool) {
	j, ok := s.jobs[id.Job]
	if !ok || id.Task < 0 || id.Task >= len(j.tasks) {
		return Task{}, false
	}
	if state := j.tasks[id.Task]; state.phase != phaseRunning || state.lastAttempt != id.Attempt {
		return Task{}, false
	}
	return j.describe(id.Task), true
}

// Completable reports whether a result that the attempt has completed would complete its task. The attempt need not be
// the current one. The shard and the epoch of id are ignored.
func (s *Scheduler) Completable(id task.Identity) bool {
	j, ok := s.jobs[id.Job]
	if !ok || id.Task < 0 || id.Task >= len(j.tasks) {
		return false
	}
	return j.tasks[id.Task].completableBy(id.Attempt, j.cancelled)
}

// Status returns the status of a job. If the job is unknown or was removed after its end, ok is false.
func (s *Scheduler) Status(id string) (status Status, ok bool) {
	j, ok := s.jobs[id]
	if !ok {
		return Status{}, false
	}
	return j.status(), true
}

// List returns the statuses of up to limit jobs. The job that was submitted last comes first.
func (s *Scheduler) List(limit int) []Status {
	jobs := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].number > jobs[b].number })
	if len(jobs) > limit {
		jobs = jobs[:max(limit, 0)]
	}
	statuses := make([]Status, len(jobs))
	for i, j := range jobs {
		statuses[i] = j.status()
	}
	return statuses
}

// describe returns all that is needed to assign and start the task. A waiting task is described with the number of its
// next attempt.
func (j *job) describe(taskNumber int) Task {
	state := &j.tasks[taskNumber]
	t := Task{
		Identity: task.Identity{Job: j.record.ID, Task: taskNumber, Attempt: state.lastAttempt, Shard: j.shard, Epoch: state.epoch},
		Team:     j.record.Team, Kind: j.record.Kind, Size: j.record.Size, RunTime: j.record.RunTime,
		DeclaredSize: j.record.Size, DeclaredRunTime: j.record.RunTime, Parked: j.parked, Submitted: j.submitted,
		Payload: j.record.Payload, Checkpoint: state.checkpoint, VMs: state.vms, Cancelled: j.cancelled,
	}
	if state.phase == phaseWaiting {
		t.Attempt, t.Epoch = state.lastAttempt+1, 0
	}
	if state.size != (resource.Amount{}) {
		t.Size = state.size
	}
	if state.runTime > 0 {
		t.RunTime = state.runTime
	}
	return t
}
