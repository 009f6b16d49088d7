package sequencer

import (
	"container/heap"
	"time"
)

type (
	// queue is a linked list of the waiting tasks of one team and kind, the earliest submission first. The
	// queues in a heap are ordered by heapKey, the submission time of their first task. After the first
	// task was removed, heapKey is too early until earliestQueue corrects it. heapIndex is the index of the
	// queue in its heap, or negative if it is in no heap.
	queue struct {
		team        *team
		kindName    string
		first, last *node
		heapKey     time.Time
		heapIndex   int
	}

	// node is a waiting task with its neighbours in the linked list of its queue.
	node struct {
		item           Item
		queue          *queue
		previous, next *node
	}

	// queueHeap is a heap of queues with the earliest heapKey at the top, for use with package container/heap.
	queueHeap []*queue
)

// insert inserts the node so that the list stays ordered by submission time. It searches from the end of
// the list, so a newly submitted task takes constant time. Only a task that waits again, for example after
// an eviction, is inserted before tasks that were submitted later.
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

// remove removes the node from the linked list in constant time. It does not change the heap that holds q.
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

// earliestQueue returns the queue of the heap whose first task was submitted earliest, or nil if no queue
// has a task. To find it, it removes empty queues from the top of the heap and corrects each heapKey at the
// top that is too early.
func (h *queueHeap) earliestQueue() *queue {
	for len(*h) > 0 {
		q := (*h)[0]
		switch {
		case q.first == nil:
			heap.Pop(h)
		case !q.heapKey.Equal(q.first.item.Submitted):
			q.heapKey = q.first.item.Submitted
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
func (h *queueHeap) Less(i, j int) bool { return (*h)[i].heapKey.Before((*h)[j].heapKey) }

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
	lastIndex := len(*h) - 1
	q := (*h)[lastIndex]
	(*h)[lastIndex] = nil
	*h = (*h)[:lastIndex]
	q.heapIndex = -1
	return q
}
