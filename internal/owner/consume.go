package owner

import (
	"encoding/json"
	"time"

	"bamboohook/claimer"
	"bamboohook/scheduler"
	"bamboohook/stream"
	"bamboohook/task"
)

// consumed notes what a record shows whether or not it took effect.
func (o *Owner) consumed(r stream.Record, now time.Time) {
	switch r.Kind {
	case claimer.KindPresence:
		var p claimer.Presence
		if json.Unmarshal(r.Body, &p) != nil {
			return
		}
		o.heard[p.Entry] = now
		if p.Entry == o.Entry {
			o.lessor.RecordLogContact(o.presences[p.Sequence])
			delete(o.presences, p.Sequence)
		}
	case scheduler.KindAssignment:
		var id task.Identity
		if json.Unmarshal(r.Body, &id) != nil {
			return
		}
		if s, ok := o.shards[id.Shard]; ok {
			o.unplan(s, id.ID())
		}
	}
}

// applied updates the soft state after a record took effect.
func (o *Owner) applied(d DeliveredRecord, now time.Time) {
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
			o.parked(r)
		}
	case scheduler.KindResult:
		var r scheduler.Result
		if json.Unmarshal(d.Record.Body, &r) == nil {
			if r.Outcome == scheduler.OutcomeDone {
				o.learn(r.Identity, now)
				o.probed(r.Identity, r.VM, true)
			}
			o.attemptChanged(d.Record.Kind, r.Identity, now)
			o.judge(r, now)
		}
	case scheduler.KindEviction:
		var r scheduler.Eviction
		if json.Unmarshal(d.Record.Body, &r) == nil {
			if r.Reason == reasonQuarantined {
				o.probed(r.Identity, r.VM, false)
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
			o.cancelled(r.Job, now)
		}
	}
}

func (o *Owner) ownershipChanged(number int, now time.Time) {
	o.noteLast(number, now)
	if o.claims.OwnsShard(number) {
		o.begin(number, now)
		return
	}
	o.lessor.StopGranting(number)
	o.end(number)
}

func (o *Owner) attemptChanged(kind string, id task.Identity, now time.Time) {
	o.count(kind, id)
	s, ok := o.shards[id.Shard]
	if !ok {
		if kind != scheduler.KindAssignment {
			o.policies.others.Cancel(taskKey(id.Job, id.Task))
			if kind == scheduler.KindEviction {
				o.enter(id)
			}
		}
		return
	}
	if kind == scheduler.KindAssignment {
		if v, ok := o.state.CurrentAttempt(id); ok {
			o.track(s, v, now)
			if b, ok := s.assigning[v.ID()]; ok {
				t := s.tracked[v.ID()]
				t.planned, t.probe = b.vm, b.probe
				o.settle(s, v.ID(), b)
				if b.vm != nil {
					o.use(t.task, now)
				}
			}
		}
		return
	}
	// The attempt surely does not run: it ended, was stopped, or its last lease is over.
	o.lessor.Release(id)
	if t, ok := s.tracked[id.ID()]; ok {
		o.untrack(s, t)
	}
	if kind == scheduler.KindEviction {
		o.enter(id)
	}
}

func (o *Owner) cancelled(job string, now time.Time) {
	o.unpark(job)
	o.withdraw(job)
	s, ok := o.shards[o.state.ShardOf(job)]
	if !ok {
		return
	}
	for v := range o.state.RunningTasksOfJob(job) {
		if t, ok := s.tracked[v.ID()]; ok {
			t.wish, t.retryAt = scheduler.ReasonCancelled, now
			o.active[t.key] = t
		}
	}
}

func (o *Owner) track(s *shard, v scheduler.Task, now time.Time) {
	t := &tracked{task: v, key: v.ID(), own: v.Identity, since: now, cleared: map[string]bool{}}
	t.own.Epoch = s.epoch
	if v.Cancelled {
		t.wish = scheduler.ReasonCancelled
	}
	if t.unstarted() {
		s.unstarted++
	}
	s.tracked[t.key] = t
	o.active[t.key] = t
}

func (o *Owner) untrack(s *shard, t *tracked) {
	if t.unstarted() {
		s.unstarted--
	}
	if v, ok := o.vms[t.vm]; ok {
		delete(v.tied, t.key)
		delete(v.starting, t.key)
	}
	if t.planned != nil {
		delete(t.planned.starting, t.key)
	}
	delete(s.tracked, t.key)
	delete(o.active, t.key)
}

// tie notes that the VM has run or may run the attempt.
func (o *Owner) tie(t *tracked, v *VM, now time.Time) {
	t.reported = now
	if t.vm == v.Name {
		return
	}
	if s, ok := o.shards[t.own.Shard]; ok && t.unstarted() {
		s.unstarted--
	}
	t.vm = v.Name
	v.tied[t.key] = t
}

// untie takes a start back that the VM's agent surely refused.
func (o *Owner) untie(t *tracked) {
	if v, ok := o.vms[t.vm]; ok {
		delete(v.tied, t.key)
		delete(v.starting, t.key)
	}
	t.vm = ""
	if s, ok := o.shards[t.own.Shard]; ok && t.unstarted() {
		s.unstarted++
	}
}

// inherited reports whether an earlier owner assigned the attempt, so that any of its VMs may run it.
func (t *tracked) inherited() bool { return t.task.Epoch != t.own.Epoch }

// unstarted reports whether the attempt was surely never started.
func (t *tracked) unstarted() bool { return t.vm == "" && !t.inherited() }
