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
	// reasonQuarantined is the reason in the interruption record of an attempt that failed on a quarantined VM. Such a
	// failure does not count against the retries of the task.
	reasonQuarantined = "vm-quarantined"
	// reasonParked is the reason in the interruption record of an attempt that was assigned but not started when its
	// job was parked.
	reasonParked = "parked"
	// maxReportedEvidence is the maximum number of VM names in the reason of a parked job. The attributor gives as
	// evidence the names of the VMs on which tasks of the job failed.
	maxReportedEvidence = 5
	// The delay before a failed task is started again doubles with each failure, from minRetryDelay to maxRetryDelay.
	// Without a delay, a task that fails immediately would use up all its retries, and cause as many appends, before
	// the fault of a VM is detected.
	minRetryDelay = time.Second
	maxRetryDelay = 30 * time.Second
)

// pendingPark is the decision of the attributor to park a job, until the record that parks the job takes effect.
// reason is the reason in this record. queuedAt is when the record was last queued, or zero if it was not queued or
// the append failed.
type pendingPark struct {
	reason   string
	queuedAt time.Time
}

// handleResult passes a result that took effect to the attributor. Every entry passes the results of all shards, so
// that all entries reach the same verdicts, which are to park a job, or to quarantine or release a VM. Results that
// are read without log contact are left out, because they are old, but the attributor would treat them as recent. If
// the task failed and waits again, its retry is scheduled.
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

// allTasksEnded reports whether all tasks of a job are done, failed or cancelled.
func allTasksEnded(s scheduler.Status) bool { return s.Done+s.Failed+s.Cancelled == s.Tasks }

// clearPendingPark removes the decision to park the job from this entry and from its attributor.
func (o *Owner) clearPendingPark(job string) {
	delete(o.policies.pendingParks, job)
	if o.policies.attributor.Parked(job) {
		o.policies.attributor.ForgetJob(job)
	}
}

// applyVerdicts carries out verdicts of the attributor. A quarantine or its end takes effect in this entry
// immediately. A job is parked only when the record that parks it takes effect: the event job-condemned reports the
// verdict, and the later event job-parked reports that the job is parked.
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

// requeueDelayedRetries adds the failed tasks whose retry delay has passed to the waiting tasks of the sequencer.
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

// queueParkRecords queues the records that park jobs of the owned shards. All entries decide to park the same jobs, so
// an entry that takes over a shard can append the records that are still missing.
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

// handleParkedJob removes the waiting tasks of a parked job from the sequencer, and makes sure that its attempts that
// were assigned but not started end.
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

// queueFailureRecord queues the record of an attempt that failed. If its VM is quarantined, the failure tells nothing
// about the task. The task then waits again, and the failure does not count against its retries.
func (o *Owner) queueFailureRecord(a *attempt, v *VM, r message.TaskReport, now time.Time) {
	if !o.policies.attributor.Quarantined(v.Name) {
		o.setEndRecord(a, scheduler.KindResult, scheduler.Result{
			Identity: a.identity, Outcome: scheduler.OutcomeFailed, Reason: r.Reason, VM: v.Name,
		}, now)
		return
	}
	o.setEndRecord(a, scheduler.KindInterruption, scheduler.Interruption{Identity: a.identity, Reason: reasonQuarantined, VM: v.Name}, now)
}

// recordProbe tells the attributor how an attempt on a quarantined VM ended. Only an attempt that was started after
// the quarantine began shows whether the VM is healthy again. All entries read the end of the attempt from the stream
// and record it, whichever entry assigned the attempt.
func (o *Owner) recordProbe(id task.Identity, vm string, succeeded bool) {
	since, ok := o.policies.quarantinedSince[vm]
	u, tracked := o.policies.usages[taskKey(id.Job, id.Task)]
	if !ok || !tracked || !u.startedAt.After(since) {
		return
	}
	o.emitEvent("vm-probed", vm, map[string]string{"task": id.ID(), "succeeded": strconv.FormatBool(succeeded)})
	o.applyVerdicts(o.policies.attributor.RecordProbe(vm, succeeded))
}

// assignProbes assigns one waiting task to each quarantined VM whose next probe is due. A probe is an attempt that
// shows whether the VM is healthy again. Only tasks of jobs with at least one completed task are used, because a
// failure of such a task is not the fault of the job.
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
