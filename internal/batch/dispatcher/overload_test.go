package dispatcher_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/dispatcher"
	"bamboohook/internal/batch/job"
	"bamboohook/resource"
)

// simulateOverload simulates a single VM. For a while, jobs arrive faster than the VM can run them. simulateOverload returns how many jobs
// completed within their objective, and how many completed within the simulated time. The estimated durations of tasks deviate from the true
// ones by up to half.
func simulateOverload(seed uint64, queue dispatcher.Queue) (onTime, completed int) {
	const (
		tick             = 50 * time.Millisecond
		arrivalPeriod    = 15 * time.Second
		simulatedTime    = 60 * time.Second
		processors       = 24
		objectiveStretch = 2.0
		objectiveTarget  = time.Second
	)
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.UnixMilli(1_000_000)
	b, d := bookkeeper.New(), &dispatcher.Dispatcher{}
	vms := []*dispatcher.VM{{Name: "v", Service: "s", Capacity: resource.Amount{MilliProcessors: processors * 1000, MemoryBytes: 1}, Schedulable: true}}
	taskDurations, endTimes := map[string]time.Duration{}, map[*bookkeeper.Task]time.Time{}
	nextArrival := start
	for now := start; now.Before(start.Add(simulatedTime)); now = now.Add(tick) {
		for !nextArrival.After(now) && nextArrival.Before(start.Add(arrivalPeriod)) {
			taskDuration := time.Duration(500+random.IntN(3000)) * time.Millisecond
			estimate := time.Duration(float64(taskDuration) * (0.5 + random.Float64()))
			id := fmt.Sprint("j", len(taskDurations))
			taskDurations[id] = taskDuration
			j := b.Accept(job.Job{ID: id, Queue: "q", Occurrences: 1, AcceptedAt: nextArrival, Steps: []job.Step{
				{TaskCount: 4 + random.IntN(8), Size: resource.Amount{MilliProcessors: 1000}, Estimate: estimate},
			}})
			b.OpenDueOccurrences(j, now)
			nextArrival = nextArrival.Add(time.Duration(300+random.IntN(400)) * time.Millisecond)
		}
		for t, end := range endTimes {
			if end.After(now) {
				continue
			}
			delete(endTimes, t)
			vms[0].Remove(t)
			b.TaskDone(t, now)
			if j := t.Step.Job; !j.Live() {
				completed++
				if now.Sub(j.AcceptedAt) <= time.Duration(objectiveStretch*float64(taskDurations[j.ID]))+objectiveTarget {
					onTime++
				}
			}
		}
		var steps []*bookkeeper.Step
		b.VisitReadySteps(func(s *bookkeeper.Step) { steps = append(steps, s) })
		for _, p := range d.Plan(now, now, steps, map[string]dispatcher.Queue{"q": queue}, vms) {
			b.RunStarted(p.Task, 1)
			endTimes[p.Task] = now.Add(taskDurations[p.Task.Step.Job.ID])
		}
	}
	return onTime, completed
}

var _ = Describe("Order under overload", func() {
	// Load pattern: for 15 s, jobs arrive at one and a half times the rate at which the VM can run them. Without objectives, jobs that can no
	// longer be on time would delay those that can.
	It("completes more jobs on time than without objectives, and completes as many in total", func() {
		withObjective := dispatcher.Queue{Service: "s", Stretch: 2, Target: time.Second}
		// With such a long objective, all jobs count as on time, so the steps are sorted by their remaining work.
		withoutObjective := dispatcher.Queue{Service: "s", Stretch: 1e6, Target: time.Second}
		totalOnTime, totalOnTimeWithoutObjective := 0, 0
		for seed := range uint64(10) {
			onTime, completed := simulateOverload(seed, withObjective)
			onTimeWithoutObjective, completedWithoutObjective := simulateOverload(seed, withoutObjective)
			totalOnTime, totalOnTimeWithoutObjective = totalOnTime+onTime, totalOnTimeWithoutObjective+onTimeWithoutObjective
			Expect(completed).To(Equal(completedWithoutObjective))
		}
		GinkgoWriter.Printf("on time: %d, on time without objectives: %d\n", totalOnTime, totalOnTimeWithoutObjective)
		Expect(totalOnTime).To(BeNumerically(">", totalOnTimeWithoutObjective))
	})

	// Load pattern: small jobs keep a full fleet busy, and a job of large tasks waits. Each place that becomes free is too small for it and is taken
	// by the next small task.
	for name, c := range map[string]struct{ largeBestEffort, smallBestEffort, targetsMissed, gang bool }{
		"best-effort tasks":                                           {true, true, false, false},
		"plain tasks":                                                 {false, false, false, false},
		"plain tasks, if it is best-effort":                           {true, false, false, false},
		"plain tasks, while targets are missed":                       {false, false, true, false},
		"best-effort tasks, while targets are missed":                 {true, true, true, false},
		"plain tasks, if it is best-effort, while targets are missed": {true, false, true, false},
		"plain tasks, if it is one of a gang":                         {false, false, false, true},
		"best-effort tasks, if it is one of a best-effort gang":       {true, true, false, true},
	} {
		It("starts a large task of a job that has waited long, among small "+name, func() {
			const (
				endsEach     = 100 * time.Millisecond
				largeSize    = 20_000
				smallSize    = 4_000
				vmProcessors = 32_000
			)
			start := time.UnixMilli(1_000_000)
			now := start
			b, d := bookkeeper.New(), &dispatcher.Dispatcher{}
			queues := map[string]dispatcher.Queue{"q": {Service: "s", Stretch: 2, Target: time.Second}}
			var vms []*dispatcher.VM
			for n := range 4 {
				vms = append(vms, &dispatcher.VM{
					Name: fmt.Sprint("vm-", n), Service: "s", Capacity: resource.Amount{MilliProcessors: vmProcessors, MemoryBytes: 1000}, Schedulable: true,
					TargetMissed: c.targetsMissed,
				})
			}
			accept := func(id string, tasks int, processors int64, bestEffort, gang bool) {
				j := b.Accept(job.Job{ID: id, Queue: "q", Occurrences: 1, AcceptedAt: now, Steps: []job.Step{{
					TaskCount: tasks, Size: resource.Amount{MilliProcessors: processors, MemoryBytes: 1}, Estimate: time.Second, BestEffort: bestEffort, Gang: gang,
				}}})
				b.OpenDueOccurrences(j, now)
			}
			var running []dispatcher.Placement
			var largeStarts []time.Duration
			plan := func() {
				var steps []*bookkeeper.Step
				b.VisitReadySteps(func(s *bookkeeper.Step) { steps = append(steps, s) })
				for _, p := range d.Plan(now, now, steps, queues, vms) {
					b.RunStarted(p.Task, 1)
					if p.Task.Step.Job.ID == "large" {
						largeStarts = append(largeStarts, now.Sub(start))
						continue
					}
					running = append(running, p)
				}
			}
			accept("first", 32, smallSize, c.smallBestEffort, false)
			plan()
			Expect(running).To(HaveLen(32))
			largeTasks, heldVMs := 6, 1
			if c.gang {
				largeTasks, heldVMs = 2, 2
			}
			accept("large", largeTasks, largeSize, c.largeBestEffort, c.gang)
			for n := 0; now.Before(start.Add(30 * time.Second)); n++ {
				now = now.Add(endsEach)
				ended := running[0]
				running = running[1:]
				ended.VM.Remove(ended.Task)
				b.TaskDone(ended.Task, now)
				accept(fmt.Sprint("small", n), 2, smallSize, c.smallBestEffort, false)
				plan()
				Expect(len(running)).To(BeNumerically(">=", 30-8*heldVMs), "as many of the four VMs may be held as the large tasks need")
			}
			Expect(largeStarts).NotTo(BeEmpty())
			Expect(largeStarts[0]).To(BeNumerically("<", 20*time.Second))
		})
	}

	// Guards against a long-running task that never starts again beside the other tasks of its job: smaller tasks take all that becomes free.
	It("starts a long-running task of a job with other runs in a full fleet", func() {
		now := time.UnixMilli(1_000_000)
		b, d := bookkeeper.New(), &dispatcher.Dispatcher{}
		queues := map[string]dispatcher.Queue{"lasting": {Service: "s"}, "q": {Service: "s", Priority: 2, Stretch: 2, Target: time.Second}}
		var vms []*dispatcher.VM
		for n := range 3 {
			vms = append(vms, &dispatcher.VM{
				Name: fmt.Sprint("vm-", n), Service: "s", Capacity: resource.Amount{MilliProcessors: 32_000, MemoryBytes: 80}, Schedulable: true,
			})
		}
		accept := func(id, queue string, s job.Step) {
			b.OpenDueOccurrences(b.Accept(job.Job{ID: id, Queue: queue, Occurrences: 1, AcceptedAt: now, Steps: []job.Step{s}}), now)
		}
		accept("lasting", "lasting", job.Step{TaskCount: 2, MaxPerVM: 1, LongRunning: true, Size: resource.Amount{MilliProcessors: 4000, MemoryBytes: 30}})
		var running []dispatcher.Placement
		lastingStarts := 0
		plan := func() {
			var steps []*bookkeeper.Step
			b.VisitReadySteps(func(s *bookkeeper.Step) { steps = append(steps, s) })
			for _, p := range d.Plan(now, now, steps, queues, vms) {
				b.RunStarted(p.Task, p.Task.NextRunNumber())
				if p.Task.Step.LongRunning {
					lastingStarts++
				} else {
					running = append(running, p)
				}
			}
		}
		plan()
		Expect(lastingStarts).To(Equal(2))
		smallStep := job.Step{TaskCount: 24, BestEffort: true, Size: resource.Amount{MilliProcessors: 100, MemoryBytes: 10}, Estimate: time.Second}
		accept("first", "q", smallStep)
		plan()
		// The VM with one of the long-running tasks is lost and replaced. Small tasks fill what becomes free, one after another.
		lost := b.Task(job.Task{Job: "lasting"})
		for _, v := range vms {
			if v.LongRunningProcessors() > 0 {
				v.Remove(lost)
				break
			}
		}
		smallStep.TaskCount = 6
		accept("more", "q", smallStep)
		plan()
		b.WaitAgain(lost, now, 0)
		for n := 0; n < 200 && lost.IsWaiting(); n++ {
			now = now.Add(50 * time.Millisecond)
			ended := running[0]
			running = running[1:]
			ended.VM.Remove(ended.Task)
			b.TaskDone(ended.Task, now)
			smallStep.TaskCount = 1
			accept(fmt.Sprint("small", n), "q", smallStep)
			plan()
		}
		Expect(lastingStarts).To(Equal(3))
	})

	// Guards against a VM that is held forever: a large task waits that fits on no VM while its long-running tasks stay there. Tasks that fit would lose
	// that VM, and in a fleet of one VM they would never start.
	It("holds no VM for a task that has room on none beside the long-running tasks, and starts the next job that has waited long", func() {
		now := time.UnixMilli(1_000_000)
		b, d := bookkeeper.New(), &dispatcher.Dispatcher{}
		queues := map[string]dispatcher.Queue{"q": {Service: "s", Stretch: 2, Target: time.Second}}
		vm := &dispatcher.VM{Name: "vm", Service: "s", Capacity: resource.Amount{MilliProcessors: 10_000, MemoryBytes: 1000}, Schedulable: true}
		accept := func(id string, step job.Step) *bookkeeper.Job {
			step.TaskCount = max(step.TaskCount, 1)
			j := b.Accept(job.Job{ID: id, Queue: "q", Occurrences: 1, AcceptedAt: now, Steps: []job.Step{step}})
			b.OpenDueOccurrences(j, now)
			return j
		}
		plan := func() []string {
			var steps []*bookkeeper.Step
			b.VisitReadySteps(func(s *bookkeeper.Step) { steps = append(steps, s) })
			var started []string
			for _, p := range d.Plan(now, now, steps, queues, []*dispatcher.VM{vm}) {
				b.RunStarted(p.Task, 1)
				started = append(started, p.Task.Step.Job.ID)
			}
			return started
		}
		accept("lasting", job.Step{Size: resource.Amount{MilliProcessors: 6000, MemoryBytes: 500}, LongRunning: true})
		Expect(plan()).To(Equal([]string{"lasting"}))
		accept("too-large", job.Step{Size: resource.Amount{MilliProcessors: 5000, MemoryBytes: 1}})
		now = now.Add(time.Second)
		accept("first", job.Step{Size: resource.Amount{MilliProcessors: 4000, MemoryBytes: 1}})
		Expect(plan()).To(Equal([]string{"first"}))
		accept("next", job.Step{Size: resource.Amount{MilliProcessors: 4000, MemoryBytes: 1}})
		now = now.Add(20 * time.Second)
		Expect(plan()).To(BeEmpty())
		t := b.Task(job.Task{Job: "first"})
		vm.Remove(t)
		b.TaskDone(t, now)
		Expect(plan()).To(Equal([]string{"next"}))
	})

	// Load pattern: a burst in a full fleet, in which many jobs of a few shapes wait and no VM has room for any of them. Guards against an owner that
	// has processor time for nothing but its plans.
	It("searches the VMs once for each shape of waiting task", func() {
		const vmCount, jobCount, shapes = 60, 200, 2
		now := time.UnixMilli(1_000_000)
		searched := 0
		b, d := bookkeeper.New(), &dispatcher.Dispatcher{Excludes: func(*bookkeeper.Task, *dispatcher.VM) bool { searched++; return false }}
		queues := map[string]dispatcher.Queue{"q": {Service: "s", Stretch: 2, Target: time.Second}}
		var vms []*dispatcher.VM
		for n := range vmCount {
			vms = append(vms, &dispatcher.VM{
				Name: fmt.Sprint("vm-", n), Service: "s", Capacity: resource.Amount{MilliProcessors: 1000, MemoryBytes: 1000}, Schedulable: true,
			})
		}
		for n := range jobCount {
			j := b.Accept(job.Job{ID: fmt.Sprint("job", n), Queue: "q", Occurrences: 1, AcceptedAt: now, Steps: []job.Step{
				{TaskCount: 10, Size: resource.Amount{MilliProcessors: 2000 + int64(n%shapes), MemoryBytes: 1}, Estimate: time.Second, BestEffort: true},
			}})
			b.OpenDueOccurrences(j, now)
		}
		var steps []*bookkeeper.Step
		b.VisitReadySteps(func(s *bookkeeper.Step) { steps = append(steps, s) })
		Expect(steps).To(HaveLen(jobCount))
		Expect(d.Plan(now, now, steps, queues, vms)).To(BeEmpty())
		Expect(searched).To(BeNumerically("<=", vmCount*shapes))
	})
})
