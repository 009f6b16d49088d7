// Package heartbeater sends heartbeats to all entries, the processes that serve callers: to those in the settings and
// to those that responses to heartbeats name.
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
	// DefaultInterval is the default value of Heartbeater.Interval.
	DefaultInterval = 500 * time.Millisecond
	// maxEntries limits the number of entries to which heartbeats are sent, because responses may name any number of
	// entries.
	maxEntries = 64
	// removeEntryAfter is the time without a response after which an entry that is not in the settings is removed.
	removeEntryAfter = 5 * time.Minute
)

var (
	heartbeatsSent   = expvar.NewInt("heartbeats-sent")
	heartbeatsFailed = expvar.NewInt("heartbeats-failed")
)

type (
	// Heartbeater sends heartbeats of type Q to each entry and receives responses of type R. Set the exported fields
	// before Run.
	Heartbeater[Q, R any] struct {
		// Method is the name of the method that is called with each heartbeat.
		Method string
		// Seeds are the IP addresses and ports of the entries that the settings name. Responses may name further entries.
		Seeds []string
		// SelfAddress is the IP address and port of this process, to which no heartbeats are sent. It may be empty.
		SelfAddress string
		// Interval is the time from one heartbeat to the next to the same entry; 0 means DefaultInterval.
		Interval time.Duration
		// NewHeartbeat returns the heartbeat to send. It is called once for each entry and interval.
		NewHeartbeat func() Q
		// OnResponse is called for each response with the entry's address and the time at which the heartbeat was sent.
		// It returns the addresses of the entries that the response names.
		OnResponse func(address string, sentAt time.Time, response R) []string
		// Clock is the source of the times that are passed to OnResponse. The durations of leases count from these times.
		Clock interface{ Now() time.Time }
		// HybridClock is the hybrid logical clock for the timestamps of the messages. It may be nil.
		HybridClock peer.HybridClock

		mutex     sync.Mutex
		addresses map[string]bool
		sendLoops sync.WaitGroup
	}
)

// Run sends heartbeats to the seeds and to the entries that responses name, until ctx is done. It returns after the
// calls in progress have ended.
func (h *Heartbeater[Q, R]) Run(ctx context.Context) {
	h.addEntries(ctx, h.Seeds)
	<-ctx.Done()
	h.sendLoops.Wait()
}

// Entries returns the addresses of the entries to which heartbeats are sent, in sorted order.
func (h *Heartbeater[Q, R]) Entries() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var addresses []string
	for address := range h.addresses {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// addEntries starts a goroutine for each new address that sends heartbeats to the entry at that address.
func (h *Heartbeater[Q, R]) addEntries(ctx context.Context, addresses []string) {
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
		h.sendLoops.Add(1)
		go h.sendLoop(ctx, address)
	}
}

// sendLoop sends heartbeats to the entry at address until ctx is done or the entry is removed.
func (h *Heartbeater[Q, R]) sendLoop(ctx context.Context, address string) {
	defer h.sendLoops.Done()
	client := &peer.Client{Address: address, HybridClock: h.HybridClock}
	defer client.Close()
	ticker := time.NewTicker(h.interval())
	defer ticker.Stop()
	lastResponse := time.Now()
	for {
		if h.send(ctx, client) {
			lastResponse = time.Now()
		} else if time.Since(lastResponse) > removeEntryAfter && !slices.Contains(h.Seeds, address) {
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

// send sends one heartbeat, passes the response to OnResponse and adds the entries that the response names. It returns
// false if the call failed.
func (h *Heartbeater[Q, R]) send(ctx context.Context, client *peer.Client) bool {
	// A call that takes longer than two intervals fails, so that a broken connection is replaced soon.
	callCtx, cancel := context.WithTimeout(ctx, 2*h.interval())
	defer cancel()
	sentAt := h.Clock.Now()
	var response R
	heartbeatsSent.Add(1)
	if err := client.Call(callCtx, h.Method, h.NewHeartbeat(), &response); err != nil {
		heartbeatsFailed.Add(1)
		client.Close()
		return false
	}
	h.addEntries(ctx, h.OnResponse(client.Address, sentAt, response))
	return true
}

func (h *Heartbeater[Q, R]) removeEntry(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.addresses, address)
}

func (h *Heartbeater[Q, R]) interval() time.Duration {
	if h.Interval > 0 {
		return h.Interval
	}
	return DefaultInterval
}
