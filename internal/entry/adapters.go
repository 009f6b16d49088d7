package entry

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/appender"
	"bamboohook/internal/message"
	"bamboohook/internal/owner"
	"bamboohook/internal/peer"
	"bamboohook/internal/replayer"
	"bamboohook/stream"
)

const (
	// callTimeout is the timeout of a call to another process.
	callTimeout = 2 * time.Second
	// maxClients is the maximum number of clients that a clientCache holds.
	maxClients = 10_000
)

type (
	// clientCache holds a client for calls to each address of another process. When it holds maxClients
	// clients and needs another one, it closes and removes all clients that it holds.
	clientCache struct {
		hybridClock peer.HybridClock
		mutex       sync.Mutex
		byAddress   map[string]*peer.Client
	}

	// batchWriter appends records to the batch stream, the stream of the replicated log that records the batch
	// jobs of the region. It implements owner.StreamWriter.
	batchWriter struct{ appender *appender.Appender }

	// batchReader reads the batch stream, the stream of the replicated log that records the batch jobs of the
	// region. It implements owner.StreamReader.
	batchReader struct{ replayer *replayer.Replayer }

	// batchStateMachine takes and restores snapshots of the state of all jobs of the region, which Entry.owner
	// computes from the batch stream. It implements replayer.StateMachine.
	batchStateMachine struct{ entry *Entry }

	// ownerAgents makes calls to the agents of VMs, which it finds by the name of the VM. It implements
	// owner.Agents.
	ownerAgents struct{ entry *Entry }

	// ownerPeers asks other entries to stop granting leases. It implements owner.Peers.
	ownerPeers struct{ entry *Entry }
)

// get returns the client for calls to the address. If there is none, it creates one.
func (c *clientCache) get(address string) *peer.Client {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.byAddress == nil || len(c.byAddress) >= maxClients {
		for _, client := range c.byAddress {
			client.Close()
		}
		c.byAddress = map[string]*peer.Client{}
	}
	if c.byAddress[address] == nil {
		c.byAddress[address] = &peer.Client{Address: address, HybridClock: c.hybridClock}
	}
	return c.byAddress[address]
}

// RequestKey asks the agent at the address for a key. A key identifies a request in the journal of the agent,
// so that the agent recognises a repetition of the request.
func (c *clientCache) RequestKey(ctx context.Context, address string, r message.KeyRequest) (message.KeyResponse, error) {
	var response message.KeyResponse
	err := c.get(address).Call(ctx, message.MethodIssueKey, r, &response)
	return response, err
}

// Append appends the records to the batch stream and returns their offset. If they are certainly not in the
// stream, the error wraps owner.ErrNotAppended. After any other error they may be in the stream.
func (w batchWriter) Append(ctx context.Context, records ...stream.Record) (uint64, error) {
	switch r := w.appender.Append(ctx, records...); r.Outcome {
	case appender.OutcomeAppended:
		return r.Offset, nil
	case appender.OutcomeNotAppended:
		return 0, eris.Wrap(owner.ErrNotAppended, r.Reason)
	default:
		return 0, eris.Errorf("entry: outcome of the append is unknown: %s", r.Reason)
	}
}

// Receive waits for the next records of the batch stream and returns them. It returns an error only when ctx
// ends.
func (b *batchReader) Receive(ctx context.Context) ([]owner.DeliveredRecord, error) {
	records, err := b.replayer.Next(ctx)
	delivered := make([]owner.DeliveredRecord, 0, len(records))
	for _, r := range records {
		delivered = append(delivered, owner.DeliveredRecord(r))
	}
	return delivered, err
}

// Snapshot returns the encoded state of all jobs of the region.
func (b batchStateMachine) Snapshot() ([]byte, error) {
	state, _ := b.entry.owner.Snapshot()
	return state, nil
}

// Restore replaces the state of all jobs of the region by that of the snapshot in data, which covers the batch
// stream up to the offset.
func (b batchStateMachine) Restore(data []byte, offset uint64) error {
	return b.entry.owner.Restore(data, offset)
}

// Start asks the agent of the VM to start an attempt, which is one execution of a task. It counts and records
// the outcome.
func (a ownerAgents) Start(ctx context.Context, vm string, start message.StartRequest) (message.StartResponse, error) {
	var response message.StartResponse
	err := a.call(ctx, vm, message.MethodStart, start, &response)
	countCall(message.MethodStart, response.Started, response.Reason, err)
	if err == nil {
		// This event is recorded but not logged, because there may be hundreds of starts per second.
		a.entry.events.Record("task-start", start.ID(), map[string]string{"vm": vm, "started": yesNo(response.Started), "reason": response.Reason})
	}
	return response, err
}

// Stop asks the agent of the VM to stop an attempt, which is one execution of a task.
func (a ownerAgents) Stop(ctx context.Context, vm string, command message.TaskCommand) (message.TaskCommandResponse, error) {
	return a.sendCommand(ctx, vm, message.MethodStop, command)
}

// Checkpoint asks the agent of the VM to make a checkpoint of an attempt, which is one execution of a task.
func (a ownerAgents) Checkpoint(ctx context.Context, vm string, command message.TaskCommand) (message.TaskCommandResponse, error) {
	return a.sendCommand(ctx, vm, message.MethodCheckpoint, command)
}

// Throttle asks the agent of the VM to limit an attempt, which is one execution of a task, to the fraction
// command.Share of its processors.
func (a ownerAgents) Throttle(ctx context.Context, vm string, command message.TaskCommand) (message.TaskCommandResponse, error) {
	return a.sendCommand(ctx, vm, message.MethodThrottle, command)
}

// sendCommand calls the method of the agent of the VM with a command for an attempt, and counts and records the
// outcome.
func (a ownerAgents) sendCommand(ctx context.Context, vm, method string, command message.TaskCommand) (message.TaskCommandResponse, error) {
	var response message.TaskCommandResponse
	err := a.call(ctx, vm, method, command, &response)
	countCall(method, response.Accepted, response.Reason, err)
	if err == nil {
		a.entry.events.Record("task-"+strings.TrimPrefix(method, "agent."), command.ID(),
			map[string]string{"vm": vm, "accepted": yesNo(response.Accepted), "reason": response.Reason})
	}
	return response, err
}

// call calls the method of the agent of the VM and decodes the result into response. If the agent certainly did
// not receive the call, the error wraps owner.ErrNotSent.
func (a ownerAgents) call(ctx context.Context, vm, method string, request, response any) error {
	member, ok := a.entry.detector.Member(vm)
	if !ok || member.Content.PeerAddress == "" {
		return eris.Wrapf(owner.ErrNotSent, "entry: no peer address is known for VM %s", vm)
	}
	err := a.entry.clients.get(member.Content.PeerAddress).Call(ctx, method, request, response)
	if errors.Is(err, peer.ErrNotSent) {
		return eris.Wrap(owner.ErrNotSent, err.Error())
	}
	return err
}

// StopGranting asks the named entry, which owned the shard in the given epoch, to grant no more leases for the
// tasks of the shard. Each new owner of a shard gets a higher epoch. StopGranting returns how long the outage
// leases for the shard still run on each VM. An entry grants outage leases, which are longer than others, while
// it cannot reach the log.
func (c ownerPeers) StopGranting(ctx context.Context, entryName string, shard int, epoch uint64) (map[string]time.Duration, error) {
	for _, p := range c.entry.liveEntries() {
		if p.Entry != entryName {
			continue
		}
		var response message.StopGrantingResponse
		err := c.entry.clients.get(p.Address).Call(ctx, message.MethodStopGranting, message.StopGrantingRequest{Shard: shard, Epoch: epoch}, &response)
		return response.OutageLeases, err
	}
	return nil, eris.Wrapf(owner.ErrNotSent, "entry: entry %s is not among the live entries", entryName)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
