package attendant

import (
	"slices"
	"time"

	"bamboohook/internal/fleet/windower"
)

const (
	// leastOrders, mostOrders and initialOrders limit the window of orders at the endpoint. An endpoint accepts 64 connections. Half of them are left for
	// list requests, which renew the leases, and for repeated calls.
	leastOrders   = 2
	mostOrders    = 32
	initialOrders = 16
	// turnTimeout bounds the wait for a turn at the endpoint. A start that has none by then is refused, and may run elsewhere.
	turnTimeout = 250 * time.Millisecond
	// slowAnswer is the usual time of an answer from which on the endpoint counts as congested. It is many times that of an endpoint that keeps up.
	slowAnswer = 100 * time.Millisecond
	// callRepeatFactor is the multiple of the usual time of an answer after which a call is repeated. answerSamples is the number of answers over which that
	// time is averaged.
	callRepeatFactor = 4
	answerSamples    = 8
	// While starts are in progress, results cannot be acknowledged. After maxAcknowledgementDelay, starts are held for that, for at most startHold. If that has
	// not sufficed, they go on, and are held again after the same time.
	maxAcknowledgementDelay = 500 * time.Millisecond
	startHold               = 500 * time.Millisecond
)

// callQueue lets orders call the endpoint in turn, as many at a time as the window permits: stops and paces first, which free or spare resources of the
// endpoint, and otherwise in the order of their arrival. It is guarded by the mutex of the Attendant.
type callQueue struct {
	window     windower.Windower
	inProgress int
	// answerTime is the usual time of an answer.
	answerTime time.Duration
	// starts and others contain the orders that wait, those that have waited longest first.
	starts, others []chan struct{}
}

// newCallQueue returns an empty queue.
func newCallQueue() callQueue {
	return callQueue{window: windower.Windower{Least: leastOrders, Most: mostOrders, Initial: initialOrders}}
}

// enter adds an order to the queue. It returns a channel that is closed when the turn of the order has come. Then leave must be called at the end of the turn.
// admit must be called after both.
func (q *callQueue) enter(isStart bool) chan struct{} {
	turn := make(chan struct{})
	if isStart {
		q.starts = append(q.starts, turn)
	} else {
		q.others = append(q.others, turn)
	}
	return turn
}

// abandon ends the wait of an order. It returns false if its turn has come meanwhile.
func (q *callQueue) abandon(turn chan struct{}) bool {
	waited := len(q.starts) + len(q.others)
	isTurn := func(other chan struct{}) bool { return other == turn }
	q.starts, q.others = slices.DeleteFunc(q.starts, isTurn), slices.DeleteFunc(q.others, isTurn)
	return len(q.starts)+len(q.others) < waited
}

// leave ends the turn of an order whose first call was sent at startedAt. How many orders have their turn next depends on how fast the endpoint answers. Orders
// without an answer make no difference, since an endpoint may leave calls so for other reasons, and then fewer at a time would not help. It returns whether the
// window shrank.
func (q *callQueue) leave(answered bool, startedAt, now time.Time) (shrank bool) {
	q.inProgress--
	switch {
	case q.answerTime >= slowAnswer:
		shrank = q.window.Congested(startedAt, now)
	case answered:
		q.window.Answered(1)
	}
	return shrank
}

// observe updates the usual time of an answer.
func (q *callQueue) observe(took time.Duration) {
	q.answerTime += (took - q.answerTime) / answerSamples
}

// admit gives turns to waiting orders, as far as the window permits, and none to starts if these are held.
func (q *callQueue) admit(holdsStarts bool) {
	for q.inProgress < q.window.Window() {
		switch {
		case len(q.others) > 0:
			close(q.others[0])
			q.others = q.others[1:]
		case len(q.starts) > 0 && !holdsStarts:
			close(q.starts[0])
			q.starts = q.starts[1:]
		default:
			return
		}
		q.inProgress++
	}
}
