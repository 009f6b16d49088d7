package evacuation_test

import (
	"slices"
	"testing"

	"bamboohook/internal/fleet/evacuation"
)

// Guards against a set that forgets a request or keeps a withdrawn one, and against starts on a VM of which it is not known where it is.
func TestSet(t *testing.T) {
	for name, c := range map[string]struct {
		set                     *evacuation.Set
		version                 int64
		contained, forbidden    []string
		notContained, permitted []string
	}{
		"unknown": {notContained: []string{"a", ""}, permitted: []string{"a", ""}},
		"empty":   {set: evacuation.New(nil, 0), version: 1, notContained: []string{"a", ""}, permitted: []string{"a", ""}},
		"two requests and a withdrawal": {
			set: evacuation.New(map[string]bool{"b": true, "a": true, "c": false}, 6), version: 7,
			contained: []string{"a", "b"}, forbidden: []string{"a", "b", ""}, notContained: []string{"c", ""}, permitted: []string{"c"},
		},
		"a request, then a withdrawal and another request": {
			set: evacuation.New(map[string]bool{"a": true}, 1).With(map[string]bool{"a": false, "b": true}, 3), version: 4,
			contained: []string{"b"}, forbidden: []string{"b", ""}, notContained: []string{"a"}, permitted: []string{"a"},
		},
		"no change": {set: evacuation.New(map[string]bool{"a": true}, 1).With(nil, 5), version: 6, contained: []string{"a"}, forbidden: []string{"a", ""}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.set.VersionOrZero(); got != c.version {
				t.Errorf("version %d, want %d", got, c.version)
			}
			for want, names := range map[bool][]string{true: c.contained, false: c.notContained} {
				for _, n := range names {
					if c.set.Contains(n) != want {
						t.Errorf("Contains(%q) is %v", n, !want)
					}
				}
			}
			for want, names := range map[bool][]string{true: c.forbidden, false: c.permitted} {
				for _, n := range names {
					if c.set.Forbids(n) != want {
						t.Errorf("Forbids(%q) is %v", n, !want)
					}
				}
			}
		})
	}
}

// Guards against a begin or an end that is not logged, or is logged twice.
func TestCompare(t *testing.T) {
	set := func(names ...string) *evacuation.Set { return &evacuation.Set{Version: 1, DataCentres: names} }
	for name, c := range map[string]struct {
		before, set  *evacuation.Set
		begun, ended []string
	}{
		"still unknown":    {},
		"first known":      {set: set("a", "b"), begun: []string{"a", "b"}},
		"same":             {before: set("a"), set: set("a")},
		"one for another":  {before: set("a", "c"), set: set("b", "c"), begun: []string{"b"}, ended: []string{"a"}},
		"all withdrawn":    {before: set("a", "b"), set: set(), ended: []string{"a", "b"}},
		"unknown at first": {set: set()},
	} {
		t.Run(name, func(t *testing.T) {
			if begun, ended := c.set.Compare(c.before); !slices.Equal(begun, c.begun) || !slices.Equal(ended, c.ended) {
				t.Errorf("begun %v and ended %v, want %v and %v", begun, ended, c.begun, c.ended)
			}
		})
	}
}
