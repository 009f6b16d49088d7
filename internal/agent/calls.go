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

// counters holds the numbers of calls from entries that start, stop, checkpoint or throttle task attempts,
// by method and outcome.
var counters = expvar.NewMap("agent")

// newPeerServer returns the server for the JSON-RPC calls of entries.
func (a *Agent) newPeerServer() *peer.Server {
	s := &peer.Server{HybridClock: a.events}
	s.Handle(message.MethodStart, handlerOf(a.handleStart))
	s.Handle(message.MethodStop, handlerOf(a.commandHandler("stop", a.supervisor.Stop)))
	s.Handle(message.MethodCheckpoint, handlerOf(a.commandHandler("checkpoint", a.supervisor.Checkpoint)))
	s.Handle(message.MethodThrottle, handlerOf(a.commandHandler("throttle", a.supervisor.Throttle)))
	s.Handle(message.MethodIssueKey, handlerOf(a.handleKey))
	s.Handle(message.MethodEvents, handlerOf(a.handleEvents))
	return s
}

// handlerOf returns a peer.Handler that decodes the JSON parameters of a call and passes them to f.
func handlerOf[Request, Response any](f func(context.Context, Request) Response) peer.Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var request Request
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, eris.Wrap(err, "agent: parameters do not parse")
		}
		return f(ctx, request), nil
	}
}

// handleStart passes a request to start a task attempt to the supervisor and records the outcome.
func (a *Agent) handleStart(ctx context.Context, start message.StartRequest) message.StartResponse {
	response := a.supervisor.Start(ctx, start)
	a.recordOutcome("start", start.ID(), response.Started, response.Reason)
	return response
}

// commandHandler returns a handler that calls execute, a method of the supervisor, with a command for a
// task attempt, and records the outcome under callName.
func (a *Agent) commandHandler(
	callName string, execute func(context.Context, message.TaskCommand) message.TaskCommandResponse,
) func(context.Context, message.TaskCommand) message.TaskCommandResponse {
	return func(ctx context.Context, command message.TaskCommand) message.TaskCommandResponse {
		response := execute(ctx, command)
		a.recordOutcome(callName, command.ID(), response.Accepted, response.Reason)
		return response
	}
}

// recordOutcome counts the outcome of a call for the task attempt with the ID and records it as an event.
// callName is start, stop, checkpoint or throttle.
func (a *Agent) recordOutcome(callName, attemptID string, accepted bool, reason string) {
	if accepted {
		counters.Add(callName+"-accepted", 1)
	} else {
		counters.Add(callName+"-refused-"+reason, 1)
	}
	a.events.Record("task-"+callName, attemptID, map[string]string{"accepted": strconv.FormatBool(accepted), "reason": reason})
}

// handleKey issues a key for a request that an entry is about to forward to this agent. The entry sends the
// key with the request, so that the journal of the agent recognises a repetition of the request.
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

// handleEvents returns the events that this agent has recorded and whose sequence numbers are greater than
// r.AfterSequence.
func (a *Agent) handleEvents(_ context.Context, r message.EventsRequest) message.EventsResponse {
	response := message.EventsResponse{Process: a.Settings.Name}
	for _, e := range a.events.EventsAfter(r.AfterSequence, 0) {
		response.Events = append(response.Events, message.Event{
			Process: e.Process, Sequence: e.Sequence, Nanoseconds: e.Nanoseconds, Counter: e.Counter,
			Kind: e.Kind, Subject: e.Subject, Details: e.Details,
		})
	}
	return response
}

// applyLimits sets the limits for the endpoint that the section of the VM in the configuration holds:
// slots, which is the maximum number of concurrent requests, and connections, which is the maximum number
// of connections. A limit that is not in the section is removed.
func (a *Agent) applyLimits(section map[string]string) {
	// Entries accept only numbers as values, so a value that is not a number was accepted by an entry of a
	// newer release. It is treated as no limit.
	slots, _ := strconv.Atoi(section["slots"])
	connections, _ := strconv.Atoi(section["connections"])
	a.gateway.SetLimits(max(slots, 0), max(connections, 0))
}

// fetchIfNewer fetches the configuration of this VM from the entry at the address and applies it, if
// revision, the one that the entry has, is newer than the applied one. While another fetch is in progress,
// fetchIfNewer does nothing.
func (a *Agent) fetchIfNewer(address string, revision uint64) {
	if revision <= a.revision.Load() || !a.fetching.CompareAndSwap(false, true) {
		return
	}
	defer a.fetching.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	client := &peer.Client{Address: address, HybridClock: a.events}
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
