package coordinator

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"bamboohook/internal/batch/antagonist"
	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/dispatcher"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/storekeeper"
)

// Keys of the records in the store. The first three are prefixes.
const (
	keyJob      = "job/"
	keyProgress = "progress/"
	keyVM       = "vm/"
	keyModel    = "pressures"
)

const (
	// tickInterval is the longest delay until due occurrences, lost VMs and orders to repeat are noticed.
	tickInterval = 50 * time.Millisecond
	// retentionMargin is added to the retention of ended jobs, so that they are kept a little longer than callers may ask for them.
	retentionMargin = 5 * time.Second
)

type (
	state struct {
		mutex       sync.Mutex
		owning      bool
		epoch       uint64
		takenOverAt time.Time
		// runsKnown reports whether all runs are known that an earlier owner may have started.
		runsKnown    bool
		restoredJobs map[*bookkeeper.Job]struct{}

		jobs   *bookkeeper.Bookkeeper
		queues map[string]Queue
		// acceptedQueues holds the configuration of each queue at the last acceptance of a job. It applies when the current configuration
		// does not contain the queue.
		acceptedQueues       map[string]Queue
		configurationVersion int64
		vms                  map[string]*vm
		runs                 map[*bookkeeper.Task]*run

		pendingSubmissions map[string]*pendingResponse
		changedJobs        map[*bookkeeper.Job]struct{}
		unrecordedResults  []resultID
		recordWaiters      []func(error)
		removedJobs        []string
		// changedVMs holds the names of the VMs whose mayHaveRuns has changed.
		changedVMs map[string]struct{}
		wake       chan struct{}
		dispatcher dispatcher.Dispatcher
		model      antagonist.Model
		// recordedObservations is the number of observations in the last record of the model, and modelRecordedAt the time of that record.
		// modelRecordDue reports whether the model should be recorded again.
		recordedObservations int
		modelRecordedAt      time.Time
		modelRecordDue       bool
		// adviceAskedAt is when tickets were last requested for each step.
		ticketsRequestedAt map[string]time.Time
		// summarisedAt is when the load was last logged.
		loadLoggedAt time.Time
	}

	// acceptance is a pending submission or cancellation. done is closed once the response is set.
	pendingResponse struct {
		done     chan struct{}
		response messenger.JobResponse
	}

	// ack identifies a run result that its endpoint may forget once it is recorded.
	resultID struct {
		vm          *vm
		incarnation int64
		sequence    int64
	}
)

// TakeOwnership makes this entry the owner of the jobs in the epoch and restores them from the records of the store.
func (c *Coordinator) TakeOwnership(epoch uint64, records []storekeeper.Record) {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	now := c.Clock.Now()
	s := &c.state
	s.owning, s.epoch, s.takenOverAt, s.runsKnown = true, epoch, now, false
	s.jobs, s.acceptedQueues = bookkeeper.New(), map[string]Queue{}
	s.vms, s.runs, s.restoredJobs = map[string]*vm{}, map[*bookkeeper.Task]*run{}, map[*bookkeeper.Job]struct{}{}
	s.pendingSubmissions, s.changedJobs = map[string]*pendingResponse{}, map[*bookkeeper.Job]struct{}{}
	s.unrecordedResults, s.recordWaiters, s.removedJobs = nil, nil, nil
	s.changedVMs = map[string]struct{}{}
	progress := map[string][]byte{}
	s.model, s.recordedObservations, s.modelRecordedAt = antagonist.Model{}, 0, now
	for _, r := range records {
		if id, ok := strings.CutPrefix(r.Key, keyProgress); ok {
			progress[id] = r.Value
		}
		if r.Key == keyModel {
			if err := s.model.Restore(r.Value); err != nil {
				// The model starts empty and is learned again.
				c.Log.Error().Err(err).Msg("cannot restore the interference model; starting with an empty one")
			}
		}
	}
	for _, r := range records {
		if name, ok := strings.CutPrefix(r.Key, keyVM); ok {
			s.vms[name] = c.newVM(name)
			s.vms[name].mayHaveRuns, s.vms[name].recordStored = true, true
		}
		id, ok := strings.CutPrefix(r.Key, keyJob)
		if !ok {
			continue
		}
		var accepted jobRecord
		err := json.Unmarshal(r.Value, &accepted)
		if err == nil {
			err = s.jobs.Restore(accepted.Job, progress[id], c.WallClock.Now())
		}
		if err != nil {
			// The record stays in the store, so that a later version of the program can read it.
			c.Log.Error().Err(err).Str("job", id).Msg("cannot restore a job from its record")
			continue
		}
		s.acceptedQueues[accepted.Job.Queue] = accepted.Queue
		s.restoredJobs[s.jobs.Job(id)] = struct{}{}
	}
	known, live := s.jobs.Counts()
	c.Log.Info().Uint64("epoch", epoch).Int("jobs", known).Int("live", live).Int("vms", len(s.vms)).Msg("ownership taken")
	c.wakePlanner()
}

// Resign ends the ownership of the epoch, unless a later epoch has begun. It answers pending submissions with
// messenger.OutcomeNotOwner.
func (c *Coordinator) Resign(epoch uint64, reason string) {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	s := &c.state
	if !s.owning || s.epoch != epoch {
		return
	}
	s.owning = false
	c.Log.Info().Uint64("epoch", s.epoch).Str("reason", reason).Msg("ownership ended")
	for id, pending := range s.pendingSubmissions {
		pending.response = messenger.JobResponse{Outcome: messenger.OutcomeNotOwner}
		close(pending.done)
		delete(s.pendingSubmissions, id)
	}
}

// Owning returns the current epoch, and whether this entry owns the jobs.
func (c *Coordinator) Owning() (uint64, bool) {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	return c.state.epoch, c.state.owning
}

// AgentAddresses returns the addresses of all known agents.
func (c *Coordinator) AgentAddresses() []string {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	return slices.Sorted(maps.Keys(c.state.vms))
}

// Configure applies a configuration. It ignores versions that are not newer than the current one.
func (c *Coordinator) Configure(version int64, queues map[string]Queue) {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	if version <= c.state.configurationVersion {
		return
	}
	c.state.configurationVersion, c.state.queues = version, queues
	c.wakePlanner()
}
