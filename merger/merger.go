// Package merger merges the recorded events of several processes into one timeline in causal order.
package merger

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// DefaultMaxEvents is the default value of Options.MaxEvents.
	DefaultMaxEvents = 100_000
	maxEventBytes    = 1 << 20
)

type (
	// Event is one event of a process. Kind is the type of the event, Subject the object that it concerns, and Details
	// holds further values by name. The JSON form is that of recorder.Event.
	Event struct {
		Process  string `json:"process"`
		Sequence uint64 `json:"sequence"`
		// Nanoseconds and Counter are a timestamp of a hybrid logical clock. Nanoseconds is the Unix time, and Counter
		// orders timestamps with equal Nanoseconds.
		Nanoseconds int64             `json:"stamp"`
		Counter     uint32            `json:"counter"`
		Kind        string            `json:"kind"`
		Subject     string            `json:"subject,omitempty"`
		Details     map[string]string `json:"details,omitempty"`
	}

	// Options configures a Merger. The zero value is valid.
	Options struct {
		// MaxEvents limits the number of stored events; 0 means DefaultMaxEvents.
		MaxEvents int
	}

	// Gap is a range of sequence numbers, including First and Last, of which the Merger has no events of the process.
	Gap struct {
		Process     string
		First, Last uint64
	}

	// Merger collects events and writes them as text or as an HTML page. Use New to create one. It is safe for
	// concurrent use.
	Merger struct {
		options Options

		mutex   sync.Mutex
		events  map[eventKey]Event
		dropped int
	}

	eventKey struct {
		process  string
		sequence uint64
	}
)

// New returns a Merger without events.
func New(o Options) *Merger {
	if o.MaxEvents <= 0 {
		o.MaxEvents = DefaultMaxEvents
	}
	return &Merger{options: o, events: map[eventKey]Event{}}
}

// Add adds events in any order. It ignores an event whose process and sequence number were added before. When
// MaxEvents events are stored, it drops further events and counts them.
func (m *Merger) Add(events ...Event) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, e := range events {
		k := eventKey{e.Process, e.Sequence}
		if _, ok := m.events[k]; ok {
			continue
		}
		if len(m.events) >= m.options.MaxEvents {
			m.dropped++
			continue
		}
		m.events[k] = e
	}
}

// Read adds the events that r contains as a sequence of JSON objects. If an event cannot be read, Read returns an error
// with the number of the event, counted from 1. The events before it remain added.
func (m *Merger) Read(r io.Reader) error {
	limited := &limitedReader{reader: r}
	decoder := json.NewDecoder(limited)
	for n := 1; ; n++ {
		limited.remaining = maxEventBytes
		var e Event
		err := decoder.Decode(&e)
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return eris.Wrapf(err, "merger: cannot read event %d, which must be a JSON object of at most %d bytes", n, maxEventBytes)
		case e.Process == "":
			return eris.Errorf("merger: event %d has no process", n)
		}
		m.Add(e)
	}
}

// Events returns the events in causal order: by timestamp, counter, process and sequence number. The events of one
// process stay in the order of their sequence numbers even if their timestamps do not increase.
func (m *Merger) Events() []Event {
	m.mutex.Lock()
	events := make([]Event, 0, len(m.events))
	for _, e := range m.events {
		events = append(events, e)
	}
	m.mutex.Unlock()
	slices.SortFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Process, b.Process), cmp.Compare(a.Sequence, b.Sequence))
	})
	raiseTimestamps(events)
	slices.SortFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Nanoseconds, b.Nanoseconds), cmp.Compare(a.Counter, b.Counter),
			cmp.Compare(a.Process, b.Process), cmp.Compare(a.Sequence, b.Sequence))
	})
	return events
}

// Dropped returns the number of events that were dropped because of MaxEvents.
func (m *Merger) Dropped() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.dropped
}

// Gaps returns the gaps in the sequence numbers of each process, ordered by process and sequence number.
func (m *Merger) Gaps() []Gap {
	events := m.Events()
	slices.SortFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Process, b.Process), cmp.Compare(a.Sequence, b.Sequence))
	})
	var gaps []Gap
	for i := 1; i < len(events); i++ {
		previous, next := events[i-1], events[i]
		if previous.Process == next.Process && next.Sequence > previous.Sequence+1 {
			gaps = append(gaps, Gap{previous.Process, previous.Sequence + 1, next.Sequence - 1})
		}
	}
	return gaps
}

// raiseTimestamps raises each timestamp that is less than the one of the preceding event of the same process, so that
// the events of a process stay in the order of their sequence numbers. Such a timestamp is an error of that process.
// The events must be ordered by process and sequence number.
func raiseTimestamps(events []Event) {
	for i := 1; i < len(events); i++ {
		previous, next := &events[i-1], &events[i]
		if previous.Process != next.Process {
			continue
		}
		if next.Nanoseconds < previous.Nanoseconds || (next.Nanoseconds == previous.Nanoseconds && next.Counter < previous.Counter) {
			next.Nanoseconds, next.Counter = previous.Nanoseconds, previous.Counter
		}
	}
}

// limitedReader returns an error after remaining bytes have been read. Merger.Read resets remaining for each event.
type limitedReader struct {
	reader    io.Reader
	remaining int
}

func (b *limitedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, eris.New("merger: event is too long")
	}
	n, err := b.reader.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}
