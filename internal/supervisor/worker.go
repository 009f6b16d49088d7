package supervisor

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/internal/message"
)

// ErrRefused is wrapped by an error of a Worker if the call certainly had no effect. After any other error
// the call may have taken effect.
var ErrRefused = eris.New("supervisor: worker refused the call")

type (
	// Worker makes calls to the worker, the process that runs the tasks on the VM. It must be safe for
	// concurrent use. The ID of a task is that of the attempt.
	Worker interface {
		// Start starts a task under a lease. Another call with the same ID has no effect.
		Start(ctx context.Context, start message.WorkerStart) error
		// Renew replaces the task's lease by one of the given duration from the receipt of the call.
		Renew(ctx context.Context, id string, renew message.WorkerRenew) error
		// Checkpoint makes a checkpoint of the task and returns the state of the task, which includes a
		// token from which a later attempt can be resumed.
		Checkpoint(ctx context.Context, id string) (message.WorkerTask, error)
		// Throttle limits the task to a fraction of its processors.
		Throttle(ctx context.Context, id string, throttle message.WorkerThrottle) error
		// Stop stops the task and returns its final state.
		Stop(ctx context.Context, id string) (message.WorkerTask, error)
		// List returns all tasks that the worker knows and the capacity of the VM.
		List(ctx context.Context) (message.WorkerTasks, error)
	}

	// Clock returns the current time. It also advances while the VM is suspended.
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
	// ReasonOtherGeneration means that the request names another run of the agent process.
	ReasonOtherGeneration = "other-generation"
	// ReasonStopped means that the attempt does not run any more and must not be started again.
	ReasonStopped = "stopped"
	// ReasonCallUncertain means that the worker did not confirm the call, so that the call may or may not
	// have taken effect. A stop, checkpoint or throttle command that the worker refused gets it too.
	ReasonCallUncertain = "worker-unclear"
	// ReasonWorkerRefused means that the worker refused the start.
	ReasonWorkerRefused = "worker-refused"
	// ReasonTooManyUnconfirmed means that the results of too many attempts wait for confirmation.
	ReasonTooManyUnconfirmed = "too-many-unconfirmed-results"
	// ReasonLeaseExpiring means that the attempt was stopped because its lease was about to expire.
	ReasonLeaseExpiring = "lapsed"
	// ReasonDrained means that the attempt was stopped because the agent drains.
	ReasonDrained = "drained"
	// ReasonNotAtWorker means that the attempt is missing from the list of the worker's tasks.
	ReasonNotAtWorker = "not-at-worker"
)
