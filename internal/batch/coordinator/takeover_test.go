package coordinator_test

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/job"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/storekeeper"
	"bamboohook/resource"
)

// The first three tests replace endpoint processes. In the others, a new owner takes over. It only starts tasks of restored jobs when it knows
// which of these tasks are already running.
var _ = Describe("Replaced endpoint processes and takeovers", func() {
	var cluster *testCluster
	size := resource.Amount{MilliProcessors: 2000, MemoryBytes: 10}
	submit := func(j job.Job) {
		responded := make(chan struct{})
		go func() {
			cluster.coordinator.Submit(context.Background(), messenger.JobRequest{Job: j, Queue: "q"})
			close(responded)
		}()
		Eventually(func() chan struct{} { cluster.journal.flush(); return responded }).Should(BeClosed())
	}
	twoStepJob := job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 2, Size: size}, {TaskCount: 1, Size: size, After: []int{0}}}}
	BeforeEach(func() {
		cluster = newTestCluster(3)
		cluster.simulate(time.Second)
	})

	// Guards against a second run of a task. While an endpoint process is replaced, a start may reach the new process before the agent has
	// listed the runs of that process.
	It("does not restart a task if the agent later finds its run in the new endpoint process", func() {
		submit(twoStepJob)
		cluster.simulate(200 * time.Millisecond)
		Expect(cluster.countRuns()).To(HaveLen(2))
		for _, a := range cluster.agents {
			if len(a.runs) > 0 {
				a.incarnation, a.runsUnlisted = 200, true
			}
		}
		cluster.simulate(600 * time.Millisecond)
		for _, a := range cluster.agents {
			a.runsUnlisted = false
		}
		cluster.simulate(600 * time.Millisecond)
		Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.0.0": 1, "a.0.0.1": 1}))
		for _, a := range cluster.agents {
			Expect(a.stops).To(BeEmpty())
		}
	})
	It("starts a task elsewhere if the new endpoint process ends before its runs are listed", func() {
		submit(twoStepJob)
		cluster.simulate(200 * time.Millisecond)
		for _, a := range cluster.agents {
			if len(a.runs) > 0 {
				a.incarnation, a.runsUnlisted, a.runs = 200, true, map[string]messenger.Run{}
				cluster.sendReport(a)
				a.state = messenger.VMNotListening
			}
		}
		cluster.simulate(600 * time.Millisecond)
		Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.0.0": 1, "a.0.0.1": 1}))
	})
	It("restarts a task that the new endpoint process does not run", func() {
		submit(twoStepJob)
		cluster.simulate(200 * time.Millisecond)
		for _, a := range cluster.agents {
			if len(a.runs) > 0 {
				a.incarnation, a.runs = 200, map[string]messenger.Run{}
			}
		}
		cluster.simulate(600 * time.Millisecond)
		Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.0.0": 1, "a.0.0.1": 1}))
	})
	// Guards against one odd record that makes each new owner end, or that hides the jobs in the other records.
	for name, value := range map[string]string{
		"no JSON": "\xff", "deeply nested": strings.Repeat("[", 10_000) + strings.Repeat("]", 10_000), "null": "null", "an empty object": "{}",
		"the job of another key": `{"job":{"id":"z","queue":"q","steps":[{"tasks":1}],"occurrences":1}}`,
		"a job of another type":  `{"job":5}`,
		"a huge job":             `{"job":{"id":"odd","queue":"q","steps":[{"tasks":1000000000}],"occurrences":1}}`,
	} {
		It("takes over the other jobs if the record of one job contains "+name, func() {
			submit(twoStepJob)
			cluster.simulate(200 * time.Millisecond)
			for _, key := range []string{"job/odd", "progress/b", "pressures", "unknown"} {
				cluster.journal.records = append(cluster.journal.records, storekeeper.Record{Key: key, Value: []byte(value)})
			}
			cluster.takeOver()
			cluster.simulate(time.Second)
			Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.0.0": 1, "a.0.0.1": 1}))
			Expect(cluster.coordinator.JobState(context.Background(), messenger.JobRequest{ID: "a", Queue: "q"}).Outcome).To(Equal(messenger.OutcomeDone))
			for _, id := range []string{"odd", "z", ""} {
				Expect(cluster.coordinator.JobState(context.Background(), messenger.JobRequest{ID: id, Queue: "q"}).Outcome).To(Equal(messenger.OutcomeNotFound), id)
			}
		})
	}
	// Guards against a job that is shown as queued after it was shown as running, because the owner that has seen its runs fails and the agents have
	// not reported to the next one.
	It("shows a job as running that the previous owner has shown as running", func() {
		submit(twoStepJob)
		cluster.simulate(200 * time.Millisecond)
		Expect(cluster.countRuns()).To(HaveLen(2))
		Expect(cluster.awaitState("a")).To(Equal("running"))
		for _, a := range cluster.agents {
			a.silent = true
		}
		cluster.takeOver()
		Expect(cluster.awaitState("a")).To(Equal("running"))
	})
	// Guards against the same while the store fails: what cannot be recorded is not shown.
	It("shows a job as queued while the start of the job cannot be recorded", func() {
		submit(twoStepJob)
		cluster.simulate(200 * time.Millisecond)
		state := func(ctx context.Context) string {
			return cluster.coordinator.JobState(ctx, messenger.JobRequest{ID: "a", Queue: "q"}).State
		}
		cluster.journal.blocked, cluster.journal.degraded = true, true
		startedAt := time.Now()
		Expect(state(context.Background())).To(Equal("queued"))
		Expect(time.Since(startedAt)).To(BeNumerically("<", 400*time.Millisecond), "JobState must not wait for a store that fails")
		cluster.journal.degraded = false
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		Expect(state(ctx)).To(Equal("queued"))
		Expect(ctx.Err()).NotTo(HaveOccurred(), "JobState must leave time for its response")
		for _, a := range cluster.agents {
			a.silent = true
		}
		cluster.takeOver()
		Expect(state(context.Background())).To(Equal("queued"))
	})
	// Guards against an outdated response of an owner that loses the ownership while it waits for the record.
	It("does not show the state of a job after the end of the ownership", func() {
		submit(twoStepJob)
		cluster.simulate(200 * time.Millisecond)
		responses := make(chan messenger.JobResponse, 1)
		go func() {
			responses <- cluster.coordinator.JobState(context.Background(), messenger.JobRequest{ID: "a", Queue: "q"})
		}()
		Consistently(responses, "50ms").ShouldNot(Receive())
		epoch, _ := cluster.coordinator.Owning()
		cluster.coordinator.Resign(epoch, "test")
		Eventually(responses, "200ms").Should(Receive(HaveField("Outcome", messenger.OutcomeNotOwner)))
	})
	// Guards against a job that is shown in an earlier state, or as unknown, by an owner that goes on after a pause and has not heard of its successor.
	It("does not show the state of a job while another entry may have become the owner in a pause", func() {
		submit(twoStepJob)
		cluster.simulate(200 * time.Millisecond)
		cluster.paused = true
		for _, id := range []string{"a", "unknown"} {
			response := cluster.coordinator.JobState(context.Background(), messenger.JobRequest{ID: id, Queue: "q"})
			Expect(response.Outcome).To(Equal(messenger.OutcomeNotOwner), id)
			Expect(response.MayHaveEffect).To(BeFalse())
		}
		cluster.paused = false
		Expect(cluster.awaitState("a")).To(Equal("running"))
	})
	// Guards against writes to the store that no caller needs.
	It("records the start of a job once, and only if its state is requested", func() {
		submit(twoStepJob)
		cluster.simulate(time.Second)
		records := func() (count int) {
			for _, r := range cluster.journal.records {
				if r.Key == "progress/a" {
					count++
				}
			}
			return count
		}
		Expect(records()).To(BeZero())
		for range 5 {
			Expect(cluster.awaitState("a")).To(Equal("running"))
			cluster.simulate(200 * time.Millisecond)
		}
		Expect(records()).To(Equal(1))
	})
	It("does not wait for a VM whose endpoint process ended before the takeover", func() {
		cluster.agents["vm-2"].state = messenger.VMNotListening
		cluster.simulate(400 * time.Millisecond)
		cluster.agents["vm-2"].silent = true
		submit(twoStepJob)
		cluster.takeOver()
		cluster.simulate(600 * time.Millisecond)
		Expect(cluster.countRuns()).To(HaveLen(2))
	})
	It("does not wait for a restarted agent that reports that its endpoint process has ended", func() {
		submit(twoStepJob)
		a := cluster.agents["vm-2"]
		a.restart("h")
		a.state = messenger.VMNotListening
		cluster.takeOver()
		cluster.simulate(600 * time.Millisecond)
		Expect(cluster.countRuns()).To(HaveLen(2))
	})
	It("waits for a silent VM whose endpoint process was started again before the takeover, because the VM may have runs", func() {
		cluster.agents["vm-2"].state = messenger.VMNotListening
		cluster.simulate(400 * time.Millisecond)
		cluster.agents["vm-2"].state, cluster.agents["vm-2"].incarnation = messenger.VMUp, 200
		cluster.simulate(400 * time.Millisecond)
		cluster.agents["vm-2"].silent = true
		submit(twoStepJob)
		cluster.takeOver()
		cluster.simulate(600 * time.Millisecond)
		Expect(cluster.countRuns()).To(BeEmpty())
		cluster.simulate(7 * time.Second)
		Expect(cluster.countRuns()).To(HaveLen(2))
	})
	It("starts a step after the steps before it were completed by runs that the new owner has found", func() {
		submit(twoStepJob)
		cluster.simulate(200 * time.Millisecond)
		for _, a := range cluster.agents {
			a.silent = len(a.runs) == 0
		}
		Expect(cluster.countRuns()).To(HaveLen(2))
		cluster.takeOver()
		cluster.simulate(400 * time.Millisecond)
		cluster.finishAllRuns(messenger.RunDone)
		cluster.simulate(400 * time.Millisecond)
		Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.1.0": 1}))
	})
	It("does not start a step that the previous owner may have started on a silent VM", func() {
		submit(twoStepJob)
		cluster.simulate(200 * time.Millisecond)
		cluster.journal.blocked = true
		cluster.finishAllRuns(messenger.RunDone)
		cluster.simulate(400 * time.Millisecond)
		Expect(cluster.countRuns()).To(HaveLen(1))
		for _, a := range cluster.agents {
			a.silent = len(a.runs) == 1
		}
		cluster.takeOver()
		cluster.simulate(2 * time.Second)
		Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.1.0": 1}))
	})
	// Guards against a second run of a task. The previous owner starts a step as soon as the runs of the steps before it have ended, also while
	// it cannot record their results. Their results alone do not tell a new owner that nobody has started the step.
	It("does not start a step whose previous steps have ended with unrecorded results until it knows all runs", func() {
		submit(twoStepJob)
		cluster.simulate(200 * time.Millisecond)
		cluster.journal.blocked = true
		var last *agent
		for _, a := range cluster.agents {
			if len(a.runs) == 0 {
				last = a
			} else {
				a.state = messenger.VMDraining
			}
		}
		Expect(last).NotTo(BeNil(), "a VM without runs of the first step")
		cluster.simulate(400 * time.Millisecond)
		cluster.finishAllRuns(messenger.RunDone)
		cluster.simulate(400 * time.Millisecond)
		Expect(last.runs).To(HaveKey("a.0.1.0"))
		last.silent = true
		for _, a := range cluster.agents {
			a.state = messenger.VMUp
		}
		cluster.takeOver()
		cluster.simulate(2 * time.Second)
		Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.1.0": 1}))
		last.silent = false
		cluster.simulate(time.Second)
		Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.1.0": 1}))
	})
	// The next two tests guard against a second run of a task: the previous owner has seen that a step is done from another run than the one that the
	// new owner finds, and has started the next step on a VM that does not respond.
	It("does not start a step after a gang that the previous owner may have seen done by a result of another member", func() {
		gang := job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 2, Size: resource.Amount{MilliProcessors: 3000, MemoryBytes: 10}, Gang: true}, {TaskCount: 1, Size: size, After: []int{0}}}}
		submit(gang)
		cluster.simulate(200 * time.Millisecond)
		cluster.journal.blocked = true
		first, second, last := cluster.agentWith("a.0.0.0"), cluster.agentWith("a.0.0.1"), cluster.idleAgent()
		first.state, second.state = messenger.VMDraining, messenger.VMDraining
		cluster.simulate(400 * time.Millisecond)
		first.finishRun("a.0.0.0", messenger.RunDone)
		cluster.simulate(400 * time.Millisecond)
		Expect(last.runs).To(HaveKey("a.0.1.0"))
		last.silent, first.silent = true, true
		first.state, second.state = messenger.VMUp, messenger.VMUp
		cluster.takeOver()
		cluster.simulate(400 * time.Millisecond)
		first.silent = false
		cluster.simulate(2 * time.Second)
		Expect(cluster.countRuns()).To(HaveKeyWithValue("a.0.1.0", 1))
	})
	It("does not start a step after a task that the previous owner may have seen done by an earlier run", func() {
		submit(job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: size}, {TaskCount: 1, Size: size, After: []int{0}}}})
		cluster.simulate(200 * time.Millisecond)
		first := cluster.agentWith("a.0.0.0")
		first.finishRun("a.0.0.0", messenger.RunDone)
		first.silent = true
		cluster.simulate(8 * time.Second)
		second, last := cluster.agentWith("a.0.0.0"), cluster.idleAgent()
		cluster.journal.blocked = true
		second.silent, first.silent, first.state = true, false, messenger.VMDraining
		cluster.simulate(time.Second)
		Expect(last.runs).To(HaveKey("a.0.1.0"))
		last.silent, first.silent, second.silent = true, true, false
		first.state = messenger.VMUp
		cluster.takeOver()
		cluster.simulate(400 * time.Millisecond)
		second.finishRun("a.0.0.0", messenger.RunDone)
		cluster.simulate(2 * time.Second)
		Expect(cluster.countRuns()).To(HaveKeyWithValue("a.0.1.0", 1))
	})
	// Guards against a cancelled job that runs on, and against an accepted job that is shown as missing: an owner that was frozen, or cut off from the
	// store, may have a successor that has accepted the job. What it does not know shows nothing.
	It("does not call a job missing while another entry may own the jobs", func() {
		cluster.mayGrantLeases = false
		ctx, request := context.Background(), messenger.JobRequest{ID: "b", Queue: "q"}
		Expect(cluster.coordinator.Cancel(ctx, request).Outcome).NotTo(Equal(messenger.OutcomeNotFound))
		Expect(cluster.coordinator.JobState(ctx, request).Outcome).NotTo(Equal(messenger.OutcomeNotFound))
	})
	// Guards against a second run of a task: an owner that does not know of an earlier run of a task numbers its own run 1 as well. The next owner then
	// takes that run for the first one, although the late result of the earlier run has completed the task for the previous owner.
	It("does not start a step after a task whose runs under two earlier owners have the same number", func() {
		submit(job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: size}, {TaskCount: 1, Size: size, After: []int{0}}}})
		cluster.simulate(200 * time.Millisecond)
		first := cluster.agentWith("a.0.0.0")
		first.finishRun("a.0.0.0", messenger.RunDone)
		first.silent = true
		cluster.takeOver()
		cluster.simulate(9 * time.Second)
		second, last := cluster.agentWith("a.0.0.0"), cluster.idleAgent()
		cluster.journal.blocked = true
		second.silent, first.silent, first.state = true, false, messenger.VMDraining
		cluster.simulate(time.Second)
		Expect(last.runs).To(HaveKey("a.0.1.0"))
		last.silent, first.silent, second.silent = true, true, false
		first.state = messenger.VMUp
		cluster.takeOver()
		cluster.simulate(400 * time.Millisecond)
		second.finishRun("a.0.0.0", messenger.RunDone)
		cluster.simulate(2 * time.Second)
		Expect(cluster.countRuns()).To(HaveKeyWithValue("a.0.1.0", 1))
	})
	// Guards against a start beyond the attempts of the queue. The start of a first run is not recorded, so a new owner that does not hear of it gives
	// the next run on another VM the same number.
	It("counts the failures of two runs that two owners have given the same number", func() {
		submit(job.Job{ID: "a", Queue: "q", Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: size}}})
		cluster.simulate(200 * time.Millisecond)
		first := cluster.agentWith("a.0.0.0")
		first.silent = true
		first.finishRun("a.0.0.0", messenger.RunFailed)
		cluster.takeOver()
		cluster.simulate(9 * time.Second)
		second := cluster.agentWith("a.0.0.0")
		Expect(second.runs["a.0.0.0"].Number).To(Equal(first.results[0].Number), "both owners gave the same number")
		second.finishRun("a.0.0.0", messenger.RunFailed)
		cluster.simulate(400 * time.Millisecond)
		Expect(cluster.countRuns()).To(HaveKey("a.0.0.0"), "one failure is within the attempts")
		for range 2 {
			first.silent = false
			reported := append([]messenger.RunResult{}, first.results...)
			cluster.simulate(time.Second)
			state := cluster.coordinator.JobState(context.Background(), messenger.JobRequest{ID: "a", Queue: "q"})
			Expect(state.State).To(Equal("failed"))
			Expect(cluster.countRuns()).To(BeEmpty())
			first.results = reported
			cluster.takeOver()
		}
	})
	// Guards against a failure that counts twice because a new owner receives it again, although the previous one has recorded it.
	It("counts a failure once that the previous owner has recorded and the endpoint still lists", func() {
		submit(job.Job{ID: "a", Queue: "q", Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: size}}})
		cluster.simulate(200 * time.Millisecond)
		first := cluster.agentWith("a.0.0.0")
		first.finishRun("a.0.0.0", messenger.RunFailed)
		reported := append([]messenger.RunResult{}, first.results...)
		cluster.simulate(time.Second)
		for range 3 {
			first.results = append([]messenger.RunResult{}, reported...)
			cluster.takeOver()
			cluster.simulate(time.Second)
			Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.0.0": 1}))
		}
	})
	// Guards against a grant that lets runs go on at a VM whose runs the new owner does not know, beyond the time after which it starts their
	// tasks elsewhere.
	It("lets an agent renew leases only after it has listed its runs, until all runs are known", func() {
		a := cluster.agents["vm-0"]
		a.restart("h")
		cluster.takeOver()
		Expect(cluster.sendReport(a).Granted).To(BeFalse())
		a.runsUnlisted = false
		Expect(cluster.sendReport(a).Granted).To(BeTrue())
	})
	// Guards against a second run of a task that runs at the endpoint of a restarted agent, in a row of which not even the task can be read.
	It("starts restored tasks only when a run that an agent does not know can have no lease any more", func() {
		submit(job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: size}}})
		cluster.simulate(200 * time.Millisecond)
		a := cluster.agentWith("a.0.0.0")
		a.restart("h")
		a.runsUnlisted, a.unnamed, a.unknownRuns = false, true, true
		cluster.takeOver()
		Expect(cluster.sendReport(a).Granted).To(BeFalse())
		cluster.simulate(6 * time.Second)
		Expect(cluster.sendReport(a).Granted).To(BeFalse())
		starts := 0
		for _, other := range cluster.agents {
			starts += len(other.starts)
		}
		Expect(starts).To(Equal(1))
		a.finishRun("a.0.0.0", messenger.RunLeaseExpired)
		a.state = messenger.VMDraining
		cluster.simulate(2 * time.Second)
		Expect(cluster.sendReport(a).Granted).To(BeTrue())
		Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.0.0": 1}))
	})
})
