package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"bramleyquay.example/coord/raft"
	"bramleyquay.example/router/memory/heappeak"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// folderAfter returns a folder after the workload's first steps, and the state
// before the first and after each step.
func folderAfter(t *testing.T, steps int) (*memFS, []string) {
	t.Helper()
	is := is.New(t)
	fsys := newMemFS(1)
	s, stored, empty, err := Open(fsys)
	is.NoErr(err)
	is.True(empty)
	states := []string{encode(stored)}
	for _, st := range workload[:steps] {
		is.NoErr(st.run(s))
		stored = st.applyTo(stored)
		states = append(states, encode(stored))
	}
	is.NoErr(s.Close())
	return fsys, states
}

// TestDamagedByte guards against starting with wrong or missing state after any byte
// of any file was damaged. Damage in the last record cannot be distinguished from a torn
// write, and only that record may be lost.
func TestDamagedByte(t *testing.T) {
	is := is.New(t)
	fsys, states := folderAfter(t, 5) // the last four steps are records of one log
	for name, node := range fsys.names {
		original := node.data
		for i := range original {
			node.data = bytes.Clone(original)
			node.data[i] ^= 0x10
			got, err := storedState(fsys.afterCrash(powerLossNone))
			corrupt := &CorruptError{}
			if errors.As(err, &corrupt) {
				is.Equal(corrupt.File, name)
				continue
			}
			is.NoErr(err)
			is.Equal(got, states[len(states)-2]) // without the last record
		}
		node.data = original
	}
}

// TestShortenedLog guards against a wrong state after a log was truncated inside a
// record. The state must be that of the complete records; without a complete header
// the log must be reported as corrupt.
func TestShortenedLog(t *testing.T) {
	is := is.New(t)
	fsys, states := folderAfter(t, 5)
	node := fsys.names[logName(2)]
	original, at := node.data, len(states)-1
	for size := len(original); size >= 0; size-- {
		node.data = original[:size]
		got, err := storedState(fsys.afterCrash(powerLossNone))
		if corrupt := (*CorruptError)(nil); errors.As(err, &corrupt) {
			is.Equal(at, 1) // the header is cut, and it is never torn by a crash
			continue
		}
		is.NoErr(err)
		for got != states[at] {
			at--
		}
	}
	is.Equal(at, 1)
}

// TestMissingFiles guards against starting with an empty state if a file is
// missing.
func TestMissingFiles(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{logName(2), snapshotName(2)} {
		fsys, _ := folderAfter(t, 5)
		is.NoErr(fsys.Remove(name))
		_, err := storedState(fsys)
		corrupt := &CorruptError{}
		is.True(errors.As(err, &corrupt))
	}
}

// TestInvalidWrites guards against storing a log that Open or raft.New would
// refuse. The store must remain usable.
func TestInvalidWrites(t *testing.T) {
	is := is.New(t)
	fsys, states := folderAfter(t, 5)
	s, _, _, err := Open(fsys)
	is.NoErr(err)
	invalid := &InvalidWriteError{}
	is.True(errors.As(s.Save(nil, entries(3, 9, 9)), &invalid))                              // gap
	is.True(errors.As(s.Save(nil, entries(3, 1, 9)), &invalid))                              // covered by the snapshot
	is.True(errors.As(s.Save(nil, append(entries(3, 7, 7), entries(3, 9, 9)...)), &invalid)) // gap inside
	is.True(errors.As(s.Save(hard(3, 7), nil), &invalid))                                    // commit after the last entry
	is.True(errors.As(s.SaveSnapshot(*snapshot(1, 1)), &invalid))                            // not newer
	is.NoErr(s.Close())
	is.True(errors.Is(s.Save(hard(3, 6), nil), ErrClosed))
	got, err := storedState(fsys)
	is.NoErr(err)
	is.Equal(got, states[len(states)-1])
}

// TestIdentity guards against the use of a folder by another replica, and against
// an identity that is lost although WriteIdentity succeeded.
func TestIdentity(t *testing.T) {
	is := is.New(t)
	want := Identity{Replica: "n1-7f", Cluster: "muscat"}
	reference := newMemFS(1)
	_, err := ReadIdentity(reference)
	is.True(errors.Is(err, ErrNoIdentity))
	is.NoErr(WriteIdentity(reference, want))
	is.NoErr(WriteIdentity(reference, want))
	is.True(errors.Is(WriteIdentity(reference, Identity{Replica: "n2", Cluster: "muscat"}), ErrIdentityExists))
	invalid := &InvalidWriteError{}
	is.True(errors.As(WriteIdentity(reference, Identity{}), &invalid))
	for at := 1; at <= reference.ops; at++ {
		for l := range lossKinds {
			fsys := newMemFS(uint64(at))
			fsys.crashAt = at
			err := WriteIdentity(fsys, want)
			next := fsys.afterCrash(l)
			got, readErr := ReadIdentity(next)
			is.True(errors.Is(readErr, ErrNoIdentity) && err != nil || readErr == nil && got == want)
			is.NoErr(WriteIdentity(next, want))
			got, err = ReadIdentity(next.afterCrash(powerLossAll))
			is.NoErr(err)
			is.Equal(got, want)
		}
	}
}

// TestDirFS guards against differences between memFS and a folder of the operating
// system, and against opening a folder twice.
func TestDirFS(t *testing.T) {
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "data", "control")
	_, states := folderAfter(t, len(workload))
	s, _, _, err := runSteps(DirFS(dir), workload)
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
		is.Equal(encode(stored), states[len(states)-1])
		is.NoErr(s.Close())
	}
	cut, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(cut, data)
}

// TestMessageEncodings guards against a message field that is lost in JSON or CBOR,
// the encodings in which processes send messages.
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

// TestOpenHoldsOneRecord guards against a start that takes several times the size of the
// log: beside the entries themselves, only one record may be in memory.
func TestOpenHoldsOneRecord(t *testing.T) {
	is := is.New(t)
	fsys := DirFS(t.TempDir())
	s, _, _, err := Open(fsys)
	is.NoErr(err)
	const records, recordBytes = 64, 1 << 20
	for i := range uint64(records) {
		is.NoErr(s.Save(hard(1, 0), []raft.Entry{{Term: 1, Index: i + 1, Data: make([]byte, recordBytes)}}))
	}
	is.NoErr(s.Close())
	peak := heappeak.Measure(time.Millisecond)
	_, stored, _, err := Open(fsys)
	is.NoErr(err)
	is.Equal(len(stored.Entries), records)
	grown := peak()
	t.Logf("%d MiB for a log of %d MiB", grown>>20, records*recordBytes>>20)
	is.True(grown < (records+8)*recordBytes)
	runtime.KeepAlive(stored)
}
