package entry

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/internal/message"
	"bamboohook/internal/peer"
	"bamboohook/merger"
)

// newPeerServer returns the server for the JSON-RPC calls of agents and other entries.
func (e *Entry) newPeerServer() *peer.Server {
	s := &peer.Server{HybridClock: e.events}
	s.Handle(message.MethodHeartbeat, handlerOf(e.handleHeartbeat))
	s.Handle(message.MethodPresence, handlerOf(e.handlePresence))
	s.Handle(message.MethodConfiguration, handlerOf(e.configuration.handleConfiguration))
	s.Handle(message.MethodStopGranting, handlerOf(e.handleStopGranting))
	s.Handle(message.MethodEvents, handlerOf(e.handleEvents))
	return s
}

// handlerOf returns a peer.Handler that decodes the JSON parameters of a call and passes them to f.
func handlerOf[Request, Response any](f func(context.Context, Request) (Response, error)) peer.Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var request Request
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, eris.Wrap(err, "entry: parameters do not parse")
		}
		return f(ctx, request)
	}
}

// handleHeartbeat processes the heartbeat of an agent. The response renews the leases of the agent's tasks. It
// also contains the peer addresses of the entries of the region and the revision of the configuration that this
// entry has.
func (e *Entry) handleHeartbeat(ctx context.Context, h message.Heartbeat) (message.HeartbeatResponse, error) {
	if !e.configuration.admitsVM(h.VM) {
		// A VM that the inventory does not declare receives no new work, but its running tasks may finish.
		h.State = message.StateDraining
	}
	e.forwarder.Observe(h)
	response := e.owner.HandleHeartbeat(context.WithoutCancel(ctx), h)
	// The agent will send heartbeats to these addresses. Entries of other regions are left out, because they do
	// not know the tasks of this region.
	response.EntryAddresses = append(peerAddresses(e.regionEntries()), e.Settings.PeerAddress)
	response.Revision, _ = e.configuration.appliedRevision()
	return response, nil
}

// newPresence returns the presence message, with which this entry reports its state to other entries.
func (e *Entry) newPresence() message.Presence {
	state := message.StateUp
	if !e.forwarder.Ready() {
		state = message.StateDraining
	}
	revision, _ := e.configuration.appliedRevision()
	return message.Presence{
		Revision: revision, Entry: e.owner.Entry, Generation: e.generation, Region: e.Settings.Region, DataCentre: e.Settings.DataCentre,
		Address: e.Settings.PeerAddress, State: state, CompleteStreams: e.completeStreams(),
	}
}

// handlePresence processes the presence message of another entry. It responds with the presence message of this
// entry and the peer addresses of the live entries.
func (e *Entry) handlePresence(_ context.Context, p message.Presence) (message.PresenceResponse, error) {
	e.recordPresence(p)
	return message.PresenceResponse{Presence: e.newPresence(), EntryAddresses: peerAddresses(e.liveEntries())}, nil
}

// handlePresenceResponse processes the response of another entry to a presence message. It returns the peer
// addresses of all entries to which presence messages are to be sent.
func (e *Entry) handlePresenceResponse(_ string, _ time.Time, response message.PresenceResponse) []string {
	e.recordPresence(response.Presence)
	return response.EntryAddresses
}

// recordPresence stores the presence message of another entry. If that entry has a newer revision of the
// configuration, recordPresence fetches it in the background. A presence message of this entry itself is
// ignored.
func (e *Entry) recordPresence(p message.Presence) {
	if p.Address == e.Settings.PeerAddress {
		return
	}
	e.mutex.Lock()
	now := e.clock.Now()
	previous, known := e.entryStates[p.Address]
	firstSeen := previous.firstSeen
	if previous.presence.Generation != p.Generation {
		firstSeen = now
	}
	e.entryStates[p.Address] = entryState{presence: p, lastSeen: now, firstSeen: firstSeen}
	e.mutex.Unlock()
	if !known || previous.presence.Generation != p.Generation {
		e.recordEvent("entry-seen", p.Entry, map[string]string{"address": p.Address})
	}
	// A slow fetch must not delay the response to this presence message or the next presence message.
	go e.configuration.followEntry(p)
}

// liveEntries returns the last presence messages of the other entries that have sent one within entryTimeout.
// It removes entries that have not sent one for more than an hour.
func (e *Entry) liveEntries() []message.Presence {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var entries []message.Presence
	for address, p := range e.entryStates {
		switch sinceLastSeen := e.clock.Now().Sub(p.lastSeen); {
		case sinceLastSeen <= entryTimeout:
			entries = append(entries, p.presence)
		case sinceLastSeen > time.Hour:
			delete(e.entryStates, address)
		}
	}
	return entries
}

// regionEntries returns the last presence messages of the other live entries in the region of this entry.
func (e *Entry) regionEntries() []message.Presence {
	var entries []message.Presence
	for _, p := range e.liveEntries() {
		if p.Region == e.Settings.Region {
			entries = append(entries, p)
		}
	}
	return entries
}

// peerAddresses returns the peer addresses in the presence messages of entries.
func peerAddresses(entries []message.Presence) []string {
	var list []string
	for _, p := range entries {
		list = append(list, p.Address)
	}
	return list
}

// isSnapshotWriter reports whether this entry should append the snapshots of the stream. It returns false if
// another live entry has read the whole stream and has a name that sorts before the name of this entry. If two
// entries append snapshots at the same time, the only effect is a second snapshot.
func (e *Entry) isSnapshotWriter(stream string) bool {
	for _, p := range e.liveEntries() {
		if p.Entry < e.owner.Entry && slices.Contains(p.CompleteStreams, stream) {
			return false
		}
	}
	return true
}

// entryNeedsSnapshot reports whether a live entry has not read the whole stream within replayTimeout after its
// first presence message. The cause may be that the log has removed old records that the entry needs. The batch
// stream of a region is read only by the entries of the region.
func (e *Entry) entryNeedsSnapshot(stream string) bool {
	entries := e.liveEntries()
	if stream != configurationStream {
		entries = e.regionEntries()
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, p := range entries {
		if !slices.Contains(p.CompleteStreams, stream) && e.clock.Now().Sub(e.entryStates[p.Address].firstSeen) > replayTimeout {
			return true
		}
	}
	return false
}

// completeStreams returns the names of the streams of the log that this entry has read to their end.
func (e *Entry) completeStreams() []string {
	var names []string
	if e.configuration.replayer.CaughtUp() {
		names = append(names, configurationStream)
	}
	if e.batchReader.replayer.CaughtUp() {
		names = append(names, batchStreamPrefix+e.Settings.Region)
	}
	return names
}

// countAcceptingEntries returns the number of live entries of the region that accept requests. It always counts
// this entry.
func (e *Entry) countAcceptingEntries() int {
	count := 1
	for _, p := range e.regionEntries() {
		if p.State == message.StateUp {
			count++
		}
	}
	return count
}

// handleStopGranting makes this entry grant no more leases for the tasks of a shard that it owned in the epoch
// r.Epoch. Each new owner of a shard gets a higher epoch. The response says how long the outage leases of the
// shard still run, by VM. An entry grants outage leases, which are longer than others, while it cannot reach
// the log. Other entries call this method through ownerPeers.StopGranting.
func (e *Entry) handleStopGranting(_ context.Context, r message.StopGrantingRequest) (message.StopGrantingResponse, error) {
	outageLeases, err := e.owner.StopGranting(r.Shard, r.Epoch)
	return message.StopGrantingResponse{OutageLeases: outageLeases}, err
}

// handleEvents returns the events that this entry has recorded and whose sequence numbers are greater than
// r.AfterSequence.
func (e *Entry) handleEvents(_ context.Context, r message.EventsRequest) (message.EventsResponse, error) {
	response := message.EventsResponse{Process: e.Settings.Name}
	for _, v := range e.events.EventsAfter(r.AfterSequence, 0) {
		response.Events = append(response.Events, message.Event{
			Process: v.Process, Sequence: v.Sequence, Nanoseconds: v.Nanoseconds, Counter: v.Counter,
			Kind: v.Kind, Subject: v.Subject, Details: v.Details,
		})
	}
	return response, nil
}

// allEvents collects the recorded events of this entry, of the other live entries and of all agents with a
// known peer address.
func (e *Entry) allEvents(ctx context.Context) []merger.Event {
	ownResponse, _ := e.handleEvents(ctx, message.EventsRequest{})
	events := toMergerEvents(ownResponse.Events)
	processAddresses := peerAddresses(e.liveEntries())
	for _, m := range e.detector.Members() {
		if m.Content.PeerAddress != "" {
			processAddresses = append(processAddresses, m.Content.PeerAddress)
		}
	}
	responses := make(chan []message.Event, len(processAddresses))
	for _, address := range processAddresses {
		go func() {
			var response message.EventsResponse
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			// The events of a process that does not respond are left out.
			_ = e.clients.get(address).Call(callCtx, message.MethodEvents, message.EventsRequest{}, &response)
			responses <- response.Events
		}()
	}
	for range processAddresses {
		events = append(events, toMergerEvents(<-responses)...)
	}
	return events
}

func toMergerEvents(events []message.Event) []merger.Event {
	converted := make([]merger.Event, 0, len(events))
	for _, v := range events {
		converted = append(converted, merger.Event(v))
	}
	return converted
}
