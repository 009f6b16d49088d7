package merger_test

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/message"
	"bamboohook/merger"
	"bamboohook/recorder"
)

func newEvent(process string, sequence uint64, nanoseconds int64) merger.Event {
	return merger.Event{Process: process, Sequence: sequence, Nanoseconds: nanoseconds, Kind: "k"}
}

var _ = Describe("Merger", func() {
	It("orders events independently of how often and in which order they are added", func() {
		want := []merger.Event{newEvent("b", 1, 1), newEvent("a", 1, 2), newEvent("b", 2, 2), newEvent("a", 2, 3)}
		want[2].Counter = 7
		randomNumbers := rand.New(rand.NewPCG(1, 1))
		for range 20 {
			m := merger.New(merger.Options{})
			for _, i := range append(randomNumbers.Perm(4), randomNumbers.Perm(4)...) {
				m.Add(want[i])
			}
			Expect(m.Events()).To(Equal(want))
		}
	})

	It("keeps the events of a process in the order of their sequence numbers although their timestamps decrease", func() {
		m := merger.New(merger.Options{})
		m.Add(newEvent("a", 1, 10), newEvent("a", 2, 5), newEvent("b", 1, 7))
		var processes []string
		for _, e := range m.Events() {
			processes = append(processes, e.Process)
		}
		Expect(processes).To(Equal([]string{"b", "a", "a"}))
		Expect(m.Events()[1].Sequence).To(Equal(uint64(1)))
	})

	It("reports gaps and dropped events, so that the output shows whether it is complete", func() {
		m := merger.New(merger.Options{MaxEvents: 2})
		m.Add(newEvent("a", 1, 1), newEvent("a", 4, 2), newEvent("a", 5, 3))
		Expect(m.Gaps()).To(Equal([]merger.Gap{{Process: "a", First: 2, Last: 3}}))
		var text, html bytes.Buffer
		Expect(m.WriteText(&text)).To(Succeed())
		Expect(m.WriteHTML(&html)).To(Succeed())
		for _, s := range []string{text.String(), strings.ToLower(html.String())} {
			Expect(s).To(And(ContainSubstring("missing: a #2 to #3"), ContainSubstring("dropped: 1 events")))
		}
	})

	It("escapes all text of events", func() {
		markup := `</title><script>alert("x")</script>` + "\n\x1b[31m"
		m := merger.New(merger.Options{})
		m.Add(merger.Event{Process: markup, Sequence: 1, Kind: markup, Subject: markup, Details: map[string]string{markup: markup}})
		var text, html bytes.Buffer
		Expect(m.WriteText(&text)).To(Succeed())
		Expect(m.WriteHTML(&html)).To(Succeed())
		Expect(html.String()).NotTo(ContainSubstring("<script"))
		Expect(strings.Count(html.String(), "</title>")).To(Equal(2))
		Expect(strings.Count(text.String(), "\n")).To(Equal(1))
		Expect(text.String()).NotTo(ContainSubstring("\x1b"))
	})

	It("reads events of package recorder and of the peer protocol and rejects an event that is too large", func() {
		r := recorder.New(recorder.Options{Process: "a"})
		e := r.Record("start", "job/0/1", map[string]string{"vm": "vm-1"})
		m := merger.New(merger.Options{})
		fromMessage, err := json.Marshal(message.Event{
			Process: "b", Sequence: 1, Nanoseconds: e.Nanoseconds, Counter: e.Counter, Kind: "start", Subject: e.Subject, Details: e.Details,
		})
		Expect(err).NotTo(HaveOccurred())
		fromRecorder, err := json.Marshal(e)
		Expect(err).NotTo(HaveOccurred())
		Expect(m.Read(bytes.NewReader(append(fromRecorder, fromMessage...)))).To(Succeed())
		events := m.Events()
		Expect(events).To(HaveLen(2))
		events[1].Process = "a"
		Expect(events[1]).To(Equal(events[0]))
		Expect(m.Read(strings.NewReader(`{"process":"` + strings.Repeat("x", 2<<20) + `"}`))).NotTo(Succeed())
	})
})

// FuzzRead checks that no input makes Read, WriteText or WriteHTML panic, that the events of a process stay in the order
// of their sequence numbers, and that WriteText writes the expected number of lines.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"process":"a","sequence":1,"stamp":5,"kind":"k"}{"process":"a","sequence":3,"stamp":4}`))
	f.Add([]byte(`{"process":"</svg>","sequence":18446744073709551615,"stamp":-9223372036854775808}`))
	f.Add([]byte("{\"process\":\"a\"}\n[]"))
	f.Fuzz(func(t *testing.T, input []byte) {
		m := merger.New(merger.Options{MaxEvents: 100})
		_ = m.Read(bytes.NewReader(input))
		lastSequences := map[string]uint64{}
		for i, e := range m.Events() {
			if lastSequence, ok := lastSequences[e.Process]; ok && e.Sequence <= lastSequence {
				t.Fatalf("event %d of %q has sequence %d after %d", i, e.Process, e.Sequence, lastSequence)
			}
			lastSequences[e.Process] = e.Sequence
		}
		var text, html bytes.Buffer
		if err := m.WriteText(&text); err != nil {
			t.Fatal(err)
		}
		if err := m.WriteHTML(&html); err != nil {
			t.Fatal(err)
		}
		if want := len(m.Events()) + len(m.Gaps()) + min(m.Dropped(), 1); strings.Count(text.String(), "\n") != want {
			t.Fatalf("text has %d lines, not %d", strings.Count(text.String(), "\n"), want)
		}
	})
}
