package dispatcher_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/dispatcher"
	"bamboohook/internal/batch/job"
	"bamboohook/resource"
)

// simulateOverload simulates builds that arrive faster than they can run for a while. It returns how many builds met their objective, and
// how many ended within the simulated time. Their estimates are off by up to half.
func simulateOverload(seed uint64, queue dispatcher.Queue) (onTime, ended int) {
	const (
		step             = 50 * time.Millisecond
		arrivals         = 15 * time.Second
		duration         = 60 * time.Second
		slots            = 24
		objectiveStretch = 2.0
		objectiveTarget  = time.Second
	)
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.UnixMilli(1_000_000)
	b, d := bookkeeper.New(), &dispatcher.Dispatcher{}
	vms := []*dispatcher.VM{{Name: "v", Service: "s", Capacity: resource.Amount{MilliProcessors: slots * 1000, MemoryBytes: 1}, Schedulable: true}}
	lengths, endTimes := map[string]time.Duration{}, map[*bookkeeper.Task]time.Time{}
	next := start
	for now := start; now.Before(start.Add(duration)); now = now.Add(step) {
		for !next.After(now) && next.Before(start.Add(arrivals)) {
			length := time.Duration(500+random.IntN(3000)) * time.Millisecond
			estimate := time.Duration(float64(length) * (0.5 + random.Float64()))
			id := fmt.Sprint("j", len(lengths))
			lengths[id] = length
			j := b.Accept(job.Job{ID: id, Queue: "q", Occurrences: 1, AcceptedAt: next, Steps: []job.Step{
				{TaskCount: 4 + random.IntN(8), Size: resource.Amount{MilliProcessors: 1000}, Estimate: estimate},
			}})
			b.OpenDueOccurrences(j, now)
			next = next.Add(time.Duration(300+random.IntN(400)) * time.Millisecond)
		}
		for t, end := range endTimes {
			if end.After(now) {
				continue
			}
			delete(endTimes, t)
			vms[0].Remove(t)
			b.TaskDone(t, now)
			if j := t.Step.Job; !j.Live() {
				ended++
				if now.Sub(j.AcceptedAt) <= time.Duration(objectiveStretch*float64(lengths[j.ID]))+objectiveTarget {
					onTime++
				}
			}
		}
		var steps []*bookkeeper.Step
		b.VisitReady(func(s *bookkeeper.Step) { steps = append(steps, s) })
		for _, p := range d.Plan(now, steps, map[string]dispatcher.Queue{"q": queue}, vms) {
			b.RunStarted(p.Task, 1)
			endTimes[p.Task] = now.Add(lengths[p.Task.Step.Job.ID])
		}
	}
	return onTime, ended
}

var _ = Describe("Order under overload", func() {
	// Load pattern: for 15 s, builds arrive at one and a half times the rate that the VM can serve. First come, first served makes
	// nearly all of them late.
	It("completes more builds on time than first come, first served, and completes all of them", func() {
		withObjective := dispatcher.Queue{Service: "s", Stretch: 2, Target: time.Second}
		// With an unlimited objective, all jobs count as on time, which leaves the order of arrival.
		withoutObjective := dispatcher.Queue{Service: "s", Stretch: 1e6, Target: time.Second}
		totalOnTime, totalOnTimeWithoutObjective := 0, 0
		for seed := range uint64(10) {
			onTime, ended := simulateOverload(seed, withObjective)
			onTimeWithoutObjective, endedWithoutObjective := simulateOverload(seed, withoutObjective)
			totalOnTime, totalOnTimeWithoutObjective = totalOnTime+onTime, totalOnTimeWithoutObjective+onTimeWithoutObjective
			Expect(ended).To(Equal(endedWithoutObjective))
		}
		GinkgoWriter.Printf("on time: %d, on time with first come, first served: %d\n", totalOnTime, totalOnTimeWithoutObjective)
		Expect(totalOnTime).To(BeNumerically(">", totalOnTimeWithoutObjective))
	})
})
