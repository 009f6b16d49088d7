package owner_test

import (
	"context"
	"strings"

	"bamboohook/internal/message"
)

// fakeWorker is the worker of a simulated VM.
type fakeWorker struct{ v *vm }

func (p fakeWorker) Start(_ context.Context, m message.WorkerStart) error {
	if p.v.r.chance(0.02) {
		return errNoAnswer
	}
	p.v.startTask(m)
	_, err := p.v.callWorker(m.ID, func(*workerTask) {})
	return err
}

func (p fakeWorker) Renew(_ context.Context, id string, m message.WorkerRenew) error {
	_, err := p.v.callWorker(id, func(w *workerTask) { w.leaseEnd = p.v.clock.Now().Add(m.Lease) })
	return err
}

func (p fakeWorker) Checkpoint(_ context.Context, id string) (message.WorkerTask, error) {
	return p.v.callWorker(id, func(w *workerTask) { w.Checkpoint = "c:" + id })
}

func (p fakeWorker) Throttle(_ context.Context, id string, m message.WorkerThrottle) error {
	_, err := p.v.callWorker(id, func(w *workerTask) { w.Share = m.Share })
	return err
}

func (p fakeWorker) Stop(_ context.Context, id string) (message.WorkerTask, error) {
	return p.v.callWorker(id, func(w *workerTask) {
		if w.State == "running" {
			w.State = "stopped"
		}
	})
}

func (p fakeWorker) List(ctx context.Context) (message.WorkerTasks, error) { return p.v.List(ctx) }

// taskOfAttempt returns the task that an attempt id names.
func taskOfAttempt(id string) string { return id[:strings.LastIndexByte(id, '/')] }
