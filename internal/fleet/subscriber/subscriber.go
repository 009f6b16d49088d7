// Package subscriber keeps an entry's configuration up to date. It follows the store and, as a fallback, other entries.
package subscriber

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bamboohook/internal/fleet/routetable"
	"bamboohook/internal/fleet/sleeper"
	"bamboohook/internal/fleet/storekeeper"
)

const (
	// followWait is how long the store may delay its response to a read while there are no new records. It bounds the time until a
	// connection whose peer has disappeared is detected.
	followWait = time.Second
	// responseTimeout bounds a call, in addition to the time that the call asks the store to wait.
	responseTimeout   = 600 * time.Millisecond
	retryPause        = 100 * time.Millisecond
	peerCheckInterval = 100 * time.Millisecond
)

type (
	// Source is the store in which operators publish configurations.
	Source interface {
		// LoadConfiguration returns the newest configuration, or nil if there is none, and the offset for FollowConfiguration.
		LoadConfiguration(ctx context.Context) (*routetable.Configuration, int64, error)
		// FollowConfiguration returns the newest configuration published at or after the offset, or nil if none is published
		// within the wait, and the offset for the next call.
		FollowConfiguration(ctx context.Context, offset int64, wait time.Duration) (*routetable.Configuration, int64, error)
	}

	// PeerClient is a client of the other entries.
	PeerClient interface {
		FetchConfiguration(ctx context.Context, entry string) (*routetable.Configuration, error)
	}

	// Subscriber holds the configuration of one entry. Its version never decreases. Set the exported fields before calling Run.
	// Subscriber is safe for concurrent use.
	Subscriber struct {
		Source     Source
		PeerClient PeerClient
		Log        zerolog.Logger
		// PeerWithNewerVersion returns the address of an entry that has a newer version, or "".
		PeerWithNewerVersion func(version int64) string
		// OnStoreResponse is called after each response of the store, OnChange after each change to a newer version.
		OnStoreResponse func()
		OnChange        func(t *routetable.Configuration)

		mutex         sync.Mutex
		configuration *routetable.Configuration
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
	if t := s.Configuration(); t != nil {
		return t.Version
	}
	return 0
}

// Run follows the source and the other entries until ctx is done.
func (s *Subscriber) Run(ctx context.Context) error {
	go s.followPeers(ctx)
	var offset int64
	loaded := false
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, followWait+responseTimeout)
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
			s.setIfNewer(configuration, "store")
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
			s.Log.Warn().Err(err).Int64("version", s.Version()).Msg("failed to read the configuration from the store")
		}
		sleeper.Sleep(ctx, retryPause)
	}
	return nil
}

func (s *Subscriber) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		if entry := s.PeerWithNewerVersion(s.Version()); entry != "" {
			callCtx, cancel := context.WithTimeout(ctx, responseTimeout)
			configuration, err := s.PeerClient.FetchConfiguration(callCtx, entry)
			cancel()
			if err != nil {
				s.Log.Warn().Err(err).Str("entry", entry).Msg("failed to fetch the configuration from another entry")
			}
			s.setIfNewer(configuration, entry)
		}
		sleeper.Sleep(ctx, peerCheckInterval)
	}
}

func (s *Subscriber) setIfNewer(configuration *routetable.Configuration, source string) {
	if configuration == nil {
		return
	}
	s.mutex.Lock()
	if s.configuration != nil && configuration.Version <= s.configuration.Version {
		s.mutex.Unlock()
		return
	}
	s.configuration = configuration
	s.mutex.Unlock()
	s.Log.Info().Int64("version", configuration.Version).Int("routes", len(configuration.Routes)).Str("from", source).Msg("configuration updated")
	s.OnChange(configuration)
}
