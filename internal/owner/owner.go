// Package owner schedules the batch tasks of a region. Each entry, a process that serves the callers of the region,
// runs an owner. The jobs of the region are divided into shards. The owner claims some of the shards, assigns their
// tasks to VMs, starts the tasks, grants leases on them and records their results.
//
// All owners share the region's stream, a sequence of records that the log service stores. The first claim in the
// stream decides who owns a shard, and its offset is the epoch of the ownership. An attempt is one execution of a
// task. The agent of a VM starts an attempt at the worker, the process that runs the tasks on the VM, and may run it
// only under a lease from the owner of its shard. Log contact means that this entry has recently read back one of its
// own presence records from the stream.
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
	// tickInterval is the time between two calls of Tick by Run.
	tickInterval = 500 * time.Millisecond
	// appendTimeout limits one append to the stream. It is less than claimer.AbsenceTimeout, so that another presence
	// record can be appended before the entry counts as absent.
	appendTimeout = 4 * time.Second
	// callTimeout limits one call to an agent or to another entry.
	callTimeout = 2 * time.Second
	// silenceTimeout is the age of a VM's last heartbeat beyond which the VM counts as silent and no attempts are
	// started on it. unreportedTimeout is how long an attempt may be missing from the heartbeats of its VM before it is
	// stopped.
	silenceTimeout    = 2 * time.Second
	unreportedTimeout = 2 * time.Second
	// heartbeatWait is how long a new owner of a shard waits for heartbeats before it looks for the attempts that no
	// heartbeat has reported. An entry asks the agents of the VMs of such an attempt to refuse it. An agent that does
	// not agree is asked again after the same time.
	heartbeatWait = 2 * time.Second
	// reassignTimeout is how long an unstarted attempt waits while none of its VMs is available. A VM is not available
	// if it is silent, draining or quarantined, or if its agent has agreed never to run the attempt. Then the attempt
	// ends, and its task is assigned to other VMs. If none of its VMs is available and one is quarantined, the attempt
	// ends without waiting. If a VM is available but has too few free resources, the attempt waits for twice this time.
	reassignTimeout = 30 * time.Second
	// appendRetryDelay is the time after a failed append during which no other append of queued records is sent.
	appendRetryDelay = time.Second
	// recordRetryInterval is the time after which the record of an attempt's end, or the record that parks a job, is
	// appended again if it was not read back from the stream.
	recordRetryInterval = 10 * time.Second
	// vmsPerAttempt is the maximum number of VMs that an attempt is assigned to. It runs on one of them.
	vmsPerAttempt = 3
	// maxAssignedAhead limits the unstarted attempts of a shard that are assigned ahead. Once the shard has as many
	// unstarted attempts, a task is assigned only if it fits on a VM now. Tasks that are assigned ahead can start when
	// resources are freed, even during a log outage.
	maxAssignedAhead = 64
	// maxUnstarted is the maximum number of attempts of a shard that are assigned but not started.
	maxUnstarted = 256
	// maxRecordsForAssigning limits the assignments that are queued. Once this many records are queued for the next
	// append, no more tasks are assigned. Other records are queued without a limit.
	maxRecordsForAssigning = 256
	// maxConcurrentCalls limits the remote calls in flight. Once there are as many, no more attempts are advanced.
	maxConcurrentCalls = 128
	// reasonReassigned is the reason in the interruption record of an attempt that was never started, because its VMs
	// did not become available in time. The task is then assigned to other VMs.
	reasonReassigned = "rebound"
)

type (
	// Owner schedules the tasks of the shards that its entry owns. It is safe for concurrent use. The exported fields
	// must be set before the first call of a method.
	Owner struct {
		// Entry names this run of the entry's process in the stream. It must be unique, for example the name of the
		// entry with a random suffix.
		Entry string
		// ShardCount is the number of shards of the region. It must be the same in all entries of the region.
		ShardCount   int
		StreamWriter StreamWriter
		StreamReader StreamReader
		Agents       Agents
		// Peers calls the other entries. It may be nil. The leases of a predecessor that has not handed over its shard
		// are then assumed to run for the longest possible time.
		Peers Peers
		Clock Clock
		// DefaultRetries is how many times at most a failed task is started again, if the configuration does not set a
		// number of attempts for the kind of its job.
		DefaultRetries int
		// OnEvent receives events for the operator, such as job-parked and vm-quarantined. It may be nil. It is called
		// with the mutex held and must not call the Owner.
		OnEvent func(kind, subject string, details map[string]string)
		// Spawn runs a function that makes a remote call. If it is nil, each function runs in a new goroutine.
		Spawn func(func())

		mutex     sync.Mutex
		scheduler *scheduler.Scheduler
		claimer   *claimer.Claimer
		lessor    lessor.Lessor
		policies  *policies
		// fallbackSearchCount is the number of searches that addFallbackVMs has made. Modulo the number of VMs, it is
		// the index in vmsByName at which the last search started. vms holds the known VMs by name, and vmsByName holds
		// them sorted by name.
		fallbackSearchCount int
		vms                 map[string]*VM
		vmsByName           []*VM
		// responsiveVMs holds the VMs that are not silent, sorted by the time of their last heartbeat. The VM with the
		// oldest one comes first.
		responsiveVMs list.List
		// shards holds the shards that this entry owns, by number.
		shards map[int]*shard
		// attemptsToAdvance holds the attempts that must be started or stopped, whose VM must be found, or whose end
		// must be recorded, by attempt id. Tick advances them. An attempt that runs as expected is not in it.
		attemptsToAdvance map[string]*attempt
		// openRequests counts the callers' requests whose records may still be appended, by request key.
		openRequests map[string]int
		// queuedRecords holds the records for the next append.
		queuedRecords    []queuedRecord
		appendInFlight   bool
		appendRetryAt    time.Time
		draining         bool
		presenceSequence uint64
		// presenceSentAt is when each presence record of this entry that was not read back yet was queued, by the
		// sequence number of the record.
		presenceSentAt map[uint64]time.Time
		// lastPresenceReceivedAt is when this entry received the last presence record of each entry, by entry name.
		// predecessorLastRecordReceivedAt is when it received the last presence record of a predecessor, or the handover
		// of the shard if the predecessor handed it over, by ownership.
		lastPresenceReceivedAt          map[string]time.Time
		predecessorLastRecordReceivedAt map[ownershipID]time.Time
		lastPresenceSentAt              time.Time
		callsInFlight                   int
		// offset is that of the last record that was read from the stream. logTime is the latest time at which the log
		// service stored a record, and logTimeReceivedAt is when this entry received the last record.
		offset            uint64
		logTime           time.Time
		logTimeReceivedAt time.Time
	}

	// shard is what this entry knows about a shard that it owns, apart from the replayed records.
	shard struct {
		epoch               uint64
		ownedSince          time.Time
		predecessorsAskedAt time.Time
		// handOverAt is when a handover record of the shard is to be appended next. It is zero unless the shard is being
		// handed over.
		handOverAt time.Time
		// attempts holds the current attempts of the shard, by attempt id.
		attempts map[string]*attempt
		// pendingAssignments holds the assignments whose records were queued but not read back from the stream yet, by
		// attempt id.
		pendingAssignments map[string]*pendingAssignment
		// lateCompletions is when the result of each attempt that has completed although it counted as lost was queued, by
		// attempt id, until the result takes effect.
		lateCompletions map[string]time.Time
		// unstartedCount is the number of the attempts that this entry has assigned and certainly never started.
		unstartedCount int
	}

	// pendingAssignment is a queued assignment. reservedVM is the VM on which resources are reserved for the attempt,
	// or nil. item is the task as the sequencer returned it. probe is true if the attempt is to show whether a
	// quarantined VM is healthy again.
	pendingAssignment struct {
		id         task.Identity
		reservedVM *VM
		item       sequencer.Item
		probe      bool
	}

	// attempt is what an owner knows about a current attempt of one of its shards. All of it except task is unknown to
	// readers of the stream.
	attempt struct {
		task scheduler.Task
		// id is the attempt id. The worker, which is the process that runs the tasks on a VM, uses it as well.
		id string
		// identity names the attempt under the epoch of the current ownership. The epoch in task is that of the
		// assignment, which may be older.
		identity task.Identity
		// addedAt is when this entry read the assignment of the attempt from the stream, or when it claimed the shard if
		// that was later.
		addedAt time.Time
		// vm names the VM that runs, has run or may run the attempt. No other VM has ever run it. It is empty if the
		// attempt was not started or if its VM is unknown.
		vm string
		// reportedAt is when a heartbeat last reported the attempt, or when its start was last sent.
		reportedAt time.Time
		// excludedVMs holds the names of the VMs whose agents have agreed never to run the attempt.
		excludedVMs map[string]bool
		// reservedVM is the VM on which resources are reserved for the attempt, or nil. The reservation ends when the
		// attempt is started.
		reservedVM *VM
		// stopReason is why the attempt must be stopped. It is empty if the attempt may continue.
		stopReason string
		// probe is true if the attempt is to show whether a quarantined VM is healthy again.
		probe bool
		// score is the score of the task in the sequencer if the attempt certainly was never started, and otherwise
		// infinite. Attempts are advanced by decreasing score.
		score float64
		// share is the share of its processors that this entry has limited the attempt to, where 1 means no limit. It is
		// 0 if this entry has never set a limit.
		share float64
		// callInFlight is true while a call to an agent is made for the attempt. retryAt is the earliest time of the
		// next call.
		callInFlight bool
		retryAt      time.Time
		// endRecord is the record of the attempt's end, or nil. Once it is set, no lease is granted on the attempt any
		// more, even if the append fails, because a failed append may still take effect later. endQueuedAt is when the
		// record was last queued, or zero after a failed append.
		endRecord   *stream.Record
		endQueuedAt time.Time
	}

	// ownershipID identifies one ownership of a shard by the epoch of its claim.
	ownershipID struct {
		shardNumber int
		epoch       uint64
	}

	// queuedRecord is a record for the next append. onFailure, if it is not nil, is called with the mutex held if the
	// append fails.
	queuedRecord struct {
		record    stream.Record
		onFailure func()
	}

	// remoteCall is a function that makes one remote call. It is called without the mutex.
	remoteCall func(ctx context.Context)
)

// Run reads the region's stream and calls Tick at regular intervals until ctx ends, and then returns nil. If reading
// the stream fails before that, it returns the error.
func (o *Owner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	readErr := make(chan error, 1)
	go func() {
		for {
			records, err := o.StreamReader.Receive(ctx)
			if err != nil {
				readErr <- err
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
		case err := <-readErr:
			if ctx.Err() != nil {
				return nil
			}
			return err
		case <-ticker.C:
			o.Tick(ctx)
		}
	}
}

// Tick takes all steps that are due. It queues presence records, claims, handovers, assignments and the records of
// ended attempts and parked jobs, appends the queued records, and starts and stops attempts.
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
		// Waiting tasks that are more important than all attempts that were assigned but not started get free resources
		// first.
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

// spawn calls f through Spawn, or in a new goroutine if Spawn is nil.
func (o *Owner) spawn(f func()) {
	if o.Spawn != nil {
		o.Spawn(f)
		return
	}
	go f()
}

// ensureInitialized creates the internal state at the first call. Every exported method calls it first.
func (o *Owner) ensureInitialized() {
	if o.scheduler != nil {
		return
	}
	o.claimer = claimer.New(claimer.Options{Entry: o.Entry, ShardCount: o.ShardCount})
	o.scheduler = scheduler.New(o.claimer)
	o.vms, o.shards, o.attemptsToAdvance = map[string]*VM{}, map[int]*shard{}, map[string]*attempt{}
	o.openRequests = map[string]int{}
	o.presenceSentAt, o.lastPresenceReceivedAt, o.predecessorLastRecordReceivedAt = map[uint64]time.Time{}, map[string]time.Time{}, map[ownershipID]time.Time{}
	o.policies = newPolicies(o)
}

// queueRecord queues a record for the next append. If the append fails and onFailure is not nil, onFailure is called
// with the mutex held.
func (o *Owner) queueRecord(kind string, body any, onFailure func()) {
	o.queuedRecords = append(o.queuedRecords, queuedRecord{stream.NewRecord(kind, body), onFailure})
}

// appendCalls returns the call that appends the queued records, or none if no append is due. Only one append is in
// flight at a time. The records of a failed append, and the records that are queued during the delay after it, are
// discarded, because they may no longer be valid. Their onFailure functions make sure that later calls of Tick queue
// those that are still needed.
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

// markSilentVMs marks the VMs whose last heartbeat is older than silenceTimeout as silent, and adds their attempts to
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

// markResponsive makes the VM the last one in responsiveVMs, because its heartbeat is the newest.
func (o *Owner) markResponsive(v *VM) {
	if v.responsiveElement == nil {
		v.responsiveElement = o.responsiveVMs.PushBack(v)
		return
	}
	o.responsiveVMs.MoveToBack(v.responsiveElement)
}

// responsiveVM returns the named VM. The second result is false if the VM is unknown or its last heartbeat is older
// than silenceTimeout.
func (o *Owner) responsiveVM(name string, now time.Time) (*VM, bool) {
	v, ok := o.vms[name]
	return v, ok && now.Sub(v.lastHeartbeatAt) <= silenceTimeout
}

// updateFree estimates the free resources of the VM as its capacity without those that its agent has committed and
// without unreportedSizes, which the agent may not have committed yet.
func (v *VM) updateFree(committed resource.Amount) {
	v.Free = v.Capacity.Sub(committed)
	for _, size := range v.unreportedSizes {
		v.Free = v.Free.Sub(size)
	}
}

// taskCommand returns the part that all commands for the attempt to the agent of the VM have in common.
func (o *Owner) taskCommand(a *attempt, v *VM) message.TaskCommand {
	return message.TaskCommand{Identity: a.identity, Generation: v.Generation}
}
