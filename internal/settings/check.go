package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

var (
	identifierPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	structValidator   = newStructValidator()

	// tagDescriptions maps the names in validate tags that this package defines to descriptions of the allowed values.
	tagDescriptions = map[string]string{
		"identifier": "1 to 63 lower-case letters, digits, dots and hyphens, starting with a letter or digit",
		"listen":     "an IP address and a port from 1 to 65535, such as 10.0.0.1:7000; names are not resolved",
		"reachable":  "an IP address other than 0.0.0.0 or [::] and a port from 1 to 65535, such as 10.0.0.1:7000; names are not resolved",
	}
)

func newStructValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("ini") })
	validateByTag := map[string]validator.Func{
		"identifier": func(f validator.FieldLevel) bool { return identifierPattern.MatchString(f.Field().String()) },
		"listen":     func(f validator.FieldLevel) bool { return isAddrPort(f.Field().String()) },
		"reachable": func(f validator.FieldLevel) bool {
			s := f.Field().String()
			return isAddrPort(s) && !netip.MustParseAddrPort(s).Addr().IsUnspecified()
		},
	}
	for tag, validateField := range validateByTag {
		if err := v.RegisterValidation(tag, validateField); err != nil {
			panic(err)
		}
	}
	return v
}

func isAddrPort(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() > 0
}

// validate checks the decoded settings in target by their validate tags and records the problems. It skips a setting if a problem
// of its line is already recorded.
func (p *parser) validate(section string, target any) {
	var fieldErrors validator.ValidationErrors
	if !errors.As(structValidator.Struct(target), &fieldErrors) {
		return
	}
	for _, f := range fieldErrors {
		key, _, _ := strings.Cut(f.Field(), "[")
		line, found := p.lineOfKey[sectionKey{section, key}]
		if found && p.hasProblem(line) {
			continue
		}
		if !found {
			line = p.lineOfSection[section]
		}
		if f.Tag() == "required" {
			p.addProblem(line, key, "required key is missing", describeAllowed(target, key))
			continue
		}
		p.addProblem(line, key, fmt.Sprintf("value %q is not allowed", truncate(fmt.Sprint(f.Value()))), describeAllowed(target, key))
	}
}

// describeAllowed returns a description of the values that the validate tag of a field allows. key is the key of the field, and
// target points to the struct with the field.
func describeAllowed(target any, key string) string {
	tag, fieldType := findValidateTag(reflect.TypeOf(target).Elem(), key)
	minimum := ""
	for _, r := range strings.Split(tag, ",") {
		name, param, _ := strings.Cut(r, "=")
		switch {
		case tagDescriptions[name] != "" && fieldType.Kind() == reflect.Slice:
			return "at most 64 values separated by commas, each " + tagDescriptions[name]
		case tagDescriptions[name] != "":
			return tagDescriptions[name]
		case name == "oneof":
			return "one of " + strings.ReplaceAll(param, " ", ", ")
		case name == "min":
			minimum = param
		case name == "max" && fieldType.Kind() != reflect.Slice:
			return minimum + " to " + param
		}
	}
	return "see the example files in examples/settings"
}

// findValidateTag returns the validate tag and the type of the field for the key, also if the field is in an embedded struct. The
// type is nil if there is no such field.
func findValidateTag(t reflect.Type, key string) (string, reflect.Type) {
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			if tag, fieldType := findValidateTag(f.Type, key); fieldType != nil {
				return tag, fieldType
			}
		}
		if f.Tag.Get("ini") == key {
			return f.Tag.Get("validate"), f.Type
		}
	}
	return "", nil
}
