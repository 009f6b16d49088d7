package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
)

const dialTimeout = 2 * time.Second

// ErrNotSent reports that the client could not connect to the server, so the server has not received the call.
var ErrNotSent = eris.New("peer: call was not sent")

// Client calls methods of one server over a single connection. It connects on the first call, and again on a call after
// the connection was closed. It is safe for concurrent use.
type Client struct {
	// Address is the IP address and port of the server.
	Address string
	// HybridClock is the hybrid logical clock of the process. If it is nil, the timestamps of sent messages are zero, and
	// those of received messages are ignored.
	HybridClock HybridClock

	mutex sync.Mutex
	conn  *jsonrpc2.Conn
	// lastResponseAt is when a response last arrived.
	lastResponseAt time.Time
}

// Call calls the method with params and decodes the response into result, which may be nil. If the client cannot connect,
// Call returns ErrNotSent joined with the cause. After any other error of the call, the method may have run.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	request, err := newEnvelope(c.HybridClock, params)
	if err != nil {
		return err
	}
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	var response envelope
	err = conn.Call(ctx, method, request, &response)
	var remoteError *jsonrpc2.Error
	if err == nil || errors.As(err, &remoteError) {
		c.mutex.Lock()
		c.lastResponseAt = time.Now()
		c.mutex.Unlock()
	}
	if err != nil {
		return eris.Wrapf(err, "peer: call of %s at %s failed", method, c.Address)
	}
	observeTimestamp(c.HybridClock, response.Timestamp)
	if result == nil {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(response.Body, result), "peer: cannot decode the response of %s at %s", method, c.Address)
}

// Close closes the connection. A later call opens a new one.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// CloseIfSilent closes the connection like Close, unless a response has arrived after the given time. Use it after a call without a response: a server
// that responds to other calls has not disappeared, and the other calls in progress would fail.
func (c *Client) CloseIfSilent(since time.Time) {
	c.mutex.Lock()
	silent := !c.lastResponseAt.After(since)
	c.mutex.Unlock()
	if silent {
		c.Close()
	}
}

// connect returns the open connection. If there is none, it opens a new one.
func (c *Client) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conn != nil {
		select {
		case <-c.conn.DisconnectNotify():
			c.conn = nil
		default:
			return c.conn, nil
		}
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	stream := jsonrpc2.NewBufferedStream(conn, countingCodec())
	handler := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "peer: this side answers no calls"}
	})
	c.conn = jsonrpc2.NewConn(context.Background(), stream, handler, jsonrpc2.SetLogger(silentLogger{}))
	return c.conn, nil
}
