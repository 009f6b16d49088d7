// Package peer provides client and server for JSON-RPC 2.0 calls between processes over TCP.
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"bamboohook/internal/codec"
	"bamboohook/recorder"
)

type (
	// Handler handles the calls of one method. The server sends the returned result or error to the client.
	Handler func(ctx context.Context, params json.RawMessage) (any, error)

	// HybridClock is the hybrid logical clock of a process. Client and Server send a timestamp with each message and pass
	// the timestamps of received messages to Observe, so that events are ordered after their causes in other processes.
	HybridClock interface {
		NextTimestamp() recorder.Timestamp
		Observe(remote recorder.Timestamp) bool
	}

	// Server handles the calls on a listener. Register all handlers before Run. Each call runs in its own goroutine.
	Server struct {
		// HybridClock is the hybrid logical clock of the process. If it is nil, the timestamps of sent messages are zero,
		// and those of received messages are ignored.
		HybridClock HybridClock
		// OnPanic is called after the handler of the method has panicked, with the value and the stack. The call then gets an error as its
		// response, because a single message must not end the process. OnPanic may be nil.
		OnPanic func(method string, value any, stack []byte)

		handlers        map[string]Handler
		mutex           sync.Mutex
		connections     map[*jsonrpc2.Conn]struct{}
		closing         bool
		callsInProgress sync.WaitGroup
	}

	// envelope is the content of a message: the parameters or the result of a call, and the sender's timestamp.
	envelope struct {
		Timestamp recorder.Timestamp `json:"stamp"`
		Body      json.RawMessage    `json:"body,omitempty"`
	}

	// callHandler runs each call in a goroutine of its own and adds it to Server.callsInProgress, so that the server
	// closes its connections only after all calls have ended.
	callHandler struct {
		server  *Server
		handler jsonrpc2.Handler
	}
)

var (
	// invalidFrames counts the received frames that are too large or malformed.
	invalidFrames = expvar.NewInt("peer-malformed-frames")
	// handlerPanics counts the calls whose handler has panicked.
	handlerPanics = expvar.NewInt("peer-handler-panics")
)

// Handle registers the handler of a method. It must be called before Run.
func (s *Server) Handle(method string, h Handler) {
	if s.handlers == nil {
		s.handlers = map[string]Handler{}
	}
	s.handlers[method] = h
}

// Run accepts connections on l until ctx is done. It then waits for the responses to the calls in progress, closes all
// connections and returns nil. It returns an error only if l is closed before ctx is done.
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
			// The error may be temporary, such as a lack of file descriptors. The delay avoids a busy loop.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.addConnection(conn)
	}
}

// addConnection starts to handle the calls on a connection and returns at once. The connection is removed from
// Server.connections when it is closed.
func (s *Server) addConnection(conn net.Conn) {
	stream := jsonrpc2.NewBufferedStream(conn, countingCodec())
	handler := callHandler{server: s, handler: jsonrpc2.HandlerWithError(s.dispatch)}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rpcConn := jsonrpc2.NewConn(context.Background(), stream, handler, jsonrpc2.SetLogger(silentLogger{}))
	if s.connections == nil {
		s.connections = map[*jsonrpc2.Conn]struct{}{}
	}
	s.connections[rpcConn] = struct{}{}
	go func() {
		<-rpcConn.DisconnectNotify()
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.connections, rpcConn)
	}()
}

// dispatch passes the parameters of a call to the handler of its method and returns the handler's result.
func (s *Server) dispatch(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	h, ok := s.handlers[r.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "peer: unknown method " + r.Method}
	}
	var request envelope
	if r.Params == nil || json.Unmarshal(*r.Params, &request) != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "peer: parameters have no envelope"}
	}
	observeTimestamp(s.HybridClock, request.Timestamp)
	result, err := s.handle(ctx, r.Method, h, request.Body)
	if err != nil {
		return nil, err
	}
	return newEnvelope(s.HybridClock, result)
}

// handle calls the handler. If the handler panics, it returns an error.
func (s *Server) handle(ctx context.Context, method string, h Handler, params json.RawMessage) (result any, err error) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		handlerPanics.Add(1)
		if s.OnPanic != nil {
			s.OnPanic(method, value, debug.Stack())
		}
		result, err = nil, eris.Errorf("peer: the method %s has failed unexpectedly", method)
	}()
	return h(ctx, params)
}

// newEnvelope encodes a body and adds the current timestamp.
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

func observeTimestamp(clock HybridClock, timestamp recorder.Timestamp) {
	if clock != nil {
		clock.Observe(timestamp)
	}
}

// shutdown waits for the responses to the calls in progress and closes all connections.
func (s *Server) shutdown() {
	s.mutex.Lock()
	s.closing = true
	s.mutex.Unlock()
	s.callsInProgress.Wait()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.connections {
		_ = c.Close()
	}
}

// Handle implements jsonrpc2.Handler. During a shutdown of the server, it responds to new calls with an error.
func (h callHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	h.server.mutex.Lock()
	closing := h.server.closing
	if !closing {
		h.server.callsInProgress.Add(1)
	}
	h.server.mutex.Unlock()
	if closing {
		_ = conn.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "peer: shutting down"})
		return
	}
	go func() {
		defer h.server.callsInProgress.Done()
		h.handler.Handle(ctx, conn, r)
	}()
}

// countingCodec returns a codec that counts received frames that are too large or malformed in invalidFrames.
func countingCodec() codec.Codec {
	return codec.Codec{OnInvalidFrame: func(error) { invalidFrames.Add(1) }}
}

// silentLogger discards the log messages of package jsonrpc2. Invalid frames are counted in invalidFrames instead.
type silentLogger struct{}

func (silentLogger) Printf(string, ...any) {}
