package antagonist

import (
	"math"
	"time"
)

const (
	// latencyHalfLife is the time in which a past latency loses half its weight in a measured latency. A measured latency covers about half
	// a second.
	latencyHalfLife = 250 * time.Millisecond
	// maxMeasurementGap is the time after which the weight of a measurement in the next one is negligible.
	maxMeasurementGap = 1500 * time.Millisecond
	// warmupMeasurements is the number of measurements after the start of a task that do not update the estimates, because they cover its
	// startup.
	warmupMeasurements = 1
)

// taskTracker holds the last measurement of a task.
type taskTracker struct {
	// lastRatio is the last measured ratio of the latency to the target, and lastAt the time of that measurement.
	lastRatio      float64
	lastMeasuredAt time.Time
	// measurements is the number of measurements of the task.
	measurements int
	// ratio is the ratio of the latency to the target, for the time between the last two measurements only.
	ratio float64
	// ownLoad is the utilisation that the task causes itself.
	ownLoad float64
}

// measure records a measured ratio of the latency to the target. From t.ratio, it removes the part that the latencies before the previous
// measurement contribute.
func (t *taskTracker) addMeasurement(ratio float64, now time.Time) {
	elapsed := now.Sub(t.lastMeasuredAt)
	t.ratio = ratio
	if t.measurements > 0 && elapsed > 0 && elapsed < maxMeasurementGap {
		pastWeight := math.Exp2(-float64(elapsed) / float64(latencyHalfLife))
		t.ratio = max((ratio-pastWeight*t.lastRatio)/(1-pastWeight), 0)
	}
	t.lastRatio, t.lastMeasuredAt = ratio, now
	t.measurements++
}

func (t *taskTracker) warmedUp() bool { return t.measurements > warmupMeasurements }
