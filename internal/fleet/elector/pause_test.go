package elector_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// pauseTime is the duration of the simulated pauses. It is long enough for another entry to become the owner.
const pauseTime = 3 * time.Second

// startOwner starts a cluster with three entries and returns it with its owner.
func startOwner(t *testing.T) (*simCluster, *simNode) {
	c := newSimCluster(t)
	for range 3 {
		c.add(1, 1000)
	}
	for _, n := range c.nodes {
		n.start()
	}
	time.Sleep(8 * time.Second)
	owner := c.owner()
	if !owner.elector.MayShowStates() {
		t.Error("the owner may not show states before the pause")
	}
	return c, owner
}

// pause makes the process see that it was paused.
func (n *simNode) pause() { n.pausedTime.Add(int64(pauseTime)) }

func (n *simNode) setSilent(silent bool) {
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	n.silent = silent
}

// Guards against jobs that are shown in an earlier state: an owner goes on after a pause in which another entry has become the owner, and answers
// callers before it hears of that.
func TestPausedOwnerShowsNoStates(t *testing.T) {
	for name, replaced := range map[string]bool{"replaced during the pause": true, "still the owner": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, owner := startOwner(t)
				owner.setSilent(replaced)
				if replaced {
					time.Sleep(pauseTime)
				}
				owner.pause()
				if owner.elector.MayShowStates() {
					t.Error("the owner may show states before its first contact after the pause")
				}
				// The store answers the owner late, so that it could show many states before.
				time.Sleep(time.Second)
				owner.setSilent(false)
				shown := time.Duration(0)
				for resumedAt := time.Now(); time.Since(resumedAt) < 3*time.Second; time.Sleep(samplePeriod) {
					if !owner.elector.MayShowStates() {
						continue
					}
					if c.owner() != owner {
						t.Errorf("the former owner may show states %v after the pause", time.Since(resumedAt))
						break
					}
					if shown == 0 {
						shown = time.Since(resumedAt) + samplePeriod
					}
				}
				if replaced == (c.owner() == owner) {
					t.Errorf("replaced: %v, expected %v", c.owner() != owner, replaced)
				}
				if !replaced && (shown == 0 || shown > time.Second) {
					t.Errorf("the owner may show states only %v after the pause", shown)
				}
				if !c.owner().elector.MayShowStates() {
					t.Error("the present owner may not show states")
				}
				c.stopAll()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// Guards against state requests without an answer during an outage of the store that lasts longer than a pause of the owner.
func TestPausedOwnerShowsStatesWhileNobodyReachesTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, owner := startOwner(t)
		c.mutex.Lock()
		c.storeDownUntil = time.Now().Add(20 * time.Second)
		c.mutex.Unlock()
		time.Sleep(5 * time.Second)
		owner.pause()
		if owner.elector.MayShowStates() {
			t.Error("the owner may show states before any contact after the pause")
		}
		time.Sleep(time.Second)
		if !owner.elector.MayShowStates() {
			t.Error("the owner may not show states after all others have told that they do not reach the store")
		}
		c.stopAll()
		time.Sleep(5 * time.Second)
	})
}
