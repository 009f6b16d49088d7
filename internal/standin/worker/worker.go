// Package worker is a fake of the worker interface of a VM. It runs simulated tasks under leases on its own clock, reports
// resource usage with a delay, makes checkpoints and injects faults.
package worker

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bamboohook/internal/message"
	"bamboohook/resource"
)

// States of a task.
const (
	StateRunning = "running"
	StateDone    = "done"
	StateFailed  = "failed"
	StateStopped = "stopped"
	// StateLapsed means that the lease expired before the task ended.
	StateLapsed = "lapsed"
)

const (
	maxTasks  = 1 << 16
	maxLease  = 24 * time.Hour
	maxFactor = 1e3
)

type (
	// Options configure a Worker. The zero value is a VM with 64 processors and 250 GB of memory, whose tasks use what they
	// declare and whose usage reports have no delay.
	Options struct {
		// Capacity is the reported capacity. The worker counts starts that exceed it but does not reject them, because
		// admission is the responsibility of the agent.
		Capacity resource.Amount
		// UsageLag is the age of the usage that the worker reports.
		UsageLag time.Duration
		// SizeFactor is the ratio of actual to declared resource usage, and RunTimeFactor that of actual to declared run
		// time. 0 means 1.
		SizeFactor    float64
		RunTimeFactor float64
		// Seed makes the choice of dropped responses repeatable.
		Seed uint64
		// Clock defaults to the real clock.
		Clock clockwork.Clock
	}

	// Worker is the fake worker. Use New to create one. It is safe for concurrent use. It has no timers: each call first
	// applies the completions and lease expiries that have become due, with the times at which they became due.
	Worker struct {
		options Options

		mutex    sync.Mutex
		runs     map[string]*run
		history  []Interval
		counters Counters
		faults   Faults
		random   randomSource
	}

	// Interval is the time from the start to the end of a run. During the run, End is zero and EndState is empty.
	Interval struct {
		ID    string    `json:"id"`
		Start time.Time `json:"start"`
		End   time.Time `json:"end,omitzero"`
		// EndState is the state of the task after its end.
		EndState string `json:"reason,omitempty"`
		// StartProgress and EndProgress are the progress at Start and at End, from 0 to 1.
		StartProgress float64 `json:"from"`
		EndProgress   float64 `json:"to"`
	}

	// Counters are the numbers of events since the start of the worker.
	Counters struct {
		Starts int `json:"starts"`
		// RepeatedStarts counts the starts of tasks that the worker already had. They have no effect and are not in Starts.
		RepeatedStarts int `json:"repeats"`
		Renewals       int `json:"renewals"`
		Checkpoints    int `json:"checkpoints"`
		Completed      int `json:"completed"`
		Failed         int `json:"failed"`
		Stopped        int `json:"stopped"`
		Lapsed         int `json:"lapsed"`
		// Overcommits counts the starts after which the sizes with which the running tasks were started exceeded the capacity.
		Overcommits int `json:"overcommits"`
		// MaxDeclared is, for each resource, the largest sum of the sizes with which the running tasks were started.
		MaxDeclared resource.Amount `json:"max-declared"`
		// Dropped counts the calls that were selected to get no response.
		Dropped int `json:"dropped"`
	}
)

// New returns a worker. Options that are not set have their defaults.
func New(o Options) *Worker {
	if o.Capacity == (resource.Amount{}) {
		o.Capacity = resource.Amount{MilliProcessors: 64_000, MemoryBytes: 250_000_000_000}
	}
	if o.SizeFactor <= 0 {
		o.SizeFactor = 1
	}
	if o.RunTimeFactor <= 0 {
		o.RunTimeFactor = 1
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	return &Worker{options: o, runs: map[string]*run{}, random: newRandomSource(o.Seed)}
}

// List returns the capacity and all tasks, including ended ones.
func (w *Worker) List() message.WorkerTasks {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.advanceAll()
	l := message.WorkerTasks{Capacity: w.options.Capacity, Tasks: make([]message.WorkerTask, 0, len(w.runs))}
	for _, r := range w.sortedRuns() {
		l.Tasks = append(l.Tasks, w.taskReport(r, now))
	}
	return l
}

// History returns the intervals of all runs in the order of their starts.
func (w *Worker) History() []Interval {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.advanceAll()
	return append([]Interval{}, w.history...)
}

// Counters returns a copy of the counters.
func (w *Worker) Counters() Counters {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.advanceAll()
	return w.counters
}

// SetFaults replaces the injected faults.
func (w *Worker) SetFaults(f Faults) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.advanceAll()
	w.faults = f
}
