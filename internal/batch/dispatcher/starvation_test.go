package dispatcher_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/dispatcher"
	"bamboohook/internal/batch/job"
	"bamboohook/resource"
)

// smalls returns the live small jobs.
func smalls(b *bookkeeper.Bookkeeper) (found []*bookkeeper.Job) {
	for _, j := range b.LiveJobs() {
		if j.ID != "large" {
			found = append(found, j)
		}
	}
	return found
}

var _ = Describe("Starving tasks", func() {
	queues := map[string]dispatcher.Queue{"q": {Service: "s", Stretch: 2, Target: time.Hour}}
	newVM := func(n int) *dispatcher.VM {
		return &dispatcher.VM{Name: fmt.Sprint("vm-", n), Service: "s", Capacity: resource.Amount{MilliProcessors: 32_000, MemoryBytes: 1000}, Schedulable: true}
	}
	// waits lets a large task wait beside a flow of small ones which fill the VM. It returns after how long the large one started, at most 2 min.
	waits := func(extra []job.Step) time.Duration {
		start := time.UnixMilli(1_000_000)
		now := start
		b, d := bookkeeper.New(), &dispatcher.Dispatcher{}
		vms := []*dispatcher.VM{newVM(0)}
		type running struct {
			p   dispatcher.Placement
			end time.Time
		}
		var runs []running
		var largeAt time.Duration
		n := 0
		large := b.Accept(job.Job{ID: "large", Queue: "q", Occurrences: 1, AcceptedAt: now, Steps: append(extra, job.Step{
			TaskCount: 1, Size: resource.Amount{MilliProcessors: 20_000, MemoryBytes: 1}, Estimate: 100 * time.Second,
		})})
		opened := false
		for ; now.Sub(start) < 2*time.Minute && largeAt == 0; now = now.Add(100 * time.Millisecond) {
			var left []running
			for _, r := range runs {
				if r.end.After(now) {
					left = append(left, r)
					continue
				}
				r.p.VM.Remove(r.p.Task)
				b.TaskDone(r.p.Task, now)
			}
			runs = left
			live := len(smalls(b))
			for range 10 - live {
				n++
				b.OpenDueOccurrences(b.Accept(job.Job{ID: fmt.Sprint("small-", n), Queue: "q", Occurrences: 1, AcceptedAt: now, Steps: []job.Step{{
					TaskCount: 1, Size: resource.Amount{MilliProcessors: 4000, MemoryBytes: 1}, Estimate: time.Second,
				}}}), now)
			}
			if !opened && now.Sub(start) > 3*time.Second {
				opened = true
				b.OpenDueOccurrences(large, now)
			}
			var steps []*bookkeeper.Step
			b.VisitReadySteps(func(s *bookkeeper.Step) { steps = append(steps, s) })
			for _, p := range d.Plan(now, now, steps, queues, vms) {
				b.RunStarted(p.Task, 1)
				switch {
				case p.Task.Step.Job == large && !p.Task.Step.LongRunning:
					largeAt = now.Sub(start) + 1
				case !p.Task.Step.LongRunning:
					runs = append(runs, running{p, now.Add(2*time.Second + time.Duration(n%7)*100*time.Millisecond)})
				}
			}
		}
		if largeAt == 0 {
			return 2 * time.Minute
		}
		return largeAt
	}
	It("start if they are plain tasks of a job alone", func() {
		Expect(waits(nil)).To(BeNumerically("<", 30*time.Second))
	})
	// Guards against a task that waits without a bound because a long-running task of its job, which never ends, counts as a run of the job.
	It("start if they are plain tasks of a job that also has a long-running task", func() {
		Expect(waits([]job.Step{{TaskCount: 1, LongRunning: true, Size: resource.Amount{MilliProcessors: 1000, MemoryBytes: 1}}})).To(BeNumerically("<", 30*time.Second))
	})
})
