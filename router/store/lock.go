package store

import (
	"errors"
	"io"
	"os"
	"syscall"
)

// ErrLocked means that the folder is open in another process or in another Store
// of this process.
var ErrLocked = errors.New("the folder is in use")

const lockName = "lock"

// locker is an FS that only one Store at a time can lock. Two writers would
// interleave their records.
type locker interface {
	Lock() (io.Closer, error)
}

// lockFolder locks the folder if its FS implements locker.
func lockFolder(fsys FS) (io.Closer, error) {
	if l, ok := fsys.(locker); ok {
		return l.Lock()
	}
	return io.NopCloser(nil), nil
}

// Lock locks the folder until the result is closed or the process ends. It does
// not wait: it returns ErrLocked if the folder is locked. The lock file is never
// removed, because two processes could then lock different files.
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
