package coordinator

import (
	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/fleet/committer"
	"bamboohook/internal/fleet/storekeeper"
)

// Collect returns the records of what changed since its last call.
func (c *Coordinator) Collect() (committer.Write, bool) {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	s := &c.state
	if !s.owning || len(s.dirty)+len(s.waiters)+len(s.drops)+len(s.changedVMs) == 0 && !s.modelDue {
		return committer.Write{}, false
	}
	var records []storekeeper.Record
	shown := map[*bookkeeper.Job]string{}
	for j := range s.dirty {
		records = append(records, storekeeper.Record{Key: keyProgress + j.ID, Value: j.Progress()})
		shown[j] = j.State()
	}
	for _, id := range s.drops {
		records = append(records, storekeeper.Record{Key: keyJob + id}, storekeeper.Record{Key: keyProgress + id})
	}
	var vms []*vm
	for name := range s.changedVMs {
		r := storekeeper.Record{Key: keyVM + name}
		if v, ok := s.vms[name]; ok && v.mayRun {
			r.Value = []byte("{}")
			vms = append(vms, v)
		}
		records = append(records, r)
	}
	if s.modelDue {
		records = append(records, storekeeper.Record{Key: keyModel, Value: s.model.Record()})
		s.modelChanges, s.modelDue = s.model.Observations(), false
	}
	acks, waiters, epoch := s.unrecorded, s.waiters, s.epoch
	s.dirty, s.unrecorded, s.waiters, s.drops = map[*bookkeeper.Job]struct{}{}, nil, nil, nil
	s.changedVMs = map[string]struct{}{}
	return committer.Write{Records: records, Done: func(err error) {
		c.recorded(epoch, err, shown, acks, vms)
		for _, w := range waiters {
			w(err)
		}
	}}, true
}

// recorded makes visible what was stored.
func (c *Coordinator) recorded(epoch uint64, err error, shown map[*bookkeeper.Job]string, acks []ack, vms []*vm) {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	if err != nil || !c.state.owning || c.state.epoch != epoch {
		return
	}
	for j, state := range shown {
		j.SetVisibleState(state)
		if state != bookkeeper.StateQueued && state != bookkeeper.StateRunning {
			c.Meter.Count("jobs-" + state)
			c.Log.Info().Str("job", j.ID).Str("state", state).Dur("after", j.EndedAt().Sub(j.AcceptedAt)).Msg("job ended")
		}
	}
	for _, a := range acks {
		a.vm.acknowledge(a.life, a.sequence)
	}
	for _, v := range vms {
		// The VM may have become empty while it was recorded.
		v.stored = v.mayRun
	}
	c.kick()
}
