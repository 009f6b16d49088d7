package estimator

import (
	"math"
	"time"

	"bamboohook/resource"
)

// Histograms count the ratios of used to declared processors, memory or run time of completed
// tasks. Ratios from 1/maxRatio to maxRatio are counted in buckets. The upper bound of each bucket
// is ratioStep times that of the bucket before. Smaller and larger ratios fall into the outermost
// buckets. Most ratios are between 0.2 and 5, but the range is wider because run times have a heavy
// tail beyond that.
const (
	maxRatio  = 20
	ratioStep = 1.05
)

// bucketCount is the number of buckets of a histogram. The bucket in the middle counts the ratios
// that are greater than 1/ratioStep and at most 1.
var bucketCount = 2*int(math.Ceil(math.Log(maxRatio)/math.Log(ratioStep))) + 1

type (
	// Demand is the size and the run time of a task, as declared, used or expected.
	Demand struct {
		Size    resource.Amount `json:"size"`
		RunTime time.Duration   `json:"run-time"`
	}

	// kindHistograms holds the ratios of used to declared processors, memory and run time of the
	// completed tasks of one kind.
	kindHistograms struct {
		processors, memory, runTime ratioHistogram
	}

	// ratioHistogram counts ratios of used to declared values by bucket. Each ratio adds a weight
	// of 1 to its bucket. All weights decay with Options.HalfLife and are as of updatedAt.
	// totalWeight is their sum.
	ratioHistogram struct {
		weights     []float64
		totalWeight float64
		updatedAt   time.Time
	}
)

// RecordCompletion adds a completed task of the kind to the observations for Correct. used holds
// its peak usage and its run time. Processors, memory or a run time that is zero in either declared
// or used is ignored.
func (e *Estimator) RecordCompletion(kind string, declared, used Demand) {
	h := &e.histograms[e.assignIndex(kind)]
	now := e.options.Clock.Now()
	h.processors.add(float64(used.Size.MilliProcessors)/float64(declared.Size.MilliProcessors), now, e.options.HalfLife)
	h.memory.add(float64(used.Size.MemoryBytes)/float64(declared.Size.MemoryBytes), now, e.options.HalfLife)
	h.runTime.add(float64(used.RunTime)/float64(declared.RunTime), now, e.options.HalfLife)
}

// Correct returns the demand that is expected of a task of the kind, given its declared demand.
// Accelerators are not corrected, because a task uses exactly those assigned to it. For a kind
// without completions the declared demand is returned.
func (e *Estimator) Correct(kind string, declared Demand) Demand {
	h := &e.histograms[e.findIndex(kind)]
	return Demand{
		Size: resource.Amount{
			MilliProcessors: int64(float64(declared.Size.MilliProcessors) * h.processors.correctionFactor(e.options.ProcessorAndRunTimeQuantile, e.options.PriorCompletions)),
			MemoryBytes:     int64(float64(declared.Size.MemoryBytes) * h.memoryFactor(e.options)),
			Accelerators:    declared.Size.Accelerators,
		},
		RunTime: time.Duration(float64(declared.RunTime) * h.runTime.correctionFactor(e.options.ProcessorAndRunTimeQuantile, e.options.PriorCompletions)),
	}
}

// memoryFactor returns the factor by which Correct multiplies declared memory: the quantile of the
// observed ratios of used to declared memory. While few tasks have completed, a quantile below 1 is
// raised towards 1. A quantile above 1 is not lowered: that would allow less memory than observed
// tasks used, so that tasks of the kind would be killed.
func (h *kindHistograms) memoryFactor(options Options) float64 {
	return max(h.memory.correctionFactor(options.MemoryQuantile, options.PriorCompletions), h.memory.correctionFactor(options.MemoryQuantile, 0))
}

// add lets the weights decay until now and then adds a weight of 1 to the bucket of the ratio. A
// ratio that is not positive and finite is ignored.
func (h *ratioHistogram) add(ratio float64, now time.Time, halfLife time.Duration) {
	if math.IsNaN(ratio) || math.IsInf(ratio, 0) || ratio <= 0 {
		return
	}
	if h.weights == nil {
		h.weights = make([]float64, bucketCount)
		h.updatedAt = now
	}
	if elapsed := now.Sub(h.updatedAt); elapsed > 0 {
		retainedWeight := math.Exp2(-float64(elapsed) / float64(halfLife))
		for i := range h.weights {
			h.weights[i] *= retainedWeight
		}
		h.totalWeight *= retainedWeight
		h.updatedAt = now
	}
	i := int(math.Ceil(math.Log(ratio)/math.Log(ratioStep))) + bucketCount/2
	h.weights[min(max(i, 0), bucketCount-1)]++
	h.totalWeight++
}

// correctionFactor returns the quantile of the counted ratios, raised to the power
// n/(n+priorCompletions), where n is the total weight of the ratios. The smaller n is, the closer
// the result is to 1. Without ratios, it is 1.
func (h *ratioHistogram) correctionFactor(quantile, priorCompletions float64) float64 {
	if h.totalWeight == 0 {
		return 1
	}
	cumulativeWeight, i := 0.0, 0
	for ; i < bucketCount-1; i++ {
		if cumulativeWeight += h.weights[i]; cumulativeWeight >= quantile*h.totalWeight {
			break
		}
	}
	logFactor := float64(i-bucketCount/2) * math.Log(ratioStep)
	return math.Exp(logFactor * h.totalWeight / (h.totalWeight + priorCompletions))
}
