package store

import (
	"errors"
	"io/fs"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// fullFS is a folder in which no file can be created. err is the error.
type fullFS struct {
	FS
	err error
}

func (f fullFS) Create(string) (File, error) { return nil, f.err }

// Guards against reporting a full disk as another failure or another failure as a
// full disk, and against leaving the probe file in the folder.
func TestHasFreeSpace(t *testing.T) {
	is := is.New(t)
	m := newMemFS(1)
	free, err := HasFreeSpace(m)
	is.NoErr(err)
	is.True(free)
	names, err := m.List()
	is.NoErr(err)
	is.Equal(len(names), 0)
	free, err = HasFreeSpace(fullFS{m, &fs.PathError{Op: "open", Path: "x", Err: syscall.ENOSPC}})
	is.NoErr(err)
	is.True(!free)
	_, err = HasFreeSpace(fullFS{m, errInjected})
	is.True(errors.Is(err, errInjected))
}
