package gateway

import (
	"slices"
	"sync"
	"time"
)

const (
	// latencyWindow is how long a measurement counts.
	latencyWindow = 5 * time.Second
	// maxSamples bounds the measurements kept for a service.
	maxSamples = 64
)

type (
	// latencyTracker holds the last answers of the endpoint for each service. Concurrent use is safe. The number of
	// services is bounded by the announcement.
	latencyTracker struct {
		mutex    sync.Mutex
		services map[string]*sampleRing
	}

	sampleRing struct {
		next    int
		samples []sample
	}

	sample struct {
		takenAt time.Time
		latency time.Duration
	}
)

// add notes the time from the call to the endpoint's answer, without the body, whose length depends on the caller.
func (l *latencyTracker) add(service string, took time.Duration, at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.services == nil {
		l.services = map[string]*sampleRing{}
	}
	m, ok := l.services[service]
	if !ok {
		m = &sampleRing{}
		l.services[service] = m
	}
	if len(m.samples) < maxSamples {
		m.samples = append(m.samples, sample{at, took})
		return
	}
	m.samples[m.next] = sample{at, took}
	m.next = (m.next + 1) % maxSamples
}

// median returns the median of the last seconds and the age of the newest measurement in it; both are zero without one.
func (l *latencyTracker) median(service string, now time.Time) (median, age time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	m, ok := l.services[service]
	if !ok {
		return 0, 0
	}
	var recent []time.Duration
	age = latencyWindow
	for _, v := range m.samples {
		if old := now.Sub(v.takenAt); old <= latencyWindow {
			recent = append(recent, v.latency)
			age = min(age, old)
		}
	}
	if len(recent) == 0 {
		return 0, 0
	}
	slices.Sort(recent)
	return recent[len(recent)/2], age
}
