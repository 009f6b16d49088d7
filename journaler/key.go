package journaler

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"
)

// MaxKeyLength is the maximum length of a key in bytes.
const MaxKeyLength = 512

const (
	keyParts    = 5
	randomBytes = 16
	macBytes    = 16
)

// Key is a decoded idempotency key. Any process can decode a key, but only the journal that issued it can verify
// it.
type Key struct {
	VM         string
	Generation string
	// IssuedAt is the issue time, relative to the start of the journal that issued the key.
	IssuedAt time.Duration
	random   []byte
	mac      []byte
}

var encoding = base64.RawURLEncoding

// ParseKey decodes a key without verifying it. It returns false if the text is not a well-formed key.
func ParseKey(text string) (Key, bool) {
	if len(text) > MaxKeyLength {
		return Key{}, false
	}
	parts := strings.Split(text, ".")
	if len(parts) != keyParts {
		return Key{}, false
	}
	var decoded [keyParts][]byte
	for i, p := range parts {
		d, err := encoding.Strict().DecodeString(p)
		if err != nil {
			return Key{}, false
		}
		decoded[i] = d
	}
	if len(decoded[2]) != 8 || len(decoded[3]) != randomBytes || len(decoded[4]) != macBytes {
		return Key{}, false
	}
	issued := time.Duration(binary.BigEndian.Uint64(decoded[2]))
	k := Key{string(decoded[0]), string(decoded[1]), issued, decoded[3], decoded[4]}
	// The decoder ignores line breaks. Without this comparison, one key would have several spellings and its
	// request could run once for each.
	return k, k.encode() == text
}

func (k Key) encode() string {
	return k.unsigned() + "." + encoding.EncodeToString(k.mac)
}

func (k Key) unsigned() string {
	issued := binary.BigEndian.AppendUint64(nil, uint64(k.IssuedAt))
	return strings.Join([]string{
		encoding.EncodeToString([]byte(k.VM)), encoding.EncodeToString([]byte(k.Generation)),
		encoding.EncodeToString(issued), encoding.EncodeToString(k.random),
	}, ".")
}

func sign(secret []byte, unsigned string) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(unsigned))
	return h.Sum(nil)[:macBytes]
}
