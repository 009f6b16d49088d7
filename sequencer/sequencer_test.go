package sequencer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/resource"
	"bamboohook/sequencer"
)

// mondayNoon is noon on a Monday in UTC.
var mondayNoon = time.Date(2026, 11, 30, 12, 0, 0, 0, time.UTC)

func milliProcessors(n int64) resource.Amount { return resource.Amount{MilliProcessors: n} }

var _ = Describe("Sequencer", func() {
	var (
		clock *clockwork.FakeClock
		s     *sequencer.Sequencer
	)
	BeforeEach(func() {
		clock = clockwork.NewFakeClockAt(mondayNoon)
		s = sequencer.New(sequencer.Options{
			Clock: clock, Quotas: map[string]float64{"a": 0.5, "b": 0.5}, Capacity: milliProcessors(10),
			Rules: []sequencer.Rule{{Kind: "full-plan", Importance: 3}},
		})
	})
	// addTask adds a task that is submitted now and advances the clock, so that the next task is submitted later.
	addTask := func(id, team, kind string) {
		Expect(s.Add(sequencer.Item{ID: id, Team: team, Kind: kind, Size: milliProcessors(1), Submitted: clock.Now()})).To(BeTrue())
		clock.Advance(time.Second)
	}
	// takeAll calls Next until no task is waiting and returns the IDs of the tasks in the order of the calls.
	takeAll := func() []string {
		var ids []string
		for item, ok := s.Next(nil); ok; item, ok = s.Next(nil) {
			ids = append(ids, item.ID)
		}
		return ids
	}

	It("returns the task of the more important kind first, although it was submitted later", func() {
		addTask("low", "a", "indexing")
		addTask("high", "a", "full-plan")
		Expect(takeAll()).To(Equal([]string{"high", "low"}))
	})
	It("also scores tasks that Next has returned: higher for a more important kind, and lower by OverQuotaPenalty for a team over its quota", func() {
		addTask("high", "a", "full-plan")
		first, _ := s.Next(nil)
		addTask("low", "a", "indexing")
		second, _ := s.Next(nil)
		Expect(s.Score(first)).To(BeNumerically(">", s.Score(second)))
		s.AddUsage("a", milliProcessors(9))
		Expect(s.Score(first)).To(BeNumerically("<", 0))
	})
	It("raises the scores of tasks with their waiting time, so that tasks of low importance do not wait forever", func() {
		addTask("low", "a", "indexing")
		clock.Advance(31 * time.Minute)
		addTask("high", "a", "full-plan")
		Expect(takeAll()).To(Equal([]string{"low", "high"}))
	})
	It("returns tasks of a team over its quota after those of other teams, but does return them, so that no capacity is left idle", func() {
		s.AddUsage("a", milliProcessors(5))
		addTask("a-1", "a", "full-plan")
		addTask("b-1", "b", "indexing")
		Expect(takeAll()).To(Equal([]string{"b-1", "a-1"}))
	})
	It("subtracts the sizes of tasks that have ended from the usage of their team, so that the team does not stay over its quota", func() {
		s.AddUsage("a", milliProcessors(5))
		addTask("a-1", "a", "indexing")
		addTask("b-1", "b", "indexing")
		s.RemoveUsage("a", milliProcessors(1))
		Expect(takeAll()).To(Equal([]string{"a-1", "b-1"}))
	})
	It("raises the scores of the tasks of a team over its quota with their waiting time, so that they do not wait forever", func() {
		s.AddUsage("a", milliProcessors(5))
		addTask("a-1", "a", "indexing")
		clock.Advance(3 * time.Hour)
		addTask("b-1", "b", "indexing")
		Expect(takeAll()).To(Equal([]string{"a-1", "b-1"}))
	})
	It("skips tasks that do not fit, so that a large task does not block the others", func() {
		addTask("large", "a", "full-plan")
		addTask("small", "b", "indexing")
		item, ok := s.Next(func(i sequencer.Item) bool { return i.ID == "small" })
		Expect(ok).To(BeTrue())
		Expect(item.ID).To(Equal("small"))
		Expect(takeAll()).To(Equal([]string{"large"}), "a skipped task is lost")
	})
	It("inserts a task that is added again, as after an eviction, by its submission time and not at the end of the queue", func() {
		addTask("a-1", "a", "indexing")
		item, _ := s.Next(nil)
		addTask("a-2", "a", "indexing")
		s.RemoveUsage("a", item.Size)
		Expect(s.Add(item)).To(BeTrue())
		Expect(s.Add(item)).To(BeFalse(), "a task that is already waiting is added again")
		Expect(takeAll()).To(Equal([]string{"a-1", "a-2"}))
	})
	It("returns all tasks that were not cancelled, in the order of their submission, and no others", func() {
		var want []string
		for i := range 1000 {
			id := fmt.Sprint(i)
			addTask(id, []string{"a", "b"}[i%2], "indexing")
			if i%5 == 4 {
				want = append(want, id)
			}
		}
		s.Configure(nil, map[string]float64{"a": 1000, "b": 1000}, milliProcessors(1))
		for i := range 1000 {
			if i%5 != 4 {
				Expect(s.Cancel(fmt.Sprint(i))).To(BeTrue())
			}
		}
		Expect(s.Cancel("0")).To(BeFalse())
		Expect(s.Len()).To(Equal(200))
		Expect(takeAll()).To(Equal(want))
	})

	fridayNight := sequencer.Rule{Kind: "indexing", Days: []time.Weekday{time.Friday}, From: 22 * time.Hour, To: 6 * time.Hour}
	ruleCases := map[string]struct {
		rule    sequencer.Rule
		at      time.Time
		applies bool
	}{
		"a rule for Friday 22:00 to Saturday 06:00 on Friday at 23:00":     {fridayNight, time.Date(2026, 12, 4, 23, 0, 0, 0, time.UTC), true},
		"a rule for Friday 22:00 to Saturday 06:00 on Saturday at 05:59":   {fridayNight, time.Date(2026, 12, 5, 5, 59, 0, 0, time.UTC), true},
		"a rule for Friday 22:00 to Saturday 06:00 on Saturday at its end": {fridayNight, time.Date(2026, 12, 5, 6, 0, 0, 0, time.UTC), false},
		"a rule for Friday 22:00 to Saturday 06:00 on Friday at 05:00":     {fridayNight, time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC), false},
		"a rule for Friday 22:00 to Saturday 06:00 on Friday at noon":      {fridayNight, time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC), false},
		"a rule for another kind":                                    {sequencer.Rule{Kind: "full-plan"}, mondayNoon, false},
		"a rule without days and times of day":                       {sequencer.Rule{Kind: "indexing"}, mondayNoon, true},
		"a rule for 08:00 to 09:00 in a time zone where it is 08:00": {sequencer.Rule{Kind: "indexing", From: 8 * time.Hour, To: 9 * time.Hour, Location: time.FixedZone("AST", -4*3600)}, mondayNoon, true},
		"a rule for 08:00 to 09:00 UTC at noon":                      {sequencer.Rule{Kind: "indexing", From: 8 * time.Hour, To: 9 * time.Hour}, mondayNoon, false},
	}
	for name, c := range ruleCases {
		It("reports whether "+name+" applies to the kind indexing", func() {
			Expect(c.rule.Applies("indexing", c.at)).To(Equal(c.applies))
		})
	}
})

// newSequencerWithTasks returns a Sequencer with count waiting tasks of 620 teams and 5 kinds, and the clock of
// the Sequencer.
func newSequencerWithTasks(count int) (*sequencer.Sequencer, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClockAt(mondayNoon)
	random := rand.New(rand.NewPCG(5, 5))
	quotas := map[string]float64{}
	for i := range 620 {
		quotas[fmt.Sprint("team-", i)] = 1.0 / 620
	}
	s := sequencer.New(sequencer.Options{Clock: clock, Quotas: quotas, Capacity: milliProcessors(2700 * 64000)})
	for i := range count {
		clock.Advance(time.Millisecond)
		s.Add(sequencer.Item{
			ID: fmt.Sprint(i), Team: fmt.Sprint("team-", random.IntN(620)), Kind: fmt.Sprint("kind-", random.IntN(5)),
			Size: milliProcessors(1000 + random.Int64N(4000)), Submitted: clock.Now(),
		})
	}
	return s, clock
}

func BenchmarkNext(b *testing.B) {
	for _, n := range []int{6500, 20000, 59000} {
		b.Run(fmt.Sprint("tasks=", n), func(b *testing.B) {
			s, clock := newSequencerWithTasks(n)
			b.ReportAllocs()
			for b.Loop() {
				item, _ := s.Next(nil)
				s.RemoveUsage(item.Team, item.Size)
				clock.Advance(time.Millisecond)
				item.Submitted = clock.Now()
				s.Add(item)
			}
		})
	}
}

// BenchmarkCancelMany cancels 10,000 of 59,000 waiting tasks and then calls Next once.
func BenchmarkCancelMany(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		s, _ := newSequencerWithTasks(59000)
		b.StartTimer()
		for i := range 10000 {
			s.Cancel(fmt.Sprint(i * 5))
		}
		s.Next(nil)
	}
}
