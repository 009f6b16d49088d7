package limiter

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// refusal is the response to a request for whose headers there is no memory.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// refusalTimeout is the time for the transfer of the refusal to the kernel, which takes no time unless earlier responses have not been read.
	refusalTimeout = 10 * time.Millisecond
	// deadlineInterval is the minimum time between two changes of the deadline of writes, since each of them costs a change of a timer. Writes have that much
	// less time at most.
	deadlineInterval = time.Second
)

// errNoMemory ends a connection whose headers find no memory.
var errNoMemory = eris.New("limiter: no memory for the headers of the request")

type (
	// connection is a connection that counts against the limits of a listener.
	connection struct {
		net.Conn
		limiter *Limiter
		// held is what the connection holds of each part. The mutex of the limiter protects it.
		held [partCount]int64
		// progressAt is when data was last transferred, in Unix nanoseconds of the clock.
		progressAt atomic.Int64
		// deadlineSetAt is when the deadline of writes was last set, like progressAt, or 0.
		deadlineSetAt atomic.Int64
		// calls is the number of requests or calls that the process handles. While there is one, the process does not wait for the client, unless it
		// is writing.
		calls   atomic.Int32
		writing atomic.Int32
		// inExchange reports that the headers of an HTTP request have been read and the response has not been sent.
		inExchange atomic.Bool
	}

	connectionKey struct{}
)

// withConnection returns a context that contains the connection.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// connectionOf returns the connection of a request, or nil if it is not limited.
func connectionOf(ctx context.Context) *connection {
	c, _ := ctx.Value(connectionKey{}).(*connection)
	return c
}

// Read reads data and counts it as headers, unless it belongs to a body or the connection does not count headers.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.recordProgress()
	if l := c.limiter; l.MaxHeaderBytes > 0 && !c.inExchange.Load() && !l.reserve(c, headers, int64(n)*l.HeaderFactor) {
		return 0, c.refuse()
	}
	return n, err
}

// refuse tells the client to retry, if it takes the response at once, and returns the error for the HTTP server. The server must not respond: to an error
// that does not come from the network it responds with status 400, which callers take as final.
func (c *connection) refuse() error {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout)); err == nil {
		_, _ = io.WriteString(c.Conn, refusal)
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errNoMemory}
}

// Write writes data within the time-out.
func (c *connection) Write(b []byte) (int, error) {
	c.writing.Add(1)
	defer c.writing.Add(-1)
	c.recordProgress()
	if err := c.extendDeadline(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.recordProgress()
	return n, err
}

// extendDeadline sets the deadline of writes, unless it was set less than deadlineInterval ago.
func (c *connection) extendDeadline() error {
	now, set := c.progressAt.Load(), c.deadlineSetAt.Load()
	if c.limiter.WriteTimeout <= 0 || set != 0 && now-set < int64(deadlineInterval) {
		return nil
	}
	c.deadlineSetAt.Store(now)
	return c.SetWriteDeadline(time.Now().Add(c.limiter.WriteTimeout))
}

// Close closes the connection and releases everything that it holds.
func (c *connection) Close() error {
	c.limiter.remove(c)
	return c.Conn.Close()
}

// CloseWrite ends the data from the process, if the connection can do so. The HTTP server uses it so that the client receives the response before the
// connection is reset.
func (c *connection) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Reserve reserves bytes for a message and reports whether they are available.
func (c *connection) Reserve(bytes int64) bool { return c.limiter.reserve(c, messages, bytes) }

// Release releases bytes of messages.
func (c *connection) Release(bytes int64) { c.limiter.release(c, messages, bytes) }

// BeginCall records that the process handles a request of the client and does not wait for it.
func (c *connection) BeginCall() { c.calls.Add(1) }

// EndCall ends what BeginCall has begun.
func (c *connection) EndCall() {
	c.recordProgress()
	c.calls.Add(-1)
}

// beginExchange records that the headers of a request have been read, which take the given memory.
func (c *connection) beginExchange(headerBytes int64) {
	c.inExchange.Store(true)
	if c.limiter.MaxHeaderBytes > 0 {
		c.limiter.set(c, headers, headerBytes)
	}
}

// endExchange records that the response has been sent.
func (c *connection) endExchange() {
	c.limiter.set(c, headers, 0)
	c.inExchange.Store(false)
}

func (c *connection) recordProgress() { c.progressAt.Store(c.limiter.Clock.Now().UnixNano()) }

// waitsForClient reports whether the process waits for data from the client, or for the client to take data.
func (c *connection) waitsForClient() bool { return c.calls.Load() == 0 || c.writing.Load() > 0 }
