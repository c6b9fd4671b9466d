package operator

import (
	"errors"
	"net/http"
)

// Code classifies an Error for programs.
type Code string

const (
	// CodeNotLeader means that the replica is not the leader; nothing was changed.
	// operatorrpc.Client does not return it, but follows the leader's address.
	CodeNotLeader Code = "notLeader"
	// CodeInvalid means that the request is malformed or has an invalid value;
	// nothing was changed.
	CodeInvalid Code = "invalid"
	// CodeNotFound means that something named in the request does not exist, such
	// as a unit or a revision.
	CodeNotFound Code = "notFound"
	// CodeUnsafe means that the action is not possible in the present state: it
	// would endanger the cluster, such as the removal of a replica that a quorum
	// needs, a unit is not served or is moving, or the state changed since the
	// request was planned. Nothing was changed, except that a pending action that
	// no longer fits is removed when it is approved.
	CodeUnsafe Code = "unsafe"
	// CodeUnavailable means that no leader, or for a dump the member, could be
	// reached. Nothing was changed, unless the connection to the leader broke
	// during the call.
	CodeUnavailable Code = "unavailable"
	// CodeUnknown means that no result arrived. The change may have been accepted;
	// a retry with the same change id returns the result, with the exceptions that
	// ControlPlane names.
	CodeUnknown Code = "unknown"
	// CodeUnauthorized means that the request has no valid token or certificate.
	CodeUnauthorized Code = "unauthorized"
	// CodeTooLarge means that the body is larger than MaxBodyBytes.
	CodeTooLarge Code = "tooLarge"
	// CodeInternal means any other error. The change may have been accepted.
	CodeInternal Code = "internal"
)

// Error is a refusal or failure that an operator can act on.
type Error struct {
	Code Code   `json:"code"`
	Text string `json:"text"`
	// Leader is the address of the leader's operator listener, if it is known.
	// It is set only with CodeNotLeader.
	Leader string `json:"leader,omitempty"`
}

// Error returns the text.
func (e *Error) Error() string { return e.Text }

// RetryIsSafe reports whether the code says that the request changed nothing. A
// retry with the same change id is safe with every code.
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

// asError returns err as an *Error. The text of an error of another type is not
// sent to the client; the caller logs it.
func asError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: CodeInternal, Text: "internal error; the log of this process has the details"}
}
