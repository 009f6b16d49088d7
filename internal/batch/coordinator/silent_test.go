package coordinator_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/job"
	"bamboohook/internal/fleet/attendant"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/resource"
)

var _ = Describe("A VM whose endpoint is silent", func() {
	// Guards against a task that never starts again: its start got no response, and the agent then refuses the stop, since its endpoint is silent for good.
	It("keeps no run whose start got no response, although the agent refuses all orders", func() {
		cluster := newTestCluster(2)
		cluster.simulate(time.Second)
		silent, other := cluster.agents["vm-0"], cluster.agents["vm-1"]
		silent.startsUnknown, silent.dropResponses = true, true
		submitJob(cluster, job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 2, Size: resource.Amount{MilliProcessors: 3000, MemoryBytes: 10}}}})
		cluster.simulate(2 * time.Second)
		Expect(silent.runs).To(BeEmpty())
		Expect(other.runs).To(HaveLen(1))
		silent.refusalReason, silent.state, silent.runsUnlisted = attendant.ReasonNotListed, messenger.VMSilent, true
		cluster.simulate(time.Second)
		cluster.finishAllRuns(messenger.RunDone)
		cluster.simulate(10 * time.Second)
		Expect(other.runs).To(HaveLen(1), "the other task starts on the VM that is left")
	})
})
