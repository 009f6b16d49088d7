package main

import (
	"context"
	"fmt"
	"time"

	"bamboohook/internal/message"
	"bamboohook/internal/owner"
	"bamboohook/resource"
	"bamboohook/scheduler"
	"bamboohook/stream"
	"bamboohook/task"
)

const (
	shards   = 8
	tickStep = 500 * time.Millisecond
)

// batchRegion is one real owner with agents that start everything and a log in memory. It runs in one goroutine at
// its own time, and is clock, log and agents of the owner at once.
type batchRegion struct {
	owner   *owner.Owner
	now     time.Time
	offset  uint64
	tasks   map[string][]task.Identity
	vms     int
	size    resource.Amount
	beats   uint64
	appends int
	bytes   int
	records int
}

// newBatchRegion returns a region in which every VM runs the tasks.
func newBatchRegion(vms, tasksEach int) *batchRegion {
	b := &batchRegion{vms: vms, now: time.Unix(1_800_000_000, 0), tasks: map[string][]task.Identity{}}
	b.owner = &owner.Owner{
		Entry: "entry-1-" + generation, ShardCount: shards, StreamWriter: b, Agents: b, Clock: b, Spawn: func(f func()) { f() },
	}
	if tasksEach == 0 {
		b.step()
		return b
	}
	b.size = resource.Amount{MilliProcessors: 64_000 / int64(tasksEach)}
	for n := range vms {
		b.submit(jobName(n), tasksEach)
	}
	started := func() int {
		count := 0
		for _, t := range b.tasks {
			count += len(t)
		}
		return count
	}
	for range 2000 {
		if started() == vms*tasksEach {
			b.step()
			return b
		}
		b.step()
	}
	panic(fmt.Sprintf("capacity: only %d of %d tasks started", started(), vms*tasksEach))
}

func (b *batchRegion) submit(id string, tasks int) {
	_, _ = b.Append(context.Background(), stream.NewRecord(scheduler.KindJob, scheduler.Job{
		ID: id, Team: "design", Kind: "face-build", Tasks: tasks, Size: b.size, RunTime: 10 * time.Minute, Retries: 3,
	}))
}

// step sends one heartbeat of every VM and lets the owner take its steps.
func (b *batchRegion) step() {
	b.now = b.now.Add(tickStep)
	b.round()
	b.owner.Tick(context.Background())
}

// round sends one heartbeat of every VM and returns how many leases the owner granted.
func (b *batchRegion) round() int {
	b.beats++
	leases := 0
	for n := range b.vms {
		leases += len(b.owner.HandleHeartbeat(context.Background(), b.beat(n)).Leases)
	}
	return leases
}

func (b *batchRegion) beat(n int) message.Heartbeat {
	var reports []message.TaskReport
	for _, id := range b.tasks[vmName(n)] {
		reports = append(reports, runningReport(id))
	}
	h := beat(n, b.beats, services, reports)
	h.Committed = resource.Amount{MilliProcessors: b.size.MilliProcessors * int64(len(reports))}
	return h
}

// Now returns the time of the region.
func (b *batchRegion) Now() time.Time { return b.now }

// Append delivers the records at once.
func (b *batchRegion) Append(_ context.Context, records ...stream.Record) (uint64, error) {
	b.offset++
	b.appends++
	b.records += len(records)
	for _, r := range records {
		b.bytes += len(r.Body) + len(r.Kind)
		b.owner.Consume(owner.DeliveredRecord{Record: r, Offset: b.offset, Time: b.now})
	}
	return b.offset, nil
}

// Start starts the attempt.
func (b *batchRegion) Start(_ context.Context, vm string, s message.StartRequest) (message.StartResponse, error) {
	b.tasks[vm] = append(b.tasks[vm], s.Identity)
	return message.StartResponse{Started: true}, nil
}

// Stop refuses; no task is stopped here.
func (*batchRegion) Stop(context.Context, string, message.TaskCommand) (message.TaskCommandResponse, error) {
	return message.TaskCommandResponse{}, nil
}

// Checkpoint refuses.
func (*batchRegion) Checkpoint(context.Context, string, message.TaskCommand) (message.TaskCommandResponse, error) {
	return message.TaskCommandResponse{}, nil
}

// Throttle refuses.
func (*batchRegion) Throttle(context.Context, string, message.TaskCommand) (message.TaskCommandResponse, error) {
	return message.TaskCommandResponse{}, nil
}

// measureOwner measures the batch part of an entry while all tasks run.
func measureOwner(r *report) error {
	r.measure("owner-heartbeat", "tasks of each of 100 VMs", "µs", []float64{1, 7, 14, 28}, func(n int) float64 {
		b := newBatchRegion(100, n)
		if granted := b.round(); granted != 100*n {
			panic(fmt.Sprintf("capacity: %d of %d leases were granted", granted, 100*n))
		}
		empty := perCall(20, func() {
			b.beats++
			for v := range b.vms {
				b.beat(v)
			}
		})
		return (perCall(20, func() { b.round() }) - empty) / 100
	})
	sizes := []float64{100, 300, 675, 1350}
	ticks, memory := make([]float64, len(sizes)), make([]float64, len(sizes))
	for i, n := range sizes {
		var b *batchRegion
		memory[i] = heap(func() any {
			b = newBatchRegion(int(n), wholeTasks)
			return b
		}) / 1e6
		ticks[i] = perCall(20, func() { b.owner.Tick(context.Background()) })
	}
	r.add("owner-tick", "VMs with 14 tasks each", "µs, 2 times a second", sizes, ticks)
	r.add("owner-memory", "VMs with 14 tasks each", "MB", sizes, memory)
	return nil
}
