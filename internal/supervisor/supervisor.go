// Package supervisor runs the batch tasks of an agent. It admits, starts and stops task attempts on the
// worker of its VM, as permitted by the leases from the owners of the tasks.
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
	// callTimeout is the timeout of a call to the worker. The worker's lease is shorter than the agent's by
	// this time, because the worker counts from the receipt of a call, which may be delayed this long.
	callTimeout = time.Second
	// stopMargin is how long before the end of its lease an attempt is checkpointed and stopped. It covers
	// one call for each and the shorter lease of the worker.
	stopMargin = 3 * callTimeout
	// minLeaseExtension is the minimum time by which a renewal must extend the worker's lease. Smaller
	// extensions are not sent to the worker.
	minLeaseExtension = 2 * time.Second
	// listInterval is the interval at which the tasks of the worker are listed.
	listInterval = time.Second
	// adoptedLease is how long an attempt that was found after a restart of the agent may run without a lease
	// from an owner. The worker enforces its own lease independently.
	adoptedLease = 10 * time.Second
	// stoppedRetention is how long a stopped attempt is remembered so that it is not started again. It is
	// longer than an outage lease. After that, the lease of a late start has expired, and the start is rejected.
	recordRetention = 2 * time.Minute
	// maxUnconfirmed is the number of results not confirmed by an owner at which starts are rejected.
	maxUnconfirmed = 4096
)

const (
	phaseRunning phase = iota
	// phaseUncertain means that a call to the worker may or may not have taken effect. The capacity stays
	// committed until a list of the worker's tasks shows whether the task runs.
	phaseUncertain
	phaseFinished
)

type (
	// Supervisor runs the attempts on one VM. Set the exported fields before the first call. It is safe for
	// concurrent use.
	Supervisor struct {
		// Generation identifies this run of the agent process.
		Generation string
		Worker     Worker
		Clock      Clock
		// Admitter is shared with the other users of the VM's capacity.
		Admitter *admitter.Admitter

		mutex          sync.Mutex
		lessee         lessee.Lessee
		attempts       map[string]*attempt
		finishedCount  int
		stoppedAt      map[string]time.Time
		heartbeatTimes map[uint64]time.Time
		listedAt       time.Time
		draining       bool
	}

	phase int

	attempt struct {
		// callMutex serialises the calls to the worker for the attempt. Lock it before Supervisor.mutex.
		callMutex sync.Mutex
		// key is the result of id.ID. The shard and epoch in id may change, but key does not.
		attemptID string
		identity  task.Identity
		phase     phase
		report    message.TaskReport
		// endReason is the reason for which the agent itself ends the attempt, if it does.
		endReason string
		// workerLeaseEnd is the latest possible end of the worker's lease.
		workerLeaseEnd time.Time
		// changedAt is when the last call returned that could create or end the task. A list requested
		// earlier does not show the effect of that call.
		lastStartOrStopAt time.Time
	}
)

// RecordHeartbeat records when the heartbeat with the sequence number was sent. If it was sent to several
// entries, the earliest time counts.
func (s *Supervisor) RecordHeartbeat(sequence uint64, at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.initialize()
	if earlier, ok := s.heartbeatTimes[sequence]; !ok || at.Before(earlier) {
		s.heartbeatTimes[sequence] = at
	}
}

// Start admits the attempt and starts it on the worker. Started is true if the attempt runs or may run,
// which includes a call to which the worker did not respond.
func (s *Supervisor) Start(ctx context.Context, start message.StartRequest) message.StartResponse {
	a, response := s.admit(start)
	if a == nil {
		return response
	}
	defer a.callMutex.Unlock()
	s.mutex.Lock()
	leaseEnd, _ := s.lessee.ExpiresAt(a.identity)
	s.mutex.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	workerLease := leaseEnd.Add(-callTimeout).Sub(s.Clock.Now())
	err := s.Worker.Start(callCtx, message.WorkerStart{
		ID: a.attemptID, Kind: start.Kind, Size: start.Size, JobSize: start.JobSize, RunTime: start.RunTime, Lease: workerLease,
		Checkpoint: start.Checkpoint, Payload: start.Payload,
	})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a.lastStartOrStopAt, a.workerLeaseEnd = s.Clock.Now(), leaseEnd
	switch {
	case err == nil:
		return message.StartResponse{Started: true}
	case errors.Is(err, ErrRefused):
		a.report.State = stateStopped
		s.removeAttempt(a)
		return message.StartResponse{Reason: ReasonWorkerRefused}
	}
	a.phase = phaseUncertain
	return message.StartResponse{Started: true, Reason: ReasonCallUncertain}
}

// admit validates a start and commits capacity for it. It returns the new attempt with callMutex locked,
// or nil and the response.
func (s *Supervisor) admit(start message.StartRequest) (*attempt, message.StartResponse) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.initialize()
	id, now := start.Identity, s.Clock.Now()
	reject := func(reason string) (*attempt, message.StartResponse) {
		return nil, message.StartResponse{Reason: reason}
	}
	if start.Generation != s.Generation {
		return reject(ReasonOtherGeneration)
	}
	if !s.lessee.Fence(id.Shard, id.Epoch) {
		return reject(string(lessee.StaleEpoch))
	}
	if _, ok := s.attempts[id.ID()]; ok {
		return nil, message.StartResponse{Started: true}
	}
	if _, ok := s.stoppedAt[id.ID()]; ok {
		return reject(ReasonStopped)
	}
	if s.draining {
		return reject(message.ReasonDraining)
	}
	if s.finishedCount >= maxUnconfirmed {
		return reject(ReasonTooManyUnconfirmed)
	}
	sent, ok := s.heartbeatTimes[start.Sequence]
	if !ok {
		return reject(string(lessee.Expired))
	}
	if v := s.Admitter.Commit(id.ID(), start.Size); !v.Accepted() {
		return reject(string(v))
	}
	if v := s.lessee.Acquire(id, start.Duration, sent, now); v != lessee.Accepted {
		s.Admitter.Release(id.ID())
		return reject(string(v))
	}
	a := s.addAttempt(id)
	a.callMutex.Lock()
	return a, message.StartResponse{}
}

// Reports returns reports of all attempts for a heartbeat, sorted by ID: of the running ones, and of the
// finished ones whose results were not confirmed by their owners.
func (s *Supervisor) Reports() []message.TaskReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reports := make([]message.TaskReport, 0, len(s.attempts))
	for _, a := range s.attempts {
		reports = append(reports, a.currentReport())
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].ID() < reports[j].ID() })
	return reports
}

// Ready reports whether the tasks of the worker were listed once, so that Reports is complete.
func (s *Supervisor) Ready() bool { return s.Admitter.Ready() }

func (a *attempt) currentReport() message.TaskReport {
	r := a.report
	r.Identity = a.identity
	if a.phase == phaseUncertain {
		r.Reason = ReasonCallUncertain
	}
	return r
}

func (s *Supervisor) initialize() {
	if s.attempts == nil {
		s.attempts, s.stoppedAt, s.heartbeatTimes = map[string]*attempt{}, map[string]time.Time{}, map[uint64]time.Time{}
		s.lessee.ExpiryMargin = stopMargin
	}
}

func (s *Supervisor) addAttempt(id task.Identity) *attempt {
	a := &attempt{attemptID: id.ID(), identity: id, report: message.TaskReport{State: stateRunning}}
	s.attempts[a.attemptID] = a
	return a
}

// removeAttempt removes an attempt that does not run. It cannot be started again for stoppedRetention.
func (s *Supervisor) removeAttempt(a *attempt) {
	s.releaseLeaseAndCapacity(a)
	if a.phase == phaseFinished {
		s.finishedCount--
	}
	delete(s.attempts, a.attemptID)
	s.stoppedAt[a.attemptID] = s.Clock.Now()
}

func (s *Supervisor) releaseLeaseAndCapacity(a *attempt) {
	s.lessee.Remove(a.identity)
	s.Admitter.Release(a.identity.ID())
}

// finish records the end of the attempt as the worker reported it and releases its capacity.
func (s *Supervisor) finish(a *attempt, t message.WorkerTask) {
	if a.phase == phaseFinished {
		return
	}
	a.updateReport(t)
	if t.State != stateDone && t.State != stateFailed {
		a.report.State = stateStopped
		if a.report.Checkpoint != "" {
			a.report.State = stateCheckpointed
		}
		if a.endReason != "" {
			a.report.Reason = a.endReason
		}
	}
	a.phase = phaseFinished
	s.finishedCount++
	s.releaseLeaseAndCapacity(a)
}

func (a *attempt) updateReport(t message.WorkerTask) {
	checkpoint := a.report.Checkpoint
	if t.Checkpoint != "" {
		checkpoint = t.Checkpoint
	}
	a.report = message.TaskReport{
		State: t.State, Checkpoint: checkpoint, Reason: t.Reason, Progress: t.Progress, Usage: t.Usage, UsageAge: t.UsageAge, Share: t.Share,
	}
}
