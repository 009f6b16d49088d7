package main

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/scheduler"
)

var _ = Describe("fit", func() {
	// These tests guard against a wrong slope, which makes the projection wrong, and against a residual that is too small,
	// which hides that the measurements do not lie on a line.
	for name, c := range map[string]struct {
		ys   []float64
		want linearFit
	}{
		"exact line":        {[]float64{5, 7, 9, 11}, linearFit{3, 2, 0}},
		"constant":          {[]float64{4, 4, 4, 4}, linearFit{4, 0, 0}},
		"noise of 1 and -1": {[]float64{1, -1, -1, 1}, linearFit{0, 0, 1}},
	} {
		It("fits "+name, func() {
			l := fit([]float64{1, 2, 3, 4}, c.ys)
			Expect([]float64{l.intercept, l.slope, l.residual}).To(HaveExactElements(
				BeNumerically("~", c.want.intercept, 1e-9), BeNumerically("~", c.want.slope, 1e-9), BeNumerically("~", c.want.residual, 1e-9)))
		})
	}
})

var _ = Describe("simulated inputs of the measurements", func() {
	// This test guards against measuring records that the scheduler rejects. Applying a rejected record costs less.
	It("have jobs in the given state in a job history", func() {
		Expect(newJobHistory(2, scheduler.StateRunning).replay().List(1)[0].Running).To(Equal(10))
		Expect(newJobHistory(2, scheduler.StateDone).replay().List(1)[0].State).To(Equal(scheduler.StateDone))
	})

	// This test guards against measuring heartbeats for which the owner grants no leases. Such heartbeats cost less.
	It("have an owner that grants a lease for every running task", func() {
		Expect(newRegionSimulation(5, roundedTasksPerVM).sendHeartbeats()).To(Equal(5 * roundedTasksPerVM))
	})
})
