package antagonist

import (
	"math"
	"time"
)

const (
	// latencyHalfLife is the time in which a past latency loses half its weight in a measured latency. A measured latency covers about half
	// a second.
	latencyHalfLife = 250 * time.Millisecond
	// maxMeasurementGap is a time between two measurements of a task. If at least this time lies between them, the later one hardly depends
	// on the latencies before the earlier one.
	maxMeasurementGap = 1500 * time.Millisecond
	// warmupMeasurements is the number of measurements after the start of a task that do not update the estimates, because they cover its
	// startup.
	warmupMeasurements = 1
)

// taskTracker holds the last measurement of a task.
type taskTracker struct {
	// lastLatencyRatio is the last measured ratio of the latency to the target, and lastMeasuredAt the time of that measurement.
	lastLatencyRatio float64
	lastMeasuredAt   time.Time
	// measurements is the number of measurements of the task.
	measurements int
	// latencyRatio is the ratio of the latency to the target for the time between the last two measurements. It leaves out earlier latencies,
	// which still have some weight in the measured ratio.
	latencyRatio float64
	// ownLoad is the utilisation that the task causes itself.
	ownLoad float64
}

// addMeasurement records a measured ratio of the latency to the target. It sets t.ratio to the measured ratio without the part that the
// latencies before the previous measurement contribute to it.
func (t *taskTracker) addMeasurement(ratio float64, now time.Time) {
	elapsed := now.Sub(t.lastMeasuredAt)
	t.latencyRatio = ratio
	if t.measurements > 0 && elapsed > 0 && elapsed < maxMeasurementGap {
		pastWeight := math.Exp2(-float64(elapsed) / float64(latencyHalfLife))
		t.latencyRatio = max((ratio-pastWeight*t.lastLatencyRatio)/(1-pastWeight), 0)
	}
	t.lastLatencyRatio, t.lastMeasuredAt = ratio, now
	t.measurements++
}

// warmedUp reports whether the last measurement of the task may update the estimates.
func (t *taskTracker) warmedUp() bool { return t.measurements > warmupMeasurements }
