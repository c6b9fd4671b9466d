package store

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"bramleyquay.example/coord/raft"
)

// recordEntries bounds the entries in one record of a new log file, so that
// records stay small when a long log is carried over.
const recordEntries = 1024

// Store is an open folder. It is not safe for concurrent use.
type Store struct {
	fsys   FS
	lock   io.Closer
	log    File
	state  *replay // what the log file holds
	failed error
	closed bool
}

// Save stores a hard state, if not nil, and entries in one step, and syncs
// them. The first entry replaces a stored one with the same index and all
// after it. A snapshot of the same Ready must be saved before. After a
// *WriteFailedError the store refuses all further writes.
func (s *Store) Save(hard *raft.HardState, entries []raft.Entry) error {
	if err := s.usable(); err != nil {
		return err
	}
	if hard == nil && len(entries) == 0 {
		return nil
	}
	if err := s.checkSave(hard, entries); err != nil {
		return &InvalidWriteError{Reason: err.Error()}
	}
	rec := logRecord{Sequence: s.state.sequence + 1, Hard: hard, Entries: entries}
	data, err := encodeRecord(rec)
	if err != nil {
		return err
	}
	if err := writeAll(s.log, data); err != nil {
		return s.fail(err)
	}
	if err := s.log.Sync(); err != nil {
		return s.fail(err)
	}
	s.state.size += int64(len(data))
	return s.state.apply(rec)
}

// checkSave reports why Save would store a log that Open or raft.New refuses.
func (s *Store) checkSave(hard *raft.HardState, entries []raft.Entry) error {
	if err := fits(entries, s.state.header.SnapshotIndex, s.state.last()); err != nil {
		return err
	}
	last := s.state.last()
	if len(entries) > 0 {
		last = entries[len(entries)-1].Index
	}
	if hard != nil && hard.Commit > last {
		return fmt.Errorf("commit index %d is after the last entry %d", hard.Commit, last)
	}
	return nil
}

// SaveSnapshot stores a snapshot and drops the entries it covers. Later
// entries are kept if the stored log contains the snapshot's last entry, and
// dropped otherwise, because they belong to another history.
func (s *Store) SaveSnapshot(snapshot raft.Snapshot) error {
	if err := s.usable(); err != nil {
		return err
	}
	if snapshot.Index <= s.state.header.SnapshotIndex {
		return &InvalidWriteError{Reason: fmt.Sprintf("snapshot at index %d is not after the stored one at %d",
			snapshot.Index, s.state.header.SnapshotIndex)}
	}
	record, err := encodeRecord(snapshot)
	if err != nil {
		return err
	}
	header := logHeader{
		Generation: s.state.header.Generation + 1, Hard: s.state.hard,
		SnapshotIndex: snapshot.Index, SnapshotTerm: snapshot.Term,
	}
	kept := s.entriesAfter(snapshot)
	if last := snapshot.Index + uint64(len(kept)); header.Hard.Commit > last || header.Hard.Commit < snapshot.Index {
		header.Hard.Commit = snapshot.Index
	}
	if err := s.nextGeneration(header, record, kept); err != nil {
		return s.fail(err)
	}
	return nil
}

// nextGeneration writes both files of a generation, then removes the last.
func (s *Store) nextGeneration(header logHeader, snapshot []byte, entries []raft.Entry) error {
	f, err := writeFile(s.fsys, snapshotName(header.Generation), snapshot)
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	log, state, err := s.writeLog(header, entries)
	if err != nil {
		return err
	}
	old, oldHeader := s.log, s.state.header
	s.log, s.state = log, state
	if err := old.Close(); err != nil {
		return err
	}
	names := []string{logName(oldHeader.Generation)}
	if oldHeader.SnapshotIndex > 0 {
		names = append(names, snapshotName(oldHeader.Generation))
	}
	return s.removeAll(names)
}

// entriesAfter returns the stored entries that continue the snapshot.
func (s *Store) entriesAfter(snapshot raft.Snapshot) []raft.Entry {
	first := s.state.header.SnapshotIndex + 1
	if snapshot.Index < first || snapshot.Index > s.state.last() {
		return nil
	}
	at := snapshot.Index - first
	if s.state.entries[at].Term != snapshot.Term {
		return nil
	}
	return slices.Clone(s.state.entries[at+1:])
}

// writeLog writes a synced log file with a header and entries and returns it
// open, with the state it holds.
func (s *Store) writeLog(header logHeader, entries []raft.Entry) (File, *replay, error) {
	state := &replay{header: header, hard: header.Hard}
	record, err := encodeRecord(header)
	if err != nil {
		return nil, nil, err
	}
	records := [][]byte{record}
	for part := range slices.Chunk(entries, recordEntries) {
		rec := logRecord{Sequence: state.sequence + 1, Entries: part}
		if record, err = encodeRecord(rec); err != nil {
			return nil, nil, err
		}
		if err := state.apply(rec); err != nil {
			return nil, nil, err
		}
		records = append(records, record)
	}
	for _, r := range records {
		state.size += int64(len(r))
	}
	f, err := writeFile(s.fsys, logName(header.Generation), records...)
	return f, state, err
}

// Close closes the log file. Everything saved is synced already.
func (s *Store) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	return errors.Join(s.log.Close(), s.lock.Close())
}

// usable returns the error that refuses any use, or nil.
func (s *Store) usable() error {
	switch {
	case s.closed:
		return ErrClosed
	case s.failed != nil:
		return &WriteFailedError{Cause: s.failed}
	}
	return nil
}

// fail records the first failure.
func (s *Store) fail(err error) error {
	s.failed = err
	return &WriteFailedError{Cause: err}
}
