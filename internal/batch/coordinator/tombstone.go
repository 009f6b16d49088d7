package coordinator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"bamboohook/internal/fleet/committer"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/storekeeper"
)

const (
	// keyTombstone is followed by the ID of a job and a hash of its queue's name, which is of any length.
	keyTombstone = "cancelled/"
	// maxTombstones limits the cancellations of unknown jobs that are remembered at the same time.
	maxTombstones = 50_000
	// tombstoneRetryAfter is the time after which a caller may repeat a cancellation that was refused because of maxTombstones.
	tombstoneRetryAfter = 5 * time.Second
)

type (
	// jobKey identifies a job that callers name, whether it is known or not.
	jobKey struct{ id, queue string }

	// tombstone is the cancellation of a job that was unknown. A copy of the job's submission may still be on the way, and the job is then cancelled
	// as soon as it is accepted. response is that to the cancellation, which waits until the tombstone is recorded.
	tombstone struct {
		createdAt time.Time
		response  *pendingResponse
	}

	// tombstoneRecord is the stored record of a tombstone.
	tombstoneRecord struct {
		ID        string    `json:"id"`
		Queue     string    `json:"queue"`
		CreatedAt time.Time `json:"created"`
	}
)

// recordKey returns the key of the tombstone's record in the store.
func (k jobKey) recordKey() string {
	hash := sha256.Sum256([]byte(k.queue))
	return keyTombstone + k.id + "/" + hex.EncodeToString(hash[:8])
}

// cancelUnknown responds to the cancellation of an unknown job. It responds with messenger.OutcomeNotFound once the store holds a tombstone, so that
// this owner and the next ones do not run the job if its submission arrives later. The caller must hold the mutex, which cancelUnknown releases.
func (c *Coordinator) cancelUnknown(ctx context.Context, k jobKey) messenger.JobResponse {
	s := &c.state
	if !c.MayGrantLeases() {
		s.mutex.Unlock()
		return c.missingJob()
	}
	if t, ok := s.tombstones[k]; ok {
		s.mutex.Unlock()
		return t.response.wait(ctx)
	}
	if len(s.tombstones) >= maxTombstones {
		s.mutex.Unlock()
		c.Log.Warn().Str("job", k.id).Int("tombstones", maxTombstones).Msg("cancellation of an unknown job refused: too many at the same time")
		return messenger.JobResponse{Outcome: messenger.OutcomeOverload, Reason: "too many cancellations of unknown jobs", RetryAfter: tombstoneRetryAfter}
	}
	t := &tombstone{createdAt: c.WallClock.Now(), response: &pendingResponse{done: make(chan struct{})}}
	s.tombstones[k] = t
	epoch := s.epoch
	s.mutex.Unlock()
	value, err := json.Marshal(tombstoneRecord{k.id, k.queue, t.createdAt})
	if err != nil {
		panic("coordinator: cannot encode a tombstone: " + err.Error())
	}
	c.Journal.Append(committer.Write{
		Records: []storekeeper.Record{{Key: k.recordKey(), Value: value}},
		Done: func(err error) {
			t.response.response = messenger.JobResponse{Outcome: messenger.OutcomeNotFound}
			if err != nil {
				t.response.response = responseAfterLostWrite(err)
				s.mutex.Lock()
				if s.tombstones[k] == t {
					delete(s.tombstones, k)
				}
				s.mutex.Unlock()
			}
			c.Log.Info().Err(err).Str("job", k.id).Uint64("epoch", epoch).Msg("cancellation of an unknown job recorded")
			close(t.response.done)
		},
	})
	return t.response.wait(ctx)
}

// restoreTombstones restores the tombstones from the records of the store.
func (c *Coordinator) restoreTombstones(records []storekeeper.Record) {
	c.state.tombstones = map[jobKey]*tombstone{}
	recorded := &pendingResponse{done: make(chan struct{}), response: messenger.JobResponse{Outcome: messenger.OutcomeNotFound}}
	close(recorded.done)
	for _, r := range records {
		if !strings.HasPrefix(r.Key, keyTombstone) {
			continue
		}
		var restored tombstoneRecord
		if err := json.Unmarshal(r.Value, &restored); err != nil {
			c.Log.Error().Err(err).Str("key", r.Key).Msg("cannot restore the cancellation of an unknown job")
			continue
		}
		c.state.tombstones[jobKey{restored.ID, restored.Queue}] = &tombstone{createdAt: restored.CreatedAt, response: recorded}
	}
}

// cancelIfTombstoned cancels the job if its cancellation has arrived before its submission.
func (c *Coordinator) cancelIfTombstoned(id string) {
	j := c.state.jobs.Job(id)
	if j == nil || c.state.tombstones[jobKey{j.ID, j.Queue}] == nil || !c.state.jobs.Cancel(j, c.WallClock.Now()) {
		return
	}
	c.Log.Info().Str("job", j.ID).Uint64("epoch", c.state.epoch).Msg("job cancelled before its submission arrived")
	c.jobChanged(j)
	c.Journal.Notify()
}

// removeOldTombstones removes the tombstones that were created before the given time.
func (c *Coordinator) removeOldTombstones(createdBefore time.Time) {
	for k, t := range c.state.tombstones {
		if t.createdAt.Before(createdBefore) {
			delete(c.state.tombstones, k)
			c.state.removedKeys = append(c.state.removedKeys, k.recordKey())
		}
	}
}
