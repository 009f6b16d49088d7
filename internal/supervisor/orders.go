package supervisor

import (
	"context"
	"time"

	"bamboohook/internal/message"
	"bamboohook/lessee"
)

// Stop ends an attempt. If it is accepted, the attempt does not run and never will; the report tells
// how it ended. An attempt that was never started here is accepted as stopped.
func (s *Supervisor) Stop(ctx context.Context, order message.TaskCommand) message.TaskCommandResponse {
	a, answer := s.order(order, true)
	if a == nil {
		return answer
	}
	defer a.busy.Unlock()
	return s.stop(ctx, a)
}

// Checkpoint asks the worker for a checkpoint of a running attempt.
func (s *Supervisor) Checkpoint(ctx context.Context, order message.TaskCommand) message.TaskCommandResponse {
	a, answer := s.order(order, false)
	if a == nil {
		return answer
	}
	defer a.busy.Unlock()
	return s.checkpoint(ctx, a)
}

// Throttle sets the share of its processors that a running attempt keeps.
func (s *Supervisor) Throttle(ctx context.Context, order message.TaskCommand) message.TaskCommandResponse {
	if order.Share < 0 || order.Share > 1 {
		return message.TaskCommandResponse{Reason: message.ReasonBadRequest}
	}
	a, answer := s.order(order, false)
	if a == nil {
		return answer
	}
	defer a.busy.Unlock()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.Worker.Throttle(call, a.key, message.WorkerThrottle{Share: order.Share}); err != nil {
		return message.TaskCommandResponse{Reason: ReasonWorkerUnclear, Report: s.reportOf(a)}
	}
	return message.TaskCommandResponse{Accepted: true, Report: s.reportOf(a)}
}

// HandleAnswer takes the leases and confirmations of an entry's answer to the heartbeat sent at the time.
func (s *Supervisor) HandleAnswer(ctx context.Context, sent time.Time, answer message.HeartbeatResponse) {
	var renew []*attempt
	s.mutex.Lock()
	s.prepare()
	now := s.Clock.Now()
	for _, lease := range answer.Leases {
		a, ok := s.attempts[lease.ID()]
		if !ok || a.phase == phaseFinished || s.lessee.Renew(lease.Identity, lease.Duration, sent, now) != lessee.Accepted {
			continue
		}
		a.id = lease.Identity
		if until, _ := s.lessee.ExpiresAt(a.id); until.Sub(a.workerUntil) >= renewStep {
			renew = append(renew, a)
		}
	}
	for _, id := range answer.ConfirmedAttempts {
		if a, ok := s.attempts[id.ID()]; ok && a.phase == phaseFinished {
			s.forget(a)
		}
	}
	s.mutex.Unlock()
	for _, a := range renew {
		s.renew(ctx, a)
	}
}

func (s *Supervisor) renew(ctx context.Context, a *attempt) {
	a.busy.Lock()
	defer a.busy.Unlock()
	s.mutex.Lock()
	until, ok := s.lessee.ExpiresAt(a.id)
	s.mutex.Unlock()
	length := until.Add(-callTimeout).Sub(s.Clock.Now())
	if !ok || length <= 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// After an error the next answer tries again; a list shows if the worker no longer has the task.
	if s.Worker.Renew(call, a.key, message.WorkerRenew{Lease: length}) == nil {
		s.mutex.Lock()
		a.workerUntil = until
		s.mutex.Unlock()
	}
}

// order checks an order and returns its running attempt with busy held, or nil and the answer.
func (s *Supervisor) order(order message.TaskCommand, stop bool) (*attempt, message.TaskCommandResponse) {
	refuse := func(reason string) (*attempt, message.TaskCommandResponse) {
		return nil, message.TaskCommandResponse{Reason: reason}
	}
	s.mutex.Lock()
	s.prepare()
	id := order.Identity
	a, known := s.attempts[id.ID()]
	generation, ready, fresh := order.Generation == s.Generation, s.Admitter.Ready(), false
	if generation {
		fresh = s.lessee.Fence(id.Shard, id.Epoch)
	}
	if generation && ready && fresh && !known && stop {
		s.stopped[id.ID()] = s.Clock.Now()
	}
	s.mutex.Unlock()
	switch {
	case !generation:
		return refuse(ReasonOtherGeneration)
	case !ready:
		return refuse(message.ReasonNotReady)
	case !fresh:
		return refuse(string(lessee.StaleEpoch))
	case !known && stop:
		return nil, message.TaskCommandResponse{
			Accepted: true, Report: message.TaskReport{Identity: id, State: stateStopped, Reason: message.ReasonUnknownAttempt},
		}
	case !known:
		return refuse(message.ReasonUnknownAttempt)
	}
	a.busy.Lock()
	// A call that held busy may have ended the attempt.
	if r := s.reportOf(a); r.State != stateRunning {
		a.busy.Unlock()
		return nil, message.TaskCommandResponse{Accepted: stop, Reason: ReasonStopped, Report: r}
	}
	return a, message.TaskCommandResponse{}
}

// stop requires busy.
func (s *Supervisor) stop(ctx context.Context, a *attempt) message.TaskCommandResponse {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t, err := s.Worker.Stop(call, a.key)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil || t.State == stateRunning {
		// Even a refusal leaves open whether an earlier start takes effect, so only a list decides. A repeated stop
		// creates nothing, so it does not postpone that decision.
		if a.phase == phaseRunning {
			a.phase, a.changed = phaseUnclear, s.Clock.Now()
		}
		return message.TaskCommandResponse{Reason: ReasonWorkerUnclear, Report: a.current()}
	}
	a.changed = s.Clock.Now()
	s.finish(a, t)
	return message.TaskCommandResponse{Accepted: true, Report: a.current()}
}

// checkpoint requires busy.
func (s *Supervisor) checkpoint(ctx context.Context, a *attempt) message.TaskCommandResponse {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t, err := s.Worker.Checkpoint(call, a.key)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		return message.TaskCommandResponse{Reason: ReasonWorkerUnclear, Report: a.current()}
	}
	if t.State != stateRunning {
		s.finish(a, t)
	} else if a.phase != phaseFinished {
		a.observe(t)
	}
	return message.TaskCommandResponse{Accepted: true, Report: a.current()}
}

func (s *Supervisor) reportOf(a *attempt) message.TaskReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return a.current()
}
