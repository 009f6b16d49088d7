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

// overflowIndex is the index that all kinds beyond Options.MaxKinds share.
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
		// HalfLife is the time after which an observation has lost half its weight, by default 1 hour.
		HalfLife time.Duration
		// MaxKinds is the number of kinds that have estimates of their own, by default 64. All further
		// kinds share one estimate.
		MaxKinds int
		// PriorMean is the expected interference of a kind with a victim as long as no observation
		// of the two exists, by default 0.2. The victim is a latency-critical service on the same
		// VM. Interference is the increase of the logarithm of the victim's latency, divided by the
		// fraction of the VM's processors that the kind uses.
		PriorMean float64
		// PriorDeviation is the standard deviation of the expected interference, by default 0.7.
		PriorDeviation float64
		// NoiseDeviation is the standard deviation of the logarithm of a single latency measurement,
		// by default 0.2.
		NoiseDeviation float64
		// MemoryQuantile selects the factor by which declared memory is multiplied: this quantile of
		// the ratios of used to declared memory, by default 0.95. It is high because a task that
		// exceeds its memory is killed, while a task with too few processors only runs slowly.
		MemoryQuantile float64
		// ProcessorAndRunTimeQuantile is the same for declared processors and run times, by default
		// 0.6.
		ProcessorAndRunTimeQuantile float64
		// PriorCompletions is the weight of the declared value, as a number of completed tasks, by
		// default 4. After that many completions, the logarithm of the correction factor is half the
		// logarithm of the quantile of the observed ratios.
		PriorCompletions float64
	}

	// Estimator models the interference of each kind with each victim, the load of each VM
	// including tasks placed since its last report, and the errors of the declared demands of each
	// kind. It is not safe for concurrent use.
	Estimator struct {
		options Options
		// kindIndexes maps each kind to its index in histograms and in the rows of pairs.
		kindIndexes map[string]int
		// pairs is a square matrix with one row for each victim and one column for each kind.
		pairs      []pair
		histograms []kindHistograms
		loads      map[string]*vmLoad
	}

	// pair is the estimated interference of one kind with one victim. The estimate is a normal
	// distribution that decays towards the prior while there are no observations.
	pair struct {
		mean, variance float64
		updatedAt      time.Time
	}

	// PairEstimate is the estimated interference of a kind with a victim. Mean and Deviation are the
	// mean and standard deviation of the interference, which is defined at Options.PriorMean.
	PairEstimate struct {
		Victim    string  `json:"victim"`
		Kind      string  `json:"kind"`
		Mean      float64 `json:"mean"`
		Deviation float64 `json:"deviation"`
	}

	systemClock struct{}
)

func (systemClock) Now() time.Time { return time.Now() }

// New returns an Estimator without observations.
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

// setDefault sets a value that is zero to defaultValue.
func setDefault(value *float64, defaultValue float64) {
	if *value == 0 {
		*value = defaultValue
	}
}

// Observe updates the estimates with one measurement: the latency of the service victim was
// multiplied by slowdown while each kind in shares used that fraction of the VM's processors. A
// slowdown that is not positive and finite is ignored.
func (e *Estimator) Observe(victim string, shares map[string]float64, slowdown float64) {
	if slowdown <= 0 || math.IsInf(slowdown, 0) || math.IsNaN(slowdown) {
		return
	}
	victimPairs := e.pairsOfVictim(e.assignIndex(victim))
	now := e.options.Clock.Now()
	residual := math.Log(slowdown)
	residualVariance := e.options.NoiseDeviation * e.options.NoiseDeviation
	// Floating-point sums depend on the order, so the kinds are sorted. Equal observations then give
	// bitwise equal estimates.
	kinds := slices.Sorted(maps.Keys(shares))
	for _, kind := range kinds {
		p, share := &victimPairs[e.assignIndex(kind)], shares[kind]
		*p = e.decayed(*p, now)
		residual -= p.mean * share
		residualVariance += p.variance * share * share
	}
	// This is a Kalman update. It attributes the residual, which is the part of the slowdown that the
	// estimates do not explain, to the pairs in proportion to their variance and share. It neglects
	// covariances, which keeps the cost linear in the number of kinds.
	for _, kind := range kinds {
		p, share := &victimPairs[e.assignIndex(kind)], shares[kind]
		gain := p.variance * share / residualVariance
		p.mean += gain * residual
		p.variance *= 1 - gain*share
	}
}

// decay returns the estimate after it has decayed towards the prior from its last update until now.
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

// Interference returns the expected interference of kind with victim, as defined at
// Options.PriorMean.
func (e *Estimator) Interference(victim, kind string) float64 {
	return e.decayed(e.pairsOfVictim(e.findIndex(victim))[e.findIndex(kind)], e.options.Clock.Now()).mean
}

// InterferenceDeviation returns the standard deviation of the estimate that Interference returns.
func (e *Estimator) InterferenceDeviation(victim, kind string) float64 {
	return math.Sqrt(e.decayed(e.pairsOfVictim(e.findIndex(victim))[e.findIndex(kind)], e.options.Clock.Now()).variance)
}

// Estimates returns the estimates of all observed pairs, sorted by victim and kind.
func (e *Estimator) Estimates() []PairEstimate {
	var estimates []PairEstimate
	names, now := slices.Sorted(maps.Keys(e.kindIndexes)), e.options.Clock.Now()
	for _, victim := range names {
		for _, kind := range names {
			if p := e.pairsOfVictim(e.findIndex(victim))[e.findIndex(kind)]; !p.updatedAt.IsZero() {
				p = e.decayed(p, now)
				estimates = append(estimates, PairEstimate{victim, kind, p.mean, math.Sqrt(p.variance)})
			}
		}
	}
	return estimates
}

// Restore replaces the estimates of the given pairs, for example by those of another process. They
// count as updated now.
func (e *Estimator) Restore(pairs ...PairEstimate) {
	now := e.options.Clock.Now()
	for _, p := range pairs {
		e.pairsOfVictim(e.assignIndex(p.Victim))[e.assignIndex(p.Kind)] = pair{mean: p.Mean, variance: p.Deviation * p.Deviation, updatedAt: now}
	}
}

// pairsOfVictim returns the pairs of the victim with all kinds, by kind index.
func (e *Estimator) pairsOfVictim(victimIndex int) []pair {
	indexCount := e.options.MaxKinds + 1
	return e.pairs[victimIndex*indexCount : (victimIndex+1)*indexCount]
}

// assignIndex returns the index of the kind. A new kind gets an index of its own while fewer than
// Options.MaxKinds kinds have one, and overflowIndex afterwards.
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
// that queries do not count towards Options.MaxKinds.
func (e *Estimator) findIndex(kind string) int {
	if i, ok := e.kindIndexes[kind]; ok {
		return i
	}
	return overflowIndex
}
