package coordinator_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/job"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/resource"
)

const (
	// scriptStep is the time between two looks of a script at its world. scriptTimeout bounds the wait for a state that must come.
	scriptStep    = 5 * time.Millisecond
	scriptTimeout = 20 * time.Second
	// maxElsewhereTime is the longest time from the last response of an endpoint until its tasks run elsewhere: a grant, a lease with the drift, the
	// timeout of a list request, a report and a plan.
	maxElsewhereTime = 8500 * time.Millisecond
	// tasksPerVM is the number of tasks that fit on a VM.
	tasksPerVM = vmProcessors / taskProcessors
)

// scriptedWorld is a world without random faults, whose events a test chooses.
type scriptedWorld struct {
	*simWorld
	t *testing.T
}

// playScript plays the script in a world with the VMs, in which each run takes runTime.
func playScript(t *testing.T, vms int, runTime time.Duration, script func(w scriptedWorld)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(context.Background())
		defer end()
		w := scriptedWorld{newSimWorld(ctx, 1, simFaults{}), t}
		w.runTime = runTime
		w.takeOver(0)
		for n := range vms {
			w.addVM(fmt.Sprint("vm", n))
		}
		w.sleep(2 * heartbeatPeriod)
		script(w)
		w.locked(func(w *simWorld) {
			if w.violation != "" {
				t.Error(w.violation)
			}
		})
	})
}

// await waits until the condition holds, which is called with the mutex locked, and returns how long that took.
func (w scriptedWorld) await(what string, condition func() bool) time.Duration {
	w.t.Helper()
	for beganAt := time.Now(); ; w.sleep(scriptStep) {
		holds := false
		w.locked(func(*simWorld) { holds = condition() })
		switch {
		case holds:
			return time.Since(beganAt)
		case time.Since(beganAt) > scriptTimeout:
			history := ""
			w.locked(func(w *simWorld) {
				for _, task := range slices.Sorted(maps.Keys(w.starts)) {
					history = w.history(task)
				}
			})
			w.t.Fatalf("not within %v: %s\n%s", scriptTimeout, what, history)
		}
	}
}

// submitTasks submits a job with the number of tasks.
func (w scriptedWorld) submitTasks(id string, tasks int) job.Job {
	j := job.Job{
		ID: id, Occurrences: 1,
		Steps: []job.Step{{TaskCount: tasks, Size: resource.Amount{MilliProcessors: taskProcessors, MemoryBytes: 1}, Estimate: time.Second}},
	}
	w.submit(j)
	return j
}

// awaitRuns waits until the VMs have the number of runs in all.
func (w scriptedWorld) awaitRuns(count int) {
	w.t.Helper()
	w.await(fmt.Sprintf("%d runs", count), func() bool {
		n := 0
		for _, e := range w.endpoints {
			if e.process != nil {
				n += len(e.process.runs)
			}
		}
		return n == count
	})
}

// awaitCompletion waits until the job is completed.
func (w scriptedWorld) awaitCompletion(j job.Job) {
	w.t.Helper()
	for range int(scriptTimeout / retryPause) {
		state := w.presentOwner().coordinator.JobState(w.ctx, messenger.JobRequest{ID: j.ID, Queue: simQueue}).State
		if state == bookkeeper.StateCompleted {
			return
		}
		w.sleep(retryPause)
	}
	w.t.Fatalf("job %s is not completed within %v", j.ID, scriptTimeout)
}

// checkStarts checks that each task was started the number of times.
func (w scriptedWorld) checkStarts(count int, tasks ...string) {
	w.t.Helper()
	w.locked(func(w *simWorld) {
		for _, task := range tasks {
			if got := len(w.starts[task]); got != count {
				w.violate(task, "started %d times, not %d times", got, count)
			}
		}
	})
}

// allTasks returns all tasks that were started.
func (w scriptedWorld) allTasks() (tasks []string) {
	w.locked(func(w *simWorld) { tasks = slices.Sorted(maps.Keys(w.starts)) })
	return tasks
}

// tasksOn returns the tasks that run on the VM.
func (w scriptedWorld) tasksOn(vm string) (tasks []string) {
	w.locked(func(w *simWorld) { tasks = slices.Sorted(maps.Keys(w.endpoints[vm].process.runs)) })
	return tasks
}

// endAgent ends the agent process on the VM.
func (w scriptedWorld) endAgent(vm string) {
	w.locked(func(w *simWorld) {
		a := w.agents[vm]
		a.process.kill()
		a.process = nil
		w.log("", "%s: agent process ends", vm)
	})
}

// beginAgent starts an agent process on the VM.
func (w scriptedWorld) beginAgent(vm string) {
	w.locked(func(w *simWorld) { w.startAgent(w.agents[vm]) })
}

// beginSilence makes the endpoint on the VM silent.
func (w scriptedWorld) beginSilence(vm string) {
	w.locked(func(w *simWorld) {
		w.endpoints[vm].silent = true
		w.log("", "%s: the endpoint becomes silent", vm)
	})
}

// Guards against a second run of tasks that have ended as done while no agent process was at work: the endpoint lists only some of their results at a
// time, so the first list of the new agent process contains neither their runs nor their results.
func TestLimitedListsAfterRestart(t *testing.T) {
	for name, c := range map[string]struct {
		// takeOvers says when other owners take over: before the runs end, before the new agent process begins, and after its first list.
		beforeEnds, beforeAgent, afterAgent bool
		limit                               int
	}{
		"same owner":                                      {limit: 2},
		"same owner, one result at a time":                {limit: 1},
		"a new owner before the runs end":                 {limit: 2, beforeEnds: true},
		"a new owner before the agent begins":             {limit: 2, beforeAgent: true},
		"a new owner after the first list":                {limit: 2, afterAgent: true},
		"new owners before the agent begins, after lists": {limit: 1, beforeAgent: true, afterAgent: true},
	} {
		t.Run(name, func(t *testing.T) {
			playScript(t, 2, time.Second, func(w scriptedWorld) {
				e := w.endpoints["vm0"]
				w.locked(func(*simWorld) { e.maxListed = c.limit })
				j := w.submitTasks("a", 2*tasksPerVM)
				w.awaitRuns(2 * tasksPerVM)
				w.endAgent("vm0")
				if c.beforeEnds {
					w.takeOver(0)
				}
				w.await("the ends of all runs", func() bool { return len(e.process.results) == tasksPerVM })
				if c.beforeAgent {
					w.takeOver(0)
				}
				w.beginAgent("vm0")
				if c.afterAgent {
					w.await("a list of the new agent process", func() bool { return e.process.lastListedTo == w.agents["vm0"].process })
					w.takeOver(0)
				}
				w.awaitCompletion(j)
				w.checkStarts(1, w.allTasks()...)
			})
		})
	}
}

// Guards against tasks that never run again because an agent goes on reporting the last list of an endpoint that is silent for good, and against tasks
// that run twice or end by an outdated result when the endpoint returns.
func TestSilentEndpoint(t *testing.T) {
	for name, c := range map[string]struct {
		// restarts makes an agent process begin so long after the silence.
		restarts time.Duration
		// startsMeanwhile orders starts when the endpoint has just become silent. takesOver makes another owner take over.
		// losesAnswers makes the endpoint carry out calls without an answer.
		startsMeanwhile, takesOver, losesAnswers bool
		runTime                                  time.Duration
		bound                                    time.Duration
		// returns makes the endpoint respond again so long after the tasks run elsewhere.
		returns time.Duration
	}{
		"for good":                          {runTime: 12 * time.Second, bound: maxElsewhereTime},
		"for good, starts meanwhile":        {runTime: 12 * time.Second, bound: maxElsewhereTime, startsMeanwhile: true},
		"for good, with a new agent":        {runTime: 12 * time.Second, bound: maxElsewhereTime + time.Second, restarts: time.Second},
		"for good, with a new owner":        {runTime: 12 * time.Second, bound: maxElsewhereTime, takesOver: true},
		"for good, loses only answers":      {runTime: 12 * time.Second, bound: maxElsewhereTime, losesAnswers: true},
		"loses only answers, new agent":     {runTime: 12 * time.Second, bound: maxElsewhereTime + time.Second, losesAnswers: true, restarts: time.Second},
		"loses only answers, returns":       {runTime: 12 * time.Second, bound: maxElsewhereTime, losesAnswers: true, returns: time.Second},
		"returns while the tasks run":       {runTime: 12 * time.Second, bound: maxElsewhereTime, returns: 2 * time.Second},
		"returns after the tasks are done":  {runTime: 12 * time.Second, bound: maxElsewhereTime, returns: 13 * time.Second},
		"returns with ends from before":     {runTime: 3 * time.Second, bound: maxElsewhereTime, returns: 500 * time.Millisecond},
		"returns beside a new agent":        {runTime: 12 * time.Second, bound: maxElsewhereTime + time.Second, restarts: time.Second, returns: 2 * time.Second},
		"returns to a new owner with a run": {runTime: 12 * time.Second, bound: maxElsewhereTime, takesOver: true, returns: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			// Two VMs have room for the tasks of three.
			playScript(t, 3, c.runTime, func(w scriptedWorld) {
				const silent = "vm0"
				j := w.submitTasks("a", tasksPerVM)
				w.awaitRuns(tasksPerVM)
				tasks := w.tasksOn(silent)
				w.locked(func(w *simWorld) { w.endpoints[silent].losesAnswers = c.losesAnswers })
				w.beginSilence(silent)
				beganAt := time.Now()
				ids := []job.Job{j}
				if c.startsMeanwhile {
					ids = append(ids, w.submitTasks("b", tasksPerVM))
				}
				if c.restarts > 0 {
					w.sleep(c.restarts)
					w.endAgent(silent)
					w.beginAgent(silent)
				}
				if c.takesOver {
					w.takeOver(0)
				}
				w.await("runs elsewhere", func() bool {
					return !slices.ContainsFunc(tasks, func(task string) bool {
						return w.endpoints["vm1"].process.runs[task] == nil && w.endpoints["vm2"].process.runs[task] == nil
					})
				})
				if took := time.Since(beganAt); took > c.bound {
					t.Errorf("the tasks run elsewhere after %v, %v is the bound", took, c.bound)
				}
				if c.returns > 0 {
					w.sleep(c.returns)
					w.locked(func(w *simWorld) { w.endpoints[silent].endSilence(1) })
				}
				for _, j := range ids {
					w.awaitCompletion(j)
				}
				w.checkStarts(2, tasks...)
			})
		})
	}
}

// Guards against a task that never runs because the answer to its start was lost, and the endpoint process then ended for good: no list shows whether the
// start took effect.
func TestUnansweredStartBeforeEnd(t *testing.T) {
	playScript(t, 2, time.Second, func(w scriptedWorld) {
		w.beginSilence("vm0")
		j := w.submitTasks("a", tasksPerVM)
		w.awaitRuns(tasksPerVM / 2)
		// The starts at the silent endpoint have reached their timeout.
		w.sleep(time.Second)
		w.locked(func(w *simWorld) {
			e := w.endpoints["vm0"]
			close(e.process.resultAdded)
			e.process, e.silent = nil, false
			w.log("", "vm0: the endpoint process ends for good")
		})
		w.awaitCompletion(j)
		w.checkStarts(1, w.allTasks()...)
	})
}

// Guards against a second run of a task whose result an endpoint process has discarded by the number of a result of the previous process with its ID: a list
// request that waits at the new process acknowledges the results of the previous one.
func TestWaitingRequestAtNextProcess(t *testing.T) {
	for name, late := range map[string]time.Duration{"at once": 0, "while the request waits": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			playScript(t, 1, 100*time.Millisecond, func(w scriptedWorld) {
				e := w.endpoints["vm0"]
				first := w.submitTasks("a", 1)
				w.awaitCompletion(first)
				w.await("the discard of the first result", func() bool { return e.process.lastSequence == 1 && len(e.process.results) == 0 })
				// The next heartbeat comes after the end of the second run.
				w.locked(func(w *simWorld) {
					e.sendsNoHeartbeats = true
					id := e.process.id
					close(e.process.resultAdded)
					e.process = nil
					w.startEndpoint(e, id)
				})
				w.await("a call to the new process", func() bool { return e.process.contacted })
				w.sleep(late)
				second := w.submitTasks("b", 1)
				w.await("the end of the second run", func() bool { return e.process.lastSequence == 1 })
				w.locked(func(*simWorld) { e.sendsNoHeartbeats = false })
				w.awaitCompletion(second)
				w.checkStarts(1, "a.0.0.0", "b.0.0.0")
			})
		})
	}
}

// Guards against a second run of a task while the first one still has a lease: a start that was meant for the previous endpoint process, with a deadline on
// that one's clock, begins a run at the next process with its ID, which gives the longest lease that an endpoint gives, and is silent from then on.
func TestSilentNextProcess(t *testing.T) {
	for name, losesAnswers := range map[string]bool{"holds calls": false, "carries out calls without an answer": true} {
		t.Run(name, func(t *testing.T) { testSilentNextProcess(t, losesAnswers) })
	}
}

func testSilentNextProcess(t *testing.T, losesAnswers bool) {
	t.Helper()
	playScript(t, 2, 20*time.Second, func(w scriptedWorld) {
		// The clock of the previous process is far ahead of that of the next one.
		w.sleep(scriptTimeout)
		var vm string
		w.locked(func(w *simWorld) {
			for _, e := range w.endpoints {
				id := e.process.id
				close(e.process.resultAdded)
				w.startEndpoint(e, id)
			}
		})
		w.submitTasks("a", 1)
		w.await("a run at a next process", func() bool {
			for name, e := range w.endpoints {
				if len(e.process.runs) > 0 {
					vm = name
					return true
				}
			}
			return false
		})
		w.sleep(3 * maxCallDelay)
		w.locked(func(w *simWorld) { w.endpoints[vm].losesAnswers = losesAnswers })
		w.beginSilence(vm)
		w.await("a run elsewhere", func() bool { return len(w.starts["a.0.0.0"]) == 2 })
	})
}
