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

// monday is noon on a Monday.
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
	add := func(id, team, kind string) {
		Expect(s.Add(sequencer.Item{ID: id, Team: team, Kind: kind, Size: milliProcessors(1), Submitted: clock.Now()})).To(BeTrue())
		clock.Advance(time.Second)
	}
	takeAll := func() []string {
		var ids []string
		for item, ok := s.Next(nil); ok; item, ok = s.Next(nil) {
			ids = append(ids, item.ID)
		}
		return ids
	}

	It("returns the task of the more important kind first, although it was submitted later", func() {
		add("low", "a", "indexing")
		add("high", "a", "full-plan")
		Expect(takeAll()).To(Equal([]string{"high", "low"}))
	})
	It("scores tasks that Next has returned on the same scale as waiting ones, with the penalty of a team over its quota", func() {
		add("high", "a", "full-plan")
		first, _ := s.Next(nil)
		add("low", "a", "indexing")
		second, _ := s.Next(nil)
		Expect(s.Score(first)).To(BeNumerically(">", s.Score(second)))
		s.AddUsage("a", milliProcessors(9))
		Expect(s.Score(first)).To(BeNumerically("<", 0))
	})
	It("raises tasks with their waiting time, so that unimportant tasks do not wait forever", func() {
		add("low", "a", "indexing")
		clock.Advance(31 * time.Minute)
		add("high", "a", "full-plan")
		Expect(takeAll()).To(Equal([]string{"low", "high"}))
	})
	It("ranks a team over its quota lower but still returns its tasks, so that capacity is not left idle", func() {
		s.AddUsage("a", milliProcessors(5))
		add("a-1", "a", "full-plan")
		add("b-1", "b", "indexing")
		Expect(takeAll()).To(Equal([]string{"b-1", "a-1"}))
	})
	It("subtracts the usage of tasks that have ended, so that a team does not stay over its quota", func() {
		s.AddUsage("a", milliProcessors(5))
		add("a-1", "a", "indexing")
		add("b-1", "b", "indexing")
		s.RemoveUsage("a", milliProcessors(1))
		Expect(takeAll()).To(Equal([]string{"a-1", "b-1"}))
	})
	It("raises the tasks of a team over its quota with their waiting time, so that they do not wait forever", func() {
		s.AddUsage("a", milliProcessors(5))
		add("a-1", "a", "indexing")
		clock.Advance(3 * time.Hour)
		add("b-1", "b", "indexing")
		Expect(takeAll()).To(Equal([]string{"a-1", "b-1"}))
	})
	It("skips tasks that do not fit, so that a large task does not block the others", func() {
		add("large", "a", "full-plan")
		add("small", "b", "indexing")
		item, ok := s.Next(func(i sequencer.Item) bool { return i.ID == "small" })
		Expect(ok).To(BeTrue())
		Expect(item.ID).To(Equal("small"))
		Expect(takeAll()).To(Equal([]string{"large"}), "a skipped task is lost")
	})
	It("inserts an evicted task by its time of submission, not at the end", func() {
		add("a-1", "a", "indexing")
		item, _ := s.Next(nil)
		add("a-2", "a", "indexing")
		s.RemoveUsage("a", item.Size)
		Expect(s.Add(item)).To(BeTrue())
		Expect(s.Add(item)).To(BeFalse(), "a task is added twice")
		Expect(takeAll()).To(Equal([]string{"a-1", "a-2"}))
	})
	It("returns exactly the tasks that were not cancelled", func() {
		var want []string
		for i := range 1000 {
			id := fmt.Sprint(i)
			add(id, []string{"a", "b"}[i%2], "indexing")
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
		"before midnight":                 {fridayNight, time.Date(2026, 12, 4, 23, 0, 0, 0, time.UTC), true},
		"after midnight":                  {fridayNight, time.Date(2026, 12, 5, 5, 59, 0, 0, time.UTC), true},
		"at its end":                      {fridayNight, time.Date(2026, 12, 5, 6, 0, 0, 0, time.UTC), false},
		"in the morning before it begins": {fridayNight, time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC), false},
		"at noon":                         {fridayNight, time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC), false},
		"to another kind":                 {sequencer.Rule{Kind: "full-plan"}, mondayNoon, false},
		"without times of day":            {sequencer.Rule{Kind: "indexing"}, mondayNoon, true},
		"in a time zone west of UTC":      {sequencer.Rule{Kind: "indexing", From: 8 * time.Hour, To: 9 * time.Hour, Location: time.FixedZone("AST", -4*3600)}, mondayNoon, true},
		"outside its times of day":        {sequencer.Rule{Kind: "indexing", From: 8 * time.Hour, To: 9 * time.Hour}, mondayNoon, false},
	}
	for name, c := range ruleCases {
		It("decides whether a rule applies "+name+", by its kind, days and times", func() {
			Expect(c.rule.Applies("indexing", c.at)).To(Equal(c.applies))
		})
	}
})

// newSequencerWithTasks returns a Sequencer with the number of waiting tasks, of 620 teams and 5 kinds, and
// its clock.
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

// BenchmarkCancelMany cancels 10,000 of 59,000 tasks and takes the next one.
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
