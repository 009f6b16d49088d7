package coordinator_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/job"
	"bamboohook/resource"
)

var _ = Describe("Paces that no agent has confirmed", func() {
	const bestEffortTask, longRunningTask = "f.0.0.0", "s.0.0.0"
	var (
		cluster *testCluster
		a       *agent
	)
	size := resource.Amount{MilliProcessors: 2000, MemoryBytes: 10}
	// measure sets the measurements of the two runs. The best-effort task, which uses its processors at any pace, makes the latency of the other one
	// eight times as long.
	measure := func() {
		for task, r := range a.runs {
			if task == longRunningTask {
				r.Progress, r.LatencyOrUsage = 100, 15
				if _, ok := a.runs[bestEffortTask]; ok {
					r.LatencyOrUsage = 120
				}
			} else {
				r.Progress, r.LatencyOrUsage = 50, 2000
			}
			a.runs[task] = r
		}
	}
	run := func(rounds int) {
		for range rounds {
			measure()
			cluster.simulate(200 * time.Millisecond)
		}
	}
	BeforeEach(func() {
		cluster = newTestCluster(1)
		a = cluster.agents["vm-0"]
		cluster.simulate(time.Second)
		submitJob(cluster, job.Job{ID: "s", Occurrences: 1, Steps: []job.Step{{
			TaskCount: 1, Size: size, LongRunning: true, Program: "x", TailTarget: 50 * time.Millisecond,
		}}})
		run(5)
		submitJob(cluster, job.Job{ID: "f", Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: size, BestEffort: true, Program: "p"}}})
		a.pacesFail = true
		for range 20 {
			if _, ok := a.runs[bestEffortTask]; ok {
				break
			}
			run(1)
		}
		Expect(a.runs).To(HaveKey(bestEffortTask))
	})

	// Guards against a task that is never throttled beside a missed target: the agent process that should have set the pace 0 has ended, and the owner does
	// not send it to the next one, or the next owner does not, because it counts as confirmed.
	for name, replace := range map[string]func(){
		"a new agent process": func() { a.restart("h"); a.runsUnlisted = false },
		"a new owner":         func() { cluster.takeOver() },
	} {
		It("are sent again, also 0, after "+name, func() {
			run(15)
			replace()
			// Meanwhile the pace has fallen to 0.
			run(15)
			Expect(a.paces).To(BeEmpty())
			a.pacesFail = false
			run(2)
			Expect(a.runs).To(HaveKeyWithValue(bestEffortTask, HaveField("Number", 1)))
			Expect(a.paces).To(HaveKeyWithValue(bestEffortTask, 0))
		})
	}
})
