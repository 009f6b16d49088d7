package attendant_test

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bamboohook/internal/fleet/attendant"
	"bamboohook/internal/fleet/messenger"
)

const (
	// maxConnections is how many connections the endpoint of the platform accepts.
	maxConnections = 64
	// maxOrders is how many orders a message of the owner contains at most, ordersInterval the time after which it repeats them.
	maxOrders      = 512
	ordersInterval = 300 * time.Millisecond
)

type (
	// narrowEndpoint is a fake of an endpoint that executes one call at a time, each within processingTime and, for each run that it lists, timePerRun, and accepts maxConnections connections; further ones
	// wait. It also executes calls whose caller has given up, since their connections have been opened and the requests been sent. It ends all runs when their leases have expired. mutex protects the fields below it.
	narrowEndpoint struct {
		bornAt                     time.Time
		processingTime, timePerRun time.Duration
		connections                chan struct{}
		processor                  chan struct{}
		calls                      sync.WaitGroup

		mutex      sync.Mutex
		leaseUntil time.Time
		token      uint64
		runs       map[string]int
		starts     int
		lapsed     int
	}
)

func newNarrowEndpoint(processingTime, timePerRun time.Duration) *narrowEndpoint {
	return &narrowEndpoint{
		bornAt: time.Now(), processingTime: processingTime, timePerRun: timePerRun, connections: make(chan struct{}, maxConnections),
		processor: make(chan struct{}, 1), runs: map[string]int{},
	}
}

// call executes f within the time when it is its turn. It returns the error of ctx if that ends before.
func (e *narrowEndpoint) call(ctx context.Context, processingTime time.Duration, f func() error) error {
	done := make(chan error, 1)
	e.calls.Go(func() {
		e.connections <- struct{}{}
		defer func() { <-e.connections }()
		e.processor <- struct{}{}
		time.Sleep(processingTime)
		<-e.processor
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if time.Now().After(e.leaseUntil) {
			e.lapsed += len(e.runs)
			clear(e.runs)
		}
		done <- f()
	})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// accept checks the token of a call and renews the leases. The caller holds the mutex.
func (e *narrowEndpoint) accept(token uint64, deadlineMS int64) error {
	if token < e.token {
		return attendant.ErrFenced
	}
	e.token = token
	if until := e.bornAt.Add(time.Duration(deadlineMS) * time.Millisecond); until.After(e.leaseUntil) {
		e.leaseUntil = until
	}
	return nil
}

func (e *narrowEndpoint) List(ctx context.Context, q attendant.ListQuery) (attendant.Listing, error) {
	accept := func() error { return e.accept(q.FencingToken, q.DeadlineMS) }
	if err := e.call(ctx, e.processingTime, accept); err != nil {
		return attendant.Listing{}, err
	}
	time.Sleep(q.MaxWait)
	runs, _, _ := e.counts()
	listings := make(chan attendant.Listing, 1)
	if err := e.call(ctx, e.processingTime+time.Duration(runs)*e.timePerRun, func() error {
		l := attendant.Listing{Incarnation: e.bornAt.UnixMilli(), ClockMS: time.Since(e.bornAt).Milliseconds()}
		for task, number := range e.runs {
			l.Runs = append(l.Runs, messenger.Run{Task: task, Number: number})
		}
		listings <- l
		return nil
	}); err != nil {
		return attendant.Listing{}, err
	}
	return <-listings, nil
}

func (e *narrowEndpoint) Start(ctx context.Context, s attendant.StartCall) error {
	return e.call(ctx, e.processingTime, func() error {
		if err := e.accept(s.FencingToken, s.DeadlineMS); err != nil {
			return err
		}
		if e.runs[s.Task] == 0 {
			e.starts++
		}
		e.runs[s.Task] = s.Number
		return nil
	})
}

func (e *narrowEndpoint) Stop(ctx context.Context, s attendant.StopCall) error {
	return e.call(ctx, e.processingTime, func() error {
		if err := e.accept(s.FencingToken, 0); err != nil {
			return err
		}
		if number := e.runs[s.Task]; number > 0 && number <= s.Number {
			delete(e.runs, s.Task)
		}
		return nil
	})
}

func (e *narrowEndpoint) Pace(ctx context.Context, _ attendant.PaceCall) error {
	return e.call(ctx, e.processingTime, func() error { return nil })
}

// counts returns the number of runs, of starts, and of runs whose leases have expired.
func (e *narrowEndpoint) counts() (runs, starts, lapsed int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.runs), e.starts, e.lapsed
}

// Guards against starts that make an endpoint too slow to renew the leases of what it runs: the runs then lapse and have to start again, which keeps the
// endpoint overloaded.
func TestBurstOfStartsKeepsLeases(t *testing.T) {
	for name, c := range map[string]struct {
		tasks                      int
		processingTime, timePerRun time.Duration
	}{
		"an idle machine":                      {1200, 500 * time.Microsecond, time.Microsecond},
		"a busy machine":                       {1200, 3 * time.Millisecond, 10 * time.Microsecond},
		"a busier machine":                     {1200, 8 * time.Millisecond, 30 * time.Microsecond},
		"a machine with hardly any processors": {400, 50 * time.Millisecond, 200 * time.Microsecond},
		"a machine that takes long for lists":  {1200, 3 * time.Millisecond, 250 * time.Microsecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newNarrowEndpoint(c.processingTime, c.timePerRun)
				defer e.calls.Wait()
				attend(t, e, e.bornAt, func(a *attendant.Attendant, o *watchedReporter) {
					begin := time.Now()
					// Without other calls, the starts take this long.
					least := time.Duration(c.tasks) * c.processingTime
					startAll(a, o, c.tasks, 4*least+2*time.Second)
					took := time.Since(begin)
					time.Sleep(silenceLease + time.Second)
					runs, starts, lapsed := e.counts()
					t.Logf("%d runs, %d starts, %d lapsed, %v, at least %v", runs, starts, lapsed, took, least)
					if runs != c.tasks || lapsed > 0 {
						t.Errorf("%d of %d tasks run, and %d runs have lapsed", runs, c.tasks, lapsed)
					}
				})
			})
		})
	}
}

// Guards against the same by stops, such as those of many cancelled jobs.
func TestBurstOfStopsKeepsLeases(t *testing.T) {
	const tasks, stopped = 1200, 800
	for name, processingTime := range map[string]time.Duration{
		"an idle machine":  500 * time.Microsecond,
		"a busy machine":   3 * time.Millisecond,
		"a busier machine": 8 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newNarrowEndpoint(processingTime, 10*time.Microsecond)
				defer e.calls.Wait()
				attend(t, e, e.bornAt, func(a *attendant.Attendant, o *watchedReporter) {
					startAll(a, o, tasks, time.Minute)
					begin, least := time.Now(), stopped*processingTime
					stopAll(a, o, stopped, 4*least+2*time.Second)
					took := time.Since(begin)
					time.Sleep(silenceLease + time.Second)
					runs, _, lapsed := e.counts()
					t.Logf("%d runs, %d lapsed, %v, at least %v", runs, lapsed, took, least)
					if runs != tasks-stopped || lapsed > 0 {
						t.Errorf("%d tasks run instead of %d, and %d runs have lapsed", runs, tasks-stopped, lapsed)
					}
				})
			})
		})
	}
}

// stopAll acts as an owner that orders the stops of the first tasks, and repeats those that are not confirmed, until all are or until the time is over.
func stopAll(a *attendant.Attendant, o *watchedReporter, tasks int, timeout time.Duration) {
	var (
		mutex sync.Mutex
		calls sync.WaitGroup
	)
	defer calls.Wait()
	confirmed, sentAt := map[string]bool{}, make([]time.Time, tasks)
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		r := o.last()
		var stops []messenger.Stop
		mutex.Lock()
		for n := range tasks {
			task := fmt.Sprintf("a.0.0.%d", n)
			if !confirmed[task] && time.Since(sentAt[n]) > ordersInterval && len(stops) < maxOrders {
				sentAt[n] = time.Now()
				// Whatever number the run has, it ends.
				stops = append(stops, messenger.Stop{Task: task, Number: math.MaxInt32})
			}
		}
		all := len(confirmed) == tasks
		mutex.Unlock()
		if all {
			return
		}
		if len(stops) == 0 {
			continue
		}
		calls.Go(func() {
			response := a.HandleOrders(context.Background(), messenger.Orders{
				Epoch: 3, Owner: "owner", Session: r.Session, Incarnation: r.Incarnation, ReportSentMS: r.SentMS, Stops: stops,
			})
			mutex.Lock()
			defer mutex.Unlock()
			for _, s := range response.Stopped {
				confirmed[s.Task] = true
			}
		})
	}
}

// startAll acts as an owner that orders the starts of all tasks as fast as its messages permit, and repeats those that are not confirmed, until all are or
// until the time is over. After a refusal it orders the next run.
func startAll(a *attendant.Attendant, o *watchedReporter, tasks int, timeout time.Duration) {
	var mutex sync.Mutex
	numbers, sentAt, confirmed := make([]int, tasks), make([]time.Time, tasks), 0
	done := make([]bool, tasks)
	var calls sync.WaitGroup
	defer calls.Wait()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		r := o.last()
		mutex.Lock()
		for _, x := range r.Runs {
			n := 0
			if _, err := fmt.Sscanf(x.Task, "a.0.0.%d", &n); err == nil && !x.Unconfirmed && !done[n] {
				done[n] = true
				confirmed++
			}
		}
		var starts []messenger.Start
		for n := range tasks {
			if done[n] || time.Since(sentAt[n]) <= ordersInterval || len(starts) == maxOrders {
				continue
			}
			if numbers[n] == 0 {
				numbers[n] = 1
			}
			sentAt[n] = time.Now()
			starts = append(starts, messenger.Start{Task: fmt.Sprintf("a.0.0.%d", n), Number: numbers[n]})
		}
		all := confirmed == tasks
		mutex.Unlock()
		if all {
			return
		}
		if len(starts) == 0 {
			continue
		}
		calls.Go(func() {
			response := a.HandleOrders(context.Background(), messenger.Orders{
				Epoch: 3, Owner: "owner", Session: r.Session, Incarnation: r.Incarnation, ReportSentMS: r.SentMS, Starts: starts,
			})
			mutex.Lock()
			defer mutex.Unlock()
			for _, s := range response.Starts {
				n := 0
				if _, err := fmt.Sscanf(s.Task, "a.0.0.%d", &n); err == nil && s.Outcome == messenger.StartRefused && s.Number == numbers[n] && !done[n] {
					numbers[n]++
				}
			}
		})
	}
}
