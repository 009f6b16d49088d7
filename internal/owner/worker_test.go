package owner_test

import (
	"context"
	"strings"

	"bamboohook/internal/message"
)

// fakeWorker is the worker of a simulated VM, which is the process that runs the tasks.
type fakeWorker struct{ v *vm }

func (f fakeWorker) Start(_ context.Context, m message.WorkerStart) error {
	if f.v.r.chance(0.02) {
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

// taskOfAttempt returns the key of the task to which the attempt with the given id belongs.
func taskOfAttempt(id string) string { return id[:strings.LastIndexByte(id, '/')] }
