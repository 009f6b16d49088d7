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
