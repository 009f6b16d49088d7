package cli

import (
	"testing"
	"time"

	"bamboohook/platform"
)

// Guards against an owner that plans without the set of evacuated data centres although the platform sets a bound, or the reverse.
func TestMaxEvacuationAge(t *testing.T) {
	for name, c := range map[string]struct{ time, stretch, want time.Duration }{
		"no bound":              {0, 6 * time.Second, 0},
		"usual":                 {5 * time.Second, 6 * time.Second, 10 * time.Second},
		"no stretch":            {5 * time.Second, 0, 5 * time.Second},
		"shorter than a margin": {time.Second, 0, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			if got := maxEvacuationAge(platform.Settings{EvacuationTime: c.time, EvacuationStretch: c.stretch}); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}
