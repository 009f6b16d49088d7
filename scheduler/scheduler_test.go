package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bamboohook/claimer"
	"bamboohook/resource"
	"bamboohook/scheduler"
	"bamboohook/stream"
	"bamboohook/task"
)

var start = time.Unix(1_000_000, 0)

// newClaimedScheduler returns a scheduler whose shards were claimed by the entry "old" at offset 1 and, after "old"
// was absent, by the entry "new" at offset 2. The offsets are also the epochs of the two owners.
func newClaimedScheduler(shards int) *scheduler.Scheduler {
	s := scheduler.New(claimer.New(claimer.Options{ShardCount: shards}))
	for offset, entry := range []string{"old", "new"} {
		for shard := range shards {
			claim := claimer.Claim{Shard: shard, Entry: entry, PreviousEpoch: uint64(offset)}
			s.Apply(stream.NewRecord(claimer.KindClaim, claim), uint64(offset+1), start.Add(time.Duration(offset)*time.Minute))
		}
	}
	return s
}

// kindOf returns the kind of a record with the given body.
func kindOf(body any) string {
	return map[string]string{
		"scheduler.Job": scheduler.KindJob, "scheduler.Assignment": scheduler.KindAssignment, "scheduler.Result": scheduler.KindResult,
		"scheduler.Interruption": scheduler.KindInterruption, "scheduler.Cancel": scheduler.KindCancel, "scheduler.Park": scheduler.KindPark,
		"claimer.HandOver": claimer.KindHandOver,
	}[fmt.Sprintf("%T", body)]
}

// apply applies a record with the given body at offset 3.
func apply(s *scheduler.Scheduler, body any) scheduler.ApplyResult {
	return s.Apply(stream.NewRecord(kindOf(body), body), 3, start.Add(2*time.Minute))
}

// attempt identifies the attempt with the given number of the only task of job j, under the epoch of the current
// owner.
func attempt(number int) task.Identity { return task.Identity{Job: "j", Attempt: number, Epoch: 2} }

func assigned(number int) scheduler.Assignment {
	return scheduler.Assignment{Identity: attempt(number), VMs: []string{"vm-1", "vm-2"}}
}

func done(number int) scheduler.Result {
	return scheduler.Result{Identity: attempt(number), Outcome: scheduler.OutcomeDone}
}

func failed(number int) scheduler.Result {
	return scheduler.Result{Identity: attempt(number), Outcome: scheduler.OutcomeFailed, Reason: "exit-1"}
}

func evicted(number int, checkpoint string) scheduler.Interruption {
	return scheduler.Interruption{Identity: attempt(number), Checkpoint: checkpoint, Reason: scheduler.ReasonEvicted}
}

func lost(number int) scheduler.Interruption {
	return scheduler.Interruption{Identity: attempt(number), Reason: scheduler.ReasonLost}
}

// step is a record that is applied, and the expected result.
type step struct {
	body any
	want scheduler.ApplyResult
}

var _ = Describe("Scheduler", func() {
	job := scheduler.Job{ID: "j", Tasks: 1, Retries: 1}
	cancel := scheduler.Cancel{Job: "j", Reason: "caller"}
	withOlderEpoch := func(id task.Identity) task.Identity { id.Epoch = 1; return id }
	applied, mismatch, staleEpoch := scheduler.Applied, scheduler.StateMismatch, scheduler.StaleEpoch
	for name, c := range map[string]struct {
		steps []step
		want  scheduler.Status
	}{
		"a completion": {
			[]step{{assigned(1), applied}, {done(1), applied}, {done(1), mismatch}, {assigned(2), mismatch}},
			scheduler.Status{State: "done", Done: 1, Progress: 1},
		},
		"a repeated assignment": {
			[]step{{assigned(1), applied}, {assigned(1), mismatch}, {assigned(2), mismatch}}, scheduler.Status{State: "running", Running: 1},
		},
		"an assignment that skips an attempt number": {[]step{{assigned(2), mismatch}}, scheduler.Status{State: "waiting", Waiting: 1}},
		"an assignment without a VM":                 {[]step{{scheduler.Assignment{Identity: attempt(1)}, scheduler.Malformed}}, scheduler.Status{State: "waiting", Waiting: 1}},
		"a result before the assignment":             {[]step{{done(1), mismatch}}, scheduler.Status{State: "waiting", Waiting: 1}},
		"records of an older epoch": {
			[]step{
				{scheduler.Assignment{Identity: withOlderEpoch(attempt(1)), VMs: []string{"vm-1"}}, staleEpoch},
				{assigned(1), applied},
				{scheduler.Result{Identity: withOlderEpoch(attempt(1)), Outcome: "done"}, staleEpoch},
				{scheduler.Interruption{Identity: withOlderEpoch(attempt(1))}, staleEpoch},
			}, scheduler.Status{State: "running", Running: 1},
		},
		"records after a handover": {
			[]step{{claimer.HandOver{Entry: "new", Epoch: 2}, applied}, {assigned(1), staleEpoch}}, scheduler.Status{State: "waiting", Waiting: 1},
		},
		"an eviction and the next attempt": {
			[]step{{assigned(1), applied}, {evicted(1, "c"), applied}, {evicted(1, "d"), mismatch}, {assigned(2), applied}, {assigned(2), mismatch}, {failed(1), mismatch}},
			scheduler.Status{State: "running", Running: 1, Evictions: 1},
		},
		"the completion of an attempt that counted as lost, while the next one runs": {
			[]step{{assigned(1), applied}, {lost(1), applied}, {assigned(2), applied}, {done(3), mismatch}, {done(1), applied}, {done(2), mismatch}, {lost(2), mismatch}, {assigned(3), mismatch}},
			scheduler.Status{State: "done", Done: 1, Progress: 1},
		},
		"the completion of an attempt that counted as lost, while the task waits": {
			[]step{{assigned(1), applied}, {lost(1), applied}, {done(0), mismatch}, {done(1), applied}, {assigned(2), mismatch}},
			scheduler.Status{State: "done", Done: 1, Progress: 1},
		},
		"the completion of an attempt that counted as lost, after the cancellation": {
			[]step{{assigned(1), applied}, {lost(1), applied}, {cancel, applied}, {done(1), mismatch}},
			scheduler.Status{State: "cancelled", Cancelled: 1, Reason: "caller"},
		},
		"the parking of a job while an attempt runs": {
			[]step{
				{assigned(1), applied},
				{scheduler.Park{Job: "j", Epoch: 1}, staleEpoch},
				{scheduler.Park{Job: "j", Epoch: 2, Reason: "failing"}, applied},
				{scheduler.Park{Job: "j", Epoch: 2}, mismatch},
				{failed(1), applied},
				{assigned(2), mismatch},
			}, scheduler.Status{State: "parked", Waiting: 1, Reason: "failing"},
		},
		"the cancellation of a parked job": {
			[]step{{scheduler.Park{Job: "j", Epoch: 2}, applied}, {cancel, applied}}, scheduler.Status{State: "cancelled", Cancelled: 1, Reason: "caller"},
		},
		"an assignment of a negative size": {
			[]step{{scheduler.Assignment{Identity: attempt(1), VMs: []string{"vm-1"}, Size: resource.Amount{MemoryBytes: -1}}, scheduler.Malformed}},
			scheduler.Status{State: "waiting", Waiting: 1},
		},
		"more failures than the retry limit": {
			[]step{{assigned(1), applied}, {failed(1), applied}, {assigned(2), applied}, {failed(2), applied}, {assigned(3), mismatch}},
			scheduler.Status{State: "failed", Failed: 1, Reason: "exit-1"},
		},
		"a cancellation while the task waits": {
			[]step{{cancel, applied}, {cancel, mismatch}, {assigned(1), mismatch}}, scheduler.Status{State: "cancelled", Cancelled: 1, Reason: "caller"},
		},
		"a cancellation before the next assignment": {
			[]step{{assigned(1), applied}, {evicted(1, ""), applied}, {cancel, applied}, {assigned(2), mismatch}},
			scheduler.Status{State: "cancelled", Cancelled: 1, Evictions: 1, Reason: "caller"},
		},
		"a cancellation while the task runs": {[]step{{assigned(1), applied}, {cancel, applied}, {cancel, mismatch}}, scheduler.Status{State: "cancelling", Running: 1, Reason: "caller"}},
		"a completion after a cancellation": {
			[]step{{assigned(1), applied}, {cancel, applied}, {done(1), applied}}, scheduler.Status{State: "done", Done: 1, Progress: 1, Reason: "caller"},
		},
		"a cancellation after the completion": {
			[]step{{assigned(1), applied}, {done(1), applied}, {cancel, mismatch}}, scheduler.Status{State: "done", Done: 1, Progress: 1},
		},
		"a failure after a cancellation": {
			[]step{{assigned(1), applied}, {cancel, applied}, {failed(1), applied}}, scheduler.Status{State: "cancelled", Cancelled: 1, Reason: "caller"},
		},
		"an eviction after a cancellation": {
			[]step{{assigned(1), applied}, {cancel, applied}, {evicted(1, "c"), applied}},
			scheduler.Status{State: "cancelled", Cancelled: 1, Evictions: 1, Reason: "caller"},
		},
		"a second job with the same id":    {[]step{{scheduler.Job{ID: "j", Tasks: 9}, mismatch}}, scheduler.Status{State: "waiting", Waiting: 1}},
		"a result with an unknown outcome": {[]step{{assigned(1), applied}, {scheduler.Result{Identity: attempt(1)}, scheduler.Malformed}}, scheduler.Status{State: "running", Running: 1}},
		"a result of an unknown task": {
			[]step{{scheduler.Result{Identity: task.Identity{Job: "j", Task: 7, Attempt: 1, Epoch: 2}}, scheduler.UnknownTarget}},
			scheduler.Status{State: "waiting", Waiting: 1},
		},
	} {
		// Guards against records that change the state of a task although they are repeated, late or appended by a
		// superseded owner.
		It("reaches the right status with "+name, func() {
			s := newClaimedScheduler(1)
			Expect(apply(s, job)).To(Equal(scheduler.Applied))
			for i, st := range c.steps {
				Expect(apply(s, st.body)).To(Equal(st.want), "step %d", i+1)
			}
			status, _ := s.Status("j")
			c.want.ID, c.want.Tasks = "j", 1
			Expect(status).To(Equal(c.want))
		})
	}

	// Guards against a task that starts again from the beginning although it has a checkpoint, and against an attempt
	// without a checkpoint that removes the one of an earlier attempt.
	It("resumes from the last checkpoint", func() {
		s := newClaimedScheduler(1)
		for _, body := range []any{job, assigned(1), evicted(1, "c"), assigned(2), evicted(2, "")} {
			Expect(apply(s, body)).To(Equal(scheduler.Applied))
		}
		for t := range s.WaitingTasks(0) {
			Expect(t.Checkpoint).To(Equal("c"))
			Expect(t.Attempt).To(Equal(3))
			return
		}
		Fail("no task is waiting")
	})

	// Guards against accepting jobs that use too much memory or have impossible values.
	It("refuses jobs that exceed the bounds", func() {
		for _, j := range []scheduler.Job{
			{Tasks: 1},
			{ID: "j"},
			{ID: "j", Tasks: scheduler.MaxTasks + 1},
			{ID: "j", Tasks: 1, Size: resource.Amount{MemoryBytes: -1}},
			{ID: "j", Tasks: 1, Retries: -1},
		} {
			Expect(apply(newClaimedScheduler(1), j)).To(Equal(scheduler.Malformed))
		}
	})

	// Guards against memory use that grows with the number of ended jobs.
	It("removes the oldest ended jobs", func() {
		s := newClaimedScheduler(1)
		for i := range 20_001 {
			id := fmt.Sprint(i)
			apply(s, scheduler.Job{ID: id, Tasks: 1})
			apply(s, scheduler.Cancel{Job: id})
		}
		_, ok := s.Status("0")
		Expect(ok).To(BeFalse())
		Expect(s.List(1 << 20)).To(HaveLen(20_000))
	})

	// Guards against snapshots that leave out state, and against job statuses that differ from the queues. On failure,
	// rapid prints the seed. It also repeats the earlier failures in the directory below testdata/rapid that is named
	// after this test, so the name of the test must not change.
	It("continues equally after a restore", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			neverRestored, restored := newClaimedScheduler(2), newClaimedScheduler(2)
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				id := task.Identity{
					Job: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "job"), Task: rapid.IntRange(0, 2).Draw(t, "task"),
					Attempt: rapid.IntRange(1, 4).Draw(t, "attempt"), Epoch: rapid.Uint64Range(1, 2).Draw(t, "epoch"),
				}
				id.Shard = neverRestored.ShardOf(id.Job)
				body := rapid.SampledFrom([]any{
					scheduler.Job{ID: id.Job, Tasks: 3, Retries: 1},
					scheduler.Assignment{Identity: id, VMs: []string{"v"}},
					scheduler.Assignment{Identity: id, VMs: []string{"v"}},
					scheduler.Result{Identity: id, Outcome: "done"},
					scheduler.Result{Identity: id, Outcome: "failed"},
					scheduler.Interruption{Identity: id, Checkpoint: "c"},
					scheduler.Cancel{Job: id.Job},
				}).Draw(t, "record")
				if apply(neverRestored, body) != apply(restored, body) {
					t.Fatalf("Apply returned different results for %+v", body)
				}
				if string(neverRestored.Snapshot()) != string(restored.Snapshot()) {
					t.Fatalf("snapshots differ after %+v:\n%s\n%s", body, neverRestored.Snapshot(), restored.Snapshot())
				}
				newlyRestored := scheduler.New(claimer.New(claimer.Options{ShardCount: 2}))
				if err := newlyRestored.Restore(restored.Snapshot()); err != nil {
					t.Fatal(err)
				}
				restored = newlyRestored
				checkQueues(t, neverRestored)
			}
		})
	})
})

// checkQueues checks that the task counts in the status of each job agree with the queues of the shards.
func checkQueues(t *rapid.T, s *scheduler.Scheduler) {
	waiting, running := map[string]int{}, map[string]int{}
	for shard := range 2 {
		for waitingTask := range s.WaitingTasks(shard) {
			waiting[waitingTask.Job]++
		}
		for runningTask := range s.RunningTasks(shard) {
			running[runningTask.Job]++
		}
	}
	for _, status := range s.List(10) {
		if waiting[status.ID] != status.Waiting || running[status.ID] != status.Running {
			t.Fatalf("the queues hold %d waiting and %d running tasks of a job with the status %+v", waiting[status.ID], running[status.ID], status)
		}
		if status.Waiting+status.Running+status.Done+status.Failed+status.Cancelled != status.Tasks {
			t.Fatalf("the task counts of a job do not add up to its number of tasks: %+v", status)
		}
	}
}

// benchmarkTasks is the number of running tasks in the benchmarks.
const benchmarkTasks = 59_000

// runningTaskRecords returns the records of as many running tasks as benchmarkTasks says: jobs of 10 tasks, each
// followed by the assignments of its tasks.
func runningTaskRecords(s *scheduler.Scheduler) []stream.Record {
	var records []stream.Record
	for j := range benchmarkTasks / 10 {
		id := fmt.Sprintf("job-%d", j)
		records = append(records, stream.NewRecord(scheduler.KindJob, scheduler.Job{ID: id, Tasks: 10}))
		for n := range 10 {
			records = append(records, stream.NewRecord(scheduler.KindAssignment, scheduler.Assignment{
				Identity: task.Identity{Job: id, Task: n, Attempt: 1, Shard: s.ShardOf(id), Epoch: 2}, VMs: []string{"vm-1", "vm-2", "vm-3"},
			}))
		}
	}
	return records
}

// BenchmarkReplay measures the time to replay one record of a stream with the jobs and assignments of 59,000 tasks.
func BenchmarkReplay(b *testing.B) {
	records := runningTaskRecords(newClaimedScheduler(16))
	for b.Loop() {
		s := newClaimedScheduler(16)
		for _, r := range records {
			s.Apply(r, 3, start)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(len(records)), "ns/record")
}

// BenchmarkTaskLifecycle measures the submission, assignment and completion of one task while 59,000 other tasks run.
func BenchmarkTaskLifecycle(b *testing.B) {
	s := newClaimedScheduler(16)
	for _, r := range runningTaskRecords(s) {
		s.Apply(r, 3, start)
	}
	n := 0
	for b.Loop() {
		n++
		id := fmt.Sprintf("next-%d", n)
		shard := s.ShardOf(id)
		apply(s, scheduler.Job{ID: id, Tasks: 1})
		for t := range s.WaitingTasks(shard) {
			t.Epoch = 2
			apply(s, scheduler.Assignment{Identity: t.Identity, VMs: []string{"vm-1"}})
			apply(s, scheduler.Result{Identity: t.Identity, Outcome: scheduler.OutcomeDone})
			break
		}
	}
}

// BenchmarkFirstWaitingTask measures the time to find the next waiting task while 59,000 other tasks run.
func BenchmarkFirstWaitingTask(b *testing.B) {
	s := newClaimedScheduler(16)
	for _, r := range runningTaskRecords(s) {
		s.Apply(r, 3, start)
	}
	apply(s, scheduler.Job{ID: "next", Tasks: 100})
	shard := s.ShardOf("next")
	for b.Loop() {
		for t := range s.WaitingTasks(shard) {
			_ = t
			break
		}
	}
}
