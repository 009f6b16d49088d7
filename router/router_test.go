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

	// Guards against a request that is sent to an endpoint that must not receive it.
	for name, change := range map[string]func(*router.EndpointReport){
		"draining":       func(e *router.EndpointReport) { e.Draining = true },
		"full slots":     func(e *router.EndpointReport) { e.InFlight = 8 },
		"no connections": func(e *router.EndpointReport) { e.Connections, e.InFlight = 2, 2 },
		"avoided":        func(e *router.EndpointReport) { e.VM = "avoided" },
	} {
		It("never selects an endpoint that is "+name, func() {
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
			Expect(ok).To(BeFalse(), "17 requests on 16 slots")
		})
	}

	It("does not select an endpoint whose last report has expired", func() {
		r := newRouter(clock, 1, nil)
		clock.Advance(2001 * time.Millisecond)
		_, ok := r.Pick("")
		Expect(ok).To(BeFalse())
	})

	// Guards against two concurrent picks that take the same last slot. Run with -race.
	It("never exceeds the slots under concurrent use", func() {
		r := router.New(router.Options{Clock: clock})
		r.Report(router.EndpointReport{VM: "vm", Slots: 1})
		// In each round all goroutines compete for the only slot. A single round seldom hits the race.
		for range 5000 {
			var picks atomic.Int64
			var choice atomic.Value
			var group sync.WaitGroup
			for range 4 {
				group.Go(func() {
					if c, ok := r.Pick(""); ok {
						picks.Add(1)
						choice.Store(c)
					}
				})
			}
			group.Wait()
			Expect(picks.Load()).To(Equal(int64(1)))
			r.Cancel(choice.Load().(router.Choice))
		}
	})

	// Guards against slots of a VM that are taken once for each of its services.
	It("shares the slots of a VM among the routers of its services", func() {
		loads := &router.LoadTracker{}
		preview := router.New(router.Options{Clock: clock, LoadTracker: loads})
		clock.Advance(time.Second)
		download := router.New(router.Options{Clock: clock, LoadTracker: loads})
		shared := router.EndpointReport{VM: "vm", Slots: 8}
		preview.Report(shared)
		download.Report(shared)
		download.Report(router.EndpointReport{VM: "own", Slots: 8})
		picks := map[string]int{}
		var last router.Choice
		for range 40 {
			if c, ok := download.Pick(""); ok {
				picks[c.VM()]++
				if c.VM() == "vm" {
					last = c
				}
			}
		}
		Expect(picks).To(Equal(map[string]int{"vm": 8, "own": 8}))
		_, ok := preview.Pick("")
		Expect(ok).To(BeFalse())
		preview.Remove("vm")
		preview.Report(shared)
		_, ok = preview.Pick("")
		Expect(ok).To(BeFalse(), "the load is kept while the service is removed")
		download.Done(last, false)
		_, ok = preview.Pick("")
		Expect(ok).To(BeTrue())
	})

	// Guards against rejections in one process because a report still counts requests of another process that
	// have ended.
	It("gives each process its part of the slots, and more if the reports show idle slots", func() {
		loads := &router.LoadTracker{}
		r := router.New(router.Options{Clock: clock, LoadTracker: loads})
		loads.SetProcessCount(2)
		for vm, busy := range map[string]int{"full": 8, "idle": 0} {
			r.Report(router.EndpointReport{VM: vm, Slots: 8, InFlight: busy})
		}
		picks := map[string]int{}
		for range 20 {
			if c, ok := r.Pick(""); ok {
				picks[c.VM()]++
			}
		}
		Expect(picks).To(Equal(map[string]int{"full": 4, "idle": 8}))
	})

	It("ejects a failing endpoint for increasing times and keeps the minimum in use", func() {
		r := newRouter(clock, 4, nil)
		failing := map[string]bool{"vm-0000": true}
		run := func(n int) (hit int) {
			for range n {
				c, ok := r.Pick("")
				Expect(ok).To(BeTrue())
				if failing[c.VM()] {
					hit++
				}
				r.Done(c, failing[c.VM()])
			}
			return hit
		}
		report := func(d time.Duration) {
			clock.Advance(d)
			for i := range 4 {
				r.Report(router.EndpointReport{VM: fmt.Sprintf("vm-%04d", i), Generation: "1", Address: "a", Slots: 8})
			}
		}
		Expect(run(200)).To(Equal(5))
		report(5100 * time.Millisecond)
		Expect(run(200)).To(Equal(5), "back after the first ejection")
		report(5100 * time.Millisecond)
		Expect(run(200)).To(Equal(0), "the second ejection is twice as long")
		failing = map[string]bool{"vm-0001": true, "vm-0002": true, "vm-0003": true}
		Expect(run(400)).To(BeNumerically(">", 50), "two of four endpoints must remain")
	})

	It("ejects an endpoint far above the median latency", func() {
		r := newRouter(clock, 8, nil)
		hit := 0
		for i := range 400 {
			c, _ := r.Pick("")
			clock.Advance(time.Millisecond)
			if c.VM() == "vm-0003" {
				clock.Advance(20 * time.Millisecond)
				if i >= 300 {
					hit++
				}
			}
			r.Done(c, false)
		}
		Expect(hit).To(BeZero())
	})
})
