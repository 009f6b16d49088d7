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

// overload plays builds that arrive faster than they can be served for a while, and returns how many ended in time, and how many at all
// within the time played. Estimates are off by up to half.
func overload(seed uint64, queue dispatcher.Queue) (inTime, ended int) {
	const (
		step     = 50 * time.Millisecond
		arrivals = 15 * time.Second
		played   = 60 * time.Second
		slots    = 24
		objected = 2.0
		extra    = time.Second
	)
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.UnixMilli(1_000_000)
	b, d := bookkeeper.New(), &dispatcher.Dispatcher{}
	vms := []*dispatcher.VM{{Name: "v", Service: "s", Capacity: resource.Amount{MilliProcessors: slots * 1000, MemoryBytes: 1}, Schedulable: true}}
	lengths, ends := map[string]time.Duration{}, map[*bookkeeper.Task]time.Time{}
	next := start
	for now := start; now.Before(start.Add(played)); now = now.Add(step) {
		for !next.After(now) && next.Before(start.Add(arrivals)) {
			length := time.Duration(500+random.IntN(3000)) * time.Millisecond
			estimate := time.Duration(float64(length) * (0.5 + random.Float64()))
			id := fmt.Sprint("j", len(lengths))
			lengths[id] = length
			j := b.Accept(job.Job{ID: id, Queue: "q", Occurrences: 1, AcceptedAt: next, Steps: []job.Step{
				{Tasks: 4 + random.IntN(8), Size: resource.Amount{MilliProcessors: 1000}, Estimate: estimate},
			}})
			b.OpenDueOccurrences(j, now)
			next = next.Add(time.Duration(300+random.IntN(400)) * time.Millisecond)
		}
		for t, end := range ends {
			if end.After(now) {
				continue
			}
			delete(ends, t)
			vms[0].Remove(t)
			b.TaskDone(t, now)
			if j := t.Step.Job; !j.Live() {
				ended++
				if now.Sub(j.AcceptedAt) <= time.Duration(objected*float64(lengths[j.ID]))+extra {
					inTime++
				}
			}
		}
		var steps []*bookkeeper.Step
		b.VisitReady(func(s *bookkeeper.Step) { steps = append(steps, s) })
		for _, p := range d.Plan(now, steps, map[string]dispatcher.Queue{"q": queue}, vms) {
			b.RunStarted(p.Task, 1)
			ends[p.Task] = now.Add(lengths[p.Task.Step.Job.ID])
		}
	}
	return inTime, ended
}

var _ = Describe("Order under overload", func() {
	// Pattern: builds come at one and a half times of what can be served for 15 s. First come first served lets nearly all of them be late.
	It("serves more builds in time than first come first served, and finishes all", func() {
		known := dispatcher.Queue{Service: "s", Stretch: 2, Target: time.Second}
		// With a boundless objective all jobs count as in time, which leaves the order of arrival.
		arrival := dispatcher.Queue{Service: "s", Stretch: 1e6, Target: time.Second}
		ours, theirs := 0, 0
		for seed := range uint64(10) {
			inTime, ended := overload(seed, known)
			baseline, all := overload(seed, arrival)
			ours, theirs = ours+inTime, theirs+baseline
			Expect(ended).To(Equal(all))
		}
		GinkgoWriter.Printf("in time: %d, first come first served: %d\n", ours, theirs)
		Expect(ours).To(BeNumerically(">", theirs))
	})
})
