package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"
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
	// conn is the connection, or nil. ended is closed when it has ended.
	conn  *rpc.Client
	ended <-chan struct{}
	// lastResponseAt is when a response last arrived.
	lastResponseAt time.Time
}

// Call calls the method with params and decodes the response into result, which may be nil. If the client cannot connect,
// Call returns ErrNotSent joined with the cause. After any other error of the call, the method may have run.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	body, err := json.Marshal(params)
	if err != nil {
		return eris.Wrap(err, "peer: cannot encode the parameters")
	}
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	request, response := message{method: method, timestamp: nextTimestamp(c.HybridClock), body: body}, message{}
	call := conn.Go(serviceMethod, &request, &response, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		err = ctx.Err()
	case <-call.Done:
		err = call.Error
	}
	var remoteError rpc.ServerError
	if err == nil || errors.As(err, &remoteError) {
		c.mutex.Lock()
		c.lastResponseAt = time.Now()
		c.mutex.Unlock()
	}
	if err != nil {
		return eris.Wrapf(err, "peer: call of %s at %s failed", method, c.Address)
	}
	observeTimestamp(c.HybridClock, response.timestamp)
	if result == nil {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(response.body, result), "peer: cannot decode the response of %s at %s", method, c.Address)
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
func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conn != nil {
		select {
		case <-c.ended:
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
	codec := &clientWire{wire: newWire(conn), ended: make(chan struct{})}
	c.conn, c.ended = rpc.NewClientWithCodec(codec), codec.ended
	return c.conn, nil
}
