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
	// attempt is one try of a call at one endpoint. It succeeded if response is not nil.
	attempt struct {
		call   *call
		number int
		choice router.Choice
		picked bool
		// ticket is the slot of a hedged request in the limiter; the first attempt uses that of the call.
		ticket   *limiter.Ticket
		started  time.Time
		cancel   context.CancelFunc
		response *http.Response
		failure  message.ErrorResponse
		signal   healthSignal
	}

	// healthSignal is what an attempt tells about its endpoint.
	healthSignal int
)

const (
	// noSignal is a refusal, or an attempt that this entry gave up.
	noSignal healthSignal = iota
	// latencySignal is an attempt whose duration is a sample, or at least a lower bound, of the latency.
	latencySignal
	failureSignal
)

const (
	maxPickAttempts = 10
	pickInterval    = 2 * time.Millisecond
)

// runAttempts returns the first attempt that succeeded, or the failure to report. The outcome is not-run only if every attempt was.
func (x *call) runAttempts(ctx context.Context) (*attempt, message.ErrorResponse) {
	results := make(chan *attempt, x.forwarder.Limits.MaxAttempts)
	launched, running := 0, 0
	avoid := ""
	cancels := make([]context.CancelFunc, 0, x.forwarder.Limits.MaxAttempts)
	launch := func(choice router.Choice, chosen bool, ticket *limiter.Ticket) {
		launched++
		running++
		bounded, cancel := context.WithCancel(ctx)
		cancels = append(cancels, cancel)
		a := &attempt{call: x, number: launched, started: x.forwarder.Clock.Now(), cancel: cancel, choice: choice, picked: chosen, ticket: ticket}
		if a.picked {
			avoid = a.choice.VM()
		}
		go func() {
			a.send(bounded)
			results <- a
		}()
	}
	choice, chosen := x.pickFirst(ctx)
	launch(choice, chosen, nil)
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
			// The journal's last word on a key covers all attempts.
			if worst.Outcome != message.OutcomeUnknown || x.key != "" {
				worst = a.failure
			}
			if launched < x.forwarder.Limits.MaxAttempts && ctx.Err() == nil && x.canRetry(a) {
				counters.Add("retried", 1)
				choice, chosen := x.pick(avoid)
				launch(choice, chosen, nil)
			}
		}
	}
	return nil, worst
}

// discardLosers cancels the attempts that lost and closes their responses when they arrive late.
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
			// Slower than a later attempt: without this sample hedging would hide a slow endpoint from the router.
			a.signal = latencySignal
		}
		a.close()
	}
}

// hedgeTimer returns nil, which never fires, for a request that must not be sent twice.
func (x *call) hedgeTimer() <-chan time.Time {
	after := x.service.latency.get()
	if !x.idempotent || !x.body.complete || after < 0 {
		return nil
	}
	return x.forwarder.Clock.After(after)
}

// canRetry decides on the failure of one attempt. Proof that it did not run allows a repeat of any request; a keyed
// request may be repeated because its journal runs it once.
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

// pick chooses the home of a key, or an endpoint of another VM than the last attempt's if there is one.
func (x *call) pick(avoid string) (router.Choice, bool) {
	if x.key != "" {
		return x.service.router.PickVM(x.parsedKey.VM, x.parsedKey.Generation)
	}
	choice, ok := x.service.router.Pick(avoid)
	if !ok && avoid != "" {
		return x.service.router.Pick("")
	}
	return choice, ok
}

// pickFirst waits a short time for an endpoint. The limiter has admitted the call, so a slot is free or is freed within moments, when
// the attempt that lost against a hedged request ends. Without the wait one missing slot would refuse a whole queue.
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

// pickHedge chooses an endpoint of another VM within the budget and the free slots of the limiter. A second request to the same VM
// would only add to its load, and one beyond the limiter would take the slot of a request that it has admitted. The ticket is nil if
// there is no hedged request.
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
			a.failure.Message = "forwarder: the agent that issued the key is not reachable, was restarted, is draining or is full"
		}
		return
	}
	out, err := a.newRequest(ctx)
	if err != nil {
		a.failure = x.newFailure(message.ReasonBadRequest, 0, "the request can't be formed: %v", err)
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
	a.failure = x.newFailure(message.ReasonConnectionLost, defaultRetryAfter, "call of %s: %v", a.choice.VM(), err)
	a.signal = failureSignal
	switch {
	case x.body.tooLarge.Load():
		a.failure = x.newFailure(message.ReasonTooLarge, 0, "body of more than %d bytes; allowed are %d", x.forwarder.Limits.MaxBodyBytes, x.forwarder.Limits.MaxBodyBytes)
		a.signal = noSignal
	case ctx.Err() != nil:
		a.failure.Reason = message.ReasonPastDeadline
		// The caller chose the time, so running out of it is only a sample of the latency.
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
		// The agent can refuse before the body is sent, which leaves it unread for another attempt.
		out.Header.Set("Expect", "100-continue")
	}
	return out, nil
}

// checkResponse accepts only a response to this attempt.
func (a *attempt) checkResponse(response *http.Response) {
	x, h := a.call, response.Header
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
	f, ok := exchange.ReadFailure(response.Body)
	if !ok || f.Outcome != h.Get(message.HeaderOutcome) {
		a.rejectResponse(response, x.unknownFailure("%s answered without a readable outcome", a.choice.VM()), failureSignal)
		return
	}
	v := noSignal
	if f.Reason == message.ReasonConnectionLost {
		v = failureSignal
	}
	a.rejectResponse(response, f, v)
}

func (a *attempt) rejectResponse(response *http.Response, f message.ErrorResponse, v healthSignal) {
	_ = response.Body.Close()
	a.failure, a.signal = f, v
}

// close ends the attempt and frees its slot. It must be called once.
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
