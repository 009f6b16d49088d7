package owner_test

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/owner"
	"bamboohook/stream"
)

// fakeLog is a fake log service that delivers each record as soon as it is appended.
type fakeLog chan owner.DeliveredRecord

func (l fakeLog) Append(_ context.Context, records ...stream.Record) (uint64, error) {
	for _, r := range records {
		l <- owner.DeliveredRecord{Record: r, Offset: 1, Time: time.Now()}
	}
	return 1, nil
}

func (l fakeLog) Receive(ctx context.Context) ([]owner.DeliveredRecord, error) {
	select {
	case d := <-l:
		return []owner.DeliveredRecord{d}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

var _ = Describe("Run", func() {
	// Guards against data races between Run, the remote calls that it makes, and other callers of the Owner. Also
	// guards against a Run that does not return.
	It("consumes the stream until its context is cancelled", func() {
		log := make(fakeLog, 100)
		o := &owner.Owner{Entry: "e", ShardCount: 1, StreamWriter: log, StreamReader: log, Clock: clockwork.NewRealClock()}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error)
		go func() { ended <- o.Run(ctx) }()
		_, failure := o.Submit(ctx, job("a", 1))
		Expect(failure).To(BeNil())
		Eventually(func() bool { _, ok := o.Status("a"); return ok }).WithTimeout(5 * time.Second).Should(BeTrue())
		Eventually(o.Drain).WithTimeout(5 * time.Second).Should(BeTrue())
		cancel()
		Eventually(ended).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
	})
})
