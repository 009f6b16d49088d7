package estimator

import (
	"math"
	"time"

	"bamboohook/resource"
)

// Ratios of used to declared values are counted in buckets from 1/20 to 20, each 5% wide. Declared
// values are wrong by factors of 0.2 to 5, and run times have a heavy tail beyond that.
const (
	maxRatio  = 20
	ratioStep = 1.05
)

var bucketCount = 2*int(math.Ceil(math.Log(maxRatio)/math.Log(ratioStep))) + 1

type (
	// Demand is the size and the run time of a task.
	Demand struct {
		Size    resource.Amount `json:"size"`
		RunTime time.Duration   `json:"run-time"`
	}

	corrections struct {
		processors, memory, runTime ratioHistogram
	}

	// ratioHistogram is a histogram of the ratios of used to declared values. Weights decay with age.
	ratioHistogram struct {
		weights []float64
		total   float64
		updated time.Time
	}
)

// RecordCompletion adds a finished task of the kind, with its declared demand and its peak usage.
// Dimensions that are zero in either are ignored.
func (e *Estimator) RecordCompletion(kind string, declared, used Demand) {
	c := &e.corrections[e.assignIndex(kind)]
	now := e.options.Clock.Now()
	c.processors.add(float64(used.Size.MilliProcessors)/float64(declared.Size.MilliProcessors), now, e.options.HalfLife)
	c.memory.add(float64(used.Size.MemoryBytes)/float64(declared.Size.MemoryBytes), now, e.options.HalfLife)
	c.runTime.add(float64(used.RunTime)/float64(declared.RunTime), now, e.options.HalfLife)
}

// Correct returns the demand expected of a task of the kind with the declared demand. Accelerators
// are not corrected, because a task uses exactly those assigned to it. A kind without completions
// keeps the declared demand.
func (e *Estimator) Correct(kind string, declared Demand) Demand {
	c := &e.corrections[e.findIndex(kind)]
	return Demand{
		Size: resource.Amount{
			MilliProcessors: int64(float64(declared.Size.MilliProcessors) * c.processors.correctionFactor(e.options.Quantile, e.options.PriorCompletions)),
			MemoryBytes:     int64(float64(declared.Size.MemoryBytes) * c.memoryFactor(e.options)),
			Accelerators:    declared.Size.Accelerators,
		},
		RunTime: time.Duration(float64(declared.RunTime) * c.runTime.correctionFactor(e.options.Quantile, e.options.PriorCompletions)),
	}
}

// memoryFactor returns the correction of declared memory. Only a factor below 1 is shrunk towards 1:
// shrinking a factor above 1 would allow less memory than observed tasks used, so that tasks of the
// kind would be killed.
func (c *corrections) memoryFactor(options Options) float64 {
	return max(c.memory.correctionFactor(options.MemoryQuantile, options.PriorCompletions), c.memory.correctionFactor(options.MemoryQuantile, 0))
}

func (f *ratioHistogram) add(ratio float64, now time.Time, halfLife time.Duration) {
	if math.IsNaN(ratio) || math.IsInf(ratio, 0) || ratio <= 0 {
		return
	}
	if f.weights == nil {
		f.weights = make([]float64, bucketCount)
		f.updated = now
	}
	if elapsed := now.Sub(f.updated); elapsed > 0 {
		retained := math.Exp2(-float64(elapsed) / float64(halfLife))
		for i := range f.weights {
			f.weights[i] *= retained
		}
		f.total *= retained
		f.updated = now
	}
	i := int(math.Ceil(math.Log(ratio)/math.Log(ratioStep))) + bucketCount/2
	f.weights[min(max(i, 0), bucketCount-1)]++
	f.total++
}

// correctionFactor returns the quantile of the ratios, shrunk towards 1 when there are few completions.
func (f *ratioHistogram) correctionFactor(quantile, priorCompletions float64) float64 {
	if f.total == 0 {
		return 1
	}
	sum, i := 0.0, 0
	for ; i < bucketCount-1; i++ {
		if sum += f.weights[i]; sum >= quantile*f.total {
			break
		}
	}
	logFactor := float64(i-bucketCount/2) * math.Log(ratioStep)
	return math.Exp(logFactor * f.total / (f.total + priorCompletions))
}
