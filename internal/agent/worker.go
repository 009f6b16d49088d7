package agent

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"bamboohook/internal/message"
	"bamboohook/internal/supervisor"
	"bamboohook/internal/workerclient"
)

// workerAdapter implements supervisor.Worker with HTTP calls to the worker, the process that runs the batch
// tasks on the VM.
type workerAdapter struct {
	client *workerclient.Client
}

// Start implements supervisor.Worker.
func (w workerAdapter) Start(ctx context.Context, start message.WorkerStart) error {
	_, err := w.client.Start(ctx, start)
	return supervisorError(err)
}

// Renew implements supervisor.Worker.
func (w workerAdapter) Renew(ctx context.Context, id string, renew message.WorkerRenew) error {
	_, err := w.client.Renew(ctx, id, renew.Lease)
	return supervisorError(err)
}

// Checkpoint implements supervisor.Worker.
func (w workerAdapter) Checkpoint(ctx context.Context, id string) (message.WorkerTask, error) {
	t, err := w.client.Checkpoint(ctx, id)
	return t, supervisorError(err)
}

// Throttle implements supervisor.Worker.
func (w workerAdapter) Throttle(ctx context.Context, id string, throttle message.WorkerThrottle) error {
	_, err := w.client.Throttle(ctx, id, throttle.Share)
	return supervisorError(err)
}

// Stop implements supervisor.Worker.
func (w workerAdapter) Stop(ctx context.Context, id string) (message.WorkerTask, error) {
	t, err := w.client.Stop(ctx, id)
	return t, supervisorError(err)
}

// List implements supervisor.Worker.
func (w workerAdapter) List(ctx context.Context) (message.WorkerTasks, error) {
	l, err := w.client.List(ctx)
	return l, supervisorError(err)
}

// supervisorError converts the error of a call to the worker. If the error shows that the call had no
// effect, the result wraps supervisor.ErrRefused. Otherwise err is returned unchanged.
func supervisorError(err error) error {
	if errors.Is(err, workerclient.ErrRefused) || errors.Is(err, workerclient.ErrNotFound) {
		return eris.Wrap(supervisor.ErrRefused, err.Error())
	}
	return err
}
