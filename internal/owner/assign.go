package owner

import (
	"math"
	"slices"
	"time"

	"bamboohook/placer"
	"bamboohook/scheduler"
	"bamboohook/sequencer"
	"bamboohook/task"
)

// assign binds waiting tasks of the owned shards to VMs, in the order of the sequencer. Only tasks above the score are
// taken. Those that have room are bound first to VMs with it; others are bound in advance if ahead is true, so that they can
// start without the log.
func (o *Owner) assign(now time.Time, above float64, ahead bool) {
	// A queued assignment is lost with a failed append, so none is made while one cannot be sent.
	if o.appending || now.Before(o.retryAt) || !o.lessor.HasLogContact(now) {
		return
	}
	p := o.policies
	for range maxAssignments - len(o.outbox) {
		var chosen []string
		var t scheduler.Task
		item, ok := p.sequencer.Next(func(i sequencer.Item) bool {
			if p.sequencer.Score(i) <= above {
				return false
			}
			t, chosen = o.choose(i, now, ahead)
			return len(chosen) > 0
		})
		if !ok {
			return
		}
		o.bind(t, item, chosen, false)
	}
}

// choose returns the waiting task with its corrected size, and the VMs to bind it to.
func (o *Owner) choose(item sequencer.Item, now time.Time, ahead bool) (scheduler.Task, []string) {
	t, s, ok := o.startable(item)
	if !ok || s.unstarted+len(s.assigning) >= maxBound {
		return t, nil
	}
	t = o.policies.correct(t)
	names, _ := o.policies.placer.Place(placer.Task{Kind: t.Kind, Size: t.Size})
	names = o.withoutFailed(t, names)
	if o.policies.sequencer.Score(item) < o.policies.limit {
		names = nil
	}
	if len(names) == 0 && (!ahead || s.unstarted+len(s.assigning) >= maxUnstarted) {
		return t, nil
	}
	return t, o.spare(t, names, now)
}

// startable returns the task of the item if this entry may start it.
func (o *Owner) startable(item sequencer.Item) (scheduler.Task, *shard, bool) {
	t, ok := o.waiting(item)
	if !ok {
		return t, nil, false
	}
	s, ok := o.shards[t.Shard]
	return t, s, ok && s.handedOver.IsZero()
}

// withoutFailed drops the VMs at which the task failed, unless they are all that there is.
func (o *Owner) withoutFailed(t scheduler.Task, names []string) []string {
	failed := o.policies.failedAt[taskKey(t.Job, t.Task)]
	if len(failed) == 0 || len(failed) >= len(o.order) {
		return names[:min(len(names), bindSize)]
	}
	names = slices.DeleteFunc(names, func(name string) bool { return slices.Contains(failed, name) })
	return names[:min(len(names), bindSize)]
}

// spare fills the choice with VMs that are large enough, so that the attempt can wait for their room. The search begins at
// another VM for each task, so that they do not all wait for the same ones.
func (o *Owner) spare(t scheduler.Task, names []string, now time.Time) []string {
	names = slices.Clone(names)
	failed := o.policies.failedAt[taskKey(t.Job, t.Task)]
	o.rotation++
	for i := 0; i < len(o.order) && len(names) < bindSize; i++ {
		v := o.order[(o.rotation+i)%len(o.order)]
		if !v.draining && now.Sub(v.seen) <= suspectLimit && t.Size.Fits(v.Capacity) && !o.policies.attributor.Quarantined(v.Name) &&
			!slices.Contains(names, v.Name) && (!slices.Contains(failed, v.Name) || len(failed) >= len(o.order)) {
			names = append(names, v.Name)
		}
	}
	return names
}

// bind queues the record of an assignment and keeps room at the first VM that has it.
func (o *Owner) bind(t scheduler.Task, item sequencer.Item, names []string, probe bool) {
	s, key := o.shards[t.Shard], t.ID()
	id := task.Identity{Job: t.Job, Task: t.Task, Attempt: t.Attempt, Shard: t.Shard, Epoch: s.epoch}
	s.assigning[key] = &binding{vm: o.reserve(key, t, names), item: item, probe: probe, id: id}
	o.record(scheduler.KindAssignment, scheduler.Assignment{Identity: id, VMs: names, Size: t.Size, RunTime: t.RunTime},
		func() { o.unplan(s, key) })
}

// reserve keeps room at the first VM that has it, so that later placements in the same round see it taken.
func (o *Owner) reserve(key string, t scheduler.Task, names []string) *VM {
	for _, name := range names {
		if v, ok := o.vms[name]; ok && t.Size.Fits(v.Free) {
			v.starting[key] = t.Size
			v.Free = v.Free.Sub(t.Size)
			o.index(v)
			if v.Capacity.MilliProcessors > 0 {
				o.policies.estimator.Commit(name, t.Kind, float64(t.Size.MilliProcessors)/float64(v.Capacity.MilliProcessors))
			}
			return v
		}
	}
	return nil
}

// unreserve gives up kept room at VMs where less is free than was kept, because another entry took a part of it. Otherwise each
// attempt would see the room as taken by the others, and none would start. The least important attempts go first.
func (o *Owner) unreserve(active []*tracked) {
	for _, t := range slices.Backward(active) {
		v := t.planned
		if v == nil || v.refused || !v.Free.Negative() {
			continue
		}
		delete(v.starting, t.key)
		t.planned = nil
		v.Free = v.Free.Add(t.task.Size)
		o.index(v)
	}
}

// unplan forgets an assignment that failed or had no effect; a task that still waits returns to the order.
func (o *Owner) unplan(s *shard, key string) {
	b, ok := s.assigning[key]
	if !ok {
		return
	}
	o.settle(s, key, b)
	if b.vm != nil {
		delete(b.vm.starting, key)
	}
	o.enter(b.id)
}

// settle ends the use that the sequencer counts for a task that it returned.
func (o *Owner) settle(s *shard, key string, b *binding) {
	delete(s.assigning, key)
	o.policies.sequencer.Release(b.item.Team, b.item.Size)
}

// ordered returns the active attempts in the order of their steps: what was started before what was not, and that by the
// order of the sequencer, so that freed room goes to the most important task. It is fixed, so that a test's seed
// determines its run. The second result is the highest score of an attempt that was not started.
func (o *Owner) ordered() (active []*tracked, highest float64) {
	highest = math.Inf(-1)
	for _, t := range o.active {
		t.score = math.Inf(1)
		if t.unstarted() {
			t.score = o.policies.sequencer.Score(itemOf(t.task))
			highest = max(highest, t.score)
		}
		active = append(active, t)
	}
	slices.SortFunc(active, func(a, b *tracked) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		case a.key < b.key:
			return -1
		}
		return 1
	})
	return active, highest
}
