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

	iniOptions = ini.LoadOptions{
		IgnoreContinuation:       true,
		KeyValueDelimiters:       "=",
		SkipUnrecognizableLines:  true,
		SpaceBeforeInlineComment: true,
	}
)

// Parse parses content, the text of a settings file, and returns the same results as Load. The name of the file is used only in
// problems.
func Parse(file string, content []byte) (Role, any, error) {
	text := strings.ReplaceAll(string(content), "\r\n", "\n")
	p := scanLines(file, text)
	role := p.findRole()
	iniFile, err := ini.LoadSources(iniOptions, []byte(text))
	if err != nil && len(p.problems) == 0 {
		p.addProblem(1, "", "file cannot be parsed: "+err.Error(), "sections and lines of key = value")
	}
	if role == "" || err != nil {
		return "", nil, p.problems.sorted()
	}
	section := iniFile.Section(string(role))
	var settings any
	switch role {
	case RoleEntry:
		e := DefaultEntry()
		p.decode(section, &e)
		settings = &e
	case RoleAgent:
		a := DefaultAgent()
		p.decode(section, &a)
		settings = &a
	}
	if len(p.problems) > 0 {
		return "", nil, p.problems.sorted()
	}
	return role, settings, nil
}

// findRole returns the role that the file is for, which is the name of its section, or "" if there is no such section. It records a
// problem for each section that is unknown or belongs to a second role, and a problem if no section sets a role.
func (p *parser) findRole() Role {
	var role Role
	names := make([]string, 0, len(p.lineOfSection))
	for n := range p.lineOfSection {
		names = append(names, n)
	}
	sort.Slice(names, func(i, j int) bool { return p.lineOfSection[names[i]] < p.lineOfSection[names[j]] })
	for _, n := range names {
		switch {
		case n != string(RoleEntry) && n != string(RoleAgent):
			p.addProblem(p.lineOfSection[n], "", fmt.Sprintf("section [%s] is unknown", truncate(n)), "one section, [entry] or [agent]")
		case role != "":
			p.addProblem(p.lineOfSection[n], "", fmt.Sprintf("section [%s] sets a second role", n), "one section, [entry] or [agent]")
		default:
			role = Role(n)
		}
	}
	if role == "" {
		p.addProblem(1, "", "the file has no section that sets a role", "one section, [entry] or [agent]")
	}
	return role
}

// decode stores the values of the section in target, a pointer to the settings of a role, and validates them. It records the
// problems found.
func (p *parser) decode(section *ini.Section, target any) {
	fields := map[string]reflect.Value{}
	collectFields(reflect.ValueOf(target).Elem(), fields)
	knownKeys := make([]string, 0, len(fields))
	for k := range fields {
		knownKeys = append(knownKeys, k)
	}
	sort.Strings(knownKeys)
	for _, id := range p.keyOrder {
		if id.section != section.Name() {
			continue
		}
		field, found := fields[id.key]
		if !found {
			p.addProblem(p.lineOfKey[id], truncate(id.key), "key is unknown in ["+id.section+"]", strings.Join(knownKeys, ", "))
			continue
		}
		if p.hasProblem(p.lineOfKey[id]) {
			continue
		}
		if allowed := setField(field, section.Key(id.key).Value()); allowed != "" {
			p.addProblem(p.lineOfKey[id], id.key, fmt.Sprintf("value %q has the wrong type", truncate(section.Key(id.key).Value())), allowed)
		}
	}
	p.validate(section.Name(), target)
}

// collectFields adds the fields of the struct v, including those of embedded structs, to fields under their keys in the file.
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

// setField parses the value and stores it in the field. It returns "", or a description of the allowed values if the value can't be
// parsed.
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
		var items []string
		for _, item := range strings.Split(value, ",") {
			items = append(items, strings.TrimSpace(item))
		}
		field.Set(reflect.ValueOf(items))
	default:
		field.SetString(value)
	}
	return ""
}
