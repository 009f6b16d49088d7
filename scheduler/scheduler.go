// Package scheduler replays the batch jobs and tasks of one region from the records of the region's stream. Its state
// depends only on the records, so all readers that have read the same records have the same state.
//
// The jobs of a region are divided into shards. The claims, presence records and handovers in the stream determine
// which entry, a process of the region, owns a shard, and package claimer replays them. The epoch of an ownership is
// the stream offset of the claim that began it.
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

// Results of Apply. Only Applied means that the record took effect.
const (
	Applied ApplyResult = "applied"
	// StaleEpoch means that the epoch is not that of the shard's current owner. It is also the result of every claim,
	// presence record or handover without effect, even if the record is malformed.
	StaleEpoch ApplyResult = "old-epoch"
	// StateMismatch means that the record does not fit the state of its job or task: it repeats an earlier record, it
	// names an attempt that it can't apply to, or the job has ended or was already cancelled or parked.
	StateMismatch ApplyResult = "repeated"
	// UnknownTarget means that there is no such job or task, or that it belongs to another shard than the record names.
	UnknownTarget ApplyResult = "unknown-task"
	// Malformed means that the record can't be decoded or has an invalid value.
	Malformed ApplyResult = "malformed"
	// UnhandledKind means that neither this package nor package claimer defines the kind of the record.
	UnhandledKind ApplyResult = "other-kind"
)

type (
	// ApplyResult tells whether a record took effect, and if not, why.
	ApplyResult string

	// Scheduler holds the jobs and tasks of a region and the owners of its shards. It is not safe for concurrent use.
	Scheduler struct {
		claimer *claimer.Claimer
		jobs    map[string]*job
		shards  []shardQueues
		// endedJobs holds the ids of the kept jobs that have ended, in the order in which they ended.
		endedJobs *list.List
		// jobCount is the number of jobs submitted so far. The number of the next job is one higher.
		jobCount uint64
	}

	// shardQueues holds the jobs of a shard that have waiting tasks and those that have running tasks, so that these
	// tasks are found without a search through all jobs. A job with both is in both lists.
	shardQueues struct {
		waiting *list.List
		running *list.List
	}
)

// New returns a scheduler at the start of the stream. It passes claims, presence records and handovers on to the
// claimer.
func New(c *claimer.Claimer) *Scheduler {
	s := &Scheduler{claimer: c, jobs: map[string]*job{}, endedJobs: list.New()}
	for range c.ShardCount() {
		s.shards = append(s.shards, shardQueues{list.New(), list.New()})
	}
	return s
}

// Claimer returns the claimer that knows the owners of the shards. The caller must apply records through the
// scheduler, not through the claimer.
func (s *Scheduler) Claimer() *claimer.Claimer { return s.claimer }

// ShardOf returns the number of the shard to which all tasks of the job belong.
func (s *Scheduler) ShardOf(job string) int {
	return int(xxhash.Sum64String(job) % uint64(len(s.shards)))
}

// Apply replays one record. The offset is the position of the record in the stream, and at is its log time, which is
// the time at which the log service stored it.
func (s *Scheduler) Apply(r stream.Record, offset uint64, at time.Time) ApplyResult {
	switch r.Kind {
	case KindJob:
		return decodeAndApply(r, func(j Job) ApplyResult { return s.applyJob(j, at) })
	case KindCancel:
		return decodeAndApply(r, s.applyCancel)
	case KindPark:
		return decodeAndApply(r, s.applyPark)
	case KindAssignment:
		return decodeAndApply(r, func(assignment Assignment) ApplyResult {
			return s.applyOwnerRecord(assignment.Identity, assignment, s.applyAssignment)
		})
	case KindResult:
		return decodeAndApply(r, func(result Result) ApplyResult { return s.applyOwnerRecord(result.Identity, result, s.applyResult) })
	case KindInterruption:
		return decodeAndApply(r, func(interruption Interruption) ApplyResult {
			return s.applyOwnerRecord(interruption.Identity, interruption, s.applyInterruption)
		})
	case claimer.KindClaim, claimer.KindPresence, claimer.KindHandOver:
		if s.claimer.Apply(r, offset, at) {
			return Applied
		}
		return StaleEpoch
	}
	return UnhandledKind
}

// decodeAndApply decodes the body of the record and passes it to apply, or returns Malformed if it can't be decoded.
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
		return StateMismatch
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
		return UnknownTarget
	}
	if j.cancelled || j.ended() {
		return StateMismatch
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
		return UnknownTarget
	case !s.claimer.IsCurrentEpoch(r.Shard, r.Epoch):
		return StaleEpoch
	case j.parked || j.cancelled || j.ended():
		return StateMismatch
	}
	j.parked, j.reason = true, r.Reason
	s.updateQueues(j)
	return Applied
}

// applyOwnerRecord applies a record that only the current owner of the shard may append. It checks that the record has
// the epoch of this owner. The apply function then checks that the record names the current attempt of the task, the
// next attempt if the record is an assignment, or any attempt so far if the record is the result of a completed one.
func (s *Scheduler) applyOwnerRecord(id task.Identity, body any, apply func(*job, *taskState, task.Identity, any) ApplyResult) ApplyResult {
	j, ok := s.jobs[id.Job]
	if !ok || id.Task < 0 || id.Task >= j.record.Tasks || id.Shard != j.shard {
		return UnknownTarget
	}
	if !s.claimer.IsCurrentEpoch(id.Shard, id.Epoch) {
		return StaleEpoch
	}
	if j.ended() {
		return StateMismatch
	}
	result := apply(j, &j.tasks[id.Task], id, body)
	if result == Applied {
		s.updateQueues(j)
	}
	return result
}

func (*Scheduler) applyAssignment(j *job, t *taskState, id task.Identity, body any) ApplyResult {
	assignment := body.(Assignment)
	if j.cancelled || j.parked || t.phase != phaseWaiting || id.Attempt != t.lastAttempt+1 {
		return StateMismatch
	}
	if len(assignment.VMs) == 0 || assignment.Size.Negative() || assignment.RunTime < 0 {
		return Malformed
	}
	j.removeFromList(&j.waiting, id.Task)
	t.phase, t.lastAttempt, t.epoch, t.vms = phaseRunning, id.Attempt, id.Epoch, assignment.VMs
	t.size, t.runTime = assignment.Size, assignment.RunTime
	j.addToList(&j.running, id.Task)
	return Applied
}

func (*Scheduler) applyResult(j *job, t *taskState, id task.Identity, body any) ApplyResult {
	result := body.(Result)
	if result.Outcome == OutcomeDone && t.completableBy(id.Attempt, j.cancelled) {
		j.finish(id.Task, phaseDone, &j.counts.done)
		return Applied
	}
	if t.phase != phaseRunning || id.Attempt != t.lastAttempt {
		return StateMismatch
	}
	switch result.Outcome {
	case OutcomeFailed:
		t.failures++
		if t.failures <= j.record.Retries {
			j.requeue(id.Task)
			return Applied
		}
		if !j.parked {
			j.reason = result.Reason
		}
		j.finish(id.Task, phaseFailed, &j.counts.failed)
	default:
		return Malformed
	}
	return Applied
}

func (*Scheduler) applyInterruption(j *job, t *taskState, id task.Identity, body any) ApplyResult {
	interruption := body.(Interruption)
	if t.phase != phaseRunning || id.Attempt != t.lastAttempt {
		return StateMismatch
	}
	if interruption.Checkpoint != "" {
		t.checkpoint = interruption.Checkpoint
	}
	if interruption.Reason == ReasonEvicted {
		j.counts.evictions++
	}
	j.requeue(id.Task)
	return Applied
}

// updateQueues adds the job to the two queues of its shard, or removes it from them, depending on whether it has
// waiting and running tasks. If the job has ended, the memory of its tasks is freed, and if more than maxEndedJobs
// jobs have ended, the one that ended first is removed.
func (s *Scheduler) updateQueues(j *job) {
	queues := s.shards[j.shard]
	startable := len(j.waiting) > 0 && !j.parked
	if !startable && j.waitingElement != nil {
		queues.waiting.Remove(j.waitingElement)
		j.waitingElement = nil
	}
	if startable && j.waitingElement == nil {
		// A job that gets waiting tasks again goes to the front of the queue, because its tasks have already waited
		// once.
		j.waitingElement = queues.waiting.PushFront(j)
	}
	if len(j.running) == 0 && j.runningElement != nil {
		queues.running.Remove(j.runningElement)
		j.runningElement = nil
	}
	if len(j.running) > 0 && j.runningElement == nil {
		j.runningElement = queues.running.PushBack(j)
	}
	if j.ended() {
		j.tasks, j.waiting, j.running, j.record.Payload = nil, nil, nil, ""
		s.endedJobs.PushBack(j.record.ID)
		if s.endedJobs.Len() > maxEndedJobs {
			delete(s.jobs, s.endedJobs.Remove(s.endedJobs.Front()).(string))
		}
	}
}
