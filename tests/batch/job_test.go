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

// Guards against a log outage in which running tasks end, assigned tasks don't start, jobs are accepted without being
// durable, or results are lost.
func logDown(i *installation) {
	const outage = 40 * time.Second
	i.startAndWait(4)
	// The long tasks use half of the capacity. In the other half, the short tasks run in three successive groups.
	i.submit(0, "long", 6, 1, 50*time.Second)
	i.await("start of the long tasks", 10*time.Second, func() bool { return len(i.intervals()) == 6 })
	i.submit(1, "short-0", 9, 1, 8*time.Second)
	i.submit(2, "short-1", 9, 1, 8*time.Second)
	i.await("assignment of all tasks and start of 12", 10*time.Second, func() bool {
		return i.countAssignments() == 24 && len(i.intervals()) >= 12
	})
	start := time.Now()
	i.setLogFaults(logservice.Faults{Down: true})
	time.Sleep(7 * time.Second)
	status, failure := i.trySubmit(0, "late", 1, 1, time.Second)
	i.Expect(status).To(Equal(http.StatusServiceUnavailable))
	i.Expect(failure.RetryAfterMS).To(BeNumerically(">", 0))
	i.Expect(failure.Outcome).To(BeElementOf(message.OutcomeNotRun, message.OutcomeUnknown))
	recordResult("log down: outcome of a new job", failure.Outcome)
	time.Sleep(time.Until(start.Add(outage)))
	started, completed := 0, 0
	for _, v := range i.intervals() {
		if v.Start.After(start) {
			started++
		}
		if v.EndState == worker.StateDone && strings.HasPrefix(v.task, "short-") {
			completed++
		}
	}
	recordResult("log down: assigned tasks started during the outage", started)
	recordResult("log down: short tasks completed by the end of the outage, of 18", completed)
	i.Expect(completed).To(Equal(18), "short tasks completed: %s %s", i.describe("short-0"), i.describe("short-1"))
	i.setLogFaults(logservice.Faults{})
	recovery := time.Now()
	i.awaitDone(0, 30*time.Second)
	recordResult("log down: time until all tasks are done after the outage", time.Since(recovery))
	if failure.Outcome == message.OutcomeNotRun {
		i.Expect(i.status(0, "late").State).To(BeEmpty())
	}
	i.checkExecution()
	for name, intervals := range i.byTask() {
		i.Expect(intervals).To(HaveLen(1), "%s ran more than once: %s", name, i.describe(name))
	}
}

// countAssignments returns the number of assignment records in the log.
func (i *installation) countAssignments() int {
	count := 0
	for _, v := range i.records() {
		if v.Record.Kind == scheduler.KindAssignment {
			count++
		}
	}
	return count
}

// Guards against a cancelled task that keeps running or starts later, and against a cancellation that revokes a recorded result.
func jobsCancelled(i *installation) {
	i.startAndWait(16)
	random := rand.New(rand.NewPCG(8, 0))
	i.submit(0, "completed", 4, 1, time.Second)
	i.awaitDone(0, 15*time.Second)
	var cancellations sync.WaitGroup
	const count = 16
	cancelTimes := make([]time.Time, count)
	for n := range count {
		id := fmt.Sprintf("cancelled-%d", n)
		// The job is cancelled between the start of its first task and the end of its last one.
		delay := time.Duration(random.Int64N(int64(5 * time.Second)))
		i.submit(n%i.Entries, id, 6, 1, 2*time.Second)
		cancellations.Go(func() {
			time.Sleep(delay)
			_, _ = launcher.Call(http.MethodDelete, i.EntryCallerAddress((n+1)%i.Entries), "/v1/jobs/"+id, nil, nil)
			cancelTimes[n] = time.Now()
		})
	}
	cancellations.Wait()
	_, _ = launcher.Call(http.MethodDelete, i.EntryCallerAddress(1), "/v1/jobs/completed", nil, nil)
	ended := func(s message.JobStatus) bool { return s.Waiting == 0 && s.Running == 0 && s.Tasks > 0 }
	counts := map[string]int{}
	statuses := map[string]message.JobStatus{}
	for id := range i.jobs {
		i.await("end of job "+id, 20*time.Second, func() bool { return ended(i.status(0, id)) })
		statuses[id] = i.status(0, id)
		counts["done"] += statuses[id].Done
		counts["cancelled"] += statuses[id].Cancelled
	}
	recordResult("jobs cancelled: tasks done and cancelled", counts)
	i.Expect(statuses["completed"].State).To(Equal("done"))
	i.Expect(counts["cancelled"]).To(BeNumerically(">", 0))
	time.Sleep(4 * time.Second)
	for id, s := range statuses {
		for n := range i.Entries {
			i.Expect(i.status(n, id)).To(Equal(s), i.EntryName(n))
		}
		i.Expect(s.Done+s.Cancelled).To(Equal(s.Tasks), id)
	}
	tasks := i.byTask()
	i.checkAttempts(tasks)
	for id, s := range statuses {
		completed := 0
		for n := range s.Tasks {
			for _, v := range tasks[fmt.Sprintf("%s/%d", id, n)] {
				if v.EndState == worker.StateDone {
					completed++
				}
			}
		}
		// A task may complete on its VM after its cancellation was recorded, so the worker may show more completions than the job.
		i.Expect(completed).To(BeNumerically(">=", s.Done), id)
	}
	for _, v := range i.intervals() {
		for n, cancelTime := range cancelTimes {
			// The last two bytes of the task ID are a slash and the task number.
			if v.task[:len(v.task)-2] == fmt.Sprintf("cancelled-%d", n) {
				i.Expect(v.Start).To(BeTemporally("<", cancelTime.Add(2*time.Second)), "%s started after the cancellation", v.ID)
			}
		}
	}
}

// Guards against several entries that together start more tasks on a VM than fit its capacity.
func limitedCapacity(i *installation) {
	i.startAndWait(4)
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
			i.jobs[j.id] = j.tasks
		}
		submissions = append(submissions, launcher.RunInBackground(func(fail func(string, ...int)) {
			for _, j := range jobs {
				if status, f := i.trySubmit(entry, j.id, j.tasks, j.processors, 500*time.Millisecond); status != http.StatusCreated {
					fail(f.Message)
				}
			}
		}))
	}
	for _, s := range submissions {
		i.Expect(<-s).To(BeEmpty())
	}
	start := time.Now()
	i.awaitDone(0, 60*time.Second)
	recordResult("limited capacity: time until 96 tasks are done", time.Since(start))
	i.checkExecution()
}
