package coordinator_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/job"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/resource"
)

// A new owner starts tasks of jobs that it finds in the store only when it knows what runs. These tests bound what it waits for.
var _ = Describe("Take-over with a silent VM", func() {
	var f *fleet
	size := resource.Amount{MilliProcessors: 2000, MemoryBytes: 10}
	submit := func(j job.Job) {
		answered := make(chan struct{})
		go func() { f.c.Submit(context.Background(), messenger.JobRequest{Job: j, Queue: "q"}); close(answered) }()
		Eventually(func() chan struct{} { f.j.flush(); return answered }).Should(BeClosed())
	}
	chain := job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{Tasks: 2, Size: size}, {Tasks: 1, Size: size, After: []int{0}}}}
	BeforeEach(func() {
		f = newFleet(3)
		f.run(time.Second)
	})

	// Pattern: an endpoint is replaced while a start is under way, which reaches the new process before it has been listed.
	It("does not start a task again that may run at a new process of the endpoint", func() {
		submit(chain)
		f.run(200 * time.Millisecond)
		Expect(f.running()).To(HaveLen(2))
		for _, a := range f.agents {
			if len(a.runs) > 0 {
				a.life, a.unlisted = 200, true
			}
		}
		f.run(600 * time.Millisecond)
		for _, a := range f.agents {
			a.unlisted = false
		}
		f.run(600 * time.Millisecond)
		Expect(f.running()).To(Equal(map[string]int{"a.0.0.0": 1, "a.0.0.1": 1}))
		for _, a := range f.agents {
			Expect(a.stops).To(BeEmpty())
		}
	})
	It("starts a task elsewhere when the new process ends before it was listed", func() {
		submit(chain)
		f.run(200 * time.Millisecond)
		for _, a := range f.agents {
			if len(a.runs) > 0 {
				a.life, a.unlisted, a.runs = 200, true, map[string]messenger.Run{}
				f.report(a)
				a.state = messenger.VMNotListening
			}
		}
		f.run(600 * time.Millisecond)
		Expect(f.running()).To(Equal(map[string]int{"a.0.0.0": 1, "a.0.0.1": 1}))
	})
	It("starts a task again that a new process of the endpoint does not have", func() {
		submit(chain)
		f.run(200 * time.Millisecond)
		for _, a := range f.agents {
			if len(a.runs) > 0 {
				a.life, a.runs = 200, map[string]messenger.Run{}
			}
		}
		f.run(600 * time.Millisecond)
		Expect(f.running()).To(Equal(map[string]int{"a.0.0.0": 1, "a.0.0.1": 1}))
	})
	It("does not wait for a VM whose endpoint had ended", func() {
		f.agents["vm-2"].state = messenger.VMNotListening
		f.run(400 * time.Millisecond)
		f.agents["vm-2"].silent = true
		submit(chain)
		f.boot()
		f.run(600 * time.Millisecond)
		Expect(f.running()).To(HaveLen(2))
	})
	It("does not wait for a restarted agent whose endpoint has ended", func() {
		submit(chain)
		a := f.agents["vm-2"]
		a.state, a.unlisted, a.generation, a.sequence = messenger.VMNotListening, true, "h", 0
		f.boot()
		f.run(600 * time.Millisecond)
		Expect(f.running()).To(HaveLen(2))
	})
	It("waits for one whose endpoint had ended and came back, since it may have runs", func() {
		f.agents["vm-2"].state = messenger.VMNotListening
		f.run(400 * time.Millisecond)
		f.agents["vm-2"].state, f.agents["vm-2"].life = messenger.VMUp, 200
		f.run(400 * time.Millisecond)
		f.agents["vm-2"].silent = true
		submit(chain)
		f.boot()
		f.run(600 * time.Millisecond)
		Expect(f.running()).To(BeEmpty())
		f.run(7 * time.Second)
		Expect(f.running()).To(HaveLen(2))
	})
	It("starts the step that follows runs which it has found", func() {
		submit(chain)
		f.run(200 * time.Millisecond)
		for _, a := range f.agents {
			a.silent = len(a.runs) == 0
		}
		Expect(f.running()).To(HaveLen(2))
		f.boot()
		f.run(400 * time.Millisecond)
		f.endAll(messenger.RunDone)
		f.run(400 * time.Millisecond)
		Expect(f.running()).To(Equal(map[string]int{"a.0.1.0": 1}))
	})
	It("does not start a step that an earlier owner may have started", func() {
		submit(chain)
		f.run(200 * time.Millisecond)
		f.j.held = true
		f.endAll(messenger.RunDone)
		f.run(400 * time.Millisecond)
		Expect(f.running()).To(HaveLen(1))
		for _, a := range f.agents {
			a.silent = len(a.runs) == 1
		}
		f.boot()
		f.run(2 * time.Second)
		Expect(f.running()).To(Equal(map[string]int{"a.0.1.0": 1}))
	})
})
