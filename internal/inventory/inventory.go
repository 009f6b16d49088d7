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
	// Inventory holds the parsed sections. It must not be modified, so that concurrent reads are safe.
	Inventory struct {
		VMs      map[string]VM
		Services map[string]Service
		Teams    map[string]Team
		Kinds    map[string]Kind
		Rules    map[string]Rule
	}

	// VM is a VM that the inventory declares.
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
		// TargetLatency is the latency above which batch tasks on the same VM are throttled. Zero disables the throttling.
		TargetLatency time.Duration
	}

	// Team limits the resources of the running tasks of a team. Quota applies only to the resources in LimitedResources.
	Team struct {
		Name             string
		Quota            resource.Amount
		LimitedResources map[string]bool
	}

	// Kind holds the defaults for jobs of a kind of batch work. A job must declare the value of a field that is zero here.
	Kind struct {
		Name     string
		Size     resource.Amount
		RunTime  time.Duration
		Attempts int
	}

	// Rule assigns an importance to kinds of work or services, permanently or at certain times.
	Rule struct {
		Name             string
		KindsAndServices []string
		Importance       int
		// From and Until are the start and the end of the rule's validity. The zero time means no limit.
		From, Until time.Time
		// A recurring rule applies on Days, the days of the week, from Begin to End, which are durations since midnight at UTCOffset.
		// If End is not after Begin, the rule applies until End on the next day.
		Days       []time.Weekday
		Begin, End time.Duration
		Recurring  bool
		UTCOffset  time.Duration
	}

	// Difference is one section or key in which two configurations differ. Key, Old and New are empty for a whole section.
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

// New parses the values of the sections. If they are invalid, the inventory is nil and the error is a Problems value without
// files and lines.
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
	timeOfDay := local.Sub(midnight)
	startsToday := slices.Contains(r.Days, local.Weekday())
	if r.Begin < r.End {
		return startsToday && timeOfDay >= r.Begin && timeOfDay < r.End
	}
	startedYesterday := slices.Contains(r.Days, midnight.Add(-time.Hour).Weekday())
	return startsToday && timeOfDay >= r.Begin || startedYesterday && timeOfDay < r.End
}

// Diff returns the differences from the old sections to the new ones, sorted by section and key.
func Diff(oldSections, newSections Sections) []Difference {
	var differences []Difference
	for _, name := range sortedUnionOfKeys(oldSections, newSections) {
		oldKeys, inOld := oldSections[name]
		newKeys, inNew := newSections[name]
		switch {
		case !inOld:
			differences = append(differences, Difference{Section: name, Kind: DifferenceAdded})
		case !inNew:
			differences = append(differences, Difference{Section: name, Kind: DifferenceRemoved})
		}
		for _, key := range sortedUnionOfKeys(oldKeys, newKeys) {
			oldValue, keyInOld := oldKeys[key]
			newValue, keyInNew := newKeys[key]
			kind := DifferenceChanged
			switch {
			case keyInOld && keyInNew && oldValue == newValue:
				continue
			case !keyInOld:
				kind = DifferenceAdded
			case !keyInNew:
				kind = DifferenceRemoved
			}
			differences = append(differences, Difference{name, key, kind, oldValue, newValue})
		}
	}
	return differences
}

// Changes returns which sections must be set and which must be removed to turn the old sections into the new ones.
func Changes(oldSections, newSections Sections) (changed Sections, removed []string) {
	changed = Sections{}
	for _, name := range sortedUnionOfKeys(oldSections, newSections) {
		newKeys, inNew := newSections[name]
		oldKeys, inOld := oldSections[name]
		switch {
		case !inNew:
			removed = append(removed, name)
		case !inOld || !maps.Equal(oldKeys, newKeys):
			changed[name] = maps.Clone(newKeys)
		}
	}
	return changed, removed
}

// String returns the difference on one line.
func (d Difference) String() string {
	if d.Key == "" {
		return fmt.Sprintf("[%s] %s", d.Section, d.Kind)
	}
	return strings.TrimSpace(fmt.Sprintf("[%s] %s %s: %q -> %q", d.Section, d.Key, d.Kind, d.Old, d.New))
}

func sortedUnionOfKeys[V any](a, b map[string]V) []string {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(keys)
	return slices.Compact(keys)
}
