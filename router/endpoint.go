package router

import (
	"sync"
	"sync/atomic"
	"time"
)

type (
	// LoadTracker holds the requests in flight at each VM. Routers of different services that use the same LoadTracker share the slots of
	// their common VMs. The zero value is ready for use. Concurrent use is safe.
	LoadTracker struct {
		mutex sync.Mutex
		// epoch is the zero of the times in the reports.
		epoch        time.Time
		byVM         map[string]*vmLoad
		processCount atomic.Int64
	}

	// vmLoad is that of one endpoint generation over all its services.
	vmLoad struct {
		generation, address string
		// routerCount counts the users; Loads guards it.
		routerCount int
		report      atomic.Pointer[report]
		// ownInFlight counts the requests of this process in flight.
		ownInFlight atomic.Int64
	}

	// endpoint is the state of one endpoint generation for one service. All fields that change are atomic. Latencies and failures
	// are those of the service, because services differ in both.
	endpoint struct {
		*vmLoad
		vm string

		// failures counts consecutive failures; ejections counts ejections without a good second in between.
		failures     atomic.Int64
		ejections    atomic.Int64
		ejectedUntil atomic.Int64
		// latency is a moving mean in nanoseconds; 0 means that no request has been answered.
		latency atomic.Int64
	}

	// report is immutable after it is stored.
	report struct {
		limit         int
		otherInFlight int64
		draining      bool
		receivedAt    time.Duration
	}
)

// VM returns the VM of the chosen endpoint.
func (c Choice) VM() string { return c.endpoint.vm }

// Generation returns the agent generation of the chosen endpoint.
func (c Choice) Generation() string { return c.endpoint.generation }

// Address returns the request address of the chosen endpoint.
func (c Choice) Address() string { return c.endpoint.address }

// SetProcessCount sets the number of processes that divide the slots of each VM equally. A process always gets its part, whatever the reports
// say of the others: near saturation reports of full VMs are half an interval old, and a process that obeyed them would refuse
// requests that have a slot. With 0, which is the default, only the reports count.
func (l *LoadTracker) SetProcessCount(n int) {
	l.processCount.Store(int64(max(n, 0)))
}

func (l *LoadTracker) startEpoch(now time.Time) time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.epoch.IsZero() {
		l.epoch = now
	}
	return l.epoch
}

// addRouter returns the load of the endpoint, with its report accepted, for one more router.
func (l *LoadTracker) addRouter(e Endpoint, now time.Duration) *vmLoad {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	d := l.byVM[e.VM]
	if d == nil || d.generation != e.Generation || d.address != e.Address {
		if l.byVM == nil {
			l.byVM = map[string]*vmLoad{}
		}
		d = &vmLoad{generation: e.Generation, address: e.Address}
		l.byVM[e.VM] = d
	}
	d.routerCount++
	d.setReport(e, now)
	return d
}

// removeRouter forgets the load when no router uses it. Choices of it stay valid.
func (l *LoadTracker) removeRouter(vm string, d *vmLoad) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if d.routerCount--; d.routerCount == 0 && l.byVM[vm] == d {
		delete(l.byVM, vm)
	}
}

func (d *vmLoad) setReport(r Endpoint, now time.Duration) {
	limit := r.Slots
	if r.Connections > 0 {
		limit = min(limit, r.Connections)
	}
	// The load includes this process's own requests, which are counted exactly in own.
	foreign := max(int64(r.InFlight+r.Queued)-d.ownInFlight.Load(), 0)
	d.report.Store(&report{limit: limit, otherInFlight: foreign, draining: r.Draining, receivedAt: now})
}

// acquireSlot takes a slot unless the endpoint is full. It increments first, so that two concurrent picks can't both take the last slot.
func (d *vmLoad) acquireSlot(bound int64) bool {
	// The first check writes nothing, so that picks in a full fleet don't contend for the counters.
	if d.report.Load().draining || d.ownInFlight.Load() >= bound {
		return false
	}
	if d.ownInFlight.Add(1) > bound {
		d.ownInFlight.Add(-1)
		return false
	}
	return true
}
