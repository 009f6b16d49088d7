// Package elector implements the election of the entry that owns the batch jobs. An entry becomes the owner by appending a claim to the
// store, which orders the claims. The entries ping each other to detect a failed owner and to decide which of them claims first.
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

// OwnerKey is the key under which the store keeps the newest claim of the ownership.
const OwnerKey = "owner"

const (
	// claimCheckInterval is the time between two checks whether this entry should claim the ownership, or has become the owner.
	claimCheckInterval = 25 * time.Millisecond
	pingInterval       = 150 * time.Millisecond
	pingTimeout        = 400 * time.Millisecond
	// livenessTimeout is how long an entry counts as live after it was last heard from. It is longer than three ping intervals plus the
	// delay of one ping.
	livenessTimeout = 650 * time.Millisecond
	// maxStoreAge is the time since the last contact with the store after which an entry counts as disconnected from it. Package
	// subscriber lets the store delay its responses for up to a second, so this time can reach one second on a working connection.
	maxStoreAge = 1600 * time.Millisecond
	// rankDelay is how long an entry delays its claim for each live entry that should claim before it. The delay makes it likely that
	// only one entry claims.
	rankDelay = 120 * time.Millisecond
	// firstClaimDelay gives the entries time to discover each other before the first claim.
	firstClaimDelay = 250 * time.Millisecond
	// minClaimInterval is the minimum time between two claims of one entry.
	minClaimInterval = 250 * time.Millisecond
	// storeCallTimeout bounds an append of a claim, and a call that registers this entry or reads the list of entries.
	storeCallTimeout = time.Second
	// loadTimeout bounds a call that loads the newest record of each key from the store.
	loadTimeout = 2 * time.Second
	// followWait is how long the store may delay its response to a read while there are no new records. followTimeoutMargin is added to
	// it to get the timeout of the read.
	followWait          = 700 * time.Millisecond
	followTimeoutMargin = 800 * time.Millisecond
	// entriesReadInterval is the time between two reads of the list of entries from the store.
	entriesReadInterval = 3 * time.Second
	// unreachableTimeout is the time since the last contact with an entry after which the entry counts as ended. It is then pinged only
	// once per unreachablePingInterval.
	unreachableTimeout      = 10 * time.Second
	unreachablePingInterval = 2 * time.Second
	// storeRetryPause is the time until a failed access to the store is repeated.
	storeRetryPause = 200 * time.Millisecond
	// maxRefusedConnections is the number of consecutive refused connections after which an entry's process counts as ended.
	maxRefusedConnections = 2
)

type (
	// PeerClient is a client of the other entries.
	PeerClient interface {
		// Ping returns refused true if the connection was refused, that is, if no process listens at the address.
		Ping(ctx context.Context, address string, p messenger.Ping) (response messenger.Ping, refused bool, err error)
	}

	// Store is a client of the store, which keeps the claims and the list of entries.
	Store interface {
		// Append returns storekeeper.ErrNotAppended only if the batch was not appended and never will be.
		Append(ctx context.Context, batch storekeeper.Batch) error
		// Load returns the newest record of each key and the offset from which Follow returns the records after them.
		Load(ctx context.Context) ([]storekeeper.Record, int64, error)
		// Follow returns the records from the offset on and the offset after the last one. If there are none, it waits for them, at
		// most for the given time. It returns storekeeper.ErrDeleted if records at the offset were deleted.
		Follow(ctx context.Context, from int64, wait time.Duration) ([]storekeeper.Record, int64, error)
		// RegisterEntry adds the address of an entry to the list of entries in the store. Entries returns that list.
		RegisterEntry(ctx context.Context, entry string) error
		Entries(ctx context.Context) ([]string, error)
	}

	// Clock is a clock that keeps running while the machine is suspended.
	Clock interface {
		Now() time.Time
	}

	// Elector takes part in the election for one entry. Set the exported fields before calling Run. Elector is safe for concurrent use.
	Elector struct {
		// Address is the address of this entry, at which the other entries ping it.
		Address string
		// Generation is a string that is unique to this process. It distinguishes the claims of this process from those of an earlier
		// process at the same address.
		Generation string
		// Weight is the priority of this entry. Entries with a higher weight claim first.
		Weight float64
		// Seeds are the addresses of some entries, from which this entry learns the addresses of the others.
		Seeds      []string
		PeerClient PeerClient
		Store      Store
		Clock      Clock
		Log        zerolog.Logger
		// StoreContactTimeout is how long the owner lets agents renew leases after its last contact with the store, see
		// MayGrantLeases.
		StoreContactTimeout time.Duration
		// ConfigurationVersion returns the version of this entry's configuration. It may be nil.
		ConfigurationVersion func() int64
		// OnOwnershipGained is called with the newest record of each key when this entry becomes the owner of an epoch.
		// OnOwnershipLost is called when it ceases to be the owner, asynchronously and perhaps with a delay.
		OnOwnershipGained func(epoch uint64, records []storekeeper.Record)
		OnOwnershipLost   func(epoch uint64, reason string)

		mutex     sync.Mutex
		startedAt time.Time
		// peers contains the states of the other known entries by address.
		peers map[string]*peer
		// epoch is the highest known epoch. owner is the address of its owner, or "" if that is unknown.
		epoch uint64
		owner string
		// isOwner reports whether this process is the owner of the epoch.
		isOwner bool
		// draining reports whether Drain was called, so that another entry should become the owner.
		draining           bool
		lastStoreContactAt time.Time
		// epochObservedAt is when a higher epoch of another entry was last observed.
		epochObservedAt time.Time
		// ownerSuspectedAt is the time since which the owner counts as failed. It is zero while the owner is healthy.
		ownerSuspectedAt time.Time
		// lastClaimAt is when this process last claimed the ownership, and claimCount the number of its claims.
		lastClaimAt time.Time
		claimCount  int
		// storeOffset is the offset from which this entry, while it is the owner, reads the next records of the store.
		storeOffset int64
		// registered reports whether this entry is in the store's list of entries.
		registered bool
		// startPinging starts a loop that pings the entry at the address.
		startPinging func(address string)
	}

	// peer is the known state of another entry.
	peer struct {
		// lastPing is the last state that the entry has sent, in a ping or in the response to one, and lastHeardAt the time of its
		// arrival.
		lastPing    messenger.Ping
		lastHeardAt time.Time
		// lastAsked is unused and always zero.
		lastAsked time.Time
		// addedAt is when this entry first heard of the other one.
		addedAt time.Time
		// refusedConnections is the number of pings in a row whose connection was refused.
		refusedConnections int
	}

	// ownerClaim is the value of a store record with the key OwnerKey. The entry in the newest claim is the owner of the batch jobs.
	// ClaimID consists of the Generation of the process and the number of its claim.
	ownerClaim struct {
		Epoch   uint64 `json:"epoch"`
		Address string `json:"address"`
		ClaimID string `json:"nonce"`
	}
)

// PeerWithNewerVersion returns the address of a live entry that has a configuration with a higher version, or "" if there is none.
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

// Run takes part in the election until ctx is done.
func (e *Elector) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	e.mutex.Lock()
	e.peers, e.startedAt = map[string]*peer{}, e.Clock.Now()
	e.startPinging = func(address string) {
		group.Go(func() error { e.pingLoop(ctx, address); return nil })
	}
	for _, s := range e.Seeds {
		e.getOrAddPeer(s)
	}
	e.mutex.Unlock()
	group.Go(func() error { e.entriesLoop(ctx); return nil })
	group.Go(func() error { e.followStoreLoop(ctx); return nil })
	group.Go(func() error { e.claimLoop(ctx); return nil })
	return group.Wait()
}

// Owner returns the address of the owner, or "" if none is known, and the highest known epoch.
func (e *Elector) Owner() (string, uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.owner, e.epoch
}

// Relay returns the address of a live entry that reaches the owner, for use while this entry doesn't reach it. It returns "" if this entry
// reaches the owner or if there is no such entry.
func (e *Elector) Relay() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.Clock.Now()
	if p, ok := e.peers[e.owner]; !ok || p.isLive(now) {
		return ""
	}
	for address, p := range e.peers {
		if address != e.owner && p.isLive(now) && e.peerHearsOwner(p, now) {
			return address
		}
	}
	return ""
}

// Entries returns the addresses of all known entries, including this one.
func (e *Elector) Entries() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.entries()
}

// StoreAge returns the time since the last contact with the store, or one hour if there was none.
func (e *Elector) StoreAge() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.storeAge(e.Clock.Now())
}

// RecordStoreContact records that another component has received a response of the store.
func (e *Elector) RecordStoreContact() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.lastStoreContactAt = e.Clock.Now()
}

// MayGrantLeases reports whether this entry, as the owner, may let agents renew their leases. It may do so if it had contact with the store
// within StoreContactTimeout. It may also do so if every other entry that may still run reports that it has no contact with the store
// either, because none of them can then have claimed the ownership.
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
		if p.refusedConnections >= maxRefusedConnections || p.lastHeardAt.IsZero() || now.Sub(p.lastHeardAt) > unreachableTimeout {
			continue
		}
		if !p.isLive(now) || p.lastPing.StoreAge < maxStoreAge || p.lastPing.Epoch > e.epoch {
			return false
		}
	}
	return true
}

// Drain announces to the other entries that this process is about to end, so that one of them claims the ownership.
func (e *Elector) Drain() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.draining = true
}

// HandlePing stores the other entry's state, which its ping contains, and returns this entry's state as the response.
func (e *Elector) HandlePing(p messenger.Ping) messenger.Ping {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.handlePeerPing(p)
	return e.composePing()
}

// ObserveEpoch records an epoch that another process has reported, and the address of its owner, unless a higher epoch is known.
func (e *Elector) ObserveEpoch(epoch uint64, owner string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.observeEpoch(epoch, owner)
}

// HandleFenced ends the ownership of this entry if epoch is the current one. It is called after the store has rejected an append of the
// epoch because another entry has claimed a higher epoch.
func (e *Elector) HandleFenced(epoch uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.isOwner && e.epoch == epoch {
		e.loseOwnership("the store has seen a higher epoch")
		e.owner = ""
	}
}

// observeEpoch records an epoch and the address of its owner, unless a higher epoch is known. The owner of a new epoch counts as healthy
// for a few ping intervals, so that it has time to respond. The caller holds the mutex.
func (e *Elector) observeEpoch(epoch uint64, owner string) {
	if epoch > messenger.MaxEpoch {
		e.Log.Warn().Uint64("epoch", epoch).Str("owner", owner).Msg("ignored an epoch out of range")
		return
	}
	if epoch == e.epoch && e.owner == "" && !e.isOwner {
		e.owner = owner
	}
	if epoch <= e.epoch {
		return
	}
	e.epochObservedAt = e.Clock.Now()
	e.Log.Info().Uint64("epoch", epoch).Str("owner", owner).Uint64("before", e.epoch).Msg("higher epoch observed")
	if e.isOwner {
		e.loseOwnership("another entry has claimed the ownership")
	}
	e.epoch, e.owner = epoch, owner
}

// loseOwnership ends the ownership. The caller holds the mutex, so OnOwnershipLost runs in its own goroutine, without the mutex.
func (e *Elector) loseOwnership(reason string) {
	e.isOwner = false
	go e.OnOwnershipLost(e.epoch, reason)
}

// storeAge returns the time since the last contact with the store. It returns one hour, which is longer than all timeouts, if there was
// none. The caller holds the mutex.
func (e *Elector) storeAge(now time.Time) time.Duration {
	if e.lastStoreContactAt.IsZero() {
		return time.Hour
	}
	return now.Sub(e.lastStoreContactAt)
}

// entries returns the addresses of all known entries, including this one. The caller holds the mutex.
func (e *Elector) entries() []string {
	all := []string{e.Address}
	for address := range e.peers {
		all = append(all, address)
	}
	return all
}
