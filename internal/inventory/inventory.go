package inventory

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"bamboohook/resource"
)

// Values of Service.Urgency, the most urgent first.
const (
	UrgencyUrgent     = "urgent"
	UrgencyStandard   = "standard"
	UrgencyDeferrable = "deferrable"
)

type (
	// Inventory holds the parsed sections of the inventory, by name. It must not be modified after New or Parse has returned it,
	// so that concurrent reads are safe.
	Inventory struct {
		VMs      map[string]VM
		Services map[string]Service
		Teams    map[string]Team
		Kinds    map[string]Kind
		Rules    map[string]Rule
	}

	// VM is a machine in the inventory. Capacity is the amount of its resources. Slots is the maximum number of requests
	// that the endpoint on the VM processes at once, and Connections that of its connections. Services lists the services
	// that the endpoint provides.
	VM struct {
		Name        string
		DataCentre  string
		Rack        string
		Capacity    resource.Amount
		Slots       int
		Connections int
		Services    []string
	}

	// Service is a service that processes latency-critical requests.
	Service struct {
		Name    string
		Urgency string
		// Share is the share of the slots of the VMs, from 0 to 1, that the service gets even if other services are overloaded.
		// Services whose Share is 0 divide the rest equally.
		Share float64
		// TargetLatency is the latency above which batch tasks on the same VM are throttled. Zero disables the throttling.
		TargetLatency time.Duration
	}

	// Team is a team that submits jobs. Quota limits the total resources of the running tasks of the team. It applies only to the
	// resources whose names (processors, memory, accelerators) are keys of LimitedResources.
	Team struct {
		Name             string
		Quota            resource.Amount
		LimitedResources map[string]bool
	}

	// Kind holds the defaults for jobs of one kind of batch work, such as face-build. A resource in Size, or RunTime, is used for jobs
	// that don't declare it. Attempts is how many times a task may be started before it counts as failed; 0 means
	// that the entry's default applies.
	Kind struct {
		Name     string
		Size     resource.Amount
		RunTime  time.Duration
		Attempts int
	}

	// Rule assigns an importance, from 1 to 100, to kinds of batch work and to services, permanently or at certain times.
	Rule struct {
		Name             string
		KindsAndServices []string
		Importance       int
		// From and Until limit the times at which the rule applies: at From and later, and before Until. A zero time means no limit.
		From, Until time.Time
		// If Recurring is set, the rule applies only on the days of the week in Days, from Begin to End. Begin and End are times since
		// midnight in the time zone with UTCOffset. If End is not after Begin, the rule applies until End on the next day.
		Days       []time.Weekday
		Begin, End time.Duration
		Recurring  bool
		UTCOffset  time.Duration
	}

	// Difference is one section or key in which two configurations differ. Kind says how: DifferenceAdded, DifferenceRemoved or
	// DifferenceChanged. Old and New are the values of the key. Key, Old and New are empty if a whole section was added or removed.
	Difference struct {
		Section string
		Key     string
		Kind    string
		Old     string
		New     string
	}
)

// Values of Difference.Kind.
const (
	DifferenceAdded   = "added"
	DifferenceRemoved = "removed"
	DifferenceChanged = "changed"
)

// New parses the values of the sections and returns the inventory. If they are invalid, the inventory is nil and the error is a
// Problems value whose problems have no file and line.
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
	localTime := t.UTC().Add(r.UTCOffset)
	midnight := localTime.Truncate(24 * time.Hour)
	timeOfDay := localTime.Sub(midnight)
	startsToday := slices.Contains(r.Days, localTime.Weekday())
	if r.Begin < r.End {
		return startsToday && timeOfDay >= r.Begin && timeOfDay < r.End
	}
	startedYesterday := slices.Contains(r.Days, midnight.Add(-time.Hour).Weekday())
	return startsToday && timeOfDay >= r.Begin || startedYesterday && timeOfDay < r.End
}

// Diff returns the differences between the old and the new sections, sorted by section and key. An added or removed section has one
// difference for the section and one for each of its keys.
func Diff(oldSections, newSections Sections) []Difference {
	var differences []Difference
	for _, name := range sortedUnionOfKeys(oldSections, newSections) {
		oldValues, inOld := oldSections[name]
		newValues, inNew := newSections[name]
		switch {
		case !inOld:
			differences = append(differences, Difference{Section: name, Kind: DifferenceAdded})
		case !inNew:
			differences = append(differences, Difference{Section: name, Kind: DifferenceRemoved})
		}
		for _, key := range sortedUnionOfKeys(oldValues, newValues) {
			oldValue, keyInOld := oldValues[key]
			newValue, keyInNew := newValues[key]
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

// Changes returns the new sections that are added or changed, and the names of the old sections that are removed.
func Changes(oldSections, newSections Sections) (changed Sections, removed []string) {
	changed = Sections{}
	for _, name := range sortedUnionOfKeys(oldSections, newSections) {
		newValues, inNew := newSections[name]
		oldValues, inOld := oldSections[name]
		switch {
		case !inNew:
			removed = append(removed, name)
		case !inOld || !maps.Equal(oldValues, newValues):
			changed[name] = maps.Clone(newValues)
		}
	}
	return changed, removed
}

// String returns the difference as one line of text.
func (d Difference) String() string {
	if d.Key == "" {
		return fmt.Sprintf("[%s] %s", d.Section, d.Kind)
	}
	return strings.TrimSpace(fmt.Sprintf("[%s] %s %s: %q -> %q", d.Section, d.Key, d.Kind, d.Old, d.New))
}

// sortedUnionOfKeys returns the keys that are in a or in b, sorted.
func sortedUnionOfKeys[V any](a, b map[string]V) []string {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(keys)
	return slices.Compact(keys)
}
