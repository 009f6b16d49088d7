package claimer

import "time"

// Kinds of the records that this package owns.
const (
	KindClaim    = "claim"
	KindPresence = "presence"
	KindHandOver = "hand-over"
)

type (
	// Claim asks for a shard. It is valid only if PreviousEpoch is the current epoch of the shard at
	// the record's offset, which then becomes the new epoch.
	Claim struct {
		Shard         int    `json:"shard"`
		Entry         string `json:"entry"`
		PreviousEpoch uint64 `json:"previous-epoch"`
	}

	// Presence shows that an entry is alive. Entry is unique for each process run, so that a
	// restarted process is another entry.
	Presence struct {
		Entry string `json:"entry"`
		// Sequence numbers the presence records of the entry, so that it recognises them when it reads them back.
		Sequence uint64 `json:"sequence,omitempty"`
		// Draining is true if the entry wants no shards.
		Draining bool `json:"draining,omitempty"`
	}

	// HandOver ends the ownership of a shard by its owner, which has stopped granting leases.
	HandOver struct {
		Shard int    `json:"shard"`
		Entry string `json:"entry"`
		Epoch uint64 `json:"epoch"`
		// Remaining is the length of the longest lease of the shard when the owner stopped granting.
		RemainingLease time.Duration `json:"remaining"`
	}

	// Predecessor is an earlier owner of a shard. Its leases may outlive its ownership.
	Predecessor struct {
		Entry string `json:"entry"`
		Epoch uint64 `json:"epoch"`
		// Last is the log time of its hand-over, or of its last claim or presence record.
		LastRecordAt time.Time `json:"last"`
		// HandedOver tells that it ended its ownership itself; its leases end within Remaining of Last.
		HandedOver     bool          `json:"handed-over,omitempty"`
		RemainingLease time.Duration `json:"remaining,omitempty"`
	}

	// Ownership is the state of a shard at a position in the stream. Owner is empty if nobody owns it.
	Ownership struct {
		Owner string `json:"owner,omitempty"`
		Epoch uint64 `json:"epoch"`
		// Predecessors are the earlier owners whose leases may still run, oldest first.
		Predecessors []Predecessor `json:"predecessors,omitempty"`
	}
)
