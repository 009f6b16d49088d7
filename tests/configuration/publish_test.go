package configuration_test

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/gomega"

	"bamboohook/internal/launcher"
	"bamboohook/internal/message"
	"bamboohook/internal/standin/logservice"
)

// effectTarget is how soon an accepted change is in effect at every process.
const effectTarget = 2 * time.Second

// Guards against two changes that are both accepted on the same base, so that one silently undoes the other.
func operatorsRace(f *fleet) {
	const rounds = 10
	for n := range rounds {
		based := uint64(n)
		verdicts := make(chan verdict, 2)
		for entry := range 2 {
			go func() { verdicts <- f.publish(entry, fmt.Sprintf("race-%d-%d", n, entry), based) }()
		}
		var accepted, refused []verdict
		for range 2 {
			v := <-verdicts
			switch v.Verdict {
			case message.VerdictAccepted:
				accepted = append(accepted, v)
			case message.VerdictRefused:
				refused = append(refused, v)
			}
		}
		f.Expect(accepted).To(HaveLen(1))
		f.Expect(refused).To(HaveLen(1))
		f.Expect(accepted[0].CurrentRevision).To(Equal(based + 1))
		f.Expect(refused[0].BaseRevision).To(Equal(based))
		f.Expect(refused[0].CurrentRevision).To(Equal(based + 1))
		f.awaitSame(based+1, effectTarget)
		f.Expect(f.state(2).Sections).To(HaveKey("team." + accepted[0].ChangeID))
		f.Expect(f.state(2).Sections).NotTo(HaveKey("team." + refused[0].ChangeID))
	}
	measured("operators race: rounds with one accepted and one refused", rounds)
}

// Guards against a wrong verdict, or a second effect, when the log service applied a change and its response was lost.
func responseLost(f *fleet) {
	for n := range 3 {
		change := fmt.Sprintf("lost-%d", n)
		f.setLog(logservice.Faults{DropResponses: 3})
		first := f.publish(n, change, uint64(n))
		f.Expect(first.Verdict).To(Equal(message.VerdictAccepted), "%+v", first)
		f.Expect(first.CurrentRevision).To(Equal(uint64(n + 1)))
		f.setLog(logservice.Faults{})
		f.awaitSame(uint64(n+1), effectTarget)
		for entry := range f.Entries {
			again := f.publish(entry, change, uint64(n))
			f.Expect(again.Verdict).To(Equal(message.VerdictAccepted), "%+v", again)
			f.Expect(again.CurrentRevision).To(Equal(uint64(n + 1)))
		}
		refused := f.publish(n, change+"-late", uint64(n))
		f.Expect(refused.Verdict).To(Equal(message.VerdictRefused))
	}
	f.awaitSame(3, effectTarget)
	f.Expect(f.changes(0)).To(Equal([]string{"lost-0", "lost-1", "lost-2"}))
}

// Guards against a wrong verdict on a repeated change from an entry that was restarted since and began with the
// configuration of a peer.
func repeatAfterRestart(f *fleet) {
	const changes = 5
	for n := range changes {
		f.Expect(f.publish(n%2, fmt.Sprintf("kept-%d", n), uint64(n)).Verdict).To(Equal(message.VerdictAccepted))
	}
	for range 3 {
		f.Process(f.EntryName(2)).Kill()
		// The configuration of a peer arrives before the first page of the log.
		f.setLog(logservice.Faults{Delay: time.Second})
		_, err := f.StartEntry(2)
		f.Expect(err).NotTo(HaveOccurred())
		f.await("configuration at the restarted entry", 10*time.Second, func() bool { return f.state(2).Revision >= changes })
		f.setLog(logservice.Faults{})
		for n := range changes {
			// Before the entry has read the log it may say that it does not know, but nothing wrong.
			f.Expect(f.publish(2, fmt.Sprintf("kept-%d", n), uint64(n)).Verdict).NotTo(Equal(message.VerdictRefused), "change %d", n)
		}
		f.await("right verdict on all changes", 5*time.Second, func() bool {
			for n := range changes {
				if f.publish(2, fmt.Sprintf("kept-%d", n), uint64(n)).Verdict != message.VerdictAccepted {
					return false
				}
			}
			return true
		})
		f.Expect(f.changes(2)).To(Equal(f.changes(0)))
	}
	f.awaitSame(changes, effectTarget)
}

// Guards against a second effect when the log service appends a change again later, after others were accepted.
func secondCopyIsLate(f *fleet) {
	f.setLog(logservice.Faults{Duplicates: 2, DuplicateAfter: 2})
	for n := range 5 {
		v := f.publish(n%f.Entries, fmt.Sprintf("copied-%d", n), uint64(n))
		f.Expect(v.Verdict).To(Equal(message.VerdictAccepted), "%+v", v)
		f.awaitSame(uint64(n+1), effectTarget)
	}
	f.Expect(f.changes(1)).To(HaveLen(5))
}

// Guards against a log outage that interrupts requests, half-applies a change, or keeps a new entry from starting.
func logDown(f *fleet) {
	f.Expect(f.publish(0, "before", 0).Verdict).To(Equal(message.VerdictAccepted))
	f.awaitSame(1, effectTarget)
	f.setLog(logservice.Faults{Down: true})
	failed, served, stop := 0, 0, make(chan struct{})
	requests := launcher.RunInBackground(func(func(string, ...int)) {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			default:
			}
			if f.serves(n % 2) {
				served++
			} else {
				failed++
			}
		}
	})
	during := f.publish(0, "during", 1)
	f.Expect(during.Verdict).NotTo(Equal(message.VerdictAccepted))
	f.Expect([]string{during.Outcome, during.Verdict}).To(ContainElement(BeElementOf(message.OutcomeNotRun, message.VerdictUnknown)))
	measured("log down: publication is answered with", during.Outcome+during.Verdict)
	f.Process(f.EntryName(2)).Kill()
	began := time.Now()
	_, err := f.StartEntry(2)
	f.Expect(err).NotTo(HaveOccurred())
	f.await("readiness of the entry started during the outage", 10*time.Second, func() bool { return f.ready(2) })
	measured("log down: until a new entry is ready", time.Since(began))
	f.Expect(f.state(2)).To(Equal(f.state(0)))
	f.await("response of the new entry", 5*time.Second, func() bool { return f.serves(2) })
	for n := range f.Entries {
		f.Expect(f.state(n).Sections).NotTo(HaveKey("team.during"))
	}
	time.Sleep(time.Until(began.Add(10 * time.Second)))
	close(stop)
	<-requests
	measured("log down: requests served and failed", fmt.Sprintf("%d and %d", served, failed))
	f.Expect(served).To(BeNumerically(">", 100))
	f.Expect(failed).To(BeZero())
	f.setLog(logservice.Faults{})
	// A change that is said to have had no effect must not take effect later.
	revision := uint64(1)
	if during.Outcome != message.OutcomeNotRun {
		f.await("verdict on the change", 15*time.Second, func() bool { return f.publish(0, "during", 1).Verdict == message.VerdictAccepted })
		revision = 2
	}
	after := f.publish(2, "after", revision)
	f.Expect(after.Verdict).To(Equal(message.VerdictAccepted), "%+v", after)
	f.awaitSame(revision+1, 10*time.Second)
	f.Expect(slices.Contains(f.changes(0), "during")).To(Equal(revision == 2))
}

// Guards against an entry that shows or accepts an older configuration after it was paused.
func entryPaused(f *fleet) {
	f.Expect(f.publish(0, "before", 0).Verdict).To(Equal(message.VerdictAccepted))
	f.awaitSame(1, effectTarget)
	f.Process(f.EntryName(1)).Signal(syscall.SIGSTOP)
	for n := range 5 {
		v := f.publish(0, fmt.Sprintf("missed-%d", n), uint64(n+1))
		f.Expect(v.Verdict).To(Equal(message.VerdictAccepted))
	}
	time.Sleep(6 * time.Second)
	resumed := time.Now()
	f.Process(f.EntryName(1)).Signal(syscall.SIGCONT)
	stale := f.publish(1, "stale", 1)
	f.Expect(stale.Verdict).To(Equal(message.VerdictRefused))
	f.Expect(stale.CurrentRevision).To(BeNumerically(">", 1))
	f.await("newest revision at the resumed entry", effectTarget, func() bool { return f.state(1).Revision == 6 })
	measured("entry paused: until it has the newest revision", time.Since(resumed))
	f.awaitSame(6, effectTarget)
}

// Guards against a change that is accepted but comes into effect late or not at all at some process.
func changesInRow(f *fleet) {
	const changes = 20
	var entries, agents, answers []time.Duration
	for n := range changes {
		asked := time.Now()
		v := f.publish(n%f.Entries, fmt.Sprintf("row-%d", n), uint64(n))
		accepted := time.Now()
		f.Expect(v.Verdict).To(Equal(message.VerdictAccepted), "%+v", v)
		answers = append(answers, accepted.Sub(asked))
		for name, operator := range f.operators() {
			var at time.Time
			f.await(fmt.Sprintf("revision %d at %s", v.CurrentRevision, name), 2*effectTarget, func() bool {
				at = inEffect(operator)[v.CurrentRevision]
				return !at.IsZero()
			})
			took := max(0, at.Sub(accepted))
			f.Expect(took).To(BeNumerically("<", effectTarget), name)
			if strings.HasPrefix(name, "vm") {
				agents = append(agents, took)
			} else {
				entries = append(entries, took)
			}
		}
	}
	for what, all := range map[string][]time.Duration{
		"from publication to verdict": answers, "from verdict to in effect at entries": entries, "from verdict to in effect at agents": agents,
	} {
		median, largest := middle(all)
		measured("changes in a row: "+what+", median and largest of "+fmt.Sprint(len(all)),
			fmt.Sprintf("%s and %s", median.Round(time.Millisecond), largest.Round(time.Millisecond)))
	}
	f.Expect(f.changes(0)).To(HaveLen(changes))
}
