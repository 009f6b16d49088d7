package attendant_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"bamboohook/internal/fleet/attendant"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/resource"
)

const (
	evacuationTask = "a.0.0.0"
	// learnTime is more than the time after which an agent has received a further response to a report.
	learnTime = time.Second
)

// evacuationAgent is an agent process with a fake endpoint and a fake owner, on virtual time.
type evacuationAgent struct {
	*attendant.Attendant
	endpoint *endpoint
	owner    *reporter
	stop     func()
}

// startAgent starts an agent process and returns once it accepts starts.
func startAgent(e *endpoint, o *reporter, generation string) *evacuationAgent {
	a := &evacuationAgent{endpoint: e, owner: o, Attendant: &attendant.Attendant{
		Address: "vm", Generation: generation, Endpoint: e, Reporter: o, Clock: virtualClock{}, Log: zerolog.Nop(), StopTimeout: 500 * time.Millisecond, DataCentre: "zone-1",
		LeaseDurations: attendant.LeaseDurations{Grant: 2 * time.Second, Run: 4 * time.Second}, Seeds: []string{"owner"},
	}}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = a.Run(ctx) }()
	a.stop = func() { cancel(); <-ended }
	time.Sleep(learnTime)
	a.HandleHeartbeat(attendant.Heartbeat{
		EndpointID: "e", Incarnation: e.incarnation, Sequence: 1, Service: "s", DataCentre: "zone-1", Capacity: resource.Amount{MilliProcessors: 1000, MemoryBytes: 100},
	})
	time.Sleep(learnTime)
	return a
}

// order sends orders of the owner with a start of the task unless it is empty.
func (a *evacuationAgent) order(task string, number int, o messenger.Orders) messenger.OrdersResponse {
	r := a.owner.report()
	o.Epoch, o.Owner, o.Session, o.Incarnation, o.ReportSentMS = a.owner.epoch, a.owner.address, r.Session, r.Incarnation, r.SentMS
	if task != "" {
		o.Starts = []messenger.Start{{Task: task, Number: number, Size: resource.Amount{MilliProcessors: 100, MemoryBytes: 10}}}
	}
	return a.HandleOrders(context.Background(), o)
}

func (a *evacuationAgent) setEvacuated(evacuated bool) {
	a.owner.mutex.Lock()
	a.owner.evacuated = evacuated
	a.owner.mutex.Unlock()
}

func (a *evacuationAgent) countStarted() int {
	a.endpoint.mutex.Lock()
	defer a.endpoint.mutex.Unlock()
	return len(a.endpoint.started)
}

// Guards against starts in an evacuated data centre that the agent could prevent, and against runs there that end because of the evacuation.
func TestEvacuation(t *testing.T) {
	for name, check := range map[string]func(t *testing.T, a *evacuationAgent){
		"refuses starts until the withdrawal": func(t *testing.T, a *evacuationAgent) {
			a.setEvacuated(true)
			time.Sleep(learnTime)
			got := a.order(evacuationTask, 1, messenger.Orders{})
			if want := (messenger.StartOutcome{Task: evacuationTask, Number: 1, Outcome: messenger.StartRefused, Reason: "evacuated"}); !got.Accepted || got.Starts[0] != want {
				t.Errorf("the start has the outcome %+v", got)
			}
			a.setEvacuated(false)
			time.Sleep(learnTime)
			if got := a.order(evacuationTask, 2, messenger.Orders{}); got.Starts[0].Outcome != messenger.StartDone {
				t.Errorf("after the withdrawal the start has the outcome %+v", got.Starts[0])
			}
		},
		"carries out stops and paces beside a refused start": func(t *testing.T, a *evacuationAgent) {
			a.order(evacuationTask, 1, messenger.Orders{})
			a.order("b.0.0.0", 1, messenger.Orders{})
			a.setEvacuated(true)
			time.Sleep(learnTime)
			stop, pace := messenger.Stop{Task: evacuationTask, Number: 1}, messenger.Pace{Task: "b.0.0.0", Number: 1, Percent: 40}
			got := a.order("c.0.0.0", 1, messenger.Orders{Stops: []messenger.Stop{stop}, Paces: []messenger.Pace{pace}})
			if !got.Accepted || len(got.Stopped) != 1 || len(got.UnsetPaces) != 0 || got.Starts[0].Reason != "evacuated" {
				t.Errorf("the orders have the outcome %+v", got)
			}
			a.endpoint.mutex.Lock()
			defer a.endpoint.mutex.Unlock()
			if a.endpoint.paces["b.0.0.0"] != 40 || len(a.endpoint.runs) != 1 {
				t.Errorf("paces %v and runs %v", a.endpoint.paces, a.endpoint.runs)
			}
		},
		"keeps runs and renews their leases": func(t *testing.T, a *evacuationAgent) {
			a.order(evacuationTask, 1, messenger.Orders{})
			a.setEvacuated(true)
			time.Sleep(learnTime)
			a.endpoint.mutex.Lock()
			a.endpoint.queries = nil
			a.endpoint.mutex.Unlock()
			time.Sleep(10 * time.Second)
			if r := a.owner.report(); len(r.Runs) != 1 || !r.Listed || !r.Evacuated {
				t.Errorf("the report is %+v", r)
			}
			a.endpoint.mutex.Lock()
			defer a.endpoint.mutex.Unlock()
			for _, q := range a.endpoint.queries {
				if q.DeadlineMS == 0 {
					t.Fatal("a list request does not renew the leases")
				}
			}
			if len(a.endpoint.queries) == 0 {
				t.Error("no list request was sent")
			}
		},
		"answers a repeated order for a run that exists": func(t *testing.T, a *evacuationAgent) {
			a.order(evacuationTask, 1, messenger.Orders{})
			a.setEvacuated(true)
			time.Sleep(learnTime)
			if got := a.order(evacuationTask, 1, messenger.Orders{}); got.Starts[0].Outcome != messenger.StartDone {
				t.Errorf("the repeated start has the outcome %+v", got.Starts[0])
			}
		},
		"sends no further copy of a start under way, and copies that arrive late start nothing": func(t *testing.T, a *evacuationAgent) {
			a.endpoint.mutex.Lock()
			a.endpoint.startsToDelay = 1000
			a.endpoint.mutex.Unlock()
			a.setEvacuated(true)
			// The next report is sent at most 400 ms after the last one, while the copies are sent for 500 ms.
			got := a.order(evacuationTask, 1, messenger.Orders{})
			calls := a.endpoint.startCalls
			if calls == 0 || calls > 8 {
				t.Errorf("%d copies were sent", calls)
			}
			if outcome := got.Starts[0].Outcome; outcome != messenger.StartRefused {
				t.Errorf("the start has the outcome %q", outcome)
			}
			time.Sleep(learnTime)
			if effective := a.endpoint.executeDelayedStarts(); effective != 0 {
				t.Errorf("%d late copies took effect", effective)
			}
			if a.endpoint.startCalls != calls {
				t.Errorf("%d more copies were sent later", a.endpoint.startCalls-calls)
			}
		},
		"keeps a run whose start had no response before the evacuation": func(t *testing.T, a *evacuationAgent) {
			a.endpoint.mutex.Lock()
			a.endpoint.responsesToDrop, a.endpoint.keepsRunning = 1000, true
			a.endpoint.mutex.Unlock()
			a.setEvacuated(true)
			if got := a.order(evacuationTask, 1, messenger.Orders{}); got.Starts[0].Outcome != messenger.StartDone {
				t.Errorf("the start has the outcome %+v", got.Starts[0])
			}
			time.Sleep(learnTime)
			if r := a.owner.report(); len(r.Runs) != 1 || r.Runs[0].Unconfirmed {
				t.Errorf("the report has the runs %+v", r.Runs)
			}
		},
		"starts nothing after its restart before it knows of the evacuation, nor after that": func(t *testing.T, a *evacuationAgent) {
			before := a.owner.report()
			a.stop()
			a.setEvacuated(true)
			next := &attendant.Attendant{
				Address: "vm", Generation: "h", Endpoint: a.endpoint, Reporter: a.owner, Clock: virtualClock{}, Log: zerolog.Nop(),
				LeaseDurations: attendant.LeaseDurations{Grant: 2 * time.Second, Run: 4 * time.Second}, Seeds: []string{"owner"},
			}
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{})
			go func() { defer close(ended); _ = next.Run(ctx) }()
			defer func() { cancel(); <-ended }()
			start := messenger.Start{Task: evacuationTask, Number: 1, Size: resource.Amount{MilliProcessors: 1}}
			for n := range 40 {
				if n == 10 {
					next.HandleHeartbeat(attendant.Heartbeat{
						EndpointID: "e", Incarnation: a.endpoint.incarnation, Sequence: 2, Service: "s", DataCentre: "zone-1", Capacity: resource.Amount{MilliProcessors: 1000},
					})
				}
				// The owner numbers the process before the process knows that number.
				for _, session := range []uint64{before.Session, before.Session + 1} {
					next.HandleOrders(ctx, messenger.Orders{
						Epoch: a.owner.epoch, Owner: a.owner.address, Session: session, Incarnation: a.endpoint.incarnation,
						ReportSentMS: a.owner.report().SentMS, Starts: []messenger.Start{start},
					})
				}
				time.Sleep(50 * time.Millisecond)
			}
			if started := a.countStarted(); started != 0 {
				t.Errorf("%d runs were started", started)
			}
		},
		"reports the data centre of its settings beside another one in a heartbeat, and only then": func(t *testing.T, a *evacuationAgent) {
			if r := a.owner.report(); r.DataCentre != "zone-1" || r.AgentDataCentre != "" {
				t.Errorf("reported %q and %q", r.DataCentre, r.AgentDataCentre)
			}
			for n, name := range []string{"odd", ""} {
				a.HandleHeartbeat(attendant.Heartbeat{EndpointID: "e", Incarnation: a.endpoint.incarnation, Sequence: int64(n) + 2, Service: "s", DataCentre: name})
				time.Sleep(learnTime)
				if r := a.owner.report(); r.DataCentre != name || r.AgentDataCentre != "zone-1" {
					t.Errorf("reported %q and %q", r.DataCentre, r.AgentDataCentre)
				}
			}
		},
		"keeps the request while another entry than the owner responds, and takes over what the next owner says": func(t *testing.T, a *evacuationAgent) {
			a.setEvacuated(true)
			time.Sleep(learnTime)
			a.owner.mutex.Lock()
			a.owner.address, a.owner.epoch, a.owner.evacuated = "successor", 4, false
			a.owner.mutex.Unlock()
			// The entries know no owner yet.
			time.Sleep(2 * learnTime)
			if got := a.order(evacuationTask, 1, messenger.Orders{}); got.Accepted && got.Starts[0].Outcome == messenger.StartDone {
				t.Errorf("a start before the first response of the successor has the outcome %+v", got)
			}
			time.Sleep(2 * learnTime)
			if got := a.order(evacuationTask, 2, messenger.Orders{}); !got.Accepted || got.Starts[0].Outcome != messenger.StartDone {
				t.Errorf("a start after the withdrawal has the outcome %+v", got)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := startAgent(newEndpoint(), &reporter{address: "owner", epoch: 3}, "g")
				check(t, a)
				a.stop()
			})
		})
	}
}
