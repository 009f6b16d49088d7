// Package lessee tracks the leases under which a VM's agent runs task attempts. A lease is the permission of the
// shard's owner to run an attempt until a certain time, and an epoch identifies one ownership of a shard.
//
// All times are readings of one clock, which also advances while the machine is suspended.
package lessee

import (
	"sort"
	"time"

	"bamboohook/task"
)

// Decisions on a granted lease. All except Accepted are refusals. StaleEpoch means that a newer epoch of the shard was
// seen before. Expired means that the lease has ended or ends within ExpiryMargin. UnknownAttempt means that there is
// no lease to renew.
const (
	Accepted       Decision = "accepted"
	StaleEpoch     Decision = "old-epoch"
	Expired        Decision = "lease-expired"
	UnknownAttempt Decision = "unknown-attempt"
)

type (
	// Decision is the outcome of Acquire and Renew. If it is a refusal, its value is the reason that the agent reports.
	Decision string

	// Lessee holds the lease of each attempt that runs on the VM, and the newest epoch that was seen for each shard.
	// The zero value is ready to use. A Lessee is not safe for concurrent use.
	Lessee struct {
		// ExpiryMargin is how long before its end a lease counts as expiring, so that there is time to checkpoint and
		// stop the attempt.
		ExpiryMargin time.Duration

		// epochs holds the newest epoch that was seen for each shard. leases holds the leases by attempt id.
		epochs map[int]uint64
		leases map[string]lease
	}

	lease struct {
		id  task.Identity
		end time.Time
	}
)

// Fence records that the epoch was seen for the shard. From then on, leases of older epochs are refused. Fence returns
// false if a newer epoch of the shard was seen before.
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

// Acquire accepts the first lease of an attempt. The lease was received in response to a message that the agent sent
// at the time sent, and it ends when the duration has passed since then.
func (l *Lessee) Acquire(id task.Identity, duration time.Duration, sent, now time.Time) Decision {
	if !l.Fence(id.Shard, id.Epoch) {
		return StaleEpoch
	}
	leaseEnd := sent.Add(duration)
	if !leaseEnd.Add(-l.ExpiryMargin).After(now) {
		return Expired
	}
	l.setLease(id, leaseEnd)
	return Accepted
}

// Renew accepts a further lease of an attempt that already has one, under the same conditions as Acquire. A renewal
// never shortens the lease. If its epoch is newer, the attempt belongs to the new epoch from then on.
func (l *Lessee) Renew(id task.Identity, duration time.Duration, sent, now time.Time) Decision {
	if _, ok := l.leases[id.ID()]; !ok {
		return UnknownAttempt
	}
	return l.Acquire(id, duration, sent, now)
}

// Adopt adds an attempt that already runs at the worker, which is the process that runs the tasks on the VM. The lease
// of the attempt ends at leaseEnd unless an owner renews it.
func (l *Lessee) Adopt(id task.Identity, leaseEnd time.Time) {
	l.setLease(id, leaseEnd)
}

// LeaseEnd returns the time at which the lease of the attempt ends. If the attempt has no lease, ok is false.
func (l *Lessee) LeaseEnd(id task.Identity) (leaseEnd time.Time, ok bool) {
	existing, ok := l.leases[id.ID()]
	return existing.end, ok
}

// Remove removes the lease of an attempt that no longer runs. The epoch that was seen for its shard is kept.
func (l *Lessee) Remove(id task.Identity) {
	delete(l.leases, id.ID())
}

// Expiring returns the attempts whose lease has ended or ends within ExpiryMargin after now, sorted by attempt id.
func (l *Lessee) Expiring(now time.Time) []task.Identity {
	var expiring []task.Identity
	for _, existing := range l.leases {
		if !existing.end.Add(-l.ExpiryMargin).After(now) {
			expiring = append(expiring, existing.id)
		}
	}
	sort.Slice(expiring, func(i, j int) bool { return expiring[i].ID() < expiring[j].ID() })
	return expiring
}

// setLease stores the lease of an attempt. If the attempt already has a lease that ends later, that end is kept.
func (l *Lessee) setLease(id task.Identity, leaseEnd time.Time) {
	if l.leases == nil {
		l.leases = map[string]lease{}
	}
	if existing, ok := l.leases[id.ID()]; ok && existing.end.After(leaseEnd) {
		leaseEnd = existing.end
	}
	l.leases[id.ID()] = lease{id, leaseEnd}
}
