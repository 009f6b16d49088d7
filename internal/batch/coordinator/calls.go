package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"bamboohook/internal/batch/job"
	"bamboohook/internal/fleet/committer"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/storekeeper"
)

const (
	// openLimit is how long a caller waits for a record without an answer of the store. After it the caller may try elsewhere; nothing
	// is known of the outcome.
	openLimit = 1200 * time.Millisecond
	// storeRetry is when a caller may come again while the store is troubled: outages last several times longer, so that earlier
	// tries are in vain.
	storeRetry = 1500 * time.Millisecond
	// impossibleRetry is when a job may come again that no VM can run: larger VMs take that long to be added at least.
	impossibleRetry = 30 * time.Second
)

// Submit accepts the job of the call, once for each id.
func (c *Coordinator) Submit(ctx context.Context, call messenger.JobRequest) messenger.JobResponse {
	c.state.mutex.Lock()
	s := &c.state
	if !s.owning {
		c.state.mutex.Unlock()
		return messenger.JobResponse{Outcome: messenger.OutcomeNotOwner}
	}
	if a, ok := s.accepting[call.Job.ID]; ok {
		c.state.mutex.Unlock()
		return a.wait(ctx)
	}
	if s.books.Job(call.Job.ID) != nil {
		c.state.mutex.Unlock()
		return messenger.JobResponse{Outcome: messenger.OutcomeDone, Reason: "repeat"}
	}
	queue, answer, ok := c.admit(call)
	if !ok {
		c.state.mutex.Unlock()
		c.Meter.Count("submissions-" + answer.Outcome)
		c.Log.Info().Str("job", call.Job.ID).Str("outcome", answer.Outcome).Str("reason", answer.Reason).
			Dur("retry-after", answer.RetryAfter).Int64("version", s.version).Msg("submission refused")
		return answer
	}
	a := &acceptance{done: make(chan struct{})}
	s.accepting[call.Job.ID] = a
	call.Job.Queue, call.Job.AcceptedAt = call.Queue, c.WallClock.Now()
	c.state.mutex.Unlock()
	record, err := json.Marshal(accepted{call.Job, queue})
	if err != nil {
		panic("coordinator: cannot encode a job: " + err.Error())
	}
	c.Journal.Append(committer.Write{
		Records:  []storekeeper.Record{{Key: keyJob + call.Job.ID, Value: record}},
		FailFast: true,
		Done:     func(err error) { c.stored(a, call.Job, queue, err) },
	})
	return a.wait(ctx)
}

// admit returns the answer of a refusal and false, or the queue of the job.
func (c *Coordinator) admit(call messenger.JobRequest) (Queue, messenger.JobResponse, bool) {
	s := &c.state
	queue, ok := s.queues[call.Queue]
	if !ok {
		// The caller's entry knows a newer configuration, which arrives here soon.
		return Queue{}, messenger.JobResponse{Outcome: messenger.OutcomeNotOwner, Reason: "queue is not known here yet"}, false
	}
	if err := call.Job.Validate(); err != nil {
		return Queue{}, messenger.JobResponse{Outcome: messenger.OutcomeInvalid, Reason: err.Error()}, false
	}
	if n := c.impossible(call.Job, queue.Service); n >= 0 {
		return Queue{}, messenger.JobResponse{
			Outcome: messenger.OutcomeNotExecuted, Reason: "no VM is large enough or has the label for step " + strconv.Itoa(n), RetryAfter: impossibleRetry,
		}, false
	}
	if c.Journal.Degraded() {
		return Queue{}, messenger.JobResponse{
			Outcome: messenger.OutcomeNotExecuted, Reason: "store does not answer", RetryAfter: storeRetry,
		}, false
	}
	return queue, messenger.JobResponse{}, true
}

// impossible returns the number of a step that none of the service's VMs could run if it were empty, or -1. While not all VMs are known,
// nothing is impossible.
func (c *Coordinator) impossible(j job.Job, service string) int {
	if !c.state.settled {
		return -1
	}
	for n, step := range j.Steps {
		known, suited := false, false
		for _, v := range c.state.vms {
			if v.Service == service {
				known, suited = true, suited || v.CanHost(step)
			}
		}
		if known && !suited {
			return n
		}
	}
	return -1
}

func (a *acceptance) wait(ctx context.Context) messenger.JobResponse {
	ctx, cancel := context.WithTimeout(ctx, openLimit)
	defer cancel()
	select {
	case <-a.done:
		return a.answer
	case <-ctx.Done():
		return messenger.JobResponse{Outcome: messenger.OutcomeUnknown, Reason: "store has not answered"}
	}
}

// stored ends the acceptance of a job.
func (c *Coordinator) stored(a *acceptance, j job.Job, queue Queue, err error) {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	s := &c.state
	if s.accepting[j.ID] != a {
		return
	}
	delete(s.accepting, j.ID)
	switch {
	case err == nil:
		entered := s.books.Accept(j)
		s.origin[j.Queue] = queue
		s.books.OpenDueOccurrences(entered, c.WallClock.Now())
		a.answer.Outcome = messenger.OutcomeDone
		c.kick()
	case errors.Is(err, storekeeper.ErrNotAppended):
		a.answer = messenger.JobResponse{Outcome: messenger.OutcomeNotExecuted, Reason: "store refused", RetryAfter: storeRetry}
	default:
		a.answer.Outcome = messenger.OutcomeNotOwner
	}
	c.Meter.Count("submissions-" + a.answer.Outcome)
	c.Meter.Observe("acceptance", c.WallClock.Now().Sub(j.AcceptedAt))
	c.Log.Info().Str("job", j.ID).Str("queue", j.Queue).Int("steps", len(j.Steps)).Str("outcome", a.answer.Outcome).
		Uint64("epoch", s.epoch).Int64("version", s.version).Msg("submission")
	close(a.done)
}

// State tells the state of a job that callers may see.
func (c *Coordinator) State(_ context.Context, call messenger.JobRequest) messenger.JobResponse {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	if !c.state.owning {
		return messenger.JobResponse{Outcome: messenger.OutcomeNotOwner}
	}
	j := c.state.books.Job(call.ID)
	if j == nil || j.Queue != call.Queue {
		return messenger.JobResponse{Outcome: messenger.OutcomeNotFound}
	}
	return messenger.JobResponse{Outcome: messenger.OutcomeDone, State: j.VisibleState()}
}

// Count tells how many accepted jobs of the queue have not begun, without those that start at set times.
func (c *Coordinator) Count(_ context.Context, call messenger.JobRequest) messenger.JobResponse {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	if !c.state.owning {
		return messenger.JobResponse{Outcome: messenger.OutcomeNotOwner}
	}
	answer := messenger.JobResponse{Outcome: messenger.OutcomeDone}
	for _, j := range c.state.books.Live() {
		if j.Queue == call.Queue && !j.HasStarted() && j.FirstDue.IsZero() {
			answer.Count++
		}
	}
	return answer
}

// Cancel ends a job. The answer is done once that is recorded.
func (c *Coordinator) Cancel(ctx context.Context, call messenger.JobRequest) messenger.JobResponse {
	c.state.mutex.Lock()
	s := &c.state
	if !s.owning {
		c.state.mutex.Unlock()
		return messenger.JobResponse{Outcome: messenger.OutcomeNotOwner}
	}
	if a, ok := s.accepting[call.ID]; ok {
		c.state.mutex.Unlock()
		a.wait(ctx)
		c.state.mutex.Lock()
		if !s.owning {
			c.state.mutex.Unlock()
			return messenger.JobResponse{Outcome: messenger.OutcomeNotOwner}
		}
	}
	j := s.books.Job(call.ID)
	if j == nil || j.Queue != call.Queue {
		c.state.mutex.Unlock()
		return messenger.JobResponse{Outcome: messenger.OutcomeNotFound}
	}
	if s.books.Cancel(j, c.WallClock.Now()) {
		c.Log.Info().Str("job", j.ID).Uint64("epoch", s.epoch).Msg("cancellation")
		c.release(j)
	}
	s.dirty[j] = struct{}{}
	a := &acceptance{done: make(chan struct{})}
	s.waiters = append(s.waiters, func(err error) {
		a.answer.Outcome = messenger.OutcomeDone
		if err != nil {
			a.answer.Outcome = messenger.OutcomeNotOwner
		}
		close(a.done)
	})
	c.kick()
	c.state.mutex.Unlock()
	c.Journal.Notify()
	return a.wait(ctx)
}
