package config

import (
	"fmt"
	"strings"
)

// MaxNameLength is the maximum length of names in bytes. Names are part of URLs,
// log lines and every message about a unit.
const MaxNameLength = 63

// CheckName returns a description of what is wrong with a name, or the empty
// string if it is valid. A colon is not allowed because it separates service and
// rule in key space names, a slash because it separates the parts of a unit and
// of a URL.
func CheckName(name string) string {
	if name == "" {
		return "is missing"
	}
	if len(name) > MaxNameLength {
		return fmt.Sprintf("is longer than %d characters", MaxNameLength)
	}
	if name == "." || name == ".." {
		return "may not be . or .., which a URL cannot carry"
	}
	if strings.ContainsFunc(name, func(r rune) bool { return !isNameRune(r) }) {
		return "may hold letters, digits, '-', '_' and '.' only"
	}
	return ""
}

func isNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.'
}
