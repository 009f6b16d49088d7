package coordinator

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/fleet/committer"
	"bamboohook/internal/fleet/storekeeper"
)

const (
	// maxCollectBytes is about the size of the progress that CollectWrites returns at a time, and maxJobCollectBytes that of one job's share of it, so
	// that a large job does not delay the others.
	maxCollectBytes    = 512 << 10
	maxJobCollectBytes = 128 << 10
	// maxKeysPerWrite is the highest number of records without progress in one write, each of which takes at most keyBytes.
	maxKeysPerWrite = 1000
	keyBytes        = 300
	// rejectedRetryInterval is the time until a write that the store rejects for good is tried again. Its records may have changed by then.
	rejectedRetryInterval = 5 * time.Second
)

type (
	// jobChange is a change of a job's progress that is not recorded yet. Its records are in one or more writes.
	jobChange struct {
		// results holds the run results that the change contains, waiters the functions that are called with the error of the last write.
		results []resultID
		waiters []func(error)
		// failed reports whether a write of the change has failed.
		failed bool
	}

	// storedProgress holds the records of the progress of jobs by the IDs of the jobs, and those of their blocks also by the names of the blocks.
	// accepted holds the jobs that have a record of their acceptance.
	storedProgress struct {
		accepted map[string]struct{}
		jobs     map[string][]byte
		blocks   map[string]map[string][]byte
	}

	// delayedRetry is a function that Tick calls at a time.
	delayedRetry struct {
		at time.Time
		do func()
	}
)

// jobChanged makes the next calls of CollectWrites return the changes of the job. The order in which jobs have changed is that in which they get
// their turn.
func (c *Coordinator) jobChanged(j *bookkeeper.Job) *jobChange {
	s := &c.state
	if s.changes[j] == nil {
		s.changes[j] = &jobChange{}
		s.changedJobs = append(s.changedJobs, j)
	}
	return s.changes[j]
}

// CollectWrites returns writes with the records of what has changed since the last call, and none if nothing has changed. The size is limited, so
// further calls may return more. No write contains records of two jobs, so that a write which the store rejects concerns one job only.
func (c *Coordinator) CollectWrites() []committer.Write {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	if !c.state.owning {
		return nil
	}
	writes := slices.Concat(c.collectVMs(), c.collectRemovals(), c.collectModel())
	for size := 0; len(c.state.changedJobs) > 0 && size < maxCollectBytes; {
		j := c.state.changedJobs[0]
		c.state.changedJobs = c.state.changedJobs[1:]
		w := c.collectJob(j)
		for _, r := range w.Records {
			size += len(r.Key) + len(r.Value)
		}
		writes = append(writes, w)
	}
	return writes
}

// groupRecords returns the progress of jobs among the records of the store.
func groupRecords(records []storekeeper.Record) storedProgress {
	p := storedProgress{map[string]struct{}{}, map[string][]byte{}, map[string]map[string][]byte{}}
	for _, r := range records {
		if id, ok := strings.CutPrefix(r.Key, keyJob); ok {
			p.accepted[id] = struct{}{}
		}
		if id, ok := strings.CutPrefix(r.Key, keyProgress); ok {
			p.jobs[id] = r.Value
		}
		if id, block, ok := parseBlockKey(r.Key); ok {
			if p.blocks[id] == nil {
				p.blocks[id] = map[string][]byte{}
			}
			p.blocks[id][block] = r.Value
		}
	}
	return p
}

// keysWithoutJob returns the keys of the progress of jobs that were removed from the store.
func (p storedProgress) keysWithoutJob() []string {
	var keys []string
	for id := range p.jobs {
		if _, ok := p.accepted[id]; !ok {
			keys = append(keys, keyProgress+id)
		}
	}
	for id, blocks := range p.blocks {
		if _, ok := p.accepted[id]; ok {
			continue
		}
		for block := range blocks {
			keys = append(keys, blockKey(id, block))
		}
	}
	return keys
}

// write returns a write with the records, and none if there are no records. applied is called with the mutex and the error of the write, unless the
// epoch has ended by then.
func (c *Coordinator) write(records []storekeeper.Record, applied func(error)) []committer.Write {
	if len(records) == 0 {
		return nil
	}
	epoch := c.state.epoch
	return []committer.Write{{Records: records, Done: func(err error) {
		c.state.mutex.Lock()
		defer c.state.mutex.Unlock()
		if c.state.owning && c.state.epoch == epoch {
			applied(err)
		}
	}}}
}

// retryAfter makes Tick call do after rejectedRetryInterval if err is not nil.
func (c *Coordinator) retryAfter(err error, do func()) {
	if err != nil {
		c.state.delayedRetries = append(c.state.delayedRetries, delayedRetry{c.Clock.Now().Add(rejectedRetryInterval), do})
	}
}

// makeDelayedRetries calls the functions whose time has come.
func (c *Coordinator) makeDelayedRetries(now time.Time) {
	s := &c.state
	for len(s.delayedRetries) > 0 && !now.Before(s.delayedRetries[0].at) {
		retry := s.delayedRetries[0]
		s.delayedRetries = s.delayedRetries[1:]
		retry.do()
		c.Journal.Notify()
	}
}

// maxKeys returns the highest number of records without progress in one write.
func (c *Coordinator) maxKeys() int {
	if c.Limits.RequestBytes > 0 {
		return max(min(maxKeysPerWrite, c.Limits.RequestBytes/keyBytes), 1)
	}
	return maxKeysPerWrite
}

// maxJobBytes returns the highest size of a write with the progress of a job.
func (c *Coordinator) maxJobBytes() int {
	if c.Limits.RequestBytes > 0 {
		return min(maxJobCollectBytes, c.Limits.RequestBytes)
	}
	return maxJobCollectBytes
}

// collectVMs returns a write for the record of each changed VM. If the store rejected the records of all VMs together because of one, no VM could be used.
func (c *Coordinator) collectVMs() []committer.Write {
	s := &c.state
	var writes []committer.Write
	for name := range s.changedVMs {
		if len(writes) == maxKeysPerWrite {
			break
		}
		delete(s.changedVMs, name)
		r := storekeeper.Record{Key: keyVM + name}
		v, ok := s.vms[name]
		hasRecord := ok && v.mayHaveRuns
		if hasRecord {
			value, err := json.Marshal(vmRecord{cmp.Or(v.Service, v.recordedService)})
			if err != nil {
				panic("coordinator: cannot encode the record of a VM: " + err.Error())
			}
			r.Value = value
		}
		writes = append(writes, c.write([]storekeeper.Record{r}, func(err error) {
			c.retryAfter(err, func() { s.changedVMs[name] = struct{}{} })
			if err == nil && hasRecord {
				// All runs on the VM may have ended while the record was written.
				v.recordStored = v.mayHaveRuns
			}
			c.wakePlanner()
		})...)
	}
	return writes
}

// collectRemovals returns a write that removes records.
func (c *Coordinator) collectRemovals() []committer.Write {
	s := &c.state
	count := min(len(s.removedKeys), c.maxKeys())
	keys := s.removedKeys[:count:count]
	s.removedKeys = s.removedKeys[count:]
	var records []storekeeper.Record
	for _, key := range keys {
		records = append(records, storekeeper.Record{Key: key})
	}
	return c.write(records, func(err error) {
		c.retryAfter(err, func() { s.removedKeys = append(s.removedKeys, keys...) })
	})
}

// collectModel returns a write with the record of the interference model if that is due.
func (c *Coordinator) collectModel() []committer.Write {
	s := &c.state
	if !s.modelRecordDue {
		return nil
	}
	s.recordedUpdates, s.modelRecordDue = s.interferenceModel.Updates(), false
	maxBytes := max(c.Limits.RecordBytes-len(keyModel)-maxRecordFraming, 0)
	encoded, leftOut := s.interferenceModel.Encode(maxBytes)
	if leftOut > 0 {
		c.Meter.Count("model-programs-not-recorded")
		c.Log.Warn().Int("programs", leftOut).Int("limit", maxBytes).Msg("record of the interference model without some programs, which would make it too large")
	}
	// The next record contains newer estimates than this one, so this one is not written again after an error.
	return c.write([]storekeeper.Record{{Key: keyModel, Value: encoded}}, func(error) {})
}

// collectJob returns a write with changed records of the job. If it does not contain all of them, the job gets another turn after the others.
func (c *Coordinator) collectJob(j *bookkeeper.Job) committer.Write {
	s := &c.state
	change, state, epoch := s.changes[j], j.State(), s.epoch
	progress, complete := j.CollectRecords(c.maxJobBytes(), c.Limits.RecordBytes)
	if complete {
		delete(s.changes, j)
	} else {
		s.changedJobs = append(s.changedJobs, j)
	}
	var records []storekeeper.Record
	for _, p := range progress {
		key := keyProgress + j.ID
		if p.Block != "" {
			key = blockKey(j.ID, p.Block)
		}
		records = append(records, storekeeper.Record{Key: key, Value: p.Value})
		if p.DroppedCheckpoints > 0 {
			c.Meter.Count("checkpoints-dropped")
			c.Log.Warn().Str("job", j.ID).Str("block", p.Block).Int("checkpoints", p.DroppedCheckpoints).Int("limit", c.Limits.RecordBytes).
				Msg("record would be too large: its longest checkpoints are left out")
		}
	}
	return committer.Write{Records: records, Done: func(err error) {
		c.state.mutex.Lock()
		defer c.state.mutex.Unlock()
		owning := c.state.owning && c.state.epoch == epoch
		if err != nil && owning {
			change.failed = true
			j.MarkUnrecorded(progress)
		}
		if !complete {
			return
		}
		if change.failed && err == nil {
			err = storekeeper.ErrRejected
		}
		if owning {
			c.applyChange(j, state, change, err)
		}
		for _, w := range change.waiters {
			w(err)
		}
	}}
}

// applyChange applies a change after its last write: callers then see the recorded state, and endpoints may forget the recorded run results. After an
// error, the change is collected again later.
func (c *Coordinator) applyChange(j *bookkeeper.Job, state string, change *jobChange, err error) {
	if err != nil {
		c.Log.Error().Err(err).Str("job", j.ID).Int("results", len(change.results)).Msg("changes of a job are not recorded")
		c.retryAfter(err, func() {
			if c.state.jobs.Job(j.ID) != j {
				c.markRecorded(change.results)
				return
			}
			again := c.jobChanged(j)
			again.results = append(again.results, change.results...)
		})
		return
	}
	j.SetVisibleState(state)
	if state != bookkeeper.StateQueued && state != bookkeeper.StateRunning {
		c.Meter.Count("jobs-" + state)
		c.Log.Info().Str("job", j.ID).Str("state", state).Dur("after", j.EndedAt().Sub(j.AcceptedAt)).Msg("job ended")
	}
	c.markRecorded(change.results)
	c.wakePlanner()
}

// markRecorded lets the endpoints forget the run results.
func (*Coordinator) markRecorded(results []resultID) {
	for _, a := range results {
		a.vm.markRecorded(a.incarnation, a.sequence)
	}
}

// blockKey returns the key of the record with the block of the job.
func blockKey(id, block string) string { return keyBlock + id + "/" + block }

// parseBlockKey returns the ID of the job and the name of the block in a key that blockKey returned.
func parseBlockKey(key string) (id, block string, ok bool) {
	rest, ok := strings.CutPrefix(key, keyBlock)
	separator := strings.LastIndexByte(rest, '/')
	if !ok || separator < 0 {
		return "", "", false
	}
	return rest[:separator], rest[separator+1:], true
}
