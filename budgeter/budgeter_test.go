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
	// spend calls Spend as often as attempts says, and returns how many retries were allowed.
	spend := func(b *budgeter.Budgeter, attempts int) (spent int) {
		for range attempts {
			if b.Spend() {
				spent++
			}
		}
		return spent
	}
	// allowed is the expected number of retries that are allowed right after the requests, and allowedLater the
	// expected number 10 s later.
	for name, c := range map[string]struct{ requests, minRetries, allowed, allowedLater int }{
		"no requests":                        {0, 0, 3, 3},
		"no minimum":                         {0, -1, 0, 0},
		"many requests":                      {1000, 0, 100, 3},
		"minimum above ratio":                {20, 5, 5, 5},
		"ratio above minimum, not their sum": {100, 5, 10, 5},
	} {
		It("allows the higher of the minimum and the ratio of the requests: "+name, func() {
			clock := clockwork.NewFakeClock()
			b := &budgeter.Budgeter{Clock: clock, MinRetries: c.minRetries}
			for range c.requests {
				b.CountRequest()
			}
			Expect(spend(b, 2000)).To(Equal(c.allowed))
			clock.Advance(9 * time.Second)
			Expect(spend(b, 2000)).To(BeZero(), "the retries are still in the window")
			clock.Advance(time.Second)
			Expect(spend(b, 2000)).To(Equal(c.allowedLater), "the requests and retries have left the window, so the minimum applies")
		})
	}
})
