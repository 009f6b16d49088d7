package bookkeeper_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/job"
)

var _ = Describe("Bookkeeper", func() {
	now := time.UnixMilli(1_000_000)
	var b *bookkeeper.Bookkeeper
	two := func(id string) job.Job {
		return job.Job{ID: id, Occurrences: 1, AcceptedAt: now, Steps: []job.Step{{Tasks: 2, Checkpoints: true}, {Tasks: 1, After: []int{0}}}}
	}
	task := func(step, index int) *bookkeeper.Task {
		return b.Task(job.Task{Job: "a", Step: step, Index: index})
	}
	waiting := func() []string {
		var names []string
		b.VisitReady(func(s *bookkeeper.Step) {
			for _, t := range s.Tasks {
				if t.IsWaiting() {
					names = append(names, t.ID().String())
				}
			}
		})
		return names
	}
	accept := func(j job.Job) *bookkeeper.Job {
		entered := b.Accept(j)
		b.OpenDueOccurrences(entered, now)
		return entered
	}
	BeforeEach(func() { b = bookkeeper.New() })

	It("makes a step ready when all tasks of its predecessors are done", func() {
		j := accept(two("a"))
		Expect(waiting()).To(Equal([]string{"a.0.0.0", "a.0.0.1"}))
		b.RunStarted(task(0, 0), 1)
		b.TaskDone(task(0, 0), now)
		Expect(waiting()).To(Equal([]string{"a.0.0.1"}))
		b.RunStarted(task(0, 1), 1)
		b.TaskDone(task(0, 1), now)
		Expect(waiting()).To(Equal([]string{"a.0.1.0"}))
		b.TaskDone(task(1, 0), now)
		Expect(j.State()).To(Equal(bookkeeper.StateCompleted))
		Expect(j.VisibleState()).To(Equal(bookkeeper.StateRunning), "the end is not recorded yet")
	})

	It("fails a job after the allowed failures of one task, and not before", func() {
		j := accept(two("a"))
		b.RunFailed(task(0, 0), 1, 2, now)
		b.RunFailed(task(0, 1), 1, 2, now)
		Expect(j.Live()).To(BeTrue())
		Expect(waiting()).To(HaveLen(2))
		b.RunFailed(task(0, 0), 2, 2, now)
		Expect(j.State()).To(Equal(bookkeeper.StateFailed))
		Expect(waiting()).To(BeEmpty())
	})

	// Guards against a run too many: ends may be told by different VMs, the later one first.
	It("counts a failed run whose end is told after that of a later one", func() {
		j := accept(two("a"))
		b.RunFailed(task(0, 0), 2, 2, now)
		b.RunFailed(task(0, 0), 1, 2, now)
		Expect(j.State()).To(Equal(bookkeeper.StateFailed))
	})

	// Guards against a job that fails although its task failed once: a successor is told again of an end that was recorded, but not
	// yet forgotten by its endpoint.
	It("counts a failed run once, over a restore too", func() {
		j := accept(two("a"))
		b.RunFailed(task(0, 0), 1, 2, now)
		b.RunFailed(task(0, 0), 1, 2, now)
		Expect(j.Live()).To(BeTrue())
		progress := j.Progress()
		b = bookkeeper.New()
		Expect(b.Restore(two("a"), progress, now)).To(Succeed())
		b.RunFailed(task(0, 0), 1, 2, now)
		Expect(b.Job("a").Live()).To(BeTrue())
		Expect(task(0, 0).Failures()).To(Equal(1))
		b.RunFailed(task(0, 0), 2, 2, now)
		Expect(b.Job("a").State()).To(Equal(bookkeeper.StateFailed))
	})

	It("opens occurrences when they are due", func() {
		j := two("a")
		j.Occurrences, j.FirstDue, j.Interval = 2, now.Add(time.Second), time.Minute
		entered := b.Accept(j)
		Expect(b.OpenDueOccurrences(entered, now)).To(Equal(now.Add(time.Second)))
		Expect(waiting()).To(BeEmpty())
		Expect(b.OpenDueOccurrences(entered, now.Add(time.Second))).To(Equal(now.Add(time.Second + time.Minute)))
		Expect(waiting()).To(HaveLen(2))
	})

	It("ends a gang with the first end of a member", func() {
		j := two("a")
		j.Steps[0].Gang = true
		accept(j)
		b.TaskDone(task(0, 1), now)
		Expect(waiting()).To(Equal([]string{"a.0.1.0"}))
		Expect(b.TaskDone(task(0, 0), now)).To(BeFalse())
	})

	for name, c := range map[string]struct {
		before func(j *bookkeeper.Job)
		want   []string
		state  string
	}{
		// Guards against an owner that does not know the tasks of a job whose progress was never recorded, and so runs them again.
		"nothing recorded": {func(*bookkeeper.Job) {}, []string{"a.0.0.0", "a.0.0.1"}, bookkeeper.StateQueued},
		"one task done": {
			func(*bookkeeper.Job) { b.RunStarted(task(0, 0), 1); b.TaskDone(task(0, 0), now) }, []string{"a.0.0.1"}, bookkeeper.StateRunning,
		},
		"first step done": {
			func(*bookkeeper.Job) {
				b.RunStarted(task(0, 0), 1)
				b.TaskDone(task(0, 0), now)
				b.TaskDone(task(0, 1), now)
			},
			[]string{"a.0.1.0"},
			bookkeeper.StateRunning,
		},
		"cancelled": {func(j *bookkeeper.Job) { b.Cancel(j, now) }, nil, bookkeeper.StateCancelled},
	} {
		It("restores a job with "+name, func() {
			j := accept(two("a"))
			var progress []byte
			if name != "nothing recorded" {
				c.before(j)
				progress = j.Progress()
			}
			b = bookkeeper.New()
			Expect(b.Restore(two("a"), progress, now)).To(Succeed())
			Expect(waiting()).To(Equal(c.want))
			Expect(task(0, 0) == nil).To(Equal(c.state == bookkeeper.StateCancelled))
			Expect(b.Job("a").State()).To(Equal(c.state))
			Expect(b.Job("a").VisibleState()).To(Equal(c.state))
		})
	}

	It("keeps failures, checkpoints and run numbers over a restore", func() {
		j := accept(two("a"))
		b.RunStarted(task(0, 1), 3)
		b.SetCheckpoint(task(0, 1), "c")
		b.RunFailed(task(0, 1), 3, 9, now)
		progress := j.Progress()
		b = bookkeeper.New()
		Expect(b.Restore(two("a"), progress, now)).To(Succeed())
		Expect(task(0, 1).Checkpoint()).To(Equal("c"))
		Expect(task(0, 1).Failures()).To(Equal(1))
		Expect(task(0, 1).NextRun()).To(Equal(4))
	})

	// Guards against a second run of a task that an earlier owner started before this one knew the ends of the step before.
	It("does not let a task wait that runs when its step becomes ready", func() {
		accept(two("a"))
		b.RunStarted(task(1, 0), 1)
		b.TaskDone(task(0, 0), now)
		b.TaskDone(task(0, 1), now)
		Expect(waiting()).To(BeEmpty())
		b.Requeue(task(1, 0), now)
		Expect(waiting()).To(Equal([]string{"a.0.1.0"}))
	})

	It("keeps a task back whose run ended before its step is ready", func() {
		accept(two("a"))
		b.RunStarted(task(1, 0), 1)
		b.Requeue(task(1, 0), now)
		Expect(waiting()).To(Equal([]string{"a.0.0.0", "a.0.0.1"}))
		Expect(task(1, 0).IsWaiting()).To(BeFalse())
	})

	It("refuses progress that does not fit the job", func() {
		Expect(b.Restore(two("a"), []byte(`{"state":"running","occurrences":{"0":[]}}`), now)).NotTo(Succeed())
		Expect(b.Restore(two("b"), []byte(`{`), now)).NotTo(Succeed())
	})
})
