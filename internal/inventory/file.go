// Package inventory parses and validates the operator's inventory and rules. The files are in INI format with
// sections such as [vm.g1], [service.preview], [team.design], [kind.face-build] and [rule.parish-festival].
package inventory

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

const (
	// MaxSourceBytes is the maximum size of one inventory file. An inventory of 2,700 VMs has about 1 MiB.
	MaxSourceBytes = 8 << 20
	// maxProblems is the maximum number of problems in an error. Without it, a file in another format would cause one problem per line.
	maxProblems = 1000

	valueRequirement = "value must be plain text without quotes, backslashes, comment signs, line breaks and %( references"
)

type (
	// Sections maps the name of each section to its keys and values.
	Sections = map[string]map[string]string

	// Source is the name and the content of one inventory file.
	Source struct {
		Name string
		Data []byte
	}

	// Problem is one problem in an inventory. File and Line are zero if the sections were not read from a file. Section and Key
	// are empty if the problem concerns no section or key.
	Problem struct {
		File    string
		Line    int
		Section string
		Key     string
		Message string
	}

	// Problems holds the problems of an inventory, sorted by file and line. It implements error.
	Problems []Problem

	position struct {
		file string
		line int
	}

	// positions maps sections and keys to the lines that define them. The map key is the name of the section, or the name of the
	// section, a NUL byte and the key.
	positions map[string]position
)

// Parse parses the files in sources as one inventory and returns it with its sections. If a file is invalid, the error is a
// Problems value with the problems of all files, and the other results are nil.
func Parse(sources ...Source) (*Inventory, Sections, error) {
	sections, positionOf, problems := Sections{}, positions{}, Problems{}
	for _, s := range sources {
		problems = append(problems, readSource(s, sections, positionOf)...)
	}
	inventory, buildProblems := build(sections)
	for _, p := range buildProblems {
		problems = append(problems, positionOf.withPosition(p))
	}
	if len(problems) > 0 {
		return nil, nil, problems.sorted()
	}
	return inventory, sections, nil
}

// Format returns the sections as the text of an inventory file, sorted by name. Parse returns the same sections for that text.
func Format(sections Sections) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		fmt.Fprintf(&b, "[%s]\n", name)
		for _, key := range slices.Sorted(maps.Keys(sections[name])) {
			fmt.Fprintf(&b, "%s = %s\n", key, sections[name][key])
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// String returns the message, preceded by the file and line, the section and the key, as far as they are known.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	}
	if p.Section != "" {
		fmt.Fprintf(&b, "[%s] ", p.Section)
	}
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	return b.String() + p.Message
}

// sorted sorts the problems by file and line in place and returns the first maxProblems of them.
func (p Problems) sorted() Problems {
	slices.SortStableFunc(p, func(a, b Problem) int {
		if c := strings.Compare(a.File, b.File); c != 0 {
			return c
		}
		return a.Line - b.Line
	})
	return p[:min(len(p), maxProblems)]
}

// readSource adds the sections of a source to sections, records in positionOf where they are defined, and returns the problems
// found. The INI library reports no line numbers, so scanLines scans the lines first. scanLines rejects quotes, because the library
// would read a quoted value across several lines, and then the results of both would not agree.
func readSource(s Source, sections Sections, positionOf positions) Problems {
	if len(s.Data) > MaxSourceBytes {
		return Problems{{File: s.Name, Message: fmt.Sprintf("file has %d bytes, at most %d are allowed", len(s.Data), MaxSourceBytes)}}
	}
	problems, validText := scanLines(s, positionOf)
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation: true, SkipUnrecognizableLines: true, KeyValueDelimiters: "=", PreserveSurroundedQuote: true,
	}, []byte(validText))
	if err != nil {
		return append(problems, Problem{File: s.Name, Message: err.Error()})
	}
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		sections[section.Name()] = section.KeysHash()
	}
	return problems
}

// scanLines records the positions of all sections and keys in positionOf. It returns a problem for each line that is invalid or
// repeats a section or key, and a text of the valid lines without comments. The text leaves out the keys of an invalid or
// repeated section.
func scanLines(s Source, positionOf positions) (Problems, string) {
	var (
		problems  Problems
		validText strings.Builder
		section   string
		skipKeys  = true
	)
	for i, line := range strings.Split(string(s.Data), "\n") {
		line = strings.TrimSpace(line)
		addProblem := func(key, format string, arguments ...any) {
			problems = append(problems, Problem{s.Name, i + 1, section, key, fmt.Sprintf(format, arguments...)})
		}
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if line[0] == '[' {
			var message string
			section, message = parseHeader(line)
			if skipKeys = message != ""; skipKeys {
				addProblem("", "%s", message)
			} else if firstPosition, found := positionOf[section]; found {
				addProblem("", "section is already defined at %s:%d", firstPosition.file, firstPosition.line)
				skipKeys = true
			} else {
				positionOf[section] = position{s.Name, i + 1}
				validText.WriteString("[" + section + "]\n")
			}
			continue
		}
		if comment := strings.IndexAny(line, "#;"); comment >= 0 {
			line = line[:comment]
		}
		key, value, hasEquals := strings.Cut(line, "=")
		key, value = strings.TrimSpace(key), strings.TrimSpace(value)
		switch firstPosition, found := positionOf[section+"\x00"+key]; {
		case !hasEquals || !isName(key):
			addProblem("", "line must be a section such as [vm.g1], or key = value with a key of letters, digits and hyphens")
		case !isPlainValue(value):
			addProblem(key, "%s", valueRequirement)
		case section == "":
			addProblem(key, "key must be in a section such as [vm.g1]")
		case skipKeys:
		case found:
			addProblem(key, "key is already defined at %s:%d", firstPosition.file, firstPosition.line)
		default:
			positionOf[section+"\x00"+key] = position{s.Name, i + 1}
			validText.WriteString(key + " = " + value + "\n")
		}
	}
	return problems, validText.String()
}

// parseHeader returns the name of the section that begins at the line, or a message that says why the line is invalid.
func parseHeader(line string) (section, message string) {
	name, rest, closed := strings.Cut(line[1:], "]")
	rest = strings.TrimSpace(rest)
	sectionType, sectionName, hasDot := strings.Cut(name, ".")
	if !closed || rest != "" && rest[0] != '#' && rest[0] != ';' || !hasDot || !isName(sectionType) || !isName(sectionName) {
		return "", "section must have the form [type.name], such as [vm.g1]; names have letters, digits and hyphens"
	}
	return name, ""
}

// isName reports whether s is valid as the type of a section, the name after it, or a key.
func isName(s string) bool {
	for _, r := range s {
		if (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return s != "" && s[0] != '-' && len(s) <= 100
}

// isPlainValue reports whether Parse returns the value unchanged after Format has written it. The INI library would interpret
// quotes, backslashes, comment signs (# and ;), line breaks and references such as %(name)s.
func isPlainValue(s string) bool {
	return strings.TrimSpace(s) == s && !strings.ContainsAny(s, "\"'`\\#;\r\n\x00") && !strings.Contains(s, "%(") && utf8.ValidString(s)
}

// withPosition returns the problem with the file and line that define its key, or its section if the file doesn't have the key.
func (x positions) withPosition(p Problem) Problem {
	definedAt, found := x[p.Section+"\x00"+p.Key]
	if !found {
		definedAt = x[p.Section]
	}
	p.File, p.Line = definedAt.file, definedAt.line
	return p
}
