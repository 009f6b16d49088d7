// Package heartbeater sends heartbeats to all entries, those of the settings and those learned from answers.
package heartbeater

import (
	"context"
	"expvar"
	"slices"
	"sync"
	"time"

	"bamboohook/internal/peer"
)

const (
	// DefaultInterval is the time between two heartbeats to one entry.
	DefaultInterval = 500 * time.Millisecond
	// maxEntries bounds how many entries an agent follows, whatever an answer lists.
	maxEntries = 64
	// forgetAfter is how long an entry that is not in the settings may stay unreachable.
	forgetAfter = 5 * time.Minute
)

var (
	sent   = expvar.NewInt("heartbeats-sent")
	failed = expvar.NewInt("heartbeats-failed")
)

type (
	// Heartbeater sends a heartbeat Q to each entry and receives the answer A. Set the fields before Run.
	Heartbeater[Q, A any] struct {
		// Method is the method of the peer protocol that is called.
		Method string
		// Seeds are the peer addresses of the entries in the settings. Further entries are learned from answers.
		Seeds []string
		// Self is an address that is not called; empty for none.
		SelfAddress string
		// Interval is the time between two heartbeats to one entry; 0 means DefaultInterval.
		Interval time.Duration
		// Beat returns the heartbeat to send. It is called once for each entry and interval.
		NewHeartbeat func() Q
		// Answered receives each answer together with the entry's address and the time when the heartbeat was sent. It
		// returns the entries that the answer names.
		OnResponse func(address string, sent time.Time, answer A) []string
		// Clock gives the time of sending; leases are counted from it.
		Clock interface{ Now() time.Time }
		// Stamps is the hybrid logical clock of the process; nil is allowed.
		HybridClock peer.HybridClock

		mutex   sync.Mutex
		known   map[string]bool
		workers sync.WaitGroup
	}
)

// Run sends heartbeats to every known entry until ctx ends, then waits for the calls in progress.
func (h *Heartbeater[Q, A]) Run(ctx context.Context) {
	h.follow(ctx, h.Seeds)
	<-ctx.Done()
	h.workers.Wait()
}

// Entries returns the addresses of the entries known now.
func (h *Heartbeater[Q, A]) Entries() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var found []string
	for address := range h.known {
		found = append(found, address)
	}
	slices.Sort(found)
	return found
}

func (h *Heartbeater[Q, A]) follow(ctx context.Context, addresses []string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.known == nil {
		h.known = map[string]bool{}
	}
	for _, address := range addresses {
		if address == h.SelfAddress || h.known[address] || len(h.known) >= maxEntries {
			continue
		}
		h.known[address] = true
		h.workers.Add(1)
		go h.beat(ctx, address)
	}
}

func (h *Heartbeater[Q, A]) beat(ctx context.Context, address string) {
	defer h.workers.Done()
	client := &peer.Client{Address: address, Clock: h.HybridClock}
	defer client.Close()
	ticker := time.NewTicker(h.interval())
	defer ticker.Stop()
	lastAnswer := time.Now()
	for {
		if h.send(ctx, client) {
			lastAnswer = time.Now()
		} else if time.Since(lastAnswer) > forgetAfter && !slices.Contains(h.Seeds, address) {
			h.forget(address)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (h *Heartbeater[Q, A]) send(ctx context.Context, client *peer.Client) bool {
	// A call that hangs is given up after two intervals, so that a cut connection is replaced soon.
	limit, cancel := context.WithTimeout(ctx, 2*h.interval())
	defer cancel()
	at := h.Clock.Now()
	var answer A
	sent.Add(1)
	if err := client.Call(limit, h.Method, h.NewHeartbeat(), &answer); err != nil {
		failed.Add(1)
		client.Close()
		return false
	}
	h.follow(ctx, h.OnResponse(client.Address, at, answer))
	return true
}

func (h *Heartbeater[Q, A]) forget(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.known, address)
}

func (h *Heartbeater[Q, A]) interval() time.Duration {
	if h.Interval > 0 {
		return h.Interval
	}
	return DefaultInterval
}
