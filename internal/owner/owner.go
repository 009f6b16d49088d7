// Package owner implements the batch scheduling of an entry. An owner claims shards of the region's batch tasks,
// assigns and starts the tasks, grants their leases and records their results.
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
	// appendTimeout is short enough that another presence record can be appended before the entry counts as absent.
	appendTimeout = 4 * time.Second
	callTimeout   = 2 * time.Second
	// suspectTimeout is how long a VM may be silent before it gets no new work. unreportedTimeout is how long an
	// attempt may be missing from the heartbeats of its VM before it is stopped.
	silenceTimeout    = 2 * time.Second
	unreportedTimeout = 2 * time.Second
	// heartbeatWait is how long a new owner of a shard waits for heartbeats before it looks for the attempts that
	// were not reported.
	heartbeatWait = 2 * time.Second
	// rebindTimeout is how long an attempt that was not started waits for its VMs before its task is bound to others.
	reassignTimeout = 30 * time.Second
	// appendRetryDelay is the pause after a failed append.
	appendRetryDelay = time.Second
	// recordRetryInterval is how long to wait until the record of an attempt's end is read back before it is appended
	// again.
	recordRetryInterval = 10 * time.Second
	// vmsPerAttempt is the number of VMs that an attempt is bound to.
	vmsPerAttempt = 3
	// maxBoundAhead bounds the attempts of a shard that are assigned before any VM has free resources for them. Such
	// attempts can start during a log outage.
	maxAssignedAhead = 64
	// maxUnstarted bounds all attempts of a shard that were assigned but not started. maxAppendRecords bounds the
	// records of one append.
	maxUnstarted     = 256
	maxAppendRecords = 256
	// maxConcurrentCalls bounds the calls in flight.
	maxConcurrentCalls = 128
	// reasonRebound is the reason of an eviction record for an attempt that was never started, and whose task is to
	// be bound to other VMs.
	reasonReassigned = "rebound"
)

type (
	// Owner schedules the tasks of the shards that the entry owns. It is safe for concurrent use. The exported fields
	// must be set before the first call.
	Owner struct {
		// Entry identifies this run of the process in the stream, for example by a name and a random generation.
		Entry string
		// ShardCount is the number of shards of the region. It must be the same in all entries.
		ShardCount   int
		StreamWriter StreamWriter
		StreamReader StreamReader
		Agents       Agents
		// Peers may be nil. The leases of a silent predecessor are then assumed to run for the longest possible time.
		Peers Peers
		Clock Clock
		// DefaultRetries is how often a failed task is retried if its kind does not say otherwise.
		DefaultRetries int
		// OnEvent receives events for the timeline, such as job-parked and vm-quarantined. It may be nil. It is
		// called with the mutex held and must not call the Owner.
		OnEvent func(kind, subject string, details map[string]string)
		// Spawn runs a function that makes a remote call. If nil, each function runs in a new goroutine.
		Spawn func(func())

		mutex     sync.Mutex
		scheduler *scheduler.Scheduler
		claimer   *claimer.Claimer
		lessor    lessor.Lessor
		policies  *policies
		// searchStart is the index in vmsByName at which the next search for fallback VMs starts.
		searchStart int
		vms         map[string]*VM
		vmsByName   []*VM
		// responsiveVMs holds the VMs that are not silent, the one with the oldest heartbeat first.
		responsiveVMs     list.List
		shards            map[int]*shard
		attemptsToAdvance map[string]*attempt
		outbox            []queuedRecord
		appendInFlight    bool
		appendRetryAt     time.Time
		draining          bool
		presenceSequence  uint64
		presenceSentAt    map[uint64]time.Time
		// presenceReceivedAt is when the last presence record of each entry was received. predecessorSeenAt is the
		// same for each ownership that has ended.
		presenceReceivedAt    map[string]time.Time
		predecessorLastSeenAt map[ownershipID]time.Time
		lastPresenceSentAt    time.Time
		callsInFlight         int
		offset                uint64
		logTime               time.Time
		logTimeReceivedAt     time.Time
	}

	// shard is the state of an owned shard that is not in the stream.
	shard struct {
		epoch               uint64
		ownedSince          time.Time
		predecessorsAskedAt time.Time
		// handOverAt is when the handover is to be appended next. It is zero unless the shard is being handed over.
		handOverAt time.Time
		attempts   map[string]*attempt
		// pendingAssignments holds the assignments that were queued but not read back from the stream.
		pendingAssignments map[string]*pendingAssignment
		unstartedCount     int
	}

	// pendingAssignment is an assignment with the VM that has resources reserved for it, if any, and the sequencer
	// item of its task.
	pendingAssignment struct {
		id         task.Identity
		reservedVM *VM
		item       sequencer.Item
		probe      bool
	}

	// attempt is the state of a current attempt of an owned shard that is not in the stream.
	attempt struct {
		task scheduler.Task
		key  string
		// identity is the identity of the attempt under the epoch of the current claim, which may be newer than that
		// of the assignment.
		identity task.Identity
		addedAt  time.Time
		// vm is the VM that runs, has run or may run the attempt. No other VM ever did.
		vm         string
		reportedAt time.Time
		// excludedVMs are the VMs that certainly never run the attempt.
		excludedVMs map[string]bool
		// reservedVM is the VM with resources reserved for the attempt until it is started.
		reservedVM *VM
		stopReason string
		// probe marks an attempt that tests whether a quarantined VM is healthy.
		probe bool
		// score orders the attempt among those that were not started.
		score float64
		// processorShare is the share of its processors that the attempt keeps, or 0 if this entry never throttled
		// it.
		keptShare    float64
		callInFlight bool
		retryAt      time.Time
		// endRecord is the record of the attempt's end. Once it is set, no lease is granted any more, even if the
		// append fails, because a failed append may still take effect later.
		endRecord   *stream.Record
		endQueuedAt time.Time
	}

	// ownershipID identifies one ownership of a shard.
	ownershipID struct {
		shard int
		epoch uint64
	}

	// queuedRecord is a record for the next append, and the function to call if the append fails.
	queuedRecord struct {
		record    stream.Record
		onFailure func()
	}

	// remoteCall makes one remote call. It runs without the mutex.
	remoteCall func(ctx context.Context)
)

// Run consumes the stream and calls Tick until ctx ends. It returns nil, or the error with which the stream ended.
func (o *Owner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		for {
			records, err := o.StreamReader.Receive(ctx)
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

// Tick takes all steps that are due: it appends presence records, claims, handovers, assignments and the ends of
// attempts, and starts and stops attempts.
func (o *Owner) Tick(ctx context.Context) {
	o.mutex.Lock()
	o.ensureInitialized()
	now := o.Clock.Now()
	calls := o.updateOwnership(now)
	o.markSilentVMs(now)
	o.queueParkRecords(now)
	o.requeueDelayedRetries(now)
	o.updateMinScore(now)
	attempts, highest := o.orderedAttempts()
	o.releaseExcessReservations(attempts)
	if !math.IsInf(highest, -1) {
		// Waiting tasks that are more important get freed resources before the attempts that were bound ahead.
		o.assignWaiting(now, highest, false)
	}
	for _, a := range attempts {
		if !a.callInFlight && o.callsInFlight+len(calls) < maxConcurrentCalls {
			calls = append(calls, o.advanceAttempt(a.key, a, now)...)
		}
	}
	o.assignProbes(now)
	o.assignWaiting(now, math.Inf(-1), true)
	calls = append(calls, o.flushOutbox(now)...)
	o.callsInFlight += len(calls)
	o.mutex.Unlock()
	for _, call := range calls {
		o.spawn(func() {
			defer func() {
				o.mutex.Lock()
				o.callsInFlight--
				o.mutex.Unlock()
			}()
			call(ctx)
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
	o.vms, o.shards, o.attemptsToAdvance = map[string]*VM{}, map[int]*shard{}, map[string]*attempt{}
	o.presenceSentAt, o.presenceReceivedAt, o.predecessorLastSeenAt = map[uint64]time.Time{}, map[string]time.Time{}, map[ownershipID]time.Time{}
	o.policies = newPolicies(o)
}

// queueRecord queues a record for the next append. If the append fails, onFailure is called with the mutex held. It
// may be nil.
func (o *Owner) queueRecord(kind string, body any, onFailure func()) {
	o.outbox = append(o.outbox, queuedRecord{stream.NewRecord(kind, body), onFailure})
}

// flushOutbox returns the append of the queued records. Only one append is in flight at a time. The records of a
// failed append are not repeated but derived again, because they may no longer be valid.
func (o *Owner) flushOutbox(now time.Time) []remoteCall {
	if o.appendInFlight || len(o.outbox) == 0 {
		return nil
	}
	batch := o.outbox
	o.outbox = nil
	if now.Before(o.appendRetryAt) {
		callOnFailure(batch)
		return nil
	}
	o.appendInFlight = true
	return []remoteCall{func(ctx context.Context) {
		callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		records := make([]stream.Record, len(batch))
		for i, q := range batch {
			records[i] = q.record
		}
		_, err := o.StreamWriter.Append(callCtx, records...)
		o.mutex.Lock()
		defer o.mutex.Unlock()
		o.appendInFlight = false
		if err != nil {
			o.appendRetryAt = o.Clock.Now().Add(appendRetryDelay)
			callOnFailure(batch)
		}
	}}
}

func callOnFailure(batch []queuedRecord) {
	for _, q := range batch {
		if q.onFailure != nil {
			q.onFailure()
		}
	}
}

// markSilentVMs marks the VMs whose last heartbeat is too old and activates their attempts.
func (o *Owner) markSilentVMs(now time.Time) {
	for e := o.responsiveVMs.Front(); e != nil; e = o.responsiveVMs.Front() {
		v := e.Value.(*VM)
		if now.Sub(v.lastHeartbeat) <= silenceTimeout {
			return
		}
		o.responsiveVMs.Remove(e)
		v.silent, v.responsiveElement = true, nil
		o.updatePlacer(v)
		o.policies.governor.Remove(v.Name)
		for key, a := range v.attempts {
			o.attemptsToAdvance[key] = a
		}
	}
}

// markResponsive moves the VM to the end of the list of responsive VMs.
func (o *Owner) markResponsive(v *VM) {
	if v.responsiveElement == nil {
		v.responsiveElement = o.responsiveVMs.PushBack(v)
		return
	}
	o.responsiveVMs.MoveToBack(v.responsiveElement)
}

// responsiveVM returns a VM and reports whether its last heartbeat is recent.
func (o *Owner) responsiveVM(name string, now time.Time) (*VM, bool) {
	v, ok := o.vms[name]
	return v, ok && now.Sub(v.lastHeartbeat) <= silenceTimeout
}

func (v *VM) updateFree(committed resource.Amount) {
	v.Free = v.Capacity.Sub(committed)
	for _, size := range v.pendingStarts {
		v.Free = v.Free.Sub(size)
	}
}

func (o *Owner) taskCommand(a *attempt, v *VM) message.TaskCommand {
	return message.TaskCommand{Identity: a.identity, Generation: v.Generation}
}
