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
	// minReportAge is the assumed minimum age of a usage report. A task that has just started is not in the report
	// yet.
	minReportAge = 2 * time.Second
	// minObservationInterval is the least time between two latency measurements of a service on a VM that the
	// estimator learns from. Each measurement is a median over several seconds.
	minObservationInterval = time.Second
	// The baseline latency of a service rises slowly, so that a period of lower latency is forgotten with time.
	baselineRaiseInterval = time.Minute
	baselineRaiseFactor   = 1.01
)

// observeServices learns from the heartbeat of a VM with services, and returns the decisions of the governor.
func (o *Owner) observeServices(v *VM, hb message.Heartbeat, now time.Time) []governor.Decision {
	if len(hb.Services) == 0 || hb.Capacity.MilliProcessors <= 0 {
		return nil
	}
	shares, age := o.sharesByKind(hb)
	var critical []string
	var worst *message.Service
	ratio := 0.0
	for i, s := range hb.Services {
		critical = append(critical, s.Name)
		if s.Latency <= 0 {
			continue
		}
		o.learnSlowdown(v, s, shares, now)
		if target := o.policies.configuration.Services[s.Name].TargetLatency; target > 0 && float64(s.Latency)/float64(target) > ratio {
			ratio, worst = float64(s.Latency)/float64(target), &hb.Services[i]
		}
	}
	o.policies.estimator.SetLoad(estimator.LoadReport{VM: v.Name, Critical: critical, Shares: shares, Measured: now.Add(-age)})
	if worst == nil {
		return nil
	}
	return o.policies.governor.Observe(governor.LatencyReport{
		VM: v.Name, Latency: worst.Latency, Target: o.policies.configuration.Services[worst.Name].TargetLatency, Age: worst.LatencyAge,
		Tasks: o.contributions(v, worst.Name),
	})
}

// sharesByKind returns the share of the VM's processors that the tasks of each kind use, including those of other
// owners, and the age of the reports.
func (o *Owner) sharesByKind(hb message.Heartbeat) (shares map[string]float64, age time.Duration) {
	shares, age = map[string]float64{}, minReportAge
	for _, r := range hb.Tasks {
		if r.State != message.TaskRunning || r.Usage.MilliProcessors <= 0 {
			continue
		}
		if t, ok := o.scheduler.CurrentAttempt(r.Identity); ok {
			shares[t.Kind] += float64(r.Usage.MilliProcessors) / float64(hb.Capacity.MilliProcessors)
			age = max(age, r.UsageAge)
		}
	}
	return shares, age
}

// learnSlowdown passes the ratio of a service's latency to its baseline to the estimator. The load of the service
// itself counts as a further share, so that its own bursts are not attributed to batch tasks.
func (o *Owner) learnSlowdown(v *VM, s message.Service, shares map[string]float64, now time.Time) {
	measured := now.Add(-s.LatencyAge)
	if measured.Sub(v.observedAt[s.Name]) < minObservationInterval {
		return
	}
	v.observedAt[s.Name] = measured
	lowest, ok := o.policies.baselines[s.Name]
	switch {
	case !ok || s.Latency < lowest.latency:
		lowest = baseline{s.Latency, now}
	case now.Sub(lowest.updatedAt) >= baselineRaiseInterval:
		lowest = baseline{time.Duration(float64(lowest.latency) * baselineRaiseFactor), now}
	}
	o.policies.baselines[s.Name] = lowest
	pressures := map[string]float64{s.Name: float64(s.InFlight) / float64(max(1, s.Slots))}
	for kind, share := range shares {
		pressures[kind] = share
	}
	o.policies.estimator.Observe(s.Name, pressures, float64(s.Latency)/float64(lowest.latency))
}

// contributions returns the tasks of this owner that run on the VM, with their expected effect on the service. Tasks
// of other owners are controlled by those owners.
func (o *Owner) contributions(v *VM, service string) []governor.Task {
	var tasks []governor.Task
	for _, r := range v.Tasks {
		t, ok := v.attempts[r.ID()]
		if !ok || t.stopReason != "" || t.endRecord != nil || r.State != message.TaskRunning {
			continue
		}
		part := float64(t.task.Size.MilliProcessors) / float64(v.Capacity.MilliProcessors)
		share := t.processorShare
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

// applyGovernorDecisions carries out the decisions of the governor. It must be called without the mutex.
func (o *Owner) applyGovernorDecisions(ctx context.Context, v *VM, decisions []governor.Decision) {
	for _, d := range decisions {
		o.mutex.Lock()
		t, ok := v.attempts[d.Task]
		if ok {
			o.emitEvent("harm-"+string(d.Action), d.Task, map[string]string{"vm": d.VM, "reason": d.Reason})
		}
		o.mutex.Unlock()
		if !ok {
			continue
		}
		if d.Action == governor.Evict {
			o.Evict(t.task.Job, t.task.Task)
			continue
		}
		o.spawn(func() { o.Throttle(ctx, t.task.Job, t.task.Task, d.Share) })
	}
}

// learnDemand passes the usage of a completed attempt of any shard to the estimator.
func (o *Owner) learnDemand(id task.Identity, now time.Time) {
	u, ok := o.policies.usages[taskKey(id.Job, id.Task)]
	if !ok {
		return
	}
	used := estimator.Demand{Size: u.peak}
	if u.throttled {
		used.Size.MilliProcessors = 0
	} else if !u.resumed {
		used.RunTime = now.Sub(u.startedAt)
	}
	o.policies.estimator.RecordCompletion(u.kind, u.declared, used)
}

// recordPeak keeps the highest reported usage.
func (u *usage) recordPeak(r message.TaskReport) {
	u.throttled = u.throttled || r.Share > 0 && r.Share < 1
	u.peak = resource.Amount{
		MilliProcessors: max(u.peak.MilliProcessors, r.Usage.MilliProcessors), MemoryBytes: max(u.peak.MemoryBytes, r.Usage.MemoryBytes),
	}
}
