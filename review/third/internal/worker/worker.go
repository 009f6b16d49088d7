// Package worker is a stand-in of the platform's workers: it runs simulated tasks under leases and fencing tokens, and sends heartbeats to its agent.
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1100 * time.Millisecond
	heartbeatTimeout  = time.Second
	// leaveTimeout is how long a worker that leaves waits for the acknowledgement.
	leaveTimeout = 2 * time.Second
	tickInterval = 5 * time.Millisecond
	// maxHold is MaxHoldMs, stopTime a part of StopTimeoutMs, gangTimeout GangTimeoutMs and startup the startup of a task that lasts.
	maxHold     = 6 * time.Second
	stopTime    = 20 * time.Millisecond
	gangTimeout = 3 * time.Second
	startup     = 400 * time.Millisecond
	maxEnded    = 500
)

type (
	// Plan is what the Spec of a job contains: how the tasks of each step behave.
	Plan struct {
		Steps []Step
	}

	// Step is how the tasks of one step behave. A task takes Ms, or lasts. If Fails is set, its runs end as failed after Ms. If FirstFailsMs is not 0, the
	// first run of the first task ends as failed after that time. Gang is the number of tasks that work only together.
	Step struct {
		Ms           int
		Fails        bool
		Lasts        bool
		Gang         int
		FirstFailsMs int
	}

	// Event is the start or the end of a run.
	Event struct {
		At     time.Time
		Worker string
		Task   string
		Run    int
		Kind   string
	}

	// Gangs holds the members of all gangs that are present. All workers share it.
	Gangs struct {
		mutex   sync.Mutex
		present map[string]map[string]bool
		working map[string]time.Time
		ended   map[string]string
	}

	// Worker is one worker. Set the exported fields before Run.
	Worker struct {
		ID, Service, Zone, Kind, Rack, Address, AgentAddress string
		CPU, MemMb                                           int64
		Gangs                                                *Gangs
		OnEvent                                              func(Event)

		mutex    sync.Mutex
		born     time.Time
		token    uint64
		lease    time.Time
		runs     map[string]*run
		highest  map[string]int
		ended    [][]any
		next     int64
		sequence int64
		changed  chan struct{}
		// state is "ready" or "draining". ended reports that this life has ended.
		state string
		gone  bool
	}

	run struct {
		task    string
		number  int
		step    Step
		gang    string
		started time.Time
	}

	call struct {
		Task, Spec, LastCheckpoint string
		Run, Percent               int
		DeadlineMs, LastSeen       int64
		WaitMs                     int64
		FencingToken               uint64
	}
)

// NewGangs returns an empty registry.
func NewGangs() *Gangs {
	return &Gangs{present: map[string]map[string]bool{}, working: map[string]time.Time{}, ended: map[string]string{}}
}

// Run sends heartbeats and ends runs until ctx is done.
func (w *Worker) Run(ctx context.Context) {
	w.mutex.Lock()
	w.changed = make(chan struct{})
	w.begin()
	w.mutex.Unlock()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var beatAt time.Time
	for {
		if time.Since(beatAt) >= heartbeatInterval {
			beatAt = time.Now()
			go w.beat(ctx)
		}
		w.mutex.Lock()
		w.finish()
		w.mutex.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// begin begins a life of the worker, which holds and knows nothing of before. The caller holds the mutex.
func (w *Worker) begin() {
	w.born, w.runs, w.highest, w.ended, w.next, w.sequence = time.Now(), map[string]*run{}, map[string]int{}, nil, 1, 0
	w.token, w.lease, w.state, w.gone = 0, time.Time{}, "ready", false
}

// Drain makes the worker report that it drains.
func (w *Worker) Drain(ctx context.Context) {
	w.mutex.Lock()
	w.state = "draining"
	w.mutex.Unlock()
	w.beat(ctx)
}

// Leave sends the deregistration, waits for the answer for leaveTimeout, and ends this life.
func (w *Worker) Leave(ctx context.Context) {
	w.post(ctx, leaveTimeout, "deregister", []byte("{}"))
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.gone = true
	for _, r := range w.runs {
		w.event(r, "gone")
	}
	w.runs = map[string]*run{}
}

// Return begins another life under the same ID.
func (w *Worker) Return(ctx context.Context) {
	w.mutex.Lock()
	w.begin()
	w.mutex.Unlock()
	go w.beat(ctx)
}

// Handler returns the worker's API.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.serve(w.start))
	mux.HandleFunc("POST /v1/run-stop", w.serve(w.stop))
	mux.HandleFunc("POST /v1/pace", w.serve(w.pace))
	mux.HandleFunc("POST /v1/hold", w.serve(w.hold))
	return mux
}

func (w *Worker) beat(ctx context.Context) {
	w.mutex.Lock()
	if w.gone {
		w.mutex.Unlock()
		return
	}
	w.sequence++
	body, _ := json.Marshal(map[string]any{
		"Service": w.Service, "Address": w.Address, "Zone": w.Zone, "Version": "v1", "Slots": 8, "State": w.state, "RemainingMs": 2000, "ColdRemainingMs": 0,
		"Capacity": map[string]int64{"Cpu": w.CPU, "MemMb": w.MemMb, "Gpu": 0}, "Labels": []string{w.Kind, w.Rack}, "ClockMs": w.clock(),
		"Sequence": w.sequence, "born": w.born.UnixMilli(),
	})
	w.mutex.Unlock()
	w.post(ctx, heartbeatTimeout, "heartbeat", body)
}

// post sends a message to the agent over a connection of its own.
func (w *Worker) post(ctx context.Context, timeout time.Duration, what string, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.AgentAddress+"/v1/instances/"+w.ID+"/"+what, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

func (w *Worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// serve decodes a call and checks for which life of the worker it is meant.
func (w *Worker) serve(handle func(ctx context.Context, c call) (status int, body map[string]any)) http.HandlerFunc {
	return func(response http.ResponseWriter, request *http.Request) {
		w.mutex.Lock()
		gone := w.gone
		w.mutex.Unlock()
		if gone {
			panic(http.ErrAbortHandler)
		}
		if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != w.ID {
			response.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var c call
		if err := json.NewDecoder(request.Body).Decode(&c); err != nil {
			response.WriteHeader(http.StatusBadRequest)
			return
		}
		status, body := handle(request.Context(), c)
		response.Header().Set("Content-Type", "application/json")
		response.WriteHeader(status)
		_ = json.NewEncoder(response).Encode(body)
	}
}

// refuse returns a response with the reason. The caller holds the mutex.
func (w *Worker) refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"ClockMs": w.clock(), "Reason": reason}
}

// accept returns a response without a reason. The caller holds the mutex.
func (w *Worker) accept() (int, map[string]any) {
	return http.StatusOK, map[string]any{"ClockMs": w.clock()}
}

// extend moves the end of all leases. The caller holds the mutex.
func (w *Worker) extend(deadlineMs int64) {
	if deadlineMs == 0 {
		return
	}
	until := w.born.Add(time.Duration(deadlineMs) * time.Millisecond)
	if latest := time.Now().Add(maxHold); until.After(latest) {
		until = latest
	}
	if until.After(w.lease) {
		w.lease = until
	}
}

func (w *Worker) start(_ context.Context, c call) (int, map[string]any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.finish()
	if c.FencingToken < w.token {
		return w.refuse("fence")
	}
	w.token = c.FencingToken
	if r := w.runs[c.Task]; r != nil && r.number == c.Run {
		w.extend(c.DeadlineMs)
		return w.accept()
	}
	if c.DeadlineMs <= w.clock() {
		return w.refuse("late")
	}
	w.extend(c.DeadlineMs)
	if w.runs[c.Task] != nil || c.Run <= w.highest[c.Task] {
		return w.refuse("old")
	}
	var plan Plan
	var stepNumber int
	parts := strings.Split(c.Task, ".")
	if len(parts) != 4 || json.Unmarshal([]byte(c.Spec), &plan) != nil {
		return http.StatusBadRequest, map[string]any{"ClockMs": w.clock()}
	}
	if _, err := fmt.Sscan(parts[2], &stepNumber); err != nil || stepNumber >= len(plan.Steps) {
		return http.StatusBadRequest, map[string]any{"ClockMs": w.clock()}
	}
	r := &run{task: c.Task, number: c.Run, step: plan.Steps[stepNumber], started: time.Now()}
	if r.step.Gang > 0 {
		r.gang = fmt.Sprintf("%s.%s.%s#%d", parts[0], parts[1], parts[2], c.Run)
		w.Gangs.enter(r.gang, c.Task, r.step.Gang)
	}
	w.runs[c.Task], w.highest[c.Task] = r, c.Run
	w.event(r, "start")
	return w.accept()
}

func (w *Worker) stop(_ context.Context, c call) (int, map[string]any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.finish()
	if c.FencingToken < w.token {
		return w.refuse("fence")
	}
	w.token = c.FencingToken
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	if r := w.runs[c.Task]; r != nil && r.number <= c.Run {
		time.AfterFunc(stopTime, func() {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			w.end(r, "stopped")
		})
	}
	return w.accept()
}

func (w *Worker) pace(_ context.Context, c call) (int, map[string]any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if c.FencingToken < w.token {
		return w.refuse("fence")
	}
	w.token = c.FencingToken
	return w.accept()
}

func (w *Worker) hold(ctx context.Context, c call) (int, map[string]any) {
	until := time.Now().Add(time.Duration(c.WaitMs) * time.Millisecond)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if c.FencingToken < w.token {
		return w.refuse("fence")
	}
	w.token = c.FencingToken
	w.finish()
	w.extend(c.DeadlineMs)
	w.ended = slices.DeleteFunc(w.ended, func(row []any) bool { return row[0].(int64) <= c.LastSeen })
	for len(w.ended) == 0 && time.Now().Before(until) && ctx.Err() == nil {
		changed := w.changed
		w.mutex.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-ctx.Done():
		}
		w.mutex.Lock()
	}
	running := [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.number, "", r.percent(w.Gangs), 1})
	}
	return http.StatusOK, map[string]any{
		"ClockMs": w.clock(), "born": w.born.UnixMilli(), "Running": running, "Ended": slices.Clone(w.ended[:min(len(w.ended), maxEnded)]),
	}
}

// failsFirst reports whether the run fails after FirstFailsMs.
func (r *run) failsFirst() bool {
	return r.step.FirstFailsMs > 0 && r.number == 1 && strings.HasSuffix(r.task, ".0")
}

// percent returns how far the run is.
func (r *run) percent(g *Gangs) int {
	total := time.Duration(r.step.Ms) * time.Millisecond
	from := r.started
	if r.gang != "" {
		if from = g.workingSince(r.gang); from.IsZero() {
			return 0
		}
	}
	if r.step.Lasts && !r.step.Fails {
		return int(min(100, 100*time.Since(from)/startup))
	}
	return int(min(99, 100*time.Since(from)/max(total, 1)))
}

// finish ends the runs whose time has come. The caller holds the mutex.
func (w *Worker) finish() {
	now := time.Now()
	for _, r := range w.runs {
		total := time.Duration(r.step.Ms) * time.Millisecond
		switch {
		case now.After(w.lease):
			w.end(r, "lapsed")
		case r.gang != "":
			if how := w.Gangs.outcome(r.gang, total); how != "" {
				w.end(r, how)
			} else if w.Gangs.workingSince(r.gang).IsZero() && now.Sub(r.started) > gangTimeout {
				w.end(r, "alone")
			}
		case now.Sub(r.started) < total:
		case r.step.Fails, r.failsFirst() && now.Sub(r.started) >= time.Duration(r.step.FirstFailsMs)*time.Millisecond:
			w.end(r, "failed")
		case !r.step.Lasts:
			w.end(r, "done")
		}
	}
}

// end ends a run. The caller holds the mutex.
func (w *Worker) end(r *run, how string) {
	if w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	if r.gang != "" {
		w.Gangs.leave(r.gang, how)
	}
	w.ended = append(w.ended, []any{w.next, r.task, r.number, how, ""})
	w.next++
	w.event(r, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) event(r *run, kind string) {
	w.OnEvent(Event{time.Now(), w.ID, r.task, r.number, kind})
}

// enter adds a member of a gang of the given size.
func (g *Gangs) enter(gang, task string, size int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.present[gang] == nil {
		g.present[gang] = map[string]bool{}
	}
	g.present[gang][task] = true
	if len(g.present[gang]) == size && g.ended[gang] == "" {
		g.working[gang] = time.Now()
	}
}

func (g *Gangs) workingSince(gang string) time.Time {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.working[gang]
}

// outcome returns how the members end now, or "".
func (g *Gangs) outcome(gang string, total time.Duration) string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if how := g.ended[gang]; how != "" {
		return how
	}
	if since := g.working[gang]; !since.IsZero() && time.Since(since) >= total {
		g.ended[gang] = "done"
	}
	return g.ended[gang]
}

// leave records that a member has ended. The others break, unless the gang is done.
func (g *Gangs) leave(gang, how string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.ended[gang] == "" && how != "done" {
		g.ended[gang] = "broken"
	}
}
