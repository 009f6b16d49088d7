package merger_test

import (
	"fmt"
	"os"
	"time"

	"github.com/jonboulle/clockwork"

	"bamboohook/merger"
	"bamboohook/recorder"
)

// The clock of the process vm-1 is 5 ms behind that of the process entry-1. The timeline still shows the sending of a
// message by entry-1 before its receipt by vm-1.
func Example() {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	entry := recorder.New(recorder.Options{Process: "entry-1", Clock: clockwork.NewFakeClockAt(now)})
	agent := recorder.New(recorder.Options{Process: "vm-1", Clock: clockwork.NewFakeClockAt(now.Add(-5 * time.Millisecond))})

	sentEvent := entry.Record("start-sent", "job/0/1", map[string]string{"vm": "vm-1"})
	agent.Observe(sentEvent.Timestamp)
	agent.Record("start-received", "job/0/1", nil)

	m := merger.New(merger.Options{})
	for _, r := range []*recorder.Recorder{agent, entry} {
		for _, e := range r.EventsAfter(0, 0) {
			m.Add(merger.Event{
				Process: e.Process, Sequence: e.Sequence, Nanoseconds: e.Nanoseconds, Counter: e.Counter,
				Kind: e.Kind, Subject: e.Subject, Details: e.Details,
			})
		}
	}
	if err := m.WriteText(os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Output:
	// 2026-01-02T03:04:05.000000Z+0 entry-1 #1 start-sent job/0/1 vm=vm-1
	// 2026-01-02T03:04:05.000000Z+1 vm-1 #1 start-received job/0/1
}
