// Package supervisor is the batch part of an agent: it admits, starts and stops task attempts at the
// worker of its VM, under the leases of their owners.
package supervisor

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"bamboohook/admitter"
	"bamboohook/internal/message"
	"bamboohook/lessee"
	"bamboohook/task"
)

const (
	// callTimeout bounds a call of the worker. A worker's lease ends this much before the agent's, because the worker
	// counts from the receipt of a call, which may be this late.
	callTimeout = time.Second
	// stopLead is how long before the end of its lease an attempt is checkpointed and stopped: one call each and the margin.
	stopLead = 3 * callTimeout
	// renewStep is by how much a renewal must extend a worker's lease to be worth a call.
	renewStep = 2 * time.Second
	// listInterval is how often the worker is listed.
	listInterval = time.Second
	// adoptLease is how long an attempt found after a restart is kept without an owner's grant. The worker enforces its own lease.
	adoptLease = 10 * time.Second
	// stopMemory is how long a stopped attempt cannot be started again; it exceeds a hold lease, after which a late start
	// is refused as expired.
	stopMemory = 2 * time.Minute
	// maxFinished bounds the unconfirmed results; beyond it, nothing is started.
	maxFinished = 4096
)

const (
	phaseRunning phase = iota
	// phaseUnclear is after a worker call without a clear answer; the commitment stays until a list shows the truth.
	phaseUnclear
	phaseFinished
)

type (
	// Supervisor runs the attempts of one VM. Set the exported fields before the first call. Concurrent use is safe.
	Supervisor struct {
		// Generation identifies this run of the agent process.
		Generation string
		Worker     Worker
		Clock      Clock
		// Admitter is shared with the other users of the VM's capacity.
		Admitter *admitter.Admitter

		mutex    sync.Mutex
		lessee   lessee.Lessee
		attempts map[string]*attempt
		finished int
		stopped  map[string]time.Time
		sent     map[uint64]time.Time
		listed   time.Time
		draining bool
	}

	phase int

	attempt struct {
		// busy serialises the worker calls of the attempt. It is taken before Supervisor.mutex.
		busy sync.Mutex
		// key is id.ID(); id changes with the epoch, key does not.
		key    string
		id     task.Identity
		phase  phase
		report message.TaskReport
		// reason explains an end that the agent itself causes.
		reason string
		// workerUntil is the end of the worker's lease, at the latest.
		workerUntil time.Time
		// changed is when the last call that could create or end the task returned; older lists say nothing about it.
		changed time.Time
	}
)

// RecordHeartbeat records when the heartbeat of the sequence was sent; with several receivers the earliest time counts.
func (s *Supervisor) RecordHeartbeat(sequence uint64, at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.prepare()
	if earlier, ok := s.sent[sequence]; !ok || at.Before(earlier) {
		s.sent[sequence] = at
	}
}

// Start admits the attempt and starts it at the worker. Started is true if it runs or may run, which
// includes a call that the worker did not answer.
func (s *Supervisor) Start(ctx context.Context, start message.StartRequest) message.StartResponse {
	a, answer := s.admit(start)
	if a == nil {
		return answer
	}
	defer a.busy.Unlock()
	s.mutex.Lock()
	until, _ := s.lessee.ExpiresAt(a.id)
	s.mutex.Unlock()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	length := until.Add(-callTimeout).Sub(s.Clock.Now())
	err := s.Worker.Start(call, message.WorkerStart{
		ID: a.key, Kind: start.Kind, Size: start.Size, JobSize: start.JobSize, RunTime: start.RunTime, Lease: length,
		Checkpoint: start.Checkpoint, Payload: start.Payload,
	})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a.changed, a.workerUntil = s.Clock.Now(), until
	switch {
	case err == nil:
		return message.StartResponse{Started: true}
	case errors.Is(err, ErrRefused):
		a.report.State = stateStopped
		s.forget(a)
		return message.StartResponse{Reason: ReasonWorkerRefused}
	}
	a.phase = phaseUnclear
	return message.StartResponse{Started: true, Reason: ReasonWorkerUnclear}
}

// admit makes all checks and returns the new attempt with busy held, or nil and the answer.
func (s *Supervisor) admit(start message.StartRequest) (*attempt, message.StartResponse) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.prepare()
	id, now := start.Identity, s.Clock.Now()
	refuse := func(reason string) (*attempt, message.StartResponse) {
		return nil, message.StartResponse{Reason: reason}
	}
	if start.Generation != s.Generation {
		return refuse(ReasonOtherGeneration)
	}
	if !s.lessee.Fence(id.Shard, id.Epoch) {
		return refuse(string(lessee.StaleEpoch))
	}
	if _, ok := s.attempts[id.ID()]; ok {
		return nil, message.StartResponse{Started: true}
	}
	if _, ok := s.stopped[id.ID()]; ok {
		return refuse(ReasonStopped)
	}
	if s.draining {
		return refuse(message.ReasonDraining)
	}
	if s.finished >= maxFinished {
		return refuse(ReasonUnconfirmed)
	}
	sent, ok := s.sent[start.Sequence]
	if !ok {
		return refuse(string(lessee.Expired))
	}
	if v := s.Admitter.Commit(id.ID(), start.Size); !v.Accepted() {
		return refuse(string(v))
	}
	if v := s.lessee.Acquire(id, start.Duration, sent, now); v != lessee.Accepted {
		s.Admitter.Release(id.ID())
		return refuse(string(v))
	}
	a := s.add(id)
	a.busy.Lock()
	return a, message.StartResponse{}
}

// Reports returns the attempts for a heartbeat, in the order of their ids: running ones and finished
// ones that were not confirmed.
func (s *Supervisor) Reports() []message.TaskReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reports := make([]message.TaskReport, 0, len(s.attempts))
	for _, a := range s.attempts {
		reports = append(reports, a.current())
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].ID() < reports[j].ID() })
	return reports
}

// Ready reports whether the worker was listed, so that reports are complete.
func (s *Supervisor) Ready() bool { return s.Admitter.Ready() }

func (a *attempt) current() message.TaskReport {
	r := a.report
	r.Identity = a.id
	if a.phase == phaseUnclear {
		r.Reason = ReasonWorkerUnclear
	}
	return r
}

func (s *Supervisor) prepare() {
	if s.attempts == nil {
		s.attempts, s.stopped, s.sent = map[string]*attempt{}, map[string]time.Time{}, map[uint64]time.Time{}
		s.lessee.ExpiryMargin = stopLead
	}
}

func (s *Supervisor) add(id task.Identity) *attempt {
	a := &attempt{key: id.ID(), id: id, report: message.TaskReport{State: stateRunning}}
	s.attempts[a.key] = a
	return a
}

// forget removes an attempt that does not run. It cannot be started again for stopMemory.
func (s *Supervisor) forget(a *attempt) {
	s.release(a)
	if a.phase == phaseFinished {
		s.finished--
	}
	delete(s.attempts, a.key)
	s.stopped[a.key] = s.Clock.Now()
}

func (s *Supervisor) release(a *attempt) {
	s.lessee.Remove(a.id)
	s.Admitter.Release(a.id.ID())
}

// finish records the end that the worker showed and frees the commitment.
func (s *Supervisor) finish(a *attempt, t message.WorkerTask) {
	if a.phase == phaseFinished {
		return
	}
	a.observe(t)
	if t.State != stateDone && t.State != stateFailed {
		a.report.State = stateStopped
		if a.report.Checkpoint != "" {
			a.report.State = stateCheckpointed
		}
		if a.reason != "" {
			a.report.Reason = a.reason
		}
	}
	a.phase = phaseFinished
	s.finished++
	s.release(a)
}

func (a *attempt) observe(t message.WorkerTask) {
	checkpoint := a.report.Checkpoint
	if t.Checkpoint != "" {
		checkpoint = t.Checkpoint
	}
	a.report = message.TaskReport{
		State: t.State, Checkpoint: checkpoint, Reason: t.Reason, Progress: t.Progress, Usage: t.Usage, UsageAge: t.UsageAge, Share: t.Share,
	}
}
