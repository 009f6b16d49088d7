package logclient_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"time"

	"bamboohook/appender"
	"bamboohook/internal/logclient"
	"bamboohook/internal/standin/logservice"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

type testLog struct {
	log   appender.Log
	store *logservice.Store
	clock *clockwork.FakeClock
}

// logImplementations contains two implementations of appender.Log: the in-memory store that tests of other packages
// use, and the HTTP client with a fake log service. All tests run against both, so that they detect differences.
var logImplementations = map[string]func(logservice.Options) testLog{
	"in-memory store": func(o logservice.Options) testLog {
		clock := clockwork.NewFakeClock()
		o.Clock = clock
		s := logservice.NewStore(o)
		return testLog{s, s, clock}
	},
	"client with a fake service": func(o logservice.Options) testLog {
		clock := clockwork.NewFakeClock()
		o.Clock = clock
		service := logservice.New(o)
		server := httptest.NewServer(service.Handler())
		DeferCleanup(server.Close)
		return testLog{&logclient.Client{Address: server.URL}, service.Store(), clock}
	},
}

var _ = Describe("Log", func() {
	ctx := context.Background()
	for name, newTestLog := range logImplementations {
		Context(name, func() {
			It("assigns consecutive offsets from 1 and returns the values unchanged", func() {
				s := newTestLog(logservice.Options{})
				for i, value := range []string{`{"a":1}`, `"two"`, `[3]`} {
					Expect(s.log.Append(ctx, "x", json.RawMessage(value))).To(Equal(uint64(i + 1)))
				}
				page, err := s.log.Read(ctx, "x", 2, 1, 0)
				Expect(err).NotTo(HaveOccurred())
				Expect([]uint64{page.First, page.Next}).To(Equal([]uint64{1, 4}))
				Expect(page.Entries).To(HaveLen(1))
				Expect(page.Entries[0].Offset).To(Equal(uint64(2)))
				Expect(string(page.Entries[0].Value)).To(Equal(`"two"`))
				Expect(page.Entries[0].Time.Equal(s.clock.Now())).To(BeTrue())
			})

			It("returns no entries but the next offset for a read beyond the end of the stream", func() {
				s := newTestLog(logservice.Options{})
				Expect(s.log.Append(ctx, "x", json.RawMessage(`1`))).To(Equal(uint64(1)))
				page, err := s.log.Read(ctx, "x", 50, 10, 0)
				Expect(err).NotTo(HaveOccurred())
				Expect(page.Entries).To(BeEmpty())
				Expect(page.Next).To(Equal(uint64(2)))
			})

			It("responds to a waiting read when an entry is appended", func() {
				s := newTestLog(logservice.Options{})
				nextOffset := make(chan uint64, 1)
				go func() {
					page, _ := s.log.Read(ctx, "x", 1, 10, 3*time.Second)
					nextOffset <- page.Next
				}()
				Expect(s.clock.BlockUntilContext(ctx, 1)).To(Succeed())
				Expect(s.log.Append(ctx, "x", json.RawMessage(`1`))).To(Equal(uint64(1)))
				Eventually(nextOffset).Should(Receive(Equal(uint64(2))))
			})

			It("removes entries because of their number and of their age and never reuses an offset", func() {
				s := newTestLog(logservice.Options{RetentionEntries: 2, Retention: time.Minute})
				for i := range 4 {
					Expect(s.log.Append(ctx, "x", json.RawMessage(`1`))).To(Equal(uint64(i + 1)))
				}
				page, _ := s.log.Read(ctx, "x", 1, 10, 0)
				Expect([]uint64{page.First, page.Next}).To(Equal([]uint64{3, 5}))
				s.clock.Advance(2 * time.Minute)
				page, _ = s.log.Read(ctx, "x", 1, 10, 0)
				Expect([]uint64{page.First, page.Next}).To(Equal([]uint64{5, 5}))
			})

			It("distinguishes values that are never accepted, requests refused temporarily and lost responses", func() {
				s := newTestLog(logservice.Options{MaxStreams: 1, Faults: logservice.Faults{Refusals: 1, DropResponses: 1}})
				_, err := s.log.Append(ctx, "x", json.RawMessage(`1`))
				Expect(err).To(MatchError(appender.ErrNotAppended))
				_, err = s.log.Append(ctx, "x", json.RawMessage(`1`))
				Expect(err).To(HaveOccurred())
				Expect(err).NotTo(Or(MatchError(appender.ErrNotAppended), MatchError(appender.ErrRejected)))
				largeValue := json.RawMessage(`"` + strings.Repeat("x", logservice.DefaultMaxEntryBytes) + `"`)
				_, err = s.log.Append(ctx, "x", largeValue)
				Expect(err).To(MatchError(appender.ErrRejected))
				_, err = s.log.Append(ctx, "another", json.RawMessage(`1`))
				Expect(err).To(MatchError(appender.ErrRejected))
				page, _ := s.log.Read(ctx, "x", 1, 10, 0)
				Expect(page.Entries).To(HaveLen(1), "only the append with the lost response took effect")
			})

			It("fails while the service is down, without reporting that the value was not appended", func() {
				s := newTestLog(logservice.Options{Faults: logservice.Faults{Down: true}})
				_, err := s.log.Append(ctx, "x", json.RawMessage(`1`))
				Expect(err).To(HaveOccurred())
				Expect(err).NotTo(MatchError(appender.ErrNotAppended))
				_, err = s.log.Read(ctx, "x", 1, 10, 0)
				Expect(err).To(HaveOccurred())
			})
		})
	}
})

var _ = Describe("Client", func() {
	It("reports that the value was not appended if the connection was refused", func() {
		server := httptest.NewServer(nil)
		address := server.URL
		server.Close()
		_, err := (&logclient.Client{Address: address}).Append(context.Background(), "x", json.RawMessage(`1`))
		Expect(err).To(MatchError(appender.ErrNotAppended))
	})
})
