// Package regressor estimates named quantities from measurements of weighted sums of them, as a Kalman filter does.
package regressor

import (
	"math"
	"slices"
)

// surprise bounds what one measurement changes, in standard deviations, so that an outlier does not outweigh many others.
const surprise = 3

type (
	// Regressor holds the estimates, a normal distribution. No quantity is below 0. The zero value has no quantities. It is not safe
	// for concurrent use. Its cost grows with the square of the number of quantities.
	Regressor struct {
		names      map[string]int
		order      []string
		means      []float64
		covariance [][]float64
	}

	// Estimate is an estimate of one quantity with its standard deviation.
	Estimate struct{ Mean, Deviation float64 }
)

// Len returns the number of quantities.
func (r *Regressor) Len() int { return len(r.order) }

// Names returns the quantities in the order of their addition.
func (r *Regressor) Names() []string { return slices.Clone(r.order) }

// Add adds a quantity that is independent of the others. One that exists stays as it is.
func (r *Regressor) Add(name string, b Estimate) {
	if _, ok := r.names[name]; ok {
		return
	}
	if r.names == nil {
		r.names = map[string]int{}
	}
	n := len(r.order)
	r.names[name] = n
	r.order = append(r.order, name)
	r.means = append(r.means, b.Mean)
	for row := range r.covariance {
		r.covariance[row] = append(r.covariance[row], 0)
	}
	r.covariance = append(r.covariance, make([]float64, n+1))
	r.covariance[n][n] = b.Deviation * b.Deviation
}

// Remove forgets a quantity. What was learned of the others by it stays.
func (r *Regressor) Remove(name string) {
	n, ok := r.names[name]
	if !ok {
		return
	}
	delete(r.names, name)
	r.order = slices.Delete(r.order, n, n+1)
	r.means = slices.Delete(r.means, n, n+1)
	r.covariance = slices.Delete(r.covariance, n, n+1)
	for row := range r.covariance {
		r.covariance[row] = slices.Delete(r.covariance[row], n, n+1)
	}
	for position, other := range r.order {
		r.names[other] = position
	}
}

// Estimate returns the estimate of a quantity, and false for one that does not exist.
func (r *Regressor) Estimate(name string) (Estimate, bool) {
	n, ok := r.names[name]
	if !ok {
		return Estimate{}, false
	}
	return Estimate{r.means[n], math.Sqrt(r.covariance[n][n])}, true
}

// Revert moves a quantity towards a usual value: it keeps the part of its difference, and the rest of its variance is that of usual.
func (r *Regressor) Revert(name string, usual Estimate, keep, drift float64) {
	n, ok := r.names[name]
	if !ok {
		return
	}
	r.means[n] = usual.Mean + (r.means[n]-usual.Mean)*keep
	for other := range r.order {
		r.covariance[n][other] *= keep
		r.covariance[other][n] *= keep
	}
	r.covariance[n][n] += (1-keep*keep)*usual.Deviation*usual.Deviation + drift*drift
}

// Observe takes a measurement of the sum of the quantities with the weights. With bound, the sum is only known to be at least that high.
func (r *Regressor) Observe(weights map[string]float64, measured Estimate, bound bool) {
	products, mean, variance := r.project(weights)
	total := variance + measured.Deviation*measured.Deviation
	if total <= 0 || bound && mean >= measured.Mean {
		return
	}
	most := surprise * math.Sqrt(total)
	difference := min(max(measured.Mean-mean, -most), most)
	for n, p := range products {
		r.means[n] = max(r.means[n]+p/total*difference, 0)
	}
	if bound {
		// The difference may be larger, so the estimates are not surer than before.
		return
	}
	for n, p := range products {
		if p == 0 {
			continue
		}
		for other, q := range products {
			r.covariance[n][other] -= p * q / total
		}
		r.covariance[n][n] = max(r.covariance[n][n], 0)
	}
}

// project returns the covariances of all quantities with the weighted sum, and the mean and variance of the sum.
func (r *Regressor) project(weights map[string]float64) (products []float64, mean, variance float64) {
	products = make([]float64, len(r.order))
	for name, w := range weights {
		n, ok := r.names[name]
		if !ok || w == 0 {
			continue
		}
		mean += w * r.means[n]
		for other, c := range r.covariance[n] {
			products[other] += w * c
		}
	}
	for name, w := range weights {
		if n, ok := r.names[name]; ok {
			variance += w * products[n]
		}
	}
	return products, mean, max(variance, 0)
}
