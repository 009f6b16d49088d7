package owner

import (
	"context"
	"time"

	"bamboohook/claimer"
	"bamboohook/lessor"
	"bamboohook/scheduler"
)

const (
	// confirmationRequestInterval is the time between two requests to a predecessor, an earlier owner of a shard, to
	// confirm that it stopped granting leases. Predecessors that have handed over the shard are not asked.
	confirmationRequestInterval = time.Second
	// handOverRetryInterval is the time after which a handover record is appended again if it was not read back from
	// the stream.
	handOverRetryInterval = 2 * time.Second
	// minPresenceInterval is the shortest time between two presence records of this entry, even while none of them has
	// been read back from the stream.
	minPresenceInterval = time.Second
	// maxUnreadPresences is the maximum number of presence records for which the time of sending is kept until they are
	// read back from the stream.
	maxUnreadPresences = 64
	// receiptTimeRetention is how long the time at which the last record of an entry was received is kept. If that time
	// is no longer kept for a predecessor, its last record is assumed to have been received when this entry claimed the
	// shard.
	receiptTimeRetention = 3 * time.Hour
)

// Consume applies records that were read from the region's stream. The caller must pass them in the order of the
// stream.
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
		o.handlePresenceOrAssignment(d.Record, now)
	}
}

// Snapshot returns the state that was replayed from the stream, and the offset of the last record that is contained in
// it.
func (o *Owner) Snapshot() (state []byte, offset uint64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.ensureInitialized()
	return o.scheduler.Snapshot(), o.offset
}

// Restore loads a snapshot, so that the stream need not be replayed from its start. It must be called before Run and
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
			o.enqueueForeign(t)
		}
	}
	o.offset, o.logTime, o.logTimeReceivedAt = offset, o.claimer.LogTime(), o.Clock.Now()
	return nil
}

// StopGranting stops granting leases for a shard that this entry owned under the given epoch. It returns for how long
// the outage leases of the shard may still run, by VM. A new owner of the shard calls it through Peers.
func (o *Owner) StopGranting(shardNumber int, epoch uint64) (map[string]time.Duration, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.ensureInitialized()
	if lastEpoch, _ := o.lessor.LastEpoch(shardNumber); lastEpoch != epoch || epoch == 0 {
		return nil, ErrUnknownEpoch
	}
	o.lessor.StopGranting(shardNumber)
	return o.lessor.RemainingOutageLeases(shardNumber, o.Clock.Now()), nil
}

// Drain makes the entry hand over its shards and claim no more. It returns true once the entry owns no shard. The
// caller repeats the call until then.
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

// estimatedLogTime estimates the current time of the log service as the time at which the service stored the last
// record, plus the time since that record was received. Unless the clock of the log service is set back, the estimate
// is never too late.
func (o *Owner) estimatedLogTime(now time.Time) time.Time {
	if o.logTime.IsZero() {
		return time.Time{}
	}
	return o.logTime.Add(now.Sub(o.logTimeReceivedAt))
}

// updateOwnership queues the presence records, claims and handovers that are due. It returns the calls that ask
// predecessors to confirm that they stopped granting leases.
func (o *Owner) updateOwnership(now time.Time) []remoteCall {
	if o.appendInFlight {
		return o.confirmationCalls(now)
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
	// This entry stops granting leases for a shard before it appends the handover. Without log contact the handover
	// could not be appended, and the tasks of the shard would be without leases in the meantime.
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
	return o.confirmationCalls(now)
}

// queuePresence queues a presence record and keeps the current time as the time at which it was sent.
func (o *Owner) queuePresence(now time.Time) {
	o.presenceSequence++
	o.lastPresenceSentAt = now
	o.presenceSentAt[o.presenceSequence] = now
	delete(o.presenceSentAt, o.presenceSequence-maxUnreadPresences)
	o.queueRecord(claimer.KindPresence, claimer.Presence{Entry: o.Entry, Sequence: o.presenceSequence, Draining: o.draining}, nil)
}

// confirmationCalls returns the calls that ask the predecessors of the owned shards to confirm that they stopped
// granting leases. Predecessors that have handed over the shard or have already confirmed are not asked.
func (o *Owner) confirmationCalls(now time.Time) []remoteCall {
	var calls []remoteCall
	for shardNumber := range o.claimer.ShardCount() {
		s, ok := o.shards[shardNumber]
		if !ok || o.Peers == nil || now.Sub(s.predecessorsAskedAt) < confirmationRequestInterval {
			continue
		}
		s.predecessorsAskedAt = now
		for _, p := range o.lessor.UnconfirmedPredecessors(shardNumber, now) {
			calls = append(calls, func(ctx context.Context) { o.requestConfirmation(ctx, shardNumber, s.epoch, p) })
		}
	}
	return calls
}

// requestConfirmation asks one predecessor to confirm that it stopped granting leases, and passes the confirmation to
// the lessor. The confirmation is ignored if this entry no longer owns the shard under the given epoch.
func (o *Owner) requestConfirmation(ctx context.Context, shardNumber int, epoch uint64, p lessor.Predecessor) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	remainingOutageLeases, err := o.Peers.StopGranting(callCtx, p.Entry, shardNumber, p.Epoch)
	if err != nil {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if s, ok := o.shards[shardNumber]; ok && s.epoch == epoch {
		o.lessor.RecordConfirmation(shardNumber, p.Epoch, remainingOutageLeases, o.Clock.Now())
	}
}

// recordPredecessorTimes keeps the time at which the last record of each predecessor was received, by the clock of
// this entry. This entry receives a record after the predecessor has sent it, so the time is never too early. Unlike
// log time, it is not affected when the clock of the log service is set.
func (o *Owner) recordPredecessorTimes(shardNumber int, now time.Time) {
	for _, p := range o.claimer.Ownership(shardNumber).Predecessors {
		id := ownershipID{shardNumber, p.Epoch}
		if _, ok := o.predecessorLastRecordReceivedAt[id]; ok {
			continue
		}
		receivedAt, ok := o.lastPresenceReceivedAt[p.Entry]
		if !ok || p.HandedOver {
			receivedAt = now
		}
		o.predecessorLastRecordReceivedAt[id] = receivedAt
	}
	for id, receivedAt := range o.predecessorLastRecordReceivedAt {
		if now.Sub(receivedAt) > receiptTimeRetention {
			delete(o.predecessorLastRecordReceivedAt, id)
		}
	}
	for entry, receivedAt := range o.lastPresenceReceivedAt {
		if now.Sub(receivedAt) > receiptTimeRetention {
			delete(o.lastPresenceReceivedAt, entry)
		}
	}
}

// addShard adds a shard after the claim of this entry took effect. What is known about the shard from an earlier
// ownership is replaced.
func (o *Owner) addShard(shardNumber int, now time.Time) {
	ownership := o.claimer.Ownership(shardNumber)
	var predecessors []lessor.Predecessor
	for _, p := range ownership.Predecessors {
		receivedAt, ok := o.predecessorLastRecordReceivedAt[ownershipID{shardNumber, p.Epoch}]
		if !ok {
			receivedAt = now
		}
		predecessors = append(predecessors, lessor.Predecessor{
			Entry: p.Entry, Epoch: p.Epoch, LastRecordReceivedAt: receivedAt, HandedOver: p.HandedOver, RemainingLease: p.RemainingLease,
		})
	}
	o.lessor.StartGranting(shardNumber, ownership.Epoch, predecessors, now)
	o.removeShard(shardNumber)
	s := &shard{epoch: ownership.Epoch, ownedSince: now, attempts: map[string]*attempt{}, pendingAssignments: map[string]*pendingAssignment{}, lateCompletions: map[string]time.Time{}}
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

// removeShard removes a shard that this entry no longer owns. Its waiting tasks are moved from the sequencer to
// foreignTasks, which holds the waiting tasks of the shards of other entries.
func (o *Owner) removeShard(shardNumber int) {
	s, ok := o.shards[shardNumber]
	if !ok {
		return
	}
	// The shard is removed first, because enqueue would add a task of an owned shard to the sequencer again.
	delete(o.shards, shardNumber)
	for _, a := range s.attempts {
		o.removeAttempt(s, a)
	}
	for attemptID := range s.pendingAssignments {
		o.abandonPendingAssignment(s, attemptID)
	}
	for t := range o.scheduler.WaitingTasks(shardNumber) {
		o.policies.sequencer.Cancel(taskKey(t.Job, t.Task))
		o.enqueueForeign(t)
	}
}
