package owner

import (
	"encoding/json"
	"time"

	"bamboohook/claimer"
	"bamboohook/scheduler"
	"bamboohook/stream"
	"bamboohook/task"
)

// handlePresenceOrAssignment processes a presence or assignment record that was read from the stream, whether or not it
// took effect. A presence record shows that its entry is alive. An assignment that was read back is no longer pending:
// if it took effect, handleAppliedRecord has already turned it into an attempt, and otherwise it is abandoned.
func (o *Owner) handlePresenceOrAssignment(r stream.Record, now time.Time) {
	switch r.Kind {
	case claimer.KindPresence:
		var p claimer.Presence
		if json.Unmarshal(r.Body, &p) != nil {
			return
		}
		o.lastPresenceReceivedAt[p.Entry] = now
		if p.Entry == o.Entry {
			o.lessor.RecordLogContact(o.presenceSentAt[p.Sequence])
			delete(o.presenceSentAt, p.Sequence)
		}
	case scheduler.KindAssignment:
		var id task.Identity
		if json.Unmarshal(r.Body, &id) != nil {
			return
		}
		if s, ok := o.shards[id.Shard]; ok {
			o.abandonPendingAssignment(s, id.ID())
		}
	}
}

// handleAppliedRecord updates the shards, attempts and scheduling policies after a record that was read from the
// stream took effect.
func (o *Owner) handleAppliedRecord(d DeliveredRecord, now time.Time) {
	switch d.Record.Kind {
	case claimer.KindClaim, claimer.KindHandOver:
		var r struct {
			Shard int `json:"shard"`
		}
		if json.Unmarshal(d.Record.Body, &r) == nil {
			o.handleOwnershipChange(r.Shard, now)
		}
	case scheduler.KindJob:
		var r scheduler.Job
		if json.Unmarshal(d.Record.Body, &r) == nil {
			delete(o.openRequests, requestKey(scheduler.KindJob, r.ID))
			o.enqueueJob(r.ID)
		}
	case scheduler.KindPark:
		var r scheduler.Park
		if json.Unmarshal(d.Record.Body, &r) == nil {
			o.handleParkedJob(r)
		}
	case scheduler.KindResult:
		var r scheduler.Result
		if json.Unmarshal(d.Record.Body, &r) == nil {
			if r.Outcome == scheduler.OutcomeDone {
				o.learnDemand(r.Identity, now)
				o.recordProbe(r.Identity, r.VM, true)
			}
			o.handleAttemptRecord(d.Record.Kind, r.Identity, now)
			o.handleResult(r, now)
		}
	case scheduler.KindInterruption:
		var r scheduler.Interruption
		if json.Unmarshal(d.Record.Body, &r) == nil {
			if r.Reason == reasonQuarantined {
				o.recordProbe(r.Identity, r.VM, false)
			}
			o.handleAttemptRecord(d.Record.Kind, r.Identity, now)
		}
	case scheduler.KindAssignment:
		var id task.Identity
		if json.Unmarshal(d.Record.Body, &id) == nil {
			o.handleAttemptRecord(d.Record.Kind, id, now)
		}
	case scheduler.KindCancel:
		var r scheduler.Cancel
		if json.Unmarshal(d.Record.Body, &r) == nil {
			delete(o.openRequests, requestKey(scheduler.KindCancel, r.Job))
			o.handleCancelledJob(r.Job, now)
		}
	}
}

// handleOwnershipChange adds or removes the shard after a claim or handover of it took effect, depending on whether
// this entry owns it now.
func (o *Owner) handleOwnershipChange(shardNumber int, now time.Time) {
	o.recordPredecessorTimes(shardNumber, now)
	if o.claimer.OwnsShard(shardNumber) {
		o.addShard(shardNumber, now)
		return
	}
	o.lessor.StopGranting(shardNumber)
	o.removeShard(shardNumber)
}

// handleAttemptRecord updates the attempts of the owned shards, the sequencer and foreignTasks after an assignment,
// result or interruption took effect. It is called for the records of all shards.
func (o *Owner) handleAttemptRecord(kind string, id task.Identity, now time.Time) {
	o.updatePolicies(kind, id)
	s, ok := o.shards[id.Shard]
	if !ok {
		if kind != scheduler.KindAssignment {
			o.policies.foreignTasks.Cancel(taskKey(id.Job, id.Task))
			if kind == scheduler.KindInterruption {
				o.enqueue(id)
			}
		}
		return
	}
	if kind == scheduler.KindAssignment {
		if t, ok := o.scheduler.CurrentAttempt(id); ok {
			o.addAttempt(s, t, now)
			if pending, ok := s.pendingAssignments[t.ID()]; ok {
				a := s.attempts[t.ID()]
				a.reservedVM, a.probe = pending.reservedVM, pending.probe
				o.forgetPendingAssignment(s, t.ID(), pending)
				if pending.reservedVM != nil {
					o.countAgainstQuota(a.task, now)
				}
			}
		}
		return
	}
	// The attempt certainly no longer runs: it ended, was stopped, or its last lease has expired.
	o.lessor.Release(id)
	if a, ok := s.attempts[id.ID()]; ok {
		o.removeAttempt(s, a)
	} else if kind == scheduler.KindResult {
		o.handleLateCompletion(s, id)
	}
	if kind == scheduler.KindInterruption {
		o.enqueue(id)
	}
}

// handleLateCompletion removes a task that an earlier attempt than the current one has completed from the waiting tasks,
// and forgets its current attempt. An agent that runs that attempt is told to stop it as soon as it reports it.
func (o *Owner) handleLateCompletion(s *shard, id task.Identity) {
	delete(s.lateCompletions, id.ID())
	o.policies.sequencer.Cancel(taskKey(id.Job, id.Task))
	for _, a := range s.attempts {
		if a.identity.Job == id.Job && a.identity.Task == id.Task {
			o.lessor.Release(a.identity)
			o.removeAttempt(s, a)
			return
		}
	}
}

// handleCancelledJob removes the waiting tasks of a cancelled job from the sequencer, and stops its running attempts
// if this entry owns them.
func (o *Owner) handleCancelledJob(job string, now time.Time) {
	o.clearPendingPark(job)
	o.dequeueJob(job)
	s, ok := o.shards[o.scheduler.ShardOf(job)]
	if !ok {
		return
	}
	for t := range o.scheduler.RunningTasksOfJob(job) {
		if a, ok := s.attempts[t.ID()]; ok {
			a.stopReason, a.retryAt = scheduler.ReasonCancelled, now
			o.attemptsToAdvance[a.id] = a
		}
	}
}

// addAttempt adds a current attempt of an owned shard, which must be started or stopped or whose VM must be found.
func (o *Owner) addAttempt(s *shard, t scheduler.Task, now time.Time) {
	a := &attempt{task: t, id: t.ID(), identity: t.Identity, addedAt: now, excludedVMs: map[string]bool{}}
	a.identity.Epoch = s.epoch
	if t.Cancelled {
		a.stopReason = scheduler.ReasonCancelled
	}
	if a.neverStarted() {
		s.unstartedCount++
	}
	s.attempts[a.id] = a
	o.attemptsToAdvance[a.id] = a
}

// removeAttempt removes an attempt that has ended or whose shard this entry no longer owns. Resources that are
// reserved for it are freed.
func (o *Owner) removeAttempt(s *shard, a *attempt) {
	if a.neverStarted() {
		s.unstartedCount--
	}
	if v, ok := o.vms[a.vm]; ok {
		delete(v.attempts, a.id)
		delete(v.unreportedSizes, a.id)
	}
	if a.reservedVM != nil {
		delete(a.reservedVM.unreportedSizes, a.id)
	}
	delete(s.attempts, a.id)
	delete(o.attemptsToAdvance, a.id)
}

// setAttemptVM records that the VM runs, has run or may run the attempt. It is called when the VM has just reported
// the attempt or is about to start it.
func (o *Owner) setAttemptVM(a *attempt, v *VM, now time.Time) {
	a.reportedAt = now
	if a.vm == v.Name {
		return
	}
	if s, ok := o.shards[a.identity.Shard]; ok && a.neverStarted() {
		s.unstartedCount--
	}
	a.vm = v.Name
	v.attempts[a.id] = a
}

// clearAttemptVM records that no VM runs the attempt. It is called when the VM's agent certainly refused or did not
// receive the start of the attempt.
func (o *Owner) clearAttemptVM(a *attempt) {
	if v, ok := o.vms[a.vm]; ok {
		delete(v.attempts, a.id)
		delete(v.unreportedSizes, a.id)
	}
	a.vm = ""
	if s, ok := o.shards[a.identity.Shard]; ok && a.neverStarted() {
		s.unstartedCount++
	}
}

// inherited reports whether the attempt was assigned by an earlier owner of the shard, or by this entry under an
// earlier claim. If the VM of such an attempt is unknown, any VM of the assignment may be running it.
func (a *attempt) inherited() bool { return a.task.Epoch != a.identity.Epoch }

// neverStarted reports whether this entry assigned the attempt under its current claim and certainly never started it.
func (a *attempt) neverStarted() bool { return a.vm == "" && !a.inherited() }
