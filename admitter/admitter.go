// Package admitter decides whether work fits a VM. It is the single authority for the capacity of its VM.
package admitter

import (
	"math"
	"sync"

	"bamboohook/resource"
)

// Verdicts of Commit. Only Committed and Repeated allow the work to start.
const (
	Committed             Decision = "committed"
	Duplicate             Decision = "repeated"
	NotReady              Decision = "not-ready"
	NegativeSize          Decision = "negative-size"
	DifferentSize         Decision = "different-size"
	ProcessorsExhausted   Decision = "processors-exhausted"
	MemoryExhausted       Decision = "memory-exhausted"
	AcceleratorsExhausted Decision = "accelerators-exhausted"
)

type (
	// Verdict is the outcome of Commit, in the form of a refusal reason.
	Decision string

	// Admitter keeps the commitments of one VM by attempt id. The zero value admits nothing until
	// Listed is called, because tasks of an earlier process may still run at the worker. Concurrent use is safe.
	Admitter struct {
		mutex       sync.Mutex
		ready       bool
		capacity    resource.Amount
		committed   resource.Amount
		commitments map[string]resource.Amount
	}
)

// Accepted reports whether the work may start.
func (v Decision) Accepted() bool { return v == Committed || v == Duplicate }

// Listed sets the capacity, adopts everything that runs at the worker and makes the admitter ready.
func (a *Admitter) Initialize(capacity resource.Amount, running map[string]resource.Amount) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for id, size := range running {
		a.adopt(id, size)
	}
	a.capacity, a.ready = capacity, true
}

// Ready reports whether the worker was listed.
func (a *Admitter) Ready() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.ready
}

// Commit reserves size for the attempt id, or returns why not. A repeat with the same size has no effect.
func (a *Admitter) Commit(id string, size resource.Amount) Decision {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.ready {
		return NotReady
	}
	if size.Negative() {
		return NegativeSize
	}
	if held, ok := a.commitments[id]; ok {
		if held != size {
			return DifferentSize
		}
		return Duplicate
	}
	// Comparing with the free amount instead of a sum excludes an overflow by a huge size.
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

// Adopt records what already runs, even beyond the capacity; then nothing more is admitted. A
// negative dimension counts as zero. An id that is already committed keeps its size.
func (a *Admitter) Adopt(id string, size resource.Amount) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.adopt(id, size)
}

// Release frees the commitment of the attempt id and reports whether there was one.
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

// Capacity returns the capacity of the VM; it is zero until Listed is called.
func (a *Admitter) Capacity() resource.Amount {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.capacity
}

// Committed returns the sum of all commitments.
func (a *Admitter) Committed() resource.Amount {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.committed
}

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

// saturatingAdd keeps a wrong size reported by a worker from wrapping the sum to a negative amount.
func saturatingAdd(a, b resource.Amount) resource.Amount {
	return resource.Amount{
		MilliProcessors: saturatingSum(a.MilliProcessors, b.MilliProcessors),
		MemoryBytes:     saturatingSum(a.MemoryBytes, b.MemoryBytes),
		Accelerators:    saturatingSum(a.Accelerators, b.Accelerators),
	}
}

func saturatingSum(a, b int64) int64 {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}
