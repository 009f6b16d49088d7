package coordinator_test

import (
	"context"
	"fmt"
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
	var cluster *testCluster
	BeforeEach(func() {
		cluster = newTestCluster(3)
		cluster.simulate(time.Second)
	})
	size := resource.Amount{MilliProcessors: 2000, MemoryBytes: 10}
	twoStepJob := func(id string) job.Job {
		return job.Job{ID: id, Occurrences: 1, Steps: []job.Step{{TaskCount: 3, Size: size}, {TaskCount: 1, Size: size, After: []int{0}}}}
	}
	// submit submits a job and flushes the journal until the response arrives.
	submit := func(j job.Job) messenger.JobResponse {
		responses := make(chan messenger.JobResponse, 1)
		go func() { responses <- cluster.coordinator.Submit(ctx, messenger.JobRequest{Job: j, Queue: "q"}) }()
		var response messenger.JobResponse
		Eventually(func() bool {
			cluster.journal.flush()
			select {
			case response = <-responses:
				return true
			default:
				return false
			}
		}).Should(BeTrue())
		return response
	}
	jobState := func(id string) string {
		return cluster.coordinator.JobState(ctx, messenger.JobRequest{ID: id, Queue: "q"}).State
	}

	// Guards against a second start of a task whose run is listed in a row that the agent cannot read, also if the agent was restarted.
	for _, restarted := range []bool{false, true} {
		It(fmt.Sprintf("does not take a run for lost while its row cannot be read (agent restarted: %t)", restarted), func() {
			submit(job.Job{ID: "odd", Occurrences: 1, Steps: []job.Step{{TaskCount: 2, Size: resource.Amount{MilliProcessors: 1000}}}})
			cluster.simulate(400 * time.Millisecond)
			Expect(cluster.countRuns()).To(HaveLen(2))
			for _, a := range cluster.agents {
				a.unreadable = true
				if restarted {
					a.generation, a.reportSequence = "h", 0
				}
			}
			cluster.simulate(2 * time.Second)
			Expect(cluster.countRuns()).To(Equal(map[string]int{"odd.0.0.0": 1, "odd.0.0.1": 1}))
			for _, a := range cluster.agents {
				Expect(a.starts).To(HaveLen(len(a.runs)), "no task was started again")
			}
		})
	}

	// Guards against a second start of a task whose run is listed in a row of which not even the task can be read, while its agent was restarted.
	It("stops a run that an unreadable row may hide before its task starts elsewhere", func() {
		submit(job.Job{ID: "odd", Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: size}}})
		cluster.simulate(400 * time.Millisecond)
		a := cluster.agentWith("odd.0.0.0")
		a.generation, a.reportSequence, a.unnamed, a.stopsFail, a.state = "h", 0, true, true, messenger.VMDraining
		cluster.simulate(6 * time.Second)
		Expect(cluster.countRuns()).To(Equal(map[string]int{"odd.0.0.0": 1}), "the run goes on while no stop is confirmed")
		starts := func() int {
			n := 0
			for _, other := range cluster.agents {
				n += len(other.starts)
			}
			return n
		}
		Expect(starts()).To(Equal(1))
		a.stopsFail = false
		cluster.simulate(4 * time.Second)
		Expect(a.stops).NotTo(BeEmpty())
		Expect(cluster.countRuns()).To(Equal(map[string]int{"odd.0.0.0": 1}))
		Expect(starts()).To(Equal(2))
	})
	It("does not stop a run that an unreadable row hides for a moment", func() {
		submit(job.Job{ID: "odd", Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: size}}})
		cluster.simulate(400 * time.Millisecond)
		a := cluster.agentWith("odd.0.0.0")
		a.unnamed = true
		cluster.simulate(time.Second)
		a.unnamed = false
		cluster.simulate(4 * time.Second)
		Expect(a.stops).To(BeEmpty())
		Expect(a.runs).To(HaveLen(1))
	})

	// Guards against a task that never runs again: its run is lost, and a row without a readable task is listed for ever.
	It("starts a task again after its lost run was stopped, although an unreadable row stays", func() {
		submit(job.Job{ID: "odd", Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: size}}})
		cluster.simulate(400 * time.Millisecond)
		a := cluster.agentWith("odd.0.0.0")
		a.unnamed, a.state, a.runs = true, messenger.VMDraining, map[string]messenger.Run{}
		cluster.simulate(1500 * time.Millisecond)
		Expect(cluster.countRuns()).To(BeEmpty())
		cluster.simulate(5 * time.Second)
		Expect(cluster.countRuns()).To(Equal(map[string]int{"odd.0.0.0": 1}))
	})

	// Guards against a start that is repeated for ever at an agent that cannot find out whether it took effect.
	It("stops a run without a confirmed start that an unreadable row may hide", func() {
		odd := cluster.agents["vm-0"]
		cluster.agents["vm-1"].state, cluster.agents["vm-2"].state = messenger.VMDraining, messenger.VMDraining
		cluster.simulate(time.Second)
		odd.startsUnknown, odd.unnamed, odd.unlistedRun = true, true, messenger.Run{Task: "odd.0.0.0", Number: 1, Unconfirmed: true, Unlisted: true}
		submit(job.Job{ID: "odd", Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: size}}})
		cluster.simulate(4 * time.Second)
		Expect(odd.stops).NotTo(BeEmpty())
		odd.unlistedRun, odd.state, cluster.agents["vm-1"].state = messenger.Run{}, messenger.VMDraining, messenger.VMUp
		cluster.simulate(2 * time.Second)
		Expect(cluster.agents["vm-1"].runs).To(HaveKey("odd.0.0.0"))
	})

	// Guards against an owner whose processor time for reports grows with the number of VMs.
	It("asks for rarer reports in a large fleet", func() {
		for count, interval := range map[int]time.Duration{10: 25 * time.Millisecond, 160: 400 * time.Millisecond, 2700: 600 * time.Millisecond} {
			c := newTestCluster(count)
			for _, a := range c.agents {
				c.sendReport(a)
			}
			Expect(c.sendReport(c.agents["vm-0"]).ReportInterval).To(Equal(interval))
		}
	})

	// Guards against a result without a task that blocks the results after it.
	It("records a result that cannot be read and the results after it", func() {
		a := cluster.agents["vm-0"]
		a.results = append(a.results, messenger.RunResult{Sequence: 1}, messenger.RunResult{Sequence: 2, Task: "x.0.0.0", Number: 1, Outcome: messenger.RunDone})
		cluster.simulate(400 * time.Millisecond)
		Expect(a.results).To(BeEmpty())
	})

	It("runs the steps of a job in order, and reports the job as completed once its end is recorded", func() {
		Expect(submit(twoStepJob("a")).Outcome).To(Equal(messenger.OutcomeDone))
		cluster.simulate(200 * time.Millisecond)
		Expect(cluster.countRuns()).To(HaveLen(3))
		cluster.finishAllRuns(messenger.RunDone)
		cluster.simulate(300 * time.Millisecond)
		Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.1.0": 1}))
		cluster.journal.blocked = true
		cluster.finishAllRuns(messenger.RunDone)
		cluster.simulate(600 * time.Millisecond)
		Expect(jobState("a")).To(Equal("running"))
		cluster.journal.blocked = false
		cluster.simulate(300 * time.Millisecond)
		Expect(jobState("a")).To(Equal("completed"))
	})

	It("lets an endpoint forget a run result only after the result is recorded", func() {
		submit(twoStepJob("a"))
		cluster.simulate(200 * time.Millisecond)
		cluster.journal.blocked = true
		cluster.finishAllRuns(messenger.RunDone)
		cluster.simulate(time.Second)
		keptResults := 0
		for _, a := range cluster.agents {
			keptResults += len(a.results)
		}
		Expect(keptResults).To(Equal(3))
		cluster.journal.blocked = false
		cluster.simulate(600 * time.Millisecond)
		for _, a := range cluster.agents {
			Expect(a.results).To(BeEmpty())
		}
	})

	for name, c := range map[string]struct {
		prepare func()
		modify  func(request *messenger.JobRequest)
		want    string
	}{
		"done for a job with a known ID":          {func() { submit(twoStepJob("a")) }, nil, messenger.OutcomeDone},
		"not owner for a job of an unknown queue": {nil, func(c *messenger.JobRequest) { c.Queue = "new" }, messenger.OutcomeNotOwner},
		// Guards against an owner that ends, and the next ones after it, because the accepted job cannot be encoded.
		"invalid for a job that is due after the year 9999":            {nil, func(c *messenger.JobRequest) { c.Job.FirstDue = time.UnixMilli(9e18) }, messenger.OutcomeInvalid},
		"invalid for an invalid job":                                   {nil, func(c *messenger.JobRequest) { c.Job.Steps = nil }, messenger.OutcomeInvalid},
		"not executed for a job that is too large for all VMs":         {nil, func(c *messenger.JobRequest) { c.Job.Steps[1].Size.MilliProcessors = 5000 }, messenger.OutcomeNotExecuted},
		"not executed for a job whose label no VM has":                 {nil, func(c *messenger.JobRequest) { c.Job.Steps[0].Label = "x" }, messenger.OutcomeNotExecuted},
		"not executed for a job while the store fails":                 {func() { cluster.journal.degraded = true }, nil, messenger.OutcomeNotExecuted},
		"not owner for a job at an entry that is not the owner":        {func() { cluster.coordinator.Resign(1, "test") }, nil, messenger.OutcomeNotOwner},
		"not executed for a job whose record the store refuses":        {func() { cluster.journal.err = storekeeper.ErrNotAppended }, nil, messenger.OutcomeNotExecuted},
		"not owner for a job after another entry has become the owner": {func() { cluster.journal.err = storekeeper.ErrFenced }, nil, messenger.OutcomeNotOwner},
	} {
		It("returns the outcome "+name, func() {
			if c.prepare != nil {
				c.prepare()
			}
			request := messenger.JobRequest{Job: twoStepJob("a"), Queue: "q"}
			if c.modify != nil {
				c.modify(&request)
			}
			response := cluster.await(func() messenger.JobResponse { return cluster.coordinator.Submit(ctx, request) })
			Expect(response.Outcome).To(Equal(c.want))
			if c.want == messenger.OutcomeNotExecuted {
				Expect(response.RetryAfter).NotTo(BeZero())
				cluster.simulate(time.Second)
				Expect(cluster.countRuns()).To(BeEmpty())
			}
		})
	}

	// Guards against a caller that hears that its job never runs because the owner gave up the ownership, although the record of the job may be
	// stored, so that the next owner runs the job.
	for name, c := range map[string]struct {
		end  func()
		want bool
	}{
		"may have had an effect if the ownership ends while its record is written": {func() { cluster.coordinator.Resign(1, "test") }, true},
		"may have had an effect if it is unknown whether its record was stored": {
			func() { cluster.journal.err = errNoResponse; cluster.journal.flush() }, true,
		},
		"has had no effect if the store has fenced its record": {
			func() { cluster.journal.err = storekeeper.ErrFenced; cluster.journal.flush() }, false,
		},
	} {
		It("says that a submission "+name, func() {
			responses := make(chan messenger.JobResponse, 1)
			go func() {
				responses <- cluster.coordinator.Submit(ctx, messenger.JobRequest{Job: twoStepJob("a"), Queue: "q"})
			}()
			Eventually(cluster.journal.countPendingWrites).Should(Equal(1))
			c.end()
			var response messenger.JobResponse
			Eventually(responses).Should(Receive(&response))
			Expect(response.Outcome).To(Equal(messenger.OutcomeNotOwner))
			Expect(response.MayHaveEffect).To(Equal(c.want))
		})
	}

	// Guards against a caller that hears that no such job exists, although the owner accepts the job afterwards and runs it.
	for name, c := range map[string]struct {
		// timeout is how long the cancellation waits, writeErr the error of the submission's write. decided reports whether the write ends while
		// the cancellation waits.
		timeout  time.Duration
		writeErr error
		decided  bool
		want     string
	}{
		"unknown while the record of the submission is not decided": {50 * time.Millisecond, nil, false, messenger.OutcomeUnknown},
		"no such job after the store has refused the submission":    {time.Minute, storekeeper.ErrNotAppended, true, messenger.OutcomeNotFound},
		"done after the store has accepted the submission":          {time.Minute, nil, true, messenger.OutcomeDone},
	} {
		It("returns for the cancellation of a pending submission: "+name, func() {
			submitted := make(chan messenger.JobResponse, 1)
			go func() {
				submitted <- cluster.coordinator.Submit(ctx, messenger.JobRequest{Job: twoStepJob("a"), Queue: "q"})
			}()
			Eventually(cluster.journal.countPendingWrites).Should(Equal(1))
			responses := make(chan messenger.JobResponse, 1)
			go func() {
				callCtx, cancel := context.WithTimeout(ctx, c.timeout)
				defer cancel()
				responses <- cluster.coordinator.Cancel(callCtx, messenger.JobRequest{ID: "a", Queue: "q"})
			}()
			var response messenger.JobResponse
			if !c.decided {
				Eventually(responses).Should(Receive(&response))
				Expect(response.Outcome).To(Equal(c.want))
				cluster.journal.flush()
				Eventually(submitted).Should(Receive(HaveField("Outcome", messenger.OutcomeDone)))
				return
			}
			Consistently(responses).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
			cluster.journal.err = c.writeErr
			Eventually(func() bool {
				cluster.journal.flush()
				select {
				case response = <-responses:
					return true
				default:
					return false
				}
			}).Should(BeTrue())
			Expect(response.Outcome).To(Equal(c.want))
		})
	}

	// Guards against a caller that hears that its cancellation was not executed although the end of the job may be stored.
	for name, c := range map[string]struct {
		err  error
		want bool
	}{
		"may have had an effect if it is unknown whether its record was stored": {errNoResponse, true},
		"has had no effect if the store has fenced its record":                  {storekeeper.ErrFenced, false},
	} {
		It("says that a cancellation "+name, func() {
			submit(twoStepJob("a"))
			responses := make(chan messenger.JobResponse, 1)
			go func() {
				responses <- cluster.coordinator.Cancel(ctx, messenger.JobRequest{ID: "a", Queue: "q"})
			}()
			var response messenger.JobResponse
			Eventually(func() bool {
				for _, w := range cluster.coordinator.CollectWrites() {
					w.Done(c.err)
				}
				select {
				case response = <-responses:
					return true
				default:
					return false
				}
			}).Should(BeTrue())
			Expect(response.Outcome).To(Equal(messenger.OutcomeNotOwner))
			Expect(response.MayHaveEffect).To(Equal(c.want))
		})
	}

	It("counts jobs of the queue that have not started", func() {
		for _, a := range cluster.agents {
			a.state = messenger.VMDraining
		}
		cluster.simulate(400 * time.Millisecond)
		submit(twoStepJob("a"))
		cluster.simulate(400 * time.Millisecond)
		Expect(cluster.coordinator.CountQueuedJobs(ctx, messenger.JobRequest{Queue: "q"}).QueuedJobs).To(Equal(1))
		Expect(cluster.coordinator.CountQueuedJobs(ctx, messenger.JobRequest{Queue: "p"}).QueuedJobs).To(BeZero())
		Expect(jobState("a")).To(Equal("queued"))
		Expect(cluster.countRuns()).To(BeEmpty())
	})

	// Guards against an owner that accepts or counts jobs of a queue that it knows to be removed, because the entry that forwards the request does not know that
	// yet, and against one that does not look for the configuration in which another entry has found the queue.
	It("decides by the newer configuration whether there is a queue", func() {
		outdated := 0
		cluster.coordinator.OnOutdated = func() { outdated++ }
		cluster.configure()
		newest := cluster.configurationVersion
		for version, want := range map[int64]string{newest - 1: messenger.OutcomeNoQueue, newest: messenger.OutcomeNotOwner, newest + 1: messenger.OutcomeNotOwner} {
			response := cluster.coordinator.Submit(ctx, messenger.JobRequest{Job: twoStepJob("a"), Queue: "removed", Version: version})
			Expect(response.Outcome).To(Equal(want), "version %d, the owner has %d", version, newest)
		}
		Expect(outdated).To(Equal(1))
		Expect(cluster.coordinator.CountQueuedJobs(ctx, messenger.JobRequest{Queue: "removed", Version: newest - 1}).Outcome).To(Equal(messenger.OutcomeNoQueue))
		Expect(cluster.coordinator.CountQueuedJobs(ctx, messenger.JobRequest{Queue: "q", Version: newest - 1}).Outcome).To(Equal(messenger.OutcomeDone))
		Expect(outdated).To(Equal(1))
		Expect(cluster.coordinator.CountQueuedJobs(ctx, messenger.JobRequest{Queue: "q", Version: newest + 1}).Outcome).To(Equal(messenger.OutcomeDone))
		Expect(outdated).To(Equal(2))
	})

	// Guards against jobs that callers see as started while the starts of their tasks have no known outcome or were refused.
	It("counts a job as not started until a run of it is confirmed", func() {
		queuedJobs := func() int {
			return cluster.coordinator.CountQueuedJobs(ctx, messenger.JobRequest{Queue: "q"}).QueuedJobs
		}
		for _, a := range cluster.agents {
			a.startsUnknown = true
		}
		submit(twoStepJob("a"))
		cluster.simulate(2 * time.Second)
		Expect(queuedJobs()).To(Equal(1))
		for _, a := range cluster.agents {
			a.runs["a.0.0.0"] = messenger.Run{Task: "a.0.0.0", Number: 1, Unconfirmed: true}
			cluster.sendReport(a)
			break
		}
		Expect(queuedJobs()).To(Equal(1))
		Expect(jobState("a")).To(Equal("queued"))
		for _, a := range cluster.agents {
			a.startsUnknown, a.runs = false, map[string]messenger.Run{}
		}
		cluster.simulate(time.Second)
		Expect(queuedJobs()).To(BeZero())
		Expect(cluster.awaitState("a")).To(Equal("running"))
	})

	It("cancels a job: its runs stop, and the response is sent once the cancellation is recorded", func() {
		submit(twoStepJob("a"))
		cluster.simulate(200 * time.Millisecond)
		responses := make(chan messenger.JobResponse, 1)
		go func() { responses <- cluster.coordinator.Cancel(ctx, messenger.JobRequest{ID: "a", Queue: "q"}) }()
		Consistently(responses).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
		cluster.simulate(400 * time.Millisecond)
		Eventually(responses).Should(Receive(HaveField("Outcome", messenger.OutcomeDone)))
		Expect(cluster.countRuns()).To(BeEmpty())
		Expect(jobState("a")).To(Equal("cancelled"))
		go func() { responses <- cluster.coordinator.Cancel(ctx, messenger.JobRequest{ID: "b", Queue: "q"}) }()
		Consistently(responses).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
		cluster.journal.flush()
		Eventually(responses).Should(Receive(HaveField("Outcome", messenger.OutcomeNotFound)))
	})

	It("fails a job when one of its tasks has reached the failure limit, and stops the job's other runs", func() {
		submit(twoStepJob("a"))
		cluster.simulate(200 * time.Millisecond)
		for range 2 {
			for _, a := range cluster.agents {
				a.finishRun("a.0.0.1", messenger.RunFailed)
			}
			cluster.simulate(600 * time.Millisecond)
		}
		Expect(jobState("a")).To(Equal("failed"))
		Expect(cluster.countRuns()).To(BeEmpty())
	})

	// Guards against a long-running task that stays away because its program has ended without an error.
	for _, gang := range []bool{false, true} {
		It(fmt.Sprintf("starts long-running tasks again after each of their runs, whatever the outcome of the run, gang: %t", gang), func() {
			submit(job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 2, Size: size, LongRunning: true, Gang: gang}}})
			cluster.simulate(200 * time.Millisecond)
			for _, outcome := range []string{
				messenger.RunFailed, messenger.RunFailed, messenger.RunFailed, messenger.RunLeaseExpired, messenger.RunDone, messenger.RunStopped,
				messenger.RunBroken, messenger.RunAlone, messenger.RunLost, messenger.RunDone,
			} {
				cluster.finishAllRuns(outcome)
				cluster.simulate(time.Second)
				Expect(cluster.countRuns()).To(HaveLen(2), outcome)
				if outcome == messenger.RunDone {
					// The next owner must not take the task for done either.
					cluster.takeOver()
					cluster.simulate(time.Second)
					cluster.finishAllRuns(messenger.RunLeaseExpired)
					cluster.simulate(time.Second)
					Expect(cluster.countRuns()).To(HaveLen(2), "next owner after "+outcome)
				}
			}
			Expect(jobState("a")).To(Equal("running"))
		})
	}

	Describe("with unavailable agents, endpoints and VMs", func() {
		It("repeats an order without a response and starts the task once", func() {
			for _, a := range cluster.agents {
				a.dropResponses = true
			}
			submit(twoStepJob("a"))
			cluster.simulate(time.Second)
			for _, a := range cluster.agents {
				a.dropResponses = false
			}
			cluster.simulate(time.Second)
			Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.0.0": 1, "a.0.0.1": 1, "a.0.0.2": 1}))
			for _, a := range cluster.agents {
				Expect(len(a.starts)).To(BeNumerically("<=", 3))
			}
		})

		It("starts a task on another VM if an agent refuses to start it", func() {
			for _, a := range cluster.agents {
				a.refusalReason = "no-grant"
			}
			cluster.agents["vm-2"].refusalReason = ""
			submit(job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 2, Size: size}}})
			cluster.simulate(3 * time.Second)
			Expect(cluster.agents["vm-2"].runs).To(HaveLen(2))
		})

		// Guards against a second run of a task: a later owner, of which this one does not know yet, hears the VM and lets its runs go on.
		It("keeps the tasks of a silent VM until it is certain that no other entry owned the jobs while the leases expired", func() {
			submit(job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: size}}})
			cluster.simulate(time.Second)
			for _, a := range cluster.agents {
				a.silent = len(a.runs) > 0
			}
			cluster.timeSinceOwned = 900 * time.Millisecond
			cluster.simulate(6 * time.Second)
			Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.0.0": 1}), "the leases of 5.5 s had not expired when this entry certainly was the owner")
			cluster.simulate(700 * time.Millisecond)
			Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.0.0": 2}), "the fake agent has kept its run")
		})
		// Guards against a second run of a task while the first run may continue on a VM that is cut off from the network.
		It("waits until the leases of a silent VM have expired before the tasks of that VM start elsewhere", func() {
			submit(twoStepJob("a"))
			cluster.simulate(200 * time.Millisecond)
			var silentAgent *agent
			for _, a := range cluster.agents {
				if len(a.runs) > 0 {
					silentAgent = a
					break
				}
			}
			silentAgent.silent = true
			cluster.simulate(5 * time.Second)
			for _, count := range cluster.countRuns() {
				Expect(count).To(Equal(1))
			}
			silentAgent.runs = map[string]messenger.Run{}
			cluster.simulate(2 * time.Second)
			Expect(cluster.countRuns()).To(HaveLen(3))
		})

		It("starts the tasks of an endpoint process again after the process was replaced", func() {
			submit(twoStepJob("a"))
			cluster.simulate(200 * time.Millisecond)
			for _, a := range cluster.agents {
				a.incarnation++
				a.runs, a.results, a.nextResultSequence = map[string]messenger.Run{}, nil, 1
			}
			cluster.simulate(time.Second)
			Expect(cluster.countRuns()).To(HaveLen(3))
		})

		It("moves long-running tasks away from a draining VM and starts nothing there", func() {
			submit(job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 3, Size: size, LongRunning: true, MaxPerVM: 2}}})
			cluster.simulate(200 * time.Millisecond)
			for _, a := range cluster.agents {
				if len(a.runs) > 0 {
					a.state = messenger.VMDraining
					break
				}
			}
			cluster.simulate(time.Second)
			Expect(cluster.countRuns()).To(HaveLen(3))
			for _, a := range cluster.agents {
				Expect(a.state == messenger.VMDraining && len(a.runs) > 0).To(BeFalse())
			}
		})

		It("starts nothing while agents are not allowed to renew leases", func() {
			cluster.mayGrantLeases = false
			submit(twoStepJob("a"))
			cluster.simulate(time.Second)
			Expect(cluster.countRuns()).To(BeEmpty())
		})
	})

	Describe("with takeovers, late results and job retention", func() {
		It("after a takeover, keeps the existing runs and completes their job", func() {
			submit(twoStepJob("a"))
			cluster.simulate(200 * time.Millisecond)
			cluster.takeOver()
			cluster.simulate(time.Second)
			Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.0.0": 1, "a.0.0.1": 1, "a.0.0.2": 1}))
			cluster.finishAllRuns(messenger.RunDone)
			cluster.simulate(time.Second)
			cluster.finishAllRuns(messenger.RunDone)
			cluster.simulate(time.Second)
			Expect(jobState("a")).To(Equal("completed"))
			for _, a := range cluster.agents {
				Expect(a.stops).To(BeEmpty())
			}
		})

		// Guards against a second run of a task whose result the previous owner processed but did not record.
		It("after a takeover, processes the run results that the previous owner has not recorded", func() {
			submit(twoStepJob("a"))
			cluster.simulate(200 * time.Millisecond)
			cluster.journal.blocked = true
			cluster.finishAllRuns(messenger.RunDone)
			cluster.simulate(400 * time.Millisecond)
			Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.1.0": 1}))
			cluster.takeOver()
			cluster.simulate(2 * time.Second)
			Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.1.0": 1}))
			starts := 0
			for _, a := range cluster.agents {
				starts += len(a.starts)
			}
			Expect(starts).To(Equal(4))
		})

		// Guards against an owner that lets an endpoint forget a run result because the job was cancelled, although the cancellation is not
		// recorded. The next owner would then run the task again.
		It("after a takeover, does not restart a task that completed after an unrecorded cancellation of its job", func() {
			submit(twoStepJob("a"))
			cluster.simulate(200 * time.Millisecond)
			cluster.journal.blocked = true
			cancelReturned := make(chan struct{})
			go func() {
				defer close(cancelReturned)
				callCtx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
				defer cancel()
				cluster.coordinator.Cancel(callCtx, messenger.JobRequest{ID: "a", Queue: "q"})
			}()
			<-cancelReturned
			for _, a := range cluster.agents {
				a.finishRun("a.0.0.1", messenger.RunDone)
			}
			Eventually(func() int { cluster.simulate(200 * time.Millisecond); return len(cluster.countRuns()) }).Should(BeZero())
			cluster.simulate(time.Second)
			cluster.takeOver()
			cluster.simulate(2 * time.Second)
			Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.0.0": 1, "a.0.0.2": 1}))
		})

		// Guards against a job that fails because two owners count the same failure.
		It("after a takeover, does not recount a failure that the previous owner has recorded", func() {
			submit(job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: size}}})
			cluster.simulate(200 * time.Millisecond)
			for _, a := range cluster.agents {
				a.finishRun("a.0.0.0", messenger.RunFailed)
				cluster.sendReport(a)
			}
			cluster.journal.flush()
			cluster.takeOver()
			cluster.simulate(2 * time.Second)
			Expect(jobState("a")).To(Equal("running"))
			cluster.finishAllRuns(messenger.RunFailed)
			cluster.simulate(time.Second)
			Expect(jobState("a")).To(Equal("failed"))
		})

		// Guards against another run of a task that has reached the failure limit. The failure of an earlier run may be reported while a later
		// run continues.
		It("counts the failure of an earlier run that is reported while a later run continues", func() {
			submit(job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: size}}})
			cluster.simulate(200 * time.Millisecond)
			var lateAgent *agent
			for _, a := range cluster.agents {
				if len(a.runs) > 0 {
					lateAgent = a
				}
			}
			lateAgent.silent = true
			lateAgent.finishRun("a.0.0.0", messenger.RunFailed)
			cluster.simulate(7 * time.Second)
			Expect(cluster.countRuns()).To(HaveLen(1), "the second run")
			lateAgent.silent = false
			cluster.simulate(400 * time.Millisecond)
			cluster.finishAllRuns(messenger.RunFailed)
			cluster.simulate(time.Second)
			Expect(jobState("a")).To(Equal("failed"))
			Expect(cluster.countRuns()).To(BeEmpty())
		})

		// Guards against a task that is executed twice in full. An earlier run may have completed it, which is reported while a later run
		// continues.
		It("completes a task by an earlier run that is reported while a later run continues, and stops the later run", func() {
			submit(twoStepJob("a"))
			cluster.simulate(200 * time.Millisecond)
			var lateAgent *agent
			for _, a := range cluster.agents {
				if len(a.runs) > 0 {
					lateAgent = a
				}
			}
			lateTasks := len(lateAgent.runs)
			lateAgent.silent = true
			for task := range lateAgent.runs {
				lateAgent.finishRun(task, messenger.RunDone)
			}
			cluster.simulate(7 * time.Second)
			Expect(cluster.countRuns()).To(HaveLen(3), "the later runs")
			lateAgent.silent = false
			cluster.simulate(time.Second)
			Expect(cluster.countRuns()).To(HaveLen(3 - lateTasks))
			cluster.finishAllRuns(messenger.RunDone)
			cluster.simulate(400 * time.Millisecond)
			Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.1.0": 1}))
			cluster.finishAllRuns(messenger.RunDone)
			cluster.simulate(400 * time.Millisecond)
			Expect(jobState("a")).To(Equal("completed"))
		})

		// Guards against a second run of a task while the first run continues at its endpoint, but the restarted agent has not listed it yet.
		It("after a takeover, waits for an agent that has not listed the runs at its endpoint, but only for a limited time", func() {
			submit(job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: size}}})
			cluster.simulate(200 * time.Millisecond)
			var restartedAgent *agent
			for _, a := range cluster.agents {
				if len(a.runs) > 0 {
					restartedAgent = a
				}
			}
			restartedAgent.restart("h")
			cluster.takeOver()
			cluster.simulate(time.Second)
			Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.0.0": 1}))
			restartedAgent.runs = map[string]messenger.Run{}
			cluster.simulate(8 * time.Second)
			Expect(cluster.countRuns()).To(Equal(map[string]int{"a.0.0.0": 1}), "all leases have expired by now")
		})

		It("after a takeover, starts tasks of new jobs at once, but tasks of restored jobs only when each VM has sent a report or is lost", func() {
			submit(twoStepJob("a"))
			cluster.simulate(200 * time.Millisecond)
			var silentAgent *agent
			for _, a := range cluster.agents {
				if len(a.runs) > 0 {
					silentAgent = a
					break
				}
			}
			silentAgent.silent = true
			silentRuns := len(silentAgent.runs)
			cluster.takeOver()
			submit(job.Job{ID: "b", Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: size}}})
			cluster.simulate(5 * time.Second)
			Expect(cluster.countRuns()).To(HaveKey("b.0.0.0"))
			for _, count := range cluster.countRuns() {
				Expect(count).To(Equal(1))
			}
			silentAgent.runs = map[string]messenger.Run{}
			cluster.simulate(2 * time.Second)
			Expect(cluster.countRuns()).To(HaveLen(4))
			Expect(silentRuns).NotTo(BeZero())
		})

		It("after a takeover, stops the runs of jobs that were cancelled under the previous owner", func() {
			submit(twoStepJob("a"))
			cluster.simulate(200 * time.Millisecond)
			go cluster.coordinator.Cancel(ctx, messenger.JobRequest{ID: "a", Queue: "q"})
			Eventually(func() string { cluster.journal.flush(); return jobState("a") }).Should(Equal("cancelled"))
			cluster.takeOver()
			cluster.simulate(time.Second)
			Expect(cluster.countRuns()).To(BeEmpty())
		})

		It("removes ended jobs after their retention", func() {
			submit(job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: size}}})
			cluster.simulate(200 * time.Millisecond)
			cluster.finishAllRuns(messenger.RunDone)
			cluster.simulate(50 * time.Second)
			Expect(jobState("a")).To(Equal("completed"))
			cluster.simulate(30 * time.Second)
			Expect(cluster.coordinator.JobState(ctx, messenger.JobRequest{ID: "a", Queue: "q"}).Outcome).To(Equal(messenger.OutcomeNotFound))
			for _, r := range cluster.journal.newestRecords() {
				Expect(r.Key).To(HavePrefix("vm/"))
			}
		})
	})

	// In these tests, the job "s" has the long-running tasks with a latency target, the job "f" the best-effort tasks.
	Describe("with missed latency targets", func() {
		longRunningStep := job.Step{TaskCount: 3, Size: size, MaxPerVM: 1, LongRunning: true, Program: "x", TailTarget: 50 * time.Millisecond}
		// setMeasurements sets the measurements of all runs on the agent's VM: the processors that best-effort tasks use at their paces, and
		// the tail latency in milliseconds that follows from their interference. A measured latency follows the true one with a delay, as at
		// real endpoints: each call removes two thirds of the difference. setMeasurements returns the true latency.
		setMeasurements := func(a *agent, interference float64) float64 {
			utilisation := 0.42
			for task, r := range a.runs {
				if task[0] == 's' {
					continue
				}
				pace, ok := a.paces[task]
				if !ok {
					pace = 100
				}
				r.Progress, r.LatencyOrUsage = 50, 20*pace
				a.runs[task] = r
				utilisation += interference * float64(r.LatencyOrUsage) / 4000
			}
			trueLatency := 11 / (1 - min(utilisation, 0.98))
			if a.tailLatency == 0 {
				a.tailLatency = trueLatency
			}
			a.tailLatency += (trueLatency - a.tailLatency) * 2 / 3
			for task, r := range a.runs {
				if task[0] == 's' {
					r.Progress, r.LatencyOrUsage = 100, int(a.tailLatency+0.5)
					a.runs[task] = r
				}
			}
			return trueLatency
		}
		// runRounds simulates n rounds of 400 ms. At the start of each round, it sets the measurements on all VMs. It returns the highest true
		// latency of the last round in milliseconds.
		runRounds := func(n int, interference float64) float64 {
			worstLatency := 0.0
			for range n {
				worstLatency = 0
				for _, a := range cluster.agents {
					worstLatency = max(worstLatency, setMeasurements(a, interference))
				}
				cluster.simulate(400 * time.Millisecond)
			}
			return worstLatency
		}
		// Load pattern: a best-effort program interferes strongly with a long-running program, which runs on all VMs.
		It("throttles best-effort tasks until latency targets are met, and restores their full pace when they no longer interfere", func() {
			submit(job.Job{ID: "s", Occurrences: 1, Steps: []job.Step{longRunningStep}})
			cluster.simulate(400 * time.Millisecond)
			runRounds(2, 0)
			submit(job.Job{ID: "f", Occurrences: 1, Steps: []job.Step{{TaskCount: 2, Size: size, BestEffort: true, Program: "p"}}})
			cluster.simulate(400 * time.Millisecond)
			Expect(runRounds(1, 4)).To(BeNumerically(">", 250))
			Expect(runRounds(5, 4)).To(BeNumerically("<", 50), "the target must be met again within two seconds, which is half of MissTolerance")
			throttledTasks := 0
			for _, a := range cluster.agents {
				for _, percent := range a.paces {
					if percent < 100 {
						throttledTasks++
					}
				}
			}
			Expect(throttledTasks).To(Equal(2))
			runRounds(60, 0)
			for _, a := range cluster.agents {
				for _, percent := range a.paces {
					Expect(percent).To(Equal(100))
				}
			}
		})

		// Load pattern: a takeover while programs interfere. With an empty model, the new owner would not throttle the best-effort tasks
		// until latency targets are missed.
		It("uses the recorded interference model after a takeover", func() {
			submit(job.Job{ID: "s", Occurrences: 1, Steps: []job.Step{longRunningStep}})
			cluster.simulate(400 * time.Millisecond)
			submit(job.Job{ID: "f", Occurrences: 1, Steps: []job.Step{{TaskCount: 2, Size: size, BestEffort: true, Program: "p"}}})
			cluster.simulate(400 * time.Millisecond)
			runRounds(8, 4)
			cluster.takeOver()
			runRounds(1, 4)
			throttledTasks := 0
			for _, a := range cluster.agents {
				for task, percent := range a.paces {
					if task[0] == 'f' && percent < 100 {
						throttledTasks++
					}
				}
			}
			Expect(throttledTasks).To(Equal(2), "the new owner must keep both tasks throttled")
		})

		// Load pattern: best-effort tasks make no progress beside victims near their limits. They occupy memory that other tasks need, and
		// there is no VM to which they could move.
		It("stops the runs of best-effort tasks that make no progress", func() {
			submit(job.Job{ID: "s", Occurrences: 1, Steps: []job.Step{longRunningStep}})
			cluster.simulate(400 * time.Millisecond)
			runRounds(2, 0)
			submit(job.Job{ID: "f", Occurrences: 1, Steps: []job.Step{{TaskCount: 2, Size: size, BestEffort: true, Resumable: true, Program: "p"}}})
			cluster.simulate(400 * time.Millisecond)
			Expect(cluster.countRuns()).To(HaveKey("f.0.0.0"))
			runRounds(15, 20)
			var stops []string
			for _, a := range cluster.agents {
				stops = append(stops, a.stops...)
			}
			Expect(stops).To(ContainElements("f.0.0.0", "f.0.0.1"))
		})

		// Load pattern: best-effort tasks with checkpoints run on the VMs of victims, and one VM has no victims.
		It("moves best-effort tasks with checkpoints to a VM without victims", func() {
			longRunningStep.TaskCount = 2
			submit(job.Job{ID: "s", Occurrences: 1, Steps: []job.Step{longRunningStep}})
			cluster.simulate(400 * time.Millisecond)
			submit(job.Job{ID: "f", Occurrences: 1, Steps: []job.Step{{TaskCount: 4, Size: size, BestEffort: true, Resumable: true, Program: "p"}}})
			cluster.simulate(2 * time.Second)
			// tasksBesideVictims returns the number of best-effort tasks on VMs with long-running tasks, which are the victims here.
			tasksBesideVictims := func() int {
				n := 0
				for _, a := range cluster.agents {
					hasVictim, bestEffortRuns := false, 0
					for task := range a.runs {
						hasVictim = hasVictim || task[0] == 's'
						if task[0] == 'f' {
							bestEffortRuns++
						}
					}
					if hasVictim {
						n += bestEffortRuns
					}
				}
				return n
			}
			Expect(tasksBesideVictims()).NotTo(BeZero())
			// The tasks on the VM without a long-running task end, so that other tasks can move there.
			for _, a := range cluster.agents {
				if len(a.runs) > 0 && tasksBesideVictims() > 0 {
					hasVictim := false
					for task := range a.runs {
						hasVictim = hasVictim || task[0] == 's'
					}
					if !hasVictim {
						for task := range a.runs {
							a.finishRun(task, messenger.RunDone)
						}
					}
				}
			}
			runRounds(3, 4)
			Expect(tasksBesideVictims()).To(BeZero())
		})
	})
})
