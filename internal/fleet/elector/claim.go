package elector

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/sleeper"
	"bamboohook/internal/fleet/storekeeper"
)

// claimLoop claims the ownership whenever this entry should do so, until ctx is done.
func (e *Elector) claimLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if e.shouldClaim() {
			e.claim(ctx)
		}
		sleeper.Sleep(ctx, claimCheckInterval)
	}
}

// shouldClaim reports whether this entry should claim the ownership now: the owner has failed, and the entries that should claim earlier
// have had time to do so.
func (e *Elector) shouldClaim() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.Clock.Now()
	if e.isOwner || e.draining && e.canHandOver(now) || now.Sub(e.startedAt) < firstClaimDelay || now.Sub(e.lastClaimAt) < minClaimInterval || e.storeAge(now) > maxStoreAge {
		return false
	}
	if e.ownerHealthy(now) {
		e.ownerSuspectedAt = time.Time{}
		return false
	}
	if e.ownerSuspectedAt.IsZero() {
		e.ownerSuspectedAt = now
	}
	return now.Sub(e.ownerSuspectedAt) >= time.Duration(e.rank(now))*rankDelay
}

// canHandOver reports whether there is a live entry that isn't draining and has contact with the store, so that it can become the owner.
func (e *Elector) canHandOver(now time.Time) bool {
	for _, p := range e.peers {
		if p.isLive(now) && !p.lastPing.Draining && p.lastPing.StoreAge < maxStoreAge {
			return true
		}
	}
	return false
}

// ownerHealthy reports whether the owner need not be replaced. An owner that refuses connections is not healthy. Any other owner is healthy
// for a short time after this entry has observed its epoch. Later an owner is not healthy if its last ping says that it doesn't hold the
// ownership, or that it drains while this entry doesn't. Otherwise a live owner is healthy if it has contact with the store, and an owner
// that this entry doesn't hear from is healthy if another live entry hears from it. The caller makes sure that this entry has contact with
// the store itself.
func (e *Elector) ownerHealthy(now time.Time) bool {
	if e.owner == e.Address {
		// The ownership was claimed by an earlier process at this address, which has ended.
		return false
	}
	p, ok := e.peers[e.owner]
	if now.Sub(e.epochObservedAt) < livenessTimeout && (!ok || p.refusedConnections < maxRefusedConnections) {
		return true
	}
	if !ok {
		return false
	}
	if p.refusedConnections >= maxRefusedConnections || !p.lastHeardAt.IsZero() && (!p.holdsOwnership(e) || p.lastPing.Draining && !e.draining) {
		return false
	}
	if p.isLive(now) {
		return p.lastPing.StoreAge < maxStoreAge
	}
	for address, other := range e.peers {
		if address != e.owner && other.isLive(now) && e.peerHearsOwner(other, now) {
			return true
		}
	}
	return false
}

// rank returns the number of live entries that should claim the ownership before this one.
func (e *Elector) rank(now time.Time) int {
	rank := 0
	for address, p := range e.peers {
		if address == e.owner || !p.isLive(now) || p.lastPing.Draining || p.lastPing.StoreAge > maxStoreAge {
			continue
		}
		if cmp.Or(cmp.Compare(p.lastPing.Weight, e.Weight), cmp.Compare(e.Address, address)) > 0 {
			rank++
		}
	}
	return rank
}

// claim appends a claim of the ownership to the store and reads the newest claim back. Only the claim that was read back decides who is the
// owner, because the store treats a second claim of an epoch as a repeat of the first one, and because the response to an append may be
// lost. The records of an owner are only complete if the store has executed the claim before they are read.
func (e *Elector) claim(ctx context.Context) {
	e.mutex.Lock()
	now := e.Clock.Now()
	e.claimCount++
	e.lastClaimAt = now
	claim := ownerClaim{Epoch: e.epoch + 1, Address: e.Address, ClaimID: e.Generation + "-" + strconv.Itoa(e.claimCount)}
	e.Log.Info().Uint64("epoch", claim.Epoch).Str("owner", e.owner).Dur("suspected", now.Sub(e.ownerSuspectedAt)).
		Dur("store-age", e.storeAge(now)).Msg("claiming the ownership of the jobs")
	e.mutex.Unlock()
	value, err := json.Marshal(claim)
	if err != nil {
		panic("elector: cannot encode the claim: " + err.Error())
	}
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	err = e.Store.Append(callCtx, storekeeper.Batch{
		Epoch: claim.Epoch, Sequence: 1, Records: []storekeeper.Record{{Key: OwnerKey, Value: value}},
	})
	cancel()
	if errors.Is(err, storekeeper.ErrNotAppended) {
		e.Log.Warn().Err(err).Uint64("epoch", claim.Epoch).Msg("claim was not appended to the store")
		return
	}
	records, offset, loadErr := e.load(ctx)
	if err != nil && loadErr == nil && newestClaim(records) == claim {
		// The store may have executed the claim during the load. Until then it accepted records of the previous owner, which the pages
		// loaded before lack.
		e.Log.Info().AnErr("append", err).Uint64("epoch", claim.Epoch).Msg("claim without a response was stored; loading the records again")
		records, offset, loadErr = e.load(ctx)
	}
	if loadErr != nil {
		e.Log.Warn().AnErr("append", err).Err(loadErr).Uint64("epoch", claim.Epoch).Msg("failed to read the claim back from the store")
		return
	}
	e.becomeOwnerIfNewest(claim, records, offset)
}

// load returns the newest record of each key and the offset at which they end. It fails if the store doesn't return them within loadTimeout.
func (e *Elector) load(ctx context.Context) ([]storekeeper.Record, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return e.Store.Load(ctx)
}

// becomeOwnerIfNewest makes this entry the owner if its claim is the newest one among the records, which end at the offset.
func (e *Elector) becomeOwnerIfNewest(claim ownerClaim, records []storekeeper.Record, offset int64) {
	newest := newestClaim(records)
	e.mutex.Lock()
	e.lastStoreContactAt = e.Clock.Now()
	e.ownerSuspectedAt = time.Time{}
	// The highest known epoch may already be that of the claim, because another entry may have read the claim earlier and reported its
	// epoch to this entry.
	won := newest == claim && claim.Epoch >= e.epoch
	if won {
		e.epoch, e.owner, e.isOwner, e.storeOffset = claim.Epoch, e.Address, true, offset
	} else {
		e.Log.Info().Uint64("epoch", claim.Epoch).Uint64("newest", newest.Epoch).Str("owner", newest.Address).Msg("claim did not win the ownership")
		e.observeEpoch(newest.Epoch, newest.Address)
		if newest.Epoch > claim.Epoch {
			// The newest claim may be older than this process, so its owner is not given time to respond before this entry
			// claims again.
			e.epochObservedAt, e.lastClaimAt = time.Time{}, time.Time{}
		}
	}
	e.mutex.Unlock()
	if won {
		e.OnOwnershipGained(claim.Epoch, records)
	}
}

// followStoreLoop reads new records from the store while this entry is the owner, to detect the claims of other entries, until ctx is done.
func (e *Elector) followStoreLoop(ctx context.Context) {
	for ctx.Err() == nil {
		e.mutex.Lock()
		isOwner, offset := e.isOwner, e.storeOffset
		e.mutex.Unlock()
		if !isOwner {
			sleeper.Sleep(ctx, claimCheckInterval)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, followWait+followTimeoutMargin)
		records, next, err := e.Store.Follow(callCtx, offset, followWait)
		cancel()
		if errors.Is(err, storekeeper.ErrDeleted) {
			// The deleted records may have contained a claim, so the newest record of each key is loaded.
			records, next, err = e.load(ctx)
		}
		if err != nil {
			e.Log.Warn().Err(err).Msg("failed to read new records from the store")
			sleeper.Sleep(ctx, storeRetryPause)
			continue
		}
		newest := newestClaim(records)
		e.mutex.Lock()
		e.lastStoreContactAt, e.storeOffset = e.Clock.Now(), next
		e.observeEpoch(newest.Epoch, newest.Address)
		e.mutex.Unlock()
	}
}

// newestClaim returns the newest claim among the records, or a zero claim if there is none. It leaves out claims with an epoch out of range.
func newestClaim(records []storekeeper.Record) ownerClaim {
	var newest ownerClaim
	for _, r := range records {
		var c ownerClaim
		if r.Key == OwnerKey && json.Unmarshal(r.Value, &c) == nil && c.Epoch >= newest.Epoch && c.Epoch <= messenger.MaxEpoch {
			newest = c
		}
	}
	return newest
}
