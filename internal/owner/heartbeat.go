package owner

import (
	"context"
	"sort"
	"time"

	"bamboohook/internal/message"
	"bamboohook/lessor"
	"bamboohook/resource"
	"bamboohook/scheduler"
	"bamboohook/stream"
)

// Heartbeat takes the reports of a VM and returns the leases and confirmations for its attempts; the
// other fields of the answer are the caller's.
func (o *Owner) Heartbeat(ctx context.Context, hb message.Heartbeat) message.HeartbeatAnswer {
	o.mutex.Lock()
	o.prepare()
	now := o.Clock.Now()
	var answer message.HeartbeatAnswer
	v, fresh := o.refresh(hb, now)
	if !fresh {
		o.mutex.Unlock()
		return answer
	}
	var strays []message.TaskOrder
	for _, r := range hb.Tasks {
		// An agent that adopted the task after a restart does not know its shard.
		r.Shard = o.state.ShardOf(r.Job)
		o.seen(r, now)
		s, ok := o.shards[r.Shard]
		if !ok {
			continue
		}
		t, current := s.tracked[r.ID()]
		if !current && !o.upToDate(r.Shard, now) {
			// It may be an attempt of a successor. Confirming it would make the agent forget its result.
			continue
		}
		switch {
		case current && r.State == message.TaskRunning:
			if lease, ok := o.lease(t, v, r, now); ok {
				answer.Leases = append(answer.Leases, lease)
			}
		case current:
			o.ended(t, v, r, now)
		case r.State == message.TaskRunning:
			id := r.Identity
			id.Epoch = s.epoch
			strays = append(strays, message.TaskOrder{Identity: id, Generation: hb.Generation})
		default:
			answer.Confirmed = append(answer.Confirmed, r.Identity)
		}
	}
	o.missing(v, now)
	orders := o.observe(v, hb, now)
	o.mutex.Unlock()
	o.obey(ctx, v, orders)
	for _, order := range strays {
		o.spawn(func() {
			call, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			// The attempt is not current, so its lease is not renewed in any case.
			_, _ = o.Agents.Stop(call, hb.VM, order)
		})
	}
	return answer
}

// upToDate reports whether no other entry can have assigned attempts of an owned shard: the log was reached less long
// ago than a successor waits, and the shard was not given up.
func (o *Owner) upToDate(number int, now time.Time) bool {
	_, granting := o.lessor.GrantingEpoch(number)
	return granting && o.lessor.HasLogContact(now)
}

// refresh updates what is known of the VM. It reports false for a heartbeat that was overtaken by a later one.
func (o *Owner) refresh(hb message.Heartbeat, now time.Time) (*VM, bool) {
	v, ok := o.vms[hb.VM]
	if !ok {
		v = &VM{Name: hb.VM, tied: map[string]*tracked{}, starting: map[string]resource.Amount{}, measured: map[string]time.Time{}}
		o.vms[hb.VM] = v
		at := sort.Search(len(o.order), func(i int) bool { return o.order[i].Name > v.Name })
		o.order = append(o.order, nil)
		copy(o.order[at+1:], o.order[at:])
		o.order[at] = v
	}
	if v.Generation == hb.Generation && hb.Sequence <= v.sequence {
		return v, false
	}
	o.lessor.RecordGeneration(hb.VM, hb.Generation, now)
	v.Generation, v.sequence, v.seen, v.silent = hb.Generation, hb.Sequence, now, false
	o.hear(v)
	changed := v.Capacity != hb.Capacity
	v.DataCentre, v.Rack, v.Capacity, v.Tasks = hb.DataCentre, hb.Rack, hb.Capacity, hb.Tasks
	v.draining = hb.State == message.StateDraining
	for _, r := range hb.Tasks {
		delete(v.starting, r.ID())
	}
	v.refused = false
	v.estimate(hb.Committed)
	if changed {
		o.configure()
	}
	o.index(v)
	return v, true
}

func (o *Owner) lease(t *tracked, v *VM, r message.TaskReport, now time.Time) (message.Lease, bool) {
	if t.vm != "" && t.vm != v.Name {
		return message.Lease{}, false
	}
	if t.final != nil {
		return message.Lease{}, false
	}
	o.tie(t, v, now)
	if r.Epoch == t.own.Epoch {
		o.lessor.RecordFence(t.task.Identity, now)
	}
	lease, verdict := o.lessor.Grant(v.Name, t.own, now)
	if verdict != lessor.Granted {
		return message.Lease{}, false
	}
	return message.Lease{Identity: t.own, Length: lease.Duration, Hold: lease.Outage}, true
}

// ended records how an attempt ended at its VM.
func (o *Owner) ended(t *tracked, v *VM, r message.TaskReport, now time.Time) {
	if t.vm != "" && t.vm != v.Name {
		return
	}
	o.tie(t, v, now)
	switch r.State {
	case message.TaskDone:
		o.finish(t, scheduler.KindResult, scheduler.Result{Identity: t.own, Outcome: scheduler.OutcomeDone, VM: v.Name}, now)
	case message.TaskFailed:
		o.failed(t, v, r, now)
	default:
		reason := t.wish
		if reason == "" {
			reason = r.Reason
		}
		o.finish(t, scheduler.KindEviction, scheduler.Eviction{
			Identity: t.own, Checkpoint: r.Checkpoint, Reason: reason, VM: v.Name,
		}, now)
	}
}

// finish decides the record of the attempt's end, once, and queues it.
func (o *Owner) finish(t *tracked, kind string, body any, now time.Time) {
	if t.final != nil {
		return
	}
	r := stream.NewRecord(kind, body)
	t.final = &r
	o.active[t.key] = t
	o.queueFinal(t, now)
}

func (o *Owner) queueFinal(t *tracked, now time.Time) {
	t.recording = now
	o.outbox = append(o.outbox, queued{*t.final, func() { t.recording = time.Time{} }})
}

// missing activates the attempts that the VM should have but no longer reports.
func (o *Owner) missing(v *VM, now time.Time) {
	for key, t := range v.tied {
		if now.Sub(t.reported) > reportGrace {
			o.active[key] = t
		}
	}
}
