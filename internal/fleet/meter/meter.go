// Package meter provides counters, gauges and latency histograms, and serves them as text at the metrics address.
package meter

import (
	"bytes"
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

// Meter holds counters, gauges and histograms by name. A nil Meter discards all values. Meter is safe for concurrent use.
type Meter struct {
	mutex      sync.Mutex
	counters   map[string]int64
	gauges     map[string]func() int64
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

// Gauge registers a function that returns the current value of the gauge with the name. The function must be safe for concurrent use and must not call
// the meter.
func (m *Meter) Gauge(name string, value func() int64) {
	if m == nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.gauges == nil {
		m.gauges = map[string]func() int64{}
	}
	m.gauges[name] = value
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

// WriteTo writes one line for each counter, then one for each gauge, and then one for each histogram, each sorted by name. A slow writer does not delay
// other calls.
func (m *Meter) WriteTo(w io.Writer) (int64, error) {
	var b bytes.Buffer
	if err := m.write(&b); err != nil {
		return 0, err
	}
	return b.WriteTo(w)
}

// write writes all lines to w.
func (m *Meter) write(w io.Writer) error {
	m.mutex.Lock()
	gauges := maps.Clone(m.gauges)
	m.mutex.Unlock()
	values := map[string]int64{}
	for name, value := range gauges {
		values[name] = value()
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, name := range slices.Sorted(maps.Keys(m.counters)) {
		if _, err := fmt.Fprintf(w, "%s %d\n", name, m.counters[name]); err != nil {
			return err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if _, err := fmt.Fprintf(w, "%s %d\n", name, values[name]); err != nil {
			return err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.histograms)) {
		h := m.histograms[name]
		_, err := fmt.Fprintf(w, "%s count %d mean-us %.0f p50-us %d p90-us %d p99-us %d max-us %d\n", name, h.TotalCount(), h.Mean(),
			h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.Max())
		if err != nil {
			return err
		}
	}
	return nil
}

// ServeHTTP responds with the counters, gauges and histograms in the format of WriteTo.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// Writing fails only if the client has disconnected.
	_, _ = m.WriteTo(w)
}
