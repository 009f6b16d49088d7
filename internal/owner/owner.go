// Package owner schedules the batch tasks of a region. Each entry runs an owner, which claims shards of the tasks,
// assigns the tasks of its shards to VMs, starts them, grants their leases and records their results.
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
	// appendTimeout is less than claimer.AbsenceTimeout, so that another presence record can be appended before the
	// entry counts as absent.
	appendTimeout = 4 * time.Second
	callTimeout   = 2 * time.Second
	// silenceTimeout is the age of a VM's last heartbeat beyond which the VM counts as silent and gets no new
	// attempts. unreportedTimeout is how long an attempt may be missing from the heartbeats of its VM before it is
	// stopped.
	silenceTimeout    = 2 * time.Second
	unreportedTimeout = 2 * time.Second
	// heartbeatWait is how long a new owner of a shard waits for heartbeats before it looks for the attempts that no
	// heartbeat has reported.
	heartbeatWait = 2 * time.Second
	// reassignTimeout is how long an attempt that was not started waits for its VMs if none of them is usable. Then
	// it ends, and its task is assigned to other VMs. It ends without waiting if one of the unusable VMs is
	// quarantined. If some VMs are usable but have too few free resources, the attempt waits for twice this time.
	reassignTimeout = 30 * time.Second
	// appendRetryDelay is the time after a failed append during which no other append is sent.
	appendRetryDelay = time.Second
	// recordRetryInterval is the time after which the record of an attempt's end or of a parked job is appended again
	// if it was not read back from the stream.
	recordRetryInterval = 10 * time.Second
	// vmsPerAttempt is the number of VMs that an attempt is assigned to. The attempt runs on one of them.
	vmsPerAttempt = 3
	// A task that fits on no VM now is assigned only while the shard has fewer than maxAssignedAhead unstarted
	// attempts. Such attempts can start during a log outage.
	maxAssignedAhead = 64
	// maxUnstarted is the maximum number of attempts of a shard that are assigned but not started. Tasks are assigned
	// only while fewer than maxAppendRecords records are queued for the next append.
	maxUnstarted     = 256
	maxAppendRecords = 256
	// maxConcurrentCalls is the maximum number of remote calls in flight.
	maxConcurrentCalls = 128
	// reasonReassigned is the reason of an interruption record for an attempt that was never started and whose task
	// is to be assigned to other VMs.
	reasonReassigned = "rebound"
)

type (
	// Owner schedules the tasks of the shards that its entry owns. It is safe for concurrent use. The exported fields
	// must be set before the first call.
	Owner struct {
		// Entry names this run of the entry's process in the stream. It must be unique, for example the name of the
		// entry with a random suffix.
		Entry string
		// ShardCount is the number of shards of the region. It must be the same in all entries.
		ShardCount   int
		StreamWriter StreamWriter
		StreamReader StreamReader
		Agents       Agents
		// Peers may be nil. The leases of a predecessor that has not handed over its shard are then assumed to run
		// for the longest possible time.
		Peers Peers
		Clock Clock
		// DefaultRetries is how many times at most a failed task is started again, unless the configuration of its
		// kind sets the number of attempts.
		DefaultRetries int
		// OnEvent receives events for operators, such as job-parked and vm-quarantined. It may be nil. It is called
		// with the mutex held and must not call the Owner.
		OnEvent func(kind, subject string, details map[string]string)
		// Spawn runs a function that makes a remote call. If it is nil, each function runs in a new goroutine.
		Spawn func(func())

		mutex     sync.Mutex
		scheduler *scheduler.Scheduler
		claimer   *claimer.Claimer
		lessor    lessor.Lessor
		policies  *policies
		// fallbackSearchCount is the index in vmsByName near which addFallbackVMs starts its next search.
		fallbackSearchCount int
		vms                 map[string]*VM
		vmsByName           []*VM
		// responsiveVMs holds the VMs that are not silent, in the order of their last heartbeats, the oldest first.
		responsiveVMs list.List
		shards        map[int]*shard
		// attemptsToAdvance holds the attempts that must be started, located, stopped or recorded, by attempt id.
		// Tick advances them. An attempt that runs as expected is not in it.
		attemptsToAdvance map[string]*attempt
		// queuedRecords holds the records for the next append.
		queuedRecords    []queuedRecord
		appendInFlight   bool
		appendRetryAt    time.Time
		draining         bool
		presenceSequence uint64
		// presenceSentAt is when each presence record that was not read back yet was sent, by sequence.
		presenceSentAt map[uint64]time.Time
		// lastPresenceReceivedAt is when the last presence record of each entry was received. predecessorLastRecordReceivedAt is
		// when the last presence record of an earlier owner of a shard was received, or its handover, by ownership.
		lastPresenceReceivedAt          map[string]time.Time
		predecessorLastRecordReceivedAt map[ownershipID]time.Time
		lastPresenceSentAt              time.Time
		callsInFlight                   int
		offset                          uint64
		logTime                         time.Time
		logTimeReceivedAt               time.Time
	}

	// shard is the part of an owned shard's state that is not in the stream.
	shard struct {
		epoch               uint64
		ownedSince          time.Time
		predecessorsAskedAt time.Time
		// handOverAt is when the handover record is to be appended next. It is zero unless the shard is being handed
		// over.
		handOverAt time.Time
		attempts   map[string]*attempt
		// pendingAssignments holds the assignments whose record was queued but not read back from the stream, by
		// attempt id.
		pendingAssignments map[string]*pendingAssignment
		// unstartedCount is the number of the attempts for which neverStarted returns true.
		unstartedCount int
	}

	// pendingAssignment is a queued assignment. reservedVM is the VM with resources reserved for the attempt, or nil.
	// item is the sequencer's item of the task. probe is true if the attempt tests whether a quarantined VM is
	// healthy.
	pendingAssignment struct {
		id         task.Identity
		reservedVM *VM
		item       sequencer.Item
		probe      bool
	}

	// attempt is what an owner knows about a current attempt of one of its shards. All fields except task are not in
	// the stream.
	attempt struct {
		task scheduler.Task
		// id is the attempt id that the worker, the process which runs the tasks on a VM, uses as well.
		id string
		// identity names the attempt under the epoch of the current claim. The epoch in task is that of the
		// assignment, which may be older.
		identity task.Identity
		// addedAt is when this entry added the attempt, which was when it read the assignment back or claimed the
		// shard.
		addedAt time.Time
		// vm is the VM that runs, has run or may run the attempt. No other VM has ever run it. It is empty if the
		// attempt was not started or its VM is unknown.
		vm string
		// reportedAt is when a heartbeat last reported the attempt, or when its start was sent.
		reportedAt time.Time
		// excludedVMs are the VMs whose agents have agreed never to run the attempt.
		excludedVMs map[string]bool
		// reservedVM is the VM with resources reserved for the attempt, or nil. A start removes the reservation.
		reservedVM *VM
		// stopReason is why the attempt is to be stopped, or empty.
		stopReason string
		// probe is true if the attempt tests whether a quarantined VM is healthy.
		probe bool
		// score is the sequencer's score of the task, or infinite if the attempt was started.
		score float64
		// share is the share of its processors to which the attempt was throttled, with 1 for no limit, or 0 if
		// this entry never set it.
		share float64
		// callInFlight is true while a call for the attempt is made. retryAt is when the next one may be made.
		callInFlight bool
		retryAt      time.Time
		// endRecord is the record of the attempt's end, or nil. Once it is set, no lease is granted any more, even if
		// the append fails, because a failed append may still take effect later. endQueuedAt is when the record was
		// last queued.
		endRecord   *stream.Record
		endQueuedAt time.Time
	}

	// ownershipID identifies one ownership of a shard by the epoch of its claim.
	ownershipID struct {
		shardNumber int
		epoch       uint64
	}

	// queuedRecord is a record for the next append. onFailure, if set, is called if the append fails.
	queuedRecord struct {
		record    stream.Record
		onFailure func()
	}

	// remoteCall is a function that makes one remote call. It is called without the mutex.
	remoteCall func(ctx context.Context)
)

// Run consumes the stream and calls Tick repeatedly until ctx ends, then returns nil. If reading the stream fails
// before that, it returns the error.
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

// Tick takes all steps that are due. It appends presence records, claims, handovers, assignments and the ends of
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
	attempts, highestUnstartedScore := o.orderedAttempts()
	o.releaseExcessReservations(attempts)
	if !math.IsInf(highestUnstartedScore, -1) {
		// Waiting tasks that are more important than all unstarted attempts get freed resources first.
		o.assignWaiting(now, highestUnstartedScore, false)
	}
	for _, a := range attempts {
		if !a.callInFlight && o.callsInFlight+len(calls) < maxConcurrentCalls {
			calls = append(calls, o.advanceAttempt(a.id, a, now)...)
		}
	}
	o.assignProbes(now)
	o.assignWaiting(now, math.Inf(-1), true)
	calls = append(calls, o.appendCalls(now)...)
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

// spawn runs f by Spawn, or in a new goroutine.
func (o *Owner) spawn(f func()) {
	if o.Spawn != nil {
		o.Spawn(f)
		return
	}
	go f()
}

// ensureInitialized creates the state at the first call of any method.
func (o *Owner) ensureInitialized() {
	if o.scheduler != nil {
		return
	}
	o.claimer = claimer.New(claimer.Options{Entry: o.Entry, ShardCount: o.ShardCount})
	o.scheduler = scheduler.New(o.claimer)
	o.vms, o.shards, o.attemptsToAdvance = map[string]*VM{}, map[int]*shard{}, map[string]*attempt{}
	o.presenceSentAt, o.lastPresenceReceivedAt, o.predecessorLastRecordReceivedAt = map[uint64]time.Time{}, map[string]time.Time{}, map[ownershipID]time.Time{}
	o.policies = newPolicies(o)
}

// queueRecord queues a record for the next append. If the append fails, onFailure is called with the mutex held,
// unless it is nil.
func (o *Owner) queueRecord(kind string, body any, onFailure func()) {
	o.queuedRecords = append(o.queuedRecords, queuedRecord{stream.NewRecord(kind, body), onFailure})
}

// appendCalls returns the call that appends the queued records, if one is due. Only one append is in flight at a
// time. The records of a failed append, and those queued during the delay after it, are discarded, because they may
// no longer be valid. Their onFailure functions make sure that later ticks queue the records that are still needed.
func (o *Owner) appendCalls(now time.Time) []remoteCall {
	if o.appendInFlight || len(o.queuedRecords) == 0 {
		return nil
	}
	batch := o.queuedRecords
	o.queuedRecords = nil
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

// callOnFailure calls the onFailure functions of records that were not appended.
func callOnFailure(batch []queuedRecord) {
	for _, q := range batch {
		if q.onFailure != nil {
			q.onFailure()
		}
	}
}

// markSilentVMs marks the VMs whose last heartbeat is too old as silent, and adds their attempts to
// attemptsToAdvance.
func (o *Owner) markSilentVMs(now time.Time) {
	for e := o.responsiveVMs.Front(); e != nil; e = o.responsiveVMs.Front() {
		v := e.Value.(*VM)
		if now.Sub(v.lastHeartbeatAt) <= silenceTimeout {
			return
		}
		o.responsiveVMs.Remove(e)
		v.silent, v.responsiveElement = true, nil
		o.updatePlacer(v)
		o.policies.governor.Remove(v.Name)
		for attemptID, a := range v.attempts {
			o.attemptsToAdvance[attemptID] = a
		}
	}
}

// markResponsive moves the VM to the end of the list of responsive VMs, or adds it there.
func (o *Owner) markResponsive(v *VM) {
	if v.responsiveElement == nil {
		v.responsiveElement = o.responsiveVMs.PushBack(v)
		return
	}
	o.responsiveVMs.MoveToBack(v.responsiveElement)
}

// responsiveVM returns the named VM. It returns false if the last heartbeat of the VM is older than silenceTimeout,
// or if the VM is unknown.
func (o *Owner) responsiveVM(name string, now time.Time) (*VM, bool) {
	v, ok := o.vms[name]
	return v, ok && now.Sub(v.lastHeartbeatAt) <= silenceTimeout
}

// updateFree sets Free to the capacity without the resources that the agent has committed and those in
// unreportedSizes.
func (v *VM) updateFree(committed resource.Amount) {
	v.Free = v.Capacity.Sub(committed)
	for _, size := range v.unreportedSizes {
		v.Free = v.Free.Sub(size)
	}
}

// taskCommand returns a command for the attempt to the VM's agent.
func (o *Owner) taskCommand(a *attempt, v *VM) message.TaskCommand {
	return message.TaskCommand{Identity: a.identity, Generation: v.Generation}
}
