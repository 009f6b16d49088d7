// Package configurator computes the current configuration from the changes in a stream. Whether a change is
// accepted depends only on the stream up to that change, so every process comes to the same verdict.
package configurator

import (
	"maps"
	"sync"

	"github.com/rotisserie/eris"
)

// Default values of Options.
const (
	DefaultMaxVerdicts = 1024
	// DefaultMaxHistory exceeds the number of changes in a day, which is up to 6,800.
	DefaultMaxHistory = 8192
	DefaultMaxPending = 8192
)

// Outcomes of a change.
const (
	// OutcomeAccepted means that the change is part of the configuration from Verdict.Revision on.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeRefused means that Verdict.BaseRevision was not the current revision.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that this process has no verdict on the change: it does not know which configuration was
	// current at the change's offset, or it no longer stores the verdict.
	OutcomeUnknown Outcome = "unknown"
)

var (
	// ErrHashMismatch reports a state whose sections do not match its hash.
	ErrHashMismatch = eris.New("configurator: sections do not match the hash")
	// ErrConflict reports a state that contradicts the current one: it has the same revision but other sections, or
	// a higher revision at an offset that is not higher.
	ErrConflict = eris.New("configurator: state conflicts with the current state")
	// ErrStale reports a state that is older than the current one, or that does not include all offsets that were
	// removed from the stream before they were read.
	ErrStale = eris.New("configurator: state is too old")
)

type (
	// Outcome tells whether a change was accepted.
	Outcome string

	// Sections maps section names to the keys and values of the sections.
	Sections = map[string]map[string]string

	// Change replaces the sections in Set and removes the sections named in Removed. It is accepted if BaseRevision is
	// the current revision at the change's offset in the stream.
	Change struct {
		// ID is the unique identifier of the change.
		ID           string   `json:"change"`
		BaseRevision uint64   `json:"based"`
		Author       string   `json:"author"`
		Set          Sections `json:"set,omitempty"`
		Removed      []string `json:"removed,omitempty"`
	}

	// Verdict is the outcome of a change. BaseRevision is the base revision of the change, and Offset its offset in the
	// stream. Revision is the current revision after the change was accepted or refused.
	Verdict struct {
		ChangeID     string  `json:"change"`
		Outcome      Outcome `json:"outcome"`
		BaseRevision uint64  `json:"based"`
		Revision     uint64  `json:"revision"`
		Offset       uint64  `json:"offset"`
	}

	// State is a configuration. Revision is the number of accepted changes, Offset is the last stream offset that the
	// configuration includes, and Hash is the hash of all sections of the configuration.
	State struct {
		Revision uint64   `json:"revision"`
		Offset   uint64   `json:"offset"`
		Hash     string   `json:"hash"`
		Sections Sections `json:"sections,omitempty"`
	}

	// AcceptedChange is an accepted change with its offset in the stream and the revision after the change.
	AcceptedChange struct {
		Revision uint64 `json:"revision"`
		Offset   uint64 `json:"offset"`
		Change   Change `json:"change"`
	}

	// Options holds the limits of a Configurator. A field that is zero or negative takes its default value.
	Options struct {
		// MaxVerdicts limits the number of stored verdicts, and MaxHistory the number of stored accepted changes.
		MaxVerdicts int
		MaxHistory  int
		// MaxPending limits the number of batches whose changes are stored after a gap until a state is installed.
		MaxPending int
	}

	// Configurator computes the current configuration. It is safe for concurrent use.
	Configurator struct {
		options Options

		mutex  sync.RWMutex
		state  State
		synced bool
		// pending contains the batches that were read after a gap. An installed state must include all offsets below
		// firstPendingOffset, because their changes are not in pending.
		pending            []pendingChanges
		firstPendingOffset uint64
		verdicts           map[string]Verdict
		verdictChangeIDs   []string
		history            []AcceptedChange
		// backfill is set while Apply receives batches that an installed state already includes, so that the verdicts on
		// their changes can be recomputed. It is nil at all other times and after a gap.
		backfill *backfill
	}

	// backfill recomputes the verdicts on the changes that an installed state already includes. revision is the
	// revision after the last change that was passed to apply. At first, it is the revision that was current before the
	// state was installed.
	backfill struct {
		revision uint64
		history  []AcceptedChange
		verdicts []Verdict
	}

	// pendingChanges holds the changes of a batch that was read after a gap.
	pendingChanges struct {
		offset  uint64
		changes []Change
	}
)

// New returns a Configurator with an empty configuration at revision 0, before the first offset.
func New(options Options) *Configurator {
	setDefault(&options.MaxVerdicts, DefaultMaxVerdicts)
	setDefault(&options.MaxHistory, DefaultMaxHistory)
	setDefault(&options.MaxPending, DefaultMaxPending)
	c := &Configurator{options: options, synced: true, verdicts: map[string]Verdict{}}
	c.state = State{Sections: Sections{}, Hash: Hash(nil)}
	return c
}

// Apply processes the changes of the batch at offset and returns their verdicts. Batches must be passed in stream
// order. A call without changes tells the Configurator that the stream was read up to offset. The outcome is
// OutcomeUnknown for a change that is read after a gap, and for a change that an installed state already includes and
// whose verdict is not stored. Once Apply has received all batches up to the offset of that state without a gap, the
// method Verdict returns the verdicts on the changes that the state includes.
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
		verdicts = append(verdicts, c.applyChanges(offset, changes)...)
	}
	return verdicts
}

// MarkGap records that the offsets before firstOffset were removed before they were read. The configuration stays
// unchanged, and Apply only stores changes, until InstallState installs a state with an offset of at least
// firstOffset-1.
func (c *Configurator) MarkGap(firstOffset uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.backfill = nil
	if firstOffset <= c.state.Offset+1 {
		return
	}
	c.synced, c.firstPendingOffset, c.pending = false, firstOffset, nil
}

// Synced reports whether the configuration includes all changes up to the last offset passed to Apply. It returns false
// after a gap until a state is installed.
func (c *Configurator) Synced() bool {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.synced
}

// InstallState replaces the configuration by a state from a peer or a snapshot and then applies the changes that Apply
// stored since a gap. It never lowers the revision. If it returns an error, the configuration is unchanged.
func (c *Configurator) InstallState(state State) error {
	if Hash(state.Sections) != state.Hash {
		return ErrHashMismatch
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	previousBackfill := c.backfill
	// The caller may continue reading the stream at another offset even if the state is rejected. A backfill would then
	// miss changes, so it ends here. It continues only if the state is accepted and has a higher revision than the
	// current one.
	c.backfill = nil
	switch current := c.state; {
	case state.Revision < current.Revision || state.Offset < current.Offset && state.Revision == current.Revision:
		return ErrStale
	case state.Revision == current.Revision && state.Hash != current.Hash, state.Offset <= current.Offset && state.Revision > current.Revision:
		return ErrConflict
	case !c.synced && state.Offset+1 < c.firstPendingOffset:
		return eris.Wrapf(ErrStale, "configurator: state at offset %d does not include offset %d", state.Offset, c.firstPendingOffset-1)
	}
	if state.Revision > c.state.Revision {
		if previousBackfill == nil && c.synced {
			previousBackfill = &backfill{revision: c.state.Revision, history: c.history}
		}
		c.backfill, c.history = previousBackfill, nil
	}
	c.state = State{Revision: state.Revision, Offset: state.Offset, Hash: state.Hash, Sections: cloneSections(state.Sections)}
	pending := c.pending
	c.synced, c.pending = true, nil
	for _, p := range pending {
		if p.offset > c.state.Offset {
			c.applyChanges(p.offset, p.changes)
		}
	}
	return nil
}

// State returns a copy of the current configuration.
func (c *Configurator) State() State {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	s := c.state
	s.Sections = cloneSections(s.Sections)
	return s
}

// PartialState returns a copy of the current configuration with only those of the named sections that exist.
// Revision, Offset and Hash are those of the whole configuration.
func (c *Configurator) PartialState(names ...string) State {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	s := c.state
	s.Sections = make(Sections, len(names))
	for _, name := range names {
		if section, ok := c.state.Sections[name]; ok {
			s.Sections[name] = maps.Clone(section)
		}
	}
	return s
}

// Verdict returns the verdict on the change with the given identifier. Its outcome is OutcomeUnknown if the verdict
// is not stored.
func (c *Configurator) Verdict(changeID string) Verdict {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.lookupVerdict(changeID)
}

// History returns the stored accepted changes, oldest first.
func (c *Configurator) History() []AcceptedChange {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return append([]AcceptedChange(nil), c.history...)
}

// ChangesSince returns the accepted changes after the given revision. The second result is false if not all of them are
// stored or the given revision is higher than the current one; the caller then needs a complete state.
func (c *Configurator) ChangesSince(revision uint64) ([]AcceptedChange, bool) {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	if revision > c.state.Revision {
		return nil, false
	}
	missingChanges := c.state.Revision - revision
	if missingChanges > uint64(len(c.history)) {
		return nil, false
	}
	return append([]AcceptedChange(nil), c.history[uint64(len(c.history))-missingChanges:]...), true
}

// applyBackfill passes the changes of the batch at offset to the backfill, if there is one. Once the offset of the
// installed state is reached, it stores the recomputed verdicts and history and ends the backfill.
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
		// A different revision shows that a part of the stream was not read, so the recomputed verdicts may be wrong.
		if c.backfill.revision == c.state.Revision {
			for _, v := range c.backfill.verdicts {
				c.storeVerdict(v)
			}
			c.history = c.backfill.history
		}
		c.backfill = nil
	}
}

// apply computes the verdict on the next change of the stream. It stores at most o.MaxVerdicts verdicts and
// o.MaxHistory accepted changes.
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

// applyChanges computes and stores the verdicts on the changes of the batch at offset and applies the accepted ones.
func (c *Configurator) applyChanges(offset uint64, changes []Change) []Verdict {
	var verdicts []Verdict
	c.state.Offset = offset
	for _, change := range changes {
		verdict := Verdict{ChangeID: change.ID, Outcome: OutcomeRefused, BaseRevision: change.BaseRevision, Offset: offset}
		if change.BaseRevision == c.state.Revision {
			verdict.Outcome = OutcomeAccepted
			c.applyAcceptedChange(offset, change)
		}
		verdict.Revision = c.state.Revision
		c.storeVerdict(verdict)
		verdicts = append(verdicts, verdict)
	}
	return verdicts
}

func (c *Configurator) applyAcceptedChange(offset uint64, change Change) {
	for _, name := range change.Removed {
		delete(c.state.Sections, name)
	}
	for name, section := range change.Set {
		c.state.Sections[name] = maps.Clone(section)
	}
	c.state.Revision++
	c.state.Hash = Hash(c.state.Sections)
	c.history = append(c.history, AcceptedChange{c.state.Revision, offset, change})
	if len(c.history) > c.options.MaxHistory {
		c.history = c.history[1:]
	}
}

// storeVerdict stores only the first verdict on a change. If an accepted change appears in the stream again, the copy
// is refused because of its base revision, and that verdict must not replace the first one.
func (c *Configurator) storeVerdict(v Verdict) {
	if _, known := c.verdicts[v.ChangeID]; known {
		return
	}
	c.verdicts[v.ChangeID] = v
	c.verdictChangeIDs = append(c.verdictChangeIDs, v.ChangeID)
	if len(c.verdictChangeIDs) > c.options.MaxVerdicts {
		delete(c.verdicts, c.verdictChangeIDs[0])
		c.verdictChangeIDs = c.verdictChangeIDs[1:]
	}
}

// addPending stores the changes of a batch until a state is installed. If MaxPending batches are stored already, it
// drops the oldest one. Only a state that includes the dropped batch can then be installed.
func (c *Configurator) addPending(offset uint64, changes []Change) {
	if len(c.pending) >= c.options.MaxPending {
		c.firstPendingOffset = c.pending[0].offset + 1
		c.pending = c.pending[1:]
	}
	c.pending = append(c.pending, pendingChanges{offset, changes})
}

// lookupVerdict returns the stored verdict on the change, or one with OutcomeUnknown.
func (c *Configurator) lookupVerdict(changeID string) Verdict {
	if v, known := c.verdicts[changeID]; known {
		return v
	}
	return Verdict{ChangeID: changeID, Outcome: OutcomeUnknown, Revision: c.state.Revision}
}

func setDefault(field *int, value int) {
	if *field <= 0 {
		*field = value
	}
}
