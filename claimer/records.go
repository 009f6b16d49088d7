package claimer

import "time"

// Record kinds that this package writes and replays.
const (
	KindClaim    = "claim"
	KindPresence = "presence"
	KindHandOver = "hand-over"
)

type (
	// Claim requests the ownership of a shard. It is valid only if PreviousEpoch is the epoch of the shard's last
	// claim and the shard has no owner, or an absent one. The offset of a valid claim becomes the new epoch.
	Claim struct {
		Shard         int    `json:"shard"`
		Entry         string `json:"entry"`
		PreviousEpoch uint64 `json:"previous-epoch"`
	}

	// Presence shows that an entry is alive. Entry names one run of a process, so a restarted process counts as
	// another entry.
	Presence struct {
		Entry string `json:"entry"`
		// Sequence numbers the presence records of an entry, so that the entry recognizes each one when it reads it
		// back.
		Sequence uint64 `json:"sequence,omitempty"`
		// Draining is true if the entry is shutting down and claims no more shards.
		Draining bool `json:"draining,omitempty"`
	}

	// HandOver gives up the ownership of a shard. The owner appends it after it has stopped granting leases for the
	// shard's tasks.
	HandOver struct {
		Shard int    `json:"shard"`
		Entry string `json:"entry"`
		Epoch uint64 `json:"epoch"`
		// RemainingLease is how long the last lease of the shard to expire still runs when the handover is queued.
		RemainingLease time.Duration `json:"remaining"`
	}

	// Predecessor is an earlier owner of a shard. Its leases may still run after its ownership has ended.
	Predecessor struct {
		Entry string `json:"entry"`
		Epoch uint64 `json:"epoch"`
		// LastRecordAt is the log time of the handover if the predecessor handed the shard over. Otherwise it is the
		// log time of the predecessor's last claim, presence record or handover of another shard.
		LastRecordLogTime time.Time `json:"last"`
		// HandedOver is true if the predecessor gave the shard up itself. All its leases then end within
		// RemainingLease after LastRecordAt.
		HandedOver     bool          `json:"handed-over,omitempty"`
		RemainingLease time.Duration `json:"remaining,omitempty"`
	}

	// Ownership is the owner of a shard as of one position in the stream. Owner is empty if no entry owns the shard.
	// Epoch is the offset of the last valid claim.
	Ownership struct {
		Owner string `json:"owner,omitempty"`
		Epoch uint64 `json:"epoch"`
		// Predecessors are the earlier owners whose leases may still be valid, oldest first.
		Predecessors []Predecessor `json:"predecessors,omitempty"`
	}
)
