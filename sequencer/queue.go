package sequencer

import (
	"container/heap"
	"time"
)

type (
	// queue is a list of the waiting tasks of one team and kind, the oldest first. Queues in a heap are
	// ordered by key, the submission time of their first task. After a cancellation, key may be older
	// than that time until the queue reaches the top of the heap. A negative heapIndex means that the
	// queue is in no heap.
	queue struct {
		team        *team
		kind        string
		first, last *node
		key         time.Time
		heapIndex   int
	}

	node struct {
		item           Item
		queue          *queue
		previous, next *node
	}

	queueHeap []*queue
)

// insert adds the node by its time of submission. New tasks are appended in constant time. Only a task
// that returns after an eviction has to be moved before younger tasks.
func (q *queue) insert(n *node) {
	n.queue = q
	predecessor := q.last
	for predecessor != nil && n.item.Submitted.Before(predecessor.item.Submitted) {
		predecessor = predecessor.previous
	}
	n.previous = predecessor
	if predecessor == nil {
		n.next, q.first = q.first, n
	} else {
		n.next, predecessor.next = predecessor.next, n
	}
	if n.next == nil {
		q.last = n
	} else {
		n.next.previous = n
	}
}

func (q *queue) remove(n *node) {
	if n.previous == nil {
		q.first = n.next
	} else {
		n.previous.next = n.next
	}
	if n.next == nil {
		q.last = n.previous
	} else {
		n.next.previous = n.previous
	}
	n.previous, n.next = nil, nil
}

// top returns the queue with the oldest first task, or nil if there is none. It first removes empty
// queues and corrects keys that are too old because of cancellations.
func (h *queueHeap) cleanTop() *queue {
	for len(*h) > 0 {
		q := (*h)[0]
		switch {
		case q.first == nil:
			heap.Pop(h)
		case !q.key.Equal(q.first.item.Submitted):
			q.key = q.first.item.Submitted
			heap.Fix(h, 0)
		default:
			return q
		}
	}
	return nil
}

// Len implements heap.Interface.
func (h *queueHeap) Len() int { return len(*h) }

// Less implements heap.Interface.
func (h *queueHeap) Less(i, j int) bool { return (*h)[i].key.Before((*h)[j].key) }

// Swap implements heap.Interface.
func (h *queueHeap) Swap(i, j int) {
	(*h)[i], (*h)[j] = (*h)[j], (*h)[i]
	(*h)[i].heapIndex, (*h)[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *queueHeap) Push(x any) {
	q := x.(*queue)
	q.heapIndex = len(*h)
	*h = append(*h, q)
}

// Pop implements heap.Interface.
func (h *queueHeap) Pop() any {
	last := len(*h) - 1
	q := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	q.heapIndex = -1
	return q
}
