package bookkeeper_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/job"
)

const maxRecordBytes = 256 << 10

// progressStore is a fake store of one job's progress.
type progressStore struct {
	main    []byte
	blocks  map[string][]byte
	largest int
}

func newProgressStore() *progressStore { return &progressStore{blocks: map[string][]byte{}} }

func (s *progressStore) apply(r bookkeeper.ProgressRecord) {
	s.largest = max(s.largest, len(r.Block)+len(r.Value))
	switch {
	case r.Block == "":
		s.main = r.Value
	case len(r.Value) == 0:
		delete(s.blocks, r.Block)
	default:
		s.blocks[r.Block] = r.Value
	}
}

// collect stores all changes of the job.
func (s *progressStore) collect(j *bookkeeper.Job, maxBytes, maxRecordBytes int) {
	for {
		records, complete := j.CollectRecords(maxBytes, maxRecordBytes)
		for _, r := range records {
			s.apply(r)
		}
		if complete {
			return
		}
	}
}

var _ = Describe("The progress of a large job", func() {
	now := time.UnixMilli(1_000_000)
	var b *bookkeeper.Bookkeeper
	BeforeEach(func() { b = bookkeeper.New() })
	largeJob := func(occurrences int, tasks ...int) job.Job {
		j := job.Job{ID: "a", Occurrences: occurrences, Interval: time.Millisecond, AcceptedAt: now}
		for n, count := range tasks {
			s := job.Step{TaskCount: count, Resumable: true}
			if n > 0 {
				s.After = []int{n - 1}
			}
			j.Steps = append(j.Steps, s)
		}
		return j
	}
	accept := func(j job.Job) *bookkeeper.Job {
		accepted := b.Accept(j)
		b.OpenDueOccurrences(accepted, now)
		return accepted
	}
	tasksOf := func(b *bookkeeper.Bookkeeper, j job.Job) []*bookkeeper.Task {
		var tasks []*bookkeeper.Task
		for o := range j.Occurrences {
			for n, s := range j.Steps {
				for i := range s.TaskCount {
					tasks = append(tasks, b.Task(job.Task{Job: j.ID, Occurrence: o, Step: n, Index: i}))
				}
			}
		}
		return tasks
	}

	// Guards against a job whose progress outgrows the records of the store, which then refuses all writes of the owner.
	for name, checkpoint := range map[string]string{
		"with short checkpoints":                             "00000bb87a21d94b",
		"with the longest checkpoints":                       strings.Repeat("x", 4096),
		"with checkpoints that are longer in the record":     strings.Repeat("\x01", 4096),
		"with checkpoints that do not fit in a record alone": strings.Repeat("x", 2*maxRecordBytes),
	} {
		It("fits in records of the store, "+name, func() {
			j := largeJob(3, 1000, 40)
			accepted, s := accept(j), newProgressStore()
			for n, t := range tasksOf(b, j) {
				b.RunStarted(t, 1+n%3)
				b.SetCheckpoint(t, checkpoint)
				for attempt := range 100 {
					b.RunFailed(t, attempt, "2001:0db8:85a3:0000:0000:8a2e:0370:7334:65535", 0, now)
				}
			}
			s.collect(accepted, 1<<20, maxRecordBytes)
			Expect(s.largest).To(BeNumerically("<=", maxRecordBytes))
			restored := bookkeeper.New()
			Expect(restored.Restore(j, s.main, s.blocks, now)).To(Succeed())
			for n, t := range tasksOf(restored, j) {
				Expect(t.Failures()).To(Equal(100), "failures of task %d", n)
				Expect(t.NextRunNumber()).To(Equal(100), "number of task %d", n)
				if len(checkpoint) <= 4096 && checkpoint[0] != 1 {
					Expect(t.Checkpoint()).To(Equal(checkpoint))
				} else {
					Expect(t.Checkpoint()).To(BeElementOf("", checkpoint))
				}
			}
		})
	}

	// Guards against an owner that writes the progress of all tasks again with each result.
	It("is written only where it has changed", func() {
		j := largeJob(1, 4000)
		accepted, s := accept(j), newProgressStore()
		tasks := tasksOf(b, j)
		b.RunStarted(tasks[0], 1)
		s.collect(accepted, 1<<20, maxRecordBytes)
		b.TaskDone(tasks[1234], now)
		records, complete := accepted.CollectRecords(1<<20, maxRecordBytes)
		Expect(complete).To(BeTrue())
		Expect(records).To(HaveLen(1))
		Expect(records[0].Block).To(Equal("0.77"))
		Expect(len(records[0].Value)).To(BeNumerically("<", 100))
	})

	// Guards against a record that grows with each occurrence of a job.
	It("keeps no block of an occurrence that has finished, nor of a job that has ended", func() {
		j := largeJob(100, 40)
		accepted, s := accept(j), newProgressStore()
		tasks := tasksOf(b, j)
		for _, t := range tasks[:4] {
			b.SetCheckpoint(t, "c")
			s.collect(accepted, 1<<20, maxRecordBytes)
		}
		Expect(s.blocks).To(HaveLen(1))
		for _, t := range tasks[:40*99] {
			b.RunStarted(t, 1)
			b.TaskDone(t, now)
		}
		s.collect(accepted, 1<<20, maxRecordBytes)
		Expect(s.blocks).To(BeEmpty())
		Expect(len(s.main)).To(BeNumerically("<", 100))
		b.SetCheckpoint(tasks[40*99], "c")
		s.collect(accepted, 1<<20, maxRecordBytes)
		Expect(s.blocks).To(HaveLen(1))
		Expect(accepted.StoredBlocks()).To(Equal([]string{"99.0"}))
		restored := bookkeeper.New()
		Expect(restored.Restore(j, s.main, s.blocks, now)).To(Succeed())
		Expect(restored.Job("a").State()).To(Equal(bookkeeper.StateRunning))
		var waiting []int
		restored.VisitReadySteps(func(s *bookkeeper.Step) { waiting = append(waiting, s.Occurrence) })
		Expect(waiting).To(Equal([]int{99}))
		restored.Cancel(restored.Job("a"), now)
		Expect(restored.Job("a").HasUnrecorded()).To(BeTrue())
		s.collect(restored.Job("a"), 1, maxRecordBytes)
		Expect(s.blocks).To(BeEmpty())
	})

	// Guards against progress that is lost because an earlier version has recorded it in one record.
	It("is read from a single record", func() {
		j := largeJob(1, 20, 3)
		progress := `{"state":"running","occurrences":{"0":[{"done":"AQ==","checkpoints":{"19":"c"},"runs":{"2":7},"failed-runs":{"3":[1]}},{}]}}`
		Expect(b.Restore(j, []byte(progress), nil, now)).To(Succeed())
		Expect(b.Job("a").HasUnrecorded()).To(BeTrue())
		s := newProgressStore()
		s.main = []byte(progress)
		// The store contains the progress after each write.
		for complete := false; !complete; {
			var records []bookkeeper.ProgressRecord
			records, complete = b.Job("a").CollectRecords(1, maxRecordBytes)
			for _, r := range records {
				s.apply(r)
			}
			restored := bookkeeper.New()
			Expect(restored.Restore(j, s.main, s.blocks, now)).To(Succeed())
			tasks := tasksOf(restored, j)
			Expect(tasks[0].IsDone()).To(BeTrue())
			Expect(tasks[1].IsDone()).To(BeFalse())
			Expect(tasks[19].Checkpoint()).To(Equal("c"))
			Expect(tasks[2].NextRunNumber()).To(Equal(8))
			Expect(tasks[3].Failures()).To(Equal(1))
		}
		Expect(string(s.main)).To(Equal(`{"state":"running"}`))
	})

	// Guards against a task that is done in one record and not in another, whichever records an owner had stored when it failed.
	It("is never older than what was stored, whenever the owner fails", func() {
		random := rand.New(rand.NewPCG(31, 1))
		for range 200 {
			b = bookkeeper.New()
			j := largeJob(1+random.IntN(4), 1+random.IntN(50), 17)
			accepted, s := accept(j), newProgressStore()
			tasks := tasksOf(b, j)
			recorded := map[int]bool{}
			for range 1 + random.IntN(100) {
				t := tasks[random.IntN(len(tasks))]
				b.RunStarted(t, t.NextRunNumber())
				switch random.IntN(4) {
				case 0:
					b.WaitAgain(t, now, 0)
				case 1:
					b.SetCheckpoint(t, fmt.Sprint(random.Int()))
				case 2:
					b.RunFailed(t, t.NextRunNumber(), "vm", 0, now)
				default:
					b.TaskDone(t, now)
				}
				done := map[int]bool{}
				for n, t := range tasks {
					done[n] = t.IsDone()
				}
				records, complete := accepted.CollectRecords(1+random.IntN(500), maxRecordBytes)
				if random.IntN(5) == 0 {
					accepted.MarkUnrecorded(records)
					continue
				}
				for _, r := range records {
					s.apply(r)
				}
				if complete {
					recorded = done
				}
			}
			restored := bookkeeper.New()
			Expect(restored.Restore(j, s.main, s.blocks, now)).To(Succeed())
			if !restored.Job("a").Live() {
				continue
			}
			for n, t := range tasksOf(restored, j) {
				if recorded[n] {
					Expect(t.IsDone()).To(BeTrue())
				}
				if t.IsDone() {
					Expect(tasks[n].IsDone()).To(BeTrue())
				}
			}
			s.collect(accepted, 1<<20, maxRecordBytes)
			restored = bookkeeper.New()
			Expect(restored.Restore(j, s.main, s.blocks, now)).To(Succeed())
			Expect(restored.Job("a").State()).To(Equal(accepted.State()))
			for n, t := range tasksOf(restored, j) {
				if accepted.Live() {
					Expect(t.IsDone()).To(Equal(tasks[n].IsDone()))
					if !t.IsDone() {
						Expect(t.Failures()).To(Equal(tasks[n].Failures()))
						Expect(t.Checkpoint()).To(Equal(tasks[n].Checkpoint()))
					}
				}
			}
		}
	})

	for name, c := range map[string]map[string][]byte{
		"a block of another occurrence":         {"1.0": []byte(`{}`)},
		"a block beyond the tasks":              {"0.3": []byte(`{}`)},
		"a block without a number":              {"0": []byte(`{}`)},
		"a block that cannot be read":           {"0.0": []byte(`{`)},
		"a block with a run number below 0":     {"0.0": []byte(`{"runs":{"1":-1}}`)},
		"a block with a number of failures < 0": {"0.0": []byte(`{"earlier-failures":{"1":-1}}`)},
	} {
		It("is not restored from "+name, func() {
			Expect(b.Restore(largeJob(1, 40), nil, c, now)).NotTo(Succeed())
			Expect(b.Job("a")).To(BeNil())
		})
	}
})
