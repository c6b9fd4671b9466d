package strictjson

import (
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// fieldsOf returns the field indices of a struct type by JSON name. Fields
// without a json tag are left out.
func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" && t.Field(i).IsExported() {
			fields[name] = i
		}
	}
	return fields
}

// unknownFieldText returns the text of a finding about an unknown field. It
// suggests a similar name if there is one.
func unknownFieldText(name string, fields map[string]int) string {
	names := make([]string, 0, len(fields))
	for known := range fields {
		names = append(names, known)
	}
	slices.Sort(names)
	for _, known := range names {
		if strings.EqualFold(known, name) || similar(known, name) {
			return "unknown field; did you mean " + known + "?"
		}
	}
	return "unknown field; known fields are " + strings.Join(names, ", ")
}

// similar reports whether one insertion, removal or replacement of a byte, or one
// swap of neighbouring bytes, turns a into b. This covers most typing errors.
func similar(a, b string) bool {
	if len(a) > len(b) {
		a, b = b, a
	}
	i := 0
	for i < len(a) && a[i] == b[i] {
		i++
	}
	switch len(b) - len(a) {
	case 0:
		swapped := i+1 < len(a) && a[i] == b[i+1] && a[i+1] == b[i] && a[i+2:] == b[i+2:]
		return swapped || i < len(a) && a[i+1:] == b[i+1:]
	case 1:
		return a[i:] == b[i+1:]
	default:
		return false
	}
}

// printable shortens a name, and quotes it if strconv.Quote escapes a character
// of it, so that a terminal can show it.
func printable(name string) string {
	name = name[:min(len(name), maxNameBytes)]
	if quoted := strconv.Quote(name); quoted != `"`+name+`"` {
		return quoted
	}
	return name
}
