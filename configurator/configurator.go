// Package configurator computes the configuration in effect from the changes in a stream. The verdict on a
// change depends only on the stream up to it, so every process reaches the same one.
package configurator

import (
	"maps"
	"sync"

	"github.com/rotisserie/eris"
)

// Defaults of Options.
const (
	DefaultMaxVerdicts = 1024
	// DefaultMaxHistory exceeds the 6,800 changes of a day at the size of section 1.4.
	DefaultMaxHistory = 8192
	DefaultMaxPending = 8192
)

// Outcomes of a change.
const (
	// OutcomeAccepted means that the change is part of the configuration from Verdict.Revision on.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeRefused means that another revision than Verdict.Based was current.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that the verdict cannot be computed here, because the state at the change is not
	// known, or is no longer remembered.
	OutcomeUnknown Outcome = "unknown"
)

var (
	// ErrHash reports a state whose sections do not match its hash.
	ErrHashMismatch = eris.New("configurator: sections do not match the hash")
	// ErrConflict reports a state with the same revision as ours and other sections, or whose revision
	// and offset are ordered in opposite ways to ours.
	ErrConflict = eris.New("configurator: state conflicts with the one in effect")
	// ErrOld reports a state that is older than the one in effect, or too old to be continued from the
	// changes seen since.
	ErrStale = eris.New("configurator: state is too old")
)

type (
	// Outcome is the verdict on a change.
	Outcome string

	// Sections map a section name to its keys and values.
	Sections = map[string]map[string]string

	// Change replaces and removes whole sections. It is accepted if Based is the revision in effect at its
	// position in the stream.
	Change struct {
		// Change identifies the change; it is unique.
		ID           string   `json:"change"`
		BaseRevision uint64   `json:"based"`
		Author       string   `json:"author"`
		Set          Sections `json:"set,omitempty"`
		Removed      []string `json:"removed,omitempty"`
	}

	// Verdict is the outcome of a change. Revision is the one in effect after it.
	Verdict struct {
		ChangeID     string  `json:"change"`
		Outcome      Outcome `json:"outcome"`
		BaseRevision uint64  `json:"based"`
		Revision     uint64  `json:"revision"`
		Offset       uint64  `json:"offset"`
	}

	// State is a complete configuration. Revision counts accepted changes, Offset is the last stream
	// offset that it includes and Hash that of Sections.
	State struct {
		Revision uint64   `json:"revision"`
		Offset   uint64   `json:"offset"`
		Hash     string   `json:"hash"`
		Sections Sections `json:"sections,omitempty"`
	}

	// Accepted is an accepted change with its revision.
	AcceptedChange struct {
		Revision uint64 `json:"revision"`
		Offset   uint64 `json:"offset"`
		Change   Change `json:"change"`
	}

	// Options are the bounds of a Configurator. A zero field means its default.
	Options struct {
		// MaxVerdicts bounds the remembered verdicts and MaxHistory the remembered accepted changes.
		MaxVerdicts int
		MaxHistory  int
		// MaxPending bounds the changes that wait for a state.
		MaxPending int
	}

	// Configurator holds the configuration in effect. Concurrent use is safe.
	Configurator struct {
		options Options

		mutex        sync.RWMutex
		state        State
		synced       bool
		pending      []pendingChanges
		pendingFrom  uint64
		verdicts     map[string]Verdict
		verdictOrder []string
		history      []AcceptedChange
		// behind is set while the stream is read up to the offset of an adopted state.
		backfill *backfill
	}

	// replay recomputes the verdicts of changes that an adopted state already includes. It starts where the stream was
	// read to when the state was adopted.
	backfill struct {
		revision uint64
		history  []AcceptedChange
		verdicts []Verdict
	}

	pendingChanges struct {
		offset  uint64
		changes []Change
	}
)

// New returns a Configurator at revision 0, before the first offset.
func New(options Options) *Configurator {
	setDefault(&options.MaxVerdicts, DefaultMaxVerdicts)
	setDefault(&options.MaxHistory, DefaultMaxHistory)
	setDefault(&options.MaxPending, DefaultMaxPending)
	c := &Configurator{options: options, synced: true, verdicts: map[string]Verdict{}}
	c.state = State{Sections: Sections{}, Hash: Hash(nil)}
	return c
}

// Apply takes all changes of the batch at offset and returns their verdicts. Batches must come in stream order.
// Without changes it only notes that the stream was read to offset. Changes after a gap, and changes at offsets that
// the state already includes, have OutcomeUnknown unless their verdict is remembered. Verdict returns that of the latter
// once the stream was read up to the state without a gap.
func (c *Configurator) Apply(offset uint64, changes ...Change) []Verdict {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	verdicts := make([]Verdict, 0, len(changes))
	c.applyBackfill(offset, changes)
	switch {
	case offset <= c.state.Offset:
		for _, change := range changes {
			verdicts = append(verdicts, c.lookupVerdict(change.ID))
		}
	case !c.synced:
		c.addPending(offset, changes)
		for _, change := range changes {
			verdicts = append(verdicts, Verdict{ChangeID: change.ID, Outcome: OutcomeUnknown, BaseRevision: change.BaseRevision, Offset: offset})
		}
	default:
		verdicts = append(verdicts, c.applyAll(offset, changes)...)
	}
	return verdicts
}

// Gap notes that offsets before first were removed before they were read. The configuration stays in effect,
// but changes wait until Adopt provides a state from first-1 on.
func (c *Configurator) MarkGap(first uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.backfill = nil
	if first <= c.state.Offset+1 {
		return
	}
	c.synced, c.pendingFrom, c.pending = false, first, nil
}

// Synced reports whether the state includes every change up to the last offset given to Apply.
func (c *Configurator) Synced() bool {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.synced
}

// Adopt replaces the state by one from a peer or a snapshot, and then applies the changes that wait for it.
// It never lowers the revision. On an error the state is unchanged.
func (c *Configurator) InstallState(state State) error {
	if Hash(state.Sections) != state.Hash {
		return ErrHashMismatch
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	previous := c.backfill
	// A refused state may be that of a snapshot, after which the stream is read on from another place.
	c.backfill = nil
	switch current := c.state; {
	case state.Revision < current.Revision || state.Offset < current.Offset && state.Revision == current.Revision:
		return ErrStale
	case state.Revision == current.Revision && state.Hash != current.Hash, state.Offset <= current.Offset && state.Revision > current.Revision:
		return ErrConflict
	case !c.synced && state.Offset+1 < c.pendingFrom:
		return eris.Wrapf(ErrStale, "configurator: state at offset %d does not reach offset %d", state.Offset, c.pendingFrom-1)
	}
	if state.Revision > c.state.Revision {
		if previous == nil && c.synced {
			previous = &backfill{revision: c.state.Revision, history: c.history}
		}
		c.backfill, c.history = previous, nil
	}
	c.state = State{Revision: state.Revision, Offset: state.Offset, Hash: state.Hash, Sections: cloneSections(state.Sections)}
	pending := c.pending
	c.synced, c.pending = true, nil
	for _, p := range pending {
		if p.offset > c.state.Offset {
			c.applyAll(p.offset, p.changes)
		}
	}
	return nil
}

// State returns a copy of the configuration in effect.
func (c *Configurator) State() State {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	s := c.state
	s.Sections = cloneSections(s.Sections)
	return s
}

// Part returns the configuration in effect with only the named sections, of which those that do not exist are left
// out. Revision, Offset and Hash are those of the whole configuration.
func (c *Configurator) PartialState(names ...string) State {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	s := c.state
	s.Sections = make(Sections, len(names))
	for _, name := range names {
		if keys, ok := c.state.Sections[name]; ok {
			s.Sections[name] = maps.Clone(keys)
		}
	}
	return s
}

// Verdict returns the verdict on a change, or OutcomeUnknown if it is not remembered.
func (c *Configurator) Verdict(change string) Verdict {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.lookupVerdict(change)
}

// History returns the remembered accepted changes, oldest first.
func (c *Configurator) History() []AcceptedChange {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return append([]AcceptedChange(nil), c.history...)
}

// ChangesSince returns the accepted changes above a revision. The second result is false if not all of
// them are remembered; a complete state is then needed.
func (c *Configurator) ChangesSince(revision uint64) ([]AcceptedChange, bool) {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	if revision > c.state.Revision {
		return nil, false
	}
	missing := c.state.Revision - revision
	if missing > uint64(len(c.history)) {
		return nil, false
	}
	return append([]AcceptedChange(nil), c.history[uint64(len(c.history))-missing:]...), true
}

// catchUp recomputes the verdicts and the history up to the offset of an adopted state.
func (c *Configurator) applyBackfill(offset uint64, changes []Change) {
	if c.backfill == nil {
		return
	}
	if offset <= c.state.Offset {
		for _, change := range changes {
			c.backfill.apply(offset, change, c.options)
		}
	}
	if offset >= c.state.Offset {
		// Another revision shows that a part of the stream was not read, so that the verdicts may be wrong.
		if c.backfill.revision == c.state.Revision {
			for _, v := range c.backfill.verdicts {
				c.storeVerdict(v)
			}
			c.history = c.backfill.history
		}
		c.backfill = nil
	}
}

// add takes the next change of the stream. Like the memory of the Configurator, that of the replay is bounded.
func (r *backfill) apply(offset uint64, change Change, o Options) {
	v := Verdict{ChangeID: change.ID, Outcome: OutcomeRefused, BaseRevision: change.BaseRevision, Offset: offset}
	if change.BaseRevision == r.revision {
		v.Outcome = OutcomeAccepted
		r.revision++
		r.history = append(r.history, AcceptedChange{r.revision, offset, change})
		r.history = r.history[max(0, len(r.history)-o.MaxHistory):]
	}
	v.Revision = r.revision
	r.verdicts = append(r.verdicts, v)
	r.verdicts = r.verdicts[max(0, len(r.verdicts)-o.MaxVerdicts):]
}

func (c *Configurator) applyAll(offset uint64, changes []Change) []Verdict {
	var verdicts []Verdict
	c.state.Offset = offset
	for _, change := range changes {
		verdict := Verdict{ChangeID: change.ID, Outcome: OutcomeRefused, BaseRevision: change.BaseRevision, Offset: offset}
		if change.BaseRevision == c.state.Revision {
			verdict.Outcome = OutcomeAccepted
			c.applyAccepted(offset, change)
		}
		verdict.Revision = c.state.Revision
		c.storeVerdict(verdict)
		verdicts = append(verdicts, verdict)
	}
	return verdicts
}

func (c *Configurator) applyAccepted(offset uint64, change Change) {
	for _, name := range change.Removed {
		delete(c.state.Sections, name)
	}
	for name, keys := range change.Set {
		c.state.Sections[name] = maps.Clone(keys)
	}
	c.state.Revision++
	c.state.Hash = Hash(c.state.Sections)
	c.history = append(c.history, AcceptedChange{c.state.Revision, offset, change})
	if len(c.history) > c.options.MaxHistory {
		c.history = c.history[1:]
	}
}

// remember keeps the first verdict on a change: a repeat of an accepted change is refused by its base
// revision, and that must not hide the first verdict.
func (c *Configurator) storeVerdict(v Verdict) {
	if _, known := c.verdicts[v.ChangeID]; known {
		return
	}
	c.verdicts[v.ChangeID] = v
	c.verdictOrder = append(c.verdictOrder, v.ChangeID)
	if len(c.verdictOrder) > c.options.MaxVerdicts {
		delete(c.verdicts, c.verdictOrder[0])
		c.verdictOrder = c.verdictOrder[1:]
	}
}

// hold keeps changes until a state arrives. Beyond the bound the oldest are dropped, and a newer state is needed.
func (c *Configurator) addPending(offset uint64, changes []Change) {
	if len(c.pending) >= c.options.MaxPending {
		c.pendingFrom = c.pending[0].offset + 1
		c.pending = c.pending[1:]
	}
	c.pending = append(c.pending, pendingChanges{offset, changes})
}

func (c *Configurator) lookupVerdict(change string) Verdict {
	if v, known := c.verdicts[change]; known {
		return v
	}
	return Verdict{ChangeID: change, Outcome: OutcomeUnknown, Revision: c.state.Revision}
}

func setDefault(field *int, value int) {
	if *field <= 0 {
		*field = value
	}
}
