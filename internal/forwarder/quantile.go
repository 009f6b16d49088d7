package forwarder

import (
	"sync"
	"time"
)

const (
	// hedgeQuantile is the quantile of the latencies after which a hedged request is sent.
	hedgeQuantile = 0.95
	// maxQuantileStep is the largest relative change of the estimate by one latency.
	maxQuantileStep = 0.05
	// minHedgeDelay is the minimum delay of a hedged request. It is longer than the scheduling delays of a busy VM,
	// because a second request would only add to such delays.
	minHedgeDelay = 5 * time.Millisecond
)

// latencyQuantile estimates the 95th percentile of recent latencies with constant memory: each latency moves the
// estimate up or down by a small step. It is safe for concurrent use.
type latencyQuantile struct {
	mutex sync.Mutex
	// value is the estimate. A negative value never changes; it means that hedging is disabled.
	value time.Duration
}

// add updates the estimate by the latency d.
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
