package antagonist

import (
	"math"
	"time"
)

const (
	// latencyHalfLife is the time in which a past latency loses half its weight in a measured latency, which covers about half a second.
	latencyHalfLife = 250 * time.Millisecond
	// maxMeasurementGap is the longest time between two measurements after which the earlier one still influences the later one.
	maxMeasurementGap = 1500 * time.Millisecond
	// warmupMeasurements is the number of first measurements of a task that are not used, because they cover its start.
	warmupMeasurements = 1
)

// taskTracker holds the last measurement of a task.
type taskTracker struct {
	lastRatio    float64
	lastAt       time.Time
	measurements int
	// ratio is the ratio of the latency to the target since the previous measurement.
	ratio   float64
	ownLoad float64
}

// measure records a measured ratio and removes the weight of past latencies from it.
func (t *taskTracker) measure(ratio float64, now time.Time) {
	elapsed := now.Sub(t.lastAt)
	t.ratio = ratio
	if t.measurements > 0 && elapsed > 0 && elapsed < maxMeasurementGap {
		pastWeight := math.Exp2(-float64(elapsed) / float64(latencyHalfLife))
		t.ratio = max((ratio-pastWeight*t.lastRatio)/(1-pastWeight), 0)
	}
	t.lastRatio, t.lastAt = ratio, now
	t.measurements++
}

func (t *taskTracker) warmedUp() bool { return t.measurements > warmupMeasurements }
