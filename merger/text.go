package merger

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

const timeFormat = "2006-01-02T15:04:05.000000Z"

// WriteText writes one line for each event in causal order, followed by the gaps in the sequence numbers and the number
// of dropped events. It quotes each text of an event that is empty or contains spaces, equals signs, quotes or control
// characters.
func (m *Merger) WriteText(w io.Writer) error {
	for _, e := range m.Events() {
		line := fmt.Sprintf("%s+%d %s #%d %s %s", formatTimestamp(e.Nanoseconds), e.Counter, quoteIfNeeded(e.Process), e.Sequence, quoteIfNeeded(e.Kind), quoteIfNeeded(e.Subject))
		for _, k := range slices.Sorted(maps.Keys(e.Details)) {
			line += " " + quoteIfNeeded(k) + "=" + quoteIfNeeded(e.Details[k])
		}
		if _, err := fmt.Fprintln(w, strings.TrimRight(line, " ")); err != nil {
			return err
		}
	}
	for _, g := range m.Gaps() {
		if _, err := fmt.Fprintf(w, "missing: %s #%d to #%d\n", quoteIfNeeded(g.Process), g.First, g.Last); err != nil {
			return err
		}
	}
	if n := m.Dropped(); n > 0 {
		if _, err := fmt.Fprintf(w, "dropped: %d events beyond the bound\n", n); err != nil {
			return err
		}
	}
	return nil
}

func formatTimestamp(nanoseconds int64) string {
	return time.Unix(0, nanoseconds).UTC().Format(timeFormat)
}

func quoteIfNeeded(s string) string {
	q := strconv.Quote(s)
	if s != "" && q == `"`+s+`"` && !strings.ContainsAny(s, " =") {
		return s
	}
	return q
}
