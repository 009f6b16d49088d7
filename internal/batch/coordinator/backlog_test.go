package coordinator_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bamboohook/internal/batch/job"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/resource"
)

// Guards against a recovery that feeds on itself: all entries end, the leases of all runs expire, and the next owner starts all tasks again at endpoints that
// take some time for a start. No run may lapse meanwhile, no start may be ordered in vain, and new jobs may not wait for the backlog.
func TestBacklogAfterReturnOfEntries(t *testing.T) {
	const (
		vms        = 3
		tasksPerVM = 1000
		newJobs    = 20
		// maxNewJobDelay is twice the response time from which on the owner sends fewer starts at a time, and two pauses between plans: a new job may come
		// behind as many starts as took that time, and double that number is sent before the owner notices.
		maxNewJobDelay = 2*100*time.Millisecond + 2*40*time.Millisecond
		// maxUseless is how many starts may be ordered in vain, until the owner knows how slow the endpoints are.
		maxUseless = vms * 16
		// downTime is longer than all leases last without an owner.
		downTime = 9500 * time.Millisecond
	)
	for name, callTime := range map[string]time.Duration{
		"fast endpoints": 300 * time.Microsecond, "slow endpoints": 3 * time.Millisecond, "slower endpoints": 8 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancel(context.Background())
				defer end()
				w := newSimWorld(ctx, 1, simFaults{})
				w.runTime = time.Hour
				w.takeOver(0)
				w.addStoppedVMs(vms)
				w.startVMs()
				w.sleep(2 * time.Second)
				size := resource.Amount{MilliProcessors: 1, MemoryBytes: 1}
				w.submit(job.Job{ID: "backlog", Occurrences: 1, Steps: []job.Step{{TaskCount: vms * tasksPerVM, Size: size, Estimate: time.Hour}}})
				w.sleep(10 * time.Second)
				w.presentOwner().resign()
				w.locked(func(w *simWorld) { w.owner, w.entries = nil, map[string]*simOwner{} })
				w.sleep(downTime)
				running := 0
				w.locked(func(w *simWorld) {
					for _, e := range w.endpoints {
						running += len(e.process.runs)
						e.callTime = callTime
					}
				})
				if running > 0 {
					t.Fatalf("%d runs go on without an owner", running)
				}
				returnedAt := time.Now()
				w.takeOver(0)
				least := tasksPerVM * callTime
				// The new jobs come while the backlog starts.
				interval := (least + time.Second) / newJobs
				for n := range newJobs {
					w.sleep(interval)
					go w.submit(job.Job{ID: fmt.Sprint("new", n), Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: size, Estimate: time.Second}}})
				}
				w.sleep(2*least + 2*time.Second)
				w.mutex.Lock()
				defer w.mutex.Unlock()
				starts, runs, lapsed, last := 0, 0, 0, time.Time{}
				for task, at := range w.starts {
					if id, _ := job.ParseTask(task); id.Job != "backlog" {
						continue
					}
					for _, a := range at {
						if a.After(returnedAt) {
							starts++
							last = slices.MaxFunc([]time.Time{last, a}, time.Time.Compare)
						}
					}
				}
				for _, e := range w.endpoints {
					runs += len(e.process.runs)
					for _, r := range e.process.results {
						if r.Outcome == messenger.RunLeaseExpired {
							lapsed++
						}
					}
				}
				var delays []time.Duration
				for n := range newJobs {
					at := w.starts[(job.Task{Job: fmt.Sprint("new", n)}).String()]
					if len(at) == 0 {
						t.Fatalf("new job %d was not started", n)
					}
					delays = append(delays, at[0].Sub(returnedAt.Add(time.Duration(n+1)*interval)))
				}
				slices.Sort(delays)
				refused := w.refusedStarts[messenger.ReasonEndpointBusy]
				t.Logf("%d starts, %d runs, %d lapsed, the last after %v (at least %v), %d refused; new jobs: half after %v, the last after %v",
					starts, runs, lapsed, last.Sub(returnedAt), least, refused, delays[newJobs/2], delays[newJobs-1])
				if runs != vms*tasksPerVM+newJobs || lapsed > 0 {
					t.Errorf("%d runs, of which %d lapsed", runs, lapsed)
				}
				if last.Sub(returnedAt) > least*5/4+time.Second {
					t.Errorf("the last task of the backlog is started after %v, at least %v are needed", last.Sub(returnedAt), least)
				}
				if refused > maxUseless || starts > vms*tasksPerVM+maxUseless {
					t.Errorf("%d starts for %d tasks, and %d were refused", starts, vms*tasksPerVM, refused)
				}
				if delays[newJobs-1] > maxNewJobDelay {
					t.Errorf("a new job waits for %v", delays[newJobs-1])
				}
				end()
			})
		})
	}
}
