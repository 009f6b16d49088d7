// Package lessor grants leases on task attempts and computes when an attempt can no longer be running. An attempt is
// one execution of a task. A lease permits the agent of a VM to run an attempt for a limited time. It is granted by
// the entry that owns the shard of the task. The epoch of an ownership is the stream offset of the claim that began
// it.
//
// All times are readings of one clock, which also advances while the machine is suspended. The clock of a lessee,
// which is the agent of a VM, may run up to 1% slower than this clock.
//
// Log contact means that the owner has recently read back one of its own presence records from the stream. Fencing
// means that the agent of a VM has accepted a newer epoch of a shard: from then on it refuses leases from the shard's
// predecessors, which are its earlier owners.
package lessor

import (
	"time"

	"bamboohook/task"
)

const (
	// NormalLeaseDuration is the duration of a normal lease. It is granted with log contact, which means that this
	// entry has recently read back one of its own presence records from the stream.
	NormalLeaseDuration = 10 * time.Second
	// OutageLeaseDuration is the duration of an outage lease. It is granted without log contact, for example while the
	// log service is down.
	OutageLeaseDuration = 60 * time.Second
	// MaxNormalContactAge is the greatest age of the last log contact at which normal leases are granted. It is less
	// than the 8 s of claimer.AbsenceTimeout, after which a successor may claim a shard, so an owner that grants a
	// normal lease has not been superseded yet.
	MaxNormalContactAge = 5 * time.Second
	// MaxOutageContactAge is the greatest age of the last log contact at which outage leases are granted. After that,
	// no lease is granted.
	MaxOutageContactAge = 30 * time.Minute
	// maxClockDriftPercent is by how many percent at most the clock of a lessee runs slower than the clock of this
	// entry.
	maxClockDriftPercent = 1
)

// Decisions of Grant. All except Granted are refusals.
const (
	Granted Decision = "granted"
	// NotOwner means that the epoch of the attempt is not the last one under which this entry owned the shard.
	NotOwner Decision = "not-owner"
	// GrantingStopped means that StopGranting was called for the shard.
	GrantingStopped Decision = "stopped"
	// NoLogContact means that the last log contact is older than MaxOutageContactAge, or that there was none.
	NoLogContact Decision = "no-log-contact"
	// UnknownGeneration means that the last log contact is older than MaxNormalContactAge, and that the VM is unknown
	// or its agent was started more than MaxNormalContactAge after that log contact.
	UnknownGeneration Decision = "generation-unknown-to-log-contact"
	// LeasedToOtherVM means that this entry has already granted a lease on the attempt to another VM.
	LeasedToOtherVM Decision = "bound-to-another-vm"
)

type (
	// Decision is the outcome of Grant.
	Decision string

	// Lease is the permission to run an attempt for a limited time. The lessee counts Duration from the moment at which
	// it sent the message to which the lease is the response.
	Lease struct {
		Duration time.Duration
		// Outage is true for an outage lease, which was granted without log contact and runs for OutageLeaseDuration.
		Outage bool
	}

	// Predecessor is an earlier owner of a shard.
	Predecessor struct {
		Entry string
		// Epoch is the epoch of the predecessor's claim, or 0 if several predecessors were merged into one.
		Epoch uint64
		// LastRecordReceivedAt is when this entry received the last record of the predecessor, by the clock of this
		// entry. If that is unknown, it is a later time.
		LastRecordReceivedAt time.Time
		// HandedOver is true if the predecessor gave the shard up itself. All its leases then end at the latest when
		// RemainingLease has passed since LastRecordReceivedAt.
		HandedOver     bool
		RemainingLease time.Duration
	}

	// Lessor grants the leases for the tasks of one entry's shards. It is not safe for concurrent use.
	Lessor struct {
		// lastLogContact is when this entry sent the newest of its presence records that it has read back.
		lastLogContact time.Time
		// generations holds the current generation of the agent of each VM, by VM name.
		generations map[string]generation
		shards      map[int]*shard
	}

	// generation is one run of an agent's process.
	generation struct {
		name string
		// firstSeen is when this entry processed the first heartbeat of the generation.
		firstSeen time.Time
	}

	// shard is a shard that this entry owns or has owned. epoch is that of its last ownership. grantingStopped is true
	// if no more leases are granted under this epoch.
	shard struct {
		epoch           uint64
		grantingStopped bool
		predecessors    []predecessorState
		// grants holds the leases that this entry has granted, by attempt id. fencedLeaseEnds is the latest time at
		// which the leases of predecessors on an attempt end, by attempt id. It holds the attempts whose agent has
		// accepted the epoch of this entry.
		grants          map[string]grant
		fencedLeaseEnds map[string]time.Time
	}

	predecessorState struct {
		Predecessor
		// confirmedAt is when this entry learned that the predecessor has stopped granting leases, or zero if the
		// predecessor has not confirmed that. outageLeaseEnds holds the latest time at which an outage lease of the
		// predecessor on a VM ends, by VM name. It holds the VMs that had such a lease when the predecessor confirmed.
		confirmedAt     time.Time
		outageLeaseEnds map[string]time.Time
	}

	// grant is what this entry has granted for one attempt on the VM vm.
	grant struct {
		vm string
		// leaseEnd is the latest time at which a lease on the attempt can end. outageLeaseEnd is the same for its outage
		// leases, or zero if it has none.
		leaseEnd       time.Time
		outageLeaseEnd time.Time
	}
)

// RecordLogContact records that this entry has read back a presence record that it had sent at the given time. Only
// presence records count, because a successor assumes that the longest possible lease of a predecessor starts at the
// last presence record of the predecessor. The response to an append is not sufficient: an owner that can append but
// not read does not learn that it was superseded.
func (l *Lessor) RecordLogContact(sent time.Time) {
	if sent.After(l.lastLogContact) {
		l.lastLogContact = sent
	}
}

// HasLogContact reports whether the last log contact is at most MaxNormalContactAge old.
func (l *Lessor) HasLogContact(now time.Time) bool {
	return !l.lastLogContact.IsZero() && now.Sub(l.lastLogContact) <= MaxNormalContactAge
}

// RecordGeneration records the generation of the VM's agent, which is a name for one run of the agent's process.
// Without log contact, no lease is granted to an agent whose generation was first seen more than MaxNormalContactAge
// after the last log contact. The reason is that a successor may already have fenced this entry on the VM, and an
// agent that was restarted since then no longer knows the newer epoch.
func (l *Lessor) RecordGeneration(vm, name string, now time.Time) {
	if l.generations == nil {
		l.generations = map[string]generation{}
	}
	if l.generations[vm].name != name {
		l.generations[vm] = generation{name, now}
	}
}

// StartGranting allows leases for a shard after this entry has claimed it. A repeated call for the same epoch has no
// effect. If this entry is itself one of the predecessors, its earlier leases are known, so its leases are not assumed
// to run for the longest possible time.
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

// LastEpoch returns the epoch of the last claim under which this entry owned the shard. ok is true only while leases
// are granted under this epoch; it becomes false when StopGranting is called.
func (l *Lessor) LastEpoch(shardNumber int) (epoch uint64, ok bool) {
	s, ok := l.shards[shardNumber]
	if !ok {
		return 0, false
	}
	return s.epoch, !s.grantingStopped
}

// StopGranting ends the granting of leases for a shard. Granting can resume only under the epoch of a later claim.
func (l *Lessor) StopGranting(shardNumber int) {
	if s, ok := l.shards[shardNumber]; ok {
		s.grantingStopped = true
	}
}

// Grant grants or renews a lease on the attempt for the agent of the VM. The caller must have passed the current
// generation of the agent to RecordGeneration.
func (l *Lessor) Grant(vm string, id task.Identity, now time.Time) (Lease, Decision) {
	s, ok := l.shards[id.Shard]
	if !ok || s.epoch != id.Epoch {
		return Lease{}, NotOwner
	}
	if s.grantingStopped {
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

// Release removes the lease that this entry granted on an attempt. The attempt must certainly not be running, because
// it ended or because the VM's agent refused to start it.
func (l *Lessor) Release(id task.Identity) {
	if s, ok := l.shards[id.Shard]; ok {
		delete(s.grants, id.ID())
		delete(s.fencedLeaseEnds, id.ID())
	}
}

// RecordFence records that the agent of the attempt's VM has accepted the epoch of this entry. The agent then accepts
// no further lease from a predecessor, so the leases of the predecessors on the attempt end within
// OutageLeaseDuration. A repeated call for the attempt has no effect.
func (l *Lessor) RecordFence(id task.Identity, now time.Time) {
	s, ok := l.shards[id.Shard]
	if !ok {
		return
	}
	if _, fenced := s.fencedLeaseEnds[id.ID()]; !fenced && len(s.predecessors) > 0 {
		s.fencedLeaseEnds[id.ID()] = now.Add(addClockDrift(OutageLeaseDuration))
	}
}

// RecordConfirmation records that the predecessor with the given epoch has confirmed that it stopped granting leases.
// remainingOutageLeases tells for how long its outage leases on each VM may still run.
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

// UnconfirmedPredecessors returns the predecessors of a shard that have neither handed it over nor confirmed that they
// stopped granting leases, and whose leases may still run. Merged predecessors have no name, so they can't be asked
// and are left out.
func (l *Lessor) UnconfirmedPredecessors(shardNumber int, now time.Time) []Predecessor {
	s, ok := l.shards[shardNumber]
	if !ok {
		return nil
	}
	var unconfirmed []Predecessor
	for _, p := range s.predecessors {
		// The VM passed to lastLeaseEnd is empty, because it only matters for a predecessor that has confirmed.
		if !p.HandedOver && p.confirmedAt.IsZero() && p.Epoch != 0 && p.lastLeaseEnd("").After(now) {
			unconfirmed = append(unconfirmed, p.Predecessor)
		}
	}
	return unconfirmed
}

// RemainingOutageLeases returns for how long the outage leases that this entry granted for a shard may still run, by
// VM. VMs without such a lease are left out.
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

// LongestRemainingLease returns the longest time for which a lease that this entry granted for a shard may still run,
// but at least the duration of a normal lease. The time is that of this entry's clock and allows for slower clocks of
// the lessees.
func (l *Lessor) LongestRemainingLease(shardNumber int, now time.Time) time.Duration {
	longest := addClockDrift(NormalLeaseDuration)
	if s, ok := l.shards[shardNumber]; ok {
		for _, g := range s.grants {
			longest = max(longest, g.leaseEnd.Sub(now))
		}
	}
	return longest
}

// NotRunningAfter returns the time after which the attempt can't be running on the VM, even if nothing is heard from
// the VM. The epoch of id must be that of the attempt's assignment. A zero time means that the attempt never could run
// on the VM. If this entry has never owned the shard, no such time is known, and ok is false.
func (l *Lessor) NotRunningAfter(vm string, id task.Identity) (at time.Time, ok bool) {
	s, ok := l.shards[id.Shard]
	if !ok {
		return time.Time{}, false
	}
	for _, p := range s.predecessors {
		// A predecessor whose epoch is older than that of the assignment can't have granted a lease on the attempt. A
		// merged predecessor has no epoch, so it may have granted one.
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

// lastLeaseEnd returns the latest time at which a lease of the predecessor on the VM can end.
func (p predecessorState) lastLeaseEnd(vm string) time.Time {
	switch {
	case p.HandedOver:
		return p.LastRecordReceivedAt.Add(addClockDrift(max(p.RemainingLease, NormalLeaseDuration)))
	case !p.confirmedAt.IsZero():
		return later(p.confirmedAt.Add(addClockDrift(NormalLeaseDuration)), p.outageLeaseEnds[vm])
	}
	return p.LastRecordReceivedAt.Add(addClockDrift(MaxOutageContactAge + OutageLeaseDuration))
}

// addClockDrift returns for how long, by the clock of this entry, a lease of the given duration can run on the slower
// clock of a lessee.
func addClockDrift(duration time.Duration) time.Duration {
	return duration + duration*maxClockDriftPercent/100
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
