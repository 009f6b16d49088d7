// Package peer carries jsonrpc2 calls between processes over TCP.
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"bamboohook/internal/codec"
	"bamboohook/recorder"
)

type (
	// Handler answers one method. A returned error becomes the error of the call at the other side.
	Handler func(ctx context.Context, params json.RawMessage) (any, error)

	// Clock is the hybrid logical clock of the process. Each message carries a stamp, so that events of different
	// processes sort after their causes.
	HybridClock interface {
		NextTimestamp() recorder.Timestamp
		Observe(remote recorder.Timestamp) bool
	}

	// Server answers calls on a listener. Register all handlers before Run. Each call runs in its own goroutine.
	Server struct {
		// Clock may be nil; then messages carry no stamp.
		Clock HybridClock

		handlers    map[string]Handler
		mutex       sync.Mutex
		connections map[*jsonrpc2.Conn]struct{}
		closing     bool
		calls       sync.WaitGroup
	}

	// envelope is the parameters or the result of a call with the sender's stamp.
	envelope struct {
		Timestamp recorder.Timestamp `json:"stamp"`
		Body      json.RawMessage    `json:"body,omitempty"`
	}

	// callHandler runs each call in a goroutine and keeps the server from closing before it is answered.
	callHandler struct {
		server *Server
		next   jsonrpc2.Handler
	}
)

var malformedFrames = expvar.NewInt("peer-malformed-frames")

// Handle registers h for the method. It must be called before Run.
func (s *Server) Handle(method string, h Handler) {
	if s.handlers == nil {
		s.handlers = map[string]Handler{}
	}
	s.handlers[method] = h
}

// Run accepts connections on l until ctx ends, then closes all connections after the calls in
// progress have been answered, and returns nil. It returns an error only if accepting fails for good.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			s.shutdown()
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return eris.Wrap(err, "peer: listener closed")
		}
		if err != nil {
			// A shortage of file descriptors is temporary; a pause keeps the loop from spinning.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	stream := jsonrpc2.NewBufferedStream(conn, countingCodec())
	handler := callHandler{server: s, next: jsonrpc2.HandlerWithError(s.dispatch)}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rpc := jsonrpc2.NewConn(context.Background(), stream, handler, jsonrpc2.SetLogger(silentLogger{}))
	if s.connections == nil {
		s.connections = map[*jsonrpc2.Conn]struct{}{}
	}
	s.connections[rpc] = struct{}{}
	go func() {
		<-rpc.DisconnectNotify()
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.connections, rpc)
	}()
}

func (s *Server) dispatch(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	h, ok := s.handlers[r.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "peer: unknown method " + r.Method}
	}
	var received envelope
	if r.Params == nil || json.Unmarshal(*r.Params, &received) != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "peer: parameters have no envelope"}
	}
	observeTimestamp(s.Clock, received.Timestamp)
	result, err := h(ctx, received.Body)
	if err != nil {
		return nil, err
	}
	return newEnvelope(s.Clock, result)
}

// wrap encodes a body with the stamp of the moment of sending.
func newEnvelope(clock HybridClock, body any) (envelope, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return envelope{}, eris.Wrap(err, "peer: cannot encode")
	}
	e := envelope{Body: encoded}
	if clock != nil {
		e.Timestamp = clock.NextTimestamp()
	}
	return e, nil
}

func observeTimestamp(clock HybridClock, stamp recorder.Timestamp) {
	if clock != nil {
		clock.Observe(stamp)
	}
}

func (s *Server) shutdown() {
	s.mutex.Lock()
	s.closing = true
	s.mutex.Unlock()
	s.calls.Wait()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.connections {
		_ = c.Close()
	}
}

// Handle starts the call. During shutdown it answers with an error instead.
func (h callHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	h.server.mutex.Lock()
	closing := h.server.closing
	if !closing {
		h.server.calls.Add(1)
	}
	h.server.mutex.Unlock()
	if closing {
		_ = conn.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "peer: shutting down"})
		return
	}
	go func() {
		defer h.server.calls.Done()
		h.next.Handle(ctx, conn, r)
	}()
}

func countingCodec() codec.Codec {
	return codec.Codec{OnMalformed: func(error) { malformedFrames.Add(1) }}
}

// silentLogger drops the library's lines; malformed frames are counted instead.
type silentLogger struct{}

func (silentLogger) Printf(string, ...any) {}
