package coordinator_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/job"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/storekeeper"
	"bamboohook/resource"
)

var _ = Describe("Coordinator", func() {
	ctx := context.Background()
	var f *fleet
	BeforeEach(func() {
		f = newFleet(3)
		f.run(time.Second)
	})
	size := resource.Amount{MilliProcessors: 2000, MemoryBytes: 10}
	two := func(id string) job.Job {
		return job.Job{ID: id, Occurrences: 1, Steps: []job.Step{{Tasks: 3, Size: size}, {Tasks: 1, Size: size, After: []int{0}}}}
	}
	// submit returns the answer once the journal has been flushed.
	submit := func(j job.Job) messenger.JobResponse {
		answered := make(chan messenger.JobResponse, 1)
		go func() { answered <- f.c.Submit(ctx, messenger.JobRequest{Job: j, Queue: "q"}) }()
		var answer messenger.JobResponse
		Eventually(func() bool {
			f.j.flush()
			select {
			case answer = <-answered:
				return true
			default:
				return false
			}
		}).Should(BeTrue())
		return answer
	}
	state := func(id string) string {
		return f.c.State(ctx, messenger.JobRequest{ID: id, Queue: "q"}).State
	}

	It("runs the steps of a job in order and shows it as completed once that is recorded", func() {
		Expect(submit(two("a")).Outcome).To(Equal(messenger.OutcomeDone))
		f.run(200 * time.Millisecond)
		Expect(f.running()).To(HaveLen(3))
		f.endAll(messenger.RunDone)
		f.run(300 * time.Millisecond)
		Expect(f.running()).To(Equal(map[string]int{"a.0.1.0": 1}))
		f.j.held = true
		f.endAll(messenger.RunDone)
		f.run(600 * time.Millisecond)
		Expect(state("a")).To(Equal("running"))
		f.j.held = false
		f.run(300 * time.Millisecond)
		Expect(state("a")).To(Equal("completed"))
	})

	It("lets an endpoint forget an end only after it is recorded", func() {
		submit(two("a"))
		f.run(200 * time.Millisecond)
		f.j.held = true
		f.endAll(messenger.RunDone)
		f.run(time.Second)
		left := 0
		for _, a := range f.agents {
			left += len(a.ends)
		}
		Expect(left).To(Equal(3))
		f.j.held = false
		f.run(600 * time.Millisecond)
		for _, a := range f.agents {
			Expect(a.ends).To(BeEmpty())
		}
	})

	for name, c := range map[string]struct {
		before func()
		change func(call *messenger.JobRequest)
		want   string
	}{
		"a repeat":                  {func() { submit(two("a")) }, nil, messenger.OutcomeDone},
		"an unknown queue":          {nil, func(c *messenger.JobRequest) { c.Queue = "new" }, messenger.OutcomeNotOwner},
		"a wrong job":               {nil, func(c *messenger.JobRequest) { c.Job.Steps = nil }, messenger.OutcomeInvalid},
		"a job that no VM can run":  {nil, func(c *messenger.JobRequest) { c.Job.Steps[1].Size.MilliProcessors = 5000 }, messenger.OutcomeNotExecuted},
		"a label of no VM":          {nil, func(c *messenger.JobRequest) { c.Job.Steps[0].Label = "x" }, messenger.OutcomeNotExecuted},
		"a troubled store":          {func() { f.j.troubled = true }, nil, messenger.OutcomeNotExecuted},
		"an entry that is no owner": {func() { f.c.Resign(1, "test") }, nil, messenger.OutcomeNotOwner},
		"a store that refuses":      {func() { f.j.err = storekeeper.ErrNotAppended }, nil, messenger.OutcomeNotExecuted},
		"another owner":             {func() { f.j.err = storekeeper.ErrFenced }, nil, messenger.OutcomeNotOwner},
	} {
		It("answers the submission of "+name, func() {
			if c.before != nil {
				c.before()
			}
			call := messenger.JobRequest{Job: two("a"), Queue: "q"}
			if c.change != nil {
				c.change(&call)
			}
			answered := make(chan messenger.JobResponse, 1)
			go func() { answered <- f.c.Submit(ctx, call) }()
			var answer messenger.JobResponse
			Eventually(func() bool {
				f.j.flush()
				select {
				case answer = <-answered:
					return true
				default:
					return false
				}
			}).Should(BeTrue())
			Expect(answer.Outcome).To(Equal(c.want))
			if c.want == messenger.OutcomeNotExecuted {
				Expect(answer.RetryAfter).NotTo(BeZero())
				f.run(time.Second)
				Expect(f.running()).To(BeEmpty())
			}
		})
	}

	It("counts jobs that have not begun, and only those of the queue", func() {
		for _, a := range f.agents {
			a.state = messenger.VMDraining
		}
		f.run(400 * time.Millisecond)
		submit(two("a"))
		f.run(400 * time.Millisecond)
		Expect(f.c.Count(ctx, messenger.JobRequest{Queue: "q"}).Count).To(Equal(1))
		Expect(f.c.Count(ctx, messenger.JobRequest{Queue: "p"}).Count).To(BeZero())
		Expect(state("a")).To(Equal("queued"))
		Expect(f.running()).To(BeEmpty())
	})

	It("cancels a job: its runs stop and the answer follows the record", func() {
		submit(two("a"))
		f.run(200 * time.Millisecond)
		answered := make(chan messenger.JobResponse, 1)
		go func() { answered <- f.c.Cancel(ctx, messenger.JobRequest{ID: "a", Queue: "q"}) }()
		Consistently(answered).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
		f.run(400 * time.Millisecond)
		Eventually(answered).Should(Receive(HaveField("Outcome", messenger.OutcomeDone)))
		Expect(f.running()).To(BeEmpty())
		Expect(state("a")).To(Equal("cancelled"))
		Expect(f.c.Cancel(ctx, messenger.JobRequest{ID: "b", Queue: "q"}).Outcome).To(Equal(messenger.OutcomeNotFound))
	})

	It("fails a job whose task fails as often as is allowed, and stops its other runs", func() {
		submit(two("a"))
		f.run(200 * time.Millisecond)
		for range 2 {
			for _, a := range f.agents {
				a.end("a.0.0.1", messenger.RunFailed)
			}
			f.run(600 * time.Millisecond)
		}
		Expect(state("a")).To(Equal("failed"))
		Expect(f.running()).To(BeEmpty())
	})

	It("keeps long-running tasks running however they end", func() {
		submit(job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{Tasks: 2, Size: size, LongRunning: true}}})
		f.run(200 * time.Millisecond)
		for _, how := range []string{messenger.RunFailed, messenger.RunFailed, messenger.RunFailed, messenger.RunLeaseExpired} {
			f.endAll(how)
			f.run(time.Second)
			Expect(f.running()).To(HaveLen(2))
		}
		Expect(state("a")).To(Equal("running"))
	})

	Describe("with agents that fail", func() {
		It("repeats an order without an answer and starts the task once", func() {
			for _, a := range f.agents {
				a.lost = true
			}
			submit(two("a"))
			f.run(time.Second)
			for _, a := range f.agents {
				a.lost = false
			}
			f.run(time.Second)
			Expect(f.running()).To(Equal(map[string]int{"a.0.0.0": 1, "a.0.0.1": 1, "a.0.0.2": 1}))
			for _, a := range f.agents {
				Expect(len(a.starts)).To(BeNumerically("<=", 3))
			}
		})

		It("starts a task elsewhere after a refusal", func() {
			for _, a := range f.agents {
				a.refuse = "no-grant"
			}
			f.agents["vm-2"].refuse = ""
			submit(job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{Tasks: 2, Size: size}}})
			f.run(3 * time.Second)
			Expect(f.agents["vm-2"].runs).To(HaveLen(2))
		})

		// Guards against a second run while the first one may still be alive at a VM that is cut off.
		It("waits for the leases of a silent VM to lapse before it starts its tasks elsewhere", func() {
			submit(two("a"))
			f.run(200 * time.Millisecond)
			var silent *agent
			for _, a := range f.agents {
				if len(a.runs) > 0 {
					silent = a
					break
				}
			}
			silent.silent = true
			f.run(5 * time.Second)
			for _, count := range f.running() {
				Expect(count).To(Equal(1))
			}
			silent.runs = map[string]messenger.Run{}
			f.run(2 * time.Second)
			Expect(f.running()).To(HaveLen(3))
		})

		It("restarts the tasks of an endpoint that was replaced", func() {
			submit(two("a"))
			f.run(200 * time.Millisecond)
			for _, a := range f.agents {
				a.life++
				a.runs, a.ends, a.next = map[string]messenger.Run{}, nil, 1
			}
			f.run(time.Second)
			Expect(f.running()).To(HaveLen(3))
		})

		It("moves long-running tasks away from a draining VM and starts nothing there", func() {
			submit(job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{Tasks: 3, Size: size, LongRunning: true, MaxPerVM: 2}}})
			f.run(200 * time.Millisecond)
			for _, a := range f.agents {
				if len(a.runs) > 0 {
					a.state = messenger.VMDraining
					break
				}
			}
			f.run(time.Second)
			Expect(f.running()).To(HaveLen(3))
			for _, a := range f.agents {
				Expect(a.state == messenger.VMDraining && len(a.runs) > 0).To(BeFalse())
			}
		})

		It("starts nothing while it may not grant", func() {
			f.grant = false
			submit(two("a"))
			f.run(time.Second)
			Expect(f.running()).To(BeEmpty())
		})
	})

	Describe("as a successor", func() {
		It("adopts what runs and goes on", func() {
			submit(two("a"))
			f.run(200 * time.Millisecond)
			f.boot()
			f.run(time.Second)
			Expect(f.running()).To(Equal(map[string]int{"a.0.0.0": 1, "a.0.0.1": 1, "a.0.0.2": 1}))
			f.endAll(messenger.RunDone)
			f.run(time.Second)
			f.endAll(messenger.RunDone)
			f.run(time.Second)
			Expect(state("a")).To(Equal("completed"))
			for _, a := range f.agents {
				Expect(a.stops).To(BeEmpty())
			}
		})

		// Guards against a second run of a task whose end its predecessor took but did not record.
		It("takes over ends that were not recorded", func() {
			submit(two("a"))
			f.run(200 * time.Millisecond)
			f.j.held = true
			f.endAll(messenger.RunDone)
			f.run(400 * time.Millisecond)
			Expect(f.running()).To(Equal(map[string]int{"a.0.1.0": 1}))
			f.boot()
			f.run(2 * time.Second)
			Expect(f.running()).To(Equal(map[string]int{"a.0.1.0": 1}))
			starts := 0
			for _, a := range f.agents {
				starts += len(a.starts)
			}
			Expect(starts).To(Equal(4))
		})

		// Guards against an end that an owner lets be forgotten because of a cancellation that it could not record.
		It("does not repeat a task that ended after a cancellation that was not recorded", func() {
			submit(two("a"))
			f.run(200 * time.Millisecond)
			f.j.held = true
			entered := make(chan struct{})
			go func() {
				defer close(entered)
				limit, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
				defer cancel()
				f.c.Cancel(limit, messenger.JobRequest{ID: "a", Queue: "q"})
			}()
			<-entered
			for _, a := range f.agents {
				a.end("a.0.0.1", messenger.RunDone)
			}
			Eventually(func() int { f.run(200 * time.Millisecond); return len(f.running()) }).Should(BeZero())
			f.run(time.Second)
			f.boot()
			f.run(2 * time.Second)
			Expect(f.running()).To(Equal(map[string]int{"a.0.0.0": 1, "a.0.0.2": 1}))
		})

		// Guards against a job that is failed because two owners count one failure each.
		It("counts a failure once that its predecessor recorded", func() {
			submit(job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{Tasks: 1, Size: size}}})
			f.run(200 * time.Millisecond)
			for _, a := range f.agents {
				a.end("a.0.0.0", messenger.RunFailed)
				f.report(a)
			}
			f.j.flush()
			f.boot()
			f.run(2 * time.Second)
			Expect(state("a")).To(Equal("running"))
			f.endAll(messenger.RunFailed)
			f.run(time.Second)
			Expect(state("a")).To(Equal("failed"))
		})

		// Guards against a run beyond the limit: the end of an earlier run may be told while a later one runs.
		It("counts the failure of an earlier run that it hears of late", func() {
			submit(job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{Tasks: 1, Size: size}}})
			f.run(200 * time.Millisecond)
			var late *agent
			for _, a := range f.agents {
				if len(a.runs) > 0 {
					late = a
				}
			}
			late.silent = true
			late.end("a.0.0.0", messenger.RunFailed)
			f.run(7 * time.Second)
			Expect(f.running()).To(HaveLen(1), "the second run")
			late.silent = false
			f.run(400 * time.Millisecond)
			f.endAll(messenger.RunFailed)
			f.run(time.Second)
			Expect(state("a")).To(Equal("failed"))
			Expect(f.running()).To(BeEmpty())
		})

		// Guards against a second run while the first one is alive at an endpoint that an agent, which was restarted, has not listed yet.
		It("waits for an agent that has not listed its endpoint, but not for ever", func() {
			submit(job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{Tasks: 1, Size: size}}})
			f.run(200 * time.Millisecond)
			var restarted *agent
			for _, a := range f.agents {
				if len(a.runs) > 0 {
					restarted = a
				}
			}
			restarted.generation, restarted.sequence, restarted.unlisted = "h", 0, true
			f.boot()
			f.run(time.Second)
			Expect(f.running()).To(Equal(map[string]int{"a.0.0.0": 1}))
			restarted.runs = map[string]messenger.Run{}
			f.run(8 * time.Second)
			Expect(f.running()).To(Equal(map[string]int{"a.0.0.0": 1}), "all leases have lapsed by now")
		})

		It("waits for a VM that it has not heard of before it starts old tasks, not new ones", func() {
			submit(two("a"))
			f.run(200 * time.Millisecond)
			var silent *agent
			for _, a := range f.agents {
				if len(a.runs) > 0 {
					silent = a
					break
				}
			}
			silent.silent = true
			lost := len(silent.runs)
			f.boot()
			submit(job.Job{ID: "b", Occurrences: 1, Steps: []job.Step{{Tasks: 1, Size: size}}})
			f.run(5 * time.Second)
			Expect(f.running()).To(HaveKey("b.0.0.0"))
			for _, count := range f.running() {
				Expect(count).To(Equal(1))
			}
			silent.runs = map[string]messenger.Run{}
			f.run(2 * time.Second)
			Expect(f.running()).To(HaveLen(4))
			Expect(lost).NotTo(BeZero())
		})

		It("stops runs of jobs that were cancelled meanwhile", func() {
			submit(two("a"))
			f.run(200 * time.Millisecond)
			go f.c.Cancel(ctx, messenger.JobRequest{ID: "a", Queue: "q"})
			Eventually(func() string { f.j.flush(); return state("a") }).Should(Equal("cancelled"))
			f.boot()
			f.run(time.Second)
			Expect(f.running()).To(BeEmpty())
		})

		It("forgets ended jobs after their retention", func() {
			submit(job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{Tasks: 1, Size: size}}})
			f.run(200 * time.Millisecond)
			f.endAll(messenger.RunDone)
			f.run(50 * time.Second)
			Expect(state("a")).To(Equal("completed"))
			f.run(30 * time.Second)
			Expect(f.c.State(ctx, messenger.JobRequest{ID: "a", Queue: "q"}).Outcome).To(Equal(messenger.OutcomeNotFound))
			for _, r := range f.j.newest() {
				Expect(r.Key).To(HavePrefix("vm/"))
			}
		})
	})

	Describe("beside a ruined latency", func() {
		serving := job.Step{Tasks: 3, Size: size, MaxPerVM: 1, LongRunning: true, Image: "x", TailTarget: 50 * time.Millisecond}
		// measure sets the figures of all runs at the VM: what filling tasks use at their paces, and the latency that follows from their
		// pressure, in milliseconds. As at endpoints, a figure of 400 ms later has lost two thirds of what it was. It returns the true
		// latency.
		measure := func(a *agent, pressure float64) float64 {
			used := 0.42
			for task, r := range a.runs {
				if task[0] == 's' {
					continue
				}
				pace, ok := a.paces[task]
				if !ok {
					pace = 100
				}
				r.Percent, r.Measurement = 50, 20*pace
				a.runs[task] = r
				used += pressure * float64(r.Measurement) / 4000
			}
			tail := 11 / (1 - min(used, 0.98))
			if a.tail == 0 {
				a.tail = tail
			}
			a.tail += (tail - a.tail) * 2 / 3
			for task, r := range a.runs {
				if task[0] == 's' {
					r.Percent, r.Measurement = 100, int(a.tail+0.5)
					a.runs[task] = r
				}
			}
			return tail
		}
		rounds := func(n int, pressure float64) float64 {
			worst := 0.0
			for range n {
				worst = 0
				for _, a := range f.agents {
					worst = max(worst, measure(a, pressure))
				}
				f.run(400 * time.Millisecond)
			}
			return worst
		}
		// Pattern: a filling program ruins a long-running one, and there is no VM without one.
		It("slows the filling tasks down until targets are met, and gives the pace back", func() {
			submit(job.Job{ID: "s", Occurrences: 1, Steps: []job.Step{serving}})
			f.run(400 * time.Millisecond)
			rounds(2, 0)
			submit(job.Job{ID: "f", Occurrences: 1, Steps: []job.Step{{Tasks: 2, Size: size, BestEffort: true, Image: "p"}}})
			f.run(400 * time.Millisecond)
			Expect(rounds(1, 4)).To(BeNumerically(">", 250))
			Expect(rounds(5, 4)).To(BeNumerically("<", 50), "two seconds are half of what is tolerated")
			slow := 0
			for _, a := range f.agents {
				for _, percent := range a.paces {
					if percent < 100 {
						slow++
					}
				}
			}
			Expect(slow).To(Equal(2))
			rounds(60, 0)
			for _, a := range f.agents {
				for _, percent := range a.paces {
					Expect(percent).To(Equal(100))
				}
			}
		})

		// Pattern: owners change while programs press. A successor that knows nothing would ruin the latencies once more.
		It("lets a successor go on with what was learned", func() {
			submit(job.Job{ID: "s", Occurrences: 1, Steps: []job.Step{serving}})
			f.run(400 * time.Millisecond)
			submit(job.Job{ID: "f", Occurrences: 1, Steps: []job.Step{{Tasks: 2, Size: size, BestEffort: true, Image: "p"}}})
			f.run(400 * time.Millisecond)
			rounds(8, 4)
			f.boot()
			rounds(1, 4)
			slow := 0
			for _, a := range f.agents {
				for task, percent := range a.paces {
					if task[0] == 'f' && percent < 100 {
						slow++
					}
				}
			}
			Expect(slow).To(Equal(2), "one that knows nothing gives the full pace back")
		})

		// Pattern: filling tasks that stand still beside tasks near their targets take the memory of others, and there is nowhere to move to.
		It("withdraws filling tasks that stand still, and lets them wait", func() {
			submit(job.Job{ID: "s", Occurrences: 1, Steps: []job.Step{serving}})
			f.run(400 * time.Millisecond)
			rounds(2, 0)
			submit(job.Job{ID: "f", Occurrences: 1, Steps: []job.Step{{Tasks: 2, Size: size, BestEffort: true, Checkpoints: true, Image: "p"}}})
			f.run(400 * time.Millisecond)
			Expect(f.running()).To(HaveKey("f.0.0.0"))
			rounds(15, 20)
			var stops []string
			for _, a := range f.agents {
				stops = append(stops, a.stops...)
			}
			Expect(stops).To(ContainElements("f.0.0.0", "f.0.0.1"))
		})

		// Pattern: the same with tasks that can resume, and a VM where they harm nobody.
		It("moves filling tasks that can resume to a VM where they harm nobody", func() {
			serving.Tasks = 2
			submit(job.Job{ID: "s", Occurrences: 1, Steps: []job.Step{serving}})
			f.run(400 * time.Millisecond)
			submit(job.Job{ID: "f", Occurrences: 1, Steps: []job.Step{{Tasks: 4, Size: size, BestEffort: true, Checkpoints: true, Image: "p"}}})
			f.run(2 * time.Second)
			beside := func() int {
				n := 0
				for _, a := range f.agents {
					victim, filling := false, 0
					for task := range a.runs {
						victim = victim || task[0] == 's'
						if task[0] == 'f' {
							filling++
						}
					}
					if victim {
						n += filling
					}
				}
				return n
			}
			Expect(beside()).NotTo(BeZero())
			// The VM without a long-running task becomes free.
			for _, a := range f.agents {
				if len(a.runs) > 0 && beside() > 0 {
					victim := false
					for task := range a.runs {
						victim = victim || task[0] == 's'
					}
					if !victim {
						for task := range a.runs {
							a.end(task, messenger.RunDone)
						}
					}
				}
			}
			rounds(3, 4)
			Expect(beside()).To(BeZero())
		})
	})
})
