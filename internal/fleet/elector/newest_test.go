package elector_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"bamboohook/internal/boottimer"
	"bamboohook/internal/fleet/elector"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/storekeeper"
)

var _ = Describe("PeersWithNewerVersion", func() {
	// Guards against an entry that starts while the store is away and uses routes or keys that were withdrawn, because it takes the configuration of
	// an entry that lags behind.
	It("names the entry with the newest configuration", func() {
		e := &elector.Elector{
			Address: "a", Generation: "g", Weight: 1, PeerClient: &lateStore{}, Store: &lateStore{}, Clock: boottimer.Clock{}, Log: zerolog.Nop(),
			OnOwnershipGained: func(uint64, []storekeeper.Record) {}, OnOwnershipLost: func(uint64, string) {},
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); _ = e.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-ended })
		versions := map[string]int64{"b": 5, "c": 8, "d": 6, "e": 3}
		Eventually(func() []string {
			for address, version := range versions {
				e.HandlePing(messenger.Ping{Address: address, Version: version})
			}
			return e.PeersWithNewerVersion(7)
		}).Should(Equal([]string{"c"}))
		for range 30 {
			for address, version := range versions {
				e.HandlePing(messenger.Ping{Address: address, Version: version})
			}
			Expect(e.PeersWithNewerVersion(0)).To(Equal([]string{"c", "d", "b"}))
		}
		Expect(e.PeersWithNewerVersion(8)).To(BeEmpty())
	})

	// Guards against an entry without the store that never learns which data centres are evacuated, and against a set that its pings do not name.
	It("names the entry with the newest set of evacuated data centres, whatever its configuration is", func() {
		e := &elector.Elector{
			Address: "a", Generation: "g", Weight: 1, PeerClient: &lateStore{}, Store: &lateStore{}, Clock: boottimer.Clock{}, Log: zerolog.Nop(),
			OnOwnershipGained: func(uint64, []storekeeper.Record) {}, OnOwnershipLost: func(uint64, string) {}, EvacuationVersion: func() int64 { return 12 },
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); _ = e.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-ended })
		Eventually(func() []string {
			for address, version := range map[string]int64{"b": 15, "c": 9, "d": 18} {
				response := e.HandlePing(messenger.Ping{Address: address, Version: 20 - version, EvacuationVersion: version})
				Expect(response.EvacuationVersion).To(Equal(int64(12)))
			}
			return e.PeersWithNewerEvacuations(12)
		}).Should(Equal([]string{"d", "b"}))
		Expect(e.PeersWithNewerEvacuations(18)).To(BeEmpty())
	})
})
