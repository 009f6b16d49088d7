package breaker_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/breaker"
)

func TestBreaker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "breaker")
}

var _ = Describe("Breaker", func() {
	start := time.UnixMilli(1_000_000)
	for name, c := range map[string]struct {
		failedJobs []string
		interval   time.Duration
		wantOpen   bool
	}{
		"stays closed after two failed runs":                      {[]string{"a", "b"}, 0, false},
		"stays closed after three failed runs of one job":         {[]string{"a", "a", "a"}, 0, false},
		"opens after three failed runs of two jobs":               {[]string{"a", "a", "b"}, 0, true},
		"stays closed after three failed runs within six seconds": {[]string{"a", "b", "c"}, 3 * time.Second, false},
		"opens after three failed runs within two seconds":        {[]string{"a", "b", "c"}, time.Second, true},
	} {
		It("counts failures: "+name, func() {
			var b breaker.Breaker
			now := start
			for n, job := range c.failedJobs {
				now = start.Add(time.Duration(n) * c.interval)
				b.Failed(job, now)
			}
			Expect(b.Allows(now)).To(Equal(!c.wantOpen))
		})
	}

	openBreaker := func(b *breaker.Breaker) {
		for _, job := range []string{"a", "b", "c"} {
			b.Failed(job, start)
		}
	}

	It("allows one probe after the open time and closes when it succeeds", func() {
		var b breaker.Breaker
		openBreaker(&b)
		probeTime := start.Add(time.Second)
		Expect(b.Allows(probeTime)).To(BeTrue())
		b.Started(probeTime)
		Expect(b.Allows(probeTime)).To(BeFalse())
		b.Succeeded()
		Expect(b.Allows(probeTime)).To(BeTrue())
	})

	It("doubles the open time after a failed probe", func() {
		var b breaker.Breaker
		openBreaker(&b)
		b.Started(start.Add(time.Second))
		Expect(b.Failed("d", start.Add(time.Second))).To(BeTrue())
		Expect(b.Allows(start.Add(2500 * time.Millisecond))).To(BeFalse())
		Expect(b.Allows(start.Add(3 * time.Second))).To(BeTrue())
	})

	// Guards against a VM that stays out of use because its probe is a task that never ends.
	It("allows another probe while the first one is still running", func() {
		var b breaker.Breaker
		openBreaker(&b)
		b.Started(start.Add(time.Second))
		Expect(b.Allows(start.Add(3 * time.Second))).To(BeTrue())
	})
})
