package gateway

import (
	"slices"
	"sync"
	"time"
)

const (
	// latencyWindow is the age above which the median ignores a sample.
	latencyWindow = 5 * time.Second
	// maxSamples is the maximum number of samples that are kept for a service.
	maxSamples = 64
)

type (
	// latencyTracker holds the last latencies of the endpoint for each service. It is safe for concurrent use. It
	// keeps the samples of every service that has been called, also of those that are no longer announced.
	latencyTracker struct {
		mutex     sync.Mutex
		byService map[string]*sampleRing
	}

	// sampleRing holds the last samples of a service. Once it is full, oldest is the index of the oldest sample,
	// which the next one replaces.
	sampleRing struct {
		oldest  int
		samples []sample
	}

	// sample is one latency and the time at which it was measured.
	sample struct {
		takenAt time.Time
		latency time.Duration
	}
)

// add records a latency: the time from sending a request to the endpoint until its response headers arrive. The
// transfer of the body isn't included, because it depends on how fast the caller reads.
func (l *latencyTracker) add(service string, latency time.Duration, at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.byService == nil {
		l.byService = map[string]*sampleRing{}
	}
	m, ok := l.byService[service]
	if !ok {
		m = &sampleRing{}
		l.byService[service] = m
	}
	if len(m.samples) < maxSamples {
		m.samples = append(m.samples, sample{at, latency})
		return
	}
	m.samples[m.oldest] = sample{at, latency}
	m.oldest = (m.oldest + 1) % maxSamples
}

// median returns the median of the samples that are at most latencyWindow old, and the age of the newest one. If
// there are none, both results are 0.
func (l *latencyTracker) median(service string, now time.Time) (median, newestAge time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	m, ok := l.byService[service]
	if !ok {
		return 0, 0
	}
	var recentLatencies []time.Duration
	newestAge = latencyWindow
	for _, v := range m.samples {
		if sampleAge := now.Sub(v.takenAt); sampleAge <= latencyWindow {
			recentLatencies = append(recentLatencies, v.latency)
			newestAge = min(newestAge, sampleAge)
		}
	}
	if len(recentLatencies) == 0 {
		return 0, 0
	}
	slices.Sort(recentLatencies)
	return recentLatencies[len(recentLatencies)/2], newestAge
}
