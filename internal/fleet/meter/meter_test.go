package meter_test

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/fleet/meter"
)

func TestMeter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "meter")
}

var _ = Describe("Meter", func() {
	It("serves counters and histograms as text", func() {
		m := &meter.Meter{}
		m.Count("starts")
		m.Count("starts")
		m.Count("ends-done")
		for range 100 {
			m.Observe("append", 5*time.Millisecond)
		}
		m.Observe("append", time.Hour)
		response := httptest.NewRecorder()
		m.ServeHTTP(response, httptest.NewRequest("GET", "/", nil))
		lines := strings.Split(strings.TrimSpace(response.Body.String()), "\n")
		Expect(lines).To(HaveLen(3))
		Expect(lines[0]).To(Equal("ends-done 1"))
		Expect(lines[1]).To(Equal("starts 2"))
		Expect(lines[2]).To(And(HavePrefix("append count 101"), ContainSubstring("p50-us 50")))
	})

	It("serves the last value that was set", func() {
		m := &meter.Meter{}
		m.Set("evacuated", 3)
		m.Set("evacuated", 0)
		m.Count("starts")
		var text strings.Builder
		_, err := m.WriteTo(&text)
		Expect(err).NotTo(HaveOccurred())
		Expect(text.String()).To(Equal("evacuated 0\nstarts 1\n"))
	})

	It("serves the current values of gauges", func() {
		m, value := &meter.Meter{}, int64(0)
		m.Gauge("connections", func() int64 { value++; return value })
		for _, want := range []string{"connections 1\n", "connections 2\n"} {
			var b strings.Builder
			_, err := m.WriteTo(&b)
			Expect(err).NotTo(HaveOccurred())
			Expect(b.String()).To(Equal(want))
		}
	})

	// Guards against a client that reads the metrics slowly and blocks all components that count something.
	It("counts while a reader is slow", func() {
		m := &meter.Meter{}
		m.Count("starts")
		reader, writer := io.Pipe()
		written := make(chan error, 1)
		go func() {
			_, err := m.WriteTo(writer)
			written <- err
		}()
		_, err := reader.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		counted := make(chan struct{})
		go func() { defer close(counted); m.Count("starts") }()
		Eventually(counted).Should(BeClosed())
		Expect(reader.Close()).To(Succeed())
		Eventually(written).Should(Receive(HaveOccurred()))
	})

	It("discards values if it is nil", func() {
		var m *meter.Meter
		m.Count("x")
		m.Set("x", 1)
		m.Observe("x", time.Second)
	})
})
