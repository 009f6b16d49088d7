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
	// followWait is how long the store may delay its response to a read without news. It bounds the time until a connection
	// whose peer has disappeared is detected.
	followWait     = time.Second
	responseMargin = 600 * time.Millisecond
	retryPause     = 100 * time.Millisecond
	peerInterval   = 100 * time.Millisecond
)

type (
	// Source is the store in which operators publish configurations.
	Source interface {
		// LoadConfiguration returns the newest configuration, or nil if there is none, and the offset for FollowConfiguration.
		LoadConfiguration(ctx context.Context) (*routetable.Table, int64, error)
		// FollowConfiguration returns the newest configuration published at or after the offset, or nil if none is published
		// within the wait, and the offset for the next call.
		FollowConfiguration(ctx context.Context, offset int64, wait time.Duration) (*routetable.Table, int64, error)
	}

	// Peers is a client of the other entries.
	Peers interface {
		Configuration(ctx context.Context, entry string) (*routetable.Table, error)
	}

	// Subscriber holds the configuration of one entry. Its version never decreases. Set the exported fields before calling Run.
	// Subscriber is safe for concurrent use.
	Subscriber struct {
		Source Source
		Peers  Peers
		Log    zerolog.Logger
		// PeerWithNewerVersion returns the address of an entry that has a newer version, or "".
		PeerWithNewerVersion func(version int64) string
		// OnStoreResponse is called after each response of the store, OnChange after each new version.
		OnStoreResponse func()
		OnChange        func(t *routetable.Table)

		mutex sync.Mutex
		table *routetable.Table
	}
)

// Table returns the current configuration, or nil if there is none yet.
func (s *Subscriber) Table() *routetable.Table {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table
}

// Version returns the version of the current configuration, or 0 if there is none yet.
func (s *Subscriber) Version() int64 {
	if t := s.Table(); t != nil {
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
		callCtx, cancel := context.WithTimeout(ctx, followWait+responseMargin)
		var t *routetable.Table
		var err error
		if loaded {
			t, offset, err = s.Source.FollowConfiguration(callCtx, offset, followWait)
		} else {
			t, offset, err = s.Source.LoadConfiguration(callCtx)
		}
		cancel()
		if err == nil {
			s.OnStoreResponse()
			s.install(t, "store")
			loaded = loaded || t != nil
			if !loaded {
				sleeper.Sleep(ctx, retryPause)
			}
			continue
		}
		if errors.Is(err, storekeeper.ErrExpired) {
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
			callCtx, cancel := context.WithTimeout(ctx, responseMargin)
			t, err := s.Peers.Configuration(callCtx, entry)
			cancel()
			if err != nil {
				s.Log.Warn().Err(err).Str("entry", entry).Msg("failed to fetch the configuration from another entry")
			}
			s.install(t, entry)
		}
		sleeper.Sleep(ctx, peerInterval)
	}
}

func (s *Subscriber) install(t *routetable.Table, source string) {
	if t == nil {
		return
	}
	s.mutex.Lock()
	if s.table != nil && t.Version <= s.table.Version {
		s.mutex.Unlock()
		return
	}
	s.table = t
	s.mutex.Unlock()
	s.Log.Info().Int64("version", t.Version).Int("routes", len(t.Routes)).Str("from", source).Msg("configuration updated")
	s.OnChange(t)
}
