package configuration_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/gomega"

	"bamboohook/internal/launcher"
	"bamboohook/internal/message"
	"bamboohook/internal/standin/logservice"
)

const requestPath = "/v1/services/preview/x"

type (
	// installation is a set of entries, VMs and a log service for one scenario. An expectation that fails through its Gomega fails
	// only that scenario.
	installation struct {
		Gomega
		*launcher.Installation
	}

	// publicationResult is the response to a publication. PublicationOutcome is set in a regular response, and Outcome in an error response.
	publicationResult struct {
		message.PublicationResponse
		Outcome      string `json:"outcome"`
		Reason       string `json:"reason"`
		RetryAfterMS int64  `json:"retry-after-ms"`
	}
)

// run runs a scenario with an installation of its own after all processes have started and all entries serve requests.
func run(name string, scenario func(*installation), g Gomega) {
	i := &installation{Gomega: g, Installation: &launcher.Installation{
		Launcher: &launcher.Launcher{ProgramDir: programDir, OutputDir: filepath.Join(outputDir, strings.ReplaceAll(name, " ", "-"))},
		VMs:      3, Entries: 3, Services: []string{"preview=2ms"},
	}}
	i.Expect(os.MkdirAll(i.OutputDir, 0o700)).To(Succeed())
	i.Expect(i.ReserveNetwork()).To(Succeed())
	defer i.Release(0)
	i.Expect(i.StartAll()).To(Succeed())
	for n := range i.Entries {
		i.await("first response", 10*time.Second, func() bool { return i.serves(n) })
	}
	scenario(i)
}

func (i *installation) await(event string, timeout time.Duration, ready func() bool) {
	i.Expect(launcher.Await(event, timeout, ready)).To(Succeed())
}

// serves reports whether a caller's request to the entry succeeds.
func (i *installation) serves(entry int) bool {
	status, _ := launcher.Call(http.MethodGet, i.EntryCallerAddress(entry), requestPath, nil, nil)
	return status == http.StatusOK
}

func (i *installation) ready(entry int) bool {
	status, _ := launcher.Call(http.MethodGet, i.EntryOperatorAddress(entry), "/readyz", nil, nil)
	return status == http.StatusOK
}

// publish sends a change that sets the quota of a team whose name is the change ID. If there is no response, only Reason is set
// in the result. It may be called from any goroutine.
func (i *installation) publish(entry int, changeID string, baseRevision uint64) publicationResult {
	var v publicationResult
	_, err := launcher.Call(http.MethodPost, i.EntryOperatorAddress(entry), message.PathConfiguration, message.PublicationRequest{
		ChangeID: changeID, BaseRevision: baseRevision, Author: i.EntryName(entry), Set: map[string]map[string]string{"team." + changeID: {"processors": "10"}},
	}, &v)
	if err != nil {
		v.Reason = err.Error()
	}
	return v
}

// state returns the configuration of the entry. It is empty if the entry does not respond.
func (i *installation) state(entry int) message.ConfigurationState {
	var s message.ConfigurationState
	_, _ = launcher.Call(http.MethodGet, i.EntryOperatorAddress(entry), message.PathConfiguration, nil, &s)
	return s
}

// changes returns the IDs of the accepted changes according to the entry.
func (i *installation) changes(entry int) []string {
	var history []message.AcceptedChange
	_, err := launcher.Call(http.MethodGet, i.EntryOperatorAddress(entry), message.PathHistory, nil, &history)
	i.Expect(err).NotTo(HaveOccurred())
	var changeIDs []string
	for _, h := range history {
		changeIDs = append(changeIDs, h.ChangeID)
	}
	return changeIDs
}

// awaitRevision waits until all entries have the revision and checks that their configurations are equal.
func (i *installation) awaitRevision(revision uint64, timeout time.Duration) {
	for n := range i.Entries {
		i.await(fmt.Sprintf("revision %d at %s", revision, i.EntryName(n)), timeout, func() bool { return i.state(n).Revision == revision })
		i.Expect(i.state(n).Hash).To(Equal(i.state(0).Hash))
	}
}

// setLogFaults replaces the faults of the log service.
func (i *installation) setLogFaults(faults logservice.Faults) {
	status, err := launcher.Call(http.MethodPost, i.LogAddress(), logservice.PathFaults, faults, nil)
	i.Expect(err).NotTo(HaveOccurred())
	i.Expect(status).To(Equal(http.StatusNoContent))
}

// effectTimes returns the time at which each revision took effect in the process, according to its events.
func effectTimes(address string) map[uint64]time.Time {
	var events []message.Event
	_, _ = launcher.Call(http.MethodGet, address, message.PathEvents, nil, &events)
	times := map[uint64]time.Time{}
	for _, v := range events {
		if v.Kind != "configuration" {
			continue
		}
		text := v.Details["revision"]
		if text == "" {
			text = v.Subject
		}
		if revision, err := strconv.ParseUint(text, 10, 64); err == nil {
			times[revision] = time.Unix(0, v.Nanoseconds)
		}
	}
	return times
}

// operatorAddresses returns the operator addresses of all entries and agents by process name.
func (i *installation) operatorAddresses() map[string]string {
	addresses := map[string]string{}
	for n := range i.Entries {
		addresses[i.EntryName(n)] = i.EntryOperatorAddress(n)
	}
	for n := range i.VMs {
		addresses[i.VMName(n)] = i.AgentOperatorAddress(n)
	}
	return addresses
}

// medianAndLargest returns the median and the largest of the durations. It sorts the slice.
func medianAndLargest(durations []time.Duration) (median, largest time.Duration) {
	slices.Sort(durations)
	return durations[len(durations)/2], durations[len(durations)-1]
}
