package limiter_test

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/limiter"
)

var _ = Describe("Limiter", func() {
	var (
		clock *clockwork.FakeClock
		l     *limiter.Limiter
	)
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		l = limiter.New(limiter.Options{
			Clock: clock, Capacity: 4, Weights: map[string]float64{"urgent": 1, "plan": 1}, MaxQueueLength: 3,
		})
	})
	submit := func(kind string, n int) (tickets []*limiter.Ticket) {
		for range n {
			tickets = append(tickets, l.Submit(kind))
		}
		return tickets
	}

	// Guards against slots that are not returned although requests of the kind that lent them wait.
	It("lends idle slots to another kind and returns them as its requests finish", func() {
		planTickets := submit("plan", 6)
		Expect(planTickets[3].Admitted()).To(BeTrue(), "the idle share is lent")
		Expect(planTickets[4].Admitted()).To(BeFalse())
		urgentTickets := submit("urgent", 3)
		planTickets[0].Release()
		planTickets[1].Release()
		Expect(urgentTickets[1].Admitted()).To(BeTrue(), "both freed slots return to the lending kind")
		Expect(planTickets[4].Admitted()).To(BeFalse())
		Expect(urgentTickets[2].Admitted()).To(BeFalse())
		planTickets[2].Release()
		Expect(planTickets[4].Admitted() != urgentTickets[2].Admitted()).To(BeTrue(), "the freed slot admits one request")
	})

	// Guards against a request that must wait although its kind uses less than its share, because requests of another
	// kind hold all slots.
	It("keeps a reserve of slots only for a recently active kind", func() {
		l.SetCapacity(40)
		l.Submit("urgent").Release()
		planTickets := submit("plan", 40)
		Expect(planTickets[38].Admitted()).To(BeTrue())
		Expect(planTickets[39].Admitted()).To(BeFalse())
		Expect(l.Submit("urgent").Admitted()).To(BeTrue())
		clock.Advance(time.Second)
		planTickets[0].Release()
		Expect(l.Submit("plan").Admitted()).To(BeTrue(), "the idle reserve is lent")
	})

	It("rejects requests beyond the maximum queue length with a retry delay", func() {
		tickets := submit("plan", 8)
		Expect(tickets[6].Rejection()).To(BeNil())
		Expect(*tickets[7].Rejection()).To(Equal(limiter.Rejection{Reason: limiter.ReasonQueueLength, RetryAfter: 100 * time.Millisecond}))
	})

	// Guards against slots that are given to requests whose callers have probably stopped waiting for the response.
	It("rejects requests that have waited too long instead of admitting them", func() {
		tickets := submit("plan", 6)
		clock.Advance(101 * time.Millisecond)
		newestTicket := l.Submit("plan")
		tickets[0].Release()
		Expect(tickets[4].Rejection().Reason).To(Equal(limiter.ReasonQueueDelay))
		Expect(newestTicket.Admitted()).To(BeTrue())
	})

	It("rejects a request on submission if its expected wait exceeds the maximum", func() {
		l = limiter.New(limiter.Options{Clock: clock, Capacity: 1})
		tickets := submit("plan", 3)
		for i := range 60 {
			clock.Advance(3 * time.Millisecond)
			tickets[i].Release()
			tickets = append(tickets, l.Submit("plan"))
			Expect(tickets[i+1].Admitted()).To(BeTrue())
		}
		Expect(l.Submit("plan").Rejection()).To(BeNil(), "9 ms expected, 10 ms allowed")
		lastTicket := l.Submit("plan")
		Expect(lastTicket.Rejection().Reason).To(Equal(limiter.ReasonQueueDelay))
		Expect(lastTicket.Rejection().RetryAfter).To(BeNumerically(">=", 100*time.Millisecond))
	})

	It("applies changes of the capacity to queued and new requests", func() {
		tickets := submit("plan", 6)
		l.SetCapacity(5)
		Expect(tickets[4].Admitted()).To(BeTrue())
		l.SetCapacity(2)
		for i := range 3 {
			tickets[i].Release()
			Expect(tickets[5].Admitted()).To(BeFalse(), "as many requests as the new capacity, or more, still run")
		}
		tickets[3].Release()
		Expect(tickets[5].Admitted()).To(BeTrue())
		l.SetCapacity(0)
		Expect(l.Submit("plan").Rejection().Reason).To(Equal(limiter.ReasonNoCapacity))
	})

	// Guards against a slot that is given to a cancelled request and never released.
	It("removes a cancelled request from the queue", func(ctx SpecContext) {
		admittedTickets := submit("plan", 4)
		waitCtx, cancel := context.WithCancel(ctx)
		result := make(chan *limiter.Rejection)
		go func() {
			_, r := l.Acquire(waitCtx, "plan")
			result <- r
		}()
		Eventually(func() int { _, q := l.Counts("plan"); return q }).Should(Equal(1))
		cancel()
		Expect((<-result).Reason).To(Equal(limiter.ReasonCancelled))
		for _, t := range admittedTickets {
			t.Release()
			t.Release()
		}
		Expect(submit("plan", 5)[3].Admitted()).To(BeTrue(), "no slot is lost or released twice")
	}, SpecTimeout(5*time.Second))
})
