package store

import (
	"fmt"

	"bramleyquay.example/coord/raft"
)

// logHeader is the first record of a log file. It is synced before the file
// gets its name, so it is never torn.
type logHeader struct {
	Generation uint64         `cbor:"1,keyasint"`
	Hard       raft.HardState `cbor:"2,keyasint"`
	// SnapshotIndex and SnapshotTerm name the snapshot that the log follows.
	// They are zero if there is none.
	SnapshotIndex uint64 `cbor:"3,keyasint,omitempty"`
	SnapshotTerm  uint64 `cbor:"4,keyasint,omitempty"`
}

// logRecord is what one Save stores.
type logRecord struct {
	// Sequence counts the records of a file from 1. A gap shows that a record
	// is missing.
	Sequence uint64          `cbor:"1,keyasint"`
	Hard     *raft.HardState `cbor:"2,keyasint,omitempty"`
	Entries  []raft.Entry    `cbor:"3,keyasint,omitempty"`
}

// replay is the state that a log file describes.
type replay struct {
	header   logHeader
	hard     raft.HardState
	entries  []raft.Entry
	sequence uint64 // of the last record
	size     int64  // of all whole records
}

// last returns the index of the last entry.
func (r *replay) last() uint64 { return r.header.SnapshotIndex + uint64(len(r.entries)) }

// apply adds a record. The entries replace stored ones from their first
// index on.
func (r *replay) apply(rec logRecord) error {
	if rec.Sequence != r.sequence+1 {
		return fmt.Errorf("record %d follows record %d", rec.Sequence, r.sequence)
	}
	if err := fits(rec.Entries, r.header.SnapshotIndex, r.last()); err != nil {
		return err
	}
	r.sequence = rec.Sequence
	if len(rec.Entries) > 0 {
		keep := rec.Entries[0].Index - r.header.SnapshotIndex - 1
		r.entries = append(r.entries[:keep], rec.Entries...)
	}
	if rec.Hard != nil {
		r.hard = *rec.Hard
	}
	return nil
}

// fits reports why entries cannot be added to a log of the entries after
// snapshot up to last.
func fits(entries []raft.Entry, snapshot, last uint64) error {
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	if first <= snapshot || first > last+1 {
		return fmt.Errorf("entry %d does not fit a log of the entries %d to %d", first, snapshot+1, last)
	}
	for i := range entries {
		if want := first + uint64(i); entries[i].Index != want {
			return fmt.Errorf("entry %d is in the place of entry %d", entries[i].Index, want)
		}
	}
	return nil
}

// replayLog reads a whole log file. A torn last record is left out.
func replayLog(name string, data []byte) (*replay, error) {
	corrupt := func(offset int, reason string) error {
		return &CorruptError{File: name, Offset: int64(offset), Reason: reason}
	}
	payload, rest, ok := nextRecord(data)
	if !ok {
		return nil, corrupt(0, "the header record is damaged")
	}
	r := &replay{}
	if err := decoder.Unmarshal(payload, &r.header); err != nil {
		return nil, corrupt(0, err.Error())
	}
	r.hard = r.header.Hard
	for len(rest) > 0 {
		offset := len(data) - len(rest)
		payload, next, ok := nextRecord(rest)
		if !ok {
			if !torn(rest) {
				return nil, corrupt(offset, "a record before the end is damaged")
			}
			break
		}
		var rec logRecord
		if err := decoder.Unmarshal(payload, &rec); err != nil {
			return nil, corrupt(offset, err.Error())
		}
		if err := r.apply(rec); err != nil {
			return nil, corrupt(offset, err.Error())
		}
		rest = next
	}
	r.size = int64(len(data) - len(rest))
	return r, nil
}
