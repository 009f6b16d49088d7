package elector_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bamboohook/internal/fleet/storekeeper"
)

// Guards against a confirmation of an owner that has a successor, and against one that takes as long as the read in progress, to which the store delays
// its response.
func TestOwnershipIsConfirmedByTheStore(t *testing.T) {
	for name, test := range map[string]struct {
		disturb   func(c *simCluster, owner *simNode)
		confirmed bool
		maxTime   time.Duration
	}{
		"undisturbed": {disturb: func(*simCluster, *simNode) {}, confirmed: true, maxTime: 20 * time.Millisecond},
		"store down":  {disturb: func(c *simCluster, _ *simNode) { c.storeDownUntil = time.Now().Add(5 * time.Second) }, maxTime: time.Second},
		"late response": {
			disturb: func(c *simCluster, _ *simNode) { c.responseDelay = 300 * time.Millisecond }, confirmed: true, maxTime: 400 * time.Millisecond,
		},
		"claim of a successor": {
			disturb: func(c *simCluster, _ *simNode) {
				c.epoch++
				c.records = append(c.records, storekeeper.Record{Key: "owner", Value: []byte(`{"epoch":2,"address":"10.0.0.9:7100","nonce":"x"}`)})
			},
			maxTime: 20 * time.Millisecond,
		},
	} {
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
				test.disturb(c, owner)
				c.mutex.Unlock()
				askedAt := time.Now()
				err := owner.elector.ConfirmOwnership(context.Background(), 1)
				took := time.Since(askedAt)
				if (err == nil) != test.confirmed || took > test.maxTime {
					t.Errorf("the ownership is confirmed after %v with the error %v", took, err)
				}
				if at := owner.elector.ConfirmedAt(1); at.Before(askedAt) == test.confirmed {
					t.Errorf("the ownership was confirmed %v before the request", askedAt.Sub(at))
				}
				if at := owner.elector.ConfirmedAt(2); !at.IsZero() {
					t.Errorf("the ownership is confirmed for another epoch")
				}
				if err := owner.elector.ConfirmOwnership(context.Background(), 2); err == nil {
					t.Error("the ownership was confirmed for another epoch")
				}
				c.stopAll()
				time.Sleep(5 * time.Second)
			})
		})
	}
}
