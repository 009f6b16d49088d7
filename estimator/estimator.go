// Package estimator learns how much kinds of work slow each other down on a shared VM, and how
// far the declared sizes and run times of tasks deviate from the actual ones. A kind is the name of
// a latency-critical service or of a sort of batch task.
package estimator

import (
	"maps"
	"math"
	"slices"
	"time"
)

// overflowIndex is the kind index that stands for all kinds without an index of their own, because
// Options.MaxKinds other kinds were seen before or because the kind was never seen.
const overflowIndex = 0

type (
	// Clock returns the current time.
	Clock interface {
		Now() time.Time
	}

	// Options configures an Estimator. Zero fields take their defaults.
	Options struct {
		// Clock is the system clock by default.
		Clock Clock
		// HalfLife is the time in which an observation loses half of its weight in the estimates, by
		// default 1 hour.
		HalfLife time.Duration
		// MaxKinds is the maximum number of kinds that have estimates of their own, by default 64.
		// All further kinds are treated as one kind.
		MaxKinds int
		// PriorMean is the interference that is expected of a kind with a victim before any
		// observation of the two, by default 0.2.
		PriorMean float64
		// PriorDeviation is the standard deviation of the interference of a kind with a victim before any
		// observation of the two, by default 0.7.
		PriorDeviation float64
		// NoiseDeviation is the standard deviation of the measurement error of the logarithm of a
		// latency, by default 0.2.
		NoiseDeviation float64
		// MemoryQuantile selects the factor by which Correct multiplies the declared memory of a
		// task, by default 0.95. The factor is this quantile of the ratios of used to declared
		// memory among completed tasks of the kind. It is high because a task that exceeds its
		// memory is killed, while a task with too few processors only runs slowly.
		MemoryQuantile float64
		// ProcessorAndRunTimeQuantile selects the factors by which Correct multiplies the declared
		// processors and the declared run time of a task, by default 0.6. Each factor is this
		// quantile of the ratios of the actual to the declared value among completed tasks of the
		// kind.
		ProcessorAndRunTimeQuantile float64
		// PriorCompletions limits how far Correct departs from a declared value while few tasks of
		// the kind have completed, by default 4. After n completions, Correct multiplies the value
		// by the quantile of the observed ratios raised to the power n/(n+PriorCompletions). Older
		// completions count less than 1 in n. If the quantile of the memory
		// ratios is above 1, the declared memory is multiplied by the quantile itself, without
		// that power.
		PriorCompletions float64
	}

	// Estimator estimates the interference of each kind with each latency-critical service, the
	// load of each VM including the tasks placed since its last report, and by which factors tasks
	// of each kind deviate from their declared sizes and run times. The interference of a kind with a
	// victim, a latency-critical service on the same VM, is the increase of the logarithm of the
	// victim's latency that the kind causes, divided by the fraction of the VM's processors that the
	// kind uses. Estimator is not safe for concurrent use.
	Estimator struct {
		options Options
		// kindIndexes maps each kind to its index in histograms, which is also the number of its row and of
		// its column in pairs.
		kindIndexes map[string]int
		// pairs is a square matrix of the interference of kinds (columns) with victims (rows), stored row
		// by row.
		pairs      []pair
		histograms []kindHistograms
		loads      map[string]*vmLoad
	}

	// pair is the estimated interference of one kind with one victim, as a normal distribution.
	// mean and variance are as of updatedAt. From then on they decay towards those that Options.PriorMean
	// and Options.PriorDeviation give. updatedAt is zero before the first observation.
	pair struct {
		mean, variance float64
		updatedAt      time.Time
	}

	// PairEstimate is the estimated interference of a kind with a victim, which is a
	// latency-critical service. Mean and Deviation are the mean and standard deviation of the
	// interference, which is defined at Estimator.
	PairEstimate struct {
		Victim    string  `json:"victim"`
		Kind      string  `json:"kind"`
		Mean      float64 `json:"mean"`
		Deviation float64 `json:"deviation"`
	}

	systemClock struct{}
)

func (systemClock) Now() time.Time { return time.Now() }

// New returns an Estimator without any observation.
func New(options Options) *Estimator {
	if options.Clock == nil {
		options.Clock = systemClock{}
	}
	if options.HalfLife <= 0 {
		options.HalfLife = time.Hour
	}
	if options.MaxKinds <= 0 {
		options.MaxKinds = 64
	}
	setDefault(&options.PriorMean, 0.2)
	setDefault(&options.PriorDeviation, 0.7)
	setDefault(&options.NoiseDeviation, 0.2)
	setDefault(&options.MemoryQuantile, 0.95)
	setDefault(&options.ProcessorAndRunTimeQuantile, 0.6)
	setDefault(&options.PriorCompletions, 4)
	indexCount := options.MaxKinds + 1
	e := &Estimator{
		options: options, kindIndexes: map[string]int{}, loads: map[string]*vmLoad{},
		pairs: make([]pair, indexCount*indexCount), histograms: make([]kindHistograms, indexCount),
	}
	for i := range e.pairs {
		e.pairs[i] = pair{mean: options.PriorMean, variance: options.PriorDeviation * options.PriorDeviation}
	}
	return e
}

// setDefault sets *value to defaultValue if it is zero.
func setDefault(value *float64, defaultValue float64) {
	if *value == 0 {
		*value = defaultValue
	}
}

// Observe updates the estimates with one measurement: the latency of the service victim was
// multiplied by slowdown while each kind used the fraction shares[kind] of the VM's processors. A
// slowdown that is not positive and finite is ignored.
func (e *Estimator) Observe(victim string, shares map[string]float64, slowdown float64) {
	if slowdown <= 0 || math.IsInf(slowdown, 0) || math.IsNaN(slowdown) {
		return
	}
	victimPairs := e.pairsOfVictim(e.assignIndex(victim))
	now := e.options.Clock.Now()
	residual := math.Log(slowdown)
	residualVariance := e.options.NoiseDeviation * e.options.NoiseDeviation
	// Floating-point sums depend on the order of their terms. The kinds are sorted, so that equal
	// observations give bitwise equal estimates.
	kinds := slices.Sorted(maps.Keys(shares))
	for _, kind := range kinds {
		p, share := &victimPairs[e.assignIndex(kind)], shares[kind]
		*p = e.decayed(*p, now)
		residual -= p.mean * share
		residualVariance += p.variance * share * share
	}
	// This is a Kalman update. It attributes the residual, which is the part of the logarithm of
	// the slowdown that the estimates do not explain, to the kinds in proportion to the variance of
	// their estimate and to their share. It neglects covariances, which keeps the cost linear in
	// the number of kinds.
	for _, kind := range kinds {
		p, share := &victimPairs[e.assignIndex(kind)], shares[kind]
		gain := p.variance * share / residualVariance
		p.mean += gain * residual
		p.variance *= 1 - gain*share
	}
}

// decayed returns a copy of the estimate p that has decayed towards Options.PriorMean and
// Options.PriorDeviation for the time from its last update until now.
func (e *Estimator) decayed(p pair, now time.Time) pair {
	if p.updatedAt.IsZero() {
		p.updatedAt = now
	}
	elapsed := now.Sub(p.updatedAt)
	if elapsed <= 0 {
		return p
	}
	retainedWeight := math.Exp2(-float64(elapsed) / float64(e.options.HalfLife))
	priorVariance := e.options.PriorDeviation * e.options.PriorDeviation
	return pair{
		mean:      e.options.PriorMean + (p.mean-e.options.PriorMean)*retainedWeight,
		variance:  priorVariance + (p.variance-priorVariance)*retainedWeight*retainedWeight,
		updatedAt: now,
	}
}

// Interference returns the expected interference of kind with victim. Estimator defines interference.
func (e *Estimator) Interference(victim, kind string) float64 {
	return e.decayed(e.pairsOfVictim(e.findIndex(victim))[e.findIndex(kind)], e.options.Clock.Now()).mean
}

// InterferenceDeviation returns the standard deviation of the estimate that Interference returns.
func (e *Estimator) InterferenceDeviation(victim, kind string) float64 {
	return math.Sqrt(e.decayed(e.pairsOfVictim(e.findIndex(victim))[e.findIndex(kind)], e.options.Clock.Now()).variance)
}

// Estimates returns the interference estimates of all pairs of a victim and a kind that were
// observed or restored, sorted by victim and then by kind. Kinds beyond Options.MaxKinds are left
// out.
func (e *Estimator) Estimates() []PairEstimate {
	var estimates []PairEstimate
	kinds, now := slices.Sorted(maps.Keys(e.kindIndexes)), e.options.Clock.Now()
	for _, victim := range kinds {
		for _, kind := range kinds {
			if p := e.pairsOfVictim(e.findIndex(victim))[e.findIndex(kind)]; !p.updatedAt.IsZero() {
				p = e.decayed(p, now)
				estimates = append(estimates, PairEstimate{victim, kind, p.mean, math.Sqrt(p.variance)})
			}
		}
	}
	return estimates
}

// Restore replaces the interference estimates of the given pairs of a victim and a kind, for
// example by those of another process. The estimates decay from the time of the call on.
func (e *Estimator) Restore(pairs ...PairEstimate) {
	now := e.options.Clock.Now()
	for _, p := range pairs {
		e.pairsOfVictim(e.assignIndex(p.Victim))[e.assignIndex(p.Kind)] = pair{mean: p.Mean, variance: p.Deviation * p.Deviation, updatedAt: now}
	}
}

// pairsOfVictim returns the row of e.pairs for the victim with the given index: the interference of
// all kinds with the victim, by kind index.
func (e *Estimator) pairsOfVictim(victimIndex int) []pair {
	indexCount := e.options.MaxKinds + 1
	return e.pairs[victimIndex*indexCount : (victimIndex+1)*indexCount]
}

// assignIndex returns the index of the kind. A new kind is assigned an index of its own while fewer
// than Options.MaxKinds kinds have one. After that, assignIndex returns overflowIndex for new
// kinds.
func (e *Estimator) assignIndex(kind string) int {
	i, ok := e.kindIndexes[kind]
	switch {
	case ok:
		return i
	case len(e.kindIndexes) >= e.options.MaxKinds:
		return overflowIndex
	}
	i = len(e.kindIndexes) + 1
	e.kindIndexes[kind] = i
	return i
}

// findIndex returns the index of the kind, or overflowIndex if it has none. It assigns no index, so
// that kinds that are only queried do not count towards Options.MaxKinds.
func (e *Estimator) findIndex(kind string) int {
	if i, ok := e.kindIndexes[kind]; ok {
		return i
	}
	return overflowIndex
}
