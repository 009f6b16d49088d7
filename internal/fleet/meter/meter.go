// Package meter provides counters and latency histograms, and serves them as text at the metrics address.
package meter

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minLatencyMicroseconds and maxLatencyMicroseconds are the range of the latencies in a histogram. significantDigits is its precision.
	minLatencyMicroseconds = 1
	maxLatencyMicroseconds = int64(time.Minute / time.Microsecond)
	significantDigits      = 2
)

// Meter holds counters and histograms by name. A nil Meter discards all values. Meter is safe for concurrent use.
type Meter struct {
	mutex      sync.Mutex
	counters   map[string]int64
	histograms map[string]*hdrhistogram.Histogram
}

// Count increments the counter with the name.
func (m *Meter) Count(name string) {
	if m == nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.counters == nil {
		m.counters = map[string]int64{}
	}
	m.counters[name]++
}

// Set sets the counter with the name to a value that may also fall, such as a number of things that exist now.
func (m *Meter) Set(name string, value int64) {
	if m == nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.counters == nil {
		m.counters = map[string]int64{}
	}
	m.counters[name] = value
}

// Observe adds a latency to the histogram with the name. Latencies above one minute are recorded as one minute.
func (m *Meter) Observe(name string, d time.Duration) {
	if m == nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	h, ok := m.histograms[name]
	if !ok {
		if m.histograms == nil {
			m.histograms = map[string]*hdrhistogram.Histogram{}
		}
		h = hdrhistogram.New(minLatencyMicroseconds, maxLatencyMicroseconds, significantDigits)
		m.histograms[name] = h
	}
	if err := h.RecordValue(min(max(d.Microseconds(), minLatencyMicroseconds), maxLatencyMicroseconds)); err != nil {
		panic("meter: histogram rejected a value within its range: " + err.Error())
	}
}

// WriteTo writes one line for each counter and then one line for each histogram. Counters and histograms are sorted by name.
func (m *Meter) WriteTo(w io.Writer) (int64, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var written int64
	for _, name := range slices.Sorted(maps.Keys(m.counters)) {
		n, err := fmt.Fprintf(w, "%s %d\n", name, m.counters[name])
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.histograms)) {
		h := m.histograms[name]
		n, err := fmt.Fprintf(w, "%s count %d mean-us %.0f p50-us %d p90-us %d p99-us %d max-us %d\n", name, h.TotalCount(), h.Mean(),
			h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.Max())
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// ServeHTTP responds with the counters and histograms in the format of WriteTo.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// Writing fails only if the client has disconnected.
	_, _ = m.WriteTo(w)
}
