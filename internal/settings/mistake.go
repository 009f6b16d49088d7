package settings

import (
	"fmt"
	"sort"
	"strings"
)

type (
	// Problem is one mistake in a settings file.
	Problem struct {
		File string
		// Line counts from 1. For a missing key it is the line of the section.
		Line int
		// Key is empty if the mistake concerns a section or a whole line.
		Key     string
		Message string
		// Allowed says what is accepted instead.
		Allowed string
	}

	// Problems are all mistakes of a file, in the order of their lines. It implements error.
	Problems []Problem
)

// String returns the mistake on one line: file, line, key, problem, and what is allowed.
func (m Problem) String() string {
	key := ""
	if m.Key != "" {
		key = m.Key + ": "
	}
	return fmt.Sprintf("%s:%d: %s%s; allowed: %s", m.File, m.Line, key, m.Message, m.Allowed)
}

// Error returns one line for each mistake.
func (m Problems) Error() string {
	lines := make([]string, len(m))
	for i, e := range m {
		lines[i] = "settings: " + e.String()
	}
	return strings.Join(lines, "\n")
}

func (m Problems) sorted() Problems {
	sort.SliceStable(m, func(i, j int) bool { return m[i].Line < m[j].Line })
	return m
}
