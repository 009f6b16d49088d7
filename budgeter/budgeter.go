// Package budgeter bounds repeated requests to a share of recent traffic.
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
	// Clock tells the time.
	Clock interface {
		Now() time.Time
	}

	// Budgeter is one budget for retries and hedged requests over the last 10 s. The zero value is ready for use.
	// Set the exported fields before the first call. Concurrent use is safe.
	Budgeter struct {
		// Clock defaults to the system clock.
		Clock Clock
		// Ratio is the share of recent requests that may be repeated; default 0.1.
		Ratio float64
		// MinRetries is the number of repeats in 10 s that are allowed without traffic; default 3. A negative value allows none.
		MinRetries int

		mutex        sync.Mutex
		newestSecond int64
		bySecond     [windowSeconds]struct{ requests, repeats int }
	}
)

// CountRequest counts a first attempt.
func (b *Budgeter) CountRequest() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.bySecond[b.advance()].requests++
}

// Spend takes one repeat from the budget. It returns false, and takes nothing, when the budget is used up.
func (b *Budgeter) Spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	i := b.advance()
	requests, repeats := 0, 0
	for _, s := range b.bySecond {
		requests += s.requests
		repeats += s.repeats
	}
	ratio, floor := b.Ratio, b.MinRetries
	if ratio == 0 {
		ratio = defaultRatio
	}
	if floor == 0 {
		floor = defaultMinRetries
	}
	// The floor is an alternative to the share, not added to it, so that a busy service stays within its share.
	if repeats+1 > max(int(ratio*float64(requests)), floor) {
		return false
	}
	b.bySecond[i].repeats++
	return true
}

// advance clears the seconds that left the window and returns the index of the current one.
func (b *Budgeter) advance() int {
	now := time.Now
	if b.Clock != nil {
		now = b.Clock.Now
	}
	second := now().Unix()
	for s := max(b.newestSecond+1, second-windowSeconds+1); s <= second; s++ {
		b.bySecond[s%windowSeconds] = struct{ requests, repeats int }{}
	}
	// A clock that steps back keeps counting in the newest second.
	b.newestSecond = max(b.newestSecond, second)
	return int(b.newestSecond % windowSeconds)
}
