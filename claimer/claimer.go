// Package claimer determines which entry owns which shard. An entry is a process that schedules the batch jobs of a
// region, and a shard is a fixed part of these jobs. Ownership depends only on the records of the region's stream in
// the log service, so all readers that have read the same records compute the same owners.
//
// Log time is the time of the log service's clock. The log time of a record is when the service stored it. The epoch of
// an ownership is the stream offset of the claim that began it.
package claimer

import (
	"encoding/json"
	"time"

	"bamboohook/stream"
)

const (
	// PresenceInterval is the time between two presence records of an entry.
	PresenceInterval = 3 * time.Second
	// AbsenceTimeout is the time since an owner's last record, in log time, after which the owner counts as absent and
	// another entry may claim its shards.
	AbsenceTimeout = 8 * time.Second
	// maxOwnPresenceAge is the greatest age of an entry's own last record at which the entry may consider others
	// absent. It prevents entries from claiming each other's shards when the log service stores no records any more.
	// The last records of two present entries differ by at most about PresenceInterval. A value below
	// AbsenceTimeout-PresenceInterval therefore makes an entry's own record too old before that of another entry
	// reaches AbsenceTimeout.
	maxOwnPresenceAge = 4 * time.Second
	// absenceRetention is how long an absent entry is remembered. A predecessor is remembered for this time and its
	// RemainingLease in addition. The value must exceed the 31 minutes for which the leases of a predecessor may run at
	// most, which is lessor.MaxOutageContactAge+lessor.OutageLeaseDuration.
	absenceRetention = 2 * time.Hour
	// maxPredecessors is the maximum number of remembered predecessors of one shard. If there is one more, the two
	// oldest are merged into one.
	maxPredecessors = 16
)

type (
	// Claimer replays claims, presence records and handovers from the stream. It is not safe for concurrent use.
	Claimer struct {
		entry  string
		shards []Ownership
		// presences holds what is known about each entry, by entry name. logTime is the latest log time of any record.
		presences map[string]presenceState
		logTime   time.Time
		// ownedShardCounts holds the number of shards that each entry owns, without the entries that own none.
		ownedShardCounts map[string]int
	}

	// Options configures a Claimer.
	Options struct {
		// Entry is the name of the entry that uses the Claimer. It is empty for a process that only reads the stream and
		// claims no shards.
		Entry string
		// ShardCount is the number of shards. It must be the same in all entries of a region; 0 means 1.
		ShardCount int
	}

	// presenceState is what the records in the stream tell about the life of one entry.
	presenceState struct {
		// PresentSince is the log time of the first record in the entry's current series of claims, presence records and
		// handovers. In a series, the time between two successive records is less than AbsenceTimeout. LastRecordLogTime
		// is the log time of the last record.
		PresentSince      time.Time `json:"first"`
		LastRecordLogTime time.Time `json:"last"`
		Draining          bool      `json:"draining,omitempty"`
	}

	// snapshot is the encoded form of a Claimer.
	snapshot struct {
		Shards    []Ownership              `json:"shards"`
		Presences map[string]presenceState `json:"presence"`
		LogTime   time.Time                `json:"latest"`
	}
)

// New returns a Claimer at the start of the stream, where no shard has an owner yet.
func New(o Options) *Claimer {
	return &Claimer{
		entry: o.Entry, shards: make([]Ownership, max(o.ShardCount, 1)),
		presences: map[string]presenceState{}, ownedShardCounts: map[string]int{},
	}
}

// Apply replays one record and reports whether the record took effect. The offset is the position of the record in the
// stream, and at is its log time. Records of kinds that this package does not define, malformed records, and claims
// and handovers that are not valid have no effect.
func (c *Claimer) Apply(r stream.Record, offset uint64, at time.Time) bool {
	// JSON keeps neither zone names nor monotonic clock readings. They are removed here, so that a restored Claimer
	// equals one that replayed the records.
	at = at.Round(0).UTC()
	// The clock of the log service may be set back, but the log time that this package uses never decreases.
	if at.Before(c.logTime) {
		at = c.logTime
	}
	c.logTime = at
	switch r.Kind {
	case KindClaim:
		var claim Claim
		return json.Unmarshal(r.Body, &claim) == nil && c.applyClaim(claim, offset, at)
	case KindPresence:
		var p Presence
		if json.Unmarshal(r.Body, &p) != nil || p.Entry == "" {
			return false
		}
		c.recordPresence(p.Entry, at, p.Draining)
		c.forgetAbsentEntries(at)
		return true
	case KindHandOver:
		var h HandOver
		return json.Unmarshal(r.Body, &h) == nil && c.applyHandOver(h, at)
	}
	return false
}

// ShardCount returns the number of shards.
func (c *Claimer) ShardCount() int { return len(c.shards) }

// Entry returns the name of the entry that uses the Claimer.
func (c *Claimer) Entry() string { return c.entry }

// Ownership returns who owns the shard, or the zero value if there is no shard with this number. The caller must not
// modify the predecessors in it.
func (c *Claimer) Ownership(shard int) Ownership {
	if shard < 0 || shard >= len(c.shards) {
		return Ownership{}
	}
	return c.shards[shard]
}

// IsCurrentEpoch reports whether the shard has an owner whose ownership has the given epoch.
func (c *Claimer) IsCurrentEpoch(shard int, epoch uint64) bool {
	o := c.Ownership(shard)
	return o.Owner != "" && o.Epoch == epoch
}

// OwnsShard reports whether the entry that uses the Claimer owns the shard.
func (c *Claimer) OwnsShard(shard int) bool {
	return c.entry != "" && c.Ownership(shard).Owner == c.entry
}

// LogTime returns the log time of the last record. If the clock of the log service was set back, it returns the latest
// log time of any record.
func (c *Claimer) LogTime() time.Time { return c.logTime }

// Snapshot returns the whole state as JSON.
func (c *Claimer) Snapshot() json.RawMessage {
	encoded, err := json.Marshal(snapshot{c.shards, c.presences, c.logTime})
	if err != nil {
		panic("claimer: cannot encode state: " + err.Error())
	}
	return encoded
}

// Restore replaces the state by a snapshot. On error the state is unchanged.
func (c *Claimer) Restore(encoded json.RawMessage) error {
	var s snapshot
	if err := json.Unmarshal(encoded, &s); err != nil {
		return err
	}
	restored := New(Options{Entry: c.entry, ShardCount: len(s.Shards)})
	restored.shards, restored.logTime = s.Shards, s.LogTime
	for entry, p := range s.Presences {
		restored.presences[entry] = p
	}
	for _, o := range s.Shards {
		restored.adjustOwnedShardCount(o.Owner, 1)
	}
	*c = *restored
	return nil
}

// applyClaim makes the claiming entry the owner of the shard if the claim is valid, and reports whether it was. The
// previous owner becomes a predecessor.
func (c *Claimer) applyClaim(claim Claim, offset uint64, at time.Time) bool {
	if claim.Shard < 0 || claim.Shard >= len(c.shards) || claim.Entry == "" {
		return false
	}
	s := &c.shards[claim.Shard]
	// All records of one append have the same offset. Two claims of a shard in one append would therefore get the same
	// epoch, and the agents could not tell the leases of the two owners apart.
	if s.Epoch != claim.PreviousEpoch || s.Epoch == offset || s.Owner == claim.Entry {
		return false
	}
	if s.Owner != "" {
		lastRecordLogTime := c.presences[s.Owner].LastRecordLogTime
		// The claiming entry may have sent the claim before it read the latest presence record of the owner.
		if at.Sub(lastRecordLogTime) < AbsenceTimeout {
			return false
		}
		s.addPredecessor(Predecessor{Entry: s.Owner, Epoch: s.Epoch, LastRecordLogTime: lastRecordLogTime}, at)
		c.adjustOwnedShardCount(s.Owner, -1)
	}
	s.Owner, s.Epoch = claim.Entry, offset
	c.adjustOwnedShardCount(claim.Entry, 1)
	c.recordPresence(claim.Entry, at, c.presences[claim.Entry].Draining)
	return true
}

// applyHandOver ends the ownership of a shard at the request of its owner, and reports whether the handover was valid.
// The owner becomes a predecessor, and the shard has no owner.
func (c *Claimer) applyHandOver(h HandOver, at time.Time) bool {
	if h.Shard < 0 || h.Shard >= len(c.shards) || h.Entry == "" {
		return false
	}
	s := &c.shards[h.Shard]
	if s.Owner != h.Entry || s.Epoch != h.Epoch {
		return false
	}
	s.addPredecessor(Predecessor{Entry: s.Owner, Epoch: s.Epoch, LastRecordLogTime: at, HandedOver: true, RemainingLease: h.RemainingLease}, at)
	c.adjustOwnedShardCount(s.Owner, -1)
	s.Owner = ""
	c.recordPresence(h.Entry, at, c.presences[h.Entry].Draining)
	return true
}

// recordPresence records that the stream holds a record of the entry with the given log time. If the entry was absent
// before, a new series of records begins.
func (c *Claimer) recordPresence(entry string, at time.Time, draining bool) {
	p, ok := c.presences[entry]
	if !ok || at.Sub(p.LastRecordLogTime) >= AbsenceTimeout {
		p.PresentSince = at
	}
	p.LastRecordLogTime, p.Draining = at, draining
	c.presences[entry] = p
}

// forgetAbsentEntries removes what is known about entries whose last record is older than absenceRetention, so that
// memory use stays bounded. Entries that own a shard are kept, because the time of their last record decides whether a
// claim of the shard is valid.
func (c *Claimer) forgetAbsentEntries(at time.Time) {
	for entry, p := range c.presences {
		if at.Sub(p.LastRecordLogTime) > absenceRetention && c.ownedShardCounts[entry] == 0 {
			delete(c.presences, entry)
		}
	}
}

// adjustOwnedShardCount adds delta to the number of shards that the entry owns.
func (c *Claimer) adjustOwnedShardCount(entry string, delta int) {
	if entry == "" {
		return
	}
	c.ownedShardCounts[entry] += delta
	if c.ownedShardCounts[entry] == 0 {
		delete(c.ownedShardCounts, entry)
	}
}

// addPredecessor adds a previous owner to the predecessors, and removes the predecessors whose leases have certainly
// ended.
func (o *Ownership) addPredecessor(p Predecessor, at time.Time) {
	var kept []Predecessor
	for _, q := range o.Predecessors {
		if at.Sub(q.LastRecordLogTime) <= absenceRetention+q.RemainingLease {
			kept = append(kept, q)
		}
	}
	if len(kept) >= maxPredecessors {
		// A merged predecessor has no name, so it can't be asked to confirm that it stopped granting leases. Its leases
		// are assumed to run for the longest possible time after the last record of the newer of the two merged
		// predecessors.
		merged := Predecessor{LastRecordLogTime: kept[1].LastRecordLogTime}
		kept = append([]Predecessor{merged}, kept[2:]...)
	}
	o.Predecessors = append(kept, p)
}
