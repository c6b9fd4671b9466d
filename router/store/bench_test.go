package store

import (
	"bytes"
	"testing"

	"bramleyquay.example/coord/raft"
)

// BenchmarkSave measures the write and sync of one entry of 200 bytes on the disk
// of the temporary folder.
func BenchmarkSave(b *testing.B) {
	s, _, _, err := Open(DirFS(b.TempDir()))
	if err != nil {
		b.Fatal(err)
	}
	data := bytes.Repeat([]byte("x"), 200)
	index := uint64(0)
	for b.Loop() {
		index++
		if err := s.Save(nil, []raft.Entry{{Term: 1, Index: index, Kind: raft.EntryCommand, Data: data}}); err != nil {
			b.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkSaveSnapshot measures the write of a snapshot of 7 MiB, the size of a
// table of 66,000 units.
func BenchmarkSaveSnapshot(b *testing.B) {
	s, _, _, err := Open(DirFS(b.TempDir()))
	if err != nil {
		b.Fatal(err)
	}
	snap := raft.Snapshot{Term: 1, Membership: raft.Membership{Voters: []raft.ID{"n1"}}, Data: make([]byte, 7<<20)}
	b.SetBytes(int64(len(snap.Data)))
	for b.Loop() {
		snap.Index++
		if err := s.SaveSnapshot(snap); err != nil {
			b.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		b.Fatal(err)
	}
}
