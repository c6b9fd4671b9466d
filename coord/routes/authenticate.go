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

// Authenticate returns the account of a request from the values of its Authorization
// headers. The account is nil if the request needs none: without accounts in the
// document, or on a public route without such a header.
func (t *Table) Authenticate(r *Route, scheme string, values []string) (*Account, Refusal) {
	if !t.HasAccounts() || r.Public && len(values) == 0 {
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
