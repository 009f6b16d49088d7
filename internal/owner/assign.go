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
func (o *Owner) assignWaiting(now time.Time, minScore float64, ahead bool) {
	// A queued assignment is lost with a failed append, so none is made while one cannot be sent.
	if o.appendInFlight || now.Before(o.appendRetryAt) || !o.lessor.HasLogContact(now) {
		return
	}
	p := o.policies
	for range maxAppendRecords - len(o.outbox) {
		var chosen []string
		var t scheduler.Task
		item, ok := p.sequencer.Next(func(i sequencer.Item) bool {
			if p.sequencer.Score(i) <= minScore {
				return false
			}
			t, chosen = o.chooseVMs(i, now, ahead)
			return len(chosen) > 0
		})
		if !ok {
			return
		}
		o.queueAssignment(t, item, chosen, false)
	}
}

// choose returns the waiting task with its corrected size, and the VMs to bind it to.
func (o *Owner) chooseVMs(item sequencer.Item, now time.Time, ahead bool) (scheduler.Task, []string) {
	t, s, ok := o.startableTask(item)
	if !ok || s.unstartedCount+len(s.pendingAssignments) >= maxUnstarted {
		return t, nil
	}
	t = o.policies.withExpectedDemand(t)
	names, _ := o.policies.placer.Place(placer.Task{Kind: t.Kind, Size: t.Size})
	names = o.excludeFailedVMs(t, names)
	if o.policies.sequencer.Score(item) < o.policies.minScore {
		names = nil
	}
	if len(names) == 0 && (!ahead || s.unstartedCount+len(s.pendingAssignments) >= maxBoundAhead) {
		return t, nil
	}
	return t, o.addFallbackVMs(t, names, now)
}

// startable returns the task of the item if this entry may start it.
func (o *Owner) startableTask(item sequencer.Item) (scheduler.Task, *shard, bool) {
	t, ok := o.waitingTask(item)
	if !ok {
		return t, nil, false
	}
	s, ok := o.shards[t.Shard]
	return t, s, ok && s.handOverAt.IsZero()
}

// withoutFailed drops the VMs at which the task failed, unless they are all that there is.
func (o *Owner) excludeFailedVMs(t scheduler.Task, names []string) []string {
	failed := o.policies.failedVMs[taskKey(t.Job, t.Task)]
	if len(failed) == 0 || len(failed) >= len(o.vmsByName) {
		return names[:min(len(names), vmsPerAttempt)]
	}
	names = slices.DeleteFunc(names, func(name string) bool { return slices.Contains(failed, name) })
	return names[:min(len(names), vmsPerAttempt)]
}

// spare fills the choice with VMs that are large enough, so that the attempt can wait for their room. The search begins at
// another VM for each task, so that they do not all wait for the same ones.
func (o *Owner) addFallbackVMs(t scheduler.Task, names []string, now time.Time) []string {
	names = slices.Clone(names)
	failed := o.policies.failedVMs[taskKey(t.Job, t.Task)]
	o.searchStart++
	for i := 0; i < len(o.vmsByName) && len(names) < vmsPerAttempt; i++ {
		v := o.vmsByName[(o.searchStart+i)%len(o.vmsByName)]
		if !v.draining && now.Sub(v.lastHeartbeat) <= suspectTimeout && t.Size.Fits(v.Capacity) && !o.policies.attributor.Quarantined(v.Name) &&
			!slices.Contains(names, v.Name) && (!slices.Contains(failed, v.Name) || len(failed) >= len(o.vmsByName)) {
			names = append(names, v.Name)
		}
	}
	return names
}

// bind queues the record of an assignment and keeps room at the first VM that has it.
func (o *Owner) queueAssignment(t scheduler.Task, item sequencer.Item, names []string, probe bool) {
	s, key := o.shards[t.Shard], t.ID()
	id := task.Identity{Job: t.Job, Task: t.Task, Attempt: t.Attempt, Shard: t.Shard, Epoch: s.epoch}
	s.pendingAssignments[key] = &pendingAssignment{reservedVM: o.reserveResources(key, t, names), item: item, probe: probe, id: id}
	o.queueRecord(scheduler.KindAssignment, scheduler.Assignment{Identity: id, VMs: names, Size: t.Size, RunTime: t.RunTime},
		func() { o.dropAssignment(s, key) })
}

// reserve keeps room at the first VM that has it, so that later placements in the same round see it taken.
func (o *Owner) reserveResources(key string, t scheduler.Task, names []string) *VM {
	for _, name := range names {
		if v, ok := o.vms[name]; ok && t.Size.Fits(v.Free) {
			v.pendingStarts[key] = t.Size
			v.Free = v.Free.Sub(t.Size)
			o.updatePlacer(v)
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
func (o *Owner) releaseOverReserved(active []*attempt) {
	for _, t := range slices.Backward(active) {
		v := t.reservedVM
		if v == nil || v.startRefused || !v.Free.Negative() {
			continue
		}
		delete(v.pendingStarts, t.key)
		t.reservedVM = nil
		v.Free = v.Free.Add(t.task.Size)
		o.updatePlacer(v)
	}
}

// unplan forgets an assignment that failed or had no effect; a task that still waits returns to the order.
func (o *Owner) dropAssignment(s *shard, key string) {
	b, ok := s.pendingAssignments[key]
	if !ok {
		return
	}
	o.removeAssignment(s, key, b)
	if b.reservedVM != nil {
		delete(b.reservedVM.pendingStarts, key)
	}
	o.enqueue(b.id)
}

// settle ends the use that the sequencer counts for a task that it returned.
func (o *Owner) removeAssignment(s *shard, key string, b *pendingAssignment) {
	delete(s.pendingAssignments, key)
	o.policies.sequencer.Release(b.item.Team, b.item.Size)
}

// ordered returns the active attempts in the order of their steps: what was started before what was not, and that by the
// order of the sequencer, so that freed room goes to the most important task. It is fixed, so that a test's seed
// determines its run. The second result is the highest score of an attempt that was not started.
func (o *Owner) orderedAttempts() (active []*attempt, highest float64) {
	highest = math.Inf(-1)
	for _, t := range o.activeAttempts {
		t.score = math.Inf(1)
		if t.neverStarted() {
			t.score = o.policies.sequencer.Score(sequencerItem(t.task))
			highest = max(highest, t.score)
		}
		active = append(active, t)
	}
	slices.SortFunc(active, func(a, b *attempt) int {
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
