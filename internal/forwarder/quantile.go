package forwarder

import (
	"sync"
	"time"
)

const (
	// hedgeQuantile is the quantile of the latencies that latencyQuantile estimates.
	hedgeQuantile = 0.95
	// maxQuantileStep is the maximum relative change of the estimate when one latency is added.
	maxQuantileStep = 0.05
	// minHedgeDelay is the minimum delay of a hedged request. Delays below this value can come from
	// scheduling on a busy VM alone, and a hedged request would only add to the load of such a VM.
	minHedgeDelay = 5 * time.Millisecond
)

// latencyQuantile estimates the 95th percentile of recent latencies with constant memory: each added latency moves the
// estimate up or down by a small step. The estimate is the delay after which a hedged request is sent. It is safe for
// concurrent use.
type latencyQuantile struct {
	mutex sync.Mutex
	// value is the estimate. If it is negative, hedged requests are disabled, and it never changes.
	value time.Duration
}

// add moves the estimate up if the latency d is above it, and down otherwise.
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
