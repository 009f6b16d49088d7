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
	"bamboohook/resource"
)

var _ = Describe("A cancellation before the submission", func() {
	var (
		cluster *testCluster
		ctx     = context.Background()
		request = messenger.JobRequest{ID: "a", Queue: "q"}
		lasting = job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 2, Size: resource.Amount{MilliProcessors: 100, MemoryBytes: 10}, LongRunning: true}}}
	)
	BeforeEach(func() {
		cluster = newTestCluster(2)
		cluster.simulate(time.Second)
	})
	cancel := func(r messenger.JobRequest) messenger.JobResponse {
		return cluster.await(func() messenger.JobResponse { return cluster.coordinator.Cancel(ctx, r) })
	}
	expectCancelled := func() {
		cluster.simulate(2 * time.Second)
		Expect(cluster.countRuns()).To(BeEmpty())
		for _, a := range cluster.agents {
			Expect(a.starts).To(BeEmpty())
		}
		Expect(cluster.coordinator.JobState(ctx, request).State).To(Equal("cancelled"))
	}

	// Guards against a job that runs on after its cancellation was acknowledged: a copy of its submission was still on the way to the owner, which knew
	// of no such job.
	It("keeps the job from running when its submission arrives at the same owner", func() {
		Expect(cancel(request).Outcome).To(Equal(messenger.OutcomeNotFound))
		Expect(cluster.coordinator.JobState(ctx, request).Outcome).To(Equal(messenger.OutcomeNotFound))
		submitJob(cluster, lasting)
		expectCancelled()
		Expect(cancel(request).Outcome).To(Equal(messenger.OutcomeDone))
		cluster.takeOver()
		expectCancelled()
	})

	// Guards against the same when the owner that has acknowledged the cancellation has a successor.
	It("keeps the job from running when its submission arrives at a later owner", func() {
		Expect(cancel(request).Outcome).To(Equal(messenger.OutcomeNotFound))
		cluster.takeOver()
		cluster.takeOver()
		cluster.simulate(time.Second)
		Expect(cancel(request).Outcome).To(Equal(messenger.OutcomeNotFound))
		submitJob(cluster, lasting)
		expectCancelled()
	})

	// Guards against a job that runs because its owner has failed between the records of its acceptance and of its end.
	It("keeps the job from running when only its acceptance is recorded", func() {
		Expect(cancel(request).Outcome).To(Equal(messenger.OutcomeNotFound))
		submitted := make(chan messenger.JobResponse, 1)
		go func() { submitted <- cluster.coordinator.Submit(ctx, messenger.JobRequest{Job: lasting, Queue: "q"}) }()
		Eventually(cluster.journal.countPendingWrites).Should(Equal(1))
		write := cluster.journal.pendingWrites[0]
		cluster.journal.records = append(cluster.journal.records, write.Records...)
		cluster.takeOver()
		expectCancelled()
	})

	// Guards against an acknowledgement that the next owner does not know of.
	It("is not acknowledged before it is recorded", func() {
		cluster.journal.blocked = true
		callCtx, stop := context.WithTimeout(ctx, 50*time.Millisecond)
		defer stop()
		Expect(cluster.coordinator.Cancel(callCtx, request).Outcome).To(Equal(messenger.OutcomeUnknown))
		Expect(cluster.coordinator.Cancel(callCtx, request).Outcome).To(Equal(messenger.OutcomeUnknown))
		Expect(cluster.journal.countPendingWrites()).To(Equal(1))
		cluster.coordinator.Resign(1, "test")
	})

	It("has no effect on a job of another queue", func() {
		Expect(cancel(messenger.JobRequest{ID: "a", Queue: strings.Repeat("other", 100)}).Outcome).To(Equal(messenger.OutcomeNotFound))
		submitJob(cluster, lasting)
		cluster.simulate(time.Second)
		Expect(cluster.countRuns()).To(HaveLen(2))
	})

	It("is forgotten after the retention of ended jobs", func() {
		Expect(cancel(request).Outcome).To(Equal(messenger.OutcomeNotFound))
		Expect(cluster.journal.newestRecords()).To(ContainElement(HaveField("Key", HavePrefix("cancelled/a/"))))
		cluster.clock.Advance(time.Minute + 6*time.Second)
		cluster.simulate(time.Second)
		Expect(cluster.journal.newestRecords()).NotTo(ContainElement(HaveField("Key", HavePrefix("cancelled/a/"))))
	})

	It("is refused if too many jobs were cancelled so", func() {
		cancelled, stop := context.WithCancel(ctx)
		stop()
		outcomes := map[string]int{}
		for n := range 50_001 {
			outcomes[cluster.coordinator.Cancel(cancelled, messenger.JobRequest{ID: fmt.Sprint(n), Queue: "q"}).Outcome]++
		}
		Expect(outcomes).To(Equal(map[string]int{messenger.OutcomeUnknown: 50_000, messenger.OutcomeOverload: 1}))
	})
})
