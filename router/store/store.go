package store

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"bramleyquay.example/coord/raft"
)

// maxRecordEntries bounds the entries in one record of a new log file, so that
// records stay small when a long log is copied to it.
const maxRecordEntries = 1024

// Store reads and writes one folder. It is not safe for concurrent use.
type Store struct {
	fsys   FS
	lock   io.Closer
	log    File
	state  *logState // content of the log file
	failed error
	closed bool
}

// Save atomically writes a hard state, if not nil, and entries, and syncs them. It
// blocks on the disk. The entries replace the stored ones from the index of the
// first entry on. The snapshot of the same Ready must be saved before. Without a
// hard state and entries Save writes nothing. It returns ErrClosed,
// *InvalidWriteError, after which the store is unchanged, or *WriteFailedError,
// after which it refuses all further writes.
func (s *Store) Save(hard *raft.HardState, entries []raft.Entry) error {
	if err := s.checkUsable(); err != nil {
		return err
	}
	if hard == nil && len(entries) == 0 {
		return nil
	}
	if err := s.checkSave(hard, entries); err != nil {
		return &InvalidWriteError{Reason: err.Error()}
	}
	rec := logRecord{Sequence: s.state.sequence + 1, Hard: hard, Entries: entries}
	data, err := encodeRecord(rec, entriesSize(entries))
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

// checkSave returns an error if Save would store a log that Open or raft.New
// refuses.
func (s *Store) checkSave(hard *raft.HardState, entries []raft.Entry) error {
	if err := checkEntries(entries, s.state.header.SnapshotIndex, s.state.lastIndex()); err != nil {
		return err
	}
	last := s.state.lastIndex()
	if len(entries) > 0 {
		last = entries[len(entries)-1].Index
	}
	if hard != nil && hard.Commit > last {
		return fmt.Errorf("commit index %d is after the last entry %d", hard.Commit, last)
	}
	return nil
}

// SaveSnapshot writes and syncs a snapshot and drops the entries that it covers.
// Later entries are retained if the stored log contains the snapshot's last entry
// and dropped otherwise, because they belong to another history. A stored commit
// index before the snapshot or after the last retained entry is set to the
// snapshot's index. SaveSnapshot blocks on the disk. The errors are those of Save.
func (s *Store) SaveSnapshot(snapshot raft.Snapshot) error {
	if err := s.checkUsable(); err != nil {
		return err
	}
	if snapshot.Index <= s.state.header.SnapshotIndex {
		return &InvalidWriteError{Reason: fmt.Sprintf("snapshot at index %d is not after the stored one at %d",
			snapshot.Index, s.state.header.SnapshotIndex)}
	}
	record, err := encodeRecord(snapshot, len(snapshot.Data)+snapshotOverhead)
	if err != nil {
		return err
	}
	header := logHeader{
		Generation: s.state.header.Generation + 1, Hard: s.state.hard,
		SnapshotIndex: snapshot.Index, SnapshotTerm: snapshot.Term,
	}
	remaining := s.entriesAfter(snapshot)
	if last := snapshot.Index + uint64(len(remaining)); header.Hard.Commit > last || header.Hard.Commit < snapshot.Index {
		header.Hard.Commit = snapshot.Index
	}
	if err := s.startGeneration(header, record, remaining); err != nil {
		return s.fail(err)
	}
	return nil
}

// startGeneration writes both files of a new generation and then removes the
// previous one.
func (s *Store) startGeneration(header logHeader, snapshot []byte, entries []raft.Entry) error {
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

// entriesAfter returns the stored entries after the snapshot, or none if the log
// does not contain the snapshot's last entry.
func (s *Store) entriesAfter(snapshot raft.Snapshot) []raft.Entry {
	first := s.state.header.SnapshotIndex + 1
	if snapshot.Index < first || snapshot.Index > s.state.lastIndex() {
		return nil
	}
	at := snapshot.Index - first
	if s.state.entries[at].Term != snapshot.Term {
		return nil
	}
	return slices.Clone(s.state.entries[at+1:])
}

// writeLog writes and syncs a log file with a header and entries. It returns the
// open file and its state.
func (s *Store) writeLog(header logHeader, entries []raft.Entry) (File, *logState, error) {
	state := &logState{header: header, hard: header.Hard}
	record, err := encodeRecord(header, entryOverhead)
	if err != nil {
		return nil, nil, err
	}
	records := [][]byte{record}
	for part := range slices.Chunk(entries, maxRecordEntries) {
		rec := logRecord{Sequence: state.sequence + 1, Entries: part}
		if record, err = encodeRecord(rec, entriesSize(part)); err != nil {
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

// LogBytes returns the size of the log file. It includes entries that were replaced.
func (s *Store) LogBytes() int64 { return s.state.size }

// Close closes the log file and unlocks the folder. Saved data is already synced.
// Further calls do nothing.
func (s *Store) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	return errors.Join(s.log.Close(), s.lock.Close())
}

// checkUsable returns an error if the store is closed or a write has failed.
func (s *Store) checkUsable() error {
	switch {
	case s.closed:
		return ErrClosed
	case s.failed != nil:
		return &WriteFailedError{Cause: s.failed}
	}
	return nil
}

// fail records a failed write and returns the error for the caller.
func (s *Store) fail(err error) error {
	s.failed = err
	return &WriteFailedError{Cause: err}
}
