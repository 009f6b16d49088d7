package elector_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bamboohook/internal/boottimer"
	"bamboohook/internal/fleet/elector"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/storekeeper"
)

var errNoResponse = eris.New("no response")

// cluster connects electors with each other and with a fake store. The keys of partitions are pairs of addresses that can't reach each
// other, where "store" is the address of the store. refusals reports whether a connection attempt in a partition is refused instead of having no
// response. epoch and sequence are those of the last appended batch. ownerEpochs contains the epoch
// of each current owner, ownerHistory the address and the epoch of each ownership that was ever gained.
type cluster struct {
	mutex        sync.Mutex
	electors     map[string]*elector.Elector
	partitions   map[[2]string]bool
	refusals     bool
	stopped      map[string]bool
	records      []storekeeper.Record
	epoch        uint64
	sequence     uint64
	entries      map[string]storekeeper.EntryRecord
	ownerEpochs  map[string]uint64
	ownerHistory []string
}

func (c *cluster) canReach(a, b string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.partitions[[2]string{a, b}] && !c.partitions[[2]string{b, a}]
}

func (c *cluster) setPartition(a, b string, partitioned bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.partitions[[2]string{a, b}] = partitioned
}

// currentOwners returns the addresses of the entries that have gained the ownership and not lost it.
func (c *cluster) currentOwners() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var names []string
	for name := range c.ownerEpochs {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// node implements elector.PeerClient and elector.Store for the entry with the name.
type node struct {
	cluster *cluster
	name    string
}

func (n node) Ping(ctx context.Context, address string, p messenger.Ping) (messenger.Ping, bool, error) {
	n.cluster.mutex.Lock()
	stopped, other, refusals := n.cluster.stopped[address], n.cluster.electors[address], n.cluster.refusals
	n.cluster.mutex.Unlock()
	if stopped || other == nil || refusals && !n.cluster.canReach(n.name, address) {
		return messenger.Ping{}, true, errNoResponse
	}
	if !n.cluster.canReach(n.name, address) {
		<-ctx.Done()
		return messenger.Ping{}, false, ctx.Err()
	}
	return other.HandlePing(p), false, nil
}

func (n node) Append(ctx context.Context, b storekeeper.Batch) error {
	if !n.cluster.canReach(n.name, "store") {
		<-ctx.Done()
		return ctx.Err()
	}
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	switch {
	case b.Epoch < n.cluster.epoch:
		return storekeeper.ErrFenced
	case b.Epoch == n.cluster.epoch && b.Sequence <= n.cluster.sequence:
		return nil
	}
	n.cluster.epoch, n.cluster.sequence = b.Epoch, b.Sequence
	n.cluster.records = append(n.cluster.records, b.Records...)
	return nil
}

func (n node) Load(ctx context.Context) ([]storekeeper.Record, int64, error) {
	return n.Follow(ctx, 0, 0)
}

func (n node) Follow(ctx context.Context, from int64, wait time.Duration) ([]storekeeper.Record, int64, error) {
	if !n.cluster.canReach(n.name, "store") {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		n.cluster.mutex.Lock()
		records := slices.Clone(n.cluster.records[from:])
		n.cluster.mutex.Unlock()
		if len(records) > 0 || time.Now().After(end) {
			return records, from + int64(len(records)), nil
		}
	}
}

func (n node) RegisterEntry(ctx context.Context, entry storekeeper.EntryRecord) error {
	if !n.cluster.canReach(n.name, "store") {
		<-ctx.Done()
		return ctx.Err()
	}
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	n.cluster.entries[entry.Address] = entry
	return nil
}

func (n node) RemoveEntry(_ context.Context, address string) error {
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	delete(n.cluster.entries, address)
	return nil
}

func (n node) Entries(context.Context) ([]storekeeper.EntryRecord, error) {
	if !n.cluster.canReach(n.name, "store") {
		return nil, errNoResponse
	}
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	return slices.Collect(maps.Values(n.cluster.entries)), nil
}

var _ = Describe("Elector", func() {
	var (
		c          *cluster
		stopFuncs  map[string]func()
		startCount int
	)
	start := func(name string, seeds ...string) *elector.Elector {
		startCount++
		c := c
		n := node{c, name}
		e := &elector.Elector{
			Address: name, Generation: fmt.Sprint(name, startCount), Weight: 1, Seeds: seeds, PeerClient: n, Store: n, Clock: boottimer.Clock{}, Log: zerolog.Nop(),
			StoreContactTimeout: 1500 * time.Millisecond,
		}
		e.OnOwnershipGained = func(epoch uint64, _ []storekeeper.Record) {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			c.ownerEpochs[name] = epoch
			c.ownerHistory = append(c.ownerHistory, fmt.Sprint(name, " ", epoch))
		}
		e.OnOwnershipLost = func(uint64, string) {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			delete(c.ownerEpochs, name)
		}
		c.mutex.Lock()
		c.electors[name], c.stopped[name] = e, false
		c.mutex.Unlock()
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); _ = e.Run(ctx) }()
		stopFuncs[name] = func() {
			c.mutex.Lock()
			c.stopped[name] = true
			delete(c.ownerEpochs, name)
			c.mutex.Unlock()
			cancel()
			<-ended
		}
		return e
	}
	awaitOwner := func() string {
		Eventually(c.currentOwners).WithTimeout(5 * time.Second).Should(HaveLen(1))
		return c.currentOwners()[0]
	}
	BeforeEach(func() {
		c = &cluster{
			electors: map[string]*elector.Elector{}, partitions: map[[2]string]bool{}, stopped: map[string]bool{}, ownerEpochs: map[string]uint64{}, entries: map[string]storekeeper.EntryRecord{},
		}
		stopFuncs, startCount = map[string]func(){}, 0
		for _, name := range []string{"a", "b", "c"} {
			start(name, "a", "b")
		}
		DeferCleanup(func() {
			for _, stop := range stopFuncs {
				stop()
			}
		})
	})
	others := func(name string) []string {
		return slices.DeleteFunc([]string{"a", "b", "c"}, func(n string) bool { return n == name })
	}

	It("elects one owner, which all entries know", func() {
		owner := awaitOwner()
		for _, name := range []string{"a", "b", "c"} {
			Eventually(func() string { known, _ := c.electors[name].Owner(); return known }).Should(Equal(owner))
		}
		Consistently(c.currentOwners).WithTimeout(time.Second).Should(Equal([]string{owner}))
		Expect(c.ownerHistory).To(HaveLen(1))
	})

	It("replaces an owner whose process has ended, within 700 ms", func() {
		owner := awaitOwner()
		time.Sleep(500 * time.Millisecond)
		stopFuncs[owner]()
		Eventually(c.currentOwners).WithTimeout(700 * time.Millisecond).Should(HaveLen(1))
	})

	It("elects an owner after all entries were restarted", func() {
		awaitOwner()
		for _, stop := range stopFuncs {
			stop()
		}
		for _, name := range []string{"a", "b", "c"} {
			start(name, "a", "b")
		}
		Eventually(c.currentOwners).WithTimeout(900 * time.Millisecond).Should(HaveLen(1))
	})

	// A restarted process learns from the other entries that an earlier process at its address was the owner. Guards against entries that
	// therefore accept the new process as the owner.
	It("replaces an owner that was restarted, within 900 ms", func() {
		owner := awaitOwner()
		time.Sleep(500 * time.Millisecond)
		stopFuncs[owner]()
		start(owner, "a", "b")
		Eventually(c.currentOwners).WithTimeout(900 * time.Millisecond).Should(HaveLen(1))
	})

	// An entry may learn the epoch of its own claim from other entries before it has read the claim back. Guards against an entry that
	// then gives up the ownership.
	It("makes an entry the owner even if others report its claim to it before it has read the claim back", func() {
		owner := awaitOwner()
		for round := range 5 {
			time.Sleep(500 * time.Millisecond)
			c.electors[owner].Drain()
			Eventually(c.currentOwners).WithTimeout(600 * time.Millisecond).Should(And(HaveLen(1), Not(ContainElement(owner))))
			stopFuncs[owner]()
			start(owner, "a", "b")
			owner = c.currentOwners()[0]
			Expect(len(c.ownerHistory)).To(Equal(round + 2))
		}
	})

	It("replaces an owner that drains", func() {
		owner := awaitOwner()
		time.Sleep(500 * time.Millisecond)
		c.electors[owner].Drain()
		Eventually(c.currentOwners).WithTimeout(time.Second).Should(And(HaveLen(1), Not(ContainElement(owner))))
	})

	// Guards against two owners that grant leases at the same time: an owner without contact with the store must stop granting leases
	// before the other entries replace it.
	It("replaces an owner if it is the only entry that does not reach the store", func() {
		owner := awaitOwner()
		time.Sleep(500 * time.Millisecond)
		c.setPartition(owner, "store", true)
		Eventually(c.currentOwners).WithTimeout(5 * time.Second).Should(And(HaveLen(1), Not(ContainElement(owner))))
		Expect(c.electors[owner].MayGrantLeases()).To(BeFalse())
	})

	It("lets an owner keep granting leases while no entry reaches the store, but not if the owner can't reach one of them", func() {
		owner := awaitOwner()
		time.Sleep(500 * time.Millisecond)
		for _, name := range []string{"a", "b", "c"} {
			c.setPartition(name, "store", true)
		}
		Consistently(c.currentOwners).WithTimeout(3 * time.Second).Should(Equal([]string{owner}))
		Expect(c.electors[owner].MayGrantLeases()).To(BeTrue())
		c.setPartition(owner, others(owner)[0], true)
		Eventually(c.electors[owner].MayGrantLeases).WithTimeout(2*time.Second).Should(BeFalse(), "an unreachable entry may have claimed the ownership")
	})

	// Guards against a task that runs twice under two owners: a partition refuses the connections to an entry that reaches the store and has claimed
	// the ownership, and the former owner takes the refusals for the end of that entry.
	It("does not let an owner without contact to the store grant leases because another entry refuses connections", func() {
		owner := awaitOwner()
		time.Sleep(500 * time.Millisecond)
		rest := others(owner)
		c.mutex.Lock()
		c.refusals = true
		c.mutex.Unlock()
		for _, name := range []string{owner, rest[0]} {
			c.setPartition(name, "store", true)
			c.setPartition(name, rest[1], true)
		}
		Eventually(c.currentOwners).WithTimeout(5 * time.Second).Should(ContainElement(rest[1]))
		Eventually(c.electors[owner].MayGrantLeases).WithTimeout(2 * time.Second).Should(BeFalse())
		Consistently(c.electors[owner].MayGrantLeases).WithTimeout(3 * time.Second).Should(BeFalse())
	})

	It("keeps an owner that only one entry does not reach, and gives that entry the address of a relay", func() {
		owner := awaitOwner()
		time.Sleep(500 * time.Millisecond)
		rest := others(owner)
		c.setPartition(owner, rest[0], true)
		Consistently(c.currentOwners).WithTimeout(2 * time.Second).Should(Equal([]string{owner}))
		Expect(c.electors[rest[0]].Relay()).To(Equal(rest[1]))
		Expect(c.electors[rest[1]].Relay()).To(BeEmpty())
	})

	It("ends the ownership of an entry that observes a higher epoch", func() {
		owner := awaitOwner()
		_, epoch := c.electors[owner].Owner()
		c.electors[owner].ObserveEpoch(epoch+5, "x")
		Eventually(c.currentOwners).ShouldNot(ContainElement(owner))
	})

	It("reads from the store the addresses of entries that aren't seeds", func() {
		awaitOwner()
		start("d")
		Eventually(func() []string { contacts, _ := c.electors["a"].Contacts(); return contacts }).WithTimeout(5 * time.Second).Should(ContainElement("d"))
	})
})
