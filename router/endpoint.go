package router

import (
	"sync"
	"sync/atomic"
	"time"
)

type (
	// LoadTracker counts the requests in flight at each VM. Routers of different services that use the same
	// LoadTracker share the slots of their common VMs. The zero value is ready for use, and it is safe for
	// concurrent use.
	LoadTracker struct {
		// mutex guards epoch and byVM.
		mutex sync.Mutex
		// epoch is the time at which the first router was created. Routers keep times as durations since the epoch.
		epoch time.Time
		byVM  map[string]*vmLoad
		// processCount is the number set by SetProcessCount.
		processCount atomic.Int64
	}

	// vmLoad is the load of the endpoint on one VM over all its services, during one run of the agent.
	vmLoad struct {
		// generation identifies the run of the agent, and address is the one to which requests are sent.
		generation, address string
		// routerCount is the number of routers that use this vmLoad; the mutex of LoadTracker guards it.
		routerCount int
		report      atomic.Pointer[report]
		// ownInFlight is the number of requests that this process has in flight at the endpoint.
		ownInFlight atomic.Int64
	}

	// endpoint is the state of an endpoint for one router, that is for one service, during one run of the agent. All
	// fields that change are atomic. Latency and failures are kept for each service, because the services of a VM
	// differ in both.
	endpoint struct {
		*vmLoad
		vm string

		// failures is the number of consecutive failures.
		failures atomic.Int64
		// ejections is the number of successive ejections. It returns to 0 when the endpoint has been in use for
		// Options.BaseEjection after an ejection and its last request has not failed.
		ejections atomic.Int64
		// ejectedUntil is the end of the last ejection.
		ejectedUntil atomic.Int64
		// latency is the moving average of the latency in nanoseconds; 0 means that it is unknown.
		latency atomic.Int64
	}

	// report is what a router keeps of the last EndpointReport of an endpoint. It is immutable.
	report struct {
		// limit is the maximum number of requests at the endpoint: the lower of its slots and connections.
		limit int
		// otherInFlight is the number of requests of other processes that run or wait at the endpoint.
		otherRequests int64
		draining      bool
		receivedAt    time.Duration
	}
)

// VM returns the VM of the selected endpoint.
func (c Choice) VM() string { return c.endpoint.vm }

// Generation returns the generation of the agent on the VM of the selected endpoint.
func (c Choice) Generation() string { return c.endpoint.generation }

// Address returns the host and port to which requests for the selected endpoint are sent.
func (c Choice) Address() string { return c.endpoint.address }

// SetProcessCount sets the number of processes that divide the slots of each VM equally. A process may always use its
// equal part, even if the last report says that the VM is full. Near saturation such a report is on average half a
// report interval old, and a process that relied on it would reject requests for which a slot is free. With 0, the
// default, a process may use only the slots that are free according to the reports.
func (l *LoadTracker) SetProcessCount(n int) {
	l.processCount.Store(int64(max(n, 0)))
}

// startEpoch returns the epoch. The first call sets it to now.
func (l *LoadTracker) startEpoch(now time.Time) time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.epoch.IsZero() {
		l.epoch = now
	}
	return l.epoch
}

// addRouter returns the vmLoad of the reported endpoint, stores the report in it, and counts one more router that uses
// it.
func (l *LoadTracker) acquireLoad(e EndpointReport, now time.Duration) *vmLoad {
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

// removeRouter counts one router less that uses the vmLoad, and deletes it after the last one. A Choice that refers to
// it stays valid.
func (l *LoadTracker) releaseLoad(vm string, d *vmLoad) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if d.routerCount--; d.routerCount == 0 && l.byVM[vm] == d {
		delete(l.byVM, vm)
	}
}

// setReport replaces the last report.
func (d *vmLoad) setReport(r EndpointReport, now time.Duration) {
	limit := r.Slots
	if r.Connections > 0 {
		limit = min(limit, r.Connections)
	}
	// The report also counts the requests of this process. They are subtracted, because ownInFlight counts them
	// without delay.
	otherRequests := max(int64(r.InFlight+r.Queued)-d.ownInFlight.Load(), 0)
	d.report.Store(&report{limit: limit, otherRequests: otherRequests, draining: r.Draining, receivedAt: now})
}

// acquireSlot takes a slot and returns true, unless the endpoint is draining or this process already has the given
// number of requests in flight there. It increments the counter before the comparison, so that two concurrent calls
// can't both take the last slot.
func (d *vmLoad) acquireSlot(limit int64) bool {
	// This first check doesn't write, so that calls don't contend for the counter of a full endpoint.
	if d.report.Load().draining || d.ownInFlight.Load() >= limit {
		return false
	}
	if d.ownInFlight.Add(1) > limit {
		d.ownInFlight.Add(-1)
		return false
	}
	return true
}
