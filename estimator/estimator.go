// Package estimator learns how much kinds of work slow each other down and how far declared sizes
// and run times are wrong.
package estimator

import (
	"maps"
	"math"
	"slices"
	"time"
)

// other is the index that all kinds beyond the limit share.
const other = 0

type (
	// Clock tells the time.
	Clock interface {
		Now() time.Time
	}

	// Options configures an Estimator. Zero fields take their defaults.
	Options struct {
		// Clock is the system clock by default.
		Clock Clock
		// HalfLife is the time in which an unconfirmed observation loses half its weight, by default 1 hour.
		HalfLife time.Duration
		// MaxKinds bounds the kinds told apart, by default 64. Further kinds share one entry.
		MaxKinds int
		// PriorMean is the expected growth of the logarithm of latency per share of the VM's
		// processors that another kind uses, by default 0.2.
		PriorMean float64
		// PriorDeviation is the standard deviation of Prior among pairs, by default 0.7.
		PriorDeviation float64
		// NoiseDeviation is the standard deviation of the logarithm of one latency report, by default 0.2.
		NoiseDeviation float64
		// MemoryQuantile of the used by the declared memory corrects memory, by default 0.95,
		// because a task that exceeds its memory is killed, while one short of processors is only slow.
		MemoryQuantile float64
		// Quantile corrects processors and run times, by default 0.6.
		Quantile float64
		// PriorCompletions is the number of completions at which a correction is half way between the
		// declared and the observed value, by default 4.
		PriorCompletions float64
	}

	// Estimator is a model of interference by pairs of kinds, with the commitments of each VM, and
	// of the errors of declared sizes by kind. It is not safe for concurrent use.
	Estimator struct {
		options Options
		kinds   map[string]int
		pairs   []pair
		sizes   []corrections
		vms     map[string]*vmLoad
	}

	// pair is the belief about the effect of one kind on another: a normal distribution that
	// relaxes towards the prior while nothing confirms it.
	pair struct {
		mean, variance float64
		updated        time.Time
	}

	// PairEstimate is what is known of the effect of a kind on a victim: the expected growth of the logarithm of its latency, and the standard
	// deviation of that.
	PairEstimate struct {
		Victim    string  `json:"victim"`
		Kind      string  `json:"kind"`
		Mean      float64 `json:"mean"`
		Deviation float64 `json:"deviation"`
	}

	systemClock struct{}
)

func (systemClock) Now() time.Time { return time.Now() }

// New returns an Estimator that has learned nothing.
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
	setDefault(&options.Quantile, 0.6)
	setDefault(&options.PriorCompletions, 4)
	size := options.MaxKinds + 1
	e := &Estimator{
		options: options, kinds: map[string]int{}, vms: map[string]*vmLoad{},
		pairs: make([]pair, size*size), sizes: make([]corrections, size),
	}
	for i := range e.pairs {
		e.pairs[i] = pair{mean: options.PriorMean, variance: options.PriorDeviation * options.PriorDeviation}
	}
	return e
}

func setDefault(value *float64, otherwise float64) {
	if *value == 0 {
		*value = otherwise
	}
}

// Observe learns from one report: victim ran slowed down by the factor slowdown while the other
// kinds used the given shares of the VM's processors. A slowdown that is not positive is ignored.
func (e *Estimator) Observe(victim string, shares map[string]float64, slowdown float64) {
	if slowdown <= 0 || math.IsInf(slowdown, 0) || math.IsNaN(slowdown) {
		return
	}
	row := e.row(e.index(victim))
	now := e.options.Clock.Now()
	residual := math.Log(slowdown)
	spread := e.options.NoiseDeviation * e.options.NoiseDeviation
	// The order is fixed so that equal reports give bitwise equal estimates.
	present := slices.Sorted(maps.Keys(shares))
	for _, kind := range present {
		p, share := &row[e.index(kind)], shares[kind]
		*p = e.relax(*p, now)
		residual -= p.mean * share
		spread += p.variance * share * share
	}
	// The residual is attributed to the pairs in proportion to their uncertainty and share (a
	// Kalman update that neglects covariances, which keeps the cost linear in the kinds).
	for _, kind := range present {
		p, share := &row[e.index(kind)], shares[kind]
		gain := p.variance * share / spread
		p.mean += gain * residual
		p.variance *= 1 - gain*share
	}
}

// relax moves the belief towards the prior by the time since its last update.
func (e *Estimator) relax(p pair, now time.Time) pair {
	if p.updated.IsZero() {
		p.updated = now
	}
	elapsed := now.Sub(p.updated)
	if elapsed <= 0 {
		return p
	}
	keep := math.Exp2(-float64(elapsed) / float64(e.options.HalfLife))
	prior := e.options.PriorDeviation * e.options.PriorDeviation
	return pair{
		mean:     e.options.PriorMean + (p.mean-e.options.PriorMean)*keep,
		variance: prior + (p.variance-prior)*keep*keep,
		updated:  now,
	}
}

// Interference returns the expected growth of the logarithm of victim's latency per share of the VM's
// processors that kind uses.
func (e *Estimator) Interference(victim, kind string) float64 {
	return e.relax(e.row(e.find(victim))[e.find(kind)], e.options.Clock.Now()).mean
}

// InterferenceDeviation returns the standard deviation of the value that Interference returns.
func (e *Estimator) InterferenceDeviation(victim, kind string) float64 {
	return math.Sqrt(e.relax(e.row(e.find(victim))[e.find(kind)], e.options.Clock.Now()).variance)
}

// Estimates returns the pairs that were observed, in the order of their names.
func (e *Estimator) Estimates() []PairEstimate {
	var known []PairEstimate
	names, now := slices.Sorted(maps.Keys(e.kinds)), e.options.Clock.Now()
	for _, victim := range names {
		for _, kind := range names {
			if p := e.row(e.find(victim))[e.find(kind)]; !p.updated.IsZero() {
				p = e.relax(p, now)
				known = append(known, PairEstimate{victim, kind, p.mean, math.Sqrt(p.variance)})
			}
		}
	}
	return known
}

// Restore replaces what is known of the pairs, for example with what another process has learned.
func (e *Estimator) Restore(pairs ...PairEstimate) {
	now := e.options.Clock.Now()
	for _, p := range pairs {
		e.row(e.index(p.Victim))[e.index(p.Kind)] = pair{mean: p.Mean, variance: p.Deviation * p.Deviation, updated: now}
	}
}

func (e *Estimator) row(victim int) []pair {
	size := e.options.MaxKinds + 1
	return e.pairs[victim*size : (victim+1)*size]
}

// index returns the index of the kind and assigns one while the limit permits.
func (e *Estimator) index(kind string) int {
	i, ok := e.kinds[kind]
	switch {
	case ok:
		return i
	case len(e.kinds) >= e.options.MaxKinds:
		return other
	}
	i = len(e.kinds) + 1
	e.kinds[kind] = i
	return i
}

// find returns the index of the kind without assigning one, so that a query cannot use up the limit.
func (e *Estimator) find(kind string) int {
	if i, ok := e.kinds[kind]; ok {
		return i
	}
	return other
}
