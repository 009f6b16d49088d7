package attendant

import (
	"context"
	"errors"
	"time"

	"bamboohook/internal/fleet/sleeper"
)

const (
	// listWait is how long a list waits for an end while something runs; latencies are fresh for half a second.
	busyListWait = 250 * time.Millisecond
	// idleWait is the same while nothing runs.
	idleListWait = 500 * time.Millisecond
	// listMargin is what a list may take beyond its wait.
	listTimeoutMargin = 700 * time.Millisecond
	// pendingPause is the time between lists while ends are not recorded: the endpoint then answers at once.
	pendingResultsPause = 20 * time.Millisecond
	// figuresAge is how old reported latencies may become.
	measurementInterval = 250 * time.Millisecond
	// listPause is the time between attempts after a failure.
	listRetryPause = 60 * time.Millisecond
	// absences is how many refused connections in sequence show that the endpoint process has ended.
	maxRefusedConnections = 3
	// fenceJump is how far the token rises if the endpoint has seen a higher one, of an earlier agent process.
	fencedTokenStep = 1000
)

// watch lists the endpoint over and over.
func (a *Attendant) listLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !a.list(ctx, a.listWait()) {
			sleeper.Sleep(ctx, listRetryPause)
		} else if a.hasPendingResults() {
			sleeper.Sleep(ctx, pendingResultsPause)
		}
	}
}

// pending reports whether the endpoint lists ends that it may not forget yet.
func (a *Attendant) hasPendingResults() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.results) > 0
}

func (a *Attendant) listWait() time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	switch {
	case !a.listed:
		return 0
	case len(a.runs) == 0:
		return idleListWait
	}
	return busyListWait
}

// list asks the endpoint once what runs, renews leases if granted, and reports whether it answered.
func (a *Attendant) list(ctx context.Context, wait time.Duration) bool {
	a.mutex.Lock()
	sentAt := a.Clock.Now()
	q := Query{Token: a.token, RecordedSequence: a.recordedSequence, Wait: wait}
	if a.heartbeat.Incarnation == a.incarnation {
		q.Endpoint = a.heartbeat.ID
	}
	if a.listed && sentAt.Before(a.grantUntil) {
		q.Deadline = a.leaseDeadline(sentAt)
	}
	a.mutex.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, wait+listTimeoutMargin)
	defer cancel()
	listing, err := a.Endpoint.List(callCtx, q)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if err != nil {
		a.handleListError(err, q)
		return false
	}
	if a.refusedConnections >= maxRefusedConnections {
		a.Log.Info().Int64("life", listing.Incarnation).Msg("endpoint answers again")
	}
	a.refusedConnections = 0
	a.applyListing(listing, q, sentAt)
	return true
}

// deadline returns the end of a lease that begins now, on the endpoint's clock.
func (a *Attendant) leaseDeadline(now time.Time) int64 {
	return a.endpointClock + now.Sub(a.endpointClockReadAt).Milliseconds() + a.Leases.Run.Milliseconds()
}

func (a *Attendant) handleListError(err error, q Query) {
	switch {
	case errors.Is(err, ErrFenced):
		a.token = max(a.token, q.Token+fencedTokenStep)
		return
	case errors.Is(err, ErrOtherIncarnation):
		// The next heartbeat names the new process; until then any is accepted.
		a.heartbeat.ID = ""
		return
	case !errors.Is(err, ErrNotListening):
		a.refusedConnections = 0
		a.Log.Warn().Err(err).Int64("life", a.incarnation).Msg("endpoint does not answer")
		return
	}
	a.refusedConnections++
	if a.refusedConnections != maxRefusedConnections {
		return
	}
	a.Log.Warn().Int64("life", a.incarnation).Int("runs", len(a.runs)).Msg("endpoint has ended")
	// Its ends stay listed: if it was the same process after all, it expects them to be taken.
	for name, x := range a.runs {
		// A start under way may still reach the process that comes next.
		if x.phase == phaseRunning {
			delete(a.runs, name)
		}
	}
	a.requestReport()
}

// absorb takes over a listing that was asked for at the time.
func (a *Attendant) applyListing(l Listing, q Query, sentAt time.Time) {
	if sentAt.Before(a.lastListSent) {
		// A later list has overtaken this one, which may be of a time before its runs started.
		return
	}
	a.lastListSent = sentAt
	a.endpointClock, a.endpointClockReadAt = l.Clock, a.Clock.Now()
	if l.Incarnation != a.incarnation {
		a.Log.Info().Int64("life", l.Incarnation).Int64("before", a.incarnation).Int("runs", len(l.Runs)).Msg("endpoint process found")
		a.incarnation, a.listed, a.recordedSequence, a.lastResultSequence = l.Incarnation, false, 0, 0
		a.runs, a.stoppedNumbers, a.results = map[string]*run{}, map[string]int{}, nil
		// Orders that are still under way carry a lower token, so the list that follows is final.
		a.token++
		return
	}
	finished := map[string]int{}
	for _, e := range l.Results {
		if e.Sequence <= a.lastResultSequence {
			continue
		}
		a.lastResultSequence = e.Sequence
		finished[e.Task] = max(finished[e.Task], e.Number)
		a.results = append(a.results, e)
		if x, ok := a.runs[e.Task]; ok && x.Number <= e.Number {
			delete(a.runs, e.Task)
		}
	}
	listed := map[string]struct{}{}
	for _, row := range l.Runs {
		listed[row.Task] = struct{}{}
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
		if _, ok := listed[name]; !ok && x.provenGone(q, sentAt) {
			delete(a.runs, name)
		}
	}
	now := a.Clock.Now()
	changed := len(finished) > 0 || !a.listed || len(a.runs) > 0 && now.Sub(a.measurementsReportedAt) >= measurementInterval
	a.listed = true
	if changed {
		a.measurementsReportedAt = now
		a.requestReport()
	}
}

// decided reports whether a list that does not show the run proves that it does not run.
func (x *run) provenGone(q Query, sentAt time.Time) bool {
	switch x.phase {
	case phaseRunning:
		return sentAt.After(x.confirmedAt)
	case phaseUnclear:
		return q.Token >= x.decisiveToken
	}
	return false
}
