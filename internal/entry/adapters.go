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
	// maxClients is the maximum number of clients that are cached.
	maxClients = 10_000
)

type (
	// clients caches a client for each address of another process. When it holds maxClients, it closes and
	// removes all.
	clientCache struct {
		hybridClock peer.HybridClock
		mutex       sync.Mutex
		byAddress   map[string]*peer.Client
	}

	// batchWriter appends records to the batch stream of the region. It implements owner.StreamWriter.
	batchWriter struct{ appender *appender.Appender }

	// batchReader reads the batch stream of the region. It implements owner.StreamReader.
	batchReader struct{ replayer *replayer.Replayer }

	// batchStateMachine takes and restores snapshots of the owner's state of all jobs of the region. It implements
	// replayer.StateMachine.
	batchStateMachine struct{ entry *Entry }

	// ownerAgents calls the agents of VMs, by the name of the VM. It implements owner.Agents.
	ownerAgents struct{ entry *Entry }

	// ownerPeers asks other entries to stop granting leases. It implements owner.Peers.
	ownerPeers struct{ entry *Entry }
)

// get returns the client for the address, and creates it if necessary.
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

// RequestKey asks the agent at the address for a key. A key identifies a request for the journal of the agent,
// so that the agent recognises a repetition of the request.
func (c *clientCache) RequestKey(ctx context.Context, address string, r message.KeyRequest) (message.KeyResponse, error) {
	var response message.KeyResponse
	err := c.get(address).Call(ctx, message.MethodKey, r, &response)
	return response, err
}

// Append appends the records to the stream and returns their offset. If they are certainly not in the stream,
// the error wraps owner.ErrNotAppended. After any other error they may be in the stream.
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

// Receive waits for the next records of the stream. It returns an error only when ctx ends.
func (b *batchReader) Receive(ctx context.Context) ([]owner.DeliveredRecord, error) {
	records, err := b.replayer.Next(ctx)
	delivered := make([]owner.DeliveredRecord, 0, len(records))
	for _, r := range records {
		delivered = append(delivered, owner.DeliveredRecord(r))
	}
	return delivered, err
}

// Snapshot returns the state of all jobs.
func (b batchStateMachine) Snapshot() ([]byte, error) {
	state, _ := b.entry.owner.Snapshot()
	return state, nil
}

// Restore replaces the state of all jobs.
func (b batchStateMachine) Restore(data []byte, offset uint64) error {
	return b.entry.owner.Restore(data, offset)
}

// Start asks the agent of the VM to start an attempt.
func (a ownerAgents) Start(ctx context.Context, vm string, start message.StartRequest) (message.StartResponse, error) {
	var response message.StartResponse
	err := a.call(ctx, vm, message.MethodStart, start, &response)
	countCall(message.MethodStart, response.Started, response.Reason, err)
	if err == nil {
		// Task events are only recorded, not logged, because there may be hundreds per second.
		a.entry.events.Record("task-start", start.ID(), map[string]string{"vm": vm, "started": yesNo(response.Started), "reason": response.Reason})
	}
	return response, err
}

// Stop asks the agent of the VM to stop an attempt.
func (a ownerAgents) Stop(ctx context.Context, vm string, command message.TaskCommand) (message.TaskCommandResponse, error) {
	return a.sendCommand(ctx, vm, message.MethodStop, command)
}

// Checkpoint asks the agent of the VM to checkpoint an attempt.
func (a ownerAgents) Checkpoint(ctx context.Context, vm string, command message.TaskCommand) (message.TaskCommandResponse, error) {
	return a.sendCommand(ctx, vm, message.MethodCheckpoint, command)
}

// Throttle asks the agent of the VM to limit an attempt to a fraction of its processors.
func (a ownerAgents) Throttle(ctx context.Context, vm string, command message.TaskCommand) (message.TaskCommandResponse, error) {
	return a.sendCommand(ctx, vm, message.MethodThrottle, command)
}

// sendCommand sends a command for an attempt to the agent of the VM, and counts and records the outcome.
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

// call calls the method of the agent of the VM. If the agent certainly did not receive the call, the error
// wraps owner.ErrNotSent.
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

// StopGranting asks the named entry to stop granting leases for the shard under the epoch and to confirm that.
// It returns how long the outage leases of that entry still run, by VM. An outage lease is the longer lease
// that an entry grants while it has no log contact.
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
