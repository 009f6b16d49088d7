package coordinator_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/job"
)

var _ = Describe("A task whose starts were refused", func() {
	for name, refusedFor := range map[string]time.Duration{"for 10 s (control)": 10 * time.Second, "for 16 s": 16 * time.Second} {
		// Guards against a task that does not start although a VM is empty: the VM refused starts for a while, and room on another VM is kept for the task, whose
		// run lasts for hours.
		It("starts on an empty VM whose agent refused starts "+name+", while the other VM stays full", func() {
			cluster := newTestCluster(2)
			cluster.simulate(time.Second)
			whole := job.Step{TaskCount: 1, Size: taskSize(4000), Estimate: 5 * time.Second}
			submitJob(cluster, job.Job{ID: "hours", Occurrences: 1, Steps: []job.Step{whole}})
			cluster.simulate(time.Second)
			idle := cluster.idleAgent()
			idle.refusalReason = "no-grant"
			submitJob(cluster, job.Job{ID: "whole", Occurrences: 1, Steps: []job.Step{whole}})
			cluster.simulate(refusedFor)
			idle.refusalReason = ""
			started := time.Duration(-1)
			for passed := time.Duration(0); passed < 5*time.Minute; passed += time.Second {
				if cluster.countRuns()["whole.0.0.0"] > 0 {
					started = passed
					break
				}
				cluster.simulate(time.Second)
			}
			Expect(started).To(BeNumerically(">=", 0), "not started 5 min after the VM accepts starts again")
		})
	}
})
