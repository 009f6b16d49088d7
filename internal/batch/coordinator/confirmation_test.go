package coordinator_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/job"
	"bamboohook/resource"
)

var _ = Describe("Agent processes that refuse starts", func() {
	// refusal is how long a new agent process refuses starts if it could not ask all entries for the owner.
	const refusal = 2 * time.Second
	var cluster *testCluster
	submit := func() {
		submitJob(cluster, job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: resource.Amount{MilliProcessors: 2000, MemoryBytes: 10}}}})
	}
	restartAgents := func(generation string) {
		for _, a := range cluster.agents {
			a.restart(generation)
			a.runsUnlisted, a.startsRefusedUntil = false, cluster.clock.Now().Add(refusal)
		}
	}
	planFor := func(d time.Duration) {
		for ; d > 0; d -= 10 * time.Millisecond {
			cluster.clock.Advance(10 * time.Millisecond)
			cluster.coordinator.PlanOnce(context.Background())
			cluster.journal.flush()
		}
	}
	report := func() {
		for _, a := range cluster.agents {
			cluster.sendReport(a)
		}
	}
	refusedStarts := func() int {
		refused := 0
		for _, a := range cluster.agents {
			refused += a.refusedStarts
		}
		return refused
	}
	BeforeEach(func() {
		cluster = newTestCluster(2)
		cluster.simulate(time.Second)
		restartAgents("h")
		submit()
	})

	// Guards against starts that agents refuse because they could not ask all entries: the owner found that out by sending the starts, again and again.
	It("get no start until the time in their report is over", func() {
		for range 10 {
			report()
			planFor(190 * time.Millisecond)
			Expect(cluster.countRuns()).To(BeEmpty())
		}
		report()
		planFor(300 * time.Millisecond)
		Expect(cluster.countRuns()).To(HaveLen(1))
		Expect(refusedStarts()).To(BeZero())
	})

	// Guards against a recovery that waits for the time-out although the store has shown that the owner had no successor.
	It("get starts with the proof as soon as the store has confirmed the owner, without another report", func() {
		report()
		planFor(20 * time.Millisecond)
		Expect(cluster.countRuns()).To(BeEmpty())
		cluster.confirmedAt = cluster.clock.Now()
		planFor(20 * time.Millisecond)
		Expect(cluster.countRuns()).To(HaveLen(1))
		Expect(refusedStarts()).To(BeZero())
	})

	It("learn from the response to a report that the store has confirmed the owner", func() {
		report()
		cluster.clock.Advance(time.Millisecond)
		cluster.confirmedAt = cluster.clock.Now()
		report()
		for _, a := range cluster.agents {
			Expect(a.startsRefusedUntil).To(BeZero())
		}
	})

	// Guards against a proof by a contact with the store from before the first report: a successor may have claimed the ownership since, and the previous
	// agent process may have reported to it.
	It("get no proof from a contact with the store that began before their first report", func() {
		cluster.confirmedAt = cluster.clock.Now()
		report()
		for range 9 {
			planFor(200 * time.Millisecond)
			report()
		}
		for _, a := range cluster.agents {
			Expect(a.startsRefusedUntil).NotTo(BeZero())
		}
		Expect(cluster.countRuns()).To(BeEmpty())
	})

	// Guards against a proof for one process that is applied to the next one of the VM.
	It("get no proof that was meant for the previous process of the VM", func() {
		report()
		cluster.clock.Advance(time.Millisecond)
		cluster.confirmedAt = cluster.clock.Now()
		restartAgents("i")
		report()
		planFor(500 * time.Millisecond)
		Expect(cluster.countRuns()).To(BeEmpty())
	})

	// Guards against a load of the store by requests for the proof: one request serves all agents, and there are none without such agents.
	It("make the owner ask the store at once, in a limited number of requests", func() {
		asked := 0
		cluster.confirm = func() error {
			asked++
			return errNoResponse
		}
		planFor(100 * time.Millisecond)
		Expect(asked).To(BeZero())
		report()
		planFor(1900 * time.Millisecond)
		Expect(asked).To(BeNumerically("~", 19, 1))
		planFor(time.Second)
		Expect(asked).To(BeNumerically("<=", 21))
		cluster.confirm = func() error {
			asked++
			cluster.confirmedAt = cluster.clock.Now()
			return nil
		}
		asked = 0
		restartAgents("i")
		report()
		planFor(time.Second)
		Expect(asked).To(Equal(1))
		Expect(cluster.countRuns()).To(HaveLen(1))
		Expect(refusedStarts()).To(BeZero())
	})
})
