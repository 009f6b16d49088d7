package entry

import (
	"context"
	"encoding/json"
	"slices"
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

// snapshotName is the name of the snapshots of the configuration in the configuration stream.
const snapshotName = "configuration"

// configuration reads the changes of the configuration from the configuration stream of the log and applies
// each new revision to the entry. It also fetches newer revisions from other entries, because the log may be
// unavailable.
type configuration struct {
	entry        *Entry
	configurator *configurator.Configurator
	appender     *appender.Appender
	replayer     *replayer.Replayer
	publisher    *publisher.Publisher
	// fetching is true while the configuration is fetched from another entry.
	fetching atomic.Bool
	// confirmed is true after this entry had the revision of another entry, or a newer one, and that entry had read the
	// configuration stream to its end.
	confirmed atomic.Bool

	// mutex guards revision, the number of the last revision that was applied to the entry, and inventory, the
	// VMs, services, teams, kinds and rules that the last valid revision declares.
	mutex     sync.Mutex
	revision  uint64
	inventory *inventory.Inventory
}

// newConfiguration returns the configuration of the entry, before any revision is applied.
func newConfiguration(e *Entry) *configuration {
	c := &configuration{entry: e, configurator: configurator.New(configurator.Options{}), inventory: &inventory.Inventory{}}
	c.appender = appender.New(appender.Options{
		Log: e.logClient, Clock: e.clock, Stream: configurationStream, Writer: e.Settings.Name + "-" + e.generation,
	})
	c.replayer = &replayer.Replayer{
		Follower:    follower.New(follower.Options{Log: e.logClient, Clock: e.clock, Stream: configurationStream}),
		Snapshotter: snapshotter.New(snapshotter.Options{Retention: e.Settings.LogRetention}), StateMachine: c, SnapshotName: snapshotName,
		Append: c.appender.Append, IsSnapshotWriter: func() bool { return e.isSnapshotWriter(configurationStream) },
		SnapshotRequested: func() bool { return e.entryNeedsSnapshot(configurationStream) }, Clock: e.clock,
	}
	c.publisher = &publisher.Publisher{Appender: c.appender, Log: e.logClient, Clock: e.clock, Stream: configurationStream}
	return c
}

// run reads changes from the configuration stream and applies them until ctx ends.
func (c *configuration) run(ctx context.Context) {
	for {
		records, err := c.replayer.Next(ctx)
		if err != nil {
			return
		}
		for offset, changes := range changesByOffset(records) {
			c.configurator.Apply(offset, changes...)
		}
		c.applyNewRevision()
	}
}

// changesByOffset decodes the changes in consecutive records of the configuration stream. Records that were
// appended together have the same offset. For each offset, changesByOffset yields the offset and its changes,
// in the order of the stream. It leaves out records that hold no change.
func changesByOffset(records []replayer.Record) func(func(uint64, []configurator.Change) bool) {
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

// Snapshot returns the encoded state of the configuration.
func (c *configuration) Snapshot() ([]byte, error) {
	data, err := json.Marshal(c.configurator.State())
	return data, eris.Wrap(err, "entry: cannot encode the configuration")
}

// Restore replaces the configuration by that of the snapshot in data. A snapshot with an older revision than
// the present one is ignored without an error.
func (c *configuration) Restore(data []byte, _ uint64) error {
	var state configurator.State
	if err := json.Unmarshal(data, &state); err != nil {
		return eris.Wrap(err, "entry: cannot parse the snapshot of the configuration")
	}
	// A snapshot may be older than the configuration that was fetched from another entry. The revision must not
	// decrease.
	if err := c.configurator.InstallState(state); err != nil && !eris.Is(err, configurator.ErrStale) {
		return err
	}
	c.applyNewRevision()
	return nil
}

// applyNewRevision applies the newest known revision of the configuration to the other components of the entry,
// unless it was applied before.
func (c *configuration) applyNewRevision() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.configurator.State()
	if state.Revision <= c.revision {
		return
	}
	inv, err := inventory.New(state.Sections)
	if err != nil {
		// Entries validate each change before they append it, so this change was appended by an entry of a
		// newer release, which accepts more than this one.
		c.entry.Logger.Error().Err(err).Uint64("revision", state.Revision).Msg("configuration revision is invalid for this release; the last valid configuration stays in use")
		inv = c.inventory
	}
	c.revision, c.inventory = state.Revision, inv
	c.entry.applyInventory(inv)
	c.entry.owner.Configure(inv)
	c.entry.recordEvent("configuration", strconv.FormatUint(state.Revision, 10), map[string]string{"hash": state.Hash})
}

// appliedRevision returns the number of the last revision of the configuration that was applied to the entry,
// and its inventory. If the sections of that revision are invalid for this release, it returns the last valid
// inventory.
func (c *configuration) appliedRevision() (uint64, *inventory.Inventory) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.revision, c.inventory
}

// admitsVM reports whether the VM may receive new requests and tasks: the inventory declares the VM, or it
// declares no VM at all.
func (c *configuration) admitsVM(vm string) bool {
	_, inv := c.appliedRevision()
	_, ok := inv.VMs[vm]
	return ok || len(inv.VMs) == 0
}

// ready reports whether the configuration is current. That is the case if the configuration stream was read to its end, or if
// this entry has the revision of another entry that has done so. A revision that was applied before says nothing: it may come from an old
// snapshot, which still contains rules and VMs that were withdrawn since, and the log may be unavailable after it.
func (c *configuration) ready() bool { return c.replayer.CaughtUp() || c.confirmed.Load() }

// fetchIfNewer fetches the configuration from the entry at the address and applies it, if revision, the one
// that the entry has, is newer than the applied one. This keeps the configuration current while the log cannot
// be read. While another fetch is in progress, fetchIfNewer does nothing.
func (c *configuration) fetchIfNewer(address string, revision uint64) {
	if current, _ := c.appliedRevision(); revision <= current || !c.fetching.CompareAndSwap(false, true) {
		return
	}
	defer c.fetching.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var state message.ConfigurationState
	if err := c.entry.clients.get(address).Call(ctx, message.MethodConfiguration, message.ConfigurationRequest{}, &state); err != nil {
		return
	}
	if err := c.configurator.InstallState(configurator.State(state)); err == nil {
		c.applyNewRevision()
	}
}

// followEntry fetches the configuration of another entry, from which the presence message p has arrived, if it is newer than the applied one.
func (c *configuration) followEntry(p message.Presence) {
	c.fetchIfNewer(p.Address, p.Revision)
	if current, _ := c.appliedRevision(); current >= p.Revision && slices.Contains(p.CompleteStreams, configurationStream) {
		c.confirmed.Store(true)
	}
}

// handleConfiguration responds to another entry or an agent with the configuration of this entry. The response
// has no sections if its revision is not newer than r.SinceRevision, and only the section of the VM if r.VM is
// set: after each change all agents ask for the configuration, and copying all sections for each of them would
// make up most of the cost of distributing a change.
func (c *configuration) handleConfiguration(_ context.Context, r message.ConfigurationRequest) (message.ConfigurationState, error) {
	state := message.ConfigurationState(c.configurator.PartialState())
	switch {
	case state.Revision <= r.SinceRevision:
		state.Sections = nil
	case r.VM != "":
		state = message.ConfigurationState(c.configurator.PartialState("vm." + r.VM))
	default:
		state = message.ConfigurationState(c.configurator.State())
	}
	return state, nil
}
