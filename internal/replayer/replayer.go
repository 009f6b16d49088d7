// Package replayer reads a stream into a state machine. Where retention has removed the start of the
// stream it begins from a snapshot, and it appends snapshots before retention removes what it holds.
package replayer

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/appender"
	"bamboohook/follower"
	"bamboohook/snapshotter"
	"bamboohook/stream"
)

const (
	minRetryDelay   = 100 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
	snapshotTimeout = 30 * time.Second
	// wantedInterval is the least time between two snapshots for processes that lack the state.
	minSnapshotInterval = 5 * time.Second
)

var (
	snapshotsWritten  = expvar.NewInt("snapshots-written")
	snapshotsRestored = expvar.NewInt("snapshots-restored")
	snapshotsRefused  = expvar.NewInt("snapshots-refused")
)

type (
	// State is the state machine that the stream drives.
	StateMachine interface {
		// Snapshot returns the state after all records that Next has returned.
		Snapshot() ([]byte, error)
		// Restore replaces the state by that of a snapshot which includes the stream up to offset.
		Restore(data []byte, offset uint64) error
	}

	// Record is a record with its place in the stream.
	Record struct {
		Record stream.Record
		Offset uint64
		Time   time.Time
	}

	// Replayer delivers the records of one stream. Set the exported fields before use. Next must not be
	// called concurrently; the other methods are safe for concurrent use.
	Replayer struct {
		Follower *follower.Follower
		// Snapshots collects and divides snapshots. It is used by Next only.
		Snapshotter  *snapshotter.Snapshotter
		StateMachine StateMachine
		// Name says what state the snapshots hold.
		SnapshotName string
		// Append writes records to the stream.
		Append func(ctx context.Context, records ...stream.Record) appender.Result
		// Elected reports whether this process should write the snapshots that are due.
		IsSnapshotWriter func() bool
		// Wanted reports whether another process lacks the state and waits for a snapshot; nil is allowed.
		SnapshotRequested func() bool
		// Clock measures the time since the last record.
		Clock interface{ Now() time.Time }

		caughtUp           atomic.Bool
		snapshotInProgress atomic.Bool
		needsSnapshot      atomic.Bool
		lastSnapshotFailed atomic.Bool
		// wrote is when the last snapshot was begun. It is used by Next only.
		lastSnapshotStart time.Time

		mutex         sync.Mutex
		lastLogTime   time.Time
		lastLogTimeAt time.Time
	}

	// envelope is the content of a snapshot. The writers belong to the state, because a reader without them would
	// apply a late duplicate that others drop.
	snapshotContent struct {
		Writers map[string]follower.WriterState `json:"writers"`
		State   []byte                          `json:"state"`
	}
)

// CaughtUp reports whether the end of the stream was reached once, with the state complete.
func (r *Replayer) CaughtUp() bool { return r.caughtUp.Load() }

// Missing reports whether a part of the stream was removed before it was read and no snapshot has replaced it yet.
func (r *Replayer) NeedsSnapshot() bool { return r.needsSnapshot.Load() }

// Next waits for records and returns them in order. It returns an error only when ctx ends. Records
// that cannot be applied because the start of the stream is missing are left out.
func (r *Replayer) Next(ctx context.Context) ([]Record, error) {
	delay := minRetryDelay
	for {
		r.writeSnapshotIfDue(ctx)
		result, err := r.Follower.Poll(ctx)
		if ctx.Err() != nil {
			return nil, eris.Wrap(ctx.Err(), "replayer: stopped")
		}
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(delay):
			}
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		delay = minRetryDelay
		if records := r.collectRecords(result); len(records) > 0 {
			return records, nil
		}
	}
}

// take returns the records of a delivery, after a restored snapshot if one was needed.
func (r *Replayer) collectRecords(result follower.PollResult) []Record {
	if result.Gap != nil {
		r.needsSnapshot.Store(true)
		r.caughtUp.Store(false)
	}
	var records []Record
	for _, e := range result.Entries {
		r.updateLogTime(e.Time)
		for _, record := range e.Batch.Records {
			if record.Kind == snapshotter.RecordKind {
				if r.addChunk(e, record) {
					// The stream is read again from the snapshot on.
					return nil
				}
				continue
			}
			if !r.needsSnapshot.Load() {
				records = append(records, Record{Record: record, Offset: e.Offset, Time: e.Time})
			}
		}
	}
	if result.AtEnd && !r.needsSnapshot.Load() {
		r.caughtUp.Store(true)
	}
	return records
}

// restore takes a chunk and reports whether it completed a snapshot that replaced the state.
func (r *Replayer) addChunk(e follower.Entry, record stream.Record) bool {
	var chunk snapshotter.Chunk
	if err := json.Unmarshal(record.Body, &chunk); err != nil || chunk.Name != r.SnapshotName {
		return false
	}
	snapshot, complete := r.Snapshotter.Add(e.Offset, e.Time, chunk)
	if !complete || !r.needsSnapshot.Load() {
		return false
	}
	var content snapshotContent
	err := json.Unmarshal(snapshot.Data, &content)
	if err == nil {
		err = r.StateMachine.Restore(content.State, snapshot.Offset)
	}
	if err != nil {
		snapshotsRefused.Add(1)
		return false
	}
	snapshotsRestored.Add(1)
	r.needsSnapshot.Store(false)
	r.Follower.Seek(snapshot.Offset+1, content.Writers)
	return true
}

// writeDue appends a snapshot in the background if one is due and this process should write it.
func (r *Replayer) writeSnapshotIfDue(ctx context.Context) {
	if !r.caughtUp.Load() || r.Follower.Position() <= 1 || !r.IsSnapshotWriter() || !r.snapshotDue() || !r.snapshotInProgress.CompareAndSwap(false, true) {
		return
	}
	r.lastSnapshotStart = r.Clock.Now()
	state, err := r.StateMachine.Snapshot()
	var records []stream.Record
	if err == nil {
		var data []byte
		data, err = json.Marshal(snapshotContent{Writers: r.Follower.Writers(), State: state})
		if err == nil {
			records, err = r.Snapshotter.Split(snapshotter.Snapshot{
				ID: rand.Text(), Name: r.SnapshotName, Offset: r.Follower.Position() - 1, Data: data,
			})
		}
	}
	if err != nil {
		snapshotsRefused.Add(1)
		r.snapshotInProgress.Store(false)
		return
	}
	go func() {
		defer r.snapshotInProgress.Store(false)
		// The snapshot goes on when this call of Next ends.
		timeoutCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), snapshotTimeout)
		defer cancel()
		for _, record := range records {
			// One record an append: a chunk is about as large as a batch may be.
			if r.Append(timeoutCtx, record).Outcome != appender.OutcomeAppended {
				r.lastSnapshotFailed.Store(true)
				return
			}
		}
		r.lastSnapshotFailed.Store(false)
		snapshotsWritten.Add(1)
	}()
}

// due reports whether a snapshot should be appended: before retention ends, or because another process waits for one.
func (r *Replayer) snapshotDue() bool {
	// A snapshot of a large state costs processor time, so it is not encoded again and again while the log is down.
	if r.lastSnapshotFailed.Load() && r.Clock.Now().Sub(r.lastSnapshotStart) < minSnapshotInterval {
		return false
	}
	if r.Snapshotter.Due(r.estimatedLogTime(), r.Follower.Position()) {
		return true
	}
	return r.SnapshotRequested != nil && r.SnapshotRequested() && r.Clock.Now().Sub(r.lastSnapshotStart) > minSnapshotInterval
}

func (r *Replayer) updateLogTime(at time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lastLogTime, r.lastLogTimeAt = at, r.Clock.Now()
}

// now estimates the log service's time: that of the last record plus what has passed since.
func (r *Replayer) estimatedLogTime() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.lastLogTime.Add(r.Clock.Now().Sub(r.lastLogTimeAt))
}
