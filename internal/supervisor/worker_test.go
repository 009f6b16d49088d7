package supervisor_test

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"bamboohook/internal/message"
	"bamboohook/internal/supervisor"
	"bamboohook/resource"
)

// fakeWorker is a supervisor.Worker that holds its tasks in memory. faults maps the name of a method to how its
// calls fail: "refused" (an error that wraps ErrRefused), "lost" (no effect and no response) or "unanswered"
// (an effect, but no response). calls counts the calls of each method. leaseEnds holds when the lease of each
// task ends.
type fakeWorker struct {
	mutex     sync.Mutex
	clock     *clockwork.FakeClock
	capacity  resource.Amount
	tasks     map[string]*message.WorkerTask
	leaseEnds map[string]time.Time
	faults    map[string]string
	calls     map[string]int
}

func newFakeWorker(clock *clockwork.FakeClock) *fakeWorker {
	return &fakeWorker{
		clock: clock, capacity: resource.Amount{MilliProcessors: 1000, MemoryBytes: 100, Accelerators: 1},
		tasks: map[string]*message.WorkerTask{}, leaseEnds: map[string]time.Time{}, faults: map[string]string{}, calls: map[string]int{},
	}
}

// call simulates a call of the method for the task with the ID. It calls effect with the task, or with nil if
// there is no such task, unless the call is refused or lost. Before that, it stops the tasks whose leases have expired.
func (w *fakeWorker) call(method, id string, effect func(t *message.WorkerTask)) (message.WorkerTask, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.calls[method]++
	for otherID, t := range w.tasks {
		if t.State == "running" && !w.clock.Now().Before(w.leaseEnds[otherID]) {
			t.State = "lapsed"
		}
	}
	fault, t := w.faults[method], w.tasks[id]
	switch {
	case fault == "refused", t == nil && method != "list" && method != "start":
		return message.WorkerTask{}, eris.Wrap(supervisor.ErrRefused, method)
	case fault == "lost":
		return message.WorkerTask{}, eris.New("timeout")
	}
	effect(t)
	if fault != "" {
		return message.WorkerTask{}, eris.New("timeout")
	}
	if t == nil {
		return message.WorkerTask{}, nil
	}
	return *t, nil
}

func (w *fakeWorker) Start(_ context.Context, s message.WorkerStart) error {
	_, err := w.call("start", s.ID, func(t *message.WorkerTask) {
		if t == nil {
			w.tasks[s.ID] = &message.WorkerTask{ID: s.ID, State: "running", Size: s.Size}
			w.leaseEnds[s.ID] = w.clock.Now().Add(s.Lease)
		}
	})
	return err
}

func (w *fakeWorker) Renew(_ context.Context, id string, r message.WorkerRenew) error {
	_, err := w.call("renew", id, func(*message.WorkerTask) { w.leaseEnds[id] = w.clock.Now().Add(r.Lease) })
	return err
}

func (w *fakeWorker) Checkpoint(_ context.Context, id string) (message.WorkerTask, error) {
	return w.call("checkpoint", id, func(t *message.WorkerTask) { t.Checkpoint = "c-" + id })
}

func (w *fakeWorker) Throttle(_ context.Context, id string, t message.WorkerThrottle) error {
	_, err := w.call("throttle", id, func(task *message.WorkerTask) { task.Share = t.Share })
	return err
}

func (w *fakeWorker) Stop(_ context.Context, id string) (message.WorkerTask, error) {
	return w.call("stop", id, func(t *message.WorkerTask) {
		if t.State == "running" {
			t.State = "stopped"
		}
	})
}

func (w *fakeWorker) List(context.Context) (list message.WorkerTasks, err error) {
	_, err = w.call("list", "", func(*message.WorkerTask) {
		list.Capacity = w.capacity
		for _, t := range w.tasks {
			list.Tasks = append(list.Tasks, *t)
		}
	})
	return list, err
}

func (w *fakeWorker) runningCount() int {
	n := 0
	for _, t := range w.tasks {
		if t.State == "running" {
			n++
		}
	}
	return n
}
