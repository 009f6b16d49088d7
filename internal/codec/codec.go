// Package codec frames JSON messages between processes with a length prefix and a size limit.
package codec

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// DefaultMaxFrameBytes is the largest frame accepted when Codec.MaxFrameBytes is 0.
	DefaultMaxFrameBytes = 8 << 20
	prefixBytes          = 4
)

var (
	// ErrTooLarge reports a frame beyond the size limit.
	ErrTooLarge = eris.New("codec: frame is larger than the limit")
	// ErrMalformed reports a frame that is not valid JSON for the expected message.
	ErrMalformed = eris.New("codec: frame is not a valid message")
)

// Codec reads and writes frames of a 4-byte big-endian length and a JSON body. It implements
// jsonrpc2.ObjectCodec. It has no state of its own, so concurrent use on different streams is safe.
type Codec struct {
	// MaxFrameBytes bounds the body of a frame in bytes; 0 means DefaultMaxFrameBytes.
	MaxFrameBytes int
	// OnMalformed is called once for each frame that is too large or does not parse; nil is allowed.
	OnMalformed func(error)
}

// WriteObject writes v as one frame. It returns ErrTooLarge and writes nothing if the body exceeds the limit.
func (c Codec) WriteObject(w io.Writer, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "codec: cannot encode")
	}
	if len(body) > c.maxFrameBytes() {
		return ErrTooLarge
	}
	frame := make([]byte, prefixBytes, prefixBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	_, err = w.Write(append(frame, body...))
	return err
}

// ReadObject reads one frame into v. After ErrTooLarge or ErrMalformed the stream must be closed.
// At the end of the stream the error is io.EOF or io.ErrUnexpectedEOF.
func (c Codec) ReadObject(r *bufio.Reader, v any) error {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if int64(size) > int64(c.maxFrameBytes()) {
		return c.reportMalformed(ErrTooLarge)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return c.reportMalformed(eris.Wrap(ErrMalformed, err.Error()))
	}
	return nil
}

func (c Codec) maxFrameBytes() int {
	if c.MaxFrameBytes > 0 {
		return c.MaxFrameBytes
	}
	return DefaultMaxFrameBytes
}

func (c Codec) reportMalformed(err error) error {
	if c.OnMalformed != nil {
		c.OnMalformed(err)
	}
	return err
}
