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

// BenchmarkReport measures how long the coordinator takes to process a report and then to plan once, with 60 VMs and 100 live jobs. The
// report lists about 20 runs.
func BenchmarkReport(b *testing.B) {
	f := newFleet(60)
	f.run(time.Second)
	for n := range 100 {
		j := job.Job{ID: fmt.Sprintf("j%d", n), Occurrences: 1, Steps: []job.Step{
			{TaskCount: 24, Size: resource.Amount{MilliProcessors: 200, MemoryBytes: 1}, Image: "x"},
		}}
		go f.coordinator.Submit(context.Background(), messenger.JobRequest{Job: j, Queue: "q"})
	}
	time.Sleep(10 * time.Millisecond)
	f.run(time.Second)
	a := f.agents["vm-7"]
	b.ResetTimer()
	for b.Loop() {
		f.clock.Advance(time.Millisecond)
		f.report(a)
		f.coordinator.PlanOnce(context.Background())
	}
}
