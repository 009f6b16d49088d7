package settings

import (
	"fmt"
	"sort"
	"strings"
)

type (
	// Problem is one problem in a settings file.
	Problem struct {
		File string
		// Line is the line number, starting at 1. For a missing key it is the line of the section.
		Line int
		// Key is the key with the problem. It is empty if the problem concerns a section or a whole line.
		Key     string
		Message string
		// Allowed describes what the file may contain instead.
		Allowed string
	}

	// Problems holds all problems of a file, sorted by line. It implements error.
	Problems []Problem
)

// String returns one line with the file, the line number, the key if there is one, the message, and what is allowed.
func (p Problem) String() string {
	keyPrefix := ""
	if p.Key != "" {
		keyPrefix = p.Key + ": "
	}
	return fmt.Sprintf("%s:%d: %s%s; allowed: %s", p.File, p.Line, keyPrefix, p.Message, p.Allowed)
}

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = "settings: " + problem.String()
	}
	return strings.Join(lines, "\n")
}

// sorted sorts the problems by line in place and returns them.
func (p Problems) sorted() Problems {
	sort.SliceStable(p, func(i, j int) bool { return p[i].Line < p[j].Line })
	return p
}
