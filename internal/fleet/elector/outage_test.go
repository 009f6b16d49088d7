package elector_test

import (
	"testing"
	"testing/synctest"
	"time"
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
