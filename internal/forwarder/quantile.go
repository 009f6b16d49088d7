package forwarder

import (
	"sync"
	"time"
)

const (
	hedgeQuantile = 0.95
	// maxQuantileStep is the largest relative change of the value by one sample.
	maxQuantileStep = 0.05
	// minHedgeDelay is longer than the scheduling delays of a busy VM. A second request would only add to such
	// delays.
	minHedgeDelay = 5 * time.Millisecond
)

// latencyQuantile estimates the 95th percentile of recent latencies with constant memory. It is safe for
// concurrent use.
type latencyQuantile struct {
	mutex sync.Mutex
	value time.Duration
}

func (q *latencyQuantile) add(d time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.value < 0 {
		return
	}
	step := float64(q.value) * maxQuantileStep
	if d > q.value {
		q.value += time.Duration(step * hedgeQuantile)
	} else {
		q.value = max(q.value-time.Duration(step*(1-hedgeQuantile)), minHedgeDelay)
	}
}

func (q *latencyQuantile) get() time.Duration {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.value
}
