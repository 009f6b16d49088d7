package elector_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"bamboohook/internal/fleet/elector"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/storekeeper"
)

// The simulated clusters run on virtual time. A message occupies the links of its sender and its receiver for as long as its bytes take.
const (
	simNetworkDelay = 2 * time.Millisecond
	simStoreDelay   = 4 * time.Millisecond
	// simPingBytes is the size of a ping and of its response.
	simPingBytes = 1500
	simSeeds     = 3
	// simRecordsBytes is the size of the newest records of the jobs, and simConfigurationBytes that of a configuration with 1,400 routes.
	simRecordsBytes       = 200 << 10
	simConfigurationBytes = 280 << 10
)

type (
	// simCluster connects electors over simulated links with each other and with a store.
	simCluster struct {
		t       *testing.T
		mutex   sync.Mutex
		nodes   map[string]*simNode
		random  *rand.Rand
		records []storekeeper.Record
		entries map[string]storekeeper.EntryRecord
		epoch   uint64
		// storeDownUntil is when the store answers again.
		storeDownUntil time.Time
		// responseDelay is how long a response of the store to a read is under way.
		responseDelay time.Duration
		// claims contains each epoch that was claimed, gains the time and address of each ownership that was gained.
		claims map[uint64]struct{}
		gains  []simGain
	}

	simGain struct {
		at      time.Time
		address string
		epoch   uint64
	}

	// simNode is an entry with its link. It implements elector.PeerClient and elector.Store.
	simNode struct {
		cluster *simCluster
		address string
		weight  float64
		mbps    float64
		elector *elector.Elector
		stop    context.CancelFunc
		// freeAt is when the link has transferred all messages so far.
		freeAt time.Time
		// storeDownUntil is when the store answers this entry again.
		storeDownUntil time.Time
		// running and silent report whether the process runs and whether its messages are lost.
		running, silent bool
		sent, received  int
		// composedAt is when the store composed the last response to a read of this entry that has arrived.
		composedAt time.Time
		// pausedTime is how long the process has been paused, in nanoseconds. Its goroutines run on during that, but see the time jump.
		pausedTime atomic.Int64
	}
)

// Now returns the time as the process sees it.
func (n *simNode) Now() time.Time { return time.Now().Add(time.Duration(n.pausedTime.Load())) }

func newSimCluster(t *testing.T) *simCluster {
	return &simCluster{
		t: t, nodes: map[string]*simNode{}, random: rand.New(rand.NewPCG(1, 2)), entries: map[string]storekeeper.EntryRecord{}, claims: map[uint64]struct{}{},
	}
}

// add adds an entry without starting it.
func (c *simCluster) add(weight, mbps float64) *simNode {
	n := &simNode{cluster: c, address: fmt.Sprintf("10.0.%d.%d:7100", len(c.nodes)/200, len(c.nodes)%200+1), weight: weight, mbps: mbps}
	c.nodes[n.address] = n
	return n
}

// start starts the process of the entry.
func (n *simNode) start() {
	c := n.cluster
	c.mutex.Lock()
	defer c.mutex.Unlock()
	seeds := slices.Sorted(maps.Keys(c.nodes))
	seeds = seeds[:min(len(seeds), simSeeds)]
	e := &elector.Elector{
		Address: n.address, Generation: fmt.Sprint(n.address, time.Now().UnixNano()), Weight: n.weight, Seeds: seeds, PeerClient: n, Store: n,
		Clock: n, Log: zerolog.Nop(), StoreContactTimeout: 2 * time.Second, CongestionTime: n.congestionTime(), Random: c.randomNumber,
	}
	e.OnOwnershipGained = func(epoch uint64, _ []storekeeper.Record) {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.gains = append(c.gains, simGain{time.Now(), n.address, epoch})
	}
	e.OnOwnershipLost = func(uint64, string) {}
	ctx, cancel := context.WithCancel(context.Background())
	n.elector, n.stop, n.running = e, cancel, true
	go func() { _ = e.Run(ctx) }()
	go n.contactStore(ctx, e)
}

// congestionTime returns the time that 2 MB take on the link, like the settings of the program.
func (n *simNode) congestionTime() time.Duration {
	return min(time.Duration(16/n.mbps*float64(time.Second)), 1200*time.Millisecond)
}

// contactStore reads the configuration from the store, as the subscriber of a process does: again after 400 ms if there is no response.
func (n *simNode) contactStore(ctx context.Context, e *elector.Elector) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
		if n.storeAvailable(callCtx, 0) {
			e.RecordStoreContact()
			time.Sleep(time.Second)
		}
		cancel()
	}
}

// kill ends the process of the entry. Its machine refuses connections then.
func (n *simNode) kill() {
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	n.running = false
	n.stop()
}

// randomNumber is called by all electors.
func (c *simCluster) randomNumber(n int) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.random.IntN(n)
}

// occupy reserves the link for a transfer and returns when it ends.
func (n *simNode) occupy(bytes int) time.Time {
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	if now := time.Now(); n.freeAt.Before(now) {
		n.freeAt = now
	}
	n.freeAt = n.freeAt.Add(time.Duration(float64(bytes) * 8 / (n.mbps * 1e6) * float64(time.Second)))
	return n.freeAt
}

// transfer waits until the bytes have crossed the links of both nodes. to is nil for the store. It returns false if ctx is done before.
func (n *simNode) transfer(ctx context.Context, to *simNode, bytes int) bool {
	until := n.occupy(bytes)
	if to != nil {
		if other := to.occupy(bytes); other.After(until) {
			until = other
		}
	}
	timer := time.NewTimer(time.Until(until) + simNetworkDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (n *simNode) Ping(ctx context.Context, address string, p messenger.Ping) (messenger.Ping, bool, error) {
	c := n.cluster
	c.mutex.Lock()
	to, known := c.nodes[address]
	n.sent++
	running, silent := known && to.running, !known || to.silent || n.silent
	c.mutex.Unlock()
	if silent {
		<-ctx.Done()
		return messenger.Ping{}, false, ctx.Err()
	}
	if !running {
		time.Sleep(2 * simNetworkDelay)
		return messenger.Ping{}, true, errNoResponse
	}
	if !n.transfer(ctx, to, simPingBytes) {
		return messenger.Ping{}, false, ctx.Err()
	}
	c.mutex.Lock()
	to.received++
	e := to.elector
	c.mutex.Unlock()
	response := e.HandlePing(p)
	if !to.transfer(ctx, n, simPingBytes) {
		return messenger.Ping{}, false, ctx.Err()
	}
	return response, false, nil
}

// storeAvailable waits for the store's answer. It returns false while the store is down.
func (n *simNode) storeAvailable(ctx context.Context, bytes int) bool {
	n.cluster.mutex.Lock()
	down := time.Now().Before(n.cluster.storeDownUntil) || time.Now().Before(n.storeDownUntil) || n.silent
	n.cluster.mutex.Unlock()
	if down {
		<-ctx.Done()
		return false
	}
	time.Sleep(simStoreDelay)
	return n.transfer(ctx, nil, bytes)
}

func (n *simNode) Append(ctx context.Context, b storekeeper.Batch) error {
	if !n.storeAvailable(ctx, 0) {
		return ctx.Err()
	}
	c := n.cluster
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case b.Epoch < c.epoch:
		return storekeeper.ErrFenced
	case b.Epoch > c.epoch:
		c.epoch, c.claims[b.Epoch] = b.Epoch, struct{}{}
		c.records = append(c.records, b.Records...)
	}
	return nil
}

func (n *simNode) Load(ctx context.Context) ([]storekeeper.Record, int64, error) {
	if !n.storeAvailable(ctx, simRecordsBytes) {
		return nil, 0, ctx.Err()
	}
	n.cluster.mutex.Lock()
	records := slices.Clone(n.cluster.records)
	n.cluster.mutex.Unlock()
	return records, int64(len(records)), n.awaitResponse(ctx)
}

// awaitResponse waits while a response that the store has just composed is under way.
func (n *simNode) awaitResponse(ctx context.Context) error {
	composedAt := time.Now()
	n.cluster.mutex.Lock()
	timer := time.NewTimer(n.cluster.responseDelay)
	n.cluster.mutex.Unlock()
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	}
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	n.composedAt = composedAt
	return nil
}

func (n *simNode) Follow(ctx context.Context, from int64, wait time.Duration) ([]storekeeper.Record, int64, error) {
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		n.cluster.mutex.Lock()
		records := slices.Clone(n.cluster.records[from:])
		n.cluster.mutex.Unlock()
		if len(records) > 0 || time.Now().After(end) {
			if !n.storeAvailable(ctx, 0) {
				return nil, 0, ctx.Err()
			}
			return records, from + int64(len(records)), n.awaitResponse(ctx)
		}
	}
}

func (n *simNode) RegisterEntry(ctx context.Context, entry storekeeper.EntryRecord) error {
	if !n.storeAvailable(ctx, 0) {
		return ctx.Err()
	}
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	n.cluster.entries[entry.Address] = entry
	return nil
}

func (n *simNode) RemoveEntry(ctx context.Context, address string) error {
	if !n.storeAvailable(ctx, 0) {
		return ctx.Err()
	}
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	delete(n.cluster.entries, address)
	return nil
}

func (n *simNode) Entries(ctx context.Context) ([]storekeeper.EntryRecord, error) {
	n.cluster.mutex.Lock()
	entries := slices.Collect(maps.Values(n.cluster.entries))
	n.cluster.mutex.Unlock()
	if !n.storeAvailable(ctx, 60*len(entries)) {
		return nil, ctx.Err()
	}
	return entries, nil
}

// stopAll ends all processes, so that the simulation ends.
func (c *simCluster) stopAll() {
	for _, n := range c.nodes {
		if n.running {
			n.kill()
		}
	}
}

// owner returns the address of the last entry that has gained the ownership.
func (c *simCluster) owner() *simNode {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.gains) == 0 {
		return nil
	}
	return c.nodes[c.gains[len(c.gains)-1].address]
}

// history returns the ownerships that were gained so far.
func (c *simCluster) history() []simGain {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.gains)
}

// epochs returns the number of epochs that were claimed.
func (c *simCluster) epochs() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.claims)
}

// uninformed returns the number of running entries that do not know the last owner.
func (c *simCluster) uninformed() int {
	owner, count := c.owner(), 0
	c.mutex.Lock()
	var running []*elector.Elector
	for _, n := range c.nodes {
		if n.running {
			running = append(running, n.elector)
		}
	}
	c.mutex.Unlock()
	for _, e := range running {
		if known, _ := e.Owner(); known != owner.address {
			count++
		}
	}
	return count
}

// startAll starts count entries, of which every fourth has much more processor time and bandwidth than the others.
func (c *simCluster) startAll(count int, mbps float64) {
	for k := range count {
		if k%4 == 3 {
			c.add(1, 10*mbps)
		} else {
			c.add(0.2, mbps)
		}
	}
	for _, n := range c.nodes {
		n.start()
	}
}

// Guards against membership whose cost grows with the number of entries, and against entries that do not hear of a new owner.
func TestMembershipCostDoesNotGrow(t *testing.T) {
	const (
		settling = 4 * time.Second
		measured = 3 * time.Second
		// maxPerSecond bounds the pings that one entry sends in a second: five members of the council at most at each ping interval, two random
		// ones at every second interval, and one that seems to be dead.
		maxPerSecond      = 50
		maxMeanPerSecond  = 15.0
		maxInformingDelay = 2 * time.Second
	)
	counts := []int{5, 55, 300, 1000}
	if raceDetector {
		counts = []int{5, 55}
	}
	for _, count := range counts {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSimCluster(t)
				c.startAll(count, 20)
				time.Sleep(settling)
				c.mutex.Lock()
				for _, n := range c.nodes {
					n.sent, n.received = 0, 0
				}
				c.mutex.Unlock()
				time.Sleep(measured)
				most, total := 0, 0
				c.mutex.Lock()
				for _, n := range c.nodes {
					most, total = max(most, n.sent, n.received), total+n.sent
				}
				c.mutex.Unlock()
				mean := float64(total) / float64(count) / measured.Seconds()
				t.Logf("%d entries: %.1f pings sent by an entry per second, %d by or to one entry at most, %d claims", count, mean,
					int(float64(most)/measured.Seconds()), c.epochs())
				if perSecond := float64(most) / measured.Seconds(); perSecond > maxPerSecond {
					t.Errorf("an entry has sent or received %.0f pings per second", perSecond)
				}
				if count > 5 && mean > maxMeanPerSecond {
					t.Errorf("the entries have sent %.1f pings per second each", mean)
				}
				if c.epochs() != 1 || c.uninformed() > 0 {
					t.Errorf("%d claims, and %d entries do not know the owner", c.epochs(), c.uninformed())
				}
				c.owner().kill()
				killedAt := time.Now()
				for len(c.history()) < 2 && time.Since(killedAt) < 10*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				takenOver := time.Since(killedAt)
				for c.uninformed() > 0 && time.Since(killedAt) < 10*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("%d entries: a new owner %v after the kill, known to all entries after %v", count, takenOver, time.Since(killedAt))
				if time.Since(killedAt) > maxInformingDelay {
					t.Errorf("all entries know the new owner only %v after the kill", time.Since(killedAt))
				}
				if weight := c.owner().weight; weight < 1 && count > 5 {
					t.Errorf("the owner is an entry of weight %v", weight)
				}
				c.stopAll()
				time.Sleep(3 * time.Second)
			})
		})
	}
}

// Guards against a takeover that becomes slower: an owner whose process was killed must be replaced so soon that tasks start again within 400 ms.
func TestKilledOwnerIsReplaced(t *testing.T) {
	const maxDelay = 400 * time.Millisecond
	for _, count := range []int{5, 55} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSimCluster(t)
				for range count {
					c.add(1, 100)
				}
				for _, n := range c.nodes {
					n.start()
				}
				for round := range 5 {
					time.Sleep(8 * time.Second)
					owner := c.owner()
					owner.kill()
					killedAt := time.Now()
					time.Sleep(5 * time.Second)
					gains := c.history()
					if delay := gains[len(gains)-1].at.Sub(killedAt); delay < 0 || delay > maxDelay {
						t.Errorf("round %d: the next owner has taken over %v after the kill; %v", round, delay, gains)
					}
					owner.start()
				}
				if c.epochs() > 6 {
					t.Errorf("%d epochs after 5 kills", c.epochs())
				}
				c.stopAll()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// Guards against an election that does not settle: entries that claim again and again while another one still loads the records over a slow link,
// on which a configuration is also under way. All entries are started while the store is down and have been used before.
func TestElectionSettles(t *testing.T) {
	const (
		outage = 4 * time.Second
		// maxDelay is the time from the return of the store until an owner that stays may grant leases.
		maxDelay  = 3 * time.Second
		maxEpochs = 2
	)
	for name, mbps := range map[string]float64{"2 Mbit per s": 2, "10 Mbit per s": 10, "20 Mbit per s": 20, "200 Mbit per s": 200} {
		for _, count := range []int{5, 55} {
			t.Run(fmt.Sprint(name, ", ", count, " entries"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newSimCluster(t)
					for range count {
						c.entries[c.add(0.2, mbps).address] = storekeeper.EntryRecord{Weight: 0.2, Epoch: 17}
					}
					for address, r := range c.entries {
						r.Address = address
						c.entries[address] = r
					}
					c.epoch = 17
					c.storeDownUntil = time.Now().Add(outage)
					for _, n := range c.nodes {
						n.start()
					}
					time.Sleep(outage)
					returnedAt := time.Now()
					for _, n := range c.nodes {
						go n.transfer(context.Background(), nil, simConfigurationBytes)
					}
					time.Sleep(20 * time.Second)
					gains := c.history()
					if len(gains) == 0 {
						t.Error("no entry has become the owner")
						c.stopAll()
						time.Sleep(10 * time.Second)
						return
					}
					last := gains[len(gains)-1]
					t.Logf("%s: the owner has taken over %v after the return of the store, %d epochs", name, last.at.Sub(returnedAt), c.epochs())
					if delay := last.at.Sub(returnedAt); delay > maxDelay {
						t.Errorf("the owner has taken over %v after the return of the store", delay)
					}
					if c.epochs() > maxEpochs {
						t.Errorf("%d epochs", c.epochs())
					}
					if !c.owner().elector.MayGrantLeases() {
						t.Error("the owner may not grant leases")
					}
					if n := c.uninformed(); n > 0 {
						t.Errorf("%d entries do not know the owner", n)
					}
					c.stopAll()
					time.Sleep(10 * time.Second)
				})
			})
		}
	}
}

// Guards against wrong suspicions of an owner whose thin link is full for a second, and against claims of entries on such links.
func TestCongestionCausesNoClaim(t *testing.T) {
	const congestion = time.Second
	for name, mbps := range map[string]float64{"2 Mbit per s": 2, "10 Mbit per s": 10, "20 Mbit per s": 20} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSimCluster(t)
				for range 20 {
					c.add(0.2, mbps)
				}
				for _, n := range c.nodes {
					n.start()
				}
				time.Sleep(8 * time.Second)
				for round := range 4 {
					for _, n := range c.nodes {
						if n == c.owner() || round%2 == 1 {
							n.occupy(int(mbps * 1e6 / 8 * congestion.Seconds()))
						}
					}
					time.Sleep(6 * time.Second)
				}
				if c.epochs() != 1 {
					t.Errorf("%d epochs", c.epochs())
				}
				c.stopAll()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// Guards against entries that were replaced and are still used by processes that are started later, and against a live entry that is missing in the
// list because it was removed by mistake.
func TestListOfEntriesContainsLiveOnes(t *testing.T) {
	const (
		forgotten   = 75 * time.Second
		readingTime = 5 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		c := newSimCluster(t)
		for range 12 {
			c.add(1, 100)
		}
		for _, n := range c.nodes {
			n.start()
		}
		time.Sleep(readingTime)
		// Seeds are named by the settings, so an entry never forgets them.
		seeds := slices.Sorted(maps.Keys(c.nodes))[:simSeeds]
		gone := map[string]bool{}
		for address, n := range c.nodes {
			if len(gone) < 3 && n != c.owner() && !slices.Contains(seeds, address) {
				gone[address] = true
				n.kill()
				c.mutex.Lock()
				n.silent = true
				c.mutex.Unlock()
			}
		}
		time.Sleep(forgotten)
		listed := func() map[string]storekeeper.EntryRecord {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			return maps.Clone(c.entries)
		}
		for address := range listed() {
			if gone[address] {
				t.Errorf("%s is still listed", address)
			}
		}
		if contacts, count := c.owner().elector.Contacts(); len(contacts) != 9 || count != 9 {
			t.Errorf("the owner knows %d entries: %v", count, contacts)
		}
		if len(listed()) != 9 {
			t.Errorf("%d entries are listed", len(listed()))
		}
		var removed *simNode
		for address, n := range c.nodes {
			if !gone[address] && n != c.owner() {
				removed = n
			}
		}
		c.mutex.Lock()
		delete(c.entries, removed.address)
		c.mutex.Unlock()
		time.Sleep(readingTime)
		if _, ok := listed()[removed.address]; !ok {
			t.Error("the removed entry has not added itself again")
		}
		if err := removed.elector.Leave(context.Background()); err != nil {
			t.Error(err)
		}
		if _, ok := listed()[removed.address]; ok {
			t.Error("the entry that has left is listed")
		}
		c.stopAll()
		time.Sleep(5 * time.Second)
	})
}
