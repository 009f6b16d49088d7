package coordinator

import (
	"slices"
	"time"

	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/dispatcher"
	"bamboohook/internal/batch/job"
	"bamboohook/internal/batch/pacer"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/windower"
)

const (
	// maxReportAge is the age of the last report above which no task starts on a VM. Agents send a report at least every half second, or after
	// maxReportInterval if the fleet is large.
	maxReportAge = 1200 * time.Millisecond
	// reportSpacing is the mean time between two reports without results that the owner receives at most, so that its processor time for them
	// does not grow with the number of VMs. Each VM must report once within maxReportInterval, which leaves time for a second report until the
	// age of the first one reaches maxReportAge.
	reportSpacing     = 2500 * time.Microsecond
	maxReportInterval = 600 * time.Millisecond
	// maxListAge is the age of the list of runs in the last report above which no task starts on a VM, because its endpoint may not respond. An endpoint
	// may delay a list for half a second, and one lost response costs little more than that.
	maxListAge = 1200 * time.Millisecond
	// maxUnlistedTime is how long a row without a readable task may hide a run before the run is stopped. A row that is odd for a moment stops
	// nothing.
	maxUnlistedTime = 2 * time.Second
)

// Report processes the report of an agent. The response says up to which sequence number run results are recorded, whether the agent may
// renew leases, and whether its data centre is evacuated. The caller of Report must set the addresses of the owner and of all entries in the response.
func (c *Coordinator) Report(r messenger.Report) messenger.ReportResponse {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	s := &c.state
	if !s.owning || r.Epoch > s.epoch {
		return messenger.ReportResponse{Epoch: s.epoch}
	}
	c.updateEvacuations()
	response := c.processReport(r)
	response.Evacuated = c.evacuatedIn(r)
	return response
}

// processReport processes the report of an agent to the owner. The caller holds the mutex.
func (c *Coordinator) processReport(r messenger.Report) messenger.ReportResponse {
	s := &c.state
	granted := c.MayGrantLeases()
	v, ok := s.vms[r.VM]
	if !ok {
		v = c.newVM(r.VM)
		s.vms[r.VM] = v
	}
	if r.Epoch < s.epoch || r.Session == 0 || r.Session != v.session {
		return c.identifyAgent(v, r)
	}
	response := messenger.ReportResponse{
		Epoch: s.epoch, Session: v.session, Granted: granted, Incarnation: r.Incarnation, RecordedSequence: v.recordedSequenceFor(r.Incarnation),
		ReportInterval: min(time.Duration(len(s.vms))*reportSpacing, maxReportInterval),
	}
	if r.Sequence <= v.reportSequence {
		return response
	}
	now := c.Clock.Now()
	c.updateVM(v, r, now)
	if r.Listed {
		c.processResults(v, r, now)
	}
	if r.Listed || messenger.HasNoRuns(r.State) {
		c.reconcileRuns(v, r, now)
	}
	c.updateMayHaveRuns(v)
	c.updatePaces(v, now)
	c.runsChanged(v)
	response.RecordedSequence = v.recordedSequenceFor(r.Incarnation)
	response.OwnerConfirmed = v.refusesStarts(now) && c.confirmedAt().After(v.identifiedAt)
	// Before the VM's runs are known, a grant could let them go on beyond the time after which their tasks start elsewhere. An agent renews no lease before
	// it has a list, and the time after which its VM counts as lost begins with the last report that has one.
	response.Granted = granted && r.Listed && (!r.UnknownRuns || s.runsKnown)
	c.wakePlanner()
	return response
}

// identifyAgent responds to a report whose sender has not proved that it is the current agent process of the VM. Such a report is not processed:
// it may have been composed before the agent heard of this epoch, or by an earlier agent process, and its runs may then be outdated. A process
// without a number gets the next one, which is above those of all earlier processes. A process with an outdated number gets none.
func (c *Coordinator) identifyAgent(v *vm, r messenger.Report) messenger.ReportResponse {
	s := &c.state
	response := messenger.ReportResponse{Epoch: s.epoch}
	if r.Epoch == s.epoch && r.Session != 0 {
		c.Log.Warn().Str("vm", v.Name).Str("generation", r.Generation).Uint64("session", r.Session).Uint64("current", v.session).
			Msg("ignored the report of an earlier agent process")
		response.Outdated = true
		return response
	}
	if r.Generation != v.agentGeneration {
		now := c.Clock.Now()
		s.lastSession++
		c.Log.Info().Str("vm", v.Name).Str("generation", r.Generation).Str("before", v.agentGeneration).Uint64("report", r.Sequence).
			Uint64("agent-epoch", r.Epoch).Uint64("session", s.lastSession).Int("runs", len(v.runs)).Msg("first report of an agent process")
		// The first complete list of the new process shows which of the sent starts have reached the endpoint, including those to which the
		// previous agent process did not respond. No pace is confirmed, so that the owner sends each of them again, also 0: the previous process may
		// have ended before it had sent that one.
		for _, x := range v.runs {
			x.mayReachNextProcess = x.mayReachNextProcess || !x.expectedInReports
			x.expectedInReports, x.visibleFrom, x.confirmedPace = true, 0, unconfirmedPace
		}
		v.agentGeneration, v.session, v.identifiedAt = r.Generation, s.lastSession, now
		v.reportSequence, v.runsListed = 0, false
	}
	response.Session = v.session
	return response
}

// newVM returns a VM without runs.
func (c *Coordinator) newVM(name string) *vm {
	return &vm{
		VM: dispatcher.VM{Name: name, Evacuated: c.state.evacuations.Forbids("")}, runs: map[string]*run{}, unrecordedSequences: map[int64]struct{}{},
		pacer:       pacer.Pacer{MissTolerance: c.Limits.MissTolerance},
		startWindow: windower.Windower{Least: leastStartWindow, Most: maxOrdersPerMessage, Initial: initialStartWindow},
	}
}

// updateVM updates the VM from a report, except for its runs.
func (c *Coordinator) updateVM(v *vm, r messenger.Report, now time.Time) {
	if v.incarnation != 0 && r.Incarnation != 0 && r.Incarnation != v.incarnation {
		c.Log.Info().Str("vm", v.Name).Int64("life", r.Incarnation).Int64("before", v.incarnation).Msg("endpoint process was replaced")
		for _, x := range v.runs {
			// A start that was sent before may have reached the new process. Its first complete list of runs then contains the run. All other
			// runs have ended.
			x.mayReachNextProcess = x.mayReachNextProcess || !x.expectedInReports
			x.expectedInReports, x.visibleFrom, x.confirmedPace = true, 0, pacer.FullPercent
			x.stopConfirmedAt, x.unlistedSince = time.Time{}, time.Time{}
		}
		v.processedSequence, v.recordedSequence, v.unrecordedSequences = 0, 0, map[int64]struct{}{}
		// The recent failures were those of the previous process.
		v.breaker.Succeeded()
	}
	if r.Incarnation != 0 {
		v.incarnation = r.Incarnation
	}
	if v.reportedState != r.State || v.lastReportAt.IsZero() || v.runsListed != r.Listed {
		c.Log.Info().Str("vm", v.Name).Str("state", r.State).Str("before", v.reportedState).Bool("listed", r.Listed).Int64("life", r.Incarnation).
			Dur("starts-refused-for", r.StartsRefusedFor).Int("runs", len(r.Runs)).Uint64("report", r.Sequence).Msg("new state of VM reported")
	}
	v.reportSequence, v.reportSentMS, v.lastReportAt = r.Sequence, r.SentMS, now
	if r.Listed || messenger.HasNoRuns(r.State) {
		v.lastListedAt = now
	}
	v.reportedState, v.runsListed, v.unknownRuns, v.remainingTime = r.State, r.Listed, r.UnknownRuns, r.RemainingTime
	v.listAge, v.resultsMissing = r.ListAge, r.ResultsMissing
	if r.DataCentre != "" {
		v.dataCentre = r.DataCentre
	}
	v.agentDataCentre = r.AgentDataCentre
	v.Evacuated = c.isEvacuated(v.dataCentre, v.agentDataCentre)
	v.startsRefusedUntil = time.Time{}
	if r.StartsRefusedFor > 0 {
		v.startsRefusedUntil = now.Add(r.StartsRefusedFor)
	}
	if r.EndpointID != "" {
		v.endpointID, v.Service, v.Rack, v.Labels, v.Capacity = r.EndpointID, r.Service, r.Rack, r.Labels, r.Capacity
	}
}

// updateMayHaveRuns updates whether the VM may have runs. If that has changed, it requests a record of the VM. A new owner only waits for the
// reports of VMs that may have runs.
func (c *Coordinator) updateMayHaveRuns(v *vm) {
	mayHaveRuns := !messenger.HasNoRuns(v.reportedState) || len(v.runs) > 0
	if mayHaveRuns == v.mayHaveRuns {
		return
	}
	v.mayHaveRuns = mayHaveRuns
	if !mayHaveRuns {
		// The record of the VM will be removed. No task starts on the VM until the store holds it again.
		v.recordStored = false
	}
	c.state.changedVMs[v.Name] = struct{}{}
	c.Journal.Notify()
}

// processResults processes the run results in the report that have not been processed before.
func (c *Coordinator) processResults(v *vm, r messenger.Report, now time.Time) {
	for _, result := range r.Results {
		if result.Sequence <= v.processedSequence {
			continue
		}
		v.processedSequence = result.Sequence
		v.unrecordedSequences[result.Sequence] = struct{}{}
		x, ok := v.runs[result.Task]
		if !ok || x.number != result.Number {
			x = c.adoptFinishedRun(v, result, now)
		}
		if x != nil {
			c.confirmRun(x)
			c.finishRun(x, result, "result", now)
		} else {
			c.Log.Info().Str("task", result.Task).Int("run", result.Number).Str("vm", v.Name).Str("how", result.Outcome).
				Msg("result of a run that is not the current one of its task")
			c.applyEarlierResult(v, result)
		}
		j := c.jobNeedingResults(result.Task)
		if j == nil {
			v.markRecorded(r.Incarnation, result.Sequence)
			continue
		}
		change := c.jobChanged(j)
		change.results = append(change.results, resultID{v, r.Incarnation, result.Sequence})
		c.Journal.Notify()
	}
}

// applyEarlierResult applies the result of a run on the VM that is not the current run of its task. A failure counts. A run that has completed the task
// makes the current run superfluous, which is then stopped. So are the current runs of the other tasks in a gang.
func (c *Coordinator) applyEarlierResult(v *vm, result messenger.RunResult) {
	id, ok := job.ParseTask(result.Task)
	if !ok {
		return
	}
	t := c.state.jobs.Task(id)
	if t == nil || t.IsDone() || !t.Step.Job.Live() {
		return
	}
	switch effectOf(t.Step, result.Outcome) {
	case effectRestart:
		return
	case effectFailure:
		c.state.jobs.RunFailed(t, result.Number, v.Name, c.queueOf(t.Step.Job).Attempts, c.WallClock.Now())
		c.Log.Info().Str("task", result.Task).Int("run", result.Number).Int("failures", t.Failures()).Msg("counted the failure of an earlier run of a task")
	case effectCompletion:
		c.state.jobs.TaskDone(t, c.WallClock.Now())
		c.Log.Info().Str("task", result.Task).Int("run", result.Number).Msg("an earlier run has completed a task")
		for _, member := range t.Step.Tasks {
			if x := c.state.runs[member]; x != nil && member.IsDone() {
				x.needed, x.stopping = false, true
				c.runsChanged(x.vm)
				delete(c.state.runs, member)
			}
		}
	}
	if !t.Step.Job.Live() {
		c.stopRunsOf(t.Step.Job)
	}
}

// jobNeedingResults returns the job of the task if the job is live or its end is not recorded yet, and nil otherwise. The next owner may need
// the run results of such a job, so the endpoint must not forget them before the progress of the job is recorded.
func (c *Coordinator) jobNeedingResults(task string) *bookkeeper.Job {
	id, ok := job.ParseTask(task)
	if !ok {
		return nil
	}
	j := c.state.jobs.Job(id.Job)
	if j == nil || !j.Live() && j.VisibleState() == j.State() {
		return nil
	}
	return j
}

// adoptFinishedRun adds a run that this owner did not know and that has already ended, so that finishRun can apply its result to the task. It
// returns nil if the result does not matter any more.
func (c *Coordinator) adoptFinishedRun(v *vm, result messenger.RunResult, now time.Time) *run {
	id, ok := job.ParseTask(result.Task)
	if !ok {
		return nil
	}
	t := c.state.jobs.Task(id)
	if t == nil || t.IsDone() || !t.Step.Job.Live() || c.state.runs[t] != nil {
		return nil
	}
	t.SkipRunNumbersTo(result.Number)
	v.Add(t)
	x := &run{taskName: result.Task, task: t, vm: v, number: result.Number, needed: true, expectedInReports: true, knownSince: now, pace: pacer.FullPercent, lostTimeAt: now}
	c.state.runs[t] = x
	return x
}

// reconcileRuns compares the runs in the report with the known runs of the VM. It adds unknown runs with adoptRun, and treats known runs that
// should be in the report but are missing there as lost. A report without all results says nothing about these: they may have ended.
func (c *Coordinator) reconcileRuns(v *vm, r messenger.Report, now time.Time) {
	listedRunNumbers := map[string]int{}
	for _, reported := range r.Runs {
		listedRunNumbers[reported.Task] = reported.Number
		x, ok := v.runs[reported.Task]
		if !ok || x.number != reported.Number {
			if ok && x.number > reported.Number {
				continue
			}
			if ok {
				c.finishRun(x, messenger.RunResult{Outcome: messenger.RunLost, Task: x.taskName, Number: x.number}, "later run in a report", now)
			}
			x = c.adoptRun(v, reported, now)
		}
		// While the start has no response, the agent may still refuse this copy of it. Another copy of the order may then start the run later.
		x.expectedInReports = x.expectedInReports || !reported.Unconfirmed || x.startsSent <= 1
		x.mayReachNextProcess = x.mayReachNextProcess || reported.StartUnanswered
		if !reported.Unconfirmed {
			c.confirmRun(x)
		}
		if x.settling && x.needed && x.stopsSent == 0 && !c.gangIsIncomplete(x) && !reported.Unconfirmed && !reported.Unlisted {
			x.stopping, x.settling = false, false
		}
		// A long-running task whose progress is 100 percent has finished its startup. It does not end, so this counts as a successful run.
		if x.task != nil && x.task.Step.LongRunning && reported.Progress >= pacer.FullPercent && x.lastReport.Progress < pacer.FullPercent {
			v.breaker.Succeeded()
		}
		x.lastReport = reported
		c.updateUnlisted(x, reported.Unlisted, now)
	}
	for name, x := range v.runs {
		if r.ResultsMissing && r.Listed {
			break
		}
		if r.State == messenger.VMSilent && x.startsSent > 0 && now.Sub(x.startSentAt) > c.Leases.Grant+c.Leases.Run+c.Leases.Drift {
			// Neither the agent, which refuses all orders now, nor the endpoint can carry out the start any more. The stop of the run would never be confirmed.
			x.expectedInReports, x.visibleFrom = true, 0
		}
		if x.mayReachNextProcess && (!r.Listed || messenger.HasNoRuns(r.State)) && now.Sub(x.startSentAt) <= c.Leases.Grant+c.Leases.Run+c.Leases.Drift {
			continue
		}
		if x.expectedInReports && r.Sequence >= x.visibleFrom && listedRunNumbers[name] != x.number && !slices.Contains(r.UnreadableTasks, name) {
			if r.UnnamedRuns && (x.stopConfirmedAt.IsZero() || now.Sub(x.stopConfirmedAt) < c.Limits.StopTimeout+c.Leases.Drift) {
				c.updateUnlisted(x, true, now)
				continue
			}
			c.finishRun(x, messenger.RunResult{Outcome: messenger.RunLost, Task: name, Number: x.number}, "missing in a report", now)
		}
	}
	v.hasUnknownRuns = false
	for _, x := range v.runs {
		v.hasUnknownRuns = v.hasUnknownRuns || x.task == nil
	}
}

// gangIsIncomplete reports whether the run belongs to a gang of which another run has ended or is being stopped.
func (c *Coordinator) gangIsIncomplete(x *run) bool {
	return x.task != nil && x.task.Step.Gang && slices.ContainsFunc(x.task.Step.Tasks, func(member *bookkeeper.Task) bool {
		other := c.state.runs[member]
		return other == nil || other.number != x.number || other != x && other.stopping && !other.settling
	})
}

// updateUnlisted records whether a row without a readable task may hide the run. If that lasts, it stops the run: once the endpoint has confirmed
// the stop and the time for stops is over, a report that lacks the run shows that the run has ended or was never started.
func (c *Coordinator) updateUnlisted(x *run, unlisted bool, now time.Time) {
	switch {
	case !unlisted:
		x.unlistedSince = time.Time{}
	case x.unlistedSince.IsZero():
		x.unlistedSince = now
	case !x.stopping && now.Sub(x.unlistedSince) > maxUnlistedTime:
		c.Log.Warn().Str("task", x.taskName).Int("run", x.number).Str("vm", x.vm.Name).Dur("unlisted", now.Sub(x.unlistedSince)).
			Msg("stopping a run that a row without a readable task may hide")
		x.stopping, x.settling = true, true
		c.runsChanged(x.vm)
	}
}

// adoptRun adds a reported run that this owner did not start, and stops the run if its task does not need it.
func (c *Coordinator) adoptRun(v *vm, reported messenger.Run, now time.Time) *run {
	x := &run{taskName: reported.Task, vm: v, number: reported.Number, expectedInReports: true, knownSince: now, startSentAt: now, pace: pacer.FullPercent, confirmedPace: unconfirmedPace, lostTimeAt: now}
	if id, ok := job.ParseTask(reported.Task); ok {
		x.task = c.state.jobs.Task(id)
	}
	if x.task != nil {
		x.task.SkipRunNumbersTo(reported.Number)
		v.Add(x.task)
		if x.task.Step.Job.Live() && !x.task.IsDone() && c.state.runs[x.task] == nil {
			x.needed = true
			c.state.runs[x.task] = x
			_, oneEarlierOwner := c.state.predecessorsJobs[x.task.Step.Job]
			c.state.jobs.RunFound(x.task, reported.Number, oneEarlierOwner && !reported.Unconfirmed)
		}
	}
	x.stopping = !x.needed
	v.runs[reported.Task] = x
	c.Log.Info().Str("task", reported.Task).Int("run", reported.Number).Str("vm", v.Name).Bool("needed", x.needed).
		Msg("found a run that this owner did not start")
	return x
}

// finishRun removes a run from its VM. If the run is needed, it also applies the result to the task. evidence says, for the log, from what the
// owner concluded that the run has ended or never existed.
func (c *Coordinator) finishRun(x *run, result messenger.RunResult, evidence string, now time.Time) {
	v := x.vm
	v.startEnded(x)
	if v.runs[x.taskName] == x {
		delete(v.runs, x.taskName)
	}
	if x.task == nil {
		return
	}
	v.Remove(x.task)
	c.state.interferenceModel.ForgetTask(x.taskName)
	if x.task.Step.LongRunning && !x.task.Step.Job.Live() {
		c.state.interferenceModel.ForgetGroup(stepName(x.task.Step), x.task.Step.Program)
	}
	wasNeeded := x.needed
	c.learnFromEnd(x, result, now)
	c.Meter.Count("ends-" + result.Outcome)
	if c.state.runs[x.task] == x {
		delete(c.state.runs, x.task)
	}
	c.Log.Info().Str("task", x.taskName).Int("run", x.number).Str("vm", v.Name).Str("how", result.Outcome).Bool("needed", wasNeeded).
		Bool("ordered", x.stopping).Str("evidence", evidence).Uint64("report", v.reportSequence).Int("sent", x.startsSent).Dur("after", now.Sub(x.knownSince)).
		Msg("run ended")
	if !wasNeeded {
		return
	}
	x.needed = false
	t, j := x.task, x.task.Step.Job
	if result.Outcome == messenger.RunFailed && v.breaker.Failed(j.ID, now) {
		c.Log.Warn().Str("vm", v.Name).Msg("circuit breaker opened: VM is out of use because runs of several jobs fail there")
	}
	checkpoint := result.Checkpoint
	if checkpoint == "" && result.Outcome != messenger.RunFailed {
		checkpoint = x.lastReport.Checkpoint
	}
	switch effectOf(t.Step, result.Outcome) {
	case effectCompletion:
		c.state.jobs.TaskDone(t, c.WallClock.Now())
		v.breaker.Succeeded()
	case effectFailure:
		c.state.jobs.SetCheckpoint(t, checkpoint)
		c.state.jobs.RunFailed(t, x.number, v.Name, c.queueOf(j).Attempts, c.WallClock.Now())
		c.state.jobs.WaitAgain(t, c.WallClock.Now(), x.timeToMakeUp(now))
	case effectRestart:
		c.state.jobs.SetCheckpoint(t, checkpoint)
		c.state.jobs.WaitAgain(t, c.WallClock.Now(), x.timeToMakeUp(now))
	}
	c.jobChanged(j)
	c.Journal.Notify()
	switch {
	case !j.Live():
		c.stopRunsOf(j)
	case t.Step.Gang && !t.IsDone():
		c.stopGang(x)
	}
}

// stopGang stops the other runs of the gang to which the ended run belongs. They cannot work without it, and would wait for it at their endpoints. The
// gang starts again when all of them have ended.
func (c *Coordinator) stopGang(ended *run) {
	for _, member := range ended.task.Step.Tasks {
		if x := c.state.runs[member]; x != nil && x.number == ended.number && !x.stopping {
			x.stopping = true
			c.runsChanged(x.vm)
			c.Log.Info().Str("task", x.taskName).Int("run", x.number).Str("vm", x.vm.Name).Str("because-of", ended.taskName).Msg("stopping a run of a gang")
		}
	}
	c.wakePlanner()
}

// stopRunsOf stops all runs of a job that has ended. Their results do not matter any more.
func (c *Coordinator) stopRunsOf(j *bookkeeper.Job) {
	for t, x := range c.state.runs {
		if t.Step.Job == j {
			x.needed, x.stopping = false, true
			c.runsChanged(x.vm)
			delete(c.state.runs, t)
		}
	}
}

// queueOf returns the current configuration of the job's queue. If the queue was removed, it returns the configuration with which a job of
// the queue was last accepted.
func (c *Coordinator) queueOf(j *bookkeeper.Job) Queue { return c.queueNamed(j.Queue) }

// queueNamed returns the configuration of the queue with the name, like queueOf.
func (c *Coordinator) queueNamed(name string) Queue {
	if q, ok := c.state.queues[name]; ok {
		return q
	}
	return c.state.acceptedQueues[name]
}

// recordedSequenceFor returns the sequence number up to which the endpoint process with the incarnation may forget its run results. It returns 0
// if the VM's last known endpoint process is another one.
func (v *vm) recordedSequenceFor(incarnation int64) int64 {
	if incarnation != v.incarnation {
		return 0
	}
	return v.recordedSequence
}

// markRecorded marks a run result as recorded, or as one that needs no record. It ignores results of an earlier endpoint process.
func (v *vm) markRecorded(incarnation, sequence int64) {
	if incarnation != v.incarnation {
		return
	}
	delete(v.unrecordedSequences, sequence)
	v.recordedSequence = v.processedSequence
	for unrecorded := range v.unrecordedSequences {
		v.recordedSequence = min(v.recordedSequence, unrecorded-1)
	}
}
