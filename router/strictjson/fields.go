package strictjson

import (
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// fieldsOf maps the JSON names of a struct type to its field indices. Every
// field that a text may give has a json tag.
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

func unknownText(name string, fields map[string]int) string {
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

// similar reports whether one insertion, removal, replacement or exchange of
// neighbouring letters turns a into b. This covers most typing errors.
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

// printable shortens and quotes a name that a terminal cannot show as it is.
func printable(name string) string {
	name = name[:min(len(name), maxName)]
	if quoted := strconv.Quote(name); quoted != `"`+name+`"` {
		return quoted
	}
	return name
}
