// Package regressor estimates named quantities from measurements of their weighted sums. It is a Kalman filter.
package regressor

import (
	"math"
	"slices"
)

// maxInnovation limits the innovation, the difference between a measurement and its prediction, in standard deviations, so that an outlier
// does not outweigh many other measurements.
const maxInnovation = 3

type (
	// Regressor holds the joint estimate of all quantities, a multivariate normal distribution. No mean is below 0. The zero value has no
	// quantities. It is not safe for concurrent use. The time that Update takes grows with the square of the number of quantities.
	Regressor struct {
		// indexes holds the position of each quantity in names, in means and in the rows and columns of covarianceMatrix.
		indexes          map[string]int
		names            []string
		means            []float64
		covarianceMatrix [][]float64
	}

	// Estimate is the mean and the standard deviation of an estimated or measured quantity.
	Estimate struct{ Mean, Deviation float64 }
)

// Len returns the number of quantities.
func (r *Regressor) Len() int { return len(r.names) }

// Names returns the names of the quantities in the order in which they were added.
func (r *Regressor) Names() []string { return slices.Clone(r.names) }

// Add adds a quantity with a prior estimate, independent of the other quantities. A quantity that already exists keeps its estimate.
func (r *Regressor) Add(name string, prior Estimate) {
	if _, ok := r.indexes[name]; ok {
		return
	}
	if r.indexes == nil {
		r.indexes = map[string]int{}
	}
	n := len(r.names)
	r.indexes[name] = n
	r.names = append(r.names, name)
	r.means = append(r.means, prior.Mean)
	for row := range r.covarianceMatrix {
		r.covarianceMatrix[row] = append(r.covarianceMatrix[row], 0)
	}
	r.covarianceMatrix = append(r.covarianceMatrix, make([]float64, n+1))
	r.covarianceMatrix[n][n] = prior.Deviation * prior.Deviation
}

// Remove removes a quantity. The estimates of the other quantities do not change.
func (r *Regressor) Remove(name string) {
	n, ok := r.indexes[name]
	if !ok {
		return
	}
	delete(r.indexes, name)
	r.names = slices.Delete(r.names, n, n+1)
	r.means = slices.Delete(r.means, n, n+1)
	r.covarianceMatrix = slices.Delete(r.covarianceMatrix, n, n+1)
	for row := range r.covarianceMatrix {
		r.covarianceMatrix[row] = slices.Delete(r.covarianceMatrix[row], n, n+1)
	}
	for position, other := range r.names {
		r.indexes[other] = position
	}
}

// Estimate returns the estimate of a quantity, and false if the quantity does not exist.
func (r *Regressor) Estimate(name string) (Estimate, bool) {
	n, ok := r.indexes[name]
	if !ok {
		return Estimate{}, false
	}
	return Estimate{r.means[n], math.Sqrt(r.covarianceMatrix[n][n])}, true
}

// Revert moves the estimate of a quantity towards a prior estimate. It multiplies the difference from the prior's mean and the covariances with
// other quantities by decayFactor, which is between 0 and 1, and the variance by the square of decayFactor. It replaces the lost part of the
// variance by the same part of the prior's variance. Then it adds the variance of a random change whose standard deviation is drift.
func (r *Regressor) Revert(name string, prior Estimate, decayFactor, drift float64) {
	n, ok := r.indexes[name]
	if !ok {
		return
	}
	r.means[n] = prior.Mean + (r.means[n]-prior.Mean)*decayFactor
	for other := range r.names {
		r.covarianceMatrix[n][other] *= decayFactor
		r.covarianceMatrix[other][n] *= decayFactor
	}
	r.covarianceMatrix[n][n] += (1-decayFactor*decayFactor)*prior.Deviation*prior.Deviation + drift*drift
}

// Update updates the estimates with a measurement of a weighted sum of the quantities. Unknown quantities are ignored. If lowerBound is set,
// the measurement only shows that the sum is at least as high as the mean of measured.
func (r *Regressor) Update(weights map[string]float64, measured Estimate, lowerBound bool) {
	covariances, mean, variance := r.project(weights)
	totalVariance := variance + measured.Deviation*measured.Deviation
	if totalVariance <= 0 || lowerBound && mean >= measured.Mean {
		return
	}
	maxDifference := maxInnovation * math.Sqrt(totalVariance)
	innovation := min(max(measured.Mean-mean, -maxDifference), maxDifference)
	for n, covariance := range covariances {
		r.means[n] = max(r.means[n]+covariance/totalVariance*innovation, 0)
	}
	if lowerBound {
		// The sum may be even higher, so the measurement does not reduce the variances.
		return
	}
	for n, covariance := range covariances {
		if covariance == 0 {
			continue
		}
		for other, otherCovariance := range covariances {
			r.covarianceMatrix[n][other] -= covariance * otherCovariance / totalVariance
		}
		r.covarianceMatrix[n][n] = max(r.covarianceMatrix[n][n], 0)
	}
}

// project returns the covariance of each quantity with the weighted sum of the quantities, and the mean and the variance of that sum.
func (r *Regressor) project(weights map[string]float64) (covariances []float64, mean, variance float64) {
	covariances = make([]float64, len(r.names))
	for name, w := range weights {
		n, ok := r.indexes[name]
		if !ok || w == 0 {
			continue
		}
		mean += w * r.means[n]
		for other, c := range r.covarianceMatrix[n] {
			covariances[other] += w * c
		}
	}
	for name, w := range weights {
		if n, ok := r.indexes[name]; ok {
			variance += w * covariances[n]
		}
	}
	return covariances, mean, max(variance, 0)
}
