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
	// ErrNotAppended is wrapped by an error of StreamWriter if the records were certainly not appended. After any
	// other error they may have been appended.
	ErrNotAppended = eris.New("owner: records were not appended")
	// ErrNotSent is wrapped by an error of Agents if the agent certainly did not receive the call.
	ErrNotSent = eris.New("owner: call was not sent")
	// ErrUnknownEpoch is returned by StopGranting if the given epoch is not the last one under which the entry
	// owned the shard.
	ErrUnknownEpoch = eris.New("owner: no record of the leases of that epoch")
)

type (
	// StreamWriter appends records to the region's batch stream. All records of a call are appended together and get
	// the returned offset. It must be safe for concurrent use.
	StreamWriter interface {
		Append(ctx context.Context, records ...stream.Record) (uint64, error)
	}

	// DeliveredRecord is a record that was read from the stream, with its offset and the time at which the log
	// service stored it.
	DeliveredRecord struct {
		Record stream.Record
		Offset uint64
		Time   time.Time
	}

	// StreamReader reads the batch stream. Receive waits for the next records and returns them in the order of the
	// stream.
	StreamReader interface {
		Receive(ctx context.Context) ([]DeliveredRecord, error)
	}

	// Agents makes calls to the agents of VMs. It must be safe for concurrent use. Stop also makes the agent refuse a
	// later start of the attempt. Throttle limits the attempt to the share of its processors in the command.
	Agents interface {
		Start(ctx context.Context, vm string, start message.StartRequest) (message.StartResponse, error)
		Stop(ctx context.Context, vm string, command message.TaskCommand) (message.TaskCommandResponse, error)
		Checkpoint(ctx context.Context, vm string, command message.TaskCommand) (message.TaskCommandResponse, error)
		Throttle(ctx context.Context, vm string, command message.TaskCommand) (message.TaskCommandResponse, error)
	}

	// Peers makes calls to other entries. StopGranting asks the entry to stop granting leases for a shard under the
	// given epoch. It returns how long the outage leases of the shard still run on each VM.
	Peers interface {
		StopGranting(ctx context.Context, entry string, shardNumber int, epoch uint64) (map[string]time.Duration, error)
	}

	// Clock is a clock that also advances while the machine is suspended.
	Clock interface {
		Now() time.Time
	}

	// VM is what an entry knows about a VM, mostly from its heartbeats.
	VM struct {
		Name string
		// Generation is a name for one run of the VM's agent.
		Generation string
		DataCentre string
		Rack       string
		Capacity   resource.Amount
		// Free is an estimate of the free resources. Only the VM's agent knows what fits.
		Free resource.Amount
		// Tasks are the attempts in the last heartbeat of the VM, whichever entry owns them.
		Tasks []message.TaskReport

		draining bool
		// silent is true if the last heartbeat is older than silenceTimeout. responsiveElement is the element of the
		// VM in Owner.responsiveVMs, or nil if the VM is silent.
		silent            bool
		responsiveElement *list.Element
		heartbeatSequence uint64
		lastHeartbeatAt   time.Time
		// latencyMeasuredAt is, by service, the time of the latest latency measurement that was passed to the
		// estimator.
		latencyMeasuredAt map[string]time.Time
		// startRefused is true if Free was lowered because the agent refused a start. The next heartbeat sets Free
		// again.
		startRefused bool
		// unreportedSizes are the resources that are reserved for an attempt or used by a started attempt that no
		// heartbeat has reported yet, by attempt id.
		unreportedSizes map[string]resource.Amount
		// attempts are the attempts of owned shards that run, have run or may run on this VM.
		attempts map[string]*attempt
	}
)
