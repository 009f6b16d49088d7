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

// model is an interference model with fixed means. Each key holds the names of a long-running and a best-effort program. Pairs that are not in
// it don't interfere. The interference of the best-effort program "new" is unknown.
type model map[[2]string]float64

func (m model) Interference(longRunning, bestEffort string) (mean, deviation float64) {
	if bestEffort == "new" {
		return 0.3, 1.2
	}
	return m[[2]string{longRunning, bestEffort}], 0.05
}

var _ = Describe("Dispatcher", func() {
	const second = time.Second
	start := time.UnixMilli(1_000_000)
	var (
		d      *dispatcher.Dispatcher
		b      *bookkeeper.Bookkeeper
		vms    []*dispatcher.VM
		now    time.Time
		queues map[string]dispatcher.Queue
	)
	size := func(processors int64) resource.Amount {
		return resource.Amount{MilliProcessors: processors * 1000, MemoryBytes: processors}
	}
	BeforeEach(func() {
		d, b, vms, now = &dispatcher.Dispatcher{}, bookkeeper.New(), nil, start
		for n := range 4 {
			vms = append(vms, &dispatcher.VM{
				Name: fmt.Sprint("vm-", n), Service: "s", Rack: fmt.Sprint("r", n/2), Labels: []string{"a"},
				Capacity: resource.Amount{MilliProcessors: 32_000, MemoryBytes: 1000}, Schedulable: true,
			})
		}
		queues = map[string]dispatcher.Queue{
			"urgent": {Service: "s", Priority: 0, Stretch: 1.5, Target: second / 4},
			"builds": {Service: "s", Priority: 2, Stretch: 2, Target: second},
			"other":  {Service: "elsewhere"},
		}
	})
	accept := func(id, queue string, steps ...job.Step) *bookkeeper.Job {
		j := b.Accept(job.Job{ID: id, Queue: queue, Steps: steps, Occurrences: 1, AcceptedAt: now})
		b.OpenDueOccurrences(j, now)
		return j
	}
	plan := func() map[string]string {
		var steps []*bookkeeper.Step
		b.VisitReadySteps(func(s *bookkeeper.Step) { steps = append(steps, s) })
		placed := map[string]string{}
		for _, p := range d.Plan(now, now, steps, queues, vms) {
			b.RunStarted(p.Task, 1)
			placed[p.Task.ID().String()] = p.VM.Name
		}
		return placed
	}
	countOnVM := func(placed map[string]string, vm string) int {
		n := 0
		for _, name := range placed {
			if name == vm {
				n++
			}
		}
		return n
	}

	for name, c := range map[string]struct {
		step job.Step
		want int
	}{
		"as many tasks as fit":                                  {job.Step{TaskCount: 20, Size: size(10)}, 12},
		"as many tasks as fit into the memory":                  {job.Step{TaskCount: 20, Size: resource.Amount{MemoryBytes: 400}}, 8},
		"tasks up to the limit of tasks per VM":                 {job.Step{TaskCount: 20, Size: size(1), MaxPerVM: 2}, 8},
		"no task whose label no VM has":                         {job.Step{TaskCount: 1, Label: "b"}, 0},
		"a task whose label the VMs have":                       {job.Step{TaskCount: 1, Label: "a"}, 1},
		"no task that is larger than all VMs":                   {job.Step{TaskCount: 1, Size: size(33)}, 0},
		"all tasks of a gang":                                   {job.Step{TaskCount: 12, Size: size(10), Gang: true}, 12},
		"no task of a gang that does not fit":                   {job.Step{TaskCount: 13, Size: size(10), Gang: true}, 0},
		"as many best-effort tasks as there are processors for": {job.Step{TaskCount: 20, Size: size(10), BestEffort: true}, 12},
	} {
		It("starts "+name, func() {
			accept("j", "urgent", c.step)
			Expect(plan()).To(HaveLen(c.want))
		})
	}

	It("starts nothing while all VMs are unschedulable, whatever the queue", func() {
		for _, v := range vms {
			v.Schedulable = false
		}
		accept("j", "urgent", job.Step{TaskCount: 1})
		accept("k", "other", job.Step{TaskCount: 1})
		accept("l", "unknown", job.Step{TaskCount: 1})
		Expect(plan()).To(BeEmpty())
	})

	It("starts the tasks of a gang on its preferred rack if they should be on one rack and fit there", func() {
		accept("j", "urgent", job.Step{TaskCount: 4, Size: size(10), Gang: true, SameRack: true, PreferredRack: "r1"})
		placed := plan()
		Expect(placed).To(HaveLen(4))
		Expect(countOnVM(placed, "vm-2") + countOnVM(placed, "vm-3")).To(Equal(4))
	})

	It("starts tasks on their preferred rack while it has room, and then on others", func() {
		accept("j", "urgent", job.Step{TaskCount: 7, Size: size(10), PreferredRack: "r1"})
		placed := plan()
		Expect(countOnVM(placed, "vm-2") + countOnVM(placed, "vm-3")).To(Equal(6))
		Expect(placed).To(HaveLen(7))
	})

	// Load pattern: many jobs of low priority, such as builds, arrive at once and fill the VMs, while urgent tasks continue to arrive.
	It("starts urgent tasks before tasks of lower priority that arrived earlier", func() {
		accept("b", "builds", job.Step{TaskCount: 40, Size: size(4)})
		now = now.Add(second)
		accept("u", "urgent", job.Step{TaskCount: 8, Size: size(4)})
		placed := plan()
		for i := range 8 {
			Expect(placed).To(HaveKey(fmt.Sprintf("u.0.0.%d", i)))
		}
		Expect(placed).To(HaveLen(32))
	})

	// Load pattern: a backlog in which the oldest jobs can no longer meet their objectives. In the order of arrival, they would take all
	// capacity.
	It("starts jobs that can still meet their objectives before jobs that cannot", func() {
		accept("old", "builds", job.Step{TaskCount: 32, Size: size(4), Estimate: second})
		now = now.Add(4 * second)
		accept("new", "builds", job.Step{TaskCount: 32, Size: size(4), Estimate: second})
		placed := plan()
		Expect(placed).To(HaveLen(32))
		Expect(placed).To(HaveKey("new.0.0.0"))
		Expect(placed).NotTo(HaveKey("old.0.0.0"))
	})

	// Load pattern: a backlog of large and small jobs that can all still meet their objectives. In the order of arrival, the large jobs would
	// delay the small ones.
	It("starts the job with the least remaining work first", func() {
		accept("large", "builds", job.Step{TaskCount: 32, Size: size(4), Estimate: 2 * second})
		now = now.Add(second)
		accept("small", "builds", job.Step{TaskCount: 8, Size: size(4), Estimate: 2 * second})
		placed := plan()
		Expect(placed).To(HaveLen(32))
		for i := range 8 {
			Expect(placed).To(HaveKey(fmt.Sprintf("small.0.0.%d", i)))
		}
	})

	Describe("beside long-running tasks", func() {
		acceptLongRunning := func(id, image string, tasks int) {
			accept(id, "urgent", job.Step{TaskCount: tasks, Size: size(10), LongRunning: true, TailTarget: 20 * time.Millisecond, Program: image})
		}
		acceptBestEffort := func(id, image string, tasks int) {
			accept(id, "builds", job.Step{TaskCount: tasks, Size: size(4), BestEffort: true, Program: image})
		}

		// measuredVictims holds the measured victims on each VM. addMeasuredVictims adds the placed tasks to them, each with the own load.
		measuredVictims := map[*dispatcher.VM][]dispatcher.Victim{}
		addMeasuredVictims := func(placed map[string]string, ownLoad float64) {
			for task, name := range placed {
				for _, v := range vms {
					if v.Name == name {
						id, _ := job.ParseTask(task)
						measuredVictims[v] = append(measuredVictims[v], dispatcher.Victim{Program: b.Task(id).Step.Program, OwnLoad: ownLoad, Limit: 0.78})
						v.SetMeasuredVictims(measuredVictims[v])
					}
				}
			}
		}

		It("places tasks of few different long-running programs on each VM", func() {
			acceptLongRunning("a", "x", 3)
			acceptLongRunning("b", "y", 3)
			plan()
			acceptLongRunning("c", "x", 2)
			acceptLongRunning("d", "y", 2)
			placed := plan()
			Expect(placed["c.0.0.0"]).NotTo(Equal(placed["d.0.0.0"]))
		})

		It("lets best-effort tasks use half of the processors that long-running tasks reserve", func() {
			acceptLongRunning("a", "x", 12)
			Expect(plan()).To(HaveLen(12))
			acceptBestEffort("b", "p", 40)
			// 2 processors are free on each VM, and 15 of the 30 reserved ones are reclaimable.
			Expect(plan()).To(HaveLen(16))
		})

		// Load pattern: one of several best-effort programs interferes strongly with one long-running program. If the VM with the most spare
		// processors were chosen, the two programs would run on the same VM.
		It("places the tasks of an interfering program on VMs without victims first", func() {
			d.Model = model{{"x", "bad"}: 4}
			acceptLongRunning("a", "x", 1)
			placed := plan()
			victimVM := placed["a.0.0.0"]
			addMeasuredVictims(placed, 0.42)
			acceptBestEffort("b", "bad", 30)
			placed = plan()
			Expect(placed).To(HaveLen(24))
			Expect(countOnVM(placed, victimVM)).To(BeZero())
			now = now.Add(7 * second)
			Expect(countOnVM(plan(), victimVM)).To(BeNumerically(">", 0), "the tasks only wait for a limited time")
		})

		// Load pattern: a step with many tasks whose program has not been measured. If it started on all VMs, it could cause missed targets
		// everywhere at once.
		It("starts tasks of a program with unknown interference on only two VMs at first", func() {
			d.Model = model{}
			for _, image := range []string{"x", "y", "z", "w"} {
				acceptLongRunning("s-"+image, image, 3)
				addMeasuredVictims(plan(), 0.42)
			}
			acceptBestEffort("b", "new", 30)
			placed := plan()
			usedVMs := map[string]bool{}
			for _, vm := range placed {
				usedVMs[vm] = true
			}
			Expect(usedVMs).To(HaveLen(2))
			now = now.Add(1300 * time.Millisecond)
			Expect(plan()).NotTo(BeEmpty(), "the other tasks start after the trial")
		})

		// Load pattern: long-running tasks at the peak of their own load. Even weak interference would make them miss their targets.
		It("starts only tasks without interference where victims are near their limits", func() {
			d.Model = model{{"x", "some"}: 0.6}
			acceptLongRunning("a", "x", 12)
			addMeasuredVictims(plan(), 0.7)
			acceptBestEffort("b", "some", 4)
			Expect(plan()).To(BeEmpty())
			acceptBestEffort("c", "none", 4)
			Expect(plan()).To(HaveLen(4))
		})

		// Load pattern: a backlog of tasks with strong interference, and VMs with little capacity left for them. If these tasks started, they
		// would hardly make progress, but occupy memory that other tasks need.
		It("lets a task wait if it would be throttled to less than half of its full pace", func() {
			d.Model = model{{"x", "bad"}: 4}
			acceptLongRunning("a", "x", 12)
			addMeasuredVictims(plan(), 0.6)
			acceptBestEffort("b", "bad", 4)
			now = now.Add(10 * second)
			Expect(plan()).To(BeEmpty())
			vms[0].SetMeasuredVictims([]dispatcher.Victim{{Program: "x", OwnLoad: 0.2, Limit: 0.78}})
			placed := plan()
			Expect(placed).NotTo(BeEmpty())
			Expect(countOnVM(placed, "vm-0")).To(Equal(len(placed)))
		})

		// Load pattern: a program that interferes strongly with the victims on all VMs. An accepted task must not wait forever.
		It("starts a task that would be throttled on all VMs after a limited wait, on the VM where its pace would be highest", func() {
			d.Model = model{{"x", "bad"}: 4}
			acceptLongRunning("a", "x", 12)
			addMeasuredVictims(plan(), 0.68)
			vms[2].SetMeasuredVictims([]dispatcher.Victim{{Program: "x", OwnLoad: 0.64, Limit: 0.78}})
			acceptBestEffort("b", "bad", 1)
			now = now.Add(12 * second)
			Expect(plan()).To(BeEmpty())
			now = now.Add(6 * second)
			Expect(plan()).To(Equal(map[string]string{"b.0.0.0": "vm-2"}))
		})

		// Load pattern: the best-effort tasks on a VM are throttled. As soon as the own loads of the victims fall, these tasks work at full pace
		// again.
		It("counts throttled tasks at their full pace when it decides whether another interfering task may start", func() {
			d.Model = model{{"x", "bad"}: 2}
			acceptLongRunning("a", "x", 12)
			addMeasuredVictims(plan(), 0.42)
			acceptBestEffort("b", "bad", 40)
			placedFirst := plan()
			Expect(placedFirst).NotTo(BeEmpty())
			for _, v := range vms {
				v.SetProcessorsUnusedByThrottled(4000 * int64(countOnVM(placedFirst, v.Name)))
			}
			Expect(plan()).To(BeEmpty())
		})

		// Load pattern: tasks are moved away from a VM with a missed target one after the other, while new tasks arrive.
		It("starts no interfering task on a VM where a target is missed", func() {
			d.Model = model{{"x", "some"}: 0.6}
			acceptLongRunning("a", "x", 12)
			addMeasuredVictims(plan(), 0.42)
			for _, v := range vms {
				v.TargetMissed = true
			}
			acceptBestEffort("b", "some", 40)
			now = now.Add(10 * second)
			for _, v := range vms {
				v.SetMeasuredVictims([]dispatcher.Victim{{Program: "x", OwnLoad: 0.7, Limit: 0.78}})
			}
			Expect(plan()).To(BeEmpty())
			acceptBestEffort("c", "none", 4)
			Expect(plan()).To(HaveLen(4))
		})

		// Guards against a task that never starts while a target is missed on each VM.
		It("starts a task that has lost too much time where it interferes least, even if targets are missed on all VMs", func() {
			d.Model = model{{"x", "bad"}: 4}
			acceptLongRunning("a", "x", 12)
			addMeasuredVictims(plan(), 0.9)
			vms[2].SetMeasuredVictims([]dispatcher.Victim{{Program: "x", OwnLoad: 0.6, Limit: 0.78}})
			for _, v := range vms {
				v.TargetMissed = true
			}
			acceptBestEffort("b", "bad", 1)
			now = now.Add(dispatcher.MaxInterferenceWait - 1)
			Expect(plan()).To(BeEmpty())
			now = now.Add(1)
			Expect(plan()).To(Equal(map[string]string{"b.0.0.0": "vm-2"}))
		})

		// Guards against jobs without runs while most processors are not reserved: best-effort tasks on all VMs counted as if they were reserved.
		It("soon starts one task of each job without runs while most processors are not reserved", func() {
			d.Model = model{{"x", "bad"}: 4}
			accept("a", "urgent", job.Step{TaskCount: 4, MaxPerVM: 1, Size: size(10), LongRunning: true, TailTarget: 20 * time.Millisecond, Program: "x"})
			addMeasuredVictims(plan(), 0.76)
			acceptBestEffort("none", "none", 16)
			Expect(plan()).To(HaveLen(16), "these tasks use more than half of the processors")
			acceptBestEffort("b", "bad", 3)
			acceptBestEffort("c", "bad", 3)
			now = now.Add(1900 * time.Millisecond)
			Expect(plan()).To(BeEmpty())
			now = now.Add(100 * time.Millisecond)
			placed := plan()
			Expect(placed).To(HaveLen(2))
			Expect(placed).To(HaveKey("b.0.0.0"))
			Expect(placed).To(HaveKey("c.0.0.0"))
			Expect(placed["b.0.0.0"]).NotTo(Equal(placed["c.0.0.0"]), "they must not disturb the victims of one VM only")
		})

		// Guards against a job that stands still while the best-effort tasks of other jobs take all processors, of which none is reserved.
		It("starts one task of a job without runs although best-effort tasks take all processors", func() {
			acceptBestEffort("others", "p", 40)
			Expect(plan()).To(HaveLen(32))
			acceptBestEffort("b", "p", 2)
			now = now.Add(2499 * time.Millisecond)
			Expect(plan()).To(BeEmpty())
			now = now.Add(time.Millisecond)
			Expect(plan()).To(HaveLen(1))
		})

		// Guards against a task that never starts because it needs more processors than the long-running tasks leave on any VM.
		It("starts a task that has lost too much time where most processors are left, if no VM has as many as it needs", func() {
			acceptLongRunning("a", "x", 12)
			Expect(plan()).To(HaveLen(12))
			accept("b", "builds", job.Step{TaskCount: 1, Size: size(24), BestEffort: true, Program: "p"})
			now = now.Add(dispatcher.MaxInterferenceWait - 1)
			Expect(plan()).To(BeEmpty())
			now = now.Add(1)
			Expect(plan()).To(HaveLen(1))
		})

		// Guards against a waiting task of which the log does not show what keeps it from starting.
		It("tells on how many VMs a task must not start, and why", func() {
			d.Model = model{{"x", "bad"}: 4}
			acceptLongRunning("a", "x", 12)
			addMeasuredVictims(plan(), 0.68)
			vms[1].TargetMissed, vms[3].Schedulable = true, false
			vms[2].SetProcessorsUnusedByThrottled(-20_000)
			acceptBestEffort("b", "bad", 1)
			Expect(plan()).To(BeEmpty())
			Expect(d.Refusals(now, b.Task(job.Task{Job: "b"}), "s", vms)).To(Equal(map[string]int{
				dispatcher.RefusedInterference: 1, dispatcher.RefusedTargetMissed: 1, dispatcher.RefusedProcessors: 1, dispatcher.RefusedUnschedulable: 1,
			}))
		})

		// Load pattern: many tasks that each interfere a little. A single one causes no missed target, but all of them on one VM do.
		It("adds up the interference of all best-effort tasks on a VM", func() {
			d.Model = model{{"x", "some"}: 0.6}
			acceptLongRunning("a", "x", 12)
			addMeasuredVictims(plan(), 0.42)
			acceptBestEffort("b", "some", 40)
			placed := plan()
			for _, v := range vms {
				Expect(countOnVM(placed, v.Name)).To(BeNumerically("<=", 3))
			}
			Expect(placed).NotTo(BeEmpty())
		})
	})
})
