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

func (e *Elector) decideLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if e.due() {
			e.claim(ctx)
		}
		sleeper.Sleep(ctx, tickInterval)
	}
}

// due reports whether it is this entry's turn to claim.
func (e *Elector) due() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.Clock.Now()
	if e.owning || e.draining && e.relieved(now) || now.Sub(e.started) < startDelay || now.Sub(e.claimed) < claimPause || e.storeAge(now) > storeFresh {
		return false
	}
	if e.ownerWorks(now) {
		e.suspected = time.Time{}
		return false
	}
	if e.suspected.IsZero() {
		e.suspected = now
	}
	return now.Sub(e.suspected) >= time.Duration(e.rank(now))*rankDelay
}

// relieved reports whether an entry that is not draining can own the jobs.
func (e *Elector) relieved(now time.Time) bool {
	for _, p := range e.peers {
		if p.live(now) && !p.ping.Draining && p.ping.StoreAge < storeFresh {
			return true
		}
	}
	return false
}

// ownerWorks reports whether the owner is reachable, here or from another entry, and reaches the store if that answers anyone.
func (e *Elector) ownerWorks(now time.Time) bool {
	if e.owner == e.Address {
		// The record is of an earlier life of this process.
		return false
	}
	p, ok := e.peers[e.owner]
	if now.Sub(e.observed) < liveFor && (!ok || p.refused < refusals) {
		return true
	}
	if !ok {
		return false
	}
	if p.refused >= refusals || !p.heard.IsZero() && (!p.acts(e) || p.ping.Draining && !e.draining) {
		return false
	}
	if p.live(now) {
		return p.ping.StoreAge < storeFresh
	}
	for address, other := range e.peers {
		if address != e.owner && other.live(now) && e.hears(other, now) {
			return true
		}
	}
	return false
}

// rank returns how many live entries should claim before this one.
func (e *Elector) rank(now time.Time) int {
	rank := 0
	for address, p := range e.peers {
		if address == e.owner || !p.live(now) || p.ping.Draining || p.ping.StoreAge > storeFresh {
			continue
		}
		if cmp.Or(cmp.Compare(p.ping.Weight, e.Weight), cmp.Compare(e.Address, address)) > 0 {
			rank++
		}
	}
	return rank
}

// claim appends a claim and reads back who owns the jobs. Only the record that was read decides, because two claims of one epoch
// count as one batch, and an answer may be lost.
func (e *Elector) claim(ctx context.Context) {
	e.mutex.Lock()
	now := e.Clock.Now()
	e.claims++
	e.claimed = now
	own := ownerRecord{Epoch: e.epoch + 1, Address: e.Address, Nonce: e.Nonce + "-" + strconv.Itoa(e.claims)}
	e.Log.Info().Uint64("epoch", own.Epoch).Str("owner", e.owner).Dur("suspected", now.Sub(e.suspected)).
		Dur("store-age", e.storeAge(now)).Msg("claiming")
	e.mutex.Unlock()
	value, err := json.Marshal(own)
	if err != nil {
		panic("elector: cannot encode a claim: " + err.Error())
	}
	call, cancel := context.WithTimeout(ctx, claimTimeout)
	err = e.Store.Append(call, storekeeper.Batch{
		Epoch: own.Epoch, Sequence: 1, Records: []storekeeper.Record{{Key: OwnerKey, Value: value}},
	})
	cancel()
	if errors.Is(err, storekeeper.ErrNotAppended) {
		e.Log.Warn().Err(err).Uint64("epoch", own.Epoch).Msg("claim refused by the store")
		return
	}
	call, cancel = context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	records, offset, loadErr := e.Store.Load(call)
	if loadErr != nil {
		e.Log.Warn().AnErr("append", err).Err(loadErr).Uint64("epoch", own.Epoch).Msg("claim cannot be read back")
		return
	}
	e.take(own, records, offset)
}

// take begins ownership if the records show the claim as the newest.
func (e *Elector) take(own ownerRecord, records []storekeeper.Record, offset int64) {
	current := ownerOf(records)
	e.mutex.Lock()
	e.storeAt = e.Clock.Now()
	e.suspected = time.Time{}
	// The epoch may be known from others already, who have read the claim before.
	won := current == own && own.Epoch >= e.epoch
	if won {
		e.epoch, e.owner, e.owning, e.offset = own.Epoch, e.Address, true, offset
	} else {
		e.Log.Info().Uint64("epoch", own.Epoch).Uint64("newest", current.Epoch).Str("owner", current.Address).Msg("claim lost")
		e.observe(current.Epoch, current.Address)
		if current.Epoch > own.Epoch {
			// The record may be older than this process, so its owner gets no time to answer.
			e.observed, e.claimed = time.Time{}, time.Time{}
		}
	}
	e.mutex.Unlock()
	if won {
		e.OnOwnershipGained(own.Epoch, records)
	}
}

// followLoop watches for claims of others while this entry is the owner.
func (e *Elector) followLoop(ctx context.Context) {
	for ctx.Err() == nil {
		e.mutex.Lock()
		owning, offset := e.owning, e.offset
		e.mutex.Unlock()
		if !owning {
			sleeper.Sleep(ctx, tickInterval)
			continue
		}
		call, cancel := context.WithTimeout(ctx, followWait+followMargin)
		records, next, err := e.Store.Follow(call, offset, followWait)
		cancel()
		if errors.Is(err, storekeeper.ErrExpired) {
			// What was deleted may hold a claim, so the newest record is read.
			call, cancel := context.WithTimeout(ctx, loadTimeout)
			records, next, err = e.Store.Load(call)
			cancel()
		}
		if err != nil {
			e.Log.Warn().Err(err).Msg("cannot follow the store")
			sleeper.Sleep(ctx, retryPause)
			continue
		}
		current := ownerOf(records)
		e.mutex.Lock()
		e.storeAt, e.offset = e.Clock.Now(), next
		e.observe(current.Epoch, current.Address)
		e.mutex.Unlock()
	}
}

// ownerOf returns the newest claim among the records, or a zero one.
func ownerOf(records []storekeeper.Record) ownerRecord {
	var newest ownerRecord
	for _, r := range records {
		var o ownerRecord
		if r.Key == OwnerKey && json.Unmarshal(r.Value, &o) == nil && o.Epoch >= newest.Epoch {
			newest = o
		}
	}
	return newest
}
