package antagonist

import (
	"encoding/json"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"bamboohook/internal/batch/regressor"
)

// maxRestoredEstimate is the highest estimate that a record can contain. Utilisations are about 1 at most, and latency ratios seldom above 10.
const maxRestoredEstimate = 1000

type (
	// record is the stored form of the model, from which a new owner of the jobs restores it. The own loads of the groups are left out,
	// because they change within seconds.
	record struct {
		Programs []programRecord `json:"victims"`
		Pairs    []pairRecord    `json:"pairs"`
	}

	// programRecord is the stored form of the estimates for a long-running program, except for its interferences.
	programRecord struct {
		Program       string  `json:"name"`
		UnloadedRatio float64 `json:"rest"`
		UsualLoad     float64 `json:"own"`
	}

	// pairRecord is the stored form of the estimated interference of a best-effort program with a long-running program.
	pairRecord struct {
		LongRunning string  `json:"victim"`
		BestEffort  string  `json:"kind"`
		Mean        float64 `json:"mean"`
		Deviation   float64 `json:"deviation"`
	}
)

// Updates returns how often a measured utilisation has updated the estimates since the model was created.
func (m *Model) Updates() int { return m.updates }

// Encode encodes the estimates, except for the own loads of the groups, for the store.
func (m *Model) Encode() []byte {
	var r record
	for _, longRunning := range slices.Sorted(maps.Keys(m.longRunningPrograms)) {
		v := m.longRunningPrograms[longRunning]
		r.Programs = append(r.Programs, programRecord{longRunning, v.unloadedRatio, v.usualOwnLoad.Mean})
		for _, quantity := range v.estimates.Names() {
			if bestEffort, ok := strings.CutPrefix(quantity, interferencePrefix); ok {
				estimate, _ := v.estimates.Estimate(quantity)
				r.Pairs = append(r.Pairs, pairRecord{longRunning, bestEffort, estimate.Mean, estimate.Deviation})
			}
		}
	}
	encoded, err := json.Marshal(r)
	if err != nil {
		panic("antagonist: cannot encode the interference model: " + err.Error())
	}
	return encoded
}

// Restore adds estimates that were encoded by Record. On error, the model is unchanged.
func (m *Model) Restore(encoded []byte) error {
	var r record
	if err := json.Unmarshal(encoded, &r); err != nil {
		return eris.Wrap(err, "antagonist: cannot decode the interference model")
	}
	for _, recorded := range r.Programs {
		if !plausible(recorded.UnloadedRatio) || !plausible(math.Abs(recorded.UsualLoad)) {
			return eris.New("antagonist: an estimate for a program is out of range")
		}
	}
	for _, p := range r.Pairs {
		if !plausible(p.Mean) || !plausible(p.Deviation) {
			return eris.New("antagonist: an estimated interference is out of range")
		}
	}
	for _, recorded := range r.Programs {
		v := m.longRunningProgram(recorded.Program)
		v.unloadedRatio, v.usualOwnLoad.Mean = recorded.UnloadedRatio, recorded.UsualLoad
	}
	for _, p := range r.Pairs {
		v := m.longRunningProgram(p.LongRunning)
		v.estimates.Add(interferencePrefix+p.BestEffort, regressor.Estimate{Mean: p.Mean, Deviation: p.Deviation})
		clear(v.interferenceCache)
	}
	return nil
}

// plausible reports whether a restored estimate, which is a ratio, can be one of this model. Computations with others could overflow.
func plausible(estimate float64) bool { return estimate >= 0 && estimate <= maxRestoredEstimate }
