package estimator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/estimator"
	"bamboohook/resource"
)

var _ = Describe("Estimator", func() {
	var (
		clock *clockwork.FakeClock
		e     *estimator.Estimator
	)
	BeforeEach(func() {
		c := clockwork.NewFakeClock()
		clock, e = c, estimator.New(estimator.Options{Clock: c, MaxKinds: 4})
	})
	// observe passes count noisy slowdowns of the service preview to the estimator. They are
	// computed from the given interference of kind with the service and an interference of 0.1 of
	// the kind indexing.
	observe := func(kind string, interference float64, count int) {
		random := rand.New(rand.NewPCG(1, 1))
		for range count {
			shares := map[string]float64{kind: random.Float64(), "indexing": random.Float64()}
			e.Observe("preview", shares, math.Exp(interference*shares[kind]+0.1*shares["indexing"]+0.1*random.NormFloat64()))
		}
	}

	It("attributes a slowdown to the kind that causes it, not to every kind on the VM", func() {
		observe("face-build", 1.5, 300)
		Expect(e.Interference("preview", "face-build")).To(BeNumerically("~", 1.5, 0.2))
		Expect(e.Interference("preview", "indexing")).To(BeNumerically("~", 0.1, 0.2))
	})
	It("limits the change of an estimate by one observation of a small share, which is mostly noise", func() {
		e.Observe("preview", map[string]float64{"face-build": 0.1}, 3)
		Expect(e.Interference("preview", "face-build")).To(BeNumerically("<", 1.5))
	})
	It("lets an estimate decay to PriorMean, so that a kind is not avoided forever after an old slowdown", func() {
		observe("face-build", 1.5, 300)
		clock.Advance(8 * time.Hour)
		Expect(e.Interference("preview", "face-build")).To(BeNumerically("~", 0.2, 0.05))
	})
	It("adds tasks that were committed since the measurement to the reported load, so that no burst of tasks goes to one VM before its next report", func() {
		observe("face-build", 1.5, 300)
		measuredAt := clock.Now()
		clock.Advance(10 * time.Second)
		for range 4 {
			e.Commit("vm", "face-build", 0.2)
		}
		e.SetLoad(estimator.LoadReport{VM: "vm", CriticalServices: []string{"preview"}, MeasuredAt: measuredAt})
		Expect(e.Slowdown("vm", "face-build", 0.2)).To(BeNumerically(">", 3))
		clock.Advance(10 * time.Second)
		e.SetLoad(estimator.LoadReport{VM: "vm", CriticalServices: []string{"preview"}, MeasuredAt: clock.Now()})
		Expect(e.Slowdown("vm", "face-build", 0.2)).To(BeNumerically("<", 1.5), "tasks that the report includes are counted twice")
	})
	It("shares one estimate among all kinds beyond MaxKinds, so that the memory of the Estimator is bounded", func() {
		for i := range 1000 {
			e.Observe("preview", map[string]float64{fmt.Sprint(i): 1}, 4)
		}
		Expect(e.Interference("preview", "500")).To(Equal(e.Interference("preview", "999")))
	})

	declared := estimator.Demand{Size: resource.Amount{MilliProcessors: 1000, MemoryBytes: 1 << 30, Accelerators: 1}, RunTime: time.Minute}
	usedDemand := func(factor float64) estimator.Demand {
		return estimator.Demand{
			Size:    resource.Amount{MilliProcessors: int64(1000 * factor), MemoryBytes: int64(factor * (1 << 30)), Accelerators: 1},
			RunTime: time.Duration(factor * float64(time.Minute)),
		}
	}
	// Guards against tasks that are killed because too little memory is reserved for them.
	It("raises the declared memory if half of the tasks of a kind, or a single completed task, used more; a single task neither replaces the declared run time nor lowers the declared memory to what it used", func() {
		for i := range 200 {
			e.RecordCompletion("face-build", declared, usedDemand(1+3*float64(i%2)))
		}
		corrected := e.Correct("face-build", declared)
		Expect(corrected.Size.MemoryBytes).To(BeNumerically("~", int64(4<<30), int64(1<<28)))
		Expect(corrected.Size.Accelerators).To(BeEquivalentTo(1))
		e.RecordCompletion("full-plan", declared, usedDemand(5))
		Expect(e.Correct("full-plan", declared).RunTime).To(BeNumerically("<", 90*time.Second), "a single completion replaces the declared run time")
		Expect(e.Correct("full-plan", declared).Size.MemoryBytes).To(BeNumerically(">=", int64(5<<30)), "the corrected memory is less than a task has used")
		e.RecordCompletion("indexing", declared, usedDemand(0.2))
		Expect(e.Correct("indexing", declared).Size.MemoryBytes).To(BeNumerically(">", int64(1<<29)), "a single completion lowers the declared memory to the observed usage")
		Expect(e.Correct("unknown", declared)).To(Equal(declared))
	})
})

func BenchmarkSlowdown(b *testing.B) {
	for _, n := range []int{300, 900, 2700} {
		b.Run(fmt.Sprint("vms=", n), func(b *testing.B) {
			e := estimator.New(estimator.Options{Clock: clockwork.NewFakeClock()})
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("vm-", i)
				report := estimator.LoadReport{VM: names[i], CriticalServices: []string{"preview", "download"}, Shares: map[string]float64{}}
				for k := range 8 {
					report.Shares[fmt.Sprint("kind-", k)] = 0.1
				}
				e.SetLoad(report)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				e.Slowdown(names[i%n], "kind-3", 0.05)
			}
		})
	}
}
