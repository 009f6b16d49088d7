package claimer

import (
	"sort"
	"time"
)

// PresenceDue reports whether this entry should append a presence record now. Like all methods of this file, it takes
// the current log time.
func (c *Claimer) PresenceDue(now time.Time) bool {
	p, ok := c.presences[c.entry]
	return c.entry != "" && (!ok || now.Sub(p.LastRecordLogTime) >= PresenceInterval)
}

// LiveEntries returns the sorted names of the live entries, which are those that are not draining and whose last
// record is younger than AbsenceTimeout.
func (c *Claimer) LiveEntries(now time.Time) []string {
	var live []string
	for entry, p := range c.presences {
		if !p.Draining && now.Sub(p.LastRecordLogTime) < AbsenceTimeout {
			live = append(live, entry)
		}
	}
	sort.Strings(live)
	return live
}

// ClaimsDue returns the claims that this entry should append now. The entry claims its fair share of the shards that
// have no owner or whose owner is absent.
func (c *Claimer) ClaimsDue(now time.Time) []Claim {
	live := c.LiveEntries(now)
	if !containsSorted(live, c.entry) {
		return nil
	}
	counts := map[string]int{}
	for _, entry := range live {
		counts[entry] = c.ownedShardCounts[entry]
	}
	ownPresence := c.presences[c.entry]
	mayClaimFromAbsent := now.Sub(ownPresence.LastRecordLogTime) <= maxOwnPresenceAge && ownPresence.LastRecordLogTime.Sub(ownPresence.PresentSince) >= AbsenceTimeout
	var claims []Claim
	for i, s := range c.shards {
		if s.Owner != "" && (!mayClaimFromAbsent || now.Sub(c.presences[s.Owner].LastRecordLogTime) < AbsenceTimeout) {
			continue
		}
		// The shard goes to the live entry with the fewest shards. All live entries compute the same distribution, so
		// two of them rarely claim the same shard.
		claimant := entryWithFewestShards(live, counts)
		counts[claimant]++
		if claimant == c.entry {
			claims = append(claims, Claim{Shard: i, Entry: c.entry, PreviousEpoch: s.Epoch})
		}
	}
	return claims
}

// HandOversDue returns the shards that this entry should hand over now. While the entry drains, these are all its
// shards, and otherwise as many of them as it owns beyond its fair share.
func (c *Claimer) HandOversDue(now time.Time) []int {
	ownPresence := c.presences[c.entry]
	excess := c.ownedShardCounts[c.entry]
	if !ownPresence.Draining {
		excess -= c.fairShare(now)
	}
	var shards []int
	for i := len(c.shards) - 1; i >= 0 && len(shards) < excess; i-- {
		if c.shards[i].Owner == c.entry {
			shards = append(shards, i)
		}
	}
	return shards
}

// fairShare returns the number of shards that this entry should own. If the shards can't be divided evenly, each entry
// gets the quotient, and the entries that own the most shards get one more, so that as few shards as possible change
// their owner.
func (c *Claimer) fairShare(now time.Time) int {
	live := c.LiveEntries(now)
	if len(live) == 0 {
		return len(c.shards)
	}
	sort.SliceStable(live, func(i, j int) bool { return c.ownedShardCounts[live[i]] > c.ownedShardCounts[live[j]] })
	quotient, remainder := len(c.shards)/len(live), len(c.shards)%len(live)
	for i, entry := range live {
		if entry == c.entry && i < remainder {
			return quotient + 1
		}
	}
	return quotient
}

// entryWithFewestShards returns the live entry with the lowest count. Of several such entries, it returns the first.
func entryWithFewestShards(live []string, counts map[string]int) string {
	best := live[0]
	for _, entry := range live[1:] {
		if counts[entry] < counts[best] {
			best = entry
		}
	}
	return best
}

// containsSorted reports whether the sorted names contain the name.
func containsSorted(names []string, name string) bool {
	i := sort.SearchStrings(names, name)
	return i < len(names) && names[i] == name
}
