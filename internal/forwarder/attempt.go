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
	// attempt is one attempt to send a caller's request to an endpoint. It has succeeded if response is not nil;
	// otherwise failure says why it failed.
	attempt struct {
		request *callerRequest
		// number counts the attempts of a request from 1.
		number int
		// choice is the selected endpoint if picked is true. Otherwise no endpoint was available.
		choice router.Choice
		picked bool
		// ticket holds the limiter slot of a hedged request. All other attempts use the limiter slot of their request.
		ticket    *limiter.Ticket
		startedAt time.Time
		cancel    context.CancelFunc
		response  *http.Response
		failure   message.ErrorResponse
		signal    healthSignal
	}

	// healthSignal is what the result of an attempt says about the health of its endpoint.
	healthSignal int
)

const (
	// noSignal means that the attempt says nothing about the endpoint, for example because the agent rejected it or
	// this entry cancelled it.
	noSignal healthSignal = iota
	// latencySignal means that the duration of the attempt is the latency of the endpoint, or less than its latency if
	// the attempt was cut short.
	latencySignal
	// failureSignal means that the endpoint or the network path to it failed.
	failureSignal
)

const (
	// maxPickWaits is the maximum number of waits of the first attempt, each for pickInterval, if no endpoint has a
	// free slot.
	maxPickWaits = 10
	pickInterval = 2 * time.Millisecond
)

// runAttempts sends the request, with retries and a hedged request, until an attempt succeeds. It returns that
// attempt, or nil and the failure that the caller gets. The outcome of the failure is not-run only if no attempt has
// run the request.
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
			// A failure that leaves open whether the request ran is not replaced by a later one. With a key, the last
			// failure counts, because the journal of the agent takes the earlier attempts into account.
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

// discardOthers cancels the attempts other than the successful one, whose number is given, waits until those that are
// still running have ended, and closes them.
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
			// The attempt has already taken longer than a later one. Without this latency, the router wouldn't learn
			// that the endpoint is slow.
			a.signal = latencySignal
		}
		a.close()
	}
}

// hedgeTimer returns a channel that gets a value when a hedged request is due. It returns nil if hedging is disabled or
// the request must not be sent twice.
func (x *callerRequest) hedgeTimer() <-chan time.Time {
	delay := x.service.hedgeDelay.get()
	if !x.idempotent || !x.body.complete || delay < 0 {
		return nil
	}
	return x.forwarder.Clock.After(delay)
}

// takeRetry reports whether the request may be sent again after the failed attempt a, and takes the retry from the
// budget if it costs one. A request without a key may be sent again at no cost if the attempt certainly did not run
// it, and otherwise within the budget if it is idempotent. A request with a key may be sent again within the budget
// after a lost connection, because the journal of the agent lets it run at most once.
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

// pick selects an endpoint for an attempt. If the request has a key, that is the endpoint on the VM whose agent issued
// the key. Otherwise it is one on another VM than avoidVM, or the one on avoidVM if no other has a free slot.
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

// pickFirst selects the endpoint for the first attempt. If no slot is free, it waits up to 20 ms for one, unless the
// request has a key. The limiter has admitted the request, so a slot is free, or becomes free within milliseconds when
// an attempt that a hedged request has overtaken ends. Without the wait, one missing slot would make the entry reject
// all queued requests.
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

// pickHedge selects an endpoint on another VM for a hedged request. It takes a retry from the budget and a slot of the
// limiter, which the returned ticket holds; the ticket is nil if no hedged request may be sent. A second request to
// the same VM would only add to its load, and one without a slot of the limiter would use an endpoint slot that is
// meant for an admitted request.
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
	outgoing, connection := exchange.TraceConnection(outgoing)
	response, err := x.forwarder.transport.RoundTrip(outgoing)
	if err != nil {
		a.setCallFailure(ctx, err, connection() != nil)
		return
	}
	a.checkResponse(response)
}

// failCall sets the failure of an attempt that got no response from the agent. The outcome is unknown if a connection
// to the agent was made, because the request may have run then.
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
		// The timeout that the caller set expired, the caller disconnected, or the attempt was cancelled. That is not
		// a failure of the endpoint, but its latency is at least the time until then.
		a.signal = latencySignal
	}
	if connected {
		a.failure.Outcome = message.OutcomeUnknown
	}
}

// newRequest returns the HTTP request to the agent.
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
		// With this header the agent can reject the request before the body is sent. The body can then still be sent
		// in another attempt.
		outgoing.Header.Set("Expect", "100-continue")
	}
	return outgoing, nil
}

// checkResponse sets the response of the attempt if the agent has passed on the response of the endpoint to this
// attempt. Otherwise it sets a failure: the one that the agent reports, or one that says what is wrong with the
// response.
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

// close ends the attempt, releases its slots and reports the signal to the router. It must be called exactly once.
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

// unknownFailure returns the failure of a request that may have run.
func (x *callerRequest) unknownFailure(format string, values ...any) message.ErrorResponse {
	f := notRunFailure(message.ReasonConnectionLost, 0, format, values...)
	f.Outcome = message.OutcomeUnknown
	return f
}
