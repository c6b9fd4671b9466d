package config

// Severity says whether a finding keeps a document from being accepted.
type Severity string

const (
	// SeverityError marks a document that must not be accepted.
	SeverityError Severity = "error"
	// SeverityWarning marks a document that may be accepted but probably does
	// not do what its author expects.
	SeverityWarning Severity = "warning"
)

// Finding is one fault in a document.
type Finding struct {
	// Path names the value, for example services[1].rules[0].dataCentres[2].
	Path     string   `json:"path"`
	Text     string   `json:"text"`
	Severity Severity `json:"severity"`
}

// String returns path: text, with a mark for warnings.
func (f Finding) String() string {
	text := f.Text
	if f.Severity == SeverityWarning {
		text = "warning: " + text
	}
	if f.Path == "" {
		return text
	}
	return f.Path + ": " + text
}

// HasErrors reports whether one of the findings is an error.
func HasErrors(findings []Finding) bool {
	for _, f := range findings {
		if f.Severity == SeverityError {
			return true
		}
	}
	return false
}
