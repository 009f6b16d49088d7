package replayer_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jonboulle/clockwork"

	"bamboohook/appender"
	"bamboohook/follower"
	"bamboohook/internal/replayer"
	"bamboohook/internal/standin/logservice"
	"bamboohook/snapshotter"
	"bamboohook/stream"
)

// listState is a replayer.StateMachine whose state is the list of the bodies of all records.
type listState struct{ Bodies []string }

func (l *listState) Snapshot() ([]byte, error) { return json.Marshal(l.Bodies) }

func (l *listState) Restore(data []byte, _ uint64) error { return json.Unmarshal(data, &l.Bodies) }

// reader is a Replayer with its state machine.
type reader struct {
	*replayer.Replayer
	state *listState
}

// readUntil applies records until the state has the given number of bodies. It returns the bodies.
func (r reader) readUntil(length int) []string {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for len(r.state.Bodies) < length {
		records, err := r.Next(ctx)
		Expect(err).NotTo(HaveOccurred())
		for _, n := range records {
			r.state.Bodies = append(r.state.Bodies, string(n.Record.Body))
		}
	}
	return r.state.Bodies
}

var _ = Describe("Replayer", func() {
	const retentionEntries = 8
	var (
		store        *logservice.Store
		appendNumber func(n uint64)
	)

	newReader := func(isSnapshotWriter bool) reader {
		state := &listState{}
		sequence := uint64(0)
		return reader{&replayer.Replayer{
			Follower: follower.New(follower.Options{
				Log: store, Clock: clockwork.NewRealClock(), Stream: "s", Wait: 10 * time.Millisecond, PageLimit: 2,
			}),
			Snapshotter:  snapshotter.New(snapshotter.Options{RetentionEntries: retentionEntries}),
			StateMachine: state, SnapshotName: "list", IsSnapshotWriter: func() bool { return isSnapshotWriter }, Clock: clockwork.NewRealClock(),
			Append: func(ctx context.Context, records ...stream.Record) appender.Result {
				sequence++
				value, _ := json.Marshal(stream.Batch{Writer: "snapshots", Sequence: sequence, Records: records})
				offset, err := store.Append(ctx, "s", value)
				if err != nil {
					return appender.Result{Outcome: appender.OutcomeNotAppended, Reason: err.Error()}
				}
				return appender.Result{Outcome: appender.OutcomeAppended, Offset: offset}
			},
		}, state}
	}

	BeforeEach(func() {
		store = logservice.NewStore(logservice.Options{RetentionEntries: retentionEntries})
		appendNumber = func(n uint64) {
			value, err := json.Marshal(stream.Batch{
				Writer: "w", Sequence: n, Records: []stream.Record{stream.NewRecord("number", n)},
			})
			Expect(err).NotTo(HaveOccurred())
			_, err = store.Append(context.Background(), "s", value)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	// Guards against a process that starts after retention has removed the first records and then continues with an
	// incomplete state.
	It("restores the state from a snapshot when the start of the stream was removed", func() {
		snapshotWriter := newReader(true)
		for n := uint64(1); n <= 6; n++ {
			appendNumber(n)
		}
		snapshotWriter.readUntil(6)
		var wantBodies []string
		for n := uint64(7); n <= 30; n++ {
			appendNumber(n)
			wantBodies = snapshotWriter.readUntil(int(n))
			// The snapshot writer may have appended a snapshot in the background. It is read here, before the next record is
			// appended.
			nextCtx, cancel := context.WithTimeout(context.Background(), 15*time.Millisecond)
			_, _ = snapshotWriter.Next(nextCtx)
			cancel()
		}
		lateReader := newReader(false)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		for range 20 {
			records, err := lateReader.Next(ctx)
			for _, r := range records {
				lateReader.state.Bodies = append(lateReader.state.Bodies, string(r.Record.Body))
			}
			if err != nil {
				break
			}
		}
		Expect(lateReader.CaughtUp()).To(BeTrue())
		Expect(lateReader.NeedsSnapshot()).To(BeFalse())
		Expect(lateReader.state.Bodies).To(Equal(wantBodies))
	})

	// Guards against applying records to an empty state although earlier records were removed.
	It("returns no records and reports that it has not caught up while the start of the stream is missing", func() {
		for n := uint64(1); n <= 20; n++ {
			appendNumber(n)
		}
		lateReader := newReader(false)
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		records, err := lateReader.Next(ctx)
		Expect(records).To(BeEmpty())
		Expect(errors.Is(err, context.DeadlineExceeded)).To(BeTrue(), fmt.Sprint(err))
		Expect(lateReader.NeedsSnapshot()).To(BeTrue())
		Expect(lateReader.CaughtUp()).To(BeFalse())
	})
})
