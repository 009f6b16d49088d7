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

const path = "/v1/services/preview/x"

type (
	// fleet is the installation of one scenario. Its methods fail the scenario and not the whole suite.
	fleet struct {
		Gomega
		*launcher.Installation
	}

	// verdict is the response to a publication: an answer, or a failure with an outcome.
	verdict struct {
		message.PublicationResponse
		Outcome      string `json:"outcome"`
		Reason       string `json:"reason"`
		RetryAfterMS int64  `json:"retry-after-ms"`
	}
)

func run(name string, scenario func(*fleet), g Gomega) {
	f := &fleet{Gomega: g, Installation: &launcher.Installation{
		Launcher: &launcher.Launcher{ProgramDir: programs, OutputDir: filepath.Join(folder, strings.ReplaceAll(name, " ", "-"))},
		VMs:      3, Entries: 3, Services: []string{"preview=2ms"},
	}}
	f.Expect(os.MkdirAll(f.OutputDir, 0o700)).To(Succeed())
	f.Expect(f.ReserveNetwork()).To(Succeed())
	defer f.Release(0)
	f.Expect(f.StartAll()).To(Succeed())
	for n := range f.Entries {
		f.await("first response", 10*time.Second, func() bool { return f.serves(n) })
	}
	scenario(f)
}

func (f *fleet) await(what string, patience time.Duration, ready func() bool) {
	f.Expect(launcher.Await(what, patience, ready)).To(Succeed())
}

// serves reports whether the entry answers a request of callers.
func (f *fleet) serves(entry int) bool {
	status, _ := launcher.Call(http.MethodGet, f.EntryCallerAddress(entry), path, nil, nil)
	return status == http.StatusOK
}

func (f *fleet) ready(entry int) bool {
	status, _ := launcher.Call(http.MethodGet, f.EntryOperatorAddress(entry), "/readyz", nil, nil)
	return status == http.StatusOK
}

// publish sends a change that sets the quota of a team with the name of the change. Without a response it returns only
// a reason. It may be called from any goroutine.
func (f *fleet) publish(entry int, change string, based uint64) verdict {
	var v verdict
	_, err := launcher.Call(http.MethodPost, f.EntryOperatorAddress(entry), message.PathConfiguration, message.PublicationRequest{
		ChangeID: change, BaseRevision: based, Author: f.EntryName(entry), Set: map[string]map[string]string{"team." + change: {"processors": "10"}},
	}, &v)
	if err != nil {
		v.Reason = err.Error()
	}
	return v
}

// state returns the configuration at the entry. It is empty if the entry does not answer.
func (f *fleet) state(entry int) message.ConfigurationState {
	var s message.ConfigurationState
	_, _ = launcher.Call(http.MethodGet, f.EntryOperatorAddress(entry), message.PathConfiguration, nil, &s)
	return s
}

// changes returns the identifiers of the accepted changes at the entry.
func (f *fleet) changes(entry int) []string {
	var history []message.HistoryEntry
	_, err := launcher.Call(http.MethodGet, f.EntryOperatorAddress(entry), message.PathHistory, nil, &history)
	f.Expect(err).NotTo(HaveOccurred())
	var found []string
	for _, h := range history {
		found = append(found, h.ChangeID)
	}
	return found
}

// awaitSame waits until all entries have the revision, with equal sections.
func (f *fleet) awaitSame(revision uint64, patience time.Duration) {
	for n := range f.Entries {
		f.await(fmt.Sprintf("revision %d at %s", revision, f.EntryName(n)), patience, func() bool { return f.state(n).Revision == revision })
		f.Expect(f.state(n).Hash).To(Equal(f.state(0).Hash))
	}
}

func (f *fleet) setLog(faults logservice.Faults) {
	status, err := launcher.Call(http.MethodPost, f.LogAddress(), logservice.PathFaults, faults, nil)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(status).To(Equal(http.StatusNoContent))
}

// inEffect returns when each revision came into effect at the process, by its own events.
func inEffect(operator string) map[uint64]time.Time {
	var events []message.Event
	_, _ = launcher.Call(http.MethodGet, operator, message.PathEvents, nil, &events)
	found := map[uint64]time.Time{}
	for _, v := range events {
		if v.Kind != "configuration" {
			continue
		}
		text := v.Details["revision"]
		if text == "" {
			text = v.Subject
		}
		if revision, err := strconv.ParseUint(text, 10, 64); err == nil {
			found[revision] = time.Unix(0, v.Timestamp)
		}
	}
	return found
}

// operators returns the operators' addresses of all entries and agents by process name.
func (f *fleet) operators() map[string]string {
	all := map[string]string{}
	for n := range f.Entries {
		all[f.EntryName(n)] = f.EntryOperatorAddress(n)
	}
	for n := range f.VMs {
		all[f.VMName(n)] = f.AgentOperatorAddress(n)
	}
	return all
}

// middle returns the median and the largest of the durations.
func middle(all []time.Duration) (median, largest time.Duration) {
	slices.Sort(all)
	return all[len(all)/2], all[len(all)-1]
}
