package subscriber_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bamboohook/internal/boottimer"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/routetable"
	"bamboohook/internal/fleet/sleeper"
	"bamboohook/internal/fleet/storekeeper"
	"bamboohook/internal/fleet/subscriber"
)

// source is a fake of the store, whose newest record is newestConfiguration, and of another entry, which has peerConfiguration. If
// recordsDeleted is true, FollowConfiguration returns storekeeper.ErrDeleted, until LoadConfiguration is called.
type source struct {
	mutex               sync.Mutex
	newestConfiguration *routetable.Configuration
	peerConfiguration   *routetable.Configuration
	offset              int64
	// transferTime is how long the response of the store with a new configuration takes.
	transferTime   time.Duration
	err            error
	reads          int
	recordsDeleted bool
}

func (s *source) update(change func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
}

func (*source) CloseIdleConnections() {}

func (s *source) LoadConfiguration(context.Context, func()) (storekeeper.Publication, int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reads++
	s.recordsDeleted = false
	return storekeeper.Publication{Configuration: s.newestConfiguration, Evacuations: map[string]bool{}}, s.offset, s.err
}

func (s *source) FollowConfiguration(ctx context.Context, offset int64, _ time.Duration, progress func()) (storekeeper.Publication, int64, bool, error) {
	time.Sleep(5 * time.Millisecond)
	s.mutex.Lock()
	transferTime, changed := s.transferTime, s.offset != offset
	s.mutex.Unlock()
	const parts = 40
	for range parts {
		if !changed || transferTime == 0 {
			break
		}
		if !sleeper.Sleep(ctx, transferTime/parts) {
			return storekeeper.Publication{}, offset, false, ctx.Err()
		}
		progress()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.recordsDeleted {
		return storekeeper.Publication{}, offset, false, storekeeper.ErrDeleted
	}
	if s.err != nil || s.offset == offset {
		return storekeeper.Publication{}, offset, false, s.err
	}
	return storekeeper.Publication{Configuration: s.newestConfiguration, Evacuations: map[string]bool{}}, s.offset, false, nil
}

func (s *source) FetchConfiguration(context.Context, string) (messenger.Configuration, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return messenger.Configuration{Configuration: s.peerConfiguration}, nil
}

// countingPeer counts the configurations that are fetched from another entry.
type countingPeer struct {
	source  *source
	fetches atomic.Int64
}

func (p *countingPeer) FetchConfiguration(ctx context.Context, entry string) (messenger.Configuration, error) {
	p.fetches.Add(1)
	return p.source.FetchConfiguration(ctx, entry)
}

var _ = Describe("Subscriber", func() {
	var (
		s        *source
		u        *subscriber.Subscriber
		versions []int64
	)
	BeforeEach(func() {
		s, versions = &source{}, nil
		current := s
		u = &subscriber.Subscriber{
			Source: current, PeerClient: current, Clock: boottimer.Clock{}, Log: zerolog.Nop(), OnStoreResponse: func() {},
			PeersWithNewerVersion: func(version int64) []string {
				current.mutex.Lock()
				defer current.mutex.Unlock()
				if current.peerConfiguration != nil && current.peerConfiguration.Version > version {
					return []string{"peer"}
				}
				return nil
			},
			OnChange: func(t *routetable.Configuration) { current.update(func() { versions = append(versions, t.Version) }) },
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		DeferCleanup(func() { cancel(); <-ended })
		go func() { defer close(ended); _ = u.Run(ctx) }()
	})
	publish := func(version int64) {
		s.update(func() { s.newestConfiguration, s.offset = &routetable.Configuration{Version: version}, s.offset+1 })
	}

	It("loads the newest configuration and follows changes", func() {
		Expect(u.Configuration()).To(BeNil())
		publish(3)
		Eventually(u.Version).Should(Equal(int64(3)))
		publish(8)
		Eventually(u.Version).Should(Equal(int64(8)))
	})

	It("ignores a configuration with a lower version", func() {
		publish(8)
		Eventually(u.Version).Should(Equal(int64(8)))
		publish(3)
		Consistently(u.Version).WithTimeout(100 * time.Millisecond).Should(Equal(int64(8)))
	})

	It("loads the newest configuration after records in the store were deleted", func() {
		publish(3)
		Eventually(u.Version).Should(Equal(int64(3)))
		s.update(func() { s.newestConfiguration, s.recordsDeleted = &routetable.Configuration{Version: 9}, true })
		Eventually(u.Version).Should(Equal(int64(9)))
	})

	// Guards against a thin link on which a large configuration never arrives, because its transfer is given up and begun anew, and because it is
	// fetched from another entry at the same time.
	It("waits for a transfer that takes long on a thin link, and does not fetch the same configuration from another entry", func() {
		current, counting := s, &countingPeer{source: s}
		thin := &subscriber.Subscriber{
			Source: current, PeerClient: counting, Clock: boottimer.Clock{}, Log: zerolog.Nop(), OnStoreResponse: func() {}, OnChange: func(*routetable.Configuration) {},
			CongestionTime: 400 * time.Millisecond,
			PeersWithNewerVersion: func(version int64) []string {
				current.mutex.Lock()
				defer current.mutex.Unlock()
				if current.peerConfiguration != nil && version < current.peerConfiguration.Version {
					return []string{"peer"}
				}
				return nil
			},
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); _ = thin.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-ended })
		publish(3)
		Eventually(thin.Version).Should(Equal(int64(3)))
		s.update(func() { s.transferTime = 2 * time.Second })
		publish(8)
		time.Sleep(500 * time.Millisecond)
		s.update(func() { s.peerConfiguration = &routetable.Configuration{Version: 8} })
		Eventually(thin.Version).WithTimeout(2500 * time.Millisecond).Should(Equal(int64(8)))
		Expect(counting.fetches.Load()).To(BeZero())
	})

	It("keeps its configuration while the store fails, and fetches a newer one from another entry", func() {
		publish(3)
		Eventually(u.Version).Should(Equal(int64(3)))
		s.update(func() { s.err = eris.New("down") })
		Consistently(u.Version).WithTimeout(100 * time.Millisecond).Should(Equal(int64(3)))
		s.update(func() { s.peerConfiguration = &routetable.Configuration{Version: 5} })
		Eventually(u.Version).Should(Equal(int64(5)))
		s.update(func() { s.err = nil })
		publish(6)
		Eventually(u.Version).Should(Equal(int64(6)))
		s.update(func() { Expect(versions).To(Equal([]int64{3, 5, 6})) })
	})
})
