// Package admitter decides whether a task attempt fits on a VM. An attempt is one execution of a task. The agent of
// each VM has one admitter, and only that admitter decides what fits on the VM.
package admitter

import (
	"math"
	"sync"

	"bamboohook/resource"
)

// Decisions of Commit. Only Committed and Repeated allow the attempt to start. NotReady means that Initialize was not
// called yet. Repeated means that the same size was already committed to the attempt, and DifferentSize that another
// size was.
const (
	Committed             Decision = "committed"
	Repeated              Decision = "repeated"
	NotReady              Decision = "not-ready"
	NegativeSize          Decision = "negative-size"
	DifferentSize         Decision = "different-size"
	ProcessorsExhausted   Decision = "processors-exhausted"
	MemoryExhausted       Decision = "memory-exhausted"
	AcceleratorsExhausted Decision = "accelerators-exhausted"
)

type (
	// Decision is the outcome of Commit. If it is a refusal, its value is the reason that the agent reports.
	Decision string

	// Admitter tracks the resources that are committed to the attempts on one VM. The zero value admits nothing until
	// Initialize is called, because attempts that were started by an earlier run of the agent may still run at the
	// worker, which is the process that runs the tasks on the VM. An Admitter is safe for concurrent use.
	Admitter struct {
		mutex     sync.Mutex
		ready     bool
		capacity  resource.Amount
		committed resource.Amount
		// commitments holds the committed size of each attempt, by attempt id. committed is their sum.
		commitments map[string]resource.Amount
	}
)

// Accepted reports whether the decision allows the attempt to start.
func (d Decision) Accepted() bool { return d == Committed || d == Repeated }

// Initialize sets the capacity of the VM and makes the admitter ready. It commits resources to all attempts that run
// at the worker, given as sizes by attempt id.
func (a *Admitter) Initialize(capacity resource.Amount, running map[string]resource.Amount) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for id, size := range running {
		a.adopt(id, size)
	}
	a.capacity, a.ready = capacity, true
}

// Ready reports whether Initialize was called.
func (a *Admitter) Ready() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.ready
}

// Commit commits resources of the given size to the attempt with the given id, or returns why it can't. Committing the
// same size again has no effect.
func (a *Admitter) Commit(id string, size resource.Amount) Decision {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.ready {
		return NotReady
	}
	if size.Negative() {
		return NegativeSize
	}
	if committed, ok := a.commitments[id]; ok {
		if committed != size {
			return DifferentSize
		}
		return Repeated
	}
	// The size is compared with the free amount, because adding a huge size to the committed amount could overflow.
	free := a.capacity.Sub(a.committed)
	switch {
	case size.MilliProcessors > free.MilliProcessors:
		return ProcessorsExhausted
	case size.MemoryBytes > free.MemoryBytes:
		return MemoryExhausted
	case size.Accelerators > free.Accelerators:
		return AcceleratorsExhausted
	}
	a.adopt(id, size)
	return Committed
}

// Adopt commits resources to an attempt that already runs, even beyond the capacity of the VM. While the committed
// amount exceeds the capacity in any dimension, no further attempt is admitted. A negative dimension
// of the size counts as zero. If resources were already committed to the attempt, it keeps its size.
func (a *Admitter) Adopt(id string, size resource.Amount) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.adopt(id, size)
}

// Release frees the resources of the attempt with the given id. It returns false if none were committed to it.
func (a *Admitter) Release(id string) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if _, ok := a.commitments[id]; !ok {
		return false
	}
	delete(a.commitments, id)
	a.committed = resource.Amount{}
	for _, size := range a.commitments {
		a.committed = saturatingAdd(a.committed, size)
	}
	return true
}

// Capacity returns the capacity of the VM. It is zero until Initialize is called.
func (a *Admitter) Capacity() resource.Amount {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.capacity
}

// Committed returns the sum of the resources that are committed to all attempts.
func (a *Admitter) Committed() resource.Amount {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.committed
}

// adopt does the work of Adopt. The caller must hold the mutex.
func (a *Admitter) adopt(id string, size resource.Amount) {
	if _, ok := a.commitments[id]; ok {
		return
	}
	if a.commitments == nil {
		a.commitments = map[string]resource.Amount{}
	}
	size = resource.Amount{
		MilliProcessors: max(size.MilliProcessors, 0), MemoryBytes: max(size.MemoryBytes, 0), Accelerators: max(size.Accelerators, 0),
	}
	a.commitments[id] = size
	a.committed = saturatingAdd(a.committed, size)
}

// saturatingAdd adds two amounts. A dimension of the sum that would overflow is set to the largest value instead,
// because a worker may report any size, and an overflow would make the sum negative.
func saturatingAdd(a, b resource.Amount) resource.Amount {
	return resource.Amount{
		MilliProcessors: saturatingAddInt64(a.MilliProcessors, b.MilliProcessors),
		MemoryBytes:     saturatingAddInt64(a.MemoryBytes, b.MemoryBytes),
		Accelerators:    saturatingAddInt64(a.Accelerators, b.Accelerators),
	}
}

func saturatingAddInt64(a, b int64) int64 {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}
