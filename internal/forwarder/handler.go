package forwarder

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"bamboohook/internal/exchange"
	"bamboohook/internal/message"
	"bamboohook/journaler"
	"bamboohook/limiter"
)

const (
	// maxIDLength is the maximum length in bytes of a request ID that a caller sets, and maxKindLength that of a kind.
	maxIDLength   = 128
	maxKindLength = 64
	// defaultRetryAfter is the retry delay in failures for which no better estimate is known.
	defaultRetryAfter = time.Second
)

type (
	// callerRequest is one request of a caller to this entry.
	callerRequest struct {
		forwarder *Forwarder
		service   *service
		limiter   *limiter.Limiter
		request   *http.Request
		writer    http.ResponseWriter
		// path is the part of the escaped URL path that follows the service name.
		path string
		id   string
		// kind is the kind that the caller set; if the caller set none, it is the service name. limiterKind is the kind
		// under which the limiter counts the request.
		kind, limiterKind string
		// key is the idempotency key as the caller sent it, or empty. parsedKey is the decoded key.
		key       string
		parsedKey journaler.Key
		// idempotent is true if the request may run more than once.
		idempotent bool
		timeout    time.Duration
		body       *body
	}

	// body is the body of a caller's request. It can be sent more than once if it is small enough to be buffered
	// completely.
	body struct {
		// buffered is the whole body if complete is true, and the beginning of the body otherwise. remaining reads the
		// rest.
		buffered  []byte
		complete  bool
		remaining io.Reader
		// readStarted is true once an attempt has begun to read a body that is not completely buffered. tooLarge is
		// true once more than Limits.MaxBodyBytes have been read.
		readStarted, tooLarge atomic.Bool
	}

	// attemptBody reads a body that is not completely buffered, for one attempt. It sets readStarted and tooLarge.
	attemptBody struct {
		io.Reader
		body *body
	}
)

// serveRequest serves one request of a caller. If the response can't be completely forwarded, it panics with
// http.ErrAbortHandler, which makes net/http close the connection to the caller.
func (f *Forwarder) serveRequest(c echo.Context) error {
	x := newCallerRequest(f, c)
	if !f.beginRequest() {
		x.writeFailure(x.newFailure(message.ReasonDraining, defaultRetryAfter, "this entry is draining"))
		return nil
	}
	defer f.endRequest()
	if status, text := x.parse(); status != 0 {
		r := x.newFailure(message.ReasonBadRequest, 0, "%s", text)
		if status == http.StatusRequestEntityTooLarge {
			r.Reason = message.ReasonTooLarge
		}
		x.writeFailureWithStatus(status, r)
		return nil
	}
	name := c.Param("service")
	x.service, x.limiter, x.limiterKind = f.lookUpService(name, x.kind)
	if x.service == nil {
		x.writeFailure(x.newFailure(message.ReasonUnknownService, defaultRetryAfter, "no agent has announced service %q", name))
		return nil
	}
	if x.kind == "" {
		x.kind = name
	}
	ctx, cancel := context.WithTimeout(x.request.Context(), x.timeout)
	defer cancel()
	x.serve(ctx)
	return nil
}

// newCallerRequest returns the callerRequest of an HTTP request. parse, serveRequest and bufferBody set the remaining
// fields.
func newCallerRequest(f *Forwarder, c echo.Context) *callerRequest {
	return &callerRequest{
		forwarder: f, request: c.Request(), writer: c.Response(), idempotent: true,
		key: c.Request().Header.Get(message.HeaderKey),
	}
}

// serve waits until the limiter admits the request, sends the request to an endpoint and writes the response, or writes
// a failure.
func (x *callerRequest) serve(ctx context.Context) {
	ticket, rejection := x.limiter.Acquire(ctx, x.limiterKind)
	if rejection != nil {
		reason := message.ReasonOverload
		switch {
		case errors.Is(ctx.Err(), context.DeadlineExceeded):
			reason = message.ReasonPastDeadline
		case ctx.Err() != nil:
			reason = message.ReasonCancelled
		}
		x.writeFailure(x.newFailure(reason, rejection.RetryAfter, "kind %q of service %q is over its share (%s)", x.limiterKind, x.service.name, rejection.Reason))
		return
	}
	defer ticket.Release()
	if err := x.bufferBody(); err != nil {
		var sizeError *http.MaxBytesError
		if errors.As(err, &sizeError) {
			x.writeFailure(x.newFailure(message.ReasonTooLarge, 0, "body of more than %d bytes; allowed are %d", sizeError.Limit, sizeError.Limit))
			return
		}
		x.writeFailure(x.newFailure(message.ReasonBadRequest, 0, "the request body ended early: %v", err))
		return
	}
	x.service.budget.CountRequest()
	successful, f := x.runAttempts(ctx)
	if successful == nil {
		x.writeFailure(f)
		return
	}
	defer successful.close()
	x.respond(successful)
}

// parse reads the headers and the path. If the request is invalid, it returns an HTTP status and a text that says what
// is wrong; otherwise the status is 0.
func (x *callerRequest) parse() (int, string) {
	r, h, b := x.request, x.request.Header, x.forwarder.Limits
	x.id = h.Get(message.HeaderRequestID)
	if x.id == "" {
		x.id = rand.Text()
	}
	if len(x.id) > maxIDLength {
		x.id = ""
		return http.StatusBadRequest, fmt.Sprintf("%s is longer than %d bytes", message.HeaderRequestID, maxIDLength)
	}
	headerSize := 0
	for name, values := range h {
		for _, v := range values {
			headerSize += len(name) + len(v)
		}
	}
	if headerSize > b.MaxHeaderBytes {
		return http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("headers of %d bytes; allowed are %d", headerSize, b.MaxHeaderBytes)
	}
	if r.ContentLength > b.MaxBodyBytes {
		return http.StatusRequestEntityTooLarge, fmt.Sprintf("body of %d bytes; allowed are %d", r.ContentLength, b.MaxBodyBytes)
	}
	switch v := h.Get(message.HeaderIdempotent); v {
	case "", "true":
	case "false":
		x.idempotent = false
	default:
		return http.StatusBadRequest, fmt.Sprintf("%s is %q; allowed are true and false", message.HeaderIdempotent, v)
	}
	x.timeout = b.DefaultTimeout
	if v := h.Get(message.HeaderTimeout); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 || d > b.MaxTimeout {
			return http.StatusBadRequest, fmt.Sprintf("%s is %q; allowed is a duration above 0 and up to %s", message.HeaderTimeout, v, b.MaxTimeout)
		}
		x.timeout = d
	}
	if x.kind = h.Get(message.HeaderKind); len(x.kind) > maxKindLength {
		return http.StatusBadRequest, fmt.Sprintf("%s is longer than %d bytes", message.HeaderKind, maxKindLength)
	}
	_, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"), "/")
	x.path = path
	return x.parseKey()
}

// parseKey decodes the idempotency key, if there is one. If the key is malformed, it returns an HTTP status and a text,
// like parse. An entry can't detect a forged key; only the agent that issued the key can.
func (x *callerRequest) parseKey() (int, string) {
	if x.key == "" {
		return 0, ""
	}
	if len(x.key) > journaler.MaxKeyLength {
		return http.StatusBadRequest, fmt.Sprintf("%s is longer than %d bytes", message.HeaderKey, journaler.MaxKeyLength)
	}
	parsedKey, ok := journaler.ParseKey(x.key)
	if !ok {
		return http.StatusBadRequest, message.HeaderKey + " has not the form of a key"
	}
	x.parsedKey, x.idempotent = parsedKey, false
	return 0, ""
}

// bufferBody buffers the body if it has at most Limits.RetryBufferBytes. If the body is larger, an attempt reads it
// while sending it.
func (x *callerRequest) bufferBody() error {
	limit := x.forwarder.Limits.RetryBufferBytes
	limitedBody := http.MaxBytesReader(x.writer, x.request.Body, x.forwarder.Limits.MaxBodyBytes)
	x.body = &body{remaining: limitedBody}
	if x.request.ContentLength > limit {
		return nil
	}
	buffered, err := io.ReadAll(io.LimitReader(limitedBody, limit+1))
	x.body.buffered, x.body.complete = buffered, int64(len(buffered)) <= limit
	return err
}

// reader returns a reader of the whole body for one attempt.
func (b *body) reader() io.Reader {
	if b.complete {
		return bytes.NewReader(b.buffered)
	}
	return attemptBody{io.MultiReader(bytes.NewReader(b.buffered), b.remaining), b}
}

// consumed reports whether the body can't be sent again, because a part that is not buffered has been read.
func (b *body) consumed() bool {
	return !b.complete && b.readStarted.Load()
}

func (p attemptBody) Read(buffer []byte) (int, error) {
	p.body.readStarted.Store(true)
	n, err := p.Reader.Read(buffer)
	var sizeError *http.MaxBytesError
	if errors.As(err, &sizeError) {
		p.body.tooLarge.Store(true)
	}
	return n, err
}

// respond copies the response of the successful attempt to the caller. If that fails, it panics with
// http.ErrAbortHandler; otherwise it adds the duration of the attempt to the latencies from which the delay of hedged
// requests is estimated.
func (x *callerRequest) respond(a *attempt) {
	h := x.writer.Header()
	exchange.CopyHeader(h, a.response.Header)
	exchange.SetHeader(h, message.HeaderRequestID, x.id, message.HeaderOutcome, message.OutcomeDone,
		message.HeaderAttempt, strconv.Itoa(a.number), message.HeaderVM, a.response.Header.Get(message.HeaderVM))
	discardRequestBody := exchange.EnableFullDuplex(x.writer, x.request)
	x.writer.WriteHeader(a.response.StatusCode)
	readError, writeError := exchange.CopyBody(x.writer, a.response.Body, false, nil)
	if readError != nil {
		a.signal = failureSignal
		counters.Add("truncated", 1)
	}
	if readError != nil || writeError != nil {
		panic(http.ErrAbortHandler)
	}
	counters.Add(message.OutcomeDone, 1)
	x.service.hedgeDelay.add(x.forwarder.Clock.Now().Sub(a.startedAt))
	discardRequestBody()
}

// newFailure returns the failure of a request that this entry rejects or can't send. The outcome is not-run if the
// request has no key. With a key it is unknown, because another entry may have sent a request with the same key.
func (x *callerRequest) newFailure(reason string, retryAfter time.Duration, format string, values ...any) message.ErrorResponse {
	f := notRunFailure(reason, retryAfter, format, values...)
	if x.key != "" {
		f.Outcome = message.OutcomeUnknown
	}
	return f
}

// writeFailure writes the failure as the response. The HTTP status follows from the reason of the failure.
func (x *callerRequest) writeFailure(f message.ErrorResponse) {
	x.writeFailureWithStatus(exchange.StatusCode(f), f)
}

func (x *callerRequest) writeFailureWithStatus(status int, f message.ErrorResponse) {
	counters.Add(f.Outcome+" "+f.Reason, 1)
	f.RequestID = x.id
	exchange.WriteErrorResponse(x.writer, status, f)
}

// notRunFailure returns the failure of a request that has not run. Its message is formatted like that of fmt.Sprintf.
func notRunFailure(reason string, retryAfter time.Duration, format string, values ...any) message.ErrorResponse {
	return message.ErrorResponse{
		Outcome: message.OutcomeNotRun, Reason: reason, RetryAfterMS: retryAfter.Milliseconds(),
		Message: "forwarder: " + fmt.Sprintf(format, values...),
	}
}
