package coordinator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bamboohook/internal/batch/job"
	"bamboohook/internal/fleet/attendant"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/sleeper"
)

const (
	// minCallDelay and maxCallDelay are the limits of the time that a call to an endpoint, or its response, usually takes on the way.
	minCallDelay = 200 * time.Microsecond
	maxCallDelay = 2 * time.Millisecond
	// A call without an answer is carried out between minLateDelay and maxLateDelay later. Half of them take at most shortLateDelay, because a
	// start is refused once its lease would have expired.
	minLateDelay   = 2 * time.Second
	shortLateDelay = 4 * time.Second
	maxLateDelay   = 12 * time.Second
	// minMessageDelay, maxMessageDelay and maxFaultyDelay limit how long a report or an order travels.
	minMessageDelay = 500 * time.Microsecond
	maxMessageDelay = 5 * time.Millisecond
	maxFaultyDelay  = 3 * time.Second
	// orderHandlingTimeout bounds the handling of orders by an agent process.
	orderHandlingTimeout = 3 * time.Second
	// minAgentPause and maxAgentPause limit the time until an agent process that was killed is replaced, minEndpointPause and
	// maxEndpointPause that of an endpoint process.
	minAgentPause    = 50 * time.Millisecond
	maxAgentPause    = 700 * time.Millisecond
	minEndpointPause = 20 * time.Millisecond
	maxEndpointPause = 1500 * time.Millisecond
	heartbeatPeriod  = time.Second
	// killAfterCallShare is the share of the calls without an answer after which the agent process is killed within maxKillDelay.
	killAfterCallShare = 0.5
	maxKillDelay       = 800 * time.Millisecond
	sameIDShare        = 0.6
	// lateMessageShare and lostMessageShare are the shares of the messages that are delayed by up to maxFaultyDelay or lost.
	lateMessageShare = 0.04
	lostMessageShare = 0.02
	// maxHistoryLines is the number of lines in the history of a violation.
	maxHistoryLines = 70
	// historyLead is the time before the first event of a task from which the history contains the events of the processes on its VMs.
	historyLead = 2 * time.Second
)

// quietMessages and quietFields are log entries and fields of them that the history leaves out.
var (
	quietMessages = []string{
		"new state of VM reported", "endpoint state changed", "report to the owner failed", "list request to the endpoint failed",
		"agent process begins to list runs", "endpoint has seen a higher fencing token", "new owner of the jobs observed",
	}
	quietFields = []string{"level", "message", "task", "serving", "filling", "reserved", "report-age", "waited", "life", "before", "agent-epoch", "after"}
)

type (
	// simFaults says which faults a world has. With sameIDs, most endpoint processes that replace another one have its ID. With steps, all jobs have
	// steps after one another, gangs and checkpoints, and endpoints drain. A slow world has longer runs and fewer takeovers, and its faults last longer.
	simFaults struct {
		agentKills, lateCalls, takeovers, lateMessages, crashes, sameIDs, cuts, suspensions, slow, steps, oddRows, silentEntries bool
		// lastingSuspensions makes the agents of some VMs stand still until the end of the world.
		lastingSuspensions bool
		// limitedLists makes the endpoints list few results at a time. silences makes them answer nothing for some time.
		limitedLists, silences bool
	}

	// callFaults holds the shares of the calls to an endpoint that are executed late and of those whose answer is lost.
	callFaults struct{ late, lost float64 }

	// simWorld is an owner with agents, endpoints and the network between them. mutex protects the fields below it and the endpoints; no
	// coordinator or attendant is called while it is locked.
	simWorld struct {
		seed                    uint64
		faults                  simFaults
		listFaults, startFaults callFaults
		startedAt               time.Time
		ctx                     context.Context
		drawMutex               sync.Mutex
		random                  *rand.Rand
		vms                     []string
		// runTime, unless 0, is how long each run takes that ends by itself; none fails then.
		runTime time.Duration

		mutex     sync.Mutex
		calm      bool
		endpoints map[string]*simEndpoint
		agents    map[string]*simAgent
		// entries holds the last owner at each address. owner is the one with the highest epoch.
		entries map[string]*simOwner
		owner   *simOwner
		records simStore
		cuts    []simCut
		// jobs holds the jobs that end by themselves, checkpoints the ones that the runs of a task or of a gang have produced.
		jobs        map[string]job.Job
		checkpoints map[string]map[string]struct{}
		names       int
		events      []simEvent
		// starts and doneEnds hold, by task, the starts that took effect and the runs that have ended as done. failures holds the numbers of
		// its failed runs and their VMs, since two owners may give the same number to runs on two VMs.
		starts    map[string][]time.Time
		doneEnds  map[string][]*doneEnd
		failures  map[string]map[simFailure]struct{}
		violation string
		// silences holds when an entry begins to respond to an agent process, by both names.
		silences map[string]time.Time
		// silentEntry is the entry that responds to no agent, or empty. entryMbps is the bandwidth of the link of each entry, or 0 if messages take no
		// time there, entryProcessors the number of its processors. entryFreeAt is when both are free.
		silentEntry                string
		entryMbps, entryProcessors float64
		entryFreeAt                map[string]time.Time
		// refusedStarts is the number of refused starts by the reason, confirmations that of the requests for a confirmation of the ownership.
		refusedStarts map[string]int
		confirmations int
		// firstResponseAt is when the owner has first responded to an agent process since it took over.
		firstResponseAt time.Time
		// suspendedForGood is the number of agents that will not go on.
		suspendedForGood int
	}

	// simFailure identifies a failed run of a task.
	simFailure struct {
		vm     string
		number int
	}

	// simEvent is an event of a task or, if task is empty, of a process. If writer is not empty, text is a log entry of the process with that
	// name, which names or runs on the VM vm.
	simEvent struct {
		at               time.Time
		task, vm, writer string
		text             string
	}

	// doneEnd is the end of a run that has ended as done. It is void if the owner could not learn of it: its process crashed or the leases
	// of its VM expired before the result was recorded.
	doneEnd struct {
		process     *endpointProcess
		number      int
		sequence    int64
		at          time.Time
		noted, void bool
	}

	// simAgent is the address of an agent. process is nil while no agent process listens there.
	simAgent struct {
		vm      string
		process *agentProcess
	}

	agentProcess struct {
		vm         string
		generation string
		attendant  *attendant.Attendant
		suspension suspension
		ctx        context.Context
		kill       context.CancelFunc
	}

	// simLog adds the log entries of a process that name a task or a VM to the history. vm is the VM of the process if it is an agent.
	simLog struct {
		world    *simWorld
		name, vm string
	}

	// simClock returns the virtual time.
	simClock struct{}
)

// Now returns the virtual time of the bubble.
func (simClock) Now() time.Time { return time.Now() }

// Write implements io.Writer. Each call contains one log entry as JSON.
func (l simLog) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	_, task, _ := strings.Cut(text, `"task":"`)
	task, _, _ = strings.Cut(task, `"`)
	vm := l.vm
	if vm == "" {
		_, vm, _ = strings.Cut(text, `"vm":"`)
		vm, _, _ = strings.Cut(vm, `"`)
	}
	if task != "" || vm != "" {
		l.world.locked(func(w *simWorld) { w.events = append(w.events, simEvent{time.Now(), task, vm, l.name, text}) })
	}
	return len(line), nil
}

func (w *simWorld) locked(do func(w *simWorld)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	do(w)
}

// chance returns true with the given probability.
func (w *simWorld) chance(share float64) bool {
	w.drawMutex.Lock()
	defer w.drawMutex.Unlock()
	return w.random.Float64() < share
}

func (w *simWorld) duration(shortest, longest time.Duration) time.Duration {
	w.drawMutex.Lock()
	defer w.drawMutex.Unlock()
	return shortest + time.Duration(w.random.Int64N(int64(longest-shortest)+1))
}

// draw returns a number from 0 to limit - 1.
func (w *simWorld) draw(limit int) int {
	w.drawMutex.Lock()
	defer w.drawMutex.Unlock()
	return w.random.IntN(limit)
}

// pick returns one of the durations.
func (w *simWorld) pick(durations ...time.Duration) time.Duration {
	return durations[w.draw(len(durations))]
}

func (w *simWorld) pause(ctx context.Context, shortest, longest time.Duration) {
	sleeper.Sleep(ctx, w.duration(shortest, longest))
}

// later calls do with the mutex locked after the delay, unless the world has ended.
func (w *simWorld) later(delay time.Duration, do func(w *simWorld)) {
	go func() {
		if sleeper.Sleep(w.ctx, delay) {
			w.locked(do)
		}
	}()
}

func (w *simWorld) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(w.startedAt).Seconds()) }

// log adds an event to the history. The caller holds the mutex.
func (w *simWorld) log(task, format string, values ...any) {
	w.events = append(w.events, simEvent{at: time.Now(), task: task, text: fmt.Sprintf(format, values...)})
}

func (w *simWorld) name(prefix string) string {
	w.names++
	return fmt.Sprint(prefix, "-", w.names)
}

// history returns the last events of the task and those of the processes on its VMs.
func (w *simWorld) history(task string) string {
	var vms []string
	var first time.Time
	for _, e := range w.events {
		if e.task != task {
			continue
		}
		if first.IsZero() {
			first = e.at
		}
		for _, vm := range w.vms {
			if strings.Contains(e.text, vm) && !slices.Contains(vms, vm) {
				vms = append(vms, vm)
			}
		}
	}
	var lines []string
	for _, e := range w.events {
		ofProcess := e.task == "" && !e.at.Before(first.Add(-historyLead)) &&
			(strings.HasPrefix(e.text, "owner") || slices.ContainsFunc(vms, func(vm string) bool { return e.vm == vm || strings.HasPrefix(e.text, vm) }))
		if text := e.String(); text != "" && (e.task == task || ofProcess) {
			lines = append(lines, fmt.Sprintf("  %s %s", w.at(e.at), text))
		}
	}
	return strings.Join(lines[max(0, len(lines)-maxHistoryLines):], "\n")
}

// String returns the event in one line. It is empty for log entries that tell little about the runs of a task.
func (e simEvent) String() string {
	if e.writer == "" {
		return e.text
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(e.text), &fields); err != nil {
		return e.writer + ": " + e.text
	}
	message := fmt.Sprint(fields["message"])
	if slices.Contains(quietMessages, message) {
		return ""
	}
	text := fmt.Sprintf("[%s] %s:", e.writer, message)
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		if !slices.Contains(quietFields, key) {
			text += fmt.Sprintf(" %s=%v", key, fields[key])
		}
	}
	return text
}

// violate stores the first violation. The caller holds the mutex.
func (w *simWorld) violate(task, format string, values ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %s, task %s: %s\n%s", w.at(time.Now()), task, fmt.Sprintf(format, values...), w.history(task))
	}
}

func (w *simWorld) violated() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.violation != ""
}

// runStarted checks the start of a run, which has just taken effect.
func (w *simWorld) runStarted(p *endpointProcess, r *endpointRun) {
	w.starts[r.Task] = append(w.starts[r.Task], time.Now())
	for _, e := range w.endpoints {
		if e.process == nil || e.process == p {
			continue
		}
		if other := e.process.runs[r.Task]; other != nil {
			w.violate(r.Task, "two runs at the same time: %d at %s and %d at %s", other.Number, e.process.id, r.Number, p.id)
		}
	}
	for _, d := range w.doneEnds[r.Task] {
		if d.noted {
			w.violate(r.Task, "run %d starts after run %d ended as done, which was recorded", r.Number, d.number)
		}
	}
}

// runEnded takes note of the end of a run.
func (w *simWorld) runEnded(p *endpointProcess, r *endpointRun, outcome string, sequence int64) {
	switch outcome {
	case messenger.RunDone:
		w.doneEnds[r.Task] = append(w.doneEnds[r.Task], &doneEnd{process: p, number: r.Number, sequence: sequence, at: time.Now()})
	case messenger.RunFailed:
		if w.failures[r.Task] == nil {
			w.failures[r.Task] = map[simFailure]struct{}{}
		}
		w.failures[r.Task][simFailure{p.endpoint.vm, r.Number}] = struct{}{}
	}
}

// leaseExpired marks the ends that the owner need not know any more, because it may count the VM as lost.
func (w *simWorld) leaseExpired(p *endpointProcess) {
	for _, ends := range w.doneEnds {
		for _, d := range ends {
			d.void = d.void || d.process == p && !d.noted
		}
	}
}

// resultDiscarded checks the run of a result that an endpoint process forgets because a request acknowledges it. A request that was sent to an earlier process
// counts as well, because what is forgotten is lost.
func (w *simWorld) resultDiscarded(p *endpointProcess, r messenger.RunResult) {
	for _, d := range w.doneEnds[r.Task] {
		if d.process != p || d.sequence != r.Sequence {
			continue
		}
		if d.void {
			w.log(r.Task, "%s forgets the end of run %d, whose lease has expired since", p.id, d.number)
			continue
		}
		w.log(r.Task, "%s forgets the end of run %d as recorded", p.id, d.number)
		d.noted = true
		for _, started := range w.starts[r.Task] {
			if started.After(d.at) {
				w.violate(r.Task, "a run started at %s, after run %d ended as done, which is now recorded", w.at(started), d.number)
			}
		}
	}
}

// isLongRunning reports whether the task belongs to a job that runs until it is cancelled.
func (*simWorld) isLongRunning(task string) bool {
	id, ok := job.ParseTask(task)
	return ok && (id.Job == longJob || id.Job == cancelledJob)
}

// startEndpoint starts an endpoint process on the VM. The caller holds the mutex.
func (w *simWorld) startEndpoint(e *simEndpoint, id string) {
	e.process = &endpointProcess{
		endpoint: e, id: id, bornAt: time.Now(), runs: map[string]*endpointRun{}, highestEnded: map[string]int{}, resultAdded: make(chan struct{}),
	}
	w.log("", "%s: endpoint process starts, incarnation %d", id, e.process.incarnation())
}

// crashEndpoint ends the endpoint process on the VM and starts another one there later.
func (w *simWorld) crashEndpoint(e *simEndpoint) {
	p := e.process
	if p == nil {
		return
	}
	e.process = nil
	close(p.resultAdded)
	w.log("", "%s: endpoint process crashes", p.id)
	for task, r := range p.runs {
		w.log(task, "%s: run %d ends in the crash", p.id, r.Number)
		w.breakGang(r)
	}
	w.leaseExpired(p)
	id := p.id
	if !w.faults.sameIDs || !w.chance(sameIDShare) {
		id = w.name(e.vm + "/endpoint")
	}
	w.later(w.duration(minEndpointPause, maxEndpointPause), func(w *simWorld) { w.startEndpoint(e, id) })
}

// sendHeartbeats sends the heartbeats of the endpoint to the agent on its VM until the world ends.
func (w *simWorld) sendHeartbeats(e *simEndpoint) {
	for w.sleep(w.duration(heartbeatPeriod*9/10, heartbeatPeriod*11/10)) {
		var h attendant.Heartbeat
		var a *agentProcess
		w.locked(func(w *simWorld) {
			if e.process != nil && !e.sendsNoHeartbeats && (!e.silent || w.calm) {
				h, a = e.process.heartbeat(), w.agents[e.vm].process
			}
		})
		if a != nil {
			a.suspension.wait(a.ctx, w)
			a.attendant.HandleHeartbeat(h)
		}
	}
}

func (w *simWorld) sleep(d time.Duration) bool { return sleeper.Sleep(w.ctx, d) }

// startAgent starts an agent process. The caller holds the mutex.
func (w *simWorld) startAgent(a *simAgent) {
	p := &agentProcess{vm: a.vm, generation: w.name(a.vm + "/agent")}
	p.ctx, p.kill = context.WithCancel(w.ctx)
	p.attendant = &attendant.Attendant{
		Address: a.vm, Generation: p.generation, Endpoint: &endpointClient{w.endpoints[a.vm], p}, Reporter: &simReporter{w, p}, Clock: simClock{},
		LeaseDurations: attendant.LeaseDurations{Grant: simLeases.Grant, Run: simLeases.Run, Longest: maxSimLease}, StopTimeout: maxStopTime, Seeds: ownerAddresses,
		Log: zerolog.New(simLog{w, p.generation, a.vm}),
	}
	a.process = p
	w.log("", "%s: agent process starts", p.generation)
	go func() { _ = p.attendant.Run(p.ctx) }()
}

// killAgent ends an agent process, unless it has ended before, and starts its successor later. The caller holds the mutex.
func (w *simWorld) killAgent(p *agentProcess) {
	a := w.agents[p.vm]
	if a.process != p {
		return
	}
	p.kill()
	a.process = nil
	w.log("", "%s: agent process is killed", p.generation)
	w.later(w.duration(minAgentPause, maxAgentPause), func(w *simWorld) { w.startAgent(a) })
}

// killSoon kills the agent process after some of the calls that get no answer.
func (w *simWorld) killSoon(p *agentProcess) {
	if !w.faults.agentKills || !w.chance(killAfterCallShare) {
		return
	}
	w.later(w.duration(0, maxKillDelay), func(w *simWorld) {
		if !w.calm {
			w.killAgent(p)
		}
	})
}
