// Package codec encodes and decodes JSON messages between processes as length-prefixed frames of limited size.
package codec

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// DefaultMaxFrameBytes is the default value of Codec.MaxFrameBytes.
	DefaultMaxFrameBytes = 8 << 20
	// prefixBytes is the size of the length at the start of a frame.
	prefixBytes = 4
)

var (
	// ErrTooLarge reports a frame whose body is larger than Codec.MaxFrameBytes.
	ErrTooLarge = eris.New("codec: frame is larger than the limit")
	// ErrMalformed reports a frame whose body is not valid JSON or does not match the type of the expected message.
	ErrMalformed = eris.New("codec: frame is not a valid message")
)

// Codec reads and writes frames, which consist of a 4-byte big-endian length and a JSON body. It implements
// jsonrpc2.ObjectCodec. It has no state, so it is safe for concurrent use on different streams.
type Codec struct {
	// MaxFrameBytes limits the body of a frame; 0 means DefaultMaxFrameBytes.
	MaxFrameBytes int
	// OnInvalidFrame is called for each received frame that is too large or malformed, with the error that ReadObject
	// returns. It may be nil.
	OnInvalidFrame func(error)
}

// WriteObject writes v as one frame. If the body exceeds the size limit, it returns ErrTooLarge and writes nothing.
func (c Codec) WriteObject(w io.Writer, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "codec: cannot encode the message")
	}
	if len(body) > c.maxFrameBytes() {
		return ErrTooLarge
	}
	frame := make([]byte, prefixBytes, prefixBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	_, err = w.Write(append(frame, body...))
	return err
}

// ReadObject reads one frame and decodes its body into v. After ErrTooLarge or ErrMalformed, the stream must be closed.
// At the end of the stream, the error is io.EOF, or io.ErrUnexpectedEOF if the frame is incomplete.
func (c Codec) ReadObject(r *bufio.Reader, v any) error {
	var lengthPrefix [prefixBytes]byte
	if _, err := io.ReadFull(r, lengthPrefix[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(lengthPrefix[:])
	if int64(size) > int64(c.maxFrameBytes()) {
		return c.reportInvalidFrame(ErrTooLarge)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return c.reportInvalidFrame(eris.Wrap(ErrMalformed, err.Error()))
	}
	return nil
}

func (c Codec) maxFrameBytes() int {
	if c.MaxFrameBytes > 0 {
		return c.MaxFrameBytes
	}
	return DefaultMaxFrameBytes
}

func (c Codec) reportInvalidFrame(err error) error {
	if c.OnInvalidFrame != nil {
		c.OnInvalidFrame(err)
	}
	return err
}
