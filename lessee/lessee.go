// Package lessee tracks the leases under which a VM's agent runs task attempts.
//
// All times are readings of one clock that includes suspended time.
package lessee

import (
	"sort"
	"time"

	"bamboohook/task"
)

// Decisions on a granted lease. All except Accepted are refusals.
const (
	Accepted       Decision = "accepted"
	StaleEpoch     Decision = "old-epoch"
	Expired        Decision = "lease-expired"
	UnknownAttempt Decision = "unknown-attempt"
)

type (
	// Decision is the outcome of Acquire and Renew. Its value is the reason that a refusal reports.
	Decision string

	// Lessee tracks the leases by attempt and the newest epoch seen for each shard. The zero value is ready to use.
	// It is not safe for concurrent use.
	Lessee struct {
		// ExpiryMargin is how long before its end a lease is reported as expiring, so that the attempt can be
		// checkpointed and stopped in time.
		ExpiryMargin time.Duration

		epochs map[int]uint64
		leases map[string]lease
	}

	lease struct {
		id      task.Identity
		expires time.Time
	}
)

// Fence records that the epoch was seen for the shard. It reports whether the epoch is at least as new as the newest
// one seen.
func (l *Lessee) Fence(shard int, epoch uint64) bool {
	if epoch < l.epochs[shard] {
		return false
	}
	if l.epochs == nil {
		l.epochs = map[int]uint64{}
	}
	l.epochs[shard] = epoch
	return true
}

// Acquire accepts the first lease of an attempt. The duration counts from sent, the time at which the agent sent the
// message to which the lease is the response.
func (l *Lessee) Acquire(id task.Identity, duration time.Duration, sent, now time.Time) Decision {
	if !l.Fence(id.Shard, id.Epoch) {
		return StaleEpoch
	}
	expires := sent.Add(duration)
	if !expires.Add(-l.ExpiryMargin).After(now) {
		return Expired
	}
	l.setLease(id, expires)
	return Accepted
}

// Renew accepts a further lease of a known attempt under the same rules as Acquire. It never shortens a lease. An
// attempt for which a newer epoch is seen belongs to that epoch from then on.
func (l *Lessee) Renew(id task.Identity, duration time.Duration, sent, now time.Time) Decision {
	if _, ok := l.leases[id.ID()]; !ok {
		return UnknownAttempt
	}
	return l.Acquire(id, duration, sent, now)
}

// Adopt adds an attempt that already runs at the worker. Its lease expires at the given time unless an owner renews
// it.
func (l *Lessee) Adopt(id task.Identity, expires time.Time) {
	l.setLease(id, expires)
}

// ExpiresAt returns the end of the attempt's lease. For an unknown attempt ok is false.
func (l *Lessee) ExpiresAt(id task.Identity) (expires time.Time, ok bool) {
	existing, ok := l.leases[id.ID()]
	return existing.expires, ok
}

// Remove removes an attempt that no longer runs.
func (l *Lessee) Remove(id task.Identity) {
	delete(l.leases, id.ID())
}

// Expiring returns the attempts whose lease ends within ExpiryMargin after now, sorted by attempt id.
func (l *Lessee) Expiring(now time.Time) []task.Identity {
	var expiring []task.Identity
	for _, existing := range l.leases {
		if !existing.expires.Add(-l.ExpiryMargin).After(now) {
			expiring = append(expiring, existing.id)
		}
	}
	sort.Slice(expiring, func(i, j int) bool { return expiring[i].ID() < expiring[j].ID() })
	return expiring
}

func (l *Lessee) setLease(id task.Identity, expires time.Time) {
	if l.leases == nil {
		l.leases = map[string]lease{}
	}
	if existing, ok := l.leases[id.ID()]; ok && existing.expires.After(expires) {
		expires = existing.expires
	}
	l.leases[id.ID()] = lease{id, expires}
}
