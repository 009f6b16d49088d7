package sequencer

import (
	"slices"
	"time"
)

// Rule gives a kind of work a level of importance at some times. A Rule without days applies on
// every day, one with From equal to To at every time of day.
type Rule struct {
	Kind       string         `json:"kind"`
	Importance int            `json:"level"`
	Days       []time.Weekday `json:"days,omitempty"`
	// From and To are times since midnight on the wall clock. If To is below From, the rule
	// extends past midnight and Days names the day on which it begins.
	From time.Duration `json:"from,omitempty"`
	To   time.Duration `json:"to,omitempty"`
	// Since and Until bound the rule; zero means no bound.
	Since time.Time `json:"since,omitzero"`
	Until time.Time `json:"until,omitzero"`
	// Location is UTC if nil.
	Location *time.Location `json:"-"`
}

// Applies reports whether the rule gives the kind its level at the time.
func (r Rule) Applies(name string, at time.Time) bool {
	if r.Kind != name || !r.Since.IsZero() && at.Before(r.Since) || !r.Until.IsZero() && !at.Before(r.Until) {
		return false
	}
	location := r.Location
	if location == nil {
		location = time.UTC
	}
	local := at.In(location)
	clock := time.Duration(local.Hour())*time.Hour + time.Duration(local.Minute())*time.Minute + time.Duration(local.Second())*time.Second
	day := local.Weekday()
	switch {
	case r.From < r.To:
		if clock < r.From || clock >= r.To {
			return false
		}
	case r.From > r.To && clock < r.To:
		day = (day + 6) % 7
	case r.From > r.To && clock < r.From:
		return false
	}
	return len(r.Days) == 0 || slices.Contains(r.Days, day)
}

// level returns the level of the first rule that applies, or 0.
func level(rules []Rule, name string, at time.Time) int {
	for _, r := range rules {
		if r.Applies(name, at) {
			return r.Importance
		}
	}
	return 0
}
