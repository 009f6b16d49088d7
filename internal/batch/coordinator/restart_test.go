package coordinator_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/job"
	"bamboohook/internal/fleet/attendant"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/resource"
)

var _ = Describe("Starts without a response", func() {
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
	BeforeEach(func() {
		cluster = newTestCluster(3)
		cluster.simulate(time.Second)
	})

	// Guards against a second run of a task: a repeated start is refused, but an earlier copy of it, which got no response, has started
	// the run. An agent that was restarted refuses orders because it does not know the endpoint's runs yet.
	for name, reason := range map[string]string{
		"the agent does not know the endpoint process":     attendant.ReasonOtherIncarnation,
		"the agent has not listed the runs":                attendant.ReasonNotListed,
		"the agent must not renew leases":                  attendant.ReasonNoGrant,
		"the agent takes the owner's report for too old":   attendant.ReasonStaleReport,
		"the endpoint is about to shut down":               attendant.ReasonDraining,
		"the endpoint has no capacity left":                attendant.ReasonNoCapacity,
		"the endpoint refuses the start because it drains": attendant.ReasonEndpointRefused,
	} {
		It("does not start a task again while an earlier copy of its refused start may have taken effect: "+name, func() {
			for _, a := range cluster.agents {
				a.dropResponses = true
			}
			submit(job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: size}}})
			cluster.coordinator.PlanOnce(context.Background())
			Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.0.0": 1}))
			for _, a := range cluster.agents {
				a.dropResponses = false
				if len(a.runs) > 0 {
					a.refusalReason = reason
				}
			}
			for range 8 {
				cluster.clock.Advance(100 * time.Millisecond)
				for _, a := range cluster.agents {
					if a.refusalReason == "" {
						cluster.sendReport(a)
					}
				}
				cluster.coordinator.Tick()
				cluster.coordinator.PlanOnce(context.Background())
				Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.0.0": 1}))
			}
			for _, a := range cluster.agents {
				a.refusalReason = ""
			}
			cluster.simulate(time.Second)
			Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.0.0": 1}))
		})
	}

	Context("with a restarted agent", func() {
		var restarted *agent
		BeforeEach(func() {
			submit(job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: size}}})
			cluster.simulate(200 * time.Millisecond)
			for _, a := range cluster.agents {
				if len(a.runs) > 0 {
					restarted = a
				}
			}
			Expect(restarted).NotTo(BeNil())
		})

		// Guards against a second run of a task whose run is missing in a report that an earlier agent process composed before the run was
		// started, and that arrives after a report of its successor.
		It("ignores the report of an earlier agent process that arrives after a report of its successor", func() {
			late := restarted.composeReport()
			late.Runs = nil
			restarted.restart("h")
			restarted.runsUnlisted = false
			cluster.simulate(600 * time.Millisecond)
			cluster.coordinator.Report(late)
			cluster.coordinator.PlanOnce(context.Background())
			Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.0.0": 1}))
			cluster.simulate(time.Second)
			Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.0.0": 1}))
			starts := 0
			for _, a := range cluster.agents {
				starts += len(a.starts)
			}
			Expect(starts).To(Equal(1))
		})

		// Guards against a new owner that counts a VM's runs as known because of a report that the agent composed before it knew the new owner.
		// The agent may have executed orders of the previous owner after that.
		It("does not use a report that was composed before the agent knew the owner's epoch", func() {
			restarted.finishRun("a.0.0.0", messenger.RunFailed)
			restarted.state = messenger.VMDraining
			early := restarted.composeReport()
			restarted.runs["a.0.0.0"] = messenger.Run{Task: "a.0.0.0", Number: 2}
			cluster.takeOver()
			for _, a := range cluster.agents {
				if a != restarted {
					cluster.sendReport(a)
				}
			}
			cluster.coordinator.Report(early)
			cluster.coordinator.Tick()
			cluster.coordinator.PlanOnce(context.Background())
			Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.0.0": 1}))
			cluster.simulate(time.Second)
			Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.0.0": 1}))
		})

		// Guards against a run that is never counted as lost, because the owner waits for a report number that the earlier agent process had
		// announced.
		It("ignores the response to orders of an earlier agent process after a report of its successor", func() {
			for _, a := range cluster.agents {
				for range 50 {
					cluster.sendReport(a)
				}
			}
			cluster.beforeResponse = func(a *agent) {
				cluster.beforeResponse = nil
				a.restart("h")
				a.runs = map[string]messenger.Run{}
				cluster.sendReport(a)
			}
			cluster.finishAllRuns(messenger.RunFailed)
			cluster.simulate(time.Second)
			for _, a := range cluster.agents {
				a.runsUnlisted = false
			}
			cluster.simulate(2 * time.Second)
			Expect(cluster.beforeResponse).To(BeNil())
			Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.0.0": 1}))
		})
	})
})
