package agent

import (
	"context"
	"encoding/json"
	"expvar"
	"strconv"

	"github.com/rotisserie/eris"

	"bamboohook/internal/message"
	"bamboohook/internal/peer"
)

// counters count the outcomes of calls from owners.
var counters = expvar.NewMap("agent")

func (a *Agent) peerServer() *peer.Server {
	s := &peer.Server{Clock: a.events}
	s.Handle(message.MethodStart, call(a.start))
	s.Handle(message.MethodStop, call(a.order("stop", a.supervisor.Stop)))
	s.Handle(message.MethodCheckpoint, call(a.order("checkpoint", a.supervisor.Checkpoint)))
	s.Handle(message.MethodThrottle, call(a.order("throttle", a.supervisor.Throttle)))
	s.Handle(message.MethodKey, call(a.issueKey))
	s.Handle(message.MethodEvents, call(a.eventsAbove))
	return s
}

// call adapts a typed function to a handler.
func call[Q, A any](f func(context.Context, Q) A) peer.Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var request Q
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, eris.Wrap(err, "agent: parameters do not parse")
		}
		return f(ctx, request), nil
	}
}

// start passes a start to the supervisor and counts and records its outcome.
func (a *Agent) start(ctx context.Context, start message.StartRequest) message.StartResponse {
	answer := a.supervisor.Start(ctx, start)
	a.outcome("start", start.ID(), answer.Started, answer.Reason)
	return answer
}

// order passes an order to the supervisor and counts and records its outcome.
func (a *Agent) order(
	name string, act func(context.Context, message.TaskCommand) message.TaskCommandResponse,
) func(context.Context, message.TaskCommand) message.TaskCommandResponse {
	return func(ctx context.Context, order message.TaskCommand) message.TaskCommandResponse {
		answer := act(ctx, order)
		a.outcome(name, order.ID(), answer.Accepted, answer.Reason)
		return answer
	}
}

func (a *Agent) outcome(name, subject string, accepted bool, reason string) {
	if accepted {
		counters.Add(name+"-accepted", 1)
	} else {
		counters.Add(name+"-refused-"+reason, 1)
	}
	a.events.Record("task-"+name, subject, map[string]string{"accepted": strconv.FormatBool(accepted), "reason": reason})
}

func (a *Agent) issueKey(context.Context, message.KeyRequest) message.KeyResponse {
	if a.draining.Load() || a.gateway.Draining() {
		return message.KeyResponse{Reason: message.ReasonDraining}
	}
	key := a.journal.Issue()
	if key == "" {
		return message.KeyResponse{Reason: message.ReasonOverload}
	}
	return message.KeyResponse{Key: key}
}

func (a *Agent) eventsAbove(_ context.Context, r message.EventsRequest) message.EventsResponse {
	answer := message.EventsResponse{Process: a.Settings.Name}
	for _, e := range a.events.EventsAfter(r.AfterSequence, 0) {
		answer.Events = append(answer.Events, message.Event{
			Process: e.Process, Sequence: e.Sequence, Timestamp: e.Nanoseconds, Counter: e.Counter,
			Kind: e.Kind, Subject: e.Subject, Details: e.Details,
		})
	}
	return answer
}

// applyLimits makes the declared slots and connections of the VM upper limits of its endpoint. A VM that is not declared has none.
func (a *Agent) applyLimits(keys map[string]string) {
	// Entries accept only numbers; a text of a newer release sets no limit.
	slots, _ := strconv.Atoi(keys["slots"])
	connections, _ := strconv.Atoi(keys["connections"])
	a.gateway.SetLimits(max(slots, 0), max(connections, 0))
}

// follow fetches the agent's part of the configuration from the entry at the address if its revision is newer.
func (a *Agent) follow(address string, revision uint64) {
	if revision <= a.revision.Load() || !a.fetching.CompareAndSwap(false, true) {
		return
	}
	defer a.fetching.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	client := &peer.Client{Address: address, Clock: a.events}
	defer client.Close()
	var state message.ConfigurationState
	request := message.ConfigurationRequest{SinceRevision: a.revision.Load(), VM: a.Settings.Name}
	if err := client.Call(ctx, message.MethodConfiguration, request, &state); err != nil || state.Revision <= a.revision.Load() {
		return
	}
	a.applyLimits(state.Sections["vm."+a.Settings.Name])
	a.revision.Store(state.Revision)
	a.note("configuration", map[string]string{"revision": strconv.FormatUint(state.Revision, 10), "from": address})
}
