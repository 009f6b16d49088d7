// Package codec encodes and decodes messages between processes as length-prefixed frames of limited size.
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
	// prefixBytes is the size of the length at the start of a frame, headerPrefixBytes that of the length of the header after it.
	prefixBytes       = 4
	headerPrefixBytes = 2
	maxHeaderBytes    = 1<<16 - 1
	// firstReadBytes is the memory that a frame gets at once. A longer frame gets readGrowth times as much when that is full.
	firstReadBytes = 64 << 10
	readGrowth     = 4
)

var (
	// ErrTooLarge reports a frame that is larger than Codec.MaxFrameBytes, or a header of 64 KiB or more.
	ErrTooLarge = eris.New("codec: frame is larger than the limit")
	// ErrMalformed reports a frame whose header is not valid JSON or does not match the type of the expected header.
	ErrMalformed = eris.New("codec: frame is not a valid message")
)

// Codec reads and writes frames. A frame consists of a 4-byte big-endian length of the rest, a 2-byte big-endian length of the header, a JSON header
// and the body. The body is not interpreted, so that only its receiver decodes it, once and into the right type. Codec has no state, so it is safe for
// concurrent use on different streams.
type Codec struct {
	// MaxFrameBytes limits the rest of a frame after the first length; 0 means DefaultMaxFrameBytes.
	MaxFrameBytes int
	// OnInvalidFrame is called for each received frame that is too large or malformed, with the error that ReadFrame
	// returns. It may be nil.
	OnInvalidFrame func(error)
	// Reserve is called by ReadFrame before it allocates memory for a received frame, with the additional number of bytes. If it returns an error, ReadFrame
	// returns that error, and the stream must be closed. It may be nil.
	Reserve func(bytes int) error
}

// WriteFrame writes the header and the body as one frame. If the frame exceeds the size limit, it returns ErrTooLarge and writes nothing.
func (c Codec) WriteFrame(w io.Writer, header any, body []byte) error {
	encoded, err := json.Marshal(header)
	if err != nil {
		return eris.Wrap(err, "codec: cannot encode the header")
	}
	size := headerPrefixBytes + len(encoded) + len(body)
	if size > c.maxFrameBytes() || len(encoded) > maxHeaderBytes {
		return ErrTooLarge
	}
	frame := make([]byte, 0, prefixBytes+size)
	frame = binary.BigEndian.AppendUint32(frame, uint32(size))
	frame = binary.BigEndian.AppendUint16(frame, uint16(len(encoded)))
	frame = append(append(frame, encoded...), body...)
	_, err = w.Write(frame)
	return err
}

// ReadFrame reads one frame, decodes its header into header and returns its body. After ErrTooLarge or ErrMalformed, the stream must be closed.
// At the end of the stream, the error is io.EOF, or io.ErrUnexpectedEOF if the frame is incomplete.
func (c Codec) ReadFrame(r *bufio.Reader, header any) ([]byte, error) {
	var lengthPrefix [prefixBytes]byte
	if _, err := io.ReadFull(r, lengthPrefix[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(lengthPrefix[:])
	if int64(size) > int64(c.maxFrameBytes()) {
		return nil, c.reportInvalidFrame(ErrTooLarge)
	}
	frame, err := c.readContent(r, int(size))
	if err != nil {
		return nil, err
	}
	if len(frame) < headerPrefixBytes {
		return nil, c.reportInvalidFrame(ErrMalformed)
	}
	headerBytes := int(binary.BigEndian.Uint16(frame))
	rest := frame[headerPrefixBytes:]
	if headerBytes > len(rest) {
		return nil, c.reportInvalidFrame(ErrMalformed)
	}
	if err := json.Unmarshal(rest[:headerBytes], header); err != nil {
		return nil, c.reportInvalidFrame(eris.Wrap(ErrMalformed, err.Error()))
	}
	return rest[headerBytes:], nil
}

// readContent reads the frame after the length. A long frame gets memory as it arrives, because a client may announce it without sending it.
func (c Codec) readContent(r io.Reader, size int) ([]byte, error) {
	var frame []byte
	for capacity := min(size, firstReadBytes); ; capacity = min(size, capacity*readGrowth) {
		if c.Reserve != nil {
			if err := c.Reserve(capacity - len(frame)); err != nil {
				return nil, err
			}
		}
		longer := make([]byte, capacity)
		begin := copy(longer, frame)
		if _, err := io.ReadFull(r, longer[begin:]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if frame = longer; capacity == size {
			return frame, nil
		}
	}
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
