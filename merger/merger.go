// Package merger merges the recorded events of several processes into one time line in causal order.
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
	// DefaultMaxEvents is the number of events kept when Options.MaxEvents is 0.
	DefaultMaxEvents = 100_000
	maxLineBytes     = 1 << 20
)

type (
	// Event is one event of a process. Its JSON form is that of recorder.Event.
	Event struct {
		Process  string `json:"process"`
		Sequence uint64 `json:"sequence"`
		// Stamp and Counter are a hybrid logical clock: nanoseconds since 1970, and the order among equal ones.
		Timestamp int64             `json:"stamp"`
		Counter   uint32            `json:"counter"`
		Kind      string            `json:"kind"`
		Subject   string            `json:"subject,omitempty"`
		Details   map[string]string `json:"details,omitempty"`
	}

	// Options configure a Merger. The zero value is useful.
	Options struct {
		// MaxEvents bounds the number of events; 0 means DefaultMaxEvents.
		MaxEvents int
	}

	// Gap is a range of sequences of a process, from First to Last, that is missing.
	Gap struct {
		Process     string
		First, Last uint64
	}

	// Merger collects events and writes them as text and as an HTML picture. Create it with New. Concurrent use is safe.
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

// New returns an empty merger.
func New(o Options) *Merger {
	if o.MaxEvents <= 0 {
		o.MaxEvents = DefaultMaxEvents
	}
	return &Merger{options: o, events: map[eventKey]Event{}}
}

// Add adds events in any order. An event with a known process and sequence is ignored. Beyond MaxEvents
// events are dropped and counted.
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

// Read adds events from a stream of JSON objects. On a malformed one it returns an error with its position; the
// events before it stay added.
func (m *Merger) Read(r io.Reader) error {
	bounded := &boundedReader{reader: r}
	decoder := json.NewDecoder(bounded)
	for n := 1; ; n++ {
		bounded.remaining = maxLineBytes
		var e Event
		err := decoder.Decode(&e)
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return eris.Wrapf(err, "merger: event %d is not a JSON object of an event of at most %d bytes", n, maxLineBytes)
		case e.Process == "":
			return eris.Errorf("merger: event %d has no process", n)
		}
		m.Add(e)
	}
}

// Events returns the events in causal order: by stamp, counter, process and sequence. Events of one process
// stay in the order of their sequence even if its stamps don't increase.
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
		return cmp.Or(cmp.Compare(a.Timestamp, b.Timestamp), cmp.Compare(a.Counter, b.Counter),
			cmp.Compare(a.Process, b.Process), cmp.Compare(a.Sequence, b.Sequence))
	})
	return events
}

// Dropped returns how many events were dropped because of MaxEvents.
func (m *Merger) Dropped() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.dropped
}

// Gaps returns the missing ranges between the events of each process, ordered by process and sequence.
func (m *Merger) Gaps() []Gap {
	events := m.Events()
	slices.SortFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Process, b.Process), cmp.Compare(a.Sequence, b.Sequence))
	})
	var gaps []Gap
	for i := 1; i < len(events); i++ {
		a, b := events[i-1], events[i]
		if a.Process == b.Process && b.Sequence > a.Sequence+1 {
			gaps = append(gaps, Gap{a.Process, a.Sequence + 1, b.Sequence - 1})
		}
	}
	return gaps
}

// raiseStamps makes stamps non-decreasing along the sequence of each process. A process whose stamps
// decrease has a fault, but its own order is still known.
func raiseTimestamps(events []Event) {
	for i := 1; i < len(events); i++ {
		a, b := &events[i-1], &events[i]
		if a.Process != b.Process {
			continue
		}
		if b.Timestamp < a.Timestamp || (b.Timestamp == a.Timestamp && b.Counter < a.Counter) {
			b.Timestamp, b.Counter = a.Timestamp, a.Counter
		}
	}
}

// boundedReader fails when one event needs more than the bound.
type boundedReader struct {
	reader    io.Reader
	remaining int
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, eris.New("merger: event is too long")
	}
	n, err := b.reader.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}
