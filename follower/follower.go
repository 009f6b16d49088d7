// Package follower reads the batches of a stream in order. It drops duplicate batches and reports the ranges of
// offsets that retention removed before they were read.
package follower

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"bamboohook/stream"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"
)

// Default values of Options.
const (
	DefaultPageLimit = 100
	DefaultWait      = 2 * time.Second
	// DefaultMaxWriters must exceed the number of writers whose batches the log service retains. Each process start
	// adds a writer, and about 910 processes start in a day.
	DefaultMaxWriters = 8192
	DefaultMinBackoff = 100 * time.Millisecond
	DefaultMaxBackoff = 2 * time.Second
)

// ErrMalformed reports a value that is not a batch with a writer and a positive sequence number.
var ErrMalformed = eris.New("follower: value is not a batch")

type (
	// Log is the interface for reading from the log service. Read returns up to limit entries, starting at firstOffset.
	// If the stream has no entry at firstOffset or later, Read may wait for one for the duration wait. Read must return
	// in bounded time.
	Log interface {
		Read(ctx context.Context, stream string, firstOffset uint64, limit int, wait time.Duration) (stream.Page, error)
	}

	// Clock returns the current time and provides timers.
	Clock interface {
		Now() time.Time
		After(time.Duration) <-chan time.Time
	}

	// Options configures a Follower. Log, Clock and Stream are required. Any other field that is zero takes its
	// default value.
	Options struct {
		Log    Log
		Clock  Clock
		Stream string
		// Position is the first offset to read; 0 means 1. Writers is the value that Follower.Writers returned at
		// that position.
		Position  uint64
		Writers   map[string]WriterState
		PageLimit int
		// Wait is how long a read at the end of the stream waits for an entry. If it is negative, the read does not wait.
		Wait time.Duration
		// MaxWriters limits the number of writers whose WriterState is stored. All followers of a stream must use the
		// same value, because they would drop different duplicates otherwise.
		MaxWriters int
		MinBackoff time.Duration
		MaxBackoff time.Duration
	}

	// WriterState identifies the last batch that was read from a writer. A snapshot of a state that is computed from
	// the stream must include the writer states. A reader that continues from a snapshot without them would apply a
	// late duplicate that other readers drop.
	WriterState struct {
		Sequence uint64 `json:"sequence"`
		Offset   uint64 `json:"offset"`
	}

	// Entry is a batch with its offset and the time at which the log service appended it.
	Entry struct {
		Offset uint64
		Time   time.Time
		Batch  stream.Batch
	}

	// Gap is a range of offsets, including From and To, that retention removed before they were read. A state that is
	// computed from the stream must then be replaced by a snapshot that includes the stream up to To or further.
	Gap struct {
		From, To uint64
		// Truncated is true if the stream ends before the offset From, so the log service has lost entries. To is then 0.
		Truncated bool
	}

	// PollResult is the result of one read. Gap is nil if there was no gap; otherwise the gap precedes the entries.
	PollResult struct {
		Gap     *Gap
		Entries []Entry
		// LastOffset is the last offset that was read, including the offsets of dropped entries.
		LastOffset uint64
		// AtEnd is true if the read reached the end of the stream.
		AtEnd bool
	}

	// Counters holds the numbers of entries that were dropped because they are duplicates or malformed.
	Counters struct {
		Duplicates uint64
		Malformed  uint64
	}

	// Follower reads one stream. Poll and Run must not be called concurrently with each other or with themselves.
	// All other methods are safe for concurrent use.
	Follower struct {
		options Options

		mutex       sync.Mutex
		position    uint64
		writers     map[string]WriterState
		lastContact time.Time
		counters    Counters
	}
)

// New returns a new Follower. It panics if a required option is missing.
func New(options Options) *Follower {
	if options.Log == nil || options.Clock == nil || options.Stream == "" {
		panic("follower: Log, Clock and Stream are required")
	}
	setDefault(&options.PageLimit, DefaultPageLimit)
	if options.Wait == 0 {
		options.Wait = DefaultWait
	}
	options.Wait = max(options.Wait, 0)
	setDefault(&options.MaxWriters, DefaultMaxWriters)
	setDefault(&options.MinBackoff, DefaultMinBackoff)
	setDefault(&options.MaxBackoff, DefaultMaxBackoff)
	f := &Follower{options: options}
	f.Seek(options.Position, options.Writers)
	return f
}

// DecodeBatch decodes the value of an entry. It returns an error that wraps ErrMalformed and a zero batch if the
// value is not a valid batch.
func DecodeBatch(value json.RawMessage) (stream.Batch, error) {
	var b stream.Batch
	if err := json.Unmarshal(value, &b); err != nil {
		return stream.Batch{}, eris.Wrap(ErrMalformed, err.Error())
	}
	if b.Writer == "" || b.Sequence == 0 {
		return stream.Batch{}, ErrMalformed
	}
	return b, nil
}

// Seek sets the next offset to read and the writer states at that offset. Position 0 means 1.
func (f *Follower) Seek(position uint64, writers map[string]WriterState) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.position = max(position, 1)
	f.writers = maps.Clone(writers)
	if f.writers == nil {
		f.writers = map[string]WriterState{}
	}
}

// Position returns the next offset to read.
func (f *Follower) Position() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.position
}

// Writers returns a copy of the writer states at Position, for use in a snapshot.
func (f *Follower) Writers() map[string]WriterState {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return maps.Clone(f.writers)
}

// LastContact returns the time of the last response from the log service. It returns the zero time if there was none.
func (f *Follower) LastContact() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.lastContact
}

// Counters returns the numbers of entries that were dropped so far.
func (f *Follower) Counters() Counters {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.counters
}

// Poll reads the stream once and advances the position past the entries that it read. If it returns an error, the
// position is unchanged.
func (f *Follower) Poll(ctx context.Context) (PollResult, error) {
	page, err := f.options.Log.Read(ctx, f.options.Stream, f.Position(), f.options.PageLimit, f.options.Wait)
	if err != nil {
		return PollResult{}, eris.Wrap(err, "follower: cannot read stream "+f.options.Stream)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lastContact = f.options.Clock.Now()
	return f.processPage(page), nil
}

// Run calls Poll until ctx is done and passes each result to handleResult. It retries failed reads after an exponential
// delay.
func (f *Follower) Run(ctx context.Context, handleResult func(PollResult)) {
	retryDelays := &backoff.ExponentialBackOff{
		InitialInterval: f.options.MinBackoff, Multiplier: 2, MaxInterval: f.options.MaxBackoff,
	}
	retryDelays.Reset()
	for ctx.Err() == nil {
		result, err := f.Poll(ctx)
		if err == nil {
			retryDelays.Reset()
			handleResult(result)
			continue
		}
		select {
		case <-f.options.Clock.After(retryDelays.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// processPage advances the position past the entries of the page and drops duplicate and malformed entries.
func (f *Follower) processPage(page stream.Page) PollResult {
	var result PollResult
	switch {
	case page.First > f.position:
		result.Gap = &Gap{From: f.position, To: page.First - 1}
		f.position = page.First
	case page.Next > 0 && page.Next < f.position:
		result.Gap = &Gap{From: f.position, Truncated: true}
		f.position = max(page.First, 1)
	}
	for _, e := range page.Entries {
		if e.Offset != f.position {
			break
		}
		f.position++
		if b, ok := f.acceptEntry(e); ok {
			result.Entries = append(result.Entries, Entry{Offset: e.Offset, Time: e.Time, Batch: b})
		}
	}
	result.LastOffset = f.position - 1
	result.AtEnd = f.position >= page.Next
	return result
}

// acceptEntry decodes the batch of an entry. The second result is false if the entry is malformed or a duplicate.
func (f *Follower) acceptEntry(e stream.Entry) (stream.Batch, bool) {
	b, err := DecodeBatch(e.Value)
	if err != nil {
		f.counters.Malformed++
		return b, false
	}
	lastState, known := f.writers[b.Writer]
	if known && b.Sequence <= lastState.Sequence {
		f.counters.Duplicates++
		return b, false
	}
	if !known && len(f.writers) >= f.options.MaxWriters {
		f.evictOldestWriter()
	}
	f.writers[b.Writer] = WriterState{Sequence: b.Sequence, Offset: e.Offset}
	return b, true
}

// evictOldestWriter removes the state of the writer whose last batch has the lowest offset. The choice depends only on
// the stream, so all followers remove the same state.
func (f *Follower) evictOldestWriter() {
	oldestWriter := ""
	for name, w := range f.writers {
		if oldestWriter == "" || w.Offset < f.writers[oldestWriter].Offset {
			oldestWriter = name
		}
	}
	delete(f.writers, oldestWriter)
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
