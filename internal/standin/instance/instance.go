// Package instance is a fake of an endpoint on a VM that runs tasks under the platform's API. It runs simulated tasks under leases and sends heartbeats to
// its agent.
package instance

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

const (
	heartbeatInterval = 300 * time.Millisecond
	heartbeatTimeout  = time.Second
	maxLease          = 6 * time.Second
	stopDelay         = 30 * time.Millisecond
	pollInterval      = 5 * time.Millisecond
	// measurement is reported for each active run in the response to a hold call, where a real endpoint reports a tail latency or
	// the milli-processors in use.
	measurement = 5
	hangTimeout = 30 * time.Second
)

type (
	// Instance is one endpoint. Set the exported fields before Run. It is safe for concurrent use.
	Instance struct {
		ID      string
		Service string
		Zone    string
		Rack    string
		// Address is announced in the heartbeats as the address of Handler. AgentAddress receives the heartbeats; if it is
		// empty, no heartbeats are sent.
		Address      string
		AgentAddress string
		// MilliProcessors and MemoryMB are the announced capacity.
		MilliProcessors, MemoryMB int64
		// RunTime returns the run time of a task. If RunTime is nil, the payload of the task is its run time in milliseconds.
		RunTime func(task string) time.Duration
		// ShouldFail reports whether a run fails. If ShouldFail is nil, no run fails.
		ShouldFail func(task string, run int) bool
		// OnEvent is called at the start and the end of each run. It may be nil.
		OnEvent func(e Event)

		mutex        sync.Mutex
		startTime    time.Time
		fencingToken uint64
		leaseExpiry  time.Time
		runs         map[string]*run
		highestRuns  map[string]int
		// results are the ends of runs that the agent has not acknowledged: sequence number, task, run number, outcome and "".
		results           [][]any
		nextSequence      int64
		heartbeatSequence int64
		draining          bool
		killed            bool
		// lapsedSequence is the sequence number of the last result that was already there when the lease expired.
		lapsedSequence int64
		// delayedStartShare is the share of starts, from 0 to 1, that get no response and are executed later.
		delayedStartShare float64
	}

	// Event is the start or the end of a run at an instance.
	Event struct {
		// Time is the time at which the run started or ended. The event may be emitted a little later.
		Time     time.Time
		Instance string
		Task     string
		Run      int
		// Kind is "start" for a start, and "done", "failed", "stopped", "lapsed" (lease expired) or "crash" for an end. It is "result-lost" if
		// the instance was restarted before an agent allowed it to discard the result of a run that had ended. It is "noted" when an agent allows
		// the instance to discard a result and the lease has not expired since the run ended.
		Kind string
	}

	run struct {
		number    int
		startTime time.Time
		runTime   time.Duration
		// pacePercent is recorded from pace calls but does not change the run time.
		pacePercent int
	}

	// callRequest is the body of start, stop, pace and hold calls. Each call uses only some of the fields.
	callRequest struct {
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

// Run sends heartbeats until ctx is done. The caller must serve Handler at Address.
func (i *Instance) Run(ctx context.Context) error {
	i.Restart()
	go i.endRunsUntil(ctx)
	client := &http.Client{Timeout: heartbeatTimeout}
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		i.sendHeartbeat(ctx, client)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// endRunsUntil ends runs at their time until ctx is done. Without it, the runs of an instance that gets no calls would outlast
// their lease.
func (i *Instance) endRunsUntil(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		<-ticker.C
		i.RunCount()
	}
}

// Restart simulates a restart of the process: all runs end and all state is lost.
func (i *Instance) Restart() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for task, r := range i.runs {
		i.emitEvent(task, r.number, "crash")
	}
	for _, result := range i.results {
		i.emitEvent(result[1].(string), result[2].(int), "result-lost")
	}
	i.leaseExpiry, i.lapsedSequence = time.Time{}, 0
	i.startTime, i.fencingToken, i.nextSequence, i.heartbeatSequence = time.Now(), 0, 1, 0
	i.runs, i.highestRuns, i.results = map[string]*run{}, map[string]int{}, nil
	i.draining, i.killed = false, false
}

// Kill simulates a crash of the process: all runs end, and until Restart no call gets a response and no heartbeat is sent.
func (i *Instance) Kill() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for task, r := range i.runs {
		i.emitEvent(task, r.number, "crash")
	}
	i.killed, i.runs = true, map[string]*run{}
}

// AnnounceDraining makes the heartbeats announce that the instance is draining. It has no other effect.
func (i *Instance) AnnounceDraining() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.draining = true
}

// DelayStarts sets the share of starts, from 0 to 1, that get no response and are executed 1 to 4 seconds later.
func (i *Instance) DelayStarts(share float64) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.delayedStartShare = share
}

// RunCount returns the number of active runs.
func (i *Instance) RunCount() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.endFinishedRuns()
	return len(i.runs)
}

// Handler returns the HTTP API of the instance.
func (i *Instance) Handler() http.Handler {
	e := echo.New()
	e.Use(func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			i.mutex.Lock()
			killed := i.killed
			i.mutex.Unlock()
			if killed {
				return hang(c)
			}
			if expected := c.Request().Header.Get("Expect-Instance"); expected != "" && expected != i.ID {
				return c.NoContent(http.StatusMisdirectedRequest)
			}
			return next(c)
		}
	})
	e.POST("/v1/run-start", i.handleStart)
	e.POST("/v1/run-stop", i.handleStop)
	e.POST("/v1/pace", i.handlePace)
	e.POST("/v1/hold", i.handleHold)
	return e
}

// hang blocks until the caller closes the connection or hangTimeout has passed, and then aborts the response.
func hang(c echo.Context) error {
	select {
	case <-c.Request().Context().Done():
	case <-time.After(hangTimeout):
	}
	panic(http.ErrAbortHandler)
}

func (i *Instance) sendHeartbeat(ctx context.Context, client *http.Client) {
	i.mutex.Lock()
	if i.killed || i.AgentAddress == "" {
		i.mutex.Unlock()
		return
	}
	i.heartbeatSequence++
	state := "ready"
	if i.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"Service": i.Service, "Address": i.Address, "Zone": i.Zone, "Version": "v1", "Slots": 8, "State": state, "Sequence": i.heartbeatSequence,
		"Capacity": map[string]int64{"Cpu": i.MilliProcessors, "MemMb": i.MemoryMB}, "Labels": []string{"a", i.Rack}, "born": i.startTime.UnixMilli(),
		"RemainingMs": 2000,
	})
	i.mutex.Unlock()
	if err != nil {
		panic("instance: cannot encode a heartbeat: " + err.Error())
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.AgentAddress+"/v1/instances/"+i.ID+"/heartbeat", bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	// A failed heartbeat needs no retry, because the next one follows after heartbeatInterval.
	if response, err := client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

func (i *Instance) handleStart(c echo.Context) error {
	var q callRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&q); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	i.mutex.Lock()
	delayed, startTime := rand.Float64() < i.delayedStartShare, i.startTime
	i.mutex.Unlock()
	if delayed {
		time.AfterFunc(time.Second+rand.N(3*time.Second), func() { i.startRun(q, startTime) })
		return hang(c)
	}
	return i.respond(c, i.startRun(q, startTime))
}

// startRun starts a run. It returns the reason if the start is refused, and "" otherwise. A start that the process received before it
// was killed or restarted, at startTime, has no effect.
func (i *Instance) startRun(q callRequest, startTime time.Time) string {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.killed || !startTime.Equal(i.startTime) {
		return "late"
	}
	i.endFinishedRuns()
	if q.FencingToken < i.fencingToken {
		return "fence"
	}
	i.fencingToken = q.FencingToken
	i.extendLeases(q.DeadlineMs)
	if r, ok := i.runs[q.Task]; ok && r.number == q.Run {
		return ""
	}
	switch {
	case q.DeadlineMs <= i.clockMillis():
		return "late"
	case i.runs[q.Task] != nil || q.Run <= i.highestRuns[q.Task]:
		return "old"
	}
	i.highestRuns[q.Task] = q.Run
	i.runs[q.Task] = &run{number: q.Run, startTime: time.Now(), runTime: i.runTime(q), pacePercent: 100}
	i.emitEvent(q.Task, q.Run, "start")
	return ""
}

func (i *Instance) runTime(q callRequest) time.Duration {
	if i.RunTime != nil {
		return i.RunTime(q.Task)
	}
	milliseconds, err := strconv.Atoi(strings.TrimSpace(q.Spec))
	if err != nil {
		// A payload that is not a number stands for a short task.
		milliseconds = 50
	}
	return time.Duration(milliseconds) * time.Millisecond
}

func (i *Instance) handleStop(c echo.Context) error {
	var q callRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&q); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	time.Sleep(stopDelay)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.endFinishedRuns()
	if q.FencingToken < i.fencingToken {
		return i.respond(c, "fence")
	}
	i.fencingToken = q.FencingToken
	i.highestRuns[q.Task] = max(i.highestRuns[q.Task], q.Run)
	if r, ok := i.runs[q.Task]; ok && r.number <= q.Run {
		i.endRun(q.Task, r, "stopped", time.Now())
	}
	return i.respond(c, "")
}

func (i *Instance) handlePace(c echo.Context) error {
	var q callRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&q); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if r, ok := i.runs[q.Task]; ok && r.number == q.Run {
		r.pacePercent = q.Percent
	}
	return i.respond(c, "")
}

// handleHold handles a hold call, a long poll of the agent. It extends the leases, removes the results up to LastSeen, and responds
// when there are other results or WaitMs has passed.
func (i *Instance) handleHold(c echo.Context) error {
	var q callRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&q); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	deadline := time.Now().Add(time.Duration(q.WaitMs) * time.Millisecond)
	for {
		i.mutex.Lock()
		if q.FencingToken < i.fencingToken {
			defer i.mutex.Unlock()
			return i.respond(c, "fence")
		}
		i.fencingToken = q.FencingToken
		i.endFinishedRuns()
		i.extendLeases(q.DeadlineMs)
		i.discardResults(q.LastSeen)
		if len(i.results) > 0 || !time.Now().Before(deadline) || c.Request().Context().Err() != nil {
			break
		}
		i.mutex.Unlock()
		time.Sleep(pollInterval)
	}
	defer i.mutex.Unlock()
	rows := [][]any{}
	for task, r := range i.runs {
		donePercent := min(int(100*time.Since(r.startTime)/max(r.runTime, 1)), 99)
		rows = append(rows, []any{task, r.number, "", donePercent, measurement})
	}
	return c.JSON(http.StatusOK, map[string]any{"ClockMs": i.clockMillis(), "born": i.startTime.UnixMilli(), "Running": rows, "Ended": i.results})
}

// discardResults discards the results up to the sequence number lastSeen. The caller holds the mutex.
func (i *Instance) discardResults(lastSeen int64) {
	for len(i.results) > 0 && i.results[0][0].(int64) <= lastSeen {
		result := i.results[0]
		i.results = i.results[1:]
		if result[0].(int64) > i.lapsedSequence {
			i.emitEvent(result[1].(string), result[2].(int), "noted")
		}
	}
}

// respond responds with status 200 if reason is empty, and otherwise with status 409 and the reason for the refusal.
func (i *Instance) respond(c echo.Context, reason string) error {
	status := http.StatusOK
	if reason != "" {
		status = http.StatusConflict
	}
	return c.JSON(status, map[string]any{"ClockMs": i.clockMillis(), "Reason": reason})
}

// endFinishedRuns ends the runs that are done and those whose lease has expired. The caller holds the mutex.
func (i *Instance) endFinishedRuns() {
	now := time.Now()
	for task, r := range i.runs {
		finish := r.startTime.Add(r.runTime)
		switch {
		case now.After(i.leaseExpiry) && finish.After(i.leaseExpiry):
			i.endRun(task, r, "lapsed", i.leaseExpiry)
		case finish.After(now):
		case i.ShouldFail != nil && i.ShouldFail(task, r.number):
			i.endRun(task, r, "failed", finish)
		default:
			i.endRun(task, r, "done", finish)
		}
	}
}

func (i *Instance) endRun(task string, r *run, outcome string, endTime time.Time) {
	delete(i.runs, task)
	i.results = append(i.results, []any{i.nextSequence, task, r.number, outcome, ""})
	i.nextSequence++
	i.emitEventAt(endTime, task, r.number, outcome)
}

// extendLeases moves the expiry of all leases to the deadline, which is in milliseconds on the instance's clock, but at most to maxLease from now.
// It never shortens a lease. The caller holds the mutex.
func (i *Instance) extendLeases(deadlineMillis int64) {
	if time.Now().After(i.leaseExpiry) {
		i.lapsedSequence = i.nextSequence - 1
	}
	expiry := i.startTime.Add(time.Duration(deadlineMillis) * time.Millisecond)
	if latest := time.Now().Add(maxLease); expiry.After(latest) {
		expiry = latest
	}
	if expiry.After(i.leaseExpiry) {
		i.leaseExpiry = expiry
	}
}

func (i *Instance) clockMillis() int64 { return time.Since(i.startTime).Milliseconds() }

func (i *Instance) emitEvent(task string, number int, kind string) {
	i.emitEventAt(time.Now(), task, number, kind)
}

func (i *Instance) emitEventAt(t time.Time, task string, number int, kind string) {
	if i.OnEvent != nil {
		i.OnEvent(Event{t, i.ID, task, number, kind})
	}
}

// String describes the event for the failure messages of tests.
func (e Event) String() string {
	return fmt.Sprintf("%s %s run %d at %s", e.Kind, e.Task, e.Run, e.Instance)
}
