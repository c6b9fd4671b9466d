package store

import "io"

// FS is a folder without subfolders. Names are file names without a path. The
// effects of Create, Rename and Remove are durable after SyncDir.
type FS interface {
	// Create creates an empty file for writing, or truncates an existing one.
	Create(name string) (File, error)
	// Open opens an existing file for reading from the start and for appending.
	// If the file does not exist, the error wraps fs.ErrNotExist.
	Open(name string) (File, error)
	// Rename renames a file. It atomically replaces the file newName if it exists.
	Rename(oldName, newName string) error
	// Remove removes a file.
	Remove(name string) error
	// List returns the names of all files. It returns none, and no error, if the
	// folder does not exist.
	List() ([]string, error)
	// SyncDir makes the folder's names durable.
	SyncDir() error
}

// File is an open file. Write appends at the end; it does not change the position
// of Read.
type File interface {
	io.ReadWriteCloser
	// Sync makes the content durable.
	Sync() error
	// Truncate cuts the file to size bytes.
	Truncate(size int64) error
	// Size returns the size of the file in bytes.
	Size() (int64, error)
}
