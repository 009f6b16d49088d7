package elector

import (
	"context"
	"slices"
	"time"

	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/sleeper"
	"bamboohook/internal/fleet/storekeeper"
)

const (
	// entriesReadInterval is the time between two reads of the list of entries from the store.
	entriesReadInterval = 3 * time.Second
	// forgottenTimeout is the time without a sign of life after which an entry is removed from the list. An entry that is missing in the list
	// although it runs adds itself again.
	forgottenTimeout = time.Minute
	// maxRelayedEntries is the maximum number of entries about which a ping tells.
	maxRelayedEntries = 8
)

// peer is the known state of another entry.
type peer struct {
	address string
	// precedence orders entries with the same weight.
	precedence uint64
	// weight is the last known weight of the entry, or 0.
	weight float64
	// lastPing is the last state that the entry has sent, in a ping or in the response to one, and lastHeardAt the time of its arrival.
	lastPing    messenger.Ping
	lastHeardAt time.Time
	// answer is the last response to a ping of this entry, and answeredAt the time when that ping was sent.
	answer     messenger.Ping
	answeredAt time.Time
	// relayedAt is when any entry last heard from this one, as far as other entries have told, and relayedAvailable what they have told then.
	relayedAt        time.Time
	relayedAvailable bool
	// addedAt is when this entry first heard of the other one.
	addedAt time.Time
	// refusedConnections is the number of pings in a row whose connection was refused, and refusedAt when the last one was sent.
	refusedConnections int
	refusedAt          time.Time
	// failedAt is when the last ping without a response was sent.
	failedAt time.Time
	// pinging reports whether a ping to the entry is in progress.
	pinging bool
}

// lastSignOfLife returns when any entry last heard from this one, as far as is known, or when this entry heard of it.
func (p *peer) lastSignOfLife() time.Time { return latest(p.lastHeardAt, p.relayedAt, p.addedAt) }

// refuses reports whether the entry's process has ended: it refused connections, and no entry has heard from it since.
func (p *peer) refuses() bool {
	return p.refusedConnections >= maxRefusedConnections && !p.relayedAt.After(p.refusedAt)
}

// isPresumedLive reports whether the entry probably runs.
func (p *peer) isPresumedLive(now time.Time) bool {
	return !p.refuses() && now.Sub(p.lastSignOfLife()) < presumedDeadTimeout
}

// isSilent reports whether the entry had not responded to the last ping to it and has given no sign of life since.
func (p *peer) isSilent() bool { return p.failedAt.After(latest(p.lastHeardAt, p.relayedAt)) }

// isAvailable reports whether the entry could own the jobs, according to the newest state of it that is known.
func (p *peer) isAvailable() bool {
	if p.relayedAt.After(p.lastHeardAt) {
		return p.relayedAvailable
	}
	return !p.lastPing.Draining && p.lastPing.StoreAge <= maxStoreAge
}

// holdsOwnership reports whether the entry holds the ownership of the highest epoch that e knows, according to its last ping. The Owner field
// of the ping is not enough: an entry that was restarted may have learned from others that it is the owner, but has lost the state.
func (p *peer) holdsOwnership(e *Elector) bool {
	return p.lastPing.IsOwner && p.lastPing.Epoch == e.epoch
}

// isLive reports whether this entry has heard from p recently and p does not refuse connections.
func (e *Elector) isLive(p *peer, now time.Time) bool {
	return !p.lastHeardAt.IsZero() && now.Sub(p.lastHeardAt) < e.silenceTimeout(p) && !p.refuses()
}

// silenceTimeout returns how long p may be silent until it counts as failed. p may be nil.
func (e *Elector) silenceTimeout(p *peer) time.Duration { return livenessTimeout + e.congestionTime(p) }

// congestionTime returns the longest time for which congestion may delay messages between this entry and p. p may be nil.
func (e *Elector) congestionTime(p *peer) time.Duration {
	if p == nil {
		return e.CongestionTime
	}
	return max(e.CongestionTime, min(p.lastPing.CongestionTime, maxCongestionTime))
}

// peerHearsOwner reports whether the entry p has heard from the owner recently, according to its last ping.
func (e *Elector) peerHearsOwner(p *peer, now time.Time) bool {
	return p.lastPing.Owner == e.owner && p.lastPing.Epoch == e.epoch && p.lastPing.OwnerAge+now.Sub(p.lastHeardAt) < e.silenceTimeout(p)
}

// getOrAddPeer returns the state of the entry at the address. If the entry is not known yet, it adds the entry. It returns nil for the address
// of this entry. The caller holds the mutex.
func (e *Elector) getOrAddPeer(address string) *peer {
	if address == e.Address || address == "" {
		return nil
	}
	p, ok := e.peers[address]
	if !ok {
		p = &peer{address: address, precedence: precedence(address), addedAt: e.Clock.Now()}
		e.peers[address] = p
		e.addresses = append(e.addresses, address)
		e.Log.Info().Str("entry", address).Int("known", len(e.peers)).Msg("entry discovered")
	}
	return p
}

// removePeer forgets an entry. The caller holds the mutex.
func (e *Elector) removePeer(address string) {
	delete(e.peers, address)
	e.addresses = slices.DeleteFunc(e.addresses, func(a string) bool { return a == address })
	e.Log.Info().Str("entry", address).Int("known", len(e.peers)).Msg("entry forgotten after a long silence")
}

// handlePeerPing updates the state from another entry's ping or response to a ping. The caller holds the mutex.
func (e *Elector) handlePeerPing(p messenger.Ping) {
	if e.peers == nil {
		return
	}
	now := e.Clock.Now()
	if sender := e.getOrAddPeer(p.Address); sender != nil {
		sender.lastPing, sender.lastHeardAt, sender.refusedConnections, sender.weight = p, now, 0, p.Weight
	}
	for _, relayed := range p.Peers[:min(len(p.Peers), maxRelayedEntries)] {
		other := e.getOrAddPeer(relayed.Address)
		if other == nil {
			continue
		}
		if other.weight == 0 {
			other.weight = relayed.Weight
		}
		if at := now.Add(-relayed.Age); relayed.Age >= 0 && at.After(other.relayedAt) {
			other.relayedAt, other.relayedAvailable = at, relayed.Available
			if at.After(other.refusedAt) {
				other.refusedConnections = 0
			}
		}
	}
	e.observeEpoch(p.Epoch, p.Owner)
	if at := now.Add(-p.OwnerKnownAge); p.Epoch == e.epoch && p.Owner == e.owner && p.OwnerKnownAge >= 0 && at.After(e.ownerKnownAt) {
		e.ownerKnownAt = at
	}
}

// composePing returns this entry's state. OwnerAge is 0 if this entry is the owner. It is one hour if this entry has never heard from the
// owner, if the owner refuses connections, or if the owner's last ping says that it doesn't hold the ownership. The caller holds the mutex.
func (e *Elector) composePing() messenger.Ping {
	now := e.Clock.Now()
	p := messenger.Ping{
		Address: e.Address, Epoch: e.epoch, Owner: e.owner, IsOwner: e.isOwner, StoreAge: e.storeAge(now), OwnerAge: time.Hour, OwnerKnownAge: time.Hour,
		Claiming: e.claiming, Draining: e.draining, Yielding: e.shouldYield(now), Weight: e.Weight, CongestionTime: e.CongestionTime, Peers: e.relayedEntries(now),
	}
	if e.ConfigurationState != nil {
		var age time.Duration
		p.Version, age = e.ConfigurationState()
		if at := e.configurationConfirmedAt(p.Version); !at.IsZero() {
			age = min(age, now.Sub(at))
		}
		p.ConfigurationAge = max(age, 1)
	}
	if e.EvacuationVersion != nil {
		p.EvacuationVersion = e.EvacuationVersion()
	}
	o, ok := e.peers[e.owner]
	switch {
	case e.isOwner:
		p.OwnerAge, p.OwnerKnownAge = 0, 0
	case ok && e.ownerRefuses(o), ok && o.lastHeardAt.After(e.epochObservedAt) && !o.holdsOwnership(e):
	default:
		if ok && !o.lastHeardAt.IsZero() && o.holdsOwnership(e) {
			p.OwnerAge = now.Sub(o.lastHeardAt)
		}
		if !e.ownerKnownAt.IsZero() {
			p.OwnerKnownAge = now.Sub(e.ownerKnownAt)
		}
		p.OwnerKnownAge = min(p.OwnerKnownAge, p.OwnerAge)
	}
	return p
}

// relayedEntries returns what this entry tells the others about the council and some random entries that are presumed live. The caller holds
// the mutex.
func (e *Elector) relayedEntries(now time.Time) []messenger.RelayedEntry {
	relayed := make([]messenger.RelayedEntry, 0, maxRelayedEntries)
	add := func(address string) {
		p, ok := e.peers[address]
		if !ok || !p.isPresumedLive(now) || slices.ContainsFunc(relayed, func(r messenger.RelayedEntry) bool { return r.Address == address }) {
			return
		}
		heardAt := latest(p.lastHeardAt, p.relayedAt)
		if heardAt.IsZero() {
			return
		}
		relayed = append(relayed, messenger.RelayedEntry{Address: address, Weight: p.weight, Age: now.Sub(heardAt), Available: p.isAvailable()})
	}
	for _, address := range e.council {
		add(address)
	}
	for range maxRelayedEntries {
		if len(e.addresses) == 0 || len(relayed) >= maxRelayedEntries {
			break
		}
		add(e.addresses[e.random(len(e.addresses))])
	}
	return relayed
}

// entriesLoop adds this entry to the list of entries in the store, and reads the list at regular intervals until ctx is done.
func (e *Elector) entriesLoop(ctx context.Context) {
	for ctx.Err() == nil {
		interval := entriesReadInterval
		if !e.refreshEntries(ctx) {
			interval = storeRetryPause
		}
		sleeper.Sleep(ctx, interval)
	}
}

// refreshEntries reads the store's list of entries and registers this entry, unless the list contains its present state. The owner removes
// entries from the list that have been silent for long. It returns false if the store failed.
func (e *Elector) refreshEntries(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	entries, err := e.Store.Entries(callCtx)
	if err != nil {
		e.Log.Warn().Err(err).Msg("failed to read the list of entries from the store")
		return false
	}
	silent := e.applyEntries(entries)
	if err := e.register(callCtx); err != nil {
		e.Log.Warn().Err(err).Msg("failed to register this entry in the store")
		return false
	}
	for _, address := range silent {
		if err := e.Store.RemoveEntry(callCtx, address); err != nil {
			e.Log.Warn().Err(err).Str("entry", address).Msg("failed to remove a silent entry from the store's list")
			break
		}
		e.Log.Info().Str("entry", address).Msg("removed a silent entry from the store's list")
	}
	return true
}

// Leave removes this entry from the store's list, so that processes that are started later don't use it. Call it when the process ends for good,
// after Run has returned. It returns an error if the store failed; the owner then removes the entry after a minute of silence.
func (e *Elector) Leave(ctx context.Context) error {
	return e.Store.RemoveEntry(ctx, e.Address)
}

// register adds this entry to the list in the store if the list doesn't contain it yet, or not the epoch that it owns. The epoch tells entries that
// are started later which one to claim.
func (e *Elector) register(ctx context.Context) error {
	e.mutex.Lock()
	record := storekeeper.EntryRecord{Address: e.Address, Weight: e.Weight, Epoch: e.epoch}
	present := e.registered && (!e.isOwner || record.Epoch == e.registeredEpoch)
	e.mutex.Unlock()
	if present {
		return nil
	}
	if err := e.Store.RegisterEntry(ctx, record); err != nil {
		return err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.registered, e.registeredEpoch = true, record.Epoch
	return nil
}

// applyEntries adds the entries in the store's list to the known ones. It returns the addresses that should be removed from the list, if this
// entry is the owner.
func (e *Elector) applyEntries(entries []storekeeper.EntryRecord) []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.Clock.Now()
	e.recordStoreContact()
	listed := map[string]struct{}{}
	var silent []string
	for _, r := range entries {
		listed[r.Address] = struct{}{}
		if e.owner == "" && r.Epoch > e.epoch && r.Epoch <= messenger.MaxEpoch {
			// The record doesn't tell the owner of the epoch, so this must not replace a known owner.
			e.epoch = r.Epoch
		}
		p := e.getOrAddPeer(r.Address)
		if p == nil {
			continue
		}
		if p.weight == 0 {
			p.weight = r.Weight
		}
		if e.isOwner && now.Sub(p.lastSignOfLife()) > forgottenTimeout {
			silent = append(silent, r.Address)
		}
	}
	if _, ok := listed[e.Address]; !ok {
		e.registered = false
	}
	for _, address := range slices.Clone(e.addresses) {
		if _, ok := listed[address]; !ok && now.Sub(e.peers[address].lastSignOfLife()) > forgottenTimeout && !slices.Contains(e.Seeds, address) {
			e.removePeer(address)
		}
	}
	return silent
}

// latest returns the latest of the times.
func latest(times ...time.Time) time.Time {
	var last time.Time
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last
}
