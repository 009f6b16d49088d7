// Package budgeter limits retries to a ratio of the recent requests. A hedged request counts as a retry.
package budgeter

import (
	"sync"
	"time"
)

const (
	windowSeconds     = 10
	defaultRatio      = 0.1
	defaultMinRetries = 3
)

type (
	// Clock returns the current time.
	Clock interface {
		Now() time.Time
	}

	// Budgeter is a retry budget over a sliding window of 10 s. The zero value is ready for use. Set the
	// exported fields before the first call. It is safe for concurrent use.
	Budgeter struct {
		// Clock defaults to the system clock.
		Clock Clock
		// Ratio is the number of allowed retries per recent request; default 0.1.
		Ratio float64
		// MinRetries is the number of retries in 10 s that are allowed with little or no traffic; default 3.
		// With a negative value only Ratio applies.
		MinRetries int

		mutex        sync.Mutex
		newestSecond int64
		bySecond     [windowSeconds]struct{ requests, retries int }
	}
)

// CountRequest counts a request; call it once for each, not for its retries.
func (b *Budgeter) CountRequest() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.bySecond[b.advance()].requests++
}

// Spend takes one retry from the budget. It returns false, and takes nothing, if the budget is used up.
func (b *Budgeter) Spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	i := b.advance()
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
	// The budget is the larger of the two limits, not their sum, so that the retries of a busy service stay
	// within Ratio.
	if retries+1 > max(int(ratio*float64(requests)), minRetries) {
		return false
	}
	b.bySecond[i].retries++
	return true
}

// advance clears the seconds that have left the window and returns the index of the current one.
func (b *Budgeter) advance() int {
	now := time.Now
	if b.Clock != nil {
		now = b.Clock.Now
	}
	second := now().Unix()
	for s := max(b.newestSecond+1, second-windowSeconds+1); s <= second; s++ {
		b.bySecond[s%windowSeconds] = struct{ requests, retries int }{}
	}
	// If the clock steps back, counting continues in the newest second.
	b.newestSecond = max(b.newestSecond, second)
	return int(b.newestSecond % windowSeconds)
}
