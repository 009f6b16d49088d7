package coordinator_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/job"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/resource"
)

var _ = Describe("Gangs", func() {
	// Guards against a gang that never works: the endpoints let only runs with the same number work together, and end the others as alone.
	It("gives the runs of all tasks of a gang the same number, in each attempt", func() {
		cluster := newTestCluster(3)
		cluster.simulate(time.Second)
		size := resource.Amount{MilliProcessors: 2000, MemoryBytes: 10}
		responded := make(chan struct{})
		go func() {
			gang := job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 3, Size: size, Gang: true}}}
			cluster.coordinator.Submit(context.Background(), messenger.JobRequest{Job: gang, Queue: "q"})
			close(responded)
		}()
		Eventually(func() chan struct{} { cluster.journal.flush(); return responded }).Should(BeClosed())
		for attempt := 1; attempt <= 3; attempt++ {
			cluster.simulate(time.Second)
			for _, task := range []string{"a.0.0.0", "a.0.0.1", "a.0.0.2"} {
				Expect(cluster.countRuns()).To(HaveKeyWithValue(task, 1))
				a := cluster.agentWith(task)
				Expect(a.runs[task].Number).To(Equal(attempt), task)
				a.finishRun(task, messenger.RunAlone)
			}
		}
	})

	// Guards against runs of a gang that wait at their endpoints until they end as alone, because the start of another one was refused.
	It("stops the other runs of a gang when one has not started", func() {
		cluster := newTestCluster(4)
		cluster.simulate(time.Second)
		refusing := cluster.agents["vm-2"]
		refusing.refusalReason = "report-too-old"
		size := resource.Amount{MilliProcessors: 4000, MemoryBytes: 10}
		submitJob(cluster, job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 4, Size: size, Gang: true}}})
		cluster.simulate(500 * time.Millisecond)
		Expect(refusing.runs).To(BeEmpty())
		refusing.refusalReason = ""
		cluster.simulate(time.Second)
		Expect(cluster.countRuns()).To(HaveLen(4))
		numbers := map[int]int{}
		for _, a := range cluster.agents {
			for _, r := range a.runs {
				numbers[r.Number]++
			}
		}
		Expect(numbers).To(HaveLen(1), "all runs of the gang have the same number")
	})

	// Guards against a gang that never starts again: some of its runs have ended, and the others go on without them.
	for _, outcome := range []string{messenger.RunFailed, messenger.RunStopped, messenger.RunLeaseExpired, messenger.RunBroken, messenger.RunAlone} {
		It("starts a gang again after the end of one of its runs as "+outcome, func() {
			cluster := newTestCluster(4)
			cluster.queue.Attempts = 0
			cluster.configure()
			cluster.simulate(time.Second)
			size := resource.Amount{MilliProcessors: 4000, MemoryBytes: 10}
			submitJob(cluster, job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 4, Size: size, Gang: true}}})
			cluster.simulate(time.Second)
			cluster.agentWith("a.0.0.1").finishRun("a.0.0.1", outcome)
			cluster.simulate(time.Second)
			Expect(cluster.countRuns()).To(HaveLen(4))
			for _, a := range cluster.agents {
				for _, r := range a.runs {
					Expect(r.Number).To(Equal(2))
				}
			}
		})
	}

	// Guards against a gang that starts more often than the failure limit allows, because its members fail in turn.
	It("counts the failures of all members of a gang together", func() {
		cluster := newTestCluster(3)
		cluster.queue.Attempts = 3
		cluster.configure()
		cluster.simulate(time.Second)
		size := resource.Amount{MilliProcessors: 2000, MemoryBytes: 10}
		submitJob(cluster, job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 3, Size: size, Gang: true}}})
		state := func() string {
			return cluster.coordinator.JobState(context.Background(), messenger.JobRequest{ID: "a", Queue: "q"}).State
		}
		for _, failing := range []string{"a.0.0.0", "a.0.0.1", "a.0.0.2"} {
			Expect(state()).NotTo(Equal("failed"))
			cluster.simulate(time.Second)
			for _, task := range []string{"a.0.0.0", "a.0.0.1", "a.0.0.2"} {
				outcome := messenger.RunBroken
				if task == failing {
					outcome = messenger.RunFailed
				}
				cluster.agentWith(task).finishRun(task, outcome)
			}
			cluster.simulate(200 * time.Millisecond)
			if failing == "a.0.0.1" {
				cluster.takeOver()
			}
		}
		cluster.simulate(time.Second)
		Expect(state()).To(Equal("failed"))
		Expect(cluster.countRuns()).To(BeEmpty())
	})

	// Guards against tasks that never start again, and against a gang whose members wait for each other: a new owner numbers their runs from 1 again if no
	// record contains a number, and an endpoint on which such a run has ended refuses it as old.
	for _, gang := range []bool{false, true} {
		It(fmt.Sprintf("gets past the run numbers of an earlier owner that are not recorded, gang: %t", gang), func() {
			cluster := newTestCluster(3)
			cluster.simulate(time.Second)
			size := resource.Amount{MilliProcessors: 4000, MemoryBytes: 10}
			submitJob(cluster, job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 3, Size: size, Gang: gang}}})
			cluster.journal.blocked = true
			cluster.simulate(time.Second)
			// On two of the VMs the runs end, and the results are forgotten. The third one loses its endpoint process.
			for name, a := range cluster.agents {
				a.refusesOld = true
				for task := range a.runs {
					a.finishRun(task, messenger.RunLeaseExpired)
				}
				a.results = nil
				if name == "vm-2" {
					a.incarnation, a.endedNumbers = 101, nil
				}
			}
			cluster.takeOver()
			cluster.simulate(4 * time.Second)
			Expect(cluster.countRuns()).To(HaveLen(3))
			numbers := map[int]int{}
			for _, a := range cluster.agents {
				for _, r := range a.runs {
					numbers[r.Number]++
				}
			}
			if gang {
				Expect(numbers).To(HaveLen(1))
			}
			cluster.finishAllRuns(messenger.RunDone)
			cluster.simulate(time.Second)
			Expect(cluster.coordinator.JobState(context.Background(), messenger.JobRequest{ID: "a", Queue: "q"}).State).To(Equal("completed"))
		})
	}
})
