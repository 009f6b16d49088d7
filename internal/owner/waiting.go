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
	// maxFirstProgress is how far an attempt may be when it is first seen.
	maxInitialProgress = 0.1
	// yieldLimit is how long freed room is left to one task of another entry.
	maxYieldTime = 5 * time.Second
)

// taskKey names a task in all its attempts.
func taskKey(job string, taskNumber int) string { return job + "/" + strconv.Itoa(taskNumber) }

func sequencerItem(t scheduler.Task) sequencer.Item {
	return sequencer.Item{ID: taskKey(t.Job, t.Task), Team: t.Team, Kind: t.Kind, Size: t.DeclaredSize, Submitted: t.Submitted}
}

// waiting returns the task that the item stands for, if it still waits.
func (o *Owner) waitingTask(item sequencer.Item) (scheduler.Task, bool) {
	at := strings.LastIndexByte(item.ID, '/')
	taskNumber, err := strconv.Atoi(item.ID[at+1:])
	if at < 0 || err != nil {
		return scheduler.Task{}, false
	}
	return o.scheduler.WaitingTask(item.ID[:at], taskNumber)
}

// enter queues a task that waits and is not being assigned.
func (o *Owner) enqueue(id task.Identity) {
	t, ok := o.scheduler.WaitingTask(id.Job, id.Task)
	if !ok {
		return
	}
	s, own := o.shards[id.Shard]
	if !own {
		o.enqueueOther(t)
		return
	}
	if _, ok := s.pendingAssignments[t.ID()]; !ok {
		o.policies.sequencer.Add(sequencerItem(t))
	}
}

// withdraw takes all tasks of a job that does not start any more out of the order.
func (o *Owner) dequeueJob(job string) {
	status, _ := o.scheduler.Status(job)
	for n := range status.Tasks {
		o.policies.sequencer.Cancel(taskKey(job, n))
		o.policies.others.Cancel(taskKey(job, n))
	}
}

// jobAdded queues the tasks of a new job.
func (o *Owner) jobAdded(job string) {
	_, own := o.shards[o.scheduler.ShardOf(job)]
	for t := range o.scheduler.WaitingTasksOfJob(job) {
		if own {
			o.policies.sequencer.Add(sequencerItem(t))
		} else {
			o.enqueueOther(t)
		}
	}
}

// count follows the attempts of all shards: an assigned task leaves the order, and what an ended one used returns to its team.
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

// use counts an attempt that has started or is about to.
func (o *Owner) startUsage(t scheduler.Task, now time.Time) *usage {
	key := taskKey(t.Job, t.Task)
	if u, ok := o.policies.usages[key]; ok {
		return u
	}
	u := &usage{
		team: t.Team, kind: t.Kind, size: t.Size, startedAt: now, declared: estimator.Demand{Size: t.DeclaredSize, RunTime: t.DeclaredRunTime},
		resumed: t.Checkpoint != "",
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

// seen takes the report of a running attempt of any shard.
func (o *Owner) observeRunning(r message.TaskReport, now time.Time) {
	t, ok := o.scheduler.CurrentAttempt(r.Identity)
	if !ok || r.State != message.TaskRunning {
		return
	}
	_, known := o.policies.usages[taskKey(t.Job, t.Task)]
	u := o.startUsage(t, now)
	u.recordPeak(r)
	// The run time of an attempt that was first seen when it had run for long says nothing.
	u.resumed = u.resumed || !known && r.Progress > maxInitialProgress
	o.policies.others.Cancel(taskKey(t.Job, t.Task))
}

// enterOther queues a task of a shard of another entry until it is seen running.
func (o *Owner) enqueueOther(t scheduler.Task) { o.policies.others.Add(sequencerItem(t)) }

// yield determines the score below which freed room is left to the tasks of other entries: the highest of a task that has
// not been first for long. One that stays first may fit nowhere or have no owner.
func (o *Owner) updateMinScore(now time.Time) {
	p, first := o.policies, map[string]time.Time{}
	p.minScore = math.Inf(-1)
	p.others.Next(func(i sequencer.Item) bool {
		if !math.IsInf(p.minScore, -1) {
			return false
		}
		since, ok := p.firstSince[i.ID]
		if !ok {
			since = now
		}
		first[i.ID] = since
		if now.Sub(since) <= maxYieldTime {
			p.minScore = p.others.Score(i) - 1
		}
		return false
	})
	p.firstSince = first
}

// failedHere remembers where the task failed, so that it is tried elsewhere, and when it may be.
func (p *policies) recordFailure(id task.Identity, vm string, now time.Time) {
	key := taskKey(id.Job, id.Task)
	if known := p.failedVMs[key]; vm != "" && !slices.Contains(known, vm) {
		p.failedVMs[key] = append(known, vm)
	}
	delay := min(minRetryDelay<<min(p.failureCounts[key], 10), maxRetryDelay)
	p.failureCounts[key]++
	p.delayedRetries = append(p.delayedRetries, delayedRetry{id, now.Add(delay)})
}
