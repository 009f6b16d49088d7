// Package budgeter limits the number of retries to a fraction of the number of recent requests, so that retries don't
// multiply the load during an outage. Hedged requests count as retries.
package budgeter

import (
	"sync"
	"time"
)

const (
	// windowSeconds is the length of the sliding window.
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
		// Ratio is the number of allowed retries per request in the window; default 0.1.
		Ratio float64
		// MinRetries is the number of retries in the window that are allowed even if there are few or no requests;
		// default 3. With a negative value only Ratio applies.
		MinRetries int

		mutex sync.Mutex
		// newestSecond is the Unix time of the newest second that has been counted.
		newestSecond int64
		// bySecond holds the counts of the window. The index is the Unix time modulo windowSeconds.
		bySecond [windowSeconds]struct{ requests, retries int }
	}
)

// CountRequest counts a request. Call it once for each request, but not for its retries.
func (b *Budgeter) CountRequest() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.bySecond[b.advanceWindow()].requests++
}

// Spend takes one retry from the budget and returns true. If the budget is used up, it returns false.
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
	// The budget is the higher of the two limits, not their sum, so that the retries of a busy service stay within
	// Ratio.
	if retries+1 > max(int(ratio*float64(requests)), minRetries) {
		return false
	}
	b.bySecond[i].retries++
	return true
}

// advanceWindow sets the counts of seconds that have left the window to 0, and returns the index of the current second.
func (b *Budgeter) advanceWindow() int {
	now := time.Now
	if b.Clock != nil {
		now = b.Clock.Now
	}
	second := now().Unix()
	for s := max(b.newestSecond+1, second-windowSeconds+1); s <= second; s++ {
		b.bySecond[s%windowSeconds] = struct{ requests, retries int }{}
	}
	// If the clock has been set back, requests and retries count for the newest second.
	b.newestSecond = max(b.newestSecond, second)
	return int(b.newestSecond % windowSeconds)
}
