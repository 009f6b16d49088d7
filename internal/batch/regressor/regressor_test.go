package regressor_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/regressor"
)

var _ = Describe("Regressor", func() {
	var r *regressor.Regressor
	prior := regressor.Estimate{Mean: 1, Deviation: 2}
	BeforeEach(func() {
		r = &regressor.Regressor{}
		r.Add("a", prior)
		r.Add("b", prior)
	})
	mean := func(name string) float64 {
		estimate, ok := r.Estimate(name)
		Expect(ok).To(BeTrue())
		return estimate.Mean
	}

	It("separates two quantities that are mostly measured together", func() {
		random := rand.New(rand.NewPCG(1, 1))
		for range 200 {
			weights := map[string]float64{"a": 1, "b": 0.8 + 0.4*random.Float64()}
			r.Update(weights, regressor.Estimate{Mean: 3*weights["a"] + 0.5*weights["b"] + 0.05*random.NormFloat64(), Deviation: 0.05}, false)
		}
		Expect(mean("a")).To(BeNumerically("~", 3, 0.2))
		Expect(mean("b")).To(BeNumerically("~", 0.5, 0.2))
	})
	It("lowers the estimate of one quantity when a later measurement shows that another one caused the sum", func() {
		r.Update(map[string]float64{"a": 1, "b": 1}, regressor.Estimate{Mean: 6, Deviation: 0.1}, false)
		Expect(mean("a")).To(BeNumerically("~", 3, 0.1))
		r.Update(map[string]float64{"b": 1}, regressor.Estimate{Mean: 6, Deviation: 0.1}, false)
		Expect(mean("a")).To(BeNumerically("<", 0.3))
	})
	It("raises an estimate to a lower bound, but does not lower the estimate or reduce its deviation", func() {
		r.Update(map[string]float64{"a": 1}, regressor.Estimate{Mean: 0.5, Deviation: 0.1}, true)
		Expect(mean("a")).To(Equal(1.0), "the estimate was already above the bound")
		r.Update(map[string]float64{"a": 1}, regressor.Estimate{Mean: 4, Deviation: 0.1}, true)
		Expect(mean("a")).To(BeNumerically("~", 4, 0.1))
		estimate, _ := r.Estimate("a")
		Expect(estimate.Deviation).To(Equal(2.0), "a lower bound does not reduce the deviation")
	})
	It("limits the influence of one outlier", func() {
		for range 20 {
			r.Update(map[string]float64{"a": 1}, regressor.Estimate{Mean: 1, Deviation: 0.1}, false)
		}
		r.Update(map[string]float64{"a": 1}, regressor.Estimate{Mean: 100, Deviation: 0.1}, false)
		Expect(mean("a")).To(BeNumerically("<", 1.1))
	})
	It("does not let an estimate fall below 0", func() {
		r.Update(map[string]float64{"a": 1}, regressor.Estimate{Mean: -5, Deviation: 0.1}, false)
		Expect(mean("a")).To(BeZero())
	})
	It("moves an estimate towards its prior", func() {
		r.Update(map[string]float64{"a": 1}, regressor.Estimate{Mean: 3, Deviation: 0.1}, false)
		r.Revert("a", prior, 0.5, 0)
		Expect(mean("a")).To(BeNumerically("~", 2, 0.05))
		estimate, _ := r.Estimate("a")
		Expect(estimate.Deviation).To(BeNumerically("~", 1.73, 0.02))
		r.Revert("none", prior, 0.5, 0)
	})
	It("adds and removes quantities without changing the others", func() {
		r.Add("c", regressor.Estimate{Mean: 7, Deviation: 1})
		r.Add("a", regressor.Estimate{Mean: 9, Deviation: 1})
		Expect(mean("a")).To(Equal(1.0))
		r.Remove("b")
		r.Remove("none")
		Expect(r.Names()).To(Equal([]string{"a", "c"}))
		Expect(r.Len()).To(Equal(2))
		Expect(mean("c")).To(Equal(7.0))
		_, ok := r.Estimate("b")
		Expect(ok).To(BeFalse())
		r.Update(map[string]float64{"c": 1, "b": 1}, regressor.Estimate{Mean: 2, Deviation: 0.1}, false)
		Expect(mean("c")).To(BeNumerically("~", 4, 0.1), "the innovation is limited to three standard deviations")
	})
	It("ignores measurements of unknown quantities", func() {
		r.Update(map[string]float64{"x": 1}, regressor.Estimate{Mean: 2, Deviation: 0.1}, false)
		r.Update(nil, regressor.Estimate{}, false)
		Expect(mean("a")).To(Equal(1.0))
	})
})
