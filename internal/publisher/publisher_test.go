package publisher_test

import (
	"context"
	"time"

	"bamboohook/appender"
	"bamboohook/configurator"
	"bamboohook/internal/publisher"
	"bamboohook/internal/standin/logservice"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Publisher", func() {
	var (
		clock *clockwork.FakeClock
		store *logservice.Store
	)
	newPublisher := func(writer string) *publisher.Publisher {
		a := appender.New(appender.Options{Log: store, Clock: clock, Stream: "configuration", Writer: writer})
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go a.Run(ctx)
		return &publisher.Publisher{Appender: a, Log: store, Clock: clock, Stream: "configuration"}
	}
	// publishAsync starts to publish a change without sections and returns the channel that will contain the result.
	publishAsync := func(p *publisher.Publisher, state configurator.State, id string, baseRevision uint64, timeout time.Duration) chan publisher.Result {
		result := make(chan publisher.Result, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			result <- p.Publish(ctx, state, configurator.Change{ID: id, BaseRevision: baseRevision, Author: "ana"})
		}()
		return result
	}
	// awaitResults advances the fake clock until each channel contains a result, and returns the texts of the results.
	awaitResults := func(results ...chan publisher.Result) []string {
		texts := make([]string, len(results))
		for i, a := range results {
			Eventually(func() bool {
				select {
				case result := <-a:
					texts[i] = result.String()
					return true
				default:
					clock.Advance(10 * time.Millisecond)
					return false
				}
			}).WithPolling(time.Millisecond).WithTimeout(5 * time.Second).Should(BeTrue())
		}
		return texts
	}
	emptyState := func() configurator.State { return configurator.New(configurator.Options{}).State() }
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		store = logservice.NewStore(logservice.Options{Clock: clock, RetentionEntries: 5})
	})

	It("reports one of two changes with the same base revision as accepted and the other as refused with both revisions", func() {
		firstResult := publishAsync(newPublisher("a"), emptyState(), "x", 0, time.Minute)
		secondResult := publishAsync(newPublisher("b"), emptyState(), "y", 0, time.Minute)
		Expect(awaitResults(firstResult, secondResult)).To(ConsistOf("accepted as revision 1", "refused, based on 0, now 1"))
	})

	// Whatever the fault, the reported outcome must be the one that every process computes from the stream.
	for name, faults := range map[string]logservice.Faults{
		"response lost": {DropResponses: 1}, "duplicated": {Duplicates: 1}, "requests refused temporarily": {Refusals: 2},
		"duplicated and response lost": {Duplicates: 1, DropResponses: 1},
	} {
		It("reports the change as accepted: "+name, func() {
			store.SetFaults(faults)
			Expect(awaitResults(publishAsync(newPublisher("a"), emptyState(), "x", 0, time.Minute))).To(Equal([]string{"accepted as revision 1"}))
		})
	}

	It("reports an unknown outcome with the identifier of the change when the log service is down after the append", func() {
		store.SetFaults(logservice.Faults{DropResponses: 1})
		result := publishAsync(newPublisher("a"), emptyState(), "x", 0, 300*time.Millisecond)
		Eventually(func() uint64 {
			clock.Advance(10 * time.Millisecond)
			return store.Counters().Appends
		}).Should(Equal(uint64(1)))
		store.SetFaults(logservice.Faults{Down: true})
		Expect(awaitResults(result)).To(Equal([]string{"unknown (cancelled), ask by change id x"}))
	})

	It("reports an unknown outcome when retention removed entries that follow the offset of the given state", func() {
		p := newPublisher("a")
		for range 6 {
			_, err := store.Append(context.Background(), "configuration", []byte(`{"writer":"z","sequence":1}`))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(awaitResults(publishAsync(p, emptyState(), "x", 0, time.Minute))).To(Equal([]string{"unknown (retention), ask by change id x"}))
	})

	It("refuses a change with a base revision higher than that of the given state without appending it", func() {
		Expect(awaitResults(publishAsync(newPublisher("a"), emptyState(), "x", 3, time.Minute))).To(Equal([]string{"refused, based on 3, now 0"}))
		Expect(store.Counters().Appends).To(BeZero())
	})
})
