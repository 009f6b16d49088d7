// Package subscriber keeps an entry's copy of the configuration up to date. It reads the configuration from the store and, if that fails,
// from other entries.
package subscriber

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bamboohook/internal/fleet/meter"
	"bamboohook/internal/fleet/routetable"
	"bamboohook/internal/fleet/sleeper"
	"bamboohook/internal/fleet/storekeeper"
)

const (
	// followWait is how long the store may delay its response to a read while there are no new records. It limits the time until this
	// process notices that the store has disappeared without closing the connection.
	followWait = time.Second
	// callTimeout bounds a call to the store or to another entry, not counting the time for which the store is asked to wait and the time for
	// the transfer of a configuration.
	callTimeout = 600 * time.Millisecond
	// transfersPerCall is the number of congestion times that a call may take longer. A configuration can be larger than what congests the
	// link otherwise, and a transfer that is given up must begin anew.
	transfersPerCall = 4
	// storePatience is how long another entry must have had a newer configuration until it is fetched from there, apart from two congestion
	// times. Usually the configuration is already under way from the store.
	storePatience = 250 * time.Millisecond
	// retryPause is the time until the next read of the store if a read failed or found no configuration.
	retryPause = 100 * time.Millisecond
	// peerCheckInterval is the time between two checks whether another entry has a newer configuration.
	peerCheckInterval = 100 * time.Millisecond
)

// The sources of a configuration, for logs and metrics.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

type (
	// Source is the store in which operators publish configurations.
	Source interface {
		// LoadConfiguration returns the newest configuration, or nil if there is none, and the offset for the first call of
		// FollowConfiguration.
		LoadConfiguration(ctx context.Context) (*routetable.Configuration, int64, error)
		// FollowConfiguration returns the newest configuration published at or after the offset, or nil if none is published within
		// the wait, and the offset for the next call. It returns storekeeper.ErrDeleted if records at the offset were deleted.
		FollowConfiguration(ctx context.Context, offset int64, wait time.Duration) (*routetable.Configuration, int64, error)
	}

	// PeerClient is a client of the other entries.
	PeerClient interface {
		// FetchConfiguration returns the configuration that the entry at the address entry uses.
		FetchConfiguration(ctx context.Context, entry string) (*routetable.Configuration, error)
	}

	// Subscriber holds the configuration of one entry. Its version never decreases. Set the exported fields before calling Run.
	// Subscriber is safe for concurrent use.
	Subscriber struct {
		Source     Source
		PeerClient PeerClient
		Log        zerolog.Logger
		// Meter gets the time for which this entry was behind another one before each change, and the number of changes by source. It may be nil.
		Meter *meter.Meter
		// CongestionTime is the longest time for which congestion may delay messages on the link of this entry.
		CongestionTime time.Duration
		// PeerWithNewerVersion returns the address of an entry that has a configuration with a higher version, or "" if there is
		// none.
		PeerWithNewerVersion func(version int64) string
		// OnStoreResponse is called after each successful read of the store, and OnChange after each change to a newer
		// configuration.
		OnStoreResponse func()
		OnChange        func(configuration *routetable.Configuration)

		mutex         sync.Mutex
		configuration *routetable.Configuration
		// behindSince is when this entry noticed that another entry has a newer configuration. It is zero if this entry knows of none.
		behindSince time.Time
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

// Run follows the configuration in the store and in the other entries until ctx is done.
func (s *Subscriber) Run(ctx context.Context) error {
	go s.followPeers(ctx)
	var offset int64
	loaded := false
	for ctx.Err() == nil {
		startedAt := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, followWait+callTimeout+transfersPerCall*s.CongestionTime)
		var configuration *routetable.Configuration
		var err error
		if loaded {
			configuration, offset, err = s.Source.FollowConfiguration(callCtx, offset, followWait)
		} else {
			configuration, offset, err = s.Source.LoadConfiguration(callCtx)
		}
		cancel()
		if err == nil {
			s.OnStoreResponse()
			s.setIfNewer(configuration, sourceStore, "", time.Since(startedAt))
			loaded = loaded || configuration != nil
			if !loaded {
				sleeper.Sleep(ctx, retryPause)
			}
			continue
		}
		if errors.Is(err, storekeeper.ErrDeleted) {
			loaded = false
			continue
		}
		if ctx.Err() == nil {
			s.Log.Warn().Err(err).Int64("version", s.Version()).Dur("duration", time.Since(startedAt)).Msg("failed to read the configuration from the store")
		}
		sleeper.Sleep(ctx, retryPause)
	}
	return nil
}

// followPeers fetches the configuration from another entry when one has had a newer one for some time, until ctx is done.
func (s *Subscriber) followPeers(ctx context.Context) {
	var behindFor time.Duration
	for ctx.Err() == nil {
		entry := s.PeerWithNewerVersion(s.Version())
		if entry == "" {
			behindFor = 0
		} else {
			behindFor += peerCheckInterval
		}
		s.recordLag(entry != "")
		if behindFor > storePatience+2*s.CongestionTime {
			startedAt := time.Now()
			callCtx, cancel := context.WithTimeout(ctx, callTimeout+transfersPerCall*s.CongestionTime)
			configuration, err := s.PeerClient.FetchConfiguration(callCtx, entry)
			cancel()
			if err != nil {
				s.Log.Warn().Err(err).Str("entry", entry).Dur("duration", time.Since(startedAt)).Msg("failed to fetch the configuration from another entry")
			}
			s.setIfNewer(configuration, sourcePeer, entry, time.Since(startedAt))
		}
		sleeper.Sleep(ctx, peerCheckInterval)
	}
}

// recordLag records whether another entry has a newer configuration.
func (s *Subscriber) recordLag(behind bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case !behind:
		s.behindSince = time.Time{}
	case s.behindSince.IsZero():
		s.behindSince = time.Now()
	}
}

// setIfNewer stores the configuration if it has a higher version than the current one, and calls OnChange. The call to the source took the given
// time. entry is the address of the entry from which the configuration came, or "".
func (s *Subscriber) setIfNewer(configuration *routetable.Configuration, source, entry string, duration time.Duration) {
	if configuration == nil {
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
		lag = time.Since(s.behindSince)
		s.behindSince = time.Time{}
	}
	s.mutex.Unlock()
	s.Meter.Count("configurations-from-" + source)
	s.Meter.Observe("configuration-lag", lag)
	s.Log.Info().Int64("version", configuration.Version).Int("routes", len(configuration.Routes)).Str("from", source).Str("entry", entry).
		Dur("duration", duration).Dur("lag", lag).Msg("configuration updated")
	s.OnChange(configuration)
}
