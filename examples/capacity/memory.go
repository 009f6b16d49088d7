package main

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"bamboohook/internal/forwarder"
	"bamboohook/internal/message"
	"bamboohook/internal/peer"
	"bamboohook/journaler"
	"bamboohook/recorder"
	"bamboohook/router"
)

// measureMemory measures the memory of the routing state, the ring buffer of events, the journal of idempotency keys
// and the connections, the processor time of choosing an endpoint and the size of a response with events.
func measureMemory(r *report) error {
	vmCounts := []float64{300, 900, 1800, 2700}
	r.measure("routing-memory", "VMs with 2 services and 14 tasks", "MB", vmCounts, func(n int) float64 {
		return retainedHeap(func() any {
			f := &forwarder.Forwarder{}
			for v := range n {
				f.Observe(newHeartbeat(v, 1, servicesPerEndpoint, runningReports(v, roundedTasksPerVM)))
			}
			return f
		}) / 1e6
	})
	r.measure("services-memory", "services with one endpoint each", "MB", []float64{64, 128, 256, 512}, func(n int) float64 {
		return retainedHeap(func() any {
			f := &forwarder.Forwarder{}
			for v := range n {
				h := newHeartbeat(v, 1, 1, nil)
				h.Services[0].Name = serviceName(v)
				f.Observe(h)
			}
			return f
		}) / 1e6
	})
	r.measure("pick", "endpoints of the service", "µs for a request", vmCounts, func(n int) float64 {
		t := router.New(router.Options{})
		for v := range n {
			t.Report(router.EndpointReport{VM: vmName(v), Generation: generation, Slots: 8, Connections: 64})
		}
		return processorTimePerCall(20_000, func() {
			if c, ok := t.Pick(""); ok {
				t.Done(c, false)
			}
		})
	})
	r.measure("events-memory", "events kept", "MB", []float64{512, 1024, 2048, 4096}, func(n int) float64 {
		return retainedHeap(func() any {
			e := recorder.New(recorder.Options{Process: "entry-1"})
			recordEvents(e, n)
			return e
		}) / 1e6
	})
	link, err := newPeerLink()
	if err != nil {
		return err
	}
	defer link.stop()
	r.measure("events-bytes", "events asked for", "bytes", []float64{512, 1024, 2048, 4096}, func(n int) float64 {
		e := recorder.New(recorder.Options{Process: "entry-1"})
		recordEvents(e, n)
		response := message.EventsResponse{Process: "entry-1"}
		for _, v := range e.EventsAfter(0, 0) {
			response.Events = append(response.Events, message.Event{
				Process: v.Process, Sequence: v.Sequence, Nanoseconds: v.Nanoseconds, Counter: v.Counter, Kind: v.Kind, Subject: v.Subject, Details: v.Details,
			})
		}
		_, responseBytes := link.exchange(message.EventsRequest{}, response)
		return responseBytes
	})
	journalMemory := func(bodyBytes int) func(int) float64 {
		return func(n int) float64 {
			return retainedHeap(func() any {
				j := journaler.New(journaler.Options{VM: vmName(1), Generation: generation})
				for range n {
					key := j.Issue()
					j.Begin(key)
					j.Finish(key, journaler.Response{Status: 200, Body: make([]byte, bodyBytes)})
				}
				return j
			}) / 1e6
		}
	}
	r.measure("journal-memory", "keys without a body", "MB", []float64{1000, 2000, 4000, 8000}, journalMemory(0))
	r.measure("journal-memory-body", "keys with a body of 1 KiB", "MB", []float64{1000, 2000, 4000, 8000}, journalMemory(1024))
	return measureConnections(r, link)
}

// recordEvents records n task starts.
func recordEvents(e *recorder.Recorder, n int) {
	for i := range n {
		e.Record("task-start", fmt.Sprintf("%s/%d/1", jobName(i), i%10), map[string]string{"vm": vmName(i), "started": "yes", "reason": ""})
	}
}

// measureConnections measures the heap and goroutine stacks that both sides of a connection use after one call.
func measureConnections(r *report, link *peerLink) error {
	memoryInUse := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc+m.StackInuse) / 1e6
	}
	var callErr error
	link.response = message.HeartbeatResponse{}
	r.measure("connections-memory", "connections", "MB, both sides", []float64{25, 50, 100, 200}, func(n int) float64 {
		before := memoryInUse()
		clients := make([]*peer.Client, n)
		for i := range clients {
			clients[i] = &peer.Client{Address: link.listener.Addr().String()}
			var response json.RawMessage
			if err := clients[i].Call(context.Background(), message.MethodHeartbeat, newHeartbeat(i, 1, servicesPerEndpoint, runningReports(i, roundedTasksPerVM)), &response); err != nil {
				callErr = err
			}
		}
		growth := memoryInUse() - before
		for _, c := range clients {
			c.Close()
		}
		// The server frees its side of the connections shortly after the clients have closed theirs. The next
		// measurement must not count it.
		time.Sleep(100 * time.Millisecond)
		return growth
	})
	return callErr
}
