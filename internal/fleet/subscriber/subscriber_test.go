package subscriber_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bamboohook/internal/fleet/routetable"
	"bamboohook/internal/fleet/storekeeper"
	"bamboohook/internal/fleet/subscriber"
)

// source is a fake of the store and of the other entries.
type source struct {
	mutex   sync.Mutex
	newest  *routetable.Table
	peer    *routetable.Table
	offset  int64
	err     error
	reads   int
	expired bool
}

func (s *source) set(change func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
}

func (s *source) LoadConfiguration(context.Context) (*routetable.Table, int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reads++
	s.expired = false
	return s.newest, s.offset, s.err
}

func (s *source) FollowConfiguration(_ context.Context, offset int64, _ time.Duration) (*routetable.Table, int64, error) {
	time.Sleep(5 * time.Millisecond)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.expired {
		return nil, offset, storekeeper.ErrExpired
	}
	if s.err != nil || s.offset == offset {
		return nil, offset, s.err
	}
	return s.newest, s.offset, nil
}

func (s *source) Configuration(context.Context, string) (*routetable.Table, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.peer, nil
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
			Source: current, Peers: current, Log: zerolog.Nop(), OnStoreResponse: func() {},
			PeerWithNewerVersion: func(version int64) string {
				current.mutex.Lock()
				defer current.mutex.Unlock()
				if current.peer != nil && current.peer.Version > version {
					return "peer"
				}
				return ""
			},
			OnChange: func(t *routetable.Table) { current.set(func() { versions = append(versions, t.Version) }) },
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		DeferCleanup(func() { cancel(); <-ended })
		go func() { defer close(ended); _ = u.Run(ctx) }()
	})
	publish := func(version int64) {
		s.set(func() { s.newest, s.offset = &routetable.Table{Version: version}, s.offset+1 })
	}

	It("loads the newest configuration and follows changes", func() {
		Expect(u.Table()).To(BeNil())
		publish(3)
		Eventually(u.Version).Should(Equal(int64(3)))
		publish(8)
		Eventually(u.Version).Should(Equal(int64(8)))
	})

	It("never returns to an older version", func() {
		publish(8)
		Eventually(u.Version).Should(Equal(int64(8)))
		publish(3)
		Consistently(u.Version).WithTimeout(100 * time.Millisecond).Should(Equal(int64(8)))
	})

	It("loads the newest configuration again after records were deleted", func() {
		publish(3)
		Eventually(u.Version).Should(Equal(int64(3)))
		s.set(func() { s.newest, s.expired = &routetable.Table{Version: 9}, true })
		Eventually(u.Version).Should(Equal(int64(9)))
	})

	It("keeps its configuration while the store fails, and fetches a newer one from another entry", func() {
		publish(3)
		Eventually(u.Version).Should(Equal(int64(3)))
		s.set(func() { s.err = eris.New("down") })
		Consistently(u.Version).WithTimeout(100 * time.Millisecond).Should(Equal(int64(3)))
		s.set(func() { s.peer = &routetable.Table{Version: 5} })
		Eventually(u.Version).Should(Equal(int64(5)))
		s.set(func() { s.err = nil })
		publish(6)
		Eventually(u.Version).Should(Equal(int64(6)))
		s.set(func() { Expect(versions).To(Equal([]int64{3, 5, 6})) })
	})
})
