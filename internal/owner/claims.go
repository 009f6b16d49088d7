package owner

import (
	"context"
	"time"

	"bamboohook/claimer"
	"bamboohook/lessor"
	"bamboohook/scheduler"
)

const (
	// confirmInterval is how often a silent predecessor is asked to confirm that it stopped granting leases.
	confirmationRequestInterval = time.Second
	// handOverRetryInterval is how long to wait until a handover is read back before it is appended again.
	handOverRetryInterval = 2 * time.Second
	// minPresenceInterval is the shortest time between two presence records, also if none is read back.
	minPresenceInterval = time.Second
	// maxUnconfirmedPresences bounds the presence records that were sent but not read back.
	maxUnreadPresences = 64
	// lastSeenRetention is how long the last record of an absent entry is remembered. Of a predecessor that was
	// forgotten, the last record is assumed to have been received now.
	lastSeenRetention = 3 * time.Hour
)

// Consume applies records of the stream. They must be passed in order.
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
			o.handleAppliedRecord(d, now)
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

// Restore starts from a snapshot instead of the start of the stream. It must be called before Run and Consume. On
// error the state is unchanged.
func (o *Owner) Restore(state []byte, offset uint64) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.ensureInitialized()
	if err := o.scheduler.Restore(state); err != nil {
		return err
	}
	for shardNumber := range o.claimer.ShardCount() {
		for t := range o.scheduler.WaitingTasks(shardNumber) {
			o.enqueueForeign(t)
		}
	}
	o.offset, o.logTime, o.logTimeReceivedAt = offset, o.claimer.LogTime(), o.Clock.Now()
	return nil
}

// ConfirmStopped stops granting leases for a shard that this entry owned under the given epoch. A successor requests
// it. It returns how long the outage leases of the shard still run on each VM.
func (o *Owner) ConfirmStopped(shard int, epoch uint64) (map[string]time.Duration, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.ensureInitialized()
	if lastEpoch, _ := o.lessor.LastEpoch(shard); lastEpoch != epoch || epoch == 0 {
		return nil, ErrUnknownEpoch
	}
	o.lessor.StopGranting(shard)
	return o.lessor.OutageLeases(shard, o.Clock.Now()), nil
}

// Drain makes the entry claim no more shards and hand over those it owns. It reports whether none is left.
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

// estimatedLogTime returns a lower bound of the current time of the log service.
func (o *Owner) estimatedLogTime(now time.Time) time.Time {
	if o.logTime.IsZero() {
		return time.Time{}
	}
	return o.logTime.Add(now.Sub(o.logTimeReceivedAt))
}

// updateOwnership queues the presence records, claims and handovers that are due, and returns the calls that ask
// predecessors for confirmation.
func (o *Owner) updateOwnership(now time.Time) []remoteCall {
	if o.appendInFlight {
		return o.askPredecessors(now)
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
	// Granting ends before the handover is appended. Without log contact the handover would be delayed, and the tasks
	// would be without leases in the meantime.
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
			s.handOverAt = now.Add(handOverRetryInterval)
			o.queueRecord(claimer.KindHandOver, claimer.HandOver{
				Shard: shardNumber, Entry: o.Entry, Epoch: s.epoch, RemainingLease: o.lessor.LongestRemainingLease(shardNumber, now),
			}, nil)
		}
	}
	return o.askPredecessors(now)
}

func (o *Owner) queuePresence(now time.Time) {
	o.presenceSequence++
	o.lastPresenceSentAt = now
	o.presenceSentAt[o.presenceSequence] = now
	delete(o.presenceSentAt, o.presenceSequence-maxUnreadPresences)
	o.queueRecord(claimer.KindPresence, claimer.Presence{Entry: o.Entry, Sequence: o.presenceSequence, Draining: o.draining}, nil)
}

func (o *Owner) askPredecessors(now time.Time) []remoteCall {
	var calls []remoteCall
	for shardNumber := range o.claimer.ShardCount() {
		s, ok := o.shards[shardNumber]
		if !ok || o.Peers == nil || now.Sub(s.predecessorsAskedAt) < confirmationRequestInterval {
			continue
		}
		s.predecessorsAskedAt = now
		for _, p := range o.lessor.UnconfirmedPredecessors(shardNumber, now) {
			calls = append(calls, func(ctx context.Context) { o.askPredecessor(ctx, shardNumber, s.epoch, p) })
		}
	}
	return calls
}

func (o *Owner) askPredecessor(ctx context.Context, shardNumber int, epoch uint64, p lessor.Predecessor) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	outageLeases, err := o.Peers.ConfirmStopped(callCtx, p.Entry, shardNumber, p.Epoch)
	if err != nil {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if s, ok := o.shards[shardNumber]; ok && s.epoch == epoch {
		o.lessor.RecordConfirmation(shardNumber, p.Epoch, outageLeases, o.Clock.Now())
	}
}

// recordPredecessors records when the last record of each predecessor was received. The time of this entry's clock is
// never too early, and unlike log time it does not change when the clock of the log service is set.
func (o *Owner) recordPredecessors(shardNumber int, now time.Time) {
	for _, p := range o.claimer.Ownership(shardNumber).Predecessors {
		id := ownershipID{shardNumber, p.Epoch}
		if _, ok := o.predecessorLastSeenAt[id]; ok {
			continue
		}
		lastSeen, ok := o.presenceReceivedAt[p.Entry]
		if !ok || p.HandedOver {
			lastSeen = now
		}
		o.predecessorLastSeenAt[id] = lastSeen
	}
	for id, lastSeen := range o.predecessorLastSeenAt {
		if now.Sub(lastSeen) > lastSeenRetention {
			delete(o.predecessorLastSeenAt, id)
		}
	}
	for entry, lastSeen := range o.presenceReceivedAt {
		if now.Sub(lastSeen) > lastSeenRetention {
			delete(o.presenceReceivedAt, entry)
		}
	}
}

// takeShard builds the state of a shard after the claim of this entry took effect.
func (o *Owner) addShard(shardNumber int, now time.Time) {
	ownership := o.claimer.Ownership(shardNumber)
	var predecessors []lessor.Predecessor
	for _, p := range ownership.Predecessors {
		lastSeen, ok := o.predecessorLastSeenAt[ownershipID{shardNumber, p.Epoch}]
		if !ok {
			lastSeen = now
		}
		predecessors = append(predecessors, lessor.Predecessor{
			Entry: p.Entry, Epoch: p.Epoch, LastRecordAt: lastSeen, HandedOver: p.HandedOver, RemainingLease: p.RemainingLease,
		})
	}
	o.lessor.StartGranting(shardNumber, ownership.Epoch, predecessors, now)
	o.removeShard(shardNumber)
	s := &shard{epoch: ownership.Epoch, ownedSince: now, attempts: map[string]*attempt{}, pendingAssignments: map[string]*pendingAssignment{}}
	o.shards[shardNumber] = s
	for t := range o.scheduler.RunningTasks(shardNumber) {
		o.policies.foreignTasks.Cancel(taskKey(t.Job, t.Task))
		o.addAttempt(s, t, now)
	}
	for t := range o.scheduler.WaitingTasks(shardNumber) {
		o.policies.foreignTasks.Cancel(taskKey(t.Job, t.Task))
		o.policies.sequencer.Add(sequencerItem(t))
	}
}

// dropShard removes the state of a shard that this entry no longer owns.
func (o *Owner) removeShard(shardNumber int) {
	s, ok := o.shards[shardNumber]
	if !ok {
		return
	}
	// Tasks return to the sequencer only while their shard is owned, so the shard is removed first.
	delete(o.shards, shardNumber)
	for _, a := range s.attempts {
		o.removeAttempt(s, a)
	}
	for key := range s.pendingAssignments {
		o.dropAssignment(s, key)
	}
	for t := range o.scheduler.WaitingTasks(shardNumber) {
		o.policies.sequencer.Cancel(taskKey(t.Job, t.Task))
		o.enqueueForeign(t)
	}
}
