package worker

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// Faults are the injected faults. The zero value injects none.
	Faults struct {
		// Slow is the delay of each response.
		Slow time.Duration `json:"slow,omitempty"`
		// Down closes each connection without executing the call. Tasks keep running until their leases expire.
		Down bool `json:"down,omitempty"`
		// DropRate is the share of calls, from 0 to 1, that are executed but get no response.
		DropRate float64 `json:"drop-rate,omitempty"`
		// FailStarts makes each task fail as soon as it starts.
		FailStarts bool `json:"fail-starts,omitempty"`
		// SizeFactor and RunTimeFactor replace those of the options for tasks that start later. 0 keeps those of the options.
		SizeFactor    float64 `json:"size-factor,omitempty"`
		RunTimeFactor float64 `json:"run-time-factor,omitempty"`
	}

	// randomSource makes random decisions that are repeatable for a seed.
	randomSource struct{ random *rand.Rand }
)

func (f Faults) check() error {
	switch {
	case !(f.DropRate >= 0 && f.DropRate <= 1):
		return eris.New("worker: drop-rate must be from 0 to 1")
	case f.Slow < 0 || f.Slow > time.Hour:
		return eris.New("worker: slow must be from 0 to 1 hour")
	case !(f.SizeFactor >= 0 && f.SizeFactor <= maxFactor), !(f.RunTimeFactor >= 0 && f.RunTimeFactor <= maxFactor):
		return eris.New("worker: factors must be from 0 to 1000")
	}
	return nil
}

func newRandomSource(seed uint64) randomSource {
	return randomSource{random: rand.New(rand.NewPCG(seed, 0))}
}

// decide returns true with the given probability.
func (s randomSource) decide(probability float64) bool {
	return probability > 0 && s.random.Float64() < probability
}
