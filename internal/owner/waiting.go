package owner

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"bamboohook/estimator"
	"bamboohook/internal/message"
	"bamboohook/scheduler"
	"bamboohook/sequencer"
	"bamboohook/task"
)

const (
	// maxInitialProgress is the progress, from 0 to 1, in the first report of an attempt above which the attempt may
	// have run for long, so that its run time is unknown.
	maxInitialProgress = 0.1
	// maxYieldDuration is how long this entry leaves free resources to a waiting task of another entry's shard while
	// that task stays the first in foreignTasks.
	maxYieldDuration = 5 * time.Second
)

// taskKey returns the key of a task. All attempts of the task have the same key.
func taskKey(job string, taskNumber int) string { return job + "/" + strconv.Itoa(taskNumber) }

// sequencerItem returns the item for a waiting task in the sequencer. Its id is the key of the task.
func sequencerItem(t scheduler.Task) sequencer.Item {
	return sequencer.Item{ID: taskKey(t.Job, t.Task), Team: t.Team, Kind: t.Kind, Size: t.DeclaredSize, Submitted: t.Submitted}
}

// waitingTask returns the task for an item of the sequencer. It returns false if the task no longer waits.
func (o *Owner) waitingTask(item sequencer.Item) (scheduler.Task, bool) {
	slash := strings.LastIndexByte(item.ID, '/')
	taskNumber, err := strconv.Atoi(item.ID[slash+1:])
	if slash < 0 || err != nil {
		return scheduler.Task{}, false
	}
	return o.scheduler.WaitingTask(item.ID[:slash], taskNumber)
}

// enqueue adds a task that waits to the sequencer, or to foreignTasks if another entry owns its shard. A task with a
// pending assignment is not added to the sequencer.
func (o *Owner) enqueue(id task.Identity) {
	t, ok := o.scheduler.WaitingTask(id.Job, id.Task)
	if !ok {
		return
	}
	s, owned := o.shards[id.Shard]
	if !owned {
		o.enqueueForeign(t)
		return
	}
	if _, ok := s.pendingAssignments[t.ID()]; !ok {
		o.policies.sequencer.Add(sequencerItem(t))
	}
}

// dequeueJob removes the tasks of a cancelled or parked job from the sequencer and from foreignTasks.
func (o *Owner) dequeueJob(job string) {
	status, _ := o.scheduler.Status(job)
	for n := range status.Tasks {
		o.policies.sequencer.Cancel(taskKey(job, n))
		o.policies.foreignTasks.Cancel(taskKey(job, n))
	}
}

// enqueueJob adds the tasks of a new job to the sequencer, or to foreignTasks if another entry owns its shard.
func (o *Owner) enqueueJob(job string) {
	_, owned := o.shards[o.scheduler.ShardOf(job)]
	for t := range o.scheduler.WaitingTasksOfJob(job) {
		if owned {
			o.policies.sequencer.Add(sequencerItem(t))
		} else {
			o.enqueueForeign(t)
		}
	}
}

// updatePolicies updates the sequencer, the usages and the recorded failures after an assignment, result or
// interruption took effect, whichever entry owns the shard. An assigned task leaves the sequencer. The resources of an
// ended attempt no longer count against the quota of its team. The failures of a task that does not wait again are
// removed.
func (o *Owner) updatePolicies(kind string, id task.Identity) {
	p, key := o.policies, taskKey(id.Job, id.Task)
	if kind == scheduler.KindAssignment {
		p.sequencer.Cancel(key)
		return
	}
	o.stopCountingAgainstQuota(key)
	if _, ok := o.scheduler.WaitingTask(id.Job, id.Task); !ok {
		delete(p.failedVMs, key)
		delete(p.failureCounts, key)
	}
}

// countAgainstQuota counts the resources of an attempt against the quota of its team, unless they are already counted,
// and returns the usage of the attempt. It is called when the attempt is reported as running or is about to start.
func (o *Owner) countAgainstQuota(t scheduler.Task, now time.Time) *usage {
	key := taskKey(t.Job, t.Task)
	if u, ok := o.policies.usages[key]; ok {
		return u
	}
	u := &usage{
		team: t.Team, kind: t.Kind, size: t.Size, startedAt: now, declared: estimator.Demand{Size: t.DeclaredSize, RunTime: t.DeclaredRunTime},
		runTimeUnknown: t.Checkpoint != "",
	}
	o.policies.usages[key] = u
	o.policies.sequencer.AddUsage(t.Team, t.Size)
	return u
}

// stopCountingAgainstQuota stops counting the resources of the current attempt against the quota of its team. The
// attempt is that of the task with the given key.
func (o *Owner) stopCountingAgainstQuota(key string) {
	if u, ok := o.policies.usages[key]; ok {
		o.policies.sequencer.RemoveUsage(u.team, u.size)
		delete(o.policies.usages, key)
	}
}

// observeRunning updates the usage of an attempt that a VM reports as running, whichever entry owns it.
func (o *Owner) observeRunning(r message.TaskReport, now time.Time) {
	t, ok := o.scheduler.CurrentAttempt(r.Identity)
	if !ok || r.State != message.TaskRunning {
		return
	}
	_, seenBefore := o.policies.usages[taskKey(t.Job, t.Task)]
	u := o.countAgainstQuota(t, now)
	u.recordPeak(r)
	// An attempt that has made much progress when it is first seen was started long before, so its run time is unknown.
	u.runTimeUnknown = u.runTimeUnknown || !seenBefore && r.Progress > maxInitialProgress
	o.policies.foreignTasks.Cancel(taskKey(t.Job, t.Task))
}

// enqueueForeign adds a waiting task of another entry's shard to foreignTasks. The task is removed when a VM reports
// it as running, when its attempt or its job ends, when the job is parked, or when this entry claims the shard.
func (o *Owner) enqueueForeign(t scheduler.Task) { o.policies.foreignTasks.Add(sequencerItem(t)) }

// updateMinScore sets minScore, the score below which tasks of this entry leave free resources to the first task in
// foreignTasks. It is one less than the score of that task, so that this entry leaves resources only to tasks that are
// more important by more than 1. A score grows by 1 with each level of importance, and with each aging interval (10
// minutes by default) for which the task waits. A foreign task that has been first for longer than maxYieldDuration is
// passed over, because it may fit on no VM, or its shard may have no owner.
func (o *Owner) updateMinScore(now time.Time) {
	p, firstSince := o.policies, map[string]time.Time{}
	p.minScore = math.Inf(-1)
	p.foreignTasks.Next(func(i sequencer.Item) bool {
		if !math.IsInf(p.minScore, -1) {
			return false
		}
		since, ok := p.firstSince[i.ID]
		if !ok {
			since = now
		}
		firstSince[i.ID] = since
		if now.Sub(since) <= maxYieldDuration {
			p.minScore = p.foreignTasks.Score(i) - 1
		}
		return false
	})
	p.firstSince = firstSince
}

// scheduleRetry schedules the retry of a failed task after a delay that grows with the number of its failures. It also
// records the VM on which the task failed, so that the retry is assigned to other VMs.
func (p *policies) scheduleRetry(id task.Identity, vm string, now time.Time) {
	key := taskKey(id.Job, id.Task)
	if vms := p.failedVMs[key]; vm != "" && !slices.Contains(vms, vm) {
		p.failedVMs[key] = append(vms, vm)
	}
	delay := min(minRetryDelay<<min(p.failureCounts[key], 10), maxRetryDelay)
	p.failureCounts[key]++
	p.delayedRetries = append(p.delayedRetries, delayedRetry{id, now.Add(delay)})
}
