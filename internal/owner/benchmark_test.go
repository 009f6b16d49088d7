package owner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"bamboohook/claimer"
	"bamboohook/internal/message"
	"bamboohook/internal/owner"
	"bamboohook/resource"
	"bamboohook/scheduler"
	"bamboohook/stream"
	"bamboohook/task"
)

const (
	// tasksPerVM tasks fill a VM.
	tasksPerVM          = 22
	benchmarkShardCount = 8
)

// benchmarkLog is a fake log service. It keeps the appended records until the benchmark passes them to Consume.
type benchmarkLog struct {
	clock   *clockwork.FakeClock
	offset  uint64
	pending []owner.DeliveredRecord
}

func (l *benchmarkLog) Append(_ context.Context, records ...stream.Record) (uint64, error) {
	l.offset++
	for _, r := range records {
		l.pending = append(l.pending, owner.DeliveredRecord{Record: r, Offset: l.offset, Time: l.clock.Now()})
	}
	return l.offset, nil
}

// newOwnerWithFullVMs returns an owner that owns all shards, and the heartbeats of its VMs. All VMs are full of
// running tasks, and the given number of further tasks wait.
func newOwnerWithFullVMs(b *testing.B, vms, waiting int) (*owner.Owner, []message.Heartbeat) {
	ctx, clock := context.Background(), clockwork.NewFakeClockAt(start)
	log := &benchmarkLog{clock: clock}
	o := &owner.Owner{Entry: "e", ShardCount: benchmarkShardCount, StreamWriter: log, Clock: clock, Spawn: func(f func()) { f() }}
	heartbeats := make([]message.Heartbeat, vms)
	size := resource.Amount{MilliProcessors: 1000, MemoryBytes: 1 << 30}
	for i := range heartbeats {
		heartbeats[i] = message.Heartbeat{
			VM: fmt.Sprint("vm-", i), Generation: "g", State: message.StateUp, Services: []message.Service{{Name: "preview", Slots: 8}},
			Capacity:  resource.Amount{MilliProcessors: tasksPerVM * 1000, MemoryBytes: tasksPerVM << 30},
			Committed: resource.Amount{MilliProcessors: tasksPerVM * 1000, MemoryBytes: tasksPerVM << 30},
		}
	}
	step := func() {
		clock.Advance(500 * time.Millisecond)
		for i := range heartbeats {
			heartbeats[i].Sequence++
			o.HandleHeartbeat(ctx, heartbeats[i])
		}
		o.Tick(ctx)
		pending := log.pending
		log.pending = nil
		o.Consume(pending...)
	}
	for range 4 {
		step()
	}
	s, _ := o.Snapshot()
	state := scheduler.New(claimer.New(claimer.Options{ShardCount: benchmarkShardCount}))
	if err := state.Restore(s); err != nil {
		b.Fatal(err)
	}
	for i := range heartbeats {
		id := fmt.Sprint("job-", i)
		_, _ = log.Append(ctx, stream.NewRecord(scheduler.KindJob, scheduler.Job{ID: id, Team: fmt.Sprint(i % 620), Kind: "build", Tasks: tasksPerVM, Size: size}))
		shard := state.ShardOf(id)
		for n := range tasksPerVM {
			identity := task.Identity{Job: id, Task: n, Attempt: 1, Shard: shard, Epoch: state.Claimer().Ownership(shard).Epoch}
			_, _ = log.Append(ctx, stream.NewRecord(scheduler.KindAssignment, scheduler.Assignment{Identity: identity, VMs: []string{heartbeats[i].VM}}))
			heartbeats[i].Tasks = append(heartbeats[i].Tasks, message.TaskReport{Identity: identity, State: message.TaskRunning, Usage: size})
		}
	}
	for n := range waiting {
		_, _ = log.Append(ctx, stream.NewRecord(scheduler.KindJob,
			scheduler.Job{ID: fmt.Sprint("later-", n), Team: fmt.Sprint(n % 620), Kind: "build", Tasks: 1, Size: size}))
	}
	o.Consume(log.pending...)
	log.pending = nil
	for range 8 {
		step()
	}
	for i := range heartbeats {
		if status, _ := o.Status(fmt.Sprint("job-", i)); status.Running != tasksPerVM {
			b.Fatalf("%d of %d tasks of a job are running, but all of them should be", status.Running, tasksPerVM)
		}
	}
	return o, heartbeats
}

// BenchmarkTick guards against a Tick whose cost depends on the number of running tasks. Each VM runs 22 tasks, which
// makes 59,400 tasks on 2,700 VMs.
func BenchmarkTick(b *testing.B) {
	for _, waiting := range []int{0, 2000} {
		for _, vms := range []int{300, 900, 2700} {
			b.Run(fmt.Sprintf("waiting=%d/vms=%d", waiting, vms), func(b *testing.B) {
				o, _ := newOwnerWithFullVMs(b, vms, waiting)
				b.ReportAllocs()
				for b.Loop() {
					o.Tick(context.Background())
				}
			})
		}
	}
}

// BenchmarkHeartbeat guards against a HandleHeartbeat whose cost depends on the number of VMs.
func BenchmarkHeartbeat(b *testing.B) {
	for _, vms := range []int{300, 2700} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			o, heartbeats := newOwnerWithFullVMs(b, vms, 0)
			b.ReportAllocs()
			for b.Loop() {
				heartbeats[0].Sequence++
				o.HandleHeartbeat(context.Background(), heartbeats[0])
			}
		})
	}
}
