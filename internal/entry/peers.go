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

func (e *Entry) peerServer() *peer.Server {
	s := &peer.Server{Clock: e.events}
	s.Handle(message.MethodHeartbeat, call(e.heartbeat))
	s.Handle(message.MethodPresence, call(e.greet))
	s.Handle(message.MethodConfiguration, call(e.configuration.answer))
	s.Handle(message.MethodStopGranting, call(e.confirmStopped))
	s.Handle(message.MethodEvents, call(e.eventsAbove))
	return s
}

// call adapts a typed function to a handler.
func call[Q, A any](f func(context.Context, Q) (A, error)) peer.Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var request Q
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, eris.Wrap(err, "entry: parameters do not parse")
		}
		return f(ctx, request)
	}
}

// heartbeat takes the heartbeat of an agent and answers with the leases of its tasks.
func (e *Entry) heartbeat(ctx context.Context, h message.Heartbeat) (message.HeartbeatResponse, error) {
	if !e.configuration.declares(h.VM) {
		// It gets no new work, and what it runs may end.
		h.State = message.StateDraining
	}
	e.forwarder.Observe(h)
	answer := e.owner.Heartbeat(context.WithoutCancel(ctx), h)
	// Agents follow the entries of their own region only; those of others know the configuration but not its tasks.
	answer.EntryAddresses = append(addresses(e.neighbours()), e.Settings.PeerAddress)
	answer.Revision, _ = e.configuration.inEffect()
	return answer, nil
}

func (e *Entry) self() message.Presence {
	state := message.StateUp
	if !e.forwarder.Ready() {
		state = message.StateDraining
	}
	revision, _ := e.configuration.inEffect()
	return message.Presence{
		Revision: revision, Entry: e.owner.Entry, Generation: e.generation, Region: e.Settings.Region, DataCentre: e.Settings.DataCentre,
		Address: e.Settings.PeerAddress, State: state, CompleteStreams: e.complete(),
	}
}

func (e *Entry) greet(_ context.Context, p message.Presence) (message.PresenceResponse, error) {
	e.meet(p)
	return message.PresenceResponse{Presence: e.self(), EntryAddresses: addresses(e.live())}, nil
}

func (e *Entry) greeted(_ string, _ time.Time, answer message.PresenceResponse) []string {
	e.meet(answer.Presence)
	return answer.EntryAddresses
}

func (e *Entry) meet(p message.Presence) {
	if p.Address == e.Settings.PeerAddress {
		return
	}
	e.mutex.Lock()
	now := e.clock.Now()
	before, known := e.entries[p.Address]
	since := before.since
	if before.peer.Generation != p.Generation {
		since = now
	}
	e.entries[p.Address] = peerState{peer: p, seen: now, since: since}
	e.mutex.Unlock()
	if !known || before.peer.Generation != p.Generation {
		e.note("entry-seen", p.Entry, map[string]string{"address": p.Address})
	}
	// A slow fetch must not delay the next message.
	go e.configuration.heard(p.Address, p.Revision)
}

// live returns the other entries that were heard from lately, and forgets those that have been silent for long.
func (e *Entry) live() []message.Presence {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var found []message.Presence
	for address, p := range e.entries {
		switch silence := e.clock.Now().Sub(p.seen); {
		case silence <= peerSilence:
			found = append(found, p.peer)
		case silence > time.Hour:
			delete(e.entries, address)
		}
	}
	return found
}

// neighbours returns the live entries of the same region.
func (e *Entry) neighbours() []message.Presence {
	var found []message.Presence
	for _, p := range e.live() {
		if p.Region == e.Settings.Region {
			found = append(found, p)
		}
	}
	return found
}

func addresses(peers []message.Presence) []string {
	var found []string
	for _, p := range peers {
		found = append(found, p.Address)
	}
	return found
}

// elected reports whether this entry has the first name among the live ones that hold the state of the stream. Two
// entries may believe so at the same time, which costs a second snapshot and nothing else.
func (e *Entry) elected(stream string) bool {
	for _, p := range e.live() {
		if p.Entry < e.owner.Entry && slices.Contains(p.CompleteStreams, stream) {
			return false
		}
	}
	return true
}

// wanted reports whether a live entry still lacks the state of the stream after the time in which a normal start reads it.
// Its part of the stream may be gone.
func (e *Entry) wanted(stream string) bool {
	peers := e.live()
	if stream != streamConfiguration {
		peers = e.neighbours()
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, p := range peers {
		if !slices.Contains(p.CompleteStreams, stream) && e.clock.Now().Sub(e.entries[p.Address].since) > replayTime {
			return true
		}
	}
	return false
}

// complete lists the streams whose state this entry holds up to their end.
func (e *Entry) complete() []string {
	var names []string
	if e.configuration.replay.CaughtUp() {
		names = append(names, streamConfiguration)
	}
	if e.batch.replay.CaughtUp() {
		names = append(names, streamBatch+e.Settings.Region)
	}
	return names
}

// liveEntries counts the entries of the region that accept requests, this one included.
func (e *Entry) liveEntries() int {
	count := 1
	for _, p := range e.neighbours() {
		if p.State == message.StateUp {
			count++
		}
	}
	return count
}

func (e *Entry) confirmStopped(_ context.Context, r message.StopGrantingRequest) (message.StopGrantingResponse, error) {
	holds, err := e.owner.ConfirmStopped(r.Shard, r.Epoch)
	return message.StopGrantingResponse{OutageLeases: holds}, err
}

func (e *Entry) eventsAbove(_ context.Context, r message.EventsRequest) (message.EventsResponse, error) {
	answer := message.EventsResponse{Process: e.Settings.Name}
	for _, v := range e.events.EventsAfter(r.AfterSequence, 0) {
		answer.Events = append(answer.Events, message.Event{
			Process: v.Process, Sequence: v.Sequence, Timestamp: v.Nanoseconds, Counter: v.Counter,
			Kind: v.Kind, Subject: v.Subject, Details: v.Details,
		})
	}
	return answer, nil
}

// allEvents collects the events of this process, the other entries and all agents that answer.
func (e *Entry) allEvents(ctx context.Context) []merger.Event {
	own, _ := e.eventsAbove(ctx, message.EventsRequest{})
	found := mergerEvents(own.Events)
	targets := addresses(e.live())
	for _, m := range e.members.Members() {
		if m.Content.PeerAddress != "" {
			targets = append(targets, m.Content.PeerAddress)
		}
	}
	answers := make(chan []message.Event, len(targets))
	for _, address := range targets {
		go func() {
			var answer message.EventsResponse
			limit, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			// A process that does not answer is missing in the time line, which then shows the others.
			_ = e.clients.at(address).Call(limit, message.MethodEvents, message.EventsRequest{}, &answer)
			answers <- answer.Events
		}()
	}
	for range targets {
		found = append(found, mergerEvents(<-answers)...)
	}
	return found
}

func mergerEvents(events []message.Event) []merger.Event {
	converted := make([]merger.Event, 0, len(events))
	for _, v := range events {
		converted = append(converted, merger.Event(v))
	}
	return converted
}
