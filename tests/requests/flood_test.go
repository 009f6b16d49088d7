package requests_test

import (
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/message"
)

// Guards against a flood of one kind of work that takes the share of another on the same VMs, refusals that come late, and a
// refusal told as not-run whose request ran. The capacity is 11 VMs with 8 slots each; the medians are long enough for a busy
// machine to serve ten times the capacity in requests.
var _ = Describe("A flood at 10 times capacity", func() {
	for name, c := range map[string]struct {
		services             []string
		flooding, other      string
		floodRate, otherRate int
		header               map[string]string
	}{
		// Downloads: 88 slots / 0.4 s = 220/s. Previews use a tenth of the slots.
		"of downloads": {[]string{"preview=40ms", "download=400ms"}, "download", "preview", 2200, 220, nil},
		// Road checks: 88 slots / 0.2 s = 440/s. Plans use 44 slots, which is their share of one half.
		"of road checks": {[]string{"road-check=200ms", "full-plan=800ms"}, "road-check", "full-plan", 4400, 50, nil},
	} {
		It(name+" leaves the other kind its share", func() {
			const duration = 5 * time.Second
			i := startInstallation(11, 2, c.services...)
			var group sync.WaitGroup
			var floodResults, otherResults []result
			group.Go(func() { floodResults = i.sendAtRate(c.flooding, "flood", c.floodRate, duration, c.header) })
			// The other kind arrives when the flood has taken all slots.
			time.Sleep(time.Second)
			group.Go(func() { otherResults = i.sendAtRate(c.other, "other", c.otherRate, duration-time.Second, c.header) })
			group.Wait()
			GinkgoWriter.Println("flood", countOutcomes(floodResults), "other", countOutcomes(otherResults))
			Expect(countOutcomes(otherResults)[message.OutcomeDone]).To(BeNumerically(">=", len(otherResults)*9/10))
			ids, _ := i.startCounts()
			checkNotRun(floodResults, ids)
			checkNotRun(otherResults, ids)
			var refusalTimes []time.Duration
			for _, s := range floodResults {
				if s.outcome == message.OutcomeNotRun {
					refusalTimes = append(refusalTimes, s.duration)
				}
			}
			slices.Sort(refusalTimes)
			Expect(len(refusalTimes)).To(BeNumerically(">", len(floodResults)/2))
			// Queues end after 100 ms; the bound allows for the load of the machine.
			Expect(refusalTimes[len(refusalTimes)/2]).To(BeNumerically("<", 300*time.Millisecond))
			for n := range i.VMs {
				Expect(i.endpointCounters(n).MaxConcurrency).To(BeNumerically("<=", 8))
			}
		})
	}
})
