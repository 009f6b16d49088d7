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
	suspectLimit = 2 * time.Second
	reportGrace  = 2 * time.Second
	// settleTime is how long a new owner waits for heartbeats before it asks for attempts that were not reported.
	settleTime = 2 * time.Second
	// rebindLimit is how long an unstarted attempt waits for its VMs before it is bound to others.
	rebindLimit = 30 * time.Second
	// appendRetry is the pause after a failed append.
	appendRetry = time.Second
	// recordRetry is how long the record of an attempt's end waits for its place in the stream before it is repeated.
	recordRetry = 10 * time.Second
	// bindSize is how many VMs an attempt is bound to.
	bindSize = 3
	// maxUnstarted bounds the attempts of a shard that were assigned before a VM has room. They can start during a log outage.
	maxUnstarted = 64
	// maxBound bounds all attempts of a shard that were not started, and maxAssignments the records of one append.
	maxBound       = 256
	maxAssignments = 256
	// maxCalls bounds the calls in flight.
	maxCalls = 128
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

		mutex    sync.Mutex
		state    *scheduler.Scheduler
		claims   *claimer.Claimer
		lessor   lessor.Lessor
		policies *policies
		// rotation is where the search for VMs without room starts.
		rotation int
		vms      map[string]*VM
		order    []*VM
		// heardVMs are the VMs that are not silent, the one that was heard longest ago first.
		heardVMs  list.List
		shards    map[int]*shard
		active    map[string]*tracked
		outbox    []queued
		appending bool
		retryAt   time.Time
		draining  bool
		sequence  uint64
		presences map[uint64]time.Time
		// heard is when the last presence of an entry was received, and lasts the same for ended claims.
		heard    map[string]time.Time
		lasts    map[claimID]time.Time
		lastSent time.Time
		calls    int
		offset   uint64
		logTime  time.Time
		received time.Time
	}

	// shard is the soft state of an owned shard.
	shard struct {
		epoch      uint64
		begun      time.Time
		asked      time.Time
		handedOver time.Time
		tracked    map[string]*tracked
		// assigning are the assignments that were not read back.
		assigning map[string]*binding
		unstarted int
	}

	// binding is an assignment with the VM where room is reserved, if any, and the place in the order that it had.
	binding struct {
		id    task.Identity
		vm    *VM
		item  sequencer.Item
		probe bool
	}

	// tracked is the soft state of a current attempt of an owned shard.
	tracked struct {
		task scheduler.Task
		key  string
		// own has the epoch of the current claim instead of that of the assignment.
		own   task.Identity
		since time.Time
		// vm has run or may run the attempt; no other VM ever did.
		vm       string
		reported time.Time
		// cleared are the VMs that surely never run it.
		cleared map[string]bool
		// planned is the VM where room is reserved before the start.
		planned *VM
		wish    string
		// probe marks an attempt that shows whether a quarantined VM is healthy.
		probe bool
		// score is the place in the order while the attempt was not started.
		score float64
		// share is what it keeps of its processors, zero if this entry never throttled it.
		share   float64
		busy    bool
		retryAt time.Time
		// final is the record of the attempt's end. Once it is set no lease is granted any more, even if the
		// append fails, because a failed append may take effect later.
		final     *stream.Record
		recording time.Time
	}

	// claimID names one ownership of a shard.
	claimID struct {
		shard int
		epoch uint64
	}

	// queued is a record for the next append, and what to undo if it fails.
	queued struct {
		record stream.Record
		failed func()
	}

	// action makes one call; it runs without the mutex.
	action func(ctx context.Context)
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
	o.prepare()
	now := o.Clock.Now()
	actions := o.claim(now)
	o.silence(now)
	o.park(now)
	o.retry(now)
	o.yield(now)
	active, highest := o.ordered()
	o.unreserve(active)
	if !math.IsInf(highest, -1) {
		// More important tasks that wait take freed room before those that were bound in advance.
		o.assign(now, highest, false)
	}
	for _, t := range active {
		if !t.busy && o.calls+len(actions) < maxCalls {
			actions = append(actions, o.drive(t.key, t, now)...)
		}
	}
	o.probe(now)
	o.assign(now, math.Inf(-1), true)
	actions = append(actions, o.flush(now)...)
	o.calls += len(actions)
	o.mutex.Unlock()
	for _, act := range actions {
		o.spawn(func() {
			defer func() {
				o.mutex.Lock()
				o.calls--
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

func (o *Owner) prepare() {
	if o.state != nil {
		return
	}
	o.claims = claimer.New(claimer.Options{Entry: o.Entry, ShardCount: o.ShardCount})
	o.state = scheduler.New(o.claims)
	o.vms, o.shards, o.active = map[string]*VM{}, map[int]*shard{}, map[string]*tracked{}
	o.presences, o.heard, o.lasts = map[uint64]time.Time{}, map[string]time.Time{}, map[claimID]time.Time{}
	o.policies = newPolicies(o)
}

// record queues a record for the next append; failed is called with the mutex if it fails, and may be nil.
func (o *Owner) record(kind string, body any, failed func()) {
	o.outbox = append(o.outbox, queued{stream.NewRecord(kind, body), failed})
}

// flush returns the append of the queued records. One append is in flight at a time; the records of a failed one
// are derived again, because they may not be valid any more.
func (o *Owner) flush(now time.Time) []action {
	if o.appending || len(o.outbox) == 0 {
		return nil
	}
	batch := o.outbox
	o.outbox = nil
	if now.Before(o.retryAt) {
		undo(batch)
		return nil
	}
	o.appending = true
	return []action{func(ctx context.Context) {
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		records := make([]stream.Record, len(batch))
		for i, q := range batch {
			records[i] = q.record
		}
		_, err := o.Log.Append(call, records...)
		o.mutex.Lock()
		defer o.mutex.Unlock()
		o.appending = false
		if err != nil {
			o.retryAt = o.Clock.Now().Add(appendRetry)
			undo(batch)
		}
	}}
}

func undo(batch []queued) {
	for _, q := range batch {
		if q.failed != nil {
			q.failed()
		}
	}
}

// silence activates the attempts of VMs that are not heard from.
func (o *Owner) silence(now time.Time) {
	for e := o.heardVMs.Front(); e != nil; e = o.heardVMs.Front() {
		v := e.Value.(*VM)
		if now.Sub(v.seen) <= suspectLimit {
			return
		}
		o.heardVMs.Remove(e)
		v.silent, v.place = true, nil
		o.index(v)
		o.policies.governor.Remove(v.Name)
		for key, t := range v.tied {
			o.active[key] = t
		}
	}
}

// hear puts the VM last among those that are heard from.
func (o *Owner) hear(v *VM) {
	if v.place == nil {
		v.place = o.heardVMs.PushBack(v)
		return
	}
	o.heardVMs.MoveToBack(v.place)
}

// vmUp reports whether the VM was heard from lately.
func (o *Owner) vmUp(name string, now time.Time) (*VM, bool) {
	v, ok := o.vms[name]
	return v, ok && now.Sub(v.seen) <= suspectLimit
}

func (v *VM) estimate(committed resource.Amount) {
	v.Free = v.Capacity.Sub(committed)
	for _, size := range v.starting {
		v.Free = v.Free.Sub(size)
	}
}

func (o *Owner) orderTo(t *tracked, v *VM) message.TaskOrder {
	return message.TaskOrder{Identity: t.own, Generation: v.Generation}
}
