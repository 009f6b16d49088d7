// Package inventory parses and validates the operator's inventory and rules. The files are in INI format with
// sections [vm.g1], [service.preview], [team.design], [kind.face-build] and [rule.parish-festival].
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
	// MaxSourceBytes bounds a source. 2,700 VMs need about 1 MiB.
	MaxSourceBytes = 8 << 20
	// maxProblems bounds a report; a file of another format would otherwise give one problem per line.
	maxProblems = 1000

	valueRule = "value must be plain text without quotes, backslashes, comment signs, line breaks and %( references"
)

type (
	// Sections map a section name to its keys and values.
	Sections = map[string]map[string]string

	// Source is the content of one file.
	Source struct {
		Name string
		Data []byte
	}

	// Problem is one mistake. File and Line are empty if the sections did not come from a file.
	Problem struct {
		File    string
		Line    int
		Section string
		Key     string
		Message string
	}

	// Problems are all mistakes found, in the order of files and lines.
	Problems []Problem

	place struct {
		file string
		line int
	}

	// index holds where each section and key was defined.
	index map[string]place
)

// Parse reads the sources as one inventory. The error is of type Problems and lists every mistake; the other
// results are then nil.
func Parse(sources ...Source) (*Inventory, Sections, error) {
	sections, places, problems := Sections{}, index{}, Problems{}
	for _, s := range sources {
		problems = append(problems, read(s, sections, places)...)
	}
	inventory, found := build(sections)
	for _, p := range found {
		problems = append(problems, places.locate(p))
	}
	if len(problems) > 0 {
		return nil, nil, problems.sorted()
	}
	return inventory, sections, nil
}

// Format writes sections as an INI file in sorted order. Parse returns the same sections for it.
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

// String returns file, line, section and key as far as they are known, and the message.
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

// read adds the sections of a source. The library gives no line numbers, so the lines are also scanned here;
// values on several lines are refused to keep the two in step.
func read(s Source, sections Sections, places index) Problems {
	if len(s.Data) > MaxSourceBytes {
		return Problems{{File: s.Name, Message: fmt.Sprintf("file has %d bytes, at most %d are allowed", len(s.Data), MaxSourceBytes)}}
	}
	problems, accepted := scan(s, places)
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation: true, SkipUnrecognizableLines: true, KeyValueDelimiters: "=", PreserveSurroundedQuote: true,
	}, []byte(accepted))
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

// scan records the place of each section and key, reports what is not one, and returns the remaining lines.
func scan(s Source, places index) (Problems, string) {
	var (
		problems Problems
		accepted strings.Builder
		section  string
		skip     = true
	)
	for i, line := range strings.Split(string(s.Data), "\n") {
		line = strings.TrimSpace(line)
		report := func(key, format string, arguments ...any) {
			problems = append(problems, Problem{s.Name, i + 1, section, key, fmt.Sprintf(format, arguments...)})
		}
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if line[0] == '[' {
			var message string
			section, message = header(line)
			if skip = message != ""; skip {
				report("", "%s", message)
			} else if at, known := places[section]; known {
				report("", "section is already defined at %s:%d", at.file, at.line)
				skip = true
			} else {
				places[section] = place{s.Name, i + 1}
				accepted.WriteString("[" + section + "]\n")
			}
			continue
		}
		if comment := strings.IndexAny(line, "#;"); comment >= 0 {
			line = line[:comment]
		}
		key, value, found := strings.Cut(line, "=")
		key, value = strings.TrimSpace(key), strings.TrimSpace(value)
		switch at, known := places[section+"\x00"+key]; {
		case !found || !isName(key):
			report("", "line must be a section such as [vm.g1], or key = value with a key of letters, digits and hyphens")
		case !isValue(value):
			report(key, "%s", valueRule)
		case section == "":
			report(key, "key must be in a section such as [vm.g1]")
		case skip:
		case known:
			report(key, "key is already defined at %s:%d", at.file, at.line)
		default:
			places[section+"\x00"+key] = place{s.Name, i + 1}
			accepted.WriteString(key + " = " + value + "\n")
		}
	}
	return problems, accepted.String()
}

func header(line string) (section, message string) {
	name, rest, found := strings.Cut(line[1:], "]")
	rest = strings.TrimSpace(rest)
	kind, own, dotted := strings.Cut(name, ".")
	if !found || rest != "" && rest[0] != '#' && rest[0] != ';' || !dotted || !isName(kind) || !isName(own) {
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

// isValue excludes what the INI format would change or what would not survive Format.
func isValue(s string) bool {
	return strings.TrimSpace(s) == s && !strings.ContainsAny(s, "\"'`\\#;\r\n\x00") && !strings.Contains(s, "%(") && utf8.ValidString(s)
}

// locate adds file and line: those of the key, or of the section if the key is missing.
func (x index) locate(p Problem) Problem {
	at, known := x[p.Section+"\x00"+p.Key]
	if !known {
		at = x[p.Section]
	}
	p.File, p.Line = at.file, at.line
	return p
}
