package operator

import "strings"

// diffLine is a line of a diff with its CSS class.
type diffLine struct{ Class, Text string }

// diffLines splits a diff into lines for the template.
func diffLines(diff string) []diffLine {
	var out []diffLine
	for _, text := range strings.Split(strings.TrimSuffix(diff, "\n"), "\n") {
		class := "same"
		switch {
		case strings.HasPrefix(text, "+"):
			class = "added"
		case strings.HasPrefix(text, "-"):
			class = "removed"
		case strings.HasPrefix(text, "@"):
			class = "left-out"
		}
		out = append(out, diffLine{class, text})
	}
	return out
}
