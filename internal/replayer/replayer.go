// Package replayer reads the records of a stream for a state machine. If retention has removed the start of the
// stream, it restores the state machine from a snapshot in the stream. It appends a snapshot to the stream before
// retention removes records whose effects are only in the state.
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
	// minSnapshotInterval is the minimum time from the start of a snapshot to the next one, if another process requests
	// the next one or the previous one failed.
	minSnapshotInterval = 5 * time.Second
)

var (
	snapshotsWritten  = expvar.NewInt("snapshots-written")
	snapshotsRestored = expvar.NewInt("snapshots-restored")
	// snapshotsRefused counts snapshots that could not be encoded, are too large or could not be restored.
	snapshotsRefused = expvar.NewInt("snapshots-refused")
)

type (
	// StateMachine computes a state from the records of the stream.
	StateMachine interface {
		// Snapshot returns the encoded state after all records that Replayer.Next has returned.
		Snapshot() ([]byte, error)
		// Restore replaces the state by the encoded state data, which includes the stream up to offset.
		Restore(data []byte, offset uint64) error
	}

	// Record is a record with its offset and the time at which the log service appended it.
	Record struct {
		Record stream.Record
		Offset uint64
		Time   time.Time
	}

	// Replayer returns the records of one stream. Set the exported fields before use. Next must not be called
	// concurrently. All other methods are safe for concurrent use.
	Replayer struct {
		Follower *follower.Follower
		// Snapshotter splits and reassembles snapshots. It is used only by Next.
		Snapshotter  *snapshotter.Snapshotter
		StateMachine StateMachine
		// SnapshotName identifies the state in the snapshots. Snapshots with other names are ignored.
		SnapshotName string
		// Append appends records to the stream.
		Append func(ctx context.Context, records ...stream.Record) appender.Result
		// IsSnapshotWriter reports whether this process, of all that read the stream, is the one that appends snapshots.
		IsSnapshotWriter func() bool
		// SnapshotRequested reports whether another process needs a snapshot, because it could not read the start of the
		// stream. It may be nil.
		SnapshotRequested func() bool
		// Clock measures the time since the last batch was read and since the last snapshot was started.
		Clock interface{ Now() time.Time }

		caughtUp           atomic.Bool
		snapshotInProgress atomic.Bool
		needsSnapshot      atomic.Bool
		lastSnapshotFailed atomic.Bool
		// lastSnapshotStart is the time of Clock at which this process last started to encode and append a snapshot. It is
		// used only by Next.
		lastSnapshotStart time.Time

		mutex sync.Mutex
		// lastAppendTime is the time at which the log service appended the last batch that was read, and
		// lastAppendTimeReadAt the time of Clock at which that batch was read.
		lastAppendTime       time.Time
		lastAppendTimeReadAt time.Time
	}

	// snapshotContent is the content of a snapshot. It includes the writer states of the Follower, because a process
	// that restores a snapshot without them would apply a late duplicate of a batch that other processes drop.
	snapshotContent struct {
		Writers map[string]follower.WriterState `json:"writers"`
		State   []byte                          `json:"state"`
	}
)

// CaughtUp reports whether the state is complete and Next has reached the end of the stream since the start or the last
// gap.
func (r *Replayer) CaughtUp() bool { return r.caughtUp.Load() }

// NeedsSnapshot reports whether the state is incomplete, because a part of the stream was removed before it was read and
// no snapshot has been restored since.
func (r *Replayer) NeedsSnapshot() bool { return r.needsSnapshot.Load() }

// Next waits for records and returns them in the order of the stream. It returns an error only if ctx is done. After a
// gap, it returns no records until it has restored a snapshot.
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

// collectRecords processes the result of a read and returns its records without the chunks of snapshots. It passes the
// chunks to the Snapshotter, and restores the state if a chunk completes a snapshot that is needed. It returns no
// records in that case and while the state is incomplete. It also updates caughtUp and needsSnapshot.
func (r *Replayer) collectRecords(result follower.PollResult) []Record {
	if result.Gap != nil {
		r.needsSnapshot.Store(true)
		r.caughtUp.Store(false)
	}
	var records []Record
	for _, e := range result.Entries {
		r.updateAppendTime(e.Time)
		for _, record := range e.Batch.Records {
			if record.Kind == snapshotter.RecordKind {
				if r.addChunk(e, record) {
					// The next read starts at the first offset that the snapshot does not include.
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

// addChunk passes the chunk in a record to the Snapshotter. If that completes a snapshot and one is needed, addChunk
// restores the state from it and returns true.
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

// writeSnapshotIfDue appends a snapshot in the background if one is due and this process is the snapshot writer.
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
		// Appending must continue after the current call of Next has returned and its context was cancelled.
		timeoutCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), snapshotTimeout)
		defer cancel()
		for _, record := range records {
			// Each record is appended separately because a chunk is almost as large as a batch may be.
			if r.Append(timeoutCtx, record).Outcome != appender.OutcomeAppended {
				r.lastSnapshotFailed.Store(true)
				return
			}
		}
		r.lastSnapshotFailed.Store(false)
		snapshotsWritten.Add(1)
	}()
}

// snapshotDue reports whether a snapshot should be appended, because the last one is too old or because another
// process has requested one.
func (r *Replayer) snapshotDue() bool {
	// Encoding a large state costs processor time. While the log service is down, each snapshot fails, so the next one
	// must wait.
	if r.lastSnapshotFailed.Load() && r.Clock.Now().Sub(r.lastSnapshotStart) < minSnapshotInterval {
		return false
	}
	if r.Snapshotter.Due(r.estimateLogServiceTime(), r.Follower.Position()) {
		return true
	}
	return r.SnapshotRequested != nil && r.SnapshotRequested() && r.Clock.Now().Sub(r.lastSnapshotStart) > minSnapshotInterval
}

// updateAppendTime stores the time at which the log service appended a batch that was just read.
func (r *Replayer) updateAppendTime(appendTime time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lastAppendTime, r.lastAppendTimeReadAt = appendTime, r.Clock.Now()
}

// estimateLogServiceTime estimates the current time according to the log service: the time at which it appended the
// last batch that was read, plus the time that has passed since then on Clock.
func (r *Replayer) estimateLogServiceTime() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.lastAppendTime.Add(r.Clock.Now().Sub(r.lastAppendTimeReadAt))
}
