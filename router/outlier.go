package router

import (
	"slices"
	"time"
)

const (
	// outlierInterval is how often the median latency is computed.
	outlierInterval = time.Second
	// ewmaDivisor is the divisor of the moving mean: each answer moves it by an eighth of the difference.
	ewmaDivisor = 8
	// minMeasuredEndpoints is the least number of measured endpoints with a meaningful median.
	minMeasuredEndpoints = 4
	// minLatencyExcess is how far above the median a latency must be in any case. Below it scheduling noise of the machine
	// exceeds the factor between very fast endpoints.
	minLatencyExcess = 2 * time.Millisecond
)

// Done ends a choice. Failed tells that the endpoint or the way to it failed; a refusal for lack of capacity is no failure.
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
	took := max(int64(now-c.started), 1)
	// A lost update between Load and Store drops one sample, which the mean tolerates.
	if old := e.latency.Load(); old == 0 {
		e.latency.Store(took)
	} else {
		e.latency.Store(old + (took-old)/ewmaDivisor)
	}
	last := r.lastOutlierCheck.Load()
	if now-time.Duration(last) >= outlierInterval && r.lastOutlierCheck.CompareAndSwap(last, int64(now)) {
		r.checkOutliers(now)
	}
}

// Cancel ends a choice that was not used, or whose end tells nothing about the endpoint. Use it in place of Done.
func (r *Router) Cancel(c Choice) {
	c.endpoint.ownInFlight.Add(-1)
}

// checkOutliers ejects endpoints far above the median latency and computes the mean foreign load.
func (r *Router) checkOutliers(now time.Duration) {
	list := *r.sorted.Load()
	latencies := make([]int64, 0, len(list))
	var foreign int64
	for _, e := range list {
		foreign += e.report.Load().otherInFlight
		if l := e.latency.Load(); l > 0 {
			latencies = append(latencies, l)
		}
	}
	if len(list) > 0 {
		r.meanOtherLoad.Store(foreign * 1000 / int64(len(list)))
	}
	if len(latencies) < minMeasuredEndpoints {
		return
	}
	slices.Sort(latencies)
	median := float64(latencies[len(latencies)/2])
	limit := max(median*r.options.LatencyFactor, median+float64(minLatencyExcess))
	for _, e := range list {
		switch {
		case float64(e.latency.Load()) > limit:
			r.eject(e, now)
		case e.failures.Load() == 0 && now >= time.Duration(e.ejectedUntil.Load())+r.options.BaseEjection:
			e.ejections.Store(0)
		}
	}
}

// eject takes the endpoint out of use unless too few would remain.
func (r *Router) eject(e *endpoint, now time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now < time.Duration(e.ejectedUntil.Load()) {
		return
	}
	usable, total := 0, len(r.byVM)
	for _, m := range r.byVM {
		if now >= time.Duration(m.ejectedUntil.Load()) {
			usable++
		}
	}
	if usable-1 < max(int(r.options.MinHealthyRatio*float64(total)+0.999), 1) {
		return
	}
	length := r.options.BaseEjection
	for range e.ejections.Load() {
		if length = min(2*length, r.options.MaxEjection); length == r.options.MaxEjection {
			break
		}
	}
	e.ejections.Add(1)
	e.failures.Store(0)
	// The mean restarts, so that the endpoint is judged by what it does after its return.
	e.latency.Store(0)
	e.ejectedUntil.Store(int64(now + length))
}
