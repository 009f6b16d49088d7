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
	// reasonQuarantined is the reason of an interruption record for an attempt that failed on a quarantined VM. The
	// failure does not count against the task.
	reasonQuarantined = "vm-quarantined"
	// reasonParked is the reason of an interruption record for an attempt that was assigned but not started when its
	// job was parked.
	reasonParked = "parked"
	// maxReportedEvidence is the maximum number of VMs that the reason of a parked job names.
	maxReportedEvidence = 5
	// The delay before a retry doubles from minRetryDelay to maxRetryDelay. Without a delay, a task that fails
	// immediately would use up all its retries, and cause as many appends, before the fault of a VM is detected.
	minRetryDelay = time.Second
	maxRetryDelay = 30 * time.Second
)

// pendingPark is the decision of the attributor to park a job, as long as no park record of the job took effect.
// queuedAt is when the park record was last queued, or zero.
type pendingPark struct {
	reason   string
	queuedAt time.Time
}

// handleResult passes a recorded result to the attributor. Every entry passes the results of all shards, so that all
// entries reach the same verdicts: to park a job, or to quarantine or release a VM. Results that are read without log
// contact are left out, because they are old but would count as recent.
func (o *Owner) handleResult(r scheduler.Result, now time.Time) {
	p := o.policies
	if _, waits := o.scheduler.WaitingTask(r.Job, r.Task); waits && r.Outcome == scheduler.OutcomeFailed {
		p.scheduleRetry(r.Identity, r.VM, now)
	}
	if r.VM != "" && o.lessor.HasLogContact(now) {
		o.applyVerdicts(p.attributor.RecordOutcome(r.Job, r.VM, r.Outcome == scheduler.OutcomeDone))
	}
	// The attributor keeps the outcomes of an ended job, because they are evidence about its VMs. It limits their
	// number itself.
	if status, ok := o.scheduler.Status(r.Job); !ok || allTasksEnded(status) {
		o.clearPendingPark(r.Job)
	}
}

func allTasksEnded(s scheduler.Status) bool { return s.Done+s.Failed+s.Cancelled == s.Tasks }

// clearPendingPark removes the decision to park the job, both here and in the attributor.
func (o *Owner) clearPendingPark(job string) {
	delete(o.policies.pendingParks, job)
	if o.policies.attributor.Parked(job) {
		o.policies.attributor.ForgetJob(job)
	}
}

// applyVerdicts carries out decisions of the attributor. A quarantine takes effect in this entry immediately. A job
// is parked only once its park record takes effect; the event job-condemned reports the decision, and job-parked its
// effect.
func (o *Owner) applyVerdicts(verdicts []attributor.Verdict) {
	for _, verdict := range verdicts {
		details := map[string]string{"reason": verdict.Reason, "evidence": strings.Join(verdict.Evidence, ", ")}
		switch verdict.Kind {
		case attributor.Park:
			evidence := verdict.Evidence[:min(len(verdict.Evidence), maxReportedEvidence)]
			o.policies.pendingParks[verdict.Job] = pendingPark{reason: verdict.Reason + ": " + strings.Join(evidence, ", ")}
			o.emitEvent("job-condemned", verdict.Job, details)
		case attributor.Quarantine:
			o.policies.quarantinedSince[verdict.VM] = o.Clock.Now()
			o.emitEvent("vm-quarantined", verdict.VM, details)
		case attributor.Release:
			delete(o.policies.quarantinedSince, verdict.VM)
			o.emitEvent("vm-released", verdict.VM, details)
		}
		if v, ok := o.vms[verdict.VM]; ok {
			o.updatePlacer(v)
		}
	}
}

// requeueDelayedRetries adds the failed tasks whose retry delay is over to the sequencer.
func (o *Owner) requeueDelayedRetries(now time.Time) {
	kept := o.policies.delayedRetries[:0]
	for _, d := range o.policies.delayedRetries {
		if now.Before(d.retryAt) {
			kept = append(kept, d)
			continue
		}
		o.enqueue(d.id)
	}
	o.policies.delayedRetries = kept
}

// queueParkRecords queues the records that park jobs of owned shards. Other entries make the same decisions, so an
// entry that takes over a shard can park its jobs.
func (o *Owner) queueParkRecords(now time.Time) {
	if len(o.policies.pendingParks) == 0 || o.appendInFlight || !o.lessor.HasLogContact(now) {
		return
	}
	for _, job := range slices.Sorted(maps.Keys(o.policies.pendingParks)) {
		pending, shardNumber := o.policies.pendingParks[job], o.scheduler.ShardOf(job)
		s, ok := o.shards[shardNumber]
		if ok && s.handOverAt.IsZero() && now.Sub(pending.queuedAt) > recordRetryInterval {
			pending.queuedAt = now
			o.policies.pendingParks[job] = pending
			o.queueRecord(scheduler.KindPark, scheduler.Park{Job: job, Shard: shardNumber, Epoch: s.epoch, Reason: pending.reason},
				func() { o.policies.pendingParks[job] = pendingPark{reason: pending.reason} })
		}
	}
}

// handleParkedJob removes the waiting tasks of a parked job, and ends its attempts that were not started.
func (o *Owner) handleParkedJob(r scheduler.Park) {
	delete(o.policies.pendingParks, r.Job)
	o.dequeueJob(r.Job)
	o.emitEvent("job-parked", r.Job, map[string]string{"reason": r.Reason})
	s, ok := o.shards[r.Shard]
	if !ok {
		return
	}
	for t := range o.scheduler.RunningTasksOfJob(r.Job) {
		if a, ok := s.attempts[t.ID()]; ok {
			a.task.Parked = true
			if a.vm == "" {
				o.attemptsToAdvance[a.id] = a
			}
		}
	}
}

// queueFailureRecord records the failure of an attempt. On a quarantined VM the failure tells nothing about the
// task, so the task waits again and the failure does not count.
func (o *Owner) queueFailureRecord(a *attempt, v *VM, r message.TaskReport, now time.Time) {
	if !o.policies.attributor.Quarantined(v.Name) {
		o.setEndRecord(a, scheduler.KindResult, scheduler.Result{
			Identity: a.identity, Outcome: scheduler.OutcomeFailed, Reason: r.Reason, VM: v.Name,
		}, now)
		return
	}
	o.setEndRecord(a, scheduler.KindInterruption, scheduler.Interruption{Identity: a.identity, Reason: reasonQuarantined, VM: v.Name}, now)
}

// recordProbe tells the attributor how an attempt on a quarantined VM ended. Only an attempt that started after the
// quarantine began shows whether the VM is healthy again. All entries read the result from the stream, whichever of
// them assigned the probe.
func (o *Owner) recordProbe(id task.Identity, vm string, succeeded bool) {
	since, ok := o.policies.quarantinedSince[vm]
	u, tracked := o.policies.usages[taskKey(id.Job, id.Task)]
	if !ok || !tracked || !u.startedAt.After(since) {
		return
	}
	o.emitEvent("vm-probed", vm, map[string]string{"task": id.ID(), "succeeded": strconv.FormatBool(succeeded)})
	o.applyVerdicts(o.policies.attributor.RecordProbe(vm, succeeded))
}

// assignProbes assigns one waiting task as a probe to each quarantined VM that is due for one. It chooses tasks of
// jobs of which a task has already completed.
func (o *Owner) assignProbes(now time.Time) {
	if o.appendInFlight || now.Before(o.appendRetryAt) || !o.lessor.HasLogContact(now) || o.policies.sequencer.Len() == 0 {
		return
	}
	for _, name := range o.policies.attributor.DueProbes() {
		v, responsive := o.responsiveVM(name, now)
		if !responsive || v.draining {
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
