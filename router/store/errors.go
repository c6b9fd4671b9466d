package store

import (
	"errors"
	"fmt"
)

var (
	// ErrClosed refuses the use of a closed store.
	ErrClosed = errors.New("store: closed")
	// ErrNoIdentity means that no identity was written yet.
	ErrNoIdentity = errors.New("store: the folder has no identity")
	// ErrIdentityExists refuses to replace an identity by a different one.
	ErrIdentityExists = errors.New("store: the folder has a different identity")
)

// CorruptError reports damage that a crash cannot cause. The replica must not
// start with this folder; it returns under a new id.
type CorruptError struct {
	File string
	// Offset is the position of the damaged record in bytes.
	Offset int64
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("store: %s is corrupt at byte %d: %s", e.File, e.Offset, e.Reason)
}

// WriteFailedError refuses a write because this or an earlier one failed. What
// the failed write stored is not known; the process must stop, and a new one
// may open the folder again.
type WriteFailedError struct{ Cause error }

// Error implements error.
func (e *WriteFailedError) Error() string {
	return fmt.Sprintf("store: no further writes after a failure: %v", e.Cause)
}

// Unwrap returns the first failure.
func (e *WriteFailedError) Unwrap() error { return e.Cause }

// InvalidWriteError refuses entries or a commit index that do not fit the stored
// log. Nothing was written; the store remains usable.
type InvalidWriteError struct{ Reason string }

// Error implements error.
func (e *InvalidWriteError) Error() string { return "store: " + e.Reason }
