package antagonist_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/antagonist"
)

// encodeAll encodes all estimates of the model.
func encodeAll(m *antagonist.Model) []byte {
	encoded, _ := m.Encode(0)
	return encoded
}

var _ = Describe("The record of a model with many programs", func() {
	const maxRecordBytes = 256 << 10
	programName := func(n int) string { return fmt.Sprintf("%04d-%s", n, strings.Repeat("<", 1000)) }
	var m *antagonist.Model
	BeforeEach(func() {
		m = &antagonist.Model{}
		clock := clockwork.NewFakeClock()
		for n := range 600 {
			for range 4 {
				clock.Advance(time.Second)
				shares := map[string]float64{"short": 0.2, "other-" + programName(n): 0.2}
				m.Update("vm", []antagonist.Sample{{Task: fmt.Sprint(n), Program: programName(n), Group: "g", LatencyRatio: 0.6}}, shares, clock.Now())
			}
		}
	})

	// Guards against an owner that records nothing any more, because the estimates of all programs that ever ran outgrew the largest record.
	It("fits in the largest record of the store, with the programs that were measured last", func() {
		encoded, leftOut := m.Encode(maxRecordBytes)
		Expect(len(encoded)).To(BeNumerically("<=", maxRecordBytes))
		Expect(leftOut).To(BeNumerically(">", 0))
		var restored antagonist.Model
		Expect(restored.Restore(encoded)).To(Succeed())
		want, _ := m.Interference(programName(599), "short")
		mean, _ := restored.Interference(programName(599), "short")
		Expect(mean).To(BeNumerically("~", want, 1e-9))
	})

	// Guards against memory that grows with each program that ever ran.
	It("contains no more than the programs that were used last", func() {
		var r struct{ Victims []struct{ Name string } }
		Expect(json.Unmarshal(encodeAll(m), &r)).To(Succeed())
		Expect(r.Victims).To(HaveLen(512))
		Expect(r.Victims[0].Name).To(Equal(programName(88)))
	})
})
