package store

import (
	"errors"
	"fmt"
)

var (
	// ErrClosed is returned by Save and SaveSnapshot of a closed store.
	ErrClosed = errors.New("store: closed")
	// ErrNoIdentity means that no identity was written yet.
	ErrNoIdentity = errors.New("store: the folder has no identity")
	// ErrIdentityExists is returned instead of replacing an identity by a different
	// one.
	ErrIdentityExists = errors.New("store: the folder has a different identity")
)

// CorruptError reports damage that a crash cannot cause. The replica must not
// start with this folder; it can rejoin its group under a new id.
type CorruptError struct {
	// File is the file's name without a path.
	File string
	// Offset is the position of the damaged record in bytes. It is 0 for files
	// other than logs.
	Offset int64
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("store: %s is corrupt at byte %d: %s", e.File, e.Offset, e.Reason)
}

// WriteFailedError means that this write or an earlier one failed. How much the
// failed write stored is not known. The process must stop; after a restart the
// folder can be opened again.
type WriteFailedError struct{ Cause error }

// Error implements error.
func (e *WriteFailedError) Error() string {
	return fmt.Sprintf("store: no further writes after a failure: %v", e.Cause)
}

// Unwrap returns the first failure.
func (e *WriteFailedError) Unwrap() error { return e.Cause }

// InvalidWriteError refuses data that cannot be stored, for example entries that
// do not continue the stored log or a commit index after its last entry. Nothing
// was written; the store remains usable.
type InvalidWriteError struct{ Reason string }

// Error implements error.
func (e *InvalidWriteError) Error() string { return "store: " + e.Reason }
