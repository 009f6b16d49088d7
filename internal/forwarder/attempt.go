package forwarder

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"bamboohook/internal/exchange"
	"bamboohook/internal/message"
	"bamboohook/limiter"
	"bamboohook/router"
)

type (
	// attempt is one attempt to send a request to an endpoint. It succeeded if response is not nil.
	attempt struct {
		call   *call
		number int
		choice router.Choice
		picked bool
		// ticket is the limiter slot of a hedged request. All other attempts use the slot of the call.
		ticket   *limiter.Ticket
		started  time.Time
		cancel   context.CancelFunc
		response *http.Response
		failure  message.ErrorResponse
		signal   healthSignal
	}

	// healthSignal is what the result of an attempt says about the health of its endpoint.
	healthSignal int
)

const (
	// noSignal is the signal of a rejected attempt and of one that this entry cancelled.
	noSignal healthSignal = iota
	// latencySignal is the signal of an attempt whose duration is a latency sample, at least as a lower bound.
	latencySignal
	failureSignal
)

const (
	maxPickAttempts = 10
	pickInterval    = 2 * time.Millisecond
)

// runAttempts returns the first successful attempt, or the failure to report. The outcome of the failure is
// not-run only if no attempt ran.
func (x *call) runAttempts(ctx context.Context) (*attempt, message.ErrorResponse) {
	results := make(chan *attempt, x.forwarder.Limits.MaxAttempts)
	launched, running := 0, 0
	avoid := ""
	cancels := make([]context.CancelFunc, 0, x.forwarder.Limits.MaxAttempts)
	launch := func(choice router.Choice, picked bool, ticket *limiter.Ticket) {
		launched++
		running++
		attemptCtx, cancel := context.WithCancel(ctx)
		cancels = append(cancels, cancel)
		a := &attempt{call: x, number: launched, started: x.forwarder.Clock.Now(), cancel: cancel, choice: choice, picked: picked, ticket: ticket}
		if a.picked {
			avoid = a.choice.VM()
		}
		go func() {
			a.send(attemptCtx)
			results <- a
		}()
	}
	choice, picked := x.pickFirst(ctx)
	launch(choice, picked, nil)
	hedge := x.hedgeTimer()
	worst := message.ErrorResponse{}
	for running > 0 {
		select {
		case <-hedge:
			hedge = nil
			if choice, ticket := x.pickHedge(avoid, launched); ticket != nil {
				counters.Add("hedged", 1)
				launch(choice, true, ticket)
			}
		case a := <-results:
			running--
			if a.response != nil {
				go discardLosers(results, running, cancels, a.number)
				return a, message.ErrorResponse{}
			}
			a.close()
			// For a keyed request the failure of the last attempt counts, because the journal's response to a
			// key covers all attempts.
			if worst.Outcome != message.OutcomeUnknown || x.key != "" {
				worst = a.failure
			}
			if launched < x.forwarder.Limits.MaxAttempts && ctx.Err() == nil && x.canRetry(a) {
				counters.Add("retried", 1)
				choice, picked := x.pick(avoid)
				launch(choice, picked, nil)
			}
		}
	}
	return nil, worst
}

// discardLosers cancels the attempts that are still running and closes their responses when they arrive.
func discardLosers(results <-chan *attempt, running int, cancels []context.CancelFunc, winner int) {
	for i, cancel := range cancels {
		if i+1 != winner {
			cancel()
		}
	}
	for range running {
		a := <-results
		if a.response != nil {
			counters.Add("late-responses", 1)
		}
		a.signal = noSignal
		if a.number < winner {
			// The attempt took longer than a later one. Without this sample, hedging would hide a slow endpoint
			// from the router.
			a.signal = latencySignal
		}
		a.close()
	}
}

// hedgeTimer returns the channel that triggers a hedged request. The channel is nil, so that it never fires, if
// the request must not be sent twice.
func (x *call) hedgeTimer() <-chan time.Time {
	after := x.service.latency.get()
	if !x.idempotent || !x.body.complete || after < 0 {
		return nil
	}
	return x.forwarder.Clock.After(after)
}

// canRetry reports whether the request may be sent again after a failed attempt. Any request may if the attempt
// certainly did not run. A keyed request may because the journal of its agent runs it at most once.
func (x *call) canRetry(a *attempt) bool {
	if x.body.consumed() {
		return false
	}
	if x.key != "" {
		return a.picked && a.failure.Reason == message.ReasonConnectionLost && x.service.budget.Spend()
	}
	if a.failure.Outcome == message.OutcomeNotRun {
		return a.picked && a.failure.Reason != message.ReasonPastDeadline && a.failure.Reason != message.ReasonTooLarge
	}
	return x.idempotent && x.service.budget.Spend()
}

// pick selects the endpoint of the agent that issued the key, if the request has one. Otherwise it selects an
// endpoint on another VM than avoid, or on avoid if no other has a free slot.
func (x *call) pick(avoid string) (router.Choice, bool) {
	if x.key != "" {
		return x.service.router.PickOnVM(x.parsedKey.VM, x.parsedKey.Generation)
	}
	choice, ok := x.service.router.Pick(avoid)
	if !ok && avoid != "" {
		return x.service.router.Pick("")
	}
	return choice, ok
}

// pickFirst selects the endpoint of the first attempt and waits a short time for a free slot. The limiter has
// admitted the call, so a slot is free, or becomes free within milliseconds when an attempt that lost against a
// hedged request ends. Without the wait, one missing slot would make the entry reject all queued requests.
func (x *call) pickFirst(ctx context.Context) (router.Choice, bool) {
	for range maxPickAttempts {
		if choice, ok := x.pick(""); ok || x.key != "" {
			return choice, ok
		}
		select {
		case <-ctx.Done():
			return router.Choice{}, false
		case <-x.forwarder.Clock.After(pickInterval):
		}
	}
	return x.pick("")
}

// pickHedge selects an endpoint on another VM for a hedged request, within the retry budget and the free slots
// of the limiter. A second request to the same VM would only add to its load, and one without a slot of the
// limiter would take the slot of an admitted request. The ticket is nil if no hedged request may be sent.
func (x *call) pickHedge(avoid string, launched int) (router.Choice, *limiter.Ticket) {
	if launched >= x.forwarder.Limits.MaxAttempts {
		return router.Choice{}, nil
	}
	ticket := x.limiter.Submit(x.limiterKind)
	if ticket.Admitted() {
		choice, ok := x.service.router.Pick(avoid)
		if ok && x.service.budget.Spend() {
			return choice, ticket
		}
		if ok {
			x.service.router.Cancel(choice)
		}
	}
	ticket.Release()
	return router.Choice{}, nil
}

// send sends the request and sets the response or the failure.
func (a *attempt) send(ctx context.Context) {
	x := a.call
	if !a.picked {
		a.failure = x.newFailure(message.ReasonNoEndpoint, defaultRetryAfter, "no endpoint of service %q has a free slot", x.service.name)
		if x.key != "" {
			a.failure.Message = "forwarder: the agent that issued the key is unreachable, has restarted, is draining or is full"
		}
		return
	}
	out, err := a.newRequest(ctx)
	if err != nil {
		a.failure = x.newFailure(message.ReasonBadRequest, 0, "the request to the agent can't be created: %v", err)
		return
	}
	out, connected := exchange.TraceConnection(out)
	response, err := x.forwarder.transport.RoundTrip(out)
	if err != nil {
		a.failCall(ctx, err, connected() != nil)
		return
	}
	a.checkResponse(response)
}

func (a *attempt) failCall(ctx context.Context, err error, connected bool) {
	x := a.call
	a.failure = x.newFailure(message.ReasonConnectionLost, defaultRetryAfter, "call to %s failed: %v", a.choice.VM(), err)
	a.signal = failureSignal
	switch {
	case x.body.tooLarge.Load():
		a.failure = x.newFailure(message.ReasonTooLarge, 0, "body of more than %d bytes; allowed are %d", x.forwarder.Limits.MaxBodyBytes, x.forwarder.Limits.MaxBodyBytes)
		a.signal = noSignal
	case ctx.Err() != nil:
		a.failure.Reason = message.ReasonPastDeadline
		// The caller chose the timeout, so its expiry is a sample of the latency, not a failure of the endpoint.
		a.signal = latencySignal
	}
	if connected {
		a.failure.Outcome = message.OutcomeUnknown
	}
}

func (a *attempt) newRequest(ctx context.Context) (*http.Request, error) {
	x := a.call
	target := "http://" + a.choice.Address() + "/v1/requests/" + url.PathEscape(x.service.name) + "/" + x.path
	if q := x.request.URL.RawQuery; q != "" {
		target += "?" + q
	}
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return nil, err
	}
	exchange.CopyHeader(out.Header, x.request.Header)
	deadline, _ := ctx.Deadline()
	exchange.SetHeader(out.Header, message.HeaderMethod, x.request.Method, message.HeaderRequestID, x.id, message.HeaderKind, x.kind,
		message.HeaderAttempt, strconv.Itoa(a.number), message.HeaderTimeout, time.Until(deadline).String())
	if x.key != "" {
		out.Header.Set(message.HeaderKey, x.key)
	}
	out.Body = exchange.NonReplayableBody(x.body.reader())
	out.ContentLength = x.request.ContentLength
	if x.body.complete {
		out.ContentLength = int64(len(x.body.buffered))
	} else {
		// The agent can reject the request before the body is sent, which leaves the body unread for another
		// attempt.
		out.Header.Set("Expect", "100-continue")
	}
	return out, nil
}

// checkResponse accepts the response only if it belongs to this attempt.
func (a *attempt) checkResponse(response *http.Response) {
	x, h := a.call, response.Header
	if h.Get(message.HeaderRequestID) != x.id || h.Get(message.HeaderAttempt) != strconv.Itoa(a.number) {
		counters.Add("foreign-responses", 1)
		a.rejectResponse(response, x.unknownFailure("the response of %s belongs to another request", a.choice.VM()), failureSignal)
		return
	}
	if h.Get(message.HeaderOutcome) == message.OutcomeDone && h.Get(message.HeaderReason) == "" {
		a.response, a.signal = response, latencySignal
		if response.StatusCode >= http.StatusInternalServerError {
			a.signal = failureSignal
		}
		return
	}
	f, ok := exchange.ReadErrorResponse(response.Body)
	if !ok || f.Outcome != h.Get(message.HeaderOutcome) {
		a.rejectResponse(response, x.unknownFailure("the response of %s has no valid outcome", a.choice.VM()), failureSignal)
		return
	}
	signal := noSignal
	if f.Reason == message.ReasonConnectionLost {
		signal = failureSignal
	}
	a.rejectResponse(response, f, signal)
}

func (a *attempt) rejectResponse(response *http.Response, f message.ErrorResponse, signal healthSignal) {
	_ = response.Body.Close()
	a.failure, a.signal = f, signal
}

// close ends the attempt and releases its slot. It must be called exactly once.
func (a *attempt) close() {
	if a.response != nil {
		_ = a.response.Body.Close()
	}
	a.cancel()
	if a.ticket != nil {
		defer a.ticket.Release()
	}
	switch {
	case !a.picked:
	case a.signal == noSignal:
		a.call.service.router.Cancel(a.choice)
	default:
		a.call.service.router.Done(a.choice, a.signal == failureSignal)
	}
}

// unknownFailure is the failure of a request that may have run.
func (x *call) unknownFailure(format string, values ...any) message.ErrorResponse {
	f := notRunFailure(message.ReasonConnectionLost, 0, format, values...)
	f.Outcome = message.OutcomeUnknown
	return f
}
