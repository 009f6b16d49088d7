package supervisor_test

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/admitter"
	"bamboohook/internal/message"
	"bamboohook/internal/supervisor"
	"bamboohook/resource"
	"bamboohook/task"
)

var _ = Describe("Supervisor", func() {
	ctx := context.Background()
	var (
		clock *clockwork.FakeClock
		w     *fakeWorker
		s     *supervisor.Supervisor
	)
	// identity returns the identity of the attempt with the number. All attempts are of the same task.
	identity := func(attempt int) task.Identity {
		return task.Identity{Job: "a/b", Attempt: attempt, Shard: 2, Epoch: 5}
	}
	// restartAgent replaces s by a new Supervisor with the same worker, as a restart of the agent does.
	restartAgent := func() {
		s = &supervisor.Supervisor{Generation: "g", Worker: w, Clock: clock, Admitter: &admitter.Admitter{}}
	}
	// tick advances the clock by d in steps of 500 ms and calls Tick after each step.
	tick := func(d time.Duration) {
		for ; d > 0; d -= 500 * time.Millisecond {
			clock.Advance(500 * time.Millisecond)
			s.Tick(ctx)
		}
	}
	// startRequest returns a valid start request for the attempt with the number, which takes 600 of the worker's 1000
	// thousandths of processors, so that two attempts do not fit.
	startRequest := func(attempt int) message.StartRequest {
		return message.StartRequest{
			Lease: message.Lease{Identity: identity(attempt), Duration: 10 * time.Second}, Generation: "g", Sequence: 1,
			Size: resource.Amount{MilliProcessors: 600, MemoryBytes: 60},
		}
	}
	// command returns a valid command for the attempt with the number.
	command := func(attempt int) message.TaskCommand {
		return message.TaskCommand{Identity: identity(attempt), Generation: "g"}
	}
	// onlyReport checks that s reports exactly one attempt, and returns the report of that attempt.
	onlyReport := func() message.TaskReport {
		Expect(s.Reports()).To(HaveLen(1))
		return s.Reports()[0]
	}
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		w = newFakeWorker(clock)
		restartAgent()
		s.Tick(ctx)
		// A new agent starts no attempts until the calls of its predecessor can no longer take effect.
		tick(2 * time.Second)
		s.RecordHeartbeat(1, clock.Now())
	})

	for name, c := range map[string]struct {
		before func()
		modify func(*message.StartRequest)
		want   message.StartResponse
	}{
		"a valid start":    {nil, nil, message.StartResponse{Started: true}},
		"a repeated start": {func() { s.Start(ctx, startRequest(1)) }, nil, message.StartResponse{Started: true}},
		"a start before the restarted agent has listed the worker's tasks": {
			func() { restartAgent(); s.RecordHeartbeat(1, clock.Now()) }, nil, message.StartResponse{Reason: "not-ready"},
		},
		"a start with the generation of another agent process": {nil, func(request *message.StartRequest) { request.Generation = "old" }, message.StartResponse{Reason: "other-generation"}},
		"a start with the epoch of a superseded owner":         {func() { s.Stop(ctx, command(9)) }, func(request *message.StartRequest) { request.Epoch = 4 }, message.StartResponse{Reason: "old-epoch"}},
		"a repeated start by a superseded owner of the task": {
			func() { s.Start(ctx, startRequest(1)); w.tasks["a/b/0/1"].State = "done" },
			func(request *message.StartRequest) { request.Epoch = 4 },
			message.StartResponse{Reason: "old-epoch"},
		},
		"a start of a stopped attempt":                           {func() { s.Stop(ctx, command(1)) }, nil, message.StartResponse{Reason: "stopped"}},
		"a start that names a heartbeat that was never sent":     {nil, func(request *message.StartRequest) { request.Sequence = 7 }, message.StartResponse{Reason: "lease-expired"}},
		"a start that arrives when its lease is about to expire": {func() { clock.Advance(7 * time.Second) }, nil, message.StartResponse{Reason: "lease-expired"}},
		"a start of a size that does not fit":                    {nil, func(request *message.StartRequest) { request.Size.Accelerators = 2 }, message.StartResponse{Reason: "accelerators-exhausted"}},
		"a start while the agent drains":                         {func() { s.Drain(ctx) }, nil, message.StartResponse{Reason: "draining"}},
		"a start that the worker refuses":                        {func() { w.faults["start"] = "refused" }, nil, message.StartResponse{Reason: "worker-refused"}},
		"a start to which the worker does not respond":           {func() { w.faults["start"] = "lost" }, nil, message.StartResponse{Started: true, Reason: "worker-unclear"}},
	} {
		// Guards against attempts that run without a valid lease from the current owner of the task, or without
		// committed capacity.
		It("responds to "+name, func() {
			if c.before != nil {
				c.before()
			}
			request := startRequest(1)
			if c.modify != nil {
				c.modify(&request)
			}
			Expect(s.Start(ctx, request)).To(Equal(c.want))
			Expect(w.runningCount() == 1).To(Equal(c.want.Started && c.want.Reason == ""))
			Expect(w.calls["start"]).To(BeNumerically("<=", 1))
			if !c.want.Started && name != "a repeated start by a superseded owner of the task" {
				Expect(s.Admitter.Committed()).To(Equal(resource.Amount{}))
			}
		})
	}

	// A lost call has no effect and no response. An unanswered call has an effect, but no response.
	for _, fault := range []string{"lost", "unanswered"} {
		// Guards against overcommitted capacity, and against a task that runs although the agent has
		// no record of its attempt, after a start call without a response.
		It("keeps the capacity of an attempt committed if the start call to the worker is "+fault+", until a list of the worker's tasks shows whether the attempt runs", func() {
			w.faults["start"] = fault
			s.Start(ctx, startRequest(1))
			tick(1500 * time.Millisecond)
			Expect(s.Start(ctx, startRequest(2)).Reason).To(Equal("processors-exhausted"))
			tick(time.Second)
			want := map[string]string{"lost": "stopped", "unanswered": "running"}[fault]
			Expect(onlyReport().State).To(Equal(want))
			Expect(s.Admitter.Committed() == resource.Amount{}).To(Equal(want == "stopped"))
		})
		// Guards against a stop command that is accepted although the attempt may still run.
		It("does not accept a stop command if the stop call to the worker is "+fault, func() {
			s.Start(ctx, startRequest(1))
			w.faults["stop"] = fault
			Expect(s.Stop(ctx, command(1)).Accepted).To(BeFalse())
			Expect(s.Admitter.Committed().MilliProcessors).To(Equal(int64(600)))
			delete(w.faults, "stop")
			tick(time.Second)
			response := s.Stop(ctx, command(1))
			Expect(response.Accepted).To(BeTrue())
			Expect(response.Report.State).To(Equal("stopped"))
			Expect(s.Admitter.Committed()).To(Equal(resource.Amount{}))
		})
	}

	// The start call has no effect, so the worker refuses each stop call. A refused stop call must not restart the
	// delay after which a task that the worker does not list counts as stopped. Otherwise the attempt would always
	// be reported as running.
	It("reports an attempt whose start call was lost as stopped, although its owner repeats the stop command", func() {
		w.faults["start"] = "lost"
		s.Start(ctx, startRequest(1))
		for range 6 {
			s.Stop(ctx, command(1))
			tick(time.Second)
		}
		Expect(onlyReport().State).To(Equal("stopped"))
		Expect(s.Admitter.Committed()).To(Equal(resource.Amount{}))
	})

	// Guards against a task that keeps running because its start call took effect after the agent had removed the
	// attempt.
	It("stops a running task on the worker for which the agent has no attempt", func() {
		w.tasks["a/b/0/4"] = &message.WorkerTask{ID: "a/b/0/4", State: "running", Size: w.capacity}
		w.leaseEnds["a/b/0/4"] = clock.Now().Add(time.Minute)
		tick(time.Second)
		Expect(w.runningCount()).To(Equal(0))
		Expect(onlyReport().State).To(Equal("checkpointed"))
	})

	// Guards against an attempt that runs longer than its lease, and against one that is stopped although its lease
	// was renewed in time. The second renewal has an older epoch and must have no effect.
	It("checkpoints and stops an attempt before its lease expires, unless the current owner renews the lease", func() {
		s.Start(ctx, startRequest(1))
		tick(5 * time.Second)
		lease := message.Lease{Identity: identity(1), Duration: 10 * time.Second}
		s.HandleHeartbeatResponse(ctx, clock.Now(), message.HeartbeatResponse{Leases: []message.Lease{lease}})
		tick(6500 * time.Millisecond)
		Expect(w.runningCount()).To(Equal(1))
		lease.Epoch = 4
		s.HandleHeartbeatResponse(ctx, clock.Now(), message.HeartbeatResponse{Leases: []message.Lease{lease}})
		tick(500 * time.Millisecond)
		Expect(w.runningCount()).To(Equal(0))
		Expect(onlyReport()).To(HaveField("Checkpoint", "c-a/b/0/1"))
		Expect(onlyReport()).To(HaveField("Reason", "lapsed"))
	})

	// Guards against a lease at the worker that ends after the lease that the owner granted to the agent. The worker
	// measures a lease from the receipt of the call, which may be delayed by up to the timeout of the call.
	It("passes the lease of an attempt on to the worker shortened by the timeout of a call", func() {
		clock.Advance(2 * time.Second)
		s.Start(ctx, startRequest(1))
		Expect(w.leaseEnds["a/b/0/1"]).To(Equal(clock.Now().Add(7 * time.Second)))
		s.HandleHeartbeatResponse(ctx, clock.Now(), message.HeartbeatResponse{Leases: []message.Lease{{Identity: identity(1), Duration: time.Minute}}})
		Expect(w.leaseEnds["a/b/0/1"]).To(Equal(clock.Now().Add(59 * time.Second)))
	})

	// Guards against results that are no longer reported before the owner of the task has recorded them, and against
	// results that are reported forever.
	It("reports the result of an attempt until the owner of the task confirms it", func() {
		s.Start(ctx, startRequest(1))
		s.HandleHeartbeatResponse(ctx, clock.Now(), message.HeartbeatResponse{ConfirmedAttempts: []task.Identity{identity(1)}})
		Expect(onlyReport().State).To(Equal("running"))
		w.tasks["a/b/0/1"].State = "done"
		tick(time.Second)
		Expect(onlyReport().State).To(Equal("done"))
		Expect(s.Stop(ctx, command(1)).Report.State).To(Equal("done"))
		s.HandleHeartbeatResponse(ctx, clock.Now(), message.HeartbeatResponse{ConfirmedAttempts: []task.Identity{identity(1)}})
		tick(2 * time.Second)
		Expect(s.Reports()).To(BeEmpty())
		s.RecordHeartbeat(2, clock.Now())
		repeatedStart := startRequest(1)
		repeatedStart.Sequence = 2
		Expect(s.Start(ctx, repeatedStart).Reason).To(Equal("stopped"))
	})

	// Guards against overcommitted capacity, and against tasks that run although the agent has no record of their
	// attempts, after a restart of the agent.
	It("adds attempts for the tasks on the worker after a restart of the agent, and stops them before their leases expire", func() {
		s.Start(ctx, startRequest(1))
		w.tasks["old/3/2"] = &message.WorkerTask{ID: "old/3/2", State: "failed", Reason: "exit-1"}
		restartAgent()
		s.RecordHeartbeat(1, clock.Now())
		Expect(s.Stop(ctx, command(1)).Reason).To(Equal("not-ready"))
		s.Tick(ctx)
		Expect(s.Start(ctx, startRequest(2)).Reason).To(Equal("not-ready"))
		Expect(s.Admitter.Committed().MilliProcessors).To(Equal(int64(600)))
		tick(2 * time.Second)
		Expect(s.Start(ctx, startRequest(2)).Reason).To(Equal("processors-exhausted"))
		reports := s.Reports()
		Expect(reports).To(HaveLen(2))
		Expect(reports[0].Identity).To(Equal(task.Identity{Job: "a/b", Attempt: 1, Shard: supervisor.UnknownShard}))
		Expect(reports[1]).To(And(HaveField("State", "failed"), HaveField("Reason", "exit-1")))
		s.HandleHeartbeatResponse(ctx, clock.Now(), message.HeartbeatResponse{Leases: []message.Lease{{Identity: identity(1), Duration: 10 * time.Second}}})
		Expect(s.Reports()[0].Identity).To(Equal(identity(1)))
		tick(8 * time.Second)
		Expect(w.runningCount()).To(Equal(0))
	})

	for name, ended := range map[string]bool{"runs": false, "has ended": true} {
		// Guards against an agent that declares an attempt stopped, or gives its capacity away, while the start call of
		// the agent's previous process may still take effect. The task would run twice, or the VM would be overcommitted.
		It("adds an attempt that a late start call of the previous agent process has started and that "+name, func() {
			w.faults["start"] = "lost"
			s.Start(ctx, startRequest(1))
			delete(w.faults, "start")
			restartAgent()
			s.RecordHeartbeat(1, clock.Now())
			s.Tick(ctx)
			Expect(s.Stop(ctx, command(1))).To(Equal(message.TaskCommandResponse{Reason: "not-ready"}))
			Expect(s.Start(ctx, startRequest(2))).To(Equal(message.StartResponse{Reason: "not-ready"}))
			clock.Advance(900 * time.Millisecond)
			Expect(w.Start(ctx, message.WorkerStart{ID: identity(1).ID(), Size: startRequest(1).Size, Lease: 6 * time.Second})).To(Succeed())
			if ended {
				w.tasks[identity(1).ID()].State = "done"
			}
			tick(3 * time.Second)
			Expect(w.calls["stop"]).To(BeZero())
			Expect(onlyReport().State).To(Equal(map[bool]string{false: "running", true: "done"}[ended]))
			Expect(s.Start(ctx, startRequest(2)).Started).To(Equal(ended))
			Expect(s.Stop(ctx, command(1)).Accepted).To(BeTrue())
		})
	}

	// Guards against attempts that are stopped without a checkpoint, and against stop calls for attempts that have
	// already ended.
	It("checkpoints and stops all attempts when draining, and does not stop them again after they have ended", func() {
		s.Start(ctx, startRequest(1))
		w.faults["stop"] = "lost"
		Expect(s.Drain(ctx)).To(BeFalse())
		delete(w.faults, "stop")
		tick(time.Second)
		Expect(s.Drain(ctx)).To(BeTrue())
		Expect(onlyReport()).To(And(HaveField("State", "checkpointed"), HaveField("Reason", "drained")))
		stopCalls := w.calls["stop"]
		tick(3 * time.Second)
		Expect(w.calls["stop"]).To(Equal(stopCalls))
		Expect(s.Reports()).To(HaveLen(1))
	})

	for name, c := range map[string]struct {
		command message.TaskCommand
		reason  string
	}{
		"the generation of another agent process": {message.TaskCommand{Identity: identity(1), Generation: "x", Share: 0.5}, "other-generation"},
		"the epoch of a superseded owner":         {message.TaskCommand{Identity: task.Identity{Job: "a/b", Attempt: 1, Shard: 2, Epoch: 4}, Generation: "g"}, "old-epoch"},
		"the identity of an unknown attempt":      {message.TaskCommand{Identity: identity(2), Generation: "g", Share: 0.5}, "unknown-attempt"},
		"a share above 1":                         {message.TaskCommand{Identity: identity(1), Generation: "g", Share: 2}, "bad-request"},
		"valid arguments":                         {message.TaskCommand{Identity: identity(1), Generation: "g", Share: 0.5}, ""},
	} {
		// Guards against commands that take effect although their sender no longer owns the task.
		It("responds to a throttle command with "+name, func() {
			s.Start(ctx, startRequest(1))
			response := s.Throttle(ctx, c.command)
			Expect(response.Reason).To(Equal(c.reason))
			Expect(response.Accepted).To(Equal(c.reason == ""))
			Expect(w.calls["throttle"] == 1).To(Equal(c.reason == ""))
		})
	}
})
