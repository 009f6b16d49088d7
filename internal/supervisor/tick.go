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

// UnknownShard is the shard of an attempt that was found after a restart of the agent, until a lease from
// an owner contains the shard.
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

// Tick stops attempts whose leases are about to expire and, while draining, all remaining attempts. Every
// listInterval it lists the tasks of the worker.
func (s *Supervisor) Tick(ctx context.Context) {
	s.mutex.Lock()
	s.initialize()
	now := s.Clock.Now()
	s.prune(now)
	listDue, draining := now.Sub(s.listedAt) >= listInterval, s.draining
	var expiring []*attempt
	for _, id := range s.lessee.Expiring(now) {
		if a, ok := s.attempts[id.ID()]; ok {
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
		s.listWorker(ctx)
	}
}

// Drain rejects further starts, checkpoints and stops all attempts, and reports whether all have ended.
// Tick retries calls to which the worker did not respond.
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

func (s *Supervisor) endAllAttempts(ctx context.Context) {
	s.mutex.Lock()
	var running []*attempt
	for _, a := range s.attempts {
		if a.phase != phaseFinished {
			running = append(running, a)
		}
	}
	s.mutex.Unlock()
	sort.Slice(running, func(i, j int) bool { return running[i].attemptID < running[j].attemptID })
	for _, a := range running {
		s.endAttempt(ctx, a, ReasonDrained)
	}
}

// endAttempt checkpoints and stops an attempt. It stops the attempt even if the checkpoint fails.
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

// listWorker lists the tasks of the worker and updates the attempts from the list. The first list after a
// start of the agent adopts the tasks that an earlier agent process has started.
func (s *Supervisor) listWorker(ctx context.Context) {
	requestedAt := s.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := s.Worker.List(callCtx)
	if err != nil {
		return
	}
	s.mutex.Lock()
	s.listedAt = requestedAt
	if !s.Admitter.Ready() {
		s.adoptTasks(list)
	}
	var unleased []*attempt
	tasksByID := map[string]message.WorkerTask{}
	for _, t := range list.Tasks {
		tasksByID[t.ID] = t
		if _, known := s.attempts[t.ID]; !known && t.State == stateRunning {
			if id, ok := parseAttemptID(t.ID); ok {
				// A start took effect after the agent had given it up. No lease covers the task.
				a := s.addAttempt(id)
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

func (s *Supervisor) adoptTasks(list message.WorkerTasks) {
	running := map[string]resource.Amount{}
	for _, t := range list.Tasks {
		id, ok := parseAttemptID(t.ID)
		if t.State == stateRunning {
			running[t.ID] = t.Size
		}
		if !ok {
			continue
		}
		a := s.addAttempt(id)
		if t.State == stateRunning {
			s.lessee.Adopt(id, s.Clock.Now().Add(adoptedLease))
			a.updateReport(t)
		} else {
			s.finish(a, t)
		}
	}
	s.Admitter.Initialize(list.Capacity, running)
}

// reconcile updates the attempts from a list of the worker's tasks that was requested at startedAt.
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
			// The attempt was adopted, and the worker no longer lists it.
			s.finish(a, message.WorkerTask{State: stateStopped, Reason: ReasonNotAtWorker, Progress: a.report.Progress})
		}
		a.callMutex.Unlock()
	}
}

// absenceDelay returns how long after a call a list must be requested for a missing task to count as not
// running. It is longer after a call without a response, because the start may still be in transit.
func (*Supervisor) absenceDelay(a *attempt) time.Duration {
	if a.phase == phaseUncertain {
		return 2 * callTimeout
	}
	return time.Nanosecond
}

func (s *Supervisor) prune(now time.Time) {
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
	job, number, ok := cutLastNumber(rest)
	return task.Identity{Job: job, Task: number, Attempt: attempt, Shard: UnknownShard}, ok && job != ""
}

func cutLastNumber(s string) (string, int, bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(s[i+1:])
	return s[:i], n, err == nil
}
