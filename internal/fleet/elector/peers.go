package elector

import (
	"context"
	"time"

	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/sleeper"
)

// getOrAddPeer returns the state of the entry at the address. If the entry is not known yet, it adds the entry and starts to ping it. It returns
// nil for the address of this entry. The caller holds the mutex.
func (e *Elector) getOrAddPeer(address string) *peer {
	if address == e.Address || address == "" {
		return nil
	}
	p, ok := e.peers[address]
	if !ok {
		p = &peer{addedAt: e.Clock.Now()}
		e.peers[address] = p
		e.Log.Info().Str("entry", address).Int("known", len(e.peers)).Msg("entry discovered")
		e.startPinging(address)
	}
	return p
}

// handlePeerPing updates the state from another entry's ping or response to a ping. The caller holds the mutex.
func (e *Elector) handlePeerPing(p messenger.Ping) {
	if e.peers == nil {
		return
	}
	if sender := e.getOrAddPeer(p.Address); sender != nil {
		sender.lastPing, sender.lastHeardAt, sender.refusedConnections = p, e.Clock.Now(), 0
	}
	for _, address := range p.Entries {
		e.getOrAddPeer(address)
	}
	e.observeEpoch(p.Epoch, p.Owner)
}

// composePing returns this entry's state. OwnerAge is 0 if this entry is the owner. It is one hour if this entry has never heard from the
// owner, if the owner refuses connections, or if the owner's last ping says that it doesn't hold the ownership. The caller holds the mutex.
func (e *Elector) composePing() messenger.Ping {
	now := e.Clock.Now()
	p := messenger.Ping{
		Address: e.Address, Epoch: e.epoch, Owner: e.owner, IsOwner: e.isOwner, StoreAge: e.storeAge(now), OwnerAge: time.Hour, Draining: e.draining,
		Weight: e.Weight, Entries: e.entries(),
	}
	if e.ConfigurationVersion != nil {
		p.Version = e.ConfigurationVersion()
	}
	if o, ok := e.peers[e.owner]; ok && !o.lastHeardAt.IsZero() && o.holdsOwnership(e) && o.refusedConnections < maxRefusedConnections {
		p.OwnerAge = now.Sub(o.lastHeardAt)
	}
	if e.isOwner {
		p.OwnerAge = 0
	}
	return p
}

// isLive reports whether the entry was heard from recently and does not refuse connections.
func (p *peer) isLive(now time.Time) bool {
	return !p.lastHeardAt.IsZero() && now.Sub(p.lastHeardAt) < livenessTimeout && p.refusedConnections < maxRefusedConnections
}

// holdsOwnership reports whether the entry holds the ownership of the highest epoch that e knows, according to its last ping. The Owner field
// of the ping is not enough: an entry that was restarted may have learned from others that it is the owner, but has lost the state.
func (p *peer) holdsOwnership(e *Elector) bool {
	return p.lastPing.IsOwner && p.lastPing.Epoch == e.epoch
}

// peerHearsOwner reports whether the entry p has heard from the owner recently, according to its last ping.
func (e *Elector) peerHearsOwner(p *peer, now time.Time) bool {
	return p.lastPing.Owner == e.owner && p.lastPing.Epoch == e.epoch && p.lastPing.OwnerAge+now.Sub(p.lastHeardAt) < livenessTimeout
}

// pingLoop pings the entry at the address until ctx is done. It does so less often if the entry has not been heard from for a long time.
func (e *Elector) pingLoop(ctx context.Context, address string) {
	for ctx.Err() == nil {
		e.mutex.Lock()
		p, ping := e.peers[address], e.composePing()
		now := e.Clock.Now()
		interval := pingInterval
		lastContactAt := p.lastHeardAt
		if lastContactAt.IsZero() {
			lastContactAt = p.addedAt
		}
		if now.Sub(lastContactAt) > unreachableTimeout {
			interval = unreachablePingInterval
		}
		e.mutex.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
		response, refused, err := e.PeerClient.Ping(callCtx, address, ping)
		cancel()
		e.mutex.Lock()
		switch {
		case err == nil:
			e.handlePeerPing(response)
		case refused:
			p.refusedConnections++
		}
		e.mutex.Unlock()
		sleeper.Sleep(ctx, interval)
	}
}

// entriesLoop adds this entry to the list of entries in the store once, and reads the list at regular intervals until ctx is done.
func (e *Elector) entriesLoop(ctx context.Context) {
	for ctx.Err() == nil {
		interval := entriesReadInterval
		if !e.refreshEntries(ctx) {
			interval = storeRetryPause
		}
		sleeper.Sleep(ctx, interval)
	}
}

// refreshEntries registers this entry in the store, unless it has done so before, and adds the entries in the store's list to the known
// ones. It returns false if the store failed.
func (e *Elector) refreshEntries(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	if !e.registered {
		if err := e.Store.RegisterEntry(callCtx, e.Address); err != nil {
			e.Log.Warn().Err(err).Msg("failed to register this entry in the store")
			return false
		}
		e.registered = true
	}
	entries, err := e.Store.Entries(callCtx)
	if err != nil {
		e.Log.Warn().Err(err).Msg("failed to read the list of entries from the store")
		return false
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.lastStoreContactAt = e.Clock.Now()
	for _, address := range entries {
		e.getOrAddPeer(address)
	}
	return true
}
