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
	// orderTimeout is the timeout of a call to an agent. The agent responds after its endpoint has responded.
	orderTimeout = time.Second
	// orderRetryInterval is the time after which an order without a response is sent again.
	orderRetryInterval = 300 * time.Millisecond
	// refusalPause is how long no task is placed on a VM after its agent has refused orders or a start. The agent can send its next report in
	// that time.
	refusalPause = 200 * time.Millisecond
	// modelRecordInterval is the shortest time between two records of the interference model. A shorter interval would write more bytes, a
	// longer one would lose more measurements when the owner fails.
	modelRecordInterval = 2 * time.Second
	// minPlanInterval is the shortest pause after each call of PlanOnce. It is short compared with the time from a submission to the first start.
	// The pause is planPauseFactor times as long as the call, so that planning leaves most of the processor time to reports and requests in a
	// large fleet, but not longer than maxPlanInterval.
	minPlanInterval = 4 * time.Millisecond
	planPauseFactor = 3
	maxPlanInterval = 40 * time.Millisecond
	// orderScanInterval is the time between two searches for due orders on all VMs. In between, only VMs with changes are searched.
	orderScanInterval = tickInterval
	// loadLogInterval is the time between two log entries about the total load.
	loadLogInterval = time.Second
	// minPaceRisePercent and minPaceFallPercent are the smallest changes of a pace that are sent to the agent, except for changes to 0 and to
	// the full pace, which are always sent. The limit is lower for falls, because a target may be missed until the task is throttled.
	minPaceRisePercent = 5
	minPaceFallPercent = 2
)

// Run places waiting tasks and sends orders to agents until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.Tick()
		case <-c.wakeChannel():
		}
		startedAt := c.Clock.Now()
		c.PlanOnce(ctx)
		duration := c.Clock.Now().Sub(startedAt)
		c.Meter.Observe("plan", duration)
		// The next call of PlanOnce handles all changes that arrive during this pause.
		sleeper.Sleep(ctx, min(max(minPlanInterval, planPauseFactor*duration), maxPlanInterval))
	}
}

// PlanOnce places waiting tasks on VMs. It sends all orders that are due to the agents and the next request to the Advisor, in the background.
func (c *Coordinator) PlanOnce(ctx context.Context) {
	orders, request := c.planOrders()
	for name, orders := range orders {
		c.spawn(func() { c.sendOrders(ctx, name, orders) })
	}
	if request != nil {
		c.spawn(func() { c.sendTicketRequest(ctx, *request) })
	}
	c.confirmForAgents(ctx)
}

// Tick opens due occurrences, removes lost VMs, stops runs on draining VMs and removes ended jobs and tombstones whose retention is over. It also logs the
// total load and requests a record of the interference model when these are due.
func (c *Coordinator) Tick() {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	s := &c.state
	if !s.owning {
		return
	}
	now, wallTime := c.Clock.Now(), c.WallClock.Now()
	for _, j := range s.jobs.LiveJobs() {
		s.jobs.OpenDueOccurrences(j, wallTime)
	}
	c.checkShortage(now)
	if now.Sub(s.loadLoggedAt) >= loadLogInterval {
		s.loadLoggedAt = now
		c.logLoad(now)
	}
	if s.interferenceModel.Updates() != s.recordedUpdates && now.Sub(s.modelRecordRequestedAt) >= modelRecordInterval {
		s.modelRecordRequestedAt, s.modelRecordDue = now, true
		c.Journal.Notify()
	}
	someRunsUnknown := false
	ownedAt := c.OwnedAt()
	maxLeaseTime := c.Leases.Grant + c.Leases.Run + c.Leases.Drift
	for name, v := range s.vms {
		maxSilence, lastContact := maxLeaseTime, v.lastReportAt
		if lastContact.IsZero() {
			// An earlier owner may have let the agent renew its leases for the time Contact after this epoch began.
			lastContact, maxSilence = s.takenOverAt, maxSilence+c.Leases.Contact
		}
		if len(v.runs) > 0 && !v.lastReportAt.IsZero() && !v.runsListed && !messenger.HasNoRuns(v.reportedState) {
			// Reports without a list of the runs renew no leases.
			lastContact = v.lastListedAt
		}
		if v.identifiedAt.After(lastContact) {
			lastContact = v.identifiedAt
		}
		if ownedAt.Sub(lastContact) > maxSilence {
			c.removeLostVM(name, v, now)
			continue
		}
		// An agent that was restarted may send reports before it knows the runs at its endpoint. Such a report does not list them, or says that a
		// row without a readable task may hide one. While results are missing, a task whose run has ended there seems to have no run.
		runsUnlisted := v.lastReportAt.IsZero() || (!v.runsListed || v.unknownRuns || v.resultsMissing) && !messenger.HasNoRuns(v.reportedState)
		someRunsUnknown = someRunsUnknown || runsUnlisted && ownedAt.Sub(s.takenOverAt) <= maxLeaseTime+c.Leases.Contact
		if v.reportedState == messenger.VMDraining {
			c.stopRunsToMove(v)
		}
	}
	if !s.runsKnown && !someRunsUnknown {
		s.runsKnown = true
		c.Log.Info().Uint64("epoch", s.epoch).Dur("after", now.Sub(s.takenOverAt)).Int("vms", len(s.vms)).Msg("all runs that earlier owners may have started are known")
	}
	c.makeDelayedRetries(now)
	endedBefore := wallTime.Add(-c.Limits.Retention - retentionMargin)
	c.removeOldTombstones(endedBefore)
	s.jobs.RemoveEnded(endedBefore, c.forgetJob)
	if len(s.removedKeys) > 0 {
		c.Journal.Notify()
	}
}

// forgetJob removes the records of an ended job and returns true, unless changes of the job are not recorded yet.
func (c *Coordinator) forgetJob(j *bookkeeper.Job) bool {
	s := &c.state
	if s.changes[j] != nil {
		return false
	}
	s.removedKeys = append(s.removedKeys, keyJob+j.ID, keyProgress+j.ID)
	for _, block := range j.StoredBlocks() {
		s.removedKeys = append(s.removedKeys, blockKey(j.ID, block))
	}
	delete(s.restoredJobs, j)
	delete(s.predecessorsJobs, j)
	delete(s.pendingStarts, j)
	return true
}

// removeLostVM removes a VM on which all leases have certainly expired, so that its tasks can run elsewhere.
func (c *Coordinator) removeLostVM(name string, v *vm, now time.Time) {
	c.Log.Warn().Str("vm", name).Time("heard", v.lastReportAt).Int("runs", len(v.runs)).Msg("VM lost: all its leases have expired")
	for _, x := range v.runs {
		c.finishRun(x, messenger.RunResult{Outcome: messenger.RunLeaseExpired, Task: x.taskName, Number: x.number}, "silence of the VM", now)
	}
	delete(c.state.vms, name)
	delete(c.state.vmsWithChangedRuns, name)
	c.state.interferenceModel.ForgetVM(name)
	c.state.changedVMs[name] = struct{}{}
	c.Journal.Notify()
}

// stopRunsToMove stops the runs of long-running tasks and of tasks with checkpoints on a draining VM, so that these tasks continue elsewhere.
// The other runs may end on the VM.
func (c *Coordinator) stopRunsToMove(v *vm) {
	for _, x := range v.runs {
		if x.needed && x.expectedInReports && !x.stopping && (x.task.Step.LongRunning || x.task.Step.Resumable) {
			x.stopping = true
		}
	}
	c.runsChanged(v)
}

// planOrders places waiting tasks. It returns the orders that are due, by the names of the VMs, and the next request to the Advisor unless it is nil.
func (c *Coordinator) planOrders() (map[string]messenger.Orders, *ticketRequest) {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	s := &c.state
	if !s.owning || !c.MayGrantLeases() {
		return nil, nil
	}
	now, confirmedAt := c.Clock.Now(), c.confirmedAt()
	c.updateEvacuations()
	c.withdrawStarts(now)
	request := c.nextTicketRequest(c.placeTasks(now), now)
	ordersByVM := map[string]messenger.Orders{}
	for name, v := range c.vmsToSearch(now) {
		o := messenger.Orders{Epoch: s.epoch, Owner: c.Address, Session: v.session, Incarnation: v.incarnation, ReportSentMS: v.reportSentMS}
		if v.lastReportAt.IsZero() {
			continue
		}
		o.OwnerConfirmed = v.refusesStarts(now) && confirmedAt.After(v.identifiedAt)
		if !v.addOrders(&o, now) {
			c.runsChanged(v)
			c.wakePlanner()
		}
		if len(o.Starts)+len(o.Stops)+len(o.Paces) > 0 {
			ordersByVM[name] = o
		}
	}
	c.addAnnouncements(ordersByVM, now)
	return ordersByVM, request
}

// vmsToSearch returns the VMs to search for due orders: those with changes since the last search, or from time to time all.
func (c *Coordinator) vmsToSearch(now time.Time) map[string]*vm {
	s := &c.state
	changed := s.vmsWithChangedRuns
	s.vmsWithChangedRuns = map[string]*vm{}
	if !s.ordersScannedAt.IsZero() && now.Sub(s.ordersScannedAt) < orderScanInterval {
		return changed
	}
	s.ordersScannedAt = now
	return s.vms
}

// runsChanged makes the next plan search the VM for due orders.
func (c *Coordinator) runsChanged(v *vm) { c.state.vmsWithChangedRuns[v.Name] = v }

// placeTasks places waiting tasks on VMs and adds a run for each of them. The starts of these runs are not sent yet. It returns the steps of advised
// queues that had waiting tasks.
func (c *Coordinator) placeTasks(now time.Time) []*bookkeeper.Step {
	s := &c.state
	steps, advisedSteps, queues := c.stepsToPlace(now)
	if len(steps)+len(advisedSteps) == 0 {
		return nil
	}
	vms, coordinatorVMs := c.dispatcherVMs(now)
	c.setExclusions(&s.dispatcher, coordinatorVMs, now)
	gangNumbers := map[*bookkeeper.Step]int{}
	for _, p := range s.dispatcher.Plan(now, c.WallClock.Now(), steps, queues, vms) {
		number := p.Task.NextRunNumber()
		if step := p.Task.Step; step.Gang {
			if gangNumbers[step] == 0 {
				gangNumbers[step] = nextGangRunNumber(step)
			}
			number = gangNumbers[step]
		}
		c.addRun(p, coordinatorVMs[p.VM], number, now)
	}
	c.logBegunRackWaits()
	return advisedSteps
}

// stepsToPlace returns the steps with waiting tasks that may start, all steps of advised queues with waiting tasks, and the configuration of the queues
// of the first ones.
func (c *Coordinator) stepsToPlace(now time.Time) (steps, advisedSteps []*bookkeeper.Step, queues map[string]dispatcher.Queue) {
	s := &c.state
	queues = map[string]dispatcher.Queue{}
	s.jobs.VisitReadySteps(func(step *bookkeeper.Step) {
		if _, restored := s.restoredJobs[step.Job]; restored && !s.runsKnown && !step.NotStartedByEarlierOwners() {
			return
		}
		if !slices.ContainsFunc(step.Tasks, (*bookkeeper.Task).IsWaiting) {
			return
		}
		q := c.queueOf(step.Job)
		if q.Advised {
			advisedSteps = append(advisedSteps, step)
			if !s.inquirer.HasTicket(stepName(step), now) && !c.keepsRoomWithoutTicket(step, now) {
				return
			}
		}
		queues[step.Job.Queue] = q.Queue
		steps = append(steps, step)
	})
	return steps, advisedSteps, queues
}

// setExclusions makes d leave out VMs for which a step of an advised queue has no ticket. coordinatorVMs contains all VMs that d gets.
func (c *Coordinator) setExclusions(d *dispatcher.Dispatcher, coordinatorVMs map[*dispatcher.VM]*vm, now time.Time) {
	d.Excludes = func(t *bookkeeper.Task, v *dispatcher.VM) bool {
		return c.queueOf(t.Step.Job).Advised && c.state.inquirer.Ticket(stepName(t.Step), coordinatorVMs[v].endpoint(), now) == ""
	}
	d.Forbids = func(step *bookkeeper.Step, v *dispatcher.VM) bool {
		return c.queueOf(step.Job).Advised && c.state.inquirer.Denied(stepName(step), coordinatorVMs[v].endpoint(), now)
	}
}

// dispatcherVMs updates for each VM whether tasks may start there, and returns all VMs for the dispatcher in the order of their names. The map
// contains the coordinator's vm for each of them.
func (c *Coordinator) dispatcherVMs(now time.Time) ([]*dispatcher.VM, map[*dispatcher.VM]*vm) {
	vms := make([]*dispatcher.VM, 0, len(c.state.vms))
	coordinatorVMs := make(map[*dispatcher.VM]*vm, len(c.state.vms))
	for _, v := range c.state.vms {
		c.updateSchedulable(&v.VM, v, now)
		vms = append(vms, &v.VM)
		coordinatorVMs[&v.VM] = v
	}
	slices.SortFunc(vms, func(x, y *dispatcher.VM) int { return cmp.Compare(x.Name, y.Name) })
	return vms, coordinatorVMs
}

// updateSchedulable updates d, which is the VM v or a copy of it, as to whether tasks may start there.
func (c *Coordinator) updateSchedulable(d *dispatcher.VM, v *vm, now time.Time) {
	usable := c.usable(v, now) && !v.awaitsConfirmation(now, c.confirmedAt())
	d.Schedulable, d.SchedulableSoon, d.Probing = usable && v.breaker.Allows(now), usable, v.breaker.Open()
	d.StartWindow, d.PendingStarts = v.startWindow.Window(), v.pendingStarts
	// The VM may accept starts again, so a starving task tries it again from time to time.
	d.StartsRefused = !v.startsRefusedAt.IsZero() && now.Sub(v.startsRefusedAt) < dispatcher.StarvationTime
}

// usable reports whether tasks may start on the VM now if its circuit breaker allows it.
func (c *Coordinator) usable(v *vm, now time.Time) bool {
	if !v.recordStored || v.lastReportAt.IsZero() || !v.runsListed || v.reportedState != messenger.VMUp || now.Sub(v.lastReportAt) > maxReportAge || v.listAge > maxListAge ||
		now.Before(v.unschedulableUntil) || v.Evacuated || c.state.evacuationsUnknown {
		return false
	}
	// If the job of a run is unknown, the resources that the run takes are unknown too.
	return !v.hasUnknownRuns
}

// nextGangRunNumber returns the number of the next runs of a gang, which is above those of all earlier runs of its tasks. The endpoints let only
// runs with the same number work together.
func nextGangRunNumber(s *bookkeeper.Step) int {
	number := 0
	for _, member := range s.Tasks {
		number = max(number, member.NextRunNumber())
	}
	return number
}

// addRun adds a run with the number for a placement.
func (c *Coordinator) addRun(p dispatcher.Placement, v *vm, number int, now time.Time) {
	t := p.Task
	waited := now.Sub(t.WaitingSince())
	c.Meter.Count("starts")
	c.state.jobs.RunOrdered(t, number)
	x := &run{
		taskName: t.ID().String(), task: t, vm: v, number: number, needed: true, knownSince: now,
		pace: pacer.FullPercent, confirmedPace: pacer.FullPercent, waited: waited, lostTime: waited, lostTimeAt: now, startedOverdue: p.Overdue,
		offRack: p.OffRack, startPending: true,
	}
	v.pendingStarts++
	if c.queueOf(t.Step.Job).Advised {
		x.ticketText = c.state.inquirer.Ticket(stepName(t.Step), v.endpoint(), now)
	}
	v.runs[x.taskName] = x
	c.runsChanged(v)
	v.breaker.Started(now)
	c.state.runs[t] = x
	c.startedForRack(p, v, now)
	entry := c.Log.Info().Str("task", x.taskName).Int("run", number).Str("vm", v.Name).Dur("report-age", now.Sub(v.lastReportAt)).
		Dur("waited", waited).Int64("serving", v.LongRunningProcessors()).Int64("filling", v.BestEffortProcessors()).
		Int64("reserved", v.Reserved().MilliProcessors).Float64("pace-share", p.PaceShare).Bool("overdue", p.Overdue).Bool("strained", v.TargetMissed)
	if t.Step.PreferredRack != "" || t.Step.SameRack {
		entry.Bool("off-rack", p.OffRack).Str("rack-reason", p.OffRackReason)
	}
	if w := p.RackWait; w != nil {
		entry.Str("rack", w.Rack).Dur("rack-waited", now.Sub(w.Since)).Dur("rack-expected", w.Decision.Expected)
	}
	entry.Msg("run placed on a VM")
}

// confirmRun records that a run certainly exists or has existed on its VM.
func (c *Coordinator) confirmRun(x *run) {
	x.vm.startEnded(x)
	if !x.needed || x.confirmed {
		return
	}
	x.confirmed, x.confirmedAt = true, c.Clock.Now()
	j := x.task.Step.Job
	if !j.HasStarted() && j.FirstDue.IsZero() {
		c.Meter.Observe("first-start", c.WallClock.Now().Sub(j.AcceptedAt))
	}
	c.state.jobs.JobStarted(j)
}

// sendOrders sends orders to the agent of the VM with the name and processes the response.
func (c *Coordinator) sendOrders(ctx context.Context, name string, o messenger.Orders) {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sentAt := c.Clock.Now()
	response, err := c.Agents.SendOrders(callCtx, name, o)
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	s := &c.state
	v, ok := s.vms[name]
	if !s.owning || s.epoch != o.Epoch || !ok {
		return
	}
	c.runsChanged(v)
	c.updateStartWindow(v, response, err, sentAt)
	if err != nil {
		c.Log.Warn().Err(err).Str("vm", name).Int("starts", len(o.Starts)).Int("stops", len(o.Stops)).Str("generation", v.agentGeneration).Msg("agent did not respond to orders")
		return
	}
	now := c.Clock.Now()
	if v.session != o.Session || v.incarnation != o.Incarnation {
		// The reports of the new agent or endpoint process decide about the runs.
		return
	}
	if !response.Accepted {
		c.Log.Warn().Str("vm", name).Str("reason", response.Reason).Uint64("epoch", response.Epoch).Msg("agent refused orders")
		v.unschedulableUntil = now.Add(refusalPause)
		for _, start := range o.Starts {
			if x, ok := v.runs[start.Task]; ok && x.number == start.Number && !x.expectedInReports {
				c.handleRefusal(x, response.Reason, now)
			}
		}
		return
	}
	for _, outcome := range response.Starts {
		x, ok := v.runs[outcome.Task]
		if !ok || x.number != outcome.Number {
			continue
		}
		switch outcome.Outcome {
		case messenger.StartDone:
			x.expectedInReports, x.visibleFrom = true, response.Sequence
			v.startsRefusedAt = time.Time{}
			c.confirmRun(x)
		case messenger.StartRefused:
			v.unschedulableUntil = now.Add(refusalPause)
			c.handleRefusal(x, outcome.Reason, now)
		default:
			c.Log.Warn().Str("task", x.taskName).Int("run", x.number).Str("vm", name).Str("reason", outcome.Reason).Msg("agent does not know whether the run was started")
		}
	}
	for _, stop := range o.Stops {
		if x, ok := v.runs[stop.Task]; ok && x.number == stop.Number {
			x.expectedInReports, x.visibleFrom = true, response.Sequence
		}
	}
	for _, stop := range response.Stopped {
		if x, ok := v.runs[stop.Task]; ok && x.number == stop.Number && x.stopConfirmedAt.IsZero() {
			x.stopConfirmedAt = now
		}
	}
	for _, p := range o.Paces {
		if x, ok := v.runs[p.Task]; ok && x.number == p.Number && !slices.Contains(response.UnsetPaces, p) {
			x.confirmedPace = p.Percent
		}
	}
	c.wakePlanner()
}

// handleRefusal processes the refusal of one copy of a run's start. If no other copy was sent, the run certainly does not exist, and its task
// waits again. Otherwise an earlier copy may have started the run or may still do so. The run is then stopped, unless a report lists it
// before: the stop keeps all copies from taking effect later, so that the next report shows whether the run exists.
func (c *Coordinator) handleRefusal(x *run, reason string, now time.Time) {
	if reason != messenger.ReasonEvacuated {
		// After the withdrawal, the VM accepts starts like any other.
		x.vm.startsRefusedAt = now
	}
	c.Meter.Count("starts-refused")
	c.Log.Info().Str("task", x.taskName).Int("run", x.number).Str("vm", x.vm.Name).Str("reason", reason).Int("sent", x.startsSent).
		Str("generation", x.vm.agentGeneration).Msg("agent refused to start a run")
	if x.startsSent == 1 {
		c.finishRun(x, messenger.RunResult{Outcome: messenger.RunLost, Task: x.taskName, Number: x.number}, "refusal", now)
		return
	}
	if !x.stopping {
		x.stopping, x.settling, x.stopSentAt = true, true, now
	}
}

// wakeChannel returns the channel that makes Run plan soon.
func (c *Coordinator) wakeChannel() chan struct{} {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	return c.wakeChannelLocked()
}

// wakeChannelLocked returns the channel that makes Run plan soon. The caller must hold the mutex.
func (c *Coordinator) wakeChannelLocked() chan struct{} {
	if c.state.wake == nil {
		c.state.wake = make(chan struct{}, 1)
	}
	return c.state.wake
}

// wakePlanner makes Run plan soon. The caller must hold the mutex.
func (c *Coordinator) wakePlanner() {
	select {
	case c.wakeChannelLocked() <- struct{}{}:
	default:
	}
}

// spawn runs f in the background.
func (c *Coordinator) spawn(f func()) {
	if c.Spawn != nil {
		c.Spawn(f)
		return
	}
	go f()
}
