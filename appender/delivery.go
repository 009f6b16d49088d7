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
	// staleTip is the idle time after which the end of the stream is looked up again. Reading back from an
	// old position would cross retention and make the outcome unknown for no reason.
	maxEndOffsetAge = time.Minute
)

// delivery is the state of the batch in flight.
type inFlightBatch struct {
	sequence uint64
	value    json.RawMessage
	// ambiguous is set once an append request may have taken effect without an answer.
	ambiguous bool
	// acknowledged is the offset of an answered append request after an ambiguous one; 0 means none.
	acknowledgedOffset uint64
	// missed is set when retention removed offsets that the batch may have had.
	retentionGap bool
}

func (a *Appender) commitBatch(ctx context.Context, calls []*appendCall) {
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
		result = a.deliver(ctx, &inFlightBatch{sequence: a.sequence, value: encoded})
	}
	for _, c := range calls {
		c.result <- result
	}
}

// deliver repeats the append until the batch is known to be present. The sequence number makes repeats
// harmless to readers; reading back finds the first copy, which is the one that readers apply.
func (a *Appender) deliver(ctx context.Context, b *inFlightBatch) Result {
	delays := &backoff.ExponentialBackOff{
		InitialInterval: a.options.MinBackoff, Multiplier: 2, MaxInterval: a.options.MaxBackoff,
	}
	delays.Reset()
	for {
		result, done := a.tryAppend(ctx, b)
		if done {
			return result
		}
		if !a.sleep(ctx, a.addJitter(delays.NextBackOff())) {
			return b.stoppedResult()
		}
	}
}

func (a *Appender) tryAppend(ctx context.Context, b *inFlightBatch) (Result, bool) {
	if a.searchFrom == 0 && !a.findEndOffset(ctx) {
		return Result{}, false
	}
	if b.ambiguous {
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
	case err == nil && !b.ambiguous:
		a.recordContact()
		a.searchFrom = offset + 1
		return Result{Outcome: OutcomeAppended, Offset: offset}, true
	case err == nil:
		a.recordContact()
		b.acknowledgedOffset = offset
		result, done, _ := a.readBack(ctx, b)
		return result, done
	case errors.Is(err, ErrRejected):
		if b.ambiguous {
			return Result{Outcome: OutcomeUnknown, Reason: ReasonRejected}, true
		}
		return Result{Outcome: OutcomeNotAppended, Reason: ReasonRejected}, true
	case !errors.Is(err, ErrNotAppended):
		b.ambiguous = true
		a.updateCounters(func(c *Counters) { c.Ambiguous++ })
	}
	return Result{}, false
}

// readBack looks for the batch from a.from to the end of the stream. It is done if the batch was found, or
// if the batch is acknowledged but its first copy may have been removed by retention.
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

// findTip sets from to the end of the stream before the first append, so that reading back does not
// start at the oldest entry.
func (a *Appender) findEndOffset(ctx context.Context) bool {
	page, err := a.options.Log.Read(ctx, a.options.Stream, 1, 1, 0)
	if err != nil {
		return false
	}
	a.recordContact()
	a.searchFrom = max(page.Next, 1)
	return true
}

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

func (b *inFlightBatch) stoppedResult() Result {
	if b.ambiguous {
		return Result{Outcome: OutcomeUnknown, Reason: ReasonStopped}
	}
	return Result{Outcome: OutcomeNotAppended, Reason: ReasonStopped}
}
