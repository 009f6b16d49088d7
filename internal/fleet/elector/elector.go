// Package elector decides which entry owns the batch jobs. The store orders the claims; who claims follows from what the entries
// hear of each other.
package elector

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/storekeeper"
)

// OwnerKey is the key of the record that names the owner.
const OwnerKey = "owner"

const (
	tickInterval = 25 * time.Millisecond
	pingInterval = 150 * time.Millisecond
	pingTimeout  = 400 * time.Millisecond
	// liveFor is how long an entry counts as reachable after its last answer: three pings and a delayed one.
	livenessTimeout = 650 * time.Millisecond
	// storeFresh is how old the last contact with the store may be on a working path: reads wait for up to a second.
	maxStoreAge = 1600 * time.Millisecond
	// rankDelay separates the claims of the entries, so that the first one is usually the only one.
	rankDelay = 120 * time.Millisecond
	// startDelay lets the entries find each other before the first claim.
	startDelay = 250 * time.Millisecond
	// claimPause is the time between two claims of one entry.
	claimInterval       = 250 * time.Millisecond
	claimTimeout        = time.Second
	loadTimeout         = 2 * time.Second
	followWait          = 700 * time.Millisecond
	followTimeoutMargin = 800 * time.Millisecond
	// enrolInterval is how often the list of entries is read from the store.
	entriesInterval = 3 * time.Second
	// absentAfter is how long an unreachable entry is pinged at the full rate.
	unreachableAfter        = 10 * time.Second
	unreachablePingInterval = 2 * time.Second
	retryPause              = 200 * time.Millisecond
	// refusals are how many refused connections in sequence show that an entry's process has ended.
	maxRefusedConnections = 2
)

type (
	// Peers calls other entries.
	Peers interface {
		// Ping fails with refused true if no process listens at the address.
		Ping(ctx context.Context, address string, p messenger.Ping) (answer messenger.Ping, refused bool, err error)
	}

	// Store keeps claims and the list of entries.
	Store interface {
		Append(ctx context.Context, batch storekeeper.Batch) error
		// Load returns the newest record of each key and the offset after the last one.
		Load(ctx context.Context) ([]storekeeper.Record, int64, error)
		// Follow returns records from the offset on, after at most the wait, and the offset after the last one.
		Follow(ctx context.Context, from int64, wait time.Duration) ([]storekeeper.Record, int64, error)
		RegisterEntry(ctx context.Context, entry string) error
		Entries(ctx context.Context) ([]string, error)
	}

	// Clock tells the time, including suspended time.
	Clock interface {
		Now() time.Time
	}

	// Elector is one entry's part. Set the exported fields before Run. Concurrent use is safe.
	Elector struct {
		Address string
		// Nonce changes with each start of the process.
		Nonce string
		// Weight prefers entries with more processor and link.
		Weight float64
		Seeds  []string
		Peers  Peers
		Store  Store
		Clock  Clock
		Log    zerolog.Logger
		// Contact is how long the owner grants leases without contact to the store.
		StoreContactTimeout time.Duration
		// Version returns that of the configuration in force here.
		ConfigurationVersion func() int64
		// Took and Lost are called when the ownership of an epoch begins and ends. Lost may come late.
		OnOwnershipGained func(epoch uint64, records []storekeeper.Record)
		OnOwnershipLost   func(epoch uint64, reason string)

		mutex            sync.Mutex
		started          time.Time
		peers            map[string]*peer
		epoch            uint64
		owner            string
		isOwner          bool
		draining         bool
		lastStoreContact time.Time
		epochObserved    time.Time
		ownerSuspected   time.Time
		lastClaim        time.Time
		claimCount       int
		offset           int64
		registered       bool
		startPinging     func(address string)
	}

	// peer is what is known of another entry.
	peer struct {
		lastPing           messenger.Ping
		lastHeard          time.Time
		lastAsked          time.Time
		added              time.Time
		refusedConnections int
	}

	ownerRecord struct {
		Epoch   uint64 `json:"epoch"`
		Address string `json:"address"`
		Nonce   string `json:"nonce"`
	}
)

// Ahead returns a live entry with a newer configuration than the version, or "".
func (e *Elector) PeerWithNewerVersion(version int64) string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.Clock.Now()
	for address, p := range e.peers {
		if p.isLive(now) && p.lastPing.Version > version {
			return address
		}
	}
	return ""
}

// Run takes part until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	e.mutex.Lock()
	e.peers, e.started = map[string]*peer{}, e.Clock.Now()
	e.startPinging = func(address string) {
		group.Go(func() error { e.pingLoop(ctx, address); return nil })
	}
	for _, s := range e.Seeds {
		e.addPeer(s)
	}
	e.mutex.Unlock()
	group.Go(func() error { e.registerLoop(ctx); return nil })
	group.Go(func() error { e.followStoreLoop(ctx); return nil })
	group.Go(func() error { e.claimLoop(ctx); return nil })
	return group.Wait()
}

// Owner returns the address of the owner, empty if none is known, and the epoch.
func (e *Elector) Owner() (string, uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.owner, e.epoch
}

// Relay returns an entry that reaches an owner whom this entry does not reach, or "".
func (e *Elector) Relay() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.Clock.Now()
	if p, ok := e.peers[e.owner]; !ok || p.isLive(now) {
		return ""
	}
	for address, p := range e.peers {
		if address != e.owner && p.isLive(now) && e.hearsOwner(p, now) {
			return address
		}
	}
	return ""
}

// Entries returns the addresses of all known entries.
func (e *Elector) Entries() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.entries()
}

// StoreAge returns how long ago the store last answered this entry.
func (e *Elector) StoreAge() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.storeAge(e.Clock.Now())
}

// StoreAnswered notes an answer of the store.
func (e *Elector) RecordStoreContact() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.lastStoreContact = e.Clock.Now()
}

// Granting reports whether this entry owns the jobs and no other entry can have claimed them longer ago than Contact: it reached
// the store since, or all entries agree that the store answers nobody.
func (e *Elector) MayGrantLeases() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.Clock.Now()
	if !e.isOwner {
		return false
	}
	if e.storeAge(now) < e.StoreContactTimeout {
		return true
	}
	for _, p := range e.peers {
		if p.refusedConnections >= maxRefusedConnections || p.lastHeard.IsZero() || now.Sub(p.lastHeard) > unreachableAfter {
			continue
		}
		if !p.isLive(now) || p.lastPing.StoreAge < maxStoreAge || p.lastPing.Epoch > e.epoch {
			return false
		}
	}
	return true
}

// Drain makes other entries claim.
func (e *Elector) Drain() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.draining = true
}

// Answer takes another entry's ping and returns this entry's.
func (e *Elector) HandlePing(p messenger.Ping) messenger.Ping {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.handlePeerPing(p)
	return e.composePing()
}

// Observe takes over an epoch that somebody else knows, with its owner.
func (e *Elector) ObserveEpoch(epoch uint64, owner string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.observeEpoch(epoch, owner)
}

// Fenced ends an ownership that the store has refused.
func (e *Elector) HandleFenced(epoch uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.isOwner && e.epoch == epoch {
		e.loseOwnership("fenced by the store")
		e.owner = ""
	}
}

// observe takes over a higher epoch. Its owner gets the time of a few pings to answer.
func (e *Elector) observeEpoch(epoch uint64, owner string) {
	if epoch == e.epoch && e.owner == "" && !e.isOwner {
		e.owner = owner
	}
	if epoch <= e.epoch {
		return
	}
	e.epochObserved = e.Clock.Now()
	e.Log.Info().Uint64("epoch", epoch).Str("owner", owner).Uint64("before", e.epoch).Msg("owner known")
	if e.isOwner {
		e.loseOwnership("another entry has claimed")
	}
	e.epoch, e.owner = epoch, owner
}

// lose requires the mutex. Lost runs without it.
func (e *Elector) loseOwnership(reason string) {
	e.isOwner = false
	go e.OnOwnershipLost(e.epoch, reason)
}

func (e *Elector) storeAge(now time.Time) time.Duration {
	if e.lastStoreContact.IsZero() {
		return time.Hour
	}
	return now.Sub(e.lastStoreContact)
}

func (e *Elector) entries() []string {
	all := []string{e.Address}
	for address := range e.peers {
		all = append(all, address)
	}
	return all
}
