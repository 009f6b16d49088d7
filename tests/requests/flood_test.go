package requests_test

import (
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/message"
)

// Guards against an overload of one kind of work that uses the share of another kind on the same VMs, against refusals that take
// too long, and against requests with the outcome not-run that have run. The capacity is 11 VMs with 8 slots each. The median
// processing times are long enough that even a busy machine can send ten times as many requests as the VMs can process.
var _ = Describe("An overload at 10 times the capacity", func() {
	for name, c := range map[string]struct {
		services                []string
		overloaded, other       string
		overloadRate, otherRate int
		header                  map[string]string
	}{
		// The capacity for downloads is 88 slots / 0.4 s = 220/s. Previews use a tenth of the slots.
		"by downloads": {[]string{"preview=40ms", "download=400ms"}, "download", "preview", 2200, 220, nil},
		// The capacity for road checks is 88 slots / 0.2 s = 440/s. Plans use 44 slots, which is their share of one half.
		"by road checks": {[]string{"road-check=200ms", "full-plan=800ms"}, "road-check", "full-plan", 4400, 50, nil},
	} {
		It(name+" leaves the other kind of work its share", func() {
			const duration = 5 * time.Second
			i := startInstallation(11, 2, c.services...)
			var group sync.WaitGroup
			var overloadResults, otherResults []result
			group.Go(func() { overloadResults = i.sendAtRate(c.overloaded, "overload", c.overloadRate, duration, c.header) })
			// The requests of the other kind start when the overload uses all slots.
			time.Sleep(time.Second)
			group.Go(func() { otherResults = i.sendAtRate(c.other, "other", c.otherRate, duration-time.Second, c.header) })
			group.Wait()
			GinkgoWriter.Println("overload", countOutcomes(overloadResults), "other", countOutcomes(otherResults))
			// The times tell a machine that is too busy from a share that is too small: if requests last longer, the same slots carry fewer of them.
			doneTimes := sortedDurations(otherResults, message.OutcomeDone)
			Expect(countOutcomes(otherResults)[message.OutcomeDone]).To(BeNumerically(">=", len(otherResults)*9/10),
				"%v; times of those done: %v", countOutcomes(otherResults), doneTimes)
			startsByID, _ := i.startCounts()
			checkNotRun(overloadResults, startsByID)
			checkNotRun(otherResults, startsByID)
			refusalTimes := sortedDurations(overloadResults, message.OutcomeNotRun)
			Expect(len(refusalTimes)).To(BeNumerically(">", len(overloadResults)/2))
			// Requests leave the queue after at most 100 ms; the bound allows for a busy machine.
			Expect(refusalTimes[len(refusalTimes)/2]).To(BeNumerically("<", 300*time.Millisecond))
			for n := range i.VMs {
				Expect(i.endpointCounters(n).MaxConcurrency).To(BeNumerically("<=", 8))
			}
		})
	}
})

// sortedDurations returns the durations of the results with the outcome in increasing order.
func sortedDurations(results []result, outcome string) []time.Duration {
	var durations []time.Duration
	for _, r := range results {
		if r.outcome == outcome {
			durations = append(durations, r.duration)
		}
	}
	slices.Sort(durations)
	return durations
}
