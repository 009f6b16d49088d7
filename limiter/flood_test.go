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
	capacity        = 88
	meanServiceTime = 10 * time.Millisecond
	callerTimeout   = 200 * time.Millisecond
	floodDuration   = 2 * time.Second
)

type (
	// policy admits jobs. takeAdmitted returns the queued jobs that have been admitted since its last call.
	policy interface {
		submit(j *job)
		release(j *job)
		takeAdmitted() []*job
	}
	job struct {
		kind    string
		arrived time.Time
		end     time.Time
		ticket  *limiter.Ticket
	}

	limiterPolicy struct {
		limiter  *limiter.Limiter
		admitted []*job
		queued   map[string][]*job
	}
	// queuePolicy is one FIFO queue, or with several levels a strict priority queue. The time in the queue is
	// not limited.
	queuePolicy struct {
		freeSlots  int
		priorities map[string]int
		queues     [2][]*job
	}
)

func (p *limiterPolicy) submit(j *job) {
	j.ticket = p.limiter.Submit(j.kind)
	if j.ticket.Admitted() {
		p.admitted = append(p.admitted, j)
	} else if j.ticket.Rejection() == nil {
		p.queued[j.kind] = append(p.queued[j.kind], j)
	}
}
func (p *limiterPolicy) release(j *job) { j.ticket.Release() }
func (p *limiterPolicy) takeAdmitted() []*job {
	admitted := p.admitted
	p.admitted = nil
	for kind, w := range p.queued {
		for len(w) > 0 && (w[0].ticket.Admitted() || w[0].ticket.Rejection() != nil) {
			if w[0].ticket.Admitted() {
				admitted = append(admitted, w[0])
			}
			w = w[1:]
		}
		p.queued[kind] = w
	}
	return admitted
}

func (p *queuePolicy) submit(j *job) {
	p.queues[p.priorities[j.kind]] = append(p.queues[p.priorities[j.kind]], j)
}
func (p *queuePolicy) release(*job) { p.freeSlots++ }
func (p *queuePolicy) takeAdmitted() (admitted []*job) {
	for i := range p.queues {
		for p.freeSlots > 0 && len(p.queues[i]) > 0 {
			admitted = append(admitted, p.queues[i][0])
			p.queues[i] = p.queues[i][1:]
			p.freeSlots--
		}
	}
	return admitted
}

// flood simulates load of the kind "flood" at the given multiple of the capacity and of the kind "other" at the
// given part of the capacity. Each kind has half of the slots as its share. flood returns the goodput of other
// relative to its share, the goodput of both kinds relative to the capacity, and the 99th percentile of the
// latency of other. A job counts as goodput if it ends within callerTimeout.
func flood(seed uint64, floodLoad, otherLoad float64, build func(*clockwork.FakeClock) policy) (keptShare, goodput float64, p99 time.Duration) {
	random := rand.New(rand.NewPCG(seed, 7))
	clock := clockwork.NewFakeClock()
	p := build(clock)
	maxJobs := capacity * floodDuration.Seconds() / meanServiceTime.Seconds()
	start := clock.Now()
	rates := map[string]float64{"flood": floodLoad * maxJobs / floodDuration.Seconds(), "other": otherLoad * maxJobs / floodDuration.Seconds()}
	nextGap := func(kind string) time.Duration {
		return time.Duration(random.ExpFloat64() / rates[kind] * float64(time.Second))
	}
	nextArrival := map[string]time.Time{"flood": start.Add(nextGap("flood")), "other": start.Add(nextGap("other"))}
	jobsInTime := map[string]float64{}
	var latencies []time.Duration
	// running is sorted by end time.
	var running []*job
	for {
		kind := "flood"
		if nextArrival["other"].Before(nextArrival["flood"]) {
			kind = "other"
		}
		arrival := nextArrival[kind]
		if arrival.Sub(start) > floodDuration {
			slices.Sort(latencies)
			return jobsInTime["other"] / (0.5 * maxJobs), (jobsInTime["other"] + jobsInTime["flood"]) / maxJobs, latencies[len(latencies)*99/100]
		}
		if len(running) > 0 && running[0].end.Before(arrival) {
			j := running[0]
			running = running[1:]
			clock.Advance(j.end.Sub(clock.Now()))
			if j.kind == "other" {
				latencies = append(latencies, j.end.Sub(j.arrived))
			}
			if j.end.Sub(j.arrived) <= callerTimeout {
				jobsInTime[j.kind]++
			}
			p.release(j)
		} else {
			clock.Advance(arrival.Sub(clock.Now()))
			p.submit(&job{kind: kind, arrived: arrival})
			nextArrival[kind] = arrival.Add(nextGap(kind))
		}
		for _, j := range p.takeAdmitted() {
			j.end = clock.Now().Add(time.Duration(random.ExpFloat64() * float64(meanServiceTime)))
			i, _ := slices.BinarySearchFunc(running, j, func(a, b *job) int { return a.end.Compare(b.end) })
			running = slices.Insert(running, i, j)
		}
	}
}

func newLimiterPolicy(c *clockwork.FakeClock) policy {
	return &limiterPolicy{queued: map[string][]*job{}, limiter: limiter.New(limiter.Options{
		Clock: c, Capacity: capacity, Weights: map[string]float64{"flood": 1, "other": 1},
	})}
}

// Guards against a flood of one kind that takes the share of the other, or that fills the slots with requests
// whose callers have timed out.
var _ = Describe("flood at 10 times capacity", func() {
	for _, seed := range []uint64{1, 2, 3} {
		It("leaves the other kind its share", func() {
			keptShare, goodput, _ := flood(seed, 10, 0.5, newLimiterPolicy)
			Expect(keptShare).To(BeNumerically(">=", 0.9))
			Expect(goodput).To(BeNumerically(">=", 0.95))
			_, _, baselineP99 := flood(seed, 0.1, 0.35, newLimiterPolicy)
			_, _, floodP99 := flood(seed, 10, 0.35, newLimiterPolicy)
			Expect(floodP99).To(BeNumerically("<=", baselineP99*11/10))
		})
	}
})

func BenchmarkFlood(b *testing.B) {
	for name, build := range map[string]func(*clockwork.FakeClock) policy{
		"limiter": newLimiterPolicy,
		"fifo":    func(*clockwork.FakeClock) policy { return &queuePolicy{freeSlots: capacity} },
		"strict-priority": func(*clockwork.FakeClock) policy {
			return &queuePolicy{freeSlots: capacity, priorities: map[string]int{"flood": 0, "other": 1}}
		},
	} {
		for _, seed := range []uint64{1, 2, 3} {
			b.Run(name, func(b *testing.B) {
				for range b.N {
					keptShare, goodput, _ := flood(seed, 10, 0.5, build)
					_, _, baselineP99 := flood(seed, 0.1, 0.35, build)
					_, _, floodP99 := flood(seed, 10, 0.35, build)
					b.ReportMetric(float64(floodP99)/float64(baselineP99), "p99-ratio")
					b.ReportMetric(keptShare, "share-kept")
					b.ReportMetric(goodput, "goodput")
				}
			})
		}
	}
}

func BenchmarkRejection(b *testing.B) {
	l := limiter.New(limiter.Options{Capacity: 1, MaxQueueLength: 1})
	l.Submit("")
	l.Submit("")
	b.ReportAllocs()
	for range b.N {
		l.Submit("")
	}
}
