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
	// MaxSourceBytes is the maximum size of a source. 2,700 VMs need about 1 MiB.
	MaxSourceBytes = 8 << 20
	// maxProblems is the maximum number of reported problems. A file in another format would otherwise cause one problem per line.
	maxProblems = 1000

	valueRequirement = "value must be plain text without quotes, backslashes, comment signs, line breaks and %( references"
)

type (
	// Sections maps the name of each section to its keys and values.
	Sections = map[string]map[string]string

	// Source is the content of one file.
	Source struct {
		Name string
		Data []byte
	}

	// Problem is one problem in an inventory. File and Line are empty if the sections were not read from a file.
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

	// positions maps a section name, or a section name and a key separated by a NUL byte, to where it is defined.
	positions map[string]position
)

// Parse parses the sources as one inventory. If they are invalid, the error is a Problems value and the other results
// are nil.
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

// Format returns the sections as the text of an INI file, sorted by name. Parse returns the same sections for that text.
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

// String returns the message after those of file, line, section and key that are known.
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

func (p Problems) sorted() Problems {
	slices.SortStableFunc(p, func(a, b Problem) int {
		if c := strings.Compare(a.File, b.File); c != 0 {
			return c
		}
		return a.Line - b.Line
	})
	return p[:min(len(p), maxProblems)]
}

// readSource adds the sections of a source to sections and returns the problems found. The INI library reports no line
// numbers, so scanLines scans the lines as well. It rejects values that span several lines, because the library and
// scanLines would disagree on them.
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

// scanLines records the positions of all sections and keys. It returns a problem for each line that is invalid or that repeats a
// section or key, and the text of the valid lines without comments. Keys below an invalid or repeated section are left out.
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

func parseHeader(line string) (section, message string) {
	name, rest, closed := strings.Cut(line[1:], "]")
	rest = strings.TrimSpace(rest)
	sectionType, sectionName, hasDot := strings.Cut(name, ".")
	if !closed || rest != "" && rest[0] != '#' && rest[0] != ';' || !hasDot || !isName(sectionType) || !isName(sectionName) {
		return "", "section must have the form [kind.name], such as [vm.g1]; names have letters, digits and hyphens"
	}
	return name, ""
}

func isName(s string) bool {
	for _, r := range s {
		if (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return s != "" && s[0] != '-' && len(s) <= 100
}

// isPlainValue reports whether a value is unchanged by the INI library and by Format followed by Parse.
func isPlainValue(s string) bool {
	return strings.TrimSpace(s) == s && !strings.ContainsAny(s, "\"'`\\#;\r\n\x00") && !strings.Contains(s, "%(") && utf8.ValidString(s)
}

// withPosition returns the problem with the file and line of its key, or of its section if the key is missing.
func (x positions) withPosition(p Problem) Problem {
	pos, found := x[p.Section+"\x00"+p.Key]
	if !found {
		pos = x[p.Section]
	}
	p.File, p.Line = pos.file, pos.line
	return p
}
