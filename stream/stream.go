// Package stream defines the values that are stored in a stream of the log service.
package stream

import (
	"encoding/json"
	"time"
)

type (
	// Batch is the value of one append request. Writer identifies its sender, whose batches have increasing sequence
	// numbers. Readers ignore a batch whose Sequence is not greater than the last Sequence that they read from the
	// same Writer, so appending a batch twice has no effect.
	Batch struct {
		Writer   string   `json:"writer"`
		Sequence uint64   `json:"sequence"`
		Records  []Record `json:"records"`
	}

	// Record is one typed value in a batch. Kind names the type that is encoded in Body.
	Record struct {
		Kind string          `json:"kind"`
		Body json.RawMessage `json:"body"`
	}

	// Entry is one appended value with its offset in the stream and the time at which the log service appended it.
	Entry struct {
		Offset uint64          `json:"offset"`
		Time   time.Time       `json:"time"`
		Value  json.RawMessage `json:"value"`
	}

	// Page is the result of a read request. First is the lowest offset that retention has not removed, and Next is the
	// offset that the next appended value will get. Offsets start at 1; 0 means that there is no offset.
	Page struct {
		First   uint64  `json:"first"`
		Next    uint64  `json:"next"`
		Entries []Entry `json:"entries"`
	}
)

// NewRecord encodes body as a record of the given kind. It panics if body cannot be encoded as JSON,
// because the type of body is then a programming error.
func NewRecord(kind string, body any) Record {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic("stream: cannot encode record body: " + err.Error())
	}
	return Record{Kind: kind, Body: encoded}
}
