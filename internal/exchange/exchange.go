// Package exchange holds what the entry's and the agent's HTTP sides have in common: headers, transports, failures and bodies.
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
	// idleTimeout must be shorter than ServerIdleTimeout, so that the client closes an idle connection first. A server that
	// closes first can meet a new request on its way, which then ends as unknown.
	idleTimeout = 60 * time.Second
	// continueTimeout is how long the client holds back a streamed body for the server to accept or refuse the request.
	continueTimeout = time.Second
	maxFailureBytes = 16 << 10
	maxHeaderBytes  = 64 << 10
	// drainTimeout bounds how long an unread request body holds its connection after the response.
	drainTimeout = time.Second
	// lingerLimit bounds the wait for the peer of a connection that was closed early. A peer that works on after that, although its
	// caller has gone, is no longer waited for.
	lingerTimeout = 5 * time.Second
)

// ServerIdleTimeout is the http.Server.IdleTimeout of a request port.
const ServerIdleTimeout = 3 * time.Minute

// buffers saves an allocation of copyBuffer bytes for each response.
var buffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// NewTransport returns a transport that keeps up to connections connections to each address. It follows no redirect when used
// directly, changes no encoding and uses no proxy of the environment.
func NewTransport(connections int) *http.Transport {
	return &http.Transport{
		DialContext:           (&lingerer.Lingerer{Dial: (&net.Dialer{Timeout: dialTimeout}).DialContext, Limit: lingerTimeout}).DialContext,
		MaxConnsPerHost:       connections,
		MaxIdleConnsPerHost:   connections,
		MaxIdleConns:          0,
		IdleConnTimeout:       idleTimeout,
		ExpectContinueTimeout: continueTimeout,
		DisableCompression:    true,
		// The agent's journal and the entry's caller get these headers.
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Body wraps r so that net/http can't replay the request: a request with a body and without GetBody is sent once.
// This also holds for the empty body of a GET.
func NonReplayableBody(r io.Reader) io.ReadCloser {
	return io.NopCloser(struct{ io.Reader }{r})
}

// Trace returns a copy of the request, and a function that returns the connection that it was given, nil for none. Without one it
// was certainly not sent.
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

// CopyHeader copies end-to-end headers. It leaves out this product's headers, those of a single connection, and
// Idempotency-Key, which would allow net/http to replay a request.
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

// SetHeader sets headers, given as canonical names each followed by its value. All values share one allocation.
func SetHeader(h http.Header, pairs ...string) {
	values := make([]string, len(pairs)/2)
	for i := range values {
		values[i] = pairs[2*i+1]
		// The capacity keeps an Add from writing into the next value.
		h[pairs[2*i]] = values[i : i+1 : i+1]
	}
}

// CopyBody copies a response body and flushes after each read. An error of either side is returned; keep is called with
// each part, also after the writer failed if drain is true.
func CopyBody(w http.ResponseWriter, r io.Reader, drain bool, observe func([]byte)) (readError, writeError error) {
	flusher := http.NewResponseController(w)
	pooled := buffers.Get().(*[copyBufferBytes]byte)
	defer buffers.Put(pooled)
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

// Duplex allows the response to start before the request body has been read. Call it before the response's headers are
// written, and the returned function when the response is complete, unless the handler aborts.
func EnableFullDuplex(w http.ResponseWriter, r *http.Request) func() {
	c := http.NewResponseController(w)
	if c.EnableFullDuplex() != nil {
		return func() {}
	}
	return func() {
		// In this mode net/http panics if it meets the end of the body only after the handler has returned, so the rest is
		// read here, for a bounded time.
		_ = c.SetReadDeadline(time.Now().Add(drainTimeout))
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// WriteFailure answers with the failure as JSON, with its outcome and reason also in headers.
func WriteFailure(w http.ResponseWriter, status int, f message.Failure) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(message.HeaderOutcome, f.Outcome)
	h.Set(message.HeaderReason, f.Reason)
	h.Set(message.HeaderRequestID, f.RequestID)
	if f.RetryAfterMS > 0 {
		// Retry-After has whole seconds; rounding up never invites a caller too early.
		h.Set("Retry-After", strconv.FormatInt((f.RetryAfterMS+999)/1000, 10))
	}
	w.WriteHeader(status)
	// The caller may have gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(f)
}

// ReadFailure decodes the failure in a response. It returns false if there is none.
func ReadFailure(r io.Reader) (message.Failure, bool) {
	var f message.Failure
	err := json.NewDecoder(io.LimitReader(r, maxFailureBytes)).Decode(&f)
	return f, err == nil && f.Outcome != ""
}

// Status returns the HTTP status of a failure.
func StatusCode(f message.Failure) int {
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
