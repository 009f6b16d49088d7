package recorder_test

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/recorder"
)

var _ = Describe("Recorder", func() {
	var clock *clockwork.FakeClock

	BeforeEach(func() { clock = clockwork.NewFakeClock() })

	It("orders the receipt of a message after its sending although the receiver's clock is behind the sender's", func() {
		sender := recorder.New(recorder.Options{Process: "a", Clock: clockwork.NewFakeClockAt(clock.Now().Add(time.Second))})
		receiver := recorder.New(recorder.Options{Process: "b", Clock: clock})
		sentTimestamp := sender.NextTimestamp()
		earlyEvent := receiver.Record("early", "", nil)
		Expect(receiver.Observe(sentTimestamp)).To(BeTrue())
		receivedEvent := receiver.Record("receive", "", nil)
		Expect(earlyEvent.Less(sentTimestamp)).To(BeTrue())
		Expect(sentTimestamp.Less(receivedEvent.Timestamp)).To(BeTrue())
	})

	It("issues increasing timestamps although the clock steps back", func() {
		r := recorder.New(recorder.Options{Clock: clock})
		lastTimestamp := r.NextTimestamp()
		for range 10 {
			clock.Advance(-time.Second)
			nextTimestamp := r.NextTimestamp()
			Expect(lastTimestamp.Less(nextTimestamp)).To(BeTrue())
			lastTimestamp = nextTimestamp
		}
		Expect(r.Observe(recorder.Timestamp{Nanoseconds: lastTimestamp.Nanoseconds, Counter: 1<<32 - 1})).To(BeTrue())
		Expect(recorder.Timestamp{Nanoseconds: lastTimestamp.Nanoseconds, Counter: 1<<32 - 1}.Less(r.NextTimestamp())).To(BeTrue())
	})

	It("rejects timestamps far in the future, so that one wrong clock does not advance all others", func() {
		r := recorder.New(recorder.Options{Clock: clock})
		nanosecondsAhead := clock.Now().Add(time.Hour).UnixNano()
		Expect(r.Observe(recorder.Timestamp{Nanoseconds: nanosecondsAhead})).To(BeFalse())
		Expect(r.NextTimestamp().Nanoseconds).To(Equal(clock.Now().UnixNano()))
		Expect(r.RejectedTimestamps()).To(Equal(uint64(1)))
	})

	It("drops the oldest events when it is full, as the sequence numbers of the stored ones show", func() {
		r := recorder.New(recorder.Options{Process: "a", Capacity: 3, Clock: clock})
		details := map[string]string{"k": "v"}
		for range 5 {
			r.Record("e", "s", details)
		}
		details["k"] = "changed"
		sequences := func(events []recorder.Event) []uint64 {
			var numbers []uint64
			for _, e := range events {
				numbers = append(numbers, e.Sequence)
				Expect(e.Details).To(HaveKeyWithValue("k", "v"))
			}
			return numbers
		}
		Expect(sequences(r.EventsAfter(0, 0))).To(Equal([]uint64{3, 4, 5}))
		Expect(sequences(r.EventsAfter(3, 1))).To(Equal([]uint64{4}))
		Expect(r.EventsAfter(5, 0)).To(BeEmpty())
		Expect(r.EventsAfter(1<<64-1, 0)).To(BeEmpty())
	})
})
