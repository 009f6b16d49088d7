package attendant_test

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/internal/fleet/attendant"
	"bamboohook/internal/fleet/messenger"
)

var errLost = eris.New("no answer")

// endpoint is a fake that follows the platform's rules for tokens, run numbers and leases. Orders can lose their answers and be
// carried out later.
type endpoint struct {
	mutex sync.Mutex
	life  int64
	token uint64
	runs  map[string]messenger.Run
	high  map[string]int
	ends  []messenger.RunResult
	next  int64
	// late holds starts that were not answered and wait to be carried out.
	late []attendant.StartCall
	// loseStarts is how many starts are kept back instead of being carried out.
	loseStarts int
	// loseAnswers is how many starts are carried out without an answer; their runs end at once unless they last.
	loseAnswers int
	last        bool
	// slowList holds the answer of one list back, which is composed before that, until it is closed; composed tells that it is.
	slowList chan struct{}
	composed bool
	// gate holds starts up until it is closed; nil holds up none. held tells that a start waits.
	gate    chan struct{}
	held    bool
	absent  bool
	queries []attendant.Query
	started []string
}

func newEndpoint() *endpoint {
	return &endpoint{life: 100, runs: map[string]messenger.Run{}, high: map[string]int{}, next: 1}
}

func (e *endpoint) List(ctx context.Context, q attendant.Query) (attendant.Listing, error) {
	for wait := q.Wait; ; wait -= time.Millisecond {
		e.mutex.Lock()
		if e.absent {
			e.mutex.Unlock()
			return attendant.Listing{}, attendant.ErrNotListening
		}
		if q.Token < e.token {
			e.mutex.Unlock()
			return attendant.Listing{}, attendant.ErrFenced
		}
		e.token = q.Token
		e.ends = slices.DeleteFunc(e.ends, func(end messenger.RunResult) bool { return end.Sequence <= q.RecordedSequence })
		if len(e.ends) > 0 || wait <= 0 || ctx.Err() != nil {
			break
		}
		e.mutex.Unlock()
		time.Sleep(time.Millisecond)
	}
	defer e.mutex.Unlock()
	e.queries = append(e.queries, q)
	if slow := e.slowList; slow != nil {
		e.slowList, e.composed = nil, true
		l := e.listing()
		e.mutex.Unlock()
		<-slow
		e.mutex.Lock()
		return l, nil
	}
	return e.listing(), nil
}

func (e *endpoint) listing() attendant.Listing {
	l := attendant.Listing{Incarnation: e.life, Clock: time.Now().UnixMilli(), Results: slices.Clone(e.ends)}
	for _, r := range e.runs {
		l.Runs = append(l.Runs, r)
	}
	return l
}

func (e *endpoint) Start(_ context.Context, s attendant.StartCall) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if gate := e.gate; gate != nil {
		e.held = true
		e.mutex.Unlock()
		<-gate
		e.mutex.Lock()
	}
	if e.loseStarts > 0 {
		e.loseStarts--
		e.late = append(e.late, s)
		return errLost
	}
	err := e.apply(s)
	if err == nil && e.loseAnswers > 0 {
		e.loseAnswers--
		if !e.last {
			e.end(s.Task, messenger.ResultDone)
		}
		return errLost
	}
	return err
}

func (e *endpoint) apply(s attendant.StartCall) error {
	switch {
	case s.Token < e.token:
		return attendant.ErrFenced
	case e.runs[s.Task].Number == s.Number:
		return nil
	case s.Number <= e.high[s.Task]:
		return attendant.ErrRefused
	}
	e.token = s.Token
	e.high[s.Task] = s.Number
	e.runs[s.Task] = messenger.Run{Task: s.Task, Number: s.Number}
	e.started = append(e.started, s.Task)
	return nil
}

func (e *endpoint) Stop(_ context.Context, s attendant.StopCall) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.high[s.Task] = max(e.high[s.Task], s.Number)
	e.end(s.Task, messenger.ResultStopped)
	return nil
}

func (e *endpoint) Pace(context.Context, attendant.PaceCall) error { return nil }

func (e *endpoint) end(task, how string) {
	r, ok := e.runs[task]
	if !ok {
		return
	}
	delete(e.runs, task)
	e.ends = append(e.ends, messenger.RunResult{Sequence: e.next, Task: task, Number: r.Number, Outcome: how})
	e.next++
}

// applyLate carries out the starts that were kept back and returns how many took effect.
func (e *endpoint) applyLate() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	before := len(e.started)
	for _, s := range e.late {
		_ = e.apply(s)
	}
	e.late = nil
	return len(e.started) - before
}

// replace lets a new process take the endpoint's place.
func (e *endpoint) replace() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.life += 50
	e.token, e.next, e.runs, e.high, e.ends = 0, 1, map[string]messenger.Run{}, map[string]int{}, nil
}

// owner is a fake that keeps the reports.
type owner struct {
	mutex    sync.Mutex
	address  string
	epoch    uint64
	silent   bool
	recorded int64
	last     messenger.Report
	reports  int
	// hang is an address whose process does not answer at all.
	hang string
	// empty counts reports without runs.
	empty int
}

func (o *owner) Report(ctx context.Context, entry string, r messenger.Report) (messenger.ReportResponse, error) {
	o.mutex.Lock()
	if o.hang == entry {
		o.mutex.Unlock()
		<-ctx.Done()
		return messenger.ReportResponse{}, ctx.Err()
	}
	defer o.mutex.Unlock()
	if o.silent || entry != o.address {
		return messenger.ReportResponse{}, errLost
	}
	o.last = r
	if len(r.Runs) == 0 {
		o.empty++
	}
	o.reports++
	return messenger.ReportResponse{Owner: o.address, Epoch: o.epoch, Granted: true, Incarnation: r.Incarnation, RecordedSequence: o.recorded}, nil
}

func (o *owner) report() messenger.Report {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.last
}
