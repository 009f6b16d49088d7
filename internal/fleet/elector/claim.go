package elector

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/sleeper"
	"bamboohook/internal/fleet/storekeeper"
)

const (
	// rankDelay is how long an entry delays its claim for each live entry that should claim before it. The delay makes it likely that
	// only one entry claims.
	rankDelay = 120 * time.Millisecond
	// outsiderDelay is how much longer an entry outside of the council delays its claim.
	outsiderDelay = 2 * time.Second
	// firstClaimDelay gives the entries time to discover each other before the first claim, apart from the time that congestion may take.
	firstClaimDelay = 250 * time.Millisecond
	// minClaimInterval is the minimum time between two claims of one entry. It doubles with each claim after which the election has not
	// settled, up to maxClaimIntervalDoublings times.
	minClaimInterval          = 250 * time.Millisecond
	maxClaimIntervalDoublings = 3
	// claimPatience is how long an entry waits while another one is claiming the ownership, apart from the time that congestion may take.
	claimPatience = 2 * time.Second
	// contactSettleTime is how long an entry that has reached the store again after an outage waits for others to do so and to tell it, apart from its
	// own congestion time: a read interval of the store, and a ping with its delay.
	contactSettleTime = 700 * time.Millisecond
	// pauseThreshold is the delay of a check from which on this process counts as paused.
	pauseThreshold = 300 * time.Millisecond
)

// claimLoop claims the ownership whenever this entry should do so, until ctx is done.
func (e *Elector) claimLoop(ctx context.Context) {
	for ctx.Err() == nil {
		e.detectPause()
		if e.shouldClaim() {
			e.claim(ctx)
			e.recordClaimEnd()
		}
		sleeper.Sleep(ctx, claimCheckInterval)
	}
}

// detectPause records a pause of this process since the last check. After a pause, other entries seem to have been silent.
func (e *Elector) detectPause() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.Clock.Now()
	if e.isCheckLate(now) {
		e.resumedAt, e.contactNeededAt = now, now
		e.Log.Warn().Dur("pause", now.Sub(e.lastCheckAt)).Msg("this process was paused")
	}
	e.lastCheckAt = now
}

// recordClaimEnd records the end of a claim, which may take longer than pauseThreshold without a pause.
func (e *Elector) recordClaimEnd() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.lastCheckAt = e.Clock.Now()
	if e.isOwner && e.lastCheckAt.Sub(e.ownerSince) > pauseThreshold {
		e.contactNeededAt = e.lastCheckAt
	}
}

// isCheckLate reports whether claimLoop has not run for so long that this process is or was paused. The caller holds the mutex.
func (e *Elector) isCheckLate(now time.Time) bool {
	return !e.lastCheckAt.IsZero() && now.Sub(e.lastCheckAt) > claimCheckInterval+pauseThreshold
}

// shouldClaim reports whether this entry should claim the ownership now: the owner has failed, and the entries that should claim earlier
// have had time to do so.
func (e *Elector) shouldClaim() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.Clock.Now()
	if e.isOwner || e.draining && e.canHandOver(now) || !e.registered || now.Sub(e.startedAt) < firstClaimDelay+e.CongestionTime ||
		now.Sub(e.lastClaimAt) < e.claimInterval() || e.storeAge(now) > maxStoreAge {
		return false
	}
	if e.ownerHealthy(now) {
		e.ownerSuspectedAt = time.Time{}
		if now.Sub(e.epochObservedAt) > settledDuration {
			e.unsettledClaims = 0
		}
		return false
	}
	if e.ownerSuspectedAt.IsZero() {
		e.ownerSuspectedAt = now
	}
	if e.awaitsContacts(now) {
		return false
	}
	suspected := now.Sub(e.ownerSuspectedAt)
	if suspected < claimPatience+e.CongestionTime && e.othersClaim(now) {
		return false
	}
	delay := time.Duration(e.rank(now)) * rankDelay
	if !e.inCouncil {
		delay += outsiderDelay
	}
	return suspected >= delay
}

// awaitsContacts reports whether this entry has reached the store again a short time ago after an outage, while a live owner, or a live entry that should
// claim before this one, has not told yet whether it has done so too. Which entry is the first after an outage is a matter of chance, and a thin one must
// not become the owner for that. The caller holds the mutex.
func (e *Elector) awaitsContacts(now time.Time) bool {
	if now.Sub(e.contactRegainedAt) >= contactSettleTime+e.CongestionTime {
		return false
	}
	for address, p := range e.peers {
		if !e.isLive(p, now) || p.lastPing.Draining || p.lastPing.StoreAge <= maxStoreAge {
			continue
		}
		if address == e.owner && p.holdsOwnership(e) || address != e.owner && p.lastPing.Weight > e.Weight {
			return true
		}
	}
	return false
}

// claimInterval returns the minimum time between two claims of this entry. The caller holds the mutex.
func (e *Elector) claimInterval() time.Duration {
	return minClaimInterval << min(max(e.unsettledClaims-1, 0), maxClaimIntervalDoublings)
}

// claim appends a claim of the ownership to the store and reads the newest claim back. Only the claim that was read back decides who is the
// owner, because the store treats a second claim of an epoch as a repeat of the first one, and because the response to an append may be
// lost. The records of an owner are only complete if the store has executed the claim before they are read.
func (e *Elector) claim(ctx context.Context) {
	e.mutex.Lock()
	now := e.Clock.Now()
	e.claimCount++
	e.unsettledClaims++
	e.lastClaimAt = now
	claim := ownerClaim{Epoch: e.epoch + 1, Address: e.Address, ClaimID: e.Generation + "-" + strconv.Itoa(e.claimCount)}
	e.claiming = claim.Epoch
	e.Log.Info().Uint64("epoch", claim.Epoch).Str("owner", e.owner).Dur("suspected", now.Sub(e.ownerSuspectedAt)).
		Dur("store-age", e.storeAge(now)).Bool("council", e.inCouncil).Int("known", len(e.peers)).Int("unsettled-claims", e.unsettledClaims-1).
		Msg("claiming the ownership of the jobs")
	e.requestProbes()
	ctx, e.abandonClaim = context.WithCancel(ctx)
	e.mutex.Unlock()
	defer func() {
		e.mutex.Lock()
		e.claiming = 0
		e.abandonClaim()
		e.mutex.Unlock()
	}()
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
	loadedAt := e.Clock.Now()
	records, offset, loadErr := e.load(ctx)
	if err != nil && loadErr == nil && newestClaim(records) == claim {
		// The store may have executed the claim during the load. Until then it accepted records of the previous owner, which the pages
		// loaded before lack.
		e.Log.Info().AnErr("append", err).Uint64("epoch", claim.Epoch).Msg("claim without a response was stored; loading the records again")
		loadedAt = e.Clock.Now()
		records, offset, loadErr = e.load(ctx)
	}
	if loadErr != nil {
		e.Log.Warn().AnErr("append", err).Err(loadErr).Uint64("epoch", claim.Epoch).Msg("failed to read the claim back from the store")
		return
	}
	e.becomeOwnerIfNewest(claim, records, offset, loadedAt)
}

// load returns the newest record of each key and the offset at which they end. It fails if the store doesn't return them in time.
func (e *Elector) load(ctx context.Context) ([]storekeeper.Record, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout+2*e.CongestionTime)
	defer cancel()
	return e.Store.Load(ctx)
}

// becomeOwnerIfNewest makes this entry the owner if its claim is the newest one among the records, which end at the offset and were requested at
// loadedAt.
func (e *Elector) becomeOwnerIfNewest(claim ownerClaim, records []storekeeper.Record, offset int64, loadedAt time.Time) {
	newest := newestClaim(records)
	e.mutex.Lock()
	e.recordStoreContact()
	e.ownerSuspectedAt = time.Time{}
	// The highest known epoch may already be that of the claim, because another entry may have read the claim earlier and reported its
	// epoch to this entry.
	won := newest == claim && claim.Epoch >= e.epoch
	if won {
		e.epoch, e.owner, e.isOwner, e.storeOffset = claim.Epoch, e.Address, true, offset
		e.ownerSince, e.epochObservedAt, e.ownerContactAt = e.lastStoreContactAt, e.lastStoreContactAt, loadedAt
		e.contactNeededAt = e.ownerSince
		e.requestProbes()
	} else {
		e.Log.Info().Uint64("epoch", claim.Epoch).Uint64("newest", newest.Epoch).Str("owner", newest.Address).Msg("claim did not win the ownership")
		e.observeEpoch(newest.Epoch, newest.Address)
		if newest.Epoch > claim.Epoch {
			// The newest claim may be older than this process, so its owner is not given time to respond before this entry
			// claims again.
			e.epochObservedAt, e.lastClaimAt = time.Time{}, time.Time{}
			e.unsettledClaims--
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
		isOwner, offset, wait := e.isOwner, e.storeOffset, followWait
		if e.contactNeededAt.After(e.ownerContactAt) {
			wait = 0
		}
		e.mutex.Unlock()
		if !isOwner {
			sleeper.Sleep(ctx, claimCheckInterval)
			continue
		}
		sentAt := e.Clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, followWait+followTimeoutMargin+e.CongestionTime)
		records, next, err := e.Store.Follow(callCtx, offset, wait)
		cancel()
		if errors.Is(err, storekeeper.ErrDeleted) {
			// The deleted records may have contained a claim, so the newest record of each key is loaded.
			sentAt = e.Clock.Now()
			records, next, err = e.load(ctx)
		}
		if err != nil {
			e.Log.Warn().Err(err).Msg("failed to read new records from the store")
			e.keepPartOf(records, offset, next)
			sleeper.Sleep(ctx, storeRetryPause)
			continue
		}
		newest := newestClaim(records)
		e.mutex.Lock()
		e.recordStoreContact()
		e.ownerContactAt, e.storeOffset = latest(e.ownerContactAt, sentAt), next
		e.observeEpoch(newest.Epoch, newest.Address)
		e.mutex.Unlock()
	}
}

// keepPartOf takes records into account that Follow returned from the offset on before it failed, so that the next read is shorter. They do not show that
// there is no later claim.
func (e *Elector) keepPartOf(records []storekeeper.Record, offset, next int64) {
	newest := newestClaim(records)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if next > offset && e.storeOffset == offset {
		e.storeOffset = next
		e.observeEpoch(newest.Epoch, newest.Address)
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
