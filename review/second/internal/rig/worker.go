package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	heartbeatInterval = 1100 * time.Millisecond
	heartbeatTimeout  = time.Second
	// maxHold is the longest lease, stopTime the time that a stop takes.
	maxHold  = 6 * time.Second
	stopTime = 30 * time.Millisecond
	// maxListedEnds is the number of ends that a worker lists at a time.
	maxListedEnds = 500
	maxWait       = 2 * time.Second
	pollPause     = 4 * time.Millisecond
	// Lasting is the run time from which on a run counts as one of a task that lasts. It is at work at once.
	Lasting = time.Hour
)

type (
	// Worker is a stand-in for a worker on a side machine. Set the exported fields before Start. It is safe for concurrent use.
	Worker struct {
		ID, Service, Zone, Kind, Rack string
		// Address is where the worker accepts calls, AgentAddress where it sends its heartbeats.
		Address, AgentAddress string
		CPU, MemMb            int64
		// RunTime returns how long a run with the text of the job takes.
		RunTime func(spec string) time.Duration
		// FirstHeartbeat is the time from the beginning of a life to its first heartbeat.
		FirstHeartbeat time.Duration
		// Measure returns the figure of each run for the lists, by the names of the tasks. It may be nil.
		Measure func(runs []RunState) map[string]int
		Record  *Record

		mutex sync.Mutex
		life  *life
	}

	// life is one life of a worker: what it holds and knows is lost with it.
	life struct {
		worker   *Worker
		born     time.Time
		server   *http.Server
		cancel   context.CancelFunc
		token    uint64
		expiry   time.Time
		runs     map[string]*execution
		highest  map[string]int
		ends     []end
		lastEnd  int64
		sequence int64
		state    string
		over     bool
		silent   bool
		// lapsedAt is when the lease last lapsed.
		lapsedAt time.Time
	}

	// RunState is a run at a worker. Pace is the share at which it works, in percent.
	RunState struct {
		Task, Spec string
		Started    time.Time
		Pace       int
	}

	execution struct {
		spec     string
		number   int
		started  time.Time
		duration time.Duration
		pace     int
		stopAt   time.Time
	}

	end struct {
		number int64
		task   string
		run    int
		how    string
		at     time.Time
	}

	call struct {
		Task           string
		Run            int
		Spec           string
		DeadlineMs     int64
		FencingToken   uint64
		LastSeen       int64
		WaitMs         int64
		LastCheckpoint string
		Percent        int
	}
)

// Start begins a new life of the worker under its ID. It holds and knows nothing of an earlier one.
func (w *Worker) Start() error {
	listener, err := net.Listen("tcp", w.Address)
	if err != nil {
		return eris.Wrap(err, "rig: a worker cannot listen")
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{worker: w, born: time.Now(), cancel: cancel, runs: map[string]*execution{}, highest: map[string]int{}, state: "ready"}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", l.handle(l.start))
	mux.HandleFunc("POST /v1/run-stop", l.handle(l.stop))
	mux.HandleFunc("POST /v1/pace", l.handle(l.pace))
	mux.HandleFunc("POST /v1/hold", l.hold)
	l.server = &http.Server{Handler: l.checkInstance(mux), ReadHeaderTimeout: maxWait}
	w.mutex.Lock()
	w.life = l
	w.mutex.Unlock()
	w.Record.Printf("worker %s begins a life", w.ID)
	go func() { _ = l.server.Serve(listener) }()
	go l.sendHeartbeats(ctx)
	go l.endRuns(ctx)
	return nil
}

// Crash ends the life of the worker. Everything that runs ends with it.
func (w *Worker) Crash() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	l := w.life
	l.update()
	l.over = true
	l.cancel()
	_ = l.server.Close()
	for task, x := range l.runs {
		w.Record.end(w.ID, task, x.number, "crash", time.Now())
	}
	w.Record.Printf("worker %s ends", w.ID)
}

// Silence ends the life of the worker like Crash, but its address stays silent: connections are accepted, and no call on them is answered.
func (w *Worker) Silence() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	l := w.life
	l.update()
	l.over, l.silent = true, true
	l.cancel()
	for task, x := range l.runs {
		w.Record.end(w.ID, task, x.number, "crash", time.Now())
	}
	l.runs = map[string]*execution{}
	w.Record.Printf("worker %s ends and is silent", w.ID)
}

// Drain makes the heartbeats say that the worker leaves.
func (w *Worker) Drain() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.life.state = "draining"
	w.Record.Printf("worker %s drains", w.ID)
}

// Running returns the number of runs.
func (w *Worker) Running() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.life.update()
	return len(w.life.runs)
}

// States returns the runs.
func (w *Worker) States() []RunState {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.life.update()
	return w.life.states()
}

// states returns the runs. The caller holds the mutex.
func (l *life) states() []RunState {
	var states []RunState
	for task, x := range l.runs {
		states = append(states, RunState{task, x.spec, x.started, x.pace})
	}
	return states
}

// checkInstance refuses calls that are meant for another worker.
func (l *life) checkInstance(next http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		l.worker.mutex.Lock()
		silent := l.silent
		l.worker.mutex.Unlock()
		if silent {
			<-in.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if expected := in.Header.Get("Expect-Instance"); expected != "" && expected != l.worker.ID {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(out, in)
	})
}

// handle decodes a call and answers with the reason that f returns, which is empty after a success.
func (l *life) handle(f func(call) string) http.HandlerFunc {
	return func(out http.ResponseWriter, in *http.Request) {
		var c call
		if json.NewDecoder(in.Body).Decode(&c) != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		l.worker.mutex.Lock()
		defer l.worker.mutex.Unlock()
		if l.over {
			panic(http.ErrAbortHandler)
		}
		l.update()
		reason := "fence"
		if c.FencingToken >= l.token {
			l.token = c.FencingToken
			reason = f(c)
		}
		l.answer(out, reason)
	}
}

func (l *life) answer(out http.ResponseWriter, reason string) {
	body := map[string]any{"ClockMs": l.clock()}
	out.Header().Set("Content-Type", "application/json")
	if reason != "" {
		body["Reason"] = reason
		out.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(out).Encode(body)
}

func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() }

// start starts a run. The caller holds the mutex.
func (l *life) start(c call) string {
	x := l.runs[c.Task]
	switch {
	case c.DeadlineMs <= l.clock():
		return "late"
	case x != nil && x.number == c.Run:
		l.extend(c.DeadlineMs)
		return ""
	case x != nil || c.Run <= l.highest[c.Task]:
		l.extend(c.DeadlineMs)
		return "old"
	}
	l.extend(c.DeadlineMs)
	l.highest[c.Task] = c.Run
	l.runs[c.Task] = &execution{spec: c.Spec, number: c.Run, started: time.Now(), duration: l.worker.RunTime(c.Spec), pace: 100}
	l.worker.Record.start(l.worker.ID, c.Task, c.Run)
	return ""
}

// stop stops a run, which keeps a start of it that arrives later from being carried out. The caller holds the mutex.
func (l *life) stop(c call) string {
	l.highest[c.Task] = max(l.highest[c.Task], c.Run)
	if x := l.runs[c.Task]; x != nil && x.number == c.Run && x.stopAt.IsZero() {
		x.stopAt = time.Now().Add(stopTime)
	}
	return ""
}

// pace records the share at which a run works, which changes what it disturbs and not how long it takes. The caller holds the mutex.
func (l *life) pace(c call) string {
	if x := l.runs[c.Task]; x != nil && x.number == c.Run {
		x.pace = c.Percent
		l.worker.Record.Printf("worker %s: pace of %s run %d is %d", l.worker.ID, c.Task, c.Run, c.Percent)
	}
	return ""
}

// hold extends the lease, forgets ends and lists runs and ends.
func (l *life) hold(out http.ResponseWriter, in *http.Request) {
	var c call
	if json.NewDecoder(in.Body).Decode(&c) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w := l.worker
	deadline := time.Now().Add(min(time.Duration(c.WaitMs)*time.Millisecond, maxWait))
	for first := true; ; first = false {
		w.mutex.Lock()
		if l.over {
			w.mutex.Unlock()
			panic(http.ErrAbortHandler)
		}
		l.update()
		if c.FencingToken < l.token {
			l.answer(out, "fence")
			w.mutex.Unlock()
			return
		}
		l.token = c.FencingToken
		if first {
			l.extend(c.DeadlineMs)
		}
		// The ends up to LastSeen are those that the response leaves out, so the ones of now count.
		l.forget(c.LastSeen)
		if len(l.ends) > 0 || !time.Now().Before(deadline) || in.Context().Err() != nil {
			break
		}
		w.mutex.Unlock()
		time.Sleep(pollPause)
	}
	running, ended := [][]any{}, [][]any{}
	figures := map[string]int{}
	if w.Measure != nil {
		figures = w.Measure(l.states())
	}
	for task, x := range l.runs {
		percent := min(100*time.Since(x.started)/max(x.duration, 1), 99)
		if x.duration >= Lasting {
			percent = 100
		}
		running = append(running, []any{task, x.number, "", percent, figures[task]})
	}
	for _, e := range l.ends[:min(len(l.ends), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	body := map[string]any{"ClockMs": l.clock(), "born": l.born.UnixMilli(), "Running": running, "Ended": ended}
	w.mutex.Unlock()
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(body)
}

// forget forgets the ends up to the number. The caller holds the mutex.
func (l *life) forget(number int64) {
	for len(l.ends) > 0 && l.ends[0].number <= number {
		e := l.ends[0]
		l.ends = l.ends[1:]
		l.worker.Record.noted(l.worker.ID, e, !l.lapsedAt.After(e.at))
	}
}

// extend extends the lease up to the time on the clock of the worker. The caller holds the mutex.
func (l *life) extend(deadlineMs int64) {
	expiry := l.born.Add(time.Duration(deadlineMs) * time.Millisecond)
	if latest := time.Now().Add(maxHold); expiry.After(latest) {
		expiry = latest
	}
	if expiry.After(l.expiry) {
		l.expiry = expiry
	}
}

// update ends the runs whose time has come. The caller holds the mutex.
func (l *life) update() {
	now := time.Now()
	lapsed := !l.expiry.IsZero() && now.After(l.expiry)
	if lapsed && l.lapsedAt.Before(l.expiry) {
		l.lapsedAt = l.expiry
	}
	for task, x := range l.runs {
		done := x.started.Add(x.duration)
		switch {
		case !x.stopAt.IsZero() && !now.Before(x.stopAt) && done.After(x.stopAt):
			l.finish(task, x, "stopped", x.stopAt)
		case lapsed && done.After(l.expiry):
			l.finish(task, x, "lapsed", l.expiry)
		case !now.Before(done):
			l.finish(task, x, "done", done)
		}
	}
}

// finish ends a run. The caller holds the mutex.
func (l *life) finish(task string, x *execution, how string, at time.Time) {
	delete(l.runs, task)
	l.lastEnd++
	l.ends = append(l.ends, end{l.lastEnd, task, x.number, how, at})
	l.worker.Record.end(l.worker.ID, task, x.number, how, at)
}

// endRuns ends runs in time until ctx is done.
func (l *life) endRuns(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(pollPause)
		l.worker.mutex.Lock()
		if !l.over {
			l.update()
		}
		l.worker.mutex.Unlock()
	}
}

// sendHeartbeats sends heartbeats until ctx is done.
func (l *life) sendHeartbeats(ctx context.Context) {
	client := &http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	select {
	case <-ctx.Done():
	case <-time.After(l.worker.FirstHeartbeat):
	}
	for ctx.Err() == nil {
		l.sendHeartbeat(ctx, client)
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

func (l *life) sendHeartbeat(ctx context.Context, client *http.Client) {
	w := l.worker
	w.mutex.Lock()
	l.sequence++
	body := map[string]any{
		"Service": w.Service, "Address": w.Address, "Zone": w.Zone, "Version": "v1", "Slots": 8, "State": l.state, "ColdRemainingMs": 0,
		"Capacity": map[string]int64{"Cpu": w.CPU, "MemMb": w.MemMb, "Gpu": 0}, "Labels": []string{w.Kind, w.Rack}, "ClockMs": l.clock(),
		"Sequence": l.sequence, "born": l.born.UnixMilli(),
	}
	if l.state == "draining" {
		body["RemainingMs"] = 1000
	}
	state := l.state
	w.mutex.Unlock()
	status, err := w.post(ctx, client, "/v1/instances/"+w.ID+"/heartbeat", body)
	if state == "draining" || err != nil && !errors.Is(err, context.Canceled) {
		w.Record.Printf("worker %s: heartbeat (%s) is answered with %d %v", w.ID, state, status, err)
	}
}

// post sends a JSON body to the agent.
func (w *Worker) post(ctx context.Context, client *http.Client, path string, body any) (int, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, eris.Wrap(err, "rig: cannot encode a message")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.AgentAddress+path, bytes.NewReader(encoded))
	if err != nil {
		return 0, eris.Wrap(err, "rig: cannot make a request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, eris.Wrap(err, "rig: no answer")
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, nil
}

// Milliseconds returns the duration in milliseconds that the text of a job names.
func Milliseconds(spec string) time.Duration {
	n, err := strconv.Atoi(spec)
	if err != nil {
		return time.Second
	}
	return time.Duration(n) * time.Millisecond
}

// String describes the end in the record.
func (e end) String() string {
	return fmt.Sprintf("end %d of %s run %d (%s)", e.number, e.task, e.run, e.how)
}

// sortedNames returns the names in the map in alphabetical order.
func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
