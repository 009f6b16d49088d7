// Package claimer determines which entry owns which shard. Ownership is a pure function of the stream, so all readers
// of the same prefix compute the same owners.
package claimer

import (
	"encoding/json"
	"time"

	"bamboohook/stream"
)

const (
	// PresenceInterval is how often an entry appends a presence record.
	PresenceInterval = 3 * time.Second
	// AbsenceTimeout is the age in log time that an owner's last presence record must reach before another entry may
	// claim its shards.
	AbsenceTimeout = 8 * time.Second
	// maxOwnPresenceAge is the greatest age of an entry's own last presence record at which it may consider others
	// absent. It prevents mutual claims when the log stops for all entries: an entry's own record exceeds this age
	// before another entry looks absent, because AbsenceTimeout-PresenceInterval is larger.
	maxOwnPresenceAge = 4 * time.Second
	// recordRetention is how long an absent entry or a predecessor is remembered. It must exceed the longest time for
	// which a predecessor's leases may run (31 minutes).
	absenceRetention = 2 * time.Hour
	// maxPredecessors bounds the predecessors of one shard. Beyond it the two oldest are merged.
	maxPredecessors = 16
)

type (
	// Claimer replays ownership records. It is not safe for concurrent use.
	Claimer struct {
		entry            string
		shards           []Ownership
		presences        map[string]presenceState
		logTime          time.Time
		ownedShardCounts map[string]int
	}

	// Options configures a Claimer.
	Options struct {
		// Entry is the name of this entry. It is empty for a read-only replica, which claims nothing.
		Entry string
		// ShardCount is the number of shards. It must be the same in all entries of a region; 0 means 1.
		ShardCount int
	}

	presenceState struct {
		// Since is the log time of the first presence record of an uninterrupted series, and LastSeen that of the
		// last.
		Since    time.Time `json:"first"`
		LastSeen time.Time `json:"last"`
		Draining bool      `json:"draining,omitempty"`
	}

	savedState struct {
		Shards    []Ownership              `json:"shards"`
		Presences map[string]presenceState `json:"presence"`
		LogTime   time.Time                `json:"latest"`
	}
)

// New returns a Claimer at the start of the stream, where no shard has an owner.
func New(o Options) *Claimer {
	return &Claimer{
		entry: o.Entry, shards: make([]Ownership, max(o.ShardCount, 1)),
		presences: map[string]presenceState{}, ownedShardCounts: map[string]int{},
	}
}

// Apply replays one record at its offset and log time and reports whether the record took effect. Records of other
// kinds, malformed records and invalid claims have no effect.
func (c *Claimer) Apply(r stream.Record, offset uint64, at time.Time) bool {
	// JSON keeps neither zone names nor monotonic clock readings. Without them, a restored state equals a replayed
	// one.
	at = at.Round(0).UTC()
	// The clock of the log service may step back. Time here never decreases.
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

// Entry returns the name of this entry.
func (c *Claimer) Entry() string { return c.entry }

// Ownership returns the state of a shard, or the zero value if the shard is out of range. The caller must not modify
// the predecessors.
func (c *Claimer) Ownership(shard int) Ownership {
	if shard < 0 || shard >= len(c.shards) {
		return Ownership{}
	}
	return c.shards[shard]
}

// IsCurrentEpoch reports whether the shard has an owner and epoch is the one of its current claim.
func (c *Claimer) IsCurrentEpoch(shard int, epoch uint64) bool {
	o := c.Ownership(shard)
	return o.Owner != "" && o.Epoch == epoch
}

// OwnsShard reports whether this entry owns the shard.
func (c *Claimer) OwnsShard(shard int) bool {
	return c.entry != "" && c.Ownership(shard).Owner == c.entry
}

// LogTime returns the log time of the last record.
func (c *Claimer) LogTime() time.Time { return c.logTime }

// Snapshot returns the state as JSON.
func (c *Claimer) Snapshot() json.RawMessage {
	encoded, err := json.Marshal(savedState{c.shards, c.presences, c.logTime})
	if err != nil {
		panic("claimer: cannot encode state: " + err.Error())
	}
	return encoded
}

// Restore replaces the state by a snapshot. On error the state is unchanged.
func (c *Claimer) Restore(snapshot json.RawMessage) error {
	var s savedState
	if err := json.Unmarshal(snapshot, &s); err != nil {
		return err
	}
	fresh := New(Options{Entry: c.entry, ShardCount: len(s.Shards)})
	fresh.shards, fresh.logTime = s.Shards, s.LogTime
	for entry, p := range s.Presences {
		fresh.presences[entry] = p
	}
	for _, o := range s.Shards {
		fresh.adjustOwnedShardCount(o.Owner, 1)
	}
	*c = *fresh
	return nil
}

func (c *Claimer) applyClaim(claim Claim, offset uint64, at time.Time) bool {
	if claim.Shard < 0 || claim.Shard >= len(c.shards) || claim.Entry == "" {
		return false
	}
	s := &c.shards[claim.Shard]
	// Two claims in one append would get the same epoch, and their owners could not fence each other.
	if s.Epoch != claim.PreviousEpoch || s.Epoch == offset || s.Owner == claim.Entry {
		return false
	}
	if s.Owner != "" {
		lastSeen := c.presences[s.Owner].LastSeen
		// The claimant may have decided before it read the owner's latest presence record.
		if at.Sub(lastSeen) < AbsenceTimeout {
			return false
		}
		s.addPredecessor(Predecessor{Entry: s.Owner, Epoch: s.Epoch, LastRecordAt: lastSeen}, at)
		c.adjustOwnedShardCount(s.Owner, -1)
	}
	s.Owner, s.Epoch = claim.Entry, offset
	c.adjustOwnedShardCount(claim.Entry, 1)
	c.recordPresence(claim.Entry, at, c.presences[claim.Entry].Draining)
	return true
}

func (c *Claimer) applyHandOver(h HandOver, at time.Time) bool {
	if h.Shard < 0 || h.Shard >= len(c.shards) || h.Entry == "" {
		return false
	}
	s := &c.shards[h.Shard]
	if s.Owner != h.Entry || s.Epoch != h.Epoch {
		return false
	}
	s.addPredecessor(Predecessor{Entry: s.Owner, Epoch: s.Epoch, LastRecordAt: at, HandedOver: true, RemainingLease: h.RemainingLease}, at)
	c.adjustOwnedShardCount(s.Owner, -1)
	s.Owner = ""
	c.recordPresence(h.Entry, at, c.presences[h.Entry].Draining)
	return true
}

func (c *Claimer) recordPresence(entry string, at time.Time, draining bool) {
	p, ok := c.presences[entry]
	if !ok || at.Sub(p.LastSeen) >= AbsenceTimeout {
		p.Since = at
	}
	p.LastSeen, p.Draining = at, draining
	c.presences[entry] = p
}

// forgetAbsentEntries bounds the memory used for entries that have ended. Owners are kept, because the age of their
// presence records decides whether a claim is valid.
func (c *Claimer) forgetAbsentEntries(at time.Time) {
	for entry, p := range c.presences {
		if at.Sub(p.LastSeen) > absenceRetention && c.ownedShardCounts[entry] == 0 {
			delete(c.presences, entry)
		}
	}
}

func (c *Claimer) adjustOwnedShardCount(entry string, delta int) {
	if entry == "" {
		return
	}
	c.ownedShardCounts[entry] += delta
	if c.ownedShardCounts[entry] == 0 {
		delete(c.ownedShardCounts, entry)
	}
}

func (o *Ownership) addPredecessor(p Predecessor, at time.Time) {
	var kept []Predecessor
	for _, q := range o.Predecessors {
		if at.Sub(q.LastRecordAt) <= absenceRetention+q.RemainingLease {
			kept = append(kept, q)
		}
	}
	if len(kept) >= maxPredecessors {
		// A merged predecessor has no name, so it can't be asked to confirm that it stopped. Its leases are assumed
		// to run for the longest possible time after the later of the two last records.
		merged := Predecessor{LastRecordAt: kept[1].LastRecordAt}
		kept = append([]Predecessor{merged}, kept[2:]...)
	}
	o.Predecessors = append(kept, p)
}
