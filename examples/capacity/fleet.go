package main

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"bamboohook/internal/message"
	"bamboohook/resource"
	"bamboohook/task"
)

// The first group of constants describes the size of the installation. The others are assumptions of this program.
const (
	fleetVMs            = 2700
	batchTasks          = 38_000
	jobsPerDay          = 15_000
	peakStartsPerSecond = 220
	teamCount           = 620
	changesPerDay       = 6800
	restartsPerDay      = 910 + 21

	// All regions have the same size. With three entries, a region stays available when it loses one data centre during
	// a rolling restart.
	regionCount      = 4
	entriesPerRegion = 3
	// servicesPerEndpoint is the number of services that one endpoint has. The installation has kindCount
	// services, kindCount kinds of batch tasks and kindCount rules.
	servicesPerEndpoint = 2
	kindCount           = 16

	heartbeatsPerSecond = 2
	secondsPerDay       = 86_400.0
	tasksPerVM          = float64(batchTasks) / fleetVMs
	vmsPerRegion        = fleetVMs / regionCount
	roundedTasksPerVM   = 14
)

// generation identifies one run of a process. It is as long as that of a real process.
const generation = "18a5c6f0d2b3e4f7-ABCDEFGH"

func vmName(n int) string { return fmt.Sprintf("worker-%04d", n) }

// jobName returns a job ID of the same length as those that entries assign.
func jobName(n int) string { return fmt.Sprintf("JOB%023d", n) }

// newHeartbeat returns a heartbeat of the nth VM with all fields that an agent sets.
func newHeartbeat(n int, sequence uint64, serviceCount int, reports []message.TaskReport) message.Heartbeat {
	h := message.Heartbeat{
		VM: vmName(n), Generation: generation, Sequence: sequence, DataCentre: "kingston-a", Rack: fmt.Sprintf("rack-%d", n/3),
		State: message.StateUp, PeerAddress: "10.20.30.40:21001", RequestAddress: "10.20.30.40:21003",
		Capacity:  resource.Amount{MilliProcessors: 64_000, MemoryBytes: 250 << 30, Accelerators: 1},
		Committed: resource.Amount{MilliProcessors: 4500 * int64(len(reports)), MemoryBytes: int64(len(reports)) << 34},
		Revision:  6800, Tasks: reports,
	}
	for s := range serviceCount {
		h.Services = append(h.Services, message.Service{Name: serviceName(s), Slots: 8, Connections: 64, InFlight: 5, Queued: 1})
	}
	return h
}

func serviceName(n int) string { return fmt.Sprintf("preview-%03d", n) }

// runningReports returns reports of running tasks of one VM.
func runningReports(vm, count int) []message.TaskReport {
	reports := make([]message.TaskReport, count)
	for i := range reports {
		reports[i] = runningReport(task.Identity{Job: jobName(vm), Task: i, Attempt: 1, Shard: 3, Epoch: 123_456})
	}
	return reports
}

func runningReport(id task.Identity) message.TaskReport {
	return message.TaskReport{
		Identity: id, State: message.TaskRunning, Progress: 0.4375, UsageAge: 12 * time.Second,
		Usage: resource.Amount{MilliProcessors: 3871, MemoryBytes: 9_134_567_424},
	}
}

// countingListener counts the bytes that the connections of a listener read and write. TCP and IP headers are not
// counted.
type countingListener struct {
	net.Listener
	readBytes, writtenBytes atomic.Int64
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

// Accept waits for the next connection and returns it with byte counting.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l}, err
}

// Read reads from the connection and counts the bytes.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.listener.readBytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.listener.writtenBytes.Add(int64(n))
	return n, err
}
