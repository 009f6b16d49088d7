package bookkeeper_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/job"
)

var _ = Describe("Bookkeeper", func() {
	now := time.UnixMilli(1_000_000)
	var b *bookkeeper.Bookkeeper
	twoStepJob := func(id string) job.Job {
		return job.Job{ID: id, Occurrences: 1, AcceptedAt: now, Steps: []job.Step{{TaskCount: 2, Resumable: true}, {TaskCount: 1, After: []int{0}}}}
	}
	task := func(step, index int) *bookkeeper.Task {
		return b.Task(job.Task{Job: "a", Step: step, Index: index})
	}
	waitingTasks := func() []string {
		var names []string
		b.VisitReadySteps(func(s *bookkeeper.Step) {
			for _, t := range s.Tasks {
				if t.IsWaiting() {
					names = append(names, t.ID().String())
				}
			}
		})
		return names
	}
	accept := func(j job.Job) *bookkeeper.Job {
		accepted := b.Accept(j)
		b.OpenDueOccurrences(accepted, now)
		return accepted
	}
	BeforeEach(func() { b = bookkeeper.New() })

	It("makes a step ready when all tasks of the steps that it depends on are done", func() {
		j := accept(twoStepJob("a"))
		Expect(waitingTasks()).To(Equal([]string{"a.0.0.0", "a.0.0.1"}))
		b.RunStarted(task(0, 0), 1)
		b.TaskDone(task(0, 0), now)
		Expect(waitingTasks()).To(Equal([]string{"a.0.0.1"}))
		b.RunStarted(task(0, 1), 1)
		b.TaskDone(task(0, 1), now)
		Expect(waitingTasks()).To(Equal([]string{"a.0.1.0"}))
		Expect(j.VisibleState()).To(Equal(bookkeeper.StateQueued), "the start of the job is not recorded yet")
		Expect(j.HasUnrecordedStart()).To(BeTrue())
		j.SetVisibleState(bookkeeper.StateRunning)
		Expect(j.HasUnrecordedStart()).To(BeFalse())
		b.TaskDone(task(1, 0), now)
		Expect(j.State()).To(Equal(bookkeeper.StateCompleted))
		Expect(j.VisibleState()).To(Equal(bookkeeper.StateRunning), "the end of the job is not recorded yet")
	})

	It("fails a job only when one of its tasks has reached the failure limit", func() {
		j := accept(twoStepJob("a"))
		b.RunFailed(task(0, 0), 1, "vm", 2, now)
		b.RunFailed(task(0, 1), 1, "vm", 2, now)
		Expect(j.Live()).To(BeTrue())
		Expect(waitingTasks()).To(HaveLen(2))
		b.RunFailed(task(0, 0), 2, "vm", 2, now)
		Expect(j.State()).To(Equal(bookkeeper.StateFailed))
		Expect(waitingTasks()).To(BeEmpty())
	})

	// Guards against another run after a task has reached the failure limit. The runs of a task may be on different VMs, so the result of a
	// later run may be reported first.
	It("counts a failed run that is reported after the failure of a later run", func() {
		j := accept(twoStepJob("a"))
		b.RunFailed(task(0, 0), 2, "vm", 2, now)
		b.RunFailed(task(0, 0), 1, "vm", 2, now)
		Expect(j.State()).To(Equal(bookkeeper.StateFailed))
	})

	// Guards against a job that fails although its task failed only once. A new owner receives a run result again if the previous owner
	// recorded the result and the endpoint still lists it.
	It("counts a failed run once, even if it is reported again after a restore", func() {
		j := accept(twoStepJob("a"))
		b.RunFailed(task(0, 0), 1, "vm", 2, now)
		b.RunFailed(task(0, 0), 1, "vm", 2, now)
		Expect(j.Live()).To(BeTrue())
		progress := j.Progress()
		b = bookkeeper.New()
		Expect(b.Restore(twoStepJob("a"), progress, nil, now)).To(Succeed())
		b.RunFailed(task(0, 0), 1, "vm", 2, now)
		Expect(b.Job("a").Live()).To(BeTrue())
		Expect(task(0, 0).Failures()).To(Equal(1))
		b.RunFailed(task(0, 0), 2, "vm", 2, now)
		Expect(b.Job("a").State()).To(Equal(bookkeeper.StateFailed))
	})

	// Guards against a start beyond the failure limit. Two owners may give the same number to runs on two VMs.
	It("counts two failed runs with the same number on different VMs, also after a restore", func() {
		j := accept(twoStepJob("a"))
		b.RunFailed(task(0, 0), 1, "x", 3, now)
		b.RunFailed(task(0, 0), 1, "y", 3, now)
		Expect(task(0, 0).Failures()).To(Equal(2))
		progress := j.Progress()
		b = bookkeeper.New()
		Expect(b.Restore(twoStepJob("a"), progress, nil, now)).To(Succeed())
		b.RunFailed(task(0, 0), 1, "y", 3, now)
		b.RunFailed(task(0, 0), 1, "x", 3, now)
		Expect(task(0, 0).Failures()).To(Equal(2))
		b.RunFailed(task(0, 0), 1, "z", 3, now)
		Expect(b.Job("a").State()).To(Equal(bookkeeper.StateFailed))
	})

	// Guards against a failure that counts twice because an earlier version of the program recorded it without its VM, and against a record that
	// an earlier version cannot read or counts differently.
	It("reads and writes the numbers of failed runs as earlier versions do", func() {
		Expect(b.Restore(twoStepJob("a"), []byte(`{"state":"running","occurrences":{"0":[{"failed-runs":{"0":[1,3]}},{}]}}`), nil, now)).To(Succeed())
		Expect(task(0, 0).Failures()).To(Equal(2))
		Expect(task(0, 0).NextRunNumber()).To(Equal(4))
		for range 2 {
			b.RunFailed(task(0, 0), 3, "x", 9, now)
			b.RunFailed(task(0, 0), 1, "x", 9, now)
		}
		Expect(task(0, 0).Failures()).To(Equal(2))
		b.RunFailed(task(0, 0), 1, "y", 9, now)
		Expect(task(0, 0).Failures()).To(Equal(3))
		Expect(string(b.Job("a").Progress())).To(ContainSubstring(`"failed-runs":{"0":[1,3,1]}`))
	})

	It("opens occurrences when they are due", func() {
		j := twoStepJob("a")
		j.Occurrences, j.FirstDue, j.Interval = 2, now.Add(time.Second), time.Minute
		accepted := b.Accept(j)
		Expect(b.OpenDueOccurrences(accepted, now)).To(Equal(now.Add(time.Second)))
		Expect(waitingTasks()).To(BeEmpty())
		Expect(b.OpenDueOccurrences(accepted, now.Add(time.Second))).To(Equal(now.Add(time.Second + time.Minute)))
		Expect(waitingTasks()).To(HaveLen(2))
	})

	It("completes a gang when any of its tasks is done", func() {
		j := twoStepJob("a")
		j.Steps[0].Gang = true
		accept(j)
		b.TaskDone(task(0, 1), now)
		Expect(waitingTasks()).To(Equal([]string{"a.0.1.0"}))
		Expect(b.TaskDone(task(0, 0), now)).To(BeFalse())
	})

	for name, c := range map[string]struct {
		// prepare brings the job to the state that is recorded.
		prepare     func(j *bookkeeper.Job)
		wantWaiting []string
		wantState   string
	}{
		// Guards against a new owner that restores a job without its tasks, because no progress of the job was recorded. It would stop a run
		// that it finds of such a task as unneeded, and start the task again later.
		"no recorded progress": {func(*bookkeeper.Job) {}, []string{"a.0.0.0", "a.0.0.1"}, bookkeeper.StateQueued},
		"one task that is done": {
			func(*bookkeeper.Job) { b.RunStarted(task(0, 0), 1); b.TaskDone(task(0, 0), now) }, []string{"a.0.0.1"}, bookkeeper.StateRunning,
		},
		"a first step that is done": {
			func(*bookkeeper.Job) {
				b.RunStarted(task(0, 0), 1)
				b.TaskDone(task(0, 0), now)
				b.TaskDone(task(0, 1), now)
			},
			[]string{"a.0.1.0"},
			bookkeeper.StateRunning,
		},
		"a recorded cancellation": {func(j *bookkeeper.Job) { b.Cancel(j, now) }, nil, bookkeeper.StateCancelled},
	} {
		It("restores a job with "+name, func() {
			j := accept(twoStepJob("a"))
			var progress []byte
			if name != "no recorded progress" {
				c.prepare(j)
				progress = j.Progress()
			}
			b = bookkeeper.New()
			Expect(b.Restore(twoStepJob("a"), progress, nil, now)).To(Succeed())
			Expect(waitingTasks()).To(Equal(c.wantWaiting))
			Expect(task(0, 0) == nil).To(Equal(c.wantState == bookkeeper.StateCancelled))
			Expect(b.Job("a").State()).To(Equal(c.wantState))
			Expect(b.Job("a").VisibleState()).To(Equal(c.wantState))
		})
	}

	It("restores the failures, the checkpoint and the run number of a task", func() {
		j := accept(twoStepJob("a"))
		b.RunStarted(task(0, 1), 3)
		b.SetCheckpoint(task(0, 1), "c")
		b.RunFailed(task(0, 1), 3, "vm", 9, now)
		progress := j.Progress()
		b = bookkeeper.New()
		Expect(b.Restore(twoStepJob("a"), progress, nil, now)).To(Succeed())
		Expect(task(0, 1).Checkpoint()).To(Equal("c"))
		Expect(task(0, 1).Failures()).To(Equal(1))
		Expect(task(0, 1).NextRunNumber()).To(Equal(4))
	})

	// Guards against a second run of a task that an earlier owner started. The new owner may find the run in a report before it learns that
	// the preceding step is done.
	It("does not make a task wait if its run was found before its step became ready", func() {
		accept(twoStepJob("a"))
		b.RunStarted(task(1, 0), 1)
		b.TaskDone(task(0, 0), now)
		b.TaskDone(task(0, 1), now)
		Expect(waitingTasks()).To(BeEmpty())
		b.WaitAgain(task(1, 0), now, 0)
		Expect(waitingTasks()).To(Equal([]string{"a.0.1.0"}))
	})

	It("does not make a task wait if its run ends before its step is ready", func() {
		accept(twoStepJob("a"))
		b.RunStarted(task(1, 0), 1)
		b.WaitAgain(task(1, 0), now, 0)
		Expect(waitingTasks()).To(Equal([]string{"a.0.0.0", "a.0.0.1"}))
		Expect(task(1, 0).IsWaiting()).To(BeFalse())
	})

	It("rejects recorded progress that does not match the job or cannot be decoded", func() {
		Expect(b.Restore(twoStepJob("a"), []byte(`{"state":"running","occurrences":{"0":[]}}`), nil, now)).NotTo(Succeed())
		Expect(b.Restore(twoStepJob("b"), []byte(`{`), nil, now)).NotTo(Succeed())
	})

	// Guards against records that make each new owner end, because it creates the tasks of a job of any size, and against jobs that are half
	// restored or whose next run has a number below zero.
	for name, c := range map[string]struct {
		change   func(j *job.Job)
		progress string
	}{
		"a job with a billion tasks":            {func(j *job.Job) { j.Steps[0].TaskCount = 1_000_000_000 }, ``},
		"a job with a negative number of tasks": {func(j *job.Job) { j.Steps[0].TaskCount = -1 }, ``},
		"a job without steps":                   {func(j *job.Job) { j.Steps = nil }, ``},
		"a job that waits for a missing step":   {func(j *job.Job) { j.Steps[1].After = []int{7} }, ``},
		"progress in an unknown state":          {nil, `{"state":"dancing"}`},
		"progress of a missing occurrence":      {nil, `{"state":"running","occurrences":{"7":[{},{}]}}`},
		"progress of too few steps":             {nil, `{"state":"running","occurrences":{"0":[{}]}}`},
		"a negative run number":                 {nil, `{"state":"running","occurrences":{"0":[{"runs":{"0":-1}},{}]}}`},
		"a run number that none can follow":     {nil, `{"state":"running","occurrences":{"0":[{"runs":{"0":9223372036854775807}},{}]}}`},
		"a failed run that none can follow":     {nil, `{"state":"running","occurrences":{"0":[{"failed-runs":{"0":[9223372036854775807]}},{}]}}`},
		"a run number beyond 64 bits":           {nil, `{"state":"running","occurrences":{"0":[{"runs":{"0":1e300}},{}]}}`},
		"deeply nested progress":                {nil, strings.Repeat("[", 10_000) + strings.Repeat("]", 10_000)},
		"bytes that are no JSON":                {nil, "\xff"},
	} {
		It("does not restore, not even in part, "+name, func() {
			j := twoStepJob("a")
			if c.change != nil {
				c.change(&j)
			}
			Expect(b.Restore(j, []byte(c.progress), nil, now)).NotTo(Succeed())
			Expect(b.Job("a")).To(BeNil())
			Expect(b.LiveJobs()).To(BeEmpty())
		})
	}
})
