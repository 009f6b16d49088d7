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
	callTimeout = 2 * time.Second
	maxClients  = 10_000
)

type (
	// clients keeps one connection to each peer address.
	clients struct {
		stamps peer.HybridClock
		mutex  sync.Mutex
		known  map[string]*peer.Client
	}

	// batchLog appends to the region's batch stream for the owner.
	batchLog struct{ appender *appender.Appender }

	// batchStream reads the region's batch stream for the owner.
	batchStream struct{ replay *replayer.Replayer }

	// batchState takes and restores snapshots of the owner's state.
	batchState struct{ entry *Entry }

	// agents calls agents by the name of their VM.
	agents struct{ entry *Entry }

	// confirmer asks other entries whether they have stopped granting leases.
	confirmer struct{ entry *Entry }
)

// at returns the client for the address.
func (c *clients) at(address string) *peer.Client {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.known == nil || len(c.known) >= maxClients {
		for _, k := range c.known {
			k.Close()
		}
		c.known = map[string]*peer.Client{}
	}
	if c.known[address] == nil {
		c.known[address] = &peer.Client{Address: address, Clock: c.stamps}
	}
	return c.known[address]
}

// IssueKey asks the agent at the address for a key.
func (c *clients) IssueKey(ctx context.Context, address string, r message.KeyRequest) (message.KeyResponse, error) {
	var answer message.KeyResponse
	err := c.at(address).Call(ctx, message.MethodKey, r, &answer)
	return answer, err
}

// Append returns an error that wraps owner.ErrNotAppended if the records certainly are not in the stream.
func (l batchLog) Append(ctx context.Context, records ...stream.Record) (uint64, error) {
	switch r := l.appender.Append(ctx, records...); r.Outcome {
	case appender.OutcomeAppended:
		return r.Offset, nil
	case appender.OutcomeNotAppended:
		return 0, eris.Wrap(owner.ErrNotAppended, r.Reason)
	default:
		return 0, eris.Errorf("entry: outcome of the append is unknown: %s", r.Reason)
	}
}

// Receive waits for the next records. It returns an error only when ctx ends.
func (b *batchStream) Receive(ctx context.Context) ([]owner.DeliveredRecord, error) {
	records, err := b.replay.Next(ctx)
	delivered := make([]owner.DeliveredRecord, 0, len(records))
	for _, r := range records {
		delivered = append(delivered, owner.DeliveredRecord(r))
	}
	return delivered, err
}

// Snapshot returns the state of all jobs.
func (b batchState) Snapshot() ([]byte, error) {
	state, _ := b.entry.owner.Snapshot()
	return state, nil
}

// Restore replaces the state of all jobs.
func (b batchState) Restore(data []byte, offset uint64) error {
	return b.entry.owner.Restore(data, offset)
}

// Start starts an attempt at the agent of the VM.
func (a agents) Start(ctx context.Context, vm string, start message.StartRequest) (message.StartResponse, error) {
	var answer message.StartResponse
	err := a.call(ctx, vm, message.MethodStart, start, &answer)
	countCall(message.MethodStart, answer.Started, answer.Reason, err)
	if err == nil {
		// Task events go to the time line only: a log line for each would be hundreds a second.
		a.entry.events.Record("task-start", start.ID(), map[string]string{"vm": vm, "started": boolText(answer.Started), "reason": answer.Reason})
	}
	return answer, err
}

// Stop stops an attempt at the agent of the VM.
func (a agents) Stop(ctx context.Context, vm string, order message.TaskCommand) (message.TaskCommandResponse, error) {
	return a.order(ctx, vm, message.MethodStop, order)
}

// Checkpoint makes a checkpoint of an attempt at the agent of the VM.
func (a agents) Checkpoint(ctx context.Context, vm string, order message.TaskCommand) (message.TaskCommandResponse, error) {
	return a.order(ctx, vm, message.MethodCheckpoint, order)
}

// Throttle sets the share of processors of an attempt at the agent of the VM.
func (a agents) Throttle(ctx context.Context, vm string, order message.TaskCommand) (message.TaskCommandResponse, error) {
	return a.order(ctx, vm, message.MethodThrottle, order)
}

func (a agents) order(ctx context.Context, vm, method string, order message.TaskCommand) (message.TaskCommandResponse, error) {
	var answer message.TaskCommandResponse
	err := a.call(ctx, vm, method, order, &answer)
	countCall(method, answer.Accepted, answer.Reason, err)
	if err == nil {
		a.entry.events.Record("task-"+strings.TrimPrefix(method, "agent."), order.ID(),
			map[string]string{"vm": vm, "accepted": boolText(answer.Accepted), "reason": answer.Reason})
	}
	return answer, err
}

func (a agents) call(ctx context.Context, vm, method string, request, answer any) error {
	member, ok := a.entry.members.Member(vm)
	if !ok || member.Content.PeerAddress == "" {
		return eris.Wrapf(owner.ErrNotSent, "entry: address of %s is not known", vm)
	}
	err := a.entry.clients.at(member.Content.PeerAddress).Call(ctx, method, request, answer)
	if errors.Is(err, peer.ErrNotSent) {
		return eris.Wrap(owner.ErrNotSent, err.Error())
	}
	return err
}

// ConfirmStopped asks the entry for the hold leases that it granted, if it is known and answers.
func (c confirmer) ConfirmStopped(ctx context.Context, entry string, shard int, epoch uint64) (map[string]time.Duration, error) {
	for _, p := range c.entry.live() {
		if p.Entry != entry {
			continue
		}
		var answer message.StopGrantingResponse
		err := c.entry.clients.at(p.Address).Call(ctx, message.MethodStopGranting, message.StopGrantingRequest{Shard: shard, Epoch: epoch}, &answer)
		return answer.OutageLeases, err
	}
	return nil, eris.Wrapf(owner.ErrNotSent, "entry: %s is not reachable", entry)
}

func boolText(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
