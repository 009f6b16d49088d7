package attendant

import (
	"context"
	"math"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"bamboohook/internal/fleet/messenger"
)

const (
	// reportInterval is the maximum time between two reports, unless the owner asks for a longer one of up to maxReportInterval.
	reportInterval    = 400 * time.Millisecond
	maxReportInterval = time.Second
	// reportTimeout bounds the wait for the owner's response. After it the agent sends its next report to another entry.
	reportTimeout = 600 * time.Millisecond
	// surveyTimeout bounds the wait for the responses of all entries when the agent starts. An entry that is frozen or cut off delays the agent
	// by that time.
	surveyTimeout = 300 * time.Millisecond
	// surveyPatience is how long the agent waits for the responses of all entries before it reports to the owner that the others have named. Most
	// entries respond within it.
	surveyPatience = 100 * time.Millisecond
	// unawareOwnerTimeout is how long an owner that has a successor may not be aware of it. It is the time for which owners permit agents to
	// renew leases without contact to the store.
	unawareOwnerTimeout = 2 * time.Second
	// maxSurveyed is the maximum number of entries that a new agent process asks for the owner. In a larger installation it can't rule out that
	// another entry knows of a later owner.
	maxSurveyed = 12
	// ownerRetryPause is the time between two reports while no owner accepts them. While none is known, it doubles with each round of reports to all known
	// entries, up to maxOwnerRetryPause: the reports of hundreds of agents without an owner would take all processor time of thin entries, also that
	// of the election. A new owner calls all agents, so few wait for their next report.
	ownerRetryPause    = 60 * time.Millisecond
	maxOwnerRetryPause = 480 * time.Millisecond
	// maxOwnerRetryDoublings is the number of doublings after which ownerRetryPause has reached maxOwnerRetryPause.
	maxOwnerRetryDoublings = 3
	// A fencing token consists of the epoch, the session and a counter, from the highest bits to the lowest. So the tokens of an agent process
	// are above those of all earlier processes of its VM. The epoch may have 28 bits. Up to 17 bits the tokens are below 2^53, so that they are
	// exact also for programs that read JSON numbers as floats.
	sessionBits = 24
	counterBits = 12
	// meterEvacuated is the name of the meter's value that is 1 while the data centre is evacuated.
	meterEvacuated = "evacuated"
)

// Run polls the endpoint for its runs and sends reports about them to the owner until ctx is done and its list requests have ended.
func (a *Attendant) Run(ctx context.Context) error {
	a.initialize()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { a.listLoop(ctx); return nil })
	group.Go(func() error { a.requestedListLoop(ctx); return nil })
	group.Go(func() error { a.reportLoop(ctx); return nil })
	err := group.Wait()
	a.listCalls.Wait()
	return err
}

// HandleHeartbeat stores a heartbeat of the endpoint. It ignores heartbeats of an earlier endpoint process and those that arrive after a
// later heartbeat of the same process. A heartbeat of the process that lists the runs is not ignored because of one of another process.
func (a *Attendant) HandleHeartbeat(h Heartbeat) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	previous := a.heartbeat
	if h.Incarnation < previous.Incarnation && h.Incarnation != a.incarnation || h.Incarnation == previous.Incarnation && h.Sequence <= previous.Sequence {
		return
	}
	a.heartbeat = h
	if h.Incarnation != previous.Incarnation {
		a.deregistered, a.rejectedToken = false, 0
	}
	if h.Draining != previous.Draining || h.EndpointID != previous.EndpointID || h.Incarnation != previous.Incarnation {
		a.Log.Info().Str("endpoint", h.EndpointID).Int64("life", h.Incarnation).Bool("draining", h.Draining).Dur("remaining", h.RemainingTime).
			Int64("sequence", h.Sequence).Msg("endpoint state changed")
		a.requestReport()
	}
}

// HandleDeregistration handles the notice that the endpoint with the ID is shutting down. It ignores the notice of another endpoint than
// the one that sent the last heartbeat.
func (a *Attendant) HandleDeregistration(id string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.heartbeat.EndpointID == id {
		a.deregistered = true
		a.Log.Info().Str("endpoint", id).Msg("endpoint has announced its shutdown")
		a.requestReport()
	}
}

// initialize sets the initial state, unless it has been called before.
func (a *Attendant) initialize() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.reportRequests == nil {
		a.startedAt, a.generation = a.Clock.Now(), a.Generation
		a.lastResponseAt, a.lastLeaseAt = a.startedAt, a.startedAt
		a.reportRequests, a.listRequests = make(chan struct{}, 1), make(chan struct{}, 1)
		a.listEnded = make(chan struct{})
		a.runs, a.highestStopped = map[string]*run{}, map[string]int{}
		a.callQueue = newCallQueue()
		a.fencingToken, a.decisiveToken = 1, math.MaxUint64
		a.Meter.Set(meterEvacuated, 0)
		a.Log.Info().Str("generation", a.Generation).Uint64("token", a.fencingToken).Msg("agent process begins to list runs")
	}
}

// requestReport makes reportLoop send a report at once instead of after reportInterval. The caller holds the mutex.
func (a *Attendant) requestReport() {
	if a.reportRequests == nil {
		return
	}
	select {
	case a.reportRequests <- struct{}{}:
	default:
	}
}

// requestList makes requestedListLoop send a list request at once. The caller holds the mutex.
func (a *Attendant) requestList() {
	select {
	case a.listRequests <- struct{}{}:
	default:
	}
}

// reportLoop sends reports to the owner, one at a time, until ctx is done. It looks for the owner while none accepts the reports.
func (a *Attendant) reportLoop(ctx context.Context) {
	ended := make(chan struct{})
	a.refuseStartsAtFirst()
	go func() {
		defer close(ended)
		if a.surveyEntries(ctx) {
			a.mutex.Lock()
			defer a.mutex.Unlock()
			a.acceptStarts("all-entries")
		}
	}()
	defer func() { <-ended }()
	a.awaitSurvey(ctx, ended)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for failures := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-a.reportRequests:
		case <-timer.C:
		}
		target := a.reportTarget(failures)
		if a.report(ctx, target) {
			failures = 0
			timer.Reset(max(reportInterval, a.requestedInterval()))
			continue
		}
		failures++
		// This many failed reports in a row usually include one to the owner and one to each seed.
		if failures%(len(a.Seeds)+2) == 0 {
			a.discoverEntries(ctx)
		}
		timer.Reset(a.retryPause(failures))
	}
}

// retryPause returns the time until the next report after a number of reports in a row that no owner has accepted.
func (a *Attendant) retryPause(failures int) time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.owner != "" {
		return ownerRetryPause
	}
	rounds := failures / max(1, len(a.Seeds)+len(a.entries))
	return min(ownerRetryPause<<min(rounds, maxOwnerRetryDoublings), maxOwnerRetryPause)
}

// requestedInterval returns the shortest time between two reports without results that the owner has asked for.
func (a *Attendant) requestedInterval() time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.ownerReportInterval
}

// awaitSurvey waits until the survey has ended, or until surveyPatience is over and an owner is known.
func (a *Attendant) awaitSurvey(ctx context.Context, ended <-chan struct{}) {
	timer := time.NewTimer(surveyPatience)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-ended:
		return
	case <-timer.C:
	}
	for !a.ownerKnown() {
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case <-a.reportRequests:
		}
	}
}

// ownerKnown reports whether the address of the owner is known.
func (a *Attendant) ownerKnown() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.owner != ""
}

// surveyEntries sends a report to each known entry, or to maxSurveyed of them, and stores the owner with the highest epoch in the responses. A new
// agent process knows no epoch. Without the survey it could obey a former owner that is not aware of its successor yet, although the previous
// process had reported to the successor. It returns whether all entries have responded. Otherwise an entry that does not respond or was not asked may be
// the successor, and the agent refuses starts until no former owner can be unaware of it, or until the owner was confirmed.
func (a *Attendant) surveyEntries(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	asked := map[string]struct{}{}
	entries, entryCount := a.Seeds, 0
	var silent atomic.Bool
	for len(entries) > 0 && len(asked) < maxSurveyed && ctx.Err() == nil {
		var (
			group sync.WaitGroup
			mutex sync.Mutex
			found []string
		)
		for _, entry := range entries {
			if _, ok := asked[entry]; ok || len(asked) == maxSurveyed {
				continue
			}
			asked[entry] = struct{}{}
			group.Go(func() {
				r, _ := a.composeReport()
				response, err := a.Reporter.SendReport(ctx, entry, r)
				if err != nil {
					a.Log.Info().Err(err).Str("entry", entry).Msg("entry has not told the new agent process of an owner")
					// A partition may refuse the connection in place of the entry.
					silent.Store(true)
					return
				}
				a.mutex.Lock()
				a.observeOwner(response.Epoch, response.Owner)
				if a.owner != "" {
					a.requestReport()
				}
				a.mutex.Unlock()
				mutex.Lock()
				found, entryCount = append(found, response.Entries...), max(entryCount, response.EntryCount)
				mutex.Unlock()
			})
		}
		group.Wait()
		entries = slices.DeleteFunc(found, func(entry string) bool { _, ok := asked[entry]; return ok })
	}
	return !silent.Load() && len(entries) == 0 && entryCount <= len(asked)
}

// refuseStartsAtFirst makes a new agent process refuse starts until no former owner can be unaware of its successor.
func (a *Attendant) refuseStartsAtFirst() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.startsRefusedUntil = a.startedAt.Add(unawareOwnerTimeout)
}

// acceptStarts ends the refusal of starts, because the previous agent process cannot have known a higher epoch than the current one: all entries have told
// their epochs, or the owner had no successor after that process had ended. So the refusal has no reason for later epochs either. source says, for the log,
// what shows that. The caller holds the mutex.
func (a *Attendant) acceptStarts(source string) {
	remaining := a.startsRefusedUntil.Sub(a.Clock.Now())
	if remaining <= 0 {
		return
	}
	a.startsRefusedUntil = time.Time{}
	a.Meter.Count("refusals-ended-" + source)
	a.Log.Info().Uint64("epoch", a.epoch).Uint64("session", a.session).Str("source", source).Dur("remaining", remaining).
		Msg("starts are accepted: the previous agent process cannot have reported to a later owner")
	if !a.reportedAt.IsZero() {
		// The owner has been told of the refusal.
		a.requestReport()
	}
}

// reportTarget returns the address for the next report. It is that of the owner or, while no owner is known, that of each known entry in
// turn. failures is the number of reports that have failed in a row.
func (a *Attendant) reportTarget(failures int) string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.owner != "" {
		return a.owner
	}
	candidates := append(append([]string{}, a.Seeds...), a.entries...)
	if len(candidates) == 0 {
		return ""
	}
	return candidates[failures%len(candidates)]
}

// report sends one report to the target. It returns whether the target has responded as the owner of the highest known epoch.
func (a *Attendant) report(ctx context.Context, target string) bool {
	if target == "" {
		return false
	}
	r, sentAt := a.composeReport()
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	a.mutex.Lock()
	a.cancelReport, a.reportedAt = cancel, sentAt
	a.mutex.Unlock()
	response, err := a.Reporter.SendReport(callCtx, target, r)
	a.Meter.Observe("report", a.Clock.Now().Sub(sentAt))
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.cancelReport = nil
	if err != nil {
		if a.owner == target {
			a.Log.Warn().Err(err).Str("entry", target).Uint64("epoch", a.epoch).Msg("report to the owner failed")
			a.owner = ""
		}
		return false
	}
	a.entries = response.Entries
	a.observeOwner(response.Epoch, response.Owner)
	if response.Epoch < a.epoch || response.Owner != target {
		return false
	}
	a.updateSession(response, r)
	a.updateEvacuated(response, target)
	if response.OwnerConfirmed && response.Session != 0 && response.Session == a.session {
		a.acceptStarts("report-response")
	}
	a.ownerReportInterval = min(response.ReportInterval, maxReportInterval)
	if response.Granted {
		if until := sentAt.Add(a.LeaseDurations.Grant); until.After(a.grantedUntil) {
			a.grantedUntil = until
		}
	}
	if response.Incarnation == a.incarnation {
		a.removeRecordedResults(response.RecordedSequence)
	}
	return true
}

// composeReport returns a report and the current time. It contains no runs while this process has no number. A grant in the response counts from that time.
func (a *Attendant) composeReport() (messenger.Report, time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now, h := a.Clock.Now(), a.heartbeat
	a.reportSequence++
	r := messenger.Report{
		VM: a.Address, Generation: a.generation, Sequence: a.reportSequence, Epoch: a.epoch, Session: a.session, SentMS: a.millisSinceProcessStart(now), Incarnation: a.incarnation,
		State: messenger.VMUnknown, Listed: a.listed, Results: a.pendingResults[:len(a.pendingResults):len(a.pendingResults)],
		UnreadableTasks: a.unreadableTasks, UnnamedRuns: a.unnamedRuns, UnknownRuns: a.listed && !a.allRunsKnown,
		ResultsMissing: a.listed && a.resultsMissing, Evacuated: a.evacuated,
	}
	if a.session == 0 {
		// An owner only numbers the process in response to such a report. After the end of an owner all agents send one at the same time.
		r.Listed, r.Results, r.UnreadableTasks = false, nil, nil
		return r, now
	}
	if refusedFor := a.startsRefusedUntil.Sub(now); refusedFor > 0 {
		r.StartsRefusedFor = refusedFor
	}
	if a.listed {
		r.ListAge = now.Sub(a.lastResponseAt).Truncate(time.Millisecond)
	}
	if h.Incarnation == a.incarnation && a.incarnation != 0 {
		r.EndpointID, r.Service, r.DataCentre, r.Rack, r.Labels, r.Capacity = h.EndpointID, h.Service, h.DataCentre, h.Rack, h.Labels, h.Capacity
		r.State = messenger.VMUp
		if h.Draining || a.deregistered {
			r.State, r.RemainingTime = messenger.VMDraining, h.RemainingTime
		}
	}
	if a.DataCentre != r.DataCentre {
		r.AgentDataCentre = a.DataCentre
	}
	if a.refusedConnections >= maxRefusedConnections {
		r.State = messenger.VMNotListening
	} else if a.silent {
		r.State = messenger.VMSilent
	}
	for _, x := range a.runs {
		reported := x.Run
		reported.Unconfirmed, reported.StartUnanswered = x.phase != phaseRunning, x.startUnanswered
		reported.Unlisted = x.unlisted && a.unnamedRuns
		r.Runs = append(r.Runs, reported)
	}
	if removed := r.LimitCheckpoints(); removed > 0 {
		a.Meter.Count("checkpoints-not-reported")
		a.Log.Warn().Int("checkpoints", removed).Int("runs", len(r.Runs)).Int("results", len(r.Results)).Msg("report without some checkpoints, which would make it too large")
	}
	return r, now
}

// observeOwner stores the epoch and the address of its owner, unless a higher epoch is known. The caller holds the mutex.
func (a *Attendant) observeOwner(epoch uint64, owner string) {
	if epoch < a.epoch || owner == "" || epoch == a.epoch && owner == a.owner {
		return
	}
	if epoch > messenger.MaxEpoch {
		a.Log.Warn().Uint64("epoch", epoch).Str("owner", owner).Msg("ignored an epoch out of range")
		return
	}
	a.Log.Info().Uint64("epoch", epoch).Str("owner", owner).Uint64("before", a.epoch).Msg("new owner of the jobs observed")
	if epoch > a.epoch {
		a.session = 0
	}
	a.epoch, a.owner = epoch, owner
	if a.cancelReport != nil {
		// The report in progress may be waiting for a response of the previous owner. After its cancellation, the next one goes to
		// the new owner.
		a.cancelReport()
	}
}

// updateSession stores the number that the owner has given to this agent process in response to the report r. If a later process of the VM
// has received a number, this process acts like a new one. The caller holds the mutex.
func (a *Attendant) updateSession(response messenger.ReportResponse, r messenger.Report) {
	switch {
	case response.Outdated && r.Epoch == a.epoch && r.Session == a.session:
		a.renewGeneration("a later agent process of the VM is known")
	case response.Session != 0 && response.Session != a.session && r.Generation == a.generation:
		a.session = response.Session
		a.fencingToken = max(a.fencingToken+1, a.epoch<<(sessionBits+counterBits)|a.session<<counterBits)
		// The endpoint must have received a token of this epoch before the runs count as listed. Otherwise, if this process ended, its successor
		// could still execute starts for the owner of an earlier epoch.
		a.listed, a.decisiveToken = false, a.fencingToken
		a.Log.Info().Uint64("epoch", a.epoch).Uint64("session", a.session).Uint64("token", a.fencingToken).Msg("the owner has numbered this agent process")
		a.requestList()
	}
}

// updateEvacuated stores whether the data centre is evacuated. A copy of a start that is under way when the evacuation begins gets no successor, and the next
// call carries a higher fencing token, so that the endpoint does not execute the copy after that. The caller holds the mutex.
func (a *Attendant) updateEvacuated(response messenger.ReportResponse, owner string) {
	if response.Evacuated == a.evacuated {
		return
	}
	a.evacuated = response.Evacuated
	message, counter, value := "evacuation of the data centre ends", "evacuations-ended", int64(0)
	if a.evacuated {
		message, counter, value = "evacuation of the data centre begins", "evacuations-begun", 1
		if a.startsInProgress > 0 {
			a.raiseToken()
			a.requestList()
		}
	}
	a.Meter.Count(counter)
	a.Meter.Set(meterEvacuated, value)
	a.Log.Info().Str("data-centre", a.heartbeat.DataCentre).Str("from", owner).Uint64("epoch", response.Epoch).Dur("age", a.Clock.Now().Sub(a.reportedAt)).
		Int("starts-in-progress", a.startsInProgress).Int("runs", len(a.runs)).Msg(message)
}

// renewGeneration makes this process act like a new agent process: it requests a new number from the owner, and counts the runs as unlisted
// until the endpoint has listed them under the token of that number. The caller holds the mutex.
func (a *Attendant) renewGeneration(reason string) {
	a.renewals++
	a.generation = a.Generation + "-" + strconv.Itoa(a.renewals)
	a.session, a.listed, a.allRunsKnown, a.decisiveToken = 0, false, false, math.MaxUint64
	a.Log.Warn().Str("generation", a.generation).Str("reason", reason).Msg("agent process requests a new number from the owner")
	a.requestReport()
}

// raiseToken raises the fencing token, so that the endpoint does not execute earlier calls after it has received the next list request. The
// caller holds the mutex.
func (a *Attendant) raiseToken() {
	a.fencingToken++
	if a.session != 0 && a.fencingToken>>counterBits != a.epoch<<sessionBits|a.session {
		a.renewGeneration("the tokens of the number are used up")
	}
}

// discoverEntries calls DiscoverEntries in the background, because the call may take longer than the interval between two reports.
func (a *Attendant) discoverEntries(ctx context.Context) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.DiscoverEntries == nil || a.discovering {
		return
	}
	a.discovering = true
	go func() {
		entries := a.DiscoverEntries(ctx)
		a.mutex.Lock()
		defer a.mutex.Unlock()
		a.discovering = false
		if len(entries) > 0 {
			a.entries = entries
		}
	}()
}

// removeRecordedResults deletes the run results up to the sequence number that the owner has recorded. The caller holds the mutex.
func (a *Attendant) removeRecordedResults(recorded int64) {
	if recorded <= a.recordedSequence {
		return
	}
	if a.recordedSequence <= a.acknowledgedSequence {
		a.acknowledgementDueSince = a.Clock.Now()
	}
	a.recordedSequence = recorded
	unrecordedResults := a.pendingResults[:0:0]
	for _, r := range a.pendingResults {
		if r.Sequence > recorded {
			unrecordedResults = append(unrecordedResults, r)
		}
	}
	a.pendingResults = unrecordedResults
}

func (a *Attendant) millisSinceProcessStart(now time.Time) int64 {
	return now.Sub(a.startedAt).Milliseconds()
}
