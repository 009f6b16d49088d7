package endpoint

import (
	"io"

	"github.com/cespare/xxhash/v2"
)

const chunkBytes = 8 << 10

// Body returns the response body for a request ID. It consists of the request ID, a newline and filler that is derived from the
// ID. It has size bytes, but always contains the whole ID and the newline. A reader can thus tell to which request a response
// belongs and whether it is complete.
func Body(id string, size int) []byte {
	body := make([]byte, 0, max(size, len(id)+1))
	body = append(body, id...)
	body = append(body, '\n')
	state := xxhash.Sum64String(id) | 1
	for len(body) < size {
		// The xorshift generator is fast enough that large bodies don't limit the request rate of a load test.
		state ^= state << 13
		state ^= state >> 7
		state ^= state << 17
		body = append(body, 'a'+byte(state%26))
	}
	return body
}

func writeChunks(w io.Writer, body []byte) error {
	for len(body) > 0 {
		n := min(len(body), chunkBytes)
		if _, err := w.Write(body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}
