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
	searchPause = 60 * time.Millisecond
	// epochTokens is the distance between the tokens of two epochs.
	epochTokens = 1000
)

// Run lists the endpoint and reports to the owner until ctx ends.
func (a *Attendant) Run(ctx context.Context) error {
	a.prepare()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { a.watch(ctx); return nil })
	group.Go(func() error { a.reportAll(ctx); return nil })
	return group.Wait()
}

// Describe takes a heartbeat of the endpoint. One of an earlier process, or one that was overtaken, is ignored.
func (a *Attendant) HandleHeartbeat(d Heartbeat) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	before := a.description
	if d.Incarnation < before.Incarnation || d.Incarnation == before.Incarnation && d.Sequence <= before.Sequence {
		return
	}
	a.description = d
	if d.Incarnation != before.Incarnation {
		a.left = false
	}
	if d.Draining != before.Draining || d.ID != before.ID || d.Incarnation != before.Incarnation {
		a.Log.Info().Str("endpoint", d.ID).Int64("life", d.Incarnation).Bool("draining", d.Draining).Dur("remaining", d.Remaining).
			Int64("sequence", d.Sequence).Msg("endpoint described itself")
		a.kick()
	}
}

// Leave takes the endpoint's word that it ends now.
func (a *Attendant) HandleDeregistration(id string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.description.ID == id {
		a.left = true
		a.Log.Info().Str("endpoint", id).Msg("endpoint leaves")
		a.kick()
	}
}

func (a *Attendant) prepare() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.kicked == nil {
		a.started = a.Clock.Now()
		a.kicked = make(chan struct{}, 1)
		a.runs, a.stopped = map[string]*run{}, map[string]int{}
		a.token = 1
	}
}

// kick makes a report go out soon. It requires the mutex.
func (a *Attendant) kick() {
	if a.kicked == nil {
		return
	}
	select {
	case a.kicked <- struct{}{}:
	default:
	}
}

// reportAll sends reports, one at a time.
func (a *Attendant) reportAll(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-a.kicked:
		case <-timer.C:
		}
		target := a.target(n)
		if a.report(ctx, target) {
			n = 0
			timer.Reset(reportInterval)
			continue
		}
		n++
		if n%(len(a.Seeds)+2) == 0 {
			a.search(ctx)
		}
		timer.Reset(searchPause)
	}
}

// target returns where to report: to the owner, or while none is known to each known entry in turn.
func (a *Attendant) target(failures int) string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.owner != "" {
		return a.owner
	}
	all := append(append([]string{}, a.Seeds...), a.entries...)
	if len(all) == 0 {
		return ""
	}
	return all[failures%len(all)]
}

// report sends one report and reports whether an owner took it.
func (a *Attendant) report(ctx context.Context, target string) bool {
	if target == "" {
		return false
	}
	r, sent := a.compose()
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	a.mutex.Lock()
	a.abort = cancel
	a.mutex.Unlock()
	answer, err := a.Reporter.Report(call, target, r)
	a.Meter.Observe("report", a.Clock.Now().Sub(sent))
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.abort = nil
	if err != nil {
		if a.owner == target {
			a.Log.Warn().Err(err).Str("entry", target).Uint64("epoch", a.epoch).Msg("owner does not answer")
			a.owner = ""
		}
		return false
	}
	a.entries = answer.Entries
	a.observe(answer.Epoch, answer.Owner)
	if answer.Epoch < a.epoch || answer.Owner != target {
		return false
	}
	if answer.Granted {
		if until := sent.Add(a.Leases.Grant); until.After(a.grantUntil) {
			a.grantUntil = until
		}
	}
	if answer.Incarnation == a.life {
		a.forget(answer.RecordedSequence)
	}
	return true
}

// compose returns a report and the time to count the grant from.
func (a *Attendant) compose() (messenger.Report, time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now, d := a.Clock.Now(), a.description
	a.sequence++
	r := messenger.Report{
		VM: a.Address, Generation: a.Generation, Sequence: a.sequence, Epoch: a.epoch, SentMS: a.millis(now), Incarnation: a.life,
		State: messenger.VMUnknown, Listed: a.listed, Results: a.ends[:len(a.ends):len(a.ends)],
	}
	if d.Incarnation == a.life && a.life != 0 {
		r.Endpoint, r.Service, r.DataCentre, r.Rack, r.Labels, r.Capacity = d.ID, d.Service, d.DataCentre, d.Rack, d.Labels, d.Capacity
		r.State = messenger.VMUp
		if d.Draining || a.left {
			r.State, r.Remaining = messenger.VMDraining, d.Remaining
		}
	}
	if a.absent >= absences {
		r.State = messenger.VMNotListening
	}
	for _, x := range a.runs {
		r.Runs = append(r.Runs, x.Run)
	}
	return r, now
}

// observe takes over the highest epoch and its owner.
func (a *Attendant) observe(epoch uint64, owner string) {
	if epoch < a.epoch || owner == "" || epoch == a.epoch && owner == a.owner {
		return
	}
	a.Log.Info().Uint64("epoch", epoch).Str("owner", owner).Uint64("before", a.epoch).Msg("owner known")
	if epoch > a.epoch {
		a.token = max(a.token+1, epoch*epochTokens)
	}
	a.epoch, a.owner = epoch, owner
	if a.abort != nil {
		// The report under way may hang at the former owner.
		a.abort()
	}
}

// search looks for further entries in the background, because that may take long.
func (a *Attendant) search(ctx context.Context) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.DiscoverEntries == nil || a.searching {
		return
	}
	a.searching = true
	go func() {
		entries := a.DiscoverEntries(ctx)
		a.mutex.Lock()
		defer a.mutex.Unlock()
		a.searching = false
		if len(entries) > 0 {
			a.entries = entries
		}
	}()
}

// forget drops ends that are recorded.
func (a *Attendant) forget(recorded int64) {
	if recorded <= a.recorded {
		return
	}
	a.recorded = recorded
	kept := a.ends[:0:0]
	for _, e := range a.ends {
		if e.Sequence > recorded {
			kept = append(kept, e)
		}
	}
	a.ends = kept
}

func (a *Attendant) millis(now time.Time) int64 { return now.Sub(a.started).Milliseconds() }
