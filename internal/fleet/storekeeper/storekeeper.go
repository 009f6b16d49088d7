// Package storekeeper defines the records in the platform's store and the errors of calls to it.
package storekeeper

import (
	"github.com/rotisserie/eris"

	"bamboohook/internal/fleet/routetable"
)

// Record is a value stored under a key. Later records replace earlier ones of the same key. An empty value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// Batch is a group of records that the owner appends to the store atomically.
type Batch struct {
	// Epoch increases with each change of the owner. The store rejects batches whose epoch is lower than one that it has seen. Sequence
	// is the number of the batch within its epoch. The numbers are consecutive, so that the store can ignore a repeated append.
	Epoch    uint64
	Sequence uint64
	Records  []Record
}

// EntryRecord is what the store's list of entries contains about one entry.
type EntryRecord struct {
	Address string `json:"-"`
	// Weight is the priority of the entry in the election of an owner. It is 0 in records without one.
	Weight float64 `json:"weight,omitempty"`
	// Epoch is the last epoch that the entry has owned, or 0 if it has owned none since it was started.
	Epoch uint64 `json:"epoch,omitempty"`
}

// Publication is what a read of the operators' topic has returned.
type Publication struct {
	// Configuration is the newest valid configuration among the records, or nil if there is none.
	Configuration *routetable.Configuration
	// Evacuations holds, by data centre, what the newest of its records says: true requests that nothing be started there, false withdraws the request. It
	// is nil if the read has failed.
	Evacuations map[string]bool
	// Partial reports that records without a readable key were left out. The absence of a key then does not show that the store has no such record.
	Partial bool
}

// Errors of calls to the store. After any other error of an append it is unknown whether the batch was or will be appended. That also holds
// for a batch that was sent several times, unless each of the appends has returned ErrNotAppended or ErrFenced.
var (
	// ErrNotAppended reports that the batch was not appended and won't be appended later.
	ErrNotAppended = eris.New("storekeeper: the batch was not appended")
	// ErrRejected is an ErrNotAppended after which the store will not accept the same batch later either, for example because a record is too large.
	ErrRejected = eris.Wrap(ErrNotAppended, "storekeeper: the store rejects the batch for good")
	// ErrFenced reports that the batch was not appended because the store has seen a higher epoch, that is, because there is a newer
	// owner.
	ErrFenced = eris.New("storekeeper: a writer with a higher epoch exists")
	// ErrUnknown reports that a batch was given up without knowing whether the store has appended it.
	ErrUnknown = eris.New("storekeeper: it is unknown whether the batch was appended")
	// ErrDeleted reports that records at the requested offset were deleted. The reader must load the newest record of each key instead.
	ErrDeleted = eris.New("storekeeper: the requested records were deleted")
)
