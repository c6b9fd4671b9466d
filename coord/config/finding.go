package config

// Severity states whether a finding makes a document invalid.
type Severity string

const (
	// SeverityError marks a fault for which a document must be rejected.
	SeverityError Severity = "error"
	// SeverityWarning marks a fault for which a document may be accepted, although
	// it probably does not do what its author expects.
	SeverityWarning Severity = "warning"
)

// Finding is one fault in a document.
type Finding struct {
	// Path is the path of the faulty value in the document, for example
	// services[1].rules[0].dataCentres[2].
	Path     string   `json:"path"`
	Text     string   `json:"text"`
	Severity Severity `json:"severity"`
}

// String returns "path: text", or "path: warning: text" for a warning.
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
