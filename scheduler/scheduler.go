// Package scheduler replays the batch jobs and tasks of one region from its stream. The states are a
// function of the stream alone, so that every reader of the same prefix agrees on them.
package scheduler

import (
	"container/list"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboohook/claimer"
	"bamboohook/stream"
	"bamboohook/task"
)

// Verdicts on a record. Only Applied has an effect.
const (
	Applied       ApplyResult = "applied"
	StaleEpoch    ApplyResult = "old-epoch"
	Duplicate     ApplyResult = "repeated"
	UnknownTask   ApplyResult = "unknown-task"
	Malformed     ApplyResult = "malformed"
	UnhandledKind ApplyResult = "other-kind"
)

type (
	// Verdict tells whether a record took effect, and otherwise why not.
	ApplyResult string

	// Scheduler holds the jobs and tasks of a region and the owners of its shards. It is not safe for concurrent use.
	Scheduler struct {
		claimer *claimer.Claimer
		jobs    map[string]*job
		shards  []shardQueues
		// ended are the ids of ended jobs, oldest first.
		endedJobs *list.List
		// count numbers the jobs in the order of their records.
		jobCount uint64
	}

	// queues hold the jobs of a shard that have waiting tasks and those that have running ones, so
	// that neither is found by scanning.
	shardQueues struct {
		waiting *list.List
		running *list.List
	}
)

// New returns a scheduler at the start of the stream.
func New(claims *claimer.Claimer) *Scheduler {
	s := &Scheduler{claimer: claims, jobs: map[string]*job{}, endedJobs: list.New()}
	for range claims.ShardCount() {
		s.shards = append(s.shards, shardQueues{list.New(), list.New()})
	}
	return s
}

// Claims returns the owners of the shards. Records must be applied through the scheduler.
func (s *Scheduler) Claimer() *claimer.Claimer { return s.claimer }

// ShardOf returns the shard of a job, which all its tasks share.
func (s *Scheduler) ShardOf(job string) int {
	return int(xxhash.Sum64String(job) % uint64(len(s.shards)))
}

// Apply replays one record at its offset and log time.
func (s *Scheduler) Apply(r stream.Record, offset uint64, at time.Time) ApplyResult {
	switch r.Kind {
	case KindJob:
		return decodeAndApply(r, func(j Job) ApplyResult { return s.applyJob(j, at) })
	case KindCancel:
		return decodeAndApply(r, s.applyCancel)
	case KindPark:
		return decodeAndApply(r, s.applyPark)
	case KindAssignment:
		return decodeAndApply(r, func(a Assignment) ApplyResult { return s.applyFenced(a.Identity, a, s.applyAssignment) })
	case KindResult:
		return decodeAndApply(r, func(a Result) ApplyResult { return s.applyFenced(a.Identity, a, s.applyResult) })
	case KindEviction:
		return decodeAndApply(r, func(a Eviction) ApplyResult { return s.applyFenced(a.Identity, a, s.applyEviction) })
	case claimer.KindClaim, claimer.KindPresence, claimer.KindHandOver:
		if s.claimer.Apply(r, offset, at) {
			return Applied
		}
		return StaleEpoch
	}
	return UnhandledKind
}

func decodeAndApply[T any](r stream.Record, apply func(T) ApplyResult) ApplyResult {
	var body T
	if json.Unmarshal(r.Body, &body) != nil {
		return Malformed
	}
	return apply(body)
}

func (s *Scheduler) applyJob(r Job, at time.Time) ApplyResult {
	if !r.Valid() {
		return Malformed
	}
	if _, ok := s.jobs[r.ID]; ok {
		return Duplicate
	}
	s.jobCount++
	j := newJob(r, s.ShardOf(r.ID), s.jobCount, at)
	s.jobs[r.ID] = j
	j.waitingElement = s.shards[j.shard].waiting.PushBack(j)
	return Applied
}

func (s *Scheduler) applyCancel(r Cancel) ApplyResult {
	j, ok := s.jobs[r.Job]
	if !ok {
		return UnknownTask
	}
	if j.cancelled || j.ended() {
		return Duplicate
	}
	j.cancelled, j.reason = true, r.Reason
	j.counts.cancelled += len(j.waiting)
	j.waiting = nil
	s.updateQueues(j)
	return Applied
}

func (s *Scheduler) applyPark(r Park) ApplyResult {
	j, ok := s.jobs[r.Job]
	switch {
	case !ok || r.Shard != j.shard:
		return UnknownTask
	case !s.claimer.IsCurrentEpoch(r.Shard, r.Epoch):
		return StaleEpoch
	case j.parked || j.cancelled || j.ended():
		return Duplicate
	}
	j.parked, j.reason = true, r.Reason
	s.updateQueues(j)
	return Applied
}

// fenced applies a record of the owner of a shard if its epoch is current and it names the task's current attempt, or
// the next one for an assignment.
func (s *Scheduler) applyFenced(id task.Identity, body any, apply func(*job, *taskState, task.Identity, any) ApplyResult) ApplyResult {
	j, ok := s.jobs[id.Job]
	if !ok || id.Task < 0 || id.Task >= j.record.Tasks || id.Shard != j.shard {
		return UnknownTask
	}
	if !s.claimer.IsCurrentEpoch(id.Shard, id.Epoch) {
		return StaleEpoch
	}
	if j.ended() {
		return Duplicate
	}
	result := apply(j, &j.tasks[id.Task], id, body)
	if result == Applied {
		s.updateQueues(j)
	}
	return result
}

func (*Scheduler) applyAssignment(j *job, t *taskState, id task.Identity, body any) ApplyResult {
	a := body.(Assignment)
	if j.cancelled || j.parked || t.phase != phaseWaiting || id.Attempt != t.attempt+1 {
		return Duplicate
	}
	if len(a.VMs) == 0 || a.Size.Negative() || a.RunTime < 0 {
		return Malformed
	}
	j.dequeue(&j.waiting, id.Task)
	t.phase, t.attempt, t.epoch, t.vms = phaseRunning, id.Attempt, id.Epoch, a.VMs
	t.size, t.runTime = a.Size, a.RunTime
	j.enqueue(&j.running, id.Task)
	return Applied
}

func (*Scheduler) applyResult(j *job, t *taskState, id task.Identity, body any) ApplyResult {
	r := body.(Result)
	if t.phase != phaseRunning || id.Attempt != t.attempt {
		return Duplicate
	}
	switch r.Outcome {
	case OutcomeDone:
		j.finish(id.Task, phaseDone, &j.counts.done)
	case OutcomeFailed:
		t.failures++
		if t.failures <= j.record.Retries {
			j.requeue(id.Task)
			return Applied
		}
		if !j.parked {
			j.reason = r.Reason
		}
		j.finish(id.Task, phaseFailed, &j.counts.failed)
	default:
		return Malformed
	}
	return Applied
}

func (*Scheduler) applyEviction(j *job, t *taskState, id task.Identity, body any) ApplyResult {
	r := body.(Eviction)
	if t.phase != phaseRunning || id.Attempt != t.attempt {
		return Duplicate
	}
	if r.Checkpoint != "" {
		t.checkpoint = r.Checkpoint
	}
	if r.Reason == ReasonEvicted {
		j.counts.evictions++
	}
	j.requeue(id.Task)
	return Applied
}

// place keeps the job in exactly the queues that it belongs to.
func (s *Scheduler) updateQueues(j *job) {
	q := s.shards[j.shard]
	startable := len(j.waiting) > 0 && !j.parked
	if !startable && j.waitingElement != nil {
		q.waiting.Remove(j.waitingElement)
		j.waitingElement = nil
	}
	if startable && j.waitingElement == nil {
		// A job that returns has already waited once.
		j.waitingElement = q.waiting.PushFront(j)
	}
	if len(j.running) == 0 && j.runningElement != nil {
		q.running.Remove(j.runningElement)
		j.runningElement = nil
	}
	if len(j.running) > 0 && j.runningElement == nil {
		j.runningElement = q.running.PushBack(j)
	}
	if j.ended() {
		j.tasks, j.waiting, j.running, j.record.Payload = nil, nil, nil, ""
		s.endedJobs.PushBack(j.record.ID)
		if s.endedJobs.Len() > maxEndedJobs {
			delete(s.jobs, s.endedJobs.Remove(s.endedJobs.Front()).(string))
		}
	}
}
