package endpoint

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// Faults are the injected faults. Rates are shares of the requests from 0 to 1. The zero value injects none.
	Faults struct {
		// Service limits the faults to one service; empty for all.
		Service string `json:"service,omitempty"`
		// SlowFactor multiplies processing times and SlowBy is added to them; a factor of 0 means 1.
		SlowFactor float64       `json:"slow-factor,omitempty"`
		SlowBy     time.Duration `json:"slow-by,omitempty"`
		// FailRate answers with status 500 after processing.
		FailRate float64 `json:"fail-rate,omitempty"`
		// TruncateRate ends the connection in the middle of the body.
		TruncateRate float64 `json:"truncate-rate,omitempty"`
		// HangRate never answers.
		HangRate float64 `json:"hang-rate,omitempty"`
		// CloseRate closes the connection after the start and before any answer.
		CloseRate float64 `json:"close-rate,omitempty"`
	}

	faultHolder struct {
		mutex  sync.Mutex
		faults Faults
	}

	sampler struct {
		mutex  sync.Mutex
		random *rand.Rand
	}
)

func (f Faults) check() error {
	for _, r := range []float64{f.FailRate, f.TruncateRate, f.HangRate, f.CloseRate} {
		if !(r >= 0 && r <= 1) {
			return eris.Errorf("endpoint: rate %v is not from 0 to 1", r)
		}
	}
	if !(f.SlowFactor >= 0 && f.SlowFactor <= 1e6) || f.SlowBy < 0 {
		return eris.New("endpoint: slow-factor must be from 0 to 1000000 and slow-by at least 0")
	}
	return nil
}

func (f Faults) slowDown(processingTime time.Duration) time.Duration {
	if f.SlowFactor > 0 {
		processingTime = time.Duration(float64(processingTime) * f.SlowFactor)
	}
	return processingTime + f.SlowBy
}

func (h *faultHolder) set(f Faults) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.faults = f
}

func (h *faultHolder) get(service string) Faults {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.faults.Service != "" && h.faults.Service != service {
		return Faults{}
	}
	return h.faults
}

func newSampler(seed uint64) *sampler {
	return &sampler{random: rand.New(rand.NewPCG(seed, 0))}
}

func (s *sampler) hit(probability float64) bool {
	if probability <= 0 {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Float64() < probability
}

func (s *sampler) processingTime(service Service) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Duration(float64(service.Median) * math.Exp(service.Sigma*s.random.NormFloat64()))
}
