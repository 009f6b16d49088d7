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

// counters holds the numbers of calls from owners by method and outcome.
var counters = expvar.NewMap("agent")

func (a *Agent) newPeerServer() *peer.Server {
	s := &peer.Server{Clock: a.events}
	s.Handle(message.MethodStart, handlerOf(a.handleStart))
	s.Handle(message.MethodStop, handlerOf(a.commandHandler("stop", a.supervisor.Stop)))
	s.Handle(message.MethodCheckpoint, handlerOf(a.commandHandler("checkpoint", a.supervisor.Checkpoint)))
	s.Handle(message.MethodThrottle, handlerOf(a.commandHandler("throttle", a.supervisor.Throttle)))
	s.Handle(message.MethodKey, handlerOf(a.handleKey))
	s.Handle(message.MethodEvents, handlerOf(a.handleEvents))
	return s
}

// handlerOf adapts a typed function to a peer.Handler.
func handlerOf[Q, A any](f func(context.Context, Q) A) peer.Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var request Q
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, eris.Wrap(err, "agent: cannot parse the parameters")
		}
		return f(ctx, request), nil
	}
}

// handleStart passes a start request to the supervisor and records the outcome.
func (a *Agent) handleStart(ctx context.Context, start message.StartRequest) message.StartResponse {
	response := a.supervisor.Start(ctx, start)
	a.recordOutcome("start", start.ID(), response.Started, response.Reason)
	return response
}

// commandHandler returns a handler that passes a command to the supervisor and records the outcome.
func (a *Agent) commandHandler(
	name string, execute func(context.Context, message.TaskCommand) message.TaskCommandResponse,
) func(context.Context, message.TaskCommand) message.TaskCommandResponse {
	return func(ctx context.Context, command message.TaskCommand) message.TaskCommandResponse {
		response := execute(ctx, command)
		a.recordOutcome(name, command.ID(), response.Accepted, response.Reason)
		return response
	}
}

func (a *Agent) recordOutcome(name, subject string, accepted bool, reason string) {
	if accepted {
		counters.Add(name+"-accepted", 1)
	} else {
		counters.Add(name+"-refused-"+reason, 1)
	}
	a.events.Record("task-"+name, subject, map[string]string{"accepted": strconv.FormatBool(accepted), "reason": reason})
}

func (a *Agent) handleKey(context.Context, message.KeyRequest) message.KeyResponse {
	if a.draining.Load() || a.gateway.Draining() {
		return message.KeyResponse{Reason: message.ReasonDraining}
	}
	key := a.journal.Issue()
	if key == "" {
		return message.KeyResponse{Reason: message.ReasonOverload}
	}
	return message.KeyResponse{Key: key}
}

func (a *Agent) handleEvents(_ context.Context, r message.EventsRequest) message.EventsResponse {
	response := message.EventsResponse{Process: a.Settings.Name}
	for _, e := range a.events.EventsAfter(r.AfterSequence, 0) {
		response.Events = append(response.Events, message.Event{
			Process: e.Process, Sequence: e.Sequence, Timestamp: e.Nanoseconds, Counter: e.Counter,
			Kind: e.Kind, Subject: e.Subject, Details: e.Details,
		})
	}
	return response
}

// applyLimits applies the slots and connections declared for the VM as upper limits of its endpoint. An
// undeclared VM has no limits.
func (a *Agent) applyLimits(keys map[string]string) {
	// Entries accept only numbers. A value in the format of a newer release sets no limit.
	slots, _ := strconv.Atoi(keys["slots"])
	connections, _ := strconv.Atoi(keys["connections"])
	a.gateway.SetLimits(max(slots, 0), max(connections, 0))
}

// fetchConfiguration fetches the section of this VM from the entry at the address if the entry's revision
// is newer, and applies it.
func (a *Agent) fetchConfiguration(address string, revision uint64) {
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
	a.recordEvent("configuration", map[string]string{"revision": strconv.FormatUint(state.Revision, 10), "from": address})
}
