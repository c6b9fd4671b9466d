package operator

import (
	"errors"
	"net/http"
)

// Code classifies an Error for programs.
type Code string

const (
	// CodeNotLeader means that another replica leads; nothing was done.
	CodeNotLeader Code = "notLeader"
	// CodeInvalid means that the request makes no sense; nothing was done.
	CodeInvalid Code = "invalid"
	// CodeNotFound means that the named thing does not exist.
	CodeNotFound Code = "notFound"
	// CodeUnsafe means that the action would endanger the cluster, such as the
	// removal of a replica that a quorum needs; nothing was done.
	CodeUnsafe Code = "unsafe"
	// CodeUnavailable means that no leader could be reached; nothing was done.
	CodeUnavailable Code = "unavailable"
	// CodeUnknown means that the answer was lost. The change may have been
	// accepted; the same request with the same change id tells.
	CodeUnknown Code = "unknown"
	// CodeUnauthorized means that the client did not prove the secret.
	CodeUnauthorized Code = "unauthorized"
	// CodeTooLarge means that the body is over the limit.
	CodeTooLarge Code = "tooLarge"
	// CodeInternal is any other fault. The change may have been accepted.
	CodeInternal Code = "internal"
)

// Error is a refusal or failure that an operator can act on.
type Error struct {
	Code Code   `json:"code"`
	Text string `json:"text"`
	// Leader is the leader's operator address with CodeNotLeader, if known.
	Leader string `json:"leader,omitempty"`
}

// Error returns the text.
func (e *Error) Error() string { return e.Text }

// RetryIsSafe reports whether the request certainly changed nothing. A resend
// with the same change id is safe in any case.
func (e *Error) RetryIsSafe() bool {
	return e.Code != CodeUnknown && e.Code != CodeInternal
}

// status returns the HTTP status of a code.
func (c Code) status() int {
	switch c {
	case CodeNotLeader:
		return http.StatusMisdirectedRequest
	case CodeInvalid:
		return http.StatusBadRequest
	case CodeNotFound:
		return http.StatusNotFound
	case CodeUnsafe:
		return http.StatusPreconditionFailed
	case CodeUnavailable:
		return http.StatusServiceUnavailable
	case CodeUnknown:
		return http.StatusGatewayTimeout
	case CodeUnauthorized:
		return http.StatusUnauthorized
	case CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusInternalServerError
	}
}

// asError returns err as an *Error. A fault of another type keeps its text out
// of the answer, because it is for the log.
func asError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: CodeInternal, Text: "internal fault; the log of this process has the details"}
}
