package follower_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"bamboohook/follower"
	"bamboohook/internal/standin/logservice"
	"bamboohook/stream"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func batch(writer string, sequence uint64) json.RawMessage {
	value, _ := json.Marshal(stream.Batch{Writer: writer, Sequence: sequence, Records: []stream.Record{stream.NewRecord("test", sequence)}})
	return value
}

func pollAndFormat(f *follower.Follower) (follower.PollResult, []string) {
	d, err := f.Poll(context.Background())
	Expect(err).NotTo(HaveOccurred())
	var seen []string
	for _, e := range d.Entries {
		seen = append(seen, fmt.Sprintf("%s%d@%d", e.Batch.Writer, e.Batch.Sequence, e.Offset))
	}
	return d, seen
}

var _ = Describe("Follower", func() {
	var (
		ctx   = context.Background()
		clock *clockwork.FakeClock
		store *logservice.Store
	)
	add := func(values ...json.RawMessage) {
		for _, v := range values {
			_, err := store.Append(ctx, "x", v)
			Expect(err).NotTo(HaveOccurred())
		}
	}
	open := func(o follower.Options) *follower.Follower {
		o.Log, o.Clock, o.Stream, o.Wait = store, clock, "x", -1
		return follower.New(o)
	}
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		store = logservice.NewStore(logservice.Options{Clock: clock, RetentionEntries: 5})
	})

	// A duplicate or late batch that is applied again would repeat its effect.
	for name, t := range map[string]struct {
		values []json.RawMessage
		seen   []string
	}{
		"sent twice":           {[]json.RawMessage{batch("a", 1), batch("a", 1), batch("a", 2)}, []string{"a1@1", "a2@3"}},
		"late duplicate":       {[]json.RawMessage{batch("a", 1), batch("a", 2), batch("a", 1)}, []string{"a1@1", "a2@2"}},
		"two writers":          {[]json.RawMessage{batch("a", 1), batch("b", 1), batch("a", 2)}, []string{"a1@1", "b1@2", "a2@3"}},
		"sequence number left": {[]json.RawMessage{batch("a", 1), batch("a", 3), batch("a", 2)}, []string{"a1@1", "a3@2"}},
		"values of no batch":   {[]json.RawMessage{json.RawMessage(`7`), batch("", 1), batch("a", 0), batch("a", 1)}, []string{"a1@4"}},
	} {
		It("applies each batch once: "+name, func() {
			add(t.values...)
			d, seen := pollAndFormat(open(follower.Options{}))
			Expect(seen).To(Equal(t.seen))
			Expect(d.LastOffset).To(Equal(uint64(len(t.values))))
			Expect(d.AtEnd).To(BeTrue())
		})
	}

	It("reports the range that retention removed while it was reading", func() {
		f := open(follower.Options{PageLimit: 2})
		for i := range 4 {
			add(batch("a", uint64(i+1)))
		}
		_, seen := pollAndFormat(f)
		Expect(seen).To(Equal([]string{"a1@1", "a2@2"}))
		for i := range 6 {
			add(batch("a", uint64(i+5)))
		}
		d, seen := pollAndFormat(f)
		Expect(*d.Gap).To(Equal(follower.Gap{From: 3, To: 5}))
		Expect(seen).To(Equal([]string{"a6@6", "a7@7"}))
		Expect(f.Position()).To(Equal(uint64(8)))
	})

	It("reports a stream that lost entries", func() {
		d, _ := pollAndFormat(open(follower.Options{Position: 9}))
		Expect(d.Gap.Truncated).To(BeTrue())
	})

	It("drops a late duplicate after a restart from a snapshot that has the writers", func() {
		add(batch("a", 1), batch("a", 2))
		first := open(follower.Options{})
		pollAndFormat(first)
		add(batch("a", 1), batch("a", 3))
		_, seen := pollAndFormat(open(follower.Options{Position: first.Position(), Writers: first.Writers()}))
		Expect(seen).To(Equal([]string{"a3@4"}))
	})

	It("forgets the same writer in every follower when there are too many", func() {
		add(batch("a", 1), batch("b", 1), batch("a", 2), batch("c", 1))
		f := open(follower.Options{MaxWriters: 2})
		pollAndFormat(f)
		Expect(f.Writers()).To(Equal(map[string]follower.WriterState{"a": {Sequence: 2, Offset: 3}, "c": {Sequence: 1, Offset: 4}}))
	})

	It("keeps its position while the log is down and continues afterwards", func() {
		add(batch("a", 1))
		f := open(follower.Options{})
		store.SetFaults(logservice.Faults{Down: true})
		_, err := f.Poll(ctx)
		Expect(err).To(MatchError(logservice.ErrDown))
		Expect(f.LastContact()).To(BeZero())
		store.SetFaults(logservice.Faults{})
		_, seen := pollAndFormat(f)
		Expect(seen).To(Equal([]string{"a1@1"}))
		Expect(f.LastContact()).To(Equal(clock.Now()))
	})
})

// FuzzDecodeBatch guards readers against values that other programs append.
func FuzzDecodeBatch(f *testing.F) {
	for _, seed := range []string{`{"writer":"a","sequence":1,"records":[{"kind":"k","body":{}}]}`, `7`, `{"sequence":-1}`, ``, `{"writer":"a","sequence":1e30}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		b, err := follower.DecodeBatch(value)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(b)
		if err != nil {
			t.Fatalf("decoded batch cannot be encoded: %v", err)
		}
		again, err := follower.DecodeBatch(encoded)
		if err != nil || again.Writer != b.Writer || again.Sequence != b.Sequence || len(again.Records) != len(b.Records) {
			t.Fatalf("batch changed: %+v, %+v, %v", b, again, err)
		}
	})
}
