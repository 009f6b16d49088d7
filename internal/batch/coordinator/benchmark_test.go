package coordinator_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"bamboohook/internal/batch/job"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/resource"
)

// BenchmarkReport measures how long the coordinator takes to process a report and then to call PlanOnce, with 60 VMs and 100 live jobs. The
// report lists about 20 runs.
func BenchmarkReport(b *testing.B) {
	cluster := newTestCluster(60)
	cluster.simulate(time.Second)
	for n := range 100 {
		j := job.Job{ID: fmt.Sprintf("j%d", n), Occurrences: 1, Steps: []job.Step{
			{TaskCount: 24, Size: resource.Amount{MilliProcessors: 200, MemoryBytes: 1}, Program: "x"},
		}}
		go cluster.coordinator.Submit(context.Background(), messenger.JobRequest{Job: j, Queue: "q"})
	}
	time.Sleep(10 * time.Millisecond)
	cluster.simulate(time.Second)
	a := cluster.agents["vm-7"]
	b.ResetTimer()
	for b.Loop() {
		cluster.clock.Advance(time.Millisecond)
		cluster.sendReport(a)
		cluster.coordinator.PlanOnce(context.Background())
	}
}

// BenchmarkReportOfLargeFleet measures the same with 240 VMs that are full, while the tasks of 60 jobs wait: the load of an owner of a fleet of that
// size in a burst. The interval between two reports is a 240th of that of one agent.
func BenchmarkReportOfLargeFleet(b *testing.B) {
	cluster := newTestCluster(240)
	cluster.simulate(time.Second)
	for n := range 260 {
		j := job.Job{ID: fmt.Sprintf("j%d", n), Occurrences: 1, Steps: []job.Step{
			{TaskCount: 40, Size: resource.Amount{MilliProcessors: 200, MemoryBytes: 1}, Estimate: time.Second, Program: "x"},
			{TaskCount: 13, Size: resource.Amount{MilliProcessors: 200, MemoryBytes: 1}, Estimate: time.Second, Program: "x", After: []int{0}},
		}}
		go cluster.coordinator.Submit(context.Background(), messenger.JobRequest{Job: j, Queue: "q"})
	}
	time.Sleep(30 * time.Millisecond)
	cluster.simulate(time.Second)
	running := 0
	for _, a := range cluster.agents {
		running += len(a.runs)
	}
	b.Logf("%d runs", running)
	n := 0
	for b.Loop() {
		cluster.clock.Advance(time.Millisecond)
		cluster.sendReport(cluster.agents[fmt.Sprint("vm-", n%240)])
		cluster.coordinator.PlanOnce(context.Background())
		n++
	}
}
