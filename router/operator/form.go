package operator

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"bramleyquay.example/router/settings"
)

// maxRows bounds the rows of one list in a submitted form.
const maxRows = 1000

// field is one input. Its name is the path of the value in the document, so
// that findings find their field.
type field struct {
	Name, Label, Help string
	// Kind is text, number, check or places.
	Kind     string
	Value    string
	Checked  bool
	Options  []option
	Findings []settings.Finding
}

type option struct {
	Value   string
	Checked bool
}

// group holds the inputs of one entry of a list, such as a service.
type group struct {
	Title string
	// Path is the entry's path in the document.
	Path string
	// Was is the entry's name before the change, empty for a new entry.
	Was string
	// Listed entries can be removed; the switches are not a list.
	Listed   bool
	Fields   []*field
	Findings []settings.Finding
}

// binder reads a submitted form into values and lists the inputs that show
// them. Without submitted values it only lists the inputs.
type binder struct {
	values url.Values
	// in is the entry's path in the submitted form, group.Path its path in the
	// document after removed and empty entries are left out.
	in     string
	group  *group
	faults []settings.Finding
}

// begin starts the inputs of an entry.
func (b *binder) begin(in string, g group) *group {
	b.in, b.group = in, &g
	return b.group
}

func (b *binder) input(name string) string { return b.values.Get(b.in + "." + name) }

func (b *binder) add(f field) {
	f.Name = b.group.Path + "." + f.Name
	b.group.Fields = append(b.group.Fields, &f)
}

// text binds a string. White space is kept: it may be part of a key.
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

func (b *binder) check(name, label, help string, out *bool) {
	if b.values != nil {
		*out = b.input(name) == "on"
	}
	b.add(field{Name: name, Label: label, Help: help, Kind: "check", Checked: *out})
}

// number binds a whole number. An empty input stands for the default value.
func number[T int | int64 | uint32](b *binder, name, label, help string, out *T) {
	shown := ""
	if b.values != nil {
		shown = strings.TrimSpace(b.input(name))
		n, err := strconv.ParseInt(shown, 10, 64)
		*out = T(n)
		if shown != "" && (err != nil || int64(*out) != n) {
			*out = 0
			b.faults = append(b.faults, settings.Finding{File: documentName, Path: b.group.Path + "." + name, Text: "is not a whole number in the possible range"})
		}
	} else if *out != 0 {
		shown = fmt.Sprint(*out)
	}
	b.add(field{Name: name, Label: label, Help: help, Kind: "number", Value: shown})
}

// places binds a choice among data centres. Chosen names that do not exist
// stay in the list, so that the operator sees them.
func (b *binder) places(name, label, help string, all []string, out *[]string) {
	if b.values != nil {
		*out = slices.Clone(b.values[b.in+"."+name])
	}
	f := field{Name: name, Label: label, Help: help, Kind: "places"}
	for _, place := range all {
		f.Options = append(f.Options, option{place, slices.Contains(*out, place)})
	}
	for _, place := range *out {
		if !slices.Contains(all, place) {
			f.Options = append(f.Options, option{place, true})
		}
	}
	b.add(f)
}

// rows returns the paths of a list's entries in the submitted form, without
// those that are marked for removal.
func (b *binder) rows(list string) []string {
	var rows []string
	for i := range maxRows {
		row := fmt.Sprintf("%s[%d]", list, i)
		if !b.values.Has(row + ".name") {
			break
		}
		if b.values.Get(row+".remove") != "on" {
			rows = append(rows, row)
		}
	}
	return rows
}

// attach puts each finding beside its field, or its group if no field has its
// path. It returns the findings that belong to other forms.
func attach(groups []*group, findings []settings.Finding) (elsewhere []settings.Finding) {
	for _, finding := range findings {
		if !attachOne(groups, finding) {
			elsewhere = append(elsewhere, finding)
		}
	}
	return elsewhere
}

func attachOne(groups []*group, finding settings.Finding) bool {
	for _, g := range groups {
		for _, f := range g.Fields {
			if within(finding.Path, f.Name) {
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

// within reports whether path is outer or a part of it.
func within(path, outer string) bool {
	rest, ok := strings.CutPrefix(path, outer)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}
