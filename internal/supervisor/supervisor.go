// Package supervisor runs the batch tasks of an agent. An attempt is one execution of a task. The supervisor
// admits, starts and stops attempts on the worker, the process that runs the tasks on the VM. An attempt may
// run only under a lease from the entry that owns the task.
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
	// callTimeout is the timeout of a call to the worker. The agent passes the lease of an attempt on to the
	// worker, shortened by this time, because the worker measures the lease from the receipt of the call,
	// which may be delayed this long.
	callTimeout = time.Second
	// stopMargin is how long before the end of its lease an attempt is checkpointed and stopped. It covers a
	// call for the checkpoint, a call for the stop, and the time by which the worker's lease is shorter.
	stopMargin = 3 * callTimeout
	// minLeaseExtension is the minimum extension of a lease that is passed on to the worker.
	minLeaseExtension = 2 * time.Second
	// listInterval is the interval at which the tasks of the worker are listed.
	listInterval = time.Second
	// adoptedLease is how long an attempt that was found after a restart of the agent may run without a lease
	// from an owner. The worker also stops it when the worker's lease expires.
	adoptedLease = 10 * time.Second
	// recordRetention is how long the agent remembers stopped attempts, which must not be started again, and
	// the times at which it sent heartbeats. It is longer than any lease, so the lease of a start that
	// arrives later has expired, and the start is rejected.
	recordRetention = 2 * time.Minute
	// maxUnconfirmed is the number of unconfirmed results from which on starts are rejected. A result is
	// unconfirmed until its owner has recorded it.
	maxUnconfirmedResults = 4096
)

// Phases of an attempt.
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
		// Admitter holds the capacity that is committed to attempts.
		Admitter *admitter.Admitter

		mutex  sync.Mutex
		lessee lessee.Lessee
		// attempts holds the attempts by ID, and finishedCount is the number of finished ones among them.
		attempts      map[string]*attempt
		finishedCount int
		// stoppedAt holds when attempts were removed or were stopped before their start, by ID.
		stoppedAt map[string]time.Time
		// heartbeatTimes holds when heartbeats were sent, by sequence number.
		heartbeatTimes map[uint64]time.Time
		// listedAt is when the last list of the worker's tasks was requested.
		listRequestedAt time.Time
		draining        bool
	}

	// phase is the state of an attempt as the agent knows it.
	phase int

	// attempt is one execution of a task. It is kept until its owner has recorded the result.
	attempt struct {
		// callMutex serialises the calls to the worker for the attempt. Lock it before Supervisor.mutex.
		callMutex sync.Mutex
		// attemptID is the result of identity.ID. The shard and the epoch in identity may change, but
		// attemptID does not.
		attemptID string
		identity  task.Identity
		phase     phase
		report    message.TaskReport
		// endReason is the reason for which the agent itself ends the attempt, if it does.
		endReason string
		// workerLeaseEnd is the latest possible end of the lease that was passed on to the worker.
		workerLeaseEnd time.Time
		// lastStartOrStopAt is when the last call returned that could start or stop the task. A list of the
		// worker's tasks that was requested earlier may not show the effect of that call. It is zero for
		// attempts that were found on the worker.
		lastStartOrStopAt time.Time
	}
)

// RecordHeartbeat records when the heartbeat with the sequence number was sent. The lease in a start request
// counts from that time. If RecordHeartbeat is called several times for a number, the earliest time counts.
func (s *Supervisor) RecordHeartbeat(sequence uint64, at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.initialize()
	if earlier, ok := s.heartbeatTimes[sequence]; !ok || at.Before(earlier) {
		s.heartbeatTimes[sequence] = at
	}
}

// Start admits the attempt and starts it on the worker. Started is true in the response if the attempt runs
// or may run. It may run if the worker did not respond to the call.
func (s *Supervisor) Start(ctx context.Context, start message.StartRequest) message.StartResponse {
	a, response := s.admit(start)
	if a == nil {
		return response
	}
	defer a.callMutex.Unlock()
	s.mutex.Lock()
	leaseEnd, _ := s.lessee.LeaseEnd(a.identity)
	s.mutex.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	workerLease := leaseEnd.Add(-callTimeout).Sub(s.Clock.Now())
	err := s.Worker.Start(callCtx, message.WorkerStart{
		ID: a.attemptID, Kind: start.Kind, Size: start.Size, DeclaredSize: start.DeclaredSize, RunTime: start.RunTime, Lease: workerLease,
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

// admit validates a start request and commits capacity to the attempt. It returns the new attempt with
// callMutex locked, or nil and the response.
func (s *Supervisor) admit(start message.StartRequest) (*attempt, message.StartResponse) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.initialize()
	identity, now := start.Identity, s.Clock.Now()
	reject := func(reason string) (*attempt, message.StartResponse) {
		return nil, message.StartResponse{Reason: reason}
	}
	if start.Generation != s.Generation {
		return reject(ReasonOtherGeneration)
	}
	if !s.lessee.Fence(identity.Shard, identity.Epoch) {
		return reject(string(lessee.StaleEpoch))
	}
	if _, ok := s.attempts[identity.ID()]; ok {
		return nil, message.StartResponse{Started: true}
	}
	if _, ok := s.stoppedAt[identity.ID()]; ok {
		return reject(ReasonStopped)
	}
	if s.draining {
		return reject(message.ReasonDraining)
	}
	if s.finishedCount >= maxUnconfirmedResults {
		return reject(ReasonTooManyUnconfirmed)
	}
	sent, ok := s.heartbeatTimes[start.Sequence]
	if !ok {
		return reject(string(lessee.Expired))
	}
	if v := s.Admitter.Commit(identity.ID(), start.Size); !v.Accepted() {
		return reject(string(v))
	}
	if v := s.lessee.Acquire(identity, start.Duration, sent, now); v != lessee.Accepted {
		s.Admitter.Release(identity.ID())
		return reject(string(v))
	}
	a := s.addAttempt(identity)
	a.callMutex.Lock()
	return a, message.StartResponse{}
}

// Reports returns the reports of all attempts for a heartbeat, sorted by attempt ID: of those that run or may
// run, and of finished ones whose results their owners have not confirmed yet.
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

// Ready reports whether the tasks of the worker have been listed at least once. Before that, Reports lacks
// tasks that were started before a restart of the agent.
func (s *Supervisor) Ready() bool { return s.Admitter.Ready() }

// currentReport returns the report of the attempt. The caller must hold Supervisor.mutex.
func (a *attempt) currentReport() message.TaskReport {
	r := a.report
	r.Identity = a.identity
	if a.phase == phaseUncertain {
		r.Reason = ReasonCallUncertain
	}
	return r
}

// initialize prepares the fields that must not be zero. The caller must hold the mutex.
func (s *Supervisor) initialize() {
	if s.attempts == nil {
		s.attempts, s.stoppedAt, s.heartbeatTimes = map[string]*attempt{}, map[string]time.Time{}, map[uint64]time.Time{}
		s.lessee.ExpiryMargin = stopMargin
	}
}

// addAttempt adds an attempt in phaseRunning.
func (s *Supervisor) addAttempt(identity task.Identity) *attempt {
	a := &attempt{attemptID: identity.ID(), identity: identity, report: message.TaskReport{State: stateRunning}}
	s.attempts[a.attemptID] = a
	return a
}

// removeAttempt removes an attempt that does not run. Starts of it are rejected for recordRetention.
func (s *Supervisor) removeAttempt(a *attempt) {
	s.releaseLeaseAndCapacity(a)
	if a.phase == phaseFinished {
		s.finishedCount--
	}
	delete(s.attempts, a.attemptID)
	s.stoppedAt[a.attemptID] = s.Clock.Now()
}

// releaseLeaseAndCapacity removes the lease of the attempt and releases its committed capacity.
func (s *Supervisor) releaseLeaseAndCapacity(a *attempt) {
	s.lessee.Remove(a.identity)
	s.Admitter.Release(a.identity.ID())
}

// finish records that the attempt has ended as t says, and releases its lease and its capacity. An attempt that
// is neither done nor failed is reported as checkpointed if it has a checkpoint, and as stopped otherwise.
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

// updateReport replaces the report by the state of the task at the worker. A checkpoint is kept if t has
// none.
func (a *attempt) updateReport(t message.WorkerTask) {
	checkpoint := a.report.Checkpoint
	if t.Checkpoint != "" {
		checkpoint = t.Checkpoint
	}
	a.report = message.TaskReport{
		State: t.State, Checkpoint: checkpoint, Reason: t.Reason, Progress: t.Progress, Usage: t.Usage, UsageAge: t.UsageAge, Share: t.Share,
	}
}
