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
	processorShares, age := o.processorSharesByKind(hb)
	var serviceNames []string
	var worst *message.Service
	ratio := 0.0
	for i, s := range hb.Services {
		serviceNames = append(serviceNames, s.Name)
		if s.Latency <= 0 {
			continue
		}
		o.learnSlowdown(v, s, processorShares, now)
		if target := o.policies.configuration.Services[s.Name].TargetLatency; target > 0 && float64(s.Latency)/float64(target) > ratio {
			ratio, worst = float64(s.Latency)/float64(target), &hb.Services[i]
		}
	}
	o.policies.estimator.SetLoad(estimator.LoadReport{VM: v.Name, Critical: serviceNames, Shares: processorShares, Measured: now.Add(-age)})
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
func (o *Owner) processorSharesByKind(hb message.Heartbeat) (processorShares map[string]float64, age time.Duration) {
	processorShares, age = map[string]float64{}, minReportAge
	for _, r := range hb.Tasks {
		if r.State != message.TaskRunning || r.Usage.MilliProcessors <= 0 {
			continue
		}
		if t, ok := o.scheduler.CurrentAttempt(r.Identity); ok {
			processorShares[t.Kind] += float64(r.Usage.MilliProcessors) / float64(hb.Capacity.MilliProcessors)
			age = max(age, r.UsageAge)
		}
	}
	return processorShares, age
}

// learnSlowdown passes the ratio of a service's latency to its baseline to the estimator. The load of the service
// itself counts as a further share, so that its own bursts are not attributed to batch tasks.
func (o *Owner) learnSlowdown(v *VM, s message.Service, processorShares map[string]float64, now time.Time) {
	measured := now.Add(-s.LatencyAge)
	if measured.Sub(v.observedAt[s.Name]) < minObservationInterval {
		return
	}
	v.observedAt[s.Name] = measured
	base, ok := o.policies.baselines[s.Name]
	switch {
	case !ok || s.Latency < base.latency:
		base = baseline{s.Latency, now}
	case now.Sub(base.updatedAt) >= baselineRaiseInterval:
		base = baseline{time.Duration(float64(base.latency) * baselineRaiseFactor), now}
	}
	o.policies.baselines[s.Name] = base
	loadShares := map[string]float64{s.Name: float64(s.InFlight) / float64(max(1, s.Slots))}
	for kind, processorShare := range processorShares {
		loadShares[kind] = processorShare
	}
	o.policies.estimator.Observe(s.Name, loadShares, float64(s.Latency)/float64(base.latency))
}

// contributions returns the tasks of this owner that run on the VM, with their expected effect on the service. Tasks
// of other owners are controlled by those owners.
func (o *Owner) contributions(v *VM, service string) []governor.Task {
	var tasks []governor.Task
	for _, r := range v.Tasks {
		a, ok := v.attempts[r.ID()]
		if !ok || a.stopReason != "" || a.endRecord != nil || r.State != message.TaskRunning {
			continue
		}
		vmShare := float64(a.task.Size.MilliProcessors) / float64(v.Capacity.MilliProcessors)
		keptShare := a.keptShare
		if keptShare == 0 {
			// An earlier owner may have throttled the task.
			keptShare = r.Share
		}
		if keptShare == 0 {
			keptShare = 1
		}
		tasks = append(tasks, governor.Task{ID: a.key, Contribution: o.policies.estimator.Interference(service, a.task.Kind) * vmShare, Share: keptShare})
	}
	return tasks
}

// applyGovernorDecisions carries out the decisions of the governor. It must be called without the mutex.
func (o *Owner) applyGovernorDecisions(ctx context.Context, v *VM, decisions []governor.Decision) {
	for _, d := range decisions {
		o.mutex.Lock()
		a, ok := v.attempts[d.Task]
		if ok {
			o.emitEvent("harm-"+string(d.Action), d.Task, map[string]string{"vm": d.VM, "reason": d.Reason})
		}
		o.mutex.Unlock()
		if !ok {
			continue
		}
		if d.Action == governor.Evict {
			o.Evict(a.task.Job, a.task.Task)
			continue
		}
		o.spawn(func() { o.Throttle(ctx, a.task.Job, a.task.Task, d.Share) })
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
	} else if !u.runTimeUnknown {
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
