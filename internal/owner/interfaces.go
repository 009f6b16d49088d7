package owner

import (
	"container/list"
	"context"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/internal/message"
	"bamboohook/resource"
	"bamboohook/stream"
)

var (
	// ErrNotAppended is wrapped by an error of Log if the records were certainly not appended. After any other error
	// they may have been.
	ErrNotAppended = eris.New("owner: records were not appended")
	// ErrNotSent is wrapped by an error of Agents if the agent certainly did not receive the call.
	ErrNotSent = eris.New("owner: call was not sent")
	// ErrUnknownEpoch is returned by ConfirmStopped for an epoch whose leases the entry does not know or no longer
	// knows.
	ErrUnknownEpoch = eris.New("owner: leases of this epoch are unknown")
)

type (
	// Log appends records to the region's batch stream in a single append and returns the offset of the append. It
	// must be safe for concurrent use.
	StreamWriter interface {
		Append(ctx context.Context, records ...stream.Record) (uint64, error)
	}

	// DeliveredRecord is a record with its offset and time in the stream.
	DeliveredRecord struct {
		Record stream.Record
		Offset uint64
		Time   time.Time
	}

	// Stream delivers the records of the batch stream in order. Receive waits for the next records.
	StreamReader interface {
		Receive(ctx context.Context) ([]DeliveredRecord, error)
	}

	// Agents calls the agents of VMs. It must be safe for concurrent use.
	Agents interface {
		Start(ctx context.Context, vm string, start message.StartRequest) (message.StartResponse, error)
		Stop(ctx context.Context, vm string, command message.TaskCommand) (message.TaskCommandResponse, error)
		Checkpoint(ctx context.Context, vm string, command message.TaskCommand) (message.TaskCommandResponse, error)
		Throttle(ctx context.Context, vm string, command message.TaskCommand) (message.TaskCommandResponse, error)
	}

	// Peers asks another entry to confirm that it grants no more leases for a shard under the given epoch, and
	// returns how long its outage leases still run on each VM.
	Peers interface {
		ConfirmStopped(ctx context.Context, entry string, shard int, epoch uint64) (map[string]time.Duration, error)
	}

	// Clock returns the time of a clock that includes suspended time.
	Clock interface {
		Now() time.Time
	}

	// VM is what an entry knows about a VM.
	VM struct {
		Name       string
		Generation string
		DataCentre string
		Rack       string
		Capacity   resource.Amount
		// Free is an estimate of the free resources. Only the agent knows what fits.
		Free resource.Amount
		// Tasks are the attempts of all owners that the VM reported.
		Tasks []message.TaskReport

		draining          bool
		silent            bool
		responsiveElement *list.Element
		heartbeatSequence uint64
		lastHeartbeat     time.Time
		// observedAt is when the latency of each service was measured that the estimator learned from last.
		observedAt map[string]time.Time
		// startRefused is true if Free was lowered after the agent refused a start. The next heartbeat clears it.
		startRefused bool
		// pendingStarts are the sizes of reservations and of started attempts that the VM has not reported yet, by
		// attempt id.
		pendingStarts map[string]resource.Amount
		// attempts are the attempts that run, have run or may run on this VM.
		attempts map[string]*attempt
	}
)
