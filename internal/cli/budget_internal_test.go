package cli

import (
	"testing"

	"github.com/rs/zerolog"

	"bamboohook/internal/codec"
	"bamboohook/internal/fleet/limiter"
	"bamboohook/platform"
)

// Guards against shares that together exceed the memory or the descriptors of a process, and against limits that clients within the limits reach.
func TestBudget(t *testing.T) {
	const (
		// An installation of 300 VMs has that many agents, and about 60 entries, as clients of an entry. About 400 connections of an entry are of callers.
		peerCount, callerCount = 360, 400
		largestBody            = 262_144 * 20
	)
	for name, c := range map[string]struct {
		settings platform.Settings
		shares   map[string]share
		atLeast  map[string]int
	}{
		"smallest entry": {
			platform.Settings{MemoryBytes: 184 << 20, MaxDescriptors: 4100},
			map[string]share{"callers": callerShare, "readiness": readinessShare, "peers": entryPeerShare, "metrics": metricsShare},
			map[string]int{"callers": callerCount, "readiness": minConnections, "peers": peerCount, "metrics": minConnections},
		},
		"smallest agent": {
			platform.Settings{MemoryBytes: 152 << 20, MaxDescriptors: 4096},
			map[string]share{"heartbeats": heartbeatShare, "peers": agentPeerShare, "metrics": metricsShare},
			map[string]int{"heartbeats": minConnections, "peers": 100, "metrics": minConnections},
		},
		"settings without limits": {
			platform.Settings{},
			map[string]share{"callers": callerShare, "peers": entryPeerShare},
			map[string]int{"callers": callerCount, "peers": peerCount},
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := &budget{c.settings, zerolog.Nop(), nil}
			limiters, memory, descriptors := map[string]*limiter.Limiter{}, 0, 0
			for part, s := range c.shares {
				limiters[part] = b.limiter(part, s)
				memory += s.connectionMemory + s.headerMemory + s.messageMemory
				descriptors += s.descriptors
				if limiters[part].MaxConnections < c.atLeast[part] {
					t.Errorf("%d connections for %s", limiters[part].MaxConnections, part)
				}
			}
			if memory > 75 || descriptors > 80 {
				t.Errorf("shares of %d%% of the memory and %d%% of the descriptors", memory, descriptors)
			}
			if l := limiters["peers"]; l.MaxMessageBytes < codec.DefaultMaxFrameBytes {
				t.Errorf("%d bytes for frames", l.MaxMessageBytes)
			}
			if l := limiters["callers"]; l != nil && l.MaxMessageBytes < 2*largestBody {
				t.Errorf("%d bytes for bodies", l.MaxMessageBytes)
			}
		})
	}
}
