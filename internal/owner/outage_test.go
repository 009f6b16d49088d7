package owner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"bamboohook/internal/message"
	"bamboohook/resource"
)

// phaseDuration is the length of each of the two measured phases. The log works during the first and is down during
// the second.
const phaseDuration = 15 * time.Minute

// BenchmarkLogOutage reports which share of the batch throughput remains while the log is down for 15 minutes. The
// region is as large as that of one user of this software: 11 VMs with 30 tasks of about 10 minutes each, 8 shards and
// 2 entries. More tasks wait than can start. The seeds 1, 2 and 3 determine the random choices of the runs.
func BenchmarkLogOutage(b *testing.B) {
	for _, seed := range []uint64{1, 2, 3} {
		b.Run(fmt.Sprintf("seed=%d", seed), func(b *testing.B) {
			for range b.N {
				r := newRegion(seed, 2, 11)
				r.vmCapacity, r.taskDuration = resource.Amount{MilliProcessors: 30_000, MemoryBytes: 3000}, 10*time.Minute
				for _, e := range r.entries {
					e.owner.ShardCount = 8
				}
				ctx := context.Background()
				r.run(ctx, 30*time.Second)
				for n := range 100 {
					_, failure := r.entries[0].owner.Submit(ctx, message.JobRequest{
						ID: fmt.Sprintf("job-%d", n), Team: "t", Kind: "k", Tasks: 50, RunTime: 10 * time.Minute,
						Size: resource.Amount{MilliProcessors: 1000, MemoryBytes: 100},
					})
					if failure != nil {
						b.Fatal(failure.Message)
					}
				}
				r.run(ctx, 20*time.Minute)
				completionsBefore, offsetBefore := r.completions(), r.offset
				r.run(ctx, phaseDuration)
				completedWithLog := r.completions() - completionsBefore
				b.ReportMetric(float64(r.offset-offsetBefore)/phaseDuration.Seconds(), "appends/s")
				r.logDown = true
				completionsBefore = r.completions()
				r.run(ctx, phaseDuration)
				completedWithoutLog := r.completions() - completionsBefore
				r.logDown = false
				r.run(ctx, time.Minute)
				if len(r.violations) > 0 {
					b.Fatal(r.violations[0])
				}
				b.ReportMetric(float64(completedWithLog)/phaseDuration.Minutes(), "tasks/min-normal")
				b.ReportMetric(float64(completedWithoutLog)/phaseDuration.Minutes(), "tasks/min-outage")
				b.ReportMetric(100*float64(completedWithoutLog)/float64(completedWithLog), "%kept")
			}
		})
	}
}

// completions returns the number of tasks that the workers have completed.
func (r *region) completions() int {
	count := 0
	for _, v := range r.vms {
		v.updateTasks()
		for _, w := range v.tasks {
			if w.State == "done" {
				count++
			}
		}
	}
	return count
}
