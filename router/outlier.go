package router

import (
	"slices"
	"time"
)

const (
	// outlierInterval is how often the latencies are checked for outliers.
	evaluationInterval = time.Second
	// ewmaDivisor is the divisor of the moving average of the latency: each sample moves it by an eighth of the
	// difference.
	ewmaDivisor = 8
	// minMeasuredEndpoints is the number of endpoints with a latency below which the median says too little to
	// eject by it.
	minMeasuredEndpoints = 4
	// minLatencyExcess is the minimum distance from the median for an ejection. With very fast endpoints,
	// scheduling noise of the machine alone exceeds LatencyFactor.
	minLatencyExcess = 2 * time.Millisecond
)

// Done releases the slot of a choice and records the result of its request. Set failed if the endpoint or the
// network path to it failed; a rejection for lack of capacity is no failure.
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
	// A concurrent update between Load and Store loses one sample, which the moving average tolerates.
	if old := e.latency.Load(); old == 0 {
		e.latency.Store(latency)
	} else {
		e.latency.Store(old + (latency-old)/ewmaDivisor)
	}
	last := r.lastEvaluation.Load()
	if now-time.Duration(last) >= evaluationInterval && r.lastEvaluation.CompareAndSwap(last, int64(now)) {
		r.evaluateEndpoints(now)
	}
}

// Cancel releases the slot of a choice without recording a result. Call it in place of Done if the choice wasn't
// used or if the end of its request says nothing about the endpoint.
func (r *Router) Cancel(c Choice) {
	c.endpoint.ownInFlight.Add(-1)
}

// checkOutliers ejects endpoints far above the median latency and computes the mean load by other processes.
func (r *Router) evaluateEndpoints(now time.Duration) {
	endpoints := *r.endpoints.Load()
	latencies := make([]int64, 0, len(endpoints))
	var otherInFlight int64
	for _, e := range endpoints {
		otherInFlight += e.report.Load().otherInFlight
		if l := e.latency.Load(); l > 0 {
			latencies = append(latencies, l)
		}
	}
	if len(endpoints) > 0 {
		r.meanOtherLoad.Store(otherInFlight * 1000 / int64(len(endpoints)))
	}
	if len(latencies) < minMeasuredEndpoints {
		return
	}
	slices.Sort(latencies)
	median := float64(latencies[len(latencies)/2])
	threshold := max(median*r.options.LatencyFactor, median+float64(minLatencyExcess))
	for _, e := range endpoints {
		switch {
		case float64(e.latency.Load()) > threshold:
			r.eject(e, now)
		case e.failures.Load() == 0 && now >= time.Duration(e.ejectedUntil.Load())+r.options.BaseEjection:
			e.ejections.Store(0)
		}
	}
}

// eject takes the endpoint out of use for a time, unless too few endpoints would remain.
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
	duration := r.options.BaseEjection
	for range e.ejections.Load() {
		if duration = min(2*duration, r.options.MaxEjection); duration == r.options.MaxEjection {
			break
		}
	}
	e.ejections.Add(1)
	e.failures.Store(0)
	// The moving average restarts, so that only latencies after the return count.
	e.latency.Store(0)
	e.ejectedUntil.Store(int64(now + duration))
}
