package committer_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bamboohook/internal/boottimer"
	"bamboohook/internal/fleet/committer"
	"bamboohook/internal/fleet/storekeeper"
)

var errNoResponse = eris.New("no answer")

// store answers appends from a script; after its end all succeed.
type store struct {
	mutex   sync.Mutex
	errors  []error
	batches []storekeeper.Batch
	hold    chan struct{}
}

func (s *store) Append(ctx context.Context, b storekeeper.Batch) error {
	s.mutex.Lock()
	s.batches = append(s.batches, b)
	hold := s.hold
	var err error
	if len(s.errors) > 0 {
		err, s.errors = s.errors[0], s.errors[1:]
	}
	s.mutex.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return err
}

func (s *store) appended() []storekeeper.Batch {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]storekeeper.Batch{}, s.batches...)
}

var _ = Describe("Committer", func() {
	var (
		s      *store
		c      *committer.Committer
		fenced chan uint64
	)
	BeforeEach(func() {
		s, fenced = &store{}, make(chan uint64, 1)
		c = &committer.Committer{Store: s, Clock: boottimer.Clock{}, Log: zerolog.Nop(), OnFenced: func(epoch uint64) { fenced <- epoch }}
		c.BeginEpoch(7, 1)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		DeferCleanup(func() { cancel(); <-ended })
		go func() { defer close(ended); _ = c.Run(ctx) }()
	})
	add := func(key string, refusable bool) <-chan error {
		done := make(chan error, 1)
		c.Append(committer.Write{
			Records: []storekeeper.Record{{Key: key, Value: []byte("v")}}, FailFast: refusable, Done: func(err error) { done <- err },
		})
		return done
	}

	It("groups what comes while an append is under way, in sequence", func() {
		s.hold = make(chan struct{})
		first := add("a", true)
		Eventually(s.appended).Should(HaveLen(1))
		second, third := add("b", true), add("c", true)
		close(s.hold)
		for _, done := range []<-chan error{first, second, third} {
			Eventually(done).Should(Receive(BeNil()))
		}
		Expect(s.appended()).To(HaveLen(2))
		Expect(s.appended()[0].Sequence).To(Equal(uint64(2)))
		Expect(s.appended()[1].Sequence).To(Equal(uint64(3)))
		Expect(s.appended()[1].Records).To(HaveLen(2))
	})

	// Guards against a lost answer that lets a batch be appended twice or be given up although it may be stored.
	It("repeats a batch without an answer unchanged", func() {
		s.errors = []error{errNoResponse, storekeeper.ErrNotAppended, errNoResponse}
		done := add("a", true)
		Eventually(done).WithTimeout(3 * time.Second).Should(Receive(BeNil()))
		for _, b := range s.appended() {
			Expect(b).To(Equal(s.appended()[0]))
		}
		Expect(s.appended()).To(HaveLen(4))
	})

	It("refuses what may be refused as soon as the store does, and keeps the rest", func() {
		s.errors = []error{storekeeper.ErrNotAppended}
		s.hold = make(chan struct{})
		kept := add("k", false)
		Eventually(s.appended).Should(HaveLen(1))
		queued := add("q", true)
		close(s.hold)
		Eventually(queued).Should(Receive(MatchError(storekeeper.ErrNotAppended)))
		Expect(c.Degraded()).To(BeTrue())
		Eventually(kept).WithTimeout(2 * time.Second).Should(Receive(BeNil()))
		Expect(c.Degraded()).To(BeFalse())
	})

	It("refuses what waits behind an append that takes too long, before that one ends", func() {
		s.hold = make(chan struct{})
		first := add("a", true)
		Eventually(s.appended).Should(HaveLen(1))
		started := time.Now()
		Eventually(add("b", true)).WithTimeout(2 * time.Second).Should(Receive(MatchError(storekeeper.ErrNotAppended)))
		Expect(time.Since(started)).To(BeNumerically("<", 900*time.Millisecond))
		close(s.hold)
		Eventually(first).Should(Receive(BeNil()))
	})

	It("tries again for the next entry after everything was refused", func() {
		s.errors = []error{storekeeper.ErrNotAppended}
		Eventually(add("a", true)).Should(Receive(MatchError(storekeeper.ErrNotAppended)))
		Eventually(c.Degraded).WithTimeout(time.Second).Should(BeFalse())
		Eventually(add("b", true)).Should(Receive(BeNil()))
	})

	It("fails everything when another writer took over", func() {
		s.errors = []error{storekeeper.ErrFenced}
		Eventually(add("a", false)).Should(Receive(MatchError(storekeeper.ErrFenced)))
		Eventually(fenced).Should(Receive(Equal(uint64(7))))
		c.EndEpoch(7)
		Eventually(add("b", true)).Should(Receive(MatchError(storekeeper.ErrFenced)))
	})

	It("ends a batch that is being repeated with its epoch", func() {
		s.errors = []error{errNoResponse, errNoResponse, errNoResponse, errNoResponse, errNoResponse}
		done := add("a", false)
		Eventually(s.appended).Should(HaveLen(1))
		c.EndEpoch(7)
		Eventually(done).WithTimeout(2 * time.Second).Should(Receive(MatchError(storekeeper.ErrFenced)))
	})
})
