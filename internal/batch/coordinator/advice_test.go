package coordinator_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/coordinator"
	"bamboohook/internal/batch/job"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/resource"
)

// advisor is a fake advice service that approves the endpoints whose VM is allowed. Its tickets are valid for 3 s.
type advisor struct {
	allowed []string
	// err is returned instead of an answer unless it is nil.
	err error
	// requests holds the steps of all requests, asked how often each endpoint was named for a step.
	requests []string
	asked    map[string]int
}

// Advise implements coordinator.Advisor.
func (a *advisor) Advise(_ context.Context, step string, endpoints []string) (map[string]string, time.Duration, error) {
	a.requests = append(a.requests, step)
	if a.err != nil {
		return nil, 0, a.err
	}
	tickets := map[string]string{}
	for _, e := range endpoints {
		a.asked[step+" "+e]++
		if slices.Contains(a.allowed, e) {
			tickets[e] = "ticket of " + step
		}
	}
	return tickets, 3 * time.Second, nil
}

var _ = Describe("An advised queue", func() {
	newCluster := func(vms int, allowed ...string) (*testCluster, *advisor) {
		a := &advisor{allowed: allowed, asked: map[string]int{}}
		cluster := newTestCluster(vms)
		cluster.queue.Advised = true
		cluster.configure()
		cluster.coordinator.Advisor, cluster.deferCalls = a, true
		cluster.simulate(time.Second)
		return cluster, a
	}
	one := job.Step{TaskCount: 1, Size: resource.Amount{MilliProcessors: 1000, MemoryBytes: 10}}

	// Guards against a job that never starts: only the VMs with the most free processors were asked for, and the allowed ones never were.
	It("starts its jobs on the allowed VM however many others have more room", func() {
		cluster, a := newCluster(40, "i-vm-7")
		long := one
		long.LongRunning, long.Size.MilliProcessors = true, 2000
		submitJob(cluster, job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{long}})
		cluster.simulate(2 * time.Second)
		Expect(cluster.agents["vm-7"].runs).To(HaveKey("a.0.0.0"))
		submitJob(cluster, job.Job{ID: "b", Occurrences: 1, Steps: []job.Step{one}})
		cluster.simulate(2 * time.Second)
		Expect(cluster.agents["vm-7"].runs).To(HaveKey("b.0.0.0"))
		for question, times := range a.asked {
			Expect(times).To(Equal(1), question)
		}
	})

	// Guards against tickets that are used after the endpoint process for which they were issued has been replaced.
	It("asks again for the next process of an endpoint", func() {
		cluster, a := newCluster(1, "i-vm-0")
		wide := one
		wide.TaskCount = 5
		submitJob(cluster, job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{wide}})
		cluster.simulate(time.Second)
		Expect(a.requests).To(HaveLen(1))
		replaced := cluster.agents["vm-0"]
		replaced.incarnation, replaced.runs, replaced.nextResultSequence = 101, map[string]messenger.Run{}, 1
		cluster.simulate(time.Second)
		Expect(a.requests).To(HaveLen(2))
		Expect(replaced.runs).To(HaveLen(4))
	})

	// Guards against a queue that does not recover from a burst: the advice service answers one request after another, and each waiting step
	// repeated its request before the answer.
	It("has one request at a time, and each waiting step gets its turn", func() {
		cluster, a := newCluster(8, "i-vm-1", "i-vm-2", "i-vm-3", "i-vm-4")
		const jobs = 16
		for n := range jobs {
			submitJob(cluster, job.Job{ID: fmt.Sprint("job-", n), Occurrences: 1, Steps: []job.Step{one}})
		}
		for range jobs {
			// The advice service and the agents take 500 ms.
			for range 25 {
				cluster.clock.Advance(20 * time.Millisecond)
				cluster.coordinator.Tick()
				cluster.coordinator.PlanOnce(context.Background())
			}
			before := len(a.requests)
			cluster.makeDeferredCalls()
			Expect(len(a.requests) - before).To(BeNumerically("<=", 1))
			cluster.simulate(200 * time.Millisecond)
		}
		Expect(cluster.countRuns()).To(HaveLen(jobs))
		Expect(len(a.requests)).To(BeNumerically("<=", jobs))
	})

	// Guards against a queue that stops after the advice service has failed.
	It("goes on after requests without an answer", func() {
		cluster, a := newCluster(2, "i-vm-0")
		a.err = errNoResponse
		submitJob(cluster, job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{one}})
		submitJob(cluster, job.Job{ID: "b", Occurrences: 1, Steps: []job.Step{one}})
		cluster.simulate(2 * time.Second)
		Expect(a.requests).To(ContainElements("a.0.0", "b.0.0"))
		Expect(len(a.requests)).To(BeNumerically("<", 8))
		a.err = nil
		cluster.simulate(2 * time.Second)
		Expect(cluster.agents["vm-0"].runs).To(HaveLen(2))
	})

	// Guards against room that is kept for a task that has waited for long on a VM where its step may never run.
	It("keeps room for a task that has waited for long only where the step may run", func() {
		cluster, _ := newCluster(2, "i-vm-0")
		small := one
		small.Size.MilliProcessors = 3000
		for n := range 2 {
			submitJob(cluster, job.Job{ID: fmt.Sprint("small-", n), Occurrences: 1, Steps: []job.Step{small}})
		}
		cluster.simulate(time.Second)
		large := one
		large.Size.MilliProcessors = 4000
		submitJob(cluster, job.Job{ID: "large", Occurrences: 1, Steps: []job.Step{large}})
		for range 20 {
			cluster.simulate(time.Second)
			cluster.finishAllRuns(messenger.RunDone)
		}
		Expect(cluster.coordinator.JobState(context.Background(), messenger.JobRequest{ID: "large", Queue: "q"}).State).To(Equal("completed"))
	})
})

var _ coordinator.Advisor = (*advisor)(nil)
