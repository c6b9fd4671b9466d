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

// exitError ends a command with a code. Shown says that the command has
// already printed what happened.
type exitError struct {
	code  int
	text  string
	shown bool
}

func (e *exitError) Error() string { return e.text }

func invalid(text string) error { return &exitError{code: ExitInvalid, text: text} }

// exitCode returns the code of a command's error.
func exitCode(err error) int {
	var exit *exitError
	var refused *operator.Error
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &refused):
		return refusedCode(refused.Code)
	default:
		return ExitFailed
	}
}

func refusedCode(code operator.Code) int {
	switch code {
	case operator.CodeInvalid, operator.CodeNotFound, operator.CodeTooLarge:
		return ExitInvalid
	case operator.CodeUnsafe:
		return ExitUnsafe
	default:
		return ExitFailed
	}
}

// advice says whether the command may be given again after err.
func advice(err error) string {
	var refused *operator.Error
	switch {
	case !errors.As(err, &refused):
		return ""
	case refused.RetryIsSafe():
		return "nothing was changed"
	default:
		return "it is not known whether the change was accepted; give the same command again, it is sent as the same change"
	}
}
