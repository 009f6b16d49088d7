package limiter_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/limiter"
)

const (
	// capacity is the number of slots. meanServiceTime is the mean time for which a request holds a slot. callerTimeout
	// is how long a caller waits for the response.
	capacity        = 88
	meanServiceTime = 10 * time.Millisecond
	callerTimeout   = 200 * time.Millisecond
	// simulationDuration is the length of a simulation in simulated time.
	simulationDuration = 2 * time.Second
)

type (
	// policy decides which requests get a slot. submit is called when a request arrives, and release when it ends.
	// takeAdmitted returns the requests that have been admitted since its last call.
	policy interface {
		submit(j *simulatedRequest)
		release(j *simulatedRequest)
		takeAdmitted() []*simulatedRequest
	}
	// simulatedRequest is one request of a simulation.
	simulatedRequest struct {
		kind      string
		arrivedAt time.Time
		endsAt    time.Time
		ticket    *limiter.Ticket
	}

	// limiterPolicy uses a Limiter. admitted holds the requests that were admitted on submission and that takeAdmitted
	// has not yet returned. queued holds the requests that were queued, by kind.
	limiterPolicy struct {
		limiter  *limiter.Limiter
		admitted []*simulatedRequest
		queued   map[string][]*simulatedRequest
	}
	// queuePolicy admits requests from two FIFO queues without a limit for the waiting time. The first queue has strict
	// priority over the second. priorities maps each kind to the index of its queue; if it is nil, all requests are in
	// the first queue.
	queuePolicy struct {
		freeSlots  int
		priorities map[string]int
		queues     [2][]*simulatedRequest
	}
)

func (p *limiterPolicy) submit(j *simulatedRequest) {
	j.ticket = p.limiter.Submit(j.kind)
	if j.ticket.Admitted() {
		p.admitted = append(p.admitted, j)
	} else if j.ticket.Rejection() == nil {
		p.queued[j.kind] = append(p.queued[j.kind], j)
	}
}
func (p *limiterPolicy) release(j *simulatedRequest) { j.ticket.Release() }
func (p *limiterPolicy) takeAdmitted() []*simulatedRequest {
	admitted := p.admitted
	p.admitted = nil
	for kind, queue := range p.queued {
		for len(queue) > 0 && (queue[0].ticket.Admitted() || queue[0].ticket.Rejection() != nil) {
			if queue[0].ticket.Admitted() {
				admitted = append(admitted, queue[0])
			}
			queue = queue[1:]
		}
		p.queued[kind] = queue
	}
	return admitted
}

func (p *queuePolicy) submit(j *simulatedRequest) {
	p.queues[p.priorities[j.kind]] = append(p.queues[p.priorities[j.kind]], j)
}
func (p *queuePolicy) release(*simulatedRequest) { p.freeSlots++ }
func (p *queuePolicy) takeAdmitted() (admitted []*simulatedRequest) {
	for i := range p.queues {
		for p.freeSlots > 0 && len(p.queues[i]) > 0 {
			admitted = append(admitted, p.queues[i][0])
			p.queues[i] = p.queues[i][1:]
			p.freeSlots--
		}
	}
	return admitted
}

// simulateFlood simulates requests of the kinds "flood" and "other", each with a share of half of the slots. floodLoad
// and otherLoad are the arrival rates of the two kinds, relative to the rate that the capacity can serve. newPolicy
// returns the policy that decides which requests get a slot. A request counts as served if it ends within
// callerTimeout. keptShare is the number of served requests of the kind "other" relative to its share, and goodput that
// of both kinds relative to the capacity. latencyP99 is the 99th percentile of the latency of the kind "other".
func simulateFlood(seed uint64, floodLoad, otherLoad float64, newPolicy func(*clockwork.FakeClock) policy) (keptShare, goodput float64, latencyP99 time.Duration) {
	random := rand.New(rand.NewPCG(seed, 7))
	clock := clockwork.NewFakeClock()
	p := newPolicy(clock)
	// servableRequests is the number of requests that the capacity can serve in the whole simulation.
	servableRequests := capacity * simulationDuration.Seconds() / meanServiceTime.Seconds()
	start := clock.Now()
	arrivalRates := map[string]float64{"flood": floodLoad * servableRequests / simulationDuration.Seconds(), "other": otherLoad * servableRequests / simulationDuration.Seconds()}
	nextInterarrivalTime := func(kind string) time.Duration {
		return time.Duration(random.ExpFloat64() / arrivalRates[kind] * float64(time.Second))
	}
	nextArrival := map[string]time.Time{"flood": start.Add(nextInterarrivalTime("flood")), "other": start.Add(nextInterarrivalTime("other"))}
	// served is the number of requests of each kind that have ended within callerTimeout.
	served := map[string]float64{}
	var latencies []time.Duration
	// running holds the running requests, sorted by the time at which they end.
	var running []*simulatedRequest
	for {
		kind := "flood"
		if nextArrival["other"].Before(nextArrival["flood"]) {
			kind = "other"
		}
		arrival := nextArrival[kind]
		if arrival.Sub(start) > simulationDuration {
			slices.Sort(latencies)
			return served["other"] / (0.5 * servableRequests), (served["other"] + served["flood"]) / servableRequests, latencies[len(latencies)*99/100]
		}
		if len(running) > 0 && running[0].endsAt.Before(arrival) {
			j := running[0]
			running = running[1:]
			clock.Advance(j.endsAt.Sub(clock.Now()))
			if j.kind == "other" {
				latencies = append(latencies, j.endsAt.Sub(j.arrivedAt))
			}
			if j.endsAt.Sub(j.arrivedAt) <= callerTimeout {
				served[j.kind]++
			}
			p.release(j)
		} else {
			clock.Advance(arrival.Sub(clock.Now()))
			p.submit(&simulatedRequest{kind: kind, arrivedAt: arrival})
			nextArrival[kind] = arrival.Add(nextInterarrivalTime(kind))
		}
		for _, j := range p.takeAdmitted() {
			j.endsAt = clock.Now().Add(time.Duration(random.ExpFloat64() * float64(meanServiceTime)))
			i, _ := slices.BinarySearchFunc(running, j, func(a, b *simulatedRequest) int { return a.endsAt.Compare(b.endsAt) })
			running = slices.Insert(running, i, j)
		}
	}
}

func newLimiterPolicy(c *clockwork.FakeClock) policy {
	return &limiterPolicy{queued: map[string][]*simulatedRequest{}, limiter: limiter.New(limiter.Options{
		Clock: c, Capacity: capacity, Weights: map[string]float64{"flood": 1, "other": 1},
	})}
}

// Guards against a flood of one kind that takes the share of the other kind, or that fills the slots with requests
// whose callers no longer wait for the response.
var _ = Describe("flood of one kind at 10 times the capacity", func() {
	for _, seed := range []uint64{1, 2, 3} {
		It("leaves the other kind at least nine tenths of its share, with at most a tenth more latency", func() {
			keptShare, goodput, _ := simulateFlood(seed, 10, 0.5, newLimiterPolicy)
			Expect(keptShare).To(BeNumerically(">=", 0.9))
			Expect(goodput).To(BeNumerically(">=", 0.95))
			_, _, baselineP99 := simulateFlood(seed, 0.1, 0.35, newLimiterPolicy)
			_, _, floodP99 := simulateFlood(seed, 10, 0.35, newLimiterPolicy)
			Expect(floodP99).To(BeNumerically("<=", baselineP99*11/10))
		})
	}
})

// BenchmarkFlood compares the limiter with other policies under a flood of one kind. It reports how much of its share
// the other kind keeps, and the goodput of both kinds. p99-ratio is the 99th percentile of the latency of the other
// kind, divided by its value without a flood.
func BenchmarkFlood(b *testing.B) {
	for name, newPolicy := range map[string]func(*clockwork.FakeClock) policy{
		"limiter": newLimiterPolicy,
		"fifo":    func(*clockwork.FakeClock) policy { return &queuePolicy{freeSlots: capacity} },
		"strict-priority": func(*clockwork.FakeClock) policy {
			return &queuePolicy{freeSlots: capacity, priorities: map[string]int{"flood": 0, "other": 1}}
		},
	} {
		for _, seed := range []uint64{1, 2, 3} {
			b.Run(name, func(b *testing.B) {
				for range b.N {
					keptShare, goodput, _ := simulateFlood(seed, 10, 0.5, newPolicy)
					_, _, baselineP99 := simulateFlood(seed, 0.1, 0.35, newPolicy)
					_, _, floodP99 := simulateFlood(seed, 10, 0.35, newPolicy)
					b.ReportMetric(float64(floodP99)/float64(baselineP99), "p99-ratio")
					b.ReportMetric(keptShare, "share-kept")
					b.ReportMetric(goodput, "goodput")
				}
			})
		}
	}
}

// BenchmarkRejection reports the time and the allocations of a rejection because the queue is full.
func BenchmarkRejection(b *testing.B) {
	l := limiter.New(limiter.Options{Capacity: 1, MaxQueueLength: 1})
	l.Submit("")
	l.Submit("")
	b.ReportAllocs()
	for range b.N {
		l.Submit("")
	}
}
