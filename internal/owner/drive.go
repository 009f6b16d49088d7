package owner

import (
	"context"
	"errors"
	"time"

	"bamboohook/internal/message"
	"bamboohook/lessor"
	"bamboohook/scheduler"
)

// advanceAttempt takes the next step of an active attempt, that is, of one that must be started, located, stopped or
// recorded.
func (o *Owner) advanceAttempt(key string, t *attempt, now time.Time) []remoteCall {
	if t.endRecord != nil {
		if now.Sub(t.endQueuedAt) > recordRetryInterval {
			o.queueEndRecord(t, now)
		}
		return nil
	}
	if s, ok := o.shards[t.identity.Shard]; !ok || !s.handOverAt.IsZero() || now.Before(t.retryAt) {
		return nil
	}
	switch {
	case t.vm != "":
		return o.advanceAtVM(key, t, now)
	case t.inherited():
		return o.resolveInherited(t, now)
	case t.stopReason != "":
		o.endWithoutOutcome(t, t.stopReason, now)
		return nil
	case t.task.Parked:
		o.endWithoutOutcome(t, reasonParked, now)
		return nil
	}
	return o.startAttempt(t, now)
}

// advanceAtVM handles an attempt that runs or may run on a known VM.
func (o *Owner) advanceAtVM(key string, t *attempt, now time.Time) []remoteCall {
	v, up := o.responsiveVM(t.vm, now)
	if !up {
		// The VM may be disconnected or gone. Only the end of the last lease proves that the attempt no longer runs.
		if safe, ok := o.lessor.SafeAfter(t.vm, t.task.Identity); ok && now.After(safe) {
			o.endWithoutOutcome(t, reasonOr(t.stopReason, scheduler.ReasonLost), now)
		}
		return nil
	}
	if t.stopReason == "" && now.Sub(t.reportedAt) <= unreportedTimeout {
		if t.reportedAt.Equal(v.lastHeartbeat) {
			delete(o.activeAttempts, key)
		}
		return nil
	}
	t.callInFlight = true
	command, name, reason := o.taskCommand(t, v), t.vm, t.stopReason
	return []remoteCall{func(ctx context.Context) { o.stopAttempt(ctx, t, name, command, reason) }}
}

// stopAttempt stops an attempt on its VM. If the attempt is evicted, a checkpoint is taken first.
func (o *Owner) stopAttempt(ctx context.Context, t *attempt, vm string, command message.TaskCommand, reason string) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if reason == scheduler.ReasonEvicted {
		// If there is no new checkpoint, the task resumes from the previous one.
		_, _ = o.Agents.Checkpoint(callCtx, vm, command)
	}
	response, err := o.Agents.Stop(callCtx, vm, command)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	t.callInFlight = false
	now := o.Clock.Now()
	t.retryAt = now.Add(time.Second)
	if err != nil || !response.Accepted || o.activeAttempts[t.key] != t {
		if response.Reason == message.ReasonNotReady {
			// The agent was restarted and reports the attempt once it has listed the tasks of its worker.
			t.reportedAt = now
		}
		return
	}
	if v, ok := o.vms[vm]; ok && response.Report.Reason != message.ReasonUnknownAttempt {
		o.attemptEnded(t, v, response.Report, now)
		return
	}
	o.endWithoutOutcome(t, reasonOr(t.stopReason, scheduler.ReasonLost), now)
}

// resolveInherited finds out whether an attempt that an earlier owner assigned can still run. If it runs, heartbeats
// report it. Otherwise each of its VMs must permanently refuse it, or the last possible lease on that VM must have
// expired.
func (o *Owner) resolveInherited(t *attempt, now time.Time) []remoteCall {
	if now.Sub(o.shards[t.identity.Shard].ownedSince) < heartbeatWait {
		return nil
	}
	var calls []remoteCall
	mayRun := false
	for _, name := range t.task.VMs {
		if t.excludedVMs[name] {
			continue
		}
		if v, up := o.responsiveVM(name, now); up {
			mayRun = true
			if len(calls) == 0 {
				t.callInFlight = true
				command := o.taskCommand(t, v)
				calls = append(calls, func(ctx context.Context) { o.excludeVM(ctx, t, name, command) })
			}
			continue
		}
		safe, ok := o.lessor.SafeAfter(name, t.task.Identity)
		if !ok || !now.After(safe) {
			mayRun = true
		}
	}
	if !mayRun {
		o.endWithoutOutcome(t, reasonOr(t.stopReason, scheduler.ReasonLost), now)
	}
	return calls
}

// excludeVM makes the VM's agent permanently refuse the attempt. The call also fences earlier owners.
func (o *Owner) excludeVM(ctx context.Context, t *attempt, vm string, command message.TaskCommand) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := o.Agents.Stop(callCtx, vm, command)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	t.callInFlight = false
	now := o.Clock.Now()
	if err != nil || !response.Accepted {
		// An agent that has just restarted may report the attempt once it has listed the tasks of its worker.
		t.retryAt = now.Add(heartbeatWait)
		return
	}
	if v, ok := o.vms[vm]; ok && response.Report.Reason != message.ReasonUnknownAttempt && o.activeAttempts[t.key] == t {
		o.attemptEnded(t, v, response.Report, now)
		return
	}
	t.excludedVMs[vm] = true
}

// endWithoutOutcome records that an attempt ended without an outcome.
func (o *Owner) endWithoutOutcome(t *attempt, reason string, now time.Time) {
	o.setEndRecord(t, scheduler.KindInterruption, scheduler.Interruption{Identity: t.identity, Reason: reason, VM: t.vm}, now)
}

// startAttempt starts an assigned attempt on the first of its VMs that seems to have enough free resources.
func (o *Owner) startAttempt(t *attempt, now time.Time) []remoteCall {
	if t.reservedVM == nil && t.score < o.policies.minScore {
		// The free resources are left to a more important task of another entry.
		return nil
	}
	usable, avoided := false, false
	for _, name := range t.task.VMs {
		v, up := o.responsiveVM(name, now)
		if !up || v.draining || t.excludedVMs[name] {
			continue
		}
		if o.policies.attributor.Quarantined(name) && !t.probe {
			avoided = true
			continue
		}
		usable = true
		free := v.Free
		if size, reserved := v.pendingStarts[t.key]; reserved {
			free = free.Add(size)
		}
		if !t.task.Size.Fits(free) {
			continue
		}
		lease, decision := o.lessor.Grant(name, t.identity, now)
		if decision != lessor.Granted {
			continue
		}
		if t.reservedVM != nil {
			delete(t.reservedVM.pendingStarts, t.key)
			t.reservedVM = nil
		}
		o.setAttemptVM(t, v, now)
		v.pendingStarts[t.key] = t.task.Size
		v.Free = free.Sub(t.task.Size)
		o.updatePlacer(v)
		t.callInFlight = true
		o.startUsage(t.task, now)
		start := message.StartRequest{
			Lease:      message.Lease{Identity: t.identity, Duration: lease.Duration, Outage: lease.Outage},
			Generation: v.Generation, Sequence: v.heartbeatSequence, Kind: t.task.Kind, Team: t.task.Team, Size: t.task.Size,
			JobSize: t.task.DeclaredSize, RunTime: t.task.DeclaredRunTime, Checkpoint: t.task.Checkpoint, Payload: t.task.Payload,
		}
		return []remoteCall{func(ctx context.Context) { o.sendStart(ctx, t, name, start) }}
	}
	waited := now.Sub(t.boundSince)
	// Without the log the task can't be bound to other VMs, so it keeps waiting for these.
	if o.lessor.HasLogContact(now) && (!usable && (avoided || waited > rebindTimeout) || waited > 2*rebindTimeout) {
		o.endWithoutOutcome(t, reasonRebound, now)
	}
	return nil
}

func (o *Owner) sendStart(ctx context.Context, t *attempt, vm string, start message.StartRequest) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := o.Agents.Start(callCtx, vm, start)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := o.Clock.Now()
	t.callInFlight = false
	refused := err == nil && !response.Started || errors.Is(err, ErrNotSent)
	if !refused || o.activeAttempts[t.key] != t {
		// Without a response the attempt may be running. The next heartbeats report it, or it is stopped.
		t.reportedAt = now
		return
	}
	o.lessor.Release(t.identity)
	if v, ok := o.vms[vm]; ok {
		// The estimate of the free resources was wrong. It is set so low that nothing is started here until the next
		// heartbeat corrects it.
		v.Free, v.startRefused = v.Free.Sub(v.Capacity), true
		o.updatePlacer(v)
	}
	o.clearAttemptVM(t)
	t.retryAt = now.Add(time.Second)
}

func reasonOr(reason, fallback string) string {
	if reason != "" {
		return reason
	}
	return fallback
}
