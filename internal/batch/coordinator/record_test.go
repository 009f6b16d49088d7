package coordinator_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/job"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/storekeeper"
	"bamboohook/resource"
)

var _ = Describe("Records in the store", func() {
	const recordBytes = 256 << 10
	var cluster *testCluster
	BeforeEach(func() {
		cluster = newTestCluster(3)
		cluster.coordinator.Limits.RecordBytes = recordBytes
		cluster.simulate(time.Second)
	})
	small := func(id string) job.Job {
		return job.Job{ID: id, Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: resource.Amount{MilliProcessors: 1}}}}
	}

	// Guards against an owner that records nothing any more: the progress of a large job outgrew the largest record that the store accepts.
	It("stay below the store's limit while all runs of a large job end with checkpoints", func() {
		large := job.Job{ID: "large", Occurrences: 1, Steps: []job.Step{{TaskCount: 3000, Size: resource.Amount{MilliProcessors: 2}, Resumable: true}}}
		submitJob(cluster, large)
		cluster.simulate(time.Second)
		Expect(cluster.countRuns()).To(HaveLen(3000))
		for _, a := range cluster.agents {
			for task := range a.runs {
				a.finishRun(task, messenger.RunLeaseExpired)
				a.results[len(a.results)-1].Checkpoint = strings.Repeat("c", 100)
			}
		}
		cluster.simulate(time.Second)
		Expect(cluster.countRuns()).To(HaveLen(3000))
		for _, a := range cluster.agents {
			Expect(a.results).To(BeEmpty())
		}
		for _, r := range cluster.journal.records {
			Expect(len(r.Key) + len(r.Value)).To(BeNumerically("<", recordBytes))
		}
		cluster.takeOver()
		cluster.simulate(time.Second)
		for _, a := range cluster.agents {
			for task := range a.runs {
				a.finishRun(task, messenger.RunDone)
			}
		}
		cluster.simulate(time.Second)
		request := messenger.JobRequest{ID: "large", Queue: "q"}
		Expect(cluster.coordinator.JobState(context.Background(), request).State).To(Equal("completed"))
		cluster.takeOver()
		Expect(cluster.coordinator.JobState(context.Background(), request).State).To(Equal("completed"))
		Expect(cluster.journal.newestRecords()).NotTo(ContainElement(HaveField("Key", HavePrefix("tasks/"))))
	})

	// Guards against a large job that delays the records of all others.
	It("of small jobs come between those of a large one", func() {
		large := job.Job{ID: "large", Occurrences: 1, Steps: []job.Step{{TaskCount: 4000, Size: resource.Amount{MilliProcessors: 1}, Resumable: true}}}
		submitJob(cluster, large)
		submitJob(cluster, small("small"))
		cluster.simulate(time.Second)
		for _, a := range cluster.agents {
			for task := range a.runs {
				outcome := messenger.RunLeaseExpired
				if task == "small.0.0.0" {
					outcome = messenger.RunDone
				}
				a.finishRun(task, outcome)
				a.results[len(a.results)-1].Checkpoint = strings.Repeat("c", 1000)
			}
			cluster.sendReport(a)
		}
		writes := cluster.coordinator.CollectWrites()
		size, keys := 0, []string{}
		for _, w := range writes {
			for _, r := range w.Records {
				size, keys = size+len(r.Value), append(keys, r.Key)
			}
		}
		Expect(keys).To(ContainElement("progress/small"))
		Expect(size).To(BeNumerically("<", 1<<20))
		Expect(cluster.coordinator.CollectWrites()).NotTo(BeEmpty())
	})

	// Guards against a submission that holds up all others, or is refused as if it could be repeated.
	It("are checked before a job is accepted", func() {
		cluster.coordinator.Limits.RecordBytes = 8 << 10
		wide := small("wide")
		for len(wide.Steps) < 40 {
			wide.Steps = append(wide.Steps, job.Step{TaskCount: 1, Label: strings.Repeat("l", 1000)})
		}
		for _, a := range cluster.agents {
			a.labels = []string{strings.Repeat("l", 1000)}
		}
		cluster.simulate(time.Second)
		response := cluster.coordinator.Submit(context.Background(), messenger.JobRequest{Job: wide, Queue: "q"})
		Expect(response.Outcome).To(Equal(messenger.OutcomeInvalid))
		Expect(response.Reason).To(And(ContainSubstring("bytes in the store"), ContainSubstring("8192")))
		Expect(cluster.journal.countPendingWrites()).To(BeZero())
		submitJob(cluster, small("small"))
	})

	// Guards against run results that are never forgotten, and against an owner that does nothing but repeat a write that the store rejects.
	It("that the store rejects for good are tried again later, while the others are stored", func() {
		submitJob(cluster, small("a"))
		submitJob(cluster, small("b"))
		cluster.simulate(time.Second)
		Expect(cluster.awaitState("a")).To(Equal("running"))
		cluster.finishAllRuns(messenger.RunDone)
		for _, a := range cluster.agents {
			cluster.sendReport(a)
		}
		rejected := 0
		collect := func() {
			for _, w := range cluster.coordinator.CollectWrites() {
				if strings.HasSuffix(w.Records[0].Key, "/a") {
					rejected++
					w.Done(storekeeper.ErrRejected)
					continue
				}
				cluster.journal.records = append(cluster.journal.records, w.Records...)
				w.Done(nil)
			}
		}
		for range 40 {
			collect()
			cluster.clock.Advance(100 * time.Millisecond)
			for _, a := range cluster.agents {
				cluster.sendReport(a)
			}
			cluster.coordinator.Tick()
		}
		Expect(rejected).To(Equal(1))
		state := func(id string) string {
			return cluster.coordinator.JobState(context.Background(), messenger.JobRequest{ID: id, Queue: "q"}).State
		}
		Expect(state("b")).To(Equal("completed"))
		Expect(state("a")).To(Equal("running"))
		cluster.simulate(3 * time.Second)
		Expect(state("a")).To(Equal("completed"))
		for _, a := range cluster.agents {
			Expect(a.results).To(BeEmpty())
		}
	})

	It("of blocks whose job is gone are removed", func() {
		cluster.journal.records = append(cluster.journal.records, storekeeper.Record{Key: "tasks/gone/0.1", Value: []byte("{}")})
		cluster.takeOver()
		cluster.simulate(time.Second)
		Expect(cluster.journal.newestRecords()).NotTo(ContainElement(HaveField("Key", "tasks/gone/0.1")))
	})

	It("are removed with a job whose retention is over", func() {
		submitJob(cluster, job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 100, Size: resource.Amount{MilliProcessors: 1}}}})
		cluster.simulate(time.Second)
		a := cluster.agentWith("a.0.0.7")
		a.finishRun("a.0.0.7", messenger.RunDone)
		cluster.simulate(time.Second)
		Expect(cluster.journal.newestRecords()).To(ContainElement(HaveField("Key", "tasks/a/0.0")))
		cluster.finishAllRuns(messenger.RunDone)
		cluster.simulate(time.Second)
		cluster.clock.Advance(time.Minute + 6*time.Second)
		cluster.simulate(time.Second)
		for _, r := range cluster.journal.newestRecords() {
			Expect(r.Key).NotTo(ContainSubstring("/a"), fmt.Sprintf("%s", r.Value))
		}
	})

	// Guards against writes that the store rejects because its limits are lower than usual.
	It("fit in writes of any size that the settings allow", func() {
		const recordBytes, requestBytes = 4096, 8192
		cluster.coordinator.Limits.RecordBytes, cluster.coordinator.Limits.RequestBytes = recordBytes, requestBytes
		submitJob(cluster, job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 500, Size: resource.Amount{MilliProcessors: 1}, Resumable: true}}})
		cluster.simulate(time.Second)
		for _, a := range cluster.agents {
			for task := range a.runs {
				a.finishRun(task, messenger.RunLeaseExpired)
				a.results[len(a.results)-1].Checkpoint = strings.Repeat("c", 150)
			}
			cluster.sendReport(a)
		}
		for n := range 400 {
			cluster.journal.records = append(cluster.journal.records, storekeeper.Record{Key: fmt.Sprintf("tasks/gone/0.%d", n), Value: []byte("{}")})
		}
		count := 0
		check := func() {
			for writes := cluster.coordinator.CollectWrites(); len(writes) > 0; writes = cluster.coordinator.CollectWrites() {
				for _, w := range writes {
					size := 0
					for _, r := range w.Records {
						Expect(len(r.Key) + len(r.Value)).To(BeNumerically("<", recordBytes))
						size += 5 + len(r.Key) + len(r.Value)
					}
					Expect(size).To(BeNumerically("<=", requestBytes))
					cluster.journal.records = append(cluster.journal.records, w.Records...)
					w.Done(nil)
					count++
				}
			}
		}
		check()
		Expect(count).To(BeNumerically(">", 10))
		cluster.takeOver()
		cluster.coordinator.Limits.RecordBytes, cluster.coordinator.Limits.RequestBytes = recordBytes, requestBytes
		check()
		Expect(cluster.journal.newestRecords()).NotTo(ContainElement(HaveField("Key", HavePrefix("tasks/gone/"))))
	})

	// Guards against run results that are never forgotten, and against records without a job, after an outage that is longer than the retention.
	It("of an ended job are written before they are removed", func() {
		submitJob(cluster, small("a"))
		cluster.simulate(time.Second)
		cluster.journal.blocked = true
		cluster.finishAllRuns(messenger.RunDone)
		cluster.simulate(time.Second)
		cluster.clock.Advance(time.Minute + 6*time.Second)
		cluster.simulate(time.Second)
		cluster.journal.blocked = false
		cluster.simulate(time.Second)
		for _, a := range cluster.agents {
			Expect(a.results).To(BeEmpty())
		}
		for _, r := range cluster.journal.newestRecords() {
			Expect(r.Key).NotTo(ContainSubstring("/a"))
		}
	})
})
