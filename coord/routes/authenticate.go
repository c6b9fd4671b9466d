package routes

import "strings"

// Refusal is the reason why a request is unauthorized. It is empty if the request is
// accepted. No refusal contains a part of the request.
type Refusal string

// The reasons why a request is unauthorized.
const (
	NoKey        Refusal = "unauthorized: no key"
	SeveralKeys  Refusal = "unauthorized: several keys"
	OtherScheme  Refusal = "unauthorized: other scheme"
	MalformedKey Refusal = "unauthorized: malformed key"
	UnknownKey   Refusal = "unauthorized: unknown key"
)

// Authenticate returns the account of a request from its decoded path and the values of
// its Authorization headers. The account is nil if the request needs none: without
// accounts in the document, or on a public route without such a header. A path that may
// leave the prefix of the public route needs a key.
func (t *Table) Authenticate(r *Route, path, scheme string, values []string) (*Account, Refusal) {
	if !t.HasAccounts() || r.Public && len(values) == 0 && !hasDotSegments(path) {
		return nil, ""
	}
	key, refusal := ParseAuthorization(scheme, values)
	if refusal != "" {
		return nil, refusal
	}
	if a, ok := t.AccountOf(key); ok {
		return a, ""
	}
	return nil, UnknownKey
}

// hasDotSegments reports whether a decoded path has a segment "." or "..". Targets may
// remove these segments, and then serve the path of another route. Some targets also
// separate segments by backslashes, or ignore the rest of a segment after a semicolon.
func hasDotSegments(path string) bool {
	for segment := range strings.FieldsFuncSeq(path, func(c rune) bool { return c == '/' || c == '\\' }) {
		if name, _, _ := strings.Cut(segment, ";"); name == "." || name == ".." {
			return true
		}
	}
	return false
}

// ParseAuthorization returns the key in the values of the Authorization headers of one
// request. Exactly one value is accepted: the scheme, compared without regard to case,
// one or more spaces, and the key, which has no spaces or control characters.
func ParseAuthorization(scheme string, values []string) (string, Refusal) {
	switch len(values) {
	case 0:
		return "", NoKey
	case 1:
	default:
		return "", SeveralKeys
	}
	given, key, _ := strings.Cut(strings.Trim(values[0], " \t"), " ")
	key = strings.TrimLeft(key, " ")
	switch {
	case given == "":
		return "", NoKey
	case !strings.EqualFold(given, scheme):
		return "", OtherScheme
	case key == "":
		return "", NoKey
	case !isSendable(key):
		return "", MalformedKey
	}
	return key, ""
}
