package dispatcher_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/delayer"
	"bamboohook/internal/batch/dispatcher"
	"bamboohook/internal/batch/job"
	"bamboohook/resource"
)

// Racks r0 and r1 have two VMs each with room for three tasks of 10 processors. On r1, where all VMs are full, five such runs end each second.
var _ = Describe("Dispatcher, on waits for a preferred rack", func() {
	const second, millisecond = time.Second, time.Millisecond
	var (
		d      *dispatcher.Dispatcher
		b      *bookkeeper.Bookkeeper
		vms    []*dispatcher.VM
		now    time.Time
		filler *bookkeeper.Job
	)
	rack := delayer.Rack{Service: "s", Name: "r1"}
	size := resource.Amount{MilliProcessors: 10_000, MemoryBytes: 10}
	accept := func(id string, steps ...job.Step) *bookkeeper.Job {
		j := b.Accept(job.Job{ID: id, Queue: "q", Steps: steps, Occurrences: 1, AcceptedAt: now})
		b.OpenDueOccurrences(j, now)
		return j
	}
	task := func(j *bookkeeper.Job, n int) *bookkeeper.Task { return b.Task(job.Task{Job: j.ID, Index: n}) }
	plan := func() map[string]dispatcher.Placement {
		var steps []*bookkeeper.Step
		b.VisitReadySteps(func(s *bookkeeper.Step) { steps = append(steps, s) })
		placed := map[string]dispatcher.Placement{}
		for _, p := range d.Plan(now, now, steps, map[string]dispatcher.Queue{"q": {Service: "s", Stretch: 3, Target: 5 * second}}, vms) {
			b.RunStarted(p.Task, 1)
			placed[p.Task.ID().String()] = p
		}
		return placed
	}
	// fill makes tasks of the filler run on all that is free on the VM.
	fill := func(n int) {
		for range 3 {
			vms[n].Add(task(filler, 0))
		}
	}
	local := func(tasks int) job.Step {
		return job.Step{TaskCount: tasks, Size: size, Estimate: second, PreferredRack: "r1"}
	}
	learn := func() {
		for range 50 {
			now = now.Add(second / 5)
			d.Delayer.RunEnded(now, rack, size, false)
		}
	}
	BeforeEach(func() {
		d, b, vms, now = &dispatcher.Dispatcher{Delayer: &delayer.Delayer{RemoteFactor: 2}}, bookkeeper.New(), nil, time.UnixMilli(1_000_000)
		for n := range 4 {
			vms = append(vms, &dispatcher.VM{
				Name: fmt.Sprint("vm-", n), Service: "s", Rack: fmt.Sprint("r", n/2),
				Capacity: resource.Amount{MilliProcessors: 32_000, MemoryBytes: 1000}, Schedulable: true,
			})
		}
		filler = accept("filler", job.Step{TaskCount: 1, Size: size})
		plan()
		vms[0].Reset()
		vms[1].Reset()
		vms[2].Reset()
		vms[3].Reset()
		fill(2)
		fill(3)
		learn()
	})

	It("lets a task wait, and starts it on the rack as soon as a run has ended there", func() {
		accept("j", local(1))
		Expect(plan()).To(BeEmpty())
		Expect(d.BegunRackWaits()).To(HaveLen(1))
		Expect(d.BegunRackWaits()[0].Decision.Expected).To(BeNumerically("~", 200*millisecond, 30*millisecond))
		now = now.Add(150 * millisecond)
		Expect(plan()).To(BeEmpty())
		Expect(d.BegunRackWaits()).To(BeEmpty(), "the wait goes on")
		vms[3].Remove(task(filler, 0))
		p := plan()["j.0.0.0"]
		Expect([]any{p.VM.Name, p.OffRack, now.Sub(p.RackWait.Since)}).To(Equal([]any{"vm-3", false, 150 * millisecond}))
	})

	It("starts a task elsewhere after the time that a start on the rack would save", func() {
		accept("j", local(1))
		for range 9 {
			Expect(plan()).To(BeEmpty())
			now = now.Add(100 * millisecond)
			d.Delayer.RunEnded(now, rack, size, false)
		}
		now = now.Add(100 * millisecond)
		p := plan()["j.0.0.0"]
		Expect([]any{p.VM.Rack, p.OffRack, p.OffRackReason, now.Sub(p.RackWait.Since)}).To(Equal([]any{"r0", true, delayer.WaitedEnough, second}))
	})

	It("lets only as many tasks of a step wait as places are expected in time", func() {
		accept("j", local(12))
		placed := plan()
		Expect(d.BegunRackWaits()).To(HaveLen(5))
		Expect(placed).To(HaveLen(6), "the other rack has room for six")
		for _, p := range placed {
			Expect([]any{p.OffRack, p.OffRackReason}).To(Equal([]any{true, delayer.TooSlow}))
		}
	})

	It("counts the tasks of other jobs that wait before", func() {
		accept("a", local(4))
		accept("b", local(4))
		Expect(plan()).To(HaveLen(3))
		Expect(d.BegunRackWaits()).To(HaveLen(5))
	})

	for name, c := range map[string]struct {
		change func()
		step   func(*job.Step)
		reason string
	}{
		"that is long-running":                  {func() {}, func(s *job.Step) { s.LongRunning = true }, dispatcher.RackNotAwaited},
		"whose duration is unknown":             {func() {}, func(s *job.Step) { s.Estimate = 0 }, delayer.NothingSaved},
		"after a change of the owner":           {func() { d.Delayer = &delayer.Delayer{RemoteFactor: 2} }, func(*job.Step) {}, delayer.RateUnknown},
		"without a penalty for other racks":     {func() { d.Delayer.RemoteFactor = 0 }, func(*job.Step) {}, delayer.NothingSaved},
		"if no task may wait":                   {func() { d.Delayer = nil }, func(*job.Step) {}, ""},
		"that prefers an unknown rack":          {func() {}, func(s *job.Step) { s.PreferredRack = "r9" }, dispatcher.RackUnusable},
		"that is too large for VMs of the rack": {func() { vms[2].Capacity.MilliProcessors, vms[3].Capacity.MilliProcessors = 8000, 8000 }, func(*job.Step) {}, dispatcher.RackUnusable},
		"while the rack is draining":            {func() { vms[2].Schedulable, vms[3].Schedulable = false, false }, func(*job.Step) {}, dispatcher.RackUnusable},
		"after the VMs of the rack were lost":   {func() { vms = vms[:2] }, func(*job.Step) {}, dispatcher.RackUnusable},
		"that must not start on the rack": {
			func() { d.Excludes = func(_ *bookkeeper.Task, v *dispatcher.VM) bool { return v.Rack == "r1" } },
			func(*job.Step) {}, dispatcher.RackUnusable,
		},
	} {
		It("starts a task elsewhere at once "+name, func() {
			s := local(1)
			c.step(&s)
			accept("j", s)
			c.change()
			placed := plan()
			Expect(placed).To(HaveKey("j.0.0.0"))
			Expect([]any{placed["j.0.0.0"].OffRackReason, placed["j.0.0.0"].RackWait}).To(Equal([]any{c.reason, (*dispatcher.RackWait)(nil)}))
		})
	}

	for name, change := range map[string]func(){
		"are lost":                         func() { vms = vms[:2] },
		"drain":                            func() { vms[2].Schedulable, vms[3].Schedulable = false, false },
		"are filled by long-running tasks": func() { fillWithLongRunning(b, vms[2:], now) },
	} {
		// Guards against tasks that wait for a place that cannot become free any more.
		It("starts waiting tasks elsewhere at once when the VMs of the rack "+name, func() {
			accept("j", local(2))
			Expect(plan()).To(BeEmpty())
			now = now.Add(50 * millisecond)
			change()
			placed := plan()
			Expect(placed).To(HaveLen(2))
			Expect(placed["j.0.0.0"].OffRackReason).To(Equal(dispatcher.RackUnusable))
		})
	}

	// Guards against a task that loses its checkpoint's advantage: how much of its work is left is unknown.
	It("starts a task that resumes from a checkpoint elsewhere at once", func() {
		s := local(1)
		s.Resumable = true
		j := accept("j", s)
		b.SetCheckpoint(task(j, 0), "c")
		Expect(plan()["j.0.0.0"].OffRackReason).To(Equal(dispatcher.RackNotAwaited))
	})

	It("never lets a job without runs wait for 2.5 s, whatever that saves", func() {
		s := local(1)
		s.Estimate = 20 * second
		accept("j", s)
		begin := now
		for len(plan()) == 0 {
			now = now.Add(20 * millisecond)
			d.Delayer.RunEnded(now, rack, size, false)
		}
		Expect(now.Sub(begin)).To(Equal(2 * second))
	})

	It("starts a task that waits elsewhere if its job has no run any more and has waited for 2 s", func() {
		s := local(2)
		s.Estimate = 20 * second
		j := accept("j", s)
		b.RunStarted(task(j, 0), 1)
		for range 30 {
			Expect(plan()).To(BeEmpty())
			now = now.Add(100 * millisecond)
			d.Delayer.RunEnded(now, rack, size, false)
		}
		b.TaskDone(task(j, 0), now)
		Expect(plan()).To(HaveKey("j.0.0.1"))
	})

	// Guards against best-effort tasks that wait for a rack although they have lost much time already.
	It("starts an overdue task elsewhere at once", func() {
		s := local(2)
		s.BestEffort, s.Estimate = true, time.Hour
		j := accept("j", s)
		for n := range 2 {
			b.RunStarted(task(j, n), 1)
		}
		b.WaitAgain(task(j, 0), now, dispatcher.MaxInterferenceWait-1)
		Expect(plan()).To(BeEmpty())
		now = now.Add(1)
		Expect(plan()["j.0.0.0"].OffRackReason).To(Equal(dispatcher.RackNotAwaited))
	})

	// Guards against a job that stands still: its task goes before all others after 15 s, and then starts wherever it can.
	It("starts a starving task elsewhere at once", func() {
		accept("j", local(1))
		vms[0].Schedulable, vms[1].Schedulable = false, false
		Expect(plan()).To(BeEmpty())
		now = now.Add(dispatcher.StarvationTime)
		vms[0].Schedulable = true
		learn()
		Expect(plan()["j.0.0.0"].OffRack).To(BeTrue())
	})

	gang := func(tasks int) job.Step {
		return job.Step{TaskCount: tasks, Size: size, Estimate: 4 * second, Gang: true, SameRack: true}
	}
	It("starts a gang on the rack that has room for it", func() {
		accept("j", gang(6))
		placed := plan()
		Expect(placed).To(HaveLen(6))
		Expect(placed["j.0.0.0"].OffRack).To(BeFalse())
	})

	// spread leaves two places free on vm-0, none on vm-1, and one on vm-2 and vm-3 each.
	spread := func() {
		vms[0].Add(task(filler, 0))
		fill(1)
		vms[2].Remove(task(filler, 0))
		vms[3].Remove(task(filler, 0))
	}

	It("lets a gang wait for places on one rack, and starts all of it there", func() {
		spread()
		accept("j", gang(4))
		Expect(plan()).To(BeEmpty())
		Expect(d.BegunRackWaits()).To(HaveLen(1))
		Expect(d.BegunRackWaits()[0].Rack).To(Equal("r1"))
		now = now.Add(100 * millisecond)
		vms[2].Remove(task(filler, 0))
		Expect(plan()).To(BeEmpty())
		vms[3].Remove(task(filler, 0))
		placed := plan()
		Expect(placed).To(HaveLen(4))
		for _, p := range placed {
			Expect([]any{p.VM.Rack, p.OffRack}).To(Equal([]any{"r1", false}))
		}
		Expect(placed["j.0.0.0"].RackWait).NotTo(BeNil())
	})

	for name, c := range map[string]struct {
		estimate time.Duration
		change   func()
		reason   string
	}{
		"if a rack would have room too late":                {200 * millisecond, func() {}, delayer.TooSlow},
		"if no rack can have room for it":                   {4 * second, func() { vms[1].Schedulable, vms[2].Schedulable = false, false; vms[3].Reset() }, dispatcher.RackUnusable},
		"if nothing is known of the ends of runs on a rack": {4 * second, func() { d.Delayer = &delayer.Delayer{RemoteFactor: 2} }, delayer.RateUnknown},
		"if no task may wait":                               {4 * second, func() { d.Delayer = nil }, ""},
	} {
		It("spreads a gang over the racks at once "+name, func() {
			spread()
			s := gang(4)
			s.Estimate = c.estimate
			accept("j", s)
			c.change()
			placed := plan()
			Expect(placed).To(HaveLen(4))
			for _, p := range placed {
				Expect([]any{p.OffRack, p.OffRackReason}).To(Equal([]any{true, c.reason}))
			}
		})
	}

	// Guards against a gang of which some members run and others wait.
	It("starts no gang of which a part still runs", func() {
		j := accept("j", gang(4))
		b.RunStarted(task(j, 0), 1)
		Expect(plan()).To(BeEmpty())
		Expect(d.BegunRackWaits()).To(BeEmpty())
	})
})

// fillWithLongRunning replaces all runs on the VMs by long-running tasks that leave no room.
func fillWithLongRunning(b *bookkeeper.Bookkeeper, vms []*dispatcher.VM, now time.Time) {
	for _, v := range vms {
		j := b.Accept(job.Job{ID: v.Name, Queue: "other", Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: resource.Amount{MilliProcessors: 30_000}, LongRunning: true}}})
		b.OpenDueOccurrences(j, now)
		v.Reset()
		t := b.Task(job.Task{Job: j.ID})
		b.RunStarted(t, 1)
		v.Add(t)
	}
}
