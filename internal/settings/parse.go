package settings

import (
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

var (
	durationType = reflect.TypeFor[time.Duration]()

	loadOptions = ini.LoadOptions{
		IgnoreContinuation:       true,
		KeyValueDelimiters:       "=",
		SkipUnrecognizableLines:  true,
		SpaceBeforeInlineComment: true,
	}
)

// Parse parses the settings in content. The name of the file appears only in problems. Parse returns the same results as Load.
func Parse(file string, content []byte) (Role, any, error) {
	text := strings.ReplaceAll(string(content), "\r\n", "\n")
	x := indexLines(file, text)
	role := x.findRole()
	iniFile, err := ini.LoadSources(loadOptions, []byte(text))
	if err != nil && len(x.problems) == 0 {
		x.addProblem(1, "", "file cannot be parsed: "+err.Error(), "sections and lines of key = value")
	}
	if role == "" || err != nil {
		return "", nil, x.problems.sorted()
	}
	section := iniFile.Section(string(role))
	var settings any
	switch role {
	case RoleEntry:
		e := DefaultEntry()
		x.decode(section, &e)
		settings = &e
	case RoleAgent:
		a := DefaultAgent()
		x.decode(section, &a)
		settings = &a
	}
	if len(x.problems) > 0 {
		return "", nil, x.problems.sorted()
	}
	return role, settings, nil
}

// findRole returns the role whose section the file contains, and records problems about sections.
func (x *lineIndex) findRole() Role {
	var role Role
	names := make([]string, 0, len(x.sections))
	for n := range x.sections {
		names = append(names, n)
	}
	sort.Slice(names, func(i, j int) bool { return x.sections[names[i]] < x.sections[names[j]] })
	for _, n := range names {
		switch {
		case n != string(RoleEntry) && n != string(RoleAgent):
			x.addProblem(x.sections[n], "", fmt.Sprintf("section [%s] is unknown", truncate(n)), "one section, [entry] or [agent]")
		case role != "":
			x.addProblem(x.sections[n], "", fmt.Sprintf("section [%s] sets a second role", n), "one section, [entry] or [agent]")
		default:
			role = Role(n)
		}
	}
	if role == "" {
		x.addProblem(1, "", "the file has no section that sets a role", "one section, [entry] or [agent]")
	}
	return role
}

func (x *lineIndex) decode(section *ini.Section, target any) {
	fields := map[string]reflect.Value{}
	collectFields(reflect.ValueOf(target).Elem(), fields)
	knownKeys := make([]string, 0, len(fields))
	for k := range fields {
		knownKeys = append(knownKeys, k)
	}
	sort.Strings(knownKeys)
	for _, p := range x.keyOrder {
		if p.section != section.Name() {
			continue
		}
		field, ok := fields[p.key]
		if !ok {
			x.addProblem(x.keys[p], truncate(p.key), "key is unknown in ["+p.section+"]", strings.Join(knownKeys, ", "))
			continue
		}
		if x.hasProblem(x.keys[p]) {
			continue
		}
		if allowed := setField(field, section.Key(p.key).Value()); allowed != "" {
			x.addProblem(x.keys[p], p.key, fmt.Sprintf("value %q has the wrong type", truncate(section.Key(p.key).Value())), allowed)
		}
	}
	x.validate(section.Name(), target)
}

func collectFields(v reflect.Value, fields map[string]reflect.Value) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if f.Anonymous {
			collectFields(v.Field(i), fields)
			continue
		}
		fields[f.Tag.Get("ini")] = v.Field(i)
	}
}

// setField parses the value and stores it in the field. If the value can't be parsed, setField returns what is allowed.
func setField(field reflect.Value, value string) string {
	switch {
	case field.Type() == durationType:
		d, err := time.ParseDuration(value)
		if err != nil {
			return "a duration with a unit, such as 500ms, 10s or 30m"
		}
		field.SetInt(int64(d))
	case field.Kind() == reflect.Int, field.Kind() == reflect.Int64:
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return "a whole number"
		}
		field.SetInt(n)
	case field.Kind() == reflect.Slice:
		var parts []string
		for _, e := range strings.Split(value, ",") {
			parts = append(parts, strings.TrimSpace(e))
		}
		field.Set(reflect.ValueOf(parts))
	default:
		field.SetString(value)
	}
	return ""
}
