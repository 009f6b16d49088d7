package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/job"
	"bamboohook/internal/fleet/committer"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/storekeeper"
)

const (
	// recordTimeout is how long a call waits until the store has recorded a submission or a cancellation. After that, the response is
	// messenger.OutcomeUnknown, and the caller may try another entry.
	recordTimeout = 1200 * time.Millisecond
	// startRecordTimeout is how long a request for the state of a job waits until the store has recorded the start of the job. It is as long as an
	// append may take before the journal counts the store as degraded.
	startRecordTimeout = 500 * time.Millisecond
	// storeRetryAfter is the time after which a caller may repeat a submission that was refused because the store fails. Outages of the store
	// usually last several times longer than that, so earlier retries would rarely succeed.
	storeRetryAfter = 1500 * time.Millisecond
	// infeasibleRetryAfter is the time after which a caller may submit a job again that was refused because no VM can run it. Adding a suitable
	// VM takes at least that long.
	infeasibleRetryAfter = 30 * time.Second
	// maxRecordFraming is the highest number of bytes that the store adds to a key and a value in a record.
	maxRecordFraming = 8
)

// Submit accepts the job in the request, or refuses it. It responds with messenger.OutcomeDone once the job is recorded, also if the job was
// accepted before.
func (c *Coordinator) Submit(ctx context.Context, request messenger.JobRequest) messenger.JobResponse {
	c.state.mutex.Lock()
	s := &c.state
	if !s.owning {
		c.state.mutex.Unlock()
		return messenger.JobResponse{Outcome: messenger.OutcomeNotOwner}
	}
	if pending, ok := s.pendingSubmissions[request.Job.ID]; ok {
		c.state.mutex.Unlock()
		return pending.wait(ctx)
	}
	if s.jobs.Job(request.Job.ID) != nil {
		c.state.mutex.Unlock()
		return messenger.JobResponse{Outcome: messenger.OutcomeDone, Reason: "repeat"}
	}
	queue, response, ok := c.admit(request)
	if !ok {
		c.state.mutex.Unlock()
		c.Meter.Count("submissions-" + response.Outcome)
		c.Log.Info().Str("job", request.Job.ID).Str("outcome", response.Outcome).Str("reason", response.Reason).
			Dur("retry-after", response.RetryAfter).Int64("version", s.configurationVersion).Msg("submission refused")
		return response
	}
	pending := &pendingResponse{done: make(chan struct{})}
	s.pendingSubmissions[request.Job.ID] = pending
	request.Job.Queue, request.Job.AcceptedAt = request.Queue, c.WallClock.Now()
	epoch := s.epoch
	c.state.mutex.Unlock()
	record, err := json.Marshal(jobRecord{request.Job, queue, epoch})
	if err != nil {
		panic("coordinator: cannot encode a job: " + err.Error())
	}
	if size := len(keyJob) + len(request.Job.ID) + len(record) + maxRecordFraming; c.Limits.RecordBytes > 0 && size > c.Limits.RecordBytes {
		c.Log.Info().Str("job", request.Job.ID).Int("bytes", size).Int("limit", c.Limits.RecordBytes).Msg("submission refused: its record is too large")
		c.completeSubmission(pending, request.Job, queue, storekeeper.ErrRejected)
		return messenger.JobResponse{
			Outcome: messenger.OutcomeInvalid,
			Reason:  "the job takes " + strconv.Itoa(size) + " bytes in the store, at most " + strconv.Itoa(c.Limits.RecordBytes) + " are possible",
		}
	}
	c.Journal.Append(committer.Write{
		Records:  []storekeeper.Record{{Key: keyJob + request.Job.ID, Value: record}},
		FailFast: true,
		Done:     func(err error) { c.completeSubmission(pending, request.Job, queue, err) },
	})
	return pending.wait(ctx)
}

// admit checks whether the job can be accepted. It returns the job's queue and true, or the response that refuses the job and false.
func (c *Coordinator) admit(request messenger.JobRequest) (Queue, messenger.JobResponse, bool) {
	s := &c.state
	if c.isQueueRemoved(request) {
		return Queue{}, messenger.JobResponse{Outcome: messenger.OutcomeNoQueue, Reason: "no such queue"}, false
	}
	queue, ok := s.queues[request.Queue]
	if !ok {
		// The entry that forwarded the request has a newer configuration, which this entry will receive soon.
		return Queue{}, messenger.JobResponse{Outcome: messenger.OutcomeNotOwner, Reason: "queue is not known here yet"}, false
	}
	if err := request.Job.Validate(); err != nil {
		return Queue{}, messenger.JobResponse{Outcome: messenger.OutcomeInvalid, Reason: err.Error()}, false
	}
	if n := c.infeasibleStep(request.Job, queue.Service); n >= 0 {
		return Queue{}, messenger.JobResponse{
			Outcome: messenger.OutcomeNotExecuted, Reason: "no VM is large enough or has the label for step " + strconv.Itoa(n),
			RetryAfter: infeasibleRetryAfter,
		}, false
	}
	if c.Journal.Degraded() {
		return Queue{}, messenger.JobResponse{
			Outcome: messenger.OutcomeNotExecuted, Reason: "store does not answer", RetryAfter: storeRetryAfter,
		}, false
	}
	return queue, messenger.JobResponse{}, true
}

// isQueueRemoved reports whether the queue of the request is missing in a configuration that is newer than the one with which the request was forwarded. If
// the other entry has the newer one, it requests that one. The caller holds the mutex.
func (c *Coordinator) isQueueRemoved(request messenger.JobRequest) bool {
	s := &c.state
	if request.Version > s.configurationVersion && c.OnOutdated != nil {
		c.OnOutdated()
	}
	_, ok := s.queues[request.Queue]
	return !ok && request.Version > 0 && request.Version < s.configurationVersion
}

// infeasibleStep returns the number of the first step that no VM of the service could run even if the VM were empty. It returns -1 if there
// is no such step, if the service has no VM, or while VMs that the previous owner knew may not have sent a report to this owner yet.
func (c *Coordinator) infeasibleStep(j job.Job, service string) int {
	if !c.state.runsKnown {
		return -1
	}
	for n, step := range j.Steps {
		vmKnown, feasible := false, false
		for _, v := range c.state.vms {
			if v.Service == service {
				vmKnown, feasible = true, feasible || v.CanHost(step)
			}
		}
		if vmKnown && !feasible {
			return n
		}
	}
	return -1
}

// wait waits for the response. After recordTimeout, or if ctx ends, it returns messenger.OutcomeUnknown.
func (a *pendingResponse) wait(ctx context.Context) messenger.JobResponse {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	select {
	case <-a.done:
		return a.response
	case <-ctx.Done():
		return messenger.JobResponse{Outcome: messenger.OutcomeUnknown, Reason: "store has not answered"}
	}
}

// completeSubmission sets the response to a submission once the job's record was stored, or once its write has failed with err. It accepts the
// job if err is nil.
func (c *Coordinator) completeSubmission(pending *pendingResponse, j job.Job, queue Queue, err error) {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	s := &c.state
	if s.pendingSubmissions[j.ID] != pending {
		return
	}
	delete(s.pendingSubmissions, j.ID)
	switch {
	case err == nil:
		added := s.jobs.Accept(j)
		s.appraiser.Observe(j.Queue, added.Work())
		s.acceptedQueues[j.Queue] = queue
		c.cancelIfTombstoned(j.ID)
		s.jobs.OpenDueOccurrences(added, c.WallClock.Now())
		pending.response.Outcome = messenger.OutcomeDone
		c.wakePlanner()
	case errors.Is(err, storekeeper.ErrRejected):
		pending.response = messenger.JobResponse{Outcome: messenger.OutcomeInvalid, Reason: "the store does not accept the record of the job"}
	case errors.Is(err, storekeeper.ErrNotAppended):
		pending.response = messenger.JobResponse{Outcome: messenger.OutcomeNotExecuted, Reason: "store refused", RetryAfter: storeRetryAfter}
	default:
		pending.response = responseAfterLostWrite(err)
	}
	c.Meter.Count("submissions-" + pending.response.Outcome)
	c.Meter.Observe("acceptance", c.WallClock.Now().Sub(j.AcceptedAt))
	c.Log.Info().Str("job", j.ID).Str("queue", j.Queue).Int("steps", len(j.Steps)).Str("outcome", pending.response.Outcome).
		Uint64("epoch", s.epoch).Int64("version", s.configurationVersion).Msg("submission answered")
	close(pending.done)
}

// responseAfterLostWrite returns the response to a request whose write has failed with err, mostly because the ownership has ended. Unless the store
// has certainly not appended the write, the next owner may find it.
func responseAfterLostWrite(err error) messenger.JobResponse {
	if errors.Is(err, storekeeper.ErrRejected) {
		return messenger.JobResponse{Outcome: messenger.OutcomeUnknown, Reason: "the store does not accept the record"}
	}
	return messenger.JobResponse{Outcome: messenger.OutcomeNotOwner, MayHaveEffect: !errors.Is(err, storekeeper.ErrFenced)}
}

// JobState responds with the visible state of the job. The start of a job is recorded when its state is first requested, because each write has a
// price. JobState waits for that at most startRecordTimeout, and half of the time until the deadline of ctx. It does not wait while the store fails.
func (c *Coordinator) JobState(ctx context.Context, request messenger.JobRequest) messenger.JobResponse {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	j, response := c.findJob(request)
	if j == nil || !j.HasUnrecordedStart() {
		return response
	}
	recorded := c.recordStart(j)
	c.state.mutex.Unlock()
	if !c.Journal.Degraded() {
		waitForRecord(ctx, recorded)
	}
	c.state.mutex.Lock()
	_, response = c.findJob(request)
	return response
}

// findJob returns the job and the response to a request for its state. The job is nil if it is unknown or if this entry may not be the owner.
func (c *Coordinator) findJob(request messenger.JobRequest) (*bookkeeper.Job, messenger.JobResponse) {
	if !c.state.owning {
		return nil, messenger.JobResponse{Outcome: messenger.OutcomeNotOwner}
	}
	if !c.MayShowStates() {
		return nil, messenger.JobResponse{Outcome: messenger.OutcomeNotOwner, Reason: "another entry may have become the owner"}
	}
	j := c.state.jobs.Job(request.ID)
	if j == nil || j.Queue != request.Queue {
		return nil, c.missingJob()
	}
	return j, messenger.JobResponse{Outcome: messenger.OutcomeDone, State: j.VisibleState()}
}

// recordStart requests a record of the start of the job, unless one was requested before. It returns a channel that is closed once the record is
// stored or has failed, or at the end of the ownership. After a failure, no other record is requested until that one is tried again.
func (c *Coordinator) recordStart(j *bookkeeper.Job) <-chan struct{} {
	s := &c.state
	if p, ok := s.pendingStarts[j]; ok {
		return p.done
	}
	p := &pendingStart{done: make(chan struct{})}
	s.pendingStarts[j] = p
	change := c.jobChanged(j)
	change.waiters = append(change.waiters, func(err error) {
		if s.pendingStarts[j] != p {
			return
		}
		p.finish()
		if err == nil {
			delete(s.pendingStarts, j)
			return
		}
		c.retryAfter(err, func() { delete(s.pendingStarts, j) })
	})
	c.Journal.Notify()
	return p.done
}

// finish closes done unless that has happened before.
func (p *pendingStart) finish() {
	if !p.finished {
		p.finished = true
		close(p.done)
	}
}

// waitForRecord waits until recorded is closed, within the time that JobState may wait.
func waitForRecord(ctx context.Context, recorded <-chan struct{}) {
	timeout := startRecordTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)/2)
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-recorded:
	case <-ctx.Done():
	case <-timer.C:
	}
}

// CountQueuedJobs responds with the number of accepted jobs of the queue that have not started. It leaves out jobs whose occurrences have a
// set start time.
func (c *Coordinator) CountQueuedJobs(_ context.Context, request messenger.JobRequest) messenger.JobResponse {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	if !c.state.owning {
		return messenger.JobResponse{Outcome: messenger.OutcomeNotOwner}
	}
	if c.isQueueRemoved(request) {
		return messenger.JobResponse{Outcome: messenger.OutcomeNoQueue, Reason: "no such queue"}
	}
	response := messenger.JobResponse{Outcome: messenger.OutcomeDone}
	for _, j := range c.state.jobs.LiveJobs() {
		if j.Queue == request.Queue && !j.HasStarted() && j.FirstDue.IsZero() {
			response.QueuedJobs++
		}
	}
	return response
}

// Cancel ends a job. It responds with messenger.OutcomeDone once the end of the job is recorded, also if the job had already ended. It responds
// with messenger.OutcomeUnknown, without an effect, if the job's submission stays pending, because the job may exist afterwards. An unknown job is
// cancelled too, in case a copy of its submission arrives later.
func (c *Coordinator) Cancel(ctx context.Context, request messenger.JobRequest) messenger.JobResponse {
	c.state.mutex.Lock()
	s := &c.state
	if !s.owning {
		c.state.mutex.Unlock()
		return messenger.JobResponse{Outcome: messenger.OutcomeNotOwner}
	}
	if pending, ok := s.pendingSubmissions[request.ID]; ok {
		c.state.mutex.Unlock()
		pending.wait(ctx)
		c.state.mutex.Lock()
		if !s.owning {
			c.state.mutex.Unlock()
			return messenger.JobResponse{Outcome: messenger.OutcomeNotOwner}
		}
		if _, ok := s.pendingSubmissions[request.ID]; ok {
			c.state.mutex.Unlock()
			c.Log.Info().Str("job", request.ID).Msg("cancellation not answered: the job's submission is still pending")
			return messenger.JobResponse{Outcome: messenger.OutcomeUnknown, Reason: "the submission of the job is pending"}
		}
	}
	j := s.jobs.Job(request.ID)
	if j == nil || j.Queue != request.Queue {
		return c.cancelUnknown(ctx, jobKey{request.ID, request.Queue})
	}
	if s.jobs.Cancel(j, c.WallClock.Now()) {
		c.Log.Info().Str("job", j.ID).Uint64("epoch", s.epoch).Msg("job cancelled")
		c.stopRunsOf(j)
	}
	pending := &pendingResponse{done: make(chan struct{})}
	change := c.jobChanged(j)
	change.waiters = append(change.waiters, func(err error) {
		pending.response.Outcome = messenger.OutcomeDone
		if err != nil {
			pending.response = responseAfterLostWrite(err)
		}
		close(pending.done)
	})
	c.wakePlanner()
	c.state.mutex.Unlock()
	c.Journal.Notify()
	return pending.wait(ctx)
}

// missingJob responds to a request for an unknown job. A later owner may have accepted the job unless this entry certainly is the owner.
func (c *Coordinator) missingJob() messenger.JobResponse {
	if !c.MayGrantLeases() {
		return messenger.JobResponse{Outcome: messenger.OutcomeNotOwner, Reason: "another entry may own the jobs"}
	}
	return messenger.JobResponse{Outcome: messenger.OutcomeNotFound}
}
