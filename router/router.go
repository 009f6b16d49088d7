// Package router selects an endpoint for each request of one service. It compares two random endpoints by load
// and ejects outliers. Routers of several services can share the slots of their VMs.
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
	// maxDraws is the number of random pairs that Pick compares before it falls back to a linear scan. The scan
	// is needed only when almost every endpoint is full.
	maxDraws = 8
	// maxScanned limits the fallback scan so that a pick takes about 1 us in the largest fleet. Including the
	// random draws, Pick then misses a free slot in 9% of the picks if 5% of the endpoints have one, and in 0.2%
	// if 12% have one.
	maxScanned                 = 32
	defaultMaxReportAge        = 2 * time.Second
	defaultConsecutiveFailures = 5
	defaultLatencyFactor       = 5
	defaultBaseEjection        = 5 * time.Second
	defaultMaxEjection         = 5 * time.Minute
	defaultMinHealthyRatio     = 0.5
)

type (
	// Clock returns the current time.
	Clock interface {
		Now() time.Time
	}

	// EndpointReport is the last report of one endpoint. Its load includes the requests of this process.
	EndpointReport struct {
		VM         string `json:"vm"`
		Generation string `json:"generation"`
		Address    string `json:"address"`
		// Slots and Connections are hard limits on the requests at the endpoint. Like InFlight and Queued, they
		// cover all its services. With 0 slots the endpoint accepts no request; with 0 connections only Slots
		// applies.
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
		// Random returns uniform random bits and must be safe for concurrent use; default rand.Uint64 of
		// math/rand/v2.
		Random func() uint64
		// LoadTracker is shared with the routers of other services on the same VMs, whose clocks must show the
		// same time; the default is a separate tracker.
		LoadTracker *LoadTracker
		// MaxReportAge is the age above which a report has expired, so that its endpoint isn't selected; default
		// 2 s.
		MaxReportAge time.Duration
		// ConsecutiveFailures is the number of consecutive failures after which an endpoint is ejected; default
		// 5.
		ConsecutiveFailures int
		// LatencyFactor is the multiple of the median latency above which an endpoint is ejected; default 5.
		LatencyFactor float64
		// BaseEjection is the duration of the first ejection. Each further ejection lasts twice as long, up to
		// MaxEjection; defaults 5 s and 5 min.
		BaseEjection time.Duration
		MaxEjection  time.Duration
		// MinHealthyRatio is the part of the endpoints that must stay in use; an ejection that would leave
		// fewer, or none, is skipped. The default is 0.5.
		MinHealthyRatio float64
	}

	// Router selects among the endpoints of one service by the power of two choices. It is safe for concurrent
	// use, and Pick takes no lock.
	Router struct {
		options Options
		epoch   time.Time
		mutex   sync.Mutex
		byVM    map[string]*endpoint
		sorted  atomic.Pointer[[]*endpoint]
		// meanOtherLoad is the mean number of requests of other processes per endpoint, in thousandths.
		meanOtherLoad    atomic.Int64
		lastOutlierCheck atomic.Int64
	}

	// Choice is a selected endpoint. It holds a slot until Router.Done or Router.Cancel is called with it; call
	// exactly one of them, once.
	Choice struct {
		endpoint *endpoint
		started  time.Duration
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
	o.BaseEjection = orDefault(o.BaseEjection, defaultBaseEjection)
	o.MaxEjection = orDefault(o.MaxEjection, defaultMaxEjection)
	o.MinHealthyRatio = orDefault(o.MinHealthyRatio, defaultMinHealthyRatio)
	r := &Router{options: o, epoch: o.LoadTracker.startEpoch(o.Clock.Now()), byVM: map[string]*endpoint{}}
	r.sorted.Store(&[]*endpoint{})
	return r
}

// Report adds an endpoint or replaces its last report. A new generation of the agent starts without load and
// without ejections.
func (r *Router) Report(e EndpointReport) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	m := r.byVM[e.VM]
	if m == nil || m.generation != e.Generation || m.address != e.Address {
		if m != nil {
			r.options.LoadTracker.removeRouter(e.VM, m.vmLoad)
		}
		m = &endpoint{vmLoad: r.options.LoadTracker.addRouter(e, r.now()), vm: e.VM}
		r.byVM[e.VM] = m
		r.updateSorted(e.VM, m)
		return
	}
	m.setReport(e, r.now())
}

// Remove deletes the endpoint of a VM. A Choice of it stays valid.
func (r *Router) Remove(vm string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if m := r.byVM[vm]; m != nil {
		r.options.LoadTracker.removeRouter(vm, m.vmLoad)
		delete(r.byVM, vm)
		r.updateSorted(vm, nil)
	}
}

// Slots returns the sum of the slots of the endpoints that accept requests, and the number of these endpoints.
func (r *Router) Slots() (slots, endpoints int) {
	now := r.now()
	for _, e := range *r.sorted.Load() {
		if p := e.report.Load(); !p.draining && now-p.receivedAt <= r.options.MaxReportAge {
			slots += p.limit
			endpoints++
		}
	}
	return slots, endpoints
}

// Pick selects an endpoint on any VM but avoid; avoid may be empty. It returns false if no endpoint has a free
// slot. In a fleet of more than 32 endpoints it can also return false if almost none has one, because the scan
// is limited.
func (r *Router) Pick(avoid string) (Choice, bool) {
	endpoints := *r.sorted.Load()
	n := uint64(len(endpoints))
	if n == 0 {
		return Choice{}, false
	}
	now := r.now()
	for range maxDraws {
		bits := r.options.Random()
		// Multiplication and shift scale each half of the bits to an index without a division.
		a, b := endpoints[(bits>>32)*n>>32], endpoints[(bits&(1<<32-1))*n>>32]
		best := r.lessLoaded(a, b, now, avoid)
		if best != nil && best.acquireSlot(r.quota(best, now)) {
			return Choice{best, now}, true
		}
	}
	start := r.options.Random() % n
	for _, limit := range [...]func(*endpoint, time.Duration) int64{r.quota, r.extendedQuota} {
		for i := range min(n, maxScanned) {
			e := endpoints[(start+i)%n]
			if r.eligible(e, now, avoid) && e.acquireSlot(limit(e, now)) {
				return Choice{e, now}, true
			}
		}
	}
	return Choice{}, false
}

// PickOnVM selects the endpoint of the given VM and generation even if it is ejected, because a request with an
// idempotency key can run only there. It returns false if the endpoint is unknown, of another generation,
// draining or full.
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

func (r *Router) lessLoaded(a, b *endpoint, now time.Duration, avoid string) *endpoint {
	first, second := r.eligible(a, now, avoid), r.eligible(b, now, avoid)
	switch {
	case first && second && b != a:
		// Cross multiplication compares the load per slot, so that an endpoint with fewer slots gets fewer
		// requests.
		if r.totalLoad(b, now)*int64(a.report.Load().limit) < r.totalLoad(a, now)*int64(b.report.Load().limit) {
			return b
		}
		return a
	case first:
		return a
	case second:
		return b
	}
	return nil
}

func (r *Router) eligible(e *endpoint, now time.Duration, avoid string) bool {
	p := e.report.Load()
	return !p.draining && now-p.receivedAt <= r.options.MaxReportAge && now >= time.Duration(e.ejectedUntil.Load()) && e.vm != avoid
}

// otherLoad estimates the requests of other processes at the endpoint, in thousandths. The estimate moves from
// the reported number to the mean of all endpoints as the report ages, because an old report says little about
// the present load.
func (r *Router) otherLoad(e *endpoint, now time.Duration) int64 {
	p := e.report.Load()
	age := min(max(now-p.receivedAt, 0), r.options.MaxReportAge)
	return p.otherInFlight*1000 + (r.meanOtherLoad.Load()-p.otherInFlight*1000)*int64(age/time.Microsecond)/max(int64(r.options.MaxReportAge/time.Microsecond), 1)
}

// quota returns how many requests this process may have in flight at the endpoint: its equal part of the slots,
// or without a process count the slots that the reports leave free.
func (r *Router) quota(e *endpoint, now time.Duration) int64 {
	limit := int64(e.report.Load().limit)
	if processes := r.options.LoadTracker.processCount.Load(); processes > 0 {
		return (limit + processes - 1) / processes
	}
	return limit - (r.otherLoad(e, now)+999)/1000
}

// extendedQuota returns quota or, if that is more, the slots that other processes don't use according to the
// reports.
func (r *Router) extendedQuota(e *endpoint, now time.Duration) int64 {
	return max(r.quota(e, now), int64(e.report.Load().limit)-(r.otherLoad(e, now)+999)/1000)
}

func (r *Router) totalLoad(e *endpoint, now time.Duration) int64 {
	return r.otherLoad(e, now) + e.ownInFlight.Load()*1000
}

func (r *Router) now() time.Duration {
	return r.options.Clock.Now().Sub(r.epoch)
}

// updateSorted replaces the list of endpoints, which is in the order of VM names, with a copy that has m for the
// VM, or no endpoint of the VM if m is nil. The fixed order makes runs with a seeded random source repeatable.
func (r *Router) updateSorted(vm string, m *endpoint) {
	endpoints := slices.Clone(*r.sorted.Load())
	i, found := slices.BinarySearchFunc(endpoints, vm, func(e *endpoint, name string) int { return strings.Compare(e.vm, name) })
	switch {
	case m == nil:
		endpoints = slices.Delete(endpoints, i, i+1)
	case found:
		endpoints[i] = m
	default:
		endpoints = slices.Insert(endpoints, i, m)
	}
	r.sorted.Store(&endpoints)
}

func orDefault[T int | float64 | time.Duration](value, defaultValue T) T {
	if value == 0 {
		return defaultValue
	}
	return value
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }
