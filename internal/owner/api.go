package owner

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/internal/message"
	"bamboohook/scheduler"
	"bamboohook/stream"
)

const (
	// logRetryAfter is the time after which a caller should repeat a request that failed because the log service was
	// unavailable.
	logRetryAfter = 5 * time.Second
	// maxOpenRequests is the maximum number of ids for which the owner remembers that a record may still be appended. While
	// there are as many, no refusal of a request with an id that the caller has chosen is certain.
	maxOpenRequests = 10_000
	// maxListedJobs is the maximum number of jobs that List returns.
	maxListedJobs = 1000
)

// Submit accepts a job. The job is accepted once the log service has stored its record. If the job was certainly not
// accepted, the failure may tell after which time to try again. If it is unknown whether the job was accepted, the
// request id in the failure is the id of the job, and the request can safely be repeated with this id. A request with
// the id of a known job returns the status of that job.
func (o *Owner) Submit(ctx context.Context, r message.JobRequest) (message.JobStatus, *message.ErrorResponse) {
	if r.ID == "" {
		r.ID = rand.Text()
	}
	if !newJobRecord(r, 0).Valid() {
		return message.JobStatus{}, o.refuse(scheduler.KindJob, r.ID, message.ReasonBadRequest, fmt.Sprintf(
			"owner: job has %d tasks of %s, an id of %d and a payload of %d bytes; allowed are 1 to %d tasks of a size that is "+
				"not negative, and up to %d and %d bytes", r.Tasks, r.Size, len(r.ID), len(r.Payload), scheduler.MaxTasks,
			scheduler.MaxIDBytes, scheduler.MaxPayloadBytes))
	}
	o.mutex.Lock()
	o.ensureInitialized()
	existing, ok := o.scheduler.Status(r.ID)
	retries, refusal := o.applyDefaults(&r)
	o.mutex.Unlock()
	if ok {
		return message.JobStatus(existing), nil
	}
	if refusal != "" {
		return message.JobStatus{}, o.refuse(scheduler.KindJob, r.ID, message.ReasonBadRequest, refusal)
	}
	if f := o.append(ctx, r.ID, stream.NewRecord(scheduler.KindJob, newJobRecord(r, retries))); f != nil {
		return message.JobStatus{}, f
	}
	return message.JobStatus{
		ID: r.ID, Team: r.Team, Kind: r.Kind, State: scheduler.StateWaiting, Tasks: r.Tasks, Waiting: r.Tasks,
	}, nil
}

// Cancel appends the record that cancels a job. It returns a failure if the job is unknown, if the record was not
// appended, or if it is unknown whether it was. Cancelling a job that has ended has no effect.
func (o *Owner) Cancel(ctx context.Context, id, reason string) (message.JobStatus, *message.ErrorResponse) {
	status, ok := o.Status(id)
	if !ok {
		return status, failure(id, message.ReasonBadRequest, "owner: no job with this id is known; ended jobs are forgotten after a day or more")
	}
	if f := o.append(ctx, id, stream.NewRecord(scheduler.KindCancel, scheduler.Cancel{Job: id, Reason: reason})); f != nil {
		return status, f
	}
	status, _ = o.Status(id)
	return status, nil
}

// Status returns the status of a job. If the job is unknown or was removed after its end, ok is false.
func (o *Owner) Status(id string) (status message.JobStatus, ok bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.ensureInitialized()
	s, ok := o.scheduler.Status(id)
	return message.JobStatus(s), ok
}

// List returns the statuses of at most maxListedJobs jobs, those that were submitted last.
func (o *Owner) List() []message.JobStatus {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.ensureInitialized()
	var statuses []message.JobStatus
	for _, s := range o.scheduler.List(maxListedJobs) {
		statuses = append(statuses, message.JobStatus(s))
	}
	return statuses
}

// Evict requests that the current attempt of a task is checkpointed and then stopped, so that the task waits again. It
// returns false if this entry does not own the attempt, if no VM is known to run it, or if it is already being
// stopped.
func (o *Owner) Evict(job string, taskNumber int) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.ensureInitialized()
	a, ok := o.findAttempt(job, taskNumber)
	if !ok || a.stopReason != "" || a.vm == "" {
		return false
	}
	a.stopReason = scheduler.ReasonEvicted
	o.attemptsToAdvance[a.id] = a
	return true
}

// Throttle limits a running task to the given share of its processors, where 1 means no limit. It reports whether the
// agent of the VM has accepted the limit.
func (o *Owner) Throttle(ctx context.Context, job string, taskNumber int, share float64) bool {
	o.mutex.Lock()
	o.ensureInitialized()
	a, ok := o.findAttempt(job, taskNumber)
	var v *VM
	if ok {
		v, ok = o.vms[a.vm]
	}
	if !ok {
		o.mutex.Unlock()
		return false
	}
	command := o.taskCommand(a, v)
	o.mutex.Unlock()
	command.Share = share
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := o.Agents.Throttle(callCtx, v.Name, command)
	if err != nil || !response.Accepted {
		return false
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	a.share = share
	return true
}

// findAttempt returns the current attempt of the task with the given number. It returns false if there is none or if
// this entry does not own the shard of the job.
func (o *Owner) findAttempt(job string, taskNumber int) (*attempt, bool) {
	for t := range o.scheduler.RunningTasksOfJob(job) {
		if t.Task == taskNumber {
			s, ok := o.shards[t.Shard]
			if !ok {
				return nil, false
			}
			a, ok := s.attempts[t.ID()]
			return a, ok
		}
	}
	return nil, false
}

// newJobRecord returns the record that submits the requested job.
func newJobRecord(r message.JobRequest, retries int) scheduler.Job {
	return scheduler.Job{
		ID: r.ID, Team: r.Team, Kind: r.Kind, Tasks: r.Tasks, Size: r.Size, RunTime: r.RunTime, Payload: r.Payload, Retries: retries,
	}
}

// append appends the record of a caller's request about the job with the given id. If that fails, it returns the failure
// to report to the caller, with the id as request id.
func (o *Owner) append(ctx context.Context, id string, r stream.Record) *message.ErrorResponse {
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	key := requestKey(r.Kind, id)
	o.mutex.Lock()
	remembered := o.openRequests[key] > 0 || len(o.openRequests) < maxOpenRequests
	if remembered {
		o.openRequests[key]++
	}
	o.mutex.Unlock()
	_, err := o.StreamWriter.Append(callCtx, r)
	if remembered && (err == nil || errors.Is(err, ErrNotAppended)) {
		o.closeRequest(key)
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrNotAppended):
		f := o.refuse(r.Kind, id, message.ReasonLogUnavailable, "owner: the log service does not accept records; nothing was recorded")
		f.RetryAfterMS = logRetryAfter.Milliseconds()
		return f
	}
	f := failure(id, message.ReasonLogUnavailable, "owner: the log service did not answer; ask for the job by its id or repeat with it: "+eris.Cause(err).Error())
	f.Outcome, f.RetryAfterMS = message.OutcomeUnknown, logRetryAfter.Milliseconds()
	return f
}

// closeRequest records that one of the requests with the key has ended. It has no effect if the record of a request with
// the key was read from the stream in the meantime.
func (o *Owner) closeRequest(key string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.openRequests[key] > 1 {
		o.openRequests[key]--
		return
	}
	delete(o.openRequests, key)
}

// refuse returns the failure of a request without effect. Its outcome is unknown if this entry has received the same
// request before and the record of that copy may still be appended. Copies that other entries have received are not
// known here.
func (o *Owner) refuse(kind, id, reason, text string) *message.ErrorResponse {
	f := failure(id, reason, text)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.openRequests[requestKey(kind, id)] > 0 || len(o.openRequests) >= maxOpenRequests {
		f.Outcome, f.Message = message.OutcomeUnknown, text+"; an earlier request with this id had no answer and may still take effect"
	}
	return f
}

// requestKey returns the key of the requests that append a record of this kind about the job with the given id.
func requestKey(kind, id string) string { return kind + "/" + id }

// failure returns a failure with the outcome that the request certainly had no effect.
func failure(id, reason, text string) *message.ErrorResponse {
	return &message.ErrorResponse{Outcome: message.OutcomeNotRun, Reason: reason, Message: text, RequestID: id}
}
