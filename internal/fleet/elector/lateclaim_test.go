package elector_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"bamboohook/internal/boottimer"
	"bamboohook/internal/fleet/elector"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/storekeeper"
)

// lateStore is a fake store that executes the first claim late, without a response to it: while the first Load reads its last page. Load
// reads the record of the job in its first page. Between the two pages, the previous owner stores a newer record of that job.
type lateStore struct {
	mutex     sync.Mutex
	jobRecord storekeeper.Record
	lateClaim []storekeeper.Record
	claims    []storekeeper.Record
	loads     int
}

func (s *lateStore) Append(_ context.Context, b storekeeper.Batch) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.loads == 0 {
		s.lateClaim = b.Records
		return errNoResponse
	}
	s.claims = b.Records
	return nil
}

func (s *lateStore) Load(context.Context) ([]storekeeper.Record, int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	firstPage := s.jobRecord
	if s.loads++; s.loads == 1 {
		s.jobRecord.Value = []byte("newer")
		s.claims = s.lateClaim
	}
	return append([]storekeeper.Record{firstPage}, s.claims...), 0, nil
}

func (*lateStore) Follow(ctx context.Context, from int64, _ time.Duration) ([]storekeeper.Record, int64, error) {
	<-ctx.Done()
	return nil, from, ctx.Err()
}

func (*lateStore) RegisterEntry(context.Context, storekeeper.EntryRecord) error { return nil }
func (*lateStore) RemoveEntry(context.Context, string) error                    { return nil }
func (*lateStore) Entries(context.Context) ([]storekeeper.EntryRecord, error)   { return nil, nil }

func (*lateStore) Ping(context.Context, string, messenger.Ping) (messenger.Ping, bool, error) {
	return messenger.Ping{}, true, errNoResponse
}

var _ = Describe("Elector with a late claim", func() {
	// Guards against an owner that has lost accepted jobs or their progress. The store may execute a claim without a response while the claim
	// is read back, and until then it accepts records of the previous owner.
	It("gains the ownership with the records that the previous owner stored before the claim", func() {
		s := &lateStore{jobRecord: storekeeper.Record{Key: "job/a", Value: []byte("older")}}
		gained := make(chan []storekeeper.Record, 10)
		e := &elector.Elector{
			Address: "a", Generation: "g", Weight: 1, PeerClient: s, Store: s, Clock: boottimer.Clock{}, Log: zerolog.Nop(),
			OnOwnershipGained: func(_ uint64, records []storekeeper.Record) { gained <- records },
			OnOwnershipLost:   func(uint64, string) {},
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); _ = e.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-ended })
		var records []storekeeper.Record
		Eventually(gained).WithTimeout(3 * time.Second).Should(Receive(&records))
		Expect(records[0]).To(Equal(storekeeper.Record{Key: "job/a", Value: []byte("newer")}))
	})

	// Guards against an entry that never becomes the owner again, because an odd record of an owner has an epoch after which none can follow.
	It("gains the ownership beside a record of an owner whose epoch is out of range", func() {
		s := &lateStore{jobRecord: storekeeper.Record{Key: elector.OwnerKey, Value: []byte(`{"epoch":18446744073709551615,"address":"x","nonce":"n"}`)}}
		gained := make(chan uint64, 10)
		e := &elector.Elector{
			Address: "a", Generation: "g", Weight: 1, PeerClient: s, Store: s, Clock: boottimer.Clock{}, Log: zerolog.Nop(),
			OnOwnershipGained: func(epoch uint64, _ []storekeeper.Record) { gained <- epoch },
			OnOwnershipLost:   func(uint64, string) {},
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); _ = e.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-ended })
		var epoch uint64
		Eventually(gained).WithTimeout(3 * time.Second).Should(Receive(&epoch))
		Expect(epoch).To(BeNumerically("<", 10))
		e.ObserveEpoch(messenger.MaxEpoch+1, "x")
		Consistently(func() string { owner, _ := e.Owner(); return owner }).WithTimeout(300 * time.Millisecond).Should(Equal("a"))
	})
})
