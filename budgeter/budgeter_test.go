package budgeter_test

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/budgeter"
)

// Guards against retries that multiply the load of an outage.
var _ = Describe("Budgeter", func() {
	spend := func(b *budgeter.Budgeter, tries int) (spent int) {
		for range tries {
			if b.Spend() {
				spent++
			}
		}
		return spent
	}
	for name, c := range map[string]struct{ requests, floor, allowed, later int }{
		"without traffic":      {0, 0, 3, 3},
		"no floor":             {0, -1, 0, 0},
		"share of traffic":     {1000, 0, 100, 3},
		"floor above share":    {20, 5, 5, 5},
		"not share plus floor": {100, 5, 10, 5},
	} {
		It("bounds repeats: "+name, func() {
			clock := clockwork.NewFakeClock()
			b := &budgeter.Budgeter{Clock: clock, MinRetries: c.floor}
			for range c.requests {
				b.CountRequest()
			}
			Expect(spend(b, 2000)).To(Equal(c.allowed))
			clock.Advance(9 * time.Second)
			Expect(spend(b, 2000)).To(BeZero(), "still in the window")
			clock.Advance(time.Second)
			Expect(spend(b, 2000)).To(Equal(c.later), "only the floor is left")
		})
	}
})
