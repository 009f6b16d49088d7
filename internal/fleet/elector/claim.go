package elector

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"bamboohook/internal/fleet/sleeper"
	"bamboohook/internal/fleet/storekeeper"
)

func (e *Elector) claimLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if e.shouldClaim() {
			e.claim(ctx)
		}
		sleeper.Sleep(ctx, tickInterval)
	}
}

// shouldClaim reports whether this entry should claim the ownership now.
func (e *Elector) shouldClaim() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.Clock.Now()
	if e.isOwner || e.draining && e.canHandOver(now) || now.Sub(e.started) < startDelay || now.Sub(e.lastClaim) < claimInterval || e.storeAge(now) > maxStoreAge {
		return false
	}
	if e.ownerHealthy(now) {
		e.ownerSuspected = time.Time{}
		return false
	}
	if e.ownerSuspected.IsZero() {
		e.ownerSuspected = now
	}
	return now.Sub(e.ownerSuspected) >= time.Duration(e.rank(now))*rankDelay
}

// canHandOver reports whether another entry that isn't draining can own the jobs.
func (e *Elector) canHandOver(now time.Time) bool {
	for _, p := range e.peers {
		if p.isLive(now) && !p.lastPing.Draining && p.lastPing.StoreAge < maxStoreAge {
			return true
		}
	}
	return false
}

// ownerHealthy reports whether the owner is reachable, directly or from another entry, and in contact with the store. It is called only
// while this entry is in contact with the store itself.
func (e *Elector) ownerHealthy(now time.Time) bool {
	if e.owner == e.Address {
		// The ownership was claimed before this process was restarted.
		return false
	}
	p, ok := e.peers[e.owner]
	if now.Sub(e.epochObserved) < livenessTimeout && (!ok || p.refusedConnections < maxRefusedConnections) {
		return true
	}
	if !ok {
		return false
	}
	if p.refusedConnections >= maxRefusedConnections || !p.lastHeard.IsZero() && (!p.actsAsOwner(e) || p.lastPing.Draining && !e.draining) {
		return false
	}
	if p.isLive(now) {
		return p.lastPing.StoreAge < maxStoreAge
	}
	for address, other := range e.peers {
		if address != e.owner && other.isLive(now) && e.hearsOwner(other, now) {
			return true
		}
	}
	return false
}

// rank returns the number of live entries that should claim before this one.
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

// claim appends a claim to the store and reads the owner back. Only the record that was read decides, because the store treats a second
// claim of an epoch as a repeat of the first one, and because a response may be lost.
func (e *Elector) claim(ctx context.Context) {
	e.mutex.Lock()
	now := e.Clock.Now()
	e.claimCount++
	e.lastClaim = now
	record := ownerRecord{Epoch: e.epoch + 1, Address: e.Address, Nonce: e.Nonce + "-" + strconv.Itoa(e.claimCount)}
	e.Log.Info().Uint64("epoch", record.Epoch).Str("owner", e.owner).Dur("suspected", now.Sub(e.ownerSuspected)).
		Dur("store-age", e.storeAge(now)).Msg("claiming the ownership of the jobs")
	e.mutex.Unlock()
	value, err := json.Marshal(record)
	if err != nil {
		panic("elector: cannot encode the claim: " + err.Error())
	}
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	err = e.Store.Append(callCtx, storekeeper.Batch{
		Epoch: record.Epoch, Sequence: 1, Records: []storekeeper.Record{{Key: OwnerKey, Value: value}},
	})
	cancel()
	if errors.Is(err, storekeeper.ErrNotAppended) {
		e.Log.Warn().Err(err).Uint64("epoch", record.Epoch).Msg("claim rejected by the store")
		return
	}
	callCtx, cancel = context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	records, offset, loadErr := e.Store.Load(callCtx)
	if loadErr != nil {
		e.Log.Warn().AnErr("append", err).Err(loadErr).Uint64("epoch", record.Epoch).Msg("failed to read the claim back from the store")
		return
	}
	e.becomeOwner(record, records, offset)
}

// becomeOwner makes this entry the owner if its claim is the newest one among the records.
func (e *Elector) becomeOwner(claimed ownerRecord, records []storekeeper.Record, offset int64) {
	current := newestOwner(records)
	e.mutex.Lock()
	e.lastStoreContact = e.Clock.Now()
	e.ownerSuspected = time.Time{}
	// Another entry may have read the claim earlier and told this entry of its epoch.
	won := current == claimed && claimed.Epoch >= e.epoch
	if won {
		e.epoch, e.owner, e.isOwner, e.offset = claimed.Epoch, e.Address, true, offset
	} else {
		e.Log.Info().Uint64("epoch", claimed.Epoch).Uint64("newest", current.Epoch).Str("owner", current.Address).Msg("claim lost to another entry")
		e.observeEpoch(current.Epoch, current.Address)
		if current.Epoch > claimed.Epoch {
			// The record may be older than this process, so its owner is not given time to respond before the next claim.
			e.epochObserved, e.lastClaim = time.Time{}, time.Time{}
		}
	}
	e.mutex.Unlock()
	if won {
		e.OnOwnershipGained(claimed.Epoch, records)
	}
}

// followStoreLoop reads the claims of other entries from the store while this entry is the owner.
func (e *Elector) followStoreLoop(ctx context.Context) {
	for ctx.Err() == nil {
		e.mutex.Lock()
		owning, offset := e.isOwner, e.offset
		e.mutex.Unlock()
		if !owning {
			sleeper.Sleep(ctx, tickInterval)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, followWait+followTimeoutMargin)
		records, next, err := e.Store.Follow(callCtx, offset, followWait)
		cancel()
		if errors.Is(err, storekeeper.ErrExpired) {
			// The deleted records may have contained a claim, so the newest record of each key is loaded.
			callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
			records, next, err = e.Store.Load(callCtx)
			cancel()
		}
		if err != nil {
			e.Log.Warn().Err(err).Msg("failed to follow the store")
			sleeper.Sleep(ctx, retryPause)
			continue
		}
		current := newestOwner(records)
		e.mutex.Lock()
		e.lastStoreContact, e.offset = e.Clock.Now(), next
		e.observeEpoch(current.Epoch, current.Address)
		e.mutex.Unlock()
	}
}

// newestOwner returns the newest claim among the records, or a zero record if there is none.
func newestOwner(records []storekeeper.Record) ownerRecord {
	var newest ownerRecord
	for _, r := range records {
		var o ownerRecord
		if r.Key == OwnerKey && json.Unmarshal(r.Value, &o) == nil && o.Epoch >= newest.Epoch {
			newest = o
		}
	}
	return newest
}
