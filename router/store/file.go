package store

import (
	"errors"
	"io"
)

// writeFile writes records to a temporary file, syncs it, renames it to name and
// syncs the folder. It returns the open file. After an error the temporary file may
// remain; Open removes it.
func writeFile(fsys FS, name string, records ...[]byte) (File, error) {
	f, err := fsys.Create(name + tempSuffix)
	if err != nil {
		return nil, err
	}
	if err := writeAndRename(fsys, f, name, records); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// writeAndRename does the steps of writeFile after the temporary file is created.
func writeAndRename(fsys FS, f File, name string, records [][]byte) error {
	for _, r := range records {
		if err := writeAll(f, r); err != nil {
			return err
		}
	}
	if err := f.Sync(); err != nil {
		return err
	}
	if err := fsys.Rename(name+tempSuffix, name); err != nil {
		return err
	}
	return fsys.SyncDir()
}

// writeAll writes all of data. It returns io.ErrShortWrite for a short write
// without an error.
func writeAll(f File, data []byte) error {
	n, err := f.Write(data)
	if err == nil && n < len(data) {
		err = io.ErrShortWrite
	}
	return err
}
