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

const step = 250 * time.Millisecond

var errLost = eris.New("no answer")

// clock runs at its own rate beside the true time of the region.
type clock struct {
	r    *region
	rate float64
}

func (c clock) Now() time.Time {
	return start.Add(time.Duration(float64(c.r.now.Sub(start)) * c.rate))
}

var start = time.Unix(1_000_000, 0)

// region simulates entries, VMs and the log in one goroutine. The seed determines the run.
type region struct {
	random *rand.Rand
	now    time.Time
	faulty bool
	// logStep is how much the log service's clock was set forward or back.
	logStep  time.Duration
	logDown  bool
	log      []owner.DeliveredRecord
	offset   uint64
	late     []func()
	entries  []*entry
	vms      []*vm
	problems []string
	// peersCut hides the entries from each other; hold keeps late calls from arriving; next tells how the next
	// call of a method fails: late, or unanswered after its effect.
	peersCut bool
	hold     bool
	next     map[string]string
	onFault  func()
	size     resource.Amount
	length   time.Duration
	// view is the configuration of entries, factor what tasks use relative to the job's size, and failing the kind whose
	// tasks fail at once. latency returns the latency of the service preview that a VM reports; nil for no service.
	view    *inventory.Inventory
	factor  float64
	retries int
	failing string
	latency func(v *vm) time.Duration
	notes   []string
}

type entry struct {
	r        *region
	o        *owner.Owner
	name     string
	runs     int
	read     int
	paused   time.Time
	downTill time.Time
	logCut   time.Time
	drained  bool
	cut      map[*vm]time.Time
}

type vm struct {
	r        *region
	name     string
	clock    clock
	s        *supervisor.Supervisor
	runs     int
	sequence uint64
	paused   time.Time
	downTill time.Time
	tasks    map[string]*work
	// bad makes tasks fail at once; started counts starts.
	bad     bool
	started int
}

type work struct {
	message.WorkerTask
	until time.Time
	ends  time.Time
	begun time.Time
}

func newRegion(seed uint64, entries, vms int) *region {
	r := &region{
		next: map[string]string{}, random: rand.New(rand.NewPCG(seed, 1)), now: start, length: 5 * time.Second, retries: 2, factor: 1,
		size: resource.Amount{MilliProcessors: 1000, MemoryBytes: 100, Accelerators: 1},
	}
	for i := range vms {
		v := &vm{r: r, name: fmt.Sprintf("vm-%d", i), clock: clock{r, 1 + (r.random.Float64()-0.5)/110}}
		v.boot()
		r.vms = append(r.vms, v)
	}
	for i := range entries {
		e := &entry{r: r, name: fmt.Sprintf("entry-%d", i), cut: map[*vm]time.Time{}}
		e.boot()
		r.entries = append(r.entries, e)
	}
	return r
}

func (r *region) chance(p float64) bool { return r.faulty && r.random.Float64() < p }

func (e *entry) boot() {
	e.runs++
	e.read, e.drained = 0, false
	e.o = &owner.Owner{
		Entry: fmt.Sprintf("%s.%d", e.name, e.runs), ShardCount: 2, Log: e, Agents: e, Peers: e, DefaultRetries: e.r.retries,
		Clock: clock{e.r, 1 + (e.r.random.Float64()-0.5)/110}, Spawn: func(f func()) { f() },
		OnEvent: func(kind, subject string, _ map[string]string) {
			e.r.notes = append(e.r.notes, e.name+" "+kind+" "+subject)
		},
	}
	if e.r.view != nil {
		e.o.Configure(e.r.view)
	}
}

func (v *vm) boot() {
	v.runs++
	v.sequence = 0
	if v.tasks == nil {
		v.tasks = map[string]*work{}
	}
	v.s = &supervisor.Supervisor{
		Generation: fmt.Sprintf("%s.%d", v.name, v.runs), Worker: platform{v}, Clock: v.clock, Admitter: &admitter.Admitter{},
	}
}

// deliver makes a call that may be lost, be answered in vain, or arrive late.
func (r *region) deliver(down bool, method string, call func()) error {
	fault := r.next[method]
	delete(r.next, method)
	if fault != "" && r.onFault != nil {
		defer r.onFault()
	}
	switch {
	case fault == "late":
		r.late = append(r.late, call)
		return errLost
	case fault == "unanswered":
		call()
		return errLost
	case down || r.chance(0.01):
		if r.random.IntN(2) == 0 {
			return eris.Wrap(owner.ErrNotSent, "call")
		}
		return errLost
	case r.chance(0.02):
		r.late = append(r.late, call)
		return errLost
	}
	call()
	if r.chance(0.02) {
		return errLost
	}
	return nil
}

func (e *entry) Append(_ context.Context, records ...stream.Record) (uint64, error) {
	r := e.r
	if r.logDown || r.now.Before(e.logCut) {
		return 0, eris.Wrap(owner.ErrNotAppended, "log is down")
	}
	add := func() {
		r.offset++
		for _, record := range records {
			r.log = append(r.log, owner.DeliveredRecord{Record: record, Offset: r.offset, Time: r.now.Add(r.logStep)})
		}
	}
	fault := r.next["append"]
	delete(r.next, "append")
	switch {
	case fault == "late" || r.chance(0.03):
		r.late = append(r.late, add)
		return 0, errLost
	case fault == "unanswered" || r.chance(0.03):
		add()
		return 0, errLost
	}
	add()
	return r.offset, nil
}

func (e *entry) ConfirmStopped(_ context.Context, name string, shard int, epoch uint64) (map[string]time.Duration, error) {
	for _, other := range e.r.entries {
		if other.o.Entry == name && other.up() && !e.r.peersCut {
			return other.o.ConfirmStopped(shard, epoch)
		}
	}
	return nil, errLost
}

func (e *entry) up() bool { return !e.r.now.Before(e.paused) && !e.r.now.Before(e.downTill) }

func (v *vm) up() bool { return !v.r.now.Before(v.paused) && !v.r.now.Before(v.downTill) }

func (e *entry) agent(name string) (*vm, bool) {
	for _, v := range e.r.vms {
		if v.name == name {
			return v, !v.up() || e.r.now.Before(e.cut[v])
		}
	}
	return nil, true
}

func (e *entry) Start(ctx context.Context, name string, m message.Start) (answer message.StartAnswer, err error) {
	v, down := e.agent(name)
	err = e.r.deliver(down, "start", func() { answer = v.s.Start(ctx, m) })
	return answer, err
}

func (e *entry) order(method, name string, call func(*supervisor.Supervisor) message.TaskOrderAnswer) (answer message.TaskOrderAnswer, err error) {
	v, down := e.agent(name)
	err = e.r.deliver(down, method, func() { answer = call(v.s) })
	return answer, err
}

func (e *entry) Stop(ctx context.Context, name string, m message.TaskOrder) (message.TaskOrderAnswer, error) {
	return e.order("stop", name, func(s *supervisor.Supervisor) message.TaskOrderAnswer { return s.Stop(ctx, m) })
}

func (e *entry) Checkpoint(ctx context.Context, name string, m message.TaskOrder) (message.TaskOrderAnswer, error) {
	return e.order("checkpoint", name, func(s *supervisor.Supervisor) message.TaskOrderAnswer { return s.Checkpoint(ctx, m) })
}

func (e *entry) Throttle(ctx context.Context, name string, m message.TaskOrder) (message.TaskOrderAnswer, error) {
	return e.order("throttle", name, func(s *supervisor.Supervisor) message.TaskOrderAnswer { return s.Throttle(ctx, m) })
}

// advance ends what the worker ends by itself.
func (v *vm) advance() {
	for _, w := range v.tasks {
		now := v.clock.Now()
		switch {
		case w.State != "running":
		case !now.Before(w.until):
			w.State = "lapsed"
		case !v.r.now.Before(w.ends):
			w.State = "done"
		}
	}
}

// worker makes a call of the worker, which may fail before or after its effect.
func (v *vm) worker(id string, effect func(*work)) (message.WorkerTask, error) {
	v.advance()
	if v.r.chance(0.02) {
		return message.WorkerTask{}, errLost
	}
	w, ok := v.tasks[id]
	if !ok {
		return message.WorkerTask{}, eris.Wrap(supervisor.ErrRefused, "unknown task")
	}
	effect(w)
	if v.r.chance(0.02) {
		return message.WorkerTask{}, errLost
	}
	return w.WorkerTask, nil
}

func (v *vm) workerStart(m message.WorkerStart) {
	if _, ok := v.tasks[m.ID]; !ok {
		length := v.r.length/2 + time.Duration(v.r.random.Int64N(int64(v.r.length)))
		v.tasks[m.ID] = &work{
			WorkerTask: message.WorkerTask{ID: m.ID, State: "running", Size: m.Size},
			until:      v.clock.Now().Add(m.Lease), ends: v.r.now.Add(length), begun: v.r.now,
		}
		v.started++
		w := v.tasks[m.ID]
		w.Share = 1
		w.Usage.MilliProcessors = int64(float64(m.JobSize.MilliProcessors) * v.r.factor)
		if v.bad || m.Kind == v.r.failing && m.Kind != "" {
			w.State = "failed"
		}
	}
}

func (v *vm) List(context.Context) (message.WorkerList, error) {
	v.advance()
	list := message.WorkerList{Capacity: v.r.size}
	for _, w := range v.tasks {
		list.Tasks = append(list.Tasks, w.WorkerTask)
	}
	sort.Slice(list.Tasks, func(i, j int) bool { return list.Tasks[i].ID < list.Tasks[j].ID })
	if v.r.chance(0.02) {
		return message.WorkerList{}, errLost
	}
	return list, nil
}
