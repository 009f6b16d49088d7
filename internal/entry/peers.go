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

// newPeerServer returns the server for calls from agents and other entries.
func (e *Entry) newPeerServer() *peer.Server {
	s := &peer.Server{HybridClock: e.events}
	s.Handle(message.MethodHeartbeat, handlerOf(e.handleHeartbeat))
	s.Handle(message.MethodPresence, handlerOf(e.handlePresence))
	s.Handle(message.MethodConfiguration, handlerOf(e.configuration.handleConfiguration))
	s.Handle(message.MethodStopGranting, handlerOf(e.handleStopGranting))
	s.Handle(message.MethodEvents, handlerOf(e.handleEvents))
	return s
}

// handlerOf returns a peer.Handler that parses the parameters of a call and passes them to f.
func handlerOf[Q, A any](f func(context.Context, Q) (A, error)) peer.Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var request Q
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, eris.Wrap(err, "entry: parameters do not parse")
		}
		return f(ctx, request)
	}
}

// handleHeartbeat processes the heartbeat of an agent. The response renews the leases of the agent's tasks and
// contains the addresses of the entries of the region and the revision of the configuration.
func (e *Entry) handleHeartbeat(ctx context.Context, h message.Heartbeat) (message.HeartbeatResponse, error) {
	if !e.configuration.admitsVM(h.VM) {
		// An undeclared VM receives no new work, but its running tasks may finish.
		h.State = message.StateDraining
	}
	e.forwarder.Observe(h)
	response := e.owner.HandleHeartbeat(context.WithoutCancel(ctx), h)
	// Agents send heartbeats only to entries of their own region, because entries of other regions know the
	// configuration but not the tasks of the region.
	response.EntryAddresses = append(peerAddresses(e.regionEntries()), e.Settings.PeerAddress)
	response.Revision, _ = e.configuration.appliedRevision()
	return response, nil
}

// newPresence returns the message with which this entry reports its state to other entries.
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

// handlePresence processes the presence message of another entry and responds with that of this one.
func (e *Entry) handlePresence(_ context.Context, p message.Presence) (message.PresenceResponse, error) {
	e.recordPresence(p)
	return message.PresenceResponse{Presence: e.newPresence(), EntryAddresses: peerAddresses(e.liveEntries())}, nil
}

// handlePresenceResponse processes the response to a presence message. It returns the addresses of the entries to
// which presence messages are to be sent.
func (e *Entry) handlePresenceResponse(_ string, _ time.Time, response message.PresenceResponse) []string {
	e.recordPresence(response.Presence)
	return response.EntryAddresses
}

// recordPresence stores the presence message of another entry. If that entry has a newer configuration,
// recordPresence starts to fetch it. A message of this entry itself is ignored.
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
	// A slow fetch must not delay the response or the next presence message.
	go e.configuration.fetchIfNewer(p.Address, p.Revision)
}

// livePeers returns the other entries that have sent a message within peerTimeout. It removes entries
// without a message for more than an hour.
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

// regionPeers returns the other live entries of the same region.
func (e *Entry) regionEntries() []message.Presence {
	var entries []message.Presence
	for _, p := range e.liveEntries() {
		if p.Region == e.Settings.Region {
			entries = append(entries, p)
		}
	}
	return entries
}

// addresses returns the peer addresses of the entries.
func peerAddresses(entries []message.Presence) []string {
	var list []string
	for _, p := range entries {
		list = append(list, p.Address)
	}
	return list
}

// isSnapshotWriter reports whether this entry should append the snapshots of the stream: no live entry whose
// name sorts before that of this one has read the whole stream. If this is true for two entries at the same
// time, the only effect is a second snapshot.
func (e *Entry) isSnapshotWriter(stream string) bool {
	for _, p := range e.liveEntries() {
		if p.Entry < e.owner.Entry && slices.Contains(p.CompleteStreams, stream) {
			return false
		}
	}
	return true
}

// peerNeedsSnapshot reports whether a live entry has not read the whole stream within replayTimeout after its
// first message. The log may have removed old records that it needs.
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

// completeStreams returns the names of the streams that this entry has read to their end.
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

// countLiveEntries returns the number of entries of the region that accept requests, including this one.
func (e *Entry) countAcceptingEntries() int {
	count := 1
	for _, p := range e.regionEntries() {
		if p.State == message.StateUp {
			count++
		}
	}
	return count
}

// handleStopGranting stops granting leases for a shard in an epoch. It returns how long the outage leases of the
// shard still run, by VM. ownerPeers.StopGranting is the sender.
func (e *Entry) handleStopGranting(_ context.Context, r message.StopGrantingRequest) (message.StopGrantingResponse, error) {
	outageLeases, err := e.owner.StopGranting(r.Shard, r.Epoch)
	return message.StopGrantingResponse{OutageLeases: outageLeases}, err
}

// handleEvents returns the recorded events of this process with sequence numbers above r.AfterSequence.
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

// allEvents collects the events of this entry, the other live entries and all agents.
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
			// The result lacks the events of processes that do not respond.
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
