package limiter

import (
	"container/list"
	"time"
)

// Ticket stands for one request in a Limiter, which is admitted, rejected or queued. It is safe for concurrent use.
type Ticket struct {
	limiter     *Limiter
	kind        *kind
	submittedAt time.Time
	// maxWait is the maximum time that the request waits in the queue.
	maxWait time.Duration
	// queueElement is the list element that holds the ticket in the queue of its kind. It is nil if the request is not
	// queued.
	queueElement *list.Element
	admitted     bool
	released     bool
	rejection    *Rejection
	// decided is closed when a queued request is admitted or rejected. It is nil if the request was admitted or
	// rejected at once.
	decided chan struct{}
}

// Admitted reports whether the request has been admitted. It stays true after Release.
func (t *Ticket) Admitted() bool {
	t.limiter.mutex.Lock()
	defer t.limiter.mutex.Unlock()
	return t.admitted
}

// Rejection says why the request was rejected. It returns nil if the request is admitted or queued.
func (t *Ticket) Rejection() *Rejection {
	t.limiter.mutex.Lock()
	defer t.limiter.mutex.Unlock()
	return t.rejection
}

// Release gives back the slot of an admitted request, or removes a queued request from its queue. Further calls have no
// effect.
func (t *Ticket) Release() {
	l := t.limiter
	now := l.options.Clock.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case t.admitted && !t.released:
		t.released = true
		l.running--
		t.kind.running--
		l.processQueues(now)
	case t.queueElement != nil:
		t.kind.remove(t, now)
		t.reject(ReasonCancelled, 0)
		close(t.decided)
	}
}

// cancel rejects the request if it is still queued. It does nothing if the request has been admitted or rejected
// before.
func (t *Ticket) cancel(reason string) {
	l := t.limiter
	now := l.options.Clock.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if t.queueElement == nil {
		return
	}
	t.kind.remove(t, now)
	t.reject(reason, l.options.MaxDelay)
	close(t.decided)
}

// reject marks the request as rejected. The caller must hold the mutex of the limiter.
func (t *Ticket) reject(reason string, retryAfter time.Duration) {
	t.rejection = &Rejection{Reason: reason, RetryAfter: retryAfter}
}
