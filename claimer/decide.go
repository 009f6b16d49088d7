package claimer

import (
	"sort"
	"time"
)

// PresenceDue reports whether the own entry should write a presence record, given the log time now.
func (c *Claimer) PresenceDue(now time.Time) bool {
	p, ok := c.presences[c.entry]
	return c.entry != "" && (!ok || now.Sub(p.LastSeen) >= PresenceInterval)
}

// Live returns the entries that want shards and were present within AbsenceLimit of the log time now, by name.
func (c *Claimer) LiveEntries(now time.Time) []string {
	var live []string
	for entry, p := range c.presences {
		if !p.Draining && now.Sub(p.LastSeen) < AbsenceTimeout {
			live = append(live, entry)
		}
	}
	sort.Strings(live)
	return live
}

// Claims returns the claims that the own entry should append at the log time now: its even part of the
// shards that have no owner, were handed over or whose owner is absent.
func (c *Claimer) ClaimsDue(now time.Time) []Claim {
	live := c.LiveEntries(now)
	if !contains(live, c.entry) {
		return nil
	}
	counts := map[string]int{}
	for _, entry := range live {
		counts[entry] = c.ownedShards[entry]
	}
	own := c.presences[c.entry]
	mayClaimFromOthers := now.Sub(own.LastSeen) <= maxOwnPresenceAge && own.LastSeen.Sub(own.Since) >= AbsenceTimeout
	var claims []Claim
	for i, s := range c.shards {
		if s.Owner != "" && (!mayClaimFromOthers || now.Sub(c.presences[s.Owner].LastSeen) < AbsenceTimeout) {
			continue
		}
		// All live entries compute the same distribution, so they rarely claim the same shard.
		next := fewestShards(live, counts)
		counts[next]++
		if next == c.entry {
			claims = append(claims, Claim{Shard: i, Entry: c.entry, PreviousEpoch: s.Epoch})
		}
	}
	return claims
}

// Surplus returns the shards that the own entry should hand over at the log time now: all of them
// if it drains, else those above its even part.
func (c *Claimer) HandOversDue(now time.Time) []int {
	own := c.presences[c.entry]
	excess := c.ownedShards[c.entry]
	if !own.Draining {
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

// share is the even part of the own entry. The entries with the most shards keep the remainder, so that as few
// shards as possible move.
func (c *Claimer) fairShare(now time.Time) int {
	live := c.LiveEntries(now)
	if len(live) == 0 {
		return len(c.shards)
	}
	sort.SliceStable(live, func(i, j int) bool { return c.ownedShards[live[i]] > c.ownedShards[live[j]] })
	part, rest := len(c.shards)/len(live), len(c.shards)%len(live)
	for i, entry := range live {
		if entry == c.entry && i < rest {
			return part + 1
		}
	}
	return part
}

func fewestShards(live []string, counts map[string]int) string {
	best := live[0]
	for _, entry := range live[1:] {
		if counts[entry] < counts[best] {
			best = entry
		}
	}
	return best
}

func contains(names []string, name string) bool {
	i := sort.SearchStrings(names, name)
	return i < len(names) && names[i] == name
}
