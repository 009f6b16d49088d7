// Package worker is a stand-in for the worker interface of a VM: it runs simulated tasks under leases on its own
// clock, reports usage with a lag, makes checkpoints and injects faults.
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
	StateLapsed  = "lapsed"
)

const (
	maxTasks  = 1 << 16
	maxLease  = 24 * time.Hour
	maxFactor = 1e3
)

type (
	// Options configure a Worker. The zero value is a VM of 64 processors and 250 GB with exact sizes and no lag.
	Options struct {
		// Capacity is reported. Starts beyond it are counted and not refused, because admission is the agent's task.
		Capacity resource.Amount
		// UsageLag is the age of reported usage.
		UsageLag time.Duration
		// SizeFactor is true usage, and RunTimeFactor true run time, relative to the declared; 0 means 1.
		SizeFactor    float64
		RunTimeFactor float64
		// Seed makes dropped answers repeatable.
		Seed uint64
		// Clock defaults to the real clock.
		Clock clockwork.Clock
	}

	// Worker is the stand-in. Create it with New. Concurrent use is safe. State changes that are due by the
	// clock take effect with the time at which they were due, whenever the worker is next asked.
	Worker struct {
		options Options

		mutex    sync.Mutex
		tasks    map[string]*run
		history  []Interval
		counters Counters
		faults   Faults
		sampler  sampler
	}

	// Interval is one time for which a task ran. End is zero and EndState empty while it runs.
	Interval struct {
		ID    string    `json:"id"`
		Start time.Time `json:"start"`
		End   time.Time `json:"end,omitzero"`
		// EndState is the state in which the task ended.
		EndState string `json:"reason,omitempty"`
		// StartProgress and EndProgress are the progress at the start and at the end, from 0 to 1.
		StartProgress float64 `json:"from"`
		EndProgress   float64 `json:"to"`
	}

	// Counters are what the worker has seen.
	Counters struct {
		Starts      int `json:"starts"`
		Repeats     int `json:"repeats"`
		Renewals    int `json:"renewals"`
		Checkpoints int `json:"checkpoints"`
		Completed   int `json:"completed"`
		Failed      int `json:"failed"`
		Stopped     int `json:"stopped"`
		Lapsed      int `json:"lapsed"`
		// Overcommits counts starts after which declared sizes exceeded the capacity.
		Overcommits int `json:"overcommits"`
		// MaxDeclared is the largest sum of declared sizes in each dimension.
		MaxDeclared resource.Amount `json:"max-declared"`
		// Dropped counts answers dropped after the call took effect.
		Dropped int `json:"dropped"`
	}
)

// New returns a worker with the defaults for options that are not set.
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
	return &Worker{options: o, tasks: map[string]*run{}, sampler: newSampler(o.Seed)}
}

// List returns the capacity and all tasks, also ended ones.
func (w *Worker) List() message.WorkerTasks {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.advanceAll()
	l := message.WorkerTasks{Capacity: w.options.Capacity, Tasks: make([]message.WorkerTask, 0, len(w.tasks))}
	for _, r := range w.sortedRuns() {
		l.Tasks = append(l.Tasks, w.taskReport(r, now))
	}
	return l
}

// History returns every interval in which a task ran, in the order of their starts.
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
