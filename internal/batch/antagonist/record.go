package antagonist

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"bamboohook/internal/batch/regressor"
)

type (
	// record is the stored form of the model, from which a new owner restores it.
	record struct {
		Victims []victimRecord `json:"victims"`
		Pairs   []pairRecord   `json:"pairs"`
	}

	victimRecord struct {
		Name string  `json:"name"`
		Rest float64 `json:"rest"`
		Own  float64 `json:"own"`
	}

	pairRecord struct {
		Victim    string  `json:"victim"`
		Kind      string  `json:"kind"`
		Mean      float64 `json:"mean"`
		Deviation float64 `json:"deviation"`
	}
)

// Observations returns the number of measurements that have updated the model.
func (m *Model) Observations() int { return m.observations }

// Record encodes the estimates for the store.
func (m *Model) Record() []byte {
	var r record
	for _, name := range slices.Sorted(maps.Keys(m.victims)) {
		v := m.victims[name]
		r.Victims = append(r.Victims, victimRecord{name, v.unloadedRatio, v.usualLoad.Mean})
		for _, quantity := range v.estimates.Names() {
			if program, ok := strings.CutPrefix(quantity, interferencePrefix); ok {
				b, _ := v.estimates.Estimate(quantity)
				r.Pairs = append(r.Pairs, pairRecord{name, program, b.Mean, b.Deviation})
			}
		}
	}
	encoded, err := json.Marshal(r)
	if err != nil {
		panic("antagonist: cannot encode the interference model: " + err.Error())
	}
	return encoded
}

// Restore adds the estimates that Record encoded. The model is unchanged on error.
func (m *Model) Restore(encoded []byte) error {
	var r record
	if err := json.Unmarshal(encoded, &r); err != nil {
		return eris.Wrap(err, "antagonist: cannot decode the interference model")
	}
	for _, known := range r.Victims {
		v := m.victim(known.Name)
		v.unloadedRatio, v.usualLoad.Mean = known.Rest, known.Own
	}
	for _, p := range r.Pairs {
		v := m.victim(p.Victim)
		v.estimates.Add(interferencePrefix+p.Kind, regressor.Estimate{Mean: p.Mean, Deviation: p.Deviation})
		clear(v.interferenceCache)
	}
	return nil
}
