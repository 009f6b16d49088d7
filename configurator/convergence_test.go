package configurator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"bamboohook/configurator"
	"bamboohook/follower"
	"bamboohook/internal/standin/logservice"
	"bamboohook/stream"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

type replica struct {
	follower     *follower.Follower
	configurator *configurator.Configurator
}

// TestConvergence guards against processes that compute different configurations from the same stream or return to a
// lower revision. This may happen because of duplicate batches, late batches, lost responses, or processes that start
// from the state of another process.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		store := logservice.NewStore(logservice.Options{Clock: clock})
		var sentBatches []json.RawMessage
		sequences := map[string]uint64{}
		replicas := []replica{newReplica(store, clock, nil), newReplica(store, clock, nil)}
		changeCount := 0
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				store.SetFaults(logservice.Faults{
					DropResponses: rapid.IntRange(0, 1).Draw(t, "dropped responses"),
					Duplicates:    rapid.IntRange(0, 1).Draw(t, "duplicates"), DuplicateAfter: rapid.IntRange(0, 3).Draw(t, "appends before the duplicate"),
				})
				writer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "writer")
				sequences[writer]++
				changeCount++
				baseRevision := rapid.SampledFrom(replicas).Draw(t, "replica").configurator.State().Revision
				record := configurator.NewRecord(newChange(fmt.Sprint(changeCount), baseRevision, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "section")))
				value, _ := json.Marshal(stream.Batch{Writer: writer, Sequence: sequences[writer], Records: []stream.Record{record}})
				sentBatches = append(sentBatches, value)
				_, _ = store.Append(context.Background(), "x", value)
			},
			"append again": func(t *rapid.T) {
				if len(sentBatches) > 0 {
					store.SetFaults(logservice.Faults{})
					_, _ = store.Append(context.Background(), "x", rapid.SampledFrom(sentBatches).Draw(t, "batch"))
				}
			},
			"read": func(t *rapid.T) { rapid.SampledFrom(replicas).Draw(t, "replica").poll(t) },
			"start": func(t *rapid.T) {
				if len(replicas) < 6 {
					replicas = append(replicas, newReplica(store, clock, &replicas[rapid.IntRange(0, len(replicas)-1).Draw(t, "replica")]))
				}
			},
		})
		for _, r := range replicas {
			for r.poll(t) {
				continue
			}
			if want := replicas[0].configurator.State(); !reflect.DeepEqual(r.configurator.State(), want) {
				t.Fatalf("states differ: %+v, %+v", r.configurator.State(), want)
			}
		}
	})
}

// newReplica returns a replica that starts at the beginning of the stream, or from the position and the state of source
// if that is not nil.
func newReplica(store *logservice.Store, clock clockwork.Clock, source *replica) replica {
	o := follower.Options{Log: store, Clock: clock, Stream: "x", Wait: -1, PageLimit: 2}
	c := configurator.New(configurator.Options{})
	if source != nil {
		o.Position, o.Writers = source.follower.Position(), source.follower.Writers()
		if err := c.InstallState(source.configurator.State()); err != nil {
			panic(err)
		}
	}
	return replica{follower.New(o), c}
}

// poll reads one page of the stream, applies its changes and reports whether the position advanced.
func (r replica) poll(t *rapid.T) bool {
	revisionBefore, positionBefore := r.configurator.State().Revision, r.follower.Position()
	result, err := r.follower.Poll(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range result.Entries {
		r.configurator.Apply(e.Offset, configurator.DecodeChanges(e.Batch)...)
	}
	r.configurator.Apply(result.LastOffset)
	if revisionAfter := r.configurator.State().Revision; revisionAfter < revisionBefore {
		t.Fatalf("revision fell from %d to %d", revisionBefore, revisionAfter)
	}
	return r.follower.Position() > positionBefore
}
