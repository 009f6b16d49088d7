package router

import (
	"slices"
	"time"
)

const (
	// evaluationInterval is the minimum time between two calls of evaluateEndpoints.
	evaluationInterval = time.Second
	// ewmaDivisor is the divisor in the exponentially weighted moving average (EWMA) of the latency: each sample moves
	// the average by an eighth of the difference between them.
	ewmaDivisor = 8
	// minMeasuredEndpoints is the minimum number of endpoints with a known latency. With fewer, no endpoint is ejected
	// for its latency, because the median of so few says too little.
	minMeasuredEndpoints = 4
	// minLatencyExcess is the minimum difference from the median latency above which an endpoint is ejected. If all
	// endpoints are very fast, scheduling delays of the machine alone can exceed LatencyFactor times the median.
	minLatencyExcess = 2 * time.Millisecond
)

// Done releases the slot of a choice and records whether its request failed and, if not, its latency. failed must be
// true if the endpoint or the network path to it failed. A rejection because the endpoint is full is not a failure.
func (r *Router) Done(c Choice, failed bool) {
	e := c.endpoint
	now := r.now()
	e.ownInFlight.Add(-1)
	if failed {
		if e.failures.Add(1) >= int64(r.options.ConsecutiveFailures) {
			r.eject(e, now)
		}
		return
	}
	e.failures.Store(0)
	latency := max(int64(now-c.startedAt), 1)
	// If two calls run at the same time, one sample may be lost. That changes the moving average only little.
	if oldLatency := e.latency.Load(); oldLatency == 0 {
		e.latency.Store(latency)
	} else {
		e.latency.Store(oldLatency + (latency-oldLatency)/ewmaDivisor)
	}
	lastEvaluation := r.lastEvaluation.Load()
	if now-time.Duration(lastEvaluation) >= evaluationInterval && r.lastEvaluation.CompareAndSwap(lastEvaluation, int64(now)) {
		r.evaluateEndpoints(now)
	}
}

// Cancel releases the slot of a choice without recording a result. Call it instead of Done if no request was sent, or
// if the result of the request says nothing about the endpoint, for example because the request was cancelled.
func (r *Router) Cancel(c Choice) {
	c.endpoint.ownInFlight.Add(-1)
}

// evaluateEndpoints computes meanOtherLoadMilli, ejects endpoints whose latency is far above the median, and resets the
// number of ejections of endpoints that have recovered. If the latency of fewer than minMeasuredEndpoints
// endpoints is known, it only computes meanOtherLoadMilli.
func (r *Router) evaluateEndpoints(now time.Duration) {
	endpoints := *r.endpoints.Load()
	latencies := make([]int64, 0, len(endpoints))
	var otherRequests int64
	for _, e := range endpoints {
		otherRequests += e.report.Load().otherRequests
		if l := e.latency.Load(); l > 0 {
			latencies = append(latencies, l)
		}
	}
	if len(endpoints) > 0 {
		r.meanOtherLoadMilli.Store(otherRequests * 1000 / int64(len(endpoints)))
	}
	if len(latencies) < minMeasuredEndpoints {
		return
	}
	slices.Sort(latencies)
	median := float64(latencies[len(latencies)/2])
	latencyThreshold := max(median*r.options.LatencyFactor, median+float64(minLatencyExcess))
	for _, e := range endpoints {
		switch {
		case float64(e.latency.Load()) > latencyThreshold:
			r.eject(e, now)
		case e.failures.Load() == 0 && now >= time.Duration(e.ejectedUntil.Load())+r.options.BaseEjectionDuration:
			e.ejections.Store(0)
		}
	}
}

// eject ejects the endpoint: Pick does not select it for some time. eject does nothing if the endpoint is already
// ejected, or if too few endpoints would stay in use (see Options.MinHealthyRatio).
func (r *Router) eject(e *endpoint, now time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now < time.Duration(e.ejectedUntil.Load()) {
		return
	}
	inUse, total := 0, len(r.byVM)
	for _, m := range r.byVM {
		if now >= time.Duration(m.ejectedUntil.Load()) {
			inUse++
		}
	}
	if inUse-1 < max(int(r.options.MinHealthyRatio*float64(total)+0.999), 1) {
		return
	}
	ejectionDuration := r.options.BaseEjectionDuration
	for range e.ejections.Load() {
		if ejectionDuration = min(2*ejectionDuration, r.options.MaxEjectionDuration); ejectionDuration == r.options.MaxEjectionDuration {
			break
		}
	}
	e.ejections.Add(1)
	e.failures.Store(0)
	// The moving average starts again, so that latencies from before the ejection don't count after it.
	e.latency.Store(0)
	e.ejectedUntil.Store(int64(now + ejectionDuration))
}
