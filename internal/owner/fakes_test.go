package owner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/admitter"
	"bamboohook/internal/inventory"
	"bamboohook/internal/message"
	"bamboohook/internal/owner"
	"bamboohook/internal/supervisor"
	"bamboohook/resource"
	"bamboohook/stream"
)

// stepDuration is the simulated time between two steps of a region.
const stepDuration = 250 * time.Millisecond

// errNoAnswer is the error of a call that may or may not have taken effect.
var errNoAnswer = eris.New("no answer")

// clock is the clock of one machine. It runs at its own rate, which differs by up to 0.5% from that of the simulated
// time.
type clock struct {
	r    *region
	rate float64
}

func (c clock) Now() time.Time {
	return start.Add(time.Duration(float64(c.r.now.Sub(start)) * c.rate))
}

var start = time.Unix(1_000_000, 0)

// region simulates entries, VMs and the log service in one goroutine. The seed determines all random choices, so a run
// can be repeated.
type region struct {
	random       *rand.Rand
	now          time.Time
	randomFaults bool
	// logClockOffset is how far the clock of the log service was set forward, or back if it is negative.
	logClockOffset time.Duration
	logDown        bool
	records        []owner.DeliveredRecord
	offset         uint64
	// delayedCalls holds the calls and appends that are under way and take effect later.
	delayedCalls []func()
	entries      []*entry
	vms          []*vm
	// violations describes the violations of invariants that were found.
	violations []string
	// peersDisconnected disconnects the entries from each other. holdDelayedCalls keeps delayed calls from taking
	// effect. nextFaults tells, by method, how the next call of the method fails: "late" delays it, and "unanswered"
	// loses the response after the call took effect. onFault is called after such a fault, except for the method
	// "append".
	peersDisconnected bool
	holdDelayedCalls  bool
	nextFaults        map[string]string
	// workerDelay is how late a worker carries out a start that it does not answer. In nextFaults, such a start is a
	// late call of the method "worker-start". With random faults, each start is such a start with lateStartProbability.
	workerDelay          time.Duration
	lateStartProbability float64
	onFault              func()
	vmCapacity           resource.Amount
	taskDuration         time.Duration
	// configuration is the configuration of all entries. usageFactor is the ratio of the processors that tasks use to
	// those that their job declares. retries is Owner.DefaultRetries in all entries. Tasks of the kind failingKind fail
	// immediately. latency returns the latency that a VM reports for the service "preview"; if it is nil, the VMs
	// report no service. events holds the events that all entries have emitted.
	configuration *inventory.Inventory
	usageFactor   float64
	retries       int
	failingKind   string
	latency       func(v *vm) time.Duration
	events        []string
}

// entry is a simulated entry. It makes the remote calls of its owner.
type entry struct {
	r     *region
	owner *owner.Owner
	name  string
	// processCount is the number of processes that the entry has had so far. readPosition is the number of log records
	// that the current process has read.
	processCount int
	readPosition int
	// The entry is paused until pausedUntil, is down after a crash until downUntil, and is disconnected from the log
	// until logDisconnectedUntil. disconnectedUntil is the time until which it is disconnected from each VM. drained is
	// true if Owner.Drain was called.
	pausedUntil          time.Time
	downUntil            time.Time
	logDisconnectedUntil time.Time
	drained              bool
	disconnectedUntil    map[*vm]time.Time
}

// vm is a simulated VM with its agent and its worker, which is the process that runs the tasks.
type vm struct {
	r          *region
	name       string
	clock      clock
	supervisor *supervisor.Supervisor
	// agentCount is the number of processes that the agent of the VM has had so far. The VM is paused until pausedUntil
	// and is switched off until downUntil.
	agentCount        int
	heartbeatSequence uint64
	pausedUntil       time.Time
	downUntil         time.Time
	tasks             map[string]*workerTask
	// lateStarts holds the starts that the worker has received but not carried out yet.
	lateStarts []lateStart
	// failsTasks makes all tasks that are started on the VM fail immediately. startedTaskCount is the number of tasks
	// that were started on the VM so far.
	failsTasks       bool
	startedTaskCount int
}

// workerTask is an attempt that was started at the worker of a VM. It completes at completesAt unless its lease ends
// before.
type workerTask struct {
	message.WorkerTask
	leaseEnd    time.Time
	completesAt time.Time
	startedAt   time.Time
}

// newRegion returns a region with the given numbers of entries and VMs.
func newRegion(seed uint64, entries, vms int) *region {
	r := &region{
		nextFaults: map[string]string{}, random: rand.New(rand.NewPCG(seed, 1)), now: start, taskDuration: 5 * time.Second, retries: 2, usageFactor: 1,
		workerDelay: maxWorkerDelay,
		vmCapacity:  resource.Amount{MilliProcessors: 1000, MemoryBytes: 100, Accelerators: 1},
	}
	for i := range vms {
		v := &vm{r: r, name: fmt.Sprintf("vm-%d", i), clock: clock{r, 1 + (r.random.Float64()-0.5)/110}}
		v.startAgent()
		r.vms = append(r.vms, v)
	}
	for i := range entries {
		e := &entry{r: r, name: fmt.Sprintf("entry-%d", i), disconnectedUntil: map[*vm]time.Time{}}
		e.startProcess()
		r.entries = append(r.entries, e)
	}
	return r
}

// chance returns true with the probability p. It returns false if random faults are disabled.
func (r *region) chance(p float64) bool { return r.randomFaults && r.random.Float64() < p }

// startProcess replaces the process of the entry by a new one, which has to replay the log.
func (e *entry) startProcess() {
	e.processCount++
	e.readPosition, e.drained = 0, false
	e.owner = &owner.Owner{
		Entry: fmt.Sprintf("%s.%d", e.name, e.processCount), ShardCount: 2, StreamWriter: e, Agents: e, Peers: e, DefaultRetries: e.r.retries,
		Clock: clock{e.r, 1 + (e.r.random.Float64()-0.5)/110}, Spawn: func(f func()) { f() },
		OnEvent: func(kind, subject string, _ map[string]string) {
			e.r.events = append(e.r.events, e.name+" "+kind+" "+subject)
		},
	}
	if e.r.configuration != nil {
		e.owner.Configure(e.r.configuration)
	}
}

// startAgent replaces the agent process of the VM by a new one. The tasks at the worker continue.
func (v *vm) startAgent() {
	v.agentCount++
	v.heartbeatSequence = 0
	if v.tasks == nil {
		v.tasks = map[string]*workerTask{}
	}
	v.supervisor = &supervisor.Supervisor{
		Generation: fmt.Sprintf("%s.%d", v.name, v.agentCount), Worker: fakeWorker{v}, Clock: v.clock, Admitter: &admitter.Admitter{},
	}
}

// call makes a call of the given method. The call may be lost, may be delayed, or may take effect without a response.
func (r *region) call(unreachable bool, method string, call func()) error {
	fault := r.nextFaults[method]
	delete(r.nextFaults, method)
	if fault != "" && r.onFault != nil {
		defer r.onFault()
	}
	switch {
	case fault == "late":
		r.delayedCalls = append(r.delayedCalls, call)
		return errNoAnswer
	case fault == "unanswered":
		call()
		return errNoAnswer
	case unreachable || r.chance(0.01):
		if r.random.IntN(2) == 0 {
			return eris.Wrap(owner.ErrNotSent, "agent is unreachable")
		}
		return errNoAnswer
	case r.chance(0.02):
		r.delayedCalls = append(r.delayedCalls, call)
		return errNoAnswer
	}
	call()
	if r.chance(0.02) {
		return errNoAnswer
	}
	return nil
}

func (e *entry) Append(_ context.Context, records ...stream.Record) (uint64, error) {
	r := e.r
	if r.logDown || r.now.Before(e.logDisconnectedUntil) {
		return 0, eris.Wrap(owner.ErrNotAppended, "log is down")
	}
	store := func() {
		r.offset++
		for _, record := range records {
			r.records = append(r.records, owner.DeliveredRecord{Record: record, Offset: r.offset, Time: r.now.Add(r.logClockOffset)})
		}
	}
	fault := r.nextFaults["append"]
	delete(r.nextFaults, "append")
	switch {
	case fault == "late" || r.chance(0.03):
		r.delayedCalls = append(r.delayedCalls, store)
		return 0, errNoAnswer
	case fault == "unanswered" || r.chance(0.03):
		store()
		return 0, errNoAnswer
	}
	store()
	return r.offset, nil
}

func (e *entry) StopGranting(_ context.Context, name string, shardNumber int, epoch uint64) (map[string]time.Duration, error) {
	for _, other := range e.r.entries {
		if other.owner.Entry == name && other.up() && !e.r.peersDisconnected {
			return other.owner.StopGranting(shardNumber, epoch)
		}
	}
	return nil, errNoAnswer
}

func (e *entry) up() bool { return !e.r.now.Before(e.pausedUntil) && !e.r.now.Before(e.downUntil) }

func (v *vm) up() bool { return !v.r.now.Before(v.pausedUntil) && !v.r.now.Before(v.downUntil) }

// findVM returns the named VM. The second result is true if the entry can't reach it.
func (e *entry) findVM(name string) (*vm, bool) {
	for _, v := range e.r.vms {
		if v.name == name {
			return v, !v.up() || e.r.now.Before(e.disconnectedUntil[v])
		}
	}
	return nil, true
}

func (e *entry) Start(ctx context.Context, name string, m message.StartRequest) (response message.StartResponse, err error) {
	v, unreachable := e.findVM(name)
	err = e.r.call(unreachable, "start", func() { response = v.supervisor.Start(ctx, m) })
	return response, err
}

// sendCommand makes a call of the given method to the agent of the named VM.
func (e *entry) sendCommand(method, name string, call func(*supervisor.Supervisor) message.TaskCommandResponse) (response message.TaskCommandResponse, err error) {
	v, unreachable := e.findVM(name)
	err = e.r.call(unreachable, method, func() { response = call(v.supervisor) })
	return response, err
}

func (e *entry) Stop(ctx context.Context, name string, m message.TaskCommand) (message.TaskCommandResponse, error) {
	return e.sendCommand("stop", name, func(s *supervisor.Supervisor) message.TaskCommandResponse { return s.Stop(ctx, m) })
}

func (e *entry) Checkpoint(ctx context.Context, name string, m message.TaskCommand) (message.TaskCommandResponse, error) {
	return e.sendCommand("checkpoint", name, func(s *supervisor.Supervisor) message.TaskCommandResponse { return s.Checkpoint(ctx, m) })
}

func (e *entry) Throttle(ctx context.Context, name string, m message.TaskCommand) (message.TaskCommandResponse, error) {
	return e.sendCommand("throttle", name, func(s *supervisor.Supervisor) message.TaskCommandResponse { return s.Throttle(ctx, m) })
}

// updateTasks ends the running tasks that are due to complete or whose lease has ended.
func (v *vm) updateTasks() {
	for _, w := range v.tasks {
		now := v.clock.Now()
		switch {
		case w.State != "running":
		case !now.Before(w.leaseEnd):
			w.State = "lapsed"
		case !v.r.now.Before(w.completesAt):
			w.State = "done"
		}
	}
}

// callWorker makes a call to the worker, which applies effect to the task. With random faults, the call may fail
// before or after that.
func (v *vm) callWorker(id string, effect func(*workerTask)) (message.WorkerTask, error) {
	v.updateTasks()
	if v.r.chance(0.02) {
		return message.WorkerTask{}, errNoAnswer
	}
	w, ok := v.tasks[id]
	if !ok {
		return message.WorkerTask{}, eris.Wrap(supervisor.ErrRefused, "unknown task")
	}
	effect(w)
	if v.r.chance(0.02) {
		return message.WorkerTask{}, errNoAnswer
	}
	return w.WorkerTask, nil
}

// startTask starts a task at the worker, unless it was already started.
func (v *vm) startTask(m message.WorkerStart) {
	if _, ok := v.tasks[m.ID]; !ok {
		duration := v.r.taskDuration/2 + time.Duration(v.r.random.Int64N(int64(v.r.taskDuration)))
		v.tasks[m.ID] = &workerTask{
			WorkerTask: message.WorkerTask{ID: m.ID, State: "running", Size: m.Size},
			leaseEnd:   v.clock.Now().Add(m.Lease), completesAt: v.r.now.Add(duration), startedAt: v.r.now,
		}
		v.startedTaskCount++
		w := v.tasks[m.ID]
		w.Share = 1
		w.Usage.MilliProcessors = int64(float64(m.DeclaredSize.MilliProcessors) * v.r.usageFactor)
		if v.failsTasks || m.Kind == v.r.failingKind && m.Kind != "" {
			w.State = "failed"
		}
	}
}

func (v *vm) List(context.Context) (message.WorkerTasks, error) {
	v.updateTasks()
	list := message.WorkerTasks{Capacity: v.r.vmCapacity}
	for _, w := range v.tasks {
		list.Tasks = append(list.Tasks, w.WorkerTask)
	}
	sort.Slice(list.Tasks, func(i, j int) bool { return list.Tasks[i].ID < list.Tasks[j].ID })
	if v.r.chance(0.02) {
		return message.WorkerTasks{}, errNoAnswer
	}
	return list, nil
}
