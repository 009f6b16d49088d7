package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"bamboohook/internal/message"
	"bamboohook/internal/peer"
	"bamboohook/recorder"
	"bamboohook/resource"
	"bamboohook/task"
)

// connectionCount is the number of connections to the entry. The simulated VMs share them.
const connectionCount = 60

// agentSimulation simulates the agents of many VMs. It sends their heartbeats to one entry and confirms every request
// to start a task.
type agentSimulation struct {
	clients  []*peer.Client
	address  string
	stop     func()
	failures atomic.Int64

	mutex sync.Mutex
	vms   []*simulatedVM
}

type simulatedVM struct {
	number   int
	sequence uint64
	tasks    map[string]task.Identity
}

func newAgentSimulation(entryAddress string) (*agentSimulation, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &agentSimulation{address: l.Addr().String()}
	clock := recorder.New(recorder.Options{Process: "agents"})
	server := &peer.Server{HybridClock: clock}
	server.Handle(message.MethodStart, s.handleStart)
	ctx, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	goroutines.Go(func() { _ = server.Run(ctx, l) })
	for n := range connectionCount {
		c := &peer.Client{Address: entryAddress, HybridClock: clock}
		s.clients = append(s.clients, c)
		goroutines.Go(func() {
			defer c.Close()
			s.runHeartbeats(ctx, n)
		})
	}
	s.stop = func() {
		cancel()
		goroutines.Wait()
	}
	return s, nil
}

// runHeartbeats sends the heartbeats of every VM whose number is connection plus a multiple of connectionCount, once in
// each tick interval, until the context ends. The connections start at different times within the interval, so that the
// heartbeats are spread over it.
func (s *agentSimulation) runHeartbeats(ctx context.Context, connection int) {
	time.Sleep(time.Duration(connection) * tickInterval / connectionCount)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		for n := connection; n < s.size(); n += connectionCount {
			var response message.HeartbeatResponse
			if err := s.clients[connection].Call(ctx, message.MethodHeartbeat, s.nextHeartbeat(n), &response); err != nil && ctx.Err() == nil {
				s.failures.Add(1)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// nextHeartbeat returns the next heartbeat of the nth VM and increments its sequence number.
func (s *agentSimulation) nextHeartbeat(n int) message.Heartbeat {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	v := s.vms[n]
	v.sequence++
	reports := make([]message.TaskReport, 0, len(v.tasks))
	for _, id := range v.tasks {
		reports = append(reports, runningReport(id))
	}
	h := newHeartbeat(n, v.sequence, servicesPerEndpoint, reports)
	h.Generation, h.PeerAddress = vmGeneration(n), s.address
	h.Committed = resource.Amount{MilliProcessors: 64_000 / int64(roundedTasksPerVM) * int64(len(reports))}
	return h
}

// vmGeneration returns a generation that contains the number of the VM. A request to start a task does not name the VM
// otherwise.
func vmGeneration(n int) string { return fmt.Sprintf("%016x-%08d", 1_800_000_000_000_000_000, n) }

// handleStart confirms a request to start a task. It reads the number of the VM from the generation.
func (s *agentSimulation) handleStart(_ context.Context, params json.RawMessage) (any, error) {
	var request message.StartRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}
	var number int
	if _, err := fmt.Sscanf(request.Generation[17:], "%d", &number); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.vms[number].tasks[request.ID()] = request.Identity
	return message.StartResponse{Started: true}, nil
}

// grow adds VMs until there are size of them.
func (s *agentSimulation) grow(size int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for n := len(s.vms); n < size; n++ {
		s.vms = append(s.vms, &simulatedVM{number: n, tasks: map[string]task.Identity{}})
	}
}

func (s *agentSimulation) size() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.vms)
}

func (s *agentSimulation) runningTasks() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, v := range s.vms {
		count += len(v.tasks)
	}
	return count
}
