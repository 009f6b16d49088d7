// Package peer provides client and server for calls between processes over TCP. Parameters and results are JSON.
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"net"
	"net/rpc"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rotisserie/eris"

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

	// Server handles the calls on a listener. Register all handlers before Run. Each call runs in its own goroutine. If the connections of the listener
	// limit the memory of calls, a call that finds none ends its connection.
	Server struct {
		// HybridClock is the hybrid logical clock of the process. If it is nil, the timestamps of sent messages are zero,
		// and those of received messages are ignored.
		HybridClock HybridClock
		// OnPanic is called after the handler of the method has panicked, with the value and the stack. The call then gets an error as its
		// response, because a single message must not end the process. OnPanic may be nil.
		OnPanic func(method string, value any, stack []byte)

		handlers        map[string]Handler
		mutex           sync.Mutex
		connections     map[*serverWire]struct{}
		closing         bool
		callsInProgress sync.WaitGroup
	}

	// receiver is what package net/rpc calls.
	receiver struct{ server *Server }
)

// handlerPanics counts the calls whose handler has panicked.
var handlerPanics = expvar.NewInt("peer-handler-panics")

// Handle registers the handler of a method. It must be called before Run.
func (s *Server) Handle(method string, h Handler) {
	if s.handlers == nil {
		s.handlers = map[string]Handler{}
	}
	s.handlers[method] = h
}

// Run accepts connections on l until ctx is done. It then waits for the responses to the calls in progress, closes all
// connections and returns nil. It returns an error if l is closed before ctx is done.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	calls := rpc.NewServer()
	if err := calls.RegisterName("peer", receiver{s}); err != nil {
		return eris.Wrap(err, "peer: cannot register the receiver of calls")
	}
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
		s.addConnection(calls, conn)
	}
}

// addConnection starts to handle the calls on a connection and returns at once. The connection is removed from
// Server.connections when it is closed.
func (s *Server) addConnection(calls *rpc.Server, conn net.Conn) {
	w := &serverWire{wire: newWire(conn), server: s, refused: map[uint64]struct{}{}, closed: make(chan struct{})}
	if limited, ok := conn.(limitedConn); ok {
		w.limited = limited
		w.codec.Reserve = func(bytes int) error { return w.reserve(int64(bytes) * frameFactor) }
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.connections == nil {
		s.connections = map[*serverWire]struct{}{}
	}
	s.connections[w] = struct{}{}
	go calls.ServeCodec(w)
	go func() {
		<-w.closed
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.connections, w)
	}()
}

// Call passes the parameters of a call to the handler of its method and stores the handler's result or error in response. Each call runs in a goroutine
// of its own.
func (r receiver) Call(request, response *message) error {
	// An error that this method returned would reach WriteResponse without the response, which releases the memory of the call.
	response.release = request.release
	if err := r.server.call(request, response); err != nil {
		response.failure = err.Error()
	}
	return nil
}

// call is Call with an error if the call has arrived during a shutdown of the server, or if the method is unknown or fails.
func (s *Server) call(request, response *message) error {
	if request.refused {
		return eris.New("peer: shutting down")
	}
	h, ok := s.handlers[request.method]
	if !ok {
		return eris.New("peer: unknown method " + request.method)
	}
	observeTimestamp(s.HybridClock, request.timestamp)
	body, err := s.handle(context.Background(), request.method, h, request.body)
	if err != nil {
		return err
	}
	response.timestamp, response.body = nextTimestamp(s.HybridClock), body
	return nil
}

// handle calls the handler and returns the encoded result. If the handler panics, it returns an error.
func (s *Server) handle(ctx context.Context, method string, h Handler, params json.RawMessage) (result []byte, err error) {
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
	value, err := h(ctx, params)
	if err != nil {
		return nil, err
	}
	result, err = json.Marshal(value)
	return result, eris.Wrap(err, "peer: cannot encode the result")
}

// nextTimestamp returns the timestamp for a message that is sent now.
func nextTimestamp(clock HybridClock) recorder.Timestamp {
	if clock == nil {
		return recorder.Timestamp{}
	}
	return clock.NextTimestamp()
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
