package claimer

import "time"

// Kinds of the records that this package replays.
const (
	KindClaim    = "claim"
	KindPresence = "presence"
	KindHandOver = "hand-over"
)

type (
	// Claim requests the ownership of a shard for an entry. It is valid only if PreviousEpoch is the epoch of the
	// shard's last valid claim, and the shard has no owner or its owner is absent. The stream offset of a valid claim
	// becomes the new epoch of the shard.
	Claim struct {
		Shard         int    `json:"shard"`
		Entry         string `json:"entry"`
		PreviousEpoch uint64 `json:"previous-epoch"`
	}

	// Presence shows that an entry is alive. Entry names one run of the entry's process, so a restarted process counts
	// as another entry.
	Presence struct {
		Entry string `json:"entry"`
		// Sequence numbers the presence records of an entry, so that the entry recognizes its own records when it reads
		// them back from the stream.
		Sequence uint64 `json:"sequence,omitempty"`
		// Draining is true if the entry is shutting down. It then hands over its shards and claims no more.
		Draining bool `json:"draining,omitempty"`
	}

	// HandOver gives up the ownership of a shard. The owner appends it after it has stopped granting leases for the
	// tasks of the shard. Epoch is the epoch of the ownership that ends.
	HandOver struct {
		Shard int    `json:"shard"`
		Entry string `json:"entry"`
		Epoch uint64 `json:"epoch"`
		// RemainingLease is the longest time for which any lease of the shard's tasks may still run, counted from the
		// moment at which the owner queues the handover.
		RemainingLease time.Duration `json:"remaining"`
	}

	// Predecessor is an earlier owner of a shard. The leases that it granted may still run after its ownership has
	// ended. Entry is empty and Epoch is 0 if two predecessors were merged into this one.
	Predecessor struct {
		Entry string `json:"entry"`
		Epoch uint64 `json:"epoch"`
		// LastRecordLogTime is the log time of the predecessor's last record when its ownership ended: the handover of
		// the shard if the predecessor handed it over, and otherwise its last claim, presence record or handover of
		// another shard.
		LastRecordLogTime time.Time `json:"last"`
		// HandedOver is true if the predecessor gave the shard up itself. All its leases then end at the latest when
		// RemainingLease has passed since LastRecordLogTime.
		HandedOver     bool          `json:"handed-over,omitempty"`
		RemainingLease time.Duration `json:"remaining,omitempty"`
	}

	// Ownership tells who owns a shard as of one position in the stream. Owner is empty if no entry owns the shard.
	// Epoch is the stream offset of the shard's last valid claim.
	Ownership struct {
		Owner string `json:"owner,omitempty"`
		Epoch uint64 `json:"epoch"`
		// Predecessors are the earlier owners whose leases may still run, in the order of their ownerships.
		Predecessors []Predecessor `json:"predecessors,omitempty"`
	}
)
