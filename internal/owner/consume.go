package owner

import (
	"encoding/json"
	"time"

	"bamboohook/claimer"
	"bamboohook/scheduler"
	"bamboohook/stream"
	"bamboohook/task"
)

// observeRecord takes from a record what holds whether or not the record took effect.
func (o *Owner) observeRecord(r stream.Record, now time.Time) {
	switch r.Kind {
	case claimer.KindPresence:
		var p claimer.Presence
		if json.Unmarshal(r.Body, &p) != nil {
			return
		}
		o.presenceReceivedAt[p.Entry] = now
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
			o.dropAssignment(s, id.ID())
		}
	}
}

// recordApplied updates the state outside the stream after a record took effect.
func (o *Owner) recordApplied(d DeliveredRecord, now time.Time) {
	switch d.Record.Kind {
	case claimer.KindClaim, claimer.KindHandOver:
		var r struct {
			Shard int `json:"shard"`
		}
		if json.Unmarshal(d.Record.Body, &r) == nil {
			o.ownershipChanged(r.Shard, now)
		}
	case scheduler.KindJob:
		var r scheduler.Job
		if json.Unmarshal(d.Record.Body, &r) == nil {
			o.jobAdded(r.ID)
		}
	case scheduler.KindPark:
		var r scheduler.Park
		if json.Unmarshal(d.Record.Body, &r) == nil {
			o.jobParked(r)
		}
	case scheduler.KindResult:
		var r scheduler.Result
		if json.Unmarshal(d.Record.Body, &r) == nil {
			if r.Outcome == scheduler.OutcomeDone {
				o.learnDemand(r.Identity, now)
				o.attemptProbed(r.Identity, r.VM, true)
			}
			o.attemptChanged(d.Record.Kind, r.Identity, now)
			o.processResult(r, now)
		}
	case scheduler.KindInterruption:
		var r scheduler.Interruption
		if json.Unmarshal(d.Record.Body, &r) == nil {
			if r.Reason == reasonQuarantined {
				o.attemptProbed(r.Identity, r.VM, false)
			}
			o.attemptChanged(d.Record.Kind, r.Identity, now)
		}
	case scheduler.KindAssignment:
		var id task.Identity
		if json.Unmarshal(d.Record.Body, &id) == nil {
			o.attemptChanged(d.Record.Kind, id, now)
		}
	case scheduler.KindCancel:
		var r scheduler.Cancel
		if json.Unmarshal(d.Record.Body, &r) == nil {
			o.jobCancelled(r.Job, now)
		}
	}
}

func (o *Owner) ownershipChanged(shardNumber int, now time.Time) {
	o.recordPredecessors(shardNumber, now)
	if o.claimer.OwnsShard(shardNumber) {
		o.takeShard(shardNumber, now)
		return
	}
	o.lessor.StopGranting(shardNumber)
	o.dropShard(shardNumber)
}

func (o *Owner) attemptChanged(kind string, id task.Identity, now time.Time) {
	o.updateUsage(kind, id)
	s, ok := o.shards[id.Shard]
	if !ok {
		if kind != scheduler.KindAssignment {
			o.policies.others.Cancel(taskKey(id.Job, id.Task))
			if kind == scheduler.KindInterruption {
				o.enqueue(id)
			}
		}
		return
	}
	if kind == scheduler.KindAssignment {
		if v, ok := o.scheduler.CurrentAttempt(id); ok {
			o.addAttempt(s, v, now)
			if b, ok := s.pendingAssignments[v.ID()]; ok {
				t := s.attempts[v.ID()]
				t.reservedVM, t.probe = b.reservedVM, b.probe
				o.removeAssignment(s, v.ID(), b)
				if b.reservedVM != nil {
					o.startUsage(t.task, now)
				}
			}
		}
		return
	}
	// The attempt certainly does not run any more: it ended, was stopped, or its last lease has expired.
	o.lessor.Release(id)
	if t, ok := s.attempts[id.ID()]; ok {
		o.removeAttempt(s, t)
	}
	if kind == scheduler.KindInterruption {
		o.enqueue(id)
	}
}

func (o *Owner) jobCancelled(job string, now time.Time) {
	o.clearPendingPark(job)
	o.dequeueJob(job)
	s, ok := o.shards[o.scheduler.ShardOf(job)]
	if !ok {
		return
	}
	for v := range o.scheduler.RunningTasksOfJob(job) {
		if t, ok := s.attempts[v.ID()]; ok {
			t.stopReason, t.retryAt = scheduler.ReasonCancelled, now
			o.activeAttempts[t.key] = t
		}
	}
}

func (o *Owner) addAttempt(s *shard, v scheduler.Task, now time.Time) {
	t := &attempt{task: v, key: v.ID(), identity: v.Identity, boundSince: now, excludedVMs: map[string]bool{}}
	t.identity.Epoch = s.epoch
	if v.Cancelled {
		t.stopReason = scheduler.ReasonCancelled
	}
	if t.neverStarted() {
		s.unstartedCount++
	}
	s.attempts[t.key] = t
	o.activeAttempts[t.key] = t
}

func (o *Owner) removeAttempt(s *shard, t *attempt) {
	if t.neverStarted() {
		s.unstartedCount--
	}
	if v, ok := o.vms[t.vm]; ok {
		delete(v.attempts, t.key)
		delete(v.pendingStarts, t.key)
	}
	if t.reservedVM != nil {
		delete(t.reservedVM.pendingStarts, t.key)
	}
	delete(s.attempts, t.key)
	delete(o.activeAttempts, t.key)
}

// setAttemptVM records that the VM runs, has run or may run the attempt.
func (o *Owner) setAttemptVM(t *attempt, v *VM, now time.Time) {
	t.reportedAt = now
	if t.vm == v.Name {
		return
	}
	if s, ok := o.shards[t.identity.Shard]; ok && t.neverStarted() {
		s.unstartedCount--
	}
	t.vm = v.Name
	v.attempts[t.key] = t
}

// clearAttemptVM undoes a start that the agent of the VM certainly refused.
func (o *Owner) clearAttemptVM(t *attempt) {
	if v, ok := o.vms[t.vm]; ok {
		delete(v.attempts, t.key)
		delete(v.pendingStarts, t.key)
	}
	t.vm = ""
	if s, ok := o.shards[t.identity.Shard]; ok && t.neverStarted() {
		s.unstartedCount++
	}
}

// inherited reports whether an earlier owner assigned the attempt. Any of its VMs may then be running it.
func (t *attempt) inherited() bool { return t.task.Epoch != t.identity.Epoch }

// neverStarted reports whether the attempt was certainly never started.
func (t *attempt) neverStarted() bool { return t.vm == "" && !t.inherited() }
