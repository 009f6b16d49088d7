package estimator

import (
	"math"
	"time"

	"bamboohook/resource"
)

// Corrections are factors from 1/20 to 20 in steps of 5%: the declared values are known to be
// wrong by factors of 0.2 to 5, and run times have a heavy tail beyond.
const (
	maxFactor  = 20
	factorStep = 1.05
)

var factorCount = 2*int(math.Ceil(math.Log(maxFactor)/math.Log(factorStep))) + 1

type (
	// Demand is what a task needs.
	Demand struct {
		Size    resource.Amount `json:"size"`
		RunTime time.Duration   `json:"run-time"`
	}

	corrections struct {
		processors, memory, runTime factors
	}

	// factors is a histogram of used by declared values in which weights decay with age.
	factors struct {
		weights []float64
		total   float64
		updated time.Time
	}
)

// RecordCompletion learns from a finished task: what was declared for it and what it used at its peak.
// Dimensions that are zero on either side are ignored.
func (e *Estimator) RecordCompletion(kind string, declared, used Demand) {
	c := &e.sizes[e.index(kind)]
	now := e.options.Clock.Now()
	c.processors.add(float64(used.Size.MilliProcessors)/float64(declared.Size.MilliProcessors), now, e.options.HalfLife)
	c.memory.add(float64(used.Size.MemoryBytes)/float64(declared.Size.MemoryBytes), now, e.options.HalfLife)
	c.runTime.add(float64(used.RunTime)/float64(declared.RunTime), now, e.options.HalfLife)
}

// Correct returns the demand expected of a task of the kind. Accelerators are never corrected,
// because tasks use exactly those assigned. With no completions it returns the declared demand.
func (e *Estimator) Correct(kind string, declared Demand) Demand {
	c := &e.sizes[e.find(kind)]
	return Demand{
		Size: resource.Amount{
			MilliProcessors: int64(float64(declared.Size.MilliProcessors) * c.processors.factor(e.options.Quantile, e.options.PriorCompletions)),
			MemoryBytes:     int64(float64(declared.Size.MemoryBytes) * c.memoryFactor(e.options)),
			Accelerators:    declared.Size.Accelerators,
		},
		RunTime: time.Duration(float64(declared.RunTime) * c.runTime.factor(e.options.Quantile, e.options.PriorCompletions)),
	}
}

// memoryFactor shrinks only a factor that lowers the declared memory. Shrinking one that raises it
// would place it below what tasks were seen to use, and they would be killed.
func (c *corrections) memoryFactor(options Options) float64 {
	return max(c.memory.factor(options.MemoryQuantile, options.PriorCompletions), c.memory.factor(options.MemoryQuantile, 0))
}

func (f *factors) add(factor float64, now time.Time, halfLife time.Duration) {
	if math.IsNaN(factor) || math.IsInf(factor, 0) || factor <= 0 {
		return
	}
	if f.weights == nil {
		f.weights = make([]float64, factorCount)
		f.updated = now
	}
	if elapsed := now.Sub(f.updated); elapsed > 0 {
		keep := math.Exp2(-float64(elapsed) / float64(halfLife))
		for i := range f.weights {
			f.weights[i] *= keep
		}
		f.total *= keep
		f.updated = now
	}
	i := int(math.Ceil(math.Log(factor)/math.Log(factorStep))) + factorCount/2
	f.weights[min(max(i, 0), factorCount-1)]++
	f.total++
}

// factor returns the quantile, shrunk towards 1 where few completions were seen.
func (f *factors) factor(quantile, thin float64) float64 {
	if f.total == 0 {
		return 1
	}
	sum, i := 0.0, 0
	for ; i < factorCount-1; i++ {
		if sum += f.weights[i]; sum >= quantile*f.total {
			break
		}
	}
	logarithm := float64(i-factorCount/2) * math.Log(factorStep)
	return math.Exp(logarithm * f.total / (f.total + thin))
}
