package coordinator

import (
	"time"

	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/dispatcher"
	"bamboohook/internal/batch/job"
	"bamboohook/internal/batch/pacer"
	"bamboohook/internal/fleet/messenger"
)

// silentAfter is how long a VM may be silent and still get new runs. Agents report at least every half second.
const silentAfter = 1200 * time.Millisecond

// Report takes over what an agent knows and answers with what is recorded of it. The owner's address and other fields of the
// answer are the caller's.
func (c *Coordinator) Report(r messenger.Report) messenger.ReportResponse {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	s := &c.state
	if !s.owning || r.Epoch > s.epoch {
		return messenger.ReportResponse{Epoch: s.epoch}
	}
	granted := c.Granting()
	v, ok := s.vms[r.VM]
	if !ok {
		v = c.newVM(r.VM)
		s.vms[r.VM] = v
	}
	answer := messenger.ReportResponse{Epoch: s.epoch, Granted: granted, Incarnation: r.Incarnation, RecordedSequence: v.recordedOf(r.Incarnation)}
	if r.Generation == v.generation && r.Sequence <= v.sequence {
		return answer
	}
	now := c.Clock.Now()
	c.describe(v, r, now)
	if r.Listed {
		c.takeEnds(v, r, now)
	}
	if r.Listed || r.State == messenger.VMNotListening {
		c.takeRuns(v, r, now)
	}
	c.note(v)
	c.pace(v, now)
	answer.RecordedSequence = v.recordedOf(r.Incarnation)
	c.kick()
	return answer
}

func (c *Coordinator) newVM(name string) *vm {
	return &vm{
		VM: dispatcher.VM{Name: name}, runs: map[string]*run{}, pending: map[int64]struct{}{},
		pacer: pacer.Pacer{MissTolerance: c.Limits.MissTolerance},
	}
}

// describe takes over what the VM says of itself.
func (c *Coordinator) describe(v *vm, r messenger.Report, now time.Time) {
	if r.Generation != v.generation && v.generation != "" {
		// The agent was restarted. What its predecessor did not confirm shows in the first complete list.
		for _, x := range v.runs {
			x.answered, x.sequence, x.paced = true, 0, 0
		}
	}
	if v.life != 0 && r.Incarnation != 0 && r.Incarnation != v.life {
		c.Log.Info().Str("vm", v.Name).Int64("life", r.Incarnation).Int64("before", v.life).Msg("endpoint was replaced")
		for _, x := range v.runs {
			// A start may have reached the new process. Its first complete list shows that; what it does not show is gone.
			x.answered, x.sequence, x.paced = true, 0, pacer.FullPercent
		}
		v.processed, v.recorded, v.pending = 0, 0, map[int64]struct{}{}
		v.breaker.Succeeded()
	}
	if r.Incarnation != 0 {
		v.life = r.Incarnation
	}
	if v.state != r.State || v.heard.IsZero() || v.listed != r.Listed {
		c.Log.Info().Str("vm", v.Name).Str("state", r.State).Str("before", v.state).Bool("listed", r.Listed).Int64("life", r.Incarnation).
			Int("runs", len(r.Runs)).Uint64("report", r.Sequence).Msg("state of VM")
	}
	v.generation, v.sequence, v.sent, v.heard = r.Generation, r.Sequence, r.SentMS, now
	v.state, v.listed, v.remaining = r.State, r.Listed, r.Remaining
	if r.EndpointID != "" {
		v.endpoint, v.Service, v.Rack, v.Labels, v.Capacity = r.EndpointID, r.Service, r.Rack, r.Labels, r.Capacity
	}
}

// note lets the store know whether the VM may have runs, so that a successor waits for it only if it may.
func (c *Coordinator) note(v *vm) {
	mayRun := v.state != messenger.VMNotListening || len(v.runs) > 0
	if mayRun == v.mayRun {
		return
	}
	v.mayRun = mayRun
	if !mayRun {
		// Starts wait for the record that names the VM again.
		v.stored = false
	}
	c.state.changedVMs[v.Name] = struct{}{}
	c.Journal.Notify()
}

// takeEnds takes over ends that were not seen before.
func (c *Coordinator) takeEnds(v *vm, r messenger.Report, now time.Time) {
	for _, e := range r.Results {
		if e.Sequence <= v.processed {
			continue
		}
		v.processed = e.Sequence
		v.pending[e.Sequence] = struct{}{}
		x, ok := v.runs[e.Task]
		if !ok || x.number != e.Number {
			x = c.unknownEnd(v, e)
		}
		if x != nil {
			c.ended(x, e, now)
		} else {
			c.countFailure(e)
		}
		j := c.unrecordedJob(e.Task)
		if j == nil {
			v.acknowledge(r.Incarnation, e.Sequence)
			continue
		}
		c.state.dirty[j] = struct{}{}
		c.state.unrecorded = append(c.state.unrecorded, ack{v, r.Incarnation, e.Sequence})
		c.Journal.Notify()
	}
}

// countFailure counts an earlier run of a task that failed, while a later one runs or waits.
func (c *Coordinator) countFailure(e messenger.RunResult) {
	id, ok := job.ParseTask(e.Task)
	if !ok || e.Outcome != messenger.RunFailed {
		return
	}
	t := c.state.books.Task(id)
	if t == nil || t.IsDone() || !t.Step.Job.Live() {
		return
	}
	c.state.books.RunFailed(t, e.Number, c.queueOf(t.Step.Job).Attempts, c.WallClock.Now())
	c.Log.Info().Str("task", e.Task).Int("run", e.Number).Int("failures", t.Failures()).Msg("failure of an earlier run counted")
	if !t.Step.Job.Live() {
		c.release(t.Step.Job)
	}
}

// unrecordedJob returns the job of the task if its state may not be recorded, so that a successor may need the end. That holds for a
// cancelled job too until the cancellation is stored.
func (c *Coordinator) unrecordedJob(task string) *bookkeeper.Job {
	id, ok := job.ParseTask(task)
	if !ok {
		return nil
	}
	j := c.state.books.Job(id.Job)
	if j == nil || !j.Live() && j.VisibleState() == j.State() {
		return nil
	}
	return j
}

// unknownEnd returns a run for an end of one that this owner has not seen, or nil if it does not matter any more.
func (c *Coordinator) unknownEnd(v *vm, e messenger.RunResult) *run {
	id, ok := job.ParseTask(e.Task)
	if !ok {
		return nil
	}
	t := c.state.books.Task(id)
	if t == nil || t.IsDone() || !t.Step.Job.Live() || c.state.runs[t] != nil {
		return nil
	}
	t.ObserveRun(e.Number)
	v.Add(t)
	x := &run{name: e.Task, task: t, vm: v, number: e.Number, current: true, answered: true}
	c.state.runs[t] = x
	return x
}

// takeRuns compares the runs of the report with those known.
func (c *Coordinator) takeRuns(v *vm, r messenger.Report, now time.Time) {
	shown := map[string]int{}
	for _, row := range r.Runs {
		shown[row.Task] = row.Number
		x, ok := v.runs[row.Task]
		if !ok || x.number != row.Number {
			if ok && x.number > row.Number {
				continue
			}
			if ok {
				c.ended(x, messenger.RunResult{Outcome: messenger.RunLost, Task: x.name, Number: x.number}, now)
			}
			x = c.adopt(v, row, now)
		}
		x.answered = true
		if x.task != nil && x.task.Step.LongRunning && row.Percent >= pacer.FullPercent && x.report.Percent < pacer.FullPercent {
			v.breaker.Succeeded()
		}
		x.report = row
	}
	for name, x := range v.runs {
		if x.answered && r.Sequence >= x.sequence && shown[name] != x.number {
			c.ended(x, messenger.RunResult{Outcome: messenger.RunLost, Task: name, Number: x.number}, now)
		}
	}
}

// adopt takes over a run that this owner did not start, and lets it be stopped if the task does not need it.
func (c *Coordinator) adopt(v *vm, row messenger.Run, now time.Time) *run {
	x := &run{name: row.Task, vm: v, number: row.Number, answered: true, orderedAt: now, sentAt: now, pace: 100}
	if id, ok := job.ParseTask(row.Task); ok {
		x.task = c.state.books.Task(id)
	}
	if x.task != nil {
		x.task.ObserveRun(row.Number)
		v.Add(x.task)
		if x.task.Step.Job.Live() && !x.task.IsDone() && c.state.runs[x.task] == nil {
			x.current = true
			c.state.runs[x.task] = x
			c.state.books.RunStarted(x.task, row.Number)
		}
	}
	x.stopping = !x.current
	v.runs[row.Task] = x
	c.Log.Info().Str("task", row.Task).Int("run", row.Number).Str("vm", v.Name).Bool("needed", x.current).Msg("run found")
	return x
}

// ended takes a run away from its VM.
func (c *Coordinator) ended(x *run, e messenger.RunResult, now time.Time) {
	v := x.vm
	if v.runs[x.name] == x {
		delete(v.runs, x.name)
	}
	if x.task == nil {
		return
	}
	v.Remove(x.task)
	c.state.model.ForgetTask(x.name)
	if x.task.Step.LongRunning && !x.task.Step.Job.Live() {
		c.state.model.ForgetGroup(stepName(x.task.Step), x.task.Step.Image)
	}
	current := x.current
	c.Meter.Count("ends-" + e.Outcome)
	if c.state.runs[x.task] == x {
		delete(c.state.runs, x.task)
	}
	c.Log.Info().Str("task", x.name).Int("run", x.number).Str("vm", v.Name).Str("how", e.Outcome).Bool("needed", current).
		Bool("ordered", x.stopping).Dur("after", now.Sub(x.orderedAt)).Msg("run ended")
	if !current {
		return
	}
	x.current = false
	t, j := x.task, x.task.Step.Job
	switch e.Outcome {
	case messenger.RunDone:
		c.state.books.TaskDone(t, c.WallClock.Now())
		v.breaker.Succeeded()
	case messenger.RunFailed:
		c.state.books.SetCheckpoint(t, e.Checkpoint)
		c.state.books.RunFailed(t, x.number, c.queueOf(j).Attempts, c.WallClock.Now())
		c.state.books.Requeue(t, c.WallClock.Now())
		if v.breaker.Failed(j.ID, now) {
			c.Log.Warn().Str("vm", v.Name).Msg("VM taken out of use: all runs fail")
		}
	default:
		checkpoint := e.Checkpoint
		if checkpoint == "" {
			checkpoint = x.report.Checkpoint
		}
		c.state.books.SetCheckpoint(t, checkpoint)
		c.state.books.Requeue(t, c.WallClock.Now())
	}
	c.state.dirty[j] = struct{}{}
	c.Journal.Notify()
	if !j.Live() {
		c.release(j)
	}
}

// release lets the runs of a job that has ended be stopped.
func (c *Coordinator) release(j *bookkeeper.Job) {
	for t, x := range c.state.runs {
		if t.Step.Job == j {
			x.current, x.stopping = false, true
			delete(c.state.runs, t)
		}
	}
}

func (c *Coordinator) queueOf(j *bookkeeper.Job) Queue {
	if q, ok := c.state.queues[j.Queue]; ok {
		return q
	}
	return c.state.origin[j.Queue]
}

// recordedOf returns the last end that the endpoint of the life may forget.
func (v *vm) recordedOf(life int64) int64 {
	if life != v.life {
		return 0
	}
	return v.recorded
}

// acknowledge notes that the end is recorded or needs no record.
func (v *vm) acknowledge(life, sequence int64) {
	if life != v.life {
		return
	}
	delete(v.pending, sequence)
	v.recorded = v.processed
	for open := range v.pending {
		v.recorded = min(v.recorded, open-1)
	}
}
