// Package limiter limits the number of requests that run at the same time. A running request holds a slot. Each kind
// of requests has a guaranteed share of the slots and a queue. Slots that a kind leaves idle are lent to other kinds,
// and return to it as the requests of these finish. The waiting time and the length of the queues are limited.
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
	// ReasonQueueDelay means that the request waited too long in the queue, or would probably have to.
	ReasonQueueDelay = "delay"
	// ReasonQueueLength means that the queue had its maximum length.
	ReasonQueueLength = "queue-length"
	// ReasonCancelled means that the request was cancelled while it was queued.
	ReasonCancelled = "cancelled"
	// ReasonNoCapacity means that the limiter has no slots at all.
	ReasonNoCapacity = "no-capacity"
)

const (
	defaultTargetDelay    = 10 * time.Millisecond
	defaultMaxDelay       = 100 * time.Millisecond
	defaultMaxQueueLength = 1024
	defaultReserveRatio   = 0.05
	// activeWindow is how long after its last request a kind counts as recently active (see Options.ReserveRatio).
	activeWindow = time.Second
	// ewmaDivisor is the inverse of the weight of a new sample in the moving average of the time between two admissions
	// from a queue: each sample moves the average by an eighth of the difference.
	ewmaDivisor = 8
)

type (
	// Clock returns the current time and channels that act as timers.
	Clock interface {
		Now() time.Time
		After(d time.Duration) <-chan time.Time
	}

	// Options configure a Limiter. With the zero value all requests belong to one kind, and none is admitted until
	// SetCapacity is called.
	Options struct {
		// Clock defaults to the system clock.
		Clock Clock
		// Capacity is the number of slots, that is the maximum number of requests that run at the same time.
		Capacity int
		// Weights maps a kind to its weight. The guaranteed share of a kind is its weight divided by the sum of all
		// weights, including OtherWeight.
		Weights map[string]float64
		// OtherWeight is the weight of all kinds together that are not in Weights. With 0 these kinds only get slots
		// that others leave idle. If Weights is empty, OtherWeight defaults to 1.
		OtherWeight float64
		// MaxDelay is the maximum time that a request waits in a queue; default 100 ms.
		MaxDelay time.Duration
		// TargetDelay replaces MaxDelay as the maximum while a queue has not been empty for MaxDelay; default 10 ms.
		// The maximum is then at least twice the mean time between two admissions, but never above MaxDelay. A
		// queue that is never empty only adds delay, without adding throughput.
		TargetDelay time.Duration
		// MaxQueueLength is the maximum number of requests in the queue of each kind; default 1,024. With a negative
		// value no request is queued.
		MaxQueueLength int
		// ReserveRatio is the fraction of its guaranteed share that a kind doesn't lend for one second after its last
		// request, so that its next request need not wait until a request of another kind ends; default 0.05. With a
		// negative value a kind lends its whole share.
		ReserveRatio float64
	}

	// Limiter admits, queues and rejects requests. It is safe for concurrent use.
	Limiter struct {
		options  Options
		mutex    sync.Mutex
		capacity int
		// inFlight is the number of running requests of all kinds.
		running     int
		totalWeight float64
		// kinds maps the kinds in the weights to their states. otherKind is the common state of all other kinds.
		kinds     map[string]*kind
		otherKind *kind
		// allKinds holds otherKind, then the kinds in kinds sorted by name, then kinds that are no longer in the
		// weights but still have queued requests.
		allKinds []*kind
	}

	// Rejection says why a request was not admitted. A rejected request has not run.
	Rejection struct {
		// Reason is one of the Reason constants.
		Reason string
		// RetryAfter is the delay after which the caller should retry.
		RetryAfter time.Duration
	}

	// kind is the state of one kind of requests, or of all kinds together that are not in the weights.
	kind struct {
		weight float64
		// inFlight is the number of running requests.
		running int
		// queue holds the tickets of the queued requests, oldest first.
		queue list.List
		// lastEmptyAt is the last time at which the queue was known to be empty.
		lastEmptyAt   time.Time
		lastRequestAt time.Time
		// lastAdmissionAt is the time of the last admission from the queue, and meanAdmissionInterval the moving
		// average of the time between two admissions from it.
		lastAdmissionAt       time.Time
		meanAdmissionInterval time.Duration
	}
)

// New returns a Limiter without requests.
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

// Acquire requests a slot and waits until the request is admitted or rejected. It returns either a ticket or a
// rejection, and nil for the other. The caller must call Ticket.Release when the admitted request ends. If ctx ends
// while the request is queued, the request is rejected.
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

// Submit requests a slot without waiting. The returned ticket says whether the request is admitted, rejected or
// queued. A queued request that has waited too long is rejected only when another call next processes the queue.
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
		// The request would probably be rejected after the wait, so it is rejected now to save the caller's time. A
		// request is always queued if the queue is empty, because only admissions from the queue update the estimate.
		t.reject(ReasonQueueDelay, max(expectedWait, l.options.MaxDelay))
	default:
		t.decided = make(chan struct{})
		t.queueElement = k.queue.PushBack(t)
	}
	return t
}

// SetCapacity changes the number of slots. If it is reduced, running requests keep their slots until they finish.
func (l *Limiter) SetCapacity(capacity int) {
	now := l.options.Clock.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.capacity = max(capacity, 0)
	l.processQueues(now)
}

// SetWeights changes Options.Weights and Options.OtherWeight. Admitted and queued requests keep their slots and their
// positions. That also holds for the requests of a kind that is no longer in weights; they don't count as requests of
// the kinds that share otherWeight.
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

// Counts returns the numbers of running and of queued requests of a kind.
func (l *Limiter) Counts(kindName string) (running, queued int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	k := l.kinds[kindName]
	if k == nil {
		k = l.otherKind
	}
	return k.running, k.queue.Len()
}

// applyWeights replaces the weights and the list of kinds. The caller must hold the mutex, except in New.
func (l *Limiter) applyWeights(weights map[string]float64, otherWeight float64) {
	if len(weights) == 0 && otherWeight == 0 {
		otherWeight = 1
	}
	oldKinds, oldAllKinds := l.kinds, l.allKinds
	l.kinds, l.totalWeight = make(map[string]*kind, len(weights)), otherWeight
	l.otherKind.weight = otherWeight
	l.allKinds = []*kind{l.otherKind}
	// The kinds are sorted by name, so that the choice between kinds with the same load per weight is repeatable.
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
		// Queued requests of a kind that is no longer in weights are still admitted, to slots that other kinds leave
		// idle.
		if k.queue.Len() > 0 && !slices.Contains(l.allKinds, k) {
			k.weight = 0
			l.allKinds = append(l.allKinds, k)
		}
	}
}

// guaranteedSlots returns the guaranteed share of the kind as a number of slots, which need not be whole.
func (l *Limiter) guaranteedSlots(k *kind) float64 {
	if l.totalWeight <= 0 {
		return 0
	}
	return float64(l.capacity) * k.weight / l.totalWeight
}

// canAdmit reports whether a request of the kind may take a slot now: a slot is free, and the kind is below its
// guaranteed share or the slot isn't reserved for other kinds.
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

// processQueues rejects the queued requests that have waited too long, and admits others while slots are free. The kind that
// uses the smallest part of its share comes first. The caller must hold the mutex.
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

// admit gives the request of the ticket a slot.
func (l *Limiter) admit(t *Ticket) {
	l.running++
	t.kind.running++
	t.admitted = true
}

// maxWait returns the maximum waiting time of a request that is queued now, as described at Options.TargetDelay. It is
// at least twice the mean time between two admissions, so that a request is waiting when the next slot becomes free.
func (l *Limiter) maxWait(k *kind, now time.Time) time.Duration {
	if now.Sub(k.lastEmptyAt) < l.options.MaxDelay {
		return l.options.MaxDelay
	}
	return min(max(l.options.TargetDelay, 2*k.meanAdmissionInterval), l.options.MaxDelay)
}

// loadPerWeight returns the number of slots in use, including one for the next request, divided by the weight.
func (k *kind) loadPerWeight() float64 {
	return float64(k.running+1) / k.weight
}

// rejectExpired rejects the requests at the head of the queue that have waited too long.
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

// dequeue removes a ticket that is to be admitted, and updates the mean time between admissions.
func (k *kind) dequeue(t *Ticket, now time.Time) {
	// The time since the last admission is not a sample if the queue was empty in between.
	if !k.lastAdmissionAt.IsZero() && k.lastAdmissionAt.After(k.lastEmptyAt) {
		k.meanAdmissionInterval += (now.Sub(k.lastAdmissionAt) - k.meanAdmissionInterval) / ewmaDivisor
	}
	k.lastAdmissionAt = now
	k.remove(t, now)
}

// remove removes a ticket from the queue.
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
