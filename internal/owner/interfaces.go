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
	// ErrNotAppended is wrapped by an error of StreamWriter if the records were certainly not appended. After any other
	// error of StreamWriter, the records may have been appended or may still be appended.
	ErrNotAppended = eris.New("owner: records were not appended")
	// ErrNotSent is wrapped by an error of Agents if the agent certainly did not receive the call.
	ErrNotSent = eris.New("owner: call to the agent was not sent")
	// ErrUnknownEpoch is returned by Owner.StopGranting if the given epoch is not the last one under which the entry
	// owned the shard. Another entry that asks this entry to confirm that it stopped granting leases gets this text as
	// the error.
	ErrUnknownEpoch = eris.New("owner: no record of the leases of that epoch")
)

type (
	// StreamWriter appends records to the region's stream, the sequence of batch records that the log service stores.
	// All records of a call are appended together and get the same offset, which Append returns. A StreamWriter must be
	// safe for concurrent use.
	StreamWriter interface {
		Append(ctx context.Context, records ...stream.Record) (uint64, error)
	}

	// DeliveredRecord is a record that was read from the region's stream, with its offset and the time at which the log
	// service stored it.
	DeliveredRecord struct {
		Record stream.Record
		Offset uint64
		Time   time.Time
	}

	// StreamReader reads the region's stream. Receive waits for the next records and returns them in the order of the
	// stream.
	StreamReader interface {
		Receive(ctx context.Context) ([]DeliveredRecord, error)
	}

	// Agents makes calls to the agents of VMs. A call to Stop also makes the agent refuse a later start of the attempt.
	// Throttle limits the attempt to the share of its processors that the command contains. An implementation must be
	// safe for concurrent use.
	Agents interface {
		Start(ctx context.Context, vm string, start message.StartRequest) (message.StartResponse, error)
		Stop(ctx context.Context, vm string, command message.TaskCommand) (message.TaskCommandResponse, error)
		Checkpoint(ctx context.Context, vm string, command message.TaskCommand) (message.TaskCommandResponse, error)
		Throttle(ctx context.Context, vm string, command message.TaskCommand) (message.TaskCommandResponse, error)
	}

	// Peers makes calls to other entries. StopGranting asks the named entry to stop granting leases for the shard that
	// it owned under the given epoch. It returns for how long the outage leases of that ownership may still run, by VM.
	// An outage lease is a longer lease that an entry grants while it can't reach the log service.
	Peers interface {
		StopGranting(ctx context.Context, entry string, shardNumber int, epoch uint64) (map[string]time.Duration, error)
	}

	// Clock tells the time. It must also advance while the machine is suspended.
	Clock interface {
		Now() time.Time
	}

	// VM is what an entry knows about a VM, mostly from the heartbeats of its agent.
	VM struct {
		Name string
		// Generation names the current run of the agent's process on the VM.
		Generation string
		DataCentre string
		Rack       string
		Capacity   resource.Amount
		// Free is an estimate of the free resources. Only the agent of the VM knows what fits.
		Free resource.Amount
		// Tasks are the attempts in the last heartbeat of the VM, whichever entries own them.
		Tasks []message.TaskReport

		draining bool
		// silent is true if the last heartbeat is older than silenceTimeout. responsiveElement is the element of the VM
		// in Owner.responsiveVMs, or nil if the VM is silent.
		silent            bool
		responsiveElement *list.Element
		heartbeatSequence uint64
		lastHeartbeatAt   time.Time
		// latencyMeasuredAt is when the latest latency that was passed to the estimator was measured, by service.
		latencyMeasuredAt map[string]time.Time
		// freeLowered is true if Free was lowered because an attempt was not started on the VM. The next heartbeat
		// corrects Free and makes freeLowered false.
		freeLowered bool
		// unreportedSizes holds the resources of attempts that no heartbeat has reported yet, by attempt id. They are
		// either reserved for an attempt or used by one that was started.
		unreportedSizes map[string]resource.Amount
		// attempts holds the attempts of owned shards that run, have run or may run on this VM, by attempt id.
		attempts map[string]*attempt
	}
)
