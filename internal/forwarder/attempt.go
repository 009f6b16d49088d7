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
	// attempt is one attempt to send a caller's request to an endpoint. When it has ended, either response is set, or
	// failure says why there is no response.
	attempt struct {
		request *callerRequest
		// number is the number of the attempt; the first attempt of a request has the number 1.
		number int
		// choice is the selected endpoint if picked is true. If picked is false, no endpoint was available, and the
		// attempt fails without sending the request.
		choice router.Choice
		picked bool
		// ticket holds the limiter slot of a hedged request. It is nil for other attempts, which use the limiter slot
		// of their request.
		ticket    *limiter.Ticket
		startedAt time.Time
		cancel    context.CancelFunc
		response  *http.Response
		failure   message.ErrorResponse
		signal    healthSignal
	}

	// healthSignal says what the result of an attempt means for the health of the endpoint. attempt.close reports it to
	// the router.
	healthSignal int
)

const (
	// noSignal means that the result says nothing about the endpoint, for example because the agent rejected the
	// request or this entry cancelled the attempt.
	noSignal healthSignal = iota
	// latencySignal means that the endpoint did not fail and that the duration of the attempt counts as its latency. If
	// the attempt was cancelled early, the real latency is even longer.
	latencySignal
	// failureSignal means that the endpoint, or the network path to it, failed.
	failureSignal
)

const (
	// maxPickWaits is how often the first attempt of a request waits if no endpoint has a free slot. Each wait lasts
	// pickInterval.
	maxPickWaits = 10
	pickInterval = 2 * time.Millisecond
)

// runAttempts sends the request, and sends it again after failures and as a hedged request, until an attempt succeeds
// or no more attempts are allowed. It returns the successful attempt, or nil and the failure for the caller. The
// outcome of the failure is not-run only if no attempt has run the request.
func (x *callerRequest) runAttempts(ctx context.Context) (*attempt, message.ErrorResponse) {
	results := make(chan *attempt, x.forwarder.Limits.MaxAttempts)
	launched, running := 0, 0
	avoidVM := ""
	cancels := make([]context.CancelFunc, 0, x.forwarder.Limits.MaxAttempts)
	launch := func(choice router.Choice, picked bool, ticket *limiter.Ticket) {
		launched++
		running++
		attemptCtx, cancel := context.WithCancel(ctx)
		cancels = append(cancels, cancel)
		a := &attempt{request: x, number: launched, startedAt: x.forwarder.Clock.Now(), cancel: cancel, choice: choice, picked: picked, ticket: ticket}
		if a.picked {
			avoidVM = a.choice.VM()
		}
		go func() {
			a.send(attemptCtx)
			results <- a
		}()
	}
	choice, picked := x.pickFirst(ctx)
	launch(choice, picked, nil)
	hedgeDue := x.hedgeTimer()
	failure := message.ErrorResponse{}
	for running > 0 {
		select {
		case <-hedgeDue:
			hedgeDue = nil
			if choice, ticket := x.pickHedge(avoidVM, launched); ticket != nil {
				counters.Add("hedged", 1)
				launch(choice, true, ticket)
			}
		case a := <-results:
			running--
			if a.response != nil {
				go discardOthers(results, running, cancels, a.number)
				return a, message.ErrorResponse{}
			}
			a.close()
			// A failure with the outcome unknown is not replaced by a later failure. If the request has a key, the last
			// failure counts: the agent takes its outcome from the journal, which knows whether an earlier attempt ran
			// the request.
			if failure.Outcome != message.OutcomeUnknown || x.key != "" {
				failure = a.failure
			}
			if launched < x.forwarder.Limits.MaxAttempts && ctx.Err() == nil && x.takeRetry(a) {
				counters.Add("retried", 1)
				choice, picked := x.pick(avoidVM)
				launch(choice, picked, nil)
			}
		}
	}
	return nil, failure
}

// discardOthers cancels all attempts except the successful one. Then it waits for the results of the attempts that are
// still running, and closes these attempts. successful is the number of the successful attempt, and running is how many
// are still running.
func discardOthers(results <-chan *attempt, running int, cancels []context.CancelFunc, successful int) {
	for i, cancel := range cancels {
		if i+1 != successful {
			cancel()
		}
	}
	for range running {
		a := <-results
		if a.response != nil {
			counters.Add("late-responses", 1)
		}
		a.signal = noSignal
		if a.number < successful {
			// The attempt has already taken longer than an attempt that was started after it. If its duration did not
			// count as a latency, the router would not learn that the endpoint is slow.
			a.signal = latencySignal
		}
		a.close()
	}
}

// hedgeTimer returns a channel that gets a value when a hedged request is due. It returns nil if hedging is disabled,
// if the request must not run twice, or if its body is not buffered.
func (x *callerRequest) hedgeTimer() <-chan time.Time {
	delay := x.service.hedgeDelay.get()
	if !x.idempotent || !x.body.complete || delay < 0 {
		return nil
	}
	return x.forwarder.Clock.After(delay)
}

// takeRetry reports whether the request may be sent again after the failed attempt a. A request with a key may be sent
// again after a lost connection, because the journal of the agent lets it run at most once. A request without a key may
// be sent again if the attempt certainly did not run it, or if it is idempotent. It may not be sent again if it was
// rejected because of its deadline or the size of its body, or if no endpoint was available. takeRetry takes a retry
// from the budget, except for a request without a key that the attempt certainly did not run. A body that is not buffered
// can't be sent again once an attempt has begun to read it.
func (x *callerRequest) takeRetry(a *attempt) bool {
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

// pick selects an endpoint for an attempt. If the request has a key, pick can select only the endpoint on the VM whose
// agent issued the key. Otherwise it selects an endpoint on another VM than avoidVM, or the endpoint on avoidVM if no
// other has a free slot.
func (x *callerRequest) pick(avoidVM string) (router.Choice, bool) {
	if x.key != "" {
		return x.service.router.PickOnVM(x.parsedKey.VM, x.parsedKey.Generation)
	}
	choice, ok := x.service.router.Pick(avoidVM)
	if !ok && avoidVM != "" {
		return x.service.router.Pick("")
	}
	return choice, ok
}

// pickFirst selects the endpoint for the first attempt. If no slot is free and the request has no key, pickFirst tries
// again for 20 ms. The limiter has admitted the request, so a slot becomes free soon, for example when the slower
// attempt of a hedged request has been cancelled. Without these tries, a single missing slot would make the entry
// reject all queued requests: each rejected request returns its limiter slot at once, and the next request that gets it
// finds no endpoint slot either.
func (x *callerRequest) pickFirst(ctx context.Context) (router.Choice, bool) {
	for range maxPickWaits {
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

// pickHedge selects an endpoint for a hedged request on another VM than avoidVM, because a second request to the same
// VM would only add to its load. It takes a retry from the budget and a slot of the limiter. Without a limiter slot,
// the hedged request would use an endpoint slot that is meant for an admitted request. The returned ticket holds the
// limiter slot; it is nil if no hedged request may be sent.
func (x *callerRequest) pickHedge(avoidVM string, launched int) (router.Choice, *limiter.Ticket) {
	if launched >= x.forwarder.Limits.MaxAttempts {
		return router.Choice{}, nil
	}
	ticket := x.limiter.Submit(x.limiterKind)
	if ticket.Admitted() {
		choice, ok := x.service.router.Pick(avoidVM)
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

// send sends the request to the agent and sets the response or the failure of the attempt.
func (a *attempt) send(ctx context.Context) {
	x := a.request
	if !a.picked {
		a.failure = x.newFailure(message.ReasonNoEndpoint, defaultRetryAfter, "no endpoint of service %q has a free slot", x.service.name)
		if x.key != "" {
			a.failure.Message = "forwarder: the agent that issued the key is not reachable, was restarted, is draining or is full"
		}
		return
	}
	outgoing, err := a.newRequest(ctx)
	if err != nil {
		a.failure = x.newFailure(message.ReasonBadRequest, 0, "the request can't be formed: %v", err)
		return
	}
	outgoing, getConnection := exchange.TraceConnection(outgoing)
	response, err := x.forwarder.transport.RoundTrip(outgoing)
	if err != nil {
		a.setCallFailure(ctx, err, getConnection() != nil)
		return
	}
	a.checkResponse(response)
}

// setCallFailure sets the failure and the signal of an attempt that got no response from the agent. The outcome is
// unknown if a connection to the agent was made, because the request may then have run.
func (a *attempt) setCallFailure(ctx context.Context, err error, connected bool) {
	x := a.request
	a.failure = x.newFailure(message.ReasonConnectionLost, defaultRetryAfter, "call of %s: %v", a.choice.VM(), err)
	a.signal = failureSignal
	switch {
	case x.body.tooLarge.Load():
		a.failure = x.newFailure(message.ReasonTooLarge, 0, "body of more than %d bytes; allowed are %d", x.forwarder.Limits.MaxBodyBytes, x.forwarder.Limits.MaxBodyBytes)
		a.signal = noSignal
	case ctx.Err() != nil:
		a.failure.Reason = message.ReasonPastDeadline
		// The timeout of the request expired, the caller disconnected, or the attempt was cancelled. None of these is a
		// failure of the endpoint. The latency of the endpoint is at least the duration until now.
		a.signal = latencySignal
	}
	if connected {
		a.failure.Outcome = message.OutcomeUnknown
	}
}

// newRequest returns the HTTP request that the attempt sends to the agent.
func (a *attempt) newRequest(ctx context.Context) (*http.Request, error) {
	x := a.request
	target := "http://" + a.choice.Address() + "/v1/requests/" + url.PathEscape(x.service.name) + "/" + x.path
	if q := x.request.URL.RawQuery; q != "" {
		target += "?" + q
	}
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return nil, err
	}
	exchange.CopyHeader(outgoing.Header, x.request.Header)
	deadline, _ := ctx.Deadline()
	exchange.SetHeader(outgoing.Header, message.HeaderMethod, x.request.Method, message.HeaderRequestID, x.id, message.HeaderKind, x.kind,
		message.HeaderAttempt, strconv.Itoa(a.number), message.HeaderTimeout, time.Until(deadline).String())
	if x.key != "" {
		outgoing.Header.Set(message.HeaderKey, x.key)
	}
	outgoing.Body = exchange.NonReplayableBody(x.body.reader())
	outgoing.ContentLength = x.request.ContentLength
	if x.body.complete {
		outgoing.ContentLength = int64(len(x.body.buffered))
	} else {
		// With this header, the agent can reject the request before the body is sent. The body, which has then not been
		// read, can be sent in another attempt.
		outgoing.Header.Set("Expect", "100-continue")
	}
	return outgoing, nil
}

// checkResponse stores the received response in the attempt if it is the endpoint's response to this attempt. Otherwise
// it sets a failure: the one in the agent's response, or a new one if the response belongs to another request or is not
// readable.
func (a *attempt) checkResponse(response *http.Response) {
	x, h := a.request, response.Header
	if h.Get(message.HeaderRequestID) != x.id || h.Get(message.HeaderAttempt) != strconv.Itoa(a.number) {
		counters.Add("foreign-responses", 1)
		a.rejectResponse(response, x.unknownFailure("%s answered another request", a.choice.VM()), failureSignal)
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
		a.rejectResponse(response, x.unknownFailure("%s answered without a readable outcome", a.choice.VM()), failureSignal)
		return
	}
	signal := noSignal
	if f.Reason == message.ReasonConnectionLost {
		signal = failureSignal
	}
	a.rejectResponse(response, f, signal)
}

// rejectResponse closes the response and sets the failure and the signal of the attempt.
func (a *attempt) rejectResponse(response *http.Response, f message.ErrorResponse, signal healthSignal) {
	_ = response.Body.Close()
	a.failure, a.signal = f, signal
}

// close closes the response, releases the slots of the attempt and reports its signal to the router. It must be called
// exactly once for each attempt.
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
		a.request.service.router.Cancel(a.choice)
	default:
		a.request.service.router.Done(a.choice, a.signal == failureSignal)
	}
}

// unknownFailure returns the failure of a request that may have run. Its outcome is unknown.
func (x *callerRequest) unknownFailure(format string, values ...any) message.ErrorResponse {
	f := notRunFailure(message.ReasonConnectionLost, 0, format, values...)
	f.Outcome = message.OutcomeUnknown
	return f
}
