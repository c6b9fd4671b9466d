package store

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"

	"bramleyquay.example/coord/raft"
)

// Open locks the folder, reads the stored state and opens the log for writing. It
// creates what is missing in a new folder, truncates a torn last record, removes
// files that an interrupted write left, and blocks on the disk. It reports true if
// no state was stored before. A *CorruptError means that the replica must not start
// with this folder; the error wraps ErrLocked if the folder is in use.
func Open(fsys FS) (*Store, raft.PersistentState, bool, error) {
	lock, err := lockFolder(fsys)
	if err != nil {
		return nil, raft.PersistentState{}, false, fmt.Errorf("store: %w", err)
	}
	s := &Store{fsys: fsys, lock: lock}
	stored, err := s.open()
	if err != nil {
		return nil, raft.PersistentState{}, false, errors.Join(err, lock.Close())
	}
	empty := stored.HardState == raft.HardState{} && stored.Snapshot.Index == 0 && len(stored.Entries) == 0
	return s, stored, empty, nil
}

func (s *Store) open() (raft.PersistentState, error) {
	f, err := readFolder(s.fsys)
	switch {
	case err != nil:
		return raft.PersistentState{}, fmt.Errorf("store: %w", err)
	case len(f.logs) > 0:
		return s.loadLatest(f)
	case len(f.snapshots) > 0:
		// The first generation has a log and no snapshot, so a log has existed.
		name := snapshotName(slices.Max(f.snapshots))
		return raft.PersistentState{}, &CorruptError{File: name, Reason: "there is a snapshot and no log"}
	}
	return raft.PersistentState{}, s.createFirst(f)
}

// createFirst writes the first generation, which has an empty log and no snapshot.
func (s *Store) createFirst(f folder) error {
	if err := s.removeAll(f.tempFiles); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	log, state, err := s.writeLog(logHeader{Generation: 1}, nil)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	s.log, s.state = log, state
	return nil
}

// loadLatest reads the latest generation and removes the files of all others.
func (s *Store) loadLatest(f folder) (raft.PersistentState, error) {
	generation := slices.Max(f.logs)
	name := logName(generation)
	state, size, err := s.readLog(name, generation)
	if err != nil {
		return raft.PersistentState{}, err
	}
	snapshot, err := s.loadSnapshot(state.header)
	if err != nil {
		return raft.PersistentState{}, err
	}
	s.state = state
	// If an earlier process stopped before it synced the folder, the rename of this
	// log is not durable yet. Other generations may be removed only after it is.
	if err := s.fsys.SyncDir(); err != nil {
		return raft.PersistentState{}, fmt.Errorf("store: %w", err)
	}
	if err := s.reopen(name, size); err != nil {
		return raft.PersistentState{}, fmt.Errorf("store: %w", err)
	}
	if err := s.removeOthers(f, generation); err != nil {
		return raft.PersistentState{}, errors.Join(fmt.Errorf("store: %w", err), s.log.Close())
	}
	return raft.PersistentState{HardState: state.hard, Snapshot: snapshot, Entries: slices.Clone(state.entries)}, nil
}

// readLog reads a log file and returns its state and its size in bytes.
func (s *Store) readLog(name string, generation uint64) (state *logState, size int64, err error) {
	r, err := openRecords(s.fsys, name)
	if err != nil {
		return nil, 0, fmt.Errorf("store: %w", err)
	}
	defer func() { err = errors.Join(err, r.close()) }()
	state, err = replayLog(r, generation)
	if corrupt := (*CorruptError)(nil); err != nil && !errors.As(err, &corrupt) {
		err = fmt.Errorf("store: %w", err)
	}
	return state, r.size, err
}

// loadSnapshot reads the snapshot that precedes a log.
func (s *Store) loadSnapshot(h logHeader) (raft.Snapshot, error) {
	if h.SnapshotIndex == 0 {
		return raft.Snapshot{}, nil
	}
	name := snapshotName(h.Generation)
	corrupt := func(reason string) (raft.Snapshot, error) {
		return raft.Snapshot{}, &CorruptError{File: name, Reason: reason}
	}
	var snapshot raft.Snapshot
	err := readRecord(s.fsys, name, &snapshot)
	if errors.Is(err, fs.ErrNotExist) {
		return corrupt("the snapshot is missing")
	}
	if err != nil {
		return raft.Snapshot{}, err
	}
	if snapshot.Index != h.SnapshotIndex || snapshot.Term != h.SnapshotTerm {
		return corrupt(fmt.Sprintf("the snapshot is at index %d, term %d; the log follows index %d, term %d",
			snapshot.Index, snapshot.Term, h.SnapshotIndex, h.SnapshotTerm))
	}
	return snapshot, nil
}

// reopen opens the log for appending and truncates a torn last record. size is the
// size of the file in bytes.
func (s *Store) reopen(name string, size int64) error {
	f, err := s.fsys.Open(name)
	if err != nil {
		return err
	}
	if size > s.state.size {
		if err := f.Truncate(s.state.size); err != nil {
			return errors.Join(err, f.Close())
		}
	}
	// The data that was read may be in the page cache only, if the process that
	// wrote it stopped before its sync. From now on the replica relies on it.
	if err := f.Sync(); err != nil {
		return errors.Join(err, f.Close())
	}
	s.log = f
	return nil
}

// removeOthers removes temporary files and every other generation: older ones, and
// the snapshot of a newer one whose log was not renamed.
func (s *Store) removeOthers(f folder, generation uint64) error {
	names := slices.Clone(f.tempFiles)
	for _, g := range f.logs {
		if g != generation {
			names = append(names, logName(g))
		}
	}
	for _, g := range f.snapshots {
		if g != generation || s.state.header.SnapshotIndex == 0 {
			names = append(names, snapshotName(g))
		}
	}
	return s.removeAll(names)
}

// removeAll removes files and syncs the folder.
func (s *Store) removeAll(names []string) error {
	for _, name := range names {
		if err := s.fsys.Remove(name); err != nil {
			return err
		}
	}
	if len(names) == 0 {
		return nil
	}
	return s.fsys.SyncDir()
}
