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

var taskCounts = []float64{0, 7, 14, 28, 56}

// measureHeartbeats measures the bytes of heartbeats, presence messages and their responses on a connection between a
// peer client and server, and the processor time of decoding heartbeats, of the failure detector and of routing.
func measureHeartbeats(r *report) error {
	link, err := newPeerLink()
	if err != nil {
		return err
	}
	defer link.stop()
	leaseResponse := func(n int) message.HeartbeatResponse {
		response := message.HeartbeatResponse{Revision: 6800, EntryAddresses: addresses(entriesPerRegion)}
		for _, t := range runningReports(1, n) {
			response.Leases = append(response.Leases, message.Lease{Identity: t.Identity, Duration: 10_000_000_000})
		}
		return response
	}
	r.measure("heartbeat-bytes", "tasks of the VM", "bytes", taskCounts, func(n int) float64 {
		requestBytes, _ := link.exchange(newHeartbeat(1, 70_000, servicesPerEndpoint, runningReports(1, n)), leaseResponse(n))
		return requestBytes
	})
	r.measure("answer-bytes", "tasks of the VM", "bytes", taskCounts, func(n int) float64 {
		_, responseBytes := link.exchange(newHeartbeat(1, 70_000, servicesPerEndpoint, runningReports(1, n)), leaseResponse(n))
		return responseBytes
	})
	r.measure("heartbeat-bytes-services", "services of the endpoint", "bytes", []float64{1, 2, 4, 8}, func(n int) float64 {
		requestBytes, _ := link.exchange(newHeartbeat(1, 70_000, n, nil), leaseResponse(0))
		return requestBytes
	})
	r.measure("answer-bytes-entries", "entries", "bytes", []float64{1, 3, 6, 12}, func(n int) float64 {
		_, responseBytes := link.exchange(newHeartbeat(1, 70_000, 1, nil), message.HeartbeatResponse{Revision: 6800, EntryAddresses: addresses(n)})
		return responseBytes
	})
	r.measure("presence-bytes", "entries", "bytes both ways", []float64{1, 3, 6, 12}, func(n int) float64 {
		requestBytes, responseBytes := link.exchange(entryPresence(), message.PresenceResponse{Presence: entryPresence(), EntryAddresses: addresses(n)})
		return requestBytes + responseBytes
	})
	r.measure("decode", "tasks of the VM", "µs", taskCounts, func(n int) float64 { return decodeTime(newHeartbeat(1, 1, servicesPerEndpoint, runningReports(1, n))) })
	r.measure("exchange", "tasks of the VM", "µs, both sides", taskCounts, func(n int) float64 {
		h, response := newHeartbeat(1, 1, servicesPerEndpoint, runningReports(1, n)), leaseResponse(n)
		return processorTimePerCall(100, func() { link.exchange(h, response) })
	})
	r.measure("detector", "VMs heard", "µs", []float64{300, 900, 1800, 2700}, func(n int) float64 {
		d := &detector.Detector[message.Heartbeat]{}
		return processorTimePerHeartbeat(n, servicesPerEndpoint, func(h message.Heartbeat) {
			d.Observe(detector.Heartbeat[message.Heartbeat]{VM: h.VM, Generation: h.Generation, Sequence: h.Sequence, Content: h})
		})
	})
	r.measure("observe", "VMs heard", "µs", []float64{300, 900, 1800, 2700}, func(n int) float64 {
		f := &forwarder.Forwarder{}
		return processorTimePerHeartbeat(n, servicesPerEndpoint, func(h message.Heartbeat) { f.Observe(h) })
	})
	r.measure("observe-services", "services of each of 675 endpoints", "µs", []float64{1, 2, 4, 8}, func(n int) float64 {
		f := &forwarder.Forwarder{}
		return processorTimePerHeartbeat(vmsPerRegion, n, func(h message.Heartbeat) { f.Observe(h) })
	})
	r.measure("members", "VMs heard", "µs, 10 times a second", []float64{300, 900, 1800, 2700}, func(n int) float64 {
		d := &detector.Detector[message.Heartbeat]{}
		processorTimePerHeartbeat(n, servicesPerEndpoint, func(h message.Heartbeat) {
			d.Observe(detector.Heartbeat[message.Heartbeat]{VM: h.VM, Generation: h.Generation, Sequence: h.Sequence, Content: h})
		})
		return processorTimePerCall(50, func() { d.Members() })
	})
	return nil
}

// processorTimePerHeartbeat returns the processor time in microseconds that observe takes for one heartbeat when n VMs
// send heartbeats in turn. The first heartbeat of each VM is not measured.
func processorTimePerHeartbeat(n, serviceCount int, observe func(message.Heartbeat)) float64 {
	heartbeats := make([]message.Heartbeat, n)
	for i := range heartbeats {
		heartbeats[i] = newHeartbeat(i, 0, serviceCount, nil)
	}
	sequence := uint64(0)
	sendHeartbeats := func() {
		sequence++
		for _, h := range heartbeats {
			h.Sequence = sequence
			observe(h)
		}
	}
	sendHeartbeats()
	return processorTimePerCall(max(1, 20_000/n), sendHeartbeats) / float64(n)
}

// decodeTime returns the processor time in microseconds of decoding a heartbeat as a server does: first the header of the frame with the
// timestamp, then the heartbeat.
func decodeTime(h message.Heartbeat) float64 {
	type header struct {
		Sequence uint64             `json:"seq"`
		Method   string             `json:"method"`
		Stamp    recorder.Timestamp `json:"stamp"`
	}
	body, _ := json.Marshal(h)
	var frame bytes.Buffer
	c := codec.Codec{}
	_ = c.WriteFrame(&frame, header{7, message.MethodHeartbeat, recorder.Timestamp{Nanoseconds: 1_800_000_000_000_000_000}}, body)
	return processorTimePerCall(1000, func() {
		var call header
		var decoded message.Heartbeat
		received, err := c.ReadFrame(bufio.NewReader(bytes.NewReader(frame.Bytes())), &call)
		if err != nil || json.Unmarshal(received, &decoded) != nil || decoded.VM != h.VM {
			panic("capacity: cannot decode an encoded heartbeat")
		}
	})
}

func addresses(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = "10.20.30.41:21001"
	}
	return list
}

func entryPresence() message.Presence {
	return message.Presence{
		Entry: "entry-1-" + generation, Generation: generation, DataCentre: "kingston-a", Address: "10.20.30.41:21001",
		Revision: 6800, State: message.StateUp,
	}
}

// peerLink is a server of the peer protocol with one client on loopback. It counts the bytes of both directions. The
// server answers every heartbeat with response.
type peerLink struct {
	listener *countingListener
	client   *peer.Client
	response any
	stop     func()
}

func newPeerLink() (*peerLink, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link := &peerLink{listener: &countingListener{Listener: l}}
	s := &peer.Server{HybridClock: recorder.New(recorder.Options{})}
	s.Handle(message.MethodHeartbeat, func(context.Context, json.RawMessage) (any, error) { return link.response, nil })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, link.listener) }()
	link.client = &peer.Client{Address: l.Addr().String(), HybridClock: recorder.New(recorder.Options{})}
	link.stop = func() {
		link.client.Close()
		cancel()
		<-done
	}
	return link, nil
}

// exchange makes one call, which the server answers with response, and returns the bytes that the server read and
// wrote.
func (l *peerLink) exchange(request, response any) (requestBytes, responseBytes float64) {
	l.response = response
	readBefore, writtenBefore := l.listener.readBytes.Load(), l.listener.writtenBytes.Load()
	var decoded json.RawMessage
	if err := l.client.Call(context.Background(), message.MethodHeartbeat, request, &decoded); err != nil {
		panic("capacity: call over loopback failed: " + err.Error())
	}
	return float64(l.listener.readBytes.Load() - readBefore), float64(l.listener.writtenBytes.Load() - writtenBefore)
}
