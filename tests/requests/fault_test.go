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

var _ = Describe("Faults of processes", func() {
	// mixed sends idempotent and non-idempotent requests for the time, while act runs.
	sendMixed := func(i *installation, duration time.Duration, injectFault func()) (idempotent, nonIdempotent []result) {
		var group sync.WaitGroup
		group.Go(func() { idempotent = i.sendAtRate("preview", "repeatable", 100, duration, nil) })
		group.Go(func() { nonIdempotent = i.sendAtRate("preview", "single", 50, duration, nonIdempotentHeader) })
		time.Sleep(duration / 3)
		injectFault()
		group.Wait()
		GinkgoWriter.Println("repeatable", countOutcomes(idempotent), "single", countOutcomes(nonIdempotent))
		return idempotent, nonIdempotent
	}
	// check holds for every fault: not-run did not run, and a non-idempotent request started at most once.
	checkStarts := func(i *installation, idempotent, nonIdempotent []result) {
		GinkgoHelper()
		ids, _ := i.startCounts()
		checkNotRun(idempotent, ids)
		checkNotRun(nonIdempotent, ids)
		for _, s := range nonIdempotent {
			Expect(ids[s.id]).To(BeNumerically("<=", 1), "%+v", s)
			if s.outcome == message.OutcomeDone {
				Expect(ids[s.id]).To(Equal(1), "%+v", s)
			}
		}
		// Retries and hedged requests have a budget of a tenth of the requests.
		starts := 0
		for _, s := range idempotent {
			starts += ids[s.id]
		}
		Expect(starts).To(BeNumerically("<=", len(idempotent)*115/100))
	}

	// Guards against lost idempotent requests and a second run of others when an agent dies with requests in flight.
	It("retry idempotent requests of a killed agent and run others at most once", func() {
		i := startInstallation(4, 2, "preview=100ms/0.3")
		idempotent, nonIdempotent := sendMixed(i, 6*time.Second, func() {
			Expect(launcher.Await("requests in flight", timeout, func() bool { return i.endpointCounters(0).Processing >= 3 })).To(Succeed())
			i.agents[0].Kill()
		})
		checkStarts(i, idempotent, nonIdempotent)
		// Hedged requests use the same budget, so a request in flight can meet a budget that is spent; it ends as unknown.
		at, retried, lost := i.endpointCounters(0).Starts, 0, 0
		for _, s := range idempotent {
			switch {
			case s.outcome != message.OutcomeDone:
				Expect([]string{s.outcome, s.reason}).To(Equal([]string{message.OutcomeUnknown, message.ReasonConnectionLost}))
				lost++
			case at[s.id] > 0 && s.vm != i.VMName(0):
				retried++
			}
		}
		GinkgoWriter.Println("started at the killed agent and answered by another", retried, "lost", lost)
		Expect(retried).To(BeNumerically(">", 0))
		Expect(lost).To(BeNumerically("<=", 2), "lost beyond the budget")
	})

	// Guards against a second run of a key through another entry, or by a home that forgot it.
	It("run a key once through two entries and never after its home restarted", func() {
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
		// A repeat of a key is answered with the stored response; both callers sent the same request.
		Expect(countOutcomes(results)).To(Equal(map[string]int{message.OutcomeDone: len(results)}))
		i.agents[0].Kill()
		agent, err := i.StartAgent(0)
		Expect(err).NotTo(HaveOccurred())
		i.agents[0] = agent
		for entry := range 2 {
			Expect(launcher.Await("an answer of the new agent", timeout, func() bool {
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

	// Guards against a body that ended early and looks complete, and against not-run for requests that started. The function
	// send compares every complete answer with the expected body.
	for name, faults := range map[string]endpoint.Faults{
		"truncates": {TruncateRate: 0.3}, "hangs": {HangRate: 0.1}, "closes": {CloseRate: 0.3}, "does all of these": {TruncateRate: 0.1, HangRate: 0.05, CloseRate: 0.1, FailRate: 0.1},
	} {
		It("never complete a short body of an endpoint that "+name, func() {
			i := startInstallation(2, 2, "preview=20ms/0.3")
			for n := range i.VMs {
				i.setFaults(n, faults)
			}
			header := map[string]string{message.HeaderTimeout: "1s"}
			idempotent := i.sendAtRate("preview", "repeatable", 100, 2*time.Second, header)
			header[message.HeaderIdempotent] = "false"
			nonIdempotent := i.sendAtRate("preview", "single", 100, 2*time.Second, header)
			GinkgoWriter.Println("repeatable", countOutcomes(idempotent), "single", countOutcomes(nonIdempotent))
			checkStarts(i, idempotent, nonIdempotent)
			Expect(countOutcomes(nonIdempotent)[message.OutcomeDone]).To(BeNumerically("<", len(nonIdempotent)), "no fault was injected")
		})
	}

	// Guards against a late answer of a resumed agent that reaches another request; send compares the request ids.
	It("drop late answers of a paused agent", func() {
		i := startInstallation(3, 2, "preview=40ms/0.3")
		idempotent, nonIdempotent := sendMixed(i, 6*time.Second, func() {
			i.agents[0].Signal(syscall.SIGSTOP)
			time.Sleep(2 * time.Second)
			i.agents[0].Signal(syscall.SIGCONT)
		})
		checkStarts(i, idempotent, nonIdempotent)
		Expect(countOutcomes(idempotent)[message.OutcomeDone]).To(BeNumerically(">", len(idempotent)/2))
	})

	// Guards against new requests to an endpoint that leaves, later than the 3 s of the target.
	It("send nothing to a leaving endpoint after 3 s", func() {
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
		for _, s := range <-resultsChannel {
			Expect(s.outcome).To(Equal(message.OutcomeDone), "%+v", s)
			var n int
			_, _ = fmt.Sscanf(s.id, "p-%d", &n)
			if due := start.Add(time.Duration(n) * 10 * time.Millisecond); due.Sub(start) > 4*time.Second {
				Expect(s.vm).NotTo(Equal(i.VMName(0)))
				Expect(before.Starts[s.id]).To(BeZero())
			}
		}
		Expect(i.endpoints[0].Wait(timeout)).To(BeTrue())
	})
})

// key asks the entry for a key.
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
