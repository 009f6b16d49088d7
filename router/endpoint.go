package router

import (
	"sync"
	"sync/atomic"
	"time"
)

type (
	// LoadTracker counts the requests of this process at each VM. Routers of different services that use the same
	// LoadTracker share the slots of the VMs that they have in common. The zero value is ready for use. A LoadTracker
	// is safe for concurrent use.
	LoadTracker struct {
		// mutex guards epoch and byVM.
		mutex sync.Mutex
		// epoch is the time at which the first router was created. Routers store times as durations since the epoch.
		epoch time.Time
		byVM  map[string]*vmLoad
		// processCount is the number of processes that divide the slots of each VM equally; 0 if SetProcessCount has not
		// been called.
		processCount atomic.Int64
	}

	// vmLoad is the load of the endpoint on one VM, summed over all its services. When the agent on the VM is
	// restarted, a new vmLoad replaces it.
	vmLoad struct {
		// generation identifies one run of the agent. address is the host and port to which requests are sent.
		generation, address string
		// routerCount is the number of routers that use this vmLoad. The mutex of LoadTracker guards it.
		routerCount int
		report      atomic.Pointer[report]
		// ownInFlight is the number of slots of the endpoint that requests of this process hold.
		ownInFlight atomic.Int64
	}

	// endpoint is the state of an endpoint for one router, and so for one service. When the agent on the VM is
	// restarted, a new endpoint replaces it. All fields that change are atomic. Latency and failures are kept for each
	// service separately, because the services of a VM differ in both.
	endpoint struct {
		*vmLoad
		vm string

		// failures is the number of consecutive failed requests.
		failures atomic.Int64
		// ejections is the number of successive ejections; each doubles the duration of the next one. evaluateEndpoints
		// sets it to 0 if Options.BaseEjectionDuration has passed since the end of the last ejection and the last
		// request has not failed, but only while the latency of at least minMeasuredEndpoints endpoints is known.
		ejections atomic.Int64
		// ejectedUntil is the end of the last ejection, as nanoseconds since the epoch.
		ejectedUntil atomic.Int64
		// latency is the moving average of the latency in nanoseconds. 0 means that no latency is known.
		latency atomic.Int64
	}

	// report is the part of the last EndpointReport that routers use. It is never changed, only replaced.
	report struct {
		// limit is the maximum number of requests at the endpoint. It is the lower of the slots and connections,
		// or the slots if the report has 0 connections.
		limit int
		// otherRequests is the number of requests of other processes that run or wait at the endpoint.
		otherRequests int64
		draining      bool
		receivedAt    time.Duration
	}
)

// VM returns the VM of the selected endpoint.
func (c Choice) VM() string { return c.endpoint.vm }

// Generation returns the generation of the selected endpoint, which identifies one run of the agent on its VM.
func (c Choice) Generation() string { return c.endpoint.generation }

// Address returns the host and port to which requests for the selected endpoint are sent.
func (c Choice) Address() string { return c.endpoint.address }

// SetProcessCount sets the number of processes that divide the slots of each VM equally. A process may always use its
// equal part, even if the last report says that the VM is full. When reports are sent at intervals, the last one is on
// average half an interval old; if almost all slots are in use, a process that relied on it would reject requests for
// which a slot has become free. With 0, the default, a process may use only the slots that are free according to the
// reports.
func (l *LoadTracker) SetProcessCount(n int) {
	l.processCount.Store(int64(max(n, 0)))
}

// startEpoch returns the epoch. The first call sets the epoch to now.
func (l *LoadTracker) startEpoch(now time.Time) time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.epoch.IsZero() {
		l.epoch = now
	}
	return l.epoch
}

// acquireLoad returns the vmLoad of the reported endpoint; it creates one if there is none for this run of the agent.
// It stores the report in the vmLoad and increments routerCount. Each call must be matched by one of releaseLoad.
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

// releaseLoad decrements routerCount of the vmLoad, and deletes the vmLoad when no router uses it any more. A Choice
// that refers to the vmLoad can still be passed to Done or Cancel.
func (l *LoadTracker) releaseLoad(vm string, d *vmLoad) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if d.routerCount--; d.routerCount == 0 && l.byVM[vm] == d {
		delete(l.byVM, vm)
	}
}

// setReport computes a report from r and replaces the last one by it.
func (d *vmLoad) setReport(r EndpointReport, now time.Duration) {
	limit := r.Slots
	if r.Connections > 0 {
		limit = min(limit, r.Connections)
	}
	// The report includes the requests of this process. They are subtracted, because ownInFlight counts them without
	// delay.
	otherRequests := max(int64(r.InFlight+r.Queued)-d.ownInFlight.Load(), 0)
	d.report.Store(&report{limit: limit, otherRequests: otherRequests, draining: r.Draining, receivedAt: now})
}

// acquireSlot takes a slot of the endpoint and returns true. It returns false if the endpoint is draining, or if this
// process already has at least limit requests there. It increments the counter before it compares the counter with the
// limit, so that two concurrent calls can't both take the last slot.
func (d *vmLoad) acquireSlot(limit int64) bool {
	// This first check only reads, so that concurrent calls don't slow each other down by writing the counter of a full
	// endpoint.
	if d.report.Load().draining || d.ownInFlight.Load() >= limit {
		return false
	}
	if d.ownInFlight.Add(1) > limit {
		d.ownInFlight.Add(-1)
		return false
	}
	return true
}
