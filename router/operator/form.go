package operator

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"bramleyquay.example/router/settings"
)

// maxEntries bounds the number of entries of one list that are read from a submitted
// form. Further ones are dropped from the document.
const maxEntries = 1000

// field is one input. Its name is the path of the value in the document, so that
// findings can be matched with it.
type field struct {
	Name, Label, Help string
	// Kind is text, number, check or dataCentres (one checkbox per data centre).
	Kind     string
	Value    string
	Checked  bool
	Options  []option
	Findings []settings.Finding
}

// option is one checkbox of a choice among data centres.
type option struct {
	Value   string
	Checked bool
}

// group holds the inputs of one entry of a list, such as a service, or of the
// switches.
type group struct {
	Title string
	// Path is the entry's path in the document.
	Path string
	// Was is the entry's name before the change. It is empty for a new entry.
	Was string
	// Listed is set for entries of a list, which can be removed.
	Listed   bool
	Fields   []*field
	Findings []settings.Finding
}

// binder copies the values of a submitted form to the document and collects the
// inputs that show them. If values is nil it only collects the inputs.
type binder struct {
	values url.Values
	// inputPath is the entry's path in the submitted form. group.Path is its path
	// in the document, from which removed and empty entries are left out.
	inputPath string
	group     *group
	findings  []settings.Finding
}

// beginGroup starts the group of inputs of an entry.
func (b *binder) beginGroup(inputPath string, g group) *group {
	b.inputPath, b.group = inputPath, &g
	return b.group
}

func (b *binder) input(name string) string { return b.values.Get(b.inputPath + "." + name) }

func (b *binder) add(f field) {
	f.Name = b.group.Path + "." + f.Name
	b.group.Fields = append(b.group.Fields, &f)
}

// text binds a string. White space is not trimmed: it may be part of a key.
func (b *binder) text(name, label, help string, out *string) {
	if b.values != nil {
		*out = b.input(name)
	}
	b.add(field{Name: name, Label: label, Help: help, Kind: "text", Value: *out})
}

// name binds a name, without surrounding white space.
func (b *binder) name(name, label, help string, out *string) {
	if b.values != nil {
		*out = strings.TrimSpace(b.input(name))
	}
	b.add(field{Name: name, Label: label, Help: help, Kind: "text", Value: *out})
}

// check binds a checkbox.
func (b *binder) check(name, label, help string, out *bool) {
	if b.values != nil {
		*out = b.input(name) == "on"
	}
	b.add(field{Name: name, Label: label, Help: help, Kind: "check", Checked: *out})
}

// number binds a whole number. An empty input sets 0, which means the default. An
// input that is not a whole number of type T sets 0 and adds a finding.
func number[T int | int64 | uint32](b *binder, name, label, help string, out *T) {
	shown := ""
	if b.values != nil {
		shown = strings.TrimSpace(b.input(name))
		n, err := strconv.ParseInt(shown, 10, 64)
		*out = T(n)
		if shown != "" && (err != nil || int64(*out) != n) {
			*out = 0
			b.findings = append(b.findings, settings.Finding{File: documentName, Path: b.group.Path + "." + name, Text: "is not a whole number in the possible range"})
		}
	} else if *out != 0 {
		shown = fmt.Sprint(*out)
	}
	b.add(field{Name: name, Label: label, Help: help, Kind: "number", Value: shown})
}

// dataCentres binds a choice among the defined data centres. Chosen names that are
// not defined are shown too, so that the operator can clear them.
func (b *binder) dataCentres(name, label, help string, defined []string, out *[]string) {
	if b.values != nil {
		*out = slices.Clone(b.values[b.inputPath+"."+name])
	}
	f := field{Name: name, Label: label, Help: help, Kind: "dataCentres"}
	for _, dataCentre := range defined {
		f.Options = append(f.Options, option{dataCentre, slices.Contains(*out, dataCentre)})
	}
	for _, dataCentre := range *out {
		if !slices.Contains(defined, dataCentre) {
			f.Options = append(f.Options, option{dataCentre, true})
		}
	}
	b.add(f)
}

// entryPaths returns the paths of a list's entries in the submitted form, up to
// the first missing index and at most maxEntries, without those that are marked for
// removal.
func (b *binder) entryPaths(list string) []string {
	var paths []string
	for i := range maxEntries {
		inputPath := fmt.Sprintf("%s[%d]", list, i)
		if !b.values.Has(inputPath + ".name") {
			break
		}
		if b.values.Get(inputPath+".remove") != "on" {
			paths = append(paths, inputPath)
		}
	}
	return paths
}

// attachFindings adds each finding to the field that has its path or a path above
// it, or else to the group with exactly its path. It returns the findings that match
// neither.
func attachFindings(groups []*group, findings []settings.Finding) (unmatched []settings.Finding) {
	for _, finding := range findings {
		if !attachFinding(groups, finding) {
			unmatched = append(unmatched, finding)
		}
	}
	return unmatched
}

// attachFinding adds one finding. It reports false if no field or group matches.
func attachFinding(groups []*group, finding settings.Finding) bool {
	for _, g := range groups {
		for _, f := range g.Fields {
			if isWithin(finding.Path, f.Name) {
				f.Findings = append(f.Findings, finding)
				return true
			}
		}
	}
	for _, g := range groups {
		if finding.Path == g.Path {
			g.Findings = append(g.Findings, finding)
			return true
		}
	}
	return false
}

// isWithin reports whether path is outer or a path below it.
func isWithin(path, outer string) bool {
	rest, ok := strings.CutPrefix(path, outer)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}
