// Package evacuation contains the set of data centres in which operators request that nothing be started.
package evacuation

import (
	"maps"
	"slices"
)

// Set is the set of evacuated data centres after one record of the operators' topic. It is immutable. A nil Set stands for an unknown one and contains
// no data centre.
type Set struct {
	// Version orders the sets: it is above 0 and grows with the offset of the last record that the set takes into account.
	Version int64 `json:"version"`
	// DataCentres contains the names in alphabetical order.
	DataCentres []string `json:"data-centres,omitempty"`
}

// New returns the set after all records below the offset. requests holds whether the newest record of a data centre requests the evacuation or
// withdraws it.
func New(requests map[string]bool, offset int64) *Set { return (&Set{}).With(requests, offset) }

// With returns the set after further records, up to the offset. requests holds what the newest record of each data centre says, as in New.
func (s *Set) With(requests map[string]bool, offset int64) *Set {
	evacuated := map[string]struct{}{}
	if s != nil {
		for _, name := range s.DataCentres {
			evacuated[name] = struct{}{}
		}
	}
	for name, requested := range requests {
		if requested {
			evacuated[name] = struct{}{}
		} else {
			delete(evacuated, name)
		}
	}
	return &Set{Version: offset + 1, DataCentres: slices.Sorted(maps.Keys(evacuated))}
}

// Contains reports whether the data centre is evacuated.
func (s *Set) Contains(dataCentre string) bool {
	if s == nil {
		return false
	}
	_, found := slices.BinarySearch(s.DataCentres, dataCentre)
	return found
}

// Forbids reports whether nothing may be started on a VM of the data centre. If the name is unknown, which the empty name stands for, that holds while any
// data centre is evacuated.
func (s *Set) Forbids(dataCentre string) bool {
	if dataCentre == "" {
		return s != nil && len(s.DataCentres) > 0
	}
	return s.Contains(dataCentre)
}

// Compare returns the data centres that s contains and before does not, and those that before contains and s does not.
func (s *Set) Compare(before *Set) (begun, ended []string) {
	if s == nil {
		return nil, nil
	}
	for _, name := range s.DataCentres {
		if !before.Contains(name) {
			begun = append(begun, name)
		}
	}
	if before == nil {
		return begun, nil
	}
	for _, name := range before.DataCentres {
		if !s.Contains(name) {
			ended = append(ended, name)
		}
	}
	return begun, ended
}

// VersionOrZero returns the version of the set, or 0 if the set is unknown.
func (s *Set) VersionOrZero() int64 {
	if s == nil {
		return 0
	}
	return s.Version
}
