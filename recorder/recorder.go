// Package recorder keeps the recent events of a process, stamped by a hybrid logical clock.
package recorder

import (
	"maps"
	"sync"
	"time"
)

const (
	// DefaultCapacity is the number of events kept when Options.Capacity is 0.
	DefaultCapacity = 4096
	// DefaultMaxDrift is how far ahead of the local clock an observed stamp may be when Options.MaxDrift is 0.
	DefaultMaxDrift = time.Minute
)

type (
	// Clock tells the time.
	Clock interface{ Now() time.Time }

	// Stamp is a time of a hybrid logical clock. A stamp that was observed before another was issued is lower.
	Timestamp struct {
		// Nanoseconds counts since 1970 and never decreases within a process.
		Nanoseconds int64 `json:"stamp"`
		// Counter orders stamps with equal Nanoseconds.
		Counter uint32 `json:"counter"`
	}

	// Event is one event of a process.
	Event struct {
		Process string `json:"process"`
		// Sequence counts the events of the process from 1 without gaps.
		Sequence uint64 `json:"sequence"`
		Timestamp
		Kind    string            `json:"kind"`
		Subject string            `json:"subject,omitempty"`
		Details map[string]string `json:"details,omitempty"`
	}

	// Options configure a Recorder. The zero value is useful.
	Options struct {
		// Process is the name in every event.
		Process string
		// Capacity is the number of events kept; 0 means DefaultCapacity.
		Capacity int
		// MaxDrift bounds how far a remote stamp may move the clock ahead of the local time, so that one wrong clock
		// doesn't move all others; 0 means DefaultMaxDrift.
		MaxDrift time.Duration
		// Clock defaults to the system's.
		Clock Clock
	}

	// Recorder is a bounded ring of events with a hybrid logical clock. Create it with New. Concurrent use is safe.
	Recorder struct {
		options Options

		mutex              sync.Mutex
		lastTimestamp      Timestamp
		ring               []Event
		lastSequence       uint64
		rejectedTimestamps uint64
	}

	systemClock struct{}
)

// New returns an empty recorder.
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

// Record stores an event and returns it with its stamp, which is higher than all that were issued or observed
// before. The oldest event is dropped when the ring is full. Details are copied.
func (r *Recorder) Record(kind, subject string, details map[string]string) Event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lastSequence++
	e := Event{
		Process: r.options.Process, Sequence: r.lastSequence, Timestamp: r.nextTimestamp(), Kind: kind, Subject: subject, Details: maps.Clone(details),
	}
	if len(r.ring) < r.options.Capacity {
		r.ring = append(r.ring, e)
	} else {
		r.ring[(e.Sequence-1)%uint64(r.options.Capacity)] = e
	}
	return e
}

// Stamp returns a new stamp for a message to another process.
func (r *Recorder) NextTimestamp() Timestamp {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.nextTimestamp()
}

// Observe takes the stamp of a received message into account: all later stamps are higher. It returns false and
// has no effect if the stamp is negative or ahead of the local time by more than MaxDrift.
func (r *Recorder) Observe(remote Timestamp) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	limit := r.options.Clock.Now().Add(r.options.MaxDrift).UnixNano()
	if remote.Nanoseconds < 0 || remote.Nanoseconds > limit {
		r.rejectedTimestamps++
		return false
	}
	if r.lastTimestamp.Less(remote) {
		r.lastTimestamp = remote
	}
	return true
}

// Above returns copies of the kept events with a sequence above the given one, in order, at most limit of them
// if limit is above 0. If the first has a sequence above sequence+1, those between were dropped.
func (r *Recorder) EventsAfter(sequence uint64, limit int) []Event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	first := r.lastSequence - uint64(len(r.ring)) + 1
	if sequence >= r.lastSequence {
		return nil
	}
	first = max(first, sequence+1)
	count := r.lastSequence - first + 1
	if limit > 0 {
		count = min(count, uint64(limit))
	}
	events := make([]Event, 0, count)
	for s := first; s < first+count; s++ {
		e := r.ring[(s-1)%uint64(r.options.Capacity)]
		e.Details = maps.Clone(e.Details)
		events = append(events, e)
	}
	return events
}

// Refused returns how many observed stamps were refused.
func (r *Recorder) RejectedTimestamps() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.rejectedTimestamps
}

// Less reports whether s is before o.
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
		// A remote counter may be at its bound; the next nanosecond keeps the order.
		r.lastTimestamp = Timestamp{Nanoseconds: r.lastTimestamp.Nanoseconds + 1}
	default:
		r.lastTimestamp.Counter++
	}
	return r.lastTimestamp
}

func (systemClock) Now() time.Time { return time.Now() }
