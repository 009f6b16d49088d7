package subscriber

import (
	"context"
	"sync"
	"time"

	"bamboohook/internal/fleet/sleeper"
)

const (
	// peerCheckInterval is the time between two checks whether another entry has a newer configuration.
	peerCheckInterval = 100 * time.Millisecond
	// checkDelay is how long another entry must have had a newer configuration until the store is asked. Usually the configuration is already
	// under way from there.
	checkDelay = 150 * time.Millisecond
	// fetchDelay is how long another entry must have had a newer configuration until it is fetched from there, apart from half a congestion time
	// and not while a response of the store arrives.
	fetchDelay = 450 * time.Millisecond
	// fetchTimeout bounds a call to another entry, not counting the time for the transfer of a configuration. The next entry is asked after
	// that and a congestion time.
	fetchTimeout = 600 * time.Millisecond
	// maxFetches is the maximum number of calls in progress.
	maxFetches = 2
)

// peerFollower fetches the configuration from other entries.
type peerFollower struct {
	subscriber *Subscriber
	// attempts is the number of calls since this entry was last not behind. lastFetchAt is when the last one was sent.
	attempts    int
	lastFetchAt time.Time
	mutex       sync.Mutex
	fetches     int
}

// run asks the store for a newer configuration when another entry has one, and fetches it from there when the store does not answer in time, until
// ctx is done.
func (p *peerFollower) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for s := p.subscriber; ctx.Err() == nil; sleeper.Sleep(ctx, peerCheckInterval) {
		entries := s.PeersWithNewerVersion(s.Version())
		if len(entries) == 0 && s.PeersWithNewerEvacuations != nil {
			set, _ := s.Evacuations()
			entries = s.PeersWithNewerEvacuations(set.VersionOrZero())
		}
		behind := s.recordLag(len(entries) > 0)
		if len(entries) == 0 {
			p.attempts = 0
			continue
		}
		if behind >= checkDelay {
			s.Check()
		}
		if behind >= fetchDelay+s.CongestionTime/2 && !s.isTransferring() && p.mayFetch() {
			entry := entries[p.attempts%len(entries)]
			p.attempts++
			group.Go(func() { p.fetch(ctx, entry) })
		}
	}
}

// mayFetch reports whether another call may be sent, and counts it.
func (p *peerFollower) mayFetch() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.subscriber.Clock.Now()
	if p.fetches == maxFetches || p.fetches > 0 && now.Sub(p.lastFetchAt) < fetchTimeout+p.subscriber.CongestionTime {
		return false
	}
	p.fetches++
	p.lastFetchAt = now
	return true
}

// fetch fetches the configuration from another entry.
func (p *peerFollower) fetch(ctx context.Context, entry string) {
	s := p.subscriber
	startedAt := s.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout+transfersPerRead*s.CongestionTime)
	configuration, err := s.PeerClient.FetchConfiguration(callCtx, entry)
	cancel()
	duration := s.Clock.Now().Sub(startedAt)
	p.mutex.Lock()
	p.fetches--
	p.mutex.Unlock()
	if err != nil {
		s.Log.Warn().Err(err).Str("entry", entry).Int64("version", s.Version()).Dur("duration", duration).Msg("failed to fetch the configuration from another entry")
		return
	}
	s.setIfNewer(configuration.Configuration, sourcePeer, entry, duration)
	confirmedAt := time.Time{}
	if configuration.EvacuationAge > 0 {
		confirmedAt = startedAt.Add(-configuration.EvacuationAge)
	}
	s.setEvacuations(configuration.Evacuations, confirmedAt, sourcePeer, entry)
}
