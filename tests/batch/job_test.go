package batch_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"bamboohook/internal/launcher"
	"bamboohook/internal/message"
	"bamboohook/internal/standin/logservice"
	"bamboohook/internal/standin/worker"
	"bamboohook/scheduler"
)

// Guards against a log outage that ends running tasks, keeps bound tasks from starting, accepts jobs that are not
// durable, or loses results.
func logDown(r *region) {
	const outage = 40 * time.Second
	r.begin(4)
	// Long tasks take half of the room, and the short ones need three rounds in the other half.
	r.submit(0, "long", 6, 1, 50*time.Second)
	r.await("start of the long tasks", 10*time.Second, func() bool { return len(r.intervals()) == 6 })
	r.submit(1, "short-0", 9, 1, 8*time.Second)
	r.submit(2, "short-1", 9, 1, 8*time.Second)
	r.await("assignment of all tasks and start of 12", 10*time.Second, func() bool {
		return r.countAssigned() == 24 && len(r.intervals()) >= 12
	})
	began := time.Now()
	r.setLog(logservice.Faults{Down: true})
	time.Sleep(7 * time.Second)
	status, failure := r.try(0, "late", 1, 1, time.Second)
	r.Expect(status).To(Equal(http.StatusServiceUnavailable))
	r.Expect(failure.RetryAfterMS).To(BeNumerically(">", 0))
	r.Expect(failure.Outcome).To(BeElementOf(message.OutcomeNotRun, message.OutcomeUnknown))
	measured("log down: outcome of a new job", failure.Outcome)
	time.Sleep(time.Until(began.Add(outage)))
	started, completed := 0, 0
	for _, v := range r.intervals() {
		if v.Start.After(began) {
			started++
		}
		if v.EndState == worker.StateDone && strings.HasPrefix(v.task, "short-") {
			completed++
		}
	}
	measured("log down: bound tasks started during the outage", started)
	measured("log down: short tasks completed at the workers by its end, of 18", completed)
	r.Expect(completed).To(Equal(18), "short tasks completed: %s %s", r.describe("short-0"), r.describe("short-1"))
	r.setLog(logservice.Faults{})
	back := time.Now()
	r.awaitDone(0, 30*time.Second)
	measured("log down: until everything is done after the log is back", time.Since(back))
	if failure.Outcome == message.OutcomeNotRun {
		r.Expect(r.status(0, "late").State).To(BeEmpty())
	}
	r.check()
	for name, intervals := range r.byTask() {
		r.Expect(intervals).To(HaveLen(1), "%s ran more than once: %s", name, r.describe(name))
	}
}

// countAssigned counts the assignment records in the region's stream.
func (r *region) countAssigned() int {
	count := 0
	for _, v := range r.records() {
		if v.Record.Kind == scheduler.KindAssignment {
			count++
		}
	}
	return count
}

// Guards against a cancelled task that runs on, is started later, or takes back a result that was recorded.
func jobsCancelled(r *region) {
	r.begin(16)
	random := rand.New(rand.NewPCG(8, 0))
	r.submit(0, "completed", 4, 1, time.Second)
	r.awaitDone(0, 15*time.Second)
	var all sync.WaitGroup
	const count = 16
	cancelled := make([]time.Time, count)
	for n := range count {
		id := fmt.Sprintf("cancelled-%d", n)
		// The cancellation comes between the start of the first task and the end of the last one.
		delay := time.Duration(random.Int64N(int64(5 * time.Second)))
		r.submit(n%r.Entries, id, 6, 1, 2*time.Second)
		all.Go(func() {
			time.Sleep(delay)
			_, _ = launcher.Call(http.MethodDelete, r.EntryCallerAddress((n+1)%r.Entries), "/v1/jobs/"+id, nil, nil)
			cancelled[n] = time.Now()
		})
	}
	all.Wait()
	_, _ = launcher.Call(http.MethodDelete, r.EntryCallerAddress(1), "/v1/jobs/completed", nil, nil)
	ended := func(s message.JobStatus) bool { return s.Waiting == 0 && s.Running == 0 && s.Tasks > 0 }
	counts := map[string]int{}
	first := map[string]message.JobStatus{}
	for id := range r.jobs {
		r.await("end of job "+id, 20*time.Second, func() bool { return ended(r.status(0, id)) })
		first[id] = r.status(0, id)
		counts["done"] += first[id].Done
		counts["cancelled"] += first[id].Cancelled
	}
	measured("jobs cancelled: tasks done and cancelled", counts)
	r.Expect(first["completed"].State).To(Equal("done"))
	r.Expect(counts["cancelled"]).To(BeNumerically(">", 0))
	time.Sleep(4 * time.Second)
	for id, s := range first {
		for n := range r.Entries {
			r.Expect(r.status(n, id)).To(Equal(s), r.EntryName(n))
		}
		r.Expect(s.Done+s.Cancelled).To(Equal(s.Tasks), id)
	}
	tasks := r.byTask()
	r.checkPlaces(tasks)
	for id, s := range first {
		completed := 0
		for n := range s.Tasks {
			for _, v := range tasks[fmt.Sprintf("%s/%d", id, n)] {
				if v.EndState == worker.StateDone {
					completed++
				}
			}
		}
		// A task may be completed at its VM after the cancellation was recorded, but is never counted without that.
		r.Expect(completed).To(BeNumerically(">=", s.Done), id)
	}
	for _, v := range r.intervals() {
		for n, at := range cancelled {
			if v.task[:len(v.task)-2] == fmt.Sprintf("cancelled-%d", n) {
				r.Expect(v.Start).To(BeTemporally("<", at.Add(2*time.Second)), "%s started after the cancellation", v.ID)
			}
		}
	}
}

// Guards against entries that together start more at a VM than it has room for.
func littleRoom(r *region) {
	r.begin(4)
	random := rand.New(rand.NewPCG(9, 0))
	var submissions []<-chan string
	type job struct {
		id         string
		tasks      int
		processors float64
	}
	for entry := range 2 {
		var jobs []job
		for n := range 12 {
			jobs = append(jobs, job{fmt.Sprintf("room-%d-%d", entry, n), 4, 0.5 + float64(random.IntN(6))/2})
		}
		for _, j := range jobs {
			r.jobs[j.id] = j.tasks
		}
		submissions = append(submissions, launcher.RunInBackground(func(fail func(string, ...int)) {
			for _, j := range jobs {
				if status, f := r.try(entry, j.id, j.tasks, j.processors, 500*time.Millisecond); status != http.StatusCreated {
					fail(f.Message)
				}
			}
		}))
	}
	for _, s := range submissions {
		r.Expect(<-s).To(BeEmpty())
	}
	began := time.Now()
	r.awaitDone(0, 60*time.Second)
	measured("little room: until 96 tasks are done", time.Since(began))
	r.check()
}
