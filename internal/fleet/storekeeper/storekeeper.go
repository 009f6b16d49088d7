// Package storekeeper defines what the processes keep in the platform's store, and how a write to it can end.
package storekeeper

import (
	"github.com/rotisserie/eris"
)

// Record is the newest value under a key. An empty value drops the key.
type Record struct {
	Key   string
	Value []byte
}

// Batch is appended as a whole or not at all.
type Batch struct {
	// Epoch fences the writers of lower epochs. Sequence numbers the batches of an epoch without gaps; a repeat has no effect.
	Epoch    uint64
	Sequence uint64
	Records  []Record
}

// Outcomes of a write without success. Any other error leaves open whether the batch was or will be appended.
var (
	// ErrNotDone reports that nothing was or will be appended.
	ErrNotAppended = eris.New("storekeeper: nothing was appended")
	// ErrFenced reports that a writer of a higher epoch exists.
	ErrFenced = eris.New("storekeeper: a higher epoch was seen")
	// ErrExpired reports that records to be read were deleted; the newest values must be read instead.
	ErrExpired = eris.New("storekeeper: records were deleted")
)
