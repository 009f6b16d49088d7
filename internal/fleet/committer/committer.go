// Package committer appends the owner's records to the store in batches. It sends one batch at a time.
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
	// attemptTimeout bounds one append. It is long enough for a store that is many times slower than usual.
	attemptTimeout = time.Second
	// slowAppendThreshold is how long an append may take before the store counts as degraded.
	slowAppendThreshold = 500 * time.Millisecond
	// degradedPeriod is how long the store counts as degraded after a failed append.
	degradedPeriod = 300 * time.Millisecond
	// initialBackoff is the time until a failed append is repeated. It doubles with each repeat, up to maxBackoff.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	// defaultMaxBatchBytes is the maximum size of a batch of several writes if none is set.
	defaultMaxBatchBytes = 1 << 20
	// recordOverhead is the number of bytes that the request with a batch contains for each record besides its key and its value.
	recordOverhead = 5
)

type (
	// Store is a client of the platform's store.
	Store interface {
		// Append returns storekeeper.ErrNotAppended, storekeeper.ErrRejected or storekeeper.ErrFenced only if the batch was not appended and
		// never will be. After ErrRejected, appending the same batch again can't succeed.
		Append(ctx context.Context, batch storekeeper.Batch) error
	}

	// Clock provides the current time.
	Clock interface {
		Now() time.Time
	}

	// Committer queues the owner's writes and appends them to the store in batches. It accepts writes only during an epoch, the time in
	// which this entry is the owner. Set the exported fields before calling Run. Committer is safe for concurrent use.
	Committer struct {
		Store Store
		Clock Clock
		Log   zerolog.Logger
		Meter *meter.Meter
		// Collect returns writes with changes of the owner's state since the previous call. It is called again until it returns none. It may be
		// nil.
		Collect func() []Write
		// MaxBatchBytes is the maximum size of a batch of several writes. It must be below the store's limit for the size of one request. 0 means
		// 1 MiB.
		MaxBatchBytes int
		// OnFenced is called with the epoch of an append that the store has rejected because a writer with a higher epoch exists.
		// It may be nil.
		OnFenced func(epoch uint64)
		// OnAppended is called with the epoch of an append that the store has accepted, and the time when it was sent. It may be nil.
		OnAppended func(epoch uint64, sentAt time.Time)

		mutex sync.Mutex
		// wake is a channel on which Notify wakes Run. queue contains the writes that are not part of a batch yet.
		wake  chan struct{}
		queue []Write
		// epoch is the current epoch, or 0 while this entry is not the owner. sequence is the number of the last batch stored in
		// it.
		epoch    uint64
		sequence uint64
		// attemptStartedAt is when the append in progress started. It is zero if there is none.
		attemptStartedAt time.Time
		// lastFailureAt is when an append last failed. It is zero if the last append succeeded or if the epoch has just begun.
		lastFailureAt time.Time
		lastSuccessAt time.Time
	}

	// Write is a group of records that goes into one batch. Done is called with nil once the records are stored. A FailFast write fails
	// with storekeeper.ErrNotAppended when the store has certainly not appended it, or if it is still queued while an append fails or
	// is slow. Other writes are retried until the epoch ends. A write that the store rejects for good fails by itself with
	// storekeeper.ErrRejected, and does not delay the others in its batch. At the end of an epoch all its pending writes fail: with
	// storekeeper.ErrUnknown if the store may have appended them, and with storekeeper.ErrFenced if it has not and never will.
	Write struct {
		Records  []storekeeper.Record
		FailFast bool
		Done     func(error)
	}
)

// BeginEpoch starts an epoch. sequence is the number of the batch in which this entry has claimed the ownership of the jobs, which package
// elector appends. The first batch of the committer gets the next number.
func (c *Committer) BeginEpoch(epoch, sequence uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.epoch, c.sequence, c.lastFailureAt = epoch, sequence, time.Time{}
}

// EndEpoch ends an epoch and fails its queued writes with storekeeper.ErrFenced. It does nothing if the epoch is not the current one.
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

// Append queues a write. Outside of an epoch the write fails with storekeeper.ErrFenced.
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

// Notify makes Run call Collect and append the queued writes.
func (c *Committer) Notify() {
	select {
	case c.wakeChannel() <- struct{}{}:
	default:
	}
}

// Degraded reports whether the store fails or is slow, so that a write is unlikely to be stored soon. It becomes false some time after a
// failed append, so that a new write tries the store again.
func (c *Committer) Degraded() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.Clock.Now()
	if !c.lastFailureAt.IsZero() && now.Sub(c.lastFailureAt) < degradedPeriod {
		return true
	}
	return !c.attemptStartedAt.IsZero() && now.Sub(c.attemptStartedAt) > slowAppendThreshold
}

// LastSuccess returns when the store last accepted an append, or the zero time if it never has.
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

// wakeChannel returns the channel that wakes Run. It creates the channel on first use.
func (c *Committer) wakeChannel() chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.wake == nil {
		c.wake = make(chan struct{}, 1)
	}
	return c.wake
}

// nextBatch calls Collect and queues its write. It then removes writes from the queue, up to the maximum size of a batch, and returns them
// with their batch. It returns no writes if the queue is empty or outside of an epoch.
func (c *Committer) nextBatch() (storekeeper.Batch, []Write) {
	var collected []Write
	if c.Collect != nil {
		collected = c.Collect()
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
			batchBytes += len(r.Key) + len(r.Value) + recordOverhead
		}
		if count > 0 && batchBytes > c.maxBatchBytes() {
			break
		}
		batch.Records = append(batch.Records, w.Records...)
		count++
	}
	writes := c.queue[:count:count]
	c.queue = c.queue[count:]
	return batch, writes
}

func (c *Committer) maxBatchBytes() int {
	if c.MaxBatchBytes > 0 {
		return c.MaxBatchBytes
	}
	return defaultMaxBatchBytes
}

// enqueue adds writes to the queue and returns true. Outside of an epoch it does nothing and returns false.
func (c *Committer) enqueue(writes []Write) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.epoch == 0 {
		return false
	}
	c.queue = append(c.queue, writes...)
	return true
}

// commit sends the batch, which contains the writes, to the store until it is stored, all of its writes have failed or the epoch ends.
func (c *Committer) commit(ctx context.Context, batch storekeeper.Batch, writes []Write) {
	// certainlyNotAppended is true as long as no attempt can have appended the batch.
	certainlyNotAppended := true
	// A repeat gets the response to the first copy of the append, which may have been executed before another entry claimed the ownership.
	firstSentAt := c.Clock.Now()
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		c.recordAttempt()
		// Writes that are queued during a slow append have not been sent, so the FailFast writes among them can fail with
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
			if c.OnAppended != nil {
				c.OnAppended(batch.Epoch, firstSentAt)
			}
			completeWrites(writes, nil)
			return
		case errors.Is(err, storekeeper.ErrFenced):
			c.handleFenced(batch, err)
			completeWrites(writes, endOfEpochError(certainlyNotAppended))
			return
		case errors.Is(err, storekeeper.ErrRejected):
			c.handleRejected(ctx, batch, writes, certainlyNotAppended, err)
			return
		case errors.Is(err, storekeeper.ErrNotAppended):
			if certainlyNotAppended {
				writes = failFailFastWrites(writes)
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
			certainlyNotAppended = false
		}
		c.recordFailure()
		c.Log.Warn().Err(err).Uint64("epoch", batch.Epoch).Uint64("sequence", batch.Sequence).Bool("sure", certainlyNotAppended).
			Msg("append to the store failed")
		if !sleeper.Sleep(ctx, backoff) || !c.isCurrentEpoch(batch.Epoch) {
			completeWrites(writes, endOfEpochError(certainlyNotAppended))
			return
		}
	}
}

// handleRejected handles a batch that the store rejects for good. It sends each half of its writes as a batch of its own, so that in the end only the
// writes that the store rejects by themselves fail. An earlier attempt may have appended the whole batch unless certainlyNotAppended is set; the
// store then takes the first half for a repeat, and appending the records of the second half again changes nothing.
func (c *Committer) handleRejected(ctx context.Context, batch storekeeper.Batch, writes []Write, certainlyNotAppended bool, err error) {
	c.recordResponse()
	if len(writes) == 1 {
		c.Meter.Count("writes-rejected")
		c.Log.Error().Err(err).Uint64("epoch", batch.Epoch).Int("records", len(batch.Records)).Str("first-key", firstKey(batch)).
			Msg("the store rejects a write for good; it is given up")
		if certainlyNotAppended {
			writes[0].Done(storekeeper.ErrRejected)
			return
		}
		writes[0].Done(storekeeper.ErrUnknown)
		return
	}
	c.Log.Warn().Err(err).Uint64("epoch", batch.Epoch).Int("writes", len(writes)).Msg("the store rejects a batch for good; sending its writes apart")
	for _, half := range [][]Write{writes[:len(writes)/2], writes[len(writes)/2:]} {
		if ctx.Err() != nil || !c.isCurrentEpoch(batch.Epoch) {
			completeWrites(half, endOfEpochError(certainlyNotAppended))
			continue
		}
		part := storekeeper.Batch{Epoch: batch.Epoch, Sequence: c.nextSequence()}
		for _, w := range half {
			part.Records = append(part.Records, w.Records...)
		}
		c.commit(ctx, part, half)
	}
}

// firstKey returns the key of the first record in the batch, or "".
func firstKey(batch storekeeper.Batch) string {
	if len(batch.Records) == 0 {
		return ""
	}
	return batch.Records[0].Key
}

// nextSequence returns the number of the next batch.
func (c *Committer) nextSequence() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.sequence + 1
}

// endOfEpochError returns the error of writes that are given up because their epoch has ended. certainlyNotAppended reports whether no
// attempt can have appended them. The rejection of a later attempt doesn't show that.
func endOfEpochError(certainlyNotAppended bool) error {
	if certainlyNotAppended {
		return storekeeper.ErrFenced
	}
	return storekeeper.ErrUnknown
}

// failFailFastWrites fails the FailFast writes with storekeeper.ErrNotAppended and returns the others.
func failFailFastWrites(writes []Write) []Write {
	kept, failed := splitFailFast(writes)
	completeWrites(failed, storekeeper.ErrNotAppended)
	return kept
}

// splitFailFast returns the writes that are not FailFast and those that are.
func splitFailFast(writes []Write) (others, failFast []Write) {
	for _, w := range writes {
		if w.FailFast {
			failFast = append(failFast, w)
			continue
		}
		others = append(others, w)
	}
	return others, failFast
}

func (c *Committer) recordSuccess(batch storekeeper.Batch) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.epoch == batch.Epoch {
		c.sequence = batch.Sequence
	}
	c.attemptStartedAt, c.lastFailureAt, c.lastSuccessAt = time.Time{}, time.Time{}, c.Clock.Now()
}

// recordResponse records that the attempt has ended with a response of a store that works.
func (c *Committer) recordResponse() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.attemptStartedAt = time.Time{}
}

func (c *Committer) recordAttempt() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.attemptStartedAt = c.Clock.Now()
}

// recordFailure records a failed append and fails the FailFast writes that were queued during it.
func (c *Committer) recordFailure() {
	c.mutex.Lock()
	c.attemptStartedAt, c.lastFailureAt = time.Time{}, c.Clock.Now()
	c.mutex.Unlock()
	c.failQueuedFailFastWrites()
}

// failQueuedFailFastWrites fails the FailFast writes in the queue, none of which has been sent to the store.
func (c *Committer) failQueuedFailFastWrites() {
	c.mutex.Lock()
	var failed []Write
	c.queue, failed = splitFailFast(c.queue)
	c.mutex.Unlock()
	completeWrites(failed, storekeeper.ErrNotAppended)
}

func (c *Committer) isCurrentEpoch(epoch uint64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.epoch == epoch
}

// handleFenced handles the rejection of a batch because a writer with a higher epoch exists.
func (c *Committer) handleFenced(batch storekeeper.Batch, err error) {
	c.Log.Warn().Err(err).Uint64("epoch", batch.Epoch).Msg("append rejected: another entry owns the jobs")
	if c.OnFenced != nil {
		c.OnFenced(batch.Epoch)
	}
}

// completeWrites calls Done of all writes with err, which is nil after a success.
func completeWrites(writes []Write, err error) {
	for _, w := range writes {
		w.Done(err)
	}
}
