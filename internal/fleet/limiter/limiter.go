// Package limiter limits the connections of a listener and the memory that their clients take, so that clients which ignore the limits of the protocol
// cannot use up the memory or the descriptors of the process.
package limiter

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// minStall is how long a connection must be without progress before another client may take its place.
	minStall = 200 * time.Millisecond
	// logInterval is the minimum time between two log lines about one part of a limiter.
	logInterval = time.Second
)

// Parts of a limiter: connections, memory for headers, and memory for messages (bodies of requests or frames).
const (
	connections part = iota
	headers
	messages
	partCount
)

type (
	// Clock tells the time.
	Clock interface{ Now() time.Time }

	// Meter receives the counters and gauges of a limiter.
	Meter interface {
		Count(name string)
		Gauge(name string, value func() int64)
	}

	// Limiter limits what the clients of one listener use. Of each part, a client that has stalled gives way to one that needs it; if there is none, the
	// client that needs it is refused. A connection has stalled if the process waits for its client and nothing was transferred for 200 ms.
	// Set the exported fields before use. A part with the limit 0 is not limited. Limiter is safe for concurrent use.
	Limiter struct {
		// Name begins the names of the parts in log lines and metrics.
		Name string
		// MaxConnections is the highest number of open connections.
		MaxConnections int
		// MaxHeaderBytes is the highest memory in bytes for the headers of all requests, and MaxMessageBytes that for all bodies or frames. One
		// message that alone needs more than that is permitted if there is no other one.
		MaxHeaderBytes, MaxMessageBytes int64
		// HeaderFactor is the memory in bytes that a received byte of headers takes at most.
		HeaderFactor int64
		// WriteTimeout is the time in which a client must take the data of one write. It may be up to 1 s less.
		WriteTimeout time.Duration
		// ReceiveBufferBytes and SendBufferBytes are the sizes of the kernel's buffers for each connection. 0 leaves them as they are.
		ReceiveBufferBytes, SendBufferBytes int
		Clock                               Clock
		Log                                 zerolog.Logger
		// Meter may be nil.
		Meter Meter

		mutex sync.Mutex
		open  map[*connection]struct{}
		used  [partCount]int64
		// suppressed is the number of events of each part since loggedAt, when the last line about it was logged.
		suppressed [partCount]int
		loggedAt   [partCount]time.Time
	}

	part int

	// listener limits the connections that it accepts.
	listener struct {
		net.Listener
		limiter *Limiter
	}
)

// partNames are the ends of the parts' names.
var partNames = [partCount]string{"connections", "headers", "messages"}

// Listen returns a listener that accepts the connections of l within the limits, and registers the gauges of the limiter. A connection beyond the limit
// is closed at once.
func (l *Limiter) Listen(inner net.Listener) net.Listener {
	if l.Meter != nil {
		for p := range partCount {
			if p == connections || l.max(p) > 0 {
				l.Meter.Gauge("used-"+l.partName(p), func() int64 { return l.usedOf(p) })
			}
		}
	}
	return &listener{inner, l}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limiter.add(conn); c != nil {
			return c, nil
		}
		_ = conn.Close()
	}
}

// ConfigureServer makes an HTTP server, which serves the listener of Listen, count the headers and the bodies of requests. bodyTimeout returns the time
// in which the body of a request must arrive. The handler of the server must be set.
func (l *Limiter) ConfigureServer(server *http.Server, bodyTimeout func(*http.Request) time.Duration) {
	server.Handler = &handler{server.Handler, bodyTimeout}
	server.ConnContext = withConnection
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*connection); ok && state == http.StateIdle {
			c.endExchange()
		}
	}
}

// add returns the limited connection, or nil if there are too many.
func (l *Limiter) add(conn net.Conn) *connection {
	l.setBuffers(conn)
	c := &connection{Conn: conn, limiter: l}
	c.progressAt.Store(l.Clock.Now().UnixNano())
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.MaxConnections > 0 && len(l.open) >= l.MaxConnections && !l.evict(connections, nil) {
		l.report(connections, "refused", conn)
		return nil
	}
	if l.open == nil {
		l.open = map[*connection]struct{}{}
	}
	l.open[c] = struct{}{}
	return c
}

// setBuffers limits what the kernel receives and sends. An error only leaves the buffers as they are.
func (l *Limiter) setBuffers(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	if l.ReceiveBufferBytes > 0 {
		_ = tcp.SetReadBuffer(l.ReceiveBufferBytes)
	}
	if l.SendBufferBytes > 0 {
		_ = tcp.SetWriteBuffer(l.SendBufferBytes)
	}
}

// reserve reserves bytes of a part for the connection and reports whether they are available.
func (l *Limiter) reserve(c *connection, p part, bytes int64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, ok := l.open[c]; !ok {
		return false
	}
	limit := l.max(p)
	// A connection that holds nearly everything gets the rest, because one message must not be refused when there is no other one.
	for limit > 0 && l.used[p]+bytes > limit && l.used[p] > c.held[p] {
		if !l.evict(p, c) {
			l.report(p, "refused", c)
			return false
		}
	}
	l.used[p] += bytes
	c.held[p] += bytes
	return true
}

// release releases bytes of a part that the connection holds.
func (l *Limiter) release(c *connection, p part, bytes int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	bytes = min(bytes, c.held[p])
	l.used[p] -= bytes
	c.held[p] -= bytes
}

// set changes the memory that the connection holds of a part, also beyond the limit.
func (l *Limiter) set(c *connection, p part, bytes int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, ok := l.open[c]; ok {
		l.used[p] += bytes - c.held[p]
		c.held[p] = bytes
	}
}

// remove releases everything that the connection holds.
func (l *Limiter) remove(c *connection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.drop(c)
}

// drop is remove with the mutex held.
func (l *Limiter) drop(c *connection) {
	if _, ok := l.open[c]; !ok {
		return
	}
	delete(l.open, c)
	for p := range partCount {
		l.used[p] -= c.held[p]
		c.held[p] = 0
	}
}

// evict closes the connection that has stalled for the longest time, other than c, among those that hold something of the part. It reports whether
// there is one. The mutex must be held.
func (l *Limiter) evict(p part, c *connection) bool {
	limit := l.Clock.Now().Add(-minStall).UnixNano()
	var victim *connection
	for o := range l.open {
		if o == c || !o.waitsForClient() || (p != connections && o.held[p] == 0) {
			continue
		}
		if at := o.progressAt.Load(); at <= limit && (victim == nil || at < victim.progressAt.Load()) {
			victim = o
		}
	}
	if victim == nil {
		return false
	}
	l.drop(victim)
	l.report(p, "closed", victim)
	_ = victim.Conn.Close()
	return true
}

// report counts and logs that a client was refused or that its connection was closed. The mutex must be held.
func (l *Limiter) report(p part, outcome string, conn net.Conn) {
	if l.Meter != nil {
		l.Meter.Count("clients-" + outcome + "-" + l.partName(p))
	}
	now := l.Clock.Now()
	l.suppressed[p]++
	if now.Sub(l.loggedAt[p]) < logInterval {
		return
	}
	l.Log.Warn().Str("part", l.partName(p)).Str("outcome", outcome).Str("client", conn.RemoteAddr().String()).Int("clients", l.suppressed[p]).
		Int64("used", l.use(p)).Int64("limit", l.max(p)).Msg("limit for clients reached")
	l.suppressed[p], l.loggedAt[p] = 0, now
}

func (l *Limiter) partName(p part) string { return l.Name + "-" + partNames[p] }

func (l *Limiter) max(p part) int64 {
	return [partCount]int64{int64(l.MaxConnections), l.MaxHeaderBytes, l.MaxMessageBytes}[p]
}

func (l *Limiter) usedOf(p part) int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.use(p)
}

// use returns how much of the part is in use. The mutex must be held.
func (l *Limiter) use(p part) int64 {
	if p == connections {
		return int64(len(l.open))
	}
	return l.used[p]
}
