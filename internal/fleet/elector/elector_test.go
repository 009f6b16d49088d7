package elector_test

import (
	"context"
	"fmt"
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

var errLost = eris.New("no answer")

// world connects electors with each other and with a store. Cuts hold pairs of addresses; the store is the address "store".
type world struct {
	mutex    sync.Mutex
	electors map[string]*elector.Elector
	cuts     map[[2]string]bool
	gone     map[string]bool
	records  []storekeeper.Record
	epoch    uint64
	sequence uint64
	entries  []string
	owners   map[string]uint64
	history  []string
}

func (w *world) reaches(a, b string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return !w.cuts[[2]string{a, b}] && !w.cuts[[2]string{b, a}]
}

func (w *world) cut(a, b string, on bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.cuts[[2]string{a, b}] = on
}

// owning returns the entries that believe that they own the jobs.
func (w *world) owning() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var names []string
	for name := range w.owners {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// member is one entry's way to the others.
type member struct {
	w    *world
	name string
}

func (m member) Ping(ctx context.Context, address string, p messenger.Ping) (messenger.Ping, bool, error) {
	m.w.mutex.Lock()
	gone, other := m.w.gone[address], m.w.electors[address]
	m.w.mutex.Unlock()
	if gone || other == nil {
		return messenger.Ping{}, true, errLost
	}
	if !m.w.reaches(m.name, address) {
		<-ctx.Done()
		return messenger.Ping{}, false, ctx.Err()
	}
	return other.HandlePing(p), false, nil
}

func (m member) Append(ctx context.Context, b storekeeper.Batch) error {
	if !m.w.reaches(m.name, "store") {
		<-ctx.Done()
		return ctx.Err()
	}
	m.w.mutex.Lock()
	defer m.w.mutex.Unlock()
	switch {
	case b.Epoch < m.w.epoch:
		return storekeeper.ErrFenced
	case b.Epoch == m.w.epoch && b.Sequence <= m.w.sequence:
		return nil
	}
	m.w.epoch, m.w.sequence = b.Epoch, b.Sequence
	m.w.records = append(m.w.records, b.Records...)
	return nil
}

func (m member) Load(ctx context.Context) ([]storekeeper.Record, int64, error) {
	return m.Follow(ctx, 0, 0)
}

func (m member) Follow(ctx context.Context, from int64, wait time.Duration) ([]storekeeper.Record, int64, error) {
	if !m.w.reaches(m.name, "store") {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		m.w.mutex.Lock()
		records := slices.Clone(m.w.records[from:])
		m.w.mutex.Unlock()
		if len(records) > 0 || time.Now().After(end) {
			return records, from + int64(len(records)), nil
		}
	}
}

func (m member) RegisterEntry(ctx context.Context, entry string) error {
	if !m.w.reaches(m.name, "store") {
		<-ctx.Done()
		return ctx.Err()
	}
	m.w.mutex.Lock()
	defer m.w.mutex.Unlock()
	m.w.entries = append(m.w.entries, entry)
	return nil
}

func (m member) Entries(context.Context) ([]string, error) {
	if !m.w.reaches(m.name, "store") {
		return nil, errLost
	}
	m.w.mutex.Lock()
	defer m.w.mutex.Unlock()
	return slices.Clone(m.w.entries), nil
}

var _ = Describe("Elector", func() {
	var (
		w     *world
		stops map[string]func()
		boots int
	)
	start := func(name string, seeds ...string) *elector.Elector {
		boots++
		w := w
		m := member{w, name}
		e := &elector.Elector{
			Address: name, Nonce: fmt.Sprint(name, boots), Weight: 1, Seeds: seeds, Peers: m, Store: m, Clock: boottimer.Clock{}, Log: zerolog.Nop(),
			StoreContactTimeout: 1500 * time.Millisecond,
		}
		e.OnOwnershipGained = func(epoch uint64, _ []storekeeper.Record) {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			w.owners[name] = epoch
			w.history = append(w.history, fmt.Sprint(name, " ", epoch))
		}
		e.OnOwnershipLost = func(uint64, string) {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			delete(w.owners, name)
		}
		w.mutex.Lock()
		w.electors[name], w.gone[name] = e, false
		w.mutex.Unlock()
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); _ = e.Run(ctx) }()
		stops[name] = func() {
			w.mutex.Lock()
			w.gone[name] = true
			delete(w.owners, name)
			w.mutex.Unlock()
			cancel()
			<-ended
		}
		return e
	}
	one := func() string {
		Eventually(w.owning).WithTimeout(5 * time.Second).Should(HaveLen(1))
		return w.owning()[0]
	}
	BeforeEach(func() {
		w = &world{
			electors: map[string]*elector.Elector{}, cuts: map[[2]string]bool{}, gone: map[string]bool{}, owners: map[string]uint64{},
		}
		stops, boots = map[string]func(){}, 0
		for _, name := range []string{"a", "b", "c"} {
			start(name, "a", "b")
		}
		DeferCleanup(func() {
			for _, stop := range stops {
				stop()
			}
		})
	})
	others := func(name string) []string {
		return slices.DeleteFunc([]string{"a", "b", "c"}, func(n string) bool { return n == name })
	}

	It("elects one owner that all entries know", func() {
		owner := one()
		for _, name := range []string{"a", "b", "c"} {
			Eventually(func() string { known, _ := w.electors[name].Owner(); return known }).Should(Equal(owner))
		}
		Consistently(w.owning).WithTimeout(time.Second).Should(Equal([]string{owner}))
		Expect(w.history).To(HaveLen(1))
	})

	It("replaces an owner whose process has ended, within 700 ms", func() {
		owner := one()
		time.Sleep(500 * time.Millisecond)
		stops[owner]()
		Eventually(w.owning).WithTimeout(700 * time.Millisecond).Should(HaveLen(1))
	})

	It("elects again after all processes have ended", func() {
		one()
		for _, stop := range stops {
			stop()
		}
		for _, name := range []string{"a", "b", "c"} {
			start(name, "a", "b")
		}
		Eventually(w.owning).WithTimeout(900 * time.Millisecond).Should(HaveLen(1))
	})

	// Guards against entries that take a restarted owner for the owner because it has heard of its former claim.
	It("replaces an owner that was restarted and knows nothing, within 900 ms", func() {
		owner := one()
		time.Sleep(500 * time.Millisecond)
		stops[owner]()
		start(owner, "a", "b")
		Eventually(w.owning).WithTimeout(900 * time.Millisecond).Should(HaveLen(1))
	})

	// Guards against a claim that is given up because the others told of it first.
	It("wins with a claim that it hears of from others before it has read it back", func() {
		owner := one()
		for round := range 5 {
			time.Sleep(500 * time.Millisecond)
			w.electors[owner].Drain()
			Eventually(w.owning).WithTimeout(600 * time.Millisecond).Should(And(HaveLen(1), Not(ContainElement(owner))))
			stops[owner]()
			start(owner, "a", "b")
			owner = w.owning()[0]
			Expect(len(w.history)).To(Equal(round + 2))
		}
	})

	It("hands over when the owner drains", func() {
		owner := one()
		time.Sleep(500 * time.Millisecond)
		w.electors[owner].Drain()
		Eventually(w.owning).WithTimeout(time.Second).Should(And(HaveLen(1), Not(ContainElement(owner))))
	})

	// Guards against two owners that grant leases: one that is cut off from the store must stop before others count it out.
	It("hands over from an owner that alone does not reach the store", func() {
		owner := one()
		time.Sleep(500 * time.Millisecond)
		w.cut(owner, "store", true)
		Eventually(w.owning).WithTimeout(5 * time.Second).Should(And(HaveLen(1), Not(ContainElement(owner))))
		Expect(w.electors[owner].MayGrantLeases()).To(BeFalse())
	})

	It("lets an owner grant on while the store answers nobody", func() {
		owner := one()
		time.Sleep(500 * time.Millisecond)
		for _, name := range []string{"a", "b", "c"} {
			w.cut(name, "store", true)
		}
		Consistently(w.owning).WithTimeout(3 * time.Second).Should(Equal([]string{owner}))
		Expect(w.electors[owner].MayGrantLeases()).To(BeTrue())
		w.cut(owner, others(owner)[0], true)
		Eventually(w.electors[owner].MayGrantLeases).WithTimeout(2*time.Second).Should(BeFalse(), "an entry out of sight may have claimed")
	})

	It("keeps an owner that one entry does not reach, and names a relay", func() {
		owner := one()
		time.Sleep(500 * time.Millisecond)
		rest := others(owner)
		w.cut(owner, rest[0], true)
		Consistently(w.owning).WithTimeout(2 * time.Second).Should(Equal([]string{owner}))
		Expect(w.electors[rest[0]].Relay()).To(Equal(rest[1]))
		Expect(w.electors[rest[1]].Relay()).To(BeEmpty())
	})

	It("ends an ownership when a higher epoch is heard of", func() {
		owner := one()
		_, epoch := w.electors[owner].Owner()
		w.electors[owner].ObserveEpoch(epoch+5, "x")
		Eventually(w.owning).ShouldNot(ContainElement(owner))
	})

	It("finds entries that no seed names through the store", func() {
		one()
		start("d")
		Eventually(func() []string { return w.electors["a"].Entries() }).WithTimeout(5 * time.Second).Should(ContainElement("d"))
	})
})
