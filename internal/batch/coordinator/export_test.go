package coordinator

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Fingerprint returns a text that shows all values in the state, so that two calls return the same text unless something has changed in between.
func (c *Coordinator) Fingerprint() string {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	var text strings.Builder
	state := reflect.ValueOf(&c.state).Elem()
	visited := map[uintptr]bool{}
	for n := range state.NumField() {
		if name := state.Type().Field(n).Name; name != "mutex" {
			text.WriteString("\n" + name + " ")
			writeValue(&text, state.Field(n), visited)
		}
	}
	return text.String()
}

// writeValue writes the value with all that it refers to. What several pointers refer to is written once.
func writeValue(text *strings.Builder, v reflect.Value, visited map[uintptr]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		fmt.Fprintf(text, "%x", v.Pointer())
		if !v.IsNil() && !visited[v.Pointer()] {
			visited[v.Pointer()] = true
			writeValue(text, v.Elem(), visited)
		}
	case reflect.Interface:
		if !v.IsNil() {
			writeValue(text, v.Elem(), visited)
		}
	case reflect.Struct:
		for n := range v.NumField() {
			text.WriteString(v.Type().Field(n).Name + ":")
			writeValue(text, v.Field(n), visited)
			text.WriteString(" ")
		}
	case reflect.Slice, reflect.Array:
		for n := range v.Len() {
			writeValue(text, v.Index(n), visited)
			text.WriteString(",")
		}
	case reflect.Map:
		keys := map[string]reflect.Value{}
		var sorted []string
		for _, key := range v.MapKeys() {
			name := fmt.Sprint(key)
			if key.Kind() == reflect.Pointer {
				name = fmt.Sprintf("%x", key.Pointer())
			}
			keys[name], sorted = key, append(sorted, name)
		}
		slices.Sort(sorted)
		for _, name := range sorted {
			text.WriteString(name + "=")
			writeValue(text, v.MapIndex(keys[name]), visited)
			text.WriteString(" ")
		}
	case reflect.Func, reflect.Chan:
		fmt.Fprint(text, v.IsNil())
	default:
		fmt.Fprint(text, v)
	}
}
