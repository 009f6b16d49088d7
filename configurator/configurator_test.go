package configurator_test

import (
	"fmt"

	"bamboohook/configurator"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func newChange(id string, baseRevision uint64, section string) configurator.Change {
	return configurator.Change{ID: id, BaseRevision: baseRevision, Author: "ana", Set: configurator.Sections{section: {"by": id}}}
}

func formatVerdicts(verdicts []configurator.Verdict) []string {
	var texts []string
	for _, v := range verdicts {
		texts = append(texts, fmt.Sprintf("%s %s %d", v.ChangeID, v.Outcome, v.Revision))
	}
	return texts
}

var _ = Describe("Configurator", func() {
	var c *configurator.Configurator
	BeforeEach(func() { c = configurator.New(configurator.Options{MaxVerdicts: 3, MaxHistory: 2, MaxPending: 2}) })

	// A change may be accepted only if its base revision is the current revision, so only the first of two changes with
	// the same base revision is accepted.
	for name, t := range map[string]struct {
		changes []configurator.Change
		want    []string
	}{
		"in order":           {[]configurator.Change{newChange("a", 0, "x"), newChange("b", 1, "x")}, []string{"a accepted 1", "b accepted 2"}},
		"same base revision": {[]configurator.Change{newChange("a", 0, "x"), newChange("b", 0, "y")}, []string{"a accepted 1", "b refused 1"}},
		"duplicate":          {[]configurator.Change{newChange("a", 0, "x"), newChange("a", 0, "x")}, []string{"a accepted 1", "a refused 1"}},
		"base revision higher than the current revision":        {[]configurator.Change{newChange("a", 4, "x")}, []string{"a refused 0"}},
		"refused, then a change with the current base revision": {[]configurator.Change{newChange("a", 0, "x"), newChange("b", 0, "y"), newChange("c", 1, "y")}, []string{"a accepted 1", "b refused 1", "c accepted 2"}},
	} {
		It("returns the same verdicts for one batch and for several: "+name, func() {
			Expect(formatVerdicts(c.Apply(1, t.changes...))).To(Equal(t.want))
			otherConfigurator := configurator.New(configurator.Options{})
			var verdicts []configurator.Verdict
			for i, change := range t.changes {
				verdicts = append(verdicts, otherConfigurator.Apply(uint64(i+1), change)...)
			}
			Expect(formatVerdicts(verdicts)).To(Equal(t.want))
			Expect(otherConfigurator.State().Hash).To(Equal(c.State().Hash))
			Expect(otherConfigurator.Verdict(t.changes[0].ID)).To(Equal(verdicts[0]), "the first verdict must be stored")
		})
	}

	// An agent that stores only some sections compares the stored revision and hash with those of an entry's whole
	// configuration to detect changes.
	It("returns selected sections with the revision and hash of the whole configuration", func() {
		c.Apply(1, newChange("a", 0, "x"), newChange("b", 1, "y"))
		partialState := c.PartialState("y", "z")
		Expect(partialState.Sections).To(Equal(configurator.Sections{"y": {"by": "b"}}))
		partialState.Sections["y"]["by"] = "changed by the caller"
		wholeState := c.State()
		Expect(wholeState.Sections["y"]).To(Equal(map[string]string{"by": "b"}))
		Expect([]any{partialState.Revision, partialState.Offset, partialState.Hash}).To(Equal([]any{wholeState.Revision, wholeState.Offset, wholeState.Hash}))
	})

	It("sets and removes whole sections and discards the oldest verdicts and accepted changes", func() {
		c.Apply(1, newChange("a", 0, "x"), newChange("b", 1, "y"))
		c.Apply(2, configurator.Change{ID: "c", BaseRevision: 2, Removed: []string{"x"}}, newChange("d", 0, "z"))
		Expect(c.State().Sections).To(Equal(configurator.Sections{"y": {"by": "b"}}))
		Expect(c.Verdict("a").Outcome).To(Equal(configurator.OutcomeUnknown))
		Expect(c.Verdict("d").Outcome).To(Equal(configurator.OutcomeRefused))
		changesSince, complete := c.ChangesSince(1)
		Expect(complete).To(BeTrue())
		Expect([]uint64{changesSince[0].Revision, changesSince[1].Revision}).To(Equal([]uint64{2, 3}))
		_, complete = c.ChangesSince(0)
		Expect(complete).To(BeFalse(), "only two accepted changes are stored")
	})

	It("does not install a state that has a lower revision or a wrong hash or conflicts with the current state", func() {
		c.Apply(5, newChange("a", 0, "x"))
		stateBefore := c.State()
		newState := func(revision, offset uint64, section string) configurator.State {
			sections := configurator.Sections{section: {"by": "a"}}
			return configurator.State{Revision: revision, Offset: offset, Sections: sections, Hash: configurator.Hash(sections)}
		}
		wrongHash := newState(7, 9, "x")
		wrongHash.Hash = "0"
		Expect(c.InstallState(wrongHash)).To(MatchError(configurator.ErrHashMismatch))
		Expect(c.InstallState(newState(0, 9, "x"))).To(MatchError(configurator.ErrStale))
		Expect(c.InstallState(newState(1, 9, "y"))).To(MatchError(configurator.ErrConflict))
		Expect(c.InstallState(newState(2, 5, "y"))).To(MatchError(configurator.ErrConflict))
		Expect(c.State()).To(Equal(stateBefore))
		Expect(c.InstallState(newState(4, 9, "y"))).To(Succeed())
		Expect(formatVerdicts(c.Apply(8, newChange("b", 4, "z")))).To(Equal([]string{"b unknown 4"}), "the state includes offset 8")
		Expect(formatVerdicts(c.Apply(10, newChange("c", 4, "z")))).To(Equal([]string{"c accepted 5"}))
	})

	// Guards against a process that starts from the state of another process and then reports an accepted change as
	// refused.
	It("recomputes from the stream the verdicts and the history up to an installed state", func() {
		c = configurator.New(configurator.Options{})
		peer := configurator.New(configurator.Options{})
		changes := []configurator.Change{newChange("a", 0, "x"), newChange("b", 0, "y"), newChange("c", 1, "z"), newChange("a", 0, "x")}
		for i, change := range changes {
			peer.Apply(uint64(i+1), change)
		}
		c.Apply(1, changes[0])
		Expect(c.InstallState(peer.State())).To(Succeed())
		for i, change := range changes[1:] {
			Expect(c.Verdict("c").Outcome).To(Equal(configurator.OutcomeUnknown))
			c.Apply(uint64(i+2), change)
		}
		for _, id := range []string{"a", "b", "c"} {
			Expect(c.Verdict(id)).To(Equal(peer.Verdict(id)))
		}
		Expect(c.History()).To(Equal(peer.History()))
	})

	It("keeps the configuration after a gap and continues from a state that includes the removed offsets", func() {
		c.Apply(1, newChange("a", 0, "x"))
		oldState := c.State()
		c.MarkGap(4)
		Expect(c.Synced()).To(BeFalse())
		Expect(formatVerdicts(c.Apply(5, newChange("c", 2, "z")))).To(Equal([]string{"c unknown 0"}))
		Expect(c.State()).To(Equal(oldState))
		Expect(c.InstallState(oldState)).To(MatchError(configurator.ErrStale), "offsets 2 and 3 are missing")
		peer := configurator.New(configurator.Options{})
		peer.Apply(1, newChange("a", 0, "x"))
		peer.Apply(3, newChange("b", 1, "y"))
		Expect(c.InstallState(peer.State())).To(Succeed())
		peer.Apply(5, newChange("c", 2, "z"))
		Expect(c.State()).To(Equal(peer.State()))
		Expect(c.Verdict("c").Outcome).To(Equal(configurator.OutcomeAccepted))
	})
	It("installs only a state that includes the pending changes that were dropped", func() {
		c.MarkGap(4)
		c.Apply(5, newChange("c", 0, "x"))
		c.Apply(6, newChange("d", 0, "x"))
		c.Apply(7, newChange("e", 0, "x"))
		emptyPeer := configurator.New(configurator.Options{})
		emptyPeer.Apply(4)
		Expect(c.InstallState(emptyPeer.State())).To(MatchError(configurator.ErrStale))
		emptyPeer.Apply(5)
		Expect(c.InstallState(emptyPeer.State())).To(Succeed())
		Expect(c.Verdict("d").Outcome).To(Equal(configurator.OutcomeAccepted))
	})
})

var _ = Describe("Hash", func() {
	It("differs for two configurations whose concatenated names, keys and values are equal", func() {
		a := configurator.Hash(configurator.Sections{"a": {"b": "cd"}})
		Expect(configurator.Hash(configurator.Sections{"a": {"bc": "d"}})).NotTo(Equal(a))
		Expect(configurator.Hash(configurator.Sections{"a": {"b": "cd"}})).To(Equal(a))
	})
})
