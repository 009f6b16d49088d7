// Package recorder stores the recent events of a process with timestamps of a hybrid logical clock.
package recorder

import (
	"maps"
	"sync"
	"time"
)

const (
	// DefaultCapacity is the default value of Options.Capacity.
	DefaultCapacity = 4096
	// DefaultMaxDrift is the default value of Options.MaxDrift.
	DefaultMaxDrift = time.Minute
)

type (
	// Clock returns the current time.
	Clock interface{ Now() time.Time }

	// Timestamp is a timestamp of a hybrid logical clock. It is greater than all timestamps that the process
	// observed before it issued this one.
	Timestamp struct {
		// Nanoseconds is the Unix time in nanoseconds. It never decreases within a process.
		Nanoseconds int64 `json:"stamp"`
		// Counter orders timestamps with equal Nanoseconds.
		Counter uint32 `json:"counter"`
	}

	// Event is one event of a process. Kind is the type of the event, Subject the object that it concerns, and Details
	// holds further values by name.
	Event struct {
		Process string `json:"process"`
		// Sequence numbers the events of the process, starting at 1 and without gaps.
		Sequence uint64 `json:"sequence"`
		Timestamp
		Kind    string            `json:"kind"`
		Subject string            `json:"subject,omitempty"`
		Details map[string]string `json:"details,omitempty"`
	}

	// Options configures a Recorder. The zero value is valid.
	Options struct {
		// Process is the process name in every event.
		Process string
		// Capacity is the number of events that are stored; 0 means DefaultCapacity.
		Capacity int
		// MaxDrift limits how far a timestamp of another process may be ahead of the local time, so that one wrong clock
		// does not advance the clocks of all processes; 0 means DefaultMaxDrift.
		MaxDrift time.Duration
		// Clock is the source of the local time; nil means the system clock.
		Clock Clock
	}

	// Recorder is a ring buffer of events with a hybrid logical clock. Use New to create one. It is safe for
	// concurrent use.
	Recorder struct {
		options Options

		mutex              sync.Mutex
		lastTimestamp      Timestamp
		ringBuffer         []Event
		lastSequence       uint64
		rejectedTimestamps uint64
	}

	systemClock struct{}
)

// New returns a Recorder without events.
func New(o Options) *Recorder {
	if o.Capacity <= 0 {
		o.Capacity = DefaultCapacity
	}
	if o.MaxDrift <= 0 {
		o.MaxDrift = DefaultMaxDrift
	}
	if o.Clock == nil {
		o.Clock = systemClock{}
	}
	return &Recorder{options: o}
}

// Record stores an event and returns it. The event's timestamp is greater than all timestamps that were issued or
// observed before. If the buffer is full, Record drops the oldest event. It stores a copy of details.
func (r *Recorder) Record(kind, subject string, details map[string]string) Event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lastSequence++
	e := Event{
		Process: r.options.Process, Sequence: r.lastSequence, Timestamp: r.nextTimestamp(), Kind: kind, Subject: subject, Details: maps.Clone(details),
	}
	if len(r.ringBuffer) < r.options.Capacity {
		r.ringBuffer = append(r.ringBuffer, e)
	} else {
		r.ringBuffer[(e.Sequence-1)%uint64(r.options.Capacity)] = e
	}
	return e
}

// NextTimestamp issues a timestamp for a message to another process.
func (r *Recorder) NextTimestamp() Timestamp {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.nextTimestamp()
}

// Observe advances the clock to the timestamp of a received message, so that all timestamps issued later are greater.
// It returns false and has no effect if the timestamp is negative or more than MaxDrift ahead of the local time.
func (r *Recorder) Observe(remote Timestamp) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	maxNanoseconds := r.options.Clock.Now().Add(r.options.MaxDrift).UnixNano()
	if remote.Nanoseconds < 0 || remote.Nanoseconds > maxNanoseconds {
		r.rejectedTimestamps++
		return false
	}
	if r.lastTimestamp.Less(remote) {
		r.lastTimestamp = remote
	}
	return true
}

// EventsAfter returns copies of the stored events with sequence numbers greater than the given one, in the order of the
// sequence numbers. It returns at most limit events if limit is positive. If the first event has a sequence number
// greater than sequence+1, the events in between were dropped.
func (r *Recorder) EventsAfter(sequence uint64, limit int) []Event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	firstSequence := r.lastSequence - uint64(len(r.ringBuffer)) + 1
	if sequence >= r.lastSequence {
		return nil
	}
	firstSequence = max(firstSequence, sequence+1)
	count := r.lastSequence - firstSequence + 1
	if limit > 0 {
		count = min(count, uint64(limit))
	}
	events := make([]Event, 0, count)
	for s := firstSequence; s < firstSequence+count; s++ {
		e := r.ringBuffer[(s-1)%uint64(r.options.Capacity)]
		e.Details = maps.Clone(e.Details)
		events = append(events, e)
	}
	return events
}

// RejectedTimestamps returns the number of timestamps for which Observe returned false.
func (r *Recorder) RejectedTimestamps() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.rejectedTimestamps
}

// Less reports whether s is less than o.
func (s Timestamp) Less(o Timestamp) bool {
	if s.Nanoseconds != o.Nanoseconds {
		return s.Nanoseconds < o.Nanoseconds
	}
	return s.Counter < o.Counter
}

func (r *Recorder) nextTimestamp() Timestamp {
	now := r.options.Clock.Now().UnixNano()
	switch {
	case now > r.lastTimestamp.Nanoseconds:
		r.lastTimestamp = Timestamp{Nanoseconds: now}
	case r.lastTimestamp.Counter == 1<<32-1:
		// The counter of an observed timestamp may have its maximum value. The next timestamp then takes the next
		// nanosecond.
		r.lastTimestamp = Timestamp{Nanoseconds: r.lastTimestamp.Nanoseconds + 1}
	default:
		r.lastTimestamp.Counter++
	}
	return r.lastTimestamp
}

func (systemClock) Now() time.Time { return time.Now() }
