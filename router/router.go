// Package router selects an endpoint for each request of one service. Of two random endpoints it selects the less
// loaded one. An endpoint that fails, or is much slower than the others, is ejected: it is not selected for some time.
// Routers of several services can share the slots of the VMs on which these services run.
package router

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPairs is the number of random pairs of endpoints that Pick tries first. Then it tests endpoints one after the
	// other; that is needed only if almost all endpoints are full.
	maxPairs = 8
	// maxScannedEndpoints is the maximum number of endpoints that Pick tests one after the other, so that a call with
	// thousands of endpoints takes about 1 us. With so many endpoints, Pick finds no free slot in 9% of the calls if 5%
	// of the endpoints have one, and in 0.2% of the calls if 12% have one.
	maxScannedEndpoints         = 32
	defaultMaxReportAge         = 2 * time.Second
	defaultConsecutiveFailures  = 5
	defaultLatencyFactor        = 5
	defaultBaseEjectionDuration = 5 * time.Second
	defaultMaxEjectionDuration  = 5 * time.Minute
	defaultMinHealthyRatio      = 0.5
)

type (
	// Clock returns the current time.
	Clock interface {
		Now() time.Time
	}

	// EndpointReport is the last reported state of the endpoint on one VM. The agent on the VM reports it.
	EndpointReport struct {
		VM string `json:"vm"`
		// Generation identifies one run of the agent on the VM.
		Generation string `json:"generation"`
		// Address is the host and port to which the requests for the endpoint are sent.
		Address string `json:"address"`
		// Slots is the maximum number of concurrent requests, and Connections the maximum number of connections.
		// InFlight is the number of running requests, and Queued that of waiting ones, including those of this process.
		// All four cover all services of the endpoint. With 0 slots the endpoint gets no requests; with 0 connections
		// only Slots limits the requests.
		Slots       int  `json:"slots"`
		Connections int  `json:"connections"`
		InFlight    int  `json:"in-flight"`
		Queued      int  `json:"queued"`
		Draining    bool `json:"draining"`
	}

	// Options configure a Router. A field that is 0 or nil means the default.
	Options struct {
		// Clock defaults to the system clock.
		Clock Clock
		// Random returns 64 random bits. It must be safe for concurrent use. The default is rand.Uint64 of
		// math/rand/v2.
		Random func() uint64
		// LoadTracker counts the requests at each VM. Routers of services that run on the same VMs must use the same
		// LoadTracker, and clocks that show the same time. By default each router has its own LoadTracker.
		LoadTracker *LoadTracker
		// MaxReportAge is the age above which the last report of an endpoint has expired; default 2 s. Pick doesn't
		// select such an endpoint.
		MaxReportAge time.Duration
		// ConsecutiveFailures is the number of consecutive failures at which an endpoint is ejected; default 5.
		ConsecutiveFailures int
		// LatencyFactor is the multiple of the median latency of all endpoints above which an endpoint is ejected;
		// default 5. The latency must also be at least 2 ms above the median.
		LatencyFactor float64
		// BaseEjectionDuration is the duration of the first ejection of an endpoint; default 5 s. Each further ejection
		// in succession lasts twice as long as the one before, up to MaxEjectionDuration; default 5 min.
		BaseEjectionDuration time.Duration
		MaxEjectionDuration  time.Duration
		// MinHealthyRatio is the fraction of the endpoints that must stay in use; default 0.5. An endpoint is not
		// ejected if fewer than this fraction, or none, would then stay in use.
		MinHealthyRatio float64
	}

	// Router selects endpoints of one service for requests. It uses the power of two choices: of two random endpoints,
	// it selects the less loaded one. It is safe for concurrent use, and Pick takes no lock.
	Router struct {
		options Options
		// epoch is the epoch of the LoadTracker. The router stores times as durations since the epoch.
		epoch time.Time
		// mutex guards byVM, and is held while the slice in endpoints is replaced.
		mutex sync.Mutex
		byVM  map[string]*endpoint
		// endpoints holds the endpoints of byVM, sorted by VM name. The slice is replaced, never changed.
		endpoints atomic.Pointer[[]*endpoint]
		// meanOtherLoadMilli is the mean number of requests of other processes per endpoint, in thousandths of a
		// request.
		meanOtherLoadMilli atomic.Int64
		// lastEvaluation is the time of the last evaluateEndpoints, as nanoseconds since the epoch.
		lastEvaluation atomic.Int64
	}

	// Choice is a selected endpoint. It holds a slot of the endpoint until it is passed to Router.Done or
	// Router.Cancel. Call exactly one of them, and once only.
	Choice struct {
		endpoint  *endpoint
		startedAt time.Duration
	}
)

// New returns a router without endpoints.
func New(o Options) *Router {
	if o.Clock == nil {
		o.Clock = systemClock{}
	}
	if o.Random == nil {
		o.Random = rand.Uint64
	}
	if o.LoadTracker == nil {
		o.LoadTracker = &LoadTracker{}
	}
	o.MaxReportAge = orDefault(o.MaxReportAge, defaultMaxReportAge)
	o.ConsecutiveFailures = orDefault(o.ConsecutiveFailures, defaultConsecutiveFailures)
	o.LatencyFactor = orDefault(o.LatencyFactor, defaultLatencyFactor)
	o.BaseEjectionDuration = orDefault(o.BaseEjectionDuration, defaultBaseEjectionDuration)
	o.MaxEjectionDuration = orDefault(o.MaxEjectionDuration, defaultMaxEjectionDuration)
	o.MinHealthyRatio = orDefault(o.MinHealthyRatio, defaultMinHealthyRatio)
	r := &Router{options: o, epoch: o.LoadTracker.startEpoch(o.Clock.Now()), byVM: map[string]*endpoint{}}
	r.endpoints.Store(&[]*endpoint{})
	return r
}

// Report adds an endpoint or replaces its last report. If the generation or the address differs from the last report,
// the endpoint counts as a new one, which has no requests of this process and was never ejected.
func (r *Router) Report(e EndpointReport) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	m := r.byVM[e.VM]
	if m == nil || m.generation != e.Generation || m.address != e.Address {
		if m != nil {
			r.options.LoadTracker.releaseLoad(e.VM, m.vmLoad)
		}
		m = &endpoint{vmLoad: r.options.LoadTracker.acquireLoad(e, r.now()), vm: e.VM}
		r.byVM[e.VM] = m
		r.updateEndpoints(e.VM, m)
		return
	}
	m.setReport(e, r.now())
}

// Remove deletes the endpoint of a VM. A Choice of the endpoint must still be passed to Done or Cancel.
func (r *Router) Remove(vm string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if m := r.byVM[vm]; m != nil {
		r.options.LoadTracker.releaseLoad(vm, m.vmLoad)
		delete(r.byVM, vm)
		r.updateEndpoints(vm, nil)
	}
}

// RequestLimit returns the sum of the request limits of the endpoints that are not draining and whose last report has
// not expired, and the number of these endpoints. The request limit of an endpoint is the lower of its slots and
// connections, or the slots if the report has 0 connections. Ejected endpoints are included.
func (r *Router) RequestLimit() (limit, endpoints int) {
	now := r.now()
	for _, e := range *r.endpoints.Load() {
		if p := e.report.Load(); !p.draining && now-p.receivedAt <= r.options.MaxReportAge {
			limit += p.limit
			endpoints++
		}
	}
	return limit, endpoints
}

// Pick selects an endpoint on any VM except avoidVM, which may be empty. It returns false if it finds no endpoint with
// a free slot. With more than 32 endpoints it does not test all of them, so it may miss a free slot if only a few
// endpoints have one.
func (r *Router) Pick(avoidVM string) (Choice, bool) {
	endpoints := *r.endpoints.Load()
	n := uint64(len(endpoints))
	if n == 0 {
		return Choice{}, false
	}
	now := r.now()
	for range maxPairs {
		randomBits := r.options.Random()
		// Each half of the random bits selects one endpoint: a multiplication and a shift scale it to an index, which
		// is faster than a division.
		a, b := endpoints[(randomBits>>32)*n>>32], endpoints[(randomBits&(1<<32-1))*n>>32]
		best := r.lessLoaded(a, b, now, avoidVM)
		if best != nil && best.acquireSlot(r.quota(best, now)) {
			return Choice{best, now}, true
		}
	}
	startIndex := r.options.Random() % n
	for _, quota := range [...]func(*endpoint, time.Duration) int64{r.quota, r.extendedQuota} {
		for i := range min(n, maxScannedEndpoints) {
			e := endpoints[(startIndex+i)%n]
			if r.eligible(e, now, avoidVM) && e.acquireSlot(quota(e, now)) {
				return Choice{e, now}, true
			}
		}
	}
	return Choice{}, false
}

// PickOnVM selects the endpoint on the given VM for a request with an idempotency key. Such a request can run only
// there, so PickOnVM also selects an endpoint that is ejected or whose last report has expired. It returns false if no
// endpoint with the given VM and generation is known, or if the endpoint is draining or has no free slot.
func (r *Router) PickOnVM(vm, generation string) (Choice, bool) {
	r.mutex.Lock()
	e := r.byVM[vm]
	r.mutex.Unlock()
	if e == nil || e.generation != generation {
		return Choice{}, false
	}
	now := r.now()
	if !e.acquireSlot(r.extendedQuota(e, now)) {
		return Choice{}, false
	}
	return Choice{e, now}, true
}

// lessLoaded returns the less loaded of two endpoints. If only one of them is eligible, it returns that one; if neither
// is, it returns nil.
func (r *Router) lessLoaded(a, b *endpoint, now time.Duration, avoidVM string) *endpoint {
	firstEligible, secondEligible := r.eligible(a, now, avoidVM), r.eligible(b, now, avoidVM)
	switch {
	case firstEligible && secondEligible && b != a:
		// The loads are compared relative to the limits of the endpoints, so that an endpoint with fewer slots gets
		// fewer requests. Each load is multiplied by the other limit, which avoids a division.
		if r.totalLoadMilli(b, now)*int64(a.report.Load().limit) < r.totalLoadMilli(a, now)*int64(b.report.Load().limit) {
			return b
		}
		return a
	case firstEligible:
		return a
	case secondEligible:
		return b
	}
	return nil
}

// eligible reports whether Pick may select the endpoint if it has a free slot: it is not draining, not ejected and not
// on avoidVM, and its last report has not expired.
func (r *Router) eligible(e *endpoint, now time.Duration, avoidVM string) bool {
	p := e.report.Load()
	return !p.draining && now-p.receivedAt <= r.options.MaxReportAge && now >= time.Duration(e.ejectedUntil.Load()) && e.vm != avoidVM
}

// otherLoadMilli returns an estimate of the number of requests of other processes at the endpoint, in thousandths of a
// request. While the last report is new, the estimate is the number in the report. As the report gets older, the
// estimate moves to the mean of all endpoints, because an old report says little about the present load.
func (r *Router) otherLoadMilli(e *endpoint, now time.Duration) int64 {
	p := e.report.Load()
	age := min(max(now-p.receivedAt, 0), r.options.MaxReportAge)
	return p.otherRequests*1000 + (r.meanOtherLoadMilli.Load()-p.otherRequests*1000)*int64(age/time.Microsecond)/max(int64(r.options.MaxReportAge/time.Microsecond), 1)
}

// quota returns the maximum number of requests that this process may have at the endpoint. If
// LoadTracker.SetProcessCount has set a number of processes, the quota is the limit of the endpoint divided by this
// number and rounded up. Otherwise it is the limit minus the estimated number of requests of other processes.
func (r *Router) quota(e *endpoint, now time.Duration) int64 {
	limit := int64(e.report.Load().limit)
	if processes := r.options.LoadTracker.processCount.Load(); processes > 0 {
		return (limit + processes - 1) / processes
	}
	return limit - (r.otherLoadMilli(e, now)+999)/1000
}

// extendedQuota returns the higher of two numbers: the quota, and the limit of the endpoint minus the estimated number
// of requests of other processes. With it, a process may use slots that the other processes leave idle.
func (r *Router) extendedQuota(e *endpoint, now time.Duration) int64 {
	return max(r.quota(e, now), int64(e.report.Load().limit)-(r.otherLoadMilli(e, now)+999)/1000)
}

// totalLoadMilli returns the estimated number of requests of all processes at the endpoint, in thousandths of a
// request.
func (r *Router) totalLoadMilli(e *endpoint, now time.Duration) int64 {
	return r.otherLoadMilli(e, now) + e.ownInFlight.Load()*1000
}

// now returns the current time relative to the epoch.
func (r *Router) now() time.Duration {
	return r.options.Clock.Now().Sub(r.epoch)
}

// updateEndpoints replaces the list of endpoints by a copy in which m is the endpoint of the VM. If m is nil, the copy
// contains no endpoint of the VM. The list is sorted by VM name, so that Pick selects the same endpoints again if
// Random returns the same numbers. The caller must hold the mutex.
func (r *Router) updateEndpoints(vm string, m *endpoint) {
	endpoints := slices.Clone(*r.endpoints.Load())
	i, found := slices.BinarySearchFunc(endpoints, vm, func(e *endpoint, name string) int { return strings.Compare(e.vm, name) })
	switch {
	case m == nil:
		endpoints = slices.Delete(endpoints, i, i+1)
	case found:
		endpoints[i] = m
	default:
		endpoints = slices.Insert(endpoints, i, m)
	}
	r.endpoints.Store(&endpoints)
}

// orDefault returns value, or defaultValue if value is 0.
func orDefault[T int | float64 | time.Duration](value, defaultValue T) T {
	if value == 0 {
		return defaultValue
	}
	return value
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }
