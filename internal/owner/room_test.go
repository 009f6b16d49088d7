package owner_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/message"
	"bamboohook/resource"
)

var _ = Describe("Owners that assign tasks to the same VMs", func() {
	// Guards against free resources that stay unused. An entry may have reserved them for several attempts, and then
	// another entry starts attempts that use a part of them, so that not all of the reservations fit any more. Each
	// attempt with a reservation would then find the VM full because of the reservations of the others.
	It("use all free resources", func() {
		for seed := range uint64(40) {
			r := newRegion(seed, 3, 3)
			r.vmCapacity, r.taskDuration = resource.Amount{MilliProcessors: 4000, MemoryBytes: 400}, 10*time.Minute
			ctx := context.Background()
			r.run(ctx, 30*time.Second)
			for n, tasks := range []int{6, 9, 9} {
				_, failure := r.entries[n].owner.Submit(ctx, message.JobRequest{
					ID: fmt.Sprintf("job-%d", n), Team: "t", Kind: "k", Tasks: tasks, RunTime: time.Minute,
					Size: resource.Amount{MilliProcessors: 1000, MemoryBytes: 100},
				})
				Expect(failure).To(BeNil())
			}
			// An entry that reads the log late learns that its own assignments took effect only after other entries have
			// started attempts on the same VMs.
			for range 20 {
				r.entries[r.random.IntN(3)].logDisconnectedUntil = r.now.Add(time.Duration(1+r.random.IntN(3)) * stepDuration)
				r.step(ctx)
			}
			r.run(ctx, 5*time.Second)
			running := 0
			for _, v := range r.vms {
				running += len(v.tasks)
			}
			Expect(running).To(Equal(12), "seed %d", seed)
			Expect(r.violations).To(BeEmpty())
		}
	})
})
