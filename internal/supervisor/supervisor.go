// Package supervisor is the part of an agent that is responsible for the batch tasks on its VM. An attempt is
// one execution of a task. The supervisor admits attempts, and it starts and stops them on the worker, the
// process that runs the tasks on the VM. The owner of a task is the entry that schedules it. An attempt may run
// only while it has a lease from the owner. The tasks are divided into shards. Each new owner of a shard gets a
// higher epoch.
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
	// worker, shortened by this time: the worker measures the lease from the receipt of the call, and the call
	// may take this long to arrive.
	callTimeout = time.Second
	// stopMargin is how long before the end of its lease an attempt is checkpointed and stopped. It is the sum
	// of the timeouts of the two calls to the worker and of the time by which the lease that was passed on to
	// the worker is shorter.
	stopMargin = 3 * callTimeout
	// minLeaseExtension is by how much a renewed lease must end later than the lease that was last passed on to
	// the worker. Otherwise the renewal is not passed on, which saves a call.
	minLeaseExtension = 2 * time.Second
	// maxCallDelay is how long after the end of an unconfirmed call to the worker the call may still take effect. The
	// end is the time at which the call timed out, or at which the agent process that made it ended.
	maxCallDelay = 2 * callTimeout
	// listInterval is the interval at which the agent requests the list of the worker's tasks.
	listInterval = time.Second
	// adoptedLease is how long an attempt that was found on the worker after a restart of the agent may run
	// until an entry grants a lease for it. The worker stops it earlier if the lease that the previous run of
	// the agent passed on to the worker expires first.
	adoptedLease = 10 * time.Second
	// recordRetention is how long the agent remembers stopped attempts, which must not be started again, and
	// the times at which it sent heartbeats. It is longer than any lease. A start that arrives after this time
	// is rejected, because its lease has expired.
	recordRetention = 2 * time.Minute
	// maxUnconfirmedResults is the number of finished attempts from which on starts are rejected. A finished
	// attempt is kept until the entry that schedules its task confirms that it has recorded the result.
	maxUnconfirmedResults = 4096
)

// Phases of an attempt.
const (
	phaseRunning phase = iota
	// phaseUncertain means that a start or stop call to the worker may or may not have taken effect, so the
	// attempt may run. Its capacity stays committed until a list of the worker's tasks shows whether it runs.
	phaseUncertain
	// phaseFinished means that the attempt has ended and its result is not yet confirmed.
	phaseFinished
)

type (
	// Supervisor starts and stops attempts, which are executions of batch tasks, on the worker of one VM, and
	// holds their leases and reports. Set the exported fields before the first call. It is safe for concurrent
	// use.
	Supervisor struct {
		// Generation identifies this run of the agent process.
		Generation string
		Worker     Worker
		Clock      Clock
		// Admitter decides whether the VM has room for an attempt, and holds the capacity that is committed to
		// attempts.
		Admitter *admitter.Admitter

		// mutex guards the fields below.
		mutex sync.Mutex
		// lessee holds the leases of the attempts and the highest known epoch of each shard.
		lessee lessee.Lessee
		// attempts holds the attempts by their ID. finishedCount is the number of those that have ended and
		// whose results are not yet confirmed.
		attempts      map[string]*attempt
		finishedCount int
		// stoppedAt maps the IDs of attempts that were removed, or that were stopped before they were started,
		// to the time of that.
		stoppedAt map[string]time.Time
		// heartbeatTimes maps the sequence numbers of heartbeats to the times at which they were sent.
		heartbeatTimes map[uint64]time.Time
		// beganAt is when the first method of this Supervisor was called. The previous run of the agent process had
		// ended by then.
		beganAt time.Time
		// settled is true once the agent has received a list of the worker's tasks that was requested at least
		// maxCallDelay after beganAt. All start calls of the previous run of the agent process have then taken effect
		// or never will. Before that, an attempt that is not listed may still start, so no stop of an unknown attempt
		// is accepted, and there may be less free capacity than the list shows, so no attempt is started.
		settled bool
		// listRequestedAt is when the newest list of the worker's tasks that the agent has received was
		// requested.
		listRequestedAt time.Time
		draining        bool
	}

	// phase is the state of an attempt as the agent knows it.
	phase int

	// attempt is the record of one execution of a task. It is kept until the owner of the task, which is the entry that
	// schedules it, has recorded the result.
	attempt struct {
		// callMutex serialises the calls to the worker for this attempt. If both are needed, lock it before
		// Supervisor.mutex.
		callMutex sync.Mutex
		// attemptID is the result of identity.ID(), which names the job, the task and the attempt. A lease may
		// change the shard and the epoch in identity, but never attemptID.
		attemptID string
		identity  task.Identity
		phase     phase
		report    message.TaskReport
		// endReason is set when the agent ends the attempt without a command from an entry, for example because
		// its lease is about to expire.
		endReason string
		// workerLeaseEnd is the latest time at which the lease that was last passed on to the worker can end.
		workerLeaseEnd time.Time
		// lastStartOrStopAt is when the last call to the worker that could start or stop the attempt returned.
		// A list of the worker's tasks that was requested earlier may not show the effect of that call.
		// lastStartOrStopAt is zero for an attempt that was found on the worker, at least until the agent stops
		// it.
		lastStartOrStopAt time.Time
	}
)

// RecordHeartbeat records when the heartbeat with the sequence number was sent. A start request names a
// heartbeat, and its lease is measured from the time at which that heartbeat was sent. If RecordHeartbeat is
// called several times for a sequence number, the earliest time counts.
func (s *Supervisor) RecordHeartbeat(sequence uint64, at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.initialize()
	if earlier, ok := s.heartbeatTimes[sequence]; !ok || at.Before(earlier) {
		s.heartbeatTimes[sequence] = at
	}
}

// Start admits the attempt and starts it on the worker. Started is true in the response if the attempt runs, or
// if it may run because the worker did not respond to the call.
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
// callMutex locked. If the request is rejected, or the attempt was started before, it returns nil and the
// response to the request.
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
	heartbeatSentAt, ok := s.heartbeatTimes[start.Sequence]
	if !ok {
		return reject(string(lessee.Expired))
	}
	if !s.settled {
		return reject(message.ReasonNotReady)
	}
	if v := s.Admitter.Commit(identity.ID(), start.Size); !v.Accepted() {
		return reject(string(v))
	}
	if v := s.lessee.Acquire(identity, start.Duration, heartbeatSentAt, now); v != lessee.Accepted {
		s.Admitter.Release(identity.ID())
		return reject(string(v))
	}
	a := s.addAttempt(identity)
	a.callMutex.Lock()
	return a, message.StartResponse{}
}

// Reports returns the reports of all attempts for a heartbeat, sorted by attempt ID: of attempts that run or
// may run, and of ended ones whose results the owners of their tasks have not yet confirmed.
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

// Ready reports whether Reports contains all attempts that the previous run of the agent process has started. Before
// that, no attempts are started.
func (s *Supervisor) Ready() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.settled
}

// currentReport returns the report of the attempt as it is sent to entries. The caller must hold
// Supervisor.mutex.
func (a *attempt) currentReport() message.TaskReport {
	r := a.report
	r.Identity = a.identity
	if a.phase == phaseUncertain {
		r.Reason = ReasonCallUncertain
	}
	return r
}

// initialize creates the maps of the Supervisor, and sets the expiry margin of its leases and beganAt, unless an
// earlier call did so. The caller must hold Supervisor.mutex.
func (s *Supervisor) initialize() {
	if s.attempts == nil {
		s.attempts, s.stoppedAt, s.heartbeatTimes = map[string]*attempt{}, map[string]time.Time{}, map[uint64]time.Time{}
		s.lessee.ExpiryMargin, s.beganAt = stopMargin, s.Clock.Now()
	}
}

// addAttempt adds an attempt in phaseRunning with the state running in its report. The caller must hold
// Supervisor.mutex.
func (s *Supervisor) addAttempt(identity task.Identity) *attempt {
	a := &attempt{attemptID: identity.ID(), identity: identity, report: message.TaskReport{State: stateRunning}}
	s.attempts[a.attemptID] = a
	return a
}

// removeAttempt removes an attempt that does not run, with its lease and its committed capacity. For
// recordRetention, starts of the attempt are rejected because it was stopped. The caller must hold
// Supervisor.mutex.
func (s *Supervisor) removeAttempt(a *attempt) {
	s.releaseLeaseAndCapacity(a)
	if a.phase == phaseFinished {
		s.finishedCount--
	}
	delete(s.attempts, a.attemptID)
	s.stoppedAt[a.attemptID] = s.Clock.Now()
}

// releaseLeaseAndCapacity removes the lease of the attempt and releases the capacity that is committed to it.
func (s *Supervisor) releaseLeaseAndCapacity(a *attempt) {
	s.lessee.Remove(a.identity)
	s.Admitter.Release(a.identity.ID())
}

// finish records that the attempt has ended. t is the final state of its task at the worker. An attempt that is
// neither done nor failed is reported as checkpointed if it has a checkpoint, and as stopped otherwise. finish
// also releases the lease and the committed capacity of the attempt. The caller must hold Supervisor.mutex.
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

// updateReport replaces the report of the attempt by the state t of its task at the worker. If t has no
// checkpoint, the previous one is kept.
func (a *attempt) updateReport(t message.WorkerTask) {
	checkpoint := a.report.Checkpoint
	if t.Checkpoint != "" {
		checkpoint = t.Checkpoint
	}
	a.report = message.TaskReport{
		State: t.State, Checkpoint: checkpoint, Reason: t.Reason, Progress: t.Progress, Usage: t.Usage, UsageAge: t.UsageAge, Share: t.Share,
	}
}
