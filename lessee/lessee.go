// Package lessee holds the leases under which a VM's agent runs task attempts.
//
// All times are readings of one clock that includes suspended time.
package lessee

import (
	"sort"
	"time"

	"bamboohook/task"
)

// Verdicts on a grant. Only Accepted has an effect.
const (
	Accepted       Decision = "accepted"
	StaleEpoch     Decision = "old-epoch"
	Expired        Decision = "lease-expired"
	UnknownAttempt Decision = "unknown-attempt"
)

type (
	// Verdict is the outcome of a grant, in the form of a refusal reason.
	Decision string

	// Lessee keeps leases by attempt and the newest epoch seen for each shard. The zero value is
	// ready. It is not safe for concurrent use.
	Lessee struct {
		// Lead is how long before its end a lease is reported as lapsed, so that the attempt can be
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

// Fence records the epoch as seen for the shard and reports whether it is not older than the newest one seen.
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

// Begin takes the first lease of an attempt. Length counts from sent, when the message that the grant answers was sent.
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

// Extend takes a further lease of a known attempt, as Begin does. It never shortens a lease. A new
// epoch takes the attempt over.
func (l *Lessee) Renew(id task.Identity, duration time.Duration, sent, now time.Time) Decision {
	if _, ok := l.leases[id.ID()]; !ok {
		return UnknownAttempt
	}
	return l.Acquire(id, duration, sent, now)
}

// Adopt takes an attempt that already runs at the worker, until the given time unless an owner extends it.
func (l *Lessee) Adopt(id task.Identity, expires time.Time) {
	l.setLease(id, expires)
}

// Until returns the end of the attempt's lease; ok is false for an unknown attempt.
func (l *Lessee) ExpiresAt(id task.Identity) (expires time.Time, ok bool) {
	known, ok := l.leases[id.ID()]
	return known.expires, ok
}

// Drop forgets an attempt that does not run any more.
func (l *Lessee) Remove(id task.Identity) {
	delete(l.leases, id.ID())
}

// Lapsed returns the attempts whose lease ends within Lead of now, in the order of their ids.
func (l *Lessee) Expiring(now time.Time) []task.Identity {
	var expiring []task.Identity
	for _, known := range l.leases {
		if !known.expires.Add(-l.ExpiryMargin).After(now) {
			expiring = append(expiring, known.id)
		}
	}
	sort.Slice(expiring, func(i, j int) bool { return expiring[i].ID() < expiring[j].ID() })
	return expiring
}

func (l *Lessee) setLease(id task.Identity, expires time.Time) {
	if l.leases == nil {
		l.leases = map[string]lease{}
	}
	if known, ok := l.leases[id.ID()]; ok && known.expires.After(expires) {
		expires = known.expires
	}
	l.leases[id.ID()] = lease{id, expires}
}
