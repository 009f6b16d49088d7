package entry

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"bamboohook/appender"
	"bamboohook/configurator"
	"bamboohook/follower"
	"bamboohook/internal/inventory"
	"bamboohook/internal/message"
	"bamboohook/internal/publisher"
	"bamboohook/internal/replayer"
	"bamboohook/snapshotter"
)

// snapshotName marks snapshots of the configuration.
const snapshotName = "configuration"

// configuration keeps the configuration in effect from the log, or from a peer while the log cannot be read.
type configuration struct {
	entry    *Entry
	current  *configurator.Configurator
	appender *appender.Appender
	replay   *replayer.Replayer
	publish  *publisher.Publisher
	fetching atomic.Bool

	mutex    sync.Mutex
	revision uint64
	view     *inventory.Inventory
}

func newConfiguration(e *Entry) *configuration {
	c := &configuration{entry: e, current: configurator.New(configurator.Options{}), view: &inventory.Inventory{}}
	c.appender = appender.New(appender.Options{
		Log: e.log, Clock: e.clock, Stream: streamConfiguration, Writer: e.Settings.Name + "-" + e.generation,
	})
	c.replay = &replayer.Replayer{
		Follower:    follower.New(follower.Options{Log: e.log, Clock: e.clock, Stream: streamConfiguration}),
		Snapshotter: snapshotter.New(snapshotter.Options{Retention: e.Settings.LogRetention}), StateMachine: c, SnapshotName: snapshotName,
		Append: c.appender.Append, IsSnapshotWriter: func() bool { return e.elected(streamConfiguration) },
		SnapshotRequested: func() bool { return e.wanted(streamConfiguration) }, Clock: e.clock,
	}
	c.publish = &publisher.Publisher{Appender: c.appender, Log: e.log, Clock: e.clock, Stream: streamConfiguration}
	return c
}

// run applies the changes in the log until ctx ends.
func (c *configuration) run(ctx context.Context) {
	for {
		records, err := c.replay.Next(ctx)
		if err != nil {
			return
		}
		for offset, changes := range group(records) {
			c.current.Apply(offset, changes...)
		}
		c.refresh()
	}
}

// group yields the changes of each batch in the order of the stream.
func group(records []replayer.Record) func(func(uint64, []configurator.Change) bool) {
	return func(yield func(uint64, []configurator.Change) bool) {
		for n := 0; n < len(records); {
			offset := records[n].Offset
			var changes []configurator.Change
			for ; n < len(records) && records[n].Offset == offset; n++ {
				var change configurator.Change
				if records[n].Record.Kind == configurator.RecordKind && json.Unmarshal(records[n].Record.Body, &change) == nil {
					changes = append(changes, change)
				}
			}
			if !yield(offset, changes) {
				return
			}
		}
	}
}

// Snapshot returns the configuration in effect.
func (c *configuration) Snapshot() ([]byte, error) {
	data, err := json.Marshal(c.current.State())
	return data, eris.Wrap(err, "entry: cannot encode the configuration")
}

// Restore adopts the configuration of a snapshot.
func (c *configuration) Restore(data []byte, _ uint64) error {
	var state configurator.State
	if err := json.Unmarshal(data, &state); err != nil {
		return eris.Wrap(err, "entry: snapshot of the configuration does not parse")
	}
	// An older snapshot than the state that a peer gave is no error: the state never goes back.
	if err := c.current.InstallState(state); err != nil && !eris.Is(err, configurator.ErrStale) {
		return err
	}
	c.refresh()
	return nil
}

// refresh puts a new revision into effect in this process.
func (c *configuration) refresh() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.current.State()
	if state.Revision <= c.revision {
		return
	}
	view, err := inventory.New(state.Sections)
	if err != nil {
		// Entries validate before they append, so this is a record of a newer release.
		c.entry.Log.Error().Err(err).Uint64("revision", state.Revision).Msg("configuration is not understood")
		view = c.view
	}
	c.revision, c.view = state.Revision, view
	c.entry.applyInventory(view)
	c.entry.owner.Configure(view)
	c.entry.note("configuration", strconv.FormatUint(state.Revision, 10), map[string]string{"hash": state.Hash})
}

// inEffect returns the revision that this process has put into effect, and its typed view.
func (c *configuration) inEffect() (uint64, *inventory.Inventory) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.revision, c.view
}

// declares reports whether the VM may be used: it is in the inventory, or no VM is declared yet.
func (c *configuration) declares(vm string) bool {
	_, view := c.inEffect()
	_, ok := view.VMs[vm]
	return ok || len(view.VMs) == 0
}

// ready reports whether a configuration was read to its end once, or one was adopted.
func (c *configuration) ready() bool {
	revision, _ := c.inEffect()
	return revision > 0 || c.replay.CaughtUp()
}

// heard fetches the configuration of a peer that has a newer revision, which helps while the log cannot be read.
func (c *configuration) heard(address string, revision uint64) {
	if mine, _ := c.inEffect(); revision <= mine || !c.fetching.CompareAndSwap(false, true) {
		return
	}
	defer c.fetching.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var state message.ConfigurationState
	if err := c.entry.clients.at(address).Call(ctx, message.MethodConfiguration, message.ConfigurationRequest{}, &state); err != nil {
		return
	}
	if err := c.current.InstallState(configurator.State(state)); err == nil {
		c.refresh()
	}
}

// answer returns the state for a peer. With a VM it holds only what an agent needs of it: after a change every agent
// asks, and a copy of all sections for each of them is the larger part of the cost.
func (c *configuration) answer(_ context.Context, r message.ConfigurationRequest) (message.ConfigurationState, error) {
	state := message.ConfigurationState(c.current.PartialState())
	switch {
	case state.Revision <= r.SinceRevision:
		state.Sections = nil
	case r.VM != "":
		state = message.ConfigurationState(c.current.PartialState("vm." + r.VM))
	default:
		state = message.ConfigurationState(c.current.State())
	}
	return state, nil
}
