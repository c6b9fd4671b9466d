package routes

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// MaxNameBytes bounds the names of routes and services. Requests between processes and log
// lines contain both, and targets get the name of the calling service in a header, of which
// common servers accept 8 KiB in all.
const MaxNameBytes = 4 << 10

// CheckServiceName returns why a service cannot have a name, or an empty string if it can.
// Targets get the name in a header, as it is.
func CheckServiceName(name string) string {
	if reason := checkName(name); reason != "" {
		return reason
	}
	return checkHeaderValue(name)
}

// checkName returns why neither a route nor a service can have a name, or an empty string.
func checkName(name string) string {
	switch {
	case len(name) > MaxNameBytes:
		return fmt.Sprintf("the name is longer than %d bytes", MaxNameBytes)
	case !utf8.ValidString(name):
		return "the name is not valid UTF-8"
	}
	return ""
}

// checkHeaderValue returns why a text cannot be the value of an HTTP header (RFC 9110,
// section 5.5), or an empty string.
func checkHeaderValue(text string) string {
	switch {
	case strings.ContainsFunc(text, isForbidden):
		return "it has a control character, which no HTTP header can carry"
	case strings.Trim(text, " \t") != text:
		return "it begins or ends with a blank, which HTTP headers lose"
	}
	return ""
}

// isForbidden reports whether no header can have a character. Those beyond ASCII are sent as
// the bytes of their UTF-8.
func isForbidden(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// texts checks the texts that requests, headers and log lines carry. The names of accounts
// are checked with the accounts.
func (v *validation) texts(d *Document) {
	for i := range d.Services {
		name := d.Services[i].Name
		if reason := CheckServiceName(name); reason != "" {
			v.add(placeOf("service", i, name), "%s", reason)
		}
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		if reason := checkName(r.Name); reason != "" {
			v.add(placeOf("route", i, r.Name), "%s", reason)
		}
		if reason := checkHeaderValue(r.Host); reason != "" {
			v.add(placeOf("route", i, r.Name), "no request can have the host %q: %s", r.Host, reason)
		}
	}
}

// placeOf returns the place of an item in findings. An item whose name is too long is named
// by its position, counted from 1.
func placeOf(kind string, index int, name string) string {
	if len(name) > MaxNameBytes {
		return fmt.Sprintf("%s %d", kind, index+1)
	}
	return fmt.Sprintf("%s %q", kind, name)
}
