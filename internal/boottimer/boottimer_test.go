package boottimer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/boottimer"
)

var _ = Describe("Clock", func() {
	It("advances at the rate of real time, and its times have no monotonic clock reading, which would exclude suspended time", func() {
		var c boottimer.Clock
		startWallTime, first := time.Now(), c.Now()
		fired := <-c.After(30 * time.Millisecond)
		last, elapsed := c.Now(), time.Since(startWallTime)
		Expect(fired.Sub(first)).To(BeNumerically(">=", 30*time.Millisecond))
		Expect(last.Sub(first)).To(BeNumerically("<=", elapsed+time.Millisecond))
		Expect(first.Round(0)).To(Equal(first))
	})
})
