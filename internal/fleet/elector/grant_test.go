package elector_test

import (
	"testing"
	"testing/synctest"
	"time"
)

const (
	// grantTime is StoreContactTimeout of the simulated entries.
	grantTime    = 2 * time.Second
	samplePeriod = 20 * time.Millisecond
)

// Guards against an owner that lets runs go on although another entry has claimed the ownership: it is cut off from the store and from all other
// entries, and takes their silence for their end.
func TestCutOffOwnerGrantsNothing(t *testing.T) {
	for name, count := range map[string]int{"3 entries": 3, "5 entries": 5, "12 entries": 12} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSimCluster(t)
				for range count {
					c.add(1, 1000)
				}
				for _, n := range c.nodes {
					n.start()
				}
				time.Sleep(15 * time.Second)
				owner := c.owner()
				if !owner.elector.MayGrantLeases() {
					t.Error("the owner may not grant leases before the cut")
				}
				if age := time.Since(owner.elector.OwnedAt()); age > grantTime {
					t.Errorf("before the cut, the owner does not know whether it owned the jobs in the last %v", age)
				}
				c.mutex.Lock()
				owner.silent = true
				c.mutex.Unlock()
				cutAt := time.Now()
				for time.Since(cutAt) < 40*time.Second {
					time.Sleep(samplePeriod)
					if owner.elector.OwnedAt().After(cutAt) {
						t.Errorf("the owner takes itself for the only one %v after the cut", owner.elector.OwnedAt().Sub(cutAt))
						break
					}
					if owner.elector.MayGrantLeases() && time.Since(cutAt) > grantTime {
						t.Errorf("the owner may grant leases %v after the cut", time.Since(cutAt))
						break
					}
				}
				if c.owner() == owner {
					t.Error("no other entry has become the owner")
				}
				c.stopAll()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// Guards against an owner that acts on an outdated permission: a response of the store was under way for long, or has waited in a process that was
// paused, and tells nothing about what has happened since it was composed.
func TestLateResponseOfTheStoreGrantsNothing(t *testing.T) {
	for name, delay := range map[string]time.Duration{"prompt responses": 0, "responses after 700 ms": 700 * time.Millisecond, "responses after 1.2 s": 1200 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSimCluster(t)
				for range 3 {
					c.add(1, 1000)
				}
				for _, n := range c.nodes {
					n.start()
				}
				time.Sleep(8 * time.Second)
				owner := c.owner()
				c.mutex.Lock()
				c.responseDelay = delay
				c.mutex.Unlock()
				granted := 0
				for startedAt := time.Now(); time.Since(startedAt) < 10*time.Second && c.owner() == owner; time.Sleep(samplePeriod) {
					may := owner.elector.MayGrantLeases()
					c.mutex.Lock()
					age := time.Since(owner.composedAt)
					c.mutex.Unlock()
					if may {
						granted++
					}
					if may && age > grantTime {
						t.Errorf("the owner may grant leases %v after the store has composed the last response to it", age)
						break
					}
				}
				if granted == 0 {
					t.Error("the owner never was allowed to grant leases")
				}
				c.stopAll()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// Guards against an owner that lets runs go on although another entry has claimed the ownership: the other entries were down
// and start again while the owner is cut off from them and from the store.
func TestOwnerCutOffWhileOthersRestartGrantsNothing(t *testing.T) {
	for name, downtime := range map[string]time.Duration{"down for 5 s": 5 * time.Second, "down for 15 s": 15 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSimCluster(t)
				for range 3 {
					c.add(1, 1000)
				}
				for _, n := range c.nodes {
					n.start()
				}
				time.Sleep(8 * time.Second)
				owner := c.owner()
				for _, n := range c.nodes {
					if n != owner {
						n.kill()
					}
				}
				time.Sleep(downtime)
				c.mutex.Lock()
				owner.silent = true
				c.mutex.Unlock()
				cutAt := time.Now()
				for _, n := range c.nodes {
					if n != owner {
						n.start()
					}
				}
				for time.Since(cutAt) < 20*time.Second {
					time.Sleep(samplePeriod)
					if owner.elector.MayGrantLeases() && time.Since(cutAt) > grantTime {
						t.Errorf("the owner may grant leases %v after the cut", time.Since(cutAt))
						break
					}
				}
				time.Sleep(10 * time.Second)
				if c.owner() == owner {
					t.Error("no other entry has become the owner")
				}
				c.stopAll()
				time.Sleep(5 * time.Second)
			})
		})
	}
}
