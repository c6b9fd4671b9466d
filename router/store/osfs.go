package store

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// osFS is a folder of the operating system.
type osFS struct{ dir string }

// DirFS returns the folder dir as an FS. dir and its parents are created when the
// folder is locked or its first file is created.
func DirFS(dir string) FS { return osFS{dir: dir} }

func (o osFS) path(name string) string { return filepath.Join(o.dir, name) }

// Create implements FS.
func (o osFS) Create(name string) (File, error) {
	if err := makeDir(o.dir); err != nil {
		return nil, err
	}
	return o.open(name, os.O_RDWR|os.O_APPEND|os.O_CREATE|os.O_TRUNC)
}

// Open implements FS.
func (o osFS) Open(name string) (File, error) { return o.open(name, os.O_RDWR|os.O_APPEND) }

func (o osFS) open(name string, flags int) (File, error) {
	f, err := os.OpenFile(o.path(name), flags, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

type osFile struct{ *os.File }

// Size implements File.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Rename implements FS.
func (o osFS) Rename(oldName, newName string) error {
	return os.Rename(o.path(oldName), o.path(newName))
}

// Remove implements FS.
func (o osFS) Remove(name string) error { return os.Remove(o.path(name)) }

// List implements FS.
func (o osFS) List() ([]string, error) {
	entries, err := os.ReadDir(o.dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, err
}

// SyncDir implements FS.
func (o osFS) SyncDir() error { return syncDir(o.dir) }

// makeDir creates dir with its parents and syncs the parent of each new folder.
// Without that sync the folder could be missing after a power loss.
func makeDir(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	parent := filepath.Dir(filepath.Clean(dir))
	if parent != dir {
		if err := makeDir(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(dir, 0o700); err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	return syncDir(parent)
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
