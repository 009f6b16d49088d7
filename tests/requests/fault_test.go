package requests_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/launcher"
	"bamboohook/internal/message"
	"bamboohook/internal/standin/endpoint"
)

var nonIdempotentHeader = map[string]string{message.HeaderIdempotent: "false"}

var _ = Describe("Requests during faults of processes", func() {
	// sendMixed sends idempotent and non-idempotent requests for the duration. It injects the fault after a third of it.
	sendMixed := func(i *installation, duration time.Duration, injectFault func()) (idempotent, nonIdempotent []result) {
		var group sync.WaitGroup
		group.Go(func() { idempotent = i.sendAtRate("preview", "repeatable", 100, duration, nil) })
		group.Go(func() { nonIdempotent = i.sendAtRate("preview", "single", 50, duration, nonIdempotentHeader) })
		time.Sleep(duration / 3)
		injectFault()
		group.Wait()
		GinkgoWriter.Println("idempotent", countOutcomes(idempotent), "non-idempotent", countOutcomes(nonIdempotent))
		return idempotent, nonIdempotent
	}
	// checkStarts checks what must hold for each fault: a request with the outcome not-run has not started, and a non-idempotent
	// request has started at most once.
	checkStarts := func(i *installation, idempotent, nonIdempotent []result) {
		GinkgoHelper()
		startsByID, _ := i.startCounts()
		checkNotRun(idempotent, startsByID)
		checkNotRun(nonIdempotent, startsByID)
		for _, r := range nonIdempotent {
			Expect(startsByID[r.id]).To(BeNumerically("<=", 1), "%+v", r)
			if r.outcome == message.OutcomeDone {
				Expect(startsByID[r.id]).To(Equal(1), "%+v", r)
			}
		}
		// Retries and hedged requests together are limited to a tenth of the requests; the bound leaves some tolerance.
		starts := 0
		for _, r := range idempotent {
			starts += startsByID[r.id]
		}
		Expect(starts).To(BeNumerically("<=", len(idempotent)*115/100))
	}

	// Guards against idempotent requests that are lost, and others that run twice, when an agent is killed with requests in flight.
	It("are retried if idempotent, and otherwise run at most once, when an agent is killed", func() {
		i := startInstallation(4, 2, "preview=100ms/0.3")
		idempotent, nonIdempotent := sendMixed(i, 6*time.Second, func() {
			Expect(launcher.Await("requests in flight", timeout, func() bool { return i.endpointCounters(0).Processing >= 3 })).To(Succeed())
			i.agents[0].Kill()
		})
		checkStarts(i, idempotent, nonIdempotent)
		// Retries and hedged requests share a budget. If it is exhausted, a request that was in flight is not retried and
		// its outcome is unknown.
		startsAtKilledAgent, retried, lost := i.endpointCounters(0).Starts, 0, 0
		for _, r := range idempotent {
			switch {
			case r.outcome != message.OutcomeDone:
				Expect([]string{r.outcome, r.reason}).To(Equal([]string{message.OutcomeUnknown, message.ReasonConnectionLost}))
				lost++
			case startsAtKilledAgent[r.id] > 0 && r.vm != i.VMName(0):
				retried++
			}
		}
		GinkgoWriter.Println("started at the killed agent and completed by another", retried, "lost", lost)
		Expect(retried).To(BeNumerically(">", 0))
		Expect(lost).To(BeNumerically("<=", 2), "more requests were lost than an exhausted retry budget allows")
	})

	// Guards against a second run of a request with the same key through another entry, or by the agent that issued the key, which no longer
	// knows the key after a restart.
	It("with the same key run once through two entries and never after the agent that issued it was restarted", func() {
		i := startInstallation(1, 2, "preview=200ms")
		var keys []string
		for range 3 {
			keys = append(keys, i.newKey(0))
		}
		var group sync.WaitGroup
		results := make([]result, 2*len(keys))
		for n, key := range keys {
			for entry := range 2 {
				group.Go(func() {
					defer GinkgoRecover()
					results[2*n+entry] = i.send(entry, "preview", fmt.Sprintf("key-%d", n), map[string]string{message.HeaderKey: key})
				})
			}
		}
		group.Wait()
		// Both callers send the same request, so the second one receives the stored response.
		Expect(countOutcomes(results)).To(Equal(map[string]int{message.OutcomeDone: len(results)}))
		i.agents[0].Kill()
		agent, err := i.StartAgent(0)
		Expect(err).NotTo(HaveOccurred())
		i.agents[0] = agent
		for entry := range 2 {
			Expect(launcher.Await("a response of the restarted agent", timeout, func() bool {
				return i.send(entry, "preview", "probe", nil).outcome == message.OutcomeDone
			})).To(Succeed())
		}
		for n, key := range keys {
			Expect(i.send(n%2, "preview", "again", map[string]string{message.HeaderKey: key}).outcome).To(Equal(message.OutcomeUnknown))
		}
		_, starts := i.startCounts()
		for _, key := range keys {
			Expect(starts[key]).To(BeNumerically("<=", 1))
		}
	})

	// Guards against a truncated body that looks complete, and against the outcome not-run for requests that have started. The
	// function send compares each complete response with the expected body.
	for name, faults := range map[string]endpoint.Faults{
		"truncates responses": {TruncateRate: 0.3}, "never responds": {HangRate: 0.1}, "closes connections": {CloseRate: 0.3}, "truncates responses, never responds, closes connections or fails": {TruncateRate: 0.1, HangRate: 0.05, CloseRate: 0.1, FailRate: 0.1},
	} {
		It("never complete with a truncated body if an endpoint "+name, func() {
			i := startInstallation(2, 2, "preview=20ms/0.3")
			for n := range i.VMs {
				i.setFaults(n, faults)
			}
			header := map[string]string{message.HeaderTimeout: "1s"}
			idempotent := i.sendAtRate("preview", "repeatable", 100, 2*time.Second, header)
			header[message.HeaderIdempotent] = "false"
			nonIdempotent := i.sendAtRate("preview", "single", 100, 2*time.Second, header)
			GinkgoWriter.Println("idempotent", countOutcomes(idempotent), "non-idempotent", countOutcomes(nonIdempotent))
			checkStarts(i, idempotent, nonIdempotent)
			Expect(countOutcomes(nonIdempotent)[message.OutcomeDone]).To(BeNumerically("<", len(nonIdempotent)), "no fault was injected")
		})
	}

	// Guards against a late response of a resumed agent that is delivered for another request. The function send compares
	// each complete response with the expected body, which contains the request ID.
	It("get no wrong response when a paused agent resumes", func() {
		i := startInstallation(3, 2, "preview=40ms/0.3")
		idempotent, nonIdempotent := sendMixed(i, 6*time.Second, func() {
			i.agents[0].Signal(syscall.SIGSTOP)
			time.Sleep(2 * time.Second)
			i.agents[0].Signal(syscall.SIGCONT)
		})
		checkStarts(i, idempotent, nonIdempotent)
		Expect(countOutcomes(idempotent)[message.OutcomeDone]).To(BeNumerically(">", len(idempotent)/2))
	})

	// Guards against new requests to an endpoint more than 3 s after it has begun to leave.
	It("are not sent to an endpoint that has been leaving for 3 s", func() {
		i := startInstallation(3, 2, "preview=40ms/0.3")
		var before endpoint.Counters
		start := time.Now()
		resultsChannel := make(chan []result)
		go func() {
			defer GinkgoRecover()
			resultsChannel <- i.sendAtRate("preview", "p", 100, 6*time.Second, nil)
		}()
		time.Sleep(time.Second)
		i.endpoints[0].Signal(syscall.SIGTERM)
		time.Sleep(2900 * time.Millisecond)
		before = i.endpointCounters(0)
		for _, r := range <-resultsChannel {
			Expect(r.outcome).To(Equal(message.OutcomeDone), "%+v", r)
			var n int
			_, _ = fmt.Sscanf(r.id, "p-%d", &n)
			if due := start.Add(time.Duration(n) * 10 * time.Millisecond); due.Sub(start) > 4*time.Second {
				Expect(r.vm).NotTo(Equal(i.VMName(0)))
				Expect(before.Starts[r.id]).To(BeZero())
			}
		}
		Expect(i.endpoints[0].Wait(timeout)).To(BeTrue())
	})
})

// newKey requests a new key from the entry.
func (i *installation) newKey(entry int) string {
	GinkgoHelper()
	response, err := callerClient.Post("http://"+i.EntryCallerAddress(entry)+"/v1/services/preview/keys", "", nil)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	Expect(response.StatusCode).To(Equal(http.StatusCreated))
	var key message.KeyResponse
	Expect(decodeJSON(response.Body, &key)).To(Succeed())
	return key.Key
}
