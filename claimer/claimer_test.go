package claimer_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/claimer"
	"bamboohook/stream"
)

var start = time.Unix(1_000_000, 0)

// at returns the log time that is the given number of seconds after start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// step is a record that is replayed at a log time, and whether it is expected to take effect.
type step struct {
	seconds float64
	body    any
	valid   bool
}

// replay applies the steps at the offsets 1, 2 and so on.
func replay(c *claimer.Claimer, steps ...step) {
	for i, s := range steps {
		kind := map[string]string{
			"claimer.Claim": claimer.KindClaim, "claimer.Presence": claimer.KindPresence, "claimer.HandOver": claimer.KindHandOver,
		}[fmt.Sprintf("%T", s.body)]
		Expect(c.Apply(stream.NewRecord(kind, s.body), uint64(i+1), at(s.seconds))).To(Equal(s.valid), "step %d", i+1)
	}
}

var _ = Describe("Claimer", func() {
	claim := func(entry string, previous uint64) claimer.Claim {
		return claimer.Claim{Entry: entry, PreviousEpoch: previous}
	}
	presence := func(entry string) claimer.Presence { return claimer.Presence{Entry: entry} }
	handOver := func(entry string, epoch uint64) claimer.HandOver {
		return claimer.HandOver{Entry: entry, Epoch: epoch}
	}

	for name, c := range map[string]struct {
		steps []step
		owner string
		epoch uint64
	}{
		"two claims of a shard without owner":          {[]step{{0, claim("a", 0), true}, {0, claim("b", 0), false}}, "a", 1},
		"a claim of the shard of a present owner":      {[]step{{0, claim("a", 0), true}, {5, presence("a"), true}, {12, claim("b", 1), false}}, "a", 1},
		"a claim of the shard of an absent owner":      {[]step{{0, claim("a", 0), true}, {8, claim("b", 1), true}}, "b", 2},
		"a claim with an outdated previous epoch":      {[]step{{0, claim("a", 0), true}, {9, claim("b", 1), true}, {30, claim("c", 1), false}}, "b", 2},
		"a claim after a handover":                     {[]step{{0, claim("a", 0), true}, {1, handOver("a", 1), true}, {1, claim("b", 1), true}}, "b", 3},
		"a handover by an entry that is not the owner": {[]step{{0, claim("a", 0), true}, {1, handOver("b", 1), false}}, "a", 1},
		"a handover with a wrong epoch":                {[]step{{0, claim("a", 0), true}, {1, handOver("a", 9), false}}, "a", 1},
		"a handover by a superseded owner":             {[]step{{0, claim("a", 0), true}, {9, claim("b", 1), true}, {9, handOver("a", 1), false}}, "b", 2},
		"a clock of the log service that is set back":  {[]step{{10, claim("a", 0), true}, {2, presence("a"), true}, {17, claim("b", 1), false}}, "a", 1},
	} {
		// Guards against two owners of one shard, and against readers that compute different owners from the same
		// records.
		It("computes the right owner with "+name, func() {
			r := claimer.New(claimer.Options{Entry: "a"})
			replay(r, c.steps...)
			restored := claimer.New(claimer.Options{})
			Expect(restored.Restore(r.Snapshot())).To(Succeed())
			Expect(restored.Ownership(0)).To(Equal(r.Ownership(0)))
			Expect(r.Ownership(0).Owner).To(Equal(c.owner))
			Expect(r.Ownership(0).Epoch).To(Equal(c.epoch))
		})
	}

	// Guards against two owners with the same epoch. An agent could not tell their leases apart.
	It("refuses a second claim in the same append", func() {
		c := claimer.New(claimer.Options{})
		replay(c, step{0, claim("a", 0), true}, step{1, handOver("a", 1), true})
		Expect(c.Apply(stream.NewRecord(claimer.KindClaim, claim("b", 1)), 1, at(1))).To(BeFalse())
	})

	// Guards against forgetting a predecessor whose successor gives the shard up soon afterwards. The leases of the
	// predecessor may still run.
	It("remembers every predecessor", func() {
		c := claimer.New(claimer.Options{})
		replay(c, step{0, claim("a", 0), true}, step{9, claim("b", 1), true}, step{10, handOver("b", 2), true}, step{11, claim("c", 2), true})
		Expect(c.Ownership(0).Predecessors).To(Equal([]claimer.Predecessor{
			{Entry: "a", Epoch: 1, LastRecordLogTime: at(0).UTC()}, {Entry: "b", Epoch: 2, LastRecordLogTime: at(10).UTC(), HandedOver: true},
		}))
	})

	// Guards against an entry that claims the shards of all others after a log outage, when the last record of every
	// entry is old.
	It("claims no shards of other entries until its own records have been uninterrupted for 8 seconds", func() {
		c := claimer.New(claimer.Options{Entry: "b"})
		replay(c, step{0, claim("a", 0), true}, step{0, presence("b"), true}, step{2.9, presence("b"), true})
		Expect(c.ClaimsDue(at(8.5))).To(BeEmpty())
		replay(c, step{900, presence("b"), true})
		Expect(c.ClaimsDue(at(900))).To(BeEmpty())
		replay(c, step{903, presence("b"), true}, step{906, presence("b"), true}, step{909, presence("b"), true})
		Expect(c.ClaimsDue(at(909))).To(HaveLen(1))
	})

	// Guards against an uneven distribution of the shards, and against shards that keep moving between entries.
	It("distributes shards evenly with at most 7 handovers", func() {
		readers := map[string]*claimer.Claimer{}
		offset, now := uint64(0), 0.0
		apply := func(kind string, body any) {
			offset++
			for _, r := range readers {
				r.Apply(stream.NewRecord(kind, body), offset, at(now))
			}
		}
		for _, entry := range []string{"a", "b", "c"} {
			readers[entry] = claimer.New(claimer.Options{Entry: entry, ShardCount: 8})
		}
		handOvers := 0
		for round := range 12 {
			now += 3
			for i, entry := range []string{"a", "b", "c"} {
				if round < 3*i {
					continue
				}
				r := readers[entry]
				apply(claimer.KindPresence, presence(entry))
				for _, shard := range r.HandOversDue(at(now)) {
					handOvers++
					apply(claimer.KindHandOver, claimer.HandOver{Shard: shard, Entry: entry, Epoch: r.Ownership(shard).Epoch})
				}
			}
			for _, entry := range []string{"a", "b", "c"} {
				for _, claim := range readers[entry].ClaimsDue(at(now)) {
					apply(claimer.KindClaim, claim)
				}
			}
		}
		counts := map[string]int{}
		for shard := range 8 {
			counts[readers["a"].Ownership(shard).Owner]++
		}
		Expect(counts).To(Equal(map[string]int{"a": 3, "b": 3, "c": 2}))
		Expect(handOvers).To(BeNumerically("<=", 7))
	})
})
