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

// Keys of the records.
const (
	keyJob      = "job/"
	keyProgress = "progress/"
	keyVM       = "vm/"
	keyModel    = "pressures"
)

const (
	// tickInterval bounds how late due occurrences, lost VMs and repeated orders are noticed.
	tickInterval = 50 * time.Millisecond
	// dropMargin keeps ended jobs a little longer than callers may ask for them.
	dropMargin = 5 * time.Second
)

type (
	state struct {
		mutex  sync.Mutex
		owning bool
		epoch  uint64
		taken  time.Time
		// settled tells that the runs of all VMs are known that an earlier owner may have used.
		settled  bool
		restored map[*bookkeeper.Job]struct{}

		books   *bookkeeper.Bookkeeper
		queues  map[string]Queue
		origin  map[string]Queue
		version int64
		vms     map[string]*vm
		runs    map[*bookkeeper.Task]*run

		accepting  map[string]*acceptance
		dirty      map[*bookkeeper.Job]struct{}
		unrecorded []ack
		waiters    []func(error)
		drops      []string
		// changedVMs have changed in whether they may have runs.
		changedVMs map[string]struct{}
		wake       chan struct{}
		dispatcher dispatcher.Dispatcher
		model      antagonist.Model
		// modelChanges and modelAt are those of the last record of the model; modelDue tells that another one is wanted.
		modelChanges int
		modelAt      time.Time
		modelDue     bool
		// asked is when advice for a step was last asked for.
		asked map[string]time.Time
		// summarised is when the load was last logged.
		summarised time.Time
	}

	acceptance struct {
		done   chan struct{}
		answer messenger.JobResponse
	}

	// ack is an end that may be forgotten by its endpoint once it is recorded.
	ack struct {
		vm       *vm
		life     int64
		sequence int64
	}
)

// TakeOwnership starts owning with the records of the store.
func (c *Coordinator) TakeOwnership(epoch uint64, records []storekeeper.Record) {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	now := c.Clock.Now()
	s := &c.state
	s.owning, s.epoch, s.taken, s.settled = true, epoch, now, false
	s.books, s.origin = bookkeeper.New(), map[string]Queue{}
	s.vms, s.runs, s.restored = map[string]*vm{}, map[*bookkeeper.Task]*run{}, map[*bookkeeper.Job]struct{}{}
	s.accepting, s.dirty = map[string]*acceptance{}, map[*bookkeeper.Job]struct{}{}
	s.unrecorded, s.waiters, s.drops = nil, nil, nil
	s.changedVMs = map[string]struct{}{}
	progress := map[string][]byte{}
	s.model, s.modelChanges, s.modelAt = antagonist.Model{}, 0, now
	for _, r := range records {
		if id, ok := strings.CutPrefix(r.Key, keyProgress); ok {
			progress[id] = r.Value
		}
		if r.Key == keyModel {
			if err := s.model.Restore(r.Value); err != nil {
				// It is learned again.
				c.Log.Error().Err(err).Msg("record of pressures cannot be used")
			}
		}
	}
	for _, r := range records {
		if name, ok := strings.CutPrefix(r.Key, keyVM); ok {
			s.vms[name] = c.newVM(name)
			s.vms[name].mayRun, s.vms[name].stored = true, true
		}
		id, ok := strings.CutPrefix(r.Key, keyJob)
		if !ok {
			continue
		}
		var a accepted
		err := json.Unmarshal(r.Value, &a)
		if err == nil {
			err = s.books.Restore(a.Job, progress[id], c.WallClock.Now())
		}
		if err != nil {
			// The record stays in the store for a later version of the program.
			c.Log.Error().Err(err).Str("job", id).Msg("record of a job cannot be used")
			continue
		}
		s.origin[a.Job.Queue] = a.Queue
		s.restored[s.books.Job(id)] = struct{}{}
	}
	known, live := s.books.Counts()
	c.Log.Info().Uint64("epoch", epoch).Int("jobs", known).Int("live", live).Int("vms", len(s.vms)).Msg("ownership taken")
	c.kick()
}

// Resign stops owning the epoch, unless a later one was taken. Calls in progress are answered with messenger.OutcomeNotOwner.
func (c *Coordinator) Resign(epoch uint64, reason string) {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	s := &c.state
	if !s.owning || s.epoch != epoch {
		return
	}
	s.owning = false
	c.Log.Info().Uint64("epoch", s.epoch).Str("reason", reason).Msg("ownership ended")
	for id, a := range s.accepting {
		a.answer = messenger.JobResponse{Outcome: messenger.OutcomeNotOwner}
		close(a.done)
		delete(s.accepting, id)
	}
}

// Owning reports whether Take was called after the last Resign, and the epoch.
func (c *Coordinator) Owning() (uint64, bool) {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	return c.state.epoch, c.state.owning
}

// AgentAddresses returns the addresses of the agents known.
func (c *Coordinator) AgentAddresses() []string {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	return slices.Sorted(maps.Keys(c.state.vms))
}

// Configure puts a configuration in force. Older versions are ignored.
func (c *Coordinator) Configure(version int64, queues map[string]Queue) {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	if version <= c.state.version {
		return
	}
	c.state.version, c.state.queues = version, queues
	c.kick()
}
