package requests_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/launcher"
	"bamboohook/internal/message"
	"bamboohook/internal/standin/endpoint"
)

const (
	timeout = 20 * time.Second
	// incomplete is the outcome of a request without a complete response: a failed connection, a timeout or a truncated body.
	incomplete = "truncated"
)

type (
	// result is the result of a request from the view of the caller.
	result struct {
		id, service, outcome, reason, vm string
		duration                         time.Duration
	}

	// installation extends launcher.Installation with methods that send requests and read the counters of the endpoints.
	installation struct {
		*launcher.Installation
		agents, endpoints []*launcher.Process
	}
)

var callerClient = &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

// startInstallation starts all processes and waits until each entry knows the services of all VMs.
func startInstallation(vms, entries int, services ...string) *installation {
	GinkgoHelper()
	i := &installation{Installation: &launcher.Installation{
		Launcher: &launcher.Launcher{ProgramDir: programDir, OutputDir: GinkgoT().TempDir()}, VMs: vms, Entries: entries, Services: services,
	}}
	Expect(i.ReserveNetwork()).To(Succeed())
	DeferCleanup(func() { i.Release(timeout) })
	Expect(i.StartLogService()).To(Succeed())
	for n := range entries {
		_, err := i.StartEntry(n)
		Expect(err).NotTo(HaveOccurred())
	}
	for n := range vms {
		e, err := i.StartEndpoint(n)
		Expect(err).NotTo(HaveOccurred())
		a, err := i.StartAgent(n)
		Expect(err).NotTo(HaveOccurred())
		i.endpoints, i.agents = append(i.endpoints, e), append(i.agents, a)
	}
	for n := range entries {
		Expect(launcher.Await("announcements of all VMs at "+i.EntryName(n), timeout, func() bool { return i.countAnnouncedVMs(n) == vms })).To(Succeed())
	}
	return i
}

// countAnnouncedVMs returns the number of VMs that are up and have services according to the entry.
func (i *installation) countAnnouncedVMs(entry int) int {
	_, body := launcher.Get(i.EntryOperatorAddress(entry), message.PathFleet)
	var fleet []message.FleetVM
	_ = json.Unmarshal([]byte(body), &fleet)
	n := 0
	for _, vm := range fleet {
		if vm.Status == message.StateUp && len(vm.Services) > 0 {
			n++
		}
	}
	return n
}

// send sends a request and checks that a complete response has the expected body.
func (i *installation) send(entry int, service, id string, headers map[string]string) result {
	httpRequest, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/v1/services/%s/x?size=4096", i.EntryCallerAddress(entry), service), nil)
	Expect(err).NotTo(HaveOccurred())
	httpRequest.Header.Set(message.HeaderRequestID, id)
	for name, value := range headers {
		httpRequest.Header.Set(name, value)
	}
	sent := time.Now()
	r := result{id: id, service: service}
	response, err := callerClient.Do(httpRequest)
	if err != nil {
		r.outcome, r.duration = incomplete, time.Since(sent)
		return r
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	r.duration = time.Since(sent)
	header := response.Header
	r.outcome, r.reason, r.vm = header.Get(message.HeaderOutcome), header.Get(message.HeaderReason), header.Get(message.HeaderVM)
	if err != nil {
		r.outcome = incomplete
	} else if r.outcome == message.OutcomeDone && r.reason == "" && response.StatusCode == http.StatusOK {
		Expect(string(body)).To(Equal(string(endpoint.Body(id, 4096))), "a complete response is truncated or belongs to another request")
	}
	return r
}

// sendAtRate sends requests for the service to all entries in turn, at the given rate per second for the duration. It doesn't
// wait for responses between requests.
func (i *installation) sendAtRate(service, prefix string, rate int, duration time.Duration, header map[string]string) []result {
	var senders sync.WaitGroup
	results := make([]result, int(float64(rate)*duration.Seconds()))
	start := time.Now()
	for n := range results {
		time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / time.Duration(rate))))
		senders.Go(func() {
			defer GinkgoRecover()
			results[n] = i.send(n%i.Entries, service, fmt.Sprintf("%s-%d", prefix, n), header)
		})
	}
	senders.Wait()
	return results
}

// endpointCounters returns the counters of the endpoint on the VM.
func (i *installation) endpointCounters(vm int) endpoint.Counters {
	GinkgoHelper()
	status, body := launcher.Get(i.EndpointAddress(vm), endpoint.PathCounters)
	Expect(status).To(Equal(http.StatusOK))
	var c endpoint.Counters
	Expect(json.Unmarshal([]byte(body), &c)).To(Succeed())
	return c
}

// startCounts returns the number of starts by request ID and by key at all endpoints. It also checks that
// no endpoint had too many connections or failed to record a start.
func (i *installation) startCounts() (startsByID, startsByKey map[string]int) {
	GinkgoHelper()
	startsByID, startsByKey = map[string]int{}, map[string]int{}
	for n := range i.VMs {
		c := i.endpointCounters(n)
		Expect(c.Unrecorded).To(BeZero())
		Expect(c.MaxConnections).To(BeNumerically("<=", 64))
		Expect(c.ConnectionViolations).To(BeZero())
		for id, count := range c.Starts {
			startsByID[id] += count
		}
		for key, count := range c.KeyStarts {
			startsByKey[key] += count
		}
	}
	return startsByID, startsByKey
}

// setFaults sets the faults of the endpoint on the VM.
func (i *installation) setFaults(vm int, f endpoint.Faults) {
	GinkgoHelper()
	body, err := json.Marshal(f)
	Expect(err).NotTo(HaveOccurred())
	response, err := callerClient.Post("http://"+i.EndpointAddress(vm)+endpoint.PathFaults, "application/json", strings.NewReader(string(body)))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}

// countOutcomes counts the results by outcome and reason.
func countOutcomes(results []result) map[string]int {
	counts := map[string]int{}
	for _, r := range results {
		counts[strings.TrimSuffix(r.outcome+"/"+r.reason, "/")]++
	}
	return counts
}

// checkNotRun fails the test if a request with the outcome not-run has started.
func checkNotRun(results []result, starts map[string]int) {
	GinkgoHelper()
	for _, r := range results {
		if r.outcome == message.OutcomeNotRun && starts[r.id] > 0 {
			Fail(fmt.Sprintf("%+v has the outcome not-run but started %d times", r, starts[r.id]))
		}
	}
}

func decodeJSON(r io.Reader, to any) error { return json.NewDecoder(r).Decode(to) }
