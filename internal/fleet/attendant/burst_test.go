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

// taskName returns the name of a task of the bursts.
func taskName(n int) string { return fmt.Sprintf("a.0.0.%d", n) }

// orderAll acts as an owner that sends orders for all tasks as fast as its messages permit, and repeats those for tasks that are not done, until all are or until
// the time is over. It calls isDone and send with the mutex locked; send returns the orders for the tasks and what handles the response.
func orderAll(a *attendant.Attendant, o *watchedReporter, tasks int, timeout time.Duration, mutex *sync.Mutex, isDone func(n int, r messenger.Report) bool,
	send func(due []int) (messenger.Orders, func(messenger.OrdersResponse)),
) {
	sentAt := make([]time.Time, tasks)
	var calls sync.WaitGroup
	defer calls.Wait()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		r, left := o.last(), 0
		var due []int
		mutex.Lock()
		for n := range tasks {
			if isDone(n, r) {
				continue
			}
			left++
			if time.Since(sentAt[n]) > ordersInterval && len(due) < maxOrders {
				sentAt[n] = time.Now()
				due = append(due, n)
			}
		}
		orders, handle := send(due)
		mutex.Unlock()
		if left == 0 {
			return
		}
		if len(due) == 0 {
			continue
		}
		orders.Epoch, orders.Owner, orders.Session, orders.Incarnation, orders.ReportSentMS = 3, "owner", r.Session, r.Incarnation, r.SentMS
		calls.Go(func() {
			response := a.HandleOrders(context.Background(), orders)
			mutex.Lock()
			defer mutex.Unlock()
			handle(response)
		})
	}
}

// stopAll orders the stops of the first tasks until all are confirmed.
func stopAll(a *attendant.Attendant, o *watchedReporter, tasks int, timeout time.Duration) {
	var mutex sync.Mutex
	confirmed := map[string]bool{}
	isDone := func(n int, _ messenger.Report) bool { return confirmed[taskName(n)] }
	orderAll(a, o, tasks, timeout, &mutex, isDone, func(due []int) (orders messenger.Orders, handle func(messenger.OrdersResponse)) {
		for _, n := range due {
			// Whatever number the run has, it ends.
			orders.Stops = append(orders.Stops, messenger.Stop{Task: taskName(n), Number: math.MaxInt32})
		}
		return orders, func(response messenger.OrdersResponse) {
			for _, s := range response.Stopped {
				confirmed[s.Task] = true
			}
		}
	})
}

// startAll orders the starts of all tasks until reports confirm them. After a refusal it orders the next run.
func startAll(a *attendant.Attendant, o *watchedReporter, tasks int, timeout time.Duration) {
	var mutex sync.Mutex
	numbers, confirmed := map[string]int{}, map[string]bool{}
	var reportSequence uint64
	isDone := func(n int, r messenger.Report) bool {
		if r.Sequence > reportSequence {
			reportSequence = r.Sequence
			for _, x := range r.Runs {
				confirmed[x.Task] = confirmed[x.Task] || !x.Unconfirmed
			}
		}
		return confirmed[taskName(n)]
	}
	orderAll(a, o, tasks, timeout, &mutex, isDone, func(due []int) (orders messenger.Orders, handle func(messenger.OrdersResponse)) {
		for _, n := range due {
			task := taskName(n)
			numbers[task] = max(numbers[task], 1)
			orders.Starts = append(orders.Starts, messenger.Start{Task: task, Number: numbers[task]})
		}
		return orders, func(response messenger.OrdersResponse) {
			for _, s := range response.Starts {
				if s.Outcome == messenger.StartRefused && s.Number == numbers[s.Task] && !confirmed[s.Task] {
					numbers[s.Task]++
				}
			}
		}
	})
}
