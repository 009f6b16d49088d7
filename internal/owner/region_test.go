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

// step advances the simulation by stepDuration and checks the invariants at the workers.
func (r *region) step(ctx context.Context) {
	r.now = r.now.Add(stepDuration)
	arriving := r.delayedCalls
	r.delayedCalls = nil
	for _, call := range arriving {
		// A delayed call arrives up to a minute later, whatever has happened in the meantime.
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
		v.updateTasks()
		if v.up() {
			v.supervisor.Tick(ctx)
			v.sendHeartbeat(ctx)
		}
	}
	r.checkInvariants()
}

func (r *region) run(ctx context.Context, d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end) && len(r.violations) == 0; {
		r.step(ctx)
	}
}

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
		_ = v.r.call(false, "answer", func() { s.HandleHeartbeatResponse(ctx, sent, response) })
	}
}

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
				r.violations = append(r.violations, fmt.Sprintf("%s: task runs as %s and as %s on %s", r.now.Sub(start), other, id, v.name))
			}
			running[taskOfAttempt(id)] = id + " on " + v.name
		}
		if !used.Fits(r.vmCapacity) {
			r.violations = append(r.violations, fmt.Sprintf("%s: %s runs %s, which exceeds its capacity", r.now.Sub(start), v.name, used))
		}
	}
}

// injectFault makes one component fail for the given time.
func (r *region) injectFault(kind int, duration time.Duration) {
	e, v, until := r.entries[r.random.IntN(len(r.entries))], r.vms[r.random.IntN(len(r.vms))], r.now.Add(duration)
	switch kind {
	case 0:
		e.startProcess()
		e.downUntil = until
	case 1:
		e.pausedUntil = until
	case 2:
		e.logDisconnectedUntil = until
	case 3:
		e.disconnectedUntil[v] = until
	case 4:
		v.startAgent()
	case 5:
		v.pausedUntil = until
	case 6:
		v.tasks = nil
		v.startAgent()
		v.downUntil = until
	case 7:
		r.logDown = !r.logDown
	case 8:
		r.logClockOffset += duration - 20*time.Second
	case 9:
		for _, other := range r.vms {
			e.disconnectedUntil[other] = until
		}
	case 10:
		r.isolate(e, v, r.now.Add(20*duration))
	case 11:
		e.owner.Drain()
		e.drained = true
	case 12:
		r.peersDisconnected = !r.peersDisconnected
	case 13:
		// The first VM stays healthy, because a job may rightly fail if all VMs fail.
		v.failsTasks = !v.failsTasks && v != r.vms[0]
	}
}

// isolate disconnects an entry and a VM together from the log and from all other entries.
func (r *region) isolate(e *entry, v *vm, until time.Time) {
	e.logDisconnectedUntil = until
	for _, other := range r.entries {
		if other != e {
			other.disconnectedUntil[v] = until
		}
	}
}

// ownerOf returns the entry that owns the shard of the job according to the log, and the VMs that run its tasks.
func (r *region) ownerOf(job string) (owner *entry, runningOn []*vm) {
	s, _ := r.results()
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

// clearFaults ends all faults.
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

// results replays the log and counts the recorded completions of each task.
func (r *region) results() (*scheduler.Scheduler, map[string]int) {
	s := scheduler.New(claimer.New(claimer.Options{ShardCount: 2}))
	done := map[string]int{}
	for _, d := range r.records {
		if s.Apply(d.Record, d.Offset, d.Time) == scheduler.Applied && d.Record.Kind == scheduler.KindResult {
			var result scheduler.Result
			decode(d.Record, &result)
			if result.Outcome == scheduler.OutcomeDone {
				done[fmt.Sprintf("%s/%d", result.Job, result.Task)]++
			}
		}
	}
	return s, done
}
