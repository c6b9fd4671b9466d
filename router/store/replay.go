package store

import (
	"errors"
	"fmt"
	"io"

	"bramleyquay.example/coord/raft"
)

// logHeader is the first record of a log file. It is synced before the file is
// renamed from its temporary name, so it is never torn.
type logHeader struct {
	Generation uint64         `cbor:"1,keyasint"`
	Hard       raft.HardState `cbor:"2,keyasint"`
	// SnapshotIndex and SnapshotTerm identify the snapshot that precedes the log.
	// They are zero if there is none.
	SnapshotIndex uint64 `cbor:"3,keyasint,omitempty"`
	SnapshotTerm  uint64 `cbor:"4,keyasint,omitempty"`
}

// logRecord is the record of one Save, or of entries that were copied to a new log
// file.
type logRecord struct {
	// Sequence numbers the records of a file from 1. A gap means that a record is
	// missing.
	Sequence uint64          `cbor:"1,keyasint"`
	Hard     *raft.HardState `cbor:"2,keyasint,omitempty"`
	Entries  []raft.Entry    `cbor:"3,keyasint,omitempty"`
}

// logState is the state stored in a log file.
type logState struct {
	header   logHeader
	hard     raft.HardState
	entries  []raft.Entry
	sequence uint64 // of the last record
	size     int64  // of all complete records in bytes
}

// lastIndex returns the index of the last entry, or that of the snapshot if there
// are no entries.
func (l *logState) lastIndex() uint64 { return l.header.SnapshotIndex + uint64(len(l.entries)) }

// apply adds a record. Its entries replace the stored ones from its first index
// on.
func (l *logState) apply(rec logRecord) error {
	if rec.Sequence != l.sequence+1 {
		return fmt.Errorf("record %d follows record %d", rec.Sequence, l.sequence)
	}
	if err := checkEntries(rec.Entries, l.header.SnapshotIndex, l.lastIndex()); err != nil {
		return err
	}
	l.sequence = rec.Sequence
	if len(rec.Entries) > 0 {
		retained := rec.Entries[0].Index - l.header.SnapshotIndex - 1
		l.entries = append(l.entries[:retained], rec.Entries...)
	}
	if rec.Hard != nil {
		l.hard = *rec.Hard
	}
	return nil
}

// checkEntries returns an error if entries cannot be added to a log with the
// indexes after snapshot up to last.
func checkEntries(entries []raft.Entry, snapshot, last uint64) error {
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	if first <= snapshot || first > last+1 {
		return fmt.Errorf("entry %d does not continue a log of the entries %d to %d", first, snapshot+1, last)
	}
	for i := range entries {
		if want := first + uint64(i); entries[i].Index != want {
			return fmt.Errorf("entry %d found where entry %d was expected", entries[i].Index, want)
		}
	}
	return nil
}

// replayLog reads the state in a log file, which belongs to generation. A torn last
// record is left out.
func replayLog(r *recordReader, generation uint64) (*logState, error) {
	corrupt := func(offset int64, reason string) error {
		return &CorruptError{File: r.name, Offset: offset, Reason: reason}
	}
	payload, err := r.next()
	if errors.Is(err, errDamaged) || errors.Is(err, io.EOF) {
		return nil, corrupt(0, "the header record is damaged")
	}
	if err != nil {
		return nil, err
	}
	l := &logState{}
	if err := decoder.Unmarshal(payload, &l.header); err != nil {
		return nil, corrupt(0, err.Error())
	}
	if l.header.Generation != generation {
		return nil, corrupt(0, fmt.Sprintf("the header is of generation %d", l.header.Generation))
	}
	l.hard = l.header.Hard
	for {
		l.size = r.offset
		payload, err := r.next()
		switch {
		case errors.Is(err, io.EOF):
			return l, nil
		case errors.Is(err, errDamaged):
			torn, err := r.torn()
			if err == nil && !torn {
				err = corrupt(l.size, "a record before the end is damaged")
			}
			return l, err
		case err != nil:
			return nil, err
		}
		var rec logRecord
		if err := decoder.Unmarshal(payload, &rec); err != nil {
			return nil, corrupt(l.size, err.Error())
		}
		if err := l.apply(rec); err != nil {
			return nil, corrupt(l.size, err.Error())
		}
	}
}
