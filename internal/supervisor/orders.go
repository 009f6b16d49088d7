package supervisor

import (
	"context"
	"time"

	"bamboohook/internal/message"
	"bamboohook/lessee"
)

// Stop ends an attempt. If the response is Accepted, the attempt does not run, its later starts are
// rejected, and the report says how it ended. This is also the case if the attempt is unknown.
func (s *Supervisor) Stop(ctx context.Context, command message.TaskCommand) message.TaskCommandResponse {
	a, response := s.lockForCommand(command, true)
	if a == nil {
		return response
	}
	defer a.callMutex.Unlock()
	return s.stopAttempt(ctx, a)
}

// Checkpoint makes the worker write a checkpoint of a running attempt.
func (s *Supervisor) Checkpoint(ctx context.Context, command message.TaskCommand) message.TaskCommandResponse {
	a, response := s.lockForCommand(command, false)
	if a == nil {
		return response
	}
	defer a.callMutex.Unlock()
	return s.checkpointAttempt(ctx, a)
}

// Throttle limits a running attempt to the fraction command.Share of its processors.
func (s *Supervisor) Throttle(ctx context.Context, command message.TaskCommand) message.TaskCommandResponse {
	if command.Share < 0 || command.Share > 1 {
		return message.TaskCommandResponse{Reason: message.ReasonBadRequest}
	}
	a, response := s.lockForCommand(command, false)
	if a == nil {
		return response
	}
	defer a.callMutex.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.Worker.Throttle(callCtx, a.attemptID, message.WorkerThrottle{Share: command.Share}); err != nil {
		return message.TaskCommandResponse{Reason: ReasonCallUncertain, Report: s.reportWithLock(a)}
	}
	return message.TaskCommandResponse{Accepted: true, Report: s.reportWithLock(a)}
}

// HandleHeartbeatResponse applies an entry's response to the heartbeat that was sent at the given time: it
// renews the leases of attempts, and it removes finished attempts whose results the entry has recorded.
func (s *Supervisor) HandleHeartbeatResponse(ctx context.Context, sent time.Time, response message.HeartbeatResponse) {
	var renewed []*attempt
	s.mutex.Lock()
	s.initialize()
	now := s.Clock.Now()
	for _, lease := range response.Leases {
		a, ok := s.attempts[lease.ID()]
		if !ok || a.phase == phaseFinished || s.lessee.Renew(lease.Identity, lease.Duration, sent, now) != lessee.Accepted {
			continue
		}
		a.identity = lease.Identity
		if leaseEnd, _ := s.lessee.LeaseEnd(a.identity); leaseEnd.Sub(a.workerLeaseEnd) >= minLeaseExtension {
			renewed = append(renewed, a)
		}
	}
	for _, identity := range response.ConfirmedAttempts {
		if a, ok := s.attempts[identity.ID()]; ok && a.phase == phaseFinished {
			s.removeAttempt(a)
		}
	}
	s.mutex.Unlock()
	for _, a := range renewed {
		s.renewWorkerLease(ctx, a)
	}
}

// renewWorkerLease extends the worker's lease for the attempt according to the lease from the owner.
func (s *Supervisor) renewWorkerLease(ctx context.Context, a *attempt) {
	a.callMutex.Lock()
	defer a.callMutex.Unlock()
	s.mutex.Lock()
	leaseEnd, ok := s.lessee.LeaseEnd(a.identity)
	s.mutex.Unlock()
	workerLease := leaseEnd.Add(-callTimeout).Sub(s.Clock.Now())
	if !ok || workerLease <= 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// After an error, the next heartbeat response leads to another renewal. If the worker no longer has the
	// task, its next list of tasks shows that.
	if s.Worker.Renew(callCtx, a.attemptID, message.WorkerRenew{Lease: workerLease}) == nil {
		s.mutex.Lock()
		a.workerLeaseEnd = leaseEnd
		s.mutex.Unlock()
	}
}

// lockForCommand validates a command. It returns the running attempt with callMutex locked, or nil and the
// response. isStop is true for a stop command. Such a command is accepted for an unknown or finished
// attempt, and makes later starts of an unknown attempt fail.
func (s *Supervisor) lockForCommand(command message.TaskCommand, isStop bool) (*attempt, message.TaskCommandResponse) {
	reject := func(reason string) (*attempt, message.TaskCommandResponse) {
		return nil, message.TaskCommandResponse{Reason: reason}
	}
	s.mutex.Lock()
	s.initialize()
	identity := command.Identity
	a, known := s.attempts[identity.ID()]
	sameGeneration, ready, epochIsCurrent := command.Generation == s.Generation, s.Admitter.Ready(), false
	if sameGeneration {
		epochIsCurrent = s.lessee.Fence(identity.Shard, identity.Epoch)
	}
	if sameGeneration && ready && epochIsCurrent && !known && isStop {
		s.stoppedAt[identity.ID()] = s.Clock.Now()
	}
	s.mutex.Unlock()
	switch {
	case !sameGeneration:
		return reject(ReasonOtherGeneration)
	case !ready:
		return reject(message.ReasonNotReady)
	case !epochIsCurrent:
		return reject(string(lessee.StaleEpoch))
	case !known && isStop:
		return nil, message.TaskCommandResponse{
			Accepted: true, Report: message.TaskReport{Identity: identity, State: stateStopped, Reason: message.ReasonUnknownAttempt},
		}
	case !known:
		return reject(message.ReasonUnknownAttempt)
	}
	a.callMutex.Lock()
	// The call that held callMutex before may have ended the attempt.
	if r := s.reportWithLock(a); r.State != stateRunning {
		a.callMutex.Unlock()
		return nil, message.TaskCommandResponse{Accepted: isStop, Reason: ReasonStopped, Report: r}
	}
	return a, message.TaskCommandResponse{}
}

// stopAttempt stops the attempt at the worker. The caller must hold callMutex of the attempt.
func (s *Supervisor) stopAttempt(ctx context.Context, a *attempt) message.TaskCommandResponse {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t, err := s.Worker.Stop(callCtx, a.attemptID)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil || t.State == stateRunning {
		// Even if the worker refused this call, an earlier start call may still take effect. Only a list of
		// the worker's tasks shows whether the attempt runs. A repeated stop call does not set
		// lastStartOrStopAt, because that would postpone the use of a list each time.
		if a.phase == phaseRunning {
			a.phase, a.lastStartOrStopAt = phaseUncertain, s.Clock.Now()
		}
		return message.TaskCommandResponse{Reason: ReasonCallUncertain, Report: a.currentReport()}
	}
	a.lastStartOrStopAt = s.Clock.Now()
	s.finish(a, t)
	return message.TaskCommandResponse{Accepted: true, Report: a.currentReport()}
}

// checkpointAttempt checkpoints the attempt at the worker. The caller must hold callMutex of the attempt.
func (s *Supervisor) checkpointAttempt(ctx context.Context, a *attempt) message.TaskCommandResponse {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t, err := s.Worker.Checkpoint(callCtx, a.attemptID)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		return message.TaskCommandResponse{Reason: ReasonCallUncertain, Report: a.currentReport()}
	}
	if t.State != stateRunning {
		s.finish(a, t)
	} else if a.phase != phaseFinished {
		a.updateReport(t)
	}
	return message.TaskCommandResponse{Accepted: true, Report: a.currentReport()}
}

// lockedReport locks the mutex and returns the current report of the attempt.
func (s *Supervisor) reportWithLock(a *attempt) message.TaskReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return a.currentReport()
}
