package attendant_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"bamboohook/internal/fleet/attendant"
	"bamboohook/resource"
)

type (
	// slowClockEndpoint executes list requests and, from silentAfter on, does not answer them. Its clock runs at the given rate. Its runs are
	// not simulated.
	slowClockEndpoint struct {
		startedAt   time.Time
		silentAfter time.Duration
		rate        float64
		mutex       sync.Mutex
		// longestLease is the longest lease that a request has asked for, on the clock of the endpoint. renewals is the number of requests
		// with a lease that got no answer.
		longestLease time.Duration
		renewals     int
	}

	virtualClock struct{}
)

func (virtualClock) Now() time.Time { return time.Now() }

func (e *slowClockEndpoint) List(ctx context.Context, q attendant.ListQuery) (attendant.Listing, error) {
	silent, clockMS := time.Since(e.startedAt) >= e.silentAfter, int64(float64(time.Since(e.startedAt).Milliseconds())*e.rate)
	e.mutex.Lock()
	if q.DeadlineMS != 0 {
		e.longestLease = max(e.longestLease, time.Duration(q.DeadlineMS-clockMS)*time.Millisecond)
		if silent {
			e.renewals++
		}
	}
	e.mutex.Unlock()
	if silent {
		<-ctx.Done()
		return attendant.Listing{}, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	return attendant.Listing{Incarnation: 1, ClockMS: clockMS}, nil
}

func (*slowClockEndpoint) Start(context.Context, attendant.StartCall) error { return nil }

func (*slowClockEndpoint) Stop(context.Context, attendant.StopCall) error { return nil }

func (*slowClockEndpoint) Pace(context.Context, attendant.PaceCall) error { return nil }

// Guards against leases that grow with the time since the endpoint's last answer, because its clock may be slow: a run could then go on after
// the owner counts its VM as lost.
func TestLeaseDoesNotGrowWithoutAnswers(t *testing.T) {
	const (
		lease      = 4 * time.Second
		silentTime = time.Minute
		// rounding is the error of times in whole milliseconds: one of the endpoint's clock, one of the agent's.
		rounding = 2 * time.Millisecond
	)
	for name, rate := range map[string]float64{"2% slow": 0.98, "exact": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				e := &slowClockEndpoint{startedAt: time.Now(), silentAfter: 5 * time.Second, rate: rate}
				a := &attendant.Attendant{
					Address: "vm", Generation: "g", Endpoint: e, Reporter: &reporter{address: "owner", epoch: 3}, Clock: virtualClock{}, Log: zerolog.Nop(),
					LeaseDurations: attendant.LeaseDurations{Grant: 2 * time.Second, Run: lease}, Seeds: []string{"owner"},
				}
				ended := make(chan struct{})
				go func() { defer close(ended); _ = a.Run(ctx) }()
				time.Sleep(time.Second)
				a.HandleHeartbeat(attendant.Heartbeat{EndpointID: "e", Incarnation: 1, Sequence: 1, Service: "s", Capacity: resource.Amount{MilliProcessors: 1}})
				time.Sleep(silentTime)
				cancel()
				<-ended
				if e.renewals == 0 {
					t.Error("no lease was renewed without answers")
				}
				if e.longestLease > lease+rounding {
					t.Errorf("a lease of %v on the clock of the endpoint; %v is the longest that the owner expects", e.longestLease, lease)
				}
			})
		})
	}
}
