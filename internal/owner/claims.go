package owner

import (
	"context"
	"time"

	"bamboohook/claimer"
	"bamboohook/lessor"
	"bamboohook/scheduler"
)

const (
	// confirmInterval is how often a silent predecessor is asked to confirm its stop.
	confirmInterval = time.Second
	// claimRetry is how long a queued claim or hand-over waits for its place in the stream before it is repeated.
	claimRetryInterval = 2 * time.Second
	// presenceRetry is the least time between presence records that were not read back.
	minPresenceInterval = time.Second
	// maxPresences bounds the presence records that were sent and not read back.
	maxUnconfirmedPresences = 64
	// lastMemory is how long an absent entry is remembered; a predecessor that was forgotten counts as heard from now.
	lastSeenRetention = 3 * time.Hour
)

// Consume takes records of the stream in order.
func (o *Owner) Consume(records ...DeliveredRecord) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.ensureInitialized()
	now := o.Clock.Now()
	for _, d := range records {
		o.offset, o.logTimeReceivedAt = d.Offset, now
		if d.Time.After(o.logTime) {
			o.logTime = d.Time
		}
		if o.scheduler.Apply(d.Record, d.Offset, d.Time) == scheduler.Applied {
			o.recordApplied(d, now)
		}
		o.observeRecord(d.Record, now)
	}
}

// Snapshot returns the replayed state and the offset of the last record in it.
func (o *Owner) Snapshot() (state []byte, offset uint64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.ensureInitialized()
	return o.scheduler.Snapshot(), o.offset
}

// Restore starts from a snapshot instead of the start of the stream. It must be called before Run and
// Consume. On error the state is unchanged.
func (o *Owner) Restore(state []byte, offset uint64) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.ensureInitialized()
	if err := o.scheduler.Restore(state); err != nil {
		return err
	}
	for shardNumber := range o.claimer.ShardCount() {
		for t := range o.scheduler.WaitingTasks(shardNumber) {
			o.enqueueOther(t)
		}
	}
	o.offset, o.logTime, o.logTimeReceivedAt = offset, o.claimer.LogTime(), o.Clock.Now()
	return nil
}

// ConfirmStopped ends the granting of leases for a shard whose owner was this entry under the epoch,
// because a successor asks for it, and returns how much longer the hold leases of its VMs last.
func (o *Owner) ConfirmStopped(shard int, epoch uint64) (map[string]time.Duration, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.ensureInitialized()
	if known, _ := o.lessor.GrantingEpoch(shard); known != epoch || epoch == 0 {
		return nil, ErrUnknownEpoch
	}
	o.lessor.StopGranting(shard)
	return o.lessor.OutageLeases(shard, o.Clock.Now()), nil
}

// Drain makes the entry refuse shards and hand over those it owns; it returns whether none is left.
func (o *Owner) Drain() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.ensureInitialized()
	if !o.draining {
		o.draining = true
		o.queuePresence(o.Clock.Now())
	}
	return len(o.shards) == 0
}

// logNow returns a lower bound of the log service's time.
func (o *Owner) estimatedLogTime(now time.Time) time.Time {
	if o.logTime.IsZero() {
		return time.Time{}
	}
	return o.logTime.Add(now.Sub(o.logTimeReceivedAt))
}

// claim queues presence, claims and hand-overs, and returns questions to predecessors.
func (o *Owner) updateOwnership(now time.Time) []remoteCall {
	if o.appendInFlight {
		return o.confirmPredecessors(now)
	}
	logTime := o.estimatedLogTime(now)
	if o.claimer.PresenceDue(logTime) && now.Sub(o.lastPresenceSentAt) >= minPresenceInterval {
		o.queuePresence(now)
	}
	if !o.draining {
		for _, c := range o.claimer.ClaimsDue(logTime) {
			o.queueRecord(claimer.KindClaim, c, nil)
		}
	}
	// Granting ends before the hand-over is appended; without log contact that would leave the tasks without leases.
	if o.lessor.HasLogContact(now) {
		for _, shardNumber := range o.claimer.HandOversDue(logTime) {
			if s, ok := o.shards[shardNumber]; ok && s.handOverAt.IsZero() {
				s.handOverAt = now
				o.lessor.StopGranting(shardNumber)
			}
		}
	}
	for shardNumber := range o.claimer.ShardCount() {
		s, ok := o.shards[shardNumber]
		if ok && !s.handOverAt.IsZero() && !now.Before(s.handOverAt) {
			s.handOverAt = now.Add(claimRetryInterval)
			o.queueRecord(claimer.KindHandOver, claimer.HandOver{
				Shard: shardNumber, Entry: o.Entry, Epoch: s.epoch, RemainingLease: o.lessor.LongestLease(shardNumber, now),
			}, nil)
		}
	}
	return o.confirmPredecessors(now)
}

func (o *Owner) queuePresence(now time.Time) {
	o.presenceSequence++
	o.lastPresenceSentAt = now
	o.presenceSentAt[o.presenceSequence] = now
	delete(o.presenceSentAt, o.presenceSequence-maxUnconfirmedPresences)
	o.queueRecord(claimer.KindPresence, claimer.Presence{Entry: o.Entry, Sequence: o.presenceSequence, Draining: o.draining}, nil)
}

func (o *Owner) confirmPredecessors(now time.Time) []remoteCall {
	var actions []remoteCall
	for shardNumber := range o.claimer.ShardCount() {
		s, ok := o.shards[shardNumber]
		if !ok || o.Peers == nil || now.Sub(s.confirmAskedAt) < confirmInterval {
			continue
		}
		s.confirmAskedAt = now
		for _, p := range o.lessor.UnconfirmedPredecessors(shardNumber, now) {
			actions = append(actions, func(ctx context.Context) { o.confirmPredecessor(ctx, shardNumber, s.epoch, p) })
		}
	}
	return actions
}

func (o *Owner) confirmPredecessor(ctx context.Context, shardNumber int, epoch uint64, p lessor.Predecessor) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	held, err := o.Peers.ConfirmStopped(call, p.Entry, shardNumber, p.Epoch)
	if err != nil {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if s, ok := o.shards[shardNumber]; ok && s.epoch == epoch {
		o.lessor.RecordConfirmation(shardNumber, p.Epoch, held, o.Clock.Now())
	}
}

// noteLast remembers when the last record of each predecessor was received. A time of the own clock is never too
// early, and unlike log time it does not change when the log service's clock is set.
func (o *Owner) recordPredecessors(shardNumber int, now time.Time) {
	for _, p := range o.claimer.Ownership(shardNumber).Predecessors {
		id := ownershipID{shardNumber, p.Epoch}
		if _, ok := o.predecessorSeenAt[id]; ok {
			continue
		}
		last, ok := o.presenceReceivedAt[p.Entry]
		if !ok || p.HandedOver {
			last = now
		}
		o.predecessorSeenAt[id] = last
	}
	for id, last := range o.predecessorSeenAt {
		if now.Sub(last) > lastSeenRetention {
			delete(o.predecessorSeenAt, id)
		}
	}
	for entry, last := range o.presenceReceivedAt {
		if now.Sub(last) > lastSeenRetention {
			delete(o.presenceReceivedAt, entry)
		}
	}
}

// begin takes over a shard after the own claim took effect.
func (o *Owner) takeShard(shardNumber int, now time.Time) {
	ownership := o.claimer.Ownership(shardNumber)
	var predecessors []lessor.Predecessor
	for _, p := range ownership.Predecessors {
		last, ok := o.predecessorSeenAt[ownershipID{shardNumber, p.Epoch}]
		if !ok {
			last = now
		}
		predecessors = append(predecessors, lessor.Predecessor{
			Entry: p.Entry, Epoch: p.Epoch, LastRecordAt: last, HandedOver: p.HandedOver, RemainingLease: p.RemainingLease,
		})
	}
	o.lessor.StartGranting(shardNumber, ownership.Epoch, predecessors, now)
	o.dropShard(shardNumber)
	s := &shard{epoch: ownership.Epoch, ownedSince: now, attempts: map[string]*attempt{}, pendingAssignments: map[string]*pendingAssignment{}}
	o.shards[shardNumber] = s
	for t := range o.scheduler.RunningTasks(shardNumber) {
		o.policies.others.Cancel(taskKey(t.Job, t.Task))
		o.addAttempt(s, t, now)
	}
	for t := range o.scheduler.WaitingTasks(shardNumber) {
		o.policies.others.Cancel(taskKey(t.Job, t.Task))
		o.policies.sequencer.Add(sequencerItem(t))
	}
}

// end drops the soft state of a shard that is not owned any more.
func (o *Owner) dropShard(shardNumber int) {
	s, ok := o.shards[shardNumber]
	if !ok {
		return
	}
	// Tasks return to the order of an owned shard only.
	delete(o.shards, shardNumber)
	for _, t := range s.attempts {
		o.removeAttempt(s, t)
	}
	for key := range s.pendingAssignments {
		o.dropAssignment(s, key)
	}
	for t := range o.scheduler.WaitingTasks(shardNumber) {
		o.policies.sequencer.Cancel(taskKey(t.Job, t.Task))
		o.enqueueOther(t)
	}
}
