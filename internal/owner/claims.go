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
	claimRetry = 2 * time.Second
	// presenceRetry is the least time between presence records that were not read back.
	presenceRetry = time.Second
	// maxPresences bounds the presence records that were sent and not read back.
	maxPresences = 64
	// lastMemory is how long an absent entry is remembered; a predecessor that was forgotten counts as heard from now.
	lastMemory = 3 * time.Hour
)

// Consume takes records of the stream in order.
func (o *Owner) Consume(records ...DeliveredRecord) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.prepare()
	now := o.Clock.Now()
	for _, d := range records {
		o.offset, o.received = d.Offset, now
		if d.Time.After(o.logTime) {
			o.logTime = d.Time
		}
		if o.state.Apply(d.Record, d.Offset, d.Time) == scheduler.Applied {
			o.applied(d, now)
		}
		o.consumed(d.Record, now)
	}
}

// Snapshot returns the replayed state and the offset of the last record in it.
func (o *Owner) Snapshot() (state []byte, offset uint64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.prepare()
	return o.state.Snapshot(), o.offset
}

// Restore starts from a snapshot instead of the start of the stream. It must be called before Run and
// Consume. On error the state is unchanged.
func (o *Owner) Restore(state []byte, offset uint64) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.prepare()
	if err := o.state.Restore(state); err != nil {
		return err
	}
	for number := range o.claims.ShardCount() {
		for t := range o.state.WaitingTasks(number) {
			o.enterOther(t)
		}
	}
	o.offset, o.logTime, o.received = offset, o.claims.LogTime(), o.Clock.Now()
	return nil
}

// ConfirmStopped ends the granting of leases for a shard whose owner was this entry under the epoch,
// because a successor asks for it, and returns how much longer the hold leases of its VMs last.
func (o *Owner) ConfirmStopped(shard int, epoch uint64) (map[string]time.Duration, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.prepare()
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
	o.prepare()
	if !o.draining {
		o.draining = true
		o.present(o.Clock.Now())
	}
	return len(o.shards) == 0
}

// logNow returns a lower bound of the log service's time.
func (o *Owner) logNow(now time.Time) time.Time {
	if o.logTime.IsZero() {
		return time.Time{}
	}
	return o.logTime.Add(now.Sub(o.received))
}

// claim queues presence, claims and hand-overs, and returns questions to predecessors.
func (o *Owner) claim(now time.Time) []action {
	if o.appending {
		return o.ask(now)
	}
	logNow := o.logNow(now)
	if o.claims.PresenceDue(logNow) && now.Sub(o.lastSent) >= presenceRetry {
		o.present(now)
	}
	if !o.draining {
		for _, c := range o.claims.ClaimsDue(logNow) {
			o.record(claimer.KindClaim, c, nil)
		}
	}
	// Granting ends before the hand-over is appended; without log contact that would leave the tasks without leases.
	if o.lessor.HasLogContact(now) {
		for _, number := range o.claims.HandOversDue(logNow) {
			if s, ok := o.shards[number]; ok && s.handedOver.IsZero() {
				s.handedOver = now
				o.lessor.StopGranting(number)
			}
		}
	}
	for number := range o.claims.ShardCount() {
		s, ok := o.shards[number]
		if ok && !s.handedOver.IsZero() && !now.Before(s.handedOver) {
			s.handedOver = now.Add(claimRetry)
			o.record(claimer.KindHandOver, claimer.HandOver{
				Shard: number, Entry: o.Entry, Epoch: s.epoch, RemainingLease: o.lessor.LongestLease(number, now),
			}, nil)
		}
	}
	return o.ask(now)
}

func (o *Owner) present(now time.Time) {
	o.sequence++
	o.lastSent = now
	o.presences[o.sequence] = now
	delete(o.presences, o.sequence-maxPresences)
	o.record(claimer.KindPresence, claimer.Presence{Entry: o.Entry, Sequence: o.sequence, Draining: o.draining}, nil)
}

func (o *Owner) ask(now time.Time) []action {
	var actions []action
	for number := range o.claims.ShardCount() {
		s, ok := o.shards[number]
		if !ok || o.Peers == nil || now.Sub(s.asked) < confirmInterval {
			continue
		}
		s.asked = now
		for _, p := range o.lessor.UnconfirmedPredecessors(number, now) {
			actions = append(actions, func(ctx context.Context) { o.confirm(ctx, number, s.epoch, p) })
		}
	}
	return actions
}

func (o *Owner) confirm(ctx context.Context, number int, epoch uint64, p lessor.Predecessor) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	held, err := o.Peers.ConfirmStopped(call, p.Entry, number, p.Epoch)
	if err != nil {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if s, ok := o.shards[number]; ok && s.epoch == epoch {
		o.lessor.RecordConfirmation(number, p.Epoch, held, o.Clock.Now())
	}
}

// noteLast remembers when the last record of each predecessor was received. A time of the own clock is never too
// early, and unlike log time it does not change when the log service's clock is set.
func (o *Owner) noteLast(number int, now time.Time) {
	for _, p := range o.claims.Ownership(number).Predecessors {
		id := claimID{number, p.Epoch}
		if _, ok := o.lasts[id]; ok {
			continue
		}
		last, ok := o.heard[p.Entry]
		if !ok || p.HandedOver {
			last = now
		}
		o.lasts[id] = last
	}
	for id, last := range o.lasts {
		if now.Sub(last) > lastMemory {
			delete(o.lasts, id)
		}
	}
	for entry, last := range o.heard {
		if now.Sub(last) > lastMemory {
			delete(o.heard, entry)
		}
	}
}

// begin takes over a shard after the own claim took effect.
func (o *Owner) begin(number int, now time.Time) {
	ownership := o.claims.Ownership(number)
	var earlier []lessor.Predecessor
	for _, p := range ownership.Predecessors {
		last, ok := o.lasts[claimID{number, p.Epoch}]
		if !ok {
			last = now
		}
		earlier = append(earlier, lessor.Predecessor{
			Entry: p.Entry, Epoch: p.Epoch, LastRecordAt: last, HandedOver: p.HandedOver, RemainingLease: p.RemainingLease,
		})
	}
	o.lessor.StartGranting(number, ownership.Epoch, earlier, now)
	o.end(number)
	s := &shard{epoch: ownership.Epoch, begun: now, tracked: map[string]*tracked{}, assigning: map[string]*binding{}}
	o.shards[number] = s
	for t := range o.state.RunningTasks(number) {
		o.policies.others.Cancel(taskKey(t.Job, t.Task))
		o.track(s, t, now)
	}
	for t := range o.state.WaitingTasks(number) {
		o.policies.others.Cancel(taskKey(t.Job, t.Task))
		o.policies.sequencer.Add(itemOf(t))
	}
}

// end drops the soft state of a shard that is not owned any more.
func (o *Owner) end(number int) {
	s, ok := o.shards[number]
	if !ok {
		return
	}
	// Tasks return to the order of an owned shard only.
	delete(o.shards, number)
	for _, t := range s.tracked {
		o.untrack(s, t)
	}
	for key := range s.assigning {
		o.unplan(s, key)
	}
	for t := range o.state.WaitingTasks(number) {
		o.policies.sequencer.Cancel(taskKey(t.Job, t.Task))
		o.enterOther(t)
	}
}
