package subscriber

import (
	"context"
	"errors"
	"slices"
	"time"

	"bamboohook/internal/fleet/evacuation"
	"bamboohook/internal/fleet/storekeeper"
)

const (
	// followWait is how long the store may delay its response to a read while there are no new records. It limits the time until this
	// process notices that the store has disappeared without closing the connection.
	followWait = time.Second
	// stallTimeout is how long a response may take, not counting the wait, until another read is sent on another connection. The first one goes
	// on, because its response may only be slow.
	stallTimeout = 300 * time.Millisecond
	// readInterval is the time between the starts of two reads while none gets a response, apart from a quarter of a congestion time. After an
	// outage of the store, one of them is sent within that time.
	readInterval = 400 * time.Millisecond
	// maxReads is the maximum number of reads in progress. A further one replaces the oldest, so a response may take four read intervals.
	maxReads = 5
	// readTimeout bounds a read, not counting the wait and the time for the transfer of a configuration.
	readTimeout = 3 * time.Second
	// transfersPerRead is the number of congestion times that the transfer of a configuration may take. A configuration can be larger than what
	// congests the link otherwise.
	transfersPerRead = 4
	// slowLoad is the duration of a load from which on another one follows at once while there are newer versions. Asking for one first would take as long
	// as messages wait on the link, and the next versions have probably come.
	slowLoad = 500 * time.Millisecond
	// retryPause is the time until the next read of the store if a read failed or found no configuration.
	retryPause = 100 * time.Millisecond
)

type (
	// follower follows the configuration in the store. Only run uses its fields.
	follower struct {
		subscriber *Subscriber
		// offset is where the next read begins. loaded reports whether it is known.
		offset int64
		loaded bool
		// evacuations is the set of evacuated data centres after the records below offset, or nil before the first load. The set of the subscriber may be
		// newer, if it came from another entry.
		evacuations *evacuation.Set
		// behind reports whether there were newer versions than the one that was last read.
		behind bool
		// reads are those in progress, in the order of their starts.
		reads   []*read
		results chan result
		// lastStartAt is when the last read was started, retryAt the earliest time for a read while none is in progress.
		lastStartAt, retryAt time.Time
		// checking reports whether the store has to be asked at once, and lastCheckAt when that was last done.
		checking    bool
		lastCheckAt time.Time
	}

	// read is a read of the store in progress.
	read struct {
		startedAt time.Time
		wait      time.Duration
		cancel    context.CancelFunc
		// progressAt is when the last part of the response arrived, or zero. The mutex of the Subscriber protects it.
		progressAt time.Time
	}

	// result is the outcome of a read.
	result struct {
		read        *read
		publication storekeeper.Publication
		offset      int64
		more        bool
		isLoad      bool
		err         error
	}
)

// run keeps a read of the store in progress until ctx is done. While no response arrives, it adds further reads on other connections.
func (f *follower) run(ctx context.Context) {
	f.results = make(chan result)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-f.results:
			f.finish(r)
		case <-f.subscriber.progressed:
			f.keepTransfer()
		case <-f.subscriber.checkRequested:
			f.checking = true
		case <-timer.C:
		}
		now := f.subscriber.Clock.Now()
		if !f.dueAt().After(now) {
			f.start(ctx, now)
		}
		timer.Reset(max(f.dueAt().Sub(now), time.Millisecond))
	}
}

// dueAt returns when the next read must be started.
func (f *follower) dueAt() time.Time {
	if len(f.reads) == 0 {
		return f.retryAt
	}
	last := f.reads[len(f.reads)-1]
	if f.checking && last.wait > 0 && f.transferAt().IsZero() {
		return f.lastCheckAt.Add(readInterval)
	}
	stalledAt := last.startedAt.Add(last.wait + stallTimeout)
	if at := f.transferAt(); !at.IsZero() {
		stalledAt = at.Add(f.subscriber.transferStallTimeout())
	}
	return latest(stalledAt, f.lastStartAt.Add(readInterval+f.subscriber.CongestionTime/4))
}

// transferAt returns when the last part of a response to the reads in progress has arrived, or the zero time.
func (f *follower) transferAt() time.Time {
	f.subscriber.mutex.Lock()
	defer f.subscriber.mutex.Unlock()
	var at time.Time
	for _, r := range f.reads {
		at = latest(at, r.progressAt)
	}
	return at
}

// start starts a read. Only a read beside which no other is in progress waits for a change, the others show at once whether the store answers.
func (f *follower) start(ctx context.Context, now time.Time) {
	r := &read{startedAt: now}
	if f.checking && now.Sub(f.lastCheckAt) >= readInterval {
		f.checking, f.lastCheckAt = false, now
	} else if len(f.reads) == 0 && f.loaded {
		r.wait = followWait
	}
	if len(f.reads) > 0 {
		f.subscriber.Source.CloseIdleConnections()
		f.subscriber.Log.Info().Int64("version", f.subscriber.Version()).Int("in-progress", len(f.reads)).
			Dur("oldest", now.Sub(f.reads[0].startedAt)).Msg("reading the configuration from the store again beside reads without a response")
	}
	if len(f.reads) == maxReads {
		oldest := f.reads[0]
		f.drop(func(r *read) bool { return r == oldest })
	}
	f.lastStartAt = now
	f.reads = append(f.reads, r)
	s, offset, loaded := f.subscriber, f.offset, f.loaded
	readCtx, cancel := context.WithTimeout(ctx, r.wait+readTimeout+transfersPerRead*s.CongestionTime)
	r.cancel = cancel
	progress := func() { f.recordProgress(r) }
	go func() {
		defer cancel()
		result := result{read: r, isLoad: !loaded}
		if loaded {
			result.publication, result.offset, result.more, result.err = s.Source.FollowConfiguration(readCtx, offset, r.wait, progress)
		} else {
			result.publication, result.offset, result.err = s.Source.LoadConfiguration(readCtx, progress)
		}
		select {
		case f.results <- result:
		case <-ctx.Done():
		}
	}()
}

// recordProgress records that a part of the response to the read has arrived. It may be called concurrently.
func (f *follower) recordProgress(r *read) {
	now := f.subscriber.Clock.Now()
	f.subscriber.recordProgress(now)
	f.subscriber.mutex.Lock()
	first := r.progressAt.IsZero()
	r.progressAt = now
	f.subscriber.mutex.Unlock()
	if !first {
		return
	}
	select {
	case f.subscriber.progressed <- struct{}{}:
	default:
	}
}

// keepTransfer cancels the other reads as soon as a response to one arrives, because their responses would take the same link for the same content. Of
// several responses, the one to the earliest read goes on, unless it has stalled.
func (f *follower) keepTransfer() {
	var best *read
	now := f.subscriber.Clock.Now()
	f.subscriber.mutex.Lock()
	for _, r := range f.reads {
		if r.progressAt.IsZero() {
			continue
		}
		if best == nil || now.Sub(best.progressAt) >= f.subscriber.transferStallTimeout() {
			best = r
		}
	}
	f.subscriber.mutex.Unlock()
	if best != nil {
		f.drop(func(r *read) bool { return r != best })
	}
}

// drop cancels the reads in progress that match, and ignores their results.
func (f *follower) drop(match func(r *read) bool) {
	f.reads = slices.DeleteFunc(f.reads, func(r *read) bool {
		if match(r) {
			r.cancel()
			return true
		}
		return false
	})
}

// finish handles the result of a read. After a response, the others are dropped, since they were sent only because it was missing.
func (f *follower) finish(r result) {
	if !slices.Contains(f.reads, r.read) {
		return
	}
	s, now := f.subscriber, f.subscriber.Clock.Now()
	switch {
	case errors.Is(r.err, storekeeper.ErrDeleted):
		f.drop(func(*read) bool { return true })
		f.loaded = false
	case r.err != nil:
		f.drop(func(other *read) bool { return other == r.read })
		f.retryAt = now.Add(retryPause)
		// A load that finds only invalid configurations still shows the evacuations.
		f.applyEvacuations(r, r.read.startedAt)
		s.Meter.Count("configuration-reads-failed")
		s.Log.Warn().Err(r.err).Int64("version", s.Version()).Dur("duration", now.Sub(r.read.startedAt)).Int("in-progress", len(f.reads)).
			Msg("failed to read the configuration from the store")
	default:
		f.drop(func(*read) bool { return true })
		s.OnStoreResponse()
		f.apply(r, now)
	}
}

// apply uses the response to a read.
func (f *follower) apply(r result, now time.Time) {
	s := f.subscriber
	versionBefore := s.Version()
	configuration := r.publication.Configuration
	s.setIfNewer(configuration, sourceStore, "", now.Sub(r.read.startedAt))
	f.offset = r.offset
	if r.isLoad {
		f.applyEvacuations(r, r.read.startedAt)
		if configuration != nil {
			s.confirm(r.read.startedAt)
		}
		if s.Version() == versionBefore {
			f.behind, f.retryAt = false, now.Add(retryPause)
		}
		f.loaded = configuration != nil && !(f.behind && now.Sub(r.read.startedAt) >= slowLoad)
		return
	}
	if r.more || r.publication.Partial {
		// Only the newest of the versions that have come in the meantime is needed. A record without a readable key may have been about any key, which the
		// newest records show.
		f.applyEvacuations(r, time.Time{})
		f.loaded, f.behind = false, r.more
		return
	}
	confirmedAt := r.read.startedAt
	if waited := now.Sub(confirmedAt); configuration == nil && len(r.publication.Evacuations) == 0 && waited >= r.read.wait {
		// The store sends a response without records only at the end of the wait.
		confirmedAt = confirmedAt.Add(r.read.wait)
	}
	f.applyEvacuations(r, confirmedAt)
	s.confirm(confirmedAt)
}

// applyEvacuations uses what the response to a read says about the evacuations. A load replaces the set, unless records were left out: a request may be one
// of these. The records of another read change it.
func (f *follower) applyEvacuations(r result, confirmedAt time.Time) {
	if r.publication.Evacuations == nil {
		return
	}
	set := f.evacuations.With(r.publication.Evacuations, r.offset)
	if r.isLoad && !r.publication.Partial {
		set = evacuation.New(r.publication.Evacuations, r.offset)
	}
	f.evacuations = set
	f.subscriber.setEvacuations(set, confirmedAt, sourceStore, "")
}

// latest returns the later of the times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
