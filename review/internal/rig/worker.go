package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Times of a worker, as in the platform's example of a settings file.
const (
	heartbeatInterval  = 1100 * time.Millisecond
	heartbeatTimeout   = time.Second
	maxLease           = 6 * time.Second
	maxListWait        = 2 * time.Second
	checkpointInterval = 500 * time.Millisecond
	restoreTime        = 250 * time.Millisecond
	startupTime        = 300 * time.Millisecond
	stopTime           = 30 * time.Millisecond
	endInterval        = 5 * time.Millisecond
	maxListedEnds      = 500
	fullPercent        = 100
	// measurement is the last entry of each row of Running. For tasks that serve it is a latency in milliseconds.
	measurement = 2
)

type (
	// Spec says what a task does. A job's Spec is its JSON encoding.
	Spec struct {
		// Ms is the work of a task in milliseconds. Saves says that the task saves checkpoints, Lasts that it works until it is stopped.
		Ms    int64
		Saves bool `json:",omitempty"`
		Lasts bool `json:",omitempty"`
	}

	// Worker is a fake of a worker on a machine. Set the exported fields before Run.
	Worker struct {
		ID, Service, Zone, Rack string
		// Address is where Handler is served, HeartbeatAddress where the heartbeats go.
		Address, HeartbeatAddress string
		MilliCores, MemoryMB      int64
		// OnEvent is called at the start of each run, with the kind "start", and at its end, with the kind that the list of ends has.
		OnEvent func(worker, kind, task string, number int)

		mutex      sync.Mutex
		born       time.Time
		fence      uint64
		lease      time.Time
		runs       map[string]*taskRun
		highest    map[string]int
		ends       []end
		nextEnd    int64
		ended      chan struct{}
		heartbeats int64
	}

	taskRun struct {
		number int
		spec   Spec
		// since is when the run began to work. resumed is the work that it had done before, from a checkpoint.
		since   time.Time
		resumed time.Duration
		task    string
	}

	end struct {
		sequence int64
		task     string
		run      int
		how      string
		saved    string
	}

	workerCall struct {
		Task           string
		Run            int
		Spec           string
		DeadlineMs     int64
		FencingToken   uint64
		LastCheckpoint string
		LastSeen       int64
		WaitMs         int64
	}

	workerResponse struct {
		ClockMs int64
		Reason  string `json:",omitempty"`
		Born    int64  `json:"born"`
	}
)

// Encode returns the Spec of a job.
func (s Spec) Encode() string {
	encoded, err := json.Marshal(s)
	if err != nil {
		panic("rig: cannot encode a spec: " + err.Error())
	}
	return string(encoded)
}

// Run sends heartbeats and ends runs until ctx is done.
func (w *Worker) Run(ctx context.Context) {
	w.mutex.Lock()
	w.born, w.nextEnd, w.ended = time.Now(), 1, make(chan struct{})
	w.runs, w.highest = map[string]*taskRun{}, map[string]int{}
	w.mutex.Unlock()
	go w.sendHeartbeats(ctx)
	ticker := time.NewTicker(endInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		w.mutex.Lock()
		w.endRuns()
		w.mutex.Unlock()
	}
}

// EndRun ends the run of a task that lasts, as its program would by itself. It returns false if there is none.
func (w *Worker) EndRun(task, how string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	r, ok := w.runs[task]
	if ok {
		w.end(r, how)
	}
	return ok
}

// RunCount returns the number of runs.
func (w *Worker) RunCount() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.runs)
}

// Handler returns the HTTP interface of the worker.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.call(w.start))
	mux.HandleFunc("POST /v1/run-stop", w.call(w.stop))
	mux.HandleFunc("POST /v1/pace", w.call(func(workerCall) string { return "" }))
	mux.HandleFunc("POST /v1/hold", w.hold)
	return mux
}

func (w *Worker) sendHeartbeats(ctx context.Context) {
	client := &http.Client{Timeout: heartbeatTimeout}
	for ctx.Err() == nil {
		w.mutex.Lock()
		w.heartbeats++
		body, err := json.Marshal(map[string]any{
			"Service": w.Service, "Address": w.Address, "Zone": w.Zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
			"Capacity": map[string]int64{"Cpu": w.MilliCores, "MemMb": w.MemoryMB, "Gpu": 0}, "Labels": []string{"a", w.Rack},
			"ClockMs": w.clock(), "Sequence": w.heartbeats, "born": w.born.UnixMilli(),
		})
		w.mutex.Unlock()
		if err != nil {
			panic("rig: cannot encode a heartbeat: " + err.Error())
		}
		pause := heartbeatInterval
		response, err := client.Post("http://"+w.HeartbeatAddress+"/v1/instances/"+w.ID+"/heartbeat", "application/json", bytes.NewReader(body))
		if err != nil {
			// There is no other daemon to call, so the worker tries its own again soon.
			pause = startupTime
		} else {
			_ = response.Body.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// call returns a handler that checks the intended process and the fencing token before it executes f, which returns a reason for a refusal.
func (w *Worker) call(f func(workerCall) string) http.HandlerFunc {
	return func(response http.ResponseWriter, r *http.Request) {
		c, ok := w.decode(response, r)
		if !ok {
			return
		}
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.endRuns()
		reason := "fence"
		if c.FencingToken >= w.fence {
			w.fence = c.FencingToken
			reason = f(c)
		}
		status := http.StatusOK
		if reason != "" {
			status = http.StatusConflict
		}
		respond(response, status, workerResponse{w.clock(), reason, w.born.UnixMilli()})
	}
}

func (w *Worker) decode(response http.ResponseWriter, r *http.Request) (c workerCall, ok bool) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.ID {
		respond(response, http.StatusMisdirectedRequest, struct{}{})
		return c, false
	}
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		respond(response, http.StatusBadRequest, struct{}{})
		return c, false
	}
	return c, true
}

func (w *Worker) start(c workerCall) string {
	w.extendLease(c.DeadlineMs)
	running, ok := w.runs[c.Task]
	switch {
	case ok && running.number == c.Run:
		return ""
	case c.DeadlineMs <= w.clock():
		return "late"
	case ok || c.Run <= w.highest[c.Task]:
		return "old"
	}
	r := &taskRun{number: c.Run, task: c.Task, since: time.Now()}
	if json.Unmarshal([]byte(c.Spec), &r.spec) != nil {
		return "room"
	}
	if c.LastCheckpoint != "" {
		saved, _ := strconv.ParseInt(c.LastCheckpoint[:8], 16, 64)
		r.resumed, r.since = time.Duration(saved)*time.Millisecond, r.since.Add(restoreTime)
	}
	w.runs[c.Task], w.highest[c.Task] = r, c.Run
	w.OnEvent(w.ID, "start", c.Task, c.Run)
	return ""
}

func (w *Worker) stop(c workerCall) string {
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	if r, ok := w.runs[c.Task]; ok && r.number <= c.Run {
		time.AfterFunc(stopTime, func() {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			if w.runs[c.Task] == r {
				w.end(r, "stopped")
			}
		})
	}
	return ""
}

func (w *Worker) hold(response http.ResponseWriter, r *http.Request) {
	c, ok := w.decode(response, r)
	if !ok {
		return
	}
	deadline := time.After(min(time.Duration(c.WaitMs)*time.Millisecond, maxListWait))
	for waiting := true; ; {
		w.mutex.Lock()
		w.endRuns()
		if c.FencingToken < w.fence {
			w.mutex.Unlock()
			respond(response, http.StatusConflict, workerResponse{w.clock(), "fence", w.born.UnixMilli()})
			return
		}
		w.fence = c.FencingToken
		w.extendLease(c.DeadlineMs)
		for len(w.ends) > 0 && w.ends[0].sequence <= c.LastSeen {
			w.ends = w.ends[1:]
		}
		if len(w.ends) > 0 || !waiting {
			break
		}
		ended := w.ended
		w.mutex.Unlock()
		select {
		case <-ended:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	running, ends := [][]any{}, [][]any{}
	for _, run := range w.runs {
		running = append(running, []any{run.task, run.number, run.saved(), run.percent(), measurement})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		ends = append(ends, []any{e.sequence, e.task, e.run, e.how, e.saved})
	}
	list := map[string]any{"ClockMs": w.clock(), "born": w.born.UnixMilli(), "Running": running, "Ended": ends}
	w.mutex.Unlock()
	respond(response, http.StatusOK, list)
}

// endRuns ends the runs that are done, and all runs after the lease has expired. The caller holds the mutex.
func (w *Worker) endRuns() {
	lapsed := time.Now().After(w.lease)
	for _, r := range w.runs {
		switch {
		case !r.spec.Lasts && r.work() >= time.Duration(r.spec.Ms)*time.Millisecond:
			w.end(r, "done")
		case lapsed:
			w.end(r, "lapsed")
		}
	}
}

// end lists the end of a run. The caller holds the mutex.
func (w *Worker) end(r *taskRun, how string) {
	saved := r.saved()
	if how == "done" {
		saved = ""
	}
	delete(w.runs, r.task)
	w.ends = append(w.ends, end{w.nextEnd, r.task, r.number, how, saved})
	w.nextEnd++
	close(w.ended)
	w.ended = make(chan struct{})
	w.OnEvent(w.ID, how, r.task, r.number)
}

// extendLease moves the end of the lease to a time on the worker's clock, at most by maxLease. The caller holds the mutex.
func (w *Worker) extendLease(deadlineMs int64) {
	until := w.born.Add(time.Duration(deadlineMs) * time.Millisecond)
	if latest := time.Now().Add(maxLease); until.After(latest) {
		until = latest
	}
	if until.After(w.lease) {
		w.lease = until
	}
}

func (w *Worker) clock() int64 { return time.Since(w.born).Milliseconds() }

func (r *taskRun) work() time.Duration { return r.resumed + max(time.Since(r.since), 0) }

func (r *taskRun) percent() int {
	if r.spec.Lasts {
		return int(min(fullPercent, fullPercent*time.Since(r.since)/startupTime))
	}
	return int(min(fullPercent-1, fullPercent*r.work()/(time.Duration(max(r.spec.Ms, 1))*time.Millisecond)))
}

// saved returns the last checkpoint: the saved work in milliseconds, and digits that depend on the task.
func (r *taskRun) saved() string {
	work := r.work().Truncate(checkpointInterval).Milliseconds()
	if !r.spec.Saves || work == 0 {
		return ""
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.task))
	return fmt.Sprintf("%08x%08x", work, h.Sum32())
}
