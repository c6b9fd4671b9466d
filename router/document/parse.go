// Package document parses the operator's document of a cluster with hashed
// shards (coord/control) from JSON with comments, with the position of every
// finding. It also writes documents in a canonical form and compares them by
// line.
package document

import (
	"strconv"
	"strings"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/router/settings"
	"bramleyquay.example/router/strictjson"
)

// Parse parses and validates a document. file is only the file name in the
// findings. The document is nil if strictjson cannot parse the text; otherwise
// it contains the values that could be decoded. With errors among the findings
// (settings.HasErrors) it must not be used.
func Parse(file string, text []byte) (*config.Document, []settings.Finding) {
	var d config.Document
	positions, decodeFindings := strictjson.Decode(text, &d)
	if !positions.Has("") {
		return nil, settings.FindingsInFile(file, decodeFindings)
	}
	decodeFindings = append(decodeFindings, missingFields(&d, positions)...)
	findings := settings.FindingsInFile(file, decodeFindings)
	for _, f := range config.Validate(&d) {
		if hasFinding(f.Path, decodeFindings) {
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

// hasFinding reports whether there is a finding about the value at path or about
// a value that encloses it. A value of the wrong type must not be reported as
// missing too.
func hasFinding(path string, findings []strictjson.Finding) bool {
	for _, f := range findings {
		if f.Path != "" && strings.HasPrefix(path, f.Path) {
			if rest := path[len(f.Path):]; rest == "" || rest[0] == '.' || rest[0] == '[' {
				return true
			}
		}
	}
	return false
}

// missingFields returns findings about absent fields whose zero value has a
// meaning that the author may not intend: a switch that is off, or a rule that
// covers every key.
func missingFields(d *config.Document, positions *strictjson.Positions) []strictjson.Finding {
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
	var findings []strictjson.Finding
	for _, path := range paths {
		if !positions.Has(path) {
			findings = append(findings, positions.At(path, "is missing"))
		}
	}
	return findings
}

// Actions returns all automatic actions in the order of the document.
func Actions() []config.Action {
	return []config.Action{
		config.ActionRebalance, config.ActionHotKeys, config.ActionFailover,
		config.ActionReplicaReplacement, config.ActionEjection, config.ActionRetries,
	}
}
