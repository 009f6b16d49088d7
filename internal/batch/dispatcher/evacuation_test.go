package dispatcher_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/dispatcher"
	"bamboohook/internal/batch/job"
	"bamboohook/resource"
)

var _ = Describe("Evacuated VMs", func() {
	var (
		now    time.Time
		queues map[string]dispatcher.Queue
		vms    []*dispatcher.VM
		jobs   *bookkeeper.Bookkeeper
	)
	BeforeEach(func() {
		now, jobs = time.Unix(1000, 0), bookkeeper.New()
		queues = map[string]dispatcher.Queue{"q": {Service: "s"}}
		vms = nil
		for n := range 3 {
			vms = append(vms, &dispatcher.VM{
				Name: fmt.Sprint("vm-", n), Service: "s", Capacity: resource.Amount{MilliProcessors: 32_000, MemoryBytes: 1000}, Schedulable: n > 0, Evacuated: n == 0,
			})
		}
	})
	stepOf := func(id string, step job.Step) *bookkeeper.Step {
		j := jobs.Accept(job.Job{ID: id, Queue: "q", Occurrences: 1, AcceptedAt: now, Steps: []job.Step{step}})
		jobs.OpenDueOccurrences(j, now)
		var found *bookkeeper.Step
		jobs.VisitReadySteps(func(s *bookkeeper.Step) {
			if s.Job == j {
				found = s
			}
		})
		return found
	}

	// Guards against a job of which the log does not say why it waits.
	It("give the reason of their own, also if they could not be used for another reason", func() {
		s := stepOf("a", job.Step{TaskCount: 1, Size: resource.Amount{MilliProcessors: 40_000}})
		d := &dispatcher.Dispatcher{}
		Expect(d.Plan(now, now, []*bookkeeper.Step{s}, queues, vms)).To(BeEmpty())
		Expect(d.Refusals(now, s.Tasks[0], "s", vms)).To(Equal(map[string]int{dispatcher.RefusedEvacuated: 1, dispatcher.RefusedRoom: 2}))
	})

	// Guards against a starving step for which room is kept where it must not start, so that it waits longer.
	It("are not held for a starving step", func() {
		full := stepOf("full", job.Step{TaskCount: 2, Size: resource.Amount{MilliProcessors: 20_000, MemoryBytes: 10}})
		for n, t := range full.Tasks {
			vms[n+1].Add(t)
			jobs.RunStarted(t, 1)
		}
		starving := stepOf("starving", job.Step{TaskCount: 1, Size: resource.Amount{MilliProcessors: 32_000, MemoryBytes: 10}})
		later := now.Add(dispatcher.StarvationTime + time.Second)
		small := stepOf("small", job.Step{TaskCount: 4, Size: resource.Amount{MilliProcessors: 12_000, MemoryBytes: 10}})
		d := &dispatcher.Dispatcher{}
		placements := d.Plan(later, later, []*bookkeeper.Step{starving, small}, queues, vms)
		Expect(placements).To(HaveLen(1), "one of the two VMs is held for the starving step")
		Expect(placements[0].Task.Step.Job.ID).To(Equal("small"))
		refusals := d.Refusals(later, small.Tasks[3], "s", vms)
		Expect(refusals).To(HaveKeyWithValue(dispatcher.RefusedHeld, 1))
		Expect(refusals).To(HaveKeyWithValue(dispatcher.RefusedEvacuated, 1))
	})

	// Guards against an overdue task that waits for as many processors as only an evacuated VM has.
	It("do not raise the number of processors that an overdue task waits for", func() {
		serving := stepOf("serving", job.Step{TaskCount: 2, Size: resource.Amount{MilliProcessors: 30_000, MemoryBytes: 10}, LongRunning: true})
		for n, t := range serving.Tasks {
			vms[n+1].Add(t)
			jobs.RunStarted(t, 1)
		}
		s := stepOf("large", job.Step{TaskCount: 2, Size: resource.Amount{MilliProcessors: 32_000, MemoryBytes: 10}, BestEffort: true})
		// A task of the job runs, so that the other one needs spare processors.
		jobs.RunStarted(s.Tasks[0], 1)
		later := now.Add(dispatcher.MaxInterferenceWait + time.Second)
		Expect((&dispatcher.Dispatcher{}).Plan(later, later, []*bookkeeper.Step{s}, queues, vms)).To(HaveLen(1))
	})
})
