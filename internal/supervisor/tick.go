package supervisor

import (
	"context"
	"sort"
	"strconv"
	"strings"
	"time"

	"bamboohook/internal/message"
	"bamboohook/resource"
	"bamboohook/task"
)

// UnknownShard is the shard of an attempt that was found on the worker, until a lease from an owner names the
// shard.
const UnknownShard = -1

// Run calls Tick at the interval until ctx ends. It returns nil.
func (s *Supervisor) Run(ctx context.Context, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		s.Tick(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Tick checkpoints and stops attempts whose leases are about to expire and, while draining, all remaining
// attempts. If the last list of the worker's tasks is older than listInterval, it requests a new one.
func (s *Supervisor) Tick(ctx context.Context) {
	s.mutex.Lock()
	s.initialize()
	now := s.Clock.Now()
	s.removeOldRecords(now)
	listDue, draining := now.Sub(s.listRequestedAt) >= listInterval, s.draining
	var expiring []*attempt
	for _, identity := range s.lessee.Expiring(now) {
		if a, ok := s.attempts[identity.ID()]; ok {
			expiring = append(expiring, a)
		}
	}
	s.mutex.Unlock()
	for _, a := range expiring {
		s.endAttempt(ctx, a, ReasonLeaseExpiring)
	}
	if draining {
		s.endAllAttempts(ctx)
	}
	if listDue {
		s.listWorkerTasks(ctx)
	}
}

// Drain rejects further starts, checkpoints and stops all attempts, and reports whether all of them have
// ended. If the worker does not respond to a call, later calls of Tick repeat it.
func (s *Supervisor) Drain(ctx context.Context) bool {
	s.mutex.Lock()
	s.initialize()
	s.draining = true
	s.mutex.Unlock()
	s.endAllAttempts(ctx)
	for _, r := range s.Reports() {
		if r.State == stateRunning {
			return false
		}
	}
	return true
}

// endAllAttempts checkpoints and stops all attempts that have not finished, because the agent drains.
func (s *Supervisor) endAllAttempts(ctx context.Context) {
	s.mutex.Lock()
	var unfinished []*attempt
	for _, a := range s.attempts {
		if a.phase != phaseFinished {
			unfinished = append(unfinished, a)
		}
	}
	s.mutex.Unlock()
	sort.Slice(unfinished, func(i, j int) bool { return unfinished[i].attemptID < unfinished[j].attemptID })
	for _, a := range unfinished {
		s.endAttempt(ctx, a, ReasonDrained)
	}
}

// endAttempt checkpoints and stops an attempt for the given reason. It stops the attempt even if the
// checkpoint fails.
func (s *Supervisor) endAttempt(ctx context.Context, a *attempt, reason string) {
	a.callMutex.Lock()
	defer a.callMutex.Unlock()
	s.mutex.Lock()
	finished := a.phase == phaseFinished
	if a.endReason == "" {
		a.endReason = reason
	}
	s.mutex.Unlock()
	if finished {
		return
	}
	if r := s.checkpointAttempt(ctx, a).Report; r.State == stateRunning {
		s.stopAttempt(ctx, a)
	}
}

// listWorkerTasks requests the list of the worker's tasks and updates the attempts from it. From the first list,
// it adopts the tasks that an earlier run of the agent process has started.
func (s *Supervisor) listWorkerTasks(ctx context.Context) {
	requestedAt := s.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := s.Worker.List(callCtx)
	if err != nil {
		return
	}
	s.mutex.Lock()
	s.listRequestedAt = requestedAt
	if !s.Admitter.Ready() {
		s.adoptTasks(list)
	}
	var unleased []*attempt
	tasksByID := map[string]message.WorkerTask{}
	for _, t := range list.Tasks {
		tasksByID[t.ID] = t
		if _, known := s.attempts[t.ID]; !known && t.State == stateRunning {
			if identity, ok := parseAttemptID(t.ID); ok {
				// A start call took effect after the agent had removed the attempt. No lease covers the task.
				a := s.addAttempt(identity)
				a.endReason, a.phase = message.ReasonUnknownAttempt, phaseUncertain
				s.Admitter.Adopt(t.ID, t.Size)
				unleased = append(unleased, a)
			}
		}
	}
	s.reconcile(tasksByID, requestedAt)
	s.mutex.Unlock()
	for _, a := range unleased {
		s.endAttempt(ctx, a, message.ReasonUnknownAttempt)
	}
}

// adoptTasks creates an attempt for each listed task and commits capacity to the running ones.
func (s *Supervisor) adoptTasks(list message.WorkerTasks) {
	runningSizes := map[string]resource.Amount{}
	for _, t := range list.Tasks {
		identity, ok := parseAttemptID(t.ID)
		if t.State == stateRunning {
			runningSizes[t.ID] = t.Size
		}
		if !ok {
			continue
		}
		a := s.addAttempt(identity)
		if t.State == stateRunning {
			s.lessee.Adopt(identity, s.Clock.Now().Add(adoptedLease))
			a.updateReport(t)
		} else {
			s.finish(a, t)
		}
	}
	s.Admitter.Initialize(list.Capacity, runningSizes)
}

// reconcile updates the attempts from a list of the worker's tasks that was requested at requestedAt. It
// skips attempts for which another call to the worker is in progress.
func (s *Supervisor) reconcile(tasksByID map[string]message.WorkerTask, requestedAt time.Time) {
	for id, a := range s.attempts {
		if a.phase == phaseFinished || !a.callMutex.TryLock() {
			continue
		}
		t, ok := tasksByID[id]
		switch {
		case ok && t.State == stateRunning:
			a.phase = phaseRunning
			a.updateReport(t)
		case ok:
			s.finish(a, t)
		case !a.lastStartOrStopAt.IsZero() && requestedAt.Sub(a.lastStartOrStopAt) >= s.absenceDelay(a):
			s.finish(a, message.WorkerTask{State: stateStopped, Reason: ReasonNotAtWorker, Progress: a.report.Progress})
		case a.lastStartOrStopAt.IsZero():
			// The attempt was found on the worker, and the worker no longer lists it.
			s.finish(a, message.WorkerTask{State: stateStopped, Reason: ReasonNotAtWorker, Progress: a.report.Progress})
		}
		a.callMutex.Unlock()
	}
}

// absenceDelay returns the minimum time from attempt.lastStartOrStopAt to the request of a list after which a
// task that is missing from the list counts as not running. It is longer if the worker did not confirm the
// call, because a start may still take effect later.
func (*Supervisor) absenceDelay(a *attempt) time.Duration {
	if a.phase == phaseUncertain {
		return 2 * callTimeout
	}
	return time.Nanosecond
}

// removeOldRecords removes the records of stopped attempts and heartbeats that are older than recordRetention.
func (s *Supervisor) removeOldRecords(now time.Time) {
	for id, at := range s.stoppedAt {
		if now.Sub(at) > recordRetention {
			delete(s.stoppedAt, id)
		}
	}
	for sequence, at := range s.heartbeatTimes {
		if now.Sub(at) > recordRetention {
			delete(s.heartbeatTimes, sequence)
		}
	}
}

// parseAttemptID parses the result of task.Identity.ID.
func parseAttemptID(id string) (task.Identity, bool) {
	rest, attempt, ok := cutLastNumber(id)
	if !ok {
		return task.Identity{}, false
	}
	job, taskNumber, ok := cutLastNumber(rest)
	return task.Identity{Job: job, Task: taskNumber, Attempt: attempt, Shard: UnknownShard}, ok && job != ""
}

// cutLastNumber splits s at its last slash and parses the part after it as a number. It returns false if
// there is no slash or no number.
func cutLastNumber(s string) (string, int, bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(s[i+1:])
	return s[:i], n, err == nil
}
