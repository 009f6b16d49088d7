// Package committer appends the owner's records to the store in batches, one at a time.
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
	// attemptTimeout is long enough for a store that is many times slower than usual.
	attemptTimeout = time.Second
	// slowAppendThreshold is how long an attempt may take before the store counts as degraded.
	slowAppendThreshold = 500 * time.Millisecond
	// degradedPeriod is how long the store counts as degraded after a failed attempt.
	degradedPeriod = 300 * time.Millisecond
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	// maxBatchBytes is well below the store's limit for the size of one request.
	maxBatchBytes = 1 << 20
)

type (
	// Store is a client of the platform's store.
	Store interface {
		// Append returns storekeeper.ErrNotAppended or storekeeper.ErrFenced only if the batch is certainly not appended.
		Append(ctx context.Context, batch storekeeper.Batch) error
	}

	// Clock provides the current time.
	Clock interface {
		Now() time.Time
	}

	// Committer queues writes and appends them in batches. Set the exported fields before calling Run. Committer is safe for concurrent
	// use.
	Committer struct {
		Store Store
		Clock Clock
		Log   zerolog.Logger
		Meter *meter.Meter
		// Collect returns a write with the changes since its previous call, or false if there are none. It may be nil.
		Collect func() (Write, bool)
		// OnFenced is called when the store has rejected an append because a writer with a higher epoch exists.
		OnFenced func(epoch uint64)

		mutex            sync.Mutex
		wake             chan struct{}
		queue            []Write
		epoch            uint64
		sequence         uint64
		attemptStartedAt time.Time
		lastFailureAt    time.Time
		lastSuccessAt    time.Time
	}

	// Write is a group of records that goes into one batch. Done is called with nil once the records are stored. A FailFast write fails
	// with storekeeper.ErrNotAppended as soon as the store has rejected it, or if it is queued while an append fails or is slow. Other
	// writes are retried until the epoch ends. At the end of an epoch all its pending writes fail with storekeeper.ErrFenced.
	Write struct {
		Records  []storekeeper.Record
		FailFast bool
		Done     func(error)
	}
)

// BeginEpoch starts an epoch. The sequence number is that of the batch with the claim of the ownership. The first batch of the committer
// gets the next number.
func (c *Committer) BeginEpoch(epoch, sequence uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.epoch, c.sequence, c.lastFailureAt = epoch, sequence, time.Time{}
}

// EndEpoch ends an epoch and fails its queued writes with storekeeper.ErrFenced. It does nothing if the epoch has ended already.
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

// Append queues a write.
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

// Notify makes the committer call Collect.
func (c *Committer) Notify() {
	select {
	case c.wakeChannel() <- struct{}{}:
	default:
	}
}

// Degraded reports whether the store fails or is slow, so that a write is unlikely to be stored soon. It becomes false some time after a
// failed attempt, so that a new write tries the store again.
func (c *Committer) Degraded() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.Clock.Now()
	if !c.lastFailureAt.IsZero() && now.Sub(c.lastFailureAt) < degradedPeriod {
		return true
	}
	return !c.attemptStartedAt.IsZero() && now.Sub(c.attemptStartedAt) > slowAppendThreshold
}

// LastSuccess returns when the store last accepted an append.
func (c *Committer) LastSuccess() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lastSuccessAt
}

// Run appends queued writes until ctx is done.
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

// nextBatch removes writes from the queue, up to the maximum size of a batch.
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

// enqueue adds writes to the queue. It returns false outside of an epoch.
func (c *Committer) enqueue(writes []Write) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.epoch == 0 {
		return false
	}
	c.queue = append(c.queue, writes...)
	return true
}

// commit sends the batch to the store until it is stored, all of its writes have failed or the epoch ends.
func (c *Committer) commit(ctx context.Context, batch storekeeper.Batch, writes []Write) {
	noEarlierEffect := true
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		c.recordAttempt()
		// Writes that were queued during a slow append have not been sent, so FailFast writes among them can fail with
		// ErrNotAppended.
		timer := time.AfterFunc(slowAppendThreshold, c.failQueuedFailFastWrites)
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
			if noEarlierEffect {
				writes = c.failFailFastWrites(writes)
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
			noEarlierEffect = false
		}
		c.recordFailure()
		c.Log.Warn().Err(err).Uint64("epoch", batch.Epoch).Uint64("sequence", batch.Sequence).Bool("sure", noEarlierEffect).
			Msg("append to the store failed")
		if !sleeper.Sleep(ctx, backoff) || !c.isCurrentEpoch(batch.Epoch) {
			completeWrites(writes, storekeeper.ErrFenced)
			return
		}
	}
}

// failFailFastWrites fails the FailFast writes and returns the others.
func (*Committer) failFailFastWrites(writes []Write) []Write {
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
	c.attemptStartedAt, c.lastFailureAt, c.lastSuccessAt = time.Time{}, time.Time{}, c.Clock.Now()
}

func (c *Committer) recordAttempt() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.attemptStartedAt = c.Clock.Now()
}

// recordFailure records a failed attempt and fails the FailFast writes that were queued during it.
func (c *Committer) recordFailure() {
	c.mutex.Lock()
	c.attemptStartedAt, c.lastFailureAt = time.Time{}, c.Clock.Now()
	c.mutex.Unlock()
	c.failQueuedFailFastWrites()
}

// failQueuedFailFastWrites fails the queued FailFast writes, none of which has been sent.
func (c *Committer) failQueuedFailFastWrites() {
	c.mutex.Lock()
	queue := c.queue
	c.queue = nil
	c.mutex.Unlock()
	kept := c.failFailFastWrites(queue)
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
	c.Log.Warn().Err(err).Uint64("epoch", batch.Epoch).Msg("append rejected: another entry owns the jobs")
	if c.OnFenced != nil {
		c.OnFenced(batch.Epoch)
	}
}

func completeWrites(writes []Write, err error) {
	for _, w := range writes {
		w.Done(err)
	}
}
