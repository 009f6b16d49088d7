package router_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/router"
)

// newRouter returns a router with n endpoints that have 8 slots each. If change is not nil, it can modify the report of
// each endpoint before the router gets the report.
func newRouter(c router.Clock, n int, change func(i int, e *router.EndpointReport)) *router.Router {
	r := router.New(router.Options{Clock: c, Random: rand.New(rand.NewPCG(1, 2)).Uint64})
	for i := range n {
		e := router.EndpointReport{VM: fmt.Sprintf("vm-%04d", i), Generation: "1", Address: "a", Slots: 8, Connections: 64}
		if change != nil {
			change(i, &e)
		}
		r.Report(e)
	}
	return r
}

var _ = Describe("Router", func() {
	var clock *clockwork.FakeClock
	BeforeEach(func() { clock = clockwork.NewFakeClock() })

	// Guards against a request that is sent to an endpoint that must not get one.
	for name, change := range map[string]func(*router.EndpointReport){
		"that is draining":          func(e *router.EndpointReport) { e.Draining = true },
		"without a free slot":       func(e *router.EndpointReport) { e.InFlight = 8 },
		"without a free connection": func(e *router.EndpointReport) { e.Connections, e.InFlight = 2, 2 },
		"on the VM to avoid":        func(e *router.EndpointReport) { e.VM = "avoided" },
	} {
		It("never selects an endpoint "+name, func() {
			r := newRouter(clock, 3, func(i int, e *router.EndpointReport) {
				if i == 0 {
					change(e)
					e.Address = "wrong"
				}
			})
			for range 16 {
				c, ok := r.Pick("avoided")
				Expect(ok).To(BeTrue())
				Expect(c.Address()).To(Equal("a"))
			}
			_, ok := r.Pick("avoided")
			Expect(ok).To(BeFalse(), "16 requests hold all 16 slots")
		})
	}

	It("does not select an endpoint whose last report has expired", func() {
		r := newRouter(clock, 1, nil)
		clock.Advance(2001 * time.Millisecond)
		_, ok := r.Pick("")
		Expect(ok).To(BeFalse())
	})

	// Guards against two concurrent picks that both take the last slot. Run with -race.
	It("never exceeds the slots of an endpoint under concurrent use", func() {
		r := router.New(router.Options{Clock: clock})
		r.Report(router.EndpointReport{VM: "vm", Slots: 1})
		// In each round, four goroutines compete for the only slot. Many rounds are needed, because two goroutines
		// rarely test the slot at exactly the same time.
		for range 5000 {
			var picks atomic.Int64
			var choice atomic.Value
			var waitGroup sync.WaitGroup
			for range 4 {
				waitGroup.Go(func() {
					if c, ok := r.Pick(""); ok {
						picks.Add(1)
						choice.Store(c)
					}
				})
			}
			waitGroup.Wait()
			Expect(picks.Load()).To(Equal(int64(1)))
			r.Cancel(choice.Load().(router.Choice))
		}
	})

	// Guards against a VM that gets more requests than it has slots because each of its services has a router of its
	// own.
	It("shares the slots of a VM among the routers of its services", func() {
		tracker := &router.LoadTracker{}
		previewRouter := router.New(router.Options{Clock: clock, LoadTracker: tracker})
		clock.Advance(time.Second)
		downloadRouter := router.New(router.Options{Clock: clock, LoadTracker: tracker})
		sharedVM := router.EndpointReport{VM: "vm", Slots: 8}
		previewRouter.Report(sharedVM)
		downloadRouter.Report(sharedVM)
		downloadRouter.Report(router.EndpointReport{VM: "own", Slots: 8})
		picks := map[string]int{}
		var lastChoice router.Choice
		for range 40 {
			if c, ok := downloadRouter.Pick(""); ok {
				picks[c.VM()]++
				if c.VM() == "vm" {
					lastChoice = c
				}
			}
		}
		Expect(picks).To(Equal(map[string]int{"vm": 8, "own": 8}))
		_, ok := previewRouter.Pick("")
		Expect(ok).To(BeFalse())
		previewRouter.Remove("vm")
		previewRouter.Report(sharedVM)
		_, ok = previewRouter.Pick("")
		Expect(ok).To(BeFalse(), "the requests of the other service still count")
		downloadRouter.Done(lastChoice, false)
		_, ok = previewRouter.Pick("")
		Expect(ok).To(BeTrue())
	})

	// Guards against rejections because an old report still counts requests of another process that have ended since.
	It("lets each process use its equal part of the slots, and more if the reports show idle slots", func() {
		tracker := &router.LoadTracker{}
		r := router.New(router.Options{Clock: clock, LoadTracker: tracker})
		tracker.SetProcessCount(2)
		for vm, inFlight := range map[string]int{"full": 8, "idle": 0} {
			r.Report(router.EndpointReport{VM: vm, Slots: 8, InFlight: inFlight})
		}
		picks := map[string]int{}
		for range 20 {
			if c, ok := r.Pick(""); ok {
				picks[c.VM()]++
			}
		}
		Expect(picks).To(Equal(map[string]int{"full": 4, "idle": 8}))
	})

	It("ejects a failing endpoint for increasing times, and keeps the minimum number of endpoints in use", func() {
		r := newRouter(clock, 4, nil)
		failingVMs := map[string]bool{"vm-0000": true}
		// sendRequests sends n requests and returns how many of them were sent to failing endpoints.
		sendRequests := func(n int) (failingPicks int) {
			for range n {
				c, ok := r.Pick("")
				Expect(ok).To(BeTrue())
				if failingVMs[c.VM()] {
					failingPicks++
				}
				r.Done(c, failingVMs[c.VM()])
			}
			return failingPicks
		}
		advanceAndReport := func(d time.Duration) {
			clock.Advance(d)
			for i := range 4 {
				r.Report(router.EndpointReport{VM: fmt.Sprintf("vm-%04d", i), Generation: "1", Address: "a", Slots: 8})
			}
		}
		Expect(sendRequests(200)).To(Equal(5))
		advanceAndReport(5100 * time.Millisecond)
		Expect(sendRequests(200)).To(Equal(5), "in use again after the first ejection")
		advanceAndReport(5100 * time.Millisecond)
		Expect(sendRequests(200)).To(Equal(0), "the second ejection is twice as long")
		failingVMs = map[string]bool{"vm-0001": true, "vm-0002": true, "vm-0003": true}
		Expect(sendRequests(400)).To(BeNumerically(">", 50), "two of four endpoints must remain")
	})

	It("ejects an endpoint whose latency is far above the median", func() {
		r := newRouter(clock, 8, nil)
		slowPicks := 0
		for i := range 400 {
			c, _ := r.Pick("")
			clock.Advance(time.Millisecond)
			if c.VM() == "vm-0003" {
				clock.Advance(20 * time.Millisecond)
				if i >= 300 {
					slowPicks++
				}
			}
			r.Done(c, false)
		}
		Expect(slowPicks).To(BeZero())
	})
})
