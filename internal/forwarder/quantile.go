package forwarder

import (
	"sync"
	"time"
)

const (
	hedgeQuantile = 0.95
	// maxQuantileStep is the part of the value by which one sample moves it at most.
	maxQuantileStep = 0.05
	// minHedgeDelay is above the scheduling delays of a busy VM, which a second request would only add to.
	minHedgeDelay = 5 * time.Millisecond
)

// latencyQuantile follows the 95th percentile of recent latencies with constant memory. Concurrent use is safe.
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
