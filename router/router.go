// Package router chooses an endpoint for each request of one service. Routers of several services share the slots of their VMs.
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
	// maxDraws bounds the random draws before the fallback scan, which is needed only when almost every endpoint is full.
	maxDraws = 8
	// maxScanned bounds the fallback scan to keep a pick near 1 us in the largest fleet. Including the random draws it misses
	// in 9% of the picks if 5% of the endpoints have a free slot, and in 0.2% if 12% have.
	maxScanned                 = 32
	defaultMaxReportAge        = 2 * time.Second
	defaultConsecutiveFailures = 5
	defaultLatencyFactor       = 5
	defaultBaseEjection        = 5 * time.Second
	defaultMaxEjection         = 5 * time.Minute
	defaultMinHealthyRatio     = 0.5
)

type (
	// Clock tells the time.
	Clock interface {
		Now() time.Time
	}

	// Endpoint is the last report of one endpoint. Its load includes the requests of this process.
	Endpoint struct {
		VM         string `json:"vm"`
		Generation string `json:"generation"`
		Address    string `json:"address"`
		// Slots and Connections are hard limits on the requests at the endpoint, over all its services as InFlight and Queued are;
		// 0 slots admits none, 0 connections means no limit besides the slots.
		Slots       int  `json:"slots"`
		Connections int  `json:"connections"`
		InFlight    int  `json:"in-flight"`
		Queued      int  `json:"queued"`
		Draining    bool `json:"draining"`
	}

	// Options configure a Router. The zero value uses the defaults given here.
	Options struct {
		// Clock defaults to the system clock.
		Clock Clock
		// Random returns uniform random bits and must allow concurrent use; it defaults to math/rand/v2.
		Random func() uint64
		// LoadTracker is shared with the routers of other services on the same VMs; the default is not shared. These routers need
		// clocks of the same time.
		LoadTracker *LoadTracker
		// MaxReportAge is the age of a report beyond which its endpoint is not chosen; default 2 s.
		MaxReportAge time.Duration
		// ConsecutiveFailures is the number of consecutive failures that ejects an endpoint; default 5.
		ConsecutiveFailures int
		// LatencyFactor ejects an endpoint whose mean latency exceeds the median by this factor; default 5.
		LatencyFactor float64
		// BaseEjection is the length of the first ejection, doubled for each further one up to
		// LongestEjection; defaults 5 s and 5 min.
		BaseEjection time.Duration
		MaxEjection  time.Duration
		// MinHealthyRatio is the share of the endpoints that ejection leaves in use; default 0.5, at least one endpoint.
		MinHealthyRatio float64
	}

	// Router chooses among the endpoints of one service by the power of two choices. Concurrent use is safe;
	// choosing takes no lock.
	Router struct {
		options Options
		epoch   time.Time
		mutex   sync.Mutex
		byVM    map[string]*endpoint
		sorted  atomic.Pointer[[]*endpoint]
		// meanOtherLoad is the meanOtherLoad load per endpoint of other processes, in thousandths of a request.
		meanOtherLoad    atomic.Int64
		lastOutlierCheck atomic.Int64
	}

	// Choice is a chosen endpoint. It holds a slot until Router.Done is called with it, exactly once.
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

// Report adds an endpoint or replaces its report. A new generation starts without load and without ejection.
func (r *Router) Report(e Endpoint) {
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

// Remove forgets the endpoint of a VM. Choices of it stay valid.
func (r *Router) Remove(vm string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if m := r.byVM[vm]; m != nil {
		r.options.LoadTracker.removeRouter(vm, m.vmLoad)
		delete(r.byVM, vm)
		r.updateSorted(vm, nil)
	}
}

// Slots returns the sum of the slots of the endpoints that accept work, and their number.
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

// Pick chooses an endpoint other than the one of the VM avoid, which may be empty. It returns false if none has a free
// slot, or almost none in a fleet of more than 32 endpoints.
func (r *Router) Pick(avoid string) (Choice, bool) {
	list := *r.sorted.Load()
	n := uint64(len(list))
	if n == 0 {
		return Choice{}, false
	}
	now := r.now()
	for range maxDraws {
		bits := r.options.Random()
		// Scales each half of the bits to an index, which avoids two divisions.
		a, b := list[(bits>>32)*n>>32], list[(bits&(1<<32-1))*n>>32]
		best := r.lessLoaded(a, b, now, avoid)
		if best != nil && best.acquireSlot(r.quota(best, now)) {
			return Choice{best, now}, true
		}
	}
	start := r.options.Random() % n
	for _, bound := range [...]func(*endpoint, time.Duration) int64{r.quota, r.extendedQuota} {
		for i := range min(n, maxScanned) {
			e := list[(start+i)%n]
			if r.eligible(e, now, avoid) && e.acquireSlot(bound(e, now)) {
				return Choice{e, now}, true
			}
		}
	}
	return Choice{}, false
}

// PickVM chooses the endpoint of the given VM and generation even if it is ejected, because a keyed request can run nowhere
// else. It returns false if the endpoint is unknown, of another generation, draining or full.
func (r *Router) PickVM(vm, generation string) (Choice, bool) {
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
		// Compares load per slot by cross multiplication, so that small endpoints get a smaller share.
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

// otherLoad estimates the requests of other processes at the endpoint, in thousandths. It moves from the reported number to the
// mean of all endpoints as the report ages, because an old report says little about the present.
func (r *Router) otherLoad(e *endpoint, now time.Duration) int64 {
	p := e.report.Load()
	age := min(max(now-p.receivedAt, 0), r.options.MaxReportAge)
	return p.otherInFlight*1000 + (r.meanOtherLoad.Load()-p.otherInFlight*1000)*int64(age/time.Microsecond)/max(int64(r.options.MaxReportAge/time.Microsecond), 1)
}

// quota bounds the requests of this process at the endpoint to its quota of the slots, or to what the reports leave without parts.
func (r *Router) quota(e *endpoint, now time.Duration) int64 {
	limit := int64(e.report.Load().limit)
	if parts := r.options.LoadTracker.processCount.Load(); parts > 0 {
		return (limit + parts - 1) / parts
	}
	return limit - (r.otherLoad(e, now)+999)/1000
}

// extendedQuota also allows the slots that other processes leave idle according to the reports.
func (r *Router) extendedQuota(e *endpoint, now time.Duration) int64 {
	return max(r.quota(e, now), int64(e.report.Load().limit)-(r.otherLoad(e, now)+999)/1000)
}

func (r *Router) totalLoad(e *endpoint, now time.Duration) int64 {
	return r.otherLoad(e, now) + e.ownInFlight.Load()*1000
}

func (r *Router) now() time.Duration {
	return r.options.Clock.Now().Sub(r.epoch)
}

// updateSorted replaces the list with a copy in which the endpoint of m's VM is m, or from which it is removed. The order by name makes
// runs with a fixed random source repeatable.
func (r *Router) updateSorted(vm string, m *endpoint) {
	list := slices.Clone(*r.sorted.Load())
	i, found := slices.BinarySearchFunc(list, vm, func(e *endpoint, name string) int { return strings.Compare(e.vm, name) })
	switch {
	case m == nil:
		list = slices.Delete(list, i, i+1)
	case found:
		list[i] = m
	default:
		list = slices.Insert(list, i, m)
	}
	r.sorted.Store(&list)
}

func orDefault[T int | float64 | time.Duration](value, defaultValue T) T {
	if value == 0 {
		return defaultValue
	}
	return value
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }
