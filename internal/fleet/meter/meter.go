// Package meter counts what a process does and keeps histograms of its latencies, for the metrics address.
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
	// lowest and highest bound what a histogram tells apart, in microseconds; digits is its precision.
	lowestMicroseconds  = 1
	highestMicroseconds = int64(time.Minute / time.Microsecond)
	significantDigits   = 2
)

// Meter holds counters and histograms by name. A nil Meter counts nothing. Concurrent use is safe.
type Meter struct {
	mutex      sync.Mutex
	counters   map[string]int64
	histograms map[string]*hdrhistogram.Histogram
}

// Count adds one to the counter.
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

// Observe enters a latency into the histogram. Values beyond a minute count as a minute.
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
		h = hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantDigits)
		m.histograms[name] = h
	}
	if err := h.RecordValue(min(max(d.Microseconds(), lowestMicroseconds), highestMicroseconds)); err != nil {
		panic("meter: value within the bounds was refused: " + err.Error())
	}
}

// WriteTo writes a line for each counter and each histogram, in the order of their names.
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

// ServeHTTP answers with the text of WriteTo.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// A reader that has gone away needs no answer.
	_, _ = m.WriteTo(w)
}
