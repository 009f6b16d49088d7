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
	maxEvidence = 5
	// The pause before a retry doubles from retryPause to maxRetryPause. Without it, a task that fails at once spends all its
	// retries, and appends, before a fault of a VM is noticed.
	retryPause    = time.Second
	maxRetryPause = 30 * time.Second
)

// parking is a verdict on a job that is not in the stream yet.
type parking struct {
	reason   string
	recorded time.Time
}

// judge feeds a recorded result to the attributor. Results of all shards count, so that every entry of the region comes to
// the same verdicts. Results that are read without log contact are old, because their windows would start now.
func (o *Owner) judge(r scheduler.Result, now time.Time) {
	p := o.policies
	if _, waits := o.state.WaitingTask(r.Job, r.Task); waits && r.Outcome == scheduler.OutcomeFailed {
		p.failedHere(r.Identity, r.VM, now)
	}
	if r.VM != "" && o.lessor.HasLogContact(now) {
		o.follow(p.attributor.RecordOutcome(r.Job, r.VM, r.Outcome == scheduler.OutcomeDone))
	}
	// The history of an ended job remains, because it is evidence about its VMs; the attributor bounds it.
	if status, ok := o.state.Status(r.Job); !ok || ended(status) {
		o.unpark(r.Job)
	}
}

func ended(s scheduler.Status) bool { return s.Done+s.Failed+s.Cancelled == s.Tasks }

func (o *Owner) unpark(job string) {
	delete(o.policies.parking, job)
	if o.policies.attributor.Parked(job) {
		o.policies.attributor.ForgetJob(job)
	}
}

// follow puts verdicts into effect: a quarantine at once in this entry, a parked job through the stream.
func (o *Owner) follow(verdicts []attributor.Verdict) {
	for _, v := range verdicts {
		details := map[string]string{"reason": v.Reason, "evidence": strings.Join(v.Evidence, ", ")}
		switch v.Kind {
		case attributor.Park:
			evidence := v.Evidence[:min(len(v.Evidence), maxEvidence)]
			o.policies.parking[v.Job] = parking{reason: v.Reason + ": " + strings.Join(evidence, ", ")}
			o.note("job-condemned", v.Job, details)
		case attributor.Quarantine:
			o.policies.quarantined[v.VM] = o.Clock.Now()
			o.note("vm-quarantined", v.VM, details)
		case attributor.Release:
			delete(o.policies.quarantined, v.VM)
			o.note("vm-released", v.VM, details)
		}
		if vm, ok := o.vms[v.VM]; ok {
			o.index(vm)
		}
	}
}

// retry returns failed tasks whose pause is over to the order.
func (o *Owner) retry(now time.Time) {
	kept := o.policies.delayed[:0]
	for _, d := range o.policies.delayed {
		if now.Before(d.at) {
			kept = append(kept, d)
			continue
		}
		o.enter(d.id)
	}
	o.policies.delayed = kept
}

// park queues the records of parked jobs of owned shards. Another entry came to the same verdict and records it if it takes
// the shard over.
func (o *Owner) park(now time.Time) {
	if len(o.policies.parking) == 0 || o.appending || !o.lessor.HasLogContact(now) {
		return
	}
	for _, job := range slices.Sorted(maps.Keys(o.policies.parking)) {
		verdict, number := o.policies.parking[job], o.state.ShardOf(job)
		s, ok := o.shards[number]
		if ok && s.handedOver.IsZero() && now.Sub(verdict.recorded) > recordRetry {
			verdict.recorded = now
			o.policies.parking[job] = verdict
			o.record(scheduler.KindPark, scheduler.Park{Job: job, Shard: number, Epoch: s.epoch, Reason: verdict.reason},
				func() { o.policies.parking[job] = parking{reason: verdict.reason} })
		}
	}
}

// parked ends the starts of a job whose record took effect.
func (o *Owner) parked(r scheduler.Park) {
	delete(o.policies.parking, r.Job)
	o.withdraw(r.Job)
	o.note("job-parked", r.Job, map[string]string{"reason": r.Reason})
	s, ok := o.shards[r.Shard]
	if !ok {
		return
	}
	for v := range o.state.RunningTasksOfJob(r.Job) {
		if t, ok := s.tracked[v.ID()]; ok {
			t.task.Parked = true
			if t.vm == "" {
				o.active[t.key] = t
			}
		}
	}
}

// failed records a failure. At a quarantined VM it says nothing about the task, which waits again.
func (o *Owner) failed(t *tracked, v *VM, r message.TaskReport, now time.Time) {
	if !o.policies.attributor.Quarantined(v.Name) {
		o.finish(t, scheduler.KindResult, scheduler.Result{
			Identity: t.own, Outcome: scheduler.OutcomeFailed, Reason: r.Reason, VM: v.Name,
		}, now)
		return
	}
	o.finish(t, scheduler.KindEviction, scheduler.Eviction{Identity: t.own, Reason: reasonQuarantined, VM: v.Name}, now)
}

// probed takes the end of an attempt at a quarantined VM. Only one that began after the quarantine shows whether the VM is
// healthy again. All entries see it in the stream, whichever of them made the probe.
func (o *Owner) probed(id task.Identity, vm string, succeeded bool) {
	since, ok := o.policies.quarantined[vm]
	u, known := o.policies.used[taskKey(id.Job, id.Task)]
	if !ok || !known || !u.began.After(since) {
		return
	}
	o.note("vm-probed", vm, map[string]string{"task": id.ID(), "succeeded": strconv.FormatBool(succeeded)})
	o.follow(o.policies.attributor.RecordProbe(vm, succeeded))
}

// probe binds one task to each quarantined VM that is due. The task is of a job that has succeeded elsewhere.
func (o *Owner) probe(now time.Time) {
	if o.appending || now.Before(o.retryAt) || !o.lessor.HasLogContact(now) || o.policies.sequencer.Len() == 0 {
		return
	}
	for _, name := range o.policies.attributor.DueProbes() {
		v, up := o.vmUp(name, now)
		if !up || v.draining {
			continue
		}
		var t scheduler.Task
		item, ok := o.policies.sequencer.Next(func(i sequencer.Item) bool {
			waiting, _, startable := o.startable(i)
			if !startable {
				return false
			}
			t = o.policies.correct(waiting)
			status, _ := o.state.Status(t.Job)
			return status.Done > 0 && t.Size.Fits(v.Free)
		})
		if ok {
			o.bind(t, item, []string{name}, true)
		}
	}
}
