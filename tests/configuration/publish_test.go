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

// effectTarget is the maximum time until an accepted change takes effect in all processes.
const effectTarget = 2 * time.Second

// Guards against two changes with the same base revision that are both accepted, so that one silently reverts the other.
func operatorsRace(i *installation) {
	const rounds = 10
	for n := range rounds {
		baseRevision := uint64(n)
		responses := make(chan publicationResult, 2)
		for entry := range 2 {
			go func() { responses <- i.publish(entry, fmt.Sprintf("race-%d-%d", n, entry), baseRevision) }()
		}
		var accepted, refused []publicationResult
		for range 2 {
			v := <-responses
			switch v.PublicationOutcome {
			case message.PublicationAccepted:
				accepted = append(accepted, v)
			case message.PublicationRefused:
				refused = append(refused, v)
			}
		}
		i.Expect(accepted).To(HaveLen(1))
		i.Expect(refused).To(HaveLen(1))
		i.Expect(accepted[0].CurrentRevision).To(Equal(baseRevision + 1))
		i.Expect(refused[0].BaseRevision).To(Equal(baseRevision))
		i.Expect(refused[0].CurrentRevision).To(Equal(baseRevision + 1))
		i.awaitRevision(baseRevision+1, effectTarget)
		i.Expect(i.state(2).Sections).To(HaveKey("team." + accepted[0].ChangeID))
		i.Expect(i.state(2).Sections).NotTo(HaveKey("team." + refused[0].ChangeID))
	}
	recordResult("operators race: rounds with one accepted and one refused change", rounds)
}

// Guards against a wrong publication outcome, or a change that is applied twice, if the log service appended the change but its
// response was lost.
func responseLost(i *installation) {
	for n := range 3 {
		changeID := fmt.Sprintf("lost-%d", n)
		i.setLogFaults(logservice.Faults{DropResponses: 3})
		first := i.publish(n, changeID, uint64(n))
		i.Expect(first.PublicationOutcome).To(Equal(message.PublicationAccepted), "%+v", first)
		i.Expect(first.CurrentRevision).To(Equal(uint64(n + 1)))
		i.setLogFaults(logservice.Faults{})
		i.awaitRevision(uint64(n+1), effectTarget)
		for entry := range i.Entries {
			repeated := i.publish(entry, changeID, uint64(n))
			i.Expect(repeated.PublicationOutcome).To(Equal(message.PublicationAccepted), "%+v", repeated)
			i.Expect(repeated.CurrentRevision).To(Equal(uint64(n + 1)))
		}
		refused := i.publish(n, changeID+"-late", uint64(n))
		i.Expect(refused.PublicationOutcome).To(Equal(message.PublicationRefused))
	}
	i.awaitRevision(3, effectTarget)
	i.Expect(i.changes(0)).To(Equal([]string{"lost-0", "lost-1", "lost-2"}))
}

// Guards against a wrong publication outcome of a change that is repeated at an entry after the entry was restarted and has loaded
// the configuration from a peer.
func repeatAfterRestart(i *installation) {
	const changes = 5
	for n := range changes {
		i.Expect(i.publish(n%2, fmt.Sprintf("kept-%d", n), uint64(n)).PublicationOutcome).To(Equal(message.PublicationAccepted))
	}
	for range 3 {
		i.Process(i.EntryName(2)).Kill()
		// With the delay, the entry receives the configuration of a peer before the first page of the log.
		i.setLogFaults(logservice.Faults{Delay: time.Second})
		_, err := i.StartEntry(2)
		i.Expect(err).NotTo(HaveOccurred())
		i.await("configuration at the restarted entry", 10*time.Second, func() bool { return i.state(2).Revision >= changes })
		i.setLogFaults(logservice.Faults{})
		for n := range changes {
			// Until the entry has read the log, it may return the publication outcome "unknown" but not "refused".
			i.Expect(i.publish(2, fmt.Sprintf("kept-%d", n), uint64(n)).PublicationOutcome).NotTo(Equal(message.PublicationRefused), "change %d", n)
		}
		i.await("correct publication outcome of all changes", 5*time.Second, func() bool {
			for n := range changes {
				if i.publish(2, fmt.Sprintf("kept-%d", n), uint64(n)).PublicationOutcome != message.PublicationAccepted {
					return false
				}
			}
			return true
		})
		i.Expect(i.changes(2)).To(Equal(i.changes(0)))
	}
	i.awaitRevision(changes, effectTarget)
}

// Guards against a change that is applied twice if the log service appends a duplicate of it after other changes were accepted.
func duplicateAppendedLater(i *installation) {
	i.setLogFaults(logservice.Faults{Duplicates: 2, DuplicateAfter: 2})
	for n := range 5 {
		v := i.publish(n%i.Entries, fmt.Sprintf("copied-%d", n), uint64(n))
		i.Expect(v.PublicationOutcome).To(Equal(message.PublicationAccepted), "%+v", v)
		i.awaitRevision(uint64(n+1), effectTarget)
	}
	i.Expect(i.changes(1)).To(HaveLen(5))
}

// Guards against a log outage in which requests fail, a change is partly applied, or a new entry cannot start.
func logDown(i *installation) {
	i.Expect(i.publish(0, "before", 0).PublicationOutcome).To(Equal(message.PublicationAccepted))
	i.awaitRevision(1, effectTarget)
	i.setLogFaults(logservice.Faults{Down: true})
	failed, served, stop := 0, 0, make(chan struct{})
	requests := launcher.RunInBackground(func(func(string, ...int)) {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			default:
			}
			if i.serves(n % 2) {
				served++
			} else {
				failed++
			}
		}
	})
	duringOutage := i.publish(0, "during", 1)
	i.Expect(duringOutage.PublicationOutcome).NotTo(Equal(message.PublicationAccepted))
	i.Expect([]string{duringOutage.Outcome, duringOutage.PublicationOutcome}).To(ContainElement(BeElementOf(message.OutcomeNotRun, message.PublicationUnknown)))
	recordResult("log down: publication outcome", duringOutage.Outcome+duringOutage.PublicationOutcome)
	i.Process(i.EntryName(2)).Kill()
	start := time.Now()
	_, err := i.StartEntry(2)
	i.Expect(err).NotTo(HaveOccurred())
	i.await("readiness of the entry started during the outage", 10*time.Second, func() bool { return i.ready(2) })
	recordResult("log down: time until a new entry is ready", time.Since(start))
	i.Expect(i.state(2)).To(Equal(i.state(0)))
	i.await("response of the new entry", 5*time.Second, func() bool { return i.serves(2) })
	for n := range i.Entries {
		i.Expect(i.state(n).Sections).NotTo(HaveKey("team.during"))
	}
	time.Sleep(time.Until(start.Add(10 * time.Second)))
	close(stop)
	<-requests
	recordResult("log down: requests served and failed", fmt.Sprintf("%d and %d", served, failed))
	i.Expect(served).To(BeNumerically(">", 100))
	i.Expect(failed).To(BeZero())
	i.setLogFaults(logservice.Faults{})
	// A change that was reported as not run must not take effect later.
	revision := uint64(1)
	if duringOutage.Outcome != message.OutcomeNotRun {
		i.await("publication outcome of the change", 15*time.Second, func() bool { return i.publish(0, "during", 1).PublicationOutcome == message.PublicationAccepted })
		revision = 2
	}
	after := i.publish(2, "after", revision)
	i.Expect(after.PublicationOutcome).To(Equal(message.PublicationAccepted), "%+v", after)
	i.awaitRevision(revision+1, 10*time.Second)
	i.Expect(slices.Contains(i.changes(0), "during")).To(Equal(revision == 2))
}

// Guards against an entry that was paused and then accepts a change to an outdated revision or keeps that revision.
func entryPaused(i *installation) {
	i.Expect(i.publish(0, "before", 0).PublicationOutcome).To(Equal(message.PublicationAccepted))
	i.awaitRevision(1, effectTarget)
	i.Process(i.EntryName(1)).Signal(syscall.SIGSTOP)
	for n := range 5 {
		v := i.publish(0, fmt.Sprintf("missed-%d", n), uint64(n+1))
		i.Expect(v.PublicationOutcome).To(Equal(message.PublicationAccepted))
	}
	time.Sleep(6 * time.Second)
	resumed := time.Now()
	i.Process(i.EntryName(1)).Signal(syscall.SIGCONT)
	stale := i.publish(1, "stale", 1)
	i.Expect(stale.PublicationOutcome).To(Equal(message.PublicationRefused))
	i.Expect(stale.CurrentRevision).To(BeNumerically(">", 1))
	i.await("newest revision at the resumed entry", effectTarget, func() bool { return i.state(1).Revision == 6 })
	recordResult("entry paused: time until it has the newest revision", time.Since(resumed))
	i.awaitRevision(6, effectTarget)
}

// Guards against an accepted change that takes effect late or not at all in some process.
func consecutiveChanges(i *installation) {
	const changes = 20
	var entryDelays, agentDelays, outcomeDelays []time.Duration
	for n := range changes {
		published := time.Now()
		v := i.publish(n%i.Entries, fmt.Sprintf("row-%d", n), uint64(n))
		accepted := time.Now()
		i.Expect(v.PublicationOutcome).To(Equal(message.PublicationAccepted), "%+v", v)
		outcomeDelays = append(outcomeDelays, accepted.Sub(published))
		for name, address := range i.operatorAddresses() {
			var effectTime time.Time
			i.await(fmt.Sprintf("revision %d at %s", v.CurrentRevision, name), 2*effectTarget, func() bool {
				effectTime = effectTimes(address)[v.CurrentRevision]
				return !effectTime.IsZero()
			})
			delay := max(0, effectTime.Sub(accepted))
			i.Expect(delay).To(BeNumerically("<", effectTarget), name)
			if strings.HasPrefix(name, "vm") {
				agentDelays = append(agentDelays, delay)
			} else {
				entryDelays = append(entryDelays, delay)
			}
		}
	}
	for measured, durations := range map[string][]time.Duration{
		"time from the request to the publication outcome": outcomeDelays, "time from the publication outcome to the effect at entries": entryDelays, "time from the publication outcome to the effect at agents": agentDelays,
	} {
		median, largest := medianAndLargest(durations)
		recordResult("consecutive changes: "+measured+", median and largest of "+fmt.Sprint(len(durations)),
			fmt.Sprintf("%s and %s", median.Round(time.Millisecond), largest.Round(time.Millisecond)))
	}
	i.Expect(i.changes(0)).To(HaveLen(changes))
}
