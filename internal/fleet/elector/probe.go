package elector

import (
	"context"
	"slices"
	"time"

	"bamboohook/internal/fleet/sleeper"
)

const (
	// pingInterval is the time between two pings to each member of the council.
	pingInterval = 150 * time.Millisecond
	// pingTimeout bounds one ping, apart from the time that congestion may take.
	pingTimeout = 400 * time.Millisecond
	// refusedRetryPause is the time until a ping whose connection failed is repeated.
	refusedRetryPause = 30 * time.Millisecond
	// maxPingAttempts is the maximum number of pings to an entry in one round.
	maxPingAttempts = 3
	// gossipPeriod is the number of ping intervals between two rounds of pings to gossipFanout random entries.
	gossipPeriod = 2
	gossipFanout = 2
	// rumorFanout is the number of random entries that are pinged at once after a new epoch was observed.
	rumorFanout = 4
	// silentPeriod is the number of ping intervals between two pings to a random silent entry.
	silentPeriod = 7
	// outageAge is the time without contact to the store after which the owner asks all entries whether they have contact, again after
	// outagePingInterval. maxOutagePings bounds the pings in one ping interval.
	outageAge          = 700 * time.Millisecond
	outagePingInterval = 450 * time.Millisecond
	maxOutagePings     = 40
)

// probeLoop pings other entries until ctx is done.
func (e *Elector) probeLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for round := 0; ; {
		var targets []string
		select {
		case <-ctx.Done():
			return
		case <-e.probeRequests:
			targets = e.rumorTargets()
		case <-timer.C:
			targets = e.probeTargets(round)
			round++
			timer.Reset(pingInterval)
		}
		for _, address := range targets {
			e.spawn(func() { e.ping(ctx, address) })
		}
	}
}

// requestProbes makes probeLoop tell some entries of a new epoch at once. The caller holds the mutex.
func (e *Elector) requestProbes() {
	select {
	case e.probeRequests <- struct{}{}:
	default:
	}
}

// rumorTargets returns the entries that are told of a new epoch.
func (e *Elector) rumorTargets() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.Clock.Now()
	e.updateCouncil(now)
	return e.addRandom(e.watched(now), rumorFanout, func(p *peer) bool { return !p.isSilent() })
}

// probeTargets returns the entries to ping in a round: the council if this entry belongs to it, a few random entries in some of the rounds, and
// those whose contact with the store decides whether this entry may go on as the owner.
func (e *Elector) probeTargets(round int) []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.Clock.Now()
	if e.inCouncil || round%gossipPeriod == 0 {
		e.updateCouncil(now)
	}
	targets := e.watched(now)
	if round%gossipPeriod == 0 {
		targets = e.addRandom(targets, gossipFanout, func(p *peer) bool { return !p.isSilent() })
	}
	if round%silentPeriod == 0 {
		targets = e.addRandom(targets, 1, (*peer).isSilent)
	}
	if e.isOwner && e.storeAge(now) > outageAge {
		asked := 0
		for address, p := range e.peers {
			if asked < maxOutagePings && now.Sub(p.answeredAt) > outagePingInterval && !slices.Contains(targets, address) {
				targets = append(targets, address)
				asked++
			}
		}
	}
	return targets
}

// watched returns the entries that this one pings in each round: the council if it belongs to it, and seeds from which it has not heard yet
// shortly after its start. While calls to the owner fail, it looks for an entry that reaches the owner. The caller holds the mutex.
func (e *Elector) watched(now time.Time) []string {
	var targets []string
	if e.inCouncil || !e.ownerCallFailedAt.IsZero() && now.Sub(e.ownerCallFailedAt) < relayDuration {
		targets = append(targets, e.council...)
	}
	for _, address := range e.Seeds {
		if p, ok := e.peers[address]; ok && p.lastHeardAt.IsZero() && now.Sub(e.startedAt) < presumedDeadTimeout && !slices.Contains(targets, address) {
			targets = append(targets, address)
		}
	}
	return targets
}

// addRandom adds up to count random entries that match to the targets. It gives up after a few attempts, so that its cost doesn't depend on the
// number of entries. The caller holds the mutex.
func (e *Elector) addRandom(targets []string, count int, match func(p *peer) bool) []string {
	const attemptsPerTarget = 6
	for attempt := 0; attempt < attemptsPerTarget*count && count > 0 && len(e.addresses) > 0; attempt++ {
		address := e.addresses[e.random(len(e.addresses))]
		if match(e.peers[address]) && !slices.Contains(targets, address) {
			targets = append(targets, address)
			count--
		}
	}
	return targets
}

// ping pings the entry at the address, unless a ping to it is in progress. It repeats the ping soon if the connection failed, because that is
// what the end of the entry's process looks like.
func (e *Elector) ping(ctx context.Context, address string) {
	for attempt := 1; ; attempt++ {
		e.mutex.Lock()
		p, ok := e.peers[address]
		if !ok || p.pinging {
			e.mutex.Unlock()
			return
		}
		p.pinging = true
		ping, sentAt, timeout := e.composePing(), e.Clock.Now(), pingTimeout+e.congestionTime(p)
		e.mutex.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		response, refused, err := e.PeerClient.Ping(callCtx, address, ping)
		timedOut := callCtx.Err() != nil
		cancel()
		e.mutex.Lock()
		p.pinging = false
		switch {
		case err == nil:
			if sentAt.After(p.answeredAt) {
				p.answer, p.answeredAt = response, sentAt
			}
			e.handlePeerPing(response)
		case refused:
			p.refusedConnections++
			p.refusedAt, p.failedAt = sentAt, sentAt
		default:
			p.failedAt = sentAt
		}
		again := err != nil && !timedOut && p.refusedConnections < maxRefusedConnections && attempt < maxPingAttempts
		e.mutex.Unlock()
		if !again || !sleeper.Sleep(ctx, refusedRetryPause) {
			return
		}
	}
}
