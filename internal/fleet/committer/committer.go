// Package committer appends the owner's records in groups, one append at a time.
package committer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bamboohook/internal/fleet/meter"
	"bamboohook/internal/fleet/sleeper"
	"bamboohook/internal/fleet/storekeeper"
)

const (
	// attemptTimeout covers a store that is many times slower than usual.
	attemptTimeout = time.Second
	// troubleAfter is how long an attempt may take before the store counts as troubled.
	slowAppendThreshold = 500 * time.Millisecond
	// failureMemory is how long a failure counts; after it the next entry tries the store again.
	degradedPeriod = 300 * time.Millisecond
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	// maxBatchBytes keeps a batch well below the store's limit for one request, in bytes.
	maxBatchBytes = 1 << 20
)

type (
	// Store takes batches.
	Store interface {
		// Append fails with storekeeper.ErrNotDone or storekeeper.ErrFenced if that is certain.
		Append(ctx context.Context, batch storekeeper.Batch) error
	}

	// Clock tells the time.
	Clock interface {
		Now() time.Time
	}

	// Committer queues entries for the store. Set the exported fields before Run. Concurrent use is safe.
	Committer struct {
		Store Store
		Clock Clock
		Log   zerolog.Logger
		Meter *meter.Meter
		// Collect returns an entry with what has changed since its last call, or false; nil collects nothing.
		Collect func() (Write, bool)
		// Fenced is called once when another writer took over.
		OnFenced func(epoch uint64)

		mutex          sync.Mutex
		wake           chan struct{}
		queue          []Write
		epoch          uint64
		sequence       uint64
		attemptStarted time.Time
		lastFailure    time.Time
		lastSuccess    time.Time
	}

	// Entry is a part of a batch. Done is called with nil once it is stored. A Refusable entry fails with
	// storekeeper.ErrNotDone as soon as the store refuses it, others are tried until the epoch ends, when all fail with
	// storekeeper.ErrFenced.
	Write struct {
		Records  []storekeeper.Record
		FailFast bool
		Done     func(error)
	}
)

// Begin starts an epoch, whose first sequence has been used by the claim.
func (c *Committer) BeginEpoch(epoch, sequence uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.epoch, c.sequence, c.lastFailure = epoch, sequence, time.Time{}
}

// End drops what is queued in the epoch; it fails with storekeeper.ErrFenced. An epoch that has ended already is ignored.
func (c *Committer) EndEpoch(epoch uint64) {
	c.mutex.Lock()
	if c.epoch != epoch {
		c.mutex.Unlock()
		return
	}
	queue := c.queue
	c.queue, c.epoch = nil, 0
	c.mutex.Unlock()
	for _, w := range queue {
		w.Done(storekeeper.ErrFenced)
	}
}

// Append queues an entry.
func (c *Committer) Append(w Write) {
	c.mutex.Lock()
	if c.epoch == 0 {
		c.mutex.Unlock()
		w.Done(storekeeper.ErrFenced)
		return
	}
	c.queue = append(c.queue, w)
	c.mutex.Unlock()
	c.Notify()
}

// Kick makes the committer collect.
func (c *Committer) Notify() {
	select {
	case c.wakeChannel() <- struct{}{}:
	default:
	}
}

// Troubled reports whether the store does not answer, so that an entry is not likely to be stored soon.
func (c *Committer) Degraded() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.Clock.Now()
	if !c.lastFailure.IsZero() && now.Sub(c.lastFailure) < degradedPeriod {
		return true
	}
	return !c.attemptStarted.IsZero() && now.Sub(c.attemptStarted) > slowAppendThreshold
}

// Answered returns when the store last accepted an append of the epoch.
func (c *Committer) LastSuccess() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lastSuccess
}

// Run appends until ctx ends.
func (c *Committer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wakeChannel():
		}
		for ctx.Err() == nil {
			batch, writes := c.nextBatch()
			if len(writes) == 0 {
				break
			}
			c.commit(ctx, batch, writes)
		}
	}
}

func (c *Committer) wakeChannel() chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.wake == nil {
		c.wake = make(chan struct{}, 1)
	}
	return c.wake
}

// next takes entries up to the size of a batch.
func (c *Committer) nextBatch() (storekeeper.Batch, []Write) {
	var collected []Write
	if c.Collect != nil {
		if w, ok := c.Collect(); ok {
			collected = append(collected, w)
		}
	}
	if !c.enqueue(collected) {
		completeWrites(collected, storekeeper.ErrFenced)
		return storekeeper.Batch{}, nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	batch := storekeeper.Batch{Epoch: c.epoch, Sequence: c.sequence + 1}
	count, batchBytes := 0, 0
	for _, w := range c.queue {
		for _, r := range w.Records {
			batchBytes += len(r.Key) + len(r.Value)
		}
		if count > 0 && batchBytes > maxBatchBytes {
			break
		}
		batch.Records = append(batch.Records, w.Records...)
		count++
	}
	writes := c.queue[:count:count]
	c.queue = c.queue[count:]
	return batch, writes
}

// queued adds entries, and reports false if no epoch is under way.
func (c *Committer) enqueue(writes []Write) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.epoch == 0 {
		return false
	}
	c.queue = append(c.queue, writes...)
	return true
}

// commit tries the batch until it is stored, refused or fenced.
func (c *Committer) commit(ctx context.Context, batch storekeeper.Batch, writes []Write) {
	certain := true
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		c.recordAttempt()
		// What waits behind an append that takes too long can still be refused in truth.
		timer := time.AfterFunc(slowAppendThreshold, c.rejectQueued)
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		startedAt := c.Clock.Now()
		err := c.Store.Append(attemptCtx, batch)
		cancel()
		c.Meter.Observe("append", c.Clock.Now().Sub(startedAt))
		timer.Stop()
		switch {
		case err == nil:
			c.recordSuccess(batch)
			completeWrites(writes, nil)
			return
		case errors.Is(err, storekeeper.ErrFenced):
			c.handleFenced(batch, err)
			completeWrites(writes, storekeeper.ErrFenced)
			return
		case errors.Is(err, storekeeper.ErrNotAppended):
			if certain {
				writes = c.rejectFailFast(writes)
				batch.Records = nil
				for _, w := range writes {
					batch.Records = append(batch.Records, w.Records...)
				}
				if len(writes) == 0 {
					c.recordFailure()
					return
				}
			}
		default:
			certain = false
		}
		c.recordFailure()
		c.Log.Warn().Err(err).Uint64("epoch", batch.Epoch).Uint64("sequence", batch.Sequence).Bool("sure", certain).
			Msg("append failed")
		if !sleeper.Sleep(ctx, backoff) || !c.isCurrentEpoch(batch.Epoch) {
			completeWrites(writes, storekeeper.ErrFenced)
			return
		}
	}
}

// refuse fails the entries that may be refused and returns the others.
func (*Committer) rejectFailFast(writes []Write) []Write {
	var kept []Write
	for _, w := range writes {
		if w.FailFast {
			w.Done(storekeeper.ErrNotAppended)
			continue
		}
		kept = append(kept, w)
	}
	return kept
}

func (c *Committer) recordSuccess(batch storekeeper.Batch) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.epoch == batch.Epoch {
		c.sequence = batch.Sequence
	}
	c.attemptStarted, c.lastFailure, c.lastSuccess = time.Time{}, time.Time{}, c.Clock.Now()
}

func (c *Committer) recordAttempt() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.attemptStarted = c.Clock.Now()
}

// fail notes a failed attempt and refuses what was queued meanwhile.
func (c *Committer) recordFailure() {
	c.mutex.Lock()
	c.attemptStarted, c.lastFailure = time.Time{}, c.Clock.Now()
	c.mutex.Unlock()
	c.rejectQueued()
}

// refuseQueued refuses queued entries, none of which has been sent.
func (c *Committer) rejectQueued() {
	c.mutex.Lock()
	queue := c.queue
	c.queue = nil
	c.mutex.Unlock()
	kept := c.rejectFailFast(queue)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.queue = append(kept, c.queue...)
}

func (c *Committer) isCurrentEpoch(epoch uint64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.epoch == epoch
}

func (c *Committer) handleFenced(batch storekeeper.Batch, err error) {
	c.Log.Warn().Err(err).Uint64("epoch", batch.Epoch).Msg("append was fenced by another owner")
	if c.OnFenced != nil {
		c.OnFenced(batch.Epoch)
	}
}

func completeWrites(writes []Write, err error) {
	for _, w := range writes {
		w.Done(err)
	}
}
