// Package limiter admits requests by kind of work. Each kind has a guaranteed share of the slots. What a kind leaves idle others
// borrow, and it returns as their requests finish. Queues are short, bounded by delay and by length.
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
	// ewmaDivisor is the divisor of the moving mean of the time between two admissions from a queue.
	ewmaDivisor = 8
)

type (
	// Clock tells the time and wakes waiters.
	Clock interface {
		Now() time.Time
		After(d time.Duration) <-chan time.Time
	}

	// Options configure a Limiter. The zero value admits nothing until SetCapacity and has one kind.
	Options struct {
		// Clock defaults to the system clock.
		Clock Clock
		// Capacity is the number of requests admitted at once.
		Capacity int
		// Weights maps a kind to its weight. The guaranteed share is the weight divided by the sum of all weights.
		Weights map[string]float64
		// OtherWeight is the common weight of the kinds that Shares does not name. With 0 they only borrow.
		OtherWeight float64
		// MaxDelay bounds the time in a queue; default 100 ms.
		MaxDelay time.Duration
		// TargetDelay bounds the time in a queue that has not been empty for MaxDelay; default 10 ms. A standing queue
		// adds delay without adding throughput.
		TargetDelay time.Duration
		// MaxQueueLength bounds the length of the queue of each kind; default 1,024. A negative value admits no waiters.
		MaxQueueLength int
		// ReserveRatio is the part of its guaranteed share that a recently active kind doesn't lend, so that its next
		// request need not wait for a borrower; default 0.05. A negative value lends everything.
		ReserveRatio float64
	}

	// Limiter admits requests. Concurrent use is safe.
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

	// Rejection tells why a request was not admitted. The request did not run.
	Rejection struct {
		Reason string
		// RetryAfter is when a repeat is useful.
		RetryAfter time.Duration
	}

	kind struct {
		weight   float64
		inFlight int
		queue    list.List
		// lastEmpty is when the queue was last empty.
		lastEmpty   time.Time
		lastRequest time.Time
		// lastAdmission is the time of the last admission from the queue, and interval the mean time between two of them.
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

// Acquire waits until the request is admitted or rejected. Exactly one of the results is not nil. The caller must
// call Ticket.Release on an admitted request. When ctx ends the request is rejected.
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

// Submit presents a request without waiting. The ticket is admitted, rejected or queued. A queued ticket that is past its
// delay bound is rejected when the queue next moves.
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
		// Rejects before queueing: waiting would use up the caller's time without a result. One waiter is always
		// let in, because admissions from the queue are what the estimate is learned from.
		t.reject(ReasonQueueDelay, max(expected, l.options.MaxDelay))
	default:
		t.decided = make(chan struct{})
		t.element = k.queue.PushBack(t)
	}
	return t
}

// SetCapacity changes the number of requests admitted at once. A reduction takes effect as requests finish.
func (l *Limiter) SetCapacity(capacity int) {
	now := l.options.Clock.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.capacity = max(capacity, 0)
	l.dispatch(now)
}

// SetWeights changes the weights, with the meaning of Options.Shares and Options.OtherShare. Admitted and waiting requests stay; those
// of a kind that is no longer named keep their slots or places and are not counted with the other kinds.
func (l *Limiter) SetWeights(shares map[string]float64, other float64) {
	now := l.options.Clock.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.applyWeights(shares, other)
	l.dispatch(now)
}

// SetMaxQueueLength changes the bound on the length of each queue. A negative value admits no waiters. Requests that already wait stay.
func (l *Limiter) SetMaxQueueLength(length int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.options.MaxQueueLength = length
}

// InFlight returns the number of admitted requests of a kind, and how many are queued.
func (l *Limiter) InFlight(name string) (admitted, queued int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	k := l.kinds[name]
	if k == nil {
		k = l.other
	}
	return k.inFlight, k.queue.Len()
}

func (l *Limiter) applyWeights(shares map[string]float64, other float64) {
	if len(shares) == 0 && other == 0 {
		other = 1
	}
	known, all := l.kinds, l.ordered
	l.kinds, l.totalWeight = make(map[string]*kind, len(shares)), other
	l.other.weight = other
	l.ordered = []*kind{l.other}
	// A fixed order makes ties repeatable.
	for _, name := range slices.Sorted(maps.Keys(shares)) {
		k := known[name]
		if k == nil {
			k = &kind{}
		}
		k.weight = shares[name]
		l.kinds[name] = k
		l.ordered = append(l.ordered, k)
		l.totalWeight += k.weight
	}
	for _, k := range all {
		// Waiters of a kind without a name are still admitted, from what others leave idle.
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
			kept := math.Min(math.Round(l.options.ReserveRatio*l.guaranteedSlots(o)), l.guaranteedSlots(o)-float64(o.inFlight))
			free -= int(math.Max(kept, 0))
		}
	}
	return free > 0
}

// dispatch admits waiters while slots are free, the kind that uses the least of its share first.
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

// maxWait returns how long a new waiter may wait. Two admissions of a slow queue always fit, or slots would idle between them.
func (l *Limiter) maxWait(k *kind, now time.Time) time.Duration {
	if now.Sub(k.lastEmpty) < l.options.MaxDelay {
		return l.options.MaxDelay
	}
	return min(max(l.options.TargetDelay, 2*k.meanInterval), l.options.MaxDelay)
}

// utilization is the part of its share that the kind would utilization with one more request.
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
	// A gap during which the queue was empty is no sample.
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
