package appraiser_test

import (
	"math"
	"testing"

	"bamboohook/internal/batch/appraiser"
)

// Guards against large jobs that are worth no more than small ones, and against a few huge jobs that take all processors.
func TestValue(t *testing.T) {
	for name, c := range map[string]struct{ work, want float64 }{
		"an average job":        {400, 1},
		"a job without work":    {0, 0.3},
		"twice the average":     {800, 1.7},
		"far above the average": {40_000, 4},
	} {
		t.Run(name, func(t *testing.T) {
			var a appraiser.Appraiser
			for range 10 {
				a.Observe("q", 400)
			}
			if got := a.Value("q", c.work); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("value %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against jobs of a queue that is not known yet, for example after a takeover, being worth nothing or everything.
func TestUnknownQueueIsAverage(t *testing.T) {
	var a appraiser.Appraiser
	a.Observe("q", 0)
	if got := a.Value("q", 5000); got != 1 {
		t.Errorf("value %v of a job in an unknown queue, want that of an average job", got)
	}
}

// Guards against work on jobs that are late anyway going before work on jobs that can still be in time.
func TestValuePerProcessorSecond(t *testing.T) {
	var a appraiser.Appraiser
	a.Observe("q", 100)
	onTime := a.ValuePerProcessorSecond("q", 100, 100, appraiser.OnTime)
	for name, lower := range map[string]float64{
		"late":                   a.ValuePerProcessorSecond("q", 100, 100, appraiser.Late),
		"expired":                a.ValuePerProcessorSecond("q", 100, 100, appraiser.Expired),
		"more work remains":      a.ValuePerProcessorSecond("q", 100, 200, appraiser.OnTime),
		"late with little to do": a.ValuePerProcessorSecond("q", 100, 20, appraiser.Late),
	} {
		if lower >= onTime || lower <= 0 {
			t.Errorf("%s: %v, want more than 0 and less than %v", name, lower, onTime)
		}
	}
}
