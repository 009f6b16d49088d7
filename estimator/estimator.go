// Package estimator learns how much kinds of work slow each other down on a shared VM, and how
// far the declared sizes and run times of tasks deviate from the actual ones.
package estimator

import (
	"maps"
	"math"
	"slices"
	"time"
)

// overflowIndex is the shared index of all kinds beyond Options.MaxKinds.
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
		// MaxKinds is the number of kinds with estimates of their own, by default 64. Further kinds
		// share one estimate.
		MaxKinds int
		// PriorMean is the interference that a pair of kinds is expected to have before it was
		// observed, by default 0.2. Interference is the increase of the logarithm of the victim's
		// latency per share of the VM's processors that the other kind uses.
		PriorMean float64
		// PriorDeviation is the standard deviation of the interference among pairs, by default 0.7.
		PriorDeviation float64
		// NoiseDeviation is the standard deviation of the logarithm of a single latency measurement,
		// by default 0.2.
		NoiseDeviation float64
		// MemoryQuantile is the quantile of the ratio of used to declared memory by which declared
		// memory is corrected, by default 0.95. It is high because a task that exceeds its memory is
		// killed, while a task with too few processors only runs slowly.
		MemoryQuantile float64
		// ProcessorAndRunTimeQuantile is the quantile of the ratio of used to declared values by which processors and run
		// times are corrected, by default 0.6.
		ProcessorAndRunTimeQuantile float64
		// PriorCompletions is the weight of the declared value, in completions: after this many, the
		// correction lies half way between the declared and the observed value. The default is 4.
		PriorCompletions float64
	}

	// Estimator models the interference of each pair of kinds, the load of each VM including tasks
	// placed since its last report, and the errors of declared sizes by kind. It is not safe for
	// concurrent use.
	Estimator struct {
		options     Options
		kindIndexes map[string]int
		pairs       []pair
		histograms  []kindHistograms
		loads       map[string]*vmLoad
	}

	// pair is the estimated interference of one kind with another. It is a normal distribution that
	// decays towards the prior while there are no observations.
	pair struct {
		mean, variance float64
		updatedAt      time.Time
	}

	// PairEstimate is the estimated interference of a kind with a victim kind. Mean and Deviation are
	// the mean and standard deviation of the increase of the logarithm of the victim's latency per
	// share of the VM's processors that the kind uses.
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

func setDefault(value *float64, defaultValue float64) {
	if *value == 0 {
		*value = defaultValue
	}
}

// Observe updates the estimates with one measurement: victim was slowed down by the factor slowdown
// while the other kinds used the given shares of the VM's processors. A slowdown that is not
// positive and finite is ignored.
func (e *Estimator) Observe(victim string, shares map[string]float64, slowdown float64) {
	if slowdown <= 0 || math.IsInf(slowdown, 0) || math.IsNaN(slowdown) {
		return
	}
	victimPairs := e.pairsOfVictim(e.assignIndex(victim))
	now := e.options.Clock.Now()
	residual := math.Log(slowdown)
	residualVariance := e.options.NoiseDeviation * e.options.NoiseDeviation
	// A fixed order of summation makes equal observations give bitwise equal estimates.
	kinds := slices.Sorted(maps.Keys(shares))
	for _, kind := range kinds {
		p, share := &victimPairs[e.assignIndex(kind)], shares[kind]
		*p = e.decay(*p, now)
		residual -= p.mean * share
		residualVariance += p.variance * share * share
	}
	// This is a Kalman update that attributes the residual to the pairs in proportion to their
	// variance and share. It neglects covariances, which keeps the cost linear in the number of kinds.
	for _, kind := range kinds {
		p, share := &victimPairs[e.assignIndex(kind)], shares[kind]
		gain := p.variance * share / residualVariance
		p.mean += gain * residual
		p.variance *= 1 - gain*share
	}
}

// decay moves the estimate towards the prior according to the time since its last update.
func (e *Estimator) decay(p pair, now time.Time) pair {
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

// Interference returns the expected increase of the logarithm of victim's latency per share of the
// VM's processors that kind uses.
func (e *Estimator) Interference(victim, kind string) float64 {
	return e.decay(e.pairsOfVictim(e.findIndex(victim))[e.findIndex(kind)], e.options.Clock.Now()).mean
}

// InterferenceDeviation returns the standard deviation of the estimate that Interference returns.
func (e *Estimator) InterferenceDeviation(victim, kind string) float64 {
	return math.Sqrt(e.decay(e.pairsOfVictim(e.findIndex(victim))[e.findIndex(kind)], e.options.Clock.Now()).variance)
}

// Estimates returns the estimates of all observed pairs, sorted by victim and kind.
func (e *Estimator) Estimates() []PairEstimate {
	var estimates []PairEstimate
	names, now := slices.Sorted(maps.Keys(e.kindIndexes)), e.options.Clock.Now()
	for _, victim := range names {
		for _, kind := range names {
			if p := e.pairsOfVictim(e.findIndex(victim))[e.findIndex(kind)]; !p.updatedAt.IsZero() {
				p = e.decay(p, now)
				estimates = append(estimates, PairEstimate{victim, kind, p.mean, math.Sqrt(p.variance)})
			}
		}
	}
	return estimates
}

// Restore replaces the estimates of the given pairs, for example by those of another process.
func (e *Estimator) Restore(pairs ...PairEstimate) {
	now := e.options.Clock.Now()
	for _, p := range pairs {
		e.pairsOfVictim(e.assignIndex(p.Victim))[e.assignIndex(p.Kind)] = pair{mean: p.Mean, variance: p.Deviation * p.Deviation, updatedAt: now}
	}
}

func (e *Estimator) pairsOfVictim(victimIndex int) []pair {
	indexCount := e.options.MaxKinds + 1
	return e.pairs[victimIndex*indexCount : (victimIndex+1)*indexCount]
}

// assignIndex returns the index of the kind. It assigns one to a new kind while there are fewer than
// Options.MaxKinds.
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

// findIndex returns the index of the kind without assigning one, so that queries don't count towards
// Options.MaxKinds.
func (e *Estimator) findIndex(kind string) int {
	if i, ok := e.kindIndexes[kind]; ok {
		return i
	}
	return overflowIndex
}
