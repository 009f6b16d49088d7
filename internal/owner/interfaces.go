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
	// ErrNotAppended is wrapped by a Log's error if the records were certainly not appended. Any
	// other error leaves it open.
	ErrNotAppended = eris.New("owner: records were not appended")
	// ErrNotSent is wrapped by an error of Agents if the agent certainly did not receive the call.
	ErrNotSent = eris.New("owner: call was not sent")
	// ErrOtherEpoch is returned by ConfirmStopped for an epoch whose leases are not known any more.
	ErrUnknownEpoch = eris.New("owner: no record of the leases of that epoch")
)

type (
	// Log appends records to the region's batch stream in one append and returns its offset. Concurrent use must be safe.
	Log interface {
		Append(ctx context.Context, records ...stream.Record) (uint64, error)
	}

	// Delivered is a record with its place in the stream.
	DeliveredRecord struct {
		Record stream.Record
		Offset uint64
		Time   time.Time
	}

	// Stream delivers the records of the batch stream in order; Receive waits for the next ones.
	Stream interface {
		Receive(ctx context.Context) ([]DeliveredRecord, error)
	}

	// Agents calls the agents of VMs. Concurrent use must be safe.
	Agents interface {
		Start(ctx context.Context, vm string, start message.Start) (message.StartAnswer, error)
		Stop(ctx context.Context, vm string, order message.TaskOrder) (message.TaskOrderAnswer, error)
		Checkpoint(ctx context.Context, vm string, order message.TaskOrder) (message.TaskOrderAnswer, error)
		Throttle(ctx context.Context, vm string, order message.TaskOrder) (message.TaskOrderAnswer, error)
	}

	// Peers asks another entry to confirm that it grants no more leases for a shard under its epoch, and for how much
	// longer the hold leases of its VMs last.
	Peers interface {
		ConfirmStopped(ctx context.Context, entry string, shard int, epoch uint64) (map[string]time.Duration, error)
	}

	// Clock tells the time, including suspended time.
	Clock interface {
		Now() time.Time
	}

	// VM is what an entry knows of a VM.
	VM struct {
		Name       string
		Generation string
		DataCentre string
		Rack       string
		Capacity   resource.Amount
		// Free is an estimate; only the agent knows what fits.
		Free resource.Amount
		// Tasks are the running attempts of all owners.
		Tasks []message.TaskReport

		draining          bool
		silent            bool
		responsiveElement *list.Element
		heartbeatSequence uint64
		lastHeartbeat     time.Time
		// measured is when the latency of each service was last learned from.
		observedAt map[string]time.Time
		// refused tells that Free was lowered after a refused start, until the next heartbeat.
		startRefused bool
		// starting are sizes of starts that the VM has not reported yet.
		pendingStarts map[string]resource.Amount
		// tied are the attempts that have run or may run here.
		attempts map[string]*attempt
	}
)
