package inventory

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"bamboohook/resource"
)

// Urgency classes of a service, most urgent first.
const (
	UrgencyUrgent     = "urgent"
	UrgencyStandard   = "standard"
	UrgencyDeferrable = "deferrable"
)

type (
	// Inventory is the typed view of the sections. It must not be changed; concurrent reads are safe.
	Inventory struct {
		VMs      map[string]VM
		Services map[string]Service
		Teams    map[string]Team
		Kinds    map[string]Kind
		Rules    map[string]Rule
	}

	// VM is a declared VM.
	VM struct {
		Name        string
		DataCentre  string
		Rack        string
		Capacity    resource.Amount
		Slots       int
		Connections int
		Services    []string
	}

	// Service is a latency-critical service.
	Service struct {
		Name    string
		Urgency string
		// Share is the guaranteed share of the slots, from 0 to 1.
		Share float64
		// TargetLatency is above which batch tasks beside the service are throttled; zero for no such control.
		TargetLatency time.Duration
	}

	// Team has a quota of resources for its running tasks. A dimension that is not in LimitedResources has no bound.
	Team struct {
		Name             string
		Quota            resource.Amount
		LimitedResources map[string]bool
	}

	// Kind is a kind of batch work with its defaults. A zero field means that a job must declare it.
	Kind struct {
		Name     string
		Size     resource.Amount
		RunTime  time.Duration
		Attempts int
	}

	// Rule gives kinds of work or services an importance, always or at certain times.
	Rule struct {
		Name       string
		Kinds      []string
		Importance int
		// From and Until bound the rule; zero means no bound.
		From, Until time.Time
		// Days are the days of the week and Begin and End the times of day, at UTCOffset, of a repeated rule.
		// A window whose End is not after Begin ends on the next day.
		Days       []time.Weekday
		Begin, End time.Duration
		Recurring  bool
		UTCOffset  time.Duration
	}

	// Difference is a section or key that differs. Key is empty for a whole section, with Old or New empty.
	Difference struct {
		Section string
		Key     string
		Kind    string
		Old     string
		New     string
	}
)

// Kinds of a Difference.
const (
	DifferenceAdded   = "added"
	DifferenceRemoved = "removed"
	DifferenceChanged = "changed"
)

// New builds the typed view. The error is of type Problems, without files and lines; the view is then nil.
func New(sections Sections) (*Inventory, error) {
	inventory, problems := build(sections)
	if len(problems) > 0 {
		return nil, problems.sorted()
	}
	return inventory, nil
}

// Active reports whether the rule applies at t.
func (r Rule) Active(t time.Time) bool {
	if !r.From.IsZero() && t.Before(r.From) || !r.Until.IsZero() && !t.Before(r.Until) {
		return false
	}
	if !r.Recurring {
		return true
	}
	local := t.UTC().Add(r.UTCOffset)
	midnight := local.Truncate(24 * time.Hour)
	clock := local.Sub(midnight)
	today := slices.Contains(r.Days, local.Weekday())
	if r.Begin < r.End {
		return today && clock >= r.Begin && clock < r.End
	}
	yesterday := slices.Contains(r.Days, midnight.Add(-time.Hour).Weekday())
	return today && clock >= r.Begin || yesterday && clock < r.End
}

// Diff returns how to get from the old sections to the new ones, in sorted order.
func Diff(from, to Sections) []Difference {
	var differences []Difference
	for _, name := range union(from, to) {
		a, before := from[name]
		b, after := to[name]
		switch {
		case !before:
			differences = append(differences, Difference{Section: name, Kind: DifferenceAdded})
		case !after:
			differences = append(differences, Difference{Section: name, Kind: DifferenceRemoved})
		}
		for _, key := range union(a, b) {
			old, had := a[key]
			value, has := b[key]
			kind := DifferenceChanged
			switch {
			case had && has && old == value:
				continue
			case !had:
				kind = DifferenceAdded
			case !has:
				kind = DifferenceRemoved
			}
			differences = append(differences, Difference{name, key, kind, old, value})
		}
	}
	return differences
}

// Changes returns the sections to set and to remove to get from the old sections to the new ones.
func Changes(from, to Sections) (set Sections, removed []string) {
	set = Sections{}
	for _, name := range union(from, to) {
		keys, kept := to[name]
		old, known := from[name]
		switch {
		case !kept:
			removed = append(removed, name)
		case !known || !maps.Equal(old, keys):
			set[name] = maps.Clone(keys)
		}
	}
	return set, removed
}

// String returns the difference as one line.
func (d Difference) String() string {
	if d.Key == "" {
		return fmt.Sprintf("[%s] %s", d.Section, d.Kind)
	}
	return strings.TrimSpace(fmt.Sprintf("[%s] %s %s: %q -> %q", d.Section, d.Key, d.Kind, d.Old, d.New))
}

func union[V any](a, b map[string]V) []string {
	names := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(names)
	return slices.Compact(names)
}
