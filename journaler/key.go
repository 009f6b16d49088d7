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

// A key consists of five parts, which are separated by dots: the VM, the generation, the issue time, random bytes, and
// a MAC (message authentication code) of the other parts. Each part is encoded in Base64. randomLength and macLength
// are the lengths of the last two parts in bytes before the encoding.
const (
	keyPartCount = 5
	randomLength = 16
	macLength    = 16
)

// Key is a decoded idempotency key. Any process can decode a key, but only the journal that issued the key can verify
// it.
type Key struct {
	VM         string
	Generation string
	// IssuedAt is the time at which the key was issued, relative to the creation of the journal that issued it.
	IssuedAt time.Duration
	random   []byte
	mac      []byte
}

var encoding = base64.RawURLEncoding

// ParseKey decodes a key. It does not verify that a journal has issued the key. It returns false if the text is not a
// well-formed key.
func ParseKey(text string) (Key, bool) {
	if len(text) > MaxKeyLength {
		return Key{}, false
	}
	parts := strings.Split(text, ".")
	if len(parts) != keyPartCount {
		return Key{}, false
	}
	var decodedParts [keyPartCount][]byte
	for i, p := range parts {
		d, err := encoding.Strict().DecodeString(p)
		if err != nil {
			return Key{}, false
		}
		decodedParts[i] = d
	}
	if len(decodedParts[2]) != 8 || len(decodedParts[3]) != randomLength || len(decodedParts[4]) != macLength {
		return Key{}, false
	}
	issuedAt := time.Duration(binary.BigEndian.Uint64(decodedParts[2]))
	k := Key{string(decodedParts[0]), string(decodedParts[1]), issuedAt, decodedParts[3], decodedParts[4]}
	// The Base64 decoder ignores line breaks. Without this comparison, texts that differ only in line breaks would
	// count as different keys with a valid MAC, and a request could run once for each of them.
	return k, k.encode() == text
}

func (k Key) encode() string {
	return k.unsigned() + "." + encoding.EncodeToString(k.mac)
}

// unsigned returns the encoded key without the MAC and the dot before it.
func (k Key) unsigned() string {
	issuedAt := binary.BigEndian.AppendUint64(nil, uint64(k.IssuedAt))
	return strings.Join([]string{
		encoding.EncodeToString([]byte(k.VM)), encoding.EncodeToString([]byte(k.Generation)),
		encoding.EncodeToString(issuedAt), encoding.EncodeToString(k.random),
	}, ".")
}

// sign returns the MAC of an encoded key without its MAC.
func sign(secret []byte, unsigned string) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(unsigned))
	return h.Sum(nil)[:macLength]
}
