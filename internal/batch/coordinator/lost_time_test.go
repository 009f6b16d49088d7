package coordinator_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/job"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/resource"
)

var _ = Describe("A best-effort task that has lost time", func() {
	// Guards against a best-effort task that stands still without a bound because its run always ends before it has lost MaxInterferenceWait: the lost time counts
	// from nought after an end "failed", of which the worker may be the cause.
	for _, outcome := range []string{messenger.RunFailed, messenger.RunLeaseExpired, messenger.RunStopped} {
		It("keeps the lost time of a run at pace 0 that ends as "+outcome, func() {
			w := newInterferenceWorld(1, func(time.Duration, int, time.Duration) float64 { return 0.85 })
			w.cluster.queue.Attempts = 0
			w.cluster.configure()
			submitJob(w.cluster, job.Job{ID: "s", Occurrences: 1, Steps: []job.Step{{
				TaskCount: 3, MaxPerVM: 3, Size: resource.Amount{MilliProcessors: 600, MemoryBytes: 100},
				LongRunning: true, Program: "x", TailTarget: worldTarget,
			}}})
			for range 100 {
				w.step()
			}
			submitJob(w.cluster, job.Job{ID: "f", Occurrences: 1, Steps: []job.Step{{
				TaskCount: 1, Size: resource.Amount{MilliProcessors: fillerProcessors, MemoryBytes: 100}, BestEffort: true, Program: "p", Estimate: worldTaskWork,
			}}})
			at := w.now
			since := time.Duration(-1)
			for w.now-at < 5*time.Minute && len(w.doneAt) == 0 {
				w.step()
				if w.cluster.countRuns()["f.0.0.0"] == 0 {
					since = -1
					continue
				}
				if since < 0 {
					since = w.now
				}
				// Each run ends after 8 s, until the task is overdue by its lost time at pace 0.
				if w.now-since > 8*time.Second {
					w.cluster.agentWith("f.0.0.0").finishRun("f.0.0.0", outcome)
				}
			}
			Expect(w.doneAt).To(HaveLen(1))
		})
	}
})
