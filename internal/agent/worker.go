package agent

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"bamboohook/internal/message"
	"bamboohook/internal/supervisor"
	"bamboohook/internal/workerclient"
)

// worker adapts the client of the worker interface to the supervisor.
type worker struct {
	client *workerclient.Client
}

// Start starts a task.
func (w worker) Start(ctx context.Context, start message.WorkerStart) error {
	_, err := w.client.Start(ctx, start)
	return refusal(err)
}

// Renew extends the lease of a task.
func (w worker) Renew(ctx context.Context, id string, renew message.WorkerRenew) error {
	_, err := w.client.Renew(ctx, id, renew.Lease)
	return refusal(err)
}

// Checkpoint returns the task with the token from which it can be resumed.
func (w worker) Checkpoint(ctx context.Context, id string) (message.WorkerTask, error) {
	t, err := w.client.Checkpoint(ctx, id)
	return t, refusal(err)
}

// Throttle sets the share of its processors that the task keeps.
func (w worker) Throttle(ctx context.Context, id string, throttle message.WorkerThrottle) error {
	_, err := w.client.Throttle(ctx, id, throttle.Share)
	return refusal(err)
}

// Stop returns the task after it ended.
func (w worker) Stop(ctx context.Context, id string) (message.WorkerTask, error) {
	t, err := w.client.Stop(ctx, id)
	return t, refusal(err)
}

// List returns all tasks that the worker knows.
func (w worker) List(ctx context.Context) (message.WorkerTasks, error) {
	l, err := w.client.List(ctx)
	return l, refusal(err)
}

// refusal marks errors of calls that certainly had no effect in the way that the supervisor expects.
func refusal(err error) error {
	if errors.Is(err, workerclient.ErrRefused) || errors.Is(err, workerclient.ErrNotFound) {
		return eris.Wrap(supervisor.ErrRefused, err.Error())
	}
	return err
}
