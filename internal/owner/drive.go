package owner

import (
	"context"
	"errors"
	"time"

	"bamboohook/internal/message"
	"bamboohook/lessor"
	"bamboohook/scheduler"
)

// drive takes the next step of an attempt that is not simply running.
func (o *Owner) drive(key string, t *tracked, now time.Time) []action {
	if t.final != nil {
		if now.Sub(t.recording) > recordRetry {
			o.queueFinal(t, now)
		}
		return nil
	}
	if s, ok := o.shards[t.own.Shard]; !ok || !s.handedOver.IsZero() || now.Before(t.retryAt) {
		return nil
	}
	switch {
	case t.vm != "":
		return o.driveTied(key, t, now)
	case t.inherited():
		return o.locate(t, now)
	case t.wish != "":
		o.over(t, t.wish, now)
		return nil
	case t.task.Parked:
		o.over(t, reasonParked, now)
		return nil
	}
	return o.start(t, now)
}

// driveTied handles an attempt that its VM runs or may run.
func (o *Owner) driveTied(key string, t *tracked, now time.Time) []action {
	v, up := o.vmUp(t.vm, now)
	if !up {
		// The VM may be cut off or gone; only the end of the last lease proves that the attempt is over.
		if safe, ok := o.lessor.SafeAfter(t.vm, t.task.Identity); ok && now.After(safe) {
			o.over(t, reasonOr(t.wish, scheduler.ReasonLost), now)
		}
		return nil
	}
	if t.wish == "" && now.Sub(t.reported) <= reportGrace {
		if t.reported.Equal(v.seen) {
			delete(o.active, key)
		}
		return nil
	}
	t.busy = true
	order, name, wish := o.orderTo(t, v), t.vm, t.wish
	return []action{func(ctx context.Context) { o.stop(ctx, t, name, order, wish) }}
}

// stop ends an attempt at its VM; an eviction takes a checkpoint first.
func (o *Owner) stop(ctx context.Context, t *tracked, vm string, order message.TaskOrder, wish string) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if wish == scheduler.ReasonEvicted {
		// Without a checkpoint the task resumes from the previous one.
		_, _ = o.Agents.Checkpoint(call, vm, order)
	}
	answer, err := o.Agents.Stop(call, vm, order)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	t.busy = false
	now := o.Clock.Now()
	t.retryAt = now.Add(time.Second)
	if err != nil || !answer.Accepted || o.active[t.key] != t {
		if answer.Reason == message.ReasonNotReady {
			// The agent restarted and will report the attempt once it has listed its worker.
			t.reported = now
		}
		return
	}
	if v, ok := o.vms[vm]; ok && answer.Report.Reason != message.ReasonUnknownAttempt {
		o.ended(t, v, answer.Report, now)
		return
	}
	o.over(t, reasonOr(t.wish, scheduler.ReasonLost), now)
}

// locate looks for an attempt that an earlier owner assigned. Heartbeats show it if it runs; otherwise each of its
// VMs must refuse it for ever, or its last possible lease must be over.
func (o *Owner) locate(t *tracked, now time.Time) []action {
	if now.Sub(o.shards[t.own.Shard].begun) < settleTime {
		return nil
	}
	var actions []action
	open := false
	for _, name := range t.task.VMs {
		if t.cleared[name] {
			continue
		}
		if v, up := o.vmUp(name, now); up {
			open = true
			if len(actions) == 0 {
				t.busy = true
				order := o.orderTo(t, v)
				actions = append(actions, func(ctx context.Context) { o.clearAt(ctx, t, name, order) })
			}
			continue
		}
		safe, ok := o.lessor.SafeAfter(name, t.task.Identity)
		if !ok || !now.After(safe) {
			open = true
		}
	}
	if !open {
		o.over(t, reasonOr(t.wish, scheduler.ReasonLost), now)
	}
	return actions
}

// clearAt makes the VM's agent refuse the attempt for ever, which also fences earlier owners.
func (o *Owner) clearAt(ctx context.Context, t *tracked, vm string, order message.TaskOrder) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := o.Agents.Stop(call, vm, order)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	t.busy = false
	now := o.Clock.Now()
	if err != nil || !answer.Accepted {
		// An agent that just restarted may report the attempt once it has listed its worker.
		t.retryAt = now.Add(settleTime)
		return
	}
	if v, ok := o.vms[vm]; ok && answer.Report.Reason != message.ReasonUnknownAttempt && o.active[t.key] == t {
		o.ended(t, v, answer.Report, now)
		return
	}
	t.cleared[vm] = true
}

// over records that an attempt ended without an outcome.
func (o *Owner) over(t *tracked, reason string, now time.Time) {
	o.finish(t, scheduler.KindEviction, scheduler.Eviction{Identity: t.own, Reason: reason, VM: t.vm}, now)
}

// start starts an assigned attempt at the first of its VMs that seems to have room.
func (o *Owner) start(t *tracked, now time.Time) []action {
	if t.planned == nil && t.score < o.policies.limit {
		// The room is left to a more important task of another entry.
		return nil
	}
	usable, avoided := false, false
	for _, name := range t.task.VMs {
		v, up := o.vmUp(name, now)
		if !up || v.draining || t.cleared[name] {
			continue
		}
		if o.policies.attributor.Quarantined(name) && !t.probe {
			avoided = true
			continue
		}
		usable = true
		free := v.Free
		if size, reserved := v.starting[t.key]; reserved {
			free = free.Add(size)
		}
		if !t.task.Size.Fits(free) {
			continue
		}
		lease, verdict := o.lessor.Grant(name, t.own, now)
		if verdict != lessor.Granted {
			continue
		}
		if t.planned != nil {
			delete(t.planned.starting, t.key)
			t.planned = nil
		}
		o.tie(t, v, now)
		v.starting[t.key] = t.task.Size
		v.Free = free.Sub(t.task.Size)
		o.index(v)
		t.busy = true
		o.use(t.task, now)
		start := message.Start{
			Lease:      message.Lease{Identity: t.own, Length: lease.Duration, Hold: lease.Outage},
			Generation: v.Generation, Sequence: v.sequence, Kind: t.task.Kind, Team: t.task.Team, Declared: t.task.Size,
			JobSize: t.task.DeclaredSize, RunTime: t.task.DeclaredRunTime, Checkpoint: t.task.Checkpoint, Payload: t.task.Payload,
		}
		return []action{func(ctx context.Context) { o.startAt(ctx, t, name, start) }}
	}
	waited := now.Sub(t.since)
	// Without the log the task cannot be bound again, so it keeps waiting for these VMs.
	if o.lessor.HasLogContact(now) && (!usable && (avoided || waited > rebindLimit) || waited > 2*rebindLimit) {
		o.over(t, reasonRebound, now)
	}
	return nil
}

func (o *Owner) startAt(ctx context.Context, t *tracked, vm string, start message.Start) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := o.Agents.Start(call, vm, start)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := o.Clock.Now()
	t.busy = false
	refused := err == nil && !answer.Started || errors.Is(err, ErrNotSent)
	if !refused || o.active[t.key] != t {
		// Without an answer the attempt may run: the next heartbeats show it, or it is stopped.
		t.reported = now
		return
	}
	o.lessor.Release(t.own)
	if v, ok := o.vms[vm]; ok {
		// The estimate was wrong; the next heartbeat corrects it.
		v.Free, v.refused = v.Free.Sub(v.Capacity), true
		o.index(v)
	}
	o.untie(t)
	t.retryAt = now.Add(time.Second)
}

func reasonOr(reason, other string) string {
	if reason != "" {
		return reason
	}
	return other
}
