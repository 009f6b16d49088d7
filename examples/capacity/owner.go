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
	shardCount   = 8
	tickInterval = 500 * time.Millisecond
)

// regionSimulation runs one owner of batch shards on simulated time in a single goroutine. It is the clock, the log and
// the agents of the owner: the log delivers records at once, and the agents start every task.
type regionSimulation struct {
	owner             *owner.Owner
	now               time.Time
	offset            uint64
	tasks             map[string][]task.Identity
	vmCount           int
	taskSize          resource.Amount
	heartbeatSequence uint64
	appendCount       int
	appendedBytes     int
	appendedRecords   int
}

// newRegionSimulation returns a region of vmCount VMs that each run tasksOnVM tasks, which are submitted as one job for
// each VM.
func newRegionSimulation(vmCount, tasksOnVM int) *regionSimulation {
	b := &regionSimulation{vmCount: vmCount, now: time.Unix(1_800_000_000, 0), tasks: map[string][]task.Identity{}}
	b.owner = &owner.Owner{
		Entry: "entry-1-" + generation, ShardCount: shardCount, StreamWriter: b, Agents: b, Clock: b, Spawn: func(f func()) { f() },
	}
	if tasksOnVM == 0 {
		b.step()
		return b
	}
	b.taskSize = resource.Amount{MilliProcessors: 64_000 / int64(tasksOnVM)}
	for n := range vmCount {
		b.submit(jobName(n), tasksOnVM)
	}
	startedTasks := func() int {
		count := 0
		for _, t := range b.tasks {
			count += len(t)
		}
		return count
	}
	for range 2000 {
		if startedTasks() == vmCount*tasksOnVM {
			b.step()
			return b
		}
		b.step()
	}
	panic(fmt.Sprintf("capacity: only %d of %d tasks started", startedTasks(), vmCount*tasksOnVM))
}

func (b *regionSimulation) submit(id string, taskCount int) {
	_, _ = b.Append(context.Background(), stream.NewRecord(scheduler.KindJob, scheduler.Job{
		ID: id, Team: "design", Kind: "face-build", Tasks: taskCount, Size: b.taskSize, RunTime: 10 * time.Minute, Retries: 3,
	}))
}

// step advances the time by one tick interval, sends one heartbeat of every VM and runs one tick of the owner.
func (b *regionSimulation) step() {
	b.now = b.now.Add(tickInterval)
	b.sendHeartbeats()
	b.owner.Tick(context.Background())
}

// sendHeartbeats sends one heartbeat of every VM and returns the number of leases that the owner granted.
func (b *regionSimulation) sendHeartbeats() int {
	b.heartbeatSequence++
	leases := 0
	for n := range b.vmCount {
		leases += len(b.owner.HandleHeartbeat(context.Background(), b.heartbeat(n)).Leases)
	}
	return leases
}

func (b *regionSimulation) heartbeat(n int) message.Heartbeat {
	var reports []message.TaskReport
	for _, id := range b.tasks[vmName(n)] {
		reports = append(reports, runningReport(id))
	}
	h := newHeartbeat(n, b.heartbeatSequence, servicesPerEndpoint, reports)
	h.Committed = resource.Amount{MilliProcessors: b.taskSize.MilliProcessors * int64(len(reports))}
	return h
}

// Now returns the simulated time.
func (b *regionSimulation) Now() time.Time { return b.now }

// Append delivers the records to the owner before it returns. All records of one append have the same offset.
func (b *regionSimulation) Append(_ context.Context, records ...stream.Record) (uint64, error) {
	b.offset++
	b.appendCount++
	b.appendedRecords += len(records)
	for _, r := range records {
		b.appendedBytes += len(r.Body) + len(r.Kind)
		b.owner.Consume(owner.DeliveredRecord{Record: r, Offset: b.offset, Time: b.now})
	}
	return b.offset, nil
}

// Start marks the attempt as running on the VM.
func (b *regionSimulation) Start(_ context.Context, vm string, s message.StartRequest) (message.StartResponse, error) {
	b.tasks[vm] = append(b.tasks[vm], s.Identity)
	return message.StartResponse{Started: true}, nil
}

// Stop rejects the command. The simulation never stops a task.
func (*regionSimulation) Stop(context.Context, string, message.TaskCommand) (message.TaskCommandResponse, error) {
	return message.TaskCommandResponse{}, nil
}

// Checkpoint rejects the command.
func (*regionSimulation) Checkpoint(context.Context, string, message.TaskCommand) (message.TaskCommandResponse, error) {
	return message.TaskCommandResponse{}, nil
}

// Throttle rejects the command.
func (*regionSimulation) Throttle(context.Context, string, message.TaskCommand) (message.TaskCommandResponse, error) {
	return message.TaskCommandResponse{}, nil
}

// measureOwner measures the processor time and memory of the owner of batch shards while all tasks run.
func measureOwner(r *report) error {
	r.measure("owner-heartbeat", "tasks of each of 100 VMs", "µs", []float64{1, 7, 14, 28}, func(n int) float64 {
		b := newRegionSimulation(100, n)
		if granted := b.sendHeartbeats(); granted != 100*n {
			panic(fmt.Sprintf("capacity: the owner granted %d of %d leases", granted, 100*n))
		}
		buildTime := processorTimePerCall(20, func() {
			b.heartbeatSequence++
			for v := range b.vmCount {
				b.heartbeat(v)
			}
		})
		return (processorTimePerCall(20, func() { b.sendHeartbeats() }) - buildTime) / 100
	})
	sizes := []float64{100, 300, 675, 1350}
	tickTimes, memory := make([]float64, len(sizes)), make([]float64, len(sizes))
	for i, n := range sizes {
		var b *regionSimulation
		memory[i] = retainedHeap(func() any {
			b = newRegionSimulation(int(n), roundedTasksPerVM)
			return b
		}) / 1e6
		tickTimes[i] = processorTimePerCall(20, func() { b.owner.Tick(context.Background()) })
	}
	r.addPoints("owner-tick", "VMs with 14 tasks each", "µs, 2 times a second", sizes, tickTimes)
	r.addPoints("owner-memory", "VMs with 14 tasks each", "MB", sizes, memory)
	return nil
}
