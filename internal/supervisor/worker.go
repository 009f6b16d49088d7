package supervisor

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/internal/message"
)

// ErrRefused is wrapped by a Worker's error if the worker answered that it did not do what was asked.
// Any other error leaves open whether the call took effect.
var ErrRefused = eris.New("supervisor: worker refused the call")

type (
	// Worker is the platform's interface to run tasks at a VM. Concurrent use must be safe.
	Worker interface {
		// Start starts a task; a repeat of the same id has no effect.
		Start(ctx context.Context, start message.WorkerStart) error
		// Renew sets the end of the task's lease, counted from the receipt of the call.
		Renew(ctx context.Context, id string, renew message.WorkerRenew) error
		// Checkpoint returns the task with the token from which it can be resumed.
		Checkpoint(ctx context.Context, id string) (message.WorkerTask, error)
		// Throttle sets the share of its processors that the task keeps.
		Throttle(ctx context.Context, id string, throttle message.WorkerThrottle) error
		// Stop returns the task after it ended.
		Stop(ctx context.Context, id string) (message.WorkerTask, error)
		// List returns all tasks that the worker knows, with the VM's capacity.
		List(ctx context.Context) (message.WorkerTasks, error)
	}

	// Clock tells the time, including suspended time.
	Clock interface {
		Now() time.Time
	}
)

// States of a task at the worker and in a report.
const (
	stateRunning      = "running"
	stateDone         = "done"
	stateFailed       = "failed"
	stateStopped      = "stopped"
	stateCheckpointed = "checkpointed"
)

// Reasons of a refusal or in a report, in addition to those of package message, admitter and lessee.
const (
	ReasonOtherGeneration = "other-generation"
	ReasonStopped         = "stopped"
	ReasonWorkerUnclear   = "worker-unclear"
	ReasonWorkerRefused   = "worker-refused"
	ReasonUnconfirmed     = "too-many-unconfirmed-results"
	ReasonLapsed          = "lapsed"
	ReasonDrained         = "drained"
	ReasonNotAtWorker     = "not-at-worker"
)
