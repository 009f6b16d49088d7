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

// UnknownShard is the shard in the identity of an attempt that was found on the worker. It is replaced when an
// entry grants a lease for the attempt, because the lease names the shard.
const UnknownShard = -1

// Run calls Tick once and then at every interval until ctx ends. It returns nil.
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

// Tick checkpoints and stops attempts whose leases are about to expire. After Drain was called, it does so with
// all attempts that have not ended. If the last list of the worker's tasks was requested at least listInterval
// ago, Tick requests a new one.
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

// Drain checkpoints and stops all attempts and reports whether all of them have ended. From then on, starts are
// rejected. If the worker does not respond to a call, later calls of Tick repeat the call.
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

// endAllAttempts checkpoints and stops all attempts that have not ended, and gives the draining of the agent as
// the reason.
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

// endAttempt checkpoints and stops an attempt that has not ended. It stops the attempt even if the checkpoint
// fails. The reason is stored for the report, unless the agent had another reason to end the attempt before.
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

// listWorkerTasks requests the list of the worker's tasks and updates the attempts from it. Until the Supervisor is
// settled, it adds attempts for the listed tasks, because an earlier run of the agent process has started them. It
// stops tasks of later lists that belong to no known attempt.
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
	if !s.settled {
		s.adoptTasks(list)
		s.settled = requestedAt.Sub(s.beganAt) >= maxCallDelay
	}
	var unleased []*attempt
	tasksByID := map[string]message.WorkerTask{}
	for _, t := range list.Tasks {
		tasksByID[t.ID] = t
		if _, known := s.attempts[t.ID]; !known && t.State == stateRunning {
			if identity, ok := parseAttemptID(t.ID); ok {
				// The start call for this task took effect only after the agent had removed the attempt. There
				// is no lease for the task, so it is stopped.
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

// adoptTasks adds an attempt for each task with a valid attempt ID in the list of the worker's tasks, unless the
// attempt is already known or has been removed. Added tasks that run get committed capacity and a lease of adoptedLease.
// From the first list, running tasks without a valid attempt ID get committed capacity too.
func (s *Supervisor) adoptTasks(list message.WorkerTasks) {
	runningSizes := map[string]resource.Amount{}
	first := !s.Admitter.Ready()
	for _, t := range list.Tasks {
		identity, ok := parseAttemptID(t.ID)
		_, known := s.attempts[t.ID]
		_, removed := s.stoppedAt[t.ID]
		if known || removed {
			continue
		}
		if t.State == stateRunning && (ok || first) {
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

// reconcile updates the attempts from a list of the worker's tasks that was requested at requestedAt. tasksByID
// holds the listed tasks by attempt ID. An attempt is skipped while another call to the worker for it is in
// progress.
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
			// The attempt was found on the worker by an earlier list, and the worker no longer lists it.
			s.finish(a, message.WorkerTask{State: stateStopped, Reason: ReasonNotAtWorker, Progress: a.report.Progress})
		}
		a.callMutex.Unlock()
	}
}

// absenceDelay returns the minimum time from a.lastStartOrStopAt to the request of a list of the worker's tasks.
// Only if the attempt is missing from a list that was requested at least this much later, it does not run. If it
// is missing from a list that was requested earlier, it may still run or start. Without an unconfirmed call,
// any later time is enough, so the result is the smallest positive duration. The delay is longer if the worker did not confirm the last start or stop call,
// because an unconfirmed start may still take effect.
func (*Supervisor) absenceDelay(a *attempt) time.Duration {
	if a.phase == phaseUncertain {
		return maxCallDelay
	}
	return time.Nanosecond
}

// removeOldRecords removes those entries of stoppedAt and heartbeatTimes that are older than recordRetention.
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

// parseAttemptID parses an attempt ID of the form job/task/attempt, where job may contain slashes, and task and
// attempt are numbers. It returns false for an ID of another form.
func parseAttemptID(id string) (task.Identity, bool) {
	rest, attemptNumber, ok := cutLastNumber(id)
	if !ok {
		return task.Identity{}, false
	}
	job, taskNumber, ok := cutLastNumber(rest)
	return task.Identity{Job: job, Task: taskNumber, Attempt: attemptNumber, Shard: UnknownShard}, ok && job != ""
}

// cutLastNumber returns the part of s before its last slash, and the number after that slash. It returns false
// if s has no slash or no number after it.
func cutLastNumber(s string) (string, int, bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(s[i+1:])
	return s[:i], n, err == nil
}
