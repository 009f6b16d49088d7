package attendant_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"bamboohook/internal/boottimer"
	"bamboohook/internal/fleet/attendant"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/resource"
)

// lossyEndpoint is a fake of an endpoint that leaves a share of all calls without an answer and executes these between minDelay and maxDelay later.
// It checks that a run is renewed before its lease expires, that no task has two runs, and that no refused run is started.
type lossyEndpoint struct {
	*endpoint
	unanswered         float64
	minDelay, maxDelay time.Duration
	random             *rand.Rand
	// leaseUntil is when the leases expire, in milliseconds on the endpoint's clock.
	leaseUntil int64
	// refused contains the runs that the agent has reported as not started.
	refused map[messenger.Stop]bool
	// lapsed is the number of checks that have found runs without a lease. faults describes other violations.
	lapsed int
	faults []string
	late   sync.WaitGroup
}

// answer executes f and returns its error, or returns an error when ctx is done and executes f later.
func (e *lossyEndpoint) answer(ctx context.Context, f func() error) error {
	e.mutex.Lock()
	answered := e.random.Float64() >= e.unanswered
	delay := e.minDelay + time.Duration(e.random.Float64()*float64(e.maxDelay-e.minDelay))
	e.mutex.Unlock()
	if answered {
		return f()
	}
	e.late.Go(func() { time.Sleep(delay); _ = f() })
	<-ctx.Done()
	return ctx.Err()
}

func (e *lossyEndpoint) List(ctx context.Context, q attendant.ListQuery) (attendant.Listing, error) {
	listings := make(chan attendant.Listing, 1)
	if err := e.answer(ctx, func() error {
		l, err := e.endpoint.List(ctx, q)
		e.renew(q.DeadlineMS, err)
		listings <- l
		return err
	}); err != nil {
		return attendant.Listing{}, err
	}
	return <-listings, nil
}

func (e *lossyEndpoint) Start(ctx context.Context, s attendant.StartCall) error {
	return e.answer(ctx, func() error {
		err := e.executeChecked(s)
		e.renew(s.DeadlineMS, err)
		return err
	})
}

// executeChecked executes a start and records a fault if it starts a refused run, or a run beside another one of the task.
func (e *lossyEndpoint) executeChecked(s attendant.StartCall) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	before, started := e.runs[s.Task], len(e.started)
	err := e.execute(s)
	if len(e.started) == started {
		return err
	}
	if before.Number != 0 {
		e.faults = append(e.faults, fmt.Sprintf("run %d of %s started beside run %d", s.Number, s.Task, before.Number))
	}
	if e.refused[messenger.Stop{Task: s.Task, Number: s.Number}] {
		e.faults = append(e.faults, fmt.Sprintf("refused run %d of %s started", s.Number, s.Task))
	}
	return err
}

func (e *lossyEndpoint) Stop(ctx context.Context, s attendant.StopCall) error {
	return e.answer(ctx, func() error {
		e.mutex.Lock()
		// A late stop of an earlier run does not end the run of the task.
		other := e.runs[s.Task].Number > s.Number
		e.mutex.Unlock()
		if other {
			return nil
		}
		return e.endpoint.Stop(ctx, s)
	})
}

// renew extends the leases if the call that asked for it was executed.
func (e *lossyEndpoint) renew(deadlineMS int64, err error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if err == nil {
		e.leaseUntil = max(e.leaseUntil, deadlineMS)
	}
}

// checkLeases counts a lapse if there are runs and their leases have expired.
func (e *lossyEndpoint) checkLeases() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.runs) > 0 && time.Now().UnixMilli() > e.leaseUntil {
		e.lapsed++
	}
}

var _ = Describe("Attendant with an endpoint that answers few calls", func() {
	const (
		tasks = 36
		// ownerInterval is the time after which the owner repeats an order.
		ownerInterval = 300 * time.Millisecond
		// In a round the agent sends a start 9 times in 500 ms, so that all copies stay unanswered in 0.7^9, which is 4 of 100 cases. It then
		// waits up to 400 ms for a list, the owner repeats its order after 300 ms or sends a stop, for which the agent takes up to 350 ms, and awaits a
		// report, after up to 400 ms. A round takes 2 s at most, and all of four rounds fail in less than 3 of a million cases.
		bound = 8 * time.Second
		// On average, a copy is answered after 2.3 unanswered ones, that is 140 ms, and 4 of 100 starts take a further round of 2 s: that is 220 ms.
		// More than 9 of 36 starts take a further round in less than 3 of 100,000 cases; 9 of them make the mean 640 ms.
		meanBound = 660 * time.Millisecond
	)
	// Guards against a task that stands still and against runs that lapse while most calls get no answer, because the agent waits for each answer
	// before it repeats a call. Guards also against repeated starts that take effect after the agent has reported them as refused.
	for _, seed := range []uint64{1, 2, 3} {
		It(fmt.Sprintf("starts tasks in time and keeps their leases, seed %d", seed), func() {
			inner := newEndpoint()
			e := &lossyEndpoint{
				endpoint: inner, unanswered: 0.7, minDelay: time.Second, maxDelay: 4 * time.Second, random: rand.New(rand.NewPCG(seed, 0)),
				refused: map[messenger.Stop]bool{},
			}
			o := &reporter{address: "owner", epoch: 3}
			a := &attendant.Attendant{
				Address: "vm", Generation: "g", Endpoint: e, Reporter: o, Clock: boottimer.Clock{}, Log: zerolog.Nop(),
				LeaseDurations: attendant.LeaseDurations{Grant: 2 * time.Second, Run: 4 * time.Second}, StopTimeout: 500 * time.Millisecond,
				Seeds: []string{"owner"},
			}
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{})
			go func() { defer close(ended); _ = a.Run(ctx) }()
			DeferCleanup(func() { cancel(); <-ended; e.late.Wait() })
			Eventually(func() int64 { return o.report().Incarnation }).WithTimeout(20 * time.Second).Should(Equal(inner.incarnation))
			a.HandleHeartbeat(attendant.Heartbeat{
				EndpointID: "e", Incarnation: inner.incarnation, Sequence: 1, Service: "s", Capacity: resource.Amount{MilliProcessors: 1000, MemoryBytes: 100},
			})
			Eventually(func() bool { r := o.report(); return r.Listed && r.State == messenger.VMUp }).WithTimeout(20 * time.Second).Should(BeTrue())
			time.Sleep(5 * time.Millisecond)
			var group sync.WaitGroup
			durations := make([]time.Duration, tasks)
			for n := range durations {
				group.Go(func() { durations[n] = awaitStart(ctx, a, e, o, fmt.Sprintf("a.0.0.%d", n), ownerInterval, bound) })
			}
			group.Wait()
			total := time.Duration(0)
			for _, d := range durations {
				Expect(d).To(BeNumerically("<", bound))
				total += d
			}
			Expect(total/tasks).To(BeNumerically("<", meanBound), "%v", durations)
			for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				e.checkLeases()
			}
			e.mutex.Lock()
			defer e.mutex.Unlock()
			Expect(e.faults).To(BeEmpty())
			Expect(e.lapsed).To(BeZero(), "runs without a lease")
			Expect(e.runs).To(HaveLen(tasks), "results %v", e.results)
		})
	}
})

// awaitStart acts as the owner of one task: it repeats the order to start a run until the run is confirmed. After a refusal it orders the next run, at
// once if it has sent one copy, and otherwise when the run is stopped and no report lists it. It returns how long this took, or limit.
func awaitStart(ctx context.Context, a *attendant.Attendant, e *lossyEndpoint, o *reporter, task string, interval, limit time.Duration) time.Duration {
	begin, number := time.Now(), 1
	for time.Since(begin) < limit {
		m := messenger.Start{Task: task, Number: number, Size: resource.Amount{MilliProcessors: 25, MemoryBytes: 2}}
		outcomes := make(chan string, limit/interval+2)
		outcome, copies := "", 0
		for outcome == "" && time.Since(begin) < limit {
			copies++
			go func() {
				r := o.report()
				response := a.HandleOrders(ctx, messenger.Orders{
					Epoch: o.epoch, Owner: o.address, Session: r.Session, Incarnation: r.Incarnation, ReportSentMS: r.SentMS, Starts: []messenger.Start{m},
				})
				if len(response.Starts) > 0 {
					outcomes <- response.Starts[0].Outcome
				}
			}()
			timer := time.NewTimer(interval)
			for waiting := true; waiting && outcome == ""; {
				select {
				case answer := <-outcomes:
					if answer != messenger.StartUnknown {
						outcome = answer
					}
				case <-timer.C:
					waiting = false
				}
			}
			for _, x := range o.report().Runs {
				if x.Task == task && x.Number == number && !x.Unconfirmed {
					outcome = messenger.StartDone
				}
			}
		}
		if outcome == messenger.StartDone {
			return time.Since(begin)
		}
		stop := messenger.Stop{Task: task, Number: number}
		for stopped := copies == 1; !stopped && time.Since(begin) < limit; {
			r := o.report()
			response := a.HandleOrders(ctx, messenger.Orders{
				Epoch: o.epoch, Owner: o.address, Session: r.Session, Incarnation: r.Incarnation, Stops: []messenger.Stop{stop},
			})
			for reported := o.report(); reported.Sequence < response.Sequence && time.Since(begin) < limit; reported = o.report() {
				time.Sleep(5 * time.Millisecond)
			}
			stopped = true
			for _, x := range o.report().Runs {
				stopped = stopped && (x.Task != task || x.Number != number)
			}
		}
		e.mutex.Lock()
		e.refused[stop] = true
		e.mutex.Unlock()
		number++
	}
	return limit
}
