// Package lingerer detects when the peer closes its side of a connection that this side has closed before the end of a request.
//
// A client that cancels a request closes its connection, but the server keeps working on the request until it notices. Code that counts the
// requests in progress at a server must count such a request until then.
package lingerer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// localCloseTimeout is how long AwaitPeerClose waits for this side to close the connection of a request that has failed.
const localCloseTimeout = 100 * time.Millisecond

type (
	// Lingerer dials connections that are closed in two steps: the sending side at once, the receiving side when the peer has closed its
	// side. Set the exported fields before the first use. Lingerer is safe for concurrent use.
	Lingerer struct {
		// Dial opens a TCP connection.
		Dial func(ctx context.Context, network, address string) (net.Conn, error)
		// MaxLingerTime is the maximum time between the closing of the sending side and that of the receiving side.
		MaxLingerTime time.Duration
	}

	conn struct {
		net.Conn
		maxLingerTime time.Duration
		closeOnce     sync.Once
		peerCloseOnce sync.Once
		// locallyClosed is a channel that Close closes when this side closes the connection.
		locallyClosed chan struct{}
		// peerClosed is a channel that is closed when the peer has closed its side or when MaxLingerTime has passed after Close.
		peerClosed chan struct{}
	}

	halfCloser interface {
		CloseWrite() error
	}
)

// DialContext opens a connection like net.Dialer.DialContext. Its Close method works in the two steps that Lingerer describes.
func (l *Lingerer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := l.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: connection, maxLingerTime: l.MaxLingerTime, locallyClosed: make(chan struct{}), peerClosed: make(chan struct{})}, nil
}

// PeerClosed reports whether the peer of a connection that DialContext opened has closed its side, or counts as closed because
// Lingerer.MaxLingerTime has passed since this side closed the connection. It returns true for other connections.
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

// AwaitPeerClose waits until PeerClosed returns true, at most for Lingerer.MaxLingerTime, if this side closes the connection within
// localCloseTimeout. Otherwise it returns after localCloseTimeout: the connection was then kept for the next request, so the peer has
// finished this one.
func AwaitPeerClose(c net.Conn) {
	lingering, ok := c.(*conn)
	if !ok {
		return
	}
	timer := time.NewTimer(localCloseTimeout)
	defer timer.Stop()
	select {
	case <-lingering.locallyClosed:
	case <-lingering.peerClosed:
	case <-timer.C:
		return
	}
	timer.Reset(lingering.maxLingerTime)
	select {
	case <-lingering.peerClosed:
	case <-timer.C:
	}
}

// Read reads from the connection. An error other than a timeout shows that the peer has closed its side.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	var timeout net.Error
	if err != nil && (!errors.As(err, &timeout) || !timeout.Timeout()) {
		c.markPeerClosed()
	}
	return n, err
}

// Close closes the sending side at once. In the background it closes the receiving side when the peer has closed its side or when
// MaxLingerTime has passed. It ignores errors of this second step, because the connection is no longer in use.
func (c *conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		close(c.locallyClosed)
		half, ok := c.Conn.(halfCloser)
		if !ok || PeerClosed(c) {
			err = c.Conn.Close()
			c.markPeerClosed()
			return
		}
		err = errors.Join(half.CloseWrite(), c.SetReadDeadline(time.Now().Add(c.maxLingerTime)))
		go func() {
			// Data that still arrives is discarded, because it belongs to the cancelled request.
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
