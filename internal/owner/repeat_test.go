package owner_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/message"
)

var _ = Describe("Owner after an unanswered call", func() {
	ctx := context.Background()

	// Guards against a caller that gives a job up, or submits it under another id, because a repeat was rejected, while
	// the first submission of the same id had no answer and takes effect later.
	It("does not say not-run to a repeated submission whose first copy takes effect later", func() {
		r := newRegion(1, 1, 1)
		r.run(ctx, 5*time.Second)
		o := r.entries[0].owner
		r.holdDelayedCalls, r.nextFaults["append"] = true, "late"
		_, failure := o.Submit(ctx, job("a", 1))
		Expect(failure).To(HaveField("Outcome", message.OutcomeUnknown))
		r.logDown = true
		_, failure = o.Submit(ctx, job("a", 1))
		Expect(failure).To(HaveField("Outcome", message.OutcomeUnknown))
	})

	// Guards against a task that is executed again in full although an earlier run, which counted as lost, reports that
	// it is done while the later run has not ended.
	It("completes a task by the late result of an earlier run and stops the later run", func() {
		r := newRegion(1, 1, 3)
		r.run(ctx, 5*time.Second)
		r.entries[0].owner.Submit(ctx, job("a", 1))
		r.run(ctx, 3*time.Second)
		_, runningOn := r.ownerOf("a")
		Expect(runningOn).To(HaveLen(1))
		r.taskDuration = time.Hour
		for _, w := range runningOn[0].tasks {
			w.completesAt = r.now.Add(2 * time.Second)
		}
		r.entries[0].disconnectedUntil[runningOn[0]] = r.now.Add(25 * time.Second)
		r.run(ctx, time.Minute)
		Expect(r.violations).To(BeEmpty())
		_, runningOn = r.ownerOf("a")
		Expect(runningOn).To(BeEmpty())
		_, completions := r.replayLog()
		Expect(completions).To(Equal(map[string]int{"a/0": 1}))
	})
})
