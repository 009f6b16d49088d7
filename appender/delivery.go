package appender

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"bamboohook/stream"

	"github.com/cenkalti/backoff/v5"
)

const (
	readBackPageLimit = 100
	// maxEndOffsetAge is the time without a response from the log service after which the appender reads the end
	// offset of the stream again. If the appender searched for a batch from an older offset, retention might have
	// removed entries after that offset, and the outcome would be unknown although the batch is in the stream.
	maxEndOffsetAge = time.Minute
)

// inFlightBatch is the state of the batch that is being appended.
type inFlightBatch struct {
	sequence uint64
	value    json.RawMessage
	// mayBeAppended is set after the failure of an append request that may have taken effect.
	mayBeAppended bool
	// acknowledgedOffset is the offset in the response to a retry that was sent after mayBeAppended was set. It is 0 if
	// there was no such response.
	acknowledgedOffset uint64
	// retentionGap is set when retention removed offsets that the batch may have had.
	retentionGap bool
}

// appendBatch appends the records of the calls as one batch and passes the result to each call.
func (a *Appender) appendBatch(ctx context.Context, calls []*appendCall) {
	var records []stream.Record
	for _, c := range calls {
		records = append(records, c.records...)
	}
	a.sequence++
	if a.options.Clock.Now().Sub(a.LastContact()) > maxEndOffsetAge {
		a.searchFrom = 0
	}
	encoded, err := json.Marshal(stream.Batch{Writer: a.options.Writer, Sequence: a.sequence, Records: records})
	result := Result{Outcome: OutcomeNotAppended, Reason: ReasonRejected}
	if err == nil {
		result = a.appendWithRetries(ctx, &inFlightBatch{sequence: a.sequence, value: encoded})
	}
	for _, c := range calls {
		c.result <- result
	}
}

// appendWithRetries sends append requests until the outcome of the batch is known or ctx is done. If several requests
// append the batch, readers ignore all copies but the first because of the sequence number. The offset in the result
// is that of the first copy.
func (a *Appender) appendWithRetries(ctx context.Context, b *inFlightBatch) Result {
	retryDelays := &backoff.ExponentialBackOff{
		InitialInterval: a.options.MinBackoff, Multiplier: 2, MaxInterval: a.options.MaxBackoff,
	}
	retryDelays.Reset()
	for {
		result, done := a.tryAppend(ctx, b)
		if done {
			return result
		}
		if !a.sleep(ctx, a.addJitter(retryDelays.NextBackOff())) {
			return b.stoppedResult()
		}
	}
}

// tryAppend sends one append request. If an earlier request may have appended the batch, it searches the stream for the
// batch first. The second result is false if tryAppend must be called again.
func (a *Appender) tryAppend(ctx context.Context, b *inFlightBatch) (Result, bool) {
	if a.searchFrom == 0 && !a.findEndOffset(ctx) {
		return Result{}, false
	}
	if b.mayBeAppended {
		if result, done, err := a.readBack(ctx, b); done || err != nil {
			return result, done
		}
	}
	if !a.waitForLimiter(ctx) {
		return b.stoppedResult(), true
	}
	a.updateCounters(func(c *Counters) { c.Appends++ })
	offset, err := a.options.Log.Append(ctx, a.options.Stream, b.value)
	switch {
	case err == nil && !b.mayBeAppended:
		a.recordContact()
		a.searchFrom = offset + 1
		return Result{Outcome: OutcomeAppended, Offset: offset}, true
	case err == nil:
		a.recordContact()
		b.acknowledgedOffset = offset
		result, done, _ := a.readBack(ctx, b)
		return result, done
	case errors.Is(err, ErrRejected):
		if b.mayBeAppended {
			return Result{Outcome: OutcomeUnknown, Reason: ReasonRejected}, true
		}
		return Result{Outcome: OutcomeNotAppended, Reason: ReasonRejected}, true
	case !errors.Is(err, ErrNotAppended):
		b.mayBeAppended = true
		a.updateCounters(func(c *Counters) { c.Ambiguous++ })
	}
	return Result{}, false
}

// readBack searches for the batch from a.searchFrom to the end of the stream. The second result is true if the
// outcome is known: the batch was found, or it was acknowledged but retention may have removed its first copy.
func (a *Appender) readBack(ctx context.Context, b *inFlightBatch) (Result, bool, error) {
	for {
		a.updateCounters(func(c *Counters) { c.ReadBacks++ })
		page, err := a.options.Log.Read(ctx, a.options.Stream, a.searchFrom, readBackPageLimit, 0)
		if err != nil {
			return Result{}, false, err
		}
		a.recordContact()
		if page.First > a.searchFrom {
			b.retentionGap = true
			a.searchFrom = page.First
		}
		for _, e := range page.Entries {
			a.searchFrom = e.Offset + 1
			if !a.isOwnBatch(e.Value, b.sequence) {
				continue
			}
			if b.retentionGap {
				return Result{Outcome: OutcomeUnknown, Reason: ReasonRetention}, true, nil
			}
			return Result{Outcome: OutcomeAppended, Offset: e.Offset}, true, nil
		}
		if len(page.Entries) == 0 || a.searchFrom >= page.Next {
			break
		}
	}
	if b.acknowledgedOffset > 0 && a.searchFrom > b.acknowledgedOffset {
		return Result{Outcome: OutcomeUnknown, Reason: ReasonRetention}, true, nil
	}
	return Result{}, false, nil
}

func (a *Appender) isOwnBatch(value json.RawMessage, sequence uint64) bool {
	var header struct {
		Writer   string `json:"writer"`
		Sequence uint64 `json:"sequence"`
	}
	return json.Unmarshal(value, &header) == nil && header.Writer == a.options.Writer && header.Sequence == sequence
}

// findEndOffset sets searchFrom to the end of the stream, so that readBack does not start at the oldest entry. It
// returns false if the stream cannot be read.
func (a *Appender) findEndOffset(ctx context.Context) bool {
	page, err := a.options.Log.Read(ctx, a.options.Stream, 1, 1, 0)
	if err != nil {
		return false
	}
	a.recordContact()
	a.searchFrom = max(page.Next, 1)
	return true
}

// waitForLimiter waits until the rate limit allows an append. It returns false if ctx is done first.
func (a *Appender) waitForLimiter(ctx context.Context) bool {
	now := a.options.Clock.Now()
	delay := a.limiter.ReserveN(now, 1).DelayFrom(now)
	return delay <= 0 || a.sleep(ctx, delay)
}

func (a *Appender) addJitter(d time.Duration) time.Duration {
	if a.options.Random == nil {
		return d
	}
	return time.Duration(float64(d) * (0.5 + a.options.Random()))
}

// sleep waits for the duration d. It returns false if ctx is done first.
func (a *Appender) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-a.options.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (a *Appender) recordContact() {
	now := a.options.Clock.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.lastContact = now
}

func (a *Appender) updateCounters(update func(*Counters)) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	update(&a.counters)
}

// stoppedResult returns the result of a batch if Run stops before its outcome is known.
func (b *inFlightBatch) stoppedResult() Result {
	if b.mayBeAppended {
		return Result{Outcome: OutcomeUnknown, Reason: ReasonStopped}
	}
	return Result{Outcome: OutcomeNotAppended, Reason: ReasonStopped}
}
