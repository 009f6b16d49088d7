package attendant

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"bamboohook/internal/fleet/messenger"
)

const (
	// reportInterval is the longest time between reports.
	reportInterval = 400 * time.Millisecond
	// reportTimeout bounds the wait for an owner's answer, after which another entry is tried.
	reportTimeout = 600 * time.Millisecond
	// searchPause is the time between attempts to find an owner.
	ownerRetryPause = 60 * time.Millisecond
	// epochTokens is the distance between the tokens of two epochs.
	tokensPerEpoch = 1000
)

// Run lists the endpoint and reports to the owner until ctx ends.
func (a *Attendant) Run(ctx context.Context) error {
	a.initialize()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { a.listLoop(ctx); return nil })
	group.Go(func() error { a.reportLoop(ctx); return nil })
	return group.Wait()
}

// Describe takes a heartbeat of the endpoint. One of an earlier process, or one that was overtaken, is ignored.
func (a *Attendant) HandleHeartbeat(h Heartbeat) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	previous := a.heartbeat
	if h.Incarnation < previous.Incarnation || h.Incarnation == previous.Incarnation && h.Sequence <= previous.Sequence {
		return
	}
	a.heartbeat = h
	if h.Incarnation != previous.Incarnation {
		a.deregistered = false
	}
	if h.Draining != previous.Draining || h.ID != previous.ID || h.Incarnation != previous.Incarnation {
		a.Log.Info().Str("endpoint", h.ID).Int64("life", h.Incarnation).Bool("draining", h.Draining).Dur("remaining", h.Remaining).
			Int64("sequence", h.Sequence).Msg("endpoint described itself")
		a.requestReport()
	}
}

// Leave takes the endpoint's word that it ends now.
func (a *Attendant) HandleDeregistration(id string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.heartbeat.ID == id {
		a.deregistered = true
		a.Log.Info().Str("endpoint", id).Msg("endpoint leaves")
		a.requestReport()
	}
}

func (a *Attendant) initialize() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.reportRequests == nil {
		a.started = a.Clock.Now()
		a.reportRequests = make(chan struct{}, 1)
		a.runs, a.stoppedNumbers = map[string]*run{}, map[string]int{}
		a.token = 1
	}
}

// kick makes a report go out soon. It requires the mutex.
func (a *Attendant) requestReport() {
	if a.reportRequests == nil {
		return
	}
	select {
	case a.reportRequests <- struct{}{}:
	default:
	}
}

// reportAll sends reports, one at a time.
func (a *Attendant) reportLoop(ctx context.Context) {
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
			timer.Reset(reportInterval)
			continue
		}
		failures++
		if failures%(len(a.Seeds)+2) == 0 {
			a.discoverEntries(ctx)
		}
		timer.Reset(ownerRetryPause)
	}
}

// target returns where to report: to the owner, or while none is known to each known entry in turn.
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

// report sends one report and reports whether an owner took it.
func (a *Attendant) report(ctx context.Context, target string) bool {
	if target == "" {
		return false
	}
	r, sentAt := a.composeReport()
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	a.mutex.Lock()
	a.cancelReport = cancel
	a.mutex.Unlock()
	response, err := a.Reporter.Report(callCtx, target, r)
	a.Meter.Observe("report", a.Clock.Now().Sub(sentAt))
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.cancelReport = nil
	if err != nil {
		if a.owner == target {
			a.Log.Warn().Err(err).Str("entry", target).Uint64("epoch", a.epoch).Msg("owner does not answer")
			a.owner = ""
		}
		return false
	}
	a.entries = response.Entries
	a.observeOwner(response.Epoch, response.Owner)
	if response.Epoch < a.epoch || response.Owner != target {
		return false
	}
	if response.Granted {
		if until := sentAt.Add(a.Leases.Grant); until.After(a.grantUntil) {
			a.grantUntil = until
		}
	}
	if response.Incarnation == a.incarnation {
		a.forgetResults(response.RecordedSequence)
	}
	return true
}

// compose returns a report and the time to count the grant from.
func (a *Attendant) composeReport() (messenger.Report, time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now, h := a.Clock.Now(), a.heartbeat
	a.sequence++
	r := messenger.Report{
		VM: a.Address, Generation: a.Generation, Sequence: a.sequence, Epoch: a.epoch, SentMS: a.millisSinceStart(now), Incarnation: a.incarnation,
		State: messenger.VMUnknown, Listed: a.listed, Results: a.results[:len(a.results):len(a.results)],
	}
	if h.Incarnation == a.incarnation && a.incarnation != 0 {
		r.Endpoint, r.Service, r.DataCentre, r.Rack, r.Labels, r.Capacity = h.ID, h.Service, h.DataCentre, h.Rack, h.Labels, h.Capacity
		r.State = messenger.VMUp
		if h.Draining || a.deregistered {
			r.State, r.Remaining = messenger.VMDraining, h.Remaining
		}
	}
	if a.refusedConnections >= maxRefusedConnections {
		r.State = messenger.VMNotListening
	}
	for _, x := range a.runs {
		r.Runs = append(r.Runs, x.Run)
	}
	return r, now
}

// observe takes over the highest epoch and its owner.
func (a *Attendant) observeOwner(epoch uint64, owner string) {
	if epoch < a.epoch || owner == "" || epoch == a.epoch && owner == a.owner {
		return
	}
	a.Log.Info().Uint64("epoch", epoch).Str("owner", owner).Uint64("before", a.epoch).Msg("owner known")
	if epoch > a.epoch {
		a.token = max(a.token+1, epoch*tokensPerEpoch)
	}
	a.epoch, a.owner = epoch, owner
	if a.cancelReport != nil {
		// The report under way may hang at the former owner.
		a.cancelReport()
	}
}

// search looks for further entries in the background, because that may take long.
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

// forget drops ends that are recorded.
func (a *Attendant) forgetResults(recorded int64) {
	if recorded <= a.recordedSequence {
		return
	}
	a.recordedSequence = recorded
	remaining := a.results[:0:0]
	for _, e := range a.results {
		if e.Sequence > recorded {
			remaining = append(remaining, e)
		}
	}
	a.results = remaining
}

func (a *Attendant) millisSinceStart(now time.Time) int64 { return now.Sub(a.started).Milliseconds() }
