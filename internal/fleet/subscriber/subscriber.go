// Package subscriber keeps an entry's copy of the configuration and of the set of evacuated data centres up to date. It reads both from the store and, if
// that fails, from other entries. A read that gets no response, a slow link or a quick succession of versions delays a change only by a bounded time.
package subscriber

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"bamboohook/internal/fleet/evacuation"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/meter"
	"bamboohook/internal/fleet/routetable"
	"bamboohook/internal/fleet/storekeeper"
)

// The sources of a configuration, for logs and metrics.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

const (
	// refreshTimeout is how long Refresh waits. After it has waited in vain, it does not wait again for refreshPause.
	refreshTimeout = 700 * time.Millisecond
	refreshPause   = time.Second
	// neverConfirmed is the age of a configuration of which it was never known whether it is the newest one.
	neverConfirmed = time.Hour
)

type (
	// Source is the store in which operators publish configurations.
	Source interface {
		// LoadConfiguration returns the newest configuration and the requested evacuations of all data centres, and the offset for the first call of
		// FollowConfiguration. It calls progress whenever a part of the response has arrived. If there are only invalid configurations, it returns an
		// error together with the evacuations.
		LoadConfiguration(ctx context.Context, progress func()) (storekeeper.Publication, int64, error)
		// FollowConfiguration returns the newest of the configurations and the evacuations that were published at or after the offset, or an empty
		// publication if nothing is published within the wait, and the offset for the next call. more reports whether there already are records at
		// that offset. It returns storekeeper.ErrDeleted if records at the offset were deleted. It calls progress whenever a part of the response has
		// arrived.
		FollowConfiguration(ctx context.Context, offset int64, wait time.Duration, progress func()) (publication storekeeper.Publication, next int64, more bool, err error)
		// CloseIdleConnections makes the next call use a new connection, because the open ones may be dead.
		CloseIdleConnections()
	}

	// PeerClient is a client of the other entries.
	PeerClient interface {
		// FetchConfiguration returns the configuration that the entry at the address entry uses, and the evacuated data centres that it knows.
		FetchConfiguration(ctx context.Context, entry string) (messenger.Configuration, error)
	}

	// Clock is a clock that keeps running while the machine is suspended.
	Clock interface {
		Now() time.Time
	}

	// Subscriber holds the configuration and the evacuated data centres of one entry. Their versions never decrease. Set the exported fields before calling Run.
	// Subscriber is safe for concurrent use.
	Subscriber struct {
		Source     Source
		PeerClient PeerClient
		Clock      Clock
		Log        zerolog.Logger
		// Meter gets the time for which this entry was behind another one before each change, and the number of changes by source. It may be nil.
		Meter *meter.Meter
		// CongestionTime is the longest time for which congestion may delay messages on the link of this entry.
		CongestionTime time.Duration
		// MaxAge is how long ago the configuration may have been known to be the newest one for Refresh to succeed at once.
		MaxAge time.Duration
		// PeersWithNewerVersion returns the addresses of entries that have a configuration with a higher version, the best ones first.
		PeersWithNewerVersion func(version int64) []string
		// PeersWithNewerEvacuations returns the addresses of entries that have a set of evacuated data centres with a higher version. It may be nil.
		PeersWithNewerEvacuations func(version int64) []string
		// PeerConfirmation returns when another entry last knew that there is no configuration with a higher version, or the zero time. It may be nil.
		PeerConfirmation func(version int64) time.Time
		// OnStoreResponse is called after each successful read of the store, and OnChange after each change to a newer
		// configuration.
		OnStoreResponse func()
		OnChange        func(configuration *routetable.Configuration)
		// OnEvacuationChange is called when the evacuated data centres have changed or have become known. It may be nil.
		OnEvacuationChange func()

		initOnce sync.Once
		// progressed is signalled when the first part of a response of the store has arrived, checkRequested when the store has to be asked at once
		// whether there is a newer configuration.
		progressed, checkRequested chan struct{}

		mutex         sync.Mutex
		configuration *routetable.Configuration
		// behindSince is when this entry noticed that another entry has a newer configuration. It is zero if this entry knows of none.
		behindSince time.Time
		// confirmedAt is when the store last had no newer configuration. confirmed is closed at the next confirmation or change.
		confirmedAt time.Time
		confirmed   chan struct{}
		// evacuations is the set of evacuated data centres, or nil if none is known. The store had no later record about them at evacuationsConfirmedAt.
		evacuations            *evacuation.Set
		evacuationsConfirmedAt time.Time
		// transferAt is when the last part of a response of the store arrived.
		transferAt time.Time
		// refreshFailedAt is when Refresh last waited in vain.
		refreshFailedAt time.Time
	}
)

// Configuration returns the current configuration, or nil if there is none yet.
func (s *Subscriber) Configuration() *routetable.Configuration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.configuration
}

// Version returns the version of the current configuration, or 0 if there is none yet.
func (s *Subscriber) Version() int64 {
	if configuration := s.Configuration(); configuration != nil {
		return configuration.Version
	}
	return 0
}

// Age returns the time since there certainly was no configuration newer than the current one: since the store, asked by this entry or by another
// one, had none. It returns one hour if that was never known.
func (s *Subscriber) Age() time.Duration {
	version, age := s.State()
	if s.PeerConfirmation == nil || version == 0 {
		return age
	}
	if at := s.PeerConfirmation(version); !at.IsZero() {
		return min(age, max(s.Clock.Now().Sub(at), 0))
	}
	return age
}

// State returns the version of the current configuration, or 0, and its age like Age, but without the knowledge of other entries.
func (s *Subscriber) State() (version int64, age time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.configuration == nil {
		return 0, neverConfirmed
	}
	if s.confirmedAt.IsZero() {
		return s.configuration.Version, neverConfirmed
	}
	return s.configuration.Version, min(max(s.Clock.Now().Sub(s.confirmedAt), 0), neverConfirmed)
}

// Evacuations returns the set of evacuated data centres, or nil if none is known, and the time since the store, asked by this entry or by the one from which
// the set was fetched, certainly had no later record about them. It returns one hour if that was never known.
func (s *Subscriber) Evacuations() (set *evacuation.Set, age time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.evacuations == nil || s.evacuationsConfirmedAt.IsZero() {
		return s.evacuations, neverConfirmed
	}
	return s.evacuations, min(max(s.Clock.Now().Sub(s.evacuationsConfirmedAt), 0), neverConfirmed)
}

// Run follows the configuration in the store and in the other entries until ctx is done.
func (s *Subscriber) Run(ctx context.Context) error {
	s.init()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { (&follower{subscriber: s}).run(ctx); return nil })
	group.Go(func() error { (&peerFollower{subscriber: s}).run(ctx); return nil })
	return group.Wait()
}

func (s *Subscriber) init() {
	s.initOnce.Do(func() {
		s.progressed, s.checkRequested = make(chan struct{}, 1), make(chan struct{}, 1)
	})
}

// Check makes the store be asked at once whether there is a newer configuration. Call it when a message shows that there is one.
func (s *Subscriber) Check() {
	s.init()
	select {
	case s.checkRequested <- struct{}{}:
	default:
	}
}

// Refresh returns true if the configuration was the newest one at most MaxAge ago. Otherwise it asks the store, and returns true as soon as that
// holds. It returns false if that takes too long, or if it took too long a short time ago.
func (s *Subscriber) Refresh(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	for {
		s.mutex.Lock()
		if s.confirmed == nil {
			s.confirmed = make(chan struct{})
		}
		confirmed, failedAt := s.confirmed, s.refreshFailedAt
		s.mutex.Unlock()
		if s.Age() <= s.MaxAge {
			return true
		}
		if !failedAt.IsZero() && s.Clock.Now().Sub(failedAt) < refreshPause {
			return false
		}
		s.Check()
		// Another entry's confirmation arrives without a signal.
		waitCtx, stopWaiting := context.WithTimeout(ctx, peerCheckInterval)
		select {
		case <-confirmed:
		case <-waitCtx.Done():
		}
		stopWaiting()
		if ctx.Err() != nil {
			s.mutex.Lock()
			s.refreshFailedAt = s.Clock.Now()
			s.mutex.Unlock()
			return false
		}
	}
}

// recordLag records whether another entry has a newer configuration, and returns for how long one has had one.
func (s *Subscriber) recordLag(behind bool) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.Clock.Now()
	switch {
	case !behind:
		s.behindSince = time.Time{}
		return 0
	case s.behindSince.IsZero():
		s.behindSince = now
	}
	return now.Sub(s.behindSince)
}

// recordProgress records that a part of a response of the store has arrived.
func (s *Subscriber) recordProgress(at time.Time) {
	s.mutex.Lock()
	s.transferAt = at
	s.mutex.Unlock()
}

// transferStallTimeout is how long a response may pause during its transfer.
func (s *Subscriber) transferStallTimeout() time.Duration { return stallTimeout + s.CongestionTime/2 }

// isTransferring reports whether a response of the store is arriving.
func (s *Subscriber) isTransferring() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.transferAt.IsZero() && s.Clock.Now().Sub(s.transferAt) < s.transferStallTimeout()
}

// confirm records that the store had no newer configuration than the current one at the given time.
func (s *Subscriber) confirm(at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
	s.signalConfirmation()
}

// signalConfirmation wakes up waiting calls of Refresh. The caller holds the mutex.
func (s *Subscriber) signalConfirmation() {
	if s.confirmed != nil {
		close(s.confirmed)
		s.confirmed = nil
	}
}

// setIfNewer stores the configuration if it has a higher version than the current one, and calls OnChange. The call to the source took the given
// time. entry is the address of the entry from which the configuration came, or "".
func (s *Subscriber) setIfNewer(configuration *routetable.Configuration, source, entry string, duration time.Duration) {
	if configuration == nil || configuration.Version <= 0 {
		return
	}
	s.mutex.Lock()
	if s.configuration != nil && configuration.Version <= s.configuration.Version {
		s.mutex.Unlock()
		return
	}
	s.configuration = configuration
	var lag time.Duration
	if !s.behindSince.IsZero() {
		lag = s.Clock.Now().Sub(s.behindSince)
		s.behindSince = time.Time{}
	}
	s.signalConfirmation()
	s.mutex.Unlock()
	s.Meter.Count("configurations-from-" + source)
	s.Meter.Observe("configuration-lag", lag)
	s.Log.Info().Int64("version", configuration.Version).Int("routes", len(configuration.Routes)).Str("from", source).Str("entry", entry).
		Dur("duration", duration).Dur("lag", lag).Msg("configuration updated")
	s.OnChange(configuration)
}

// setEvacuations stores the set of evacuated data centres unless the current one has a higher version. The store had no later record at confirmedAt, which may
// be the zero time if that is unknown. entry is the address of the entry from which the set came, or "".
func (s *Subscriber) setEvacuations(set *evacuation.Set, confirmedAt time.Time, source, entry string) {
	if set == nil || set.Version <= 0 {
		return
	}
	s.mutex.Lock()
	before := s.evacuations
	if set.Version < before.VersionOrZero() || source == sourcePeer && set.Version == before.VersionOrZero() && !slices.Equal(set.DataCentres, before.DataCentres) {
		s.mutex.Unlock()
		return
	}
	s.evacuations = set
	if confirmedAt.After(s.evacuationsConfirmedAt) {
		s.evacuationsConfirmedAt = confirmedAt
	}
	now := s.Clock.Now()
	age := neverConfirmed
	if !s.evacuationsConfirmedAt.IsZero() {
		age = max(now.Sub(s.evacuationsConfirmedAt), 0)
	}
	begun, ended := set.Compare(before)
	s.reportEvacuations("evacuation of a data centre begins", "evacuations-begun", begun, 1, set, source, entry, age)
	s.reportEvacuations("evacuation of a data centre ends", "evacuations-ended", ended, 0, set, source, entry, age)
	changed := before == nil || len(begun)+len(ended) > 0
	if changed {
		s.Meter.Set("evacuated-data-centres", int64(len(set.DataCentres)))
	}
	s.mutex.Unlock()
	if changed && s.OnEvacuationChange != nil {
		s.OnEvacuationChange()
	}
}

// reportEvacuations logs and counts the begin or the end of the evacuation of data centres. The caller holds the mutex, so that the counters follow the
// order of the changes.
func (s *Subscriber) reportEvacuations(message, counter string, dataCentres []string, evacuated int64, set *evacuation.Set, source, entry string, age time.Duration) {
	for _, name := range dataCentres {
		s.Meter.Count(counter)
		s.Meter.Set("evacuated-"+name, evacuated)
		s.Log.Info().Str("data-centre", name).Int64("version", set.Version).Str("from", source).Str("entry", entry).Dur("age", age).Msg(message)
	}
}
