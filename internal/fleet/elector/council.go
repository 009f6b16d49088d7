package elector

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// councilSize is the number of entries that watch the owner, beside the owner itself, and claim the ownership when it fails. All entries of
	// an installation with up to one more entry belong to the council.
	councilSize = 4
	// presumedDeadTimeout is the time without a sign of life after which an entry counts as ended, and an owner as failed, for entries outside of
	// the council. Signs of life reach each of 1,000 entries within half of it.
	presumedDeadTimeout = 4 * time.Second
	// maxCongestionTime limits the congestion time of another entry.
	maxCongestionTime = 2 * time.Second
	// yieldRatio is the ratio of weights from which on the owner gives up the ownership to an entry with a higher weight, after it has owned the
	// jobs for settledDuration.
	yieldRatio = 1.5
	// settledDuration is how long an owner must stay until the election counts as settled.
	settledDuration = 5 * time.Second
)

// councilCandidate is an entry that may belong to the council.
type councilCandidate struct {
	address    string
	available  bool
	weight     float64
	precedence uint64
}

// precedence returns the number that orders entries with the same weight. The order doesn't depend on the addresses' numeric order, so that the
// council is spread over data centres.
func precedence(address string) uint64 { return xxhash.Sum64String(address) }

// compare orders candidates: those that could own the jobs first, then by descending weight.
func (c councilCandidate) compare(other councilCandidate) int {
	if c.available != other.available {
		if c.available {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(other.weight, c.weight), cmp.Compare(c.precedence, other.precedence))
}

// updateCouncil determines the council: the owner and the first councilSize other entries that probably run. The caller holds the mutex.
func (e *Elector) updateCouncil(now time.Time) {
	first := make([]councilCandidate, 0, councilSize+1)
	insert := func(c councilCandidate) {
		position, _ := slices.BinarySearchFunc(first, c, councilCandidate.compare)
		if position < councilSize {
			first = slices.Insert(first, position, c)
			first = first[:min(len(first), councilSize)]
		}
	}
	if !e.isOwner {
		insert(councilCandidate{e.Address, !e.draining && e.storeAge(now) <= maxStoreAge, e.Weight, precedence(e.Address)})
	}
	for address, p := range e.peers {
		if address != e.owner && p.isPresumedLive(now) {
			insert(councilCandidate{address, p.isAvailable(), p.weight, p.precedence})
		}
	}
	inCouncil := e.isOwner
	e.council = e.council[:0]
	if _, ok := e.peers[e.owner]; ok {
		e.council = append(e.council, e.owner)
	}
	for _, c := range first {
		if c.address == e.Address {
			inCouncil = true
			continue
		}
		e.council = append(e.council, c.address)
	}
	if inCouncil && !e.inCouncil {
		e.councilSince = now
	}
	e.inCouncil = inCouncil
}

// ownerHealthy reports whether the owner need not be replaced. An owner is not healthy if it refuses connections, or if its last ping says that
// it gives the ownership up, or neither holds nor claims it. Any other owner is healthy for a short time after this entry has observed its epoch.
// Later, for an entry outside of the council, the owner is healthy as long as any entry hears from it. In the council, a live owner is healthy if it
// has contact with the store, and an owner that this entry doesn't hear from is healthy if another live entry hears from it. The caller makes
// sure that this entry has contact with the store itself, and holds the mutex.
func (e *Elector) ownerHealthy(now time.Time) bool {
	p, ok := e.peers[e.owner]
	if !ok || e.ownerRefuses(p) {
		// If the owner has the address of this entry, the ownership was claimed by an earlier process, which has ended.
		return false
	}
	// What was heard before is outdated, or was heard while this entry did not ping the owner.
	watchedSince := latest(e.councilSince, e.resumedAt)
	if p.lastHeardAt.After(latest(watchedSince, e.epochObservedAt)) && p.lastPing.Epoch >= e.epoch {
		gives := p.lastPing.Draining && !e.draining || p.lastPing.Yielding && e.Weight >= yieldRatio*p.lastPing.Weight
		if gives || !p.holdsOwnership(e) && p.lastPing.Claiming != e.epoch {
			return false
		}
	}
	if now.Sub(e.epochObservedAt) < e.silenceTimeout(p) {
		return true
	}
	if !e.inCouncil {
		return now.Sub(latest(e.ownerKnownAt, e.resumedAt)) < presumedDeadTimeout
	}
	if now.Sub(latest(p.lastHeardAt, watchedSince)) < e.silenceTimeout(p) {
		return !e.isLive(p, now) || p.lastPing.StoreAge < maxStoreAge
	}
	for address, other := range e.peers {
		if address != e.owner && e.isLive(other, now) && e.peerHearsOwner(other, now) {
			return true
		}
	}
	return false
}

// ownerRefuses reports whether the owner's process has ended. Refusals from before its ownership show nothing. The caller holds the mutex.
func (e *Elector) ownerRefuses(owner *peer) bool {
	return owner.refuses() && !e.ownerKnownAt.After(owner.refusedAt)
}

// othersClaim reports whether a live entry is claiming a later epoch. The caller holds the mutex.
func (e *Elector) othersClaim(now time.Time) bool {
	for _, p := range e.peers {
		if p.lastPing.Claiming > e.epoch && e.isLive(p, now) {
			return true
		}
	}
	return false
}

// rank returns the number of live entries that should claim the ownership before this one. The caller holds the mutex.
func (e *Elector) rank(now time.Time) int {
	rank, own := 0, precedence(e.Address)
	for address, p := range e.peers {
		if address == e.owner || !e.isLive(p, now) || p.lastPing.Draining || p.lastPing.StoreAge > maxStoreAge {
			continue
		}
		if cmp.Or(cmp.Compare(p.lastPing.Weight, e.Weight), cmp.Compare(own, p.precedence)) > 0 {
			rank++
		}
	}
	return rank
}

// canHandOver reports whether there is a live entry that isn't draining and has contact with the store, so that it can become the owner. The
// caller holds the mutex.
func (e *Elector) canHandOver(now time.Time) bool {
	for _, p := range e.peers {
		if e.isLive(p, now) && !p.lastPing.Draining && p.lastPing.StoreAge < maxStoreAge {
			return true
		}
	}
	return false
}

// shouldYield reports whether this entry, as the owner, should leave the ownership to an entry that can carry much more. The caller holds the
// mutex.
func (e *Elector) shouldYield(now time.Time) bool {
	if !e.isOwner || now.Sub(e.ownerSince) < settledDuration {
		return false
	}
	for _, p := range e.peers {
		if p.weight >= yieldRatio*e.Weight && e.isLive(p, now) && !p.lastPing.Draining && p.lastPing.StoreAge < maxStoreAge {
			return true
		}
	}
	return false
}
