package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/delayer"
	"bamboohook/internal/batch/dispatcher"
	"bamboohook/internal/batch/job"
	"bamboohook/resource"
)

// fixedModel is an interference model in which all programs interfere with each other by the same amount.
type fixedModel struct{ estimates map[string]map[string]float64 }

func (m fixedModel) Interference(longRunning, bestEffort string) (mean, deviation float64) {
	return m.estimates[longRunning][bestEffort], 0.1
}

// BenchmarkPlan measures a plan while the VMs are almost full and the steps of many jobs wait: long-running tasks with latency targets reserve half of
// each VM, and best-effort tasks of a few sizes use what these leave. In each plan, the tasks on one VM have ended.
func BenchmarkPlan(b *testing.B) {
	for _, c := range []struct{ vms, jobs int }{{14, 20}, {240, 260}, {240, 1000}, {2700, 1000}} {
		b.Run(fmt.Sprintf("%d VMs, %d jobs", c.vms, c.jobs), func(b *testing.B) {
			now := time.UnixMilli(1_000_000)
			keeper, d := bookkeeper.New(), &dispatcher.Dispatcher{Model: fixedModel{map[string]map[string]float64{}}}
			for n := range 8 {
				d.Model.(fixedModel).estimates[fmt.Sprint("serving", n)] = map[string]float64{"preview": 0.1, "buildall": 0.3}
			}
			queues := map[string]dispatcher.Queue{"q": {Service: "s", Stretch: 2, Target: time.Second}}
			accept := func(id string, step job.Step) {
				keeper.OpenDueOccurrences(keeper.Accept(job.Job{ID: id, Queue: "q", Occurrences: 1, AcceptedAt: now, Steps: []job.Step{step}}), now)
			}
			var vms []*dispatcher.VM
			for n := range c.vms {
				v := &dispatcher.VM{
					Name: fmt.Sprint("vm", n), Service: "s", Schedulable: true,
					Capacity: resource.Amount{MilliProcessors: 64_000, MemoryBytes: 250_000},
				}
				var victims []dispatcher.Victim
				for k := range 4 {
					victims = append(victims, dispatcher.Victim{Program: fmt.Sprint("serving", (n+k)%8), OwnLoad: 0.3, Limit: 0.6})
				}
				v.SetMeasuredVictims(victims)
				vms = append(vms, v)
			}
			for n := range 8 {
				accept(fmt.Sprint("serving", n), job.Step{
					TaskCount: c.vms / 2, Size: resource.Amount{MilliProcessors: 8000, MemoryBytes: 1000}, Program: fmt.Sprint("serving", n), LongRunning: true,
					TailTarget: 100 * time.Millisecond,
				})
			}
			plan := func() []dispatcher.Placement {
				var steps []*bookkeeper.Step
				keeper.VisitReadySteps(func(s *bookkeeper.Step) { steps = append(steps, s) })
				return d.Plan(now, now, steps, queues, vms)
			}
			run := func(placements []dispatcher.Placement) {
				for _, p := range placements {
					keeper.RunStarted(p.Task, 1)
				}
			}
			run(plan())
			for n := range c.jobs {
				program, processors := "preview", int64(2800)
				if n%6 == 0 {
					program, processors = "buildall", 7000
				}
				accept(fmt.Sprint("job", n), job.Step{
					TaskCount: 26, Size: resource.Amount{MilliProcessors: processors, MemoryBytes: 2000}, Program: program, BestEffort: true, Estimate: time.Second,
				})
			}
			now = now.Add(20 * time.Millisecond)
			run(plan())
			placed := 0
			for b.Loop() {
				now = now.Add(time.Millisecond)
				placements := plan()
				placed += len(placements)
				for _, p := range placements {
					p.VM.Remove(p.Task)
				}
			}
			b.ReportMetric(float64(placed)/float64(b.N), "placed/op")
		})
	}
}

// BenchmarkPlanWithRacks measures a plan of 300 VMs on 20 racks while many tasks wait for places on full racks and could start on the others.
func BenchmarkPlanWithRacks(b *testing.B) {
	for name, factor := range map[string]float64{"waiting": 2, "never waiting": 0} {
		b.Run(name, func(b *testing.B) {
			now := time.UnixMilli(1_000_000)
			size := resource.Amount{MilliProcessors: 1000, MemoryBytes: 1000}
			keeper, d := bookkeeper.New(), &dispatcher.Dispatcher{Delayer: &delayer.Delayer{RemoteFactor: factor}}
			accept := func(id string, step job.Step) *bookkeeper.Job {
				j := keeper.Accept(job.Job{ID: id, Queue: "q", Occurrences: 1, AcceptedAt: now, Steps: []job.Step{step}})
				keeper.OpenDueOccurrences(j, now)
				return j
			}
			var vms []*dispatcher.VM
			filler := keeper.Task(job.Task{Job: accept("filler", job.Step{TaskCount: 1, Size: size}).ID})
			keeper.RunStarted(filler, 1)
			for n := range 300 {
				v := &dispatcher.VM{
					Name: fmt.Sprint("vm", n), Service: "s", Rack: fmt.Sprint("r", n%20), Schedulable: true,
					Capacity: resource.Amount{MilliProcessors: 32_000, MemoryBytes: 250_000},
				}
				if n%20 < 10 {
					for range 32 {
						v.Add(filler)
					}
				}
				vms = append(vms, v)
			}
			for range 1000 {
				now = now.Add(5 * time.Millisecond)
				for n := range 10 {
					d.Delayer.RunEnded(now, delayer.Rack{Service: "s", Name: fmt.Sprint("r", n)}, size, false)
				}
			}
			for n := range 100 {
				accept(fmt.Sprint("job", n), job.Step{TaskCount: 20, Size: size, Estimate: time.Second, PreferredRack: fmt.Sprint("r", n%10)})
			}
			queues := map[string]dispatcher.Queue{"q": {Service: "s", Stretch: 3, Target: 10 * time.Second}}
			placed := 0
			for b.Loop() {
				var steps []*bookkeeper.Step
				keeper.VisitReadySteps(func(s *bookkeeper.Step) { steps = append(steps, s) })
				placements := d.Plan(now, now, steps, queues, vms)
				placed += len(placements)
				for _, p := range placements {
					p.VM.Remove(p.Task)
				}
			}
			b.ReportMetric(float64(placed)/float64(b.N), "placed/op")
		})
	}
}
