// Package lessor grants leases on task attempts and tells when an attempt is surely over.
//
// All times are readings of one clock that includes suspended time. A lessee's clock may run slower than it by
// up to 1%.
package lessor

import (
	"time"

	"bamboohook/task"
)

const (
	// ShortLease is the length of a lease granted with log contact.
	NormalLeaseDuration = 10 * time.Second
	// HoldLease is the length of a lease granted without log contact.
	OutageLeaseDuration = 60 * time.Second
	// ContactLimit is the age of the last log contact up to which short leases are granted. It is below the 8 s
	// after which a successor may claim a shard, so whoever grants a short lease was not yet superseded.
	MaxNormalContactAge = 5 * time.Second
	// HoldLimit is the age of the last log contact up to which hold leases are granted.
	MaxOutageContactAge = 30 * time.Minute
	// driftPercent bounds how much slower a lessee's clock may run.
	maxClockDriftPercent = 1
)

// Refusals of Grant; Granted is the only success.
const (
	Granted           Decision = "granted"
	NotOwner          Decision = "not-owner"
	GrantingStopped   Decision = "stopped"
	NoLogContact      Decision = "no-log-contact"
	UnknownGeneration Decision = "generation-unknown-to-log-contact"
	BoundToOtherVM    Decision = "bound-to-another-vm"
)

type (
	// Verdict is the outcome of Grant.
	Decision string

	// Lease is a granted right to run. The lessee counts Length from the moment it sent its request.
	Lease struct {
		Duration time.Duration
		// Hold marks a lease granted without log contact.
		Outage bool
	}

	// Predecessor is an earlier owner of a shard.
	Predecessor struct {
		Entry string
		// Epoch is that of its claim; 0 stands for several merged predecessors.
		Epoch uint64
		// Last is a reading of the own clock at or after its last record.
		LastRecordAt time.Time
		// HandedOver tells that it stopped granting itself; its leases end within Remaining of Last.
		HandedOver     bool
		RemainingLease time.Duration
	}

	// Lessor grants leases for the shards of one entry. It is not safe for concurrent use.
	Lessor struct {
		lastLogContact time.Time
		generations    map[string]generation
		shards         map[int]*shard
	}

	generation struct {
		name      string
		firstSeen time.Time
	}

	shard struct {
		epoch        uint64
		stopped      bool
		predecessors []predecessor
		grants       map[string]grant
		fenceEnds    map[string]time.Time
	}

	predecessor struct {
		Predecessor
		// confirmed is when it was known to have stopped; held lists when the hold leases of VMs end.
		confirmedAt     time.Time
		outageLeaseEnds map[string]time.Time
	}

	grant struct {
		vm            string
		expires       time.Time
		outageExpires time.Time
	}
)

// Contact records that a presence record sent at the time was read back from the stream. Only presence records
// count, because successors measure the long rule from those. An answer to the append is not
// enough: an owner that can append but not read would not learn that it was superseded.
func (l *Lessor) RecordLogContact(sent time.Time) {
	if sent.After(l.lastLogContact) {
		l.lastLogContact = sent
	}
}

// InContact reports whether the log was reached recently enough for short leases.
func (l *Lessor) HasLogContact(now time.Time) bool {
	return !l.lastLogContact.IsZero() && now.Sub(l.lastLogContact) <= MaxNormalContactAge
}

// Seen records that the VM's agent runs in the generation. Without log contact no lease is granted to a generation
// that began later: a successor may have fenced the earlier one, which the new one does not remember.
func (l *Lessor) RecordGeneration(vm, name string, now time.Time) {
	if l.generations == nil {
		l.generations = map[string]generation{}
	}
	if l.generations[vm].name != name {
		l.generations[vm] = generation{name, now}
	}
}

// Begin starts granting for a shard after its claim. A repeat for the same epoch has no effect. If
// the lessor itself is one of the predecessors, it knows its earlier leases.
func (l *Lessor) StartGranting(shardNumber int, epoch uint64, predecessors []Predecessor, now time.Time) {
	if l.shards == nil {
		l.shards = map[int]*shard{}
	}
	before, ok := l.shards[shardNumber]
	if ok && before.epoch == epoch {
		return
	}
	held := l.OutageLeases(shardNumber, now)
	s := &shard{epoch: epoch, grants: map[string]grant{}, fenceEnds: map[string]time.Time{}}
	for _, p := range predecessors {
		s.predecessors = append(s.predecessors, predecessor{Predecessor: p})
	}
	l.shards[shardNumber] = s
	if ok {
		l.RecordConfirmation(shardNumber, before.epoch, held, now)
	}
}

// Granting reports whether leases are granted for the shard, and under which epoch.
func (l *Lessor) GrantingEpoch(shardNumber int) (epoch uint64, ok bool) {
	s, ok := l.shards[shardNumber]
	if !ok {
		return 0, false
	}
	return s.epoch, !s.stopped
}

// Stop ends all granting for a shard, for good under its epoch.
func (l *Lessor) StopGranting(shardNumber int) {
	if s, ok := l.shards[shardNumber]; ok {
		s.stopped = true
	}
}

// Grant gives or extends a lease on the attempt at the VM, whose agent runs in the generation.
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
		return Lease{}, BoundToOtherVM
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
	g.vm, g.expires = vm, later(g.expires, now.Add(withDrift(lease.Duration)))
	if lease.Outage {
		g.outageExpires = g.expires
	}
	s.grants[id.ID()] = g
	return lease, Granted
}

// Release forgets the own lease on an attempt that surely does not run, or that never started at
// the VM because its agent refused it.
func (l *Lessor) Release(id task.Identity) {
	if s, ok := l.shards[id.Shard]; ok {
		delete(s.grants, id.ID())
		delete(s.fenceEnds, id.ID())
	}
}

// Fenced records that the agent of the attempt's VM was seen to have accepted the own epoch, so that a predecessor's
// leases on the attempt end within one hold lease.
func (l *Lessor) RecordFence(id task.Identity, now time.Time) {
	s, ok := l.shards[id.Shard]
	if !ok {
		return
	}
	if _, known := s.fenceEnds[id.ID()]; !known && len(s.predecessors) > 0 {
		s.fenceEnds[id.ID()] = now.Add(withDrift(OutageLeaseDuration))
	}
}

// Confirm records that the predecessor of the epoch had stopped granting by now, and how much longer the hold leases
// of the listed VMs last.
func (l *Lessor) RecordConfirmation(shardNumber int, epoch uint64, held map[string]time.Duration, now time.Time) {
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
		for vm, remaining := range held {
			p.outageLeaseEnds[vm] = now.Add(withDrift(remaining))
		}
	}
}

// Unconfirmed returns the predecessors of a shard whose leases follow the long rule and may still run.
func (l *Lessor) UnconfirmedPredecessors(shardNumber int, now time.Time) []Predecessor {
	s, ok := l.shards[shardNumber]
	if !ok {
		return nil
	}
	var unconfirmed []Predecessor
	for _, p := range s.predecessors {
		if !p.HandedOver && p.confirmedAt.IsZero() && p.Epoch != 0 && p.leasesEnd("").After(now) {
			unconfirmed = append(unconfirmed, p.Predecessor)
		}
	}
	return unconfirmed
}

// Held returns how much longer the hold leases of a shard last, by VM; only those that have not ended.
func (l *Lessor) OutageLeases(shardNumber int, now time.Time) map[string]time.Duration {
	held := map[string]time.Duration{}
	if s, ok := l.shards[shardNumber]; ok {
		for _, g := range s.grants {
			if g.outageExpires.After(now) {
				held[g.vm] = max(held[g.vm], g.outageExpires.Sub(now))
			}
		}
	}
	return held
}

// Remaining returns how long the longest lease of a shard lasts, and at least one short lease.
func (l *Lessor) LongestLease(shardNumber int, now time.Time) time.Duration {
	longest := withDrift(NormalLeaseDuration)
	if s, ok := l.shards[shardNumber]; ok {
		for _, g := range s.grants {
			longest = max(longest, g.expires.Sub(now))
		}
	}
	return longest
}

// SafeAfter returns the time from which the attempt surely does not run at the VM, given that the VM
// is not heard from. The epoch of id is that of the attempt's assignment. A zero time means that it never
// could run there. For a shard that is not owned there is no such time, and ok is false.
func (l *Lessor) SafeAfter(vm string, id task.Identity) (at time.Time, ok bool) {
	s, ok := l.shards[id.Shard]
	if !ok {
		return time.Time{}, false
	}
	for _, p := range s.predecessors {
		// A predecessor with an older claim never knew the attempt.
		if p.Epoch == 0 || p.Epoch >= id.Epoch {
			at = later(at, p.leasesEnd(vm))
		}
	}
	if fenced, known := s.fenceEnds[id.ID()]; known && fenced.Before(at) {
		at = fenced
	}
	if g := s.grants[id.ID()]; g.vm == vm {
		at = later(at, g.expires)
	}
	return at, true
}

func (p predecessor) leasesEnd(vm string) time.Time {
	switch {
	case p.HandedOver:
		return p.LastRecordAt.Add(withDrift(max(p.RemainingLease, NormalLeaseDuration)))
	case !p.confirmedAt.IsZero():
		return later(p.confirmedAt.Add(withDrift(NormalLeaseDuration)), p.outageLeaseEnds[vm])
	}
	return p.LastRecordAt.Add(withDrift(MaxOutageContactAge + OutageLeaseDuration))
}

func withDrift(duration time.Duration) time.Duration {
	return duration + duration*maxClockDriftPercent/100
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
