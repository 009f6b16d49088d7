package forwarder_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"bamboohook/internal/forwarder"
	"bamboohook/internal/gateway"
	"bamboohook/internal/message"
	"bamboohook/journaler"
)

// BenchmarkPath measures the latency at 2,000 requests/s over the loopback interface, once directly to the endpoint and
// once through an entry and an agent. It reports the median and the 99th percentile in microseconds, and the number of
// failed requests. Client, entry, agent and endpoint run in one process.
func BenchmarkPath(b *testing.B) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat("x", 1000)))
	}))
	defer endpoint.Close()
	g := &gateway.Gateway{VM: "vm", Journal: journaler.New(journaler.Options{VM: "vm", Generation: "1"})}
	f := &forwarder.Forwarder{}
	e := echo.New()
	f.Register(e)
	agentServer, entry := httptest.NewServer(g), httptest.NewServer(e)
	defer agentServer.Close()
	defer entry.Close()
	sequence := uint64(0)
	announceAndObserve := func() {
		sequence++
		_ = g.Announce(message.Announcement{
			Address: strings.TrimPrefix(endpoint.URL, "http://"), Services: []message.Service{{Name: "preview", Slots: 64, Connections: 64}},
		})
		f.Observe(message.Heartbeat{
			VM: "vm", Generation: "1", Sequence: sequence, State: message.StateUp,
			RequestAddress: strings.TrimPrefix(agentServer.URL, "http://"), Services: g.ServiceLoads(),
		})
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	for name, url := range map[string]string{"direct": endpoint.URL + "/", "entry-and-agent": entry.URL + "/v1/services/preview/p"} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				const rate, count = 2000, 6000
				latencies := make([]time.Duration, count)
				var failed atomic.Int64
				var waitGroup sync.WaitGroup
				start := time.Now()
				for i := range count {
					dueAt := start.Add(time.Duration(i) * time.Second / rate)
					time.Sleep(time.Until(dueAt))
					if i%500 == 0 {
						announceAndObserve()
					}
					waitGroup.Go(func() {
						sentAt := time.Now()
						r, err := client.Get(url)
						if err != nil {
							failed.Add(1)
						} else {
							failed.Add(min(int64(r.StatusCode-http.StatusOK), 1))
							_, _ = io.Copy(io.Discard, r.Body)
							_ = r.Body.Close()
						}
						latencies[i] = time.Since(sentAt)
					})
				}
				waitGroup.Wait()
				slices.Sort(latencies)
				b.ReportMetric(float64(latencies[count/2].Microseconds()), "p50-us")
				b.ReportMetric(float64(latencies[count*99/100].Microseconds()), "p99-us")
				b.ReportMetric(float64(failed.Load()), "refused")
			}
		})
	}
}

// BenchmarkRequest reports the time and the allocations of one request through an entry and an agent. They include
// those of the client and of the endpoint.
func BenchmarkRequest(b *testing.B) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1000)) }))
	defer endpoint.Close()
	g := &gateway.Gateway{VM: "vm", Journal: journaler.New(journaler.Options{VM: "vm", Generation: "1"})}
	f := &forwarder.Forwarder{HedgeDelay: -1}
	e := echo.New()
	f.Register(e)
	agentServer, entry := httptest.NewServer(g), httptest.NewServer(e)
	defer agentServer.Close()
	defer entry.Close()
	b.ReportAllocs()
	for i := range b.N {
		if i%1000 == 0 {
			_ = g.Announce(message.Announcement{
				Address: strings.TrimPrefix(endpoint.URL, "http://"), Services: []message.Service{{Name: "preview", Slots: 8, Connections: 64}},
			})
			f.Observe(message.Heartbeat{
				VM: "vm", Generation: "1", Sequence: uint64(i + 1), State: message.StateUp,
				RequestAddress: strings.TrimPrefix(agentServer.URL, "http://"), Services: g.ServiceLoads(),
			})
		}
		r, err := http.Get(entry.URL + "/v1/services/preview/p")
		if err != nil || r.StatusCode != http.StatusOK {
			b.Fatal("no response with status 200; error: ", err)
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
	}
}
