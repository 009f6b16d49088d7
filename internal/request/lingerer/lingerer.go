// Package lingerer tells when the peer of a connection that was closed early has noticed it.
//
// A caller that gives a request up closes its connection, but the server works on until it notices. Whoever counts the requests at a
// server must count such a request until then.
package lingerer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// closingTime is how long the user of a connection takes at most to close it after a request has failed.
const closeTimeout = 100 * time.Millisecond

type (
	// Lingerer dials connections that are closed in two steps: the own side at once, the rest when the peer has closed its side. Set the
	// exported fields before the first use. Concurrent use is safe.
	Lingerer struct {
		// Dial opens a TCP connection.
		Dial func(ctx context.Context, network, address string) (net.Conn, error)
		// Limit bounds the time between the two steps.
		Limit time.Duration
	}

	conn struct {
		net.Conn
		limit         time.Duration
		closeOnce     sync.Once
		peerCloseOnce sync.Once
		// closed is closed when the own side is.
		closed chan struct{}
		// ended is closed when the peer has closed its side, or at the limit.
		peerClosed chan struct{}
	}

	halfCloser interface {
		CloseWrite() error
	}
)

// DialContext opens a connection, as net.Dialer does.
func (l *Lingerer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := l.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: connection, limit: l.Limit, closed: make(chan struct{}), peerClosed: make(chan struct{})}, nil
}

// Ended reports whether the peer of a connection that DialContext opened has closed its side. It is true for other connections.
func PeerClosed(c net.Conn) bool {
	lingering, ok := c.(*conn)
	if !ok {
		return true
	}
	select {
	case <-lingering.peerClosed:
		return true
	default:
		return false
	}
}

// Await returns when Ended is true of a connection that is being closed here, at the latest after the limit. A connection that stays
// open is in use again, so that its peer has done with what it was used for.
func AwaitPeerClose(c net.Conn) {
	lingering, ok := c.(*conn)
	if !ok {
		return
	}
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-lingering.closed:
	case <-lingering.peerClosed:
	case <-timer.C:
		return
	}
	timer.Reset(lingering.limit)
	select {
	case <-lingering.peerClosed:
	case <-timer.C:
	}
}

// Read notes the end that the peer has set.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	var timeout net.Error
	if err != nil && (!errors.As(err, &timeout) || !timeout.Timeout()) {
		c.markPeerClosed()
	}
	return n, err
}

// Close closes the own side, and the rest in the background. Errors of the rest have no effect on anyone.
func (c *conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		close(c.closed)
		half, ok := c.Conn.(halfCloser)
		if !ok || PeerClosed(c) {
			err = c.Conn.Close()
			c.markPeerClosed()
			return
		}
		err = errors.Join(half.CloseWrite(), c.SetReadDeadline(time.Now().Add(c.limit)))
		go func() {
			// What still arrives was given up.
			_, _ = io.Copy(io.Discard, c.Conn)
			_ = c.Conn.Close()
			c.markPeerClosed()
		}()
	})
	return err
}

func (c *conn) markPeerClosed() {
	c.peerCloseOnce.Do(func() { close(c.peerClosed) })
}
