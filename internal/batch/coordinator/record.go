package coordinator

import (
	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/fleet/committer"
	"bamboohook/internal/fleet/storekeeper"
)

// CollectWrite returns a write with the records of everything that has changed since the last call, and false if nothing has changed.
func (c *Coordinator) CollectWrite() (committer.Write, bool) {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	s := &c.state
	if !s.owning || len(s.changedJobs)+len(s.recordWaiters)+len(s.removedKeys)+len(s.changedVMs) == 0 && !s.modelRecordDue {
		return committer.Write{}, false
	}
	var records []storekeeper.Record
	recordedStates := map[*bookkeeper.Job]string{}
	for j := range s.changedJobs {
		records = append(records, storekeeper.Record{Key: keyProgress + j.ID, Value: j.Progress()})
		recordedStates[j] = j.State()
	}
	for _, key := range s.removedKeys {
		records = append(records, storekeeper.Record{Key: key})
	}
	var vmsWithRecord []*vm
	for name := range s.changedVMs {
		r := storekeeper.Record{Key: keyVM + name}
		if v, ok := s.vms[name]; ok && v.mayHaveRuns {
			r.Value = []byte("{}")
			vmsWithRecord = append(vmsWithRecord, v)
		}
		records = append(records, r)
	}
	if s.modelRecordDue {
		records = append(records, storekeeper.Record{Key: keyModel, Value: s.interferenceModel.Encode()})
		s.recordedUpdates, s.modelRecordDue = s.interferenceModel.Updates(), false
	}
	results, waiters, epoch := s.unrecordedResults, s.recordWaiters, s.epoch
	s.changedJobs, s.unrecordedResults, s.recordWaiters, s.removedKeys = map[*bookkeeper.Job]struct{}{}, nil, nil, nil
	s.changedVMs = map[string]struct{}{}
	return committer.Write{Records: records, Done: func(err error) {
		c.applyStoredWrite(epoch, err, recordedStates, results, vmsWithRecord)
		for _, w := range waiters {
			w(err)
		}
	}}, true
}

// applyStoredWrite applies a write after it was stored: callers then see the recorded job states, endpoints may forget the recorded run results,
// and tasks may start on the VMs in vmsWithRecord, whose stored records say that they may have runs. It does nothing if the write has failed
// or if the epoch has ended.
func (c *Coordinator) applyStoredWrite(epoch uint64, err error, recordedStates map[*bookkeeper.Job]string, results []resultID, vmsWithRecord []*vm) {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	if err != nil || !c.state.owning || c.state.epoch != epoch {
		return
	}
	for j, state := range recordedStates {
		j.SetVisibleState(state)
		if state != bookkeeper.StateQueued && state != bookkeeper.StateRunning {
			c.Meter.Count("jobs-" + state)
			c.Log.Info().Str("job", j.ID).Str("state", state).Dur("after", j.EndedAt().Sub(j.AcceptedAt)).Msg("job ended")
		}
	}
	for _, a := range results {
		a.vm.markRecorded(a.incarnation, a.sequence)
	}
	for _, v := range vmsWithRecord {
		// All runs on the VM may have ended while the record was written.
		v.recordStored = v.mayHaveRuns
	}
	c.wakePlanner()
}
