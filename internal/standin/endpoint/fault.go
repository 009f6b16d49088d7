package endpoint

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// Faults are the injected faults. Each rate is from 0 to 1. The zero value injects none.
	Faults struct {
		// Service limits the faults to one service. If it is empty, they affect all services.
		Service string `json:"service,omitempty"`
		// SlowFactor multiplies the processing time; 0 means 1. SlowBy is then added.
		SlowFactor float64       `json:"slow-factor,omitempty"`
		SlowBy     time.Duration `json:"slow-by,omitempty"`
		// FailRate is the share of requests that get a response with status 500 after processing.
		FailRate float64 `json:"fail-rate,omitempty"`
		// TruncateRate is the share of requests whose connection is closed in the middle of the response body.
		TruncateRate float64 `json:"truncate-rate,omitempty"`
		// HangRate is the share of requests that never get a response.
		HangRate float64 `json:"hang-rate,omitempty"`
		// CloseRate is the share of requests whose connection is closed after the start of processing, without any response.
		CloseRate float64 `json:"close-rate,omitempty"`
	}

	faultHolder struct {
		mutex  sync.Mutex
		faults Faults
	}

	// randomSource makes random decisions that are repeatable for a seed.
	randomSource struct {
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

func newRandomSource(seed uint64) *randomSource {
	return &randomSource{random: rand.New(rand.NewPCG(seed, 0))}
}

// decide returns true with the given probability.
func (s *randomSource) decide(probability float64) bool {
	if probability <= 0 {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Float64() < probability
}

func (s *randomSource) processingTime(service Service) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Duration(float64(service.Median) * math.Exp(service.Sigma*s.random.NormFloat64()))
}
