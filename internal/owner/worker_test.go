package owner_test

import (
	"context"
	"slices"
	"strings"
	"time"

	"bamboohook/internal/message"
)

// maxWorkerDelay is how late a worker at most carries out a start that it does not answer. If it were later, the task
// could outlive the lease in the start.
const maxWorkerDelay = time.Second

// lateStart is a start that the worker has received and carries out at the time at, even if the agent that sent it has
// been restarted since.
type lateStart struct {
	start message.WorkerStart
	at    time.Time
}

// fakeWorker is the worker of a simulated VM, which is the process that runs the tasks.
type fakeWorker struct{ v *vm }

func (f fakeWorker) Start(_ context.Context, m message.WorkerStart) error {
	r := f.v.r
	if r.chance(0.02) {
		return errNoAnswer
	}
	fault := r.nextFaults["worker-start"]
	delete(r.nextFaults, "worker-start")
	if fault == "late" || r.lateStartProbability > 0 && r.chance(r.lateStartProbability) {
		f.v.lateStarts = append(f.v.lateStarts, lateStart{m, r.now.Add(r.workerDelay)})
		return errNoAnswer
	}
	f.v.startTask(m)
	_, err := f.v.callWorker(m.ID, func(*workerTask) {})
	return err
}

func (f fakeWorker) Renew(_ context.Context, id string, m message.WorkerRenew) error {
	_, err := f.v.callWorker(id, func(w *workerTask) { w.leaseEnd = f.v.clock.Now().Add(m.Lease) })
	return err
}

func (f fakeWorker) Checkpoint(_ context.Context, id string) (message.WorkerTask, error) {
	return f.v.callWorker(id, func(w *workerTask) { w.Checkpoint = "c:" + id })
}

func (f fakeWorker) Throttle(_ context.Context, id string, m message.WorkerThrottle) error {
	_, err := f.v.callWorker(id, func(w *workerTask) { w.Share = m.Share })
	return err
}

func (f fakeWorker) Stop(_ context.Context, id string) (message.WorkerTask, error) {
	return f.v.callWorker(id, func(w *workerTask) {
		if w.State == "running" {
			w.State = "stopped"
		}
	})
}

func (f fakeWorker) List(ctx context.Context) (message.WorkerTasks, error) { return f.v.List(ctx) }

// applyLateStarts carries out the late starts that are due.
func (v *vm) applyLateStarts() {
	v.lateStarts = slices.DeleteFunc(v.lateStarts, func(l lateStart) bool {
		due := !v.r.now.Before(l.at)
		if due {
			v.startTask(l.start)
		}
		return due
	})
}

// taskOfAttempt returns the key of the task to which the attempt with the given id belongs.
func taskOfAttempt(id string) string { return id[:strings.LastIndexByte(id, '/')] }
