package detector_test

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/detector"
)

var _ = Describe("Detector", func() {
	// step is a heartbeat that is passed to Observe after the delay. accepted is the expected result of Observe.
	type step struct {
		delay      time.Duration
		generation string
		sequence   uint64
		draining   bool
		accepted   bool
	}
	// Guards against a delayed heartbeat that replaces a newer one, and against a VM that becomes suspect or lost too
	// early or too late.
	for name, c := range map[string]struct {
		steps  []step
		wait   time.Duration
		status string
	}{
		"up":                            {[]step{{0, "1", 1, false, true}}, 1999 * time.Millisecond, detector.StatusUp},
		"suspect":                       {[]step{{0, "1", 1, false, true}}, 2 * time.Second, detector.StatusSuspect},
		"lost":                          {[]step{{0, "1", 1, false, true}}, 10 * time.Second, detector.StatusLost},
		"draining":                      {[]step{{0, "1", 1, false, true}, {0, "1", 2, true, true}}, 0, detector.StatusDraining},
		"draining, then lost":           {[]step{{0, "1", 1, true, true}}, 11 * time.Second, detector.StatusLost},
		"repeated sequence":             {[]step{{0, "1", 2, false, true}, {3 * time.Second, "1", 2, false, false}}, 0, detector.StatusSuspect},
		"older sequence":                {[]step{{0, "1", 2, true, true}, {0, "1", 1, false, false}}, 0, detector.StatusDraining},
		"older generation":              {[]step{{0, "10", 1, true, true}, {0, "9", 7, false, false}}, 0, detector.StatusDraining},
		"new generation":                {[]step{{0, "1", 9, true, true}, {0, "2", 1, false, true}}, 0, detector.StatusUp},
		"older generation of a lost VM": {[]step{{0, "5", 9, true, true}, {10 * time.Second, "4", 1, false, true}}, 0, detector.StatusUp},
	} {
		It("derives the status from the last heartbeat and its age: "+name, func() {
			clock := clockwork.NewFakeClock()
			d := &detector.Detector[int]{Clock: clock}
			for _, s := range c.steps {
				clock.Advance(s.delay)
				b := detector.Heartbeat[int]{VM: "vm", Generation: s.generation, Sequence: s.sequence, Draining: s.draining}
				Expect(d.Observe(b)).To(Equal(s.accepted))
			}
			clock.Advance(c.wait)
			m, ok := d.Member("vm")
			Expect(ok).To(BeTrue())
			Expect(m.Status).To(Equal(c.status))
		})
	}

	It("reports a declared VM without recent heartbeats as unreachable", func() {
		clock := clockwork.NewFakeClock()
		d := &detector.Detector[int]{Clock: clock}
		d.Declare([]string{"b", "a"})
		d.Observe(detector.Heartbeat[int]{VM: "b"})
		d.Observe(detector.Heartbeat[int]{VM: "c"})
		readStatuses := func() (statuses []string) {
			for _, m := range d.Members() {
				statuses = append(statuses, m.VM+" "+m.Status)
			}
			return statuses
		}
		Expect(readStatuses()).To(Equal([]string{"a unreachable", "b up", "c up"}))
		Expect(d.RemoveLost("b")).To(BeFalse())
		clock.Advance(10 * time.Second)
		Expect(readStatuses()).To(Equal([]string{"a unreachable", "b unreachable", "c lost"}))
		Expect(d.RemoveLost("c")).To(BeTrue())
		Expect(readStatuses()).To(Equal([]string{"a unreachable", "b unreachable"}))
	})
})
