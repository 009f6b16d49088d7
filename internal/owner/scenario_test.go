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

var _ = Describe("Owner in a simulated region", func() {
	ctx := context.Background()

	// startOneTask returns a region that runs the job "a" with one task of roughly the given duration. It also returns
	// the entry that owns the job, and the VM that runs the task.
	startOneTask := func(duration time.Duration) (*region, *entry, *vm) {
		r := newRegion(1, 3, 3)
		r.taskDuration = duration
		r.run(ctx, 5*time.Second)
		_, failure := r.entries[0].owner.Submit(ctx, job("a", 1))
		Expect(failure).To(BeNil())
		r.run(ctx, 3*time.Second)
		e, runningOn := r.ownerOf("a")
		Expect(runningOn).To(HaveLen(1))
		return r, e, runningOn[0]
	}
	hour := 60 * time.Minute

	for name, c := range map[string]struct {
		fault func(r *region, e *entry, v *vm)
		// The time from the fault until the task starts on another VM must be longer than earliest and at most latest.
		earliest, latest time.Duration
	}{
		"the VM is disconnected from the owner of the task": {func(_ *region, e *entry, v *vm) { e.disconnectedUntil[v] = start.Add(hour) }, 5 * time.Second, 20 * time.Second},
		"the shard is handed over and the VM is disconnected": {
			func(r *region, e *entry, v *vm) {
				e.owner.Drain()
				r.run(ctx, 2*time.Second)
				for _, other := range r.entries {
					other.disconnectedUntil[v] = start.Add(hour)
				}
			}, 5 * time.Second, 20 * time.Second,
		},
		"the owner is disconnected from the log, the VM from the other entries, and the owner can't be asked to stop granting leases": {
			func(r *region, e *entry, v *vm) { r.peersDisconnected = true; r.isolate(e, v, start.Add(2*hour)) },
			31 * time.Minute, 33 * time.Minute,
		},
		"the owner is disconnected from the log, the VM from the other entries, and the owner confirms that it stopped granting leases": {
			func(r *region, e *entry, v *vm) { r.isolate(e, v, start.Add(2*hour)) }, 30 * time.Second, 3 * time.Minute,
		},
		"the owner is disconnected from the log, and the VM from the other entries as soon as one of them owns the task": {
			func(r *region, e *entry, v *vm) {
				r.peersDisconnected, e.logDisconnectedUntil = true, start.Add(2*hour)
				r.run(ctx, 20*time.Second)
				r.isolate(e, v, start.Add(2*hour))
			}, 5 * time.Second, 2 * time.Minute,
		},
		"the owner is paused and the VM is disconnected from the other entries": {
			func(r *region, e *entry, v *vm) {
				r.peersDisconnected, e.pausedUntil = true, r.now.Add(20*time.Second)
				for _, other := range r.entries {
					if other != e {
						other.disconnectedUntil[v] = start.Add(2 * hour)
					}
				}
			}, 10 * time.Second, 33 * time.Minute,
		},
	} {
		// Guards against running a task twice while a lease may still be valid, and against a task that keeps waiting
		// although no lease can be valid any more.
		It("runs the task on another VM neither too early nor too late when "+name, func() {
			r, e, v := startOneTask(3 * hour)
			faultAt := r.now
			c.fault(r, e, v)
			r.run(ctx, c.latest-r.now.Sub(faultAt))
			Expect(r.violations).To(BeEmpty())
			restartedAfter := time.Duration(0)
			for _, other := range r.vms {
				for _, w := range other.tasks {
					if other != v {
						restartedAfter = w.startedAt.Sub(faultAt)
					}
				}
			}
			Expect(restartedAfter).To(BeNumerically(">", c.earliest))
			_, runningOn := r.ownerOf("a")
			Expect(runningOn).To(HaveLen(1))
			Expect(runningOn[0]).NotTo(BeIdenticalTo(v))
		})
	}

	for _, method := range []string{"start", "stop", "checkpoint", "append", "heartbeat-response"} {
		for _, fault := range []string{"late", "unanswered"} {
			// Guards against a task that is started twice or lost because a message arrives late or its response is lost.
			// "unanswered" means a lost response.
			It(fmt.Sprintf("completes each task once although a %s message is %s at any step of an eviction", method, fault), func() {
				for stepNumber := range 24 {
					r := newRegion(uint64(stepNumber), 3, 3)
					r.run(ctx, 4*time.Second)
					r.entries[0].owner.Submit(ctx, job("a", 2))
					r.run(ctx, time.Duration(stepNumber)*stepDuration)
					r.holdDelayedCalls, r.nextFaults[method] = true, fault
					e, _ := r.ownerOf("a")
					e.owner.Evict("a", 0)
					r.run(ctx, 4*time.Second)
					r.holdDelayedCalls = false
					r.run(ctx, 40*time.Second)
					Expect(r.violations).To(BeEmpty())
					_, completions := r.replayLog()
					Expect(completions).To(Equal(map[string]int{"a/0": 1, "a/1": 1}))
				}
			})
		}
	}

	for _, fault := range []string{"late", "unanswered"} {
		// Guards against starting a task again while the first start may still take effect, and against a start that
		// takes effect after its lease has ended.
		It("does not start a task twice if the start call is "+fault+" and the VM is then disconnected", func() {
			r := newRegion(1, 3, 3)
			r.taskDuration = hour
			r.run(ctx, 5*time.Second)
			r.holdDelayedCalls, r.nextFaults["start"] = true, fault
			r.entries[0].owner.Submit(ctx, job("a", 1))
			r.onFault = func() {
				for _, e := range r.entries {
					e.disconnectedUntil[r.vms[0]] = start.Add(hour)
				}
			}
			r.run(ctx, 20*time.Second)
			_, runningOn := r.ownerOf("a")
			Expect(runningOn).To(HaveLen(1))
			r.holdDelayedCalls = false
			r.run(ctx, 5*time.Second)
			Expect(r.violations).To(BeEmpty())
		})
	}

	// Guards against a restarted agent that declares an attempt stopped although the start call of its predecessor may
	// still take effect at the worker. The evicted task would then run twice.
	It("does not run a task twice if the worker carries out its start late, and the agent is restarted and the task evicted in the meantime", func() {
		for delaySteps := range 6 {
			r := newRegion(1, 1, 3)
			r.taskDuration, r.workerDelay = hour, 2*time.Second
			r.run(ctx, 5*time.Second)
			r.nextFaults["worker-start"] = "late"
			r.entries[0].owner.Submit(ctx, job("a", 1))
			var v *vm
			for range 40 {
				r.step(ctx)
				if v = r.vmWithLateStart(); v != nil {
					break
				}
			}
			Expect(v).NotTo(BeNil())
			v.startAgent()
			r.run(ctx, time.Duration(delaySteps)*stepDuration)
			Expect(r.entries[0].owner.Evict("a", 0)).To(BeTrue())
			r.run(ctx, 20*time.Second)
			Expect(r.violations).To(BeEmpty(), "evicted after %d steps", delaySteps)
			_, runningOn := r.ownerOf("a")
			Expect(runningOn).To(HaveLen(1))
		}
	})

	// Guards against a restarted agent that gives away the resources of an attempt whose start call by its predecessor
	// may still take effect at the worker.
	It("does not overcommit a VM if the worker carries out a start late and the agent is restarted in the meantime", func() {
		r := newRegion(1, 1, 1)
		r.taskDuration = 20 * time.Second
		r.run(ctx, 5*time.Second)
		request := job("a", 2)
		request.Size = r.vmCapacity
		r.nextFaults["worker-start"] = "late"
		r.entries[0].owner.Submit(ctx, request)
		for r.vmWithLateStart() == nil {
			r.step(ctx)
		}
		r.vms[0].startAgent()
		r.run(ctx, 3*time.Minute)
		Expect(r.violations).To(BeEmpty())
		_, completions := r.replayLog()
		Expect(completions).To(Equal(map[string]int{"a/0": 1, "a/1": 1}))
	})

	// Guards against a task that is lost, or that runs again after its completion, when its owner crashes at any step
	// of a start, checkpoint or completion.
	It("completes each task once although its owner crashes at any step of start, checkpoint and completion", func() {
		for crashStep := range 40 {
			r := newRegion(uint64(crashStep), 3, 3)
			r.run(ctx, 4*time.Second)
			r.entries[0].owner.Submit(ctx, job("a", 2))
			for i := range 40 {
				if i == 12 || i == crashStep {
					e, _ := r.ownerOf("a")
					if i == 12 && e != nil {
						e.owner.Evict("a", 0)
					}
					if i == crashStep && e != nil {
						e.startProcess()
						e.downUntil = r.now.Add(time.Minute)
					}
				}
				r.step(ctx)
			}
			r.run(ctx, 30*time.Second)
			Expect(r.violations).To(BeEmpty())
			_, completions := r.replayLog()
			Expect(completions).To(Equal(map[string]int{"a/0": 1, "a/1": 1}), "owner crashed at step %d", crashStep)
		}
	})

	// Guards against a cancelled task that continues to run, and against a cancellation that removes a recorded
	// completion.
	It("cancels a job at each step of start, completion and eviction", func() {
		for cancelStep := range 32 {
			r := newRegion(uint64(cancelStep), 2, 2)
			r.run(ctx, 4*time.Second)
			r.entries[0].owner.Submit(ctx, job("a", 1))
			r.run(ctx, time.Duration(cancelStep)*stepDuration)
			if e, _ := r.ownerOf("a"); cancelStep%2 == 0 {
				e.owner.Evict("a", 0)
			}
			// An entry refuses to cancel a job whose record it has not read from the log yet. The caller then has to
			// repeat the request.
			if _, failure := r.entries[1].owner.Cancel(ctx, "a", "caller"); failure != nil {
				Expect(cancelStep).To(Equal(0))
				r.step(ctx)
				_, failure = r.entries[1].owner.Cancel(ctx, "a", "caller")
				Expect(failure).To(BeNil())
			}
			r.run(ctx, 5*time.Second)
			_, running := r.ownerOf("a")
			Expect(len(running)).To(Equal(0), "cancelled at step %d", cancelStep)
			s, completions := r.replayLog()
			status, _ := s.Status("a")
			Expect(status.Done).To(Equal(completions["a/0"]))
			Expect(status.Done + status.Cancelled).To(Equal(1))
		}
	})

	// Guards against committing more of a resource than the VM has, when two owners have outdated estimates of its free
	// resources.
	It("runs tasks that need all processors, memory or accelerators of the only VM one after another", func() {
		for i, size := range []resource.Amount{{MilliProcessors: 1000}, {MemoryBytes: 100}, {Accelerators: 1}} {
			r := newRegion(uint64(i), 2, 1)
			r.run(ctx, 5*time.Second)
			for n := range 6 {
				request := job(fmt.Sprint("j", n), 1)
				request.Size = size
				r.entries[n%2].owner.Submit(ctx, request)
			}
			r.run(ctx, 90*time.Second)
			Expect(r.violations).To(BeEmpty())
			_, completions := r.replayLog()
			Expect(completions).To(HaveLen(6))
		}
	})

	// Guards against assigned attempts that do not start during a log outage, and against leases that expire during it.
	It("starts assigned attempts and keeps them running while the log is down", func() {
		r := newRegion(1, 3, 3)
		r.taskDuration = 30 * time.Second
		r.run(ctx, 5*time.Second)
		r.entries[0].owner.Submit(ctx, job("a", 30))
		r.run(ctx, 3*time.Second)
		r.logDown = true
		r.run(ctx, 14*time.Minute)
		started := 0
		for _, v := range r.vms {
			for _, w := range v.tasks {
				started++
				Expect(w.State).To(BeElementOf("running", "done"))
			}
		}
		Expect(started).To(Equal(30))
		r.clearFaults()
		r.run(ctx, time.Minute)
		_, completions := r.replayLog()
		Expect(completions).To(HaveLen(30))
	})

	// Guards against a heartbeat of an earlier agent process that arrives after one of its successor. If it counted, the
	// successor would seem to have been started during the log outage. It would then get no leases until the log is back.
	It("keeps a task running while the log is down if a heartbeat of the previous agent process arrives late", func() {
		r, e, v := startOneTask(hour)
		late := message.Heartbeat{VM: v.name, Generation: v.supervisor.Generation, Sequence: 1 << 20, State: message.StateUp, Capacity: r.vmCapacity}
		v.startAgent()
		r.run(ctx, 10*time.Second)
		r.logDown = true
		r.run(ctx, 30*time.Second)
		Expect(e.owner.HandleHeartbeat(ctx, late)).To(BeZero())
		r.run(ctx, 2*time.Minute)
		_, runningOn := r.ownerOf("a")
		Expect(runningOn).To(HaveLen(1))
		Expect(runningOn[0]).To(BeIdenticalTo(v))
	})

	// Guards against a VM that gets no tasks any more because its clock was set back before its agent was restarted, so
	// that the generation of the new process seems to be the older one.
	It("accepts heartbeats of an apparently older agent process once the VM has been silent for long", func() {
		r := newRegion(1, 1, 1)
		r.vms[0].agentCount = 7
		r.vms[0].startAgent()
		r.run(ctx, 5*time.Second)
		r.vms[0].agentCount = 2
		r.vms[0].startAgent()
		r.entries[0].owner.Submit(ctx, job("a", 1))
		r.run(ctx, 9*time.Second)
		Expect(r.vms[0].startedTaskCount).To(BeZero())
		r.run(ctx, 9*time.Second)
		Expect(r.vms[0].startedTaskCount).To(Equal(1))
	})

	// Guards against a caller that submits a job twice or gives it up, because the response does not tell whether the
	// job was accepted. Also guards against a snapshot without the job.
	It("reports whether a job was accepted, recognizes its id, throttles its task, and restores it from a snapshot", func() {
		r := newRegion(1, 1, 1)
		r.run(ctx, 5*time.Second)
		o := r.entries[0].owner
		oversized := job("big", 1)
		oversized.Size.Accelerators = 2
		_, failure := o.Submit(ctx, oversized)
		Expect(failure).To(And(HaveField("Outcome", "not-run"), HaveField("Reason", message.ReasonBadRequest)))
		r.logDown = true
		_, failure = o.Submit(ctx, job("a", 1))
		Expect(failure).To(And(HaveField("Outcome", "not-run"), HaveField("Reason", "log-unavailable"), HaveField("RetryAfterMS", int64(5000))))
		r.logDown, r.nextFaults["append"] = false, "unanswered"
		_, failure = o.Submit(ctx, job("b", 1))
		Expect(failure).To(And(HaveField("Outcome", "unknown"), HaveField("RequestID", "b")))
		r.run(ctx, time.Second)
		status, failure := o.Submit(ctx, job("b", 7))
		Expect(failure).To(BeNil())
		Expect(status.Tasks).To(Equal(1))
		Expect(o.List()).To(HaveLen(1))
		Expect(o.Throttle(ctx, "b", 0, 0.5)).To(BeTrue())
		state, offset := o.Snapshot()
		r.entries[0].startProcess()
		Expect(r.entries[0].owner.Restore(state, offset)).To(Succeed())
		Expect(r.entries[0].owner.List()).To(HaveLen(1))
	})

	// Guards against granting a lease on an attempt after an append of its loss has failed. The append may merely be
	// delayed and take effect later, so the task may be running again.
	It("grants no lease on an attempt after it has tried to append the record of the attempt's loss", func() {
		r, e, v := startOneTask(hour)
		e.disconnectedUntil[v] = start.Add(hour)
		r.run(ctx, 9*time.Second)
		r.holdDelayedCalls = true
		for range 14 {
			r.nextFaults["append"] = "late"
			r.step(ctx)
		}
		lateReport := message.TaskReport{State: message.TaskRunning}
		s, _ := r.replayLog()
		for shard := range 2 {
			for t := range s.RunningTasks(shard) {
				lateReport.Identity = t.Identity
			}
		}
		Expect(lateReport.Job).To(Equal("a"))
		hb := message.Heartbeat{VM: v.name, Generation: v.supervisor.Generation, Sequence: 1 << 20, Tasks: []message.TaskReport{lateReport}}
		Expect(e.owner.HandleHeartbeat(ctx, hb).Leases).To(BeEmpty())
	})
})
