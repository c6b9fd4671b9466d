package store

import (
	"errors"
	"io"
	"os"
	"syscall"
)

// ErrLocked means that another process, or another Store of this one, has
// the folder open.
var ErrLocked = errors.New("the folder is in use")

const lockName = "lock"

// locker is an FS that can be held by one Store at a time. Two writers would
// interleave their records.
type locker interface {
	Lock() (io.Closer, error)
}

// lockFolder holds the folder if its FS supports that.
func lockFolder(fsys FS) (io.Closer, error) {
	if l, ok := fsys.(locker); ok {
		return l.Lock()
	}
	return io.NopCloser(nil), nil
}

// Lock holds the folder until the result is closed or the process ends. The
// lock file stays: removing it would let two processes lock different files.
func (o osFS) Lock() (io.Closer, error) {
	if err := makeDir(o.dir); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(o.path(lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}
