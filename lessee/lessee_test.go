package lessee_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/lessee"
	"bamboohook/task"
)

var start = time.Unix(1_000_000, 0)

// at returns the time that is the given number of seconds after start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

var _ = Describe("Lessee", func() {
	id := func(epoch uint64) task.Identity { return task.Identity{Job: "j", Attempt: 1, Shard: 2, Epoch: epoch} }
	for name, c := range map[string]struct {
		id        task.Identity
		sent, now float64
		decision  lessee.Decision
		leaseEnd  float64
	}{
		"a renewal":                                  {id(5), 4, 5, lessee.Accepted, 14},
		"a lease of an older epoch":                  {id(4), 4, 5, lessee.StaleEpoch, 10},
		"a lease of a newer epoch":                   {id(6), 4, 5, lessee.Accepted, 14},
		"a lease that has expired on arrival":        {id(5), -20, 5, lessee.Expired, 10},
		"a lease that ends within the expiry margin": {id(5), 0, 7, lessee.Expired, 10},
		"a lease that ends before the current one":   {id(5), -1, 1, lessee.Accepted, 10},
		"a lease of an unknown attempt":              {task.Identity{Job: "x", Shard: 2, Epoch: 5}, 4, 5, lessee.UnknownAttempt, 10},
	} {
		// Guards against accepting a lease that arrives late or comes from a superseded owner, for example from one that
		// was paused.
		It("decides on "+name, func() {
			l := &lessee.Lessee{ExpiryMargin: 3 * time.Second}
			Expect(l.Acquire(id(5), 10*time.Second, at(0), at(0))).To(Equal(lessee.Accepted))
			Expect(l.Renew(c.id, 10*time.Second, at(c.sent), at(c.now))).To(Equal(c.decision))
			leaseEnd, ok := l.LeaseEnd(id(5))
			Expect(ok).To(BeTrue())
			Expect(leaseEnd).To(Equal(at(c.leaseEnd)))
		})
	}

	// Guards against an attempt that continues to run after its lease has ended, and against an agent that accepts
	// older epochs again after the attempt that had the newest one was removed.
	It("reports expiring attempts and refuses older epochs after an attempt was removed", func() {
		l := &lessee.Lessee{ExpiryMargin: 3 * time.Second}
		l.Acquire(id(5), 10*time.Second, at(0), at(0))
		l.Adopt(task.Identity{Job: "a", Shard: -1}, at(20))
		Expect(l.Expiring(at(6.9))).To(BeEmpty())
		Expect(l.Expiring(at(7))).To(Equal([]task.Identity{id(5)}))
		l.Remove(id(5))
		Expect(l.Expiring(at(7))).To(BeEmpty())
		Expect(l.Acquire(id(4), 10*time.Second, at(7), at(7))).To(Equal(lessee.StaleEpoch))
		Expect(l.Fence(2, 9)).To(BeTrue())
		Expect(l.Acquire(id(8), 10*time.Second, at(7), at(7))).To(Equal(lessee.StaleEpoch))
	})
})
