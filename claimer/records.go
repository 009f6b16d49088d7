package claimer

import "time"

// Record kinds that this package writes and replays.
const (
	KindClaim    = "claim"
	KindPresence = "presence"
	KindHandOver = "hand-over"
)

type (
	// Claim requests the ownership of a shard. It is valid only if PreviousEpoch is the shard's current epoch at the
	// offset of the record. The offset then becomes the new epoch.
	Claim struct {
		Shard         int    `json:"shard"`
		Entry         string `json:"entry"`
		PreviousEpoch uint64 `json:"previous-epoch"`
	}

	// Presence shows that an entry is alive. Entry is unique for each run of a process, so a restarted process counts
	// as another entry.
	Presence struct {
		Entry string `json:"entry"`
		// Sequence numbers the presence records of an entry, so that the entry recognizes each one when it reads it
		// back.
		Sequence uint64 `json:"sequence,omitempty"`
		// Draining is true if the entry accepts no shards.
		Draining bool `json:"draining,omitempty"`
	}

	// HandOver gives up the ownership of a shard. The owner appends it after it has stopped granting leases for the
	// shard.
	HandOver struct {
		Shard int    `json:"shard"`
		Entry string `json:"entry"`
		Epoch uint64 `json:"epoch"`
		// RemainingLease is how long the longest lease of the shard had left when the owner stopped granting.
		RemainingLease time.Duration `json:"remaining"`
	}

	// Predecessor is an earlier owner of a shard. Its leases may outlive its ownership.
	Predecessor struct {
		Entry string `json:"entry"`
		Epoch uint64 `json:"epoch"`
		// LastRecordAt is the log time of the predecessor's handover, or else of its last claim or presence record.
		LastRecordAt time.Time `json:"last"`
		// HandedOver is true if the predecessor gave the shard up itself. All its leases then end within
		// RemainingLease after LastRecordAt.
		HandedOver     bool          `json:"handed-over,omitempty"`
		RemainingLease time.Duration `json:"remaining,omitempty"`
	}

	// Ownership is the state of a shard at a position in the stream. Owner is empty if no entry owns the shard.
	Ownership struct {
		Owner string `json:"owner,omitempty"`
		Epoch uint64 `json:"epoch"`
		// Predecessors are the earlier owners whose leases may still be valid, oldest first.
		Predecessors []Predecessor `json:"predecessors,omitempty"`
	}
)
