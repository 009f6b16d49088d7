package sequencer

import (
	"slices"
	"time"
)

// Rule assigns an importance to the tasks of a kind at certain times. One level of Importance counts as
// much as waiting for Options.AgingInterval. A Rule without Days applies on every day. A Rule whose From
// equals To applies at every time of day.
type Rule struct {
	Kind       string         `json:"kind"`
	Importance int            `json:"level"`
	Days       []time.Weekday `json:"days,omitempty"`
	// From and To are the times of day in Location between which the rule applies, as durations since
	// midnight. If To is before From, the rule applies until To on the following day, and Days contains the
	// days on which it begins.
	From time.Duration `json:"from,omitempty"`
	To   time.Duration `json:"to,omitempty"`
	// Since and Until are the start and the end of the period in which the rule applies. The zero time
	// means no limit.
	Since time.Time `json:"since,omitzero"`
	Until time.Time `json:"until,omitzero"`
	// Location is the time zone of From, To and Days. Nil means UTC.
	Location *time.Location `json:"-"`
}

// Applies reports whether the rule is for the kind and applies at the time t.
func (r Rule) Applies(kind string, t time.Time) bool {
	if r.Kind != kind || !r.Since.IsZero() && t.Before(r.Since) || !r.Until.IsZero() && !t.Before(r.Until) {
		return false
	}
	location := r.Location
	if location == nil {
		location = time.UTC
	}
	localTime := t.In(location)
	timeOfDay := time.Duration(localTime.Hour())*time.Hour + time.Duration(localTime.Minute())*time.Minute + time.Duration(localTime.Second())*time.Second
	day := localTime.Weekday()
	switch {
	case r.From < r.To:
		if timeOfDay < r.From || timeOfDay >= r.To {
			return false
		}
	case r.From > r.To && timeOfDay < r.To:
		day = (day + 6) % 7
	case r.From > r.To && timeOfDay < r.From:
		return false
	}
	return len(r.Days) == 0 || slices.Contains(r.Days, day)
}

// importanceOf returns the importance of the first of the rules that applies to the kind at the time t, or
// 0 if none applies.
func importanceOf(rules []Rule, kind string, t time.Time) int {
	for _, r := range rules {
		if r.Applies(kind, t) {
			return r.Importance
		}
	}
	return 0
}
