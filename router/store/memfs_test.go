package store

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
)

var (
	errCrashed  = errors.New("crashed")
	errInjected = errors.New("injected failure")
)

// loss says how much of the unsynced data a crash loses.
type loss int

const (
	processCrash  loss = iota // the process ended: the page cache stays, still not synced
	powerLossAll              // power loss: all unsynced data is lost
	powerLossNone             // power loss after everything reached the disk
	powerLossSome             // power loss: any part of each write and of the name changes is lost
	lossKinds
)

// inode is a file's content as read, and as synced to the disk.
type inode struct{ data, synced []byte }

// dirChange is an unsynced change of a name. node is nil for a removal.
type dirChange struct {
	name string
	node *inode
}

// memFS is a folder in memory. Its operations are numbered from 1. One of them can
// fail, or be the last before a crash.
type memFS struct {
	names, synced map[string]*inode
	changes       []dirChange
	ops           int
	failAt        int // this operation fails and may be done in part
	crashAt       int // this operation may be done in part, and it and all later ones fail
	rnd           *rand.Rand
	opKinds       []string // kinds of the operations
}

func newMemFS(seed uint64) *memFS {
	return &memFS{names: map[string]*inode{}, synced: map[string]*inode{}, rnd: rand.New(rand.NewPCG(seed, 3))}
}

// op counts an operation. partial means that the operation may be done in part
// although an error is returned.
func (m *memFS) op(kind string) (partial bool, err error) {
	m.ops++
	m.opKinds = append(m.opKinds, kind)
	switch {
	case m.crashAt > 0 && m.ops > m.crashAt:
		return false, errCrashed
	case m.ops == m.crashAt:
		return true, errCrashed
	case m.ops == m.failAt:
		return true, errInjected
	}
	return false, nil
}

// count counts an operation that is never done in part.
func (m *memFS) count(kind string) error {
	_, err := m.op(kind)
	return err
}

func (m *memFS) change(kind string, changes ...dirChange) error {
	partial, err := m.op(kind)
	if err != nil && (!partial || m.rnd.IntN(2) == 0) {
		return err
	}
	for _, c := range changes {
		if c.node == nil {
			delete(m.names, c.name)
		} else {
			m.names[c.name] = c.node
		}
	}
	m.changes = append(m.changes, changes...)
	return err
}

func (m *memFS) Create(name string) (File, error) {
	node := &inode{}
	if err := m.change("create", dirChange{name, node}); err != nil {
		return nil, err
	}
	return &memFile{fs: m, node: node}, nil
}

func (m *memFS) Open(name string) (File, error) {
	if err := m.count("open"); err != nil {
		return nil, err
	}
	node := m.names[name]
	if node == nil {
		return nil, fs.ErrNotExist
	}
	return &memFile{fs: m, node: node}, nil
}

func (m *memFS) Rename(oldName, newName string) error {
	node := m.names[oldName]
	if node == nil {
		return fs.ErrNotExist
	}
	return m.change("rename", dirChange{newName, node}, dirChange{oldName, nil})
}

func (m *memFS) Remove(name string) error {
	if m.names[name] == nil {
		return fs.ErrNotExist
	}
	return m.change("remove", dirChange{name, nil})
}

func (m *memFS) List() ([]string, error) {
	return slices.Sorted(maps.Keys(m.names)), m.count("list")
}

func (m *memFS) SyncDir() error {
	if err := m.count("syncdir"); err != nil {
		return err
	}
	m.synced, m.changes = maps.Clone(m.names), nil
	return nil
}

// afterCrash returns the folder as it is after a restart.
func (m *memFS) afterCrash(l loss) *memFS {
	next := newMemFS(m.rnd.Uint64())
	if l == processCrash {
		m.copyTo(next)
		return next
	}
	names := m.synced
	if l == powerLossNone {
		names = m.names
	} else if l == powerLossSome {
		names = maps.Clone(m.synced)
		for _, c := range m.changes {
			if m.rnd.IntN(2) == 0 {
				continue
			}
			if names[c.name] = c.node; c.node == nil {
				delete(names, c.name)
			}
		}
	}
	for name, node := range names {
		data := m.content(node, l)
		next.names[name] = &inode{data: data, synced: data}
	}
	next.synced = maps.Clone(next.names)
	return next
}

// copyTo copies everything, synced or not. A file is copied once, also if several
// names refer to it.
func (m *memFS) copyTo(next *memFS) {
	copies := map[*inode]*inode{nil: nil}
	of := func(n *inode) *inode {
		if _, ok := copies[n]; !ok {
			copies[n] = &inode{data: n.data, synced: n.synced}
		}
		return copies[n]
	}
	for name, node := range m.names {
		next.names[name] = of(node)
	}
	for name, node := range m.synced {
		next.synced[name] = of(node)
	}
	for _, c := range m.changes {
		next.changes = append(next.changes, dirChange{c.name, of(c.node)})
	}
}

// content returns the content of a file after a power loss.
func (m *memFS) content(n *inode, l loss) []byte {
	switch {
	case l == powerLossAll:
		return slices.Clone(n.synced)
	case l == powerLossNone:
		return slices.Clone(n.data)
	case !bytes.HasPrefix(n.data, n.synced):
		if m.rnd.IntN(2) == 0 { // a truncation
			return slices.Clone(n.synced)
		}
		return slices.Clone(n.data)
	}
	// Part of the unsynced tail reached the disk. The size may have been written
	// before the data, which leaves zeros.
	tail := slices.Clone(n.data[len(n.synced):])
	tail = tail[:m.rnd.IntN(len(tail)+1)]
	if len(tail) > 0 && m.rnd.IntN(2) == 0 {
		from := m.rnd.IntN(len(tail))
		clear(tail[from : from+m.rnd.IntN(len(tail)-from)])
	}
	return append(slices.Clone(n.synced), tail...)
}

type memFile struct {
	fs   *memFS
	node *inode
	pos  int
}

func (f *memFile) Read(p []byte) (int, error) {
	if f.pos == len(f.node.data) {
		return 0, io.EOF
	}
	if err := f.fs.count("read"); err != nil {
		return 0, err
	}
	n := copy(p, f.node.data[f.pos:])
	f.pos += n
	return n, nil
}

func (f *memFile) Write(p []byte) (int, error) {
	partial, err := f.fs.op("write")
	n := len(p)
	if err != nil {
		if n = 0; partial {
			n = f.fs.rnd.IntN(len(p) + 1)
		}
	}
	f.node.data = append(slices.Clone(f.node.data), p[:n]...)
	return n, err
}

func (f *memFile) Sync() error {
	if err := f.fs.count("sync"); err != nil {
		return err
	}
	f.node.synced = f.node.data
	return nil
}

func (f *memFile) Truncate(size int64) error {
	partial, err := f.fs.op("truncate")
	if err == nil || partial && f.fs.rnd.IntN(2) == 0 {
		f.node.data = slices.Clone(f.node.data[:size])
	}
	return err
}

func (f *memFile) Size() (int64, error) { return int64(len(f.node.data)), f.fs.count("size") }

func (f *memFile) Close() error { return f.fs.count("close") }
