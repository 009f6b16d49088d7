package windower_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/fleet/windower"
)

func TestWindower(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "windower")
}

var _ = Describe("Windower", func() {
	start := time.UnixMilli(1_000_000)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		use  func(w *windower.Windower)
		want int
	}{
		"begins with the initial size": {func(*windower.Windower) {}, 16},
		"grows by each answer":         {func(w *windower.Windower) { w.Answered(10) }, 26},
		"does not exceed the most":     {func(w *windower.Windower) { w.Answered(1000) }, 64},
		"halves when a call is late":   {func(w *windower.Windower) { w.Congested(at(0), at(500)) }, 8},
		"halves once for all calls that were sent before it shrank": {func(w *windower.Windower) {
			w.Congested(at(0), at(500))
			w.Congested(at(400), at(900))
			w.Congested(at(500), at(1000))
		}, 8},
		"halves again for a call that was sent later": {func(w *windower.Windower) {
			w.Congested(at(0), at(500))
			w.Congested(at(501), at(1000))
		}, 4},
		"does not fall below the least": {func(w *windower.Windower) {
			for n := range 10 {
				w.Congested(at(1000*n), at(1000*n+500))
			}
		}, 2},
		"grows slowly from the size at which it shrank": {func(w *windower.Windower) {
			w.Congested(at(0), at(500))
			w.Answered(9)
		}, 9},
		"doubles in a round trip up to the size at which it shrank": {func(w *windower.Windower) {
			w.Answered(48)
			w.Congested(at(0), at(500))
			w.Congested(at(501), at(1000))
			Expect(w.Window()).To(Equal(16))
		}, 16},
	} {
		It(name, func() {
			w := &windower.Windower{Least: 2, Most: 64, Initial: 16}
			c.use(w)
			Expect(w.Window()).To(Equal(c.want))
		})
	}

	It("tells whether the window shrank", func() {
		w := &windower.Windower{Least: 2, Most: 64, Initial: 16}
		Expect(w.Congested(at(0), at(500))).To(BeTrue())
		Expect(w.Congested(at(100), at(600))).To(BeFalse())
	})
})
