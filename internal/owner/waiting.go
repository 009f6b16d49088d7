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
	// maxInitialProgress is the progress that an attempt may have reached when it is first seen. Beyond it, the run time
	// is unknown.
	maxInitialProgress = 0.1
	// maxYieldTime is how long freed resources are left to the same task of another entry.
	maxYieldTime = 5 * time.Second
)

// taskKey identifies a task, independent of its attempts.
func taskKey(job string, taskNumber int) string { return job + "/" + strconv.Itoa(taskNumber) }

func sequencerItem(t scheduler.Task) sequencer.Item {
	return sequencer.Item{ID: taskKey(t.Job, t.Task), Team: t.Team, Kind: t.Kind, Size: t.DeclaredSize, Submitted: t.Submitted}
}

// waitingTask returns the task of the item if it still waits.
func (o *Owner) waitingTask(item sequencer.Item) (scheduler.Task, bool) {
	slash := strings.LastIndexByte(item.ID, '/')
	taskNumber, err := strconv.Atoi(item.ID[slash+1:])
	if slash < 0 || err != nil {
		return scheduler.Task{}, false
	}
	return o.scheduler.WaitingTask(item.ID[:slash], taskNumber)
}

// enqueue adds a waiting task to the sequencer unless it is being assigned.
func (o *Owner) enqueue(id task.Identity) {
	t, ok := o.scheduler.WaitingTask(id.Job, id.Task)
	if !ok {
		return
	}
	s, own := o.shards[id.Shard]
	if !own {
		o.enqueueForeign(t)
		return
	}
	if _, ok := s.pendingAssignments[t.ID()]; !ok {
		o.policies.sequencer.Add(sequencerItem(t))
	}
}

// dequeueJob removes all tasks of a job that no longer starts tasks from the sequencers.
func (o *Owner) dequeueJob(job string) {
	status, _ := o.scheduler.Status(job)
	for n := range status.Tasks {
		o.policies.sequencer.Cancel(taskKey(job, n))
		o.policies.foreignTasks.Cancel(taskKey(job, n))
	}
}

// jobAdded adds the tasks of a new job to the sequencer.
func (o *Owner) enqueueJob(job string) {
	_, own := o.shards[o.scheduler.ShardOf(job)]
	for t := range o.scheduler.WaitingTasksOfJob(job) {
		if own {
			o.policies.sequencer.Add(sequencerItem(t))
		} else {
			o.enqueueForeign(t)
		}
	}
}

// updateUsage tracks the attempts of all shards. A task leaves the sequencer when it is assigned, and the resources
// of an ended attempt no longer count for its team.
func (o *Owner) updateUsage(kind string, id task.Identity) {
	p, key := o.policies, taskKey(id.Job, id.Task)
	if kind == scheduler.KindAssignment {
		p.sequencer.Cancel(key)
		return
	}
	o.endUsage(key)
	if _, ok := o.scheduler.WaitingTask(id.Job, id.Task); !ok {
		delete(p.failedVMs, key)
		delete(p.failureCounts, key)
	}
}

// startUsage counts the resources of an attempt that has started or is about to start.
func (o *Owner) startUsage(t scheduler.Task, now time.Time) *usage {
	key := taskKey(t.Job, t.Task)
	if u, ok := o.policies.usages[key]; ok {
		return u
	}
	u := &usage{
		team: t.Team, kind: t.Kind, size: t.Size, startedAt: now, declared: estimator.Demand{Size: t.DeclaredSize, RunTime: t.DeclaredRunTime},
		runTimeUnknown: t.Checkpoint != "",
	}
	o.policies.usages[key] = u
	o.policies.sequencer.Use(t.Team, t.Size)
	return u
}

func (o *Owner) endUsage(key string) {
	if u, ok := o.policies.usages[key]; ok {
		o.policies.sequencer.Release(u.team, u.size)
		delete(o.policies.usages, key)
	}
}

// observeRunning processes the report of a running attempt of any shard.
func (o *Owner) observeRunning(r message.TaskReport, now time.Time) {
	t, ok := o.scheduler.CurrentAttempt(r.Identity)
	if !ok || r.State != message.TaskRunning {
		return
	}
	_, seenBefore := o.policies.usages[taskKey(t.Job, t.Task)]
	u := o.startUsage(t, now)
	u.recordPeak(r)
	// The run time of an attempt that was already far advanced when it was first seen is unknown.
	u.runTimeUnknown = u.runTimeUnknown || !seenBefore && r.Progress > maxInitialProgress
	o.policies.foreignTasks.Cancel(taskKey(t.Job, t.Task))
}

// enqueueOther tracks a task of another entry's shard until the task is seen running.
func (o *Owner) enqueueForeign(t scheduler.Task) { o.policies.foreignTasks.Add(sequencerItem(t)) }

// updateMinScore sets the score below which freed resources are left to tasks of other entries. It is derived from
// the highest score among the tasks that have not been first for longer than maxYieldTime. A task that stays first
// for longer may fit no VM or have no owner.
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
		if now.Sub(since) <= maxYieldTime {
			p.minScore = p.foreignTasks.Score(i) - 1
		}
		return false
	})
	p.firstSince = firstSince
}

// recordFailure records the VM on which the task failed, so that the task is retried elsewhere, and the time of the
// retry.
func (p *policies) recordFailure(id task.Identity, vm string, now time.Time) {
	key := taskKey(id.Job, id.Task)
	if vms := p.failedVMs[key]; vm != "" && !slices.Contains(vms, vm) {
		p.failedVMs[key] = append(vms, vm)
	}
	delay := min(minRetryDelay<<min(p.failureCounts[key], 10), maxRetryDelay)
	p.failureCounts[key]++
	p.delayedRetries = append(p.delayedRetries, delayedRetry{id, now.Add(delay)})
}
