package governor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/governor"
)

// target is the latency target of the service in all reports.
const target = 100 * time.Millisecond

var _ = Describe("Governor", func() {
	// step is a report on a VM with one batch task. delay is the time from the previous report to
	// this one, and age is the time from the measurement to the arrival of the report. share is the fraction of its
	// processors that the task may use. action is the expected decision, or empty if none is expected.
	type step struct {
		delay   time.Duration
		latency time.Duration
		age     time.Duration
		share   float64
		action  governor.Action
	}
	withinTarget, slightlyAbove, farAbove := 50*time.Millisecond, 120*time.Millisecond, 200*time.Millisecond
	second := time.Second
	cases := map[string]struct {
		failure      string
		contribution float64
		steps        []step
	}{
		"a task that can be throttled further": {
			"the task is evicted before it is throttled to MinShare", 1,
			[]step{
				{second, slightlyAbove, 0, 1, governor.Throttle},
				{second, slightlyAbove, 0, 0.5, governor.Throttle},
				{second, slightlyAbove, 0, 0.25, governor.Evict},
			},
		},
		"a report that was measured before the last decision": {
			"the report causes a second decision", 1,
			[]step{{second, slightlyAbove, 5 * second, 1, governor.Throttle}, {5 * second, slightlyAbove, 5500 * time.Millisecond, 0.5, ""}},
		},
		"a report that was measured before the previous one": {
			"a task is throttled although the newer report is within the target", 1,
			[]step{{second, withinTarget, 0, 1, ""}, {second, slightlyAbove, 2 * second, 1, ""}},
		},
		"a task that hardly contributes to the latency": {
			"the task is evicted for a slowdown that it does not cause", 0.01,
			[]step{{second, farAbove, 0, 0.25, ""}, {second, farAbove, 0, 0.25, ""}, {second, farAbove, 0, 0.25, ""}},
		},
		"a VM that has met its target only for a short time": {
			"a throttled task may use more processors before RestoreDelay has passed, and slows down the service again", 1,
			[]step{{second, withinTarget, 0, 0.5, ""}, {59 * second, withinTarget, 0, 0.5, ""}, {second, withinTarget, 0, 0.5, governor.Restore}, {59 * second, withinTarget, 0, 0.5, ""}},
		},
		"a VM that exceeds its target soon after a restore": {
			"the next restore follows after the same delay, so that throttling and restoring alternate forever", 1,
			[]step{
				{second, withinTarget, 0, 0.25, ""},
				{61 * second, withinTarget, 0, 0.25, governor.Restore},
				{second, farAbove, 0, 0.5, governor.Throttle},
				{second, withinTarget, 0, 0.25, ""},
				{61 * second, withinTarget, 0, 0.25, ""},
				{61 * second, withinTarget, 0, 0.25, governor.Restore},
			},
		},
	}
	for name, c := range cases {
		It("given "+name+", avoids this failure: "+c.failure, func() {
			clock := clockwork.NewFakeClock()
			g := governor.New(governor.Options{Clock: clock})
			for i, s := range c.steps {
				clock.Advance(s.delay)
				decisions := g.Observe(governor.LatencyReport{
					VM: "vm", Latency: s.latency, Target: target, Age: s.age,
					Tasks: []governor.Task{{ID: "task", Contribution: c.contribution, Share: s.share}},
				})
				if s.action == "" {
					Expect(decisions).To(BeEmpty(), "step %d", i)
					continue
				}
				Expect(decisions).To(HaveLen(1), "step %d", i)
				Expect(decisions[0].Action).To(Equal(s.action), "step %d", i)
			}
		})
	}

	// countEvictions returns the number of evictions from each VM in one minute in which violatingCount of 100
	// VMs exceed their latency target.
	countEvictions := func(violatingCount int) map[string]int {
		clock := clockwork.NewFakeClock()
		g := governor.New(governor.Options{Clock: clock})
		evictionsByVM := map[string]int{}
		for range 30 {
			clock.Advance(2 * time.Second)
			for i := range 100 {
				name, latency := fmt.Sprint(99-i), target/2
				if 99-i < violatingCount {
					latency = target * 12 / 10
				}
				decisions := g.Observe(governor.LatencyReport{VM: name, Latency: latency, Target: target, Tasks: []governor.Task{{ID: "a", Contribution: 1, Share: 0.25}}})
				for _, d := range decisions {
					if d.Action == governor.Evict {
						evictionsByVM[name]++
					}
				}
			}
		}
		return evictionsByVM
	}
	It("limits the evictions from each VM and from all VMs together, so that slow services on many VMs do not cause many evictions at once", func() {
		Expect(len(countEvictions(40))).To(BeNumerically("~", 5, 1))
		Expect(countEvictions(40)).To(HaveEach(1))
		Expect(countEvictions(1)).To(HaveEach(1), "several tasks are evicted from a single VM within VMEvictionInterval")
	})
	It("evicts no task while most VMs exceed the target, because the cause is then common to the VMs, not the batch tasks on each of them", func() {
		Expect(countEvictions(60)).To(BeEmpty())
	})
	It("throttles only the task with the largest contribution if that is enough to meet the target", func() {
		g := governor.New(governor.Options{Clock: clockwork.NewFakeClock()})
		decisions := g.Observe(governor.LatencyReport{VM: "vm", Latency: target * 12 / 10, Target: target, Tasks: []governor.Task{{"minor", 0.2, 1}, {"major", 1, 1}}})
		Expect(decisions).To(Equal([]governor.Decision{{VM: "vm", Task: "major", Action: governor.Throttle, Share: 0.5, Reason: "latency-above-target"}}))
	})
	It("throttles in one step all tasks that must be throttled to meet the target, because the next report may arrive late", func() {
		g := governor.New(governor.Options{Clock: clockwork.NewFakeClock()})
		tasks := []governor.Task{{"a", 0.6, 1}, {"b", 0.5, 1}, {"c", 0.4, 1}}
		Expect(g.Observe(governor.LatencyReport{VM: "vm", Latency: 2 * target, Target: target, Tasks: tasks})).To(HaveLen(2))
	})
})

func BenchmarkObserve(b *testing.B) {
	for _, n := range []int{300, 900, 2700} {
		b.Run(fmt.Sprint("vms=", n), func(b *testing.B) {
			clock := clockwork.NewFakeClock()
			g := governor.New(governor.Options{Clock: clock})
			reports := make([]governor.LatencyReport, n)
			for i := range reports {
				reports[i] = governor.LatencyReport{VM: fmt.Sprint("vm-", i), Latency: target / 2 * time.Duration(1+i%3), Target: target}
				for t := range 22 {
					reports[i].Tasks = append(reports[i].Tasks, governor.Task{ID: fmt.Sprint(t), Contribution: float64(t) / 22, Share: 1})
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%n == 0 {
					clock.Advance(time.Second)
				}
				g.Observe(reports[i%n])
			}
		})
	}
}
