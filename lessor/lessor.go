// Package lessor grants leases on task attempts and computes when an attempt can no longer be running.
//
// All times are readings of one clock that also advances while the machine is suspended. The clock of a lessee, which
// is the agent of a VM, may run up to 1% slower than this clock.
//
// Log contact means that the owner has recently read back one of its own presence records. A new owner of a shard
// fences its predecessors on a VM when the VM's agent sees the new epoch: from then on, the agent refuses leases of
// older epochs.
package lessor

import (
	"time"

	"bamboohook/task"
)

const (
	// NormalLeaseDuration is the duration of a lease that is granted with log contact.
	NormalLeaseDuration = 10 * time.Second
	// OutageLeaseDuration is the duration of a lease that is granted without log contact.
	OutageLeaseDuration = 60 * time.Second
	// MaxNormalContactAge is the greatest age of the last log contact at which normal leases are granted. It is less
	// than claimer.AbsenceTimeout, after which a successor may claim a shard, so an owner that grants a normal lease
	// has not been superseded yet.
	MaxNormalContactAge = 5 * time.Second
	// MaxOutageContactAge is the greatest age of the last log contact at which outage leases are granted.
	MaxOutageContactAge = 30 * time.Minute
	// maxClockDriftPercent is by how many percent a lessee's clock may run slower than the lessor's.
	maxClockDriftPercent = 1
)

// Decisions of Grant. All except Granted are refusals: the shard has a newer epoch or was never owned, StopGranting
// was called, the last log contact is too old, the agent was restarted after the last log contact, or the attempt has
// a lease on another VM.
const (
	Granted  Decision = "granted"
	NotOwner Decision = "not-owner"
	// GrantingStopped means that this entry owned the shard but granting was stopped.
	GrantingStopped Decision = "stopped"
	NoLogContact    Decision = "no-log-contact"
	// UnknownGeneration means that there is no log contact and the agent was started after the last one.
	UnknownGeneration Decision = "generation-unknown-to-log-contact"
	LeasedToOtherVM   Decision = "bound-to-another-vm"
)

type (
	// Decision is the outcome of Grant.
	Decision string

	// Lease is the permission to run an attempt for a limited time. The lessee counts Duration from the moment at
	// which it sent the request to which the lease is the response.
	Lease struct {
		Duration time.Duration
		// Outage is true if the lease was granted without log contact.
		Outage bool
	}

	// Predecessor is an earlier owner of a shard.
	Predecessor struct {
		Entry string
		// Epoch is the epoch of the predecessor's claim, or 0 if several predecessors were merged into one.
		Epoch uint64
		// LastRecordAt is the time on this entry's clock at which this entry received the predecessor's last record,
		// or a later time if that is unknown.
		LastRecordReceivedAt time.Time
		// HandedOver is true if the predecessor gave the shard up itself. All its leases then end within
		// RemainingLease after LastRecordAt.
		HandedOver     bool
		RemainingLease time.Duration
	}

	// Lessor grants the leases for the tasks of an entry's shards. It is not safe for concurrent use.
	Lessor struct {
		lastLogContact time.Time
		// generations holds the generation of each VM's agent.
		generations map[string]generation
		shards      map[int]*shard
	}

	generation struct {
		name string
		// firstSeen is when a heartbeat of the generation was first recorded.
		firstSeen time.Time
	}

	shard struct {
		epoch        uint64
		stopped      bool
		predecessors []predecessorState
		// grants holds the leases of this entry by attempt id. fencedLeaseEnds is when the predecessors' leases on a
		// fenced attempt end, also by attempt id.
		grants          map[string]grant
		fencedLeaseEnds map[string]time.Time
	}

	predecessorState struct {
		Predecessor
		// confirmedAt is when this entry learned that the predecessor has stopped granting leases. It is zero if the
		// predecessor has not confirmed that. outageLeaseEnds is when the last outage lease on each VM ends.
		confirmedAt     time.Time
		outageLeaseEnds map[string]time.Time
	}

	grant struct {
		vm string
		// expires is when the last lease can end at the latest, and outageExpires when the last outage lease can.
		leaseEnd       time.Time
		outageLeaseEnd time.Time
	}
)

// RecordLogContact records that this entry has read back a presence record that it sent at the given time. Only
// presence records count, because a successor assumes that the longest possible lease of a predecessor starts at the
// predecessor's last presence record. The response to an append is not sufficient: an owner that can append but not
// read does not learn that it was superseded.
func (l *Lessor) RecordLogContact(sent time.Time) {
	if sent.After(l.lastLogContact) {
		l.lastLogContact = sent
	}
}

// HasLogContact reports whether the last log contact is recent enough for normal leases.
func (l *Lessor) HasLogContact(now time.Time) bool {
	return !l.lastLogContact.IsZero() && now.Sub(l.lastLogContact) <= MaxNormalContactAge
}

// RecordGeneration records the generation of the VM's agent, a name for one run of the agent's process. Without log
// contact, no lease is granted to an agent whose generation was first seen more than MaxNormalContactAge after the
// last log contact. A successor may already have fenced this entry on the VM, and a restarted agent no longer knows
// the epoch that it has seen.
func (l *Lessor) RecordGeneration(vm, name string, now time.Time) {
	if l.generations == nil {
		l.generations = map[string]generation{}
	}
	if l.generations[vm].name != name {
		l.generations[vm] = generation{name, now}
	}
}

// StartGranting starts granting leases for a shard after this entry has claimed it. A repeated call for the same
// epoch has no effect. If this entry is itself one of the predecessors, its own earlier leases are known, so the
// longest possible lease is not assumed for it.
func (l *Lessor) StartGranting(shardNumber int, epoch uint64, predecessors []Predecessor, now time.Time) {
	if l.shards == nil {
		l.shards = map[int]*shard{}
	}
	previous, ok := l.shards[shardNumber]
	if ok && previous.epoch == epoch {
		return
	}
	remainingOutageLeases := l.RemainingOutageLeases(shardNumber, now)
	s := &shard{epoch: epoch, grants: map[string]grant{}, fencedLeaseEnds: map[string]time.Time{}}
	for _, p := range predecessors {
		s.predecessors = append(s.predecessors, predecessorState{Predecessor: p})
	}
	l.shards[shardNumber] = s
	if ok {
		l.RecordConfirmation(shardNumber, previous.epoch, remainingOutageLeases, now)
	}
}

// LastEpoch returns the epoch of the last claim under which this entry owned the shard. ok is true if leases are
// still granted under it.
func (l *Lessor) LastEpoch(shardNumber int) (epoch uint64, ok bool) {
	s, ok := l.shards[shardNumber]
	if !ok {
		return 0, false
	}
	return s.epoch, !s.stopped
}

// StopGranting ends the granting of leases for a shard. It can be resumed only under the epoch of a new claim.
func (l *Lessor) StopGranting(shardNumber int) {
	if s, ok := l.shards[shardNumber]; ok {
		s.stopped = true
	}
}

// Grant grants or renews a lease on the attempt for the VM's agent. The caller must have recorded the agent's current
// generation.
func (l *Lessor) Grant(vm string, id task.Identity, now time.Time) (Lease, Decision) {
	s, ok := l.shards[id.Shard]
	if !ok || s.epoch != id.Epoch {
		return Lease{}, NotOwner
	}
	if s.stopped {
		return Lease{}, GrantingStopped
	}
	g := s.grants[id.ID()]
	if g.vm != "" && g.vm != vm {
		return Lease{}, LeasedToOtherVM
	}
	lease := Lease{Duration: NormalLeaseDuration}
	if !l.HasLogContact(now) {
		if l.lastLogContact.IsZero() || now.Sub(l.lastLogContact) > MaxOutageContactAge {
			return Lease{}, NoLogContact
		}
		if firstSeen := l.generations[vm].firstSeen; firstSeen.IsZero() || firstSeen.Sub(l.lastLogContact) > MaxNormalContactAge {
			return Lease{}, UnknownGeneration
		}
		lease = Lease{Duration: OutageLeaseDuration, Outage: true}
	}
	g.vm, g.leaseEnd = vm, later(g.leaseEnd, now.Add(addClockDrift(lease.Duration)))
	if lease.Outage {
		g.outageLeaseEnd = g.leaseEnd
	}
	s.grants[id.ID()] = g
	return lease, Granted
}

// Release removes this entry's lease on an attempt that certainly does not run, because it ended or because the VM's
// agent refused to start it.
func (l *Lessor) Release(id task.Identity) {
	if s, ok := l.shards[id.Shard]; ok {
		delete(s.grants, id.ID())
		delete(s.fencedLeaseEnds, id.ID())
	}
}

// RecordFence records that the agent of the attempt's VM has accepted the epoch of this entry. The agent then accepts
// no further lease from a predecessor, so the predecessors' leases on the attempt end within one outage lease.
func (l *Lessor) RecordFence(id task.Identity, now time.Time) {
	s, ok := l.shards[id.Shard]
	if !ok {
		return
	}
	if _, fenced := s.fencedLeaseEnds[id.ID()]; !fenced && len(s.predecessors) > 0 {
		s.fencedLeaseEnds[id.ID()] = now.Add(addClockDrift(OutageLeaseDuration))
	}
}

// RecordConfirmation records that the predecessor with the given epoch has confirmed that it stopped granting leases,
// and how long its outage leases on each VM still run.
func (l *Lessor) RecordConfirmation(shardNumber int, epoch uint64, remainingOutageLeases map[string]time.Duration, now time.Time) {
	s, ok := l.shards[shardNumber]
	if !ok || epoch == 0 {
		return
	}
	for i := range s.predecessors {
		p := &s.predecessors[i]
		if p.Epoch != epoch || !p.confirmedAt.IsZero() {
			continue
		}
		p.confirmedAt, p.outageLeaseEnds = now, map[string]time.Time{}
		for vm, remaining := range remainingOutageLeases {
			p.outageLeaseEnds[vm] = now.Add(addClockDrift(remaining))
		}
	}
}

// UnconfirmedPredecessors returns the predecessors of a shard that neither handed it over nor confirmed that they
// stopped granting leases, and whose leases may still run. Merged predecessors have no name and are left out.
func (l *Lessor) UnconfirmedPredecessors(shardNumber int, now time.Time) []Predecessor {
	s, ok := l.shards[shardNumber]
	if !ok {
		return nil
	}
	var unconfirmed []Predecessor
	for _, p := range s.predecessors {
		if !p.HandedOver && p.confirmedAt.IsZero() && p.Epoch != 0 && p.lastLeaseEnd("").After(now) {
			unconfirmed = append(unconfirmed, p.Predecessor)
		}
	}
	return unconfirmed
}

// OutageLeases returns how long the outage leases of a shard still run, by VM. VMs without such a lease are left out.
func (l *Lessor) RemainingOutageLeases(shardNumber int, now time.Time) map[string]time.Duration {
	remainingOutageLeases := map[string]time.Duration{}
	if s, ok := l.shards[shardNumber]; ok {
		for _, g := range s.grants {
			if g.outageLeaseEnd.After(now) {
				remainingOutageLeases[g.vm] = max(remainingOutageLeases[g.vm], g.outageLeaseEnd.Sub(now))
			}
		}
	}
	return remainingOutageLeases
}

// LongestRemainingLease returns how long the leases of a shard may still run, and at least the duration of a normal
// lease. It allows for the drift of the lessees' clocks.
func (l *Lessor) LongestRemainingLease(shardNumber int, now time.Time) time.Duration {
	longest := addClockDrift(NormalLeaseDuration)
	if s, ok := l.shards[shardNumber]; ok {
		for _, g := range s.grants {
			longest = max(longest, g.leaseEnd.Sub(now))
		}
	}
	return longest
}

// NotRunningAfter returns the time after which the attempt can't be running on the VM, even if nothing is heard from the
// VM. The epoch of id must be that of the attempt's assignment. A zero time means that the attempt never could run on
// the VM. ok is false if this entry has never owned the shard, because then no such time is known.
func (l *Lessor) NotRunningAfter(vm string, id task.Identity) (at time.Time, ok bool) {
	s, ok := l.shards[id.Shard]
	if !ok {
		return time.Time{}, false
	}
	for _, p := range s.predecessors {
		// A predecessor whose claim is older than the claim under which the attempt was assigned can't have granted a
		// lease on it.
		if p.Epoch == 0 || p.Epoch >= id.Epoch {
			at = later(at, p.lastLeaseEnd(vm))
		}
	}
	if fencedLeaseEnd, fenced := s.fencedLeaseEnds[id.ID()]; fenced && fencedLeaseEnd.Before(at) {
		at = fencedLeaseEnd
	}
	if g := s.grants[id.ID()]; g.vm == vm {
		at = later(at, g.leaseEnd)
	}
	return at, true
}

// leasesEnd returns when the predecessor's leases on the VM have ended at the latest.
func (p predecessorState) lastLeaseEnd(vm string) time.Time {
	switch {
	case p.HandedOver:
		return p.LastRecordReceivedAt.Add(addClockDrift(max(p.RemainingLease, NormalLeaseDuration)))
	case !p.confirmedAt.IsZero():
		return later(p.confirmedAt.Add(addClockDrift(NormalLeaseDuration)), p.outageLeaseEnds[vm])
	}
	return p.LastRecordReceivedAt.Add(addClockDrift(MaxOutageContactAge + OutageLeaseDuration))
}

// addClockDrift returns the longest time that the duration can take by a lessee's clock.
func addClockDrift(duration time.Duration) time.Duration {
	return duration + duration*maxClockDriftPercent/100
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
