package attendant

import (
	"context"
	"errors"
	"time"

	"bamboohook/internal/fleet/sleeper"
)

const (
	// listWait is how long a list waits for an end while something runs; latencies are fresh for half a second.
	listWait = 250 * time.Millisecond
	// idleWait is the same while nothing runs.
	idleWait = 500 * time.Millisecond
	// listMargin is what a list may take beyond its wait.
	listMargin = 700 * time.Millisecond
	// pendingPause is the time between lists while ends are not recorded: the endpoint then answers at once.
	pendingPause = 20 * time.Millisecond
	// figuresAge is how old reported latencies may become.
	figuresAge = 250 * time.Millisecond
	// listPause is the time between attempts after a failure.
	listPause = 60 * time.Millisecond
	// absences is how many refused connections in sequence show that the endpoint process has ended.
	absences = 3
	// fenceJump is how far the token rises if the endpoint has seen a higher one, of an earlier agent process.
	fenceJump = 1000
)

// watch lists the endpoint over and over.
func (a *Attendant) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if !a.list(ctx, a.wait()) {
			sleeper.Sleep(ctx, listPause)
		} else if a.pending() {
			sleeper.Sleep(ctx, pendingPause)
		}
	}
}

// pending reports whether the endpoint lists ends that it may not forget yet.
func (a *Attendant) pending() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.ends) > 0
}

func (a *Attendant) wait() time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	switch {
	case !a.listed:
		return 0
	case len(a.runs) == 0:
		return idleWait
	}
	return listWait
}

// list asks the endpoint once what runs, renews leases if granted, and reports whether it answered.
func (a *Attendant) list(ctx context.Context, wait time.Duration) bool {
	a.mutex.Lock()
	sent := a.Clock.Now()
	q := Query{Token: a.token, RecordedSequence: a.recorded, Wait: wait}
	if a.description.Incarnation == a.life {
		q.Endpoint = a.description.ID
	}
	if a.listed && sent.Before(a.grantUntil) {
		q.Deadline = a.deadline(sent)
	}
	a.mutex.Unlock()
	call, cancel := context.WithTimeout(ctx, wait+listMargin)
	defer cancel()
	listing, err := a.Endpoint.List(call, q)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if err != nil {
		a.unanswered(err, q)
		return false
	}
	if a.absent >= absences {
		a.Log.Info().Int64("life", listing.Incarnation).Msg("endpoint answers again")
	}
	a.absent = 0
	a.absorb(listing, q, sent)
	return true
}

// deadline returns the end of a lease that begins now, on the endpoint's clock.
func (a *Attendant) deadline(now time.Time) int64 {
	return a.clock + now.Sub(a.clockAt).Milliseconds() + a.Leases.Run.Milliseconds()
}

func (a *Attendant) unanswered(err error, q Query) {
	switch {
	case errors.Is(err, ErrFenced):
		a.token = max(a.token, q.Token+fenceJump)
		return
	case errors.Is(err, ErrOtherIncarnation):
		// The next heartbeat names the new process; until then any is accepted.
		a.description.ID = ""
		return
	case !errors.Is(err, ErrNotListening):
		a.absent = 0
		a.Log.Warn().Err(err).Int64("life", a.life).Msg("endpoint does not answer")
		return
	}
	a.absent++
	if a.absent != absences {
		return
	}
	a.Log.Warn().Int64("life", a.life).Int("runs", len(a.runs)).Msg("endpoint has ended")
	// Its ends stay listed: if it was the same process after all, it expects them to be taken.
	for name, x := range a.runs {
		// A start under way may still reach the process that comes next.
		if x.phase == phaseRunning {
			delete(a.runs, name)
		}
	}
	a.kick()
}

// absorb takes over a listing that was asked for at the time.
func (a *Attendant) absorb(l Listing, q Query, sent time.Time) {
	if sent.Before(a.listSent) {
		// A later list has overtaken this one, which may be of a time before its runs started.
		return
	}
	a.listSent = sent
	a.clock, a.clockAt = l.Clock, a.Clock.Now()
	if l.Incarnation != a.life {
		a.Log.Info().Int64("life", l.Incarnation).Int64("before", a.life).Int("runs", len(l.Runs)).Msg("endpoint process found")
		a.life, a.listed, a.recorded, a.lastEnd = l.Incarnation, false, 0, 0
		a.runs, a.stopped, a.ends = map[string]*run{}, map[string]int{}, nil
		// Orders that are still under way carry a lower token, so the list that follows is final.
		a.token++
		return
	}
	ended := map[string]int{}
	for _, e := range l.Results {
		if e.Sequence <= a.lastEnd {
			continue
		}
		a.lastEnd = e.Sequence
		ended[e.Task] = max(ended[e.Task], e.Number)
		a.ends = append(a.ends, e)
		if x, ok := a.runs[e.Task]; ok && x.Number <= e.Number {
			delete(a.runs, e.Task)
		}
	}
	shown := map[string]struct{}{}
	for _, row := range l.Runs {
		shown[row.Task] = struct{}{}
		x, ok := a.runs[row.Task]
		if !ok || x.Number < row.Number {
			x = &run{}
			a.runs[row.Task] = x
		}
		if x.Number <= row.Number {
			x.Run, x.phase = row, phaseRunning
		}
	}
	for name, x := range a.runs {
		if _, ok := shown[name]; !ok && x.decided(q, sent) {
			delete(a.runs, name)
		}
	}
	now := a.Clock.Now()
	changed := len(ended) > 0 || !a.listed || len(a.runs) > 0 && now.Sub(a.figuresAt) >= figuresAge
	a.listed = true
	if changed {
		a.figuresAt = now
		a.kick()
	}
}

// decided reports whether a list that does not show the run proves that it does not run.
func (x *run) decided(q Query, sent time.Time) bool {
	switch x.phase {
	case phaseRunning:
		return sent.After(x.answeredAt)
	case phaseUnclear:
		return q.Token >= x.fence
	}
	return false
}
