package cli

import (
	"cmp"
	"time"

	"github.com/rs/zerolog"

	"bamboohook/internal/codec"
	"bamboohook/internal/fleet/limiter"
	"bamboohook/internal/fleet/meter"
	"bamboohook/platform"
)

const (
	// defaultMemoryBytes and defaultDescriptors are the limits of a process whose settings contain none: the smallest ones of the platform.
	defaultMemoryBytes = 152 << 20
	defaultDescriptors = 4096
	// reservedDescriptors is the number of descriptors for files.
	reservedDescriptors = 200
	// connectionBytes is the memory of a connection without headers and messages: 16 kB for goroutines and buffers, and 32 kB that the kernel has received.
	connectionBytes = 48 << 10
	// headerFactor is the memory that a byte of headers takes at most: lines of 4 bytes.
	headerFactor = 32
	// receiveBufferBytes and sendBufferBytes are the kernel's buffers of a connection with HTTP, which the kernel doubles. 16 kB are enough for 10 Mbit/s
	// and a round trip of 25 ms. peerBufferBytes is the receive buffer for calls between processes, whose frames are up to 8 MiB.
	receiveBufferBytes = 16 << 10
	sendBufferBytes    = 32 << 10
	peerBufferBytes    = 64 << 10
	// writeTimeout is the time in which a client must take a response, and peerWriteTimeout that for responses between processes, of which the largest
	// takes 6.7 s at 10 Mbit/s.
	writeTimeout     = 10 * time.Second
	peerWriteTimeout = 15 * time.Second
	// minConnections is the lowest limit for the connections of a part.
	minConnections = 16
	// wholeShare is the share of the whole budget.
	wholeShare = 100
)

type (
	// share is what clients of one kind may use of the budget of the process, in hundredths. Descriptors are those that are not reserved for files. The rest
	// of the descriptors is for outgoing connections, and the rest of the memory for everything else.
	share struct {
		descriptors, connectionMemory, headerMemory, messageMemory int
		peers                                                      bool
	}

	// monotonicClock is a clock that only moves forward. Unlike boottimer.Clock, it needs no system call, because it is read several times for each request.
	monotonicClock struct{}

	// budget creates the limiters of a process from its settings.
	budget struct {
		settings platform.Settings
		logger   zerolog.Logger
		meter    *meter.Meter
	}
)

// Shares of an entry and of an agent. The largest entries have 300 agents and about 60 other entries as clients for calls.
var (
	callerShare    = share{descriptors: 50, connectionMemory: 20, headerMemory: 4, messageMemory: 16}
	readinessShare = share{descriptors: 5, connectionMemory: 2, headerMemory: 1, messageMemory: 1}
	entryPeerShare = share{descriptors: 20, connectionMemory: 14, messageMemory: 10, peers: true}
	metricsShare   = share{descriptors: 5, connectionMemory: 2, headerMemory: 1, messageMemory: 1}
	heartbeatShare = share{descriptors: 20, connectionMemory: 10, headerMemory: 3, messageMemory: 6}
	agentPeerShare = share{descriptors: 30, connectionMemory: 14, messageMemory: 10, peers: true}
)

// startTime has a monotonic clock reading.
var startTime = time.Now()

// Now returns the current time.
func (monotonicClock) Now() time.Time { return startTime.Add(time.Since(startTime)) }

// limiter returns the limiter of a part of the budget.
func (b *budget) limiter(name string, s share) *limiter.Limiter {
	memory := cmp.Or(b.settings.MemoryBytes, defaultMemoryBytes)
	descriptors := max(cmp.Or(b.settings.MaxDescriptors, defaultDescriptors)-reservedDescriptors, 0)
	of := func(hundredths int) int64 { return memory * int64(hundredths) / wholeShare }
	l := &limiter.Limiter{
		Name:           name,
		MaxConnections: max(min(descriptors*s.descriptors/wholeShare, int(of(s.connectionMemory)/connectionBytes)), minConnections),
		MaxHeaderBytes: of(s.headerMemory), MaxMessageBytes: of(s.messageMemory), HeaderFactor: headerFactor, WriteTimeout: writeTimeout,
		ReceiveBufferBytes: receiveBufferBytes, SendBufferBytes: sendBufferBytes,
		Clock: monotonicClock{}, Log: b.logger, Meter: b.meter,
	}
	if s.peers {
		l.WriteTimeout, l.ReceiveBufferBytes, l.SendBufferBytes = peerWriteTimeout, peerBufferBytes, 0
		l.MaxMessageBytes = max(l.MaxMessageBytes, codec.DefaultMaxFrameBytes)
	}
	return l
}
