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
	maxFirstProgress = 0.1
	// yieldLimit is how long freed room is left to one task of another entry.
	yieldLimit = 5 * time.Second
)

// taskKey names a task in all its attempts.
func taskKey(job string, number int) string { return job + "/" + strconv.Itoa(number) }

func itemOf(t scheduler.Task) sequencer.Item {
	return sequencer.Item{ID: taskKey(t.Job, t.Task), Team: t.Team, Kind: t.Kind, Size: t.DeclaredSize, Submitted: t.Submitted}
}

// waiting returns the task that the item stands for, if it still waits.
func (o *Owner) waiting(item sequencer.Item) (scheduler.Task, bool) {
	at := strings.LastIndexByte(item.ID, '/')
	number, err := strconv.Atoi(item.ID[at+1:])
	if at < 0 || err != nil {
		return scheduler.Task{}, false
	}
	return o.state.WaitingTask(item.ID[:at], number)
}

// enter queues a task that waits and is not being assigned.
func (o *Owner) enter(id task.Identity) {
	t, ok := o.state.WaitingTask(id.Job, id.Task)
	if !ok {
		return
	}
	s, own := o.shards[id.Shard]
	if !own {
		o.enterOther(t)
		return
	}
	if _, ok := s.assigning[t.ID()]; !ok {
		o.policies.sequencer.Add(itemOf(t))
	}
}

// withdraw takes all tasks of a job that does not start any more out of the order.
func (o *Owner) withdraw(job string) {
	status, _ := o.state.Status(job)
	for n := range status.Tasks {
		o.policies.sequencer.Cancel(taskKey(job, n))
		o.policies.others.Cancel(taskKey(job, n))
	}
}

// jobAdded queues the tasks of a new job.
func (o *Owner) jobAdded(job string) {
	_, own := o.shards[o.state.ShardOf(job)]
	for t := range o.state.WaitingTasksOfJob(job) {
		if own {
			o.policies.sequencer.Add(itemOf(t))
		} else {
			o.enterOther(t)
		}
	}
}

// count follows the attempts of all shards: an assigned task leaves the order, and what an ended one used returns to its team.
func (o *Owner) count(kind string, id task.Identity) {
	p, key := o.policies, taskKey(id.Job, id.Task)
	if kind == scheduler.KindAssignment {
		p.sequencer.Cancel(key)
		return
	}
	o.unuse(key)
	if _, ok := o.state.WaitingTask(id.Job, id.Task); !ok {
		delete(p.failedAt, key)
		delete(p.failures, key)
	}
}

// use counts an attempt that has started or is about to.
func (o *Owner) use(t scheduler.Task, now time.Time) *usage {
	key := taskKey(t.Job, t.Task)
	if u, ok := o.policies.used[key]; ok {
		return u
	}
	u := &usage{
		team: t.Team, kind: t.Kind, size: t.Size, began: now, declared: estimator.Demand{Size: t.DeclaredSize, RunTime: t.DeclaredRunTime},
		resumed: t.Checkpoint != "",
	}
	o.policies.used[key] = u
	o.policies.sequencer.Use(t.Team, t.Size)
	return u
}

func (o *Owner) unuse(key string) {
	if u, ok := o.policies.used[key]; ok {
		o.policies.sequencer.Release(u.team, u.size)
		delete(o.policies.used, key)
	}
}

// seen takes the report of a running attempt of any shard.
func (o *Owner) seen(r message.TaskReport, now time.Time) {
	t, ok := o.state.CurrentAttempt(r.Identity)
	if !ok || r.State != message.TaskRunning {
		return
	}
	_, known := o.policies.used[taskKey(t.Job, t.Task)]
	u := o.use(t, now)
	u.sample(r)
	// The run time of an attempt that was first seen when it had run for long says nothing.
	u.resumed = u.resumed || !known && r.Progress > maxFirstProgress
	o.policies.others.Cancel(taskKey(t.Job, t.Task))
}

// enterOther queues a task of a shard of another entry until it is seen running.
func (o *Owner) enterOther(t scheduler.Task) { o.policies.others.Add(itemOf(t)) }

// yield determines the score below which freed room is left to the tasks of other entries: the highest of a task that has
// not been first for long. One that stays first may fit nowhere or have no owner.
func (o *Owner) yield(now time.Time) {
	p, first := o.policies, map[string]time.Time{}
	p.limit = math.Inf(-1)
	p.others.Next(func(i sequencer.Item) bool {
		if !math.IsInf(p.limit, -1) {
			return false
		}
		since, ok := p.first[i.ID]
		if !ok {
			since = now
		}
		first[i.ID] = since
		if now.Sub(since) <= yieldLimit {
			p.limit = p.others.Score(i) - 1
		}
		return false
	})
	p.first = first
}

// failedHere remembers where the task failed, so that it is tried elsewhere, and when it may be.
func (p *policies) failedHere(id task.Identity, vm string, now time.Time) {
	key := taskKey(id.Job, id.Task)
	if known := p.failedAt[key]; vm != "" && !slices.Contains(known, vm) {
		p.failedAt[key] = append(known, vm)
	}
	pause := min(retryPause<<min(p.failures[key], 10), maxRetryPause)
	p.failures[key]++
	p.delayed = append(p.delayed, delayed{id, now.Add(pause)})
}
