package owner

import (
	"context"
	"time"

	"bamboohook/estimator"
	"bamboohook/governor"
	"bamboohook/internal/message"
	"bamboohook/resource"
	"bamboohook/task"
)

const (
	// startLag is how old a report is assumed to be at least: a task that was just started is not in it.
	startLag = 2 * time.Second
	// observeInterval is the least time between two measurements of a service at a VM that count. Each is a median over
	// several seconds.
	observeInterval = time.Second
	// Lowest latencies rise slowly, so that a faster past is forgotten.
	lowestInterval = time.Minute
	lowestRise     = 1.01
)

// observe learns from a heartbeat of a VM with services, and returns the orders of the governor.
func (o *Owner) observe(v *VM, hb message.Heartbeat, now time.Time) []governor.Decision {
	if len(hb.Services) == 0 || hb.Capacity.MilliProcessors <= 0 {
		return nil
	}
	shares, age := o.shares(hb)
	var critical []string
	var worst *message.Service
	ratio := 0.0
	for i, s := range hb.Services {
		critical = append(critical, s.Name)
		if s.Latency <= 0 {
			continue
		}
		o.compare(v, s, shares, now)
		if target := o.policies.view.Services[s.Name].TargetLatency; target > 0 && float64(s.Latency)/float64(target) > ratio {
			ratio, worst = float64(s.Latency)/float64(target), &hb.Services[i]
		}
	}
	o.policies.estimator.SetLoad(estimator.LoadReport{VM: v.Name, Critical: critical, Shares: shares, Measured: now.Add(-age)})
	if worst == nil {
		return nil
	}
	return o.policies.governor.Observe(governor.LatencyReport{
		VM: v.Name, Latency: worst.Latency, Target: o.policies.view.Services[worst.Name].TargetLatency, Age: worst.LatencyAge,
		Tasks: o.contributions(v, worst.Name),
	})
}

// shares returns the shares of the VM's processors that each kind uses, by the tasks of all owners, and their age.
func (o *Owner) shares(hb message.Heartbeat) (shares map[string]float64, age time.Duration) {
	shares, age = map[string]float64{}, startLag
	for _, r := range hb.Tasks {
		if r.State != message.TaskRunning || r.Usage.MilliProcessors <= 0 {
			continue
		}
		if t, ok := o.state.CurrentAttempt(r.Identity); ok {
			shares[t.Kind] += float64(r.Usage.MilliProcessors) / float64(hb.Capacity.MilliProcessors)
			age = max(age, r.UsageAge)
		}
	}
	return shares, age
}

// compare lets the estimator learn from the latency of a service against the lowest one. The load of the service itself
// counts as a share, so that its own bursts are not attributed to batch tasks.
func (o *Owner) compare(v *VM, s message.Service, shares map[string]float64, now time.Time) {
	measured := now.Add(-s.LatencyAge)
	if measured.Sub(v.measured[s.Name]) < observeInterval {
		return
	}
	v.measured[s.Name] = measured
	low, ok := o.policies.lowest[s.Name]
	switch {
	case !ok || s.Latency < low.latency:
		low = lowest{s.Latency, now}
	case now.Sub(low.raised) >= lowestInterval:
		low = lowest{time.Duration(float64(low.latency) * lowestRise), now}
	}
	o.policies.lowest[s.Name] = low
	present := map[string]float64{s.Name: float64(s.InFlight) / float64(max(1, s.Slots))}
	for kind, share := range shares {
		present[kind] = share
	}
	o.policies.estimator.Observe(s.Name, present, float64(s.Latency)/float64(low.latency))
}

// contributions returns the own tasks that run at the VM with their expected effect on the service. Tasks of other owners are
// governed by them.
func (o *Owner) contributions(v *VM, service string) []governor.Task {
	var tasks []governor.Task
	for _, r := range v.Tasks {
		t, ok := v.tied[r.ID()]
		if !ok || t.wish != "" || t.final != nil || r.State != message.TaskRunning {
			continue
		}
		part := float64(t.task.Size.MilliProcessors) / float64(v.Capacity.MilliProcessors)
		share := t.share
		if share == 0 {
			// An earlier owner may have throttled the task.
			share = r.Share
		}
		if share == 0 {
			share = 1
		}
		tasks = append(tasks, governor.Task{ID: t.key, Contribution: o.policies.estimator.Interference(service, t.task.Kind) * part, Share: share})
	}
	return tasks
}

// obey carries out the governor's orders. It must be called without the mutex.
func (o *Owner) obey(ctx context.Context, v *VM, orders []governor.Decision) {
	for _, order := range orders {
		o.mutex.Lock()
		t, ok := v.tied[order.Task]
		if ok {
			o.note("harm-"+string(order.Action), order.Task, map[string]string{"vm": order.VM, "reason": order.Reason})
		}
		o.mutex.Unlock()
		if !ok {
			continue
		}
		if order.Action == governor.Evict {
			o.Evict(t.task.Job, t.task.Task)
			continue
		}
		o.spawn(func() { o.Throttle(ctx, t.task.Job, t.task.Task, order.Share) })
	}
}

// learn teaches the estimator from a completed attempt of any shard.
func (o *Owner) learn(id task.Identity, now time.Time) {
	u, ok := o.policies.used[taskKey(id.Job, id.Task)]
	if !ok {
		return
	}
	used := estimator.Demand{Size: u.peak}
	if u.throttled {
		used.Size.MilliProcessors = 0
	} else if !u.resumed {
		used.RunTime = now.Sub(u.began)
	}
	o.policies.estimator.RecordCompletion(u.kind, u.declared, used)
}

// sample keeps the highest usage that was reported.
func (u *usage) sample(r message.TaskReport) {
	u.throttled = u.throttled || r.Share > 0 && r.Share < 1
	u.peak = resource.Amount{
		MilliProcessors: max(u.peak.MilliProcessors, r.Usage.MilliProcessors), MemoryBytes: max(u.peak.MemoryBytes, r.Usage.MemoryBytes),
	}
}
