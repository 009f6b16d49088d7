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

// Guards against a flood of one service that takes the slots of another service on the same VMs, and against a common
// limiter for services that common VMs don't connect, directly or through other services.
var _ = Describe("services on common VMs", func() {
	var (
		clock    *clockwork.FakeClock
		f        *forwarder.Forwarder
		a        *agent
		finish   chan struct{}
		counters sync.Map
		group    sync.WaitGroup
		url      string
		sequence uint64
	)
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
				group.Wait()
				close(allEnded)
			}()
			// Requests that wait for a free slot of a VM end only when the fake clock advances.
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
	send := func(service, kind string, n int) {
		for range n {
			group.Go(func() {
				_, _, _, _ = sendPut(fmt.Sprintf("%s/v1/services/%s/p", url, service), "b", map[string]string{message.HeaderKind: kind})
			})
		}
	}
	expectRunning := func(service string, n int64) {
		GinkgoHelper()
		Eventually(func() int64 { return counter(service).Load() }).Should(Equal(n))
		Consistently(func() int64 { return counter(service).Load() }, "20ms").Should(Equal(n))
	}

	It("share one limiter, also if only a third service connects them", func() {
		observe(map[string]string{"a": "preview download", "b": "download check", "c": "other"})
		send("download", "", 20)
		expectRunning("download", 8)
		send("preview", "", 1)
		send("check", "no-such-kind", 1)
		expectRunning("preview", 0)
		expectRunning("check", 0)
		send("other", "", 9)
		expectRunning("other", 4)
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
			send("fill", "", 4)
			expectRunning("fill", 4)
			send("preview", "", 4)
			send("download", "", 4)
			expectRunning("preview", 0)
			expectRunning("download", 0)
			for range 4 {
				finish <- struct{}{}
			}
			expectRunning("preview", c.preview)
			expectRunning("download", c.download)
		})
	}

	It("divide all slots equally if no shares are set", func() {
		observe(map[string]string{"a": "preview download fill"})
		f.SetShares(map[string]float64{"preview": 0.5})
		f.SetShares(nil)
		send("fill", "", 4)
		expectRunning("fill", 4)
		send("preview", "", 4)
		send("download", "", 4)
		expectRunning("preview", 0)
		expectRunning("download", 0)
		for range 4 {
			finish <- struct{}{}
		}
		expectRunning("preview", 2)
		expectRunning("download", 2)
	})
})
