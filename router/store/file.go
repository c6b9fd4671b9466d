package store

import (
	"errors"
	"io"
)

// writeFile writes records to a temporary file, syncs it, gives it its name
// and syncs the folder. It returns the open file.
func writeFile(fsys FS, name string, records ...[]byte) (File, error) {
	f, err := fsys.Create(name + temporary)
	if err != nil {
		return nil, err
	}
	if err := fillFile(fsys, f, name, records); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func fillFile(fsys FS, f File, name string, records [][]byte) error {
	for _, r := range records {
		if err := writeAll(f, r); err != nil {
			return err
		}
	}
	if err := f.Sync(); err != nil {
		return err
	}
	if err := fsys.Rename(name+temporary, name); err != nil {
		return err
	}
	return fsys.SyncDir()
}

// writeAll writes all of data. A short write without an error is a failure.
func writeAll(f File, data []byte) error {
	n, err := f.Write(data)
	if err == nil && n < len(data) {
		err = io.ErrShortWrite
	}
	return err
}

// readFile returns the whole content of a file.
func readFile(fsys FS, name string) ([]byte, error) {
	f, err := fsys.Open(name)
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(f)
	return data, errors.Join(err, f.Close())
}
