package attendant

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/internal/fleet/messenger"
	"bamboohook/resource"
)

const (
	// endpointCallTimeout bounds the calls for one stop or pace, after the wait for their turn. It is short because the endpoint runs on the same VM.
	endpointCallTimeout = 350 * time.Millisecond
	// startTimeout bounds the wait of a start for its turn and the calls for it, and unknownStartTimeout the wait for a listing that shows whether a start
	// without an answer took effect. Together they are shorter than the time for which the owner waits for the response to its orders.
	startTimeout        = 500 * time.Millisecond
	unknownStartTimeout = 400 * time.Millisecond
	// maxStartOrderAge is the highest age of the report on which orders with starts are based. With startTimeout it is half a second less than the time after
	// which no task of a cancelled job may start.
	maxStartOrderAge = 2 * time.Second
)

// Reasons for rejecting orders or refusing starts. ReasonEndpointRefused and ReasonNotRunning are reserved: the agent never returns them.
const (
	ReasonOlderEpoch       = "older-epoch"
	ReasonOtherSession     = "other-agent-process"
	ReasonOtherIncarnation = "other-life"
	ReasonNotListed        = "not-listed"
	ReasonEntrySilent      = "entry-silent"
	ReasonStaleReport      = "report-too-old"
	ReasonNoGrant          = "no-grant"
	ReasonEndpointSilent   = "endpoint-silent"
	ReasonDraining         = "draining"
	ReasonEvacuated        = messenger.ReasonEvacuated
	ReasonNoCapacity       = "no-room"
	ReasonOtherRun         = "other-run"
	ReasonStopped          = "stopped"
	ReasonEndpointBusy     = messenger.ReasonEndpointBusy
	ReasonEndpointRefused  = "endpoint-refused"
	ReasonNotRunning       = "not-running"
)

var (
	// errEvacuated reports that no start may be sent to the endpoint because its data centre is evacuated.
	errEvacuated = eris.New("attendant: the data centre is evacuated")
	// errStopped reports that no start of the run may be sent to the endpoint because the run was ordered to stop.
	errStopped = eris.New("attendant: the run was ordered to stop")
	// errSuperseded reports that a later order for the pace of the same run has arrived.
	errSuperseded = eris.New("attendant: a later pace has been ordered")
)

// HandleOrders executes the orders of an owner and returns when all of its calls to the endpoint have ended. It rejects all of the orders
// if the owner's epoch is lower than the highest known one, if they are meant for another agent process or refer to another endpoint process,
// or if the agent hasn't received a complete list of the runs from this process yet. It also rejects all of them if they contain starts and are based on an old report, or if they
// contain starts while the agent has no grant to renew leases, while the endpoint does not respond, or while an entry that it doesn't reach may be a newer owner.
func (a *Attendant) HandleOrders(ctx context.Context, o messenger.Orders) messenger.OrdersResponse {
	a.mutex.Lock()
	reason := a.checkOrders(o)
	response := messenger.OrdersResponse{Accepted: reason == "", Reason: reason, Epoch: a.epoch}
	a.mutex.Unlock()
	if reason != "" {
		if len(o.Starts) > 0 {
			a.Log.Info().Str("reason", reason).Uint64("epoch", o.Epoch).Str("owner", o.Owner).Int("starts", len(o.Starts)).Msg("orders rejected")
		}
		return response
	}
	var group sync.WaitGroup
	outcomes := make([]messenger.StartOutcome, len(o.Starts))
	stopsConfirmed := make([]bool, len(o.Stops))
	for n, s := range o.Starts {
		group.Go(func() { outcomes[n] = a.start(ctx, o, s) })
	}
	for n, s := range o.Stops {
		group.Go(func() { stopsConfirmed[n] = a.stop(ctx, o, s) })
	}
	pacesSet := make([]bool, len(o.Paces))
	for n, p := range o.Paces {
		group.Go(func() { pacesSet[n] = a.setPace(ctx, p) })
	}
	group.Wait()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	response.Starts, response.Sequence = outcomes, a.reportSequence+1
	for n, s := range o.Stops {
		if stopsConfirmed[n] {
			response.Stopped = append(response.Stopped, s)
		}
	}
	for n, p := range o.Paces {
		if !pacesSet[n] {
			response.UnsetPaces = append(response.UnsetPaces, p)
		}
	}
	return response
}

// checkOrders stores the owner if its epoch is higher than the known one, and requests a report to it. It returns the reason for rejecting
// all of the orders, or "" if they are acceptable. The caller holds the mutex.
func (a *Attendant) checkOrders(o messenger.Orders) string {
	now := a.Clock.Now()
	if o.Epoch < a.epoch {
		return ReasonOlderEpoch
	}
	if o.Epoch > a.epoch {
		a.observeOwner(o.Epoch, o.Owner)
		a.requestReport()
	}
	switch {
	case o.Session != a.session || a.session == 0:
		return ReasonOtherSession
	case o.Incarnation != a.incarnation:
		return ReasonOtherIncarnation
	case !a.listed:
		return ReasonNotListed
	case len(o.Starts) == 0:
		return ""
	}
	if o.OwnerConfirmed {
		a.acceptStarts("orders")
	}
	switch {
	case now.Before(a.startsRefusedUntil):
		return ReasonEntrySilent
	case a.millisSinceProcessStart(now)-o.ReportSentMS > min(maxStartOrderAge, a.LeaseDurations.Grant).Milliseconds():
		return ReasonStaleReport
	case !now.Before(a.grantedUntil):
		return ReasonNoGrant
	case a.endpointOverdue(now):
		return ReasonEndpointSilent
	}
	return ""
}

// start sends a start to the endpoint, repeats it if necessary, and determines its outcome.
func (a *Attendant) start(ctx context.Context, o messenger.Orders, s messenger.Start) messenger.StartOutcome {
	outcome := messenger.StartOutcome{Task: s.Task, Number: s.Number, Outcome: messenger.StartRefused}
	x, immediateOutcome, reason := a.reserveCapacity(o, s)
	if x == nil {
		outcome.Outcome, outcome.Reason = immediateOutcome, reason
		return outcome
	}
	sendCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if !a.awaitTurn(ctx, x) {
		a.refuseQueuedStart(x)
		outcome.Reason = ReasonEndpointBusy
		return outcome
	}
	startedAt := a.Clock.Now()
	unanswered, err := a.sendStarts(sendCtx, x, s)
	a.endTurn(startedAt, err)
	a.mutex.Lock()
	x.startUnanswered = unanswered
	switch {
	case err == nil:
		x.phase, x.confirmedAt = phaseRunning, a.Clock.Now()
		outcome.Outcome = messenger.StartDone
	case isFinalRejection(err) && !unanswered:
		// The start counts as refused only if the other copies certainly had no effect. A copy without a response may have started the
		// run, and the endpoint then rejects the others.
		a.removeRun(x)
		outcome.Reason = err.Error()
		switch {
		case errors.Is(err, errEvacuated):
			outcome.Reason = ReasonEvacuated
			a.countEvacuationRefusal(s)
		case errors.Is(err, errStopped):
			outcome.Reason = ReasonStopped
		}
	default:
		// The next list request carries a higher fencing token than all copies, which keeps the endpoint from executing them later. Its
		// response therefore shows whether the run exists.
		x.phase, x.decisiveToken = phaseUnknown, a.fencingToken
		a.Log.Warn().Err(err).Str("task", s.Task).Int("run", s.Number).Uint64("token", a.fencingToken).Msg("outcome of the start is unknown")
	}
	unknown := x.phase == phaseUnknown
	a.Log.Info().Str("task", s.Task).Int("run", s.Number).Int64("life", a.incarnation).Uint64("token", a.fencingToken).Bool("unknown", unknown).
		AnErr("error", err).Msg("start calls to the endpoint have ended")
	a.mutex.Unlock()
	if unknown {
		return a.resolveUnknownStart(ctx, x, outcome)
	}
	return outcome
}

// isFinalRejection reports whether err proves that a call to the endpoint has no effect and need not be repeated. It returns false for
// ErrFenced, after which the call is repeated with a higher token.
func isFinalRejection(err error) bool {
	return errors.Is(err, ErrRefused) || errors.Is(err, ErrOtherIncarnation) || errors.Is(err, ErrNotListening) || errors.Is(err, errEvacuated) ||
		errors.Is(err, errStopped)
}

// reserveCapacity reserves capacity for a run that o orders. If the start must not be sent to the endpoint, it returns nil and the outcome and reason of
// the start.
func (a *Attendant) reserveCapacity(o messenger.Orders, s messenger.Start) (reserved *run, outcome, reason string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if o.Epoch != a.epoch || o.Session != a.session || o.Incarnation != a.incarnation || !a.listed {
		// Another owner or process may have become current since the orders were checked, and the runs may have been reported to it.
		return nil, messenger.StartRefused, ReasonOtherSession
	}
	if x, ok := a.runs[s.Task]; ok {
		switch {
		case x.Number != s.Number:
			return nil, messenger.StartRefused, ReasonOtherRun
		case x.phase == phaseRunning:
			return nil, messenger.StartDone, ""
		}
		// An earlier copy of the same order is still in progress, so the outcome is unknown. The reason is the same as for another
		// run of the task.
		return nil, messenger.StartUnknown, ReasonOtherRun
	}
	for _, r := range a.pendingResults {
		if r.Task == s.Task && r.Number == s.Number {
			return nil, messenger.StartDone, ""
		}
	}
	if a.highestStopped[s.Task] >= s.Number {
		return nil, messenger.StartRefused, ReasonStopped
	}
	if a.evacuated {
		a.countEvacuationRefusal(s)
		return nil, messenger.StartRefused, ReasonEvacuated
	}
	// Without a heartbeat of the current endpoint process its capacity is unknown. The reason is then the same as for a draining endpoint.
	if a.heartbeat.Draining || a.deregistered || a.heartbeat.Incarnation != a.incarnation || a.heartbeat.EndpointID == "" {
		return nil, messenger.StartRefused, ReasonDraining
	}
	freeCapacity := a.heartbeat.Capacity
	for _, x := range a.runs {
		freeCapacity = freeCapacity.Sub(reservedSize(x.size, x.bestEffort))
	}
	if !reservedSize(s.Size, s.BestEffort).Fits(freeCapacity) {
		return nil, messenger.StartRefused, ReasonNoCapacity
	}
	x := &run{Run: messenger.Run{Task: s.Task, Number: s.Number, Checkpoint: s.Checkpoint}, size: s.Size, bestEffort: s.BestEffort, queued: true}
	a.runs[s.Task] = x
	return x, "", ""
}

// awaitTurn waits until an order may call the endpoint. x is the run to start, or nil for other orders. If that takes longer than turnTimeout, it returns
// false. Otherwise the caller must call endTurn.
func (a *Attendant) awaitTurn(ctx context.Context, x *run) bool {
	a.mutex.Lock()
	turn := a.callQueue.enter(x != nil)
	a.admitOrders()
	a.mutex.Unlock()
	timer := time.NewTimer(turnTimeout)
	defer timer.Stop()
	select {
	case <-turn:
	case <-timer.C:
	case <-ctx.Done():
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.callQueue.abandon(turn) {
		return false
	}
	if x != nil {
		x.queued = false
	}
	return true
}

// endTurn ends the turn of an order whose first call was sent at startedAt. err is its outcome.
func (a *Attendant) endTurn(startedAt time.Time, err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	q := &a.callQueue
	if q.leave(err == nil, startedAt, a.Clock.Now()) {
		a.Meter.Count("order-window-shrunk")
		a.Log.Info().Dur("answer-time", q.answerTime).Int("window", q.window.Window()).Int("starts-waiting", len(q.starts)).Int("others-waiting", len(q.others)).
			Int("runs", len(a.runs)).Msg("endpoint answers late; fewer orders at a time")
	}
	a.admitOrders()
}

// admitOrders gives turns to waiting orders. The caller holds the mutex.
func (a *Attendant) admitOrders() {
	holds := a.holdsStarts(a.Clock.Now())
	a.callQueue.admit(holds)
	if holds && len(a.callQueue.starts) > 0 && a.heartbeat.EndpointID != "" && !a.isStarting() {
		// The next list makes an acknowledgement possible.
		a.requestList()
	}
}

// holdsStarts reports whether no start may be sent, so that recorded results can be acknowledged. An endpoint that lists a limited number of results lists no
// further ones before. The caller holds the mutex.
func (a *Attendant) holdsStarts(now time.Time) bool {
	if a.recordedSequence <= a.acknowledgedSequence {
		return false
	}
	return now.Sub(a.acknowledgementDueSince)%(maxAcknowledgementDelay+startHold) >= maxAcknowledgementDelay
}

// refuseQueuedStart removes a run whose start has not been sent to the endpoint.
func (a *Attendant) refuseQueuedStart(x *run) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.removeRun(x)
	a.Meter.Count("starts-refused-busy")
	a.Log.Info().Str("task", x.Task).Int("run", x.Number).Int("window", a.callQueue.window.Window()).Dur("answer-time", a.callQueue.answerTime).
		Str("reason", ReasonEndpointBusy).Msg("start refused")
}

// observeAnswer updates the usual time in which the endpoint answers orders from a call that was sent at sentAt and has ended with err.
func (a *Attendant) observeAnswer(sentAt time.Time, err error) {
	if err != nil && !errors.Is(err, ErrFenced) && !isFinalRejection(err) {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.callQueue.observe(a.Clock.Now().Sub(sentAt))
}

// callRepeatInterval returns the time after which an order without an answer is sent again. While the endpoint is slow, it is a multiple of the usual time of
// an answer: a copy helps if the one before was lost, but if that is only late, it makes the endpoint slower.
func (a *Attendant) callRepeatInterval() time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return max(repeatInterval, callRepeatFactor*max(a.callQueue.answerTime, a.listDelay))
}

// countEvacuationRefusal counts and logs a start that is refused because the data centre is evacuated.
func (a *Attendant) countEvacuationRefusal(s messenger.Start) {
	a.Meter.Count("starts-refused-evacuated")
	a.Log.Info().Str("task", s.Task).Int("run", s.Number).Str("reason", ReasonEvacuated).Msg("start refused")
}

// reservedSize returns the part of a run's size that is reserved. Best-effort runs reserve no processors, because they use only those that
// other runs leave idle.
func reservedSize(size resource.Amount, bestEffort bool) resource.Amount {
	if bestEffort {
		size.MilliProcessors = 0
	}
	return size
}

// removeRun removes the run unless another run of the task has replaced it. The caller holds the mutex.
func (a *Attendant) removeRun(x *run) {
	if a.runs[x.Task] == x {
		delete(a.runs, x.Task)
	}
}

// sendStarts sends copies of the start of the run x to the endpoint, one each callRepeatInterval, until one of them is answered or ctx is done.
// Each copy carries a higher fencing token than the copies before that were not answered. All of them have the same run number, so the endpoint
// executes one at most. It returns the decisive response, or an error without a response. unanswered reports whether another copy, or all of them, may
// have taken effect. All later calls then carry a higher token than the copies.
func (a *Attendant) sendStarts(ctx context.Context, x *run, s messenger.Start) (unanswered bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type response struct {
		token uint64
		err   error
	}
	// The responses to copies that are still in progress at the end are not read.
	responses := make(chan response, startTimeout/repeatInterval+2)
	timer := time.NewTimer(a.callRepeatInterval())
	defer timer.Stop()
	pending, repeatedAtOnce := 0, false
	var lastToken uint64
	a.mutex.Lock()
	a.startsInProgress++
	a.mutex.Unlock()
	defer func() {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		a.startsInProgress--
		a.lastStartEndedAt = a.Clock.Now()
		if unanswered && a.fencingToken == lastToken {
			a.raiseToken()
		}
	}()
	for copies := 0; ; copies++ {
		if copies < cap(responses) {
			c, listed, err := a.composeStart(x, s, lastToken)
			if err != nil || listed {
				return unanswered || pending > 0, err
			}
			lastToken = c.FencingToken
			pending++
			go func() {
				startedAt := a.Clock.Now()
				err := a.Endpoint.Start(ctx, c)
				a.Meter.Observe("start", a.Clock.Now().Sub(startedAt))
				a.observeAnswer(startedAt, err)
				responses <- response{c.FencingToken, err}
			}()
		}
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return unanswered || pending > 0, ctx.Err()
			case <-timer.C:
				waiting = false
				timer.Reset(a.callRepeatInterval())
			case r := <-responses:
				pending--
				switch {
				case r.err == nil || isFinalRejection(r.err):
					return unanswered || pending > 0, r.err
				case errors.Is(r.err, ErrFenced):
					// Another call with a higher token has reached the endpoint. A copy with an even higher one may succeed at once.
					if r.token == lastToken && !repeatedAtOnce {
						waiting, repeatedAtOnce = false, true
					}
				default:
					unanswered = true
				}
			}
		}
	}
}

// composeStart returns the next copy of the start of the run x. Its token is above lastToken, that of the copy before. listed reports that none is
// needed because the endpoint has listed the run. The error is errStopped if the run was ordered to stop, errEvacuated if the data centre is evacuated, ErrRefused if the agent has no grant to renew leases, and ErrOtherIncarnation if the
// endpoint process for which the run was ordered has been replaced.
func (a *Attendant) composeStart(x *run, s messenger.Start, lastToken uint64) (c StartCall, listed bool, err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.runs[s.Task] != x || !a.listed || a.heartbeat.Incarnation != a.incarnation || a.heartbeat.EndpointID == "" {
		// Without a list, the process may be about to get another number, and the copies of a start must not go on under that one.
		return c, false, ErrOtherIncarnation
	}
	if x.phase == phaseRunning {
		return c, true, nil
	}
	now := a.Clock.Now()
	switch {
	case a.highestStopped[s.Task] >= s.Number:
		return c, false, errStopped
	case a.evacuated:
		return c, false, errEvacuated
	}
	if !now.Before(a.grantedUntil) || a.endpointOverdue(now) {
		return c, false, ErrRefused
	}
	if a.fencingToken == lastToken {
		// Either another call with a higher token has reached the endpoint in the meantime, or the copy before may be executed later. All later calls
		// get a higher token. Then the endpoint process, or the next one, does not execute that copy any more after it has received one of them.
		a.raiseToken()
	}
	a.fenceDiscards()
	if a.session == 0 {
		return c, false, ErrOtherIncarnation
	}
	a.lastLeaseAt = now
	return StartCall{EndpointID: a.heartbeat.EndpointID, FencingToken: a.fencingToken, DeadlineMS: a.leaseDeadlineMS(now), Start: s}, false, nil
}

// resolveUnknownStart waits for a listing that shows whether a start took effect. It returns the parameter outcome with the fields Outcome and Reason
// set. Outcome is still StartUnknown if no such listing has arrived after unknownStartTimeout or the endpoint refuses connections.
func (a *Attendant) resolveUnknownStart(ctx context.Context, x *run, outcome messenger.StartOutcome) messenger.StartOutcome {
	ctx, cancel := context.WithTimeout(ctx, unknownStartTimeout)
	defer cancel()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.requestList()
	for a.runs[x.Task] == x && x.phase == phaseUnknown && a.refusedConnections == 0 && ctx.Err() == nil {
		ended := a.listEnded
		a.mutex.Unlock()
		select {
		case <-ctx.Done():
		case <-ended:
		}
		a.mutex.Lock()
	}
	outcome.Outcome, outcome.Reason = messenger.StartUnknown, "no-answer"
	for _, r := range a.pendingResults {
		if r.Task == x.Task && r.Number == x.Number {
			outcome.Outcome = messenger.StartDone
		}
	}
	known, ok := a.runs[x.Task]
	switch {
	case ok && known.Number == x.Number && known.phase == phaseRunning:
		outcome.Outcome = messenger.StartDone
	case x.absent:
		outcome.Outcome = messenger.StartRefused
	}
	return outcome
}

// stop asks the endpoint to stop a run. If the run's start has not reached the endpoint yet, the endpoint will reject that start. It
// reports whether the endpoint process that o refers to has confirmed the stop.
func (a *Attendant) stop(ctx context.Context, o messenger.Orders, s messenger.Stop) bool {
	a.mutex.Lock()
	endpointKnown := a.incarnation == o.Incarnation && a.heartbeat.Incarnation == a.incarnation && a.heartbeat.EndpointID != ""
	a.highestStopped[s.Task] = max(a.highestStopped[s.Task], s.Number)
	a.mutex.Unlock()
	if !a.awaitTurn(ctx, nil) {
		return false
	}
	startedAt := a.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, endpointCallTimeout)
	defer cancel()
	err := callUntilAnswered(ctx, a.callRepeatInterval, func() error {
		a.mutex.Lock()
		c := StopCall{EndpointID: a.heartbeat.EndpointID, FencingToken: a.fencingToken, Stop: s}
		endpointKnown = endpointKnown && a.heartbeat.Incarnation == o.Incarnation
		a.mutex.Unlock()
		sentAt := a.Clock.Now()
		err := a.Endpoint.Stop(ctx, c)
		a.observeAnswer(sentAt, err)
		return err
	})
	a.endTurn(startedAt, err)
	a.Log.Info().Str("task", s.Task).Int("run", s.Number).Err(err).Msg("stop call to the endpoint has ended (successfully unless an error is given)")
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if err != nil || !endpointKnown || a.incarnation != o.Incarnation {
		return false
	}
	if x, ok := a.runs[s.Task]; ok && x.Number <= s.Number && x.stoppedAt.IsZero() {
		x.stoppedAt = a.Clock.Now()
	}
	return true
}

// setPace asks the endpoint to limit a run to a percentage of its full rate. It returns whether the endpoint has confirmed that. If copies of the call are unanswered, all later
// calls carry a higher fencing token, so that the endpoint does not execute these copies after a later pace.
func (a *Attendant) setPace(ctx context.Context, p messenger.Pace) bool {
	if !a.awaitTurn(ctx, nil) {
		return false
	}
	startedAt := a.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, endpointCallTimeout)
	defer cancel()
	copies, lastToken := 0, uint64(0)
	a.mutex.Lock()
	x := a.runs[p.Task]
	order := 0
	if x != nil {
		x.paceOrders++
		order = x.paceOrders
	}
	a.mutex.Unlock()
	err := callUntilAnswered(ctx, a.callRepeatInterval, func() error {
		a.mutex.Lock()
		if ctx.Err() != nil {
			a.mutex.Unlock()
			return ctx.Err()
		}
		for {
			c := PaceCall{EndpointID: a.heartbeat.EndpointID, FencingToken: a.fencingToken, Pace: p}
			if x != nil && x.paceOrders != order {
				a.mutex.Unlock()
				return errSuperseded
			}
			copies++
			lastToken = c.FencingToken
			a.mutex.Unlock()
			sentAt := a.Clock.Now()
			err := a.Endpoint.Pace(ctx, c)
			a.observeAnswer(sentAt, err)
			a.mutex.Lock()
			if !errors.Is(err, ErrFenced) || a.fencingToken == c.FencingToken || ctx.Err() != nil {
				a.mutex.Unlock()
				return err
			}
			// Another call of this agent with a higher token was faster.
		}
	})
	cancel()
	a.endTurn(startedAt, err)
	a.mutex.Lock()
	if (copies > 1 || err != nil) && a.fencingToken == lastToken {
		a.raiseToken()
	}
	a.mutex.Unlock()
	if err != nil {
		a.Log.Warn().Err(err).Str("task", p.Task).Int("percent", p.Percent).Msg("failed to set the pace of the run")
	}
	return err == nil
}
