package elector_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"bamboohook/internal/fleet/elector"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/storekeeper"
)

// TestOutageEndsWithoutWorseOwner guards against an entry with a thin link that becomes the owner, only because it has reached the store a moment earlier
// than the others at the end of an outage. The reports and requests of the whole installation then fill its link.
func TestOutageEndsWithoutWorseOwner(t *testing.T) {
	const (
		outage = 4800 * time.Millisecond
		// lead is how much earlier the thin entries reach the store. Another read of the store is sent in each 400 ms.
		lead = 400 * time.Millisecond
		// maxDelay is the time from the return of the store until an owner may grant leases.
		maxDelay = 3 * time.Second
	)
	for name, killOwner := range map[string]bool{"the owner runs on": false, "the owner is killed in the outage": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSimCluster(t)
				for n := range 11 {
					if n < 6 {
						c.add(1, 200)
					} else {
						c.add(0.2, 10)
					}
				}
				for _, n := range c.nodes {
					n.start()
				}
				time.Sleep(8 * time.Second)
				for range 4 {
					c.mutex.Lock()
					returnsAt := time.Now().Add(outage)
					for _, n := range c.nodes {
						n.storeDownUntil = returnsAt
						if n.weight == 1 {
							n.storeDownUntil = returnsAt.Add(lead)
						}
					}
					c.mutex.Unlock()
					time.Sleep(outage / 2)
					owner := c.owner()
					if killOwner {
						owner.kill()
					}
					time.Sleep(time.Until(returnsAt))
					before := len(c.history())
					time.Sleep(maxDelay)
					for _, gain := range c.history()[before:] {
						if c.nodes[gain.address].weight < 1 {
							t.Errorf("%s has become the owner %v after the return of the store", gain.address, gain.at.Sub(returnsAt))
						}
					}
					if !c.owner().running || !c.owner().elector.MayGrantLeases() {
						t.Errorf("%s is no owner that may grant leases %v after the return of the store", c.owner().address, maxDelay)
					}
					if !owner.running {
						owner.start()
					}
					time.Sleep(6 * time.Second)
				}
				c.stopAll()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// simWatch is the virtual clock.
type simWatch struct{}

func (simWatch) Now() time.Time { return time.Now() }

// heldStore accepts claims and holds the reads of the records. It implements elector.Store and elector.PeerClient.
type heldStore struct {
	// began and ended receive the times of the reads.
	began, ended chan time.Time
}

func (heldStore) Ping(context.Context, string, messenger.Ping) (messenger.Ping, bool, error) {
	return messenger.Ping{}, true, errNoResponse
}
func (heldStore) Append(context.Context, storekeeper.Batch) error              { return nil }
func (heldStore) RegisterEntry(context.Context, storekeeper.EntryRecord) error { return nil }
func (heldStore) RemoveEntry(context.Context, string) error                    { return nil }
func (heldStore) Entries(context.Context) ([]storekeeper.EntryRecord, error)   { return nil, nil }

func (heldStore) Follow(context.Context, int64, time.Duration) ([]storekeeper.Record, int64, error) {
	return nil, 0, errNoResponse
}

func (s heldStore) Load(ctx context.Context) ([]storekeeper.Record, int64, error) {
	s.began <- time.Now()
	<-ctx.Done()
	s.ended <- time.Now()
	return nil, 0, ctx.Err()
}

// TestLostClaimEndsItsTransfer guards against an entry that goes on transferring all records for a claim after which another entry has claimed: on a thin
// link, that keeps everything else waiting for seconds.
func TestLostClaimEndsItsTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := heldStore{make(chan time.Time, 100), make(chan time.Time, 100)}
		e := &elector.Elector{
			Address: "10.0.0.1:1", Generation: "g", PeerClient: s, Store: s, Clock: simWatch{}, Log: zerolog.Nop(), CongestionTime: time.Second,
			OnOwnershipGained: func(uint64, []storekeeper.Record) {}, OnOwnershipLost: func(uint64, string) {},
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = e.Run(ctx) }()
		<-s.began
		time.Sleep(100 * time.Millisecond)
		observedAt := time.Now()
		e.ObserveEpoch(9, "10.0.0.2:1")
		if lasted := (<-s.ended).Sub(observedAt); lasted > 0 {
			t.Errorf("the read ended %v after the entry has heard of a later claim", lasted)
		}
		cancel()
		synctest.Wait()
	})
}
