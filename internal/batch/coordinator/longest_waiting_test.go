package coordinator_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/coordinator"
	"bamboohook/internal/batch/job"
)

var _ = Describe("The log of the task that has waited longest", func() {
	// Guards against a crash of the owner: the log of the task that has waited longest asked the rule of an earlier plan about a VM that this plan lacked.
	It("logs why a task of an advised queue waits after a VM has joined while no task waited", func() {
		cluster := newTestCluster(2)
		advised := cluster.queue
		advised.Advised = true
		cluster.coordinator.Advisor, cluster.deferCalls = &advisor{allowed: []string{"i-vm-0"}, asked: map[string]int{}}, true
		cluster.configurationVersion++
		cluster.coordinator.Configure(cluster.configurationVersion, map[string]coordinator.Queue{"q": advised, "plain": cluster.queue})
		cluster.agents["vm-1"].silent = true
		cluster.simulate(time.Second)
		submitJob(cluster, job.Job{ID: "first", Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: taskSize(100)}}})
		cluster.simulate(3 * time.Second)
		Expect(cluster.countRuns()["first.0.0.0"]).To(Equal(1))
		cluster.agents["vm-1"].silent = false
		cluster.simulate(3 * time.Second)
		submitJob(cluster, job.Job{ID: "second", Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: taskSize(100)}}})
		cluster.clock.Advance(1100 * time.Millisecond)
		Expect(cluster.coordinator.Tick).NotTo(Panic())
	})

	// Guards against a crash of an entry that becomes the owner again while a task of an advised queue waits.
	It("logs why a task of an advised queue waits after this entry has become the owner again", func() {
		cluster := newTestCluster(2)
		advised := cluster.queue
		advised.Advised = true
		cluster.coordinator.Advisor, cluster.deferCalls = &advisor{allowed: []string{"i-vm-0"}, asked: map[string]int{}}, true
		queues := map[string]coordinator.Queue{"q": advised, "plain": cluster.queue}
		cluster.configurationVersion++
		cluster.coordinator.Configure(cluster.configurationVersion, queues)
		cluster.simulate(time.Second)
		// The second task has no room.
		submitJob(cluster, job.Job{ID: "first", Occurrences: 1, Steps: []job.Step{{TaskCount: 3, Size: taskSize(4000)}}})
		cluster.simulate(3 * time.Second)
		epoch, _ := cluster.coordinator.Owning()
		cluster.coordinator.Resign(epoch, "test")
		cluster.coordinator.TakeOwnership(epoch+2, cluster.journal.newestRecords())
		for task := range cluster.agents["vm-0"].runs {
			cluster.agents["vm-0"].finishRun(task, "done")
		}
		// One agent does not answer, so not all runs of earlier owners are known.
		cluster.agents["vm-1"].silent = true
		Expect(func() { cluster.simulate(6 * time.Second) }).NotTo(Panic())
	})
})
