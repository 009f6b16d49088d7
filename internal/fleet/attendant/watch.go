package attendant

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/internal/fleet/sleeper"
)

const (
	// busyListWait is how long the endpoint may delay its response to a list request until a run ends, if it has runs. It is short
	// because the endpoint's latency measurements are valid for half a second.
	busyListWait = 250 * time.Millisecond
	// idleListWait is how long the endpoint may delay its response to a list request if it has no runs.
	idleListWait = 500 * time.Millisecond
	// listTimeoutMargin is added to the permitted delay of the response to get the timeout of a list request.
	listTimeoutMargin = 700 * time.Millisecond
	// listRepeatFactor is the multiple of the usual time of a response after which a list request is overdue, maxListRepeatInterval the longest such time.
	// listDelaySamples is the number of responses over which that time is averaged.
	listRepeatFactor      = 2
	maxListRepeatInterval = listTimeoutMargin
	listDelaySamples      = 4
	// pendingResultsPause is the time between list requests while the owner has not recorded all run results. The endpoint doesn't
	// delay its responses to these requests, because it still has results to list.
	pendingResultsPause = 20 * time.Millisecond
	// measurementReportInterval is the minimum time between a report caused by a listing and the next report that only new measurements
	// cause.
	measurementReportInterval = 250 * time.Millisecond
	// listRetryPause is the time until the next list request after one has failed.
	listRetryPause = 60 * time.Millisecond
	// maxRefusedConnections is the number of list requests in a row with a refused connection after which the endpoint process counts
	// as ended.
	maxRefusedConnections = 3
	// stopMargin is added to the time that a stop takes at most, for the error of the endpoint's clock.
	stopMargin = 100 * time.Millisecond
	// unlistedPause is the time between list requests while the runs are not listed, for example because the owner has not numbered the agent
	// process yet.
	unlistedPause = 20 * time.Millisecond
	// maxDiscards limits the list requests without an answer that are kept. Those of one token have the same effect.
	maxDiscards = 64
	// leaseMargin is added to the duration of a lease to get the time after which the endpoint has certainly ended the run: its clock may be
	// slow, and timers are late.
	leaseMargin = 500 * time.Millisecond
	// maxClockSlownessPercent is by how many percent at most the endpoint's clock runs slower than the agent's.
	maxClockSlownessPercent = 2
)

// errUnanswered reports that a list request has reached its timeout.
var errUnanswered = eris.New("attendant: no answer to a list request")

// listLoop sends list requests to the endpoint until ctx is done. It sends the next one when the previous one has been answered or is overdue.
func (a *Attendant) listLoop(ctx context.Context) {
	for ctx.Err() == nil {
		switch {
		case a.tokenRejected():
			// The owner will give this process a higher one.
			sleeper.Sleep(ctx, unlistedPause)
		case !a.listUntilAnswered(ctx, a.listWait()):
			sleeper.Sleep(ctx, listRetryPause)
		case !a.hasListed():
			sleeper.Sleep(ctx, unlistedPause)
		case a.hasPendingResults():
			sleeper.Sleep(ctx, pendingResultsPause)
		}
	}
}

// requestedListLoop sends a list request whenever requestList was called, until ctx is done. It does not wait for the list request of listLoop,
// to which the endpoint may delay its response.
func (a *Attendant) requestedListLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.listRequests:
			a.listUntilAnswered(ctx, 0)
		}
	}
}

// tokenRejected reports whether the endpoint process has rejected the current fencing token because it has seen a higher one.
func (a *Attendant) tokenRejected() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.fencingToken <= a.rejectedToken
}

// hasListed reports whether the runs of the endpoint process are known.
func (a *Attendant) hasListed() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.listed
}

// hasPendingResults reports whether the endpoint still lists run results, because the owner has not recorded them yet or because they cannot be
// read.
func (a *Attendant) hasPendingResults() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.pendingResults) > 0 || a.unreadableResults
}

// listWait returns how long the endpoint may delay its response to the next list request.
func (a *Attendant) listWait() time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	switch {
	case !a.listed || a.endpointOverdue(a.Clock.Now()) || a.mayAcknowledge() && a.recordedSequence > a.acknowledgedSequence:
		return 0
	case len(a.runs) == 0:
		return idleListWait
	}
	return busyListWait
}

// endpointOverdue reports whether the endpoint has not responded for the duration of a grant. The agent then renews no leases and executes no
// starts, so that the leases of a silent endpoint expire. The caller holds the mutex.
func (a *Attendant) endpointOverdue(now time.Time) bool {
	return now.Sub(a.lastResponseAt) > a.LeaseDurations.Grant
}

// mayAcknowledge reports whether a list request may tell the endpoint which results are recorded. Another process numbers its results anew and must not
// discard any. It may have the same ID, but it has no results if all starts ended before the last listing was requested. The caller holds the mutex.
func (a *Attendant) mayAcknowledge() bool {
	return a.heartbeat.Incarnation == a.incarnation && a.heartbeat.EndpointID != "" && a.lastStartEndedAt.Before(a.lastAppliedRequestAt) && !a.isStarting()
}

// listUntilAnswered sends a list request. While it is overdue, which is listRepeatInterval after the permitted delay of the response, it sends another one
// each listRepeatInterval, until one of them is answered or has failed. The endpoint answers the further ones without a delay. As each request has a
// timeout, at most a few more than listTimeoutMargin/repeatInterval are in progress. It reports whether a request succeeded.
func (a *Attendant) listUntilAnswered(ctx context.Context, wait time.Duration) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	errs := make(chan error)
	send := func(wait time.Duration) {
		a.listCalls.Go(func() {
			err := a.list(ctx, wait)
			select {
			case errs <- err:
			case <-ctx.Done():
			}
		})
	}
	timer := time.NewTimer(wait + a.listRepeatInterval())
	defer timer.Stop()
	send(wait)
	for {
		select {
		case <-ctx.Done():
			return false
		case err := <-errs:
			if !errors.Is(err, errUnanswered) {
				return err == nil
			}
		case <-timer.C:
			send(0)
			timer.Reset(a.listRepeatInterval())
		}
	}
}

// listRepeatInterval returns the time after which a list request is overdue. While the endpoint is slow, it is a multiple of the usual time of a response, so that
// repeated requests do not make the endpoint slower.
func (a *Attendant) listRepeatInterval() time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return min(max(repeatInterval, listRepeatFactor*a.listDelay), maxListRepeatInterval)
}

// observeListDelay updates how long the endpoint takes for lists from the duration of a list request that it was permitted to delay by wait. If it responded
// within that time, it is not known how much of that was the permitted delay. The caller holds the mutex.
func (a *Attendant) observeListDelay(took, wait time.Duration) {
	if took < wait {
		return
	}
	a.listDelay += (took - wait - a.listDelay) / listDelaySamples
}

// list sends one list request, which renews the leases if the agent has a grant, and applies the response. After its timeout it returns errUnanswered.
func (a *Attendant) list(ctx context.Context, wait time.Duration) error {
	a.mutex.Lock()
	sentAt := a.Clock.Now()
	q := ListQuery{FencingToken: a.fencingToken, MaxWait: wait, KnownSequence: a.lastResultSequence}
	if a.heartbeat.Incarnation == a.incarnation && a.heartbeat.EndpointID != "" {
		q.EndpointID = a.heartbeat.EndpointID
		// A request that the endpoint may delay could wait at the next process with the same ID, and make it discard results that it gets meanwhile.
		if wait == 0 && a.mayAcknowledge() {
			q.RecordedSequence = a.recordedSequence
		}
	}
	if a.listed && sentAt.Before(a.grantedUntil) && !a.endpointOverdue(sentAt) {
		q.DeadlineMS, a.lastLeaseAt = a.leaseDeadlineMS(sentAt), sentAt
	}
	d := a.beginDiscard(q)
	a.mutex.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, wait+listTimeoutMargin)
	defer cancel()
	listing, err := a.Endpoint.List(callCtx, q)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if err == nil || errors.Is(err, ErrFenced) || errors.Is(err, ErrOtherIncarnation) {
		a.endDiscard(d)
	}
	// A process that was suspended may read a response that arrived long ago. What it says is outdated.
	late := err == nil && a.Clock.Now().Sub(sentAt) > wait+listTimeoutMargin
	if late {
		err = errUnanswered
	}
	if err != nil && ctx.Err() != nil {
		// Another request has been answered, or the agent ends.
		return err
	}
	defer a.notifyListEnded()
	defer a.admitOrders()
	if err != nil {
		a.handleListError(err, q)
		a.mayBeReplaced = a.mayBeReplaced || !late && callCtx.Err() == nil
		if !errors.Is(err, ErrFenced) && !errors.Is(err, ErrOtherIncarnation) && !errors.Is(err, ErrNotListening) {
			// The endpoint has not responded, whether the request has reached its timeout, could not be sent or has failed.
			a.checkSilence(sentAt)
		}
		if late || callCtx.Err() != nil {
			return errUnanswered
		}
		return err
	}
	a.lastResponseAt, a.mayBeReplaced = a.Clock.Now(), false
	a.observeListDelay(a.lastResponseAt.Sub(sentAt), wait)
	if a.silent {
		a.silent = false
		a.renewGeneration("the endpoint responds again after the leases of its runs have expired")
	}
	if q.RecordedSequence > 0 && listing.Incarnation == a.incarnation {
		a.acknowledgedSequence = max(a.acknowledgedSequence, q.RecordedSequence)
		a.acknowledgementDueSince = a.lastResponseAt
	}
	if a.refusedConnections >= maxRefusedConnections {
		a.Log.Info().Int64("life", listing.Incarnation).Msg("endpoint is reachable again")
	}
	a.refusedConnections = 0
	a.applyListing(listing, q, sentAt)
	return nil
}

// checkSilence handles a list request without a response that was sent at sentAt. If it was sent when all leases had expired, no run is at work at the
// endpoint, and the agent reports so. The caller holds the mutex.
func (a *Attendant) checkSilence(sentAt time.Time) {
	if a.silent || !a.endpointOverdue(sentAt) || !a.leasesExpired(sentAt) {
		return
	}
	a.Log.Warn().Int64("life", a.incarnation).Dur("silence", a.Clock.Now().Sub(a.lastResponseAt)).Dur("since-renewal", a.Clock.Now().Sub(a.lastLeaseAt)).
		Int("runs", len(a.runs)).Msg("endpoint is silent; the leases of its runs have expired")
	a.Meter.Count("endpoint-silent")
	a.silent, a.listed = true, false
	a.dropConfirmedRuns()
	a.dropExpiredStarts(sentAt)
	a.requestReport()
}

// leasesExpired reports whether all leases that the agent has asked for have certainly expired at the time. The caller holds the mutex.
func (a *Attendant) leasesExpired(now time.Time) bool {
	lease := a.LeaseDurations.Run
	if a.mayBeReplaced {
		lease = max(lease, a.LeaseDurations.Longest)
	}
	return now.Sub(a.lastLeaseAt) > lease+leaseMargin
}

// dropConfirmedRuns removes the runs that the endpoint has confirmed, after they have certainly ended. A start in progress may still reach the next
// endpoint process. The caller holds the mutex.
func (a *Attendant) dropConfirmedRuns() {
	a.unnamedRuns, a.allRunsKnown = false, false
	for task, x := range a.runs {
		if x.phase == phaseRunning {
			delete(a.runs, task)
		}
	}
}

// dropExpiredStarts removes the runs whose starts were not answered, if the leases of all starts had expired at the time: the endpoint then executes none
// of them any more. The owner knows how long one of them may reach the next endpoint process. The caller holds the mutex.
func (a *Attendant) dropExpiredStarts(now time.Time) {
	if !a.leasesExpired(now) {
		return
	}
	for task, x := range a.runs {
		if x.phase == phaseUnknown {
			a.Log.Warn().Str("task", task).Int("run", x.Number).Int64("life", a.incarnation).Dur("since-renewal", now.Sub(a.lastLeaseAt)).
				Msg("start without an answer counts as expired, since the endpoint does not respond")
			delete(a.runs, task)
			a.requestReport()
		}
	}
}

// discard is a list request that makes the endpoint forget results and has not been answered. It may not have reached the endpoint yet, and then reach the
// next process with the same ID.
type discard struct{ token uint64 }

// beginDiscard adds the list request to the discards if it makes the endpoint forget results, and returns nil otherwise. The caller holds the mutex.
func (a *Attendant) beginDiscard(q ListQuery) *discard {
	if q.RecordedSequence == 0 {
		return nil
	}
	d := &discard{q.FencingToken}
	if len(a.discards) == maxDiscards {
		// The others of its token have the same effect.
		a.discards = slices.Delete(a.discards, 1, 2)
	}
	a.discards = append(a.discards, d)
	return d
}

// endDiscard removes a list request that cannot be carried out later. d may be nil. The caller holds the mutex.
func (a *Attendant) endDiscard(d *discard) {
	a.discards = slices.DeleteFunc(a.discards, func(other *discard) bool { return other == d })
}

// fenceDiscards raises the token above those of unanswered list requests that make the endpoint forget results, so that no process carries them out after a
// start with that token. The caller holds the mutex.
func (a *Attendant) fenceDiscards() {
	if slices.ContainsFunc(a.discards, func(d *discard) bool { return d.token == a.fencingToken }) {
		a.raiseToken()
	}
	a.discards = slices.DeleteFunc(a.discards, func(d *discard) bool { return d.token < a.fencingToken })
}

// notifyListEnded wakes those who wait for the end of a list request. The caller holds the mutex.
func (a *Attendant) notifyListEnded() {
	close(a.listEnded)
	a.listEnded = make(chan struct{})
}

// isStarting reports whether a call to start a run is in progress. The caller holds the mutex.
func (a *Attendant) isStarting() bool {
	if a.startsInProgress > 0 {
		return true
	}
	for _, x := range a.runs {
		if x.phase == phaseStarting && !x.queued {
			return true
		}
	}
	return false
}

// leaseDeadlineMS returns when a lease that begins now expires, in milliseconds on the endpoint's clock. The caller holds the mutex.
func (a *Attendant) leaseDeadlineMS(now time.Time) int64 {
	// With the slowest permitted clock since its last reading, the lease is never longer than the owner expects, however old the reading is.
	leastElapsed := now.Sub(a.endpointClockReadAt) * (100 - maxClockSlownessPercent) / 100
	return a.endpointClockMS + leastElapsed.Milliseconds() + a.LeaseDurations.Run.Milliseconds()
}

// handleListError updates the state after the list request q has failed. The caller holds the mutex.
func (a *Attendant) handleListError(err error, q ListQuery) {
	switch {
	case errors.Is(err, ErrFenced):
		a.Log.Info().Uint64("token", q.FencingToken).Uint64("session", a.session).Int64("life", a.incarnation).
			Msg("endpoint has seen a higher fencing token")
		a.rejectedToken = max(a.rejectedToken, q.FencingToken)
		if a.session != 0 && a.fencingToken == q.FencingToken {
			a.owner = ""
			a.renewGeneration("another agent process has used a higher token")
		}
		return
	case errors.Is(err, ErrOtherIncarnation):
		// The next heartbeat contains the ID of the new endpoint process. Until then the list requests accept any process.
		a.heartbeat.EndpointID = ""
		return
	case !errors.Is(err, ErrNotListening):
		a.refusedConnections = 0
		a.Log.Warn().Err(err).Int64("life", a.incarnation).Msg("list request to the endpoint failed")
		return
	}
	a.refusedConnections++
	if a.refusedConnections >= maxRefusedConnections {
		a.dropExpiredStarts(a.Clock.Now())
	}
	if a.refusedConnections != maxRefusedConnections {
		return
	}
	a.Log.Warn().Int64("life", a.incarnation).Int("runs", len(a.runs)).Msg("endpoint refuses connections; its process counts as ended")
	// The pending run results are kept. If the same process still exists, it lists them again, but the agent skips results that it has
	// already seen.
	a.dropConfirmedRuns()
	a.requestReport()
}

// applyListing updates the state from a listing, which is the response to the list request q that was sent at sentAt. The caller holds the
// mutex.
func (a *Attendant) applyListing(l Listing, q ListQuery, sentAt time.Time) {
	if sentAt.Before(a.lastAppliedRequestAt) {
		// The response to a later list request has already been applied. This listing may have been composed before
		// the start of runs that the later one contains.
		return
	}
	a.lastAppliedRequestAt = sentAt
	a.endpointClockMS, a.endpointClockReadAt = l.ClockMS, a.Clock.Now()
	if l.Incarnation != a.incarnation {
		a.Log.Info().Int64("life", l.Incarnation).Int64("before", a.incarnation).Int("runs", len(l.Runs)).Msg("new endpoint process detected")
		a.incarnation, a.listed, a.recordedSequence, a.acknowledgedSequence, a.lastResultSequence = l.Incarnation, false, 0, 0, 0
		a.allRunsKnown, a.resultsMissing = false, false
		a.runs, a.highestStopped, a.pendingResults = map[string]*run{}, map[string]int{}, nil
		// Calls in progress carry a lower token, so the endpoint rejects them once it has received the next list request.
		a.raiseToken()
		if a.decisiveToken != math.MaxUint64 {
			a.decisiveToken = a.fencingToken
		}
		return
	}
	if q.FencingToken < a.decisiveToken {
		// A start with a token between the two may still take effect.
		return
	}
	newResults := map[string]int{}
	for _, r := range l.Results {
		if r.Sequence <= a.lastResultSequence {
			continue
		}
		a.lastResultSequence = r.Sequence
		newResults[r.Task] = max(newResults[r.Task], r.Number)
		a.pendingResults = append(a.pendingResults, r)
		if x, ok := a.runs[r.Task]; ok && x.Number <= r.Number {
			delete(a.runs, r.Task)
		}
	}
	if l.UnnamedRuns != a.unnamedRuns {
		a.Log.Warn().Int64("life", l.Incarnation).Bool("unnamed", l.UnnamedRuns).Int("runs", len(l.Runs)).Msg("runs without a readable task in the list have changed")
	}
	a.unreadableTasks, a.unreadableResults, a.unnamedRuns = l.UnreadableTasks, l.UnreadableResults, l.UnnamedRuns
	a.resultsMissing = l.ResultsMissing
	a.allRunsKnown = a.allRunsKnown || !l.UnnamedRuns
	listedTasks := map[string]struct{}{}
	for _, task := range l.UnreadableTasks {
		listedTasks[task] = struct{}{}
	}
	for _, listedRun := range l.Runs {
		listedTasks[listedRun.Task] = struct{}{}
		x, ok := a.runs[listedRun.Task]
		if !ok || x.Number < listedRun.Number {
			x = &run{}
			a.runs[listedRun.Task] = x
		}
		if x.Number <= listedRun.Number {
			if x.phase != phaseRunning {
				x.confirmedAt = a.Clock.Now()
			}
			x.Run, x.phase, x.unlisted = listedRun, phaseRunning, false
		}
	}
	for task, x := range a.runs {
		if l.ResultsMissing {
			// A run that is not listed may have ended.
			break
		}
		if _, ok := listedTasks[task]; !ok && x.isCertainlyAbsent(q, sentAt) {
			if l.UnnamedRuns && (x.stoppedAt.IsZero() || sentAt.Sub(x.stoppedAt) < a.StopTimeout+stopMargin) {
				// The row without a readable task may be that of the run.
				x.unlisted = true
				continue
			}
			x.absent = true
			delete(a.runs, task)
		}
	}
	now := a.Clock.Now()
	// A report that the timer of reportLoop has sent contained the measurements as well.
	newMeasurements := len(a.runs) > 0 && now.Sub(a.measurementsReportedAt) >= measurementReportInterval && now.Sub(a.reportedAt) >= a.ownerReportInterval
	changed := len(newResults) > 0 || !a.listed || newMeasurements
	if !a.listed {
		a.Log.Info().Int64("life", l.Incarnation).Uint64("token", q.FencingToken).Int("runs", len(l.Runs)).Int("results", len(l.Results)).
			Msg("first complete list of runs")
	}
	a.listed = true
	if changed {
		a.measurementsReportedAt = now
		a.requestReport()
	}
}

// isCertainlyAbsent reports whether a run that is missing from the response to the list request q, which was sent at sentAt, is certainly
// not at the endpoint.
func (x *run) isCertainlyAbsent(q ListQuery, sentAt time.Time) bool {
	switch x.phase {
	case phaseRunning:
		return sentAt.After(x.confirmedAt)
	case phaseUnknown:
		return q.FencingToken >= x.decisiveToken
	}
	return false
}
