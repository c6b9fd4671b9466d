package bqctl

import (
	"errors"

	"bramleyquay.example/router/operator"
)

// Exit codes of bqctl.
const (
	ExitDone     = 0
	ExitFailed   = 1
	ExitInvalid  = 2
	ExitConflict = 3
	ExitUnsafe   = 4
)

// exitError ends a command with an exit code. shown says that the command has
// already printed what happened, so that the error is not printed again.
type exitError struct {
	code  int
	text  string
	shown bool
}

func (e *exitError) Error() string { return e.text }

func invalid(text string) error { return &exitError{code: ExitInvalid, text: text} }

// exitCode returns the exit code for a command's error.
func exitCode(err error) int {
	var exit *exitError
	var apiErr *operator.Error
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &apiErr):
		return apiErrorExitCode(apiErr.Code)
	default:
		return ExitFailed
	}
}

func apiErrorExitCode(code operator.Code) int {
	switch code {
	case operator.CodeInvalid, operator.CodeNotFound, operator.CodeTooLarge:
		return ExitInvalid
	case operator.CodeUnsafe:
		return ExitUnsafe
	default:
		return ExitFailed
	}
}

// advice returns a hint for the operator on whether err left anything changed.
// For an unknown outcome it says that the command can be given again. It is
// empty for errors that are not the operator API's. Commands that only read get
// the same hints.
func advice(err error) string {
	var apiErr *operator.Error
	switch {
	case !errors.As(err, &apiErr):
		return ""
	case apiErr.RetryIsSafe():
		return "nothing was changed"
	default:
		return "it is not known whether the change was accepted; give the same command again, it is sent as the same change"
	}
}
