package clients_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/peer"
	"bamboohook/internal/standin/estate"
)

const (
	// memoryMB is the memory of each process in its settings. Its peak resident size must stay below that.
	memoryMB = 128
	// manyDescriptors is the lowest number of descriptors of a process on the platform, fewDescriptors one that a small crowd uses up.
	manyDescriptors = 4096
	fewDescriptors  = 600
	// fileDescriptors is the number of descriptors that are reserved for files.
	fileDescriptors = 200
	// Sizes of the crowds: for clients whose headers, bodies or frames take much memory, and for those that only take a connection each.
	headerClients = 200
	bodyClients   = 600
	stepClients   = 40
	frameClients  = 60
	idleClients   = 600
	// answerTimeout is how long an ordinary client repeats its request, and nodeTimeout the time for a whole test. They only end tests that have failed.
	answerTimeout  = 60 * time.Second
	requestTimeout = 5 * time.Second
	pollInterval   = 100 * time.Millisecond
	// holdTime is how long a crowd stays connected after it has sent everything, so that the process reads what the kernel has received.
	holdTime    = 1500 * time.Millisecond
	nodeTimeout = 4 * time.Minute
)

type (
	// target is a port of a process. isAnswered sends one ordinary request to it and reports whether there was a response.
	target struct {
		process    string
		port       int
		isAnswered func(ctx context.Context, address string) bool
	}

	// scenario is a crowd at a target, whose process has a limit for descriptors.
	scenario struct {
		target      target
		count       int
		descriptors int
		send        sender
	}
)

var (
	entryName, agentName = estate.EntryName(0), estate.AgentName(0)
	callers              = target{entryName, estate.PortCallers, isServed(http.MethodGet, "/batch/", "", http.StatusOK)}
	readiness            = target{entryName, estate.PortReadiness, isServed(http.MethodGet, "/v1/readyz", "", http.StatusOK)}
	entryMetrics         = target{entryName, estate.PortMetrics, isServed(http.MethodGet, "/", "", http.StatusOK)}
	agentMetrics         = target{agentName, estate.PortMetrics, isServed(http.MethodGet, "/", "", http.StatusOK)}
	// A heartbeat without the required fields is answered with 400 and changes nothing.
	heartbeats = target{agentName, estate.PortHeartbeats, isServed(http.MethodPost, "/v1/instances/i-9/heartbeat", "{}", http.StatusBadRequest)}
	entryPeers = target{entryName, estate.PortPeers, isCallAnswered}
	agentPeers = target{agentName, estate.PortPeers, isCallAnswered}
)

// isServed returns a function that sends an HTTP request and reports whether the response has the status.
func isServed(method, path, body string, status int) func(context.Context, string) bool {
	return func(ctx context.Context, address string) bool {
		callCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		request, err := http.NewRequestWithContext(callCtx, method, "http://"+address+path, strings.NewReader(body))
		if err != nil {
			return false
		}
		request.Host = "jobs.example"
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Do(request)
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		return err == nil && response.StatusCode == status
	}
}

// isCallAnswered sends a call of an unknown method and reports whether the process has said so.
func isCallAnswered(ctx context.Context, address string) bool {
	callCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	client := &peer.Client{Address: address}
	defer client.Close()
	err := client.Call(callCtx, "none", "", nil)
	return err != nil && strings.Contains(err.Error(), "unknown method")
}

// httpScenarios adds the crowds that any HTTP port can get. path is that of the requests, with which each client sends a body of the size.
func httpScenarios(all map[string]scenario, name string, t target, path, idlePath func(int) string, size int) {
	for kind, line := range map[string]func(int) string{
		"very many short header lines": shortLine, "one very long header line": longLine, "very many values of one header": valueOfOneName, "very long header names": longName,
	} {
		all[name+": "+kind] = scenario{t, headerClients, manyDescriptors, endlessHeaders(idlePath, line)}
	}
	// Ports that do not read bodies only keep the connections open.
	descriptors := fewDescriptors
	if size == bodyBytes {
		descriptors = manyDescriptors
	}
	all[name+": large bodies at once"] = scenario{t, bodyClients, descriptors, stoppingBody(path, size, size)}
	all[name+": large bodies in pieces"] = scenario{t, bodyClients, descriptors, stoppingBody(path, size, pieceBytes)}
	all[name+": bodies in large chunks"] = scenario{t, bodyClients, descriptors, stoppingChunks(path, size, largeChunk)}
	all[name+": bodies in very small chunks"] = scenario{t, bodyClients, descriptors, stoppingChunks(path, size, 1)}
	all[name+": responses that are not read"] = scenario{t, idleClients, fewDescriptors, unreadResponses(idlePath)}
	all[name+": idle connections"] = scenario{t, idleClients, fewDescriptors, idle(idlePath)}
}

// frameScenarios adds the crowds at a port for calls between processes.
func frameScenarios(all map[string]scenario, name string, t target) {
	all[name+": large frames at once"] = scenario{t, frameClients, manyDescriptors, stoppingFrame(frameBytes, frameBytes)}
	all[name+": large frames in pieces"] = scenario{t, frameClients, manyDescriptors, stoppingFrame(frameBytes, pieceBytes)}
	all[name+": responses that are not read"] = scenario{t, idleClients, fewDescriptors, unreadCalls}
	all[name+": idle connections"] = scenario{t, idleClients, fewDescriptors, silent}
}

// These tests guard against processes that clients outside of our control bring down: they run out of memory or descriptors, or answer nobody any more.
var _ = Describe("An ordinary client is answered within the limits of the process beside", Serial, func() {
	scenarios := map[string]scenario{"callers: whole bodies of very many steps": {callers, stepClients, manyDescriptors, wholeBodyOfSteps(jobPath)}}
	httpScenarios(scenarios, "callers", callers, jobPath, countPath, bodyBytes)
	httpScenarios(scenarios, "readiness", readiness, readyPath, readyPath, heartbeatBytes)
	httpScenarios(scenarios, "metrics of an entry", entryMetrics, metricsPath, metricsPath, heartbeatBytes)
	httpScenarios(scenarios, "metrics of an agent", agentMetrics, metricsPath, metricsPath, heartbeatBytes)
	httpScenarios(scenarios, "heartbeats", heartbeats, heartbeatPath, heartbeatPath, heartbeatBytes)
	frameScenarios(scenarios, "calls to an entry", entryPeers)
	frameScenarios(scenarios, "calls to an agent", agentPeers)
	for name, s := range scenarios {
		It(name, func(ctx SpecContext) {
			subnet, err := estate.ReserveSubnet()
			Expect(err).NotTo(HaveOccurred())
			i := &estate.Installation{
				ProgramDir: programDir, OutputDir: GinkgoT().TempDir(), Subnet: subnet, Entries: 1, VMs: 1, Grace: 5 * time.Second,
				MemoryMB: memoryMB, MaxDescriptors: s.descriptors, MaxBodyBytes: bodyBytes,
			}
			DeferCleanup(i.Stop)
			Expect(i.Start(ctx)).To(Succeed())
			address, err := i.Address(s.target.process, s.target.port)
			Expect(err).NotTo(HaveOccurred())
			p := i.Process(s.target.process)
			isAnswered := func() bool { return s.target.isAnswered(ctx, address) }
			Eventually(isAnswered).WithTimeout(answerTimeout).WithPolling(pollInterval).Should(BeTrue(), "before the crowd")

			endObservation := watchUsage(p.PID())
			c := &crowd{address: address, send: s.send}
			defer c.disconnect()
			c.connect(s.count)
			time.Sleep(holdTime)
			deadline, answered := time.Now().Add(answerTimeout), isAnswered()
			for !answered && p.Running() && time.Now().Before(deadline) {
				time.Sleep(pollInterval)
				answered = isAnswered()
			}
			highest, err := endObservation()
			AddReportEntry("use", fmt.Sprintf("%s: %d MB of %d, %d descriptors of %d", s.target.process, highest.megabytes, memoryMB, highest.descriptors, s.descriptors-fileDescriptors))
			c.disconnect()
			Expect(p.Running()).To(BeTrue(), "the process has ended")
			Expect(err).NotTo(HaveOccurred())
			Expect(answered).To(BeTrue(), "no response to an ordinary request beside the crowd")
			Expect([]int{highest.megabytes, highest.descriptors}).To(HaveExactElements(BeNumerically("<", memoryMB), BeNumerically("<", s.descriptors-fileDescriptors)),
				"megabytes and descriptors")

			const id = "00000000000000aa"
			Eventually(func() bool {
				return i.Submit(ctx, 0, id, 50*time.Millisecond, estate.Step{Tasks: 2, MilliProcessors: 500})
			}).
				WithTimeout(answerTimeout).WithPolling(pollInterval).Should(BeTrue(), "submission after the crowd")
			Eventually(func() string { return i.State(ctx, 0, id) }).WithTimeout(answerTimeout).WithPolling(pollInterval).Should(Equal("completed"))
		}, NodeTimeout(nodeTimeout))
	}
})
