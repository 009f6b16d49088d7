// Package claimer determines which entry owns which shard. The owner is a function of the stream
// alone, so that every reader of the same prefix computes the same owner.
package claimer

import (
	"encoding/json"
	"time"

	"bamboohook/stream"
)

const (
	// PresenceInterval is how often an entry writes a presence record.
	PresenceInterval = 3 * time.Second
	// AbsenceLimit is the age of the last presence, in log time, from which a shard may be claimed by another entry.
	AbsenceTimeout = 8 * time.Second
	// witnessLimit is the age of its own last presence up to which an entry may judge others absent. When the
	// log stops for everybody, each entry's own presence is older than this before another looks absent, because
	// AbsenceLimit-PresenceInterval is larger.
	witnessLimit = 4 * time.Second
	// memory is how long an absent entry or predecessor is remembered; it must exceed the longest lease rule (31 minutes).
	memory = 2 * time.Hour
	// maxPredecessors bounds the predecessors of one shard; older ones are merged.
	maxPredecessors = 16
)

type (
	// Claimer replays ownership records. It is not safe for concurrent use.
	Claimer struct {
		entry    string
		shards   []Ownership
		presence map[string]presence
		latest   time.Time
		owned    map[string]int
	}

	// Options configure a Claimer.
	Options struct {
		// Entry is the own entry; empty for a mere reader.
		Entry string
		// Shards is the number of shards, equal in all entries of a region; 0 means 1.
		ShardCount int
	}

	presence struct {
		// First is the start of an uninterrupted run of presence records and Last its end, in log time.
		First    time.Time `json:"first"`
		Last     time.Time `json:"last"`
		Draining bool      `json:"draining,omitempty"`
	}

	state struct {
		Shards   []Ownership         `json:"shards"`
		Presence map[string]presence `json:"presence"`
		Latest   time.Time           `json:"latest"`
	}
)

// New returns a claimer at the start of the stream, where no shard has an owner.
func New(o Options) *Claimer {
	return &Claimer{
		entry: o.Entry, shards: make([]Ownership, max(o.ShardCount, 1)),
		presence: map[string]presence{}, owned: map[string]int{},
	}
}

// Apply replays one record at its offset and log time. It reports whether the record took effect;
// records of other kinds, malformed records and invalid claims do not.
func (c *Claimer) Apply(r stream.Record, offset uint64, at time.Time) bool {
	// A restored state must equal a replayed one, and JSON keeps neither zone names nor monotonic readings.
	at = at.Round(0).UTC()
	// The log service's clock may step back; log time as used here does not.
	if at.Before(c.latest) {
		at = c.latest
	}
	c.latest = at
	switch r.Kind {
	case KindClaim:
		var claim Claim
		return json.Unmarshal(r.Body, &claim) == nil && c.claim(claim, offset, at)
	case KindPresence:
		var p Presence
		if json.Unmarshal(r.Body, &p) != nil || p.Entry == "" {
			return false
		}
		c.seen(p.Entry, at, p.Draining)
		c.forget(at)
		return true
	case KindHandOver:
		var h HandOver
		return json.Unmarshal(r.Body, &h) == nil && c.handOver(h, at)
	}
	return false
}

// Shards returns the number of shards.
func (c *Claimer) ShardCount() int { return len(c.shards) }

// Entry returns the own entry.
func (c *Claimer) Entry() string { return c.entry }

// Ownership returns the state of a shard; it is zero for a shard out of range. The caller must not
// change the predecessors.
func (c *Claimer) Ownership(shard int) Ownership {
	if shard < 0 || shard >= len(c.shards) {
		return Ownership{}
	}
	return c.shards[shard]
}

// Current reports whether epoch is that of the current claim of a shard that has an owner.
func (c *Claimer) IsCurrentEpoch(shard int, epoch uint64) bool {
	o := c.Ownership(shard)
	return o.Owner != "" && o.Epoch == epoch
}

// Mine reports whether the own entry owns the shard.
func (c *Claimer) OwnsShard(shard int) bool {
	return c.entry != "" && c.Ownership(shard).Owner == c.entry
}

// Latest returns the log time of the last record.
func (c *Claimer) LogTime() time.Time { return c.latest }

// Snapshot returns the state as JSON.
func (c *Claimer) Snapshot() json.RawMessage {
	encoded, err := json.Marshal(state{c.shards, c.presence, c.latest})
	if err != nil {
		panic("claimer: cannot encode state: " + err.Error())
	}
	return encoded
}

// Restore replaces the state by a snapshot. On error the state is unchanged.
func (c *Claimer) Restore(snapshot json.RawMessage) error {
	var s state
	if err := json.Unmarshal(snapshot, &s); err != nil {
		return err
	}
	fresh := New(Options{Entry: c.entry, ShardCount: len(s.Shards)})
	fresh.shards, fresh.latest = s.Shards, s.Latest
	for entry, p := range s.Presence {
		fresh.presence[entry] = p
	}
	for _, o := range s.Shards {
		fresh.count(o.Owner, 1)
	}
	*c = *fresh
	return nil
}

func (c *Claimer) claim(claim Claim, offset uint64, at time.Time) bool {
	if claim.Shard < 0 || claim.Shard >= len(c.shards) || claim.Entry == "" {
		return false
	}
	s := &c.shards[claim.Shard]
	// Two claims in one append would share an epoch, which would fence nothing.
	if s.Epoch != claim.PreviousEpoch || s.Epoch == offset || s.Owner == claim.Entry {
		return false
	}
	if s.Owner != "" {
		last := c.presence[s.Owner].Last
		// The claimant may have decided before the owner's latest presence reached it.
		if at.Sub(last) < AbsenceTimeout {
			return false
		}
		s.add(Predecessor{Entry: s.Owner, Epoch: s.Epoch, LastRecordAt: last}, at)
		c.count(s.Owner, -1)
	}
	s.Owner, s.Epoch = claim.Entry, offset
	c.count(claim.Entry, 1)
	c.seen(claim.Entry, at, c.presence[claim.Entry].Draining)
	return true
}

func (c *Claimer) handOver(h HandOver, at time.Time) bool {
	if h.Shard < 0 || h.Shard >= len(c.shards) || h.Entry == "" {
		return false
	}
	s := &c.shards[h.Shard]
	if s.Owner != h.Entry || s.Epoch != h.Epoch {
		return false
	}
	s.add(Predecessor{Entry: s.Owner, Epoch: s.Epoch, LastRecordAt: at, HandedOver: true, RemainingLease: h.RemainingLease}, at)
	c.count(s.Owner, -1)
	s.Owner = ""
	c.seen(h.Entry, at, c.presence[h.Entry].Draining)
	return true
}

func (c *Claimer) seen(entry string, at time.Time, draining bool) {
	p, ok := c.presence[entry]
	if !ok || at.Sub(p.Last) >= AbsenceTimeout {
		p.First = at
	}
	p.Last, p.Draining = at, draining
	c.presence[entry] = p
}

// forget bounds the memory for entries that ended. An owner is kept, because the age of its presence decides claims.
func (c *Claimer) forget(at time.Time) {
	for entry, p := range c.presence {
		if at.Sub(p.Last) > memory && c.owned[entry] == 0 {
			delete(c.presence, entry)
		}
	}
}

func (c *Claimer) count(entry string, by int) {
	if entry == "" {
		return
	}
	c.owned[entry] += by
	if c.owned[entry] == 0 {
		delete(c.owned, entry)
	}
}

func (o *Ownership) add(p Predecessor, at time.Time) {
	var kept []Predecessor
	for _, q := range o.Predecessors {
		if at.Sub(q.LastRecordAt) <= memory+q.RemainingLease {
			kept = append(kept, q)
		}
	}
	if len(kept) >= maxPredecessors {
		// Without a name nobody can confirm that both stopped, so the long rule applies to the later of them.
		merged := Predecessor{LastRecordAt: kept[1].LastRecordAt}
		kept = append([]Predecessor{merged}, kept[2:]...)
	}
	o.Predecessors = append(kept, p)
}
