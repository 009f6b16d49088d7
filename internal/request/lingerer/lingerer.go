// Package lingerer detects when the peer of a connection that was closed early has closed its side too.
//
// A client that cancels a request closes its connection, but the server keeps working on the request until it notices. Code that counts
// the requests in progress at a server must count such a request until then.
package lingerer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// closeTimeout is the maximum time that the user of a connection needs to close it after a request has failed.
const closeTimeout = 100 * time.Millisecond

type (
	// Lingerer dials connections that are closed in two steps: the sending side at once, the receiving side when the peer has closed its
	// side. Set the exported fields before the first use. Lingerer is safe for concurrent use.
	Lingerer struct {
		// Dial opens a TCP connection.
		Dial func(ctx context.Context, network, address string) (net.Conn, error)
		// Limit is the maximum time between the two steps.
		Limit time.Duration
	}

	conn struct {
		net.Conn
		limit         time.Duration
		closeOnce     sync.Once
		peerCloseOnce sync.Once
		// closed is closed by Close.
		closed chan struct{}
		// peerClosed is closed when the peer has closed its side, or at the limit.
		peerClosed chan struct{}
	}

	halfCloser interface {
		CloseWrite() error
	}
)

// DialContext opens a connection like net.Dialer.DialContext.
func (l *Lingerer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := l.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: connection, limit: l.Limit, closed: make(chan struct{}), peerClosed: make(chan struct{})}, nil
}

// PeerClosed reports whether the peer of a connection that DialContext opened has closed its side. It returns true for other connections.
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

// AwaitPeerClose waits until PeerClosed is true for a connection that this side closes, at most until the limit. For a connection that
// stays open it returns after closeTimeout: such a connection was returned for reuse, so its peer has finished the request.
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

// Read reads from the connection and detects that the peer has closed its side.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	var timeout net.Error
	if err != nil && (!errors.As(err, &timeout) || !timeout.Timeout()) {
		c.markPeerClosed()
	}
	return n, err
}

// Close closes the sending side, and the receiving side in the background. Errors of the second step are ignored, because the connection
// is no longer in use.
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
			// The data that still arrives belongs to the cancelled request.
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
