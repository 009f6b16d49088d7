package limiter

import (
	"context"
	"io"
	"net/http"
	"time"
)

const (
	// headerLineBytes is the memory that a header line takes beside its text, and requestBytes that of a request without its headers.
	headerLineBytes = 128
	requestBytes    = 2048
)

type (
	// handler counts the requests of limited connections and limits the time for their bodies.
	handler struct {
		inner       http.Handler
		bodyTimeout func(*http.Request) time.Duration
	}

	// body is the body of a request. When it has arrived, the process no longer waits for the client.
	body struct {
		io.ReadCloser
		connection *connection
		ended      bool
	}
)

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := connectionOf(r.Context())
	if c == nil {
		h.inner.ServeHTTP(w, r)
		return
	}
	c.beginExchange(headerMemory(r))
	if r.ContentLength == 0 {
		c.BeginCall()
		defer c.EndCall()
		h.inner.ServeHTTP(w, r)
		return
	}
	// The deadline also ends the reading of a body that the handler leaves unread.
	_ = c.SetReadDeadline(time.Now().Add(h.bodyTimeout(r)))
	b := &body{ReadCloser: r.Body, connection: c}
	r.Body = b
	defer func() {
		if b.ended {
			c.EndCall()
		}
		c.limiter.set(c, messages, 0)
	}()
	h.inner.ServeHTTP(w, r)
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.ended {
		b.ended = true
		b.connection.BeginCall()
		_ = b.connection.SetReadDeadline(time.Time{})
	}
	return n, err
}

// Reserve reserves bytes for the body of the request with the context until the request has ended. It reports whether they are available. A request
// whose connection is not limited always gets them.
func (*Limiter) Reserve(ctx context.Context, bytes int64) bool {
	c := connectionOf(ctx)
	return c == nil || c.Reserve(bytes)
}

// Abandon ends the reading of the rest of a request's body, so that a refusal is sent at once. The connection is closed after the response.
func (*Limiter) Abandon(ctx context.Context) {
	if c := connectionOf(ctx); c != nil {
		_ = c.SetReadDeadline(time.Now())
	}
}

// headerMemory returns the memory that the headers of a request take.
func headerMemory(r *http.Request) int64 {
	bytes := requestBytes + len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			bytes += headerLineBytes + len(name) + len(value)
		}
	}
	return int64(bytes)
}
