// Package instance is a small fake of the platform's workers: it runs tasks under leases and reports itself by heartbeats.
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
	beatInterval = 300 * time.Millisecond
	beatTimeout  = time.Second
	maxLease     = 6 * time.Second
	stopTime     = 30 * time.Millisecond
	tick         = 5 * time.Millisecond
	// figure is what the last column of a running task shows.
	figure  = 5
	silence = 30 * time.Second
)

type (
	// Instance is one worker. Set the exported fields before Run. Concurrent use is safe.
	Instance struct {
		ID      string
		Service string
		Zone    string
		Rack    string
		// Address is where it takes calls; AgentAddress is where it sends heartbeats.
		Address      string
		AgentAddress string
		// MilliProcessors and MemoryMB are its capacity.
		MilliProcessors, MemoryMB int64
		// RunTime returns how long a task takes, ShouldFail whether a run fails; nil means a task's payload in milliseconds, and never.
		RunTime    func(task string) time.Duration
		ShouldFail func(task string, run int) bool
		// OnEvent is called at each start and end, and may be nil.
		OnEvent func(e Event)

		mutex    sync.Mutex
		born     time.Time
		token    uint64
		deadline time.Time
		runs     map[string]*running
		high     map[string]int
		ends     [][]any
		next     int64
		sequence int64
		draining bool
		dead     bool
		// lateShare of the starts get no answer and are carried out later.
		lateShare float64
	}

	// Event is a start or an end of a run at an instance.
	Event struct {
		Time     time.Time
		Instance string
		Task     string
		Run      int
		// Kind is "start" or the way the run ended.
		Kind string
	}

	running struct {
		run     int
		begun   time.Time
		length  time.Duration
		percent int
	}

	order struct {
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

// Run serves heartbeats until ctx ends. The caller serves Handler at Address.
func (i *Instance) Run(ctx context.Context) error {
	i.Restart()
	client := &http.Client{Timeout: beatTimeout}
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		i.beat(ctx, client)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Restart makes a new process of it, which knows nothing of the runs before.
func (i *Instance) Restart() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for name, r := range i.runs {
		i.observe(name, r.run, "crash")
	}
	i.born, i.token, i.next, i.sequence = time.Now(), 0, 1, 0
	i.runs, i.high, i.ends = map[string]*running{}, map[string]int{}, nil
	i.draining, i.dead = false, false
}

// Kill makes it refuse all calls and send no heartbeats until Restart.
func (i *Instance) Kill() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for name, r := range i.runs {
		i.observe(name, r.run, "crash")
	}
	i.dead, i.runs = true, map[string]*running{}
}

// Drain makes it announce that it will leave.
func (i *Instance) Drain() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.draining = true
}

// DelayStarts sets the share of starts that are carried out seconds later without an answer.
func (i *Instance) DelayStarts(share float64) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.lateShare = share
}

// RunCount returns how many runs it has.
func (i *Instance) RunCount() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.advance()
	return len(i.runs)
}

// Handler returns the HTTP interface.
func (i *Instance) Handler() http.Handler {
	e := echo.New()
	e.Use(func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			i.mutex.Lock()
			dead := i.dead
			i.mutex.Unlock()
			if dead {
				return hang(c)
			}
			if expected := c.Request().Header.Get("Expect-Instance"); expected != "" && expected != i.ID {
				return c.NoContent(http.StatusMisdirectedRequest)
			}
			return next(c)
		}
	})
	e.POST("/v1/run-start", i.start)
	e.POST("/v1/run-stop", i.stop)
	e.POST("/v1/pace", i.pace)
	e.POST("/v1/hold", i.hold)
	return e
}

func hang(c echo.Context) error {
	select {
	case <-c.Request().Context().Done():
	case <-time.After(silence):
	}
	panic(http.ErrAbortHandler)
}

func (i *Instance) beat(ctx context.Context, client *http.Client) {
	i.mutex.Lock()
	if i.dead || i.AgentAddress == "" {
		i.mutex.Unlock()
		return
	}
	i.sequence++
	state := "ready"
	if i.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"Service": i.Service, "Address": i.Address, "Zone": i.Zone, "Version": "v1", "Slots": 8, "State": state, "Sequence": i.sequence,
		"Capacity": map[string]int64{"Cpu": i.MilliProcessors, "MemMb": i.MemoryMB}, "Labels": []string{"a", i.Rack}, "born": i.born.UnixMilli(),
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
	// An agent that does not answer is called again with the next heartbeat.
	if answer, err := client.Do(request); err == nil {
		_ = answer.Body.Close()
	}
}

func (i *Instance) start(c echo.Context) error {
	var o order
	if err := json.NewDecoder(c.Request().Body).Decode(&o); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	i.mutex.Lock()
	late := rand.Float64() < i.lateShare
	i.mutex.Unlock()
	if late {
		time.AfterFunc(time.Second+rand.N(3*time.Second), func() { i.begin(o) })
		return hang(c)
	}
	return i.answer(c, i.begin(o))
}

// begin starts a run and returns the reason of a refusal, or "".
func (i *Instance) begin(o order) string {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.advance()
	if o.FencingToken < i.token {
		return "fence"
	}
	i.token = o.FencingToken
	i.extend(o.DeadlineMs)
	if r, ok := i.runs[o.Task]; ok && r.run == o.Run {
		return ""
	}
	switch {
	case o.DeadlineMs <= i.millis():
		return "late"
	case i.runs[o.Task] != nil || o.Run <= i.high[o.Task]:
		return "old"
	}
	i.high[o.Task] = o.Run
	i.runs[o.Task] = &running{run: o.Run, begun: time.Now(), length: i.length(o), percent: 100}
	i.observe(o.Task, o.Run, "start")
	return ""
}

func (i *Instance) length(o order) time.Duration {
	if i.RunTime != nil {
		return i.RunTime(o.Task)
	}
	n, err := strconv.Atoi(strings.TrimSpace(o.Spec))
	if err != nil {
		// A payload that is no figure stands for a short task.
		n = 50
	}
	return time.Duration(n) * time.Millisecond
}

func (i *Instance) stop(c echo.Context) error {
	var o order
	if err := json.NewDecoder(c.Request().Body).Decode(&o); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	time.Sleep(stopTime)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.advance()
	if o.FencingToken < i.token {
		return i.answer(c, "fence")
	}
	i.token = o.FencingToken
	i.high[o.Task] = max(i.high[o.Task], o.Run)
	if r, ok := i.runs[o.Task]; ok && r.run <= o.Run {
		i.end(o.Task, r, "stopped")
	}
	return i.answer(c, "")
}

func (i *Instance) pace(c echo.Context) error {
	var o order
	if err := json.NewDecoder(c.Request().Body).Decode(&o); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if r, ok := i.runs[o.Task]; ok && r.run == o.Run {
		r.percent = o.Percent
	}
	return i.answer(c, "")
}

func (i *Instance) hold(c echo.Context) error {
	var o order
	if err := json.NewDecoder(c.Request().Body).Decode(&o); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	until := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	for {
		i.mutex.Lock()
		if o.FencingToken < i.token {
			defer i.mutex.Unlock()
			return i.answer(c, "fence")
		}
		i.token = o.FencingToken
		i.extend(o.DeadlineMs)
		i.advance()
		for len(i.ends) > 0 && i.ends[0][0].(int64) <= o.LastSeen {
			i.ends = i.ends[1:]
		}
		if len(i.ends) > 0 || !time.Now().Before(until) || c.Request().Context().Err() != nil {
			break
		}
		i.mutex.Unlock()
		time.Sleep(tick)
	}
	defer i.mutex.Unlock()
	rows := [][]any{}
	for name, r := range i.runs {
		done := min(int(100*time.Since(r.begun)/max(r.length, 1)), 99)
		rows = append(rows, []any{name, r.run, "", done, figure})
	}
	return c.JSON(http.StatusOK, map[string]any{"ClockMs": i.millis(), "born": i.born.UnixMilli(), "Running": rows, "Ended": i.ends})
}

func (i *Instance) answer(c echo.Context, reason string) error {
	status := http.StatusOK
	if reason != "" {
		status = http.StatusConflict
	}
	return c.JSON(status, map[string]any{"ClockMs": i.millis(), "Reason": reason})
}

// advance ends the runs that are done or whose lease has lapsed.
func (i *Instance) advance() {
	now := time.Now()
	for name, r := range i.runs {
		switch {
		case now.After(i.deadline):
			i.end(name, r, "lapsed")
		case now.Sub(r.begun) < r.length:
		case i.ShouldFail != nil && i.ShouldFail(name, r.run):
			i.end(name, r, "failed")
		default:
			i.end(name, r, "done")
		}
	}
}

func (i *Instance) end(name string, r *running, how string) {
	delete(i.runs, name)
	i.ends = append(i.ends, []any{i.next, name, r.run, how, ""})
	i.next++
	i.observe(name, r.run, how)
}

// extend moves the end of all leases, which never shortens.
func (i *Instance) extend(deadline int64) {
	until := i.born.Add(time.Duration(deadline) * time.Millisecond)
	if most := time.Now().Add(maxLease); until.After(most) {
		until = most
	}
	if until.After(i.deadline) {
		i.deadline = until
	}
}

func (i *Instance) millis() int64 { return time.Since(i.born).Milliseconds() }

func (i *Instance) observe(task string, run int, how string) {
	if i.OnEvent != nil {
		i.OnEvent(Event{time.Now(), i.ID, task, run, how})
	}
}

// String names the instance for messages.
func (e Event) String() string {
	return fmt.Sprintf("%s %s run %d at %s", e.Kind, e.Task, e.Run, e.Instance)
}
