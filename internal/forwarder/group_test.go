package forwarder_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/forwarder"
	"bamboohook/internal/message"
)

// Guards against a flood of one service that takes the slots of another service on the same VMs, and against one
// limiter for services that share no VM, neither directly nor through other services.
var _ = Describe("services that share VMs", func() {
	var (
		clock     *clockwork.FakeClock
		f         *forwarder.Forwarder
		a         *agent
		finish    chan struct{}
		counters  sync.Map
		waitGroup sync.WaitGroup
		url       string
		sequence  uint64
	)
	// counter counts the requests of the service that have reached the agent.
	counter := func(service string) *atomic.Int64 {
		n, _ := counters.LoadOrStore(service, new(atomic.Int64))
		return n.(*atomic.Int64)
	}
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		finish = make(chan struct{})
		counters.Clear()
		sequence = 0
		a = newAgent(func(w http.ResponseWriter, r *http.Request) {
			counter(strings.Split(r.URL.Path, "/")[3]).Add(1)
			<-finish
			succeed(w, r)
		})
		f = &forwarder.Forwarder{Clock: clock, HedgeDelay: -1}
		url = newEntry(f).URL
		DeferCleanup(func() {
			close(finish)
			allEnded := make(chan struct{})
			go func() {
				waitGroup.Wait()
				close(allEnded)
			}()
			// Requests that wait for a free endpoint slot end only when the fake clock advances.
			for {
				select {
				case <-allEnded:
					return
				case <-time.After(time.Millisecond):
					clock.Advance(time.Millisecond)
				}
			}
		})
	})
	// observe passes a heartbeat of each VM to the forwarder. vms maps each VM to the names of its services, separated
	// by spaces.
	observe := func(vms map[string]string) {
		sequence++
		for vm, services := range vms {
			h := a.heartbeat(vm, "1", sequence, 4)
			h.Services = nil
			for name := range strings.FieldsSeq(services) {
				h.Services = append(h.Services, message.Service{Name: name, Slots: 4, Connections: 64})
			}
			Expect(f.Observe(h)).To(BeTrue())
		}
	}
	// sendRequests sends n concurrent requests. Each value that the test sends to finish
	// lets one request end; closing finish lets all of them end.
	sendRequests := func(service, kind string, n int) {
		for range n {
			waitGroup.Go(func() {
				_, _, _, _ = sendPut(fmt.Sprintf("%s/v1/services/%s/p", url, service), "b", map[string]string{message.HeaderKind: kind})
			})
		}
	}
	// expectReceived checks that exactly n requests of the service reach the agent.
	expectReceived := func(service string, n int64) {
		GinkgoHelper()
		Eventually(func() int64 { return counter(service).Load() }).Should(Equal(n))
		Consistently(func() int64 { return counter(service).Load() }, "20ms").Should(Equal(n))
	}

	It("have one limiter, also if they share VMs only with a common third service", func() {
		observe(map[string]string{"a": "preview download", "b": "download check", "c": "other"})
		sendRequests("download", "", 20)
		expectReceived("download", 8)
		sendRequests("preview", "", 1)
		sendRequests("check", "no-such-kind", 1)
		expectReceived("preview", 0)
		expectReceived("check", 0)
		sendRequests("other", "", 9)
		expectReceived("other", 4)
	})

	for name, c := range map[string]struct {
		delay             time.Duration
		preview, download int64
	}{
		"before the shares change":      {0, 1, 3},
		"after the shares have changed": {time.Minute, 3, 1},
	} {
		It("follow the share schedule "+name, func() {
			changeAt := clock.Now().Add(time.Minute)
			f.SetShareSchedule(func(at time.Time) map[string]float64 {
				if at.Before(changeAt) {
					return map[string]float64{"preview": 0.25, "download": 0.75}
				}
				return map[string]float64{"preview": 0.75, "download": 0.25}
			})
			const vm, services = "a", "preview download fill"
			observe(map[string]string{vm: services})
			clock.Advance(c.delay)
			observe(map[string]string{vm: services})
			sendRequests("fill", "", 4)
			expectReceived("fill", 4)
			sendRequests("preview", "", 4)
			sendRequests("download", "", 4)
			expectReceived("preview", 0)
			expectReceived("download", 0)
			for range 4 {
				finish <- struct{}{}
			}
			expectReceived("preview", c.preview)
			expectReceived("download", c.download)
		})
	}

	It("divide all slots equally if no shares are set", func() {
		observe(map[string]string{"a": "preview download fill"})
		f.SetShares(map[string]float64{"preview": 0.5})
		f.SetShares(nil)
		sendRequests("fill", "", 4)
		expectReceived("fill", 4)
		sendRequests("preview", "", 4)
		sendRequests("download", "", 4)
		expectReceived("preview", 0)
		expectReceived("download", 0)
		for range 4 {
			finish <- struct{}{}
		}
		expectReceived("preview", 2)
		expectReceived("download", 2)
	})
})
