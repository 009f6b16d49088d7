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
	// revisionMonitor samples the revisions that processes report, and detects decreases.
	revisionMonitor struct {
		mutex sync.Mutex
		// highest is the highest revision that each process has reported.
		highest map[*launcher.Process]uint64
		// reportedRevisions holds the last revision that each entry process reported for each agent process.
		reportedRevisions map[view]uint64
		// decreasedOnce holds the views whose revision has decreased because the agent was restarted.
		decreasedOnce map[view]bool
		// firstProcesses are the processes of the agents before any restart.
		firstProcesses []*launcher.Process
		samples        int
		decreases      []string
	}

	// view identifies the pair of an entry process that reports a revision and the agent process that has it.
	view struct{ entry, agent *launcher.Process }
)

// checkRevision reads the revision of a process and detects whether it has decreased.
func (m *revisionMonitor) checkRevision(i *installation, name string, read func() (uint64, bool)) {
	process := i.Process(name)
	m.mutex.Lock()
	previousHighest := m.highest[process]
	m.mutex.Unlock()
	revision, ok := read()
	// If the process was restarted during the request, it is unknown which of the two processes responded.
	if !ok || process != i.Process(name) {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.samples++
	// Responses may arrive out of order, so the revision is compared with those received before the request was sent.
	if revision < previousHighest {
		m.decreases = append(m.decreases, fmt.Sprintf("%s reported revision %d after revision %d", name, revision, previousHighest))
	}
	m.highest[process] = max(m.highest[process], revision)
}

// sample starts goroutines that read the revisions of all processes until stop is closed. The returned group waits for them.
func (m *revisionMonitor) sample(i *installation, stop <-chan struct{}) *sync.WaitGroup {
	var goroutines sync.WaitGroup
	sampleProcess := func(name string, read func() (uint64, bool)) {
		goroutines.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
					m.checkRevision(i, name, read)
				}
			}
		})
	}
	for n := range i.Entries {
		sampleProcess(i.EntryName(n), func() (uint64, bool) {
			var state message.ConfigurationState
			status, err := launcher.Call(http.MethodGet, i.EntryOperatorAddress(n), message.PathConfiguration, nil, &state)
			return state.Revision, err == nil && status == http.StatusOK
		})
	}
	for n := range i.Entries {
		goroutines.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
					m.checkFleetView(i, n)
				}
			}
		})
	}
	for n := range i.VMs {
		sampleProcess(i.VMName(n), func() (uint64, bool) {
			var events []message.Event
			status, err := launcher.Call(http.MethodGet, i.AgentOperatorAddress(n), message.PathEvents, nil, &events)
			return latestRevision(events), err == nil && status == http.StatusOK
		})
	}
	return &goroutines
}

// checkFleetView reads the revisions of all agents from an entry and detects decreases. After an agent was restarted, its revision
// may decrease once, when the entry switches from the earlier process to the current one.
func (m *revisionMonitor) checkFleetView(i *installation, entry int) {
	currentViews := func() (views []view) {
		for n := range i.VMs {
			views = append(views, view{i.Process(i.EntryName(entry)), i.Process(i.VMName(n))})
		}
		return views
	}
	views := currentViews()
	var fleet []message.FleetVM
	if _, err := launcher.Call(http.MethodGet, i.EntryOperatorAddress(entry), message.PathFleet, nil, &fleet); err != nil || !slices.Equal(views, currentViews()) {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, vm := range fleet {
		for n, v := range views {
			if vm.VM != i.VMName(n) {
				continue
			}
			m.samples++
			if vm.Revision < m.reportedRevisions[v] {
				if v.agent == m.firstProcesses[n] || m.decreasedOnce[v] {
					m.decreases = append(m.decreases, fmt.Sprintf("%s reported revision %d for %s after revision %d", i.EntryName(entry), vm.Revision, vm.VM, m.reportedRevisions[v]))
				}
				m.decreasedOnce[v] = true
			}
			m.reportedRevisions[v] = vm.Revision
		}
	}
}

// latestRevision returns the revision of the last configuration event, or 0.
func latestRevision(events []message.Event) uint64 {
	var revision uint64
	for _, v := range events {
		if v.Kind == "configuration" {
			_, _ = fmt.Sscan(v.Details["revision"], &revision)
		}
	}
	return revision
}

// Guards against a process that returns to an older revision while others are restarted and replay the log or load the
// configuration from peers.
func processesRestart(i *installation) {
	m := &revisionMonitor{highest: map[*launcher.Process]uint64{}, reportedRevisions: map[view]uint64{}, decreasedOnce: map[view]bool{}}
	for n := range i.VMs {
		m.firstProcesses = append(m.firstProcesses, i.Process(i.VMName(n)))
	}
	stop := make(chan struct{})
	sampling := m.sample(i, stop)
	random := rand.New(rand.NewPCG(4, 0))
	start, revision, restarts := time.Now(), uint64(0), 0
	for time.Since(start) < 30*time.Second {
		entry := random.IntN(i.Entries)
		v := i.publish(entry, fmt.Sprintf("change-%d", revision), revision)
		i.Expect(v.PublicationOutcome).To(Equal(message.PublicationAccepted), "%+v", v)
		revision = v.CurrentRevision
		if random.IntN(2) == 0 {
			i.restart(random.IntN(i.Entries+i.VMs), &restarts)
		}
		for n := range i.Entries {
			i.await("readiness of "+i.EntryName(n), 10*time.Second, func() bool { return i.ready(n) && i.state(n).Revision >= revision })
		}
	}
	i.awaitRevision(revision, effectTarget)
	close(stop)
	sampling.Wait()
	recordResult("processes restart: changes, restarts and samples", fmt.Sprintf("%d, %d and %d", revision, restarts, m.samples))
	i.Expect(m.decreases).To(BeEmpty())
	i.Expect(restarts).To(BeNumerically(">", 5))
	for n := range revision {
		i.Expect(i.state(0).Sections).To(HaveKey(fmt.Sprintf("team.change-%d", n)))
	}
}

// restart kills an entry or agent and starts it again. Entries have the first indexes, and agents the ones after them.
func (i *installation) restart(processIndex int, restarts *int) {
	*restarts++
	var err error
	if processIndex < i.Entries {
		i.Process(i.EntryName(processIndex)).Kill()
		_, err = i.StartEntry(processIndex)
	} else {
		i.Process(i.VMName(processIndex - i.Entries)).Kill()
		_, err = i.StartAgent(processIndex - i.Entries)
	}
	i.Expect(err).NotTo(HaveOccurred())
}
