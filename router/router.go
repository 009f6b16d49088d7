// Package router selects an endpoint for each request of one service. It takes the less loaded of two random endpoints,
// and ejects endpoints that fail or are much slower than the others: it doesn't select them for some time. Routers of
// several services can share the slots of their VMs.
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
	// maxPairs is the number of random pairs of endpoints that Pick tries before it tests endpoints one after the
	// other. That is needed only if almost every endpoint is full.
	maxPairs = 8
	// maxScannedEndpoints is the maximum number of endpoints that Pick tests one after the other, so that a pick among
	// thousands of endpoints takes about 1 us. Together with the random pairs, Pick misses a free slot in 9% of the
	// picks if 5% of the endpoints have one, and in 0.2% if 12% have one.
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

	// EndpointReport is the state of the endpoint on one VM, as its agent last reported it.
	EndpointReport struct {
		VM string `json:"vm"`
		// Generation identifies one run of the agent on the VM.
		Generation string `json:"generation"`
		// Address is the host and port to which requests are sent.
		Address string `json:"address"`
		// Slots is the maximum number of concurrent requests, and Connections the maximum number of connections.
		// InFlight and Queued are the numbers of requests that run and wait, including those of this process. All
		// four cover all services of the endpoint. With 0 slots the endpoint gets no requests; with 0 connections
		// only Slots applies.
		Slots       int  `json:"slots"`
		Connections int  `json:"connections"`
		InFlight    int  `json:"in-flight"`
		Queued      int  `json:"queued"`
		Draining    bool `json:"draining"`
	}

	// Options configure a Router. A zero field uses the default given here.
	Options struct {
		// Clock defaults to the system clock.
		Clock Clock
		// Random returns 64 random bits. It must be safe for concurrent use. The default is rand.Uint64 of
		// math/rand/v2.
		Random func() uint64
		// LoadTracker counts the requests at each VM. Routers of services that run on the same VMs must share one,
		// and their clocks must show the same time. By default each router has its own.
		LoadTracker *LoadTracker
		// MaxReportAge is the age above which the report of an endpoint has expired. The endpoint isn't selected then;
		// default 2 s.
		MaxReportAge time.Duration
		// ConsecutiveFailures is the number of consecutive failures at which an endpoint is ejected; default 5.
		ConsecutiveFailures int
		// LatencyFactor is the multiple of the median latency above which an endpoint is ejected, if it is also at
		// least 2 ms above the median; default 5.
		LatencyFactor float64
		// BaseEjection is the duration of the first ejection. Each further ejection lasts twice as long, up to
		// MaxEjection; defaults 5 s and 5 min.
		BaseEjectionDuration time.Duration
		MaxEjectionDuration  time.Duration
		// MinHealthyRatio is the fraction of the endpoints that must not be ejected. An ejection that would leave
		// fewer, or none, is skipped. The default is 0.5.
		MinHealthyRatio float64
	}

	// Router selects among the endpoints of one service by the power of two choices. It is safe for concurrent
	// use, and Pick takes no lock.
	Router struct {
		options Options
		// epoch is that of the LoadTracker. Times of the router are kept as durations since the epoch.
		epoch time.Time
		// mutex guards byVM and the replacement of endpoints.
		mutex sync.Mutex
		byVM  map[string]*endpoint
		// endpoints holds the endpoints of byVM, sorted by VM name. The slice is replaced, never changed.
		endpoints atomic.Pointer[[]*endpoint]
		// meanOtherLoad is the mean number of requests of other processes per endpoint, in thousandths.
		meanOtherLoadMilli atomic.Int64
		// lastEvaluation is the time of the last evaluateEndpoints.
		lastEvaluation atomic.Int64
	}

	// Choice is a selected endpoint. It holds a slot of the endpoint until Router.Done or Router.Cancel is called with
	// it; call exactly one of them, once.
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
// the endpoint starts anew, without load and without ejections.
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

// Remove deletes the endpoint of a VM. A Choice of it stays valid.
func (r *Router) Remove(vm string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if m := r.byVM[vm]; m != nil {
		r.options.LoadTracker.releaseLoad(vm, m.vmLoad)
		delete(r.byVM, vm)
		r.updateEndpoints(vm, nil)
	}
}

// Slots returns the sum of the request limits of the endpoints that are not draining and whose report has not expired,
// and the number of these endpoints. The request limit of an endpoint is the lower of its slots and connections.
// Ejected endpoints are included.
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
// a free slot. Among more than 32 endpoints it may miss a free slot if only a few have one, because it doesn't test all
// of them.
func (r *Router) Pick(avoidVM string) (Choice, bool) {
	endpoints := *r.endpoints.Load()
	n := uint64(len(endpoints))
	if n == 0 {
		return Choice{}, false
	}
	now := r.now()
	for range maxPairs {
		randomBits := r.options.Random()
		// Each half of the random bits selects one endpoint. The multiplication and the shift scale it to an index, and
		// are faster than a division.
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

// PickOnVM selects the endpoint on the given VM for a request with an idempotency key, which can run only there. It
// therefore selects the endpoint even if it is ejected or its report has expired. It returns false if the endpoint is
// unknown, has another generation than the given one, is draining, or has no free slot.
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

// lessLoaded returns the eligible one of two endpoints. If both are eligible, it returns the less loaded one; if
// neither is, it returns nil.
func (r *Router) lessLoaded(a, b *endpoint, now time.Duration, avoidVM string) *endpoint {
	firstEligible, secondEligible := r.eligible(a, now, avoidVM), r.eligible(b, now, avoidVM)
	switch {
	case firstEligible && secondEligible && b != a:
		// Compares the load divided by the limit, by cross multiplication, so that an endpoint with fewer slots gets
		// fewer requests.
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

// eligible reports whether Pick may select the endpoint, if it has a free slot.
func (r *Router) eligible(e *endpoint, now time.Duration, avoidVM string) bool {
	p := e.report.Load()
	return !p.draining && now-p.receivedAt <= r.options.MaxReportAge && now >= time.Duration(e.ejectedUntil.Load()) && e.vm != avoidVM
}

// otherLoad returns an estimate of the number of requests of other processes at the endpoint, in thousandths. As the
// report gets older, the estimate moves from the reported number to the mean of all endpoints, because an old report
// says little about the present load.
func (r *Router) otherLoadMilli(e *endpoint, now time.Duration) int64 {
	p := e.report.Load()
	age := min(max(now-p.receivedAt, 0), r.options.MaxReportAge)
	return p.otherRequests*1000 + (r.meanOtherLoadMilli.Load()-p.otherRequests*1000)*int64(age/time.Microsecond)/max(int64(r.options.MaxReportAge/time.Microsecond), 1)
}

// quota returns the maximum number of requests that this process may have in flight at the endpoint. If
// LoadTracker.SetProcessCount has set a number of processes, that is an equal part of the limit of the endpoint.
// Otherwise it is the limit minus the estimated number of requests of other processes.
func (r *Router) quota(e *endpoint, now time.Duration) int64 {
	limit := int64(e.report.Load().limit)
	if processes := r.options.LoadTracker.processCount.Load(); processes > 0 {
		return (limit + processes - 1) / processes
	}
	return limit - (r.otherLoadMilli(e, now)+999)/1000
}

// extendedQuota returns the quota, or if it is higher, the limit of the endpoint minus the estimated number of requests
// of other processes. A process thus may use slots that the others leave idle.
func (r *Router) extendedQuota(e *endpoint, now time.Duration) int64 {
	return max(r.quota(e, now), int64(e.report.Load().limit)-(r.otherLoadMilli(e, now)+999)/1000)
}

// totalLoad returns the estimated number of requests of all processes at the endpoint, in thousandths.
func (r *Router) totalLoadMilli(e *endpoint, now time.Duration) int64 {
	return r.otherLoadMilli(e, now) + e.ownInFlight.Load()*1000
}

// now returns the current time relative to the epoch.
func (r *Router) now() time.Duration {
	return r.options.Clock.Now().Sub(r.epoch)
}

// updateEndpoints replaces the list of endpoints by a copy in which m is the endpoint of the VM, or which has no
// endpoint of the VM if m is nil. The list is sorted by VM name, so that runs with a seeded random source are
// repeatable. The caller must hold the mutex.
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
