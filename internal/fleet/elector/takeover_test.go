package elector_test

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/receptionist"
)

// simDesk is the receptionist of an entry, and the owner's side of it. It implements receptionist.LocalOwner and receptionist.PeerClient.
type simDesk struct {
	node         *simNode
	desks        map[string]*simDesk
	receptionist *receptionist.Receptionist
}

// addDesks adds a receptionist to each entry, which must have been started.
func (c *simCluster) addDesks() map[string]*simDesk {
	desks := map[string]*simDesk{}
	for address, n := range c.nodes {
		d := &simDesk{node: n, desks: desks}
		d.receptionist = &receptionist.Receptionist{
			Address: address, LocalOwner: d, PeerClient: d, Ownership: n.elector, Clock: n, Log: zerolog.Nop(),
		}
		desks[address] = d
	}
	return desks
}

// Submit accepts a job as the owner: the store records it before the response.
func (d *simDesk) Submit(ctx context.Context, _ messenger.JobRequest) messenger.JobResponse {
	_, epoch := d.node.elector.Owner()
	if d.node.elector.ConfirmedAt(epoch).IsZero() {
		return messenger.JobResponse{Outcome: messenger.OutcomeNotOwner}
	}
	if !d.node.storeAvailable(ctx, 0) {
		return messenger.JobResponse{Outcome: messenger.OutcomeUnknown}
	}
	return messenger.JobResponse{Outcome: messenger.OutcomeDone}
}

func (d *simDesk) JobState(ctx context.Context, r messenger.JobRequest) messenger.JobResponse {
	return d.Submit(ctx, r)
}

func (d *simDesk) Cancel(ctx context.Context, r messenger.JobRequest) messenger.JobResponse {
	return d.Submit(ctx, r)
}

func (d *simDesk) CountQueuedJobs(ctx context.Context, r messenger.JobRequest) messenger.JobResponse {
	return d.Submit(ctx, r)
}

func (d *simDesk) Explain(ctx context.Context, r messenger.JobRequest) messenger.JobResponse {
	return d.Submit(ctx, r)
}

func (d *simDesk) SendJobRequest(ctx context.Context, entry, method string, r messenger.JobRequest) (messenger.JobResponse, bool, error) {
	c := d.node.cluster
	c.mutex.Lock()
	to := d.desks[entry]
	running, silent := to.node.running, to.node.silent || d.node.silent
	c.mutex.Unlock()
	switch {
	case silent:
		<-ctx.Done()
		return messenger.JobResponse{}, true, ctx.Err()
	case !running:
		time.Sleep(2 * simNetworkDelay)
		return messenger.JobResponse{}, false, syscall.ECONNREFUSED
	case !d.node.transfer(ctx, to.node, simPingBytes):
		return messenger.JobResponse{}, true, ctx.Err()
	}
	response := to.receptionist.HandleLocally(ctx, method, r)
	if r.Relayed {
		response = to.receptionist.Handle(ctx, method, r)
	}
	if !to.node.transfer(ctx, d.node, simPingBytes) {
		return messenger.JobResponse{}, true, ctx.Err()
	}
	return response, true, nil
}

// Guards against an acknowledgement that comes late after the end of the owner: callers' requests that waited for the former owner while the next one
// was known, or were refused with a long time to come back shortly before the next one was elected. The next acknowledgement is that of any caller
// of whom a request arrives each 50 ms at one of the other entries.
func TestAcknowledgementAfterTheEndOfTheOwner(t *testing.T) {
	const (
		callPeriod = 50 * time.Millisecond
		callers    = 120
		deadline   = 3 * time.Second
	)
	for name, test := range map[string]struct {
		entries int
		mbps    float64
		// silent makes the messages of the owner get lost. Otherwise its machine refuses connections.
		silent bool
		// maxNext bounds the time from the end of the owner to the next acknowledgement, maxWait the longest time from a caller's first request to
		// its acknowledgement.
		maxNext, maxWait time.Duration
	}{
		"process ends, 5 entries":              {entries: 5, mbps: 200, maxNext: 500 * time.Millisecond, maxWait: 500 * time.Millisecond},
		"process ends, 12 entries, thin links": {entries: 12, mbps: 10, maxNext: 900 * time.Millisecond, maxWait: 900 * time.Millisecond},
		"process ends, 30 entries":             {entries: 30, mbps: 200, maxNext: 500 * time.Millisecond, maxWait: 500 * time.Millisecond},
		"machine ends, 5 entries":              {entries: 5, mbps: 200, silent: true, maxNext: 800 * time.Millisecond, maxWait: 850 * time.Millisecond},
		"machine ends, 12 entries, thin links": {entries: 12, mbps: 10, silent: true, maxNext: 2400 * time.Millisecond, maxWait: 2600 * time.Millisecond},
		"machine ends, 30 entries":             {entries: 30, mbps: 200, silent: true, maxNext: 800 * time.Millisecond, maxWait: 850 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSimCluster(t)
				for range test.entries {
					c.add(1, test.mbps)
				}
				for _, n := range c.nodes {
					n.start()
				}
				desks := c.addDesks()
				time.Sleep(8 * time.Second)
				owner := c.owner()
				var entries []*simDesk
				for _, d := range desks {
					if d.node != owner {
						entries = append(entries, d)
					}
				}
				if test.silent {
					c.mutex.Lock()
					owner.silent = true
					c.mutex.Unlock()
				} else {
					owner.kill()
				}
				endedAt := time.Now()
				var (
					group         sync.WaitGroup
					mutex         sync.Mutex
					next, longest time.Duration
					refusals      int
				)
				for range callers {
					group.Go(func() {
						sentAt := time.Now()
						for {
							entry := entries[c.randomNumber(len(entries))]
							ctx, cancel := context.WithTimeout(t.Context(), deadline)
							response := entry.receptionist.Handle(ctx, messenger.MethodSubmit, messenger.JobRequest{ID: fmt.Sprint(sentAt)})
							cancel()
							if response.Outcome == messenger.OutcomeDone {
								break
							}
							mutex.Lock()
							refusals++
							mutex.Unlock()
							// The header Retry-After has whole seconds. After a request with an unknown outcome, callers try again at once.
							if response.Outcome == messenger.OutcomeNotExecuted {
								time.Sleep(max(time.Second, (response.RetryAfter + time.Second - 1).Truncate(time.Second)))
							}
						}
						mutex.Lock()
						defer mutex.Unlock()
						if after := time.Since(endedAt); next == 0 || after < next {
							next = after
						}
						longest = max(longest, time.Since(sentAt))
					})
					time.Sleep(callPeriod)
				}
				group.Wait()
				gains := c.history()
				t.Logf("%s: next owner after %v, next acknowledgement after %v, longest wait of a caller %v, %d responses without one", name,
					gains[len(gains)-1].at.Sub(endedAt), next, longest, refusals)
				if next > test.maxNext || longest > test.maxWait {
					t.Errorf("the next acknowledgement comes %v after the end of the owner, the longest wait of a caller is %v", next, longest)
				}
				c.stopAll()
				time.Sleep(5 * time.Second)
			})
		})
	}
}
