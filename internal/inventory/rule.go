package inventory

import (
	"slices"
	"strings"
	"time"
)

const (
	day          = 24 * time.Hour
	maxUTCOffset = 14 * time.Hour
)

var weekdays = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// rule parses the section of a rule.
func (r sectionReader) rule(name string) Rule {
	rule := Rule{
		Name: name, KindsAndServices: r.list("kinds"), Importance: r.integer("importance", 1, 100),
		From: r.time("from"), Until: r.time("until"), UTCOffset: r.utcOffset(), Days: r.days(),
	}
	if len(rule.KindsAndServices) == 0 {
		r.addProblem("kinds", "at least one kind or service is required")
	}
	if r.values["importance"] == "" {
		r.addProblem("importance", "a value is required")
	}
	if !rule.From.IsZero() && !rule.Until.IsZero() && !rule.From.Before(rule.Until) {
		r.addProblem("until", "must be after from")
	}
	_, hasDays := r.values["days"]
	_, hasHours := r.values["hours"]
	if rule.Recurring = hasDays || hasHours; !rule.Recurring {
		return rule
	}
	if !hasDays {
		rule.Days = []time.Weekday{0, 1, 2, 3, 4, 5, 6}
	}
	rule.Begin, rule.End = 0, day
	if hasHours {
		rule.Begin, rule.End = r.hours()
	}
	return rule
}

func (r sectionReader) time(key string) time.Time {
	text := r.values[key]
	if text == "" {
		return time.Time{}
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		r.addProblem(key, "%q must be a time such as 2027-08-06T18:00:00-05:00", text)
	}
	return t
}

// days parses the key days, a list of days and ranges of days, such as "mon, fri-sun". A range may include the end of the week:
// sat-mon stands for sat, sun and mon.
func (r sectionReader) days() []time.Weekday {
	var days []time.Weekday
	for _, item := range r.list("days") {
		firstName, lastName, isRange := strings.Cut(item, "-")
		if !isRange {
			lastName = firstName
		}
		firstDay, lastDay := slices.Index(weekdays, firstName), slices.Index(weekdays, lastName)
		if firstDay < 0 || lastDay < 0 {
			r.addProblem("days", "%q must be a day or a range of days from %s", item, strings.Join(weekdays, ", "))
			continue
		}
		for d := firstDay; ; d = (d + 1) % 7 {
			if !slices.Contains(days, time.Weekday(d)) {
				days = append(days, time.Weekday(d))
			}
			if d == lastDay {
				break
			}
		}
	}
	if _, found := r.values["days"]; found && len(r.list("days")) == 0 {
		r.addProblem("days", "at least one day is required")
	}
	return days
}

// hours parses the key hours, a range such as 18:00-23:30, and returns its begin and end as times since midnight. If the
// value is invalid, it returns the whole day.
func (r sectionReader) hours() (begin, end time.Duration) {
	beginText, endText, _ := strings.Cut(r.values["hours"], "-")
	begin, beginValid := parseTimeOfDay(beginText)
	end, endValid := parseTimeOfDay(endText)
	if !beginValid || !endValid || begin == end || begin == day {
		r.addProblem("hours", "%q must be a range such as 18:00-23:30", r.values["hours"])
		return 0, day
	}
	return begin, end
}

// utcOffset parses the key utc-offset, such as -05:00.
func (r sectionReader) utcOffset() time.Duration {
	text := r.values["utc-offset"]
	if text == "" {
		return 0
	}
	offset, ok := parseTimeOfDay(text[1:])
	if !ok || offset > maxUTCOffset || text[0] != '+' && text[0] != '-' {
		r.addProblem("utc-offset", "%q must be an offset from -14:00 to +14:00, such as -05:00", text)
		return 0
	}
	if text[0] == '-' {
		return -offset
	}
	return offset
}

// parseTimeOfDay parses a time from 00:00 to 24:00 and returns it as the time since midnight, and whether the text is valid.
func parseTimeOfDay(text string) (time.Duration, bool) {
	text = strings.TrimSpace(text)
	if text == "24:00" {
		return day, true
	}
	t, err := time.Parse("15:04", text)
	return time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute, err == nil
}
