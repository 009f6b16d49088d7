// Package storekeeper defines the records in the platform's store and the errors of accesses to it.
package storekeeper

import (
	"github.com/rotisserie/eris"
)

// Record is a value stored under a key. Later records replace earlier ones of the same key. An empty value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// Batch is a group of records that is appended atomically.
type Batch struct {
	// Epoch increases with each change of the owner. The store rejects batches whose epoch is lower than one that it has seen. Sequence
	// is the number of the batch within its epoch. The numbers are consecutive, so that a repeated append has no effect.
	Epoch    uint64
	Sequence uint64
	Records  []Record
}

// Errors of the store. After any other error of a write it is unknown whether the batch was or will be appended.
var (
	// ErrNotAppended reports that the batch was not appended and won't be appended later.
	ErrNotAppended = eris.New("storekeeper: the batch was not appended")
	// ErrFenced reports that the store has seen a writer with a higher epoch.
	ErrFenced = eris.New("storekeeper: a writer with a higher epoch exists")
	// ErrDeleted reports that records at the requested offset were deleted. The reader must load the newest record of each key instead.
	ErrDeleted = eris.New("storekeeper: the requested records were deleted")
)
