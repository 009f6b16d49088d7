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
	driftPercent = 1
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
		contact     time.Time
		generations map[string]generation
		shards      map[int]*shard
	}

	generation struct {
		name  string
		first time.Time
	}

	shard struct {
		epoch        uint64
		stopped      bool
		predecessors []predecessor
		grants       map[string]grant
		fenced       map[string]time.Time
	}

	predecessor struct {
		Predecessor
		// confirmed is when it was known to have stopped; held lists when the hold leases of VMs end.
		confirmed time.Time
		held      map[string]time.Time
	}

	grant struct {
		vm    string
		until time.Time
		hold  time.Time
	}
)

// Contact records that a presence record sent at the time was read back from the stream. Only presence records
// count, because successors measure the long rule from those. An answer to the append is not
// enough: an owner that can append but not read would not learn that it was superseded.
func (l *Lessor) RecordLogContact(sent time.Time) {
	if sent.After(l.contact) {
		l.contact = sent
	}
}

// InContact reports whether the log was reached recently enough for short leases.
func (l *Lessor) HasLogContact(now time.Time) bool {
	return !l.contact.IsZero() && now.Sub(l.contact) <= MaxNormalContactAge
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
func (l *Lessor) StartGranting(number int, epoch uint64, earlier []Predecessor, now time.Time) {
	if l.shards == nil {
		l.shards = map[int]*shard{}
	}
	before, ok := l.shards[number]
	if ok && before.epoch == epoch {
		return
	}
	held := l.OutageLeases(number, now)
	s := &shard{epoch: epoch, grants: map[string]grant{}, fenced: map[string]time.Time{}}
	for _, p := range earlier {
		s.predecessors = append(s.predecessors, predecessor{Predecessor: p})
	}
	l.shards[number] = s
	if ok {
		l.RecordConfirmation(number, before.epoch, held, now)
	}
}

// Granting reports whether leases are granted for the shard, and under which epoch.
func (l *Lessor) GrantingEpoch(number int) (epoch uint64, ok bool) {
	s, ok := l.shards[number]
	if !ok {
		return 0, false
	}
	return s.epoch, !s.stopped
}

// Stop ends all granting for a shard, for good under its epoch.
func (l *Lessor) StopGranting(number int) {
	if s, ok := l.shards[number]; ok {
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
		if l.contact.IsZero() || now.Sub(l.contact) > MaxOutageContactAge {
			return Lease{}, NoLogContact
		}
		if first := l.generations[vm].first; first.IsZero() || first.Sub(l.contact) > MaxNormalContactAge {
			return Lease{}, UnknownGeneration
		}
		lease = Lease{Duration: OutageLeaseDuration, Outage: true}
	}
	g.vm, g.until = vm, later(g.until, now.Add(withDrift(lease.Duration)))
	if lease.Outage {
		g.hold = g.until
	}
	s.grants[id.ID()] = g
	return lease, Granted
}

// Release forgets the own lease on an attempt that surely does not run, or that never started at
// the VM because its agent refused it.
func (l *Lessor) Release(id task.Identity) {
	if s, ok := l.shards[id.Shard]; ok {
		delete(s.grants, id.ID())
		delete(s.fenced, id.ID())
	}
}

// Fenced records that the agent of the attempt's VM was seen to have accepted the own epoch, so that a predecessor's
// leases on the attempt end within one hold lease.
func (l *Lessor) RecordFence(id task.Identity, now time.Time) {
	s, ok := l.shards[id.Shard]
	if !ok {
		return
	}
	if _, known := s.fenced[id.ID()]; !known && len(s.predecessors) > 0 {
		s.fenced[id.ID()] = now.Add(withDrift(OutageLeaseDuration))
	}
}

// Confirm records that the predecessor of the epoch had stopped granting by now, and how much longer the hold leases
// of the listed VMs last.
func (l *Lessor) RecordConfirmation(number int, epoch uint64, held map[string]time.Duration, now time.Time) {
	s, ok := l.shards[number]
	if !ok || epoch == 0 {
		return
	}
	for i := range s.predecessors {
		p := &s.predecessors[i]
		if p.Epoch != epoch || !p.confirmed.IsZero() {
			continue
		}
		p.confirmed, p.held = now, map[string]time.Time{}
		for vm, remaining := range held {
			p.held[vm] = now.Add(withDrift(remaining))
		}
	}
}

// Unconfirmed returns the predecessors of a shard whose leases follow the long rule and may still run.
func (l *Lessor) UnconfirmedPredecessors(number int, now time.Time) []Predecessor {
	s, ok := l.shards[number]
	if !ok {
		return nil
	}
	var open []Predecessor
	for _, p := range s.predecessors {
		if !p.HandedOver && p.confirmed.IsZero() && p.Epoch != 0 && p.bound("").After(now) {
			open = append(open, p.Predecessor)
		}
	}
	return open
}

// Held returns how much longer the hold leases of a shard last, by VM; only those that have not ended.
func (l *Lessor) OutageLeases(number int, now time.Time) map[string]time.Duration {
	held := map[string]time.Duration{}
	if s, ok := l.shards[number]; ok {
		for _, g := range s.grants {
			if g.hold.After(now) {
				held[g.vm] = max(held[g.vm], g.hold.Sub(now))
			}
		}
	}
	return held
}

// Remaining returns how long the longest lease of a shard lasts, and at least one short lease.
func (l *Lessor) LongestLease(number int, now time.Time) time.Duration {
	longest := withDrift(NormalLeaseDuration)
	if s, ok := l.shards[number]; ok {
		for _, g := range s.grants {
			longest = max(longest, g.until.Sub(now))
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
			at = later(at, p.bound(vm))
		}
	}
	if fenced, known := s.fenced[id.ID()]; known && fenced.Before(at) {
		at = fenced
	}
	if g := s.grants[id.ID()]; g.vm == vm {
		at = later(at, g.until)
	}
	return at, true
}

func (p predecessor) bound(vm string) time.Time {
	switch {
	case p.HandedOver:
		return p.LastRecordAt.Add(withDrift(max(p.RemainingLease, NormalLeaseDuration)))
	case !p.confirmed.IsZero():
		return later(p.confirmed.Add(withDrift(NormalLeaseDuration)), p.held[vm])
	}
	return p.LastRecordAt.Add(withDrift(MaxOutageContactAge + OutageLeaseDuration))
}

func withDrift(length time.Duration) time.Duration {
	return length + length*driftPercent/100
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
