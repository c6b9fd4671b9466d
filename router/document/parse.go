// Package document reads the operator's document from JSON with comments,
// with a position for every finding, and writes its canonical form.
package document

import (
	"strconv"
	"strings"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/router/settings"
	"bramleyquay.example/router/strictjson"
)

// Parse reads and validates a document. File is used in the findings only. The
// document is nil if the text is not JSON with comments. With errors among the
// findings (settings.HasErrors) the document must not be used.
func Parse(file string, text []byte) (*config.Document, []settings.Finding) {
	var d config.Document
	positions, found := strictjson.Decode(text, &d)
	if !positions.Has("") {
		return nil, settings.FindingsInFile(file, found)
	}
	found = append(found, missing(&d, positions)...)
	findings := settings.FindingsInFile(file, found)
	for _, f := range config.Validate(&d) {
		if covered(f.Path, found) {
			continue
		}
		line, column := positions.Find(f.Path)
		findings = append(findings, settings.Finding{
			File: file, Line: line, Column: column, Path: f.Path, Text: f.Text,
			Warning: f.Severity == config.SeverityWarning,
		})
	}
	settings.Sort(findings)
	return &d, findings
}

// covered reports whether the text already has a finding at path or around it.
// A value of a wrong type must not be reported as missing too.
func covered(path string, found []strictjson.Finding) bool {
	for _, f := range found {
		if f.Path != "" && strings.HasPrefix(path, f.Path) {
			if rest := path[len(f.Path):]; rest == "" || rest[0] == '.' || rest[0] == '[' {
				return true
			}
		}
	}
	return false
}

// missing reports absent fields whose zero value would be taken for a decision:
// a switch that is off, or a rule that covers every key.
func missing(d *config.Document, positions *strictjson.Positions) []strictjson.Finding {
	paths := []string{"dataCentres", "services", "automation"}
	if positions.Has("automation") {
		for _, action := range Actions() {
			paths = append(paths, "automation."+string(action))
		}
	}
	for i, s := range d.Services {
		for j := range s.Rules {
			paths = append(paths, "services["+strconv.Itoa(i)+"].rules["+strconv.Itoa(j)+"].prefix")
		}
	}
	var found []strictjson.Finding
	for _, path := range paths {
		if !positions.Has(path) {
			found = append(found, positions.At(path, "is missing"))
		}
	}
	return found
}

// Actions returns all automatic actions in the order of the document.
func Actions() []config.Action {
	return []config.Action{
		config.ActionRebalance, config.ActionHotKeys, config.ActionFailover,
		config.ActionReplicaReplacement, config.ActionEjection, config.ActionRetries,
	}
}
