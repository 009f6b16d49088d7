package supervisor

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/internal/message"
)

// ErrRefused is wrapped by errors of a Worker if the worker responded that the call had no effect. After
// any other error the call may have taken effect.
var ErrRefused = eris.New("supervisor: worker refused the call")

type (
	// Worker is the platform's interface to run tasks on a VM. It must be safe for concurrent use.
	Worker interface {
		// Start starts a task. Another call with the same ID has no effect.
		Start(ctx context.Context, start message.WorkerStart) error
		// Renew sets the length of the task's lease, counted from the receipt of the call.
		Renew(ctx context.Context, id string, renew message.WorkerRenew) error
		// Checkpoint makes a checkpoint and returns the task with the token from which it can be resumed.
		Checkpoint(ctx context.Context, id string) (message.WorkerTask, error)
		// Throttle sets the share of its processors that the task keeps.
		Throttle(ctx context.Context, id string, throttle message.WorkerThrottle) error
		// Stop stops the task and returns its final state.
		Stop(ctx context.Context, id string) (message.WorkerTask, error)
		// List returns all tasks that the worker knows and the capacity of the VM.
		List(ctx context.Context) (message.WorkerTasks, error)
	}

	// Clock returns the current time. It advances while the machine is suspended.
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

// Reasons in a rejection or a report, in addition to those of packages message, admitter and lessee.
const (
	ReasonOtherGeneration    = "other-generation"
	ReasonStopped            = "stopped"
	ReasonCallUncertain      = "worker-unclear"
	ReasonWorkerRefused      = "worker-refused"
	ReasonTooManyUnconfirmed = "too-many-unconfirmed-results"
	ReasonLeaseExpiring      = "lapsed"
	ReasonDrained            = "drained"
	ReasonNotAtWorker        = "not-at-worker"
)
