package router_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"bamboohook/router"
)

// endpointCount is the number of endpoints in BenchmarkPick.
const endpointCount = 2700

// BenchmarkPick reports the time and the allocations of a call of Pick and the following call of Done. Each endpoint
// has 8 slots, of which 4, 7 or all are in use.
func BenchmarkPick(b *testing.B) {
	for name, inFlight := range map[string]int{"half": 4, "nearly-full": 7, "full": 8} {
		b.Run(name, func(b *testing.B) {
			r := router.New(router.Options{MaxReportAge: time.Hour})
			for i := range endpointCount {
				r.Report(router.EndpointReport{VM: fmt.Sprint(i), Slots: 8, InFlight: inFlight})
			}
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					if c, ok := r.Pick(""); ok {
						r.Done(c, false)
					}
				}
			})
		})
	}
}

// BenchmarkBalance simulates requests that use 70% of all slots, with reports that are up to 500 ms old. For each
// request it records the number of requests at the selected endpoint, including this one, and reports the 99th
// percentile and the maximum of these numbers. For comparison, it does the same with other policies.
func BenchmarkBalance(b *testing.B) {
	// One request arrives in each tick of 100 us. meanDurationTicks is the mean duration of a request in ticks.
	const simulatedEndpoints, slots, arrivals, meanDurationTicks = 200, 8, 100_000, 1120
	random := rand.New(rand.NewPCG(1, 2))
	// A policy is a function that selects the endpoint for a request: its arguments are the number of the request and
	// the reported loads of the endpoints, and its result is the index of an endpoint. nil means that the router
	// selects the endpoint.
	policies := map[string]func(int, []int) int{
		"random":        func(int, []int) int { return random.IntN(simulatedEndpoints) },
		"round-robin":   func(i int, _ []int) int { return i % simulatedEndpoints },
		"least-request": func(_ int, reportedLoads []int) int { return leastLoaded(reportedLoads) },
		"router":        nil,
	}
	for name, selectEndpoint := range policies {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				clock := clockwork.NewFakeClock()
				r := newRouter(clock, simulatedEndpoints, nil)
				loads, reportedLoads, arrivalsByLoad := make([]int, simulatedEndpoints), make([]int, simulatedEndpoints), make([]int, arrivals)
				type simulatedRequest struct {
					endpoint int
					choice   router.Choice
				}
				// requestsByEnd holds the requests that end in each tick.
				requestsByEnd := make([][]simulatedRequest, arrivals+4*meanDurationTicks)
				for i := range arrivals {
					for _, j := range requestsByEnd[i] {
						loads[j.endpoint]--
						if selectEndpoint == nil {
							r.Done(j.choice, false)
						}
					}
					clock.Advance(100 * time.Microsecond)
					if i%5000 == 0 {
						copy(reportedLoads, loads)
						for e := range simulatedEndpoints {
							r.Report(router.EndpointReport{VM: fmt.Sprintf("vm-%04d", e), Generation: "1", Address: "a", Slots: slots, InFlight: loads[e]})
						}
					}
					var j simulatedRequest
					if selectEndpoint == nil {
						var ok bool
						if j.choice, ok = r.Pick(""); !ok {
							b.Fatal("Pick found no free slot although only 70% of the slots are in use")
						}
						_, _ = fmt.Sscanf(j.choice.VM(), "vm-%d", &j.endpoint)
					} else {
						j.endpoint = selectEndpoint(i, reportedLoads)
					}
					loads[j.endpoint]++
					arrivalsByLoad[loads[j.endpoint]]++
					// The durations of the requests are exponentially distributed, but at most four times the mean.
					endTick := i + 1 + min(int(random.ExpFloat64()*meanDurationTicks), 4*meanDurationTicks-2)
					requestsByEnd[endTick] = append(requestsByEnd[endTick], j)
				}
				b.ReportMetric(float64(percentile(arrivalsByLoad, arrivals, 0.99)), "p99-load")
				b.ReportMetric(float64(percentile(arrivalsByLoad, arrivals, 1)), "max-load")
			}
		})
	}
}

// leastLoaded returns the index of the lowest of the loads.
func leastLoaded(loads []int) int {
	best := 0
	for i, l := range loads {
		if l < loads[best] {
			best = i
		}
	}
	return best
}

// percentile returns the lowest load l for which at least the fraction q of the requests have a load of at most l.
// counts[n] is the number of requests with the load n, and total is the number of all requests.
func percentile(counts []int, total int, q float64) int {
	sum := 0
	for load, n := range counts {
		if sum += n; float64(sum) >= q*float64(total) {
			return load
		}
	}
	return len(counts)
}
