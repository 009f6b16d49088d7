package supervisor

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/internal/message"
)

// ErrRefused is wrapped by the error of a call to a Worker if the call certainly had no effect. After any other
// error, the call may have taken effect.
var ErrRefused = eris.New("supervisor: worker refused the call")

type (
	// Worker makes calls to the worker, the process that runs the batch tasks on the VM. It must be safe for
	// concurrent use. A task at the worker is one attempt, and its ID is the attempt ID.
	Worker interface {
		// Start starts a task, which the worker stops when the lease in start expires. Another call with the
		// same ID has no effect.
		Start(ctx context.Context, start message.WorkerStart) error
		// Renew replaces the lease of the task. The new lease lasts for the given duration from the receipt of
		// the call on.
		Renew(ctx context.Context, id string, renew message.WorkerRenew) error
		// Checkpoint writes a checkpoint of the task and returns the state of the task, which includes a token
		// with which a later attempt can continue from the checkpoint.
		Checkpoint(ctx context.Context, id string) (message.WorkerTask, error)
		// Throttle limits the task to the given fraction of its processors.
		Throttle(ctx context.Context, id string, throttle message.WorkerThrottle) error
		// Stop stops the task and returns its final state.
		Stop(ctx context.Context, id string) (message.WorkerTask, error)
		// List returns all tasks that the worker knows, running or ended, and the capacity of the VM.
		List(ctx context.Context) (message.WorkerTasks, error)
	}

	// Clock returns the current time. It must also advance while the VM is suspended.
	Clock interface {
		Now() time.Time
	}
)

// States of a task in responses of the worker and in reports to entries.
const (
	stateRunning      = "running"
	stateDone         = "done"
	stateFailed       = "failed"
	stateStopped      = "stopped"
	stateCheckpointed = "checkpointed"
)

// Reasons in the response to a start or a command and in reports. Further reasons are defined in packages
// message, admitter and lessee.
const (
	// ReasonOtherGeneration means that the start or command is for another run of the agent process.
	ReasonOtherGeneration = "other-generation"
	// ReasonStopped means that the attempt does not run any more and cannot be started again.
	ReasonStopped = "stopped"
	// ReasonCallUncertain means that the worker did not confirm a call, so that the call may or may not have
	// taken effect. It is also the reason if the worker refused a stop, checkpoint or throttle call.
	ReasonCallUncertain = "worker-unclear"
	// ReasonWorkerRefused means that the worker refused the start call, so that the attempt does not run.
	ReasonWorkerRefused = "worker-refused"
	// ReasonTooManyUnconfirmed means that a start was rejected because too many attempts have ended whose
	// results no entry has confirmed.
	ReasonTooManyUnconfirmed = "too-many-unconfirmed-results"
	// ReasonLeaseExpiring means that the agent ended the attempt because its lease was about to expire.
	ReasonLeaseExpiring = "lapsed"
	// ReasonDrained means that the agent ended the attempt because the agent is draining.
	ReasonDrained = "drained"
	// ReasonNotAtWorker means that the attempt counts as ended because it is missing from the list of the
	// worker's tasks.
	ReasonNotAtWorker = "not-at-worker"
)
