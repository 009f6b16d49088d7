package coordinator

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/internal/batch/antagonist"
	"bamboohook/internal/batch/appraiser"
	"bamboohook/internal/batch/assessor"
	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/delayer"
	"bamboohook/internal/batch/dispatcher"
	"bamboohook/internal/batch/inquirer"
	"bamboohook/internal/fleet/evacuation"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/storekeeper"
)

// Keys of the records in the store. keyJob and keyProgress are followed by the ID of a job, keyBlock also by the name of a block of its tasks, keyVM
// by the name of a VM. keyModel is the whole key of the interference model's record.
const (
	keyJob      = "job/"
	keyProgress = "progress/"
	keyBlock    = "tasks/"
	keyVM       = "vm/"
	keyModel    = "pressures"
)

const (
	// tickInterval is the time between two calls of Tick, and so the longest delay until due occurrences, lost VMs and orders that must be
	// repeated are handled.
	tickInterval = 50 * time.Millisecond
	// retentionMargin is added to the retention of ended jobs, so that they are kept a little longer than callers may ask for them.
	retentionMargin = 5 * time.Second
)

type (
	// state is the state of a Coordinator that the mutex protects.
	state struct {
		mutex sync.Mutex
		// owning reports whether this entry is the owner of the jobs. epoch numbers the periods of ownership: each new owner gets a higher
		// number. takenOverAt is when this entry last became the owner.
		owning      bool
		epoch       uint64
		takenOverAt time.Time
		// lastSession is the last number that was given to an agent process in the epoch.
		lastSession uint64
		// runsKnown reports whether the owner knows all runs that an earlier owner may have started.
		runsKnown bool
		// restoredJobs holds the jobs that were accepted before this entry last became the owner.
		restoredJobs map[*bookkeeper.Job]struct{}
		// predecessorsJobs holds the restored jobs that the previous owner has accepted. They had no other owner, so the number of a run identifies it.
		predecessorsJobs map[*bookkeeper.Job]struct{}

		jobs *bookkeeper.Bookkeeper
		// queues holds the current configuration of each queue by the queue's name, configurationVersion is the version of the
		// configuration.
		queues map[string]Queue
		// acceptedQueues holds, by the name of the queue, its configuration when one of its jobs was last accepted. It applies if the current
		// configuration does not contain the queue.
		acceptedQueues       map[string]Queue
		configurationVersion int64
		// vms holds the VMs by their names.
		vms map[string]*vm
		// runs holds the run of each task that has a run whose result matters.
		runs map[*bookkeeper.Task]*run

		// tombstones holds the cancellations of jobs that were unknown.
		tombstones map[jobKey]*tombstone
		// pendingSubmissions holds the submissions that are not recorded yet, by the IDs of the jobs.
		pendingSubmissions map[string]*pendingResponse
		// pendingStarts holds the requested records of the starts of jobs.
		pendingStarts map[*bookkeeper.Job]*pendingStart
		// The next fields belong to the next writes to the store: the jobs whose progress has changed, in the order of their turns, their changes,
		// and the keys of the records to remove.
		changedJobs []*bookkeeper.Job
		changes     map[*bookkeeper.Job]*jobChange
		removedKeys []string
		// delayedRetries holds what Tick will do about rejected writes, in the order of the times.
		delayedRetries []delayedRetry
		// changedVMs holds the names of the VMs whose records must be written, because their mayHaveRuns has changed or they were lost.
		changedVMs map[string]struct{}
		// vmsWithChangedRuns holds the VMs whose runs may need orders, by their names. All VMs were last searched for due orders at
		// ordersScannedAt.
		vmsWithChangedRuns map[string]*vm
		ordersScannedAt    time.Time
		// confirming reports whether ConfirmOwnership is in progress, confirmationRequestedAt is when it was last called.
		confirming              bool
		confirmationRequestedAt time.Time
		// announcementBudget is the number of agents without a report that may be called at announcementBudgetAt.
		announcementBudget   float64
		announcementBudgetAt time.Time
		// wake receives a value when Run should plan soon. wakeChannelLocked creates it.
		wake       chan struct{}
		dispatcher dispatcher.Dispatcher
		// interferenceModel estimates the interference between programs from the latencies in the reports.
		interferenceModel antagonist.Model
		// recordedUpdates is the number of updates of the model that its last record contains, modelRecordRequestedAt the time when a record
		// was last requested. modelRecordDue reports whether the next write must contain a record of the model.
		recordedUpdates        int
		modelRecordRequestedAt time.Time
		modelRecordDue         bool
		// assessor recognises that best-effort work is short of processors, which was last checked at shortageCheckedAt. appraiser estimates what work is
		// worth then.
		assessor          assessor.Assessor
		shortageCheckedAt time.Time
		appraiser         appraiser.Appraiser
		// inquirer chooses the requests to the Advisor and keeps its tickets.
		inquirer inquirer.Inquirer
		// evacuations is the set of evacuated data centres that the last plan used, or nil. evacuationsUnknown reports that the plan placed nothing because
		// the set was unknown or too old.
		// All VMs have their Evacuated according to this set.
		evacuations        *evacuation.Set
		evacuationsUnknown bool
		// loadLoggedAt is when the total load was last logged.
		loadLoggedAt time.Time
	}

	// pendingResponse is the response to a submission or a cancellation that is not recorded yet. done is closed once the response is set.
	pendingResponse struct {
		done     chan struct{}
		response messenger.JobResponse
	}

	// pendingStart is a requested record of the start of a job. done is closed once the record is stored or has failed; finished reports whether it is.
	pendingStart struct {
		done     chan struct{}
		finished bool
	}

	// resultID identifies a run result by its VM, the incarnation of its endpoint process and the sequence number that the process gave it. The
	// endpoint may forget the result once it is recorded.
	resultID struct {
		vm          *vm
		incarnation int64
		sequence    int64
	}
)

// TakeOwnership makes this entry the owner of the jobs in the epoch. It restores the jobs, the VMs that may have runs and the interference
// model from the records of the store.
func (c *Coordinator) TakeOwnership(epoch uint64, records []storekeeper.Record) {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	now := c.Clock.Now()
	s := &c.state
	s.owning, s.epoch, s.takenOverAt, s.runsKnown, s.lastSession = true, epoch, now, false, 0
	s.jobs, s.acceptedQueues = bookkeeper.New(), map[string]Queue{}
	s.jobs.WaitingClock = c.Clock
	s.vms, s.runs, s.restoredJobs = map[string]*vm{}, map[*bookkeeper.Task]*run{}, map[*bookkeeper.Job]struct{}{}
	s.pendingSubmissions, s.changes = map[string]*pendingResponse{}, map[*bookkeeper.Job]*jobChange{}
	s.pendingStarts = map[*bookkeeper.Job]*pendingStart{}
	s.changedJobs, s.removedKeys, s.delayedRetries = nil, nil, nil
	s.changedVMs, s.predecessorsJobs = map[string]struct{}{}, map[*bookkeeper.Job]struct{}{}
	s.vmsWithChangedRuns, s.ordersScannedAt = map[string]*vm{}, time.Time{}
	s.announcementBudget, s.announcementBudgetAt = maxAnnouncementBurst, now
	s.inquirer = inquirer.Inquirer{}
	s.dispatcher = dispatcher.Dispatcher{}
	if c.Limits.RemoteFactor > 1 {
		// What an earlier owner has learnt is lost. Until enough runs have ended, no task waits for its rack.
		s.dispatcher.Delayer = &delayer.Delayer{RemoteFactor: c.Limits.RemoteFactor}
	}
	s.interferenceModel, s.recordedUpdates, s.modelRecordRequestedAt = antagonist.Model{}, 0, now
	s.assessor, s.appraiser, s.shortageCheckedAt = assessor.Assessor{}, appraiser.Appraiser{}, now
	c.restoreTombstones(records)
	stored := groupRecords(records)
	for _, r := range records {
		if name, ok := strings.CutPrefix(r.Key, keyVM); ok {
			c.restoreVM(name, r.Value)
		}
		if r.Key == keyModel {
			if err := s.interferenceModel.Restore(r.Value); err != nil {
				// Later measurements fill the empty model again.
				c.Log.Error().Err(err).Msg("cannot restore the interference model; starting with an empty one")
			}
		}
		if id, ok := strings.CutPrefix(r.Key, keyJob); ok {
			c.restoreJob(id, r.Value, stored)
		}
	}
	s.removedKeys = stored.keysWithoutJob()
	c.Journal.Notify()
	known, live := s.jobs.CountJobs()
	c.Log.Info().Uint64("epoch", epoch).Int("jobs", known).Int("live", live).Int("vms", len(s.vms)).Msg("this entry now owns the jobs")
	c.wakePlanner()
}

// restoreJob restores the job with the ID from its record and from those of its progress.
func (c *Coordinator) restoreJob(id string, value []byte, stored storedProgress) {
	s := &c.state
	var accepted jobRecord
	err := json.Unmarshal(value, &accepted)
	if err == nil && accepted.Job.ID != id {
		err = eris.New("coordinator: the record contains a job with another ID than its key")
	}
	if err == nil {
		err = s.jobs.Restore(accepted.Job, stored.jobs[id], stored.blocks[id], c.WallClock.Now())
	}
	if err != nil {
		// The record stays in the store, because a later version of the program may be able to read it.
		c.Log.Error().Err(err).Str("job", id).Msg("cannot restore a job from its record")
		return
	}
	j := s.jobs.Job(id)
	s.acceptedQueues[accepted.Job.Queue] = accepted.Queue
	s.appraiser.Observe(j.Queue, j.Work())
	s.restoredJobs[j] = struct{}{}
	if accepted.Epoch+1 == s.epoch {
		s.predecessorsJobs[j] = struct{}{}
	}
	c.cancelIfTombstoned(id)
	if j.HasUnrecorded() {
		c.jobChanged(j)
	}
}

// Resign ends the ownership of the jobs, unless this entry has become the owner again in a later epoch. Pending submissions get the response
// messenger.OutcomeNotOwner with MayHaveEffect, because their records may be on the way to the store.
func (c *Coordinator) Resign(epoch uint64, reason string) {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	s := &c.state
	if !s.owning || s.epoch != epoch {
		return
	}
	s.owning = false
	c.clearEvacuationMeter(evacuatedDataCentres(s.evacuations))
	c.Log.Info().Uint64("epoch", s.epoch).Str("reason", reason).Msg("this entry no longer owns the jobs")
	for id, pending := range s.pendingSubmissions {
		pending.response = messenger.JobResponse{Outcome: messenger.OutcomeNotOwner, MayHaveEffect: true}
		close(pending.done)
		delete(s.pendingSubmissions, id)
	}
	for _, p := range s.pendingStarts {
		p.finish()
	}
	clear(s.pendingStarts)
}

// Owning returns the epoch in which this entry last became the owner, and whether it still owns the jobs.
func (c *Coordinator) Owning() (uint64, bool) {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	return c.state.epoch, c.state.owning
}

// AgentAddresses returns the addresses of all known agents, which are the names of their VMs.
func (c *Coordinator) AgentAddresses() []string {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	return slices.Sorted(maps.Keys(c.state.vms))
}

// Configure applies a configuration of the queues. It ignores a version that is not newer than the current one.
func (c *Coordinator) Configure(version int64, queues map[string]Queue) {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	if version <= c.state.configurationVersion {
		return
	}
	c.state.configurationVersion, c.state.queues = version, queues
	c.wakePlanner()
}
