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
		limiter *limiter.Limiter
		ready   []*job
		waiting map[string][]*job
	}
	// queuePolicy is one FIFO queue, or with several levels a strict priority queue. The time in the queue is
	// not limited.
	queuePolicy struct {
		free   int
		levels map[string]int
		queues [2][]*job
	}
)

func (p *limiterPolicy) submit(j *job) {
	j.ticket = p.limiter.Submit(j.kind)
	if j.ticket.Admitted() {
		p.ready = append(p.ready, j)
	} else if j.ticket.Rejection() == nil {
		p.waiting[j.kind] = append(p.waiting[j.kind], j)
	}
}
func (p *limiterPolicy) release(j *job) { j.ticket.Release() }
func (p *limiterPolicy) takeAdmitted() []*job {
	ready := p.ready
	p.ready = nil
	for kind, w := range p.waiting {
		for len(w) > 0 && (w[0].ticket.Admitted() || w[0].ticket.Rejection() != nil) {
			if w[0].ticket.Admitted() {
				ready = append(ready, w[0])
			}
			w = w[1:]
		}
		p.waiting[kind] = w
	}
	return ready
}

func (p *queuePolicy) submit(j *job) {
	p.queues[p.levels[j.kind]] = append(p.queues[p.levels[j.kind]], j)
}
func (p *queuePolicy) release(*job) { p.free++ }
func (p *queuePolicy) takeAdmitted() (ready []*job) {
	for i := range p.queues {
		for p.free > 0 && len(p.queues[i]) > 0 {
			ready = append(ready, p.queues[i][0])
			p.queues[i] = p.queues[i][1:]
			p.free--
		}
	}
	return ready
}

// flood simulates load of the kind "flood" at the given multiple of the capacity and of the kind "other" at the
// given part of the capacity. Each kind has half of the slots as its share. flood returns the goodput of other
// relative to its share, the goodput of both kinds relative to the capacity, and the 99th percentile of the
// latency of other. A job counts as goodput if it ends within callerTimeout.
func flood(seed uint64, multiple, part float64, build func(*clockwork.FakeClock) policy) (kept, goodput float64, p99 time.Duration) {
	random := rand.New(rand.NewPCG(seed, 7))
	clock := clockwork.NewFakeClock()
	p := build(clock)
	full := capacity * floodDuration.Seconds() / meanServiceTime.Seconds()
	start := clock.Now()
	rates := map[string]float64{"flood": multiple * full / floodDuration.Seconds(), "other": part * full / floodDuration.Seconds()}
	gap := func(kind string) time.Duration {
		return time.Duration(random.ExpFloat64() / rates[kind] * float64(time.Second))
	}
	next := map[string]time.Time{"flood": start.Add(gap("flood")), "other": start.Add(gap("other"))}
	inTime := map[string]float64{}
	var latencies []time.Duration
	// running is sorted by end time.
	var running []*job
	for {
		kind := "flood"
		if next["other"].Before(next["flood"]) {
			kind = "other"
		}
		at := next[kind]
		if at.Sub(start) > floodDuration {
			slices.Sort(latencies)
			return inTime["other"] / (0.5 * full), (inTime["other"] + inTime["flood"]) / full, latencies[len(latencies)*99/100]
		}
		if len(running) > 0 && running[0].end.Before(at) {
			j := running[0]
			running = running[1:]
			clock.Advance(j.end.Sub(clock.Now()))
			if j.kind == "other" {
				latencies = append(latencies, j.end.Sub(j.arrived))
			}
			if j.end.Sub(j.arrived) <= callerTimeout {
				inTime[j.kind]++
			}
			p.release(j)
		} else {
			clock.Advance(at.Sub(clock.Now()))
			p.submit(&job{kind: kind, arrived: at})
			next[kind] = at.Add(gap(kind))
		}
		for _, j := range p.takeAdmitted() {
			j.end = clock.Now().Add(time.Duration(random.ExpFloat64() * float64(meanServiceTime)))
			i, _ := slices.BinarySearchFunc(running, j, func(a, b *job) int { return a.end.Compare(b.end) })
			running = slices.Insert(running, i, j)
		}
	}
}

func newLimiterPolicy(c *clockwork.FakeClock) policy {
	return &limiterPolicy{waiting: map[string][]*job{}, limiter: limiter.New(limiter.Options{
		Clock: c, Capacity: capacity, Weights: map[string]float64{"flood": 1, "other": 1},
	})}
}

// Guards against a flood of one kind that takes the share of the other, or that fills the slots with requests
// whose callers have timed out.
var _ = Describe("flood at 10 times capacity", func() {
	for _, seed := range []uint64{1, 2, 3} {
		It("leaves the other kind its share", func() {
			kept, goodput, _ := flood(seed, 10, 0.5, newLimiterPolicy)
			Expect(kept).To(BeNumerically(">=", 0.9))
			Expect(goodput).To(BeNumerically(">=", 0.95))
			_, _, baseline := flood(seed, 0.1, 0.35, newLimiterPolicy)
			_, _, flooded := flood(seed, 10, 0.35, newLimiterPolicy)
			Expect(flooded).To(BeNumerically("<=", baseline*11/10))
		})
	}
})

func BenchmarkFlood(b *testing.B) {
	for name, build := range map[string]func(*clockwork.FakeClock) policy{
		"limiter": newLimiterPolicy,
		"fifo":    func(*clockwork.FakeClock) policy { return &queuePolicy{free: capacity} },
		"strict-priority": func(*clockwork.FakeClock) policy {
			return &queuePolicy{free: capacity, levels: map[string]int{"flood": 0, "other": 1}}
		},
	} {
		for _, seed := range []uint64{1, 2, 3} {
			b.Run(name, func(b *testing.B) {
				for range b.N {
					kept, goodput, _ := flood(seed, 10, 0.5, build)
					_, _, baseline := flood(seed, 0.1, 0.35, build)
					_, _, flooded := flood(seed, 10, 0.35, build)
					b.ReportMetric(float64(flooded)/float64(baseline), "p99-ratio")
					b.ReportMetric(kept, "share-kept")
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
