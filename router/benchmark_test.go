package router_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"bamboohook/router"
)

const fleetSize = 2700

func BenchmarkPick(b *testing.B) {
	for name, filled := range map[string]int{"half": 4, "nearly-full": 7, "full": 8} {
		b.Run(name, func(b *testing.B) {
			r := router.New(router.Options{MaxReportAge: time.Hour})
			for i := range fleetSize {
				r.Report(router.EndpointReport{VM: fmt.Sprint(i), Slots: 8, InFlight: filled})
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

// BenchmarkBalance reports the 99th percentile and the maximum of the load of the selected endpoint when a
// request arrives, at 70% of the slots and with reports that are up to 500 ms old. The baseline policies use the
// same reports.
func BenchmarkBalance(b *testing.B) {
	const endpoints, slots, arrivals, meanDuration = 200, 8, 100_000, 1120
	random := rand.New(rand.NewPCG(1, 2))
	policies := map[string]func(int, []int) int{
		"random":        func(int, []int) int { return random.IntN(endpoints) },
		"round-robin":   func(i int, _ []int) int { return i % endpoints },
		"least-request": func(_ int, reported []int) int { return leastLoaded(reported) },
		"router":        nil,
	}
	for name, choose := range policies {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				clock := clockwork.NewFakeClock()
				r := newRouter(clock, endpoints, nil)
				load, reported, counts := make([]int, endpoints), make([]int, endpoints), make([]int, arrivals)
				type job struct {
					at     int
					choice router.Choice
				}
				ends := make([][]job, arrivals+4*meanDuration)
				for i := range arrivals {
					for _, j := range ends[i] {
						load[j.at]--
						if choose == nil {
							r.Done(j.choice, false)
						}
					}
					clock.Advance(100 * time.Microsecond)
					if i%5000 == 0 {
						copy(reported, load)
						for e := range endpoints {
							r.Report(router.EndpointReport{VM: fmt.Sprintf("vm-%04d", e), Generation: "1", Address: "a", Slots: slots, InFlight: load[e]})
						}
					}
					var j job
					if choose == nil {
						var ok bool
						if j.choice, ok = r.Pick(""); !ok {
							b.Fatal("no endpoint at 70% load")
						}
						_, _ = fmt.Sscanf(j.choice.VM(), "vm-%d", &j.at)
					} else {
						j.at = choose(i, reported)
					}
					load[j.at]++
					counts[load[j.at]]++
					// The request durations are exponential, cut off at four times the mean.
					end := i + 1 + min(int(random.ExpFloat64()*meanDuration), 4*meanDuration-2)
					ends[end] = append(ends[end], j)
				}
				b.ReportMetric(float64(percentile(counts, arrivals, 0.99)), "p99-load")
				b.ReportMetric(float64(percentile(counts, arrivals, 1)), "max-load")
			}
		})
	}
}

func leastLoaded(loads []int) int {
	best := 0
	for i, l := range loads {
		if l < loads[best] {
			best = i
		}
	}
	return best
}

func percentile(counts []int, total int, q float64) int {
	seen := 0
	for load, n := range counts {
		if seen += n; float64(seen) >= q*float64(total) {
			return load
		}
	}
	return len(counts)
}
