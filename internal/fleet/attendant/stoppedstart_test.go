package attendant_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bamboohook/internal/fleet/attendant"
	"bamboohook/internal/fleet/messenger"
)

// Guards against a start that the agent still sends after it was ordered to stop the run, because the job was cancelled.
func TestStoppedRunIsNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The endpoint is so slow that the last starts wait for their turn.
		e := newNarrowEndpoint(20*time.Millisecond, 0)
		defer e.calls.Wait()
		attend(t, e, e.bornAt, func(a *attendant.Attendant, o *watchedReporter) {
			r := o.last()
			orders := messenger.Orders{Epoch: 3, Owner: "owner", Session: r.Session, Incarnation: r.Incarnation, ReportSentMS: r.SentMS}
			starts, stops := orders, orders
			for _, task := range []string{"a.0.0.0", "a.0.0.1", "a.0.0.2", "a.0.0.3", "a.0.0.4", "a.0.0.5", "a.0.0.6", "a.0.0.7", "a.0.0.8", "a.0.0.9"} {
				for _, job := range []string{"a", "b"} {
					name := job + task[1:]
					starts.Starts = append(starts.Starts, messenger.Start{Task: name, Number: 1})
					stops.Stops = append(stops.Stops, messenger.Stop{Task: name, Number: 1})
				}
			}
			responses := make(chan messenger.OrdersResponse)
			go func() { responses <- a.HandleOrders(context.Background(), starts) }()
			time.Sleep(10 * time.Millisecond)
			stoppedAt := time.Now()
			go a.HandleOrders(context.Background(), stops)
			time.Sleep(time.Millisecond)
			_, before, _ := e.counts()
			stopped := 0
			for _, s := range (<-responses).Starts {
				if s.Outcome == messenger.StartRefused && s.Reason == attendant.ReasonStopped {
					stopped++
				}
			}
			time.Sleep(time.Second)
			runs, after, _ := e.counts()
			t.Logf("%d starts before the stops, %d after, %d refused as stopped, within %v", before, after-before, stopped, time.Since(stoppedAt))
			// 16 starts had their turn.
			if stopped != len(starts.Starts)-16 || runs > 0 {
				t.Errorf("%d starts of %d were refused, %d runs are left", stopped, len(starts.Starts), runs)
			}
		})
	})
}

// Guards against a task of a cancelled job that starts more than 3 s after the cancellation, because the orders with the start were late. Owners send none
// that are based on a report older than 1.2 s.
func TestLateOrdersStartNothing(t *testing.T) {
	for name, c := range map[string]struct {
		age  time.Duration
		want string
	}{
		"in time":  {1900 * time.Millisecond, ""},
		"too late": {2100 * time.Millisecond, attendant.ReasonStaleReport},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newNarrowEndpoint(time.Millisecond, 0)
				defer e.calls.Wait()
				attend(t, e, e.bornAt, func(a *attendant.Attendant, o *watchedReporter) {
					time.Sleep(5 * time.Second)
					r := o.last()
					response := a.HandleOrders(context.Background(), messenger.Orders{
						Epoch: 3, Owner: "owner", Session: r.Session, Incarnation: r.Incarnation,
						ReportSentMS: (time.Since(e.bornAt) - c.age).Milliseconds(), Starts: []messenger.Start{{Task: "a.0.0.0", Number: 1}},
					})
					if response.Reason != c.want {
						t.Errorf("the reason is %q", response.Reason)
					}
				})
			})
		})
	}
}
