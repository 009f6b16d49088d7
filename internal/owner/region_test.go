package owner_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	"bamboohook/claimer"
	"bamboohook/internal/message"
	"bamboohook/resource"
	"bamboohook/scheduler"
)

// step advances the simulation by stepDuration and checks the invariants.
func (r *region) step(ctx context.Context) {
	r.now = r.now.Add(stepDuration)
	arriving := r.delayedCalls
	r.delayedCalls = nil
	for _, call := range arriving {
		// With random faults, each delayed call takes effect with a probability of 4% per step, so it may arrive up to
		// about a minute late. Otherwise it takes effect in the next step.
		if r.holdDelayedCalls || r.random.IntN(100) < 96 && r.randomFaults {
			r.delayedCalls = append(r.delayedCalls, call)
			continue
		}
		call()
	}
	for _, e := range r.entries {
		if !e.up() {
			continue
		}
		if !r.now.Before(e.logDisconnectedUntil) && !r.logDown {
			e.owner.Consume(r.records[e.readPosition:]...)
			e.readPosition = len(r.records)
		}
		e.owner.Tick(ctx)
	}
	for _, v := range r.vms {
		v.applyLateStarts()
		v.updateTasks()
		if v.up() {
			v.supervisor.Tick(ctx)
			v.sendHeartbeat(ctx)
		}
	}
	r.checkInvariants()
}

// run advances the simulation by d, or until an invariant is violated.
func (r *region) run(ctx context.Context, d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end) && len(r.violations) == 0; {
		r.step(ctx)
	}
}

// sendHeartbeat sends a heartbeat of the VM to all entries and passes their responses to the agent of the VM.
func (v *vm) sendHeartbeat(ctx context.Context) {
	v.heartbeatSequence++
	sent := v.clock.Now()
	v.supervisor.RecordHeartbeat(v.heartbeatSequence, sent)
	hb := message.Heartbeat{
		VM: v.name, Generation: v.supervisor.Generation, Sequence: v.heartbeatSequence, State: message.StateUp, Capacity: v.supervisor.Admitter.Capacity(),
		Committed: v.supervisor.Admitter.Committed(), Tasks: v.supervisor.Reports(),
	}
	if v.r.latency != nil {
		hb.Services = []message.Service{{Name: "preview", Slots: 8, InFlight: 1, Latency: v.r.latency(v)}}
	}
	for _, e := range v.r.entries {
		if !e.up() || v.r.now.Before(e.disconnectedUntil[v]) || v.r.chance(0.01) {
			continue
		}
		response, s := e.owner.HandleHeartbeat(ctx, hb), v.supervisor
		_ = v.r.call(false, "heartbeat-response", func() { s.HandleHeartbeatResponse(ctx, sent, response) })
	}
}

// checkInvariants checks that no task runs twice at a time, and that no VM runs tasks of more than its capacity. Tasks
// whose lease has ended don't count as running.
func (r *region) checkInvariants() {
	running := map[string]string{}
	for _, v := range r.vms {
		used := resource.Amount{}
		for id, w := range v.tasks {
			if w.State != "running" || !v.clock.Now().Before(w.leaseEnd) {
				continue
			}
			used = used.Add(w.Size)
			if other, ok := running[taskOfAttempt(id)]; ok {
				r.violations = append(r.violations, fmt.Sprintf("after %s: a task runs twice, as attempt %s and as attempt %s on %s", r.now.Sub(start), other, id, v.name))
			}
			running[taskOfAttempt(id)] = id + " on " + v.name
		}
		if !used.Fits(r.vmCapacity) {
			r.violations = append(r.violations, fmt.Sprintf("after %s: %s runs tasks of %s, which exceeds its capacity", r.now.Sub(start), v.name, used))
		}
	}
}

// injectFault injects a fault of the given kind into a random entry and a random VM. Most faults last for the
// duration. A restart of an agent and the draining of an entry happen at once. A log outage, disconnected entries and
// a VM that fails its tasks last until they are injected again or cleared.
func (r *region) injectFault(kind int, duration time.Duration) {
	e, v, until := r.entries[r.random.IntN(len(r.entries))], r.vms[r.random.IntN(len(r.vms))], r.now.Add(duration)
	switch kind {
	case 0:
		// The entry crashes. Its next process starts after the duration.
		e.startProcess()
		e.downUntil = until
	case 1:
		// The entry is paused.
		e.pausedUntil = until
	case 2:
		// The entry is disconnected from the log.
		e.logDisconnectedUntil = until
	case 3:
		// The entry and the VM are disconnected from each other.
		e.disconnectedUntil[v] = until
	case 4:
		// The agent of the VM is restarted.
		v.startAgent()
	case 5:
		// The VM is paused.
		v.pausedUntil = until
	case 6:
		// The VM is switched off for the duration and loses its tasks.
		v.tasks, v.lateStarts = nil, nil
		v.startAgent()
		v.downUntil = until
	case 7:
		// The log goes down for all entries, or comes back.
		r.logDown = !r.logDown
	case 8:
		// The clock of the log service is moved by the duration less 20 s, which is between -19 s and 70 s.
		r.logClockOffset += duration - 20*time.Second
	case 9:
		// The entry is disconnected from all VMs.
		for _, other := range r.vms {
			e.disconnectedUntil[other] = until
		}
	case 10:
		// The entry and the VM can reach only each other for 20 times the duration.
		r.isolate(e, v, r.now.Add(20*duration))
	case 11:
		// The entry starts to hand over its shards, as before a shutdown.
		e.owner.Drain()
		e.drained = true
	case 12:
		// The entries are disconnected from each other, or connected again.
		r.peersDisconnected = !r.peersDisconnected
	case 13:
		// All tasks on the VM fail until the fault is injected again. The first VM stays healthy, because a job may
		// rightly fail if all VMs fail.
		v.failsTasks = !v.failsTasks && v != r.vms[0]
	}
}

// isolate disconnects the entry from the log, and the VM from all other entries. The entry and the VM can still reach
// each other.
func (r *region) isolate(e *entry, v *vm, until time.Time) {
	e.logDisconnectedUntil = until
	for _, other := range r.entries {
		if other != e {
			other.disconnectedUntil[v] = until
		}
	}
}

// ownerOf returns the entry that owns the shard of the job according to the log, or nil, and the VMs that run tasks of
// the job.
func (r *region) ownerOf(job string) (owner *entry, runningOn []*vm) {
	s, _ := r.replayLog()
	for _, e := range r.entries {
		if e.owner.Entry == s.Claimer().Ownership(s.ShardOf(job)).Owner {
			owner = e
		}
	}
	for _, v := range r.vms {
		for id, w := range v.tasks {
			if w.State == "running" && strings.HasPrefix(id, job+"/") {
				runningOn = append(runningOn, v)
			}
		}
	}
	return owner, runningOn
}

// vmWithLateStart returns the first VM whose worker has received a start that it has not carried out yet, or nil.
func (r *region) vmWithLateStart() *vm {
	for _, v := range r.vms {
		if len(v.lateStarts) > 0 {
			return v
		}
	}
	return nil
}

// clearFaults ends all faults. Entries that were drained get a new process.
func (r *region) clearFaults() {
	r.randomFaults, r.logDown, r.peersDisconnected = false, false, false
	for _, e := range r.entries {
		if e.drained {
			e.startProcess()
		}
		e.pausedUntil, e.downUntil, e.logDisconnectedUntil, e.disconnectedUntil = r.now, r.now, r.now, map[*vm]time.Time{}
	}
	for _, v := range r.vms {
		v.pausedUntil, v.downUntil, v.failsTasks = r.now, r.now, false
	}
}

// replayLog replays all records of the log. It returns the resulting scheduler, and the number of recorded completions
// of each task, by task.
func (r *region) replayLog() (*scheduler.Scheduler, map[string]int) {
	s := scheduler.New(claimer.New(claimer.Options{ShardCount: 2}))
	completions := map[string]int{}
	for _, d := range r.records {
		if s.Apply(d.Record, d.Offset, d.Time) == scheduler.Applied && d.Record.Kind == scheduler.KindResult {
			var result scheduler.Result
			decode(d.Record, &result)
			if result.Outcome == scheduler.OutcomeDone {
				completions[fmt.Sprintf("%s/%d", result.Job, result.Task)]++
			}
		}
	}
	return s, completions
}
