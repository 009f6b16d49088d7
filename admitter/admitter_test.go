package admitter_test

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/admitter"
	"bamboohook/resource"
)

func amount(p, m, a int64) resource.Amount {
	return resource.Amount{MilliProcessors: p, MemoryBytes: m, Accelerators: a}
}

var _ = Describe("Admitter", func() {
	for name, c := range map[string]struct {
		size resource.Amount
		want admitter.Decision
	}{
		"a size that exactly fits": {amount(500, 50, 1), admitter.Committed},
		"too many processors":      {amount(501, 1, 0), admitter.ProcessorsExhausted},
		"too much memory":          {amount(1, 51, 0), admitter.MemoryExhausted},
		"too many accelerators":    {amount(1, 1, 2), admitter.AcceleratorsExhausted},
		"a negative size":          {amount(1, -1, 0), admitter.NegativeSize},
		"a size whose sum with the committed amount overflows": {amount(math.MaxInt64, 1, 0), admitter.ProcessorsExhausted},
	} {
		// Guards against committing more processors, memory or accelerators than the VM has.
		It("decides on "+name, func() {
			a := &admitter.Admitter{}
			Expect(a.Commit("early", amount(1, 1, 0))).To(Equal(admitter.NotReady))
			a.Initialize(amount(1000, 100, 2), map[string]resource.Amount{"old": amount(500, 50, 1)})
			Expect(a.Commit("new", c.size)).To(Equal(c.want))
		})
	}

	// Guards against committing resources twice when a start is repeated, and against a repeated start that gets more
	// resources than the first one.
	It("recognizes repeated commits and frees resources on release", func() {
		a := &admitter.Admitter{}
		a.Initialize(amount(10, 10, 0), nil)
		Expect(a.Commit("x", amount(6, 6, 0)).Accepted()).To(BeTrue())
		Expect(a.Commit("x", amount(6, 6, 0))).To(Equal(admitter.Repeated))
		Expect(a.Commit("x", amount(7, 6, 0))).To(Equal(admitter.DifferentSize))
		Expect(a.Committed()).To(Equal(amount(6, 6, 0)))
		Expect(a.Release("x")).To(BeTrue())
		Expect(a.Release("x")).To(BeFalse())
		Expect(a.Committed()).To(Equal(amount(0, 0, 0)))
	})

	// Guards against admitting further attempts after a restart of the agent, when the worker may report attempts that
	// exceed the capacity, or a size that overflows or is negative.
	It("admits no attempt while the running attempts exceed the capacity", func() {
		a := &admitter.Admitter{}
		a.Initialize(amount(10, 10, 1), nil)
		a.Adopt("big", amount(20, 1, 0))
		a.Adopt("wrong", amount(math.MaxInt64, -5, 0))
		Expect(a.Commit("x", amount(1, 1, 0))).To(Equal(admitter.ProcessorsExhausted))
	})

	// Guards against admitting several attempts to the last units of a resource when several owners believe that these
	// units are free.
	It("admits only one of many concurrent commits for the last units of a resource", func() {
		for _, size := range []resource.Amount{amount(1000, 0, 0), amount(0, 1<<30, 0), amount(0, 0, 1)} {
			a := &admitter.Admitter{}
			a.Initialize(size, nil)
			var admitted atomic.Int32
			var commits sync.WaitGroup
			for i := range 16 {
				commits.Go(func() {
					if a.Commit(fmt.Sprint(i), size).Accepted() {
						admitted.Add(1)
					}
				})
			}
			commits.Wait()
			Expect(admitted.Load()).To(Equal(int32(1)))
		}
	})
})
