// Package metriclabel writes the names of metrics whose labels have values that operators
// or targets chose.
package metriclabel

import "strings"

// escaper escapes what the text format for metrics escapes in the value of a label
// (Prometheus exposition formats, version 0.0.4). All other characters stand for themselves.
var escaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// escape returns the value of a label as it is written between quotation marks. Bytes that
// are not UTF-8, which the format requires, are replaced by U+FFFD.
func escape(value string) string {
	return escaper.Replace(strings.ToValidUTF8(value, "\uFFFD"))
}

// Name returns the name of a metric with labels. Labels are pairs of a label's name and its
// value.
func Name(metric string, labels ...string) string {
	var out strings.Builder
	out.WriteString(metric)
	for i := 0; i+1 < len(labels); i += 2 {
		if i == 0 {
			out.WriteByte('{')
		} else {
			out.WriteByte(',')
		}
		out.WriteString(labels[i] + `="` + escape(labels[i+1]) + `"`)
	}
	if len(labels) > 1 {
		out.WriteByte('}')
	}
	return out.String()
}
