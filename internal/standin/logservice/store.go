// Package logservice is an in-memory fake of the platform's append-only log service for tests and the demo. Faults can be
// injected while it runs.
package logservice

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bamboohook/appender"
	"bamboohook/stream"

	"github.com/rotisserie/eris"
)

// Defaults of Options, and limits of a read.
const (
	DefaultRetention        = time.Hour
	DefaultRetentionEntries = 100_000
	DefaultMaxEntryBytes    = 1 << 20
	DefaultMaxStreams       = 64
	// DefaultMaxPageBytes keeps a page below the size limit of the log client.
	DefaultMaxPageBytes = 4 << 20
	// MaxPageEntries is the maximum number of entries that a read returns.
	MaxPageEntries = 1000
	// MaxWait is the maximum duration of a long poll.
	MaxWait = 30 * time.Second
)

var (
	// ErrDown reports that the service is down. The request had no effect, but a client must not rely on that.
	ErrDown = eris.New("logservice: service is down")
	// ErrResponseLost reports that an append took effect but its response is not sent.
	ErrResponseLost = eris.New("logservice: response lost")
	// ErrNotAppended reports an append that had no effect. A later attempt may succeed.
	ErrNotAppended = eris.Wrap(appender.ErrNotAppended, "logservice: refused")
	// ErrRejected reports a call that can never succeed, such as an append of an entry that is too large.
	ErrRejected = eris.Wrap(appender.ErrRejected, "logservice: rejected")
)

type (
	// Clock provides the time. Tests replace it.
	Clock interface {
		Now() time.Time
		After(time.Duration) <-chan time.Time
	}

	// Options are the limits and the initial faults of a Store. A zero field means its default.
	Options struct {
		// Clock defaults to the system clock.
		Clock Clock
		// Retention is the maximum age of entries, and RetentionEntries their maximum number in each stream.
		Retention        time.Duration
		RetentionEntries int
		MaxEntryBytes    int
		MaxStreams       int
		MaxPageBytes     int
		Faults           Faults
	}

	// Faults are the injected faults. A count applies to the next appends and decreases with each of them.
	Faults struct {
		// Delay is the delay before each append and read. It is encoded in nanoseconds.
		Delay time.Duration `json:"delay"`
		// Down makes all appends and reads fail with ErrDown.
		Down bool `json:"down"`
		// DropResponses is the number of appends that take effect but get no response. ResponseDropProbability
		// is the probability of that for each append.
		DropResponses           int     `json:"drop-answers"`
		ResponseDropProbability float64 `json:"drop-probability"`
		// Duplicates is the number of appends that are applied twice, the second time after DuplicateAfter further appends.
		Duplicates     int `json:"duplicates"`
		DuplicateAfter int `json:"duplicate-after"`
		// Refusals is the number of appends that are refused without effect.
		Refusals int `json:"refuse"`
		// Seed is the seed of the random numbers for ResponseDropProbability.
		Seed uint64 `json:"seed"`
	}

	// Counters are the numbers of applied appends, including duplicates, and of reads.
	Counters struct {
		Appends uint64 `json:"appends"`
		Reads   uint64 `json:"reads"`
	}

	// Store holds the streams in memory. The packages appender and follower can use it as their log, so tests need no HTTP. It is
	// safe for concurrent use.
	Store struct {
		options Options
		appends atomic.Uint64
		reads   atomic.Uint64

		mutex   sync.Mutex
		faults  Faults
		random  *rand.Rand
		streams map[string]*streamState
	}

	streamState struct {
		firstOffset       uint64
		entries           []stream.Entry
		delayedDuplicates []delayedDuplicate
		changed           chan struct{}
	}

	// delayedDuplicate is the second copy of an entry, which is appended after remainingAppends further appends.
	delayedDuplicate struct {
		remainingAppends int
		value            json.RawMessage
	}

	systemClock struct{}
)

// NewStore returns an empty Store.
func NewStore(options Options) *Store {
	if options.Clock == nil {
		options.Clock = systemClock{}
	}
	setDefault(&options.Retention, DefaultRetention)
	setDefault(&options.RetentionEntries, DefaultRetentionEntries)
	setDefault(&options.MaxEntryBytes, DefaultMaxEntryBytes)
	setDefault(&options.MaxStreams, DefaultMaxStreams)
	setDefault(&options.MaxPageBytes, DefaultMaxPageBytes)
	s := &Store{options: options, streams: map[string]*streamState{}}
	s.SetFaults(options.Faults)
	return s
}

// SetFaults replaces the faults and resets their random numbers to the seed.
func (s *Store) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.random = rand.New(rand.NewPCG(faults.Seed, 1))
}

// Faults returns the present faults with the remaining counts.
func (s *Store) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// Counters returns a copy of the counters.
func (s *Store) Counters() Counters {
	return Counters{Appends: s.appends.Load(), Reads: s.reads.Load()}
}

// Append appends a value to the stream and returns its offset. The first offset is 1. It returns an error of this package
// if a fault or a limit applies, or the error of ctx.
func (s *Store) Append(ctx context.Context, name string, value json.RawMessage) (uint64, error) {
	if err := s.applyDelay(ctx); err != nil {
		return 0, err
	}
	if len(value) > s.options.MaxEntryBytes || !json.Valid(value) {
		return 0, eris.Wrapf(ErrRejected, "logservice: an entry must be JSON of at most %d bytes, got %d", s.options.MaxEntryBytes, len(value))
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.Down {
		return 0, ErrDown
	}
	if decrement(&s.faults.Refusals) {
		return 0, ErrNotAppended
	}
	state := s.stream(name)
	if state == nil {
		return 0, eris.Wrapf(ErrRejected, "logservice: at most %d streams are allowed", s.options.MaxStreams)
	}
	s.appendDelayedDuplicates(state)
	offset := s.addEntry(state, slices.Clone(value))
	if decrement(&s.faults.Duplicates) {
		if s.faults.DuplicateAfter > 0 {
			state.delayedDuplicates = append(state.delayedDuplicates, delayedDuplicate{s.faults.DuplicateAfter, slices.Clone(value)})
		} else {
			s.addEntry(state, slices.Clone(value))
		}
	}
	if decrement(&s.faults.DropResponses) || s.faults.ResponseDropProbability > 0 && s.random.Float64() < s.faults.ResponseDropProbability {
		return 0, ErrResponseLost
	}
	return offset, nil
}

// Read returns up to limit entries, starting at the offset from. If there are none, it waits for an entry, for at most the
// duration wait.
func (s *Store) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (stream.Page, error) {
	if err := s.applyDelay(ctx); err != nil {
		return stream.Page{}, err
	}
	var timeout <-chan time.Time
	for {
		page, changed, err := s.readPage(name, from, min(limit, MaxPageEntries))
		if err != nil || len(page.Entries) > 0 || wait <= 0 {
			return page, err
		}
		if timeout == nil {
			timeout = s.options.Clock.After(min(wait, MaxWait))
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-ctx.Done():
			return stream.Page{}, ctx.Err()
		}
	}
}

func (s *Store) readPage(name string, from uint64, limit int) (stream.Page, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.Down {
		return stream.Page{}, nil, ErrDown
	}
	s.reads.Add(1)
	state := s.stream(name)
	if state == nil {
		return stream.Page{}, nil, eris.Wrapf(ErrRejected, "logservice: at most %d streams are allowed", s.options.MaxStreams)
	}
	s.removeExpired(state)
	page := stream.Page{First: state.firstOffset, Next: state.firstOffset + uint64(len(state.entries))}
	size := 0
	for offset := max(from, state.firstOffset); offset < page.Next && len(page.Entries) < limit; offset++ {
		e := state.entries[offset-state.firstOffset]
		if size += len(e.Value); size > s.options.MaxPageBytes && len(page.Entries) > 0 {
			break
		}
		page.Entries = append(page.Entries, e)
	}
	return page, state.changed, nil
}

func (s *Store) applyDelay(ctx context.Context) error {
	delay := s.Faults().Delay
	if delay <= 0 {
		return ctx.Err()
	}
	select {
	case <-s.options.Clock.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Store) stream(name string) *streamState {
	state := s.streams[name]
	if state == nil && len(s.streams) < s.options.MaxStreams {
		state = &streamState{firstOffset: 1, changed: make(chan struct{})}
		s.streams[name] = state
	}
	return state
}

func (s *Store) appendDelayedDuplicates(state *streamState) {
	pending := state.delayedDuplicates[:0]
	for _, d := range state.delayedDuplicates {
		if d.remainingAppends--; d.remainingAppends <= 0 {
			s.addEntry(state, d.value)
		} else {
			pending = append(pending, d)
		}
	}
	state.delayedDuplicates = pending
}

func (s *Store) addEntry(state *streamState, value json.RawMessage) uint64 {
	s.appends.Add(1)
	offset := state.firstOffset + uint64(len(state.entries))
	state.entries = append(state.entries, stream.Entry{Offset: offset, Time: s.options.Clock.Now(), Value: value})
	s.removeExpired(state)
	close(state.changed)
	state.changed = make(chan struct{})
	return offset
}

func (s *Store) removeExpired(state *streamState) {
	cutoff := s.options.Clock.Now().Add(-s.options.Retention)
	expired := max(0, len(state.entries)-s.options.RetentionEntries)
	for expired < len(state.entries) && state.entries[expired].Time.Before(cutoff) {
		expired++
	}
	if expired > 0 {
		state.firstOffset += uint64(expired)
		state.entries = slices.Delete(state.entries, 0, expired)
	}
}

// Now returns the current time.
func (systemClock) Now() time.Time { return time.Now() }

// After returns a channel that receives the time after d.
func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

func decrement(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
