// Package owner is the batch part of an entry: it owns shards of the region's batch tasks, assigns and
// starts them, grants their leases and records their results.
package owner

import (
	"container/list"
	"context"
	"math"
	"sync"
	"time"

	"bamboohook/claimer"
	"bamboohook/internal/message"
	"bamboohook/lessor"
	"bamboohook/resource"
	"bamboohook/scheduler"
	"bamboohook/sequencer"
	"bamboohook/stream"
	"bamboohook/task"
)

const (
	tickInterval = 500 * time.Millisecond
	// appendTimeout leaves room for another presence record before the entry counts as absent.
	appendTimeout = 4 * time.Second
	callTimeout   = 2 * time.Second
	// suspectLimit is the silence of a VM after which it gets no new work, and reportGrace the time
	// for which a tied attempt may be missing in its reports.
	suspectTimeout    = 2 * time.Second
	unreportedTimeout = 2 * time.Second
	// settleTime is how long a new owner waits for heartbeats before it asks for attempts that were not reported.
	heartbeatWait = 2 * time.Second
	// rebindLimit is how long an unstarted attempt waits for its VMs before it is bound to others.
	rebindTimeout = 30 * time.Second
	// appendRetry is the pause after a failed append.
	appendRetryDelay = time.Second
	// recordRetry is how long the record of an attempt's end waits for its place in the stream before it is repeated.
	recordRetryInterval = 10 * time.Second
	// bindSize is how many VMs an attempt is bound to.
	vmsPerAttempt = 3
	// maxUnstarted bounds the attempts of a shard that were assigned before a VM has room. They can start during a log outage.
	maxBoundAhead = 64
	// maxBound bounds all attempts of a shard that were not started, and maxAssignments the records of one append.
	maxUnstarted     = 256
	maxAppendRecords = 256
	// maxCalls bounds the calls in flight.
	maxConcurrentCalls = 128
	// reasonRebound marks an attempt that ended before it was started anywhere.
	reasonRebound = "rebound"
)

type (
	// Owner is safe for concurrent use. Set the exported fields before the first call.
	Owner struct {
		// Entry identifies this run of the process in the stream, such as name and random generation.
		Entry string
		// Shards is the number of shards of the region, equal in all its entries.
		ShardCount int
		Log        Log
		Stream     Stream
		Agents     Agents
		// Peers may be nil; then a silent predecessor's leases follow the long rule.
		Peers Peers
		Clock Clock
		// Retries is how often a failed task of a submitted job is tried again.
		DefaultRetries int
		// Note receives changes of state for the time line, such as job-parked and vm-quarantined; nil for none. It is
		// called with a lock and must not call the Owner.
		OnEvent func(kind, subject string, details map[string]string)
		// Spawn runs a function that makes a call; nil starts a goroutine for it.
		Spawn func(func())

		mutex     sync.Mutex
		scheduler *scheduler.Scheduler
		claimer   *claimer.Claimer
		lessor    lessor.Lessor
		policies  *policies
		// rotation is where the search for VMs without room starts.
		searchStart int
		vms         map[string]*VM
		vmsByName   []*VM
		// heardVMs are the VMs that are not silent, the one that was heard longest ago first.
		responsiveVMs    list.List
		shards           map[int]*shard
		activeAttempts   map[string]*attempt
		outbox           []queuedRecord
		appendInFlight   bool
		appendRetryAt    time.Time
		draining         bool
		presenceSequence uint64
		presenceSentAt   map[uint64]time.Time
		// heard is when the last presence of an entry was received, and lasts the same for ended claims.
		presenceReceivedAt map[string]time.Time
		predecessorSeenAt  map[ownershipID]time.Time
		lastPresenceSentAt time.Time
		callsInFlight      int
		offset             uint64
		logTime            time.Time
		logTimeReceivedAt  time.Time
	}

	// shard is the soft state of an owned shard.
	shard struct {
		epoch          uint64
		ownedSince     time.Time
		confirmAskedAt time.Time
		handOverAt     time.Time
		attempts       map[string]*attempt
		// assigning are the assignments that were not read back.
		pendingAssignments map[string]*pendingAssignment
		unstartedCount     int
	}

	// binding is an assignment with the VM where room is reserved, if any, and the place in the order that it had.
	pendingAssignment struct {
		id         task.Identity
		reservedVM *VM
		item       sequencer.Item
		probe      bool
	}

	// tracked is the soft state of a current attempt of an owned shard.
	attempt struct {
		task scheduler.Task
		key  string
		// own has the epoch of the current claim instead of that of the assignment.
		identity   task.Identity
		boundSince time.Time
		// vm has run or may run the attempt; no other VM ever did.
		vm         string
		reportedAt time.Time
		// cleared are the VMs that surely never run it.
		excludedVMs map[string]bool
		// planned is the VM where room is reserved before the start.
		reservedVM *VM
		stopReason string
		// probe marks an attempt that shows whether a quarantined VM is healthy.
		probe bool
		// score is the place in the order while the attempt was not started.
		score float64
		// share is what it keeps of its processors, zero if this entry never throttled it.
		processorShare float64
		callInFlight   bool
		retryAt        time.Time
		// final is the record of the attempt's end. Once it is set no lease is granted any more, even if the
		// append fails, because a failed append may take effect later.
		endRecord   *stream.Record
		endQueuedAt time.Time
	}

	// claimID names one ownership of a shard.
	ownershipID struct {
		shard int
		epoch uint64
	}

	// queued is a record for the next append, and what to undo if it fails.
	queuedRecord struct {
		record    stream.Record
		onFailure func()
	}

	// action makes one call; it runs without the mutex.
	remoteCall func(ctx context.Context)
)

// Run consumes the stream and calls Tick until ctx ends. It returns nil, or the error of the stream if it ends for good.
func (o *Owner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		for {
			records, err := o.Stream.Receive(ctx)
			if err != nil {
				failed <- err
				return
			}
			o.Consume(records...)
		}
	}()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			if ctx.Err() != nil {
				return nil
			}
			return err
		case <-ticker.C:
			o.Tick(ctx)
		}
	}
}

// Tick takes all steps that are due: presence, claims, hand-overs, assignments, starts, stops and records.
func (o *Owner) Tick(ctx context.Context) {
	o.mutex.Lock()
	o.ensureInitialized()
	now := o.Clock.Now()
	actions := o.updateOwnership(now)
	o.markSilentVMs(now)
	o.queueParkRecords(now)
	o.requeueDelayed(now)
	o.updateMinScore(now)
	active, highest := o.orderedAttempts()
	o.releaseOverReserved(active)
	if !math.IsInf(highest, -1) {
		// More important tasks that wait take freed room before those that were bound in advance.
		o.assignWaiting(now, highest, false)
	}
	for _, t := range active {
		if !t.callInFlight && o.callsInFlight+len(actions) < maxConcurrentCalls {
			actions = append(actions, o.advanceAttempt(t.key, t, now)...)
		}
	}
	o.assignProbes(now)
	o.assignWaiting(now, math.Inf(-1), true)
	actions = append(actions, o.flushOutbox(now)...)
	o.callsInFlight += len(actions)
	o.mutex.Unlock()
	for _, act := range actions {
		o.spawn(func() {
			defer func() {
				o.mutex.Lock()
				o.callsInFlight--
				o.mutex.Unlock()
			}()
			act(ctx)
		})
	}
}

func (o *Owner) spawn(f func()) {
	if o.Spawn != nil {
		o.Spawn(f)
		return
	}
	go f()
}

func (o *Owner) ensureInitialized() {
	if o.scheduler != nil {
		return
	}
	o.claimer = claimer.New(claimer.Options{Entry: o.Entry, ShardCount: o.ShardCount})
	o.scheduler = scheduler.New(o.claimer)
	o.vms, o.shards, o.activeAttempts = map[string]*VM{}, map[int]*shard{}, map[string]*attempt{}
	o.presenceSentAt, o.presenceReceivedAt, o.predecessorSeenAt = map[uint64]time.Time{}, map[string]time.Time{}, map[ownershipID]time.Time{}
	o.policies = newPolicies(o)
}

// record queues a record for the next append; failed is called with the mutex if it fails, and may be nil.
func (o *Owner) queueRecord(kind string, body any, onFailure func()) {
	o.outbox = append(o.outbox, queuedRecord{stream.NewRecord(kind, body), onFailure})
}

// flush returns the append of the queued records. One append is in flight at a time; the records of a failed one
// are derived again, because they may not be valid any more.
func (o *Owner) flushOutbox(now time.Time) []remoteCall {
	if o.appendInFlight || len(o.outbox) == 0 {
		return nil
	}
	batch := o.outbox
	o.outbox = nil
	if now.Before(o.appendRetryAt) {
		rollBack(batch)
		return nil
	}
	o.appendInFlight = true
	return []remoteCall{func(ctx context.Context) {
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		records := make([]stream.Record, len(batch))
		for i, q := range batch {
			records[i] = q.record
		}
		_, err := o.Log.Append(call, records...)
		o.mutex.Lock()
		defer o.mutex.Unlock()
		o.appendInFlight = false
		if err != nil {
			o.appendRetryAt = o.Clock.Now().Add(appendRetryDelay)
			rollBack(batch)
		}
	}}
}

func rollBack(batch []queuedRecord) {
	for _, q := range batch {
		if q.onFailure != nil {
			q.onFailure()
		}
	}
}

// silence activates the attempts of VMs that are not heard from.
func (o *Owner) markSilentVMs(now time.Time) {
	for e := o.responsiveVMs.Front(); e != nil; e = o.responsiveVMs.Front() {
		v := e.Value.(*VM)
		if now.Sub(v.lastHeartbeat) <= suspectTimeout {
			return
		}
		o.responsiveVMs.Remove(e)
		v.silent, v.responsiveElement = true, nil
		o.updatePlacer(v)
		o.policies.governor.Remove(v.Name)
		for key, t := range v.attempts {
			o.activeAttempts[key] = t
		}
	}
}

// hear puts the VM last among those that are heard from.
func (o *Owner) markResponsive(v *VM) {
	if v.responsiveElement == nil {
		v.responsiveElement = o.responsiveVMs.PushBack(v)
		return
	}
	o.responsiveVMs.MoveToBack(v.responsiveElement)
}

// vmUp reports whether the VM was heard from lately.
func (o *Owner) responsiveVM(name string, now time.Time) (*VM, bool) {
	v, ok := o.vms[name]
	return v, ok && now.Sub(v.lastHeartbeat) <= suspectTimeout
}

func (v *VM) updateFree(committed resource.Amount) {
	v.Free = v.Capacity.Sub(committed)
	for _, size := range v.pendingStarts {
		v.Free = v.Free.Sub(size)
	}
}

func (o *Owner) taskOrder(t *attempt, v *VM) message.TaskOrder {
	return message.TaskOrder{Identity: t.identity, Generation: v.Generation}
}
