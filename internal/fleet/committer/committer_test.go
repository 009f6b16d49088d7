package committer_test

import (
	"context"
	"fmt"
	"slices"
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

var errNoResponse = eris.New("no response")

// store is a fake that records all appends. The first appends return the errors, one each, and later appends succeed. If release is not
// nil, appends wait until it is closed.
type store struct {
	mutex            sync.Mutex
	errors           []error
	attemptedBatches []storekeeper.Batch
	release          chan struct{}
	// rejected holds keys. The store rejects batches that contain one of them for good.
	rejected map[string]bool
}

func (s *store) Append(ctx context.Context, b storekeeper.Batch) error {
	s.mutex.Lock()
	s.attemptedBatches = append(s.attemptedBatches, b)
	release := s.release
	var err error
	if len(s.errors) > 0 {
		err, s.errors = s.errors[0], s.errors[1:]
	}
	for _, r := range b.Records {
		if err == nil && s.rejected[r.Key] {
			err = eris.Wrap(storekeeper.ErrRejected, "status 400")
		}
	}
	s.mutex.Unlock()
	if release != nil {
		select {
		case <-release:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return err
}

func (s *store) attempts() []storekeeper.Batch {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]storekeeper.Batch{}, s.attemptedBatches...)
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
	appendWrite := func(key string, failFast bool) <-chan error {
		done := make(chan error, 1)
		c.Append(committer.Write{
			Records: []storekeeper.Record{{Key: key, Value: []byte("v")}}, FailFast: failFast, Done: func(err error) { done <- err },
		})
		return done
	}

	endEpoch := func() { c.EndEpoch(7) }

	// Guards against an owner that records nothing any more because the store refuses one of its records for good.
	for name, errs := range map[string][]error{
		"":                                   nil,
		" after an attempt without response": {errNoResponse},
		" after a refusal for a while":       {storekeeper.ErrNotAppended},
	} {
		It("gives up only the write that the store rejects for good"+name, func() {
			s.release, s.rejected = make(chan struct{}), map[string]bool{"odd-3": true, "odd-11": true}
			first := appendWrite("first", false)
			Eventually(s.attempts).Should(HaveLen(1))
			var odd, others []<-chan error
			for n := range 20 {
				key := fmt.Sprint("key-", n)
				if n == 3 || n == 11 {
					odd = append(odd, appendWrite(fmt.Sprint("odd-", n), n == 3))
					continue
				}
				others = append(others, appendWrite(key, false))
			}
			s.mutex.Lock()
			s.errors = errs
			s.mutex.Unlock()
			close(s.release)
			Eventually(first).Should(Receive(BeNil()))
			for _, done := range others {
				Eventually(done).Should(Receive(BeNil()))
			}
			for _, done := range odd {
				Eventually(done).Should(Receive(Or(MatchError(storekeeper.ErrNotAppended), MatchError(storekeeper.ErrUnknown))))
			}
			Eventually(appendWrite("later", true)).Should(Receive(BeNil()))
			var sequences []uint64
			stored := map[string]int{}
			for _, b := range s.attempts() {
				isRejected := slices.ContainsFunc(b.Records, func(r storekeeper.Record) bool { return s.rejected[r.Key] })
				if isRejected || len(sequences) > 0 && sequences[len(sequences)-1] == b.Sequence {
					continue
				}
				sequences = append(sequences, b.Sequence)
				for _, r := range b.Records {
					stored[r.Key]++
				}
			}
			Expect(stored).To(HaveLen(20))
			for n, sequence := range sequences {
				Expect(sequence).To(Equal(uint64(2 + n)))
			}
			Expect(c.Degraded()).To(BeFalse())
		})
	}

	It("appends writes that were queued during an append as one batch with the next sequence number", func() {
		s.release = make(chan struct{})
		first := appendWrite("a", true)
		Eventually(s.attempts).Should(HaveLen(1))
		second, third := appendWrite("b", true), appendWrite("c", true)
		close(s.release)
		for _, done := range []<-chan error{first, second, third} {
			Eventually(done).Should(Receive(BeNil()))
		}
		Expect(s.attempts()).To(HaveLen(2))
		Expect(s.attempts()[0].Sequence).To(Equal(uint64(2)))
		Expect(s.attempts()[1].Sequence).To(Equal(uint64(3)))
		Expect(s.attempts()[1].Records).To(HaveLen(2))
	})

	// Guards against a lost response that causes a batch to be appended twice, or to be dropped although the store may have it.
	It("repeats a batch unchanged if the store did not respond", func() {
		s.errors = []error{errNoResponse, storekeeper.ErrNotAppended, errNoResponse}
		done := appendWrite("a", true)
		Eventually(done).WithTimeout(3 * time.Second).Should(Receive(BeNil()))
		for _, b := range s.attempts() {
			Expect(b).To(Equal(s.attempts()[0]))
		}
		Expect(s.attempts()).To(HaveLen(4))
	})

	It("fails FailFast writes as soon as the store rejects a batch, and retries the others", func() {
		s.errors = []error{storekeeper.ErrNotAppended}
		s.release = make(chan struct{})
		kept := appendWrite("k", false)
		Eventually(s.attempts).Should(HaveLen(1))
		queued := appendWrite("q", true)
		close(s.release)
		Eventually(queued).Should(Receive(MatchError(storekeeper.ErrNotAppended)))
		Expect(c.Degraded()).To(BeTrue())
		Eventually(kept).WithTimeout(2 * time.Second).Should(Receive(BeNil()))
		Expect(c.Degraded()).To(BeFalse())
	})

	It("fails FailFast writes that were queued during a slow append without waiting for the end of that append", func() {
		s.release = make(chan struct{})
		first := appendWrite("a", true)
		Eventually(s.attempts).Should(HaveLen(1))
		started := time.Now()
		Eventually(appendWrite("b", true)).WithTimeout(2 * time.Second).Should(Receive(MatchError(storekeeper.ErrNotAppended)))
		Expect(time.Since(started)).To(BeNumerically("<", 900*time.Millisecond))
		close(s.release)
		Eventually(first).Should(Receive(BeNil()))
	})

	It("sends a later write to the store after all earlier writes were rejected", func() {
		s.errors = []error{storekeeper.ErrNotAppended}
		Eventually(appendWrite("a", true)).Should(Receive(MatchError(storekeeper.ErrNotAppended)))
		Eventually(c.Degraded).WithTimeout(time.Second).Should(BeFalse())
		Eventually(appendWrite("b", true)).Should(Receive(BeNil()))
	})

	It("fails all writes after the store has rejected the epoch of an append", func() {
		s.errors = []error{storekeeper.ErrFenced}
		Eventually(appendWrite("a", false)).Should(Receive(MatchError(storekeeper.ErrFenced)))
		Eventually(fenced).Should(Receive(Equal(uint64(7))))
		c.EndEpoch(7)
		Eventually(appendWrite("b", true)).Should(Receive(MatchError(storekeeper.ErrFenced)))
	})

	// Guards against a caller that hears that its job was not stored because a repeat of the append was rejected, although the store may have
	// executed the first copy of the append.
	for name, c := range map[string]struct {
		errors []error
		want   error
	}{
		"not appended after a single rejection":                    {[]error{storekeeper.ErrNotAppended}, storekeeper.ErrNotAppended},
		"fenced if the first copy was fenced":                      {[]error{storekeeper.ErrFenced}, storekeeper.ErrFenced},
		"unknown if a repeat was fenced":                           {[]error{errNoResponse, storekeeper.ErrFenced}, storekeeper.ErrUnknown},
		"unknown if a repeat was rejected and the next one fenced": {[]error{errNoResponse, storekeeper.ErrNotAppended, storekeeper.ErrFenced}, storekeeper.ErrUnknown},
	} {
		It("reports for a FailFast write: "+name, func() {
			s.errors = c.errors
			Eventually(appendWrite("a", true)).WithTimeout(2 * time.Second).Should(Receive(MatchError(c.want)))
		})
	}
	for name, c := range map[string]struct {
		err  error
		want error
	}{
		"unknown if the store has not responded": {errNoResponse, storekeeper.ErrUnknown},
		"fenced if the store has rejected it":    {storekeeper.ErrNotAppended, storekeeper.ErrFenced},
	} {
		It("fails a write that is being retried when the epoch ends: "+name, func() {
			s.errors = []error{c.err, c.err, c.err, c.err, c.err}
			done := appendWrite("a", false)
			Eventually(s.attempts).Should(HaveLen(1))
			endEpoch()
			Eventually(done).WithTimeout(2 * time.Second).Should(Receive(MatchError(c.want)))
		})
	}
	It("fails a write that is still queued when the epoch ends with ErrFenced", func() {
		s.release = make(chan struct{})
		defer close(s.release)
		appendWrite("a", false)
		Eventually(s.attempts).Should(HaveLen(1))
		queued := appendWrite("b", false)
		endEpoch()
		Eventually(queued).Should(Receive(MatchError(storekeeper.ErrFenced)))
	})

	// Guards against an owner that lets runs go on although another entry has claimed the ownership: the store answers the repeat of an append that it
	// executed before that claim with its first response.
	It("reports an append that was repeated as sent when its first copy was", func() {
		sent := make(chan time.Time, 1)
		c.OnAppended = func(_ uint64, sentAt time.Time) { sent <- sentAt }
		s.errors = []error{errNoResponse, errNoResponse, errNoResponse}
		s.release = make(chan struct{})
		done := appendWrite("a", false)
		Eventually(s.attempts).Should(HaveLen(1))
		firstSentBefore := boottimer.Clock{}.Now()
		close(s.release)
		Eventually(done).WithTimeout(3 * time.Second).Should(Receive(BeNil()))
		Expect(s.attempts()).To(HaveLen(4))
		var sentAt time.Time
		Expect(sent).To(Receive(&sentAt))
		Expect(firstSentBefore.Sub(sentAt)).To(BeNumerically(">=", 0), "a later copy shows nothing about the time when it was sent")
	})

	// Guards against records of an earlier epoch that replace newer ones of the next owner: the epoch ends while queued FailFast writes are failed, so
	// the other queued writes return to the queue after it was emptied, and this entry becomes the owner again later.
	It("does not append a write of an epoch that ends while queued FailFast writes are failed", func() {
		s.release = make(chan struct{})
		appendWrite("a", false)
		Eventually(s.attempts).Should(HaveLen(1))
		c.Append(committer.Write{FailFast: true, Records: []storekeeper.Record{{Key: "b", Value: []byte("v")}}, Done: func(error) { c.EndEpoch(7) }})
		outdated := appendWrite("outdated", false)
		Eventually(outdated).WithTimeout(2 * time.Second).Should(Receive(MatchError(storekeeper.ErrFenced)))
		close(s.release)
		c.BeginEpoch(9, 1)
		Eventually(appendWrite("c", false)).WithTimeout(2 * time.Second).Should(Receive(BeNil()))
		for _, b := range s.attempts() {
			for _, r := range b.Records {
				Expect(r.Key == "outdated" && b.Epoch == 9).To(BeFalse())
			}
		}
	})
})
