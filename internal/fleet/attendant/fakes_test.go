package attendant_test

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/internal/fleet/attendant"
	"bamboohook/internal/fleet/messenger"
)

var errNoResponse = eris.New("no response")

// endpoint is a fake of the endpoint that follows the platform's rules for fencing tokens and run numbers. It can drop the responses to
// starts and delay the execution of starts. highestFencingToken is the highest token that it has seen.
type endpoint struct {
	mutex               sync.Mutex
	incarnation         int64
	highestFencingToken uint64
	runs                map[string]messenger.Run
	// highestNumbers contains the highest run number of each task that was started or stopped.
	highestNumbers map[string]int
	results        []messenger.RunResult
	nextSequence   int64
	// delayedStarts contains starts without a response that were not executed yet.
	delayedStarts []attendant.StartCall
	// startsToDelay is the number of the next starts that are added to delayedStarts instead of being executed.
	startsToDelay int
	// responsesToDrop is the number of the next starts that are executed without a response. Their runs end at once unless keepsRunning
	// is set.
	responsesToDrop int
	keepsRunning    bool
	// listRelease, unless nil, is a channel that delays the response to the next list request until the test closes it. listComposed
	// reports that this response was composed, which happens before the delay.
	listRelease  chan struct{}
	listComposed bool
	// listHold, unless nil, is a channel that delays the next list request that makes the endpoint forget results, before it is executed, until the
	// test closes it. listHeld reports that a request is delayed so, and lateListErr is the outcome of its execution.
	listHold    chan struct{}
	listHeld    bool
	lateListErr error
	// startRelease, unless nil, is a channel that delays starts until the test closes it. startBlocked reports that a start is delayed.
	startRelease chan struct{}
	startBlocked bool
	// startCalls is the number of start calls, executed or not.
	startCalls   int
	notListening bool
	// resultsMissing is ResultsMissing of the listings.
	resultsMissing bool
	// unreadableTasks and unreadableResults are those of each listing. A run of an unreadable task is not listed.
	unreadableTasks   []string
	unreadableResults bool
	// unnamedRuns makes the listings contain no run, and report that there is one whose task cannot be read. stopsFail makes stops get no answer
	// and have no effect.
	unnamedRuns bool
	stopsFail   bool
	// pacesToDelay is the number of the next pace calls that get no answer and are added to delayedPaces. paces contains the last pace of each task.
	pacesToDelay int
	// paceLatency is how long a pace call is on its way.
	paceLatency  time.Duration
	delayedPaces []attendant.PaceCall
	paces        map[string]int
	// queries contains the list requests that the endpoint has accepted, and started the tasks of all executed starts.
	queries []attendant.ListQuery
	started []string
}

func newEndpoint() *endpoint {
	return &endpoint{incarnation: 100, runs: map[string]messenger.Run{}, highestNumbers: map[string]int{}, nextSequence: 1, paces: map[string]int{}}
}

func (e *endpoint) List(ctx context.Context, q attendant.ListQuery) (l attendant.Listing, err error) {
	e.mutex.Lock()
	hold := e.listHold
	if hold != nil && q.RecordedSequence > 0 {
		e.listHold, e.listHeld = nil, true
		e.mutex.Unlock()
		<-hold
		q.MaxWait = 0
		defer func() { e.mutex.Lock(); defer e.mutex.Unlock(); e.lateListErr = err }()
	} else {
		e.mutex.Unlock()
	}
	for end := time.Now().Add(q.MaxWait); ; {
		e.mutex.Lock()
		if e.notListening {
			e.mutex.Unlock()
			return attendant.Listing{}, attendant.ErrNotListening
		}
		if q.FencingToken < e.highestFencingToken {
			e.mutex.Unlock()
			return attendant.Listing{}, attendant.ErrFenced
		}
		e.highestFencingToken = q.FencingToken
		e.results = slices.DeleteFunc(e.results, func(r messenger.RunResult) bool { return r.Sequence <= q.RecordedSequence })
		if len(e.results) > 0 || e.unreadableResults || !time.Now().Before(end) || ctx.Err() != nil {
			break
		}
		e.mutex.Unlock()
		time.Sleep(time.Millisecond)
	}
	defer e.mutex.Unlock()
	e.queries = append(e.queries, q)
	if release := e.listRelease; release != nil {
		e.listRelease, e.listComposed = nil, true
		l := e.listing()
		e.mutex.Unlock()
		<-release
		e.mutex.Lock()
		return l, nil
	}
	return e.listing(), nil
}

// listing returns the current lists of runs and results. The caller holds the mutex.
func (e *endpoint) listing() attendant.Listing {
	l := attendant.Listing{Incarnation: e.incarnation, ClockMS: time.Now().UnixMilli(), Results: slices.Clone(e.results), ResultsMissing: e.resultsMissing}
	l.UnreadableTasks, l.UnreadableResults, l.UnnamedRuns = e.unreadableTasks, e.unreadableResults, e.unnamedRuns
	for _, r := range e.runs {
		if !e.unnamedRuns && !slices.Contains(e.unreadableTasks, r.Task) {
			l.Runs = append(l.Runs, r)
		}
	}
	return l
}

func (e *endpoint) Start(_ context.Context, s attendant.StartCall) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.startCalls++
	if release := e.startRelease; release != nil {
		e.startBlocked = true
		e.mutex.Unlock()
		<-release
		e.mutex.Lock()
	}
	if e.startsToDelay > 0 {
		e.startsToDelay--
		e.delayedStarts = append(e.delayedStarts, s)
		return errNoResponse
	}
	err := e.execute(s)
	if err == nil && e.responsesToDrop > 0 {
		e.responsesToDrop--
		if !e.keepsRunning {
			e.finish(s.Task, messenger.RunDone)
		}
		return errNoResponse
	}
	return err
}

// execute executes a start unless its fencing token or run number forbids it. The caller holds the mutex.
func (e *endpoint) execute(s attendant.StartCall) error {
	switch {
	case s.FencingToken < e.highestFencingToken:
		return attendant.ErrFenced
	case e.runs[s.Task].Number == s.Number:
		return nil
	case s.Number <= e.highestNumbers[s.Task]:
		return attendant.ErrRefused
	}
	e.highestFencingToken = s.FencingToken
	e.highestNumbers[s.Task] = s.Number
	e.runs[s.Task] = messenger.Run{Task: s.Task, Number: s.Number}
	e.started = append(e.started, s.Task)
	return nil
}

func (e *endpoint) Stop(_ context.Context, s attendant.StopCall) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.stopsFail {
		return errNoResponse
	}
	e.highestNumbers[s.Task] = max(e.highestNumbers[s.Task], s.Number)
	e.finish(s.Task, messenger.RunStopped)
	return nil
}

func (e *endpoint) Pace(ctx context.Context, p attendant.PaceCall) error {
	e.mutex.Lock()
	if d := e.paceLatency; d > 0 {
		e.mutex.Unlock()
		time.Sleep(d)
		e.mutex.Lock()
	}
	if e.pacesToDelay > 0 {
		e.pacesToDelay--
		e.delayedPaces = append(e.delayedPaces, p)
		e.mutex.Unlock()
		<-ctx.Done()
		return ctx.Err()
	}
	defer e.mutex.Unlock()
	return e.executePace(p)
}

// executePace executes a pace call unless its fencing token forbids it. The caller holds the mutex.
func (e *endpoint) executePace(p attendant.PaceCall) error {
	if p.FencingToken < e.highestFencingToken {
		return attendant.ErrFenced
	}
	e.highestFencingToken = p.FencingToken
	e.paces[p.Task] = p.Percent
	return nil
}

// finish ends the run of the task, if there is one, and adds its result. The caller holds the mutex.
func (e *endpoint) finish(task, outcome string) {
	r, ok := e.runs[task]
	if !ok {
		return
	}
	delete(e.runs, task)
	e.results = append(e.results, messenger.RunResult{Sequence: e.nextSequence, Task: task, Number: r.Number, Outcome: outcome})
	e.nextSequence++
}

// executeDelayedStarts executes the delayed starts and returns the number of those that took effect.
func (e *endpoint) executeDelayedStarts() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	before := len(e.started)
	for _, s := range e.delayedStarts {
		_ = e.execute(s)
	}
	e.delayedStarts = nil
	return len(e.started) - before
}

// replace simulates the replacement of the endpoint process by a new one.
func (e *endpoint) replace() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.incarnation += 50
	e.highestFencingToken, e.nextSequence, e.runs, e.highestNumbers, e.results = 0, 1, map[string]messenger.Run{}, map[string]int{}, nil
}

// reporter is a fake of the connection to the entries. Only the entry at address, which is the owner, accepts reports. lastReport is the
// last of them.
type reporter struct {
	mutex   sync.Mutex
	address string
	epoch   uint64
	// failsReports makes the calls of SendReport fail at once.
	failsReports     bool
	recordedSequence int64
	lastReport       messenger.Report
	// reportCount counts the reports that the owner has received since a test has set it to 0.
	reportCount int
	// sentMS contains when the agent sent each received report, in milliseconds.
	sentMS []int64
	// reportInterval is the interval between reports that the owner asks for.
	reportInterval time.Duration
	// generation identifies the agent process that sent the last report, lastSession is its number.
	generation  string
	lastSession uint64
	// unresponsiveAddress is the address of an entry that never responds, refusingAddress that of one whose connections are refused. All other
	// entries know no owner.
	unresponsiveAddress string
	refusingAddress     string
	// evacuated is Evacuated of the responses.
	evacuated bool
	// reportsWithoutRuns counts the received reports without runs since a test has set it to 0.
	reportsWithoutRuns int
}

// reporterFunc is a fake of the connection to the entries that consists of one function.
type reporterFunc func(entry string, r messenger.Report) (messenger.ReportResponse, error)

func (f reporterFunc) SendReport(_ context.Context, entry string, r messenger.Report) (messenger.ReportResponse, error) {
	return f(entry, r)
}

func (o *reporter) SendReport(ctx context.Context, entry string, r messenger.Report) (messenger.ReportResponse, error) {
	o.mutex.Lock()
	if o.unresponsiveAddress == entry {
		o.mutex.Unlock()
		<-ctx.Done()
		return messenger.ReportResponse{}, ctx.Err()
	}
	defer o.mutex.Unlock()
	if o.failsReports {
		return messenger.ReportResponse{}, errNoResponse
	}
	switch entry {
	case o.address:
	case o.refusingAddress:
		return messenger.ReportResponse{}, syscall.ECONNREFUSED
	default:
		return messenger.ReportResponse{}, nil
	}
	o.lastReport = r
	if len(r.Runs) == 0 {
		o.reportsWithoutRuns++
	}
	o.reportCount++
	o.sentMS = append(o.sentMS, r.SentMS)
	return messenger.ReportResponse{
		Owner: o.address, Epoch: o.epoch, Session: o.session(r), Granted: true, Incarnation: r.Incarnation, RecordedSequence: o.recordedSequence,
		ReportInterval: o.reportInterval, Evacuated: o.evacuated,
	}, nil
}

// session returns the number of the agent process that has sent the report. The caller holds the mutex.
func (o *reporter) session(r messenger.Report) uint64 {
	if r.Generation != o.generation {
		o.generation = r.Generation
		o.lastSession++
	}
	return o.lastSession
}

func (o *reporter) report() messenger.Report {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.lastReport
}
