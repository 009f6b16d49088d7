package gateway

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"bamboohook/internal/exchange"
	"bamboohook/internal/message"
	"bamboohook/internal/request/lingerer"
	"bamboohook/journaler"
)

const (
	// RequestPathPrefix is followed by the service name and the path at the endpoint.
	RequestPathPrefix = "/v1/requests/"

	maxIDLength = 256
)

type (
	// proxyRequest is one request that is forwarded to the endpoint.
	proxyRequest struct {
		gateway   *Gateway
		writer    http.ResponseWriter
		request   *http.Request
		service   string
		path      string
		method    string
		id        string
		attempt   string
		key       string
		remaining time.Duration
		target    *service
		// conn is the connection of a call that has not completed. The endpoint may still work on its request.
		conn net.Conn
	}

	// callResult is the result of a call of the endpoint.
	callResult struct {
		// notSent is true if the endpoint certainly did not receive the request.
		notSent  bool
		response journaler.Response
	}
)

func (g *Gateway) parse(w http.ResponseWriter, r *http.Request) (*proxyRequest, *message.ErrorResponse) {
	h := r.Header
	x := &proxyRequest{
		gateway: g, writer: w, request: r, method: h.Get(message.HeaderMethod),
		id: h.Get(message.HeaderRequestID), attempt: h.Get(message.HeaderAttempt), key: h.Get(message.HeaderKey),
	}
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), RequestPathPrefix)
	name, path, _ := strings.Cut(rest, "/")
	service, err := url.PathUnescape(name)
	x.service, x.path = service, path
	if !ok || err != nil || service == "" || r.Method != http.MethodPost || x.method == "" {
		return x, notRunFailure(message.ReasonBadRequest, 0, "%s %s; allowed is POST %s<service>/<path> with %s",
			r.Method, r.URL.Path, RequestPathPrefix, message.HeaderMethod)
	}
	if x.id == "" || len(x.id) > maxIDLength || x.attempt == "" || len(x.attempt) > maxIDLength || len(x.key) > journaler.MaxKeyLength {
		return x, notRunFailure(message.ReasonBadRequest, 0, "%s and %s need 1 to %d bytes, %s at most %d",
			message.HeaderRequestID, message.HeaderAttempt, maxIDLength, message.HeaderKey, journaler.MaxKeyLength)
	}
	if r.ContentLength > g.MaxBodyBytes {
		return x, notRunFailure(message.ReasonTooLarge, 0, "body of %d bytes; allowed are %d", r.ContentLength, g.MaxBodyBytes)
	}
	x.remaining, err = time.ParseDuration(h.Get(message.HeaderTimeout))
	if err != nil {
		return x, notRunFailure(message.ReasonBadRequest, 0, "%s %q is not a duration", message.HeaderTimeout, h.Get(message.HeaderTimeout))
	}
	if x.remaining <= 0 {
		return x, notRunFailure(message.ReasonPastDeadline, 0, "%s is %s on arrival", message.HeaderTimeout, x.remaining)
	}
	return x, nil
}

// call sends the request to the endpoint and streams the response. If the response ends early, call aborts the
// caller's connection after it has called done. If done is nil the call is cancelled when the caller
// disconnects.
func (x *proxyRequest) call(ctx context.Context, done func(callResult)) {
	if done == nil {
		done = func(callResult) {}
	}
	out, err := http.NewRequestWithContext(ctx, x.method, "http://"+x.target.address+x.targetPath(), nil)
	if err != nil {
		done(callResult{notSent: true})
		x.writeFailure(*notRunFailure(message.ReasonBadRequest, 0, "the request to the endpoint can't be created: %v", err))
		return
	}
	exchange.CopyHeader(out.Header, x.request.Header)
	exchange.SetHeader(out.Header, message.HeaderRequestID, x.id, message.HeaderAttempt, x.attempt,
		message.HeaderKind, x.request.Header.Get(message.HeaderKind))
	out.Body = exchange.NonReplayableBody(http.MaxBytesReader(x.writer, x.request.Body, x.gateway.MaxBodyBytes))
	out.ContentLength = x.request.ContentLength
	out, connected := exchange.TraceConnection(out)
	called := x.gateway.Clock.Now()
	response, err := x.gateway.transport.Load().RoundTrip(out)
	x.conn = connected()
	if err != nil {
		x.failCall(ctx, err, x.conn != nil, done)
		return
	}
	answered := x.gateway.Clock.Now()
	x.gateway.latencies.add(x.service, answered.Sub(called), answered)
	defer func() { _ = response.Body.Close() }()
	x.streamResponse(response, done)
}

func (x *proxyRequest) failCall(ctx context.Context, err error, connected bool, done func(callResult)) {
	f := notRunFailure(message.ReasonConnectionLost, 0, "call to the endpoint at %s failed: %v", x.target.address, err)
	if connected {
		f.Outcome = message.OutcomeUnknown
	}
	if ctx.Err() != nil {
		f.Reason = message.ReasonPastDeadline
	}
	done(callResult{notSent: !connected, response: journaler.Response{Failed: true}})
	x.writeFailure(*f)
}

func (x *proxyRequest) streamResponse(response *http.Response, done func(callResult)) {
	// Failed is cleared only at the end of the body, so that done reports a failure to the journal even if the
	// writer panics.
	recorded := journaler.Response{Status: response.StatusCode, Header: http.Header{}, Failed: true}
	defer func() { done(callResult{response: recorded}) }()
	exchange.CopyHeader(recorded.Header, response.Header)
	finish := exchange.EnableFullDuplex(x.writer, x.request)
	x.writeHead(recorded.Status, recorded.Header)
	var collect func([]byte)
	if x.key != "" {
		collect = func(part []byte) {
			if recorded.Omitted = recorded.Omitted || len(recorded.Body)+len(part) > maxCollectedBody; !recorded.Omitted {
				recorded.Body = append(recorded.Body, part...)
			}
		}
	}
	readError, writeError := exchange.CopyBody(x.writer, response.Body, x.key != "", collect)
	recorded.Failed = readError != nil
	if readError != nil || writeError != nil {
		counters.Add("aborted", 1)
		// Without an abort the truncated body would look complete.
		panic(http.ErrAbortHandler)
	}
	x.conn = nil
	counters.Add(message.OutcomeDone, 1)
	finish()
}

// releaseSlot releases the slot of the call once the endpoint has stopped working on its request.
func (x *proxyRequest) releaseSlot(release func()) {
	if x.conn == nil || lingerer.PeerClosed(x.conn) {
		release()
		return
	}
	go func() {
		lingerer.AwaitPeerClose(x.conn)
		release()
	}()
}

func (x *proxyRequest) targetPath() string {
	target := "/" + url.PathEscape(x.service) + "/" + x.path
	if q := x.request.URL.RawQuery; q != "" {
		target += "?" + q
	}
	return target
}

// writeHead writes the status and headers of the endpoint's response, and the headers that the entry verifies.
func (x *proxyRequest) writeHead(status int, header map[string][]string) {
	h := x.writer.Header()
	for name, values := range header {
		h[name] = values
	}
	x.setHeaders(h)
	exchange.SetHeader(h, message.HeaderRequestID, x.id, message.HeaderOutcome, message.OutcomeDone)
	x.writer.WriteHeader(status)
}

func (x *proxyRequest) setHeaders(h http.Header) {
	exchange.SetHeader(h, message.HeaderAttempt, x.attempt, message.HeaderVM, x.gateway.VM)
	if x.target != nil {
		admitted, _ := x.gateway.limiter.Counts("")
		h.Set(message.HeaderInFlight, strconv.Itoa(admitted))
	}
}

func (x *proxyRequest) writeFailure(f message.ErrorResponse) {
	counters.Add(f.Outcome+" "+f.Reason, 1)
	f.RequestID = x.id
	x.setHeaders(x.writer.Header())
	exchange.WriteErrorResponse(x.writer, exchange.StatusCode(f), f)
}
