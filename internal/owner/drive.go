package owner

import (
	"context"
	"errors"
	"time"

	"bamboohook/internal/message"
	"bamboohook/lessor"
	"bamboohook/scheduler"
)

// advanceAttempt takes the next step of an attempt in attemptsToAdvance: it starts or stops the attempt, finds out
// whether it still runs, or records its end. It returns the calls that are necessary for the step.
func (o *Owner) advanceAttempt(attemptID string, a *attempt, now time.Time) []remoteCall {
	if a.endRecord != nil {
		if now.Sub(a.endQueuedAt) > recordRetryInterval {
			o.queueEndRecord(a, now)
		}
		return nil
	}
	if s, ok := o.shards[a.identity.Shard]; !ok || !s.handOverAt.IsZero() || now.Before(a.retryAt) {
		return nil
	}
	switch {
	case a.vm != "":
		return o.advanceStarted(attemptID, a, now)
	case a.inherited():
		return o.resolveInherited(a, now)
	case a.stopReason != "":
		o.endWithoutOutcome(a, a.stopReason, now)
		return nil
	case a.task.Parked:
		o.endWithoutOutcome(a, reasonParked, now)
		return nil
	}
	return o.startAttempt(a, now)
}

// advanceStarted advances an attempt that runs or may run on a known VM. It stops the attempt if that was requested or
// if the VM no longer reports the attempt. If the VM is silent, it records the loss of the attempt once the last lease
// has ended.
func (o *Owner) advanceStarted(attemptID string, a *attempt, now time.Time) []remoteCall {
	v, responsive := o.responsiveVM(a.vm, now)
	if !responsive {
		// The VM may be disconnected from this entry but still run the attempt. Only the end of the last lease proves
		// that the attempt no longer runs.
		if notRunningAfter, ok := o.lessor.NotRunningAfter(a.vm, a.task.Identity); ok && now.After(notRunningAfter) {
			o.endWithoutOutcome(a, reasonOr(a.stopReason, scheduler.ReasonLost), now)
		}
		return nil
	}
	if a.stopReason == "" && now.Sub(a.reportedAt) <= unreportedTimeout {
		if a.reportedAt.Equal(v.lastHeartbeatAt) {
			delete(o.attemptsToAdvance, attemptID)
		}
		return nil
	}
	a.callInFlight = true
	command, name, reason := o.taskCommand(a, v), a.vm, a.stopReason
	return []remoteCall{func(ctx context.Context) { o.stopAttempt(ctx, a, name, command, reason) }}
}

// stopAttempt asks the VM's agent to stop an attempt, and records its end. If the attempt is evicted, the agent is
// asked to checkpoint it first.
func (o *Owner) stopAttempt(ctx context.Context, a *attempt, vm string, command message.TaskCommand, reason string) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if reason == scheduler.ReasonEvicted {
		// If the checkpoint fails, the next attempt resumes from an earlier one or starts from the beginning.
		_, _ = o.Agents.Checkpoint(callCtx, vm, command)
	}
	response, err := o.Agents.Stop(callCtx, vm, command)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	a.callInFlight = false
	now := o.Clock.Now()
	a.retryAt = now.Add(time.Second)
	if err != nil || !response.Accepted || o.attemptsToAdvance[a.id] != a {
		if response.Reason == message.ReasonNotReady {
			// The agent was restarted. It will report the attempt once it has listed the tasks of its worker, which is
			// the process that runs them.
			a.reportedAt = now
		}
		return
	}
	if v, ok := o.vms[vm]; ok && response.Report.Reason != message.ReasonUnknownAttempt {
		o.recordAttemptEnd(a, v, response.Report, now)
		return
	}
	o.endWithoutOutcome(a, reasonOr(a.stopReason, scheduler.ReasonLost), now)
}

// resolveInherited finds out whether an attempt that was assigned under an earlier ownership can still run. If it runs
// on a VM that is connected to this entry, a heartbeat reports it. Otherwise it can't run any more once each VM of the
// assignment has either agreed to refuse it, or has been silent until the last possible lease on it has ended. Then
// its loss is recorded.
func (o *Owner) resolveInherited(a *attempt, now time.Time) []remoteCall {
	if now.Sub(o.shards[a.identity.Shard].ownedSince) < heartbeatWait {
		return nil
	}
	var calls []remoteCall
	mayRun := false
	for _, name := range a.task.VMs {
		if a.excludedVMs[name] {
			continue
		}
		if v, responsive := o.responsiveVM(name, now); responsive {
			mayRun = true
			if len(calls) == 0 {
				a.callInFlight = true
				command := o.taskCommand(a, v)
				calls = append(calls, func(ctx context.Context) { o.excludeVM(ctx, a, name, command) })
			}
			continue
		}
		notRunningAfter, ok := o.lessor.NotRunningAfter(name, a.task.Identity)
		if !ok || !now.After(notRunningAfter) {
			mayRun = true
		}
	}
	if !mayRun {
		o.endWithoutOutcome(a, reasonOr(a.stopReason, scheduler.ReasonLost), now)
	}
	return calls
}

// excludeVM asks the VM's agent to refuse the attempt for good. The agent then also refuses leases from earlier owners
// of the shard.
func (o *Owner) excludeVM(ctx context.Context, a *attempt, vm string, command message.TaskCommand) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := o.Agents.Stop(callCtx, vm, command)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	a.callInFlight = false
	now := o.Clock.Now()
	if err != nil || !response.Accepted {
		// An agent that was just restarted reports the attempt only after it has listed the tasks of its worker, which
		// is the process that runs them.
		a.retryAt = now.Add(heartbeatWait)
		return
	}
	if v, ok := o.vms[vm]; ok && response.Report.Reason != message.ReasonUnknownAttempt && o.attemptsToAdvance[a.id] == a {
		o.recordAttemptEnd(a, v, response.Report, now)
		return
	}
	a.excludedVMs[vm] = true
}

// endWithoutOutcome queues the record of an attempt that ended but neither completed nor failed.
func (o *Owner) endWithoutOutcome(a *attempt, reason string, now time.Time) {
	o.setEndRecord(a, scheduler.KindInterruption, scheduler.Interruption{Identity: a.identity, Reason: reason, VM: a.vm}, now)
}

// startAttempt returns the call that starts an assigned attempt on the first of its VMs that seems to have enough free
// resources. If there has been no such VM for too long, the attempt ends, so that its task is assigned to other VMs.
func (o *Owner) startAttempt(a *attempt, now time.Time) []remoteCall {
	if a.reservedVM == nil && a.score < o.policies.minScore {
		// Free resources are left to a more important task that another entry owns.
		return nil
	}
	available, quarantined := false, false
	for _, name := range a.task.VMs {
		v, responsive := o.responsiveVM(name, now)
		if !responsive || v.draining || a.excludedVMs[name] {
			continue
		}
		if o.policies.attributor.Quarantined(name) && !a.probe {
			quarantined = true
			continue
		}
		available = true
		free := v.Free
		if size, reserved := v.unreportedSizes[a.id]; reserved {
			free = free.Add(size)
		}
		if !a.task.Size.Fits(free) {
			continue
		}
		lease, decision := o.lessor.Grant(name, a.identity, now)
		if decision != lessor.Granted {
			continue
		}
		if a.reservedVM != nil {
			delete(a.reservedVM.unreportedSizes, a.id)
			a.reservedVM = nil
		}
		o.setAttemptVM(a, v, now)
		v.unreportedSizes[a.id] = a.task.Size
		v.Free = free.Sub(a.task.Size)
		o.updatePlacer(v)
		a.callInFlight = true
		o.countAgainstQuota(a.task, now)
		start := message.StartRequest{
			Lease:      message.Lease{Identity: a.identity, Duration: lease.Duration, Outage: lease.Outage},
			Generation: v.Generation, Sequence: v.heartbeatSequence, Kind: a.task.Kind, Team: a.task.Team, Size: a.task.Size,
			DeclaredSize: a.task.DeclaredSize, RunTime: a.task.DeclaredRunTime, Checkpoint: a.task.Checkpoint, Payload: a.task.Payload,
		}
		return []remoteCall{func(ctx context.Context) { o.sendStart(ctx, a, name, start) }}
	}
	waited := now.Sub(a.addedAt)
	// Without log contact the task can't be assigned to other VMs, so the attempt continues to wait for its VMs.
	if o.lessor.HasLogContact(now) && (!available && (quarantined || waited > reassignTimeout) || waited > 2*reassignTimeout) {
		o.endWithoutOutcome(a, reasonReassigned, now)
	}
	return nil
}

// sendStart asks the VM's agent to start an attempt, and processes the response.
func (o *Owner) sendStart(ctx context.Context, a *attempt, vm string, start message.StartRequest) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := o.Agents.Start(callCtx, vm, start)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := o.Clock.Now()
	a.callInFlight = false
	notStarted := err == nil && !response.Started || errors.Is(err, ErrNotSent)
	if !notStarted || o.attemptsToAdvance[a.id] != a {
		// Without a response the attempt may be running. In this case a heartbeat reports it. If none does,
		// advanceStarted stops the attempt.
		a.reportedAt = now
		return
	}
	o.lessor.Release(a.identity)
	if v, ok := o.vms[vm]; ok {
		// The agent may have refused the start because less is free than this entry assumed. The estimate is set so low
		// that this entry starts no other attempt on the VM until the next heartbeat corrects it.
		v.Free, v.freeLowered = v.Free.Sub(v.Capacity), true
		o.updatePlacer(v)
	}
	o.clearAttemptVM(a)
	a.retryAt = now.Add(time.Second)
}

// reasonOr returns the reason, or the fallback if the reason is empty.
func reasonOr(reason, fallback string) string {
	if reason != "" {
		return reason
	}
	return fallback
}
