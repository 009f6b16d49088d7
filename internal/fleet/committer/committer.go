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
	troubleAfter = 500 * time.Millisecond
	// failureMemory is how long a failure counts; after it the next entry tries the store again.
	failureMemory = 300 * time.Millisecond
	retryFirst    = 50 * time.Millisecond
	retryMost     = 400 * time.Millisecond
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

		mutex    sync.Mutex
		wake     chan struct{}
		queue    []Write
		epoch    uint64
		sequence uint64
		begun    time.Time
		failed   time.Time
		answered time.Time
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
	c.epoch, c.sequence, c.failed = epoch, sequence, time.Time{}
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
	for _, e := range queue {
		e.Done(storekeeper.ErrFenced)
	}
}

// Append queues an entry.
func (c *Committer) Append(e Write) {
	c.mutex.Lock()
	if c.epoch == 0 {
		c.mutex.Unlock()
		e.Done(storekeeper.ErrFenced)
		return
	}
	c.queue = append(c.queue, e)
	c.mutex.Unlock()
	c.Notify()
}

// Kick makes the committer collect.
func (c *Committer) Notify() {
	select {
	case c.signal() <- struct{}{}:
	default:
	}
}

// Troubled reports whether the store does not answer, so that an entry is not likely to be stored soon.
func (c *Committer) Degraded() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.Clock.Now()
	if !c.failed.IsZero() && now.Sub(c.failed) < failureMemory {
		return true
	}
	return !c.begun.IsZero() && now.Sub(c.begun) > troubleAfter
}

// Answered returns when the store last accepted an append of the epoch.
func (c *Committer) LastSuccess() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.answered
}

// Run appends until ctx ends.
func (c *Committer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.signal():
		}
		for ctx.Err() == nil {
			batch, entries := c.next()
			if len(entries) == 0 {
				break
			}
			c.commit(ctx, batch, entries)
		}
	}
}

func (c *Committer) signal() chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.wake == nil {
		c.wake = make(chan struct{}, 1)
	}
	return c.wake
}

// next takes entries up to the size of a batch.
func (c *Committer) next() (storekeeper.Batch, []Write) {
	var collected []Write
	if c.Collect != nil {
		if e, ok := c.Collect(); ok {
			collected = append(collected, e)
		}
	}
	if !c.queued(collected) {
		finish(collected, storekeeper.ErrFenced)
		return storekeeper.Batch{}, nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	batch := storekeeper.Batch{Epoch: c.epoch, Sequence: c.sequence + 1}
	taken, bytes := 0, 0
	for _, e := range c.queue {
		for _, r := range e.Records {
			bytes += len(r.Key) + len(r.Value)
		}
		if taken > 0 && bytes > maxBatchBytes {
			break
		}
		batch.Records = append(batch.Records, e.Records...)
		taken++
	}
	entries := c.queue[:taken:taken]
	c.queue = c.queue[taken:]
	return batch, entries
}

// queued adds entries, and reports false if no epoch is under way.
func (c *Committer) queued(entries []Write) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.epoch == 0 {
		return false
	}
	c.queue = append(c.queue, entries...)
	return true
}

// commit tries the batch until it is stored, refused or fenced.
func (c *Committer) commit(ctx context.Context, batch storekeeper.Batch, entries []Write) {
	sure := true
	for wait := retryFirst; ; wait = min(2*wait, retryMost) {
		c.attempting()
		// What waits behind an append that takes too long can still be refused in truth.
		timer := time.AfterFunc(troubleAfter, c.refuseQueued)
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		begun := c.Clock.Now()
		err := c.Store.Append(attempt, batch)
		cancel()
		c.Meter.Observe("append", c.Clock.Now().Sub(begun))
		timer.Stop()
		switch {
		case err == nil:
			c.stored(batch)
			finish(entries, nil)
			return
		case errors.Is(err, storekeeper.ErrFenced):
			c.lost(batch, err)
			finish(entries, storekeeper.ErrFenced)
			return
		case errors.Is(err, storekeeper.ErrNotAppended):
			if sure {
				entries = c.refuse(entries)
				batch.Records = nil
				for _, e := range entries {
					batch.Records = append(batch.Records, e.Records...)
				}
				if len(entries) == 0 {
					c.fail()
					return
				}
			}
		default:
			sure = false
		}
		c.fail()
		c.Log.Warn().Err(err).Uint64("epoch", batch.Epoch).Uint64("sequence", batch.Sequence).Bool("sure", sure).
			Msg("append failed")
		if !sleeper.Sleep(ctx, wait) || !c.current(batch.Epoch) {
			finish(entries, storekeeper.ErrFenced)
			return
		}
	}
}

// refuse fails the entries that may be refused and returns the others.
func (*Committer) refuse(entries []Write) []Write {
	var kept []Write
	for _, e := range entries {
		if e.FailFast {
			e.Done(storekeeper.ErrNotAppended)
			continue
		}
		kept = append(kept, e)
	}
	return kept
}

func (c *Committer) stored(batch storekeeper.Batch) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.epoch == batch.Epoch {
		c.sequence = batch.Sequence
	}
	c.begun, c.failed, c.answered = time.Time{}, time.Time{}, c.Clock.Now()
}

func (c *Committer) attempting() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.begun = c.Clock.Now()
}

// fail notes a failed attempt and refuses what was queued meanwhile.
func (c *Committer) fail() {
	c.mutex.Lock()
	c.begun, c.failed = time.Time{}, c.Clock.Now()
	c.mutex.Unlock()
	c.refuseQueued()
}

// refuseQueued refuses queued entries, none of which has been sent.
func (c *Committer) refuseQueued() {
	c.mutex.Lock()
	queue := c.queue
	c.queue = nil
	c.mutex.Unlock()
	kept := c.refuse(queue)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.queue = append(kept, c.queue...)
}

func (c *Committer) current(epoch uint64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.epoch == epoch
}

func (c *Committer) lost(batch storekeeper.Batch, err error) {
	c.Log.Warn().Err(err).Uint64("epoch", batch.Epoch).Msg("append was fenced by another owner")
	if c.OnFenced != nil {
		c.OnFenced(batch.Epoch)
	}
}

func finish(entries []Write, err error) {
	for _, e := range entries {
		e.Done(err)
	}
}
