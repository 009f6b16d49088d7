// Package subscriber keeps the newest configuration of the store or of another entry.
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
	// wait is how long the store holds a read back. It bounds how late a connection that has gone silent is noticed.
	followWait     = time.Second
	responseMargin = 600 * time.Millisecond
	retryPause     = 100 * time.Millisecond
	peerInterval   = 100 * time.Millisecond
)

type (
	// Source is where operators publish configurations.
	Source interface {
		// Newest returns the newest configuration, nil if there is none, and the offset to follow from.
		LoadConfiguration(ctx context.Context) (*routetable.Table, int64, error)
		// Changed returns a configuration published at or after the offset, nil if there is none within the wait.
		FollowConfiguration(ctx context.Context, offset int64, wait time.Duration) (*routetable.Table, int64, error)
	}

	// Peers fetches the configuration of another entry.
	Peers interface {
		Configuration(ctx context.Context, entry string) (*routetable.Table, error)
	}

	// Subscriber holds one entry's configuration, whose version only rises. Set the exported fields before Run. Concurrent use
	// is safe.
	Subscriber struct {
		Source Source
		Peers  Peers
		Log    zerolog.Logger
		// Ahead returns an entry with a newer version, or "".
		PeerWithNewerVersion func(version int64) string
		// Answered is called after each answer of the store, Changed after each new version.
		OnStoreResponse func()
		OnChange        func(t *routetable.Table)

		mutex sync.Mutex
		table *routetable.Table
	}
)

// Table returns the configuration, or nil if there is none yet.
func (s *Subscriber) Table() *routetable.Table {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table
}

// Version returns the version in force, or 0.
func (s *Subscriber) Version() int64 {
	if t := s.Table(); t != nil {
		return t.Version
	}
	return 0
}

// Run follows the source until ctx ends.
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
			s.Log.Warn().Err(err).Int64("version", s.Version()).Msg("configuration cannot be read")
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
				s.Log.Warn().Err(err).Str("entry", entry).Msg("configuration cannot be fetched")
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
	s.Log.Info().Int64("version", t.Version).Int("routes", len(t.Routes)).Str("from", source).Msg("configuration in force")
	s.OnChange(t)
}
