package router

import (
	"sync"
	"sync/atomic"
	"time"
)

type (
	// LoadTracker holds the requests in flight at each VM. Routers of different services that use the same
	// LoadTracker share the slots of their common VMs. The zero value is ready for use, and it is safe for
	// concurrent use.
	LoadTracker struct {
		mutex sync.Mutex
		// epoch is the time to which the report times are relative.
		epoch        time.Time
		byVM         map[string]*vmLoad
		processCount atomic.Int64
	}

	// vmLoad is the load of one endpoint generation over all its services.
	vmLoad struct {
		generation, address string
		// routerCount is the number of routers that use this load; the mutex of LoadTracker guards it.
		routerCount int
		report      atomic.Pointer[report]
		// ownInFlight is the number of requests of this process in flight.
		ownInFlight atomic.Int64
	}

	// endpoint is the state of one endpoint generation for one service. All fields that change are atomic.
	// Latency and failures are kept for each service, because services of a VM differ in both.
	endpoint struct {
		*vmLoad
		vm string

		// failures is the number of consecutive failures. ejections is the number of ejections since the
		// endpoint was last in use without a failure for Options.BaseEjection after an ejection.
		failures     atomic.Int64
		ejections    atomic.Int64
		ejectedUntil atomic.Int64
		// latency is a moving average in nanoseconds; 0 means that no request has completed.
		latency atomic.Int64
	}

	// report is the last report of an endpoint, with the requests of other processes only. It is immutable after
	// it is stored.
	report struct {
		limit         int
		otherInFlight int64
		draining      bool
		receivedAt    time.Duration
	}
)

// VM returns the VM of the selected endpoint.
func (c Choice) VM() string { return c.endpoint.vm }

// Generation returns the agent generation of the selected endpoint.
func (c Choice) Generation() string { return c.endpoint.generation }

// Address returns the request address of the selected endpoint.
func (c Choice) Address() string { return c.endpoint.address }

// SetProcessCount sets the number of processes that divide the slots of each VM equally. A process may always
// use its equal part, whatever the reports say about the load of the others: near saturation, a report of a full
// VM is on average half a report interval old, and a process that followed it would reject requests for which a
// slot is free. With 0, the default, only the reports count.
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

// addRouter returns the load of the endpoint for one more router and stores the report.
func (l *LoadTracker) addRouter(e EndpointReport, now time.Duration) *vmLoad {
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

// removeRouter deletes the load once no router uses it. A Choice of it stays valid.
func (l *LoadTracker) removeRouter(vm string, d *vmLoad) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if d.routerCount--; d.routerCount == 0 && l.byVM[vm] == d {
		delete(l.byVM, vm)
	}
}

func (d *vmLoad) setReport(r EndpointReport, now time.Duration) {
	limit := r.Slots
	if r.Connections > 0 {
		limit = min(limit, r.Connections)
	}
	// The reported load includes the requests of this process, which ownInFlight counts exactly.
	otherInFlight := max(int64(r.InFlight+r.Queued)-d.ownInFlight.Load(), 0)
	d.report.Store(&report{limit: limit, otherInFlight: otherInFlight, draining: r.Draining, receivedAt: now})
}

// acquireSlot takes a slot unless the endpoint is draining or full. It increments the counter before the
// comparison, so that two concurrent picks can't both take the last slot.
func (d *vmLoad) acquireSlot(limit int64) bool {
	// This check only reads, so that picks in a full fleet don't contend for the counters.
	if d.report.Load().draining || d.ownInFlight.Load() >= limit {
		return false
	}
	if d.ownInFlight.Add(1) > limit {
		d.ownInFlight.Add(-1)
		return false
	}
	return true
}
