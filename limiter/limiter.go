// Package limiter limits the number of requests that run at the same time. Each running request holds a slot. Requests
// are divided into kinds; each kind has a guaranteed share of the slots and a queue. Other kinds may use
// the slots that a kind leaves idle, until their requests end. The time in a queue and the length of the queue are limited.
package limiter

import (
	"container/list"
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// Values of Rejection.Reason.
const (
	// ReasonQueueDelay means that the request waited too long in the queue, or was rejected at once because it would
	// probably wait too long.
	ReasonQueueDelay = "delay"
	// ReasonQueueLength means that the queue was full.
	ReasonQueueLength = "queue-length"
	// ReasonCancelled means that the request was cancelled while it was in the queue.
	ReasonCancelled = "cancelled"
	// ReasonNoCapacity means that the capacity of the limiter is 0.
	ReasonNoCapacity = "no-capacity"
)

const (
	defaultTargetDelay    = 10 * time.Millisecond
	defaultMaxDelay       = 100 * time.Millisecond
	defaultMaxQueueLength = 1024
	defaultReserveRatio   = 0.05
	// activeWindow is how long after its last request a kind still keeps its reserve (see Options.ReserveRatio).
	activeWindow = time.Second
	// ewmaDivisor is the divisor in the exponentially weighted moving average (EWMA) of the time between two admissions
	// from a queue: each sample moves the average by an eighth of the difference between them.
	ewmaDivisor = 8
)

type (
	// Clock returns the current time and channels that act as timers.
	Clock interface {
		Now() time.Time
		After(d time.Duration) <-chan time.Time
	}

	// Options configure a Limiter. With the zero value, all requests belong to one kind, and no request is admitted
	// before SetCapacity has been called.
	Options struct {
		// Clock defaults to the system clock.
		Clock Clock
		// Capacity is the number of slots, which is the maximum number of requests that run at the same time.
		Capacity int
		// Weights maps the names of kinds to their weights. The guaranteed share of a kind is its weight divided by the
		// sum of all weights, including OtherWeight.
		Weights map[string]float64
		// OtherWeight is the common weight of all kinds that are not in Weights. If it is 0, these kinds only get slots
		// that others leave idle. If Weights is empty, OtherWeight defaults to 1.
		OtherWeight float64
		// MaxDelay is the maximum time that a request waits in a queue; default 100 ms.
		MaxDelay time.Duration
		// TargetDelay is the maximum waiting time, instead of MaxDelay, once a queue has been non-empty for at least
		// MaxDelay without interruption; default 10 ms. If twice the mean time between two admissions from the queue is
		// longer, that time applies instead, but never more than MaxDelay. A queue that never becomes empty only delays
		// requests; it does not increase the throughput.
		TargetDelay time.Duration
		// MaxQueueLength is the maximum number of requests in the queue of each kind; default 1,024. If it is negative,
		// no request is queued.
		MaxQueueLength int
		// ReserveRatio is the fraction of a kind's guaranteed share that other kinds may not use for one second after the
		// kind's last request; default 0.05. The kind's next request then need not wait until a request of another kind
		// ends. If ReserveRatio is negative, other kinds may use the whole share.
		ReserveRatio float64
	}

	// Limiter admits, queues and rejects requests. It is safe for concurrent use.
	Limiter struct {
		options  Options
		mutex    sync.Mutex
		capacity int
		// running is the number of running requests of all kinds together.
		running     int
		totalWeight float64
		// kinds maps the names of the kinds in the weights to the states of these kinds. otherKind is the common state
		// of all other kinds.
		kinds     map[string]*kind
		otherKind *kind
		// allKinds holds otherKind, then the kinds in the weights sorted by name, then kinds that are no longer in the
		// weights but still have queued requests.
		allKinds []*kind
	}

	// Rejection says why a request was rejected. A rejected request has not run.
	Rejection struct {
		// Reason is one of the constants ReasonQueueDelay to ReasonNoCapacity.
		Reason string
		// RetryAfter is the delay after which the caller should retry.
		RetryAfter time.Duration
	}

	// kind is the state of one kind of requests, or the common state of all kinds that are not in the weights.
	kind struct {
		weight float64
		// running is the number of running requests of this kind.
		running int
		// queue holds the ticket of each queued request, the oldest first.
		queue list.List
		// lastEmptyAt is the latest time at which the queue is known to have been empty. lastRequestAt is the time of
		// the last request of this kind.
		lastEmptyAt   time.Time
		lastRequestAt time.Time
		// lastAdmissionAt is the time of the last admission from the queue. meanAdmissionInterval is the moving average
		// of the time between two admissions from the queue.
		lastAdmissionAt       time.Time
		meanAdmissionInterval time.Duration
	}
)

// New returns a Limiter that has no requests yet.
func New(o Options) *Limiter {
	if o.Clock == nil {
		o.Clock = systemClock{}
	}
	if o.MaxDelay == 0 {
		o.MaxDelay = defaultMaxDelay
	}
	if o.TargetDelay == 0 {
		o.TargetDelay = defaultTargetDelay
	}
	if o.MaxQueueLength == 0 {
		o.MaxQueueLength = defaultMaxQueueLength
	}
	if o.ReserveRatio == 0 {
		o.ReserveRatio = defaultReserveRatio
	}
	l := &Limiter{options: o, capacity: o.Capacity, otherKind: &kind{}}
	l.applyWeights(o.Weights, o.OtherWeight)
	return l
}

// Acquire requests a slot and waits until the request is admitted or rejected. It returns a ticket if the request is
// admitted, and a rejection if not; the other result is nil. The caller must call Ticket.Release when the admitted
// request ends. If ctx ends while the request is queued, the request is rejected.
func (l *Limiter) Acquire(ctx context.Context, kindName string) (*Ticket, *Rejection) {
	t := l.Submit(kindName)
	if t.decided != nil {
		select {
		case <-t.decided:
		case <-ctx.Done():
			t.cancel(ReasonCancelled)
		case <-l.options.Clock.After(t.maxWait):
			t.cancel(ReasonQueueDelay)
		}
	}
	if r := t.Rejection(); r != nil {
		return nil, r
	}
	return t, nil
}

// Submit requests a slot without waiting. The returned ticket says whether the request is admitted, rejected or queued.
// A queued request that has waited too long is rejected only when a later call processes the queues, for example Submit
// or Ticket.Release.
func (l *Limiter) Submit(kindName string) *Ticket {
	now := l.options.Clock.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	k := l.kinds[kindName]
	if k == nil {
		k = l.otherKind
	}
	k.lastRequestAt = now
	t := &Ticket{limiter: l, kind: k, submittedAt: now}
	if k.queue.Len() == 0 {
		k.lastEmptyAt = now
		if l.canAdmit(k, now) {
			l.admit(t)
			return t
		}
	} else {
		l.processQueues(now)
	}
	t.maxWait = l.maxWait(k, now)
	expectedWait := time.Duration(k.queue.Len()+1) * k.meanAdmissionInterval
	switch {
	case l.capacity <= 0:
		t.reject(ReasonNoCapacity, l.options.MaxDelay)
	case k.queue.Len() >= l.options.MaxQueueLength:
		t.reject(ReasonQueueLength, max(expectedWait, l.options.MaxDelay))
	case k.queue.Len() > 0 && expectedWait > t.maxWait:
		// The request would probably be rejected after waiting, so it is rejected at once, which saves the caller's
		// time. If the queue is empty, the request is queued in any case: only admissions from the queue update the
		// estimate, so an estimate that is too high could otherwise never be corrected.
		t.reject(ReasonQueueDelay, max(expectedWait, l.options.MaxDelay))
	default:
		t.decided = make(chan struct{})
		t.queueElement = k.queue.PushBack(t)
	}
	return t
}

// SetCapacity changes the number of slots. If the new number is lower, running requests keep their slots until they
// end.
func (l *Limiter) SetCapacity(capacity int) {
	now := l.options.Clock.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.capacity = max(capacity, 0)
	l.processQueues(now)
}

// SetWeights changes Options.Weights and Options.OtherWeight. Running requests keep their slots, and queued requests
// their places in the queues. A kind that is no longer in weights keeps its queue and its number of running requests
// until the requests that it has already have ended; its new requests belong to the kinds that share otherWeight.
func (l *Limiter) SetWeights(weights map[string]float64, otherWeight float64) {
	now := l.options.Clock.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.applyWeights(weights, otherWeight)
	l.processQueues(now)
}

// SetMaxQueueLength changes Options.MaxQueueLength. Requests that are already queued stay in the queue.
func (l *Limiter) SetMaxQueueLength(length int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.options.MaxQueueLength = length
}

// Counts returns the numbers of running and of queued requests of a kind. For a kind that is not in the weights, it
// returns the numbers of all such kinds together.
func (l *Limiter) Counts(kindName string) (running, queued int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	k := l.kinds[kindName]
	if k == nil {
		k = l.otherKind
	}
	return k.running, k.queue.Len()
}

// applyWeights replaces the weights and the kinds. The caller must hold the mutex, except in New.
func (l *Limiter) applyWeights(weights map[string]float64, otherWeight float64) {
	if len(weights) == 0 && otherWeight == 0 {
		otherWeight = 1
	}
	oldKinds, oldAllKinds := l.kinds, l.allKinds
	l.kinds, l.totalWeight = make(map[string]*kind, len(weights)), otherWeight
	l.otherKind.weight = otherWeight
	l.allKinds = []*kind{l.otherKind}
	// The kinds are sorted by name, so that processQueues always selects the same one of several kinds with equal
	// loadPerWeight.
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		k := oldKinds[name]
		if k == nil {
			k = &kind{}
		}
		k.weight = weights[name]
		l.kinds[name] = k
		l.allKinds = append(l.allKinds, k)
		l.totalWeight += k.weight
	}
	for _, k := range oldAllKinds {
		// The queued requests of a kind that is no longer in weights are still admitted, but only to slots that other
		// kinds leave idle.
		if k.queue.Len() > 0 && !slices.Contains(l.allKinds, k) {
			k.weight = 0
			l.allKinds = append(l.allKinds, k)
		}
	}
}

// guaranteedSlots returns the guaranteed share of the kind as a number of slots, which may have a fraction.
func (l *Limiter) guaranteedSlots(k *kind) float64 {
	if l.totalWeight <= 0 {
		return 0
	}
	return float64(l.capacity) * k.weight / l.totalWeight
}

// canAdmit reports whether a request of the kind may take a slot now. A slot must be free. If the kind already uses its
// guaranteed share, there must be more free slots than the other kinds keep as their reserves.
func (l *Limiter) canAdmit(k *kind, now time.Time) bool {
	freeSlots := l.capacity - l.running
	if freeSlots <= 0 {
		return false
	}
	if float64(k.running) < l.guaranteedSlots(k) {
		return true
	}
	for _, o := range l.allKinds {
		if o != k && l.options.ReserveRatio > 0 && now.Sub(o.lastRequestAt) < activeWindow {
			reserved := math.Min(math.Round(l.options.ReserveRatio*l.guaranteedSlots(o)), l.guaranteedSlots(o)-float64(o.running))
			freeSlots -= int(math.Max(reserved, 0))
		}
	}
	return freeSlots > 0
}

// processQueues rejects the queued requests that have waited too long, and admits others as long as canAdmit allows it.
// The next request is always one of the kind that uses the fewest slots relative to its weight. The caller must hold
// the mutex.
func (l *Limiter) processQueues(now time.Time) {
	for {
		var nextKind *kind
		for _, k := range l.allKinds {
			k.rejectExpired(now, l.options.MaxDelay)
			if k.queue.Len() == 0 || !l.canAdmit(k, now) {
				continue
			}
			if nextKind == nil || k.loadPerWeight() < nextKind.loadPerWeight() {
				nextKind = k
			}
		}
		if nextKind == nil {
			return
		}
		t := nextKind.queue.Front().Value.(*Ticket)
		nextKind.dequeue(t, now)
		l.admit(t)
		close(t.decided)
	}
}

// admit gives a slot to the request of the ticket.
func (l *Limiter) admit(t *Ticket) {
	l.running++
	t.kind.running++
	t.admitted = true
}

// maxWait returns the maximum waiting time of a request that is queued now; Options.TargetDelay says how long that is.
// Twice the mean time between two admissions is allowed in any case, up to MaxDelay, so that a request is waiting in
// the queue when the next slot becomes free.
func (l *Limiter) maxWait(k *kind, now time.Time) time.Duration {
	if now.Sub(k.lastEmptyAt) < l.options.MaxDelay {
		return l.options.MaxDelay
	}
	return min(max(l.options.TargetDelay, 2*k.meanAdmissionInterval), l.options.MaxDelay)
}

// loadPerWeight returns the number of slots that the kind would use with one more request, divided by its weight.
func (k *kind) loadPerWeight() float64 {
	return float64(k.running+1) / k.weight
}

// rejectExpired rejects the queued requests that have waited too long. It starts with the oldest and stops at the first
// that has not.
func (k *kind) rejectExpired(now time.Time, retryAfter time.Duration) {
	for e := k.queue.Front(); e != nil; e = k.queue.Front() {
		t := e.Value.(*Ticket)
		if now.Sub(t.submittedAt) <= t.maxWait {
			return
		}
		k.remove(t, now)
		t.reject(ReasonQueueDelay, retryAfter)
		close(t.decided)
	}
}

// dequeue removes the ticket of a request that is admitted next from the queue, and updates the mean time between two
// admissions.
func (k *kind) dequeue(t *Ticket, now time.Time) {
	// If the queue was empty since the last admission, the time since then is not a sample, because no request was
	// waiting.
	if !k.lastAdmissionAt.IsZero() && k.lastAdmissionAt.After(k.lastEmptyAt) {
		k.meanAdmissionInterval += (now.Sub(k.lastAdmissionAt) - k.meanAdmissionInterval) / ewmaDivisor
	}
	k.lastAdmissionAt = now
	k.remove(t, now)
}

// remove removes the ticket from the queue.
func (k *kind) remove(t *Ticket, now time.Time) {
	k.queue.Remove(t.queueElement)
	t.queueElement = nil
	if k.queue.Len() == 0 {
		k.lastEmptyAt = now
	}
}

type systemClock struct{}

func (systemClock) Now() time.Time                         { return time.Now() }
func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
