package appender_test

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"bamboohook/appender"
	"bamboohook/follower"
	"bamboohook/internal/standin/logservice"
	"bamboohook/stream"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fixture is a running Appender with a fake log service and a fake clock.
type fixture struct {
	store    *logservice.Store
	clock    *clockwork.FakeClock
	appender *appender.Appender
	stop     context.CancelFunc
}

func startAppender(storeOptions logservice.Options, options appender.Options) fixture {
	f := fixture{clock: clockwork.NewFakeClock()}
	storeOptions.Clock = f.clock
	f.store = logservice.NewStore(storeOptions)
	options.Log, options.Clock, options.Stream, options.Writer = f.store, f.clock, "x", "entry-1/a"
	f.appender = appender.New(options)
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	DeferCleanup(cancel)
	go f.appender.Run(ctx)
	return f
}

// appendAsync starts to append one record and returns the channel that will contain the result.
func (f fixture) appendAsync(ctx context.Context, body string) chan appender.Result {
	result := make(chan appender.Result, 1)
	go func() { result <- f.appender.Append(ctx, stream.NewRecord("test", body)) }()
	return result
}

// awaitResult advances the fake clock until the channel contains a result, which it returns.
func (f fixture) awaitResult(result chan appender.Result) appender.Result {
	var r appender.Result
	Eventually(func() bool {
		select {
		case r = <-result:
			return true
		default:
			f.clock.Advance(10 * time.Millisecond)
			return false
		}
	}).WithPolling(time.Millisecond).WithTimeout(5 * time.Second).Should(BeTrue())
	return r
}

// readBodies returns the bodies of all records that a follower reads from the stream.
func (f fixture) readBodies() []string {
	f.store.SetFaults(logservice.Faults{})
	reader := follower.New(follower.Options{Log: f.store, Clock: f.clock, Stream: "x", Wait: -1, PageLimit: 1000})
	result, err := reader.Poll(context.Background())
	Expect(err).NotTo(HaveOccurred())
	var bodies []string
	for _, e := range result.Entries {
		for _, r := range e.Batch.Records {
			bodies = append(bodies, strings.Trim(string(r.Body), `"`))
		}
	}
	return bodies
}

var _ = Describe("Appender", func() {
	ctx := context.Background()

	// Whatever the fault, readers must apply each record exactly once, at the offset that the appender reports.
	for name, t := range map[string]struct {
		faults  logservice.Faults
		offsets []uint64
		appends uint64
	}{
		"no fault":           {logservice.Faults{}, []uint64{1, 2}, 2},
		"response lost":      {logservice.Faults{DropResponses: 1}, []uint64{1, 2}, 2},
		"two responses lost": {logservice.Faults{DropResponses: 2}, []uint64{1, 2}, 2},
		"duplicated":         {logservice.Faults{Duplicates: 1}, []uint64{1, 3}, 3},
		"duplicated, with the copy after the next batch": {logservice.Faults{Duplicates: 1, DuplicateAfter: 1}, []uint64{1, 3}, 3},
		"requests refused temporarily":                   {logservice.Faults{Refusals: 3}, []uint64{1, 2}, 2},
		"duplicated and response lost":                   {logservice.Faults{Duplicates: 1, DropResponses: 1}, []uint64{1, 3}, 3},
	} {
		It("reports the offset at which readers apply the record: "+name, func() {
			f := startAppender(logservice.Options{Faults: t.faults}, appender.Options{})
			for i, offset := range t.offsets {
				r := f.awaitResult(f.appendAsync(ctx, string(rune('a'+i))))
				Expect(r).To(Equal(appender.Result{Outcome: appender.OutcomeAppended, Offset: offset}))
			}
			Expect(f.readBodies()).To(Equal([]string{"a", "b"}))
			Expect(f.store.Counters().Appends).To(Equal(t.appends))
		})
	}

	It("reports the time of the last response during an outage and appends the queued records after it", func() {
		f := startAppender(logservice.Options{}, appender.Options{})
		f.awaitResult(f.appendAsync(ctx, "a"))
		lastContact := f.appender.LastContact()
		f.store.SetFaults(logservice.Faults{Down: true})
		result := f.appendAsync(ctx, "b")
		for range 100 {
			f.clock.Advance(time.Second)
			time.Sleep(100 * time.Microsecond)
		}
		Consistently(result, 10*time.Millisecond).ShouldNot(Receive())
		Expect(f.appender.LastContact()).To(Equal(lastContact))
		f.store.SetFaults(logservice.Faults{})
		Expect(f.awaitResult(result).Outcome).To(Equal(appender.OutcomeAppended))
		Expect(f.readBodies()).To(Equal([]string{"a", "b"}))
	})

	It("groups concurrent calls into one append and limits the append rate", func() {
		f := startAppender(logservice.Options{}, appender.Options{AppendsPerSecond: 1, Burst: 1})
		var results []chan appender.Result
		for range 20 {
			results = append(results, f.appendAsync(ctx, "a"))
		}
		Eventually(f.appender.Queued).Should(Equal(20))
		for _, r := range results {
			Expect(f.awaitResult(r).Offset).To(Equal(uint64(1)))
		}
		start := f.clock.Now()
		f.awaitResult(f.appendAsync(ctx, "b"))
		Expect(f.clock.Since(start)).To(BeNumerically(">=", 800*time.Millisecond), "the limit is one append per second")
	})

	It("reports an unknown outcome if retention removed entries among which the batch may be, then appends the next batch", func() {
		f := startAppender(logservice.Options{RetentionEntries: 3}, appender.Options{})
		f.awaitResult(f.appendAsync(ctx, "a"))
		f.store.SetFaults(logservice.Faults{DropResponses: 1})
		result := f.appendAsync(ctx, "b")
		Eventually(func() uint64 {
			f.clock.Advance(10 * time.Millisecond)
			return f.store.Counters().Appends
		}).Should(Equal(uint64(2)))
		for range 3 {
			_, _ = f.store.Append(ctx, "x", json.RawMessage(`"other"`))
		}
		Expect(f.awaitResult(result)).To(Equal(appender.Result{Outcome: appender.OutcomeUnknown, Reason: appender.ReasonRetention}))
		Expect(f.awaitResult(f.appendAsync(ctx, "c")).Outcome).To(Equal(appender.OutcomeAppended))
	})

	It("reports records that are queued as not appended, and records in flight as unknown, when it is cancelled or stopped", func() {
		f := startAppender(logservice.Options{}, appender.Options{})
		cancelledCtx, cancel := context.WithCancel(ctx)
		queuedResult := f.appendAsync(cancelledCtx, "a")
		Eventually(f.appender.Queued).Should(Equal(1))
		cancel()
		Expect(f.awaitResult(queuedResult)).To(Equal(appender.Result{Outcome: appender.OutcomeNotAppended, Reason: appender.ReasonCancelled}))
		f.store.SetFaults(logservice.Faults{DropResponses: 1})
		inFlightResult := f.appendAsync(ctx, "b")
		Eventually(func() uint64 {
			f.clock.Advance(10 * time.Millisecond)
			return f.store.Counters().Appends
		}).Should(Equal(uint64(1)))
		waitingResult := f.appendAsync(ctx, "c")
		Eventually(f.appender.Queued).Should(Equal(1))
		f.stop()
		Expect(f.awaitResult(inFlightResult)).To(Equal(appender.Result{Outcome: appender.OutcomeUnknown, Reason: appender.ReasonStopped}))
		Expect(f.awaitResult(waitingResult)).To(Equal(appender.Result{Outcome: appender.OutcomeNotAppended, Reason: appender.ReasonStopped}))
	})

	It("limits the length of the queue and the size of a batch", func() {
		f := startAppender(logservice.Options{}, appender.Options{MaxQueuedCalls: 1, MaxBatchBytes: 1000})
		Expect(f.awaitResult(f.appendAsync(ctx, strings.Repeat("x", 1000))).Reason).To(Equal(appender.ReasonTooLarge))
		f.appendAsync(ctx, "a")
		Eventually(f.appender.Queued).Should(Equal(1))
		Expect(f.awaitResult(f.appendAsync(ctx, "b")).Reason).To(Equal(appender.ReasonQueueFull))
	})
})
