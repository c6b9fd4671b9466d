package store

import (
	"errors"
	"syscall"
)

const (
	roomName = "room" + temporary
	// roomBytes is written to find out whether the disk takes more: the largest
	// entry of the log in ordinary use has less.
	roomBytes = 64 << 10
)

// HasFreeSpace reports whether the folder's disk takes more bytes. An error other
// than that of a full disk is returned.
func HasFreeSpace(fsys FS) (bool, error) {
	err := writeRoom(fsys)
	removed := fsys.Remove(roomName)
	switch {
	case errors.Is(err, syscall.ENOSPC):
		return false, nil // a leftover is removed at the next attempt
	case err != nil:
		return false, err
	}
	return true, removed
}

func writeRoom(fsys FS) error {
	f, err := fsys.Create(roomName)
	if err != nil {
		return err
	}
	_, err = f.Write(make([]byte, roomBytes))
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}
