package owner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bamboohook/internal/inventory"
	"bamboohook/internal/message"
	"bamboohook/resource"
	"bamboohook/scheduler"
	"bamboohook/stream"
	"bamboohook/task"
)

// decode decodes the body of a record.
func decode(r stream.Record, into any) {
	if err := json.Unmarshal(r.Body, into); err != nil {
		panic(err)
	}
}

// unfinished reports whether any job has running tasks, or waiting tasks that are not parked.
func unfinished(jobs []scheduler.Status) bool {
	for _, j := range jobs {
		if j.Running > 0 || j.Waiting > 0 && j.State != scheduler.StateParked {
			return true
		}
	}
	return false
}

// job returns a request for a job whose tasks fit twice on a VM with the default capacity of a region.
func job(id string, tasks int) message.JobRequest {
	return message.JobRequest{ID: id, Tasks: tasks, Size: resource.Amount{MilliProcessors: 500, MemoryBytes: 30}}
}

var _ = Describe("Owner", func() {
	ctx := context.Background()

	// Guards against a simulation that fails even without faults. The other tests would then not show which fault is
	// handled wrongly.
	It("completes jobs if no faults occur", func() {
		r := newRegion(1, 3, 3)
		r.run(ctx, 5*time.Second)
		_, failure := r.entries[0].owner.Submit(ctx, job("a", 20))
		Expect(failure).To(BeNil())
		r.run(ctx, time.Minute)
		Expect(r.violations).To(BeEmpty())
		status, _ := r.entries[1].owner.Status("a")
		Expect(status).To(HaveField("Done", 20))
		Expect(status).To(HaveField("Evictions", 0))
	})

	// Guards against an entry without log contact that tells agents to forget the results of attempts that it does not
	// know. Another entry may own the shard by then and may not have recorded the results yet, so the tasks would run
	// again.
	It("lets agents forget unknown ended attempts only with log contact", func() {
		r := newRegion(1, 3, 3)
		r.run(ctx, 10*time.Second)
		confirmations := func(sequence uint64) (count int) {
			for _, e := range r.entries {
				count += len(e.owner.HandleHeartbeat(ctx, message.Heartbeat{
					VM: "vm-9", Generation: "a", Sequence: sequence, State: message.StateUp,
					Tasks: []message.TaskReport{{Identity: task.Identity{Job: "a", Attempt: 2}, State: message.TaskDone}},
				}).ConfirmedAttempts)
			}
			return count
		}
		Expect(confirmations(1)).To(Equal(1))
		r.logDown = true
		r.run(ctx, 6*time.Second)
		Expect(confirmations(2)).To(BeZero())
		r.logDown = false
		r.run(ctx, 10*time.Second)
		Expect(confirmations(3)).To(Equal(1))
	})

	// Guards against overcommitted VMs, tasks that run in two places at a time, and lost or repeated tasks under any
	// combination of faults. On failure, rapid prints the seed.
	It("keeps the invariants under random faults", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) { runRandomFaults(ctx, t, nil) })
	})

	// Guards against scheduling policies that break an invariant. Size corrections, throttling, parking and quarantine
	// are all active, while some VMs start and later stop failing all their tasks.
	It("keeps the invariants under random faults with all policies in use", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) { runRandomFaults(ctx, t, enableAllPolicies) })
	})

	// Guards against tasks that run twice and overcommitted VMs because a worker carries out a start late, possibly after
	// the agent that sent it has been restarted.
	It("keeps the invariants under random faults while workers carry out starts late", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			runRandomFaults(ctx, t, func(r *region) { r.lateStartProbability = 0.2 })
		})
	})
})

// enableAllPolicies configures the region so that all policies act. The tasks use more or less than declared and slow
// down a service with a target latency. All tasks of the kind k2 fail, and so do all tasks on the second VM.
func enableAllPolicies(r *region) {
	r.usageFactor, r.retries = 0.5+r.random.Float64(), scheduler.MaxRetries
	r.configuration = &inventory.Inventory{
		Services: map[string]inventory.Service{"preview": {Name: "preview", TargetLatency: 20 * time.Millisecond}},
		Rules:    map[string]inventory.Rule{"first": {Name: "first", KindsAndServices: []string{"k1"}, Importance: 50}},
	}
	r.failingKind, r.vms[1].failsTasks = "k2", true
	r.latency = func(v *vm) time.Duration {
		return time.Duration(1+len(v.tasks)*r.random.IntN(30)) * time.Millisecond
	}
	for _, e := range r.entries {
		e.startProcess()
	}
}

// submitAndTrack submits a job of one of the kinds k0 to k2. If the job is accepted, expectedTaskCounts gets its
// number of tasks, because all of them must complete. Jobs of the kind that always fails are left out.
func submitAndTrack(ctx context.Context, e *entry, id string, kind, tasks int, expectedTaskCounts map[string]int) {
	request := job(id, tasks)
	request.Kind = fmt.Sprint("k", kind%3)
	if _, failure := e.owner.Submit(ctx, request); failure == nil && request.Kind != e.r.failingKind {
		expectedTaskCounts[id] = tasks
	}
}

// runRandomFaults runs a random sequence of faults, submissions, cancellations and evictions. Then it ends all faults
// and checks that each task of the accepted jobs completes exactly once. setup configures the region. If it is nil, no
// VM fails its tasks.
func runRandomFaults(ctx context.Context, t *rapid.T, setup func(*region)) {
	vms, initialJobs, maxEvents := 3, 0, 40
	if setup != nil {
		// The attributor parks jobs and quarantines VMs only if there are several jobs and several VMs.
		vms, initialJobs, maxEvents = 6, 9, 12
	}
	r := newRegion(rapid.Uint64().Draw(t, "seed"), 3, vms)
	if setup != nil {
		setup(r)
	}
	r.run(ctx, 5*time.Second)
	expectedTaskCounts, submitted := map[string]int{}, []string{}
	r.taskDuration = 40 * time.Second
	for i := range initialJobs {
		submitAndTrack(ctx, r.entries[0], fmt.Sprint("f", i), i, 4, expectedTaskCounts)
	}
	r.randomFaults = true
	for i := range rapid.IntRange(5, maxEvents).Draw(t, "events") {
		e := r.entries[rapid.IntRange(0, 2).Draw(t, "entry")]
		switch action := rapid.IntRange(0, 20).Draw(t, "action"); {
		case action == 12 && setup != nil:
			// Fault 13 makes a VM fail all its tasks, or ends that. The duration has no effect on it.
			r.injectFault(13, 0)
		case action < 13:
			// The actions below 13 are the kinds of faults that injectFault knows by the same numbers.
			r.injectFault(action, time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds"))*time.Second)
		case action < 16 && e.up():
			id, tasks := fmt.Sprint("j", i), rapid.IntRange(1, 4).Draw(t, "tasks")
			submitted = append(submitted, id)
			submitAndTrack(ctx, e, id, i, tasks, expectedTaskCounts)
		case action == 16 && len(submitted) > 0 && e.up():
			id := rapid.SampledFrom(submitted).Draw(t, "job")
			if _, ok := e.owner.Status(id); ok {
				delete(expectedTaskCounts, id)
				_, _ = e.owner.Cancel(ctx, id, "test")
			}
		case action >= 17 && len(submitted) > 0:
			id := rapid.SampledFrom(submitted).Draw(t, "job")
			for _, e := range r.entries {
				e.owner.Evict(id, 0)
			}
		}
		r.run(ctx, time.Duration(rapid.IntRange(0, 30).Draw(t, "pause"))*time.Second)
	}
	r.clearFaults()
	r.run(ctx, 2*time.Minute)
	for range 36 {
		if s, _ := r.replayLog(); !unfinished(s.List(100)) {
			break
		}
		r.run(ctx, time.Minute)
	}
	if len(r.violations) > 0 {
		t.Fatalf("%v", r.violations)
	}
	s, completions := r.replayLog()
	for id, tasks := range expectedTaskCounts {
		status, ok := s.Status(id)
		// With the policies enabled, a job may be parked instead of completed. Its remaining tasks then wait.
		parked := ok && setup != nil && status.State == scheduler.StateParked && status.Done+status.Waiting == tasks
		if !parked && (!ok || status.Done != tasks) {
			t.Fatalf("accepted job %s of %d tasks did not complete: %+v", id, tasks, status)
		}
	}
	for name, count := range completions {
		if count != 1 {
			t.Fatalf("task %s has %d recorded completions instead of 1", name, count)
		}
	}
}
