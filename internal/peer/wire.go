package peer

import (
	"bufio"
	"expvar"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/internal/codec"
	"bamboohook/recorder"
)

// serviceMethod is the only method that package net/rpc knows. The header of a frame names the method of package peer.
const serviceMethod = "peer.Call"

const (
	// frameTimeout is the longest time between the first and the last byte of a call. The largest frame takes 6.7 s at 10 Mbit/s.
	frameTimeout = 15 * time.Second
	// callBytes is the memory of a call beside its frame, mainly that of its goroutine, and frameFactor the memory per byte of its frame: the frame and its
	// decoded content.
	callBytes   = 4 << 10
	frameFactor = 2
	// reserveTimeout is how long a call waits for memory, and reserveInterval the time between two attempts.
	reserveTimeout  = time.Second
	reserveInterval = 20 * time.Millisecond
)

type (
	// header is the header of a frame. The body of the frame contains the parameters or the result of the call.
	header struct {
		Sequence  uint64             `json:"seq"`
		Method    string             `json:"method,omitempty"`
		Timestamp recorder.Timestamp `json:"stamp,omitzero"`
		Error     string             `json:"error,omitempty"`
	}

	// message is the content of a call or of its response. It is an alias, because package net/rpc accepts only exported types or types without
	// a name.
	message = struct {
		method    string
		timestamp recorder.Timestamp
		body      []byte
		// refused reports that the call has arrived during the shutdown of the server.
		refused bool
		// release releases the memory of the call, which was reserved when it arrived. The response releases it after it was written, because a client
		// that does not read responses must not make them pile up. It may be nil.
		release func()
		// failure is the error in a response, or "".
		failure string
	}

	// limitedConn is a connection that limits the memory of the calls on it. A call begins when it has arrived and ends after its response was sent.
	limitedConn interface {
		Reserve(bytes int64) bool
		Release(bytes int64)
		BeginCall()
		EndCall()
	}

	// wire reads and writes the frames of one connection.
	wire struct {
		conn   net.Conn
		reader *bufio.Reader
		codec  codec.Codec
		// read and body are the last frame that was read.
		read header
		body []byte
	}

	// clientWire implements rpc.ClientCodec.
	clientWire struct {
		wire
		// ended is closed when no more responses can be read.
		ended chan struct{}
	}

	// serverWire implements rpc.ServerCodec.
	serverWire struct {
		wire
		server *Server
		// limited is the connection if it limits the memory of calls, or nil. reserved is what was reserved for the last frame that was read.
		limited  limitedConn
		reserved int64
		// refused holds the numbers of the calls that have arrived during the shutdown of the server and have not been answered yet. The mutex of
		// the server protects it.
		refused   map[uint64]struct{}
		closeOnce sync.Once
		closed    chan struct{}
	}
)

// errNoMemory ends a connection for whose calls there is no memory.
var errNoMemory = eris.New("peer: no memory for the call")

// invalidFrames counts the received frames that are too large or malformed.
var invalidFrames = expvar.NewInt("peer-malformed-frames")

func newWire(conn net.Conn) wire {
	return wire{conn: conn, reader: bufio.NewReader(conn), codec: codec.Codec{OnInvalidFrame: func(error) { invalidFrames.Add(1) }}}
}

// readFrame reads the next frame into read and body.
func (w *wire) readFrame() error {
	w.read = header{}
	var err error
	w.body, err = w.codec.ReadFrame(w.reader, &w.read)
	return err
}

// takeBody stores the content of the last frame that was read in content, which is a *message, or nil if the content is not needed.
func (w *wire) takeBody(content any) {
	if m, ok := content.(*message); ok {
		m.method, m.timestamp, m.body = w.read.Method, w.read.Timestamp, w.body
	}
	w.body = nil
}

// writeFrame writes a frame. If that fails, it closes the connection, because a part of the frame may have been sent. It does not do so if the frame
// is too large, in which case nothing has been sent.
func (w *wire) writeFrame(h header, body []byte) error {
	err := w.codec.WriteFrame(w.conn, h, body)
	if err != nil && err != codec.ErrTooLarge {
		_ = w.conn.Close()
	}
	return err
}

// WriteRequest implements rpc.ClientCodec.
func (w *clientWire) WriteRequest(r *rpc.Request, content any) error {
	m := content.(*message)
	return w.writeFrame(header{Sequence: r.Seq, Method: m.method, Timestamp: m.timestamp}, m.body)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (w *clientWire) ReadResponseHeader(r *rpc.Response) error {
	if err := w.readFrame(); err != nil {
		close(w.ended)
		_ = w.conn.Close()
		return err
	}
	r.ServiceMethod, r.Seq, r.Error = serviceMethod, w.read.Sequence, w.read.Error
	return nil
}

// ReadResponseBody implements rpc.ClientCodec.
func (w *clientWire) ReadResponseBody(content any) error {
	w.takeBody(content)
	return nil
}

// Close implements rpc.ClientCodec.
func (w *clientWire) Close() error { return w.conn.Close() }

// ReadRequestHeader implements rpc.ServerCodec.
func (w *serverWire) ReadRequestHeader(r *rpc.Request) error {
	if err := w.readRequest(); err != nil {
		// Package net/rpc only waits for the calls in progress. Their responses cannot be sent any more.
		_ = w.Close()
		return io.EOF
	}
	r.ServiceMethod, r.Seq = serviceMethod, w.read.Sequence
	w.begin(r.Seq)
	return nil
}

// readRequest waits for the next frame, for any time, and then reads it within frameTimeout.
func (w *serverWire) readRequest() error {
	w.reserved = 0
	if _, err := w.reader.Peek(1); err != nil {
		return err
	}
	// An error of SetReadDeadline shows that the connection is closed, which the read reports too.
	_ = w.conn.SetReadDeadline(time.Now().Add(frameTimeout))
	if err := w.reserve(callBytes); err != nil {
		return err
	}
	if err := w.readFrame(); err != nil {
		return err
	}
	_ = w.conn.SetReadDeadline(time.Time{})
	return nil
}

// reserve reserves memory for the frame that is being read. If there is none, it waits for the end of other calls.
func (w *serverWire) reserve(bytes int64) error {
	if w.limited == nil {
		return nil
	}
	for begin := time.Now(); !w.limited.Reserve(bytes); time.Sleep(reserveInterval) {
		if time.Since(begin) > reserveTimeout {
			return errNoMemory
		}
	}
	w.reserved += bytes
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (w *serverWire) ReadRequestBody(content any) error {
	w.takeBody(content)
	m, ok := content.(*message)
	if limited, reserved := w.limited, w.reserved; limited != nil {
		if ok {
			limited.BeginCall()
			m.release = func() { limited.EndCall(); limited.Release(reserved) }
		} else {
			limited.Release(reserved)
		}
	}
	if ok {
		w.server.mutex.Lock()
		_, m.refused = w.refused[w.read.Sequence]
		w.server.mutex.Unlock()
	}
	return nil
}

// WriteResponse implements rpc.ServerCodec.
func (w *serverWire) WriteResponse(r *rpc.Response, content any) error {
	defer w.end(r.Seq)
	h := header{Sequence: r.Seq, Error: r.Error}
	m, ok := content.(*message)
	if ok && m.release != nil {
		defer m.release()
	}
	if ok && m.failure != "" {
		h.Error = m.failure
	}
	if !ok || h.Error != "" {
		return w.writeFrame(h, nil)
	}
	h.Timestamp = m.timestamp
	err := w.writeFrame(h, m.body)
	if err == codec.ErrTooLarge {
		return w.writeFrame(header{Sequence: r.Seq, Error: "peer: the response is too large"}, nil)
	}
	return err
}

// begin counts the call with the number among those in progress, unless the server shuts down.
func (w *serverWire) begin(sequence uint64) {
	s := w.server
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closing {
		w.refused[sequence] = struct{}{}
		return
	}
	s.callsInProgress.Add(1)
}

// end ends what begin has begun, after the response was written or could not be written.
func (w *serverWire) end(sequence uint64) {
	s := w.server
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := w.refused[sequence]; ok {
		delete(w.refused, sequence)
		return
	}
	s.callsInProgress.Done()
}

// Close implements rpc.ServerCodec.
func (w *serverWire) Close() error {
	var err error
	w.closeOnce.Do(func() { close(w.closed); err = w.conn.Close() })
	return err
}
