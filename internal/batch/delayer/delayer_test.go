package delayer_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/delayer"
	"bamboohook/internal/batch/job"
	"bamboohook/resource"
)

var _ = Describe("Delayer", func() {
	const (
		second      = time.Second
		millisecond = time.Millisecond
	)
	rack, other := delayer.Rack{Service: "s", Name: "r1"}, delayer.Rack{Service: "s", Name: "r2"}
	core := resource.Amount{MilliProcessors: 1000, MemoryBytes: 10}
	var (
		d     *delayer.Delayer
		now   time.Time
		start = time.UnixMilli(1_000_000)
	)
	// endRuns makes runs end at even intervals for 10 s, perSecond of them each second.
	endRuns := func(perSecond int, size resource.Amount, bestEffort bool) {
		for range 10 * perSecond {
			now = now.Add(second / time.Duration(perSecond))
			d.RunEnded(now, rack, size, bestEffort)
		}
	}
	// request is that of a task of 1 s in a job that has other runs and much time.
	request := func(change func(*delayer.Request)) delayer.Request {
		r := delayer.Request{Rack: rack, Size: core, Places: 1, Duration: second, Chain: second, Left: time.Minute, JobRuns: true}
		change(&r)
		return r
	}
	BeforeEach(func() { d, now = &delayer.Delayer{RemoteFactor: 2}, start })

	for name, c := range map[string]struct {
		change func(*delayer.Request)
		// reason is empty if the task waits, for at most limit.
		reason string
		limit  time.Duration
	}{
		"waits for the next place as long as a start there saves": {func(*delayer.Request) {}, "", second},
		"does not wait longer than a start there saves, in total": {func(r *delayer.Request) { r.Waited = 600 * millisecond }, "", 400 * millisecond},
		"starts if it has waited as long as a start there saves":  {func(r *delayer.Request) { r.Waited = second }, delayer.WaitedEnough, 0},
		"waits for a single place until then":                     {func(r *delayer.Request) { r.Waited = 850 * millisecond }, "", 150 * millisecond},
		"starts with its gang if several places would come later": {
			func(r *delayer.Request) { r.Waited, r.Places = 700*millisecond, 2 }, delayer.TooSlow, 300 * millisecond,
		},
		"waits behind a few others":                          {func(r *delayer.Request) { r.Ahead = 3 }, "", second},
		"starts if too many wait before it":                  {func(r *delayer.Request) { r.Ahead = 5 }, delayer.TooSlow, second},
		"starts if too many places are missing for its gang": {func(r *delayer.Request) { r.Places = 6 }, delayer.TooSlow, second},
		"waits only until a start elsewhere would be late": {
			func(r *delayer.Request) { r.Left = 2500 * millisecond }, "", 500 * millisecond,
		},
		"starts if a start elsewhere is just in time": {func(r *delayer.Request) { r.Left = 2000 * millisecond }, delayer.WaitedEnough, 0},
		"waits if only a start there can be in time":  {func(r *delayer.Request) { r.Left = 1400 * millisecond }, "", 400 * millisecond},
		"waits if it is late anywhere":                {func(r *delayer.Request) { r.Left = 0 }, "", second},
		"counts the steps after it": {
			func(r *delayer.Request) { r.Chain, r.Left = 3*second, 4300*millisecond }, "", 300 * millisecond,
		},
		"waits less than 2.5 s if nothing of its job runs": {
			func(r *delayer.Request) { r.Duration, r.Chain, r.JobRuns = 10*second, 10*second, false }, "", 2 * second,
		},
		"starts after that although a start there saves more": {
			func(r *delayer.Request) {
				r.Duration, r.Chain, r.JobRuns, r.Waited = 10*second, 10*second, false, 2*second
			}, delayer.WaitedEnough, 0,
		},
		"starts if its duration is unknown": {func(r *delayer.Request) { r.Duration = 0 }, delayer.NothingSaved, 0},
		"starts if it needs more than what several ends leave": {
			func(r *delayer.Request) { r.Size.MilliProcessors = 16_000 }, delayer.TooSlow, second,
		},
		"starts if no run has ended on its rack":          {func(r *delayer.Request) { r.Rack = other }, delayer.RateUnknown, second},
		"starts if no run of the service has ended there": {func(r *delayer.Request) { r.Rack.Service = "t" }, delayer.RateUnknown, second},
	} {
		It("decides that a task "+name, func() {
			endRuns(5, core, false)
			decision := d.Decide(now, request(c.change))
			Expect([]any{decision.Wait, decision.Reason}).To(Equal([]any{c.reason == "", c.reason}))
			Expect(decision.Limit).To(BeNumerically("~", c.limit, millisecond))
		})
	}

	It("lets no task wait without a penalty for other racks", func() {
		for _, factor := range []float64{0, 0.5, 1} {
			d = &delayer.Delayer{RemoteFactor: factor}
			endRuns(5, core, false)
			Expect(d.Decide(now, request(func(*delayer.Request) {}))).To(Equal(delayer.Decision{Reason: delayer.NothingSaved}))
		}
		Expect((*delayer.Delayer)(nil).Decide(now, request(func(*delayer.Request) {})).Wait).To(BeFalse())
	})

	for name, c := range map[string]struct {
		size                resource.Amount
		bestEffort, waiting bool
		want                time.Duration
	}{
		"equal runs":                          {core, false, false, 200 * millisecond},
		"runs of four times its size":         {resource.Amount{MilliProcessors: 4000, MemoryBytes: 40}, false, false, 50 * millisecond},
		"runs of a fourth of its size":        {resource.Amount{MilliProcessors: 250, MemoryBytes: 10}, false, false, 800 * millisecond},
		"runs that leave half of its memory":  {resource.Amount{MilliProcessors: 1000, MemoryBytes: 5}, false, false, 400 * millisecond},
		"best-effort runs, if it is such too": {core, true, true, 200 * millisecond},
		"reserved runs, if it is best-effort": {core, false, true, 200 * millisecond},
	} {
		It("expects a place after the ends of "+name, func() {
			endRuns(5, c.size, c.bestEffort)
			decision := d.Decide(now, request(func(r *delayer.Request) { r.BestEffort = c.waiting }))
			Expect(decision.Expected).To(BeNumerically("~", c.want, c.want/8))
		})
	}

	for name, c := range map[string]struct {
		change func(*delayer.Request)
		// demand is the number of started tasks that prefer the rack, for each 10 ends there.
		demand int
		want   string
	}{
		"waits with as many tasks before it as gain from it together":     {func(r *delayer.Request) { r.Ahead = 1 }, 10, ""},
		"starts if later tasks would lose more":                           {func(r *delayer.Request) { r.Ahead = 2 }, 10, delayer.TooCostly},
		"waits behind more if others rarely prefer the rack":              {func(r *delayer.Request) { r.Ahead = 2 }, 2, ""},
		"starts behind fewer if more prefer the rack than fit there":      {func(r *delayer.Request) { r.Ahead = 1 }, 40, delayer.TooCostly},
		"waits behind more if a start elsewhere would delay others there": {func(r *delayer.Request) { r.Ahead, r.Use = 2, 0.9 }, 10, ""},
		"waits behind more if the tasks of its step count as one":         {func(r *delayer.Request) { r.Ahead, r.Group = 3, 4 }, 10, ""},
	} {
		It("decides that a task "+name, func() {
			for n := range 50 {
				now = now.Add(200 * millisecond)
				d.RunEnded(now, rack, core, false)
				for range (n+1)*c.demand/10 - n*c.demand/10 {
					d.TaskStarted(now, rack, core, false)
				}
			}
			decision := d.Decide(now, request(c.change))
			Expect([]any{decision.Wait, decision.Reason}).To(Equal([]any{c.want == "", c.want}))
		})
	}

	// A best-effort run reserves no processors, so its end makes no room for a reservation.
	It("expects no place for a reservation from the ends of best-effort runs", func() {
		endRuns(5, core, true)
		Expect(d.Decide(now, request(func(*delayer.Request) {})).Reason).To(Equal(delayer.RateUnknown))
	})

	It("expects no place any more when no runs have ended for a while", func() {
		endRuns(5, core, false)
		now = now.Add(20 * second)
		Expect(d.Decide(now, request(func(*delayer.Request) {})).Reason).To(Equal(delayer.RateUnknown))
	})

	// Guards against a rate from a window that is as short as the first few ends are apart.
	It("does not take a few ends after a takeover for a high rate", func() {
		for range 3 {
			now = now.Add(millisecond)
			d.RunEnded(now, rack, core, false)
		}
		Expect(d.Decide(now, request(func(*delayer.Request) {})).Expected).To(BeNumerically(">", 300*millisecond))
	})

	It("lets tasks wait less after waits without a place, and tries again later", func() {
		endRuns(5, core, false)
		expected := func() time.Duration { return d.Decide(now, request(func(*delayer.Request) {})).Expected }
		before := expected()
		for range 5 {
			d.WaitEnded(now, rack, 800*millisecond, 200*millisecond, false)
		}
		Expect(expected()).To(BeNumerically(">", 5*before))
		for range 4 {
			endRuns(5, core, false)
		}
		Expect(expected()).To(BeNumerically("<", 2*before))
	})

	It("expects about the same after waits that ended as expected", func() {
		endRuns(5, core, false)
		before := d.Decide(now, request(func(*delayer.Request) {})).Expected
		for range 20 {
			d.WaitEnded(now, rack, 200*millisecond, 200*millisecond, true)
		}
		Expect(d.Decide(now, request(func(*delayer.Request) {})).Expected).To(BeNumerically("~", before, millisecond))
	})

	It("replaces the estimate by the durations of the kind on the preferred rack", func() {
		kind := delayer.KindOf("q", job.Step{Program: "p", Estimate: second})
		Expect(kind).To(Equal(delayer.KindOf("other", job.Step{Program: "p", Estimate: 5 * second})))
		d.TaskDone(now, kind, second, 2*second, false)
		d.TaskDone(now, kind, second, 4*second, true)
		Expect(d.Duration(kind, second)).To(Equal(second))
		d.TaskDone(now, kind, 2*second, 4*second, false)
		Expect(d.Duration(kind, second)).To(BeNumerically("~", 2*second, millisecond))
		Expect(d.Duration("another kind", second)).To(Equal(second))
	})

	// The last run takes seven times as long, which would raise an arithmetic mean of the same weight to 1.75 s.
	It("hardly follows a few runs that take several times as long", func() {
		for n := range 100 {
			took := second
			if n%33 == 0 {
				took = 7 * second
			}
			d.TaskDone(now, "k", second, took, false)
		}
		Expect(d.Duration("k", second)).To(BeNumerically("<", 1300*millisecond))
	})

	It("learns the durations of equal steps without a program or an estimate", func() {
		equal := delayer.KindOf("q", job.Step{Size: core})
		for range 3 {
			d.TaskDone(now, equal, 0, 1500*millisecond, false)
		}
		Expect(d.Duration(equal, 0)).To(BeNumerically("~", 1500*millisecond, millisecond))
		Expect(delayer.KindOf("q", job.Step{Size: core, Estimate: second})).NotTo(Equal(equal))
	})

	// Callers choose the names of programs, so the number of kinds must not grow without a bound.
	It("forgets the kinds and racks of which it has not heard for longest", func() {
		for n := range 1100 {
			now = now.Add(millisecond)
			for range 3 {
				d.TaskDone(now, fmt.Sprint("k", n), second, 3*second, false)
				d.RunEnded(now, delayer.Rack{Name: fmt.Sprint("r", n)}, core, false)
			}
		}
		reason := func(n int) string {
			return d.Decide(now, request(func(r *delayer.Request) { r.Rack = delayer.Rack{Name: fmt.Sprint("r", n)} })).Reason
		}
		Expect([]any{d.Duration("k0", second), reason(0)}).To(Equal([]any{second, delayer.RateUnknown}))
		Expect(d.Duration("k1099", second)).To(BeNumerically("~", 3*second, millisecond))
		Expect(reason(1099)).NotTo(Equal(delayer.RateUnknown))
	})
})
