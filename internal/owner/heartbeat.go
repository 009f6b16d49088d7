package owner

import (
	"context"
	"sort"
	"time"

	"bamboohook/detector"
	"bamboohook/internal/message"
	"bamboohook/lessor"
	"bamboohook/resource"
	"bamboohook/scheduler"
	"bamboohook/stream"
	"bamboohook/task"
)

// HandleHeartbeat processes the heartbeat of a VM. The response contains leases for the running attempts, and names
// the ended attempts whose reports the agent may forget. The caller fills in the other fields of the response.
func (o *Owner) HandleHeartbeat(ctx context.Context, hb message.Heartbeat) message.HeartbeatResponse {
	o.mutex.Lock()
	o.ensureInitialized()
	now := o.Clock.Now()
	var response message.HeartbeatResponse
	v, newer := o.updateVM(hb, now)
	if !newer {
		o.mutex.Unlock()
		return response
	}
	var unknownAttempts []message.TaskCommand
	for _, r := range hb.Tasks {
		// After a restart, an agent does not know the shards of the tasks that it finds running, so the shard in the
		// report is not used.
		r.Shard = o.scheduler.ShardOf(r.Job)
		o.observeRunning(r, now)
		s, ok := o.shards[r.Shard]
		if !ok {
			continue
		}
		a, current := s.attempts[r.ID()]
		if !current && !o.knowsAllAttempts(r.Shard, now) {
			// Another entry may own the shard by now and may have assigned the attempt. If this entry told the agent to
			// forget the attempt, its result would be lost before that entry has recorded it.
			continue
		}
		switch {
		case current && r.State == message.TaskRunning:
			if lease, ok := o.grantLease(a, v, r, now); ok {
				response.Leases = append(response.Leases, lease)
			}
		case current:
			o.recordAttemptEnd(a, v, r, now)
		case r.State == message.TaskRunning:
			id := r.Identity
			id.Epoch = s.epoch
			unknownAttempts = append(unknownAttempts, message.TaskCommand{Identity: id, Generation: hb.Generation})
		case r.State == message.TaskDone && o.scheduler.Completable(r.Identity):
			// The attempt counted as lost, but has completed. The agent reports it again until the result is recorded.
			o.recordLateCompletion(s, v, r.Identity, now)
		default:
			response.ConfirmedAttempts = append(response.ConfirmedAttempts, r.Identity)
		}
	}
	o.advanceUnreported(v, now)
	decisions := o.observeServices(v, hb, now)
	o.mutex.Unlock()
	o.applyGovernorDecisions(ctx, v, decisions)
	for _, command := range unknownAttempts {
		o.spawn(func() {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			// An error is ignored: the attempt is not a current one, so no entry renews its lease, and the agent stops it
			// when the lease ends.
			_, _ = o.Agents.Stop(callCtx, hb.VM, command)
		})
	}
	return response
}

// knowsAllAttempts reports whether this entry knows all current attempts of a shard that it owns, because no other
// entry can have assigned any. That is the case while this entry may grant leases for the shard and its last log
// contact is so recent that no successor can have claimed the shard since.
func (o *Owner) knowsAllAttempts(shardNumber int, now time.Time) bool {
	_, granting := o.lessor.LastEpoch(shardNumber)
	return granting && o.lessor.HasLogContact(now)
}

// olderGenerationTimeout is how long a VM must have sent no accepted heartbeat before heartbeats of an agent process that
// seems to be older than the known one are accepted. The clock of the VM may have been set back before the agent was
// restarted. The failure detector of the entries accepts them after the same time by default.
const olderGenerationTimeout = 10 * time.Second

// updateVM updates what is known about the VM from its heartbeat. It returns false if this heartbeat or a later one
// was already processed, or if the heartbeat is one of an earlier agent process that arrives late.
func (o *Owner) updateVM(hb message.Heartbeat, now time.Time) (*VM, bool) {
	v, ok := o.vms[hb.VM]
	if !ok {
		v = &VM{Name: hb.VM, attempts: map[string]*attempt{}, unreportedSizes: map[string]resource.Amount{}, latencyMeasuredAt: map[string]time.Time{}}
		o.vms[hb.VM] = v
		index := sort.Search(len(o.vmsByName), func(i int) bool { return o.vmsByName[i].Name > v.Name })
		o.vmsByName = append(o.vmsByName, nil)
		copy(o.vmsByName[index+1:], o.vmsByName[index:])
		o.vmsByName[index] = v
	}
	order := detector.CompareGenerations(hb.Generation, v.Generation)
	if order == 0 && hb.Sequence <= v.heartbeatSequence || order < 0 && now.Sub(v.lastHeartbeatAt) < olderGenerationTimeout {
		return v, false
	}
	o.lessor.RecordGeneration(hb.VM, hb.Generation, now)
	v.Generation, v.heartbeatSequence, v.lastHeartbeatAt, v.silent = hb.Generation, hb.Sequence, now, false
	o.markResponsive(v)
	capacityChanged := v.Capacity != hb.Capacity
	v.DataCentre, v.Rack, v.Capacity, v.Tasks = hb.DataCentre, hb.Rack, hb.Capacity, hb.Tasks
	v.draining = hb.State == message.StateDraining
	for _, r := range hb.Tasks {
		delete(v.unreportedSizes, r.ID())
	}
	v.freeLowered = false
	v.updateFree(hb.Committed)
	if capacityChanged {
		o.applyConfiguration()
	}
	o.updatePlacer(v)
	return v, true
}

// grantLease grants a lease on an attempt that the VM reports as running. It returns false if the attempt is on
// another VM, if the record of its end is queued or appended, or if the lessor refuses the lease.
func (o *Owner) grantLease(a *attempt, v *VM, r message.TaskReport, now time.Time) (message.Lease, bool) {
	if a.vm != "" && a.vm != v.Name {
		return message.Lease{}, false
	}
	if a.endRecord != nil {
		return message.Lease{}, false
	}
	o.setAttemptVM(a, v, now)
	if r.Epoch == a.identity.Epoch {
		o.lessor.RecordFence(a.task.Identity, now)
	}
	lease, decision := o.lessor.Grant(v.Name, a.identity, now)
	if decision != lessor.Granted {
		return message.Lease{}, false
	}
	return message.Lease{Identity: a.identity, Duration: lease.Duration, Outage: lease.Outage}, true
}

// recordAttemptEnd queues the record of an attempt that has ended according to the report of its VM.
func (o *Owner) recordAttemptEnd(a *attempt, v *VM, r message.TaskReport, now time.Time) {
	if a.vm != "" && a.vm != v.Name {
		return
	}
	o.setAttemptVM(a, v, now)
	switch r.State {
	case message.TaskDone:
		o.setEndRecord(a, scheduler.KindResult, scheduler.Result{Identity: a.identity, Outcome: scheduler.OutcomeDone, VM: v.Name}, now)
	case message.TaskFailed:
		o.queueFailureRecord(a, v, r, now)
	default:
		reason := a.stopReason
		if reason == "" {
			reason = r.Reason
		}
		o.setEndRecord(a, scheduler.KindInterruption, scheduler.Interruption{
			Identity: a.identity, Checkpoint: r.Checkpoint, Reason: reason, VM: v.Name,
		}, now)
	}
}

// recordLateCompletion queues the result of an attempt that has completed although its loss was recorded, unless the
// result was queued less than recordRetryInterval ago. The task then needs no later attempt.
func (o *Owner) recordLateCompletion(s *shard, v *VM, id task.Identity, now time.Time) {
	if queuedAt, ok := s.lateCompletions[id.ID()]; ok && now.Sub(queuedAt) <= recordRetryInterval {
		return
	}
	s.lateCompletions[id.ID()] = now
	id.Epoch = s.epoch
	o.queueRecord(scheduler.KindResult, scheduler.Result{Identity: id, Outcome: scheduler.OutcomeDone, VM: v.Name},
		func() { delete(s.lateCompletions, id.ID()) })
}

// setEndRecord sets the record of the attempt's end and queues it for the next append. If the attempt already has such
// a record, it does nothing.
func (o *Owner) setEndRecord(a *attempt, kind string, body any, now time.Time) {
	if a.endRecord != nil {
		return
	}
	r := stream.NewRecord(kind, body)
	a.endRecord = &r
	o.attemptsToAdvance[a.id] = a
	o.queueEndRecord(a, now)
}

// queueEndRecord queues the record of the attempt's end, which must be set, for the next append.
func (o *Owner) queueEndRecord(a *attempt, now time.Time) {
	a.endQueuedAt = now
	o.queuedRecords = append(o.queuedRecords, queuedRecord{*a.endRecord, func() { a.endQueuedAt = time.Time{} }})
}

// advanceUnreported adds the attempts that should run on the VM, but have been missing from its heartbeats for longer
// than unreportedTimeout, to attemptsToAdvance.
func (o *Owner) advanceUnreported(v *VM, now time.Time) {
	for attemptID, a := range v.attempts {
		if now.Sub(a.reportedAt) > unreportedTimeout {
			o.attemptsToAdvance[attemptID] = a
		}
	}
}
