package antagonist

import (
	"cmp"
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

// Encode encodes the estimates, except for the own loads of the groups, for the store. If they take more than maxBytes, it leaves out those of the
// programs whose last update is the longest ago, unless maxBytes is 0. It also returns how many programs it has left out.
func (m *Model) Encode(maxBytes int) ([]byte, int) {
	names := slices.SortedFunc(maps.Keys(m.longRunningPrograms), func(x, y string) int {
		return cmp.Or(cmp.Compare(m.longRunningPrograms[y].updatedAt, m.longRunningPrograms[x].updatedAt), cmp.Compare(x, y))
	})
	var r record
	size, leftOut := len(encode(record{Programs: []programRecord{}, Pairs: []pairRecord{}})), 0
	for _, longRunning := range names {
		v := m.longRunningPrograms[longRunning]
		part := record{Programs: []programRecord{{longRunning, v.unloadedRatio, v.usualOwnLoad.Mean}}}
		for _, quantity := range v.estimates.Names() {
			if bestEffort, ok := strings.CutPrefix(quantity, interferencePrefix); ok {
				estimate, _ := v.estimates.Estimate(quantity)
				part.Pairs = append(part.Pairs, pairRecord{longRunning, bestEffort, estimate.Mean, estimate.Deviation})
			}
		}
		if partSize := len(encode(part)); maxBytes > 0 && size+partSize > maxBytes {
			leftOut++
		} else {
			size += partSize
			r.Programs, r.Pairs = append(r.Programs, part.Programs...), append(r.Pairs, part.Pairs...)
		}
	}
	slices.SortFunc(r.Programs, func(x, y programRecord) int { return cmp.Compare(x.Program, y.Program) })
	slices.SortStableFunc(r.Pairs, func(x, y pairRecord) int { return cmp.Compare(x.LongRunning, y.LongRunning) })
	return encode(r), leftOut
}

// encode encodes the record.
func encode(r record) []byte {
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
