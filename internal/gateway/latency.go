package gateway

import (
	"slices"
	"sync"
	"time"
)

const (
	// latencyWindow is the maximum age of the samples from which the median is computed.
	latencyWindow = 5 * time.Second
	// maxSamples is the maximum number of latencies that are stored for a service.
	maxSamples = 64
)

type (
	// latencyTracker stores the most recent latencies of the endpoint, separately for each service. It is safe for
	// concurrent use. It keeps the samples of every service that has been called, also of those that are no longer
	// announced.
	latencyTracker struct {
		mutex     sync.Mutex
		byService map[string]*sampleRing
	}

	// sampleRing holds the most recent samples of a service. Once it has maxSamples, each new sample replaces the
	// oldest one, and oldest is the index of that one.
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

// add stores a latency of the service. The latency is the time from sending a request to the endpoint until its
// response headers arrive. It does not include the transfer of the body, which depends on how fast the caller reads.
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

// median returns the median of the latencies of the service that are at most latencyWindow old, and the age of the
// newest one. If there are none, it returns 0 for both.
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
