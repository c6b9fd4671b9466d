package store

import (
	"errors"
	"syscall"
)

const (
	probeName = "room" + tempSuffix
	// probeBytes is the size of the file that is written to check for free space.
	// Log entries are smaller in ordinary use.
	probeBytes = 64 << 10
)

// HasFreeSpace reports whether probeBytes can be written to the folder's disk. It
// writes, syncs and removes a file of that size, and blocks on the disk. Errors
// other than that of a full disk are returned.
func HasFreeSpace(fsys FS) (bool, error) {
	err := writeProbe(fsys)
	removeErr := fsys.Remove(probeName)
	switch {
	case errors.Is(err, syscall.ENOSPC):
		return false, nil // a file that is left is removed by the next call, or by Open
	case err != nil:
		return false, err
	}
	return true, removeErr
}

func writeProbe(fsys FS) error {
	f, err := fsys.Create(probeName)
	if err != nil {
		return err
	}
	_, err = f.Write(make([]byte, probeBytes))
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}
