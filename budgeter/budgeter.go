// Package budgeter limits the number of retries to a fraction of the number of recent requests, so that retries don't
// multiply the load during an outage. A hedged request, which is a second copy of a request whose response is slow,
// counts as a retry.
package budgeter

import (
	"sync"
	"time"
)

const (
	// windowSeconds is the length of the sliding window in which requests and retries are counted.
	windowSeconds     = 10
	defaultRatio      = 0.1
	defaultMinRetries = 3
)

type (
	// Clock returns the current time.
	Clock interface {
		Now() time.Time
	}

	// Budgeter is a retry budget: it counts requests and retries in a sliding window of 10 s. The zero value is ready
	// for use. Set the exported fields before the first call. A Budgeter is safe for concurrent use.
	Budgeter struct {
		// Clock defaults to the system clock.
		Clock Clock
		// Ratio is the number of retries that are allowed per request in the window; default 0.1.
		Ratio float64
		// MinRetries is the number of retries in the window that are always allowed, however few requests there are;
		// default 3. If it is negative, only Ratio applies.
		MinRetries int

		mutex sync.Mutex
		// newestSecond is the Unix time in seconds of the newest counted second.
		newestSecond int64
		// bySecond holds the number of requests and retries in each second of the window. The index is the Unix time of
		// the second modulo windowSeconds.
		bySecond [windowSeconds]struct{ requests, retries int }
	}
)

// CountRequest counts a request. Call it once for each request, and not for its retries.
func (b *Budgeter) CountRequest() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.bySecond[b.advanceWindow()].requests++
}

// Spend counts a retry and returns true if the budget allows the retry. Otherwise it returns false.
func (b *Budgeter) Spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	i := b.advanceWindow()
	requests, retries := 0, 0
	for _, s := range b.bySecond {
		requests += s.requests
		retries += s.retries
	}
	ratio, minRetries := b.Ratio, b.MinRetries
	if ratio == 0 {
		ratio = defaultRatio
	}
	if minRetries == 0 {
		minRetries = defaultMinRetries
	}
	// The budget is the higher of the two limits and not their sum, so that a service with many requests doesn't exceed
	// Ratio.
	if retries+1 > max(int(ratio*float64(requests)), minRetries) {
		return false
	}
	b.bySecond[i].retries++
	return true
}

// advanceWindow moves the window up to the current second and sets the counts of the new seconds to 0. It returns the
// index of the current second in bySecond.
func (b *Budgeter) advanceWindow() int {
	now := time.Now
	if b.Clock != nil {
		now = b.Clock.Now
	}
	second := now().Unix()
	for s := max(b.newestSecond+1, second-windowSeconds+1); s <= second; s++ {
		b.bySecond[s%windowSeconds] = struct{ requests, retries int }{}
	}
	// If the clock has been set back, requests and retries are counted in the newest second.
	b.newestSecond = max(b.newestSecond, second)
	return int(b.newestSecond % windowSeconds)
}
