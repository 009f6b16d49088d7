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
	// record is what a successor needs to go on with what was learned.
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

// Observations counts the observations that have changed what is known.
func (m *Model) Observations() int { return m.changes }

// Record encodes what was learned.
func (m *Model) Record() []byte {
	var r record
	for _, name := range slices.Sorted(maps.Keys(m.victims)) {
		v := m.victims[name]
		r.Victims = append(r.Victims, victimRecord{name, v.rest, v.usual.Mean})
		for _, quantity := range v.model.Names() {
			if program, ok := strings.CutPrefix(quantity, pressPrefix); ok {
				b, _ := v.model.Estimate(quantity)
				r.Pairs = append(r.Pairs, pairRecord{name, program, b.Mean, b.Deviation})
			}
		}
	}
	encoded, err := json.Marshal(r)
	if err != nil {
		panic("antagonist: cannot encode what was learned: " + err.Error())
	}
	return encoded
}

// Restore goes on with what Record encoded. On error nothing changes.
func (m *Model) Restore(encoded []byte) error {
	var r record
	if err := json.Unmarshal(encoded, &r); err != nil {
		return eris.Wrap(err, "antagonist: record does not parse")
	}
	for _, known := range r.Victims {
		v := m.victim(known.Name)
		v.rest, v.usual.Mean = known.Rest, known.Own
	}
	for _, p := range r.Pairs {
		v := m.victim(p.Victim)
		v.model.Add(pressPrefix+p.Kind, regressor.Estimate{Mean: p.Mean, Deviation: p.Deviation})
		clear(v.known)
	}
	return nil
}
