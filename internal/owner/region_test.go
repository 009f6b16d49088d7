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

// step advances everything by one step and checks the invariants at the workers.
func (r *region) step(ctx context.Context) {
	r.now = r.now.Add(step)
	late := r.late
	r.late = nil
	for _, call := range late {
		// A late call arrives after up to a minute, whatever happened since.
		if r.hold || r.random.IntN(100) < 96 && r.faulty {
			r.late = append(r.late, call)
			continue
		}
		call()
	}
	for _, e := range r.entries {
		if !e.up() {
			continue
		}
		if !r.now.Before(e.logCut) && !r.logDown {
			e.o.Consume(r.log[e.read:]...)
			e.read = len(r.log)
		}
		e.o.Tick(ctx)
	}
	for _, v := range r.vms {
		v.advance()
		if v.up() {
			v.s.Tick(ctx)
			v.beat(ctx)
		}
	}
	r.check()
}

func (r *region) run(ctx context.Context, d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end) && len(r.problems) == 0; {
		r.step(ctx)
	}
}

func (v *vm) beat(ctx context.Context) {
	v.sequence++
	sent := v.clock.Now()
	v.s.RecordHeartbeat(v.sequence, sent)
	hb := message.Heartbeat{
		VM: v.name, Generation: v.s.Generation, Sequence: v.sequence, State: message.StateUp, Capacity: v.s.Admitter.Capacity(),
		Committed: v.s.Admitter.Committed(), Tasks: v.s.Reports(),
	}
	if v.r.latency != nil {
		hb.Services = []message.Service{{Name: "preview", Slots: 8, InFlight: 1, Latency: v.r.latency(v)}}
	}
	for _, e := range v.r.entries {
		if !e.up() || v.r.now.Before(e.cut[v]) || v.r.chance(0.01) {
			continue
		}
		answer, s := e.o.Heartbeat(ctx, hb), v.s
		_ = v.r.deliver(false, "answer", func() { s.HandleAnswer(ctx, sent, answer) })
	}
}

func (r *region) check() {
	running := map[string]string{}
	for _, v := range r.vms {
		used := resource.Amount{}
		for id, w := range v.tasks {
			if w.State != "running" || !v.clock.Now().Before(w.until) {
				continue
			}
			used = used.Add(w.Size)
			if other, ok := running[taskOf(id)]; ok {
				r.problems = append(r.problems, fmt.Sprintf("%s: task runs as %s and as %s at %s", r.now.Sub(start), other, id, v.name))
			}
			running[taskOf(id)] = id + " at " + v.name
		}
		if !used.Fits(r.size) {
			r.problems = append(r.problems, fmt.Sprintf("%s: %s is overcommitted with %s", r.now.Sub(start), v.name, used))
		}
	}
}

// fault lets one thing fail for a time.
func (r *region) fault(kind int, length time.Duration) {
	e, v, until := r.entries[r.random.IntN(len(r.entries))], r.vms[r.random.IntN(len(r.vms))], r.now.Add(length)
	switch kind {
	case 0:
		e.boot()
		e.downTill = until
	case 1:
		e.paused = until
	case 2:
		e.logCut = until
	case 3:
		e.cut[v] = until
	case 4:
		v.boot()
	case 5:
		v.paused = until
	case 6:
		v.tasks = nil
		v.boot()
		v.downTill = until
	case 7:
		r.logDown = !r.logDown
	case 8:
		r.logStep += length - 20*time.Second
	case 9:
		for _, other := range r.vms {
			e.cut[other] = until
		}
	case 10:
		r.isolate(e, v, r.now.Add(20*length))
	case 11:
		e.o.Drain()
		e.drained = true
	case 12:
		r.peersCut = !r.peersCut
	case 13:
		// One VM stays healthy, because a job may fail for good where all VMs fail.
		v.bad = !v.bad && v != r.vms[0]
	}
}

// isolate cuts an entry and a VM together off from the log and from all others.
func (r *region) isolate(e *entry, v *vm, until time.Time) {
	e.logCut = until
	for _, other := range r.entries {
		if other != e {
			other.cut[v] = until
		}
	}
}

// ownerOf returns the entry that owns the job's shard by the log, and the VMs that run its tasks.
func (r *region) ownerOf(job string) (owner *entry, at []*vm) {
	s, _ := r.results()
	for _, e := range r.entries {
		if e.o.Entry == s.Claimer().Ownership(s.ShardOf(job)).Owner {
			owner = e
		}
	}
	for _, v := range r.vms {
		for id, w := range v.tasks {
			if w.State == "running" && strings.HasPrefix(id, job+"/") {
				at = append(at, v)
			}
		}
	}
	return owner, at
}

// heal ends all faults.
func (r *region) heal() {
	r.faulty, r.logDown, r.peersCut = false, false, false
	for _, e := range r.entries {
		if e.drained {
			e.boot()
		}
		e.paused, e.downTill, e.logCut, e.cut = r.now, r.now, r.now, map[*vm]time.Time{}
	}
	for _, v := range r.vms {
		v.paused, v.downTill, v.bad = r.now, r.now, false
	}
}

// results counts the recorded completions of each task by replaying the log.
func (r *region) results() (*scheduler.Scheduler, map[string]int) {
	s := scheduler.New(claimer.New(claimer.Options{ShardCount: 2}))
	done := map[string]int{}
	for _, d := range r.log {
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
