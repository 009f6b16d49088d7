package coordinator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/dispatcher"
	"bamboohook/internal/batch/pacer"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/sleeper"
)

const (
	// orderTimeout bounds a call to an agent, which answers after its endpoint has.
	orderTimeout = time.Second
	// orderRetry is when an order without an answer is repeated.
	orderRetry = 300 * time.Millisecond
	// refusedPause keeps starts away from a VM that refused one, until its next report.
	refusedPause = 200 * time.Millisecond
	// modelInterval is the time between two records of what was learned of programs; more would cost bytes, less would be lost with
	// the owner.
	modelInterval = 2 * time.Second
	// planPause is the least time between two plans; it is small against the time from a caller to a first start.
	planPause = 4 * time.Millisecond
	// summaryInterval is the time between two log lines about the whole load.
	summaryInterval = time.Second
	// paceRise and paceFall are the least changes of pace worth an order, in percent. A fall matters more: without it a target is missed.
	paceRise = 5
	paceFall = 2
)

// Run plans and sends orders until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.Tick()
		case <-c.signal():
		}
		c.PlanOnce(ctx)
		// What arrives meanwhile is planned together.
		sleeper.Sleep(ctx, planPause)
	}
}

// PlanOnce plans once and sends the orders.
func (c *Coordinator) PlanOnce(ctx context.Context) {
	for name, orders := range c.plan(ctx) {
		c.spawn(func() { c.send(ctx, name, orders) })
	}
}

// Tick handles what time brings: due occurrences, lost VMs, and ended jobs that nobody may ask for any more.
func (c *Coordinator) Tick() {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	s := &c.state
	if !s.owning {
		return
	}
	now, wall := c.Clock.Now(), c.WallClock.Now()
	for _, j := range s.books.Live() {
		s.books.OpenDueOccurrences(j, wall)
	}
	if now.Sub(s.summarised) >= summaryInterval {
		s.summarised = now
		c.summarise()
	}
	if s.model.Observations() != s.modelChanges && now.Sub(s.modelAt) >= modelInterval {
		s.modelAt, s.modelDue = now, true
		c.Journal.Notify()
	}
	unheard := false
	lapse := c.Leases.Grant + c.Leases.Run + c.Leases.Drift
	for name, v := range s.vms {
		limit, last := lapse, v.heard
		if last.IsZero() {
			// An earlier owner may have granted for a while after this epoch began.
			last, limit = s.taken, limit+c.Leases.Contact
		}
		if now.Sub(last) > limit {
			c.lose(name, v, now)
			continue
		}
		// An agent that was restarted may report before it knows what runs at its endpoint.
		unclear := v.heard.IsZero() || !v.listed && v.state != messenger.VMNotListening
		unheard = unheard || unclear && now.Sub(s.taken) <= lapse+c.Leases.Contact
		if v.state == messenger.VMDraining {
			c.evacuate(v)
		}
	}
	if !s.settled && !unheard {
		s.settled = true
		c.Log.Info().Uint64("epoch", s.epoch).Dur("after", now.Sub(s.taken)).Int("vms", len(s.vms)).Msg("runs of earlier owners are known")
	}
	s.books.DropEnded(wall.Add(-c.Limits.Retention-dropMargin), func(j *bookkeeper.Job) {
		s.drops = append(s.drops, j.ID)
		delete(s.restored, j)
	})
	if len(s.drops) > 0 {
		c.Journal.Notify()
	}
}

// lose gives up a VM whose leases have surely lapsed.
func (c *Coordinator) lose(name string, v *vm, now time.Time) {
	c.Log.Warn().Str("vm", name).Time("heard", v.heard).Int("runs", len(v.runs)).Msg("VM lost: all leases have lapsed")
	for _, x := range v.runs {
		c.ended(x, messenger.RunResult{Outcome: messenger.RunLeaseExpired, Task: x.name, Number: x.number}, now)
	}
	delete(c.state.vms, name)
	c.state.model.ForgetVM(name)
	c.state.changedVMs[name] = struct{}{}
	c.Journal.Notify()
}

// evacuate stops the runs that cannot end before a draining VM leaves, so that they go on elsewhere.
func (c *Coordinator) evacuate(v *vm) {
	for _, x := range v.runs {
		if x.current && x.answered && !x.stopping && (x.task.Step.LongRunning || x.task.Step.Checkpoints) {
			x.stopping = true
		}
	}
}

// plan decides starts and collects what is to be sent to each agent.
func (c *Coordinator) plan(ctx context.Context) map[string]messenger.Orders {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	s := &c.state
	if !s.owning || !c.Granting() {
		return nil
	}
	now := c.Clock.Now()
	c.place(ctx, now)
	sent := map[string]messenger.Orders{}
	for name, v := range s.vms {
		o := messenger.Orders{Epoch: s.epoch, Owner: c.Address, Incarnation: v.life, ReportSentMS: v.sent}
		if v.heard.IsZero() {
			// The agent learns from whoever calls it who the owner is.
			if now.Sub(v.announced) > orderRetry {
				v.announced = now
				sent[name] = o
			}
			continue
		}
		for _, x := range v.runs {
			x.collect(&o, now)
		}
		if len(o.Starts)+len(o.Stops)+len(o.Paces) > 0 {
			sent[name] = o
		}
	}
	return sent
}

// place chooses starts and enters them as runs that have not been sent.
func (c *Coordinator) place(ctx context.Context, now time.Time) {
	s := &c.state
	var steps []*bookkeeper.Step
	queues := map[string]dispatcher.Queue{}
	s.books.VisitReady(func(step *bookkeeper.Step) {
		if _, old := s.restored[step.Job]; old && !s.settled && !step.ReadySinceTakeover() {
			return
		}
		if !slices.ContainsFunc(step.Tasks, (*bookkeeper.Task).IsWaiting) {
			return
		}
		q := c.queueOf(step.Job)
		if q.Advised && !c.advised(ctx, step, q, now) {
			return
		}
		queues[step.Job.Queue] = q.Queue
		steps = append(steps, step)
	})
	if len(steps) == 0 {
		return
	}
	vms, byVM := c.candidates(now)
	s.dispatcher.Excludes = func(t *bookkeeper.Task, d *dispatcher.VM) bool {
		v := byVM[d]
		return c.queueOf(t.Step.Job).Advised && v.ticket(t.Step, now) == ""
	}
	for _, p := range s.dispatcher.Plan(now, steps, queues, vms) {
		c.enter(p, byVM[p.VM], now)
	}
}

// candidates returns the VMs as the dispatcher sees them, in the order of their names.
func (c *Coordinator) candidates(now time.Time) ([]*dispatcher.VM, map[*dispatcher.VM]*vm) {
	vms := make([]*dispatcher.VM, 0, len(c.state.vms))
	byVM := make(map[*dispatcher.VM]*vm, len(c.state.vms))
	for _, v := range c.state.vms {
		v.Schedulable = c.open(v, now)
		vms = append(vms, &v.VM)
		byVM[&v.VM] = v
	}
	slices.SortFunc(vms, func(x, y *dispatcher.VM) int { return cmp.Compare(x.Name, y.Name) })
	return vms, byVM
}

// open reports whether starts may go to the VM.
func (c *Coordinator) open(v *vm, now time.Time) bool {
	if !v.stored || v.heard.IsZero() || !v.listed || v.state != messenger.VMUp || now.Sub(v.heard) > silentAfter ||
		now.Before(v.closedUntil) || !v.breaker.Allows(now) {
		return false
	}
	for _, x := range v.runs {
		if x.task == nil {
			// The size of a run of an unknown job is not known either.
			return false
		}
	}
	return true
}

func (c *Coordinator) enter(p dispatcher.Placement, v *vm, now time.Time) {
	t := p.Task
	number := t.NextRun()
	if t.Step.Gang {
		for _, member := range t.Step.Tasks {
			number = max(number, member.NextRun())
		}
		for _, member := range t.Step.Tasks {
			member.ObserveRun(number - 1)
		}
	}
	if !t.Step.Job.HasStarted() && t.Step.Job.FirstDue.IsZero() {
		c.Meter.Observe("first-start", c.WallClock.Now().Sub(t.Step.Job.AcceptedAt))
	}
	c.Meter.Count("starts")
	c.state.books.RunStarted(t, number)
	x := &run{name: t.ID().String(), task: t, vm: v, number: number, current: true, orderedAt: now, pace: pacer.FullPercent, paced: pacer.FullPercent}
	x.ticket = v.ticket(t.Step, now)
	v.runs[x.name] = x
	v.breaker.Started(now)
	c.state.runs[t] = x
	c.Log.Info().Str("task", x.name).Int("run", number).Str("vm", v.Name).Dur("report-age", now.Sub(v.heard)).
		Dur("waited", c.WallClock.Now().Sub(t.WaitingSince())).Int64("serving", v.LongRunningProcessors()).Int64("filling", v.BestEffortProcessors()).
		Int64("reserved", v.Reserved().MilliProcessors).Msg("start ordered")
}

// collect adds what is to be sent for the run.
func (x *run) collect(o *messenger.Orders, now time.Time) {
	switch {
	case x.stopping:
		if now.Sub(x.stopAt) > orderRetry {
			x.stopAt = now
			o.Stops = append(o.Stops, messenger.Stop{Task: x.name, Number: x.number})
		}
	case !x.answered:
		if now.Sub(x.sentAt) > orderRetry {
			x.sentAt = now
			o.Starts = append(o.Starts, messenger.Start{
				Task: x.name, Number: x.number, Payload: x.task.Step.Job.Payload, Checkpoint: x.task.Checkpoint(), Ticket: x.ticket,
				Size: x.task.Step.Size, BestEffort: x.task.Step.BestEffort,
			})
		}
	case x.fills() && x.paceDue():
		if now.Sub(x.paceAt) > orderRetry {
			x.paceAt = now
			o.Paces = append(o.Paces, messenger.Pace{Task: x.name, Number: x.number, Percent: x.pace})
		}
	}
}

// paceDue reports whether the agent should be told of another pace.
func (x *run) paceDue() bool {
	if x.pace == pacer.FullPercent || x.pace == 0 {
		return x.pace != x.paced
	}
	return x.pace-x.paced >= paceRise || x.paced-x.pace >= paceFall
}

// send delivers orders and takes over the answer.
func (c *Coordinator) send(ctx context.Context, name string, o messenger.Orders) {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := c.Agents.SendOrders(call, name, o)
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	s := &c.state
	v, ok := s.vms[name]
	if !s.owning || s.epoch != o.Epoch || !ok {
		return
	}
	if err != nil {
		c.Log.Warn().Err(err).Str("vm", name).Int("starts", len(o.Starts)).Int("stops", len(o.Stops)).Msg("orders without an answer")
		return
	}
	now := c.Clock.Now()
	if v.life != o.Incarnation {
		return
	}
	if !answer.Accepted {
		c.Log.Warn().Str("vm", name).Str("reason", answer.Reason).Uint64("epoch", answer.Epoch).Msg("orders refused")
		v.closedUntil = now.Add(refusedPause)
		for _, start := range o.Starts {
			if x, ok := v.runs[start.Task]; ok && x.number == start.Number && !x.answered {
				c.refused(x, answer.Reason, now)
			}
		}
		return
	}
	for _, outcome := range answer.Starts {
		x, ok := v.runs[outcome.Task]
		if !ok || x.number != outcome.Number {
			continue
		}
		switch outcome.Outcome {
		case messenger.StartDone:
			x.answered, x.sequence = true, answer.Sequence
		case messenger.StartRefused:
			v.closedUntil = now.Add(refusedPause)
			c.refused(x, outcome.Reason, now)
		default:
			c.Log.Warn().Str("task", x.name).Int("run", x.number).Str("vm", name).Str("reason", outcome.Reason).Msg("start unclear")
		}
	}
	for _, stop := range o.Stops {
		if x, ok := v.runs[stop.Task]; ok && x.number == stop.Number {
			x.answered, x.sequence = true, answer.Sequence
		}
	}
	for _, p := range o.Paces {
		if x, ok := v.runs[p.Task]; ok && x.number == p.Number {
			x.paced = p.Percent
		}
	}
	c.kick()
}

// refused takes back a start that certainly has no effect.
func (c *Coordinator) refused(x *run, reason string, now time.Time) {
	c.Meter.Count("starts-refused")
	c.Log.Info().Str("task", x.name).Int("run", x.number).Str("vm", x.vm.Name).Str("reason", reason).Msg("start refused")
	c.ended(x, messenger.RunResult{Outcome: messenger.RunLost, Task: x.name, Number: x.number}, now)
}

func (c *Coordinator) signal() chan struct{} {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	return c.channel()
}

func (c *Coordinator) channel() chan struct{} {
	if c.state.wake == nil {
		c.state.wake = make(chan struct{}, 1)
	}
	return c.state.wake
}

// kick makes Run plan soon. It requires the mutex.
func (c *Coordinator) kick() {
	select {
	case c.channel() <- struct{}{}:
	default:
	}
}

func (c *Coordinator) spawn(f func()) {
	if c.Spawn != nil {
		c.Spawn(f)
		return
	}
	go f()
}
