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
	// RequestPathPrefix is the start of the URL path of a request from an entry. It is followed by the service name, a
	// slash and the path for the endpoint.
	RequestPathPrefix = "/v1/requests/"

	// maxIDLength is the maximum length in bytes of the request ID and of the attempt number in a request. It is higher
	// than the limit of an entry for the request IDs of callers, which is 128.
	maxIDLength = 256
)

type (
	// proxyRequest is one request of an entry that the gateway forwards to the endpoint.
	proxyRequest struct {
		gateway *Gateway
		writer  http.ResponseWriter
		request *http.Request
		service string
		// path is the escaped URL path after the service name, and method the HTTP method of the request to the
		// endpoint.
		path   string
		method string
		// id is the ID of the caller's request. attempt is the number of the attempt; an entry counts the attempts to
		// send a request. key is the idempotency key, or empty.
		id      string
		attempt string
		key     string
		// timeout is the time from the moment at which the entry sent the request until its deadline.
		timeout time.Duration
		// targetService is the service of the request; it is nil until the request has been admitted.
		targetService *service
		// conn is the connection on which the request was sent to the endpoint. It is nil if there was none, and again
		// after the whole response has been forwarded.
		conn net.Conn
	}

	// callResult is the result of sending a request to the endpoint.
	callResult struct {
		// notSent is true if the endpoint certainly did not receive the request.
		notSent bool
		// response is what the journal stores, unless notSent is true.
		response journaler.Response
	}
)

// parse reads the path and the headers of a request. It returns a failure if they are invalid, if the body is too
// large, or if the request arrived after its deadline. The returned proxyRequest is never nil.
func (g *Gateway) parse(w http.ResponseWriter, r *http.Request) (*proxyRequest, *message.ErrorResponse) {
	h := r.Header
	x := &proxyRequest{
		gateway: g, writer: w, request: r, method: h.Get(message.HeaderMethod),
		id: h.Get(message.HeaderRequestID), attempt: h.Get(message.HeaderAttempt), key: h.Get(message.HeaderKey),
	}
	suffix, ok := strings.CutPrefix(r.URL.EscapedPath(), RequestPathPrefix)
	escapedName, path, _ := strings.Cut(suffix, "/")
	service, err := url.PathUnescape(escapedName)
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
	x.timeout, err = time.ParseDuration(h.Get(message.HeaderTimeout))
	if err != nil {
		return x, notRunFailure(message.ReasonBadRequest, 0, "%s %q is not a duration", message.HeaderTimeout, h.Get(message.HeaderTimeout))
	}
	if x.timeout <= 0 {
		return x, notRunFailure(message.ReasonPastDeadline, 0, "%s is %s on arrival", message.HeaderTimeout, x.timeout)
	}
	return x, nil
}

// call sends the request to the endpoint and streams the response to the entry. When the result is known, call passes
// it to onResult, which may be nil. If the endpoint sends an incomplete response, or if the entry disconnects, call
// panics with http.ErrAbortHandler after calling onResult; net/http then closes the connection to the entry. The call
// is cancelled when ctx ends.
func (x *proxyRequest) call(ctx context.Context, onResult func(callResult)) {
	if onResult == nil {
		onResult = func(callResult) {}
	}
	outgoing, err := http.NewRequestWithContext(ctx, x.method, "http://"+x.targetService.address+x.targetPathAndQuery(), nil)
	if err != nil {
		onResult(callResult{notSent: true})
		x.writeFailure(*notRunFailure(message.ReasonBadRequest, 0, "the request can't be formed: %v", err))
		return
	}
	exchange.CopyHeader(outgoing.Header, x.request.Header)
	exchange.SetHeader(outgoing.Header, message.HeaderRequestID, x.id, message.HeaderAttempt, x.attempt,
		message.HeaderKind, x.request.Header.Get(message.HeaderKind))
	outgoing.Body = exchange.NonReplayableBody(http.MaxBytesReader(x.writer, x.request.Body, x.gateway.MaxBodyBytes))
	outgoing.ContentLength = x.request.ContentLength
	outgoing, getConnection := exchange.TraceConnection(outgoing)
	sentAt := x.gateway.Clock.Now()
	response, err := x.gateway.transport.Load().RoundTrip(outgoing)
	x.conn = getConnection()
	if err != nil {
		x.writeCallFailure(ctx, err, x.conn != nil, onResult)
		return
	}
	respondedAt := x.gateway.Clock.Now()
	x.gateway.latencies.add(x.service, respondedAt.Sub(sentAt), respondedAt)
	defer func() { _ = response.Body.Close() }()
	x.streamResponse(response, onResult)
}

// writeCallFailure passes the result of a call without a response to onResult, and writes the failure. The outcome is
// not-run only if no connection to the endpoint was made; otherwise it is unknown.
func (x *proxyRequest) writeCallFailure(ctx context.Context, err error, connected bool, onResult func(callResult)) {
	f := notRunFailure(message.ReasonConnectionLost, 0, "call of the endpoint at %s: %v", x.targetService.address, err)
	if connected {
		f.Outcome = message.OutcomeUnknown
	}
	if ctx.Err() != nil {
		f.Reason = message.ReasonPastDeadline
	}
	onResult(callResult{notSent: !connected, response: journaler.Response{Failed: true}})
	x.writeFailure(*f)
}

// streamResponse copies the response of the endpoint to the entry. If the request has a key, it also collects the body
// for the journal.
func (x *proxyRequest) streamResponse(response *http.Response, onResult func(callResult)) {
	// Failed is true until the whole body has been read, so that onResult also gets a failure if CopyBody panics.
	journalResponse := journaler.Response{Status: response.StatusCode, Header: http.Header{}, Failed: true}
	defer func() { onResult(callResult{response: journalResponse}) }()
	exchange.CopyHeader(journalResponse.Header, response.Header)
	discardRequestBody := exchange.EnableFullDuplex(x.writer, x.request)
	x.writeHead(journalResponse.Status, journalResponse.Header)
	var collect func([]byte)
	if x.key != "" {
		collect = func(chunk []byte) {
			if journalResponse.Omitted = journalResponse.Omitted || len(journalResponse.Body)+len(chunk) > maxCollectedBody; !journalResponse.Omitted {
				journalResponse.Body = append(journalResponse.Body, chunk...)
			}
		}
	}
	readError, writeError := exchange.CopyBody(x.writer, response.Body, x.key != "", collect)
	journalResponse.Failed = readError != nil
	if readError != nil || writeError != nil {
		counters.Add("aborted", 1)
		// If the connection stayed open, the entry could take the truncated body for a complete one.
		panic(http.ErrAbortHandler)
	}
	x.conn = nil
	counters.Add(message.OutcomeDone, 1)
	discardRequestBody()
}

// releaseSlot releases the slot of the request. It does so at once if no connection is left on which the endpoint could
// be working on the request; otherwise a goroutine does so when the endpoint has closed the connection, or has not done
// so within the time limit of package lingerer.
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

// targetPathAndQuery returns the URL path and query of the request to the endpoint. The path starts with the service
// name.
func (x *proxyRequest) targetPathAndQuery() string {
	pathAndQuery := "/" + url.PathEscape(x.service) + "/" + x.path
	if q := x.request.URL.RawQuery; q != "" {
		pathAndQuery += "?" + q
	}
	return pathAndQuery
}

// writeHead writes the status and headers of the endpoint's response. It adds the Bamboohook headers from which the
// entry can tell that the response belongs to its request.
func (x *proxyRequest) writeHead(status int, header map[string][]string) {
	h := x.writer.Header()
	for name, values := range header {
		h[name] = values
	}
	x.setHeaders(h)
	exchange.SetHeader(h, message.HeaderRequestID, x.id, message.HeaderOutcome, message.OutcomeDone)
	x.writer.WriteHeader(status)
}

// setHeaders sets the Bamboohook headers that both the response of the endpoint and a failure have.
func (x *proxyRequest) setHeaders(h http.Header) {
	exchange.SetHeader(h, message.HeaderAttempt, x.attempt, message.HeaderVM, x.gateway.VM)
	if x.targetService != nil {
		running, _ := x.gateway.limiter.Counts("")
		h.Set(message.HeaderInFlight, strconv.Itoa(running))
	}
}

// writeFailure increments the counter of the failure and writes the failure as the response.
func (x *proxyRequest) writeFailure(f message.ErrorResponse) {
	counters.Add(f.Outcome+" "+f.Reason, 1)
	f.RequestID = x.id
	x.setHeaders(x.writer.Header())
	exchange.WriteErrorResponse(x.writer, exchange.StatusCode(f), f)
}
