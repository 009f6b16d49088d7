// Package limiter is a concurrency limiter with weighted sharing between kinds of work. Each kind has a
// guaranteed share of the slots. Slots that a kind leaves idle are lent to other kinds and return to it as their
// requests finish. The queues are limited in waiting time and in length.
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

// Reasons of a rejection.
const (
	ReasonQueueDelay  = "delay"
	ReasonQueueLength = "queue-length"
	ReasonCancelled   = "cancelled"
	ReasonNoCapacity  = "no-capacity"
)

const (
	defaultTargetDelay    = 10 * time.Millisecond
	defaultMaxDelay       = 100 * time.Millisecond
	defaultMaxQueueLength = 1024
	defaultReserveRatio   = 0.05
	// activeWindow is how long after its last request a kind keeps its reserve.
	activeWindow = time.Second
	// ewmaDivisor is the divisor of the moving average of the time between two admissions from a queue.
	ewmaDivisor = 8
)

type (
	// Clock returns the current time and wakes waiting requests.
	Clock interface {
		Now() time.Time
		After(d time.Duration) <-chan time.Time
	}

	// Options configure a Limiter. The zero value has one kind and admits nothing until SetCapacity is called.
	Options struct {
		// Clock defaults to the system clock.
		Clock Clock
		// Capacity is the number of slots, each of which holds one admitted request.
		Capacity int
		// Weights maps a kind to its weight. Its guaranteed share is the weight divided by the sum of all
		// weights.
		Weights map[string]float64
		// OtherWeight is the common weight of all kinds that Weights doesn't name. With 0 these kinds only
		// borrow idle slots.
		OtherWeight float64
		// MaxDelay is the maximum time in a queue; default 100 ms.
		MaxDelay time.Duration
		// TargetDelay is the maximum time in a queue that has not been empty for MaxDelay; default 10 ms. A
		// standing queue adds delay without adding throughput.
		TargetDelay time.Duration
		// MaxQueueLength is the maximum length of the queue of each kind; default 1,024. With a negative value
		// no request is queued.
		MaxQueueLength int
		// ReserveRatio is the part of its guaranteed share that a recently active kind doesn't lend, so that its
		// next request need not wait for a borrower; default 0.05. With a negative value a kind lends its whole
		// share.
		ReserveRatio float64
	}

	// Limiter admits requests. It is safe for concurrent use.
	Limiter struct {
		options     Options
		mutex       sync.Mutex
		capacity    int
		inFlight    int
		totalWeight float64
		kinds       map[string]*kind
		other       *kind
		ordered     []*kind
	}

	// Rejection is the reason why a request was not admitted. A rejected request has not run.
	Rejection struct {
		Reason string
		// RetryAfter is the delay after which a retry can succeed.
		RetryAfter time.Duration
	}

	kind struct {
		weight   float64
		inFlight int
		queue    list.List
		// lastEmpty is when the queue was last empty.
		lastEmpty   time.Time
		lastRequest time.Time
		// lastAdmission is the time of the last admission from the queue, and meanInterval the moving average of
		// the time between two admissions from it.
		lastAdmission time.Time
		meanInterval  time.Duration
	}
)

// New returns a limiter.
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
	l := &Limiter{options: o, capacity: o.Capacity, other: &kind{}}
	l.applyWeights(o.Weights, o.OtherWeight)
	return l
}

// Acquire waits until the request is admitted or rejected, and returns either a ticket or a rejection. The
// caller must call Ticket.Release when an admitted request ends. If ctx ends first the request is rejected.
func (l *Limiter) Acquire(ctx context.Context, kind string) (*Ticket, *Rejection) {
	t := l.Submit(kind)
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

// Submit requests a slot without waiting. The returned ticket is admitted, rejected or queued. A queued ticket
// whose waiting time is over is rejected when the queue is next processed.
func (l *Limiter) Submit(name string) *Ticket {
	now := l.options.Clock.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	k := l.kinds[name]
	if k == nil {
		k = l.other
	}
	k.lastRequest = now
	t := &Ticket{limiter: l, kind: k, submittedAt: now}
	if k.queue.Len() == 0 {
		k.lastEmpty = now
		if l.canAdmit(k, now) {
			l.admit(t)
			return t
		}
	} else {
		l.dispatch(now)
	}
	t.maxWait = l.maxWait(k, now)
	expected := time.Duration(k.queue.Len()+1) * k.meanInterval
	switch {
	case l.capacity <= 0:
		t.reject(ReasonNoCapacity, l.options.MaxDelay)
	case k.queue.Len() >= l.options.MaxQueueLength:
		t.reject(ReasonQueueLength, max(expected, l.options.MaxDelay))
	case k.queue.Len() > 0 && expected > t.maxWait:
		// The request would probably wait in vain, so it is rejected before it uses up the caller's time. The
		// first waiter is always queued, because only admissions from the queue update the estimate.
		t.reject(ReasonQueueDelay, max(expected, l.options.MaxDelay))
	default:
		t.decided = make(chan struct{})
		t.element = k.queue.PushBack(t)
	}
	return t
}

// SetCapacity changes the number of slots. A reduction takes effect as requests finish.
func (l *Limiter) SetCapacity(capacity int) {
	now := l.options.Clock.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.capacity = max(capacity, 0)
	l.dispatch(now)
}

// SetWeights changes Options.Weights and Options.OtherWeight. Admitted and queued requests stay. Requests of a
// kind that is no longer named keep their slots or queue positions and aren't counted with the other unnamed
// kinds.
func (l *Limiter) SetWeights(weights map[string]float64, other float64) {
	now := l.options.Clock.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.applyWeights(weights, other)
	l.dispatch(now)
}

// SetMaxQueueLength changes Options.MaxQueueLength. Requests that are already queued stay.
func (l *Limiter) SetMaxQueueLength(length int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.options.MaxQueueLength = length
}

// Counts returns the number of admitted and of queued requests of a kind.
func (l *Limiter) Counts(name string) (admitted, queued int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	k := l.kinds[name]
	if k == nil {
		k = l.other
	}
	return k.inFlight, k.queue.Len()
}

func (l *Limiter) applyWeights(weights map[string]float64, other float64) {
	if len(weights) == 0 && other == 0 {
		other = 1
	}
	oldKinds, oldOrdered := l.kinds, l.ordered
	l.kinds, l.totalWeight = make(map[string]*kind, len(weights)), other
	l.other.weight = other
	l.ordered = []*kind{l.other}
	// A fixed order makes the choice between equally used kinds repeatable.
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		k := oldKinds[name]
		if k == nil {
			k = &kind{}
		}
		k.weight = weights[name]
		l.kinds[name] = k
		l.ordered = append(l.ordered, k)
		l.totalWeight += k.weight
	}
	for _, k := range oldOrdered {
		// The queue of a kind that is no longer named is still served, from slots that other kinds leave idle.
		if k.queue.Len() > 0 && !slices.Contains(l.ordered, k) {
			k.weight = 0
			l.ordered = append(l.ordered, k)
		}
	}
}

func (l *Limiter) guaranteedSlots(k *kind) float64 {
	if l.totalWeight <= 0 {
		return 0
	}
	return float64(l.capacity) * k.weight / l.totalWeight
}

// canAdmit reports whether a request of the kind may take a free slot now.
func (l *Limiter) canAdmit(k *kind, now time.Time) bool {
	free := l.capacity - l.inFlight
	if free <= 0 {
		return false
	}
	if float64(k.inFlight) < l.guaranteedSlots(k) {
		return true
	}
	for _, o := range l.ordered {
		if o != k && l.options.ReserveRatio > 0 && now.Sub(o.lastRequest) < activeWindow {
			reserved := math.Min(math.Round(l.options.ReserveRatio*l.guaranteedSlots(o)), l.guaranteedSlots(o)-float64(o.inFlight))
			free -= int(math.Max(reserved, 0))
		}
	}
	return free > 0
}

// dispatch admits queued requests while slots are free. The kind that uses the least of its share comes first.
func (l *Limiter) dispatch(now time.Time) {
	for {
		var next *kind
		for _, k := range l.ordered {
			k.expire(now, l.options.MaxDelay)
			if k.queue.Len() == 0 || !l.canAdmit(k, now) {
				continue
			}
			if next == nil || k.utilization() < next.utilization() {
				next = k
			}
		}
		if next == nil {
			return
		}
		t := next.queue.Front().Value.(*Ticket)
		next.dequeue(t, now)
		l.admit(t)
		close(t.decided)
	}
}

func (l *Limiter) admit(t *Ticket) {
	l.inFlight++
	t.kind.inFlight++
	t.admitted = true
}

// maxWait returns the waiting time limit of a new queued request, which is at most MaxDelay. In a slow queue it
// covers two admissions, because slots would idle between admissions otherwise.
func (l *Limiter) maxWait(k *kind, now time.Time) time.Duration {
	if now.Sub(k.lastEmpty) < l.options.MaxDelay {
		return l.options.MaxDelay
	}
	return min(max(l.options.TargetDelay, 2*k.meanInterval), l.options.MaxDelay)
}

// utilization returns the used slots per weight, counting one more request.
func (k *kind) utilization() float64 {
	return float64(k.inFlight+1) / k.weight
}

func (k *kind) expire(now time.Time, retry time.Duration) {
	for e := k.queue.Front(); e != nil; e = k.queue.Front() {
		t := e.Value.(*Ticket)
		if now.Sub(t.submittedAt) <= t.maxWait {
			return
		}
		k.remove(t, now)
		t.reject(ReasonQueueDelay, retry)
		close(t.decided)
	}
}

func (k *kind) dequeue(t *Ticket, now time.Time) {
	// A gap during which the queue was empty is not a sample.
	if !k.lastAdmission.IsZero() && k.lastAdmission.After(k.lastEmpty) {
		k.meanInterval += (now.Sub(k.lastAdmission) - k.meanInterval) / ewmaDivisor
	}
	k.lastAdmission = now
	k.remove(t, now)
}

func (k *kind) remove(t *Ticket, now time.Time) {
	k.queue.Remove(t.element)
	t.element = nil
	if k.queue.Len() == 0 {
		k.lastEmpty = now
	}
}

type systemClock struct{}

func (systemClock) Now() time.Time                         { return time.Now() }
func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
