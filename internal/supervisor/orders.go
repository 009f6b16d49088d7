package supervisor

import (
	"context"
	"time"

	"bamboohook/internal/message"
	"bamboohook/lessee"
)

// Stop stops an attempt on the worker. If the response is Accepted, the attempt does not run and can no longer
// be started, and the report in the response says how it ended. A stop of an unknown attempt is accepted too,
// and the report then gives the reason unknown-attempt.
func (s *Supervisor) Stop(ctx context.Context, command message.TaskCommand) message.TaskCommandResponse {
	a, response := s.lockForCommand(command, true)
	if a == nil {
		return response
	}
	defer a.callMutex.Unlock()
	return s.stopAttempt(ctx, a)
}

// Checkpoint makes the worker write a checkpoint of a running attempt. The report in the response contains the
// checkpoint.
func (s *Supervisor) Checkpoint(ctx context.Context, command message.TaskCommand) message.TaskCommandResponse {
	a, response := s.lockForCommand(command, false)
	if a == nil {
		return response
	}
	defer a.callMutex.Unlock()
	return s.checkpointAttempt(ctx, a)
}

// Throttle makes the worker limit a running attempt to the fraction command.Share of its processors.
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
		return message.TaskCommandResponse{Reason: ReasonCallUncertain, Report: s.lockAndReport(a)}
	}
	return message.TaskCommandResponse{Accepted: true, Report: s.lockAndReport(a)}
}

// HandleHeartbeatResponse processes the response of an entry to the heartbeat that was sent at the given time.
// It renews the leases of attempts that the response contains, and it removes finished attempts whose results
// the entry has recorded.
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

// renewWorkerLease passes a renewed lease of the attempt on to the worker. It shortens the lease by
// callTimeout, because the worker measures it from the receipt of the call, which may be delayed this long.
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
	// After an error, the next heartbeat response with a lease leads to another call of Renew. If the worker no
	// longer has the task, its next list of tasks shows that.
	if s.Worker.Renew(callCtx, a.attemptID, message.WorkerRenew{Lease: workerLease}) == nil {
		s.mutex.Lock()
		a.workerLeaseEnd = leaseEnd
		s.mutex.Unlock()
	}
}

// lockForCommand validates a command for an attempt. If the attempt runs or may run, it returns the attempt
// with callMutex locked. Otherwise, it returns nil and the response to the command. isStop is true for a stop
// command, which is accepted for an unknown or finished attempt too. A stop command for an unknown attempt has
// the effect that later starts of the attempt are rejected. It is not accepted while the attempt may still start because
// of a call of the previous run of the agent process.
func (s *Supervisor) lockForCommand(command message.TaskCommand, isStop bool) (*attempt, message.TaskCommandResponse) {
	reject := func(reason string) (*attempt, message.TaskCommandResponse) {
		return nil, message.TaskCommandResponse{Reason: reason}
	}
	s.mutex.Lock()
	s.initialize()
	identity := command.Identity
	a, known := s.attempts[identity.ID()]
	sameGeneration, ready, epochIsCurrent := command.Generation == s.Generation, s.Admitter.Ready() && (known || s.settled), false
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
	// While this call waited for callMutex, another call may have ended the attempt.
	if r := s.lockAndReport(a); r.State != stateRunning {
		a.callMutex.Unlock()
		return nil, message.TaskCommandResponse{Accepted: isStop, Reason: ReasonStopped, Report: r}
	}
	return a, message.TaskCommandResponse{}
}

// stopAttempt makes the worker stop the attempt and returns the response to a stop command. The caller must
// hold callMutex of the attempt.
func (s *Supervisor) stopAttempt(ctx context.Context, a *attempt) message.TaskCommandResponse {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t, err := s.Worker.Stop(callCtx, a.attemptID)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil || t.State == stateRunning {
		// Even if the worker refused this call, an earlier start call may still take effect. Only a list of the
		// worker's tasks shows whether the attempt runs, and only if the list was requested some time after
		// lastStartOrStopAt (see absenceDelay). A repeated stop call does not change lastStartOrStopAt, because
		// each repetition would postpone that time.
		if a.phase == phaseRunning {
			a.phase, a.lastStartOrStopAt = phaseUncertain, s.Clock.Now()
		}
		return message.TaskCommandResponse{Reason: ReasonCallUncertain, Report: a.currentReport()}
	}
	a.lastStartOrStopAt = s.Clock.Now()
	s.finish(a, t)
	return message.TaskCommandResponse{Accepted: true, Report: a.currentReport()}
}

// checkpointAttempt makes the worker write a checkpoint of the attempt and returns the response to a checkpoint
// command. The caller must hold callMutex of the attempt.
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

// lockAndReport returns the report of the attempt as it is sent to entries. It locks Supervisor.mutex, so the
// caller must not hold it.
func (s *Supervisor) lockAndReport(a *attempt) message.TaskReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return a.currentReport()
}
