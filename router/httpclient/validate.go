package httpclient

import (
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// InvalidRequestError means that a request cannot be written as HTTP/1.1: one of its texts
// would end the line that it is written in, or begin another field or request.
type InvalidRequestError struct{ Reason string }

// Error implements error.
func (e *InvalidRequestError) Error() string { return "invalid request: " + e.Reason }

// check returns an *InvalidRequestError if a text of the head has a character that HTTP/1.1
// does not allow there (RFC 9112, sections 3 and 5).
func (r *Request) check() error {
	switch {
	case !httpguts.ValidHeaderFieldName(r.Method):
		return &InvalidRequestError{Reason: "the method " + strconv.Quote(r.Method) + " is not a token"}
	case r.URI == "" || strings.ContainsFunc(r.URI, isBlankOrControl):
		return &InvalidRequestError{Reason: "the request target is empty or has a blank or a control character"}
	case !httpguts.ValidHeaderFieldValue(r.Host):
		return &InvalidRequestError{Reason: "the host has a control character"}
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &InvalidRequestError{Reason: "the name of the header " + strconv.Quote(name) + " is not a token"}
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return &InvalidRequestError{Reason: "the header " + name + " has a control character"}
			}
		}
	}
	return nil
}

func isBlankOrControl(r rune) bool { return r <= ' ' || r == 0x7f }
