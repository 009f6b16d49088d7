package supervisor

import (
	"context"
	"time"

	"bamboohook/internal/message"
	"bamboohook/lessee"
)

// Stop ends an attempt. If the command is accepted, the attempt does not run and cannot be started any
// more, and the report contains how it ended. A command for an unknown attempt is accepted, and a later
// start of that attempt is rejected.
func (s *Supervisor) Stop(ctx context.Context, command message.TaskCommand) message.TaskCommandResponse {
	a, response := s.checkCommand(command, true)
	if a == nil {
		return response
	}
	defer a.callMutex.Unlock()
	return s.stopAttempt(ctx, a)
}

// Checkpoint asks the worker for a checkpoint of a running attempt.
func (s *Supervisor) Checkpoint(ctx context.Context, command message.TaskCommand) message.TaskCommandResponse {
	a, response := s.checkCommand(command, false)
	if a == nil {
		return response
	}
	defer a.callMutex.Unlock()
	return s.checkpointAttempt(ctx, a)
}

// Throttle sets the share of its processors that a running attempt keeps.
func (s *Supervisor) Throttle(ctx context.Context, command message.TaskCommand) message.TaskCommandResponse {
	if command.Share < 0 || command.Share > 1 {
		return message.TaskCommandResponse{Reason: message.ReasonBadRequest}
	}
	a, response := s.checkCommand(command, false)
	if a == nil {
		return response
	}
	defer a.callMutex.Unlock()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.Worker.Throttle(call, a.key, message.WorkerThrottle{Share: command.Share}); err != nil {
		return message.TaskCommandResponse{Reason: ReasonWorkerUnclear, Report: s.reportOf(a)}
	}
	return message.TaskCommandResponse{Accepted: true, Report: s.reportOf(a)}
}

// HandleHeartbeatResponse applies the leases and confirmations in an entry's response to the heartbeat
// that was sent at the given time.
func (s *Supervisor) HandleHeartbeatResponse(ctx context.Context, sent time.Time, response message.HeartbeatResponse) {
	var renew []*attempt
	s.mutex.Lock()
	s.initialize()
	now := s.Clock.Now()
	for _, lease := range response.Leases {
		a, ok := s.attempts[lease.ID()]
		if !ok || a.phase == phaseFinished || s.lessee.Renew(lease.Identity, lease.Duration, sent, now) != lessee.Accepted {
			continue
		}
		a.id = lease.Identity
		if until, _ := s.lessee.ExpiresAt(a.id); until.Sub(a.workerLeaseEnd) >= minLeaseExtension {
			renew = append(renew, a)
		}
	}
	for _, id := range response.ConfirmedAttempts {
		if a, ok := s.attempts[id.ID()]; ok && a.phase == phaseFinished {
			s.removeAttempt(a)
		}
	}
	s.mutex.Unlock()
	for _, a := range renew {
		s.renewWorkerLease(ctx, a)
	}
}

func (s *Supervisor) renewWorkerLease(ctx context.Context, a *attempt) {
	a.callMutex.Lock()
	defer a.callMutex.Unlock()
	s.mutex.Lock()
	until, ok := s.lessee.ExpiresAt(a.id)
	s.mutex.Unlock()
	length := until.Add(-callTimeout).Sub(s.Clock.Now())
	if !ok || length <= 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// After an error, the next heartbeat response leads to another try. If the worker no longer has the
	// task, the next list shows it.
	if s.Worker.Renew(call, a.key, message.WorkerRenew{Lease: length}) == nil {
		s.mutex.Lock()
		a.workerLeaseEnd = until
		s.mutex.Unlock()
	}
}

// checkCommand validates a command. It returns the running attempt with callMutex locked, or nil and the
// response.
func (s *Supervisor) checkCommand(command message.TaskCommand, stop bool) (*attempt, message.TaskCommandResponse) {
	refuse := func(reason string) (*attempt, message.TaskCommandResponse) {
		return nil, message.TaskCommandResponse{Reason: reason}
	}
	s.mutex.Lock()
	s.initialize()
	id := command.Identity
	a, known := s.attempts[id.ID()]
	sameGeneration, ready, currentEpoch := command.Generation == s.Generation, s.Admitter.Ready(), false
	if sameGeneration {
		currentEpoch = s.lessee.Fence(id.Shard, id.Epoch)
	}
	if sameGeneration && ready && currentEpoch && !known && stop {
		s.stopped[id.ID()] = s.Clock.Now()
	}
	s.mutex.Unlock()
	switch {
	case !sameGeneration:
		return refuse(ReasonOtherGeneration)
	case !ready:
		return refuse(message.ReasonNotReady)
	case !currentEpoch:
		return refuse(string(lessee.StaleEpoch))
	case !known && stop:
		return nil, message.TaskCommandResponse{
			Accepted: true, Report: message.TaskReport{Identity: id, State: stateStopped, Reason: message.ReasonUnknownAttempt},
		}
	case !known:
		return refuse(message.ReasonUnknownAttempt)
	}
	a.callMutex.Lock()
	// The call that held callMutex before may have ended the attempt.
	if r := s.reportOf(a); r.State != stateRunning {
		a.callMutex.Unlock()
		return nil, message.TaskCommandResponse{Accepted: stop, Reason: ReasonStopped, Report: r}
	}
	return a, message.TaskCommandResponse{}
}

// stopAttempt stops the attempt at the worker. The caller must hold callMutex of the attempt.
func (s *Supervisor) stopAttempt(ctx context.Context, a *attempt) message.TaskCommandResponse {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t, err := s.Worker.Stop(call, a.key)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil || t.State == stateRunning {
		// Even after a refusal an earlier start may still take effect, so only a list of the worker's tasks
		// decides whether the attempt runs. A repeated stop cannot create the task, so it does not set
		// changedAt, which would postpone that decision.
		if a.phase == phaseRunning {
			a.phase, a.changedAt = phaseUncertain, s.Clock.Now()
		}
		return message.TaskCommandResponse{Reason: ReasonWorkerUnclear, Report: a.currentReport()}
	}
	a.changedAt = s.Clock.Now()
	s.finish(a, t)
	return message.TaskCommandResponse{Accepted: true, Report: a.currentReport()}
}

// checkpointAttempt checkpoints the attempt at the worker. The caller must hold callMutex of the attempt.
func (s *Supervisor) checkpointAttempt(ctx context.Context, a *attempt) message.TaskCommandResponse {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t, err := s.Worker.Checkpoint(call, a.key)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		return message.TaskCommandResponse{Reason: ReasonWorkerUnclear, Report: a.currentReport()}
	}
	if t.State != stateRunning {
		s.finish(a, t)
	} else if a.phase != phaseFinished {
		a.update(t)
	}
	return message.TaskCommandResponse{Accepted: true, Report: a.currentReport()}
}

func (s *Supervisor) reportOf(a *attempt) message.TaskReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return a.currentReport()
}
