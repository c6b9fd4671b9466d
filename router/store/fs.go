package store

import "io"

// FS is one flat folder. All names are plain file names. What Create, Rename
// and Remove change is durable after SyncDir.
type FS interface {
	// Create opens an empty file for writing and replaces an existing one.
	Create(name string) (File, error)
	// Open opens an existing file for reading from the start and appending.
	// The error satisfies errors.Is(err, fs.ErrNotExist) if there is none.
	Open(name string) (File, error)
	// Rename replaces the file newName, if any, in one step.
	Rename(oldName, newName string) error
	Remove(name string) error
	// List returns the names of all files. A folder that does not exist is
	// empty.
	List() ([]string, error)
	// SyncDir makes the folder's names durable.
	SyncDir() error
}

// File is an open file. Write appends at the end; Read has a position of its
// own.
type File interface {
	io.ReadWriteCloser
	// Sync makes the content durable.
	Sync() error
	// Truncate cuts the file to size bytes.
	Truncate(size int64) error
}
