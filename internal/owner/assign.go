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

// assignWaiting assigns waiting tasks of the owned shards to VMs in the order of the sequencer. It considers only
// tasks with a score above aboveScore. VMs that have enough free resources for a task now come first among the VMs of
// the task. If ahead is true, tasks that fit on no VM now are assigned as well, so that they can start later even if
// the log service is unavailable then.
func (o *Owner) assignWaiting(now time.Time, aboveScore float64, ahead bool) {
	// If an append fails, the assignments in it are abandoned. Therefore no assignment is queued while it could not be
	// appended right away.
	if o.appendInFlight || now.Before(o.appendRetryAt) || !o.lessor.HasLogContact(now) {
		return
	}
	p := o.policies
	for range maxRecordsForAssigning - len(o.queuedRecords) {
		var chosen []string
		var t scheduler.Task
		item, ok := p.sequencer.Next(func(i sequencer.Item) bool {
			if p.sequencer.Score(i) <= aboveScore {
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

// chooseVMs returns the waiting task of the item with its expected size and run time, and the VMs to which it should
// be assigned. It returns no VMs if the task should not be assigned now.
func (o *Owner) chooseVMs(item sequencer.Item, now time.Time, ahead bool) (scheduler.Task, []string) {
	t, s, ok := o.startableTask(item)
	if !ok || s.unstartedCount+len(s.pendingAssignments) >= maxUnstarted {
		return t, nil
	}
	t = o.policies.withExpectedDemand(t)
	names, _ := o.policies.placer.Place(placer.Task{Kind: t.Kind, Size: t.Size})
	names = o.withoutFailedVMs(t, names)
	if o.policies.sequencer.Score(item) < o.policies.minScore {
		names = nil
	}
	if len(names) == 0 && (!ahead || s.unstartedCount+len(s.pendingAssignments) >= maxAssignedAhead) {
		return t, nil
	}
	return t, o.addFallbackVMs(t, names, now)
}

// startableTask returns the task of the item and its shard. The last result is false unless the task waits and this
// entry owns the shard and is not handing it over.
func (o *Owner) startableTask(item sequencer.Item) (scheduler.Task, *shard, bool) {
	t, ok := o.waitingTask(item)
	if !ok {
		return t, nil, false
	}
	s, ok := o.shards[t.Shard]
	return t, s, ok && s.handOverAt.IsZero()
}

// withoutFailedVMs removes the VMs on which an attempt of the task has failed, unless attempts have failed on as
// many VMs as there are. It returns at most vmsPerAttempt of the remaining VMs.
func (o *Owner) withoutFailedVMs(t scheduler.Task, names []string) []string {
	failedVMs := o.policies.failedVMs[taskKey(t.Job, t.Task)]
	if len(failedVMs) == 0 || len(failedVMs) >= len(o.vmsByName) {
		return names[:min(len(names), vmsPerAttempt)]
	}
	names = slices.DeleteFunc(names, func(name string) bool { return slices.Contains(failedVMs, name) })
	return names[:min(len(names), vmsPerAttempt)]
}

// addFallbackVMs adds VMs that are large enough for the task but may have too few free resources now, until there are
// vmsPerAttempt VMs. The attempt can start on one of them when resources are freed. Each search starts at another VM,
// so that the attempts don't all wait for the same VMs.
func (o *Owner) addFallbackVMs(t scheduler.Task, names []string, now time.Time) []string {
	names = slices.Clone(names)
	failedVMs := o.policies.failedVMs[taskKey(t.Job, t.Task)]
	o.fallbackSearchCount++
	for i := 0; i < len(o.vmsByName) && len(names) < vmsPerAttempt; i++ {
		v := o.vmsByName[(o.fallbackSearchCount+i)%len(o.vmsByName)]
		if !v.draining && now.Sub(v.lastHeartbeatAt) <= silenceTimeout && t.Size.Fits(v.Capacity) && !o.policies.attributor.Quarantined(v.Name) &&
			!slices.Contains(names, v.Name) && (!slices.Contains(failedVMs, v.Name) || len(failedVMs) >= len(o.vmsByName)) {
			names = append(names, v.Name)
		}
	}
	return names
}

// queueAssignment queues the assignment of a task to the named VMs. If one of them has enough free resources, they are
// reserved for the attempt.
func (o *Owner) queueAssignment(t scheduler.Task, item sequencer.Item, names []string, probe bool) {
	s, attemptID := o.shards[t.Shard], t.ID()
	id := task.Identity{Job: t.Job, Task: t.Task, Attempt: t.Attempt, Shard: t.Shard, Epoch: s.epoch}
	s.pendingAssignments[attemptID] = &pendingAssignment{reservedVM: o.reserveResources(attemptID, t, names), item: item, probe: probe, id: id}
	o.queueRecord(scheduler.KindAssignment, scheduler.Assignment{Identity: id, VMs: names, Size: t.Size, RunTime: t.RunTime},
		func() { o.abandonPendingAssignment(s, attemptID) })
}

// reserveResources reserves resources on the first of the named VMs that has enough of them, so that later assignments
// count them as used. It returns that VM, or nil if there is none.
func (o *Owner) reserveResources(attemptID string, t scheduler.Task, names []string) *VM {
	for _, name := range names {
		if v, ok := o.vms[name]; ok && t.Size.Fits(v.Free) {
			v.unreportedSizes[attemptID] = t.Size
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

// releaseExcessReservations releases reservations on VMs that have less free than is reserved, because another entry
// has started attempts there. Otherwise each attempt with a reservation would find the VM full because of the
// reservations of the others, and none of them would start. The attempts with the lowest scores lose their
// reservations first.
func (o *Owner) releaseExcessReservations(attempts []*attempt) {
	for _, a := range slices.Backward(attempts) {
		v := a.reservedVM
		if v == nil || v.freeLowered || !v.Free.Negative() {
			continue
		}
		delete(v.unreportedSizes, a.id)
		a.reservedVM = nil
		v.Free = v.Free.Add(a.task.Size)
		o.updatePlacer(v)
	}
}

// abandonPendingAssignment removes a pending assignment whose record was not appended or had no effect, or whose shard
// this entry no longer owns. It ends the reservation of resources. If the task still waits, it is added to the
// sequencer again.
func (o *Owner) abandonPendingAssignment(s *shard, attemptID string) {
	pending, ok := s.pendingAssignments[attemptID]
	if !ok {
		return
	}
	o.forgetPendingAssignment(s, attemptID, pending)
	if pending.reservedVM != nil {
		delete(pending.reservedVM.unreportedSizes, attemptID)
	}
	o.enqueue(pending.id)
}

// forgetPendingAssignment removes a pending assignment. It also removes the size of the task from the usage of the
// team, to which sequencer.Next added it when it returned the task.
func (o *Owner) forgetPendingAssignment(s *shard, attemptID string, pending *pendingAssignment) {
	delete(s.pendingAssignments, attemptID)
	o.policies.sequencer.RemoveUsage(pending.item.Team, pending.item.Size)
}

// orderedAttempts returns attemptsToAdvance in the order in which the attempts are advanced. First come those that
// were started or may have been. The others follow by decreasing score, so that free resources go to the most
// important task. Attempts with equal scores are sorted by id. The order is always the same, so that the seed of a
// test determines its run. highestUnstartedScore is the highest score of an attempt that was certainly never started,
// or -Inf if there is none.
func (o *Owner) orderedAttempts() (attempts []*attempt, highestUnstartedScore float64) {
	highestUnstartedScore = math.Inf(-1)
	for _, a := range o.attemptsToAdvance {
		a.score = math.Inf(1)
		if a.neverStarted() {
			a.score = o.policies.sequencer.Score(sequencerItem(a.task))
			highestUnstartedScore = max(highestUnstartedScore, a.score)
		}
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, func(a, b *attempt) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		case a.id < b.id:
			return -1
		}
		return 1
	})
	return attempts, highestUnstartedScore
}
