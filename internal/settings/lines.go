package settings

import (
	"fmt"
	"strings"
)

type (
	sectionKey struct{ section, key string }

	// lineIndex holds the line numbers of sections and keys, which ini.v1 doesn't report, and the problems found so far.
	lineIndex struct {
		file     string
		sections map[string]int
		keys     map[sectionKey]int
		keyOrder []sectionKey
		problems Problems
	}
)

func indexLines(file, content string) *lineIndex {
	x := &lineIndex{file: file, sections: map[string]int{}, keys: map[sectionKey]int{}}
	section := ""
	for i, line := range strings.Split(content, "\n") {
		line = strings.TrimSpace(strings.TrimPrefix(line, "\ufeff"))
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section = x.addSection(line, i+1)
		default:
			x.addKey(section, line, i+1)
		}
	}
	return x
}

func (x *lineIndex) addSection(line string, lineNumber int) string {
	name, rest, closed := strings.Cut(line[1:], "]")
	rest = strings.TrimSpace(rest)
	if !closed || (rest != "" && rest[0] != '#' && rest[0] != ';') {
		x.addProblem(lineNumber, "", fmt.Sprintf("section line %q is malformed", truncate(line)), "[section], optionally followed by a comment")
	}
	name = strings.TrimSpace(name)
	if firstLine, ok := x.sections[name]; ok {
		x.addProblem(lineNumber, "", fmt.Sprintf("section [%s] is already on line %d", truncate(name), firstLine), "each section once")
		return name
	}
	x.sections[name] = lineNumber
	return name
}

func (x *lineIndex) addKey(section, line string, lineNumber int) {
	key, value, ok := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	value = strings.TrimSpace(value)
	id := sectionKey{section, key}
	switch {
	case !ok || key == "":
		x.addProblem(lineNumber, "", fmt.Sprintf("line %q has no key and value", truncate(line)), "key = value")
		return
	case strings.ContainsAny(line, "`\"\\%\x00"):
		x.addProblem(lineNumber, truncate(key), "the line contains a quote, backslash, percent sign or NUL", "plain values on one line")
	case x.keys[id] != 0:
		x.addProblem(lineNumber, key, fmt.Sprintf("key is already on line %d", x.keys[id]), "each key once")
		return
	case section == "":
		x.addProblem(lineNumber, key, "key is before the first section", "keys below [entry] or [agent]")
	case value == "":
		x.addProblem(lineNumber, key, "key has no value", "key = value, or no line for the default")
	}
	x.keys[id] = lineNumber
	x.keyOrder = append(x.keyOrder, id)
}

func (x *lineIndex) addProblem(line int, key, message, allowed string) {
	x.problems = append(x.problems, Problem{File: x.file, Line: line, Key: key, Message: message, Allowed: allowed})
}

// hasProblem reports whether a problem is already recorded for the line.
func (x *lineIndex) hasProblem(line int) bool {
	for _, m := range x.problems {
		if m.Line == line {
			return true
		}
	}
	return false
}

func truncate(s string) string {
	const maxLength = 60
	if len(s) > maxLength {
		return s[:maxLength] + "..."
	}
	return s
}
