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

func encodeBatch(writer string, sequence uint64) json.RawMessage {
	value, _ := json.Marshal(stream.Batch{Writer: writer, Sequence: sequence, Records: []stream.Record{stream.NewRecord("test", sequence)}})
	return value
}

func pollAndFormat(f *follower.Follower) (follower.PollResult, []string) {
	result, err := f.Poll(context.Background())
	Expect(err).NotTo(HaveOccurred())
	var batches []string
	for _, e := range result.Entries {
		batches = append(batches, fmt.Sprintf("%s%d@%d", e.Batch.Writer, e.Batch.Sequence, e.Offset))
	}
	return result, batches
}

var _ = Describe("Follower", func() {
	var (
		ctx   = context.Background()
		clock *clockwork.FakeClock
		store *logservice.Store
	)
	appendValues := func(values ...json.RawMessage) {
		for _, v := range values {
			_, err := store.Append(ctx, "x", v)
			Expect(err).NotTo(HaveOccurred())
		}
	}
	newFollower := func(o follower.Options) *follower.Follower {
		o.Log, o.Clock, o.Stream, o.Wait = store, clock, "x", -1
		return follower.New(o)
	}
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		store = logservice.NewStore(logservice.Options{Clock: clock, RetentionEntries: 5})
	})

	// The follower must drop a duplicate batch even if other batches are in between. Its callers would otherwise apply
	// the records twice.
	for name, t := range map[string]struct {
		values []json.RawMessage
		want   []string
	}{
		"duplicate":           {[]json.RawMessage{encodeBatch("a", 1), encodeBatch("a", 1), encodeBatch("a", 2)}, []string{"a1@1", "a2@3"}},
		"late duplicate":      {[]json.RawMessage{encodeBatch("a", 1), encodeBatch("a", 2), encodeBatch("a", 1)}, []string{"a1@1", "a2@2"}},
		"two writers":         {[]json.RawMessage{encodeBatch("a", 1), encodeBatch("b", 1), encodeBatch("a", 2)}, []string{"a1@1", "b1@2", "a2@3"}},
		"sequence number gap": {[]json.RawMessage{encodeBatch("a", 1), encodeBatch("a", 3), encodeBatch("a", 2)}, []string{"a1@1", "a3@2"}},
		"malformed values":    {[]json.RawMessage{json.RawMessage(`7`), encodeBatch("", 1), encodeBatch("a", 0), encodeBatch("a", 1)}, []string{"a1@4"}},
	} {
		It("returns each batch once: "+name, func() {
			appendValues(t.values...)
			result, batches := pollAndFormat(newFollower(follower.Options{}))
			Expect(batches).To(Equal(t.want))
			Expect(result.LastOffset).To(Equal(uint64(len(t.values))))
			Expect(result.AtEnd).To(BeTrue())
		})
	}

	It("reports the range that retention removed between two reads", func() {
		f := newFollower(follower.Options{PageLimit: 2})
		for i := range 4 {
			appendValues(encodeBatch("a", uint64(i+1)))
		}
		_, batches := pollAndFormat(f)
		Expect(batches).To(Equal([]string{"a1@1", "a2@2"}))
		for i := range 6 {
			appendValues(encodeBatch("a", uint64(i+5)))
		}
		result, batches := pollAndFormat(f)
		Expect(*result.Gap).To(Equal(follower.Gap{From: 3, To: 5}))
		Expect(batches).To(Equal([]string{"a6@6", "a7@7"}))
		Expect(f.Position()).To(Equal(uint64(8)))
	})

	It("reports a truncated stream if the stream ends before the position", func() {
		result, _ := pollAndFormat(newFollower(follower.Options{Position: 9}))
		Expect(result.Gap.Truncated).To(BeTrue())
	})

	It("drops a late duplicate after a restart with the position and the writer states of an earlier follower", func() {
		appendValues(encodeBatch("a", 1), encodeBatch("a", 2))
		firstFollower := newFollower(follower.Options{})
		pollAndFormat(firstFollower)
		appendValues(encodeBatch("a", 1), encodeBatch("a", 3))
		_, batches := pollAndFormat(newFollower(follower.Options{Position: firstFollower.Position(), Writers: firstFollower.Writers()}))
		Expect(batches).To(Equal([]string{"a3@4"}))
	})

	It("removes the writer state with the lowest offset when there are more than MaxWriters writers", func() {
		appendValues(encodeBatch("a", 1), encodeBatch("b", 1), encodeBatch("a", 2), encodeBatch("c", 1))
		f := newFollower(follower.Options{MaxWriters: 2})
		pollAndFormat(f)
		Expect(f.Writers()).To(Equal(map[string]follower.WriterState{"a": {Sequence: 2, Offset: 3}, "c": {Sequence: 1, Offset: 4}}))
	})

	It("keeps its position while the log service is down and then continues to read", func() {
		appendValues(encodeBatch("a", 1))
		f := newFollower(follower.Options{})
		store.SetFaults(logservice.Faults{Down: true})
		_, err := f.Poll(ctx)
		Expect(err).To(MatchError(logservice.ErrDown))
		Expect(f.LastContact()).To(BeZero())
		store.SetFaults(logservice.Faults{})
		_, batches := pollAndFormat(f)
		Expect(batches).To(Equal([]string{"a1@1"}))
		Expect(f.LastContact()).To(Equal(clock.Now()))
	})
})

// FuzzDecodeBatch checks that arbitrary values, which other programs may append, are either reported as malformed or
// decoded to a batch that survives another round of encoding and decoding.
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
		decodedAgain, err := follower.DecodeBatch(encoded)
		if err != nil || decodedAgain.Writer != b.Writer || decodedAgain.Sequence != b.Sequence || len(decodedAgain.Records) != len(b.Records) {
			t.Fatalf("batch changed: %+v, %+v, %v", b, decodedAgain, err)
		}
	})
}
