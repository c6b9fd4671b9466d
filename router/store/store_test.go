package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"bramleyquay.example/coord/raft"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// written returns a folder with the workload's first steps and the states
// after each of them.
func written(t *testing.T, steps int) (*memFS, []string) {
	t.Helper()
	is := is.New(t)
	fsys := newMemFS(1)
	s, stored, empty, err := Open(fsys)
	is.NoErr(err)
	is.True(empty)
	states := []string{text(stored)}
	for _, st := range workload[:steps] {
		is.NoErr(st.run(s))
		stored = st.after(stored)
		states = append(states, text(stored))
	}
	is.NoErr(s.Close())
	return fsys, states
}

// TestDamagedByte guards against starting with wrong or missing state: a
// damaged byte is noticed wherever it is. In the last record it cannot be
// told from a torn write, which loses that record only.
func TestDamagedByte(t *testing.T) {
	is := is.New(t)
	fsys, states := written(t, 5) // the last three are records of one log
	for name, node := range fsys.names {
		whole := node.data
		for i := range whole {
			node.data = bytes.Clone(whole)
			node.data[i] ^= 0x10
			got, err := recovered(fsys.after(lossNone))
			corrupt := &CorruptError{}
			if errors.As(err, &corrupt) {
				is.Equal(corrupt.File, name)
				continue
			}
			is.NoErr(err)
			is.Equal(got, states[len(states)-2]) // without the last record
		}
		node.data = whole
	}
}

// TestShortenedLog guards against a log that was cut inside a record: the
// state is that of the whole records.
func TestShortenedLog(t *testing.T) {
	is := is.New(t)
	fsys, states := written(t, 5)
	node := fsys.names[logName(2)]
	whole, at := node.data, len(states)-1
	for size := len(whole); size >= 0; size-- {
		node.data = whole[:size]
		got, err := recovered(fsys.after(lossNone))
		if corrupt := (*CorruptError)(nil); errors.As(err, &corrupt) {
			is.Equal(at, 1) // only the header, which is never torn
			continue
		}
		is.NoErr(err)
		for got != states[at] {
			at--
		}
	}
	is.Equal(at, 1)
}

// TestMissingFiles guards against starting from an empty state because a
// file is gone.
func TestMissingFiles(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{logName(2), snapshotName(2)} {
		fsys, _ := written(t, 5)
		is.NoErr(fsys.Remove(name))
		_, err := recovered(fsys)
		corrupt := &CorruptError{}
		is.True(errors.As(err, &corrupt))
	}
}

// TestSaveOrder guards against a log that Open or raft.New would refuse. The
// store stays usable.
func TestSaveOrder(t *testing.T) {
	is := is.New(t)
	fsys, states := written(t, 5)
	s, _, _, err := Open(fsys)
	is.NoErr(err)
	order := &InvalidWriteError{}
	is.True(errors.As(s.Save(nil, entries(3, 9, 9)), &order))                              // gap
	is.True(errors.As(s.Save(nil, entries(3, 1, 9)), &order))                              // covered by the snapshot
	is.True(errors.As(s.Save(nil, append(entries(3, 7, 7), entries(3, 9, 9)...)), &order)) // gap inside
	is.True(errors.As(s.Save(hard(3, 7), nil), &order))                                    // commit after the last entry
	is.True(errors.As(s.SaveSnapshot(*snapshot(1, 1)), &order))                            // not newer
	is.NoErr(s.Close())
	is.True(errors.Is(s.Save(hard(3, 6), nil), ErrClosed))
	got, err := recovered(fsys)
	is.NoErr(err)
	is.Equal(got, states[len(states)-1])
}

// TestIdentity guards against a folder that is used by another replica, and
// against an identity that is lost after it was reported as written.
func TestIdentity(t *testing.T) {
	is := is.New(t)
	want := Identity{Replica: "n1-7f", Cluster: "muscat"}
	whole := newMemFS(1)
	_, err := ReadIdentity(whole)
	is.True(errors.Is(err, ErrNoIdentity))
	is.NoErr(WriteIdentity(whole, want))
	is.NoErr(WriteIdentity(whole, want))
	is.True(errors.Is(WriteIdentity(whole, Identity{Replica: "n2", Cluster: "muscat"}), ErrIdentityExists))
	order := &InvalidWriteError{}
	is.True(errors.As(WriteIdentity(whole, Identity{}), &order))
	for at := 1; at <= whole.ops; at++ {
		for l := range lossKinds {
			fsys := newMemFS(uint64(at))
			fsys.crashAt = at
			err := WriteIdentity(fsys, want)
			next := fsys.after(l)
			got, readErr := ReadIdentity(next)
			is.True(errors.Is(readErr, ErrNoIdentity) && err != nil || readErr == nil && got == want)
			is.NoErr(WriteIdentity(next, want))
			got, err = ReadIdentity(next.after(lossAll))
			is.NoErr(err)
			is.Equal(got, want)
		}
	}
}

// TestFolder guards against differences between the memory folder and the
// operating system's.
func TestFolder(t *testing.T) {
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "data", "control")
	_, states := written(t, len(workload))
	s, _, _, err := attempt(DirFS(dir), workload)
	is.NoErr(err)
	_, _, _, err = Open(DirFS(dir))
	is.True(errors.Is(err, ErrLocked))
	is.NoErr(s.Close())
	names, err := DirFS(dir).List()
	is.NoErr(err)
	is.Equal(names, []string{lockName, logName(5), snapshotName(5)})
	path := filepath.Join(dir, logName(5))
	data, err := os.ReadFile(path)
	is.NoErr(err)
	is.NoErr(os.WriteFile(path, append(data, 1, 2, 3), 0o600)) // a torn record
	for range 2 {
		s, stored, empty, err := Open(DirFS(dir))
		is.NoErr(err)
		is.True(!empty)
		is.Equal(text(stored), states[len(states)-1])
		is.NoErr(s.Close())
	}
	cut, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(cut, data)
}

// TestMessageEncodings guards against a field that one of the encodings
// loses: processes send messages as JSON or CBOR.
func TestMessageEncodings(t *testing.T) {
	is := is.New(t)
	m := raft.Message{
		Kind: raft.MsgAppend, From: "n1", To: "n2", Term: 3, Index: 4, LogTerm: 2, Commit: 5, Entries: entries(3, 5, 6),
		Reject: true, HintIndex: 7, HintTerm: 8, Round: 9, Force: true, Snapshot: snapshot(4, 2),
	}
	var fromJSON, fromCBOR raft.Message
	data, err := json.Marshal(m)
	is.NoErr(err)
	is.NoErr(json.Unmarshal(data, &fromJSON))
	is.Equal(fromJSON, m)
	data, err = cbor.Marshal(m)
	is.NoErr(err)
	is.NoErr(cbor.Unmarshal(data, &fromCBOR))
	is.Equal(fromCBOR, m)
}
