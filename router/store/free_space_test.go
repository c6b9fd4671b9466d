package store

import (
	"errors"
	"io/fs"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// fullFS is a folder on a full disk.
type fullFS struct {
	FS
	err error
}

func (f fullFS) Create(string) (File, error) { return nil, f.err }

// Guards against a full disk that passes for another failure, against other
// failures that pass for a full disk, and against a folder that is not as it
// was before.
func TestHasRoom(t *testing.T) {
	is := is.New(t)
	m := newMemFS(1)
	room, err := HasFreeSpace(m)
	is.NoErr(err)
	is.True(room)
	names, err := m.List()
	is.NoErr(err)
	is.Equal(len(names), 0)
	room, err = HasFreeSpace(fullFS{m, &fs.PathError{Op: "open", Path: "x", Err: syscall.ENOSPC}})
	is.NoErr(err)
	is.True(!room)
	_, err = HasFreeSpace(fullFS{m, errInjected})
	is.True(errors.Is(err, errInjected))
}
