package budgeter_test

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/budgeter"
)

// Guards against retries that multiply the load during an outage.
var _ = Describe("Budgeter", func() {
	spend := func(b *budgeter.Budgeter, attempts int) (spent int) {
		for range attempts {
			if b.Spend() {
				spent++
			}
		}
		return spent
	}
	for name, c := range map[string]struct{ requests, minRetries, allowed, allowedLater int }{
		"without traffic":        {0, 0, 3, 3},
		"no minimum":             {0, -1, 0, 0},
		"ratio of the traffic":   {1000, 0, 100, 3},
		"minimum above ratio":    {20, 5, 5, 5},
		"not ratio plus minimum": {100, 5, 10, 5},
	} {
		It("limits retries: "+name, func() {
			clock := clockwork.NewFakeClock()
			b := &budgeter.Budgeter{Clock: clock, MinRetries: c.minRetries}
			for range c.requests {
				b.CountRequest()
			}
			Expect(spend(b, 2000)).To(Equal(c.allowed))
			clock.Advance(9 * time.Second)
			Expect(spend(b, 2000)).To(BeZero(), "still in the window")
			clock.Advance(time.Second)
			Expect(spend(b, 2000)).To(Equal(c.allowedLater), "only the minimum is left")
		})
	}
})
