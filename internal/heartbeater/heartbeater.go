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
	removeAfter = 5 * time.Minute
)

var (
	heartbeatsSent   = expvar.NewInt("heartbeats-sent")
	heartbeatsFailed = expvar.NewInt("heartbeats-failed")
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

		mutex     sync.Mutex
		addresses map[string]bool
		senders   sync.WaitGroup
	}
)

// Run sends heartbeats to every known entry until ctx ends, then waits for the calls in progress.
func (h *Heartbeater[Q, A]) Run(ctx context.Context) {
	h.addEntries(ctx, h.Seeds)
	<-ctx.Done()
	h.senders.Wait()
}

// Entries returns the addresses of the entries known now.
func (h *Heartbeater[Q, A]) Entries() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var addresses []string
	for address := range h.addresses {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

func (h *Heartbeater[Q, A]) addEntries(ctx context.Context, addresses []string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.addresses == nil {
		h.addresses = map[string]bool{}
	}
	for _, address := range addresses {
		if address == h.SelfAddress || h.addresses[address] || len(h.addresses) >= maxEntries {
			continue
		}
		h.addresses[address] = true
		h.senders.Add(1)
		go h.sendLoop(ctx, address)
	}
}

func (h *Heartbeater[Q, A]) sendLoop(ctx context.Context, address string) {
	defer h.senders.Done()
	client := &peer.Client{Address: address, Clock: h.HybridClock}
	defer client.Close()
	ticker := time.NewTicker(h.interval())
	defer ticker.Stop()
	lastResponse := time.Now()
	for {
		if h.send(ctx, client) {
			lastResponse = time.Now()
		} else if time.Since(lastResponse) > removeAfter && !slices.Contains(h.Seeds, address) {
			h.removeEntry(address)
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
	callCtx, cancel := context.WithTimeout(ctx, 2*h.interval())
	defer cancel()
	sentAt := h.Clock.Now()
	var response A
	heartbeatsSent.Add(1)
	if err := client.Call(callCtx, h.Method, h.NewHeartbeat(), &response); err != nil {
		heartbeatsFailed.Add(1)
		client.Close()
		return false
	}
	h.addEntries(ctx, h.OnResponse(client.Address, sentAt, response))
	return true
}

func (h *Heartbeater[Q, A]) removeEntry(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.addresses, address)
}

func (h *Heartbeater[Q, A]) interval() time.Duration {
	if h.Interval > 0 {
		return h.Interval
	}
	return DefaultInterval
}
