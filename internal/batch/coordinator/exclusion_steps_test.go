package coordinator_test

import (
	"fmt"
	"time"

	"bamboohook/internal/batch/job"
	"bamboohook/internal/fleet/messenger"
)

const (
	// gangTimeout is how long a member of a gang waits for the others, gangBreakTime the longest time until the others end after one has ended.
	gangTimeout   = 3 * time.Second
	gangBreakTime = 100 * time.Millisecond
	// checkpointPeriod is the time of work after which a run of a resumable task produces a checkpoint.
	checkpointPeriod = 300 * time.Millisecond
	// The next constants limit the time between two drains of an endpoint, and how long it goes on after its announcement.
	minDrainPeriod = 3 * time.Second
	maxDrainPeriod = 12 * time.Second
	minDrainTime   = 500 * time.Millisecond
	maxDrainTime   = 5 * time.Second
)

// step returns the step of the task, or an empty one for the tasks of jobs that run until they are cancelled. The caller holds the mutex.
func (w *simWorld) step(id job.Task) job.Step {
	if j, ok := w.jobs[id.Job]; ok {
		return j.Steps[id.Step]
	}
	return job.Step{}
}

// checkpointOwner returns the name under which the checkpoints of a task are valid: its own or, in a gang, that of the first task.
func (w *simWorld) checkpointOwner(task string) string {
	id, _ := job.ParseTask(task)
	if w.step(id).Gang {
		id.Index = 0
	}
	return id.String()
}

// checkStart checks the order of the steps and the checkpoint of a start that has just taken effect.
func (w *simWorld) checkStart(task, checkpoint string) {
	id, _ := job.ParseTask(task)
	for _, before := range w.step(id).After {
		earlier := w.jobs[id.Job].Steps[before]
		for k := range earlier.TaskCount {
			if name := (job.Task{Job: id.Job, Step: before, Index: k}).String(); len(w.doneEnds[name]) == 0 {
				w.violate(task, "a run starts before a run of %s has ended as done", name)
			}
		}
	}
	if _, ok := w.checkpoints[w.checkpointOwner(task)][checkpoint]; !ok && checkpoint != "" {
		w.violate(task, "a run starts with the checkpoint %q, which no run of the task has produced", checkpoint)
	}
}

// saveCheckpoint stores the checkpoint that a run of a resumable task has produced by now.
func (p *endpointProcess) saveCheckpoint(r *endpointRun) {
	w := p.endpoint.world
	id, _ := job.ParseTask(r.Task)
	count := int(time.Since(r.startedAt) / checkpointPeriod)
	if !w.step(id).Resumable || count == 0 {
		return
	}
	owner := w.checkpointOwner(r.Task)
	r.Checkpoint = fmt.Sprint(owner, "/", r.Number, "/", count)
	if w.checkpoints[owner] == nil {
		w.checkpoints[owner] = map[string]struct{}{}
	}
	w.checkpoints[owner][r.Checkpoint] = struct{}{}
}

// gangMembers calls do for each run of the gang to which the run belongs, and returns their number.
func (w *simWorld) gangMembers(r *endpointRun, do func(p *endpointProcess, member *endpointRun)) int {
	count := 0
	id, _ := job.ParseTask(r.Task)
	for k := range w.step(id).TaskCount {
		id.Index = k
		for _, e := range w.endpoints {
			if e.process == nil {
				continue
			}
			if member := e.process.runs[id.String()]; member != nil && member.Number == r.Number {
				do(e.process, member)
				count++
			}
		}
	}
	return count
}

// joinGang lets the members of a gang work once all of them are present. It returns false if the run is not one of a gang.
func (w *simWorld) joinGang(p *endpointProcess, r *endpointRun) bool {
	id, _ := job.ParseTask(r.Task)
	step := w.step(id)
	if !step.Gang {
		return false
	}
	ignore := func(*endpointProcess, *endpointRun) {}
	if w.gangMembers(r, ignore) < step.TaskCount {
		time.AfterFunc(gangTimeout, func() {
			w.locked(func(w *simWorld) {
				if p.lives() && w.gangMembers(r, ignore) < step.TaskCount {
					p.endIfPresent(r, messenger.RunAlone)
				}
			})
		})
		return true
	}
	w.gangMembers(r, func(_ *endpointProcess, member *endpointRun) {
		if member.resumedFrom != r.resumedFrom {
			w.violate(r.Task, "run %d starts with the checkpoint %q, that of %s with %q", r.Number, r.resumedFrom, member.Task, member.resumedFrom)
		}
	})
	id.Index = 0
	outcome, duration := w.drawRun(id.String(), r.Number)
	time.AfterFunc(duration, func() {
		w.locked(func(w *simWorld) {
			switch {
			case w.gangMembers(r, ignore) < step.TaskCount:
			case outcome == messenger.RunDone:
				w.gangMembers(r, func(p *endpointProcess, member *endpointRun) { p.endIfPresent(member, outcome) })
			default:
				// The first member fails, so that all failures of a gang count for one task.
				w.gangMembers(r, func(p *endpointProcess, member *endpointRun) {
					if member.Task == id.String() {
						p.endIfPresent(member, outcome)
					}
				})
			}
		})
	})
	return true
}

// breakGang ends the other members of the gang of a run that has ended, but not as done.
func (w *simWorld) breakGang(r *endpointRun) {
	id, _ := job.ParseTask(r.Task)
	if !w.step(id).Gang {
		return
	}
	w.gangMembers(r, func(p *endpointProcess, member *endpointRun) {
		time.AfterFunc(w.duration(0, gangBreakTime), func() {
			w.locked(func(*simWorld) { p.endIfPresent(member, messenger.RunBroken) })
		})
	})
}

// drain makes the endpoint announce its end, and ends it later. The caller holds the mutex.
func (w *simWorld) drain(e *simEndpoint) {
	p := e.process
	if p == nil || p.draining {
		return
	}
	p.draining = true
	w.log("", "%s: endpoint process drains", p.id)
	w.later(w.duration(minDrainTime, maxDrainTime), func(w *simWorld) {
		if p.lives() {
			w.crashEndpoint(e)
		}
	})
}

// addSteps adds steps of all kinds to a job.
func addSteps(j job.Job, number int) job.Job {
	first := j.Steps[0]
	first.TaskCount, first.Resumable = 2, number%2 == 0
	gang := first
	gang.After, gang.Gang = []int{0}, true
	last := first
	last.After, last.Resumable = []int{0, 1}, number%2 == 1
	j.Steps = []job.Step{first, gang, last}
	return j
}
