package supervisor

import (
	"context"
	"sort"
	"strconv"
	"strings"
	"time"

	"bamboohook/internal/message"
	"bamboohook/resource"
	"bamboohook/task"
)

// UnknownShard is the shard of an attempt found after a restart, until an owner's lease names it.
const UnknownShard = -1

// Run calls Tick at the interval until ctx ends, and returns nil.
func (s *Supervisor) Run(ctx context.Context, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		s.Tick(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Tick stops attempts whose lease lapses, lists the worker when due and, while draining, stops what remains.
func (s *Supervisor) Tick(ctx context.Context) {
	s.mutex.Lock()
	s.prepare()
	now := s.Clock.Now()
	s.prune(now)
	due, draining := now.Sub(s.listed) >= listInterval, s.draining
	var lapsed []*attempt
	for _, id := range s.lessee.Expiring(now) {
		if a, ok := s.attempts[id.ID()]; ok {
			lapsed = append(lapsed, a)
		}
	}
	s.mutex.Unlock()
	for _, a := range lapsed {
		s.end(ctx, a, ReasonLapsed)
	}
	if draining {
		s.endAll(ctx)
	}
	if due {
		s.list(ctx)
	}
}

// Drain refuses further starts, checkpoints and stops all attempts, and returns whether all have
// ended. Tick repeats what the worker did not answer.
func (s *Supervisor) Drain(ctx context.Context) bool {
	s.mutex.Lock()
	s.prepare()
	s.draining = true
	s.mutex.Unlock()
	s.endAll(ctx)
	for _, r := range s.Reports() {
		if r.State == stateRunning {
			return false
		}
	}
	return true
}

func (s *Supervisor) endAll(ctx context.Context) {
	s.mutex.Lock()
	var running []*attempt
	for _, a := range s.attempts {
		if a.phase != phaseFinished {
			running = append(running, a)
		}
	}
	s.mutex.Unlock()
	sort.Slice(running, func(i, j int) bool { return running[i].key < running[j].key })
	for _, a := range running {
		s.end(ctx, a, ReasonDrained)
	}
}

// end checkpoints and stops an attempt. Without a checkpoint it is stopped all the same.
func (s *Supervisor) end(ctx context.Context, a *attempt, reason string) {
	a.busy.Lock()
	defer a.busy.Unlock()
	s.mutex.Lock()
	finished := a.phase == phaseFinished
	if a.reason == "" {
		a.reason = reason
	}
	s.mutex.Unlock()
	if finished {
		return
	}
	if r := s.checkpoint(ctx, a).Report; r.State == stateRunning {
		s.stop(ctx, a)
	}
}

// list compares the attempts with what the worker shows. The first list adopts what an earlier
// agent process started.
func (s *Supervisor) list(ctx context.Context) {
	begun := s.Clock.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listed, err := s.Worker.List(call)
	if err != nil {
		return
	}
	s.mutex.Lock()
	s.listed = begun
	if !s.Admitter.Ready() {
		s.adopt(listed)
	}
	var stray []*attempt
	shown := map[string]message.WorkerTask{}
	for _, t := range listed.Tasks {
		shown[t.ID] = t
		if _, known := s.attempts[t.ID]; !known && t.State == stateRunning {
			if id, ok := parse(t.ID); ok {
				// A start took effect after it was given up; nobody holds a lease for it.
				a := s.add(id)
				a.reason, a.phase = message.ReasonUnknownAttempt, phaseUnclear
				s.Admitter.Adopt(t.ID, t.Size)
				stray = append(stray, a)
			}
		}
	}
	s.compare(shown, begun)
	s.mutex.Unlock()
	for _, a := range stray {
		s.end(ctx, a, message.ReasonUnknownAttempt)
	}
}

func (s *Supervisor) adopt(listed message.WorkerTasks) {
	running := map[string]resource.Amount{}
	for _, t := range listed.Tasks {
		id, ok := parse(t.ID)
		if t.State == stateRunning {
			running[t.ID] = t.Size
		}
		if !ok {
			continue
		}
		a := s.add(id)
		if t.State == stateRunning {
			s.lessee.Adopt(id, s.Clock.Now().Add(adoptLease))
			a.observe(t)
		} else {
			s.finish(a, t)
		}
	}
	s.Admitter.Initialize(listed.Capacity, running)
}

// compare takes over the states of a list begun at the time.
func (s *Supervisor) compare(shown map[string]message.WorkerTask, begun time.Time) {
	for id, a := range s.attempts {
		if a.phase == phaseFinished || !a.busy.TryLock() {
			continue
		}
		t, ok := shown[id]
		switch {
		case ok && t.State == stateRunning:
			a.phase = phaseRunning
			a.observe(t)
		case ok:
			s.finish(a, t)
		case !a.changed.IsZero() && begun.Sub(a.changed) >= s.settle(a):
			s.finish(a, message.WorkerTask{State: stateStopped, Reason: ReasonNotAtWorker, Progress: a.report.Progress})
		case a.changed.IsZero():
			// An adopted attempt that the worker no longer shows.
			s.finish(a, message.WorkerTask{State: stateStopped, Reason: ReasonNotAtWorker, Progress: a.report.Progress})
		}
		a.busy.Unlock()
	}
}

// settle is how long after a call a list is taken as the truth about an absent task: an unanswered start may still be on its way.
func (*Supervisor) settle(a *attempt) time.Duration {
	if a.phase == phaseUnclear {
		return 2 * callTimeout
	}
	return time.Nanosecond
}

func (s *Supervisor) prune(now time.Time) {
	for id, at := range s.stopped {
		if now.Sub(at) > stopMemory {
			delete(s.stopped, id)
		}
	}
	for sequence, at := range s.sent {
		if now.Sub(at) > stopMemory {
			delete(s.sent, sequence)
		}
	}
}

// parse reverses task.Identity.ID.
func parse(id string) (task.Identity, bool) {
	rest, attempt, ok := cutLast(id)
	if !ok {
		return task.Identity{}, false
	}
	job, number, ok := cutLast(rest)
	return task.Identity{Job: job, Task: number, Attempt: attempt, Shard: UnknownShard}, ok && job != ""
}

func cutLast(s string) (string, int, bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(s[i+1:])
	return s[:i], n, err == nil
}
