package configuration_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"bamboohook/internal/launcher"
	"bamboohook/internal/message"
)

type (
	// shown keeps the highest revision that each run of a process has shown.
	shown struct {
		mutex   sync.Mutex
		highest map[*launcher.Process]uint64
		views   map[view]uint64
		// replaced are the views that have gone from an agent's earlier run to its present one.
		replaced map[view]bool
		// first are the first runs of the agents.
		first   []*launcher.Process
		samples int
		lower   []string
	}

	// view is an entry's view of an agent.
	view struct{ entry, agent *launcher.Process }
)

func (s *shown) note(f *fleet, name string, read func() (uint64, bool)) {
	before := f.Process(name)
	s.mutex.Lock()
	least := s.highest[before]
	s.mutex.Unlock()
	revision, ok := read()
	// A response around a restart belongs to no run.
	if !ok || before != f.Process(name) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.samples++
	// Responses may overtake each other, so only what was shown before the request counts.
	if revision < least {
		s.lower = append(s.lower, fmt.Sprintf("%s showed %d after %d", name, revision, least))
	}
	s.highest[before] = max(s.highest[before], revision)
}

// sample reads the revision of all processes until stop closes.
func (s *shown) sample(f *fleet, stop <-chan struct{}) *sync.WaitGroup {
	var all sync.WaitGroup
	loop := func(name string, read func() (uint64, bool)) {
		all.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
					s.note(f, name, read)
				}
			}
		})
	}
	for n := range f.Entries {
		loop(f.EntryName(n), func() (uint64, bool) {
			var state message.ConfigurationState
			status, err := launcher.Call(http.MethodGet, f.EntryOperatorAddress(n), message.PathConfiguration, nil, &state)
			return state.Revision, err == nil && status == http.StatusOK
		})
	}
	for n := range f.Entries {
		all.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
					s.noteFleet(f, n)
				}
			}
		})
	}
	for n := range f.VMs {
		loop(f.VMName(n), func() (uint64, bool) {
			var events []message.Event
			status, err := launcher.Call(http.MethodGet, f.AgentOperatorAddress(n), message.PathEvents, nil, &events)
			return latest(events), err == nil && status == http.StatusOK
		})
	}
	return &all
}

// noteFleet reads an entry's view of all agents. It may go back once after an agent was restarted, when it goes from the
// earlier run to the present one.
func (s *shown) noteFleet(f *fleet, entry int) {
	processes := func() (all []view) {
		for n := range f.VMs {
			all = append(all, view{f.Process(f.EntryName(entry)), f.Process(f.VMName(n))})
		}
		return all
	}
	before := processes()
	var members []message.FleetVM
	if _, err := launcher.Call(http.MethodGet, f.EntryOperatorAddress(entry), message.PathFleet, nil, &members); err != nil || !slices.Equal(before, processes()) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, m := range members {
		for n, v := range before {
			if m.VM != f.VMName(n) {
				continue
			}
			s.samples++
			if m.Revision < s.views[v] {
				if v.agent == s.first[n] || s.replaced[v] {
					s.lower = append(s.lower, fmt.Sprintf("%s showed %d for %s after %d", f.EntryName(entry), m.Revision, m.VM, s.views[v]))
				}
				s.replaced[v] = true
			}
			s.views[v] = m.Revision
		}
	}
}

// latest returns the revision of the last configuration event of an agent.
func latest(events []message.Event) uint64 {
	var revision uint64
	for _, v := range events {
		if v.Kind == "configuration" {
			_, _ = fmt.Sscan(v.Details["revision"], &revision)
		}
	}
	return revision
}

// Guards against a process that goes back to an older revision while others restart and replay the log or ask peers.
func processesRestart(f *fleet) {
	s := &shown{highest: map[*launcher.Process]uint64{}, views: map[view]uint64{}, replaced: map[view]bool{}}
	for n := range f.VMs {
		s.first = append(s.first, f.Process(f.VMName(n)))
	}
	stop := make(chan struct{})
	sampling := s.sample(f, stop)
	random := rand.New(rand.NewPCG(4, 0))
	began, revision, restarts := time.Now(), uint64(0), 0
	for time.Since(began) < 30*time.Second {
		entry := random.IntN(f.Entries)
		v := f.publish(entry, fmt.Sprintf("change-%d", revision), revision)
		f.Expect(v.Verdict).To(Equal(message.VerdictAccepted), "%+v", v)
		revision = v.CurrentRevision
		if random.IntN(2) == 0 {
			f.restart(random.IntN(f.Entries+f.VMs), &restarts)
		}
		for n := range f.Entries {
			f.await("readiness of "+f.EntryName(n), 10*time.Second, func() bool { return f.ready(n) && f.state(n).Revision >= revision })
		}
	}
	f.awaitSame(revision, effectTarget)
	close(stop)
	sampling.Wait()
	measured("processes restart: changes, restarts and samples", fmt.Sprintf("%d, %d and %d", revision, restarts, s.samples))
	f.Expect(s.lower).To(BeEmpty())
	f.Expect(restarts).To(BeNumerically(">", 5))
	for n := range revision {
		f.Expect(f.state(0).Sections).To(HaveKey(fmt.Sprintf("team.change-%d", n)))
	}
}

// restart kills an entry or agent and starts it again with empty memory.
func (f *fleet) restart(process int, restarts *int) {
	*restarts++
	var err error
	if process < f.Entries {
		f.Process(f.EntryName(process)).Kill()
		_, err = f.StartEntry(process)
	} else {
		f.Process(f.VMName(process - f.Entries)).Kill()
		_, err = f.StartAgent(process - f.Entries)
	}
	f.Expect(err).NotTo(HaveOccurred())
}
