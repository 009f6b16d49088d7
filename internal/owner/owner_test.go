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

func decode(r stream.Record, into any) {
	if err := json.Unmarshal(r.Body, into); err != nil {
		panic(err)
	}
}

func unfinished(jobs []scheduler.Status) bool {
	for _, j := range jobs {
		if j.Running > 0 || j.Waiting > 0 && j.State != scheduler.StateParked {
			return true
		}
	}
	return false
}

func job(id string, tasks int) message.JobRequest {
	return message.JobRequest{ID: id, Tasks: tasks, Size: resource.Amount{MilliProcessors: 500, MemoryBytes: 30}}
}

var _ = Describe("Owner", func() {
	ctx := context.Background()

	// Guards against a region that does not work without faults, which would hide every other failure.
	It("completes jobs without faults", func() {
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

	// Guards against a superseded entry that confirms the results of attempts it does not know. The agent then forgets
	// them before the owner has recorded them, and the tasks run again.
	It("confirms unknown attempts only with log contact", func() {
		r := newRegion(1, 3, 3)
		r.run(ctx, 10*time.Second)
		confirmations := func(sequence uint64) (count int) {
			for _, e := range r.entries {
				count += len(e.owner.Heartbeat(ctx, message.Heartbeat{
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

	// Guards against a task in two places, overcommitment, lost and doubled tasks (I1, I2, I3) under any
	// combination of faults. rapid prints the seed of a failure.
	It("keeps the invariants under random faults", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) { runRandomFaults(ctx, t, nil) })
	})

	// Guards against a policy that breaks an invariant: corrections, harm control, parking and quarantine act while VMs
	// that fail all tasks come and go.
	It("keeps the invariants under random faults with all policies in use", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) { runRandomFaults(ctx, t, enableAllPolicies) })
	})
})

// stressed puts all policies to use: tasks use other sizes than declared and slow a service down that has a target.
func enableAllPolicies(r *region) {
	r.usageFactor, r.retries = 0.5+r.random.Float64(), scheduler.MaxRetries
	r.configuration = &inventory.Inventory{
		Services: map[string]inventory.Service{"preview": {Name: "preview", TargetLatency: 20 * time.Millisecond}},
		Rules:    map[string]inventory.Rule{"first": {Name: "first", Kinds: []string{"k1"}, Importance: 50}},
	}
	r.failingKind, r.vms[1].failsTasks = "k2", true
	r.latency = func(v *vm) time.Duration {
		return time.Duration(1+len(v.tasks)*r.random.IntN(30)) * time.Millisecond
	}
	for _, e := range r.entries {
		e.boot()
	}
}

// submitted submits a job and notes that it has to complete, if it is not of the kind that fails.
func submitExpected(ctx context.Context, e *entry, id string, kind, tasks int, accepted map[string]int) {
	request := job(id, tasks)
	request.Kind = fmt.Sprint("k", kind%3)
	if _, failure := e.owner.Submit(ctx, request); failure == nil && request.Kind != e.r.failingKind {
		accepted[id] = tasks
	}
}

// randomRun runs random faults, submissions, cancellations and evictions. Without a setup, no VM fails tasks.
func runRandomFaults(ctx context.Context, t *rapid.T, setup func(*region)) {
	vms, first, events := 3, 0, 40
	if setup != nil {
		// Verdicts on jobs and VMs need several of both.
		vms, first, events = 6, 9, 12
	}
	r := newRegion(rapid.Uint64().Draw(t, "seed"), 3, vms)
	if setup != nil {
		setup(r)
	}
	r.run(ctx, 5*time.Second)
	accepted, submitted := map[string]int{}, []string{}
	r.taskDuration = 40 * time.Second
	for i := range first {
		submitExpected(ctx, r.entries[0], fmt.Sprint("f", i), i, 4, accepted)
	}
	r.randomFaults = true
	for i := range rapid.IntRange(5, events).Draw(t, "events") {
		e := r.entries[rapid.IntRange(0, 2).Draw(t, "entry")]
		switch action := rapid.IntRange(0, 20).Draw(t, "action"); {
		case action == 12 && setup != nil:
			r.injectFault(13, 0)
		case action < 13:
			r.injectFault(action, time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds"))*time.Second)
		case action < 16 && e.up():
			id, tasks := fmt.Sprint("j", i), rapid.IntRange(1, 4).Draw(t, "tasks")
			submitted = append(submitted, id)
			submitExpected(ctx, e, id, i, tasks, accepted)
		case action == 16 && len(submitted) > 0 && e.up():
			id := rapid.SampledFrom(submitted).Draw(t, "job")
			if _, ok := e.owner.Status(id); ok {
				delete(accepted, id)
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
		if s, _ := r.results(); !unfinished(s.List(100)) {
			break
		}
		r.run(ctx, time.Minute)
	}
	if len(r.violations) > 0 {
		t.Fatalf("%v", r.violations)
	}
	s, done := r.results()
	for id, tasks := range accepted {
		status, ok := s.Status(id)
		// Only a job that failed at several VMs may rest instead.
		parked := ok && setup != nil && status.State == scheduler.StateParked && status.Done+status.Waiting == tasks
		if !parked && (!ok || status.Done != tasks) {
			t.Fatalf("accepted job %s of %d tasks is %+v", id, tasks, status)
		}
	}
	for name, count := range done {
		if count != 1 {
			t.Fatalf("task %s is recorded done %d times", name, count)
		}
	}
}
