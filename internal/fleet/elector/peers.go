package elector

import (
	"context"
	"time"

	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/sleeper"
)

// meet adds an entry. It requires the mutex.
func (e *Elector) meet(address string) *peer {
	if address == e.Address || address == "" {
		return nil
	}
	p, ok := e.peers[address]
	if !ok {
		p = &peer{added: e.Clock.Now()}
		e.peers[address] = p
		e.Log.Info().Str("entry", address).Int("known", len(e.peers)).Msg("entry known")
		e.spawn(address)
	}
	return p
}

// learn takes over what another entry says.
func (e *Elector) learn(p messenger.Ping) {
	if e.peers == nil {
		return
	}
	if known := e.meet(p.Address); known != nil {
		known.ping, known.heard, known.refused = p, e.Clock.Now(), 0
	}
	for _, address := range p.Entries {
		e.meet(address)
	}
	e.observe(p.Epoch, p.Owner)
}

func (e *Elector) compose() messenger.Ping {
	now := e.Clock.Now()
	p := messenger.Ping{
		Address: e.Address, Epoch: e.epoch, Owner: e.owner, IsOwner: e.owning, StoreAge: e.storeAge(now), OwnerAge: time.Hour, Draining: e.draining,
		Weight: e.Weight, Entries: e.entries(),
	}
	if e.ConfigurationVersion != nil {
		p.Version = e.ConfigurationVersion()
	}
	if o, ok := e.peers[e.owner]; ok && !o.heard.IsZero() && o.acts(e) && o.refused < refusals {
		p.OwnerAge = now.Sub(o.heard)
	}
	if e.owning {
		p.OwnerAge = 0
	}
	return p
}

// live reports whether the entry answered a short while ago.
func (p *peer) live(now time.Time) bool {
	return !p.heard.IsZero() && now.Sub(p.heard) < liveFor && p.refused < refusals
}

// acts reports whether the entry says of itself that it is the owner of the known epoch. An entry that was restarted may have heard
// that it is without knowing anything of it.
func (p *peer) acts(e *Elector) bool {
	return p.ping.IsOwner && p.ping.Epoch == e.epoch
}

// hears reports whether another live entry heard the owner a short while ago.
func (e *Elector) hears(p *peer, now time.Time) bool {
	return p.ping.Owner == e.owner && p.ping.Epoch == e.epoch && p.ping.OwnerAge+now.Sub(p.heard) < liveFor
}

func (e *Elector) pingLoop(ctx context.Context, address string) {
	for ctx.Err() == nil {
		e.mutex.Lock()
		p, own := e.peers[address], e.compose()
		now := e.Clock.Now()
		interval := pingInterval
		since := p.heard
		if since.IsZero() {
			since = p.added
		}
		if now.Sub(since) > absentAfter {
			interval = absentInterval
		}
		e.mutex.Unlock()
		call, cancel := context.WithTimeout(ctx, pingTimeout)
		answer, refused, err := e.Peers.Ping(call, address, own)
		cancel()
		e.mutex.Lock()
		switch {
		case err == nil:
			e.learn(answer)
		case refused:
			p.refused++
		}
		e.mutex.Unlock()
		sleeper.Sleep(ctx, interval)
	}
}

// enrolLoop enters this entry into the list in the store and reads the others.
func (e *Elector) enrolLoop(ctx context.Context) {
	for ctx.Err() == nil {
		interval := enrolInterval
		if !e.enrol(ctx) {
			interval = retryPause
		}
		sleeper.Sleep(ctx, interval)
	}
}

func (e *Elector) enrol(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if !e.enrolled {
		if err := e.Store.RegisterEntry(call, e.Address); err != nil {
			e.Log.Warn().Err(err).Msg("cannot enrol in the store")
			return false
		}
		e.enrolled = true
	}
	entries, err := e.Store.Entries(call)
	if err != nil {
		e.Log.Warn().Err(err).Msg("cannot read the list of entries")
		return false
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.storeAt = e.Clock.Now()
	for _, address := range entries {
		e.meet(address)
	}
	return true
}
