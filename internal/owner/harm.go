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
	// minReportAge is the age that a usage report is assumed to have at least. A report lacks the tasks that were
	// started shortly before it.
	minReportAge = 2 * time.Second
	// minObservationInterval is the shortest time between two latency measurements of a service on a VM that are passed
	// to the estimator. Each measurement is a median over several seconds, so measurements at shorter intervals would
	// cover nearly the same time.
	minObservationInterval = time.Second
	// The baseline of a service is its lowest latency. If no lower latency was measured for baselineRaiseInterval, the
	// baseline is multiplied by baselineRaiseFactor, so that one period of low latency does not count forever.
	baselineRaiseInterval = time.Minute
	baselineRaiseFactor   = 1.01
)

// observeServices passes the service latencies and the processor usage in a heartbeat to the estimator and the
// governor, and returns the decisions of the governor to throttle or evict tasks. The governor gets the latency of
// only one service of the VM, the one with the highest ratio of its latency to its target latency.
func (o *Owner) observeServices(v *VM, hb message.Heartbeat, now time.Time) []governor.Decision {
	if len(hb.Services) == 0 || hb.Capacity.MilliProcessors <= 0 {
		return nil
	}
	processorShares, age := o.processorSharesByKind(hb)
	var serviceNames []string
	var worstService *message.Service
	highestRatio := 0.0
	for i, s := range hb.Services {
		serviceNames = append(serviceNames, s.Name)
		if s.Latency <= 0 {
			continue
		}
		o.learnSlowdown(v, s, processorShares, now)
		if target := o.policies.configuration.Services[s.Name].TargetLatency; target > 0 && float64(s.Latency)/float64(target) > highestRatio {
			highestRatio, worstService = float64(s.Latency)/float64(target), &hb.Services[i]
		}
	}
	o.policies.estimator.SetLoad(estimator.LoadReport{VM: v.Name, CriticalServices: serviceNames, Shares: processorShares, MeasuredAt: now.Add(-age)})
	if worstService == nil {
		return nil
	}
	return o.policies.governor.Observe(governor.LatencyReport{
		VM: v.Name, Latency: worstService.Latency, Target: o.policies.configuration.Services[worstService.Name].TargetLatency, Age: worstService.LatencyAge,
		Tasks: o.slowdownContributions(v, worstService.Name),
	})
}

// processorSharesByKind returns, for each kind of task, the share of the VM's processors that its running tasks use,
// whichever entries own them. age is the age of the oldest usage report in the heartbeat, but at least minReportAge.
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

// learnSlowdown passes the ratio of a service's latency to its baseline to the estimator, with the load that may have
// caused it. The load consists of the processor shares of the batch tasks and the load of the service itself, so that
// latency during bursts of the service is not attributed to the tasks.
func (o *Owner) learnSlowdown(v *VM, s message.Service, processorShares map[string]float64, now time.Time) {
	measured := now.Add(-s.LatencyAge)
	if measured.Sub(v.latencyMeasuredAt[s.Name]) < minObservationInterval {
		return
	}
	v.latencyMeasuredAt[s.Name] = measured
	serviceBaseline, ok := o.policies.baselines[s.Name]
	switch {
	case !ok || s.Latency < serviceBaseline.latency:
		serviceBaseline = baseline{s.Latency, now}
	case now.Sub(serviceBaseline.updatedAt) >= baselineRaiseInterval:
		serviceBaseline = baseline{time.Duration(float64(serviceBaseline.latency) * baselineRaiseFactor), now}
	}
	o.policies.baselines[s.Name] = serviceBaseline
	loadShares := map[string]float64{s.Name: float64(s.InFlight) / float64(max(1, s.Slots))}
	for kind, processorShare := range processorShares {
		loadShares[kind] = processorShare
	}
	o.policies.estimator.Observe(s.Name, loadShares, float64(s.Latency)/float64(serviceBaseline.latency))
}

// slowdownContributions returns the tasks of this owner that run on the VM, each with its expected contribution to the
// slowdown of the service. Tasks of other owners are left out, because only the owner of a task throttles or evicts
// it.
func (o *Owner) slowdownContributions(v *VM, service string) []governor.Task {
	var tasks []governor.Task
	for _, r := range v.Tasks {
		a, ok := v.attempts[r.ID()]
		if !ok || a.stopReason != "" || a.endRecord != nil || r.State != message.TaskRunning {
			continue
		}
		vmShare := float64(a.task.Size.MilliProcessors) / float64(v.Capacity.MilliProcessors)
		share := a.share
		if share == 0 {
			// An earlier owner may have throttled the task, so the share that the VM reports is used.
			share = r.Share
		}
		if share == 0 {
			share = 1
		}
		tasks = append(tasks, governor.Task{ID: a.id, Contribution: o.policies.estimator.Interference(service, a.task.Kind) * vmShare, Share: share})
	}
	return tasks
}

// applyGovernorDecisions throttles or evicts tasks as the governor has decided. It emits an event for each decision,
// whose kind is "harm-" and the action. It must be called without the mutex.
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

// learnDemand passes the peak usage and the run time of a completed attempt to the estimator, whichever entry owns it.
// The estimator ignores zero values. They stand for the processors and the run time of an attempt that was throttled,
// and for a run time that is unknown.
func (o *Owner) learnDemand(id task.Identity, now time.Time) {
	u, ok := o.policies.usages[taskKey(id.Job, id.Task)]
	if !ok {
		return
	}
	actual := estimator.Demand{Size: u.peak}
	if u.throttled {
		actual.Size.MilliProcessors = 0
	} else if !u.runTimeUnknown {
		actual.RunTime = now.Sub(u.startedAt)
	}
	o.policies.estimator.RecordCompletion(u.kind, u.declared, actual)
}

// recordPeak updates the highest usage that was reported for the attempt, and whether the attempt was ever throttled.
func (u *usage) recordPeak(r message.TaskReport) {
	u.throttled = u.throttled || r.Share > 0 && r.Share < 1
	u.peak = resource.Amount{
		MilliProcessors: max(u.peak.MilliProcessors, r.Usage.MilliProcessors), MemoryBytes: max(u.peak.MemoryBytes, r.Usage.MemoryBytes),
	}
}
