// Package exchange contains the HTTP code that entries and agents share: transports, headers, bodies and error responses.
package exchange

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bamboohook/internal/message"
	"bamboohook/internal/request/lingerer"
)

const (
	copyBufferBytes = 32 << 10
	dialTimeout     = 2 * time.Second
	// idleConnectionTimeout is how long a client keeps an idle connection. It must be shorter than ServerIdleTimeout, so that the client
	// closes the connection first. If the server closed it first, a request might be in transit already, and its outcome would be unknown.
	idleConnectionTimeout = 60 * time.Second
	// expectContinueTimeout is how long the client waits for the server to accept or reject the request before it sends a streamed body.
	expectContinueTimeout = time.Second
	maxErrorResponseBytes = 16 << 10
	maxHeaderBytes        = 64 << 10
	// drainTimeout bounds the time for reading the rest of a request body after the response has been sent.
	drainTimeout = time.Second
	// lingerTimeout bounds the wait until the peer closes its side of a connection that this side has closed before the end of a
	// request. A peer that still works on the request after that time counts as finished.
	lingerTimeout = 5 * time.Second
)

// ServerIdleTimeout is how long a server of requests keeps an idle connection; it is the value for http.Server.IdleTimeout.
const ServerIdleTimeout = 3 * time.Minute

// copyBuffers contains buffers for reuse by CopyBody, which saves an allocation of copyBufferBytes for each response.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// NewTransport returns a transport with at most maxConnections connections to each address. It doesn't decompress responses and
// ignores proxies set in the environment. A caller of its RoundTrip method gets redirects as responses; only an http.Client follows them.
func NewTransport(maxConnections int) *http.Transport {
	return &http.Transport{
		DialContext:           (&lingerer.Lingerer{Dial: (&net.Dialer{Timeout: dialTimeout}).DialContext, MaxLingerTime: lingerTimeout}).DialContext,
		MaxConnsPerHost:       maxConnections,
		MaxIdleConnsPerHost:   maxConnections,
		MaxIdleConns:          0,
		IdleConnTimeout:       idleConnectionTimeout,
		ExpectContinueTimeout: expectContinueTimeout,
		DisableCompression:    true,
		// The size is limited because the agent stores these headers in its journal and the entry sends them to the caller.
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// NonReplayableBody wraps r for use as a request body, so that net/http can't replay the request: a request with a body but without GetBody
// is sent only once. Even a request without content is sent only once if it gets a wrapped empty body.
func NonReplayableBody(r io.Reader) io.ReadCloser {
	return io.NopCloser(struct{ io.Reader }{r})
}

// TraceConnection returns a copy of the request and a function that returns the connection on which the copy is sent, or nil as long as
// there is none. If the function returns nil after the request has failed, the request was certainly not sent.
func TraceConnection(r *http.Request) (*http.Request, func() net.Conn) {
	var acquired atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { acquired.Store(&info.Conn) }}
	return r.WithContext(httptrace.WithClientTrace(r.Context(), trace)), func() net.Conn {
		if c := acquired.Load(); c != nil {
			return *c
		}
		return nil
	}
}

// CopyHeader copies the headers that are meant for the final recipient. It omits headers with the prefix Bamboohook-, the hop-by-hop
// headers, which concern only one connection, and Idempotency-Key, which would allow net/http to replay a request.
func CopyHeader(to, from http.Header) {
	connectionHeaders := map[string]bool{}
	for _, v := range from["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			connectionHeaders[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		switch name {
		case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
			"Transfer-Encoding", "Upgrade", "Expect", "Idempotency-Key", "X-Idempotency-Key":
			continue
		}
		if !connectionHeaders[name] && !strings.HasPrefix(name, "Bamboohook-") {
			to[name] = values
		}
	}
}

// SetHeader sets headers. namesAndValues alternates canonical header names and values. All values share one allocation.
func SetHeader(h http.Header, namesAndValues ...string) {
	values := make([]string, len(namesAndValues)/2)
	for i := range values {
		values[i] = namesAndValues[2*i+1]
		// The limited capacity keeps Header.Add from overwriting the next value.
		h[namesAndValues[2*i]] = values[i : i+1 : i+1]
	}
}

// CopyBody copies the response body r to w and flushes w after each read. It returns the errors of reading and of writing separately. It
// calls observe, if not nil, with each chunk. After a write error it reads on to the end of r only if drain is true.
func CopyBody(w http.ResponseWriter, r io.Reader, drain bool, observe func([]byte)) (readError, writeError error) {
	flusher := http.NewResponseController(w)
	pooled := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(pooled)
	buffer := pooled[:]
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			if observe != nil {
				observe(buffer[:n])
			}
			if writeError == nil {
				if _, writeError = w.Write(buffer[:n]); writeError == nil {
					writeError = flusher.Flush()
				}
			}
			if writeError != nil && !drain {
				return nil, writeError
			}
		}
		if err == io.EOF {
			return nil, writeError
		}
		if err != nil {
			return err, writeError
		}
	}
}

// EnableFullDuplex allows a handler to start the response before it has read the request body. Call it before writing the response headers.
// Call the returned function when the response is complete, unless the handler aborts the response.
func EnableFullDuplex(w http.ResponseWriter, r *http.Request) func() {
	c := http.NewResponseController(w)
	if c.EnableFullDuplex() != nil {
		return func() {}
	}
	return func() {
		// In full-duplex mode net/http panics if it reaches the end of the body after the handler has returned. Therefore the
		// rest is read here, for a limited time.
		_ = c.SetReadDeadline(time.Now().Add(drainTimeout))
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// WriteErrorResponse writes f as a JSON response with the status. It also sets the outcome, the reason and the request ID as headers.
func WriteErrorResponse(w http.ResponseWriter, status int, f message.ErrorResponse) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(message.HeaderOutcome, f.Outcome)
	h.Set(message.HeaderReason, f.Reason)
	h.Set(message.HeaderRequestID, f.RequestID)
	if f.RetryAfterMS > 0 {
		// Retry-After is in whole seconds. It is rounded up, so that callers never retry too early.
		h.Set("Retry-After", strconv.FormatInt((f.RetryAfterMS+999)/1000, 10))
	}
	w.WriteHeader(status)
	// Encoding fails only if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(f)
}

// ReadErrorResponse decodes an error response that WriteErrorResponse has written. It returns false if r contains none.
func ReadErrorResponse(r io.Reader) (message.ErrorResponse, bool) {
	var f message.ErrorResponse
	err := json.NewDecoder(io.LimitReader(r, maxErrorResponseBytes)).Decode(&f)
	return f, err == nil && f.Outcome != ""
}

// StatusCode returns the HTTP status code for an error response, which depends on the reason of the error.
func StatusCode(f message.ErrorResponse) int {
	switch f.Reason {
	case message.ReasonPastDeadline:
		return http.StatusGatewayTimeout
	case message.ReasonBadRequest:
		return http.StatusBadRequest
	case message.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case message.ReasonUnknownService:
		return http.StatusNotFound
	case message.ReasonKeyUnknown, message.ReasonCancelled:
		return http.StatusConflict
	case message.ReasonConnectionLost:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
