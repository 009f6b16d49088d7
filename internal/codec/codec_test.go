package codec_test

import (
	"bufio"
	"bytes"
	"io"
	"math"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/codec"
)

var _ = Describe("Codec", func() {
	// Guards against frames that exhaust memory because of their length, and against invalid frames that are not
	// reported to OnInvalidFrame.
	for name, c := range map[string]struct {
		frame         string
		err           error
		invalidFrames int
	}{
		"valid frame":            {"\x00\x00\x00\x08\x00\x02{}body", nil, 0},
		"length above the limit": {"\xff\xff\xff\xff\x00\x02{}", codec.ErrTooLarge, 1},
		"invalid JSON":           {"\x00\x00\x00\x04\x00\x02{[", codec.ErrMalformed, 1},
		"no header":              {"\x00\x00\x00\x01\x00", codec.ErrMalformed, 1},
		"header beyond the end":  {"\x00\x00\x00\x04\x00\x03{}", codec.ErrMalformed, 1},
		"incomplete body":        {"\x00\x00\x00\x09\x00\x02{}", io.ErrUnexpectedEOF, 0},
		"only a length":          {"\x00\x00\x00\x09", io.ErrUnexpectedEOF, 0},
		"incomplete length":      {"\x00\x00", io.ErrUnexpectedEOF, 0},
		"end of stream":          {"", io.EOF, 0},
	} {
		It("reads a frame or returns an error: "+name, func() {
			invalidFrames := 0
			frameCodec := codec.Codec{MaxFrameBytes: 16, OnInvalidFrame: func(error) { invalidFrames++ }}
			var v map[string]any
			body, err := frameCodec.ReadFrame(bufio.NewReader(strings.NewReader(c.frame)), &v)
			if c.err == nil {
				Expect(err).NotTo(HaveOccurred())
				Expect(string(body)).To(Equal("body"))
			} else {
				Expect(err).To(MatchError(c.err))
			}
			Expect(invalidFrames).To(Equal(c.invalidFrames))
		})
	}

	// Guards against memory for a long frame that a client announces without sending it.
	It("allocates the memory of a long frame as it arrives", func() {
		var out bytes.Buffer
		content := bytes.Repeat([]byte("c"), 1<<20)
		Expect(codec.Codec{}.WriteFrame(&out, map[string]any{}, content)).To(Succeed())
		reserved, limit := 0, math.MaxInt
		frameCodec := codec.Codec{Reserve: func(bytes int) error {
			if reserved += bytes; reserved > limit {
				return io.ErrNoProgress
			}
			return nil
		}}
		var v map[string]any
		begin := out.Bytes()[:100_000]
		_, err := frameCodec.ReadFrame(bufio.NewReader(bytes.NewReader(begin)), &v)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(reserved).To(BeNumerically("<=", 256<<10))

		reserved = 0
		body, err := frameCodec.ReadFrame(bufio.NewReader(bytes.NewReader(out.Bytes())), &v)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(body, content)).To(BeTrue())
		Expect(reserved).To(BeNumerically("~", len(content), 100))

		reserved, limit = 0, 200_000
		_, err = frameCodec.ReadFrame(bufio.NewReader(bytes.NewReader(out.Bytes())), &v)
		Expect(err).To(MatchError(io.ErrNoProgress))
	})

	It("writes nothing if the body exceeds the limit", func() {
		var out bytes.Buffer
		Expect(codec.Codec{MaxFrameBytes: 8}.WriteFrame(&out, "too long", nil)).To(MatchError(codec.ErrTooLarge))
		Expect(codec.Codec{MaxFrameBytes: 8}.WriteFrame(&out, 1, []byte("too long"))).To(MatchError(codec.ErrTooLarge))
		Expect(codec.Codec{}.WriteFrame(&out, strings.Repeat("x", 1<<16), nil)).To(MatchError(codec.ErrTooLarge))
		Expect(out.Len()).To(BeZero())
	})
})

// FuzzReadFrame checks that ReadFrame does not panic for any input.
func FuzzReadFrame(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x04\x00\x02{}"))
	f.Add([]byte("\x7f\xff\xff\xff{}"))
	f.Fuzz(func(t *testing.T, frame []byte) {
		var v map[string]any
		reader := bufio.NewReader(bytes.NewReader(frame))
		for {
			if _, err := (codec.Codec{MaxFrameBytes: 1 << 10}).ReadFrame(reader, &v); err != nil {
				break
			}
			t.Log("frame read")
		}
	})
}
