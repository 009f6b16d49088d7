package owner

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"bamboohook/attributor"
	"bamboohook/internal/message"
	"bamboohook/scheduler"
	"bamboohook/sequencer"
	"bamboohook/task"
)

const (
	// reasonQuarantined marks an attempt that failed at a quarantined VM. The failure does not count against the task.
	reasonQuarantined = "vm-quarantined"
	// reasonParked marks an attempt that was bound but not started when its job was parked.
	reasonParked = "parked"
	// maxEvidence bounds the VMs named in the reason of a parked job.
	maxReportedEvidence = 5
	// The pause before a retry doubles from retryPause to maxRetryPause. Without it, a task that fails at once spends all its
	// retries, and appends, before a fault of a VM is noticed.
	minRetryDelay = time.Second
	maxRetryDelay = 30 * time.Second
)

// parking is a verdict on a job that is not in the stream yet.
type pendingPark struct {
	reason   string
	queuedAt time.Time
}

// judge feeds a recorded result to the attributor. Results of all shards count, so that every entry of the region comes to
// the same verdicts. Results that are read without log contact are old, because their windows would start now.
func (o *Owner) processResult(r scheduler.Result, now time.Time) {
	p := o.policies
	if _, waits := o.scheduler.WaitingTask(r.Job, r.Task); waits && r.Outcome == scheduler.OutcomeFailed {
		p.recordFailure(r.Identity, r.VM, now)
	}
	if r.VM != "" && o.lessor.HasLogContact(now) {
		o.applyVerdicts(p.attributor.RecordOutcome(r.Job, r.VM, r.Outcome == scheduler.OutcomeDone))
	}
	// The history of an ended job remains, because it is evidence about its VMs; the attributor bounds it.
	if status, ok := o.scheduler.Status(r.Job); !ok || allTasksEnded(status) {
		o.clearPendingPark(r.Job)
	}
}

func allTasksEnded(s scheduler.Status) bool { return s.Done+s.Failed+s.Cancelled == s.Tasks }

func (o *Owner) clearPendingPark(job string) {
	delete(o.policies.pendingParks, job)
	if o.policies.attributor.Parked(job) {
		o.policies.attributor.ForgetJob(job)
	}
}

// follow puts verdicts into effect: a quarantine at once in this entry, a parked job through the stream.
func (o *Owner) applyVerdicts(verdicts []attributor.Verdict) {
	for _, v := range verdicts {
		details := map[string]string{"reason": v.Reason, "evidence": strings.Join(v.Evidence, ", ")}
		switch v.Kind {
		case attributor.Park:
			evidence := v.Evidence[:min(len(v.Evidence), maxReportedEvidence)]
			o.policies.pendingParks[v.Job] = pendingPark{reason: v.Reason + ": " + strings.Join(evidence, ", ")}
			o.emitEvent("job-condemned", v.Job, details)
		case attributor.Quarantine:
			o.policies.quarantinedSince[v.VM] = o.Clock.Now()
			o.emitEvent("vm-quarantined", v.VM, details)
		case attributor.Release:
			delete(o.policies.quarantinedSince, v.VM)
			o.emitEvent("vm-released", v.VM, details)
		}
		if vm, ok := o.vms[v.VM]; ok {
			o.updatePlacer(vm)
		}
	}
}

// retry returns failed tasks whose pause is over to the order.
func (o *Owner) requeueDelayed(now time.Time) {
	kept := o.policies.delayedRetries[:0]
	for _, d := range o.policies.delayedRetries {
		if now.Before(d.at) {
			kept = append(kept, d)
			continue
		}
		o.enqueue(d.id)
	}
	o.policies.delayedRetries = kept
}

// park queues the records of parked jobs of owned shards. Another entry came to the same verdict and records it if it takes
// the shard over.
func (o *Owner) queueParkRecords(now time.Time) {
	if len(o.policies.pendingParks) == 0 || o.appendInFlight || !o.lessor.HasLogContact(now) {
		return
	}
	for _, job := range slices.Sorted(maps.Keys(o.policies.pendingParks)) {
		verdict, shardNumber := o.policies.pendingParks[job], o.scheduler.ShardOf(job)
		s, ok := o.shards[shardNumber]
		if ok && s.handOverAt.IsZero() && now.Sub(verdict.queuedAt) > recordRetryInterval {
			verdict.queuedAt = now
			o.policies.pendingParks[job] = verdict
			o.queueRecord(scheduler.KindPark, scheduler.Park{Job: job, Shard: shardNumber, Epoch: s.epoch, Reason: verdict.reason},
				func() { o.policies.pendingParks[job] = pendingPark{reason: verdict.reason} })
		}
	}
}

// parked ends the starts of a job whose record took effect.
func (o *Owner) jobParked(r scheduler.Park) {
	delete(o.policies.pendingParks, r.Job)
	o.dequeueJob(r.Job)
	o.emitEvent("job-parked", r.Job, map[string]string{"reason": r.Reason})
	s, ok := o.shards[r.Shard]
	if !ok {
		return
	}
	for v := range o.scheduler.RunningTasksOfJob(r.Job) {
		if t, ok := s.attempts[v.ID()]; ok {
			t.task.Parked = true
			if t.vm == "" {
				o.activeAttempts[t.key] = t
			}
		}
	}
}

// failed records a failure. At a quarantined VM it says nothing about the task, which waits again.
func (o *Owner) attemptFailed(t *attempt, v *VM, r message.TaskReport, now time.Time) {
	if !o.policies.attributor.Quarantined(v.Name) {
		o.setEndRecord(t, scheduler.KindResult, scheduler.Result{
			Identity: t.identity, Outcome: scheduler.OutcomeFailed, Reason: r.Reason, VM: v.Name,
		}, now)
		return
	}
	o.setEndRecord(t, scheduler.KindEviction, scheduler.Eviction{Identity: t.identity, Reason: reasonQuarantined, VM: v.Name}, now)
}

// probed takes the end of an attempt at a quarantined VM. Only one that began after the quarantine shows whether the VM is
// healthy again. All entries see it in the stream, whichever of them made the probe.
func (o *Owner) attemptProbed(id task.Identity, vm string, succeeded bool) {
	since, ok := o.policies.quarantinedSince[vm]
	u, known := o.policies.usages[taskKey(id.Job, id.Task)]
	if !ok || !known || !u.startedAt.After(since) {
		return
	}
	o.emitEvent("vm-probed", vm, map[string]string{"task": id.ID(), "succeeded": strconv.FormatBool(succeeded)})
	o.applyVerdicts(o.policies.attributor.RecordProbe(vm, succeeded))
}

// probe binds one task to each quarantined VM that is due. The task is of a job that has succeeded elsewhere.
func (o *Owner) assignProbes(now time.Time) {
	if o.appendInFlight || now.Before(o.appendRetryAt) || !o.lessor.HasLogContact(now) || o.policies.sequencer.Len() == 0 {
		return
	}
	for _, name := range o.policies.attributor.DueProbes() {
		v, up := o.responsiveVM(name, now)
		if !up || v.draining {
			continue
		}
		var t scheduler.Task
		item, ok := o.policies.sequencer.Next(func(i sequencer.Item) bool {
			waiting, _, startable := o.startableTask(i)
			if !startable {
				return false
			}
			t = o.policies.withExpectedDemand(waiting)
			status, _ := o.scheduler.Status(t.Job)
			return status.Done > 0 && t.Size.Fits(v.Free)
		})
		if ok {
			o.queueAssignment(t, item, []string{name}, true)
		}
	}
}
