package attendant_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bamboohook/internal/fleet/attendant"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/resource"
)

const (
	silenceGrant = 2500 * time.Millisecond
	silenceLease = 4 * time.Second
	// callTime is how long an endpoint takes to answer a call.
	callTime = time.Millisecond
)

type (
	// watchedEndpoint answers list requests and executes starts until it is made silent, and keeps all requests. mutex protects the fields.
	watchedEndpoint struct {
		mutex  sync.Mutex
		bornAt time.Time
		silent bool
		// failure, unless nil, is the error of each call, after failureTime.
		failure     error
		failureTime time.Duration
		queries     []watchedQuery
		results     []messenger.RunResult
		runs        []messenger.Run
		// held, unless nil, delays the response to the next list request beyond its timeout, until the test closes the channel.
		held chan struct{}
		// added is closed and replaced when a result is added.
		added chan struct{}
	}

	// watchedQuery is a list request and the time at which it was sent.
	watchedQuery struct {
		attendant.ListQuery
		at time.Time
	}

	// watchedReporter is an owner that records all results at once, and keeps all reports.
	watchedReporter struct {
		mutex      sync.Mutex
		generation string
		session    uint64
		reports    []messenger.Report
		recorded   int64
	}
)

func (e *watchedEndpoint) locked(do func()) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	do()
}

// answer waits for the time of a call, and for the end of ctx if the endpoint is silent.
func (e *watchedEndpoint) answer(ctx context.Context) error {
	time.Sleep(callTime)
	silent, failure, failureTime := false, error(nil), time.Duration(0)
	e.locked(func() { silent, failure, failureTime = e.silent, e.failure, e.failureTime })
	if failure != nil {
		time.Sleep(failureTime)
		return failure
	}
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (e *watchedEndpoint) List(ctx context.Context, q attendant.ListQuery) (attendant.Listing, error) {
	e.locked(func() { e.queries = append(e.queries, watchedQuery{q, time.Now()}) })
	if err := e.answer(ctx); err != nil {
		return attendant.Listing{}, err
	}
	discard := func() {
		e.results = slices.DeleteFunc(e.results, func(r messenger.RunResult) bool { return r.Sequence <= q.RecordedSequence })
	}
	var added, held chan struct{}
	waits := false
	e.locked(func() {
		discard()
		held, e.held = e.held, nil
		added, waits = e.added, len(e.results) == 0
	})
	if waits {
		select {
		case <-added:
		case <-time.After(q.MaxWait):
		case <-ctx.Done():
			return attendant.Listing{}, ctx.Err()
		}
	}
	var l attendant.Listing
	e.locked(func() {
		discard()
		l = attendant.Listing{
			Incarnation: e.bornAt.UnixMilli(), ClockMS: time.Since(e.bornAt).Milliseconds(), Results: slices.Clone(e.results), Runs: slices.Clone(e.runs),
		}
	})
	if held != nil {
		<-held
		return l, nil
	}
	return l, e.answer(ctx)
}

func (e *watchedEndpoint) Start(ctx context.Context, s attendant.StartCall) error {
	if err := e.answer(ctx); err != nil {
		return err
	}
	e.locked(func() { e.runs = append(e.runs, messenger.Run{Task: s.Task, Number: s.Number}) })
	return nil
}

func (e *watchedEndpoint) Stop(ctx context.Context, _ attendant.StopCall) error { return e.answer(ctx) }

func (e *watchedEndpoint) Pace(ctx context.Context, _ attendant.PaceCall) error { return e.answer(ctx) }

// end ends all runs as done.
func (e *watchedEndpoint) end() {
	e.locked(func() {
		for _, r := range e.runs {
			e.results = append(e.results, messenger.RunResult{Sequence: int64(r.Number), Task: r.Task, Number: r.Number, Outcome: messenger.RunDone})
		}
		e.runs = nil
		close(e.added)
		e.added = make(chan struct{})
	})
}

// since returns the list requests that were sent after the time.
func (e *watchedEndpoint) since(at time.Time) (queries []watchedQuery) {
	e.locked(func() {
		for _, q := range e.queries {
			if q.at.After(at) {
				queries = append(queries, q)
			}
		}
	})
	return queries
}

func (o *watchedReporter) SendReport(_ context.Context, entry string, r messenger.Report) (messenger.ReportResponse, error) {
	time.Sleep(callTime)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.reports = append(o.reports, r)
	if r.Generation != o.generation {
		o.generation = r.Generation
		o.session++
	}
	for _, result := range r.Results {
		o.recorded = max(o.recorded, result.Sequence)
	}
	return messenger.ReportResponse{
		Owner: entry, Epoch: 3, Session: o.session, Granted: r.Session == o.session && r.Listed, Incarnation: r.Incarnation, RecordedSequence: o.recorded,
	}, nil
}

// last returns the last report.
func (o *watchedReporter) last() messenger.Report {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.reports[len(o.reports)-1]
}

// watch plays the script with an agent that has just listed the runs of its endpoint and has a grant.
func watch(t *testing.T, script func(t *testing.T, a *attendant.Attendant, e *watchedEndpoint, o *watchedReporter)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := &watchedEndpoint{bornAt: time.Now(), added: make(chan struct{})}
		attend(t, e, e.bornAt, func(a *attendant.Attendant, o *watchedReporter) { script(t, a, e, o) })
	})
}

// attend plays the script in a bubble with an agent that has just listed the runs of the endpoint and has a grant.
func attend(t *testing.T, e attendant.Endpoint, bornAt time.Time, script func(a *attendant.Attendant, o *watchedReporter)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	o := &watchedReporter{}
	a := &attendant.Attendant{
		Address: "vm", Generation: "g", Endpoint: e, Reporter: o, Clock: virtualClock{}, Log: zerolog.Nop(),
		LeaseDurations: attendant.LeaseDurations{Grant: silenceGrant, Run: silenceLease}, Seeds: []string{"owner"},
	}
	ended := make(chan struct{})
	go func() { defer close(ended); _ = a.Run(ctx) }()
	defer func() { cancel(); <-ended }()
	time.Sleep(time.Second)
	a.HandleHeartbeat(attendant.Heartbeat{
		EndpointID: "e", Incarnation: bornAt.UnixMilli(), Sequence: 1, Service: "s", Capacity: resource.Amount{MilliProcessors: 1000, MemoryBytes: 100},
	})
	time.Sleep(time.Second)
	if r := o.last(); !r.Listed || r.State != messenger.VMUp {
		t.Errorf("the report at the beginning is %+v", r)
	}
	script(a, o)
}

// startRun makes the agent start a run.
func startRun(a *attendant.Attendant, r messenger.Report, task string, number int) messenger.OrdersResponse {
	return a.HandleOrders(context.Background(), messenger.Orders{
		Epoch: 3, Owner: "owner", Session: r.Session, Incarnation: r.Incarnation, ReportSentMS: r.SentMS, Starts: []messenger.Start{{Task: task, Number: number}},
	})
}

// Guards against runs that go on, or are reported, at an endpoint that is silent for good, and against an agent that takes up its work at an endpoint that
// returns late under the number with which its runs were reported as ended.
func TestSilentEndpointLosesItsLeases(t *testing.T) {
	watch(t, func(t *testing.T, a *attendant.Attendant, e *watchedEndpoint, o *watchedReporter) {
		before := o.last()
		if r := startRun(a, before, "a.0.0.0", 1); !r.Accepted {
			t.Fatalf("a start is refused: %s", r.Reason)
		}
		time.Sleep(time.Second)
		e.locked(func() { e.silent = true })
		silentAt := time.Now()
		time.Sleep(silenceGrant + 700*time.Millisecond)
		if r := startRun(a, o.last(), "b.0.0.0", 1); r.Accepted || r.Reason != "endpoint-silent" {
			t.Errorf("the response to a start while the endpoint is silent is %+v", r)
		}
		if r := o.last(); r.State != messenger.VMUp || len(r.Runs) != 1 || r.ListAge < silenceGrant {
			t.Errorf("the report before the leases have expired is %+v", r)
		}
		time.Sleep(silenceLease + time.Second)
		if r := o.last(); r.State != "silent" || len(r.Runs) != 0 || r.Listed {
			t.Errorf("the report after the leases have expired is %+v", r)
		}
		time.Sleep(30 * time.Second)
		queries := e.since(silentAt)
		for _, q := range queries {
			// The last response may have come a moment before the silence.
			if q.DeadlineMS != 0 && q.at.Sub(silentAt) > silenceGrant {
				t.Fatalf("a lease was renewed %v after the last response", q.at.Sub(silentAt))
			}
		}
		if len(queries) == 0 {
			t.Error("no list requests were sent to the silent endpoint")
		}
		e.locked(func() { e.silent = false })
		returnedAt := time.Now()
		time.Sleep(time.Second)
		after := o.last()
		if after.Generation == before.Generation || after.Session <= before.Session || !after.Listed || after.State != messenger.VMUp {
			t.Errorf("the report after the return is %+v, that before the silence %+v", after, before)
		}
		for _, q := range e.since(returnedAt) {
			if old := q.FencingToken>>12 == before.Epoch<<24|before.Session; old && q.DeadlineMS != 0 {
				t.Error("a lease was renewed under the former number after the return")
			}
		}
		if r := startRun(a, before, "c.0.0.0", 1); r.Accepted {
			t.Error("a start for the former number of the agent process was accepted after the return")
		}
	})
}

// Guards against runs that are reported for ever at an endpoint that is gone for good, because calls to it fail otherwise than by their timeout.
func TestFailingEndpointLosesItsLeases(t *testing.T) {
	for name, c := range map[string]struct {
		failure     error
		failureTime time.Duration
	}{
		"connections cannot be opened":          {eris.Wrap(attendant.ErrRefused, "i/o timeout"), 500 * time.Millisecond},
		"no route to the machine":               {eris.Wrap(attendant.ErrRefused, "no route to host"), 0},
		"connections are closed":                {errNoResponse, 0},
		"connections are closed after a moment": {errNoResponse, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			watch(t, func(t *testing.T, a *attendant.Attendant, e *watchedEndpoint, o *watchedReporter) {
				before := o.last()
				if r := startRun(a, before, "a.0.0.0", 1); !r.Accepted {
					t.Fatalf("a start is refused: %s", r.Reason)
				}
				time.Sleep(time.Second)
				e.locked(func() { e.failure, e.failureTime = c.failure, c.failureTime })
				failingSince := time.Now()
				time.Sleep(silenceGrant)
				if r := o.last(); r.State != messenger.VMUp || len(r.Runs) != 1 {
					t.Errorf("the report before the leases have expired is %+v", r)
				}
				time.Sleep(silenceLease + 2*time.Second)
				if r := o.last(); r.State != messenger.VMSilent || len(r.Runs) != 0 || r.Listed {
					t.Errorf("the report %v after the last response is %+v", time.Since(failingSince), r)
				}
				for _, q := range e.since(failingSince) {
					if q.DeadlineMS != 0 && q.at.Sub(failingSince) > silenceGrant {
						t.Fatalf("a lease was renewed %v after the last response", q.at.Sub(failingSince))
					}
				}
				e.locked(func() { e.failure = nil })
				time.Sleep(time.Second)
				if after := o.last(); after.Session <= before.Session || !after.Listed || after.State != messenger.VMUp {
					t.Errorf("the report after the return is %+v", after)
				}
			})
		})
	}
}

// Guards against a result that is discarded at another process than the one that was told to: a request that the endpoint may delay can wait at the next
// process with the same ID.
func TestWaitingRequestsAcknowledgeNothing(t *testing.T) {
	watch(t, func(t *testing.T, a *attendant.Attendant, e *watchedEndpoint, o *watchedReporter) {
		for number := range 20 {
			if r := startRun(a, o.last(), "a.0.0.0", number+1); !r.Accepted {
				t.Fatalf("start %d is refused: %s", number+1, r.Reason)
			}
			// The ends come at all times within the waits of the list requests.
			time.Sleep(time.Duration(number) * 37 * time.Millisecond)
			e.end()
			time.Sleep(150 * time.Millisecond)
			e.locked(func() {
				if len(e.results) > 0 {
					t.Errorf("result %d was not acknowledged 150 ms after the end", number+1)
				}
			})
		}
		acknowledged := int64(0)
		for _, q := range e.since(time.Time{}) {
			if q.MaxWait > 0 && q.RecordedSequence > 0 {
				t.Fatalf("a list request that may wait for %v acknowledges result %d", q.MaxWait, q.RecordedSequence)
			}
			if q.KnownSequence < acknowledged {
				t.Fatalf("a list request tells that result %d is the last known one, after %d was acknowledged", q.KnownSequence, acknowledged)
			}
			acknowledged = max(acknowledged, q.RecordedSequence)
		}
		if acknowledged != 20 {
			t.Errorf("result %d is the last acknowledged one", acknowledged)
		}
	})
}

// Guards against an outdated list that counts as current: an agent process that was suspended reads, when it goes on, a response that has arrived long ago.
func TestLateResponseIsNotCurrent(t *testing.T) {
	watch(t, func(t *testing.T, a *attendant.Attendant, e *watchedEndpoint, o *watchedReporter) {
		held := make(chan struct{})
		e.locked(func() { e.held = held })
		time.Sleep(time.Second)
		e.locked(func() { e.silent = true })
		silentAt := time.Now()
		time.Sleep(silenceGrant)
		close(held)
		time.Sleep(500 * time.Millisecond)
		if age := o.last().ListAge; age < silenceGrant {
			t.Errorf("the age of the list is %v, %v after the last response in time", age, time.Since(silentAt))
		}
		if r := startRun(a, o.last(), "b.0.0.0", 1); r.Accepted {
			t.Error("a start is accepted by the late response of an endpoint that is silent")
		}
	})
}
