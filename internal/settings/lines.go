package settings

import (
	"fmt"
	"strings"
)

type (
	sectionKey struct{ section, key string }

	// parser holds the state of parsing one settings file: the line numbers of its sections and keys, which the INI library doesn't
	// report, the keys in the order of the file, and the problems found so far.
	parser struct {
		file          string
		lineOfSection map[string]int
		lineOfKey     map[sectionKey]int
		keyOrder      []sectionKey
		problems      Problems
	}
)

// scanLines returns a parser with the line numbers of all sections and keys in content, and with the problems of single lines.
func scanLines(file, content string) *parser {
	p := &parser{file: file, lineOfSection: map[string]int{}, lineOfKey: map[sectionKey]int{}}
	section := ""
	for i, line := range strings.Split(content, "\n") {
		line = strings.TrimSpace(strings.TrimPrefix(line, "\ufeff"))
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section = p.addSection(line, i+1)
		default:
			p.addKey(section, line, i+1)
		}
	}
	return p
}

// addSection records the line of a section and returns the name of the section.
func (p *parser) addSection(line string, lineNumber int) string {
	name, rest, closed := strings.Cut(line[1:], "]")
	rest = strings.TrimSpace(rest)
	if !closed || (rest != "" && rest[0] != '#' && rest[0] != ';') {
		p.addProblem(lineNumber, "", fmt.Sprintf("section line %q is malformed", truncate(line)), "[section], optionally followed by a comment")
	}
	name = strings.TrimSpace(name)
	if firstLine, found := p.lineOfSection[name]; found {
		p.addProblem(lineNumber, "", fmt.Sprintf("section [%s] is already on line %d", truncate(name), firstLine), "each section once")
		return name
	}
	p.lineOfSection[name] = lineNumber
	return name
}

// addKey records the line of a key, unless the line has no key or the key is already recorded.
func (p *parser) addKey(section, line string, lineNumber int) {
	key, value, found := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	value = strings.TrimSpace(value)
	id := sectionKey{section, key}
	switch {
	case !found || key == "":
		p.addProblem(lineNumber, "", fmt.Sprintf("line %q is not of the form key = value", truncate(line)), "key = value")
		return
	case strings.ContainsAny(line, "`\"\\%\x00"):
		p.addProblem(lineNumber, truncate(key), "the line contains a quote, backslash, percent sign or NUL", "plain values on one line")
	case p.lineOfKey[id] != 0:
		p.addProblem(lineNumber, key, fmt.Sprintf("key is already on line %d", p.lineOfKey[id]), "each key once")
		return
	case section == "":
		p.addProblem(lineNumber, key, "key is before the first section", "keys below [entry] or [agent]")
	case value == "":
		p.addProblem(lineNumber, key, "key has no value", "key = value, or no line for the default")
	}
	p.lineOfKey[id] = lineNumber
	p.keyOrder = append(p.keyOrder, id)
}

func (p *parser) addProblem(line int, key, message, allowed string) {
	p.problems = append(p.problems, Problem{File: p.file, Line: line, Key: key, Message: message, Allowed: allowed})
}

// hasProblem reports whether a problem of the line is recorded.
func (p *parser) hasProblem(line int) bool {
	for _, problem := range p.problems {
		if problem.Line == line {
			return true
		}
	}
	return false
}

// truncate shortens a text from the settings file, so that problems remain readable.
func truncate(s string) string {
	const maxLength = 60
	if len(s) > maxLength {
		return s[:maxLength] + "..."
	}
	return s
}
