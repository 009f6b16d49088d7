package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"

	"bamboohook/detector"
	"bamboohook/internal/codec"
	"bamboohook/internal/forwarder"
	"bamboohook/internal/message"
	"bamboohook/internal/peer"
	"bamboohook/recorder"
)

var taskSizes = []float64{0, 7, 14, 28, 56}

// measureHeartbeats measures the bytes of a heartbeat and its answer between a real client and server, and the
// processor time of decoding it and of the routing part.
func measureHeartbeats(r *report) error {
	wire, err := newWire()
	if err != nil {
		return err
	}
	defer wire.stop()
	leases := func(n int) message.HeartbeatResponse {
		a := message.HeartbeatResponse{Revision: 6800, EntryAddresses: addresses(entriesARegion)}
		for _, t := range running(1, n) {
			a.Leases = append(a.Leases, message.Lease{Identity: t.Identity, Duration: 10_000_000_000})
		}
		return a
	}
	r.measure("heartbeat-bytes", "tasks of the VM", "bytes", taskSizes, func(n int) float64 {
		in, _ := wire.exchange(beat(1, 70_000, services, running(1, n)), leases(n))
		return in
	})
	r.measure("answer-bytes", "tasks of the VM", "bytes", taskSizes, func(n int) float64 {
		_, out := wire.exchange(beat(1, 70_000, services, running(1, n)), leases(n))
		return out
	})
	r.measure("heartbeat-bytes-services", "services of the endpoint", "bytes", []float64{1, 2, 4, 8}, func(n int) float64 {
		in, _ := wire.exchange(beat(1, 70_000, n, nil), leases(0))
		return in
	})
	r.measure("answer-bytes-entries", "entries", "bytes", []float64{1, 3, 6, 12}, func(n int) float64 {
		_, out := wire.exchange(beat(1, 70_000, 1, nil), message.HeartbeatResponse{Revision: 6800, EntryAddresses: addresses(n)})
		return out
	})
	r.measure("presence-bytes", "entries", "bytes both ways", []float64{1, 3, 6, 12}, func(n int) float64 {
		in, out := wire.exchange(presence(), message.PresenceResponse{Presence: presence(), EntryAddresses: addresses(n)})
		return in + out
	})
	r.measure("decode", "tasks of the VM", "µs", taskSizes, func(n int) float64 { return decodeTime(beat(1, 1, services, running(1, n))) })
	r.measure("exchange", "tasks of the VM", "µs, both sides", taskSizes, func(n int) float64 {
		h, a := beat(1, 1, services, running(1, n)), leases(n)
		return perCall(100, func() { wire.exchange(h, a) })
	})
	r.measure("detector", "VMs heard", "µs", []float64{300, 900, 1800, 2700}, func(n int) float64 {
		d := &detector.Detector[message.Heartbeat]{}
		return perRound(n, services, func(h message.Heartbeat) {
			d.Observe(detector.Heartbeat[message.Heartbeat]{VM: h.VM, Generation: h.Generation, Sequence: h.Sequence, Content: h})
		})
	})
	r.measure("observe", "VMs heard", "µs", []float64{300, 900, 1800, 2700}, func(n int) float64 {
		f := &forwarder.Forwarder{}
		return perRound(n, services, func(h message.Heartbeat) { f.Observe(h) })
	})
	r.measure("observe-services", "services of each of 675 endpoints", "µs", []float64{1, 2, 4, 8}, func(n int) float64 {
		f := &forwarder.Forwarder{}
		return perRound(vmsARegion, n, func(h message.Heartbeat) { f.Observe(h) })
	})
	r.measure("members", "VMs heard", "µs, 10 times a second", []float64{300, 900, 1800, 2700}, func(n int) float64 {
		d := &detector.Detector[message.Heartbeat]{}
		perRound(n, services, func(h message.Heartbeat) {
			d.Observe(detector.Heartbeat[message.Heartbeat]{VM: h.VM, Generation: h.Generation, Sequence: h.Sequence, Content: h})
		})
		return perCall(50, func() { d.Members() })
	})
	return nil
}

// perRound returns the processor time for one heartbeat of n VMs that each send several, after a first round.
func perRound(n, numServices int, observe func(message.Heartbeat)) float64 {
	beats := make([]message.Heartbeat, n)
	for i := range beats {
		beats[i] = beat(i, 0, numServices, nil)
	}
	sequence := uint64(0)
	round := func() {
		sequence++
		for _, h := range beats {
			h.Sequence = sequence
			observe(h)
		}
	}
	round()
	return perCall(max(1, 20_000/n), round) / float64(n)
}

// decodeTime returns the time to decode a heartbeat as a server does: the frame with the call, then the envelope with
// the stamp, then the heartbeat.
func decodeTime(h message.Heartbeat) float64 {
	type envelope struct {
		Stamp recorder.Timestamp `json:"stamp"`
		Body  json.RawMessage    `json:"body"`
	}
	type request struct {
		Method string          `json:"method"`
		Params json.RawMessage `json:"params"`
		ID     uint64          `json:"id"`
		Jsonrp string          `json:"jsonrpc"`
	}
	body, _ := json.Marshal(h)
	params, _ := json.Marshal(envelope{recorder.Timestamp{Nanoseconds: 1_800_000_000_000_000_000}, body})
	var frame bytes.Buffer
	c := codec.Codec{}
	_ = c.WriteObject(&frame, request{message.MethodHeartbeat, params, 7, "2.0"})
	return perCall(1000, func() {
		var q request
		var e envelope
		var got message.Heartbeat
		if c.ReadObject(bufio.NewReader(bytes.NewReader(frame.Bytes())), &q) != nil ||
			json.Unmarshal(q.Params, &e) != nil || json.Unmarshal(e.Body, &got) != nil || got.VM != h.VM {
			panic("capacity: a heartbeat does not survive its encoding")
		}
	})
}

func addresses(n int) []string {
	found := make([]string, n)
	for i := range found {
		found[i] = "10.20.30.41:21001"
	}
	return found
}

func presence() message.Presence {
	return message.Presence{
		Entry: "entry-1-" + generation, Generation: generation, DataCentre: "kingston-a", Address: "10.20.30.41:21001",
		Revision: 6800, State: message.StateUp,
	}
}

// wire is a server of the peer protocol with one client; it counts the bytes of both directions.
type wire struct {
	listener *counted
	client   *peer.Client
	answer   any
	stop     func()
}

func newWire() (*wire, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &wire{listener: &counted{Listener: l}}
	s := &peer.Server{Clock: recorder.New(recorder.Options{})}
	s.Handle(message.MethodHeartbeat, func(context.Context, json.RawMessage) (any, error) { return w.answer, nil })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, w.listener) }()
	w.client = &peer.Client{Address: l.Addr().String(), Clock: recorder.New(recorder.Options{})}
	w.stop = func() {
		w.client.Close()
		cancel()
		<-done
	}
	return w, nil
}

// exchange makes one call and returns the bytes that the server read and wrote.
func (w *wire) exchange(request, answer any) (in, out float64) {
	w.answer = answer
	read, written := w.listener.read.Load(), w.listener.written.Load()
	var got json.RawMessage
	if err := w.client.Call(context.Background(), message.MethodHeartbeat, request, &got); err != nil {
		panic("capacity: call on loopback failed: " + err.Error())
	}
	return float64(w.listener.read.Load() - read), float64(w.listener.written.Load() - written)
}
