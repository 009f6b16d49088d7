package settings

import (
	"fmt"
	"strings"
)

type (
	place struct{ section, key string }

	// lineIndex maps sections and keys to line numbers, which ini.v1 doesn't report.
	lineIndex struct {
		file     string
		sections map[string]int
		keys     map[place]int
		order    []place
		mistakes Problems
	}
)

func indexLines(file, content string) *lineIndex {
	x := &lineIndex{file: file, sections: map[string]int{}, keys: map[place]int{}}
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

func (x *lineIndex) addSection(line string, number int) string {
	name, rest, closed := strings.Cut(line[1:], "]")
	rest = strings.TrimSpace(rest)
	if !closed || (rest != "" && rest[0] != '#' && rest[0] != ';') {
		x.mistake(number, "", fmt.Sprintf("section line %q is malformed", shorten(line)), "[section], optionally followed by a comment")
	}
	name = strings.TrimSpace(name)
	if first, ok := x.sections[name]; ok {
		x.mistake(number, "", fmt.Sprintf("section [%s] is already on line %d", shorten(name), first), "each section once")
		return name
	}
	x.sections[name] = number
	return name
}

func (x *lineIndex) addKey(section, line string, number int) {
	key, value, ok := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	value = strings.TrimSpace(value)
	p := place{section, key}
	switch {
	case !ok || key == "":
		x.mistake(number, "", fmt.Sprintf("line %q has no key and value", shorten(line)), "key = value")
		return
	case strings.ContainsAny(line, "`\"\\%\x00"):
		x.mistake(number, shorten(key), "the line holds a quote, backslash, percent sign or NUL", "plain values on one line")
	case x.keys[p] != 0:
		x.mistake(number, key, fmt.Sprintf("key is already on line %d", x.keys[p]), "each key once")
		return
	case section == "":
		x.mistake(number, key, "key is before the first section", "keys below [entry] or [agent]")
	case value == "":
		x.mistake(number, key, "key has no value", "key = value, or no line for the default")
	}
	x.keys[p] = number
	x.order = append(x.order, p)
}

func (x *lineIndex) mistake(line int, key, problem, allowed string) {
	x.mistakes = append(x.mistakes, Problem{File: x.file, Line: line, Key: key, Message: problem, Allowed: allowed})
}

// marked reports whether a mistake is already known for the line.
func (x *lineIndex) marked(line int) bool {
	for _, m := range x.mistakes {
		if m.Line == line {
			return true
		}
	}
	return false
}

func shorten(s string) string {
	const limit = 60
	if len(s) > limit {
		return s[:limit] + "..."
	}
	return s
}
